"""The roster of possible members: a static list, or one that is learned and changes. Does no I/O.

Members are identified by number here. In a static group all members use the same numbers. In a learned group
each process assigns its own numbers, and `wire_ids` has the common identifiers. All members order the ring
the same way, by `ring_positions`.
"""

from __future__ import annotations

import hashlib
from typing import Any


def ring_position(member: int) -> int:
    """Position of a static member on the ring, the same for all. Its predecessors there watch it."""
    return int.from_bytes(hashlib.blake2b(member.to_bytes(4, "little"), digest_size=8).digest(), "little")


class Roster:
    """Member numbers and ring positions. `remote` members are probed less often: their traffic is costly."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.wire_ids: dict[int, int] = {}
        self.ring_positions: dict[int, Any] = {}
        self.remote: set[int] = set()
        self._rebuild()

    def _rebuild(self) -> None:
        self.ring = sorted(self.wire_ids, key=lambda member: self.ring_positions[member])
        self.ring_index = {member: index for index, member in enumerate(self.ring)}
        self.members = frozenset(self.wire_ids)
        self.others = tuple(sorted(self.members - {self.me}))
        self.bitmap = sum(1 << member for member in self.wire_ids)

    def __len__(self) -> int:
        return len(self.wire_ids)

    def add(self, member: int, wire_id: int, position: Any, remote: bool = False) -> None:
        """Adds or moves a member. `position` is its position on the ring, of one type for all members."""
        if self.wire_ids.get(member) != wire_id or self.ring_positions[member] != position:
            self.wire_ids[member], self.ring_positions[member] = wire_id, position
            self._rebuild()
        (self.remote.add if remote else self.remote.discard)(member)

    def remove(self, member: int) -> None:
        """Removes a member that is not expected to return."""
        if self.wire_ids.pop(member, None) is not None:
            del self.ring_positions[member]
            self.remote.discard(member)
            self._rebuild()


def static_roster(me: int, count: int) -> Roster:
    """The roster of a static group: members 0 to `count` - 1."""
    roster = Roster(me)
    roster.wire_ids = {member: member for member in range(count)}
    roster.ring_positions = {member: ring_position(member) for member in range(count)}
    roster._rebuild()
    return roster
