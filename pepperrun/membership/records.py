"""The state that a member holds of each other one, and the updates that it still gossips. Does no I/O.

Of two updates about a member the later generation wins, then the higher incarnation, then the state with the
larger number. Only the member itself raises its incarnation, to refute an update. So the records converge,
whatever the order in which updates arrive.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import NO_MEMBER, State, Update

MAX_SUSPICION_REPORTERS = 4  # further ones do not shorten a suspicion
BASE_TRANSMISSIONS = 2  # added to twice the logarithm of the number of members: how often an update is sent


@dataclass(slots=True)
class Record:
    """What is known of one member. `since`: when its state was received; `reporter`: who reported it."""

    member: int
    generation: int
    incarnation: int
    state: State
    since: int
    reporter: int = NO_MEMBER
    suspicion_reporters: set[int] = field(default_factory=set)  # members that reported the present suspicion
    reported_dead: bool = False  # another member has declared it dead

    def precedence(self) -> tuple[int, int, int]:
        """Sort key that decides which of two updates about a member wins."""
        return self.generation, self.incarnation, self.state

    def as_update(self, reporter: int | None = None) -> Update:
        """The record as an update to send, by `reporter` if given."""
        update_reporter = self.reporter if reporter is None else reporter
        return Update(self.member, self.generation, self.incarnation, self.state, update_reporter)

    @property
    def present(self) -> bool:
        """Whether the member counts as present: neither dead nor left."""
        return self.state in (State.ALIVE, State.SUSPECT)


class MemberTable:
    """The records of all members, and the updates that are still to be gossiped."""

    def __init__(self, roster: Roster) -> None:
        self.me, self.roster = roster.me, roster
        self.records: dict[int, Record] = {}
        # (member, reporter): how often the update is still to be sent
        self.pending_gossip: dict[tuple[int, int], int] = {}
        self.version = 0
        self._members_by_state: tuple[int, dict[State, list[int]]] = (-1, {})  # cached, with its version

    def get(self, member: int) -> Record | None:
        """The record of a member, or None."""
        return self.records.get(member)

    def forget(self, member: int) -> None:
        """Drops the record of a member that was removed from the roster."""
        if self.records.pop(member, None) is not None:
            self.pending_gossip = {
                key: times for key, times in self.pending_gossip.items() if key[0] != member
            }
            self.version += 1

    def apply(self, update: Update, now: int) -> bool:
        """Applies an update. Returns whether it changed a record; a further reporter of a suspicion does."""
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
        """Queues an update for as many transmissions as reach nearly all members."""
        self.pending_gossip[member, reporter] = BASE_TRANSMISSIONS + 2 * len(self.records).bit_length()

    def take_updates(self, limit: int, first: int = NO_MEMBER) -> list[Update]:
        """Returns updates for one datagram and counts them as sent.

        Those about the member `first` come first, then those sent least often.
        """
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
        """The other members in any of these states, in order of their numbers."""
        if self._members_by_state[0] != self.version:  # read far more often than records change
            sorted_: dict[State, list[int]] = {state: [] for state in State}
            for member, record in sorted(self.records.items()):
                if member != self.me:
                    sorted_[record.state].append(member)
            self._members_by_state = self.version, sorted_
        if len(states) == 1:
            return list(self._members_by_state[1][states[0]])
        return sorted(member for state in states for member in self._members_by_state[1][state])

    def successors(self, member: int, count: int = 1) -> list[int]:
        """Up to `count` alive members that follow a member on the ring, nearest first."""
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
        """Up to `count` alive predecessors on the ring: they probe the member when it is suspected."""
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
        """Up to `count` random alive members, without those in `excluded`."""
        live = [m for m in self.others_in(State.ALIVE) if m not in excluded]
        return rng.sample(live, min(count, len(live)))
