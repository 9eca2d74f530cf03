"""Circular doubly linked lists of small integers in two arrays: eight bytes per integer and no objects."""

from __future__ import annotations

from array import array
from collections.abc import Iterator


class LinkedLists:
    """`count` lists over the keys 0, 1, 2, …; each key is in at most one of them.

    Every operation but `members` and `grow` is O(1). The head of each list is a node of its own at the start
    of the arrays, so appending a whole list to another changes four links, however many keys it has.
    """

    __slots__ = ("count", "next", "prev")

    def __init__(self, count: int) -> None:
        self.count = count
        self.next = array("i", range(count))
        self.prev = array("i", range(count))

    def grow(self, keys: int) -> None:
        """Extends the arrays for the keys below `keys`."""
        missing = self.count + keys - len(self.next)
        if missing > 0:
            unlinked = array("i", [-1]) * missing
            self.next.extend(unlinked)
            self.prev.extend(unlinked)

    def append(self, list_index: int, key: int) -> None:
        """Appends a key, which must not be in any list, to a list."""
        node = key + self.count
        last = self.prev[list_index]
        self.next[last] = self.prev[list_index] = node
        self.prev[node] = last
        self.next[node] = list_index

    def remove(self, key: int) -> int:
        """Removes a key from its list, if it is in one; returns the list that this left empty, or -1."""
        node = key + self.count
        after = self.next[node]
        if after < 0:
            return -1
        before = self.prev[node]
        self.next[before], self.prev[after] = after, before
        self.next[node] = self.prev[node] = -1
        return before if before == after and before < self.count else -1

    def contains(self, key: int) -> bool:
        """Whether the key is in a list."""
        node = key + self.count
        return node < len(self.next) and self.next[node] >= 0

    def first(self, list_index: int) -> int:
        """Returns the first key of a list, or -1 if it is empty."""
        return self.next[list_index] - self.count if self.next[list_index] != list_index else -1

    def move_all(self, list_index: int, target: int) -> None:
        """Appends all keys of a list to another one and leaves the list empty."""
        first, last = self.next[list_index], self.prev[list_index]
        if first == list_index:
            return
        tail = self.prev[target]
        self.next[tail], self.prev[first] = first, tail
        self.next[last], self.prev[target] = target, last
        self.next[list_index] = self.prev[list_index] = list_index

    def members(self, list_index: int) -> Iterator[int]:
        """Yields the keys of a list in order; the list must not change meanwhile."""
        node = self.next[list_index]
        while node != list_index:
            yield node - self.count
            node = self.next[node]
