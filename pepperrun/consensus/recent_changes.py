"""The last changes of the chosen body, as operations: what a machine that was away for a short time lacks.

There is no log. A machine keeps the newest body, and here the operations that led to it, as far as they are
few and short. Who holds a body of that sequence is sent the operations after it, anybody else the full body.
So a full body that took longer on its way than the time between two changes is followed by the changes since,
and not by another full body.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Any, NamedTuple

from pepperrun.consensus.codec import MAX_OPERATIONS
from pepperrun.consensus.messages import BodyDelta
from pepperrun.consensus.state import Operation

MAX_SIZE = 128 * 1024  # of all operations that are kept, in characters, about
ITEM_SIZE = 8  # of a number, the quotes of a name and the like, in characters


class RecentChange(NamedTuple):
    """A step from the body with `base_digest` to the one with `digest`; `size` in characters, about."""

    base_digest: str
    operations: list[Operation]
    digest: str
    size: int


class RecentChanges:
    """An unbroken sequence of changes up to the newest body, bounded in length and size."""

    def __init__(self) -> None:
        self.changes: deque[RecentChange] = deque()
        self.size = 0
        self.operation_count = 0

    def add(self, base_digest: str, operations: list[Operation], digest: str) -> None:
        """Append a change. A base other than the last digest breaks the sequence, which begins anew."""
        if self.changes and self.changes[-1].digest != base_digest:
            self.clear()
        size = json_size(operations, MAX_SIZE)
        self.changes.append(RecentChange(base_digest, operations, digest, size))
        self.size += size
        self.operation_count += len(operations)
        while self.changes and (self.size > MAX_SIZE or self.operation_count > MAX_OPERATIONS):
            oldest = self.changes.popleft()
            self.size -= oldest.size
            self.operation_count -= len(oldest.operations)

    def copy(self) -> RecentChanges:
        """Return another one that holds the same and changes apart from this one."""
        other = RecentChanges()
        other.changes = self.changes.copy()
        other.size = self.size
        other.operation_count = self.operation_count
        return other

    def clear(self) -> None:
        """Forget all changes: how the newest body came about is not known."""
        self.changes.clear()
        self.size = 0
        self.operation_count = 0

    def delta(self, held_digests: Collection[str], digest: str) -> BodyDelta | None:
        """Return the shortest delta from a held body to the one with `digest`, the newest here."""
        if not self.changes or self.changes[-1].digest != digest:
            return None
        operations: list[Operation] = []
        for change in reversed(self.changes):
            operations = [*change.operations, *operations]
            if change.base_digest in held_digests:
                return BodyDelta(change.base_digest, operations)
        return None


def json_size(data: Any, limit: int) -> int:
    """About how many characters `data` takes as JSON; counting ends soon after `limit`."""
    total = 0
    waiting = [data]
    while waiting and total <= limit:
        part = waiting.pop()
        total += ITEM_SIZE
        if isinstance(part, str):
            total += len(part)
        elif isinstance(part, dict):
            total += sum(map(len, part))
            waiting.extend(part.values())
        elif isinstance(part, list | tuple):
            waiting.extend(part)
    return total
