"""Who may be a member: a group that is listed once and for all, or one that is learnt and grows. Does no I/O.

Members are known by number here. In a listed group all use the same numbers; in a learnt one each gives its
own, and `ids` has what all know a member by. All order the ring alike, by `places`.
"""

from __future__ import annotations

import hashlib
from typing import Any


def place(member: int) -> int:
    """A listed member's place on the ring, the same to all: each is watched by those before it."""
    return int.from_bytes(hashlib.blake2b(member.to_bytes(4, "little"), digest_size=8).digest(), "little")


class Roster:
    """The numbers, and where each stands. `far`: those that are asked less often: the way there is dear."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.ids: dict[int, int] = {}
        self.places: dict[int, Any] = {}
        self.far: set[int] = set()
        self._sort()

    def _sort(self) -> None:
        self.ring = sorted(self.ids, key=lambda member: self.places[member])
        self.at = {member: at for at, member in enumerate(self.ring)}
        self.every = frozenset(self.ids)
        self.others = tuple(sorted(self.every - {self.me}))
        self.bits = sum(1 << member for member in self.ids)

    def __len__(self) -> int:
        return len(self.ids)

    def add(self, member: int, id: int, place: Any, far: bool = False) -> None:
        """Another one; `place` is its place on the ring, of one type for all."""
        if self.ids.get(member) != id or self.places[member] != place:
            self.ids[member], self.places[member] = id, place
            self._sort()
        (self.far.add if far else self.far.discard)(member)

    def remove(self, member: int) -> None:
        """One that is not to come back, as far as is known."""
        if self.ids.pop(member, None) is not None:
            del self.places[member]
            self.far.discard(member)
            self._sort()


def listed(me: int, count: int) -> Roster:
    """Members 0 to `count` - 1."""
    roster = Roster(me)
    roster.ids = {member: member for member in range(count)}
    roster.places = {member: place(member) for member in range(count)}
    roster._sort()
    return roster
