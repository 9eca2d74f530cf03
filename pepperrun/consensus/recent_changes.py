"""The last changes of the chosen body, as operations: what a machine that was away for a short time lacks.

There is no log. A machine keeps the newest body, and here the operations that led to it, as far as they are
few and short. Whoever holds a body on that way is sent the operations after it, anybody else the whole body.
So a whole body that took longer on its way than the time between two changes is followed by what came
meanwhile, and not by another whole body.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Any, NamedTuple

from pepperrun.consensus.messages import MOST_OPS
from pepperrun.consensus.values import Op

MOST_SIZE = 128 * 1024  # of all operations that are kept, in characters, about
ITEM_SIZE = 8  # of a number, a name's quotes and the like


class RecentChange(NamedTuple):
    """One step from a body to the next, both told by their digests."""

    base: str
    ops: list[Op]
    digest: str
    size: int


class Bridge(NamedTuple):
    """Operations that lead from the body with digest `base` to the newest one."""

    base: str
    ops: list[Op]


class RecentChanges:
    """An unbroken row of changes up to the newest body, of bounded length and size."""

    def __init__(self) -> None:
        self.row: deque[RecentChange] = deque()
        self.size = self.ops = 0

    def add(self, base: str, ops: list[Op], digest: str) -> None:
        """The body went on. Another `base` than the last digest breaks the row, which then begins anew."""
        if self.row and self.row[-1].digest != base:
            self.clear()
        size = size_of(ops, MOST_SIZE)
        self.row.append(RecentChange(base, ops, digest, size))
        self.size += size
        self.ops += len(ops)
        while self.row and (self.size > MOST_SIZE or self.ops > MOST_OPS):
            first = self.row.popleft()
            self.size -= first.size
            self.ops -= len(first.ops)

    def copy(self) -> RecentChanges:
        """Another one that holds the same and goes its own way."""
        other = RecentChanges()
        other.row, other.size, other.ops = self.row.copy(), self.size, self.ops
        return other

    def clear(self) -> None:
        """Nothing is known of how the newest body came about."""
        self.row.clear()
        self.size = self.ops = 0

    def bridge(self, held: Collection[str], digest: str) -> Bridge | None:
        """The shortest way from one of the `held` bodies to the one with `digest`, the newest here."""
        if not self.row or self.row[-1].digest != digest:
            return None
        ops: list[Op] = []
        for change in reversed(self.row):
            ops = [*change.ops, *ops]
            if change.base in held:
                return Bridge(change.base, ops)
        return None


def size_of(data: Any, most: int) -> int:
    """About how many characters it takes as JSON; counting ends soon after `most`."""
    total, waiting = 0, [data]
    while waiting and total <= most:
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
