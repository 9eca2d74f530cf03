"""What a member knows of each other one: the newest word holds, and is passed on a few times. Does no I/O.

Of two words on a member the one of the later life holds, then that of the higher incarnation, then the graver
state. Only the member itself raises its incarnation, to deny what is said of it; so any order in which words
arrive leaves the same record.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import NO_MEMBER, State, Update

MAX_SUSPICION_REPORTERS = 4  # further ones change nothing
BASE_TRANSMISSIONS = 2  # times that a rumour is passed on beyond twice the logarithm of the number of members


@dataclass(slots=True)
class Record:
    """What is known of one member. `since`: when its state was heard; `by`: who said so."""

    member: int
    generation: int
    incarnation: int
    state: State
    since: int
    reporter: int = NO_MEMBER
    suspicion_reporters: set[int] = field(default_factory=set)  # of a suspicion
    reported_dead: bool = False  # others have buried it already

    def precedence(self) -> tuple[int, int, int]:
        """What decides between two words."""
        return self.generation, self.incarnation, self.state

    def as_update(self, reporter: int | None = None) -> Update:
        """The word on it."""
        by = self.reporter if reporter is None else reporter
        return Update(self.member, self.generation, self.incarnation, self.state, by)

    @property
    def present(self) -> bool:
        """Counts as there: until it is buried or has left."""
        return self.state in (State.ALIVE, State.SUSPECT)


class MemberTable:
    """The records, and the rumours that are still to be passed on."""

    def __init__(self, roster: Roster) -> None:
        self.me, self.roster = roster.me, roster
        self.records: dict[int, Record] = {}
        self.pending_gossip: dict[tuple[int, int], int] = {}  # member and witness: times more
        self.version = 0
        self._members_by_state: tuple[int, dict[State, list[int]]] = (-1, {})  # as of so many changes

    def get(self, member: int) -> Record | None:
        """The record of a member."""
        return self.records.get(member)

    def forget(self, member: int) -> None:
        """It is no member any more."""
        if self.records.pop(member, None) is not None:
            self.pending_gossip = {
                key: times for key, times in self.pending_gossip.items() if key[0] != member
            }
            self.version += 1

    def apply(self, update: Update, now: int) -> bool:
        """Takes in a word; was it news? A further witness of a suspicion is."""
        record = self.records.get(update.member)
        precedence = (update.generation, update.incarnation, update.state)
        if record is not None and precedence < record.precedence():
            return False
        if record is not None and precedence == record.precedence():
            more = update.state is State.SUSPECT and update.reporter not in record.suspicion_reporters
            if not more or len(record.suspicion_reporters) >= MAX_SUSPICION_REPORTERS:
                return False
            record.suspicion_reporters.add(update.reporter)
        else:
            self.records[update.member] = record = Record(
                update.member, update.generation, update.incarnation, update.state, now, update.reporter
            )
            if update.state is State.SUSPECT:
                record.suspicion_reporters.add(update.reporter)
            for key in [key for key in self.pending_gossip if key[0] == update.member]:
                del self.pending_gossip[key]
        self.version += 1
        self.queue_gossip(update.member, update.reporter)
        return True

    def queue_gossip(self, member: int, reporter: int) -> None:
        """Passes the word on: so often that it reaches nearly all."""
        self.pending_gossip[member, reporter] = BASE_TRANSMISSIONS + 2 * len(self.records).bit_length()

    def take_updates(self, limit: int, first: int = NO_MEMBER) -> list[Update]:
        """Rumours for one datagram, those told least often first; ahead of all what concerns `first`."""
        keys = sorted(self.pending_gossip, key=lambda key: (key[0] != first, -self.pending_gossip[key]))[
            :limit
        ]
        out = []
        for member, reporter in keys:
            self.pending_gossip[member, reporter] -= 1
            if self.pending_gossip[member, reporter] <= 0:
                del self.pending_gossip[member, reporter]
            out.append(self.records[member].as_update(reporter))
        return out

    def others_in(self, *states: State) -> list[int]:
        """Members but this one that are in one of the states, in order of their numbers."""
        if self._members_by_state[0] != self.version:  # asked far more often than anything changes
            sorted_: dict[State, list[int]] = {state: [] for state in State}
            for member, record in sorted(self.records.items()):
                if member != self.me:
                    sorted_[record.state].append(member)
            self._members_by_state = self.version, sorted_
        if len(states) == 1:
            return list(self._members_by_state[1][states[0]])
        return sorted(member for state in states for member in self._members_by_state[1][state])

    def successors(self, member: int, count: int = 1) -> list[int]:
        """The live ones that follow a member on the ring, nearest first."""
        ring, found = self.roster.ring, list[int]()
        start = self.roster.ring_index[member]
        for step in range(1, len(ring)):
            other = ring[(start + step) % len(ring)]
            record = self.records.get(other)
            if other != member and record is not None and record.state is State.ALIVE:
                found.append(other)
                if len(found) == count:
                    break
        return found

    def watchers(self, member: int, count: int) -> list[int]:
        """The live ones before a member on the ring: these look for themselves when it is suspected."""
        ring, found = self.roster.ring, list[int]()
        start = self.roster.ring_index[member]
        for step in range(1, len(ring)):
            other = ring[(start - step) % len(ring)]
            record = self.records.get(other)
            if record is not None and record.state is State.ALIVE:
                found.append(other)
                if len(found) == count:
                    break
        return found

    def sample_alive(self, rng: random.Random, count: int, *excluded: int) -> list[int]:
        """Some live ones."""
        live = [m for m in self.others_in(State.ALIVE) if m not in excluded]
        return rng.sample(live, min(count, len(live)))
