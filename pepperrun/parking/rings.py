"""Rings of small numbers: doubly linked lists in two arrays, eight bytes a number and no object each."""

from __future__ import annotations

from array import array
from collections.abc import Iterator


class Rings:
    """`count` lists over the keys 0, 1, 2, …; a key is in one of them at most.

    Every operation is O(1) but `membership`. A list's head is a link of its own at the arrays' front, so that
    emptying one list into another moves four links however many keys it holds.
    """

    __slots__ = ("count", "next", "prev")

    def __init__(self, count: int) -> None:
        self.count = count
        self.next = array("i", range(count))
        self.prev = array("i", range(count))

    def grow(self, keys: int) -> None:
        """Makes room for the keys below `keys`."""
        more = self.count + keys - len(self.next)
        if more > 0:
            blank = array("i", [-1]) * more
            self.next.extend(blank)
            self.prev.extend(blank)

    def append(self, ring: int, key: int) -> None:
        """Puts a key that is in no ring at the end of one."""
        at = key + self.count
        last = self.prev[ring]
        self.next[last] = self.prev[ring] = at
        self.prev[at] = last
        self.next[at] = ring

    def remove(self, key: int) -> int:
        """Takes a key out; the ring that this left empty, or -1. A key that is in none changes nothing."""
        at = key + self.count
        after = self.next[at]
        if after < 0:
            return -1
        before = self.prev[at]
        self.next[before], self.prev[after] = after, before
        self.next[at] = self.prev[at] = -1
        return before if before == after and before < self.count else -1

    def held(self, key: int) -> bool:
        """Is the key in a ring?"""
        at = key + self.count
        return at < len(self.next) and self.next[at] >= 0

    def first(self, ring: int) -> int:
        """The key at the front, or -1."""
        return self.next[ring] - self.count if self.next[ring] != ring else -1

    def pour(self, ring: int, into: int) -> None:
        """Appends all of a ring to another and leaves it empty."""
        first, last = self.next[ring], self.prev[ring]
        if first == ring:
            return
        tail = self.prev[into]
        self.next[tail], self.prev[first] = first, tail
        self.next[last], self.prev[into] = into, last
        self.next[ring] = self.prev[ring] = ring

    def members(self, ring: int) -> Iterator[int]:
        """The keys from the front on; the ring must not change meanwhile."""
        at = self.next[ring]
        while at != ring:
            yield at - self.count
            at = self.next[at]
