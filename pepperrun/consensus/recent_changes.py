"""The last changes of the chosen body as operations, for nodes that were away for a short time.

There is no log. A node keeps the newest body and, up to a limit of count and size, the operations that led to
it. A peer that has a body of this sequence is sent only the operations after it, any other peer the full
body. So when the transfer of a full body takes longer than the time between two changes, the changes since
then follow it, and not another full body.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Any, NamedTuple

from pepperrun.consensus.codec import MAX_OPERATIONS
from pepperrun.consensus.messages import BodyDelta
from pepperrun.consensus.state import Operation

MAX_TOTAL_SIZE = 128 * 1024  # approximate characters of JSON of all operations kept
ITEM_OVERHEAD = 8  # approximate characters of a number, or of the quotes and separators of a string


class RecentChange(NamedTuple):
    """A change of the body with `base_digest` to the one with `digest`; `size` is in characters, about."""

    base_digest: str
    operations: list[Operation]
    digest: str
    size: int


class RecentChanges:
    """A sequence of changes without gaps up to the newest body, limited in operations and size."""

    def __init__(self) -> None:
        self.changes: deque[RecentChange] = deque()
        self.size = 0
        self.operation_count = 0

    def add(self, base_digest: str, operations: list[Operation], digest: str) -> None:
        """Append a change and drop the oldest ones beyond the limits.

        If its base is not the last digest, the sequence has a gap: all earlier changes are dropped.
        """
        if self.changes and self.changes[-1].digest != base_digest:
            self.clear()
        size = json_size(operations, MAX_TOTAL_SIZE)
        self.changes.append(RecentChange(base_digest, operations, digest, size))
        self.size += size
        self.operation_count += len(operations)
        while self.changes and (self.size > MAX_TOTAL_SIZE or self.operation_count > MAX_OPERATIONS):
            oldest = self.changes.popleft()
            self.size -= oldest.size
            self.operation_count -= len(oldest.operations)

    def copy(self) -> RecentChanges:
        """Return an independent copy with the same changes."""
        other = RecentChanges()
        other.changes = self.changes.copy()
        other.size = self.size
        other.operation_count = self.operation_count
        return other

    def clear(self) -> None:
        """Drop all changes, because the operations that led to the newest body are not known."""
        self.changes.clear()
        self.size = 0
        self.operation_count = 0

    def delta(self, known_digests: Collection[str], digest: str) -> BodyDelta | None:
        """Return the shortest delta from a body with one of `known_digests` to the newest one, `digest`.

        None if `digest` is not the newest here, or if no such body is in the sequence.
        """
        if not self.changes or self.changes[-1].digest != digest:
            return None
        operations: list[Operation] = []
        for change in reversed(self.changes):
            operations = [*change.operations, *operations]
            if change.base_digest in known_digests:
                return BodyDelta(change.base_digest, operations)
        return None


def json_size(data: Any, limit: int) -> int:
    """Return the approximate length of `data` as JSON, in characters; counting stops soon after `limit`."""
    total = 0
    unvisited = [data]
    while unvisited and total <= limit:
        element = unvisited.pop()
        total += ITEM_OVERHEAD
        if isinstance(element, str):
            total += len(element)
        elif isinstance(element, dict):
            total += sum(map(len, element))
            unvisited.extend(element.values())
        elif isinstance(element, list | tuple):
            unvisited.extend(element)
    return total
