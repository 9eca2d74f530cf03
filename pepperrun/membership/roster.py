"""Who may be a member: a group that is listed once and for all, or one that is learnt and grows. Does no I/O.

Members are known by number here. In a listed group all use the same numbers; in a learnt one each gives its
own, and `ids` has what all know a member by. All order the ring alike, by `places`.
"""

from __future__ import annotations

import hashlib
from typing import Any


def ring_position(member: int) -> int:
    """A listed member's place on the ring, the same to all: each is watched by those before it."""
    return int.from_bytes(hashlib.blake2b(member.to_bytes(4, "little"), digest_size=8).digest(), "little")


class Roster:
    """The numbers, and where each stands. `far`: those that are asked less often: the way there is dear."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.wire_ids: dict[int, int] = {}
        self.ring_positions: dict[int, Any] = {}
        self.remote: set[int] = set()
        self._rebuild()

    def _rebuild(self) -> None:
        self.ring = sorted(self.wire_ids, key=lambda member: self.ring_positions[member])
        self.ring_index = {member: at for at, member in enumerate(self.ring)}
        self.members = frozenset(self.wire_ids)
        self.others = tuple(sorted(self.members - {self.me}))
        self.bitmap = sum(1 << member for member in self.wire_ids)

    def __len__(self) -> int:
        return len(self.wire_ids)

    def add(self, member: int, id: int, place: Any, far: bool = False) -> None:
        """Another one; `place` is its place on the ring, of one type for all."""
        if self.wire_ids.get(member) != id or self.ring_positions[member] != place:
            self.wire_ids[member], self.ring_positions[member] = id, place
            self._rebuild()
        (self.remote.add if far else self.remote.discard)(member)

    def remove(self, member: int) -> None:
        """One that is not to come back, as far as is known."""
        if self.wire_ids.pop(member, None) is not None:
            del self.ring_positions[member]
            self.remote.discard(member)
            self._rebuild()


def static_roster(me: int, count: int) -> Roster:
    """Members 0 to `count` - 1."""
    roster = Roster(me)
    roster.wire_ids = {member: member for member in range(count)}
    roster.ring_positions = {member: ring_position(member) for member in range(count)}
    roster._rebuild()
    return roster
