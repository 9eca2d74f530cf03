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
from pepperrun.membership.keys import Keys
from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import Format

WINDOW = 64  # datagrams may overtake each other by so many


class Me(enum.Enum):
    """This member's own state."""

    JOINING = "joining"
    MEMBER = "member"
    REFUSED = "refused"
    LEFT = "left"


class On(enum.Enum):
    """What moves it."""

    WELCOMED = "welcomed"
    UNANSWERED = "unanswered"
    TAKEN = "taken"
    AGAIN = "again"
    LEAVE = "leave"


MOVES = {
    (Me.JOINING, On.WELCOMED): Me.MEMBER,
    (Me.JOINING, On.UNANSWERED): Me.MEMBER,
    (Me.JOINING, On.TAKEN): Me.REFUSED,
    (Me.MEMBER, On.TAKEN): Me.REFUSED,
    (Me.REFUSED, On.AGAIN): Me.JOINING,
    **{(state, On.LEAVE): Me.LEFT for state in Me},
}


@dataclass(slots=True, frozen=True)
class Config:
    """What a member is told: its number among so many, its name, the keys and the pace.

    `period_ns`: between two probes of its own; `suspect_ns`: how long a suspicion stands at least. Where the
    group is learnt, `roster` has it, and `wire` writes its datagrams.
    """

    me: int
    count: int
    name: str
    keys: Keys
    period_ns: int = SECOND // 5
    suspect_ns: int = SECOND // 4
    roster: Roster | None = None
    wire: Format | None = None


@dataclass(slots=True)
class Own:
    """What a member says of itself with each datagram, `name` as a hash, and its state."""

    member: int
    name: int
    life: int
    incarnation: int = 0
    state: Me = Me.JOINING


@dataclass(slots=True, frozen=True)
class Happened:
    """Something for people and rigs to see."""

    at: int
    what: str
    member: int
    by: int
    detail: str = ""


class Window:
    """The sequence numbers that were seen of one life of a member."""

    def __init__(self) -> None:
        self.last, self.bits = 0, 0

    def new(self, sequence: int) -> bool:
        """Was this one not seen, and is it not too old to tell? Then it counts as seen."""
        if sequence > self.last:
            self.bits = (self.bits << min(WINDOW, sequence - self.last) | 1) & ((1 << WINDOW) - 1)
            self.last = sequence
            return True
        back = self.last - sequence
        if back >= WINDOW or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True
