"""Rings of small numbers: doubly linked lists in two arrays, eight bytes a number and no object each."""

from __future__ import annotations

from array import array
from collections.abc import Iterator


class LinkedLists:
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
        missing = self.count + keys - len(self.next)
        if missing > 0:
            unlinked = array("i", [-1]) * missing
            self.next.extend(unlinked)
            self.prev.extend(unlinked)

    def append(self, list_index: int, key: int) -> None:
        """Puts a key that is in no ring at the end of one."""
        node = key + self.count
        last = self.prev[list_index]
        self.next[last] = self.prev[list_index] = node
        self.prev[node] = last
        self.next[node] = list_index

    def remove(self, key: int) -> int:
        """Takes a key out; the ring that this left empty, or -1. A key that is in none changes nothing."""
        node = key + self.count
        after = self.next[node]
        if after < 0:
            return -1
        before = self.prev[node]
        self.next[before], self.prev[after] = after, before
        self.next[node] = self.prev[node] = -1
        return before if before == after and before < self.count else -1

    def contains(self, key: int) -> bool:
        """Is the key in a ring?"""
        node = key + self.count
        return node < len(self.next) and self.next[node] >= 0

    def first(self, list_index: int) -> int:
        """The key at the front, or -1."""
        return self.next[list_index] - self.count if self.next[list_index] != list_index else -1

    def move_all(self, list_index: int, target: int) -> None:
        """Appends all of a ring to another and leaves it empty."""
        first, last = self.next[list_index], self.prev[list_index]
        if first == list_index:
            return
        tail = self.prev[target]
        self.next[tail], self.prev[first] = first, tail
        self.next[last], self.prev[target] = target, last
        self.next[list_index] = self.prev[list_index] = list_index

    def members(self, list_index: int) -> Iterator[int]:
        """The keys from the front on; the ring must not change meanwhile."""
        node = self.next[list_index]
        while node != list_index:
            yield node - self.count
            node = self.next[node]
