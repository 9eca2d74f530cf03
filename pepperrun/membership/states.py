"""The state machine of a member's own state, its configuration, and the replay window. Does no I/O.

`TRANSITIONS` holds this table:

| state | event | next |
| --- | --- | --- |
| JOINING | WELCOMED (a SYNC_REPLY) | MEMBER |
| JOINING | UNANSWERED (no reply for JOIN_TIMEOUT_NS) | MEMBER |
| JOINING, MEMBER | NAME_CONFLICT (another live process has the name or number) | REJECTED |
| REJECTED | RETRY (after REJECTED_RETRY_NS) | JOINING |
| any | LEAVE | LEFT |
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pepperrun.core.clock import SECOND
from pepperrun.membership.keys import KeyRing
from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import Codec

REPLAY_WINDOW = 64  # a datagram may arrive after at most this many later ones


class OwnState(enum.Enum):
    """State of this member; the values are printed by the admin calls."""

    JOINING = "joining"
    MEMBER = "member"
    REJECTED = "refused"
    LEFT = "left"


class OwnEvent(enum.Enum):
    """Event that changes a member's own state."""

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
    """Configuration of a member: its number `me` of `count`, its name, the keys and the intervals.

    `probe_period_ns`: between two probes; `min_suspicion_ns`: how long a suspicion stands at least. For a
    learned group, `roster` holds its members and `codec` encodes its datagrams.
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
    """Identity of this member, sent in the header of each datagram, and its state."""

    member: int
    name_hash: int
    generation: int
    incarnation: int = 0
    state: OwnState = OwnState.JOINING


@dataclass(slots=True, frozen=True)
class MembershipEvent:
    """An event for operators and the lab; the admin call `members since` prints all fields.

    `at`: ns of the monotonic clock; `what`: kind of event; `member`: whom it is about; `by`: who reported it.
    """

    at: int
    what: str
    member: int
    by: int
    detail: str = ""


class ReplayWindow:
    """The sequence numbers received from one generation of a member."""

    def __init__(self) -> None:
        self.highest, self.seen_bits = 0, 0

    def accept(self, sequence: int) -> bool:
        """Marks a sequence number as received; returns False if it was already, or is too old to know."""
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
