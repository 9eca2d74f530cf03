"""What a member knows of each other one: the newest word holds, and is passed on a few times. Does no I/O.

Of two words on a member the one of the later life holds, then that of the higher incarnation, then the graver
state. Only the member itself raises its incarnation, to deny what is said of it; so any order in which words
arrive leaves the same record.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import NOBODY, Rumour, State

MOST_WITNESSES = 4  # further ones change nothing
TOLD_BASE = 2  # times that a rumour is passed on beyond twice the logarithm of the number of members


@dataclass(slots=True)
class Record:
    """What is known of one member. `since`: when its state was heard; `by`: who said so."""

    member: int
    life: int
    incarnation: int
    state: State
    since: int
    by: int = NOBODY
    witnesses: set[int] = field(default_factory=set)  # of a suspicion
    sure: bool = False  # others have buried it already

    def order(self) -> tuple[int, int, int]:
        """What decides between two words."""
        return self.life, self.incarnation, self.state

    def rumour(self, witness: int | None = None) -> Rumour:
        """The word on it."""
        by = self.by if witness is None else witness
        return Rumour(self.member, self.life, self.incarnation, self.state, by)

    @property
    def there(self) -> bool:
        """Counts as there: until it is buried or has left."""
        return self.state in (State.ALIVE, State.SUSPECT)


class Book:
    """The records, and the rumours that are still to be passed on."""

    def __init__(self, roster: Roster) -> None:
        self.me, self.roster = roster.me, roster
        self.records: dict[int, Record] = {}
        self.fresh: dict[tuple[int, int], int] = {}  # member and witness: times more
        self.changes = 0
        self._states: tuple[int, dict[State, list[int]]] = (-1, {})  # as of so many changes

    def get(self, member: int) -> Record | None:
        """The record of a member."""
        return self.records.get(member)

    def forget(self, member: int) -> None:
        """It is no member any more."""
        if self.records.pop(member, None) is not None:
            self.fresh = {key: times for key, times in self.fresh.items() if key[0] != member}
            self.changes += 1

    def note(self, rumour: Rumour, now: int) -> bool:
        """Takes in a word; was it news? A further witness of a suspicion is."""
        known = self.records.get(rumour.member)
        word = (rumour.life, rumour.incarnation, rumour.state)
        if known is not None and word < known.order():
            return False
        if known is not None and word == known.order():
            more = rumour.state is State.SUSPECT and rumour.witness not in known.witnesses
            if not more or len(known.witnesses) >= MOST_WITNESSES:
                return False
            known.witnesses.add(rumour.witness)
        else:
            self.records[rumour.member] = known = Record(
                rumour.member, rumour.life, rumour.incarnation, rumour.state, now, rumour.witness
            )
            if rumour.state is State.SUSPECT:
                known.witnesses.add(rumour.witness)
            for key in [key for key in self.fresh if key[0] == rumour.member]:
                del self.fresh[key]
        self.changes += 1
        self.spread(rumour.member, rumour.witness)
        return True

    def spread(self, member: int, witness: int) -> None:
        """Passes the word on: so often that it reaches nearly all."""
        self.fresh[member, witness] = TOLD_BASE + 2 * len(self.records).bit_length()

    def some(self, most: int, first: int = NOBODY) -> list[Rumour]:
        """Rumours for one datagram, those told least often first; ahead of all what concerns `first`."""
        keys = sorted(self.fresh, key=lambda key: (key[0] != first, -self.fresh[key]))[:most]
        out = []
        for member, witness in keys:
            self.fresh[member, witness] -= 1
            if self.fresh[member, witness] <= 0:
                del self.fresh[member, witness]
            out.append(self.records[member].rumour(witness))
        return out

    def others(self, *states: State) -> list[int]:
        """Members but this one that are in one of the states, in order of their numbers."""
        if self._states[0] != self.changes:  # asked far more often than anything changes
            sorted_: dict[State, list[int]] = {state: [] for state in State}
            for member, known in sorted(self.records.items()):
                if member != self.me:
                    sorted_[known.state].append(member)
            self._states = self.changes, sorted_
        if len(states) == 1:
            return list(self._states[1][states[0]])
        return sorted(member for state in states for member in self._states[1][state])

    def after(self, member: int, many: int = 1) -> list[int]:
        """The live ones that follow a member on the ring, nearest first."""
        ring, found = self.roster.ring, list[int]()
        start = self.roster.at[member]
        for step in range(1, len(ring)):
            other = ring[(start + step) % len(ring)]
            known = self.records.get(other)
            if other != member and known is not None and known.state is State.ALIVE:
                found.append(other)
                if len(found) == many:
                    break
        return found

    def watchers(self, member: int, many: int) -> list[int]:
        """The live ones before a member on the ring: these look for themselves when it is suspected."""
        ring, found = self.roster.ring, list[int]()
        start = self.roster.at[member]
        for step in range(1, len(ring)):
            other = ring[(start - step) % len(ring)]
            known = self.records.get(other)
            if known is not None and known.state is State.ALIVE:
                found.append(other)
                if len(found) == many:
                    break
        return found

    def pick(self, rng: random.Random, many: int, *but: int) -> list[int]:
        """Some live ones."""
        live = [m for m in self.others(State.ALIVE) if m not in but]
        return rng.sample(live, min(many, len(live)))
