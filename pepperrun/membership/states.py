"""A member's own states and what moves it, and the few values around it. Does no I/O.

This table is what the code goes by:

| state | event | next |
| --- | --- | --- |
| JOINING | WELCOMED | MEMBER |
| JOINING | UNANSWERED (nobody is there, for JOIN_ALONE_NS) | MEMBER |
| JOINING, MEMBER | TAKEN (another live process has the name or number) | REFUSED |
| REFUSED | AGAIN (after TRY_AGAIN_NS) | JOINING |
| any | LEAVE | LEFT |
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pepperrun.core.clock import SECOND
from pepperrun.membership.keys import KeyRing
from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import Codec

REPLAY_WINDOW = 64  # datagrams may overtake each other by so many


class OwnState(enum.Enum):
    """This member's own state."""

    JOINING = "joining"
    MEMBER = "member"
    REJECTED = "refused"
    LEFT = "left"


class OwnEvent(enum.Enum):
    """What moves it."""

    WELCOMED = "welcomed"
    UNANSWERED = "unanswered"
    NAME_CONFLICT = "taken"
    RETRY = "again"
    LEAVE = "leave"


TRANSITIONS = {
    (OwnState.JOINING, OwnEvent.WELCOMED): OwnState.MEMBER,
    (OwnState.JOINING, OwnEvent.UNANSWERED): OwnState.MEMBER,
    (OwnState.JOINING, OwnEvent.NAME_CONFLICT): OwnState.REJECTED,
    (OwnState.MEMBER, OwnEvent.NAME_CONFLICT): OwnState.REJECTED,
    (OwnState.REJECTED, OwnEvent.RETRY): OwnState.JOINING,
    **{(state, OwnEvent.LEAVE): OwnState.LEFT for state in OwnState},
}


@dataclass(slots=True, frozen=True)
class MemberConfig:
    """What a member is told: its number among so many, its name, the keys and the pace.

    `period_ns`: between two probes of its own; `suspect_ns`: how long a suspicion stands at least. Where the
    group is learnt, `roster` has it, and `wire` writes its datagrams.
    """

    me: int
    count: int
    name: str
    keys: KeyRing
    probe_period_ns: int = SECOND // 5
    min_suspicion_ns: int = SECOND // 4
    roster: Roster | None = None
    codec: Codec | None = None


@dataclass(slots=True)
class OwnRecord:
    """What a member says of itself with each datagram, `name` as a hash, and its state."""

    member: int
    name_hash: int
    generation: int
    incarnation: int = 0
    state: OwnState = OwnState.JOINING


@dataclass(slots=True, frozen=True)
class MembershipEvent:
    """Something for people and rigs to see."""

    at: int
    what: str
    member: int
    by: int
    detail: str = ""


class ReplayWindow:
    """The sequence numbers that were seen of one life of a member."""

    def __init__(self) -> None:
        self.highest, self.seen_bits = 0, 0

    def accept(self, sequence: int) -> bool:
        """Was this one not seen, and is it not too old to tell? Then it counts as seen."""
        if sequence > self.highest:
            self.seen_bits = (self.seen_bits << min(REPLAY_WINDOW, sequence - self.highest) | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            self.highest = sequence
            return True
        back = self.highest - sequence
        if back >= REPLAY_WINDOW or self.seen_bits >> back & 1:
            return False
        self.seen_bits |= 1 << back
        return True
