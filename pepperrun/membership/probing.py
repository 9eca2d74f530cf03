"""Probes: one member at a time is asked whether it is there, by itself and then through others. Does no I/O.

| stage | what happens | next |
| --- | --- | --- |
| DIRECT | its answer comes | over: it is there and reached |
| DIRECT | none in the patience learnt for it | INDIRECT: three others ask it, and it is asked twice more |
| INDIRECT | an answer through another | over: it is there, and not reached from here |
| INDIRECT | none to the end | over: suspected; if no helper spoke, this member doubts itself too |

Every second probe goes to the next live member on the ring, so that each member is asked about twice in four
periods whatever their number; the others go to all in turn, the order shuffled each time round. A probe is
saved where the member was heard within the period anyway and its way here was tried not long ago.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pepperrun.core.clock import SECOND
from pepperrun.membership.links import Links
from pepperrun.membership.records import Book
from pepperrun.membership.wire import NOBODY, Kind, State

HELPERS = 3  # that ask for this member: with one word in five lost, one way in three through them holds
TRIED_FOR = 30 * SECOND  # a way that came back so lately need not be tried where its member is heard
HEALTH_MOST = 8  # a member in trouble is at most nine times as patient
STORM = 3  # so many times the pace while several are suspected: many have failed, and are found sooner
FAR_EACH = 30 * SECOND  # those that are far are asked in turn so often: those near them ask them too
FAR_TURNS = 8  # and where the next one on the ring is far, it is asked in one of so many turns
PROBES = 2**16
PATIENCE = 5  # periods: a link may be slower than the pace of the probes
KEPT, FORGOTTEN = 256, 5 * SECOND  # questions remembered for their late answers


class Stage(enum.Enum):
    """How far a probe has come."""

    DIRECT = "direct"
    INDIRECT = "indirect"


@dataclass(slots=True)
class Probe:
    """A question that is out. `for_whom`: another member's, and its number there."""

    target: int
    life: int
    sent: int
    due: int
    stage: Stage = Stage.DIRECT
    number: int = 0  # as helpers and this member know it
    helpers: set[int] = field(default_factory=set)
    silent: set[int] = field(default_factory=set)  # helpers that have said nothing yet
    again: int = 0  # when it is asked once more, in the second stage
    for_whom: tuple[int, int] | None = None
    claim: bool = False  # is the old life of a name still there?


Post = Callable[..., None]


class Prober:
    """Asks one member each period, and whoever is suspected where this one is among its watchers."""

    def __init__(self, book: Book, links: Links, rng: random.Random, period_ns: int, post: Post) -> None:
        self.book, self.links, self.rng, self.period_ns, self.post = book, links, rng, period_ns, post
        self.probes: dict[int, Probe] = {}
        self.sent: dict[int, tuple[int, int]] = {}  # each question by its number: whom, when
        self.heard: dict[int, int] = {}  # when anything was last heard of a member, by any path
        self.late: dict[int, int] = {}  # when a member last answered late
        self.next_at = 0
        self.round: list[int] = []
        self.turn = self.far_at = 0
        self.number = rng.randrange(PROBES)
        self.answered_at = 0  # when any question was last answered
        self.failed_in_row = 0  # own probes that came to nothing since the last answer
        self.health = 0  # the worse this member fares itself, the more patient it is with others

    def usual(self, member: int) -> int:
        """How long an answer of it may take, ns."""
        return self.links.delay(member).patience(PATIENCE * self.period_ns)

    def patience(self, member: int) -> int:
        """How long this one waits for it, as it fares now."""
        return self.usual(member) * (1 + self.health)

    def ask(self, member: int, now: int, **more: object) -> None:
        """Asks a member itself."""
        known = self.book.get(member)
        probe = Probe(member, known.life if known is not None else 0, now, now + self.patience(member))
        for key, value in more.items():
            setattr(probe, key, value)
        if probe.for_whom is not None:
            # Not longer because this one fares badly: the asker would take its silence for its own trouble.
            probe.due = now + self.usual(member)
        probe.number = self._ping(member, now)
        self.probes[probe.number] = probe

    def _ping(self, member: int, now: int) -> int:
        """A question's number; it is its own, so that the answer tells the time that it took."""
        if len(self.sent) > KEPT:
            self.sent = {n: one for n, one in self.sent.items() if now - one[1] < FORGOTTEN}
        self.number = (self.number + 1) % PROBES
        while self.number in self.probes or self.number in self.sent:
            self.number = (self.number + 1) % PROBES
        self.sent[self.number] = member, now
        self.post(member, Kind.PING, probe=self.number)
        return self.number

    def asking(self, member: int) -> bool:
        """Is a question of this one's own to it out?"""
        return any(probe.target == member and probe.for_whom is None for probe in self.probes.values())

    def tick(self, now: int) -> list[Probe]:
        """Does what is due; the probes that have come to nothing."""
        if now >= self.next_at:
            suspects = len(self.book.others(State.SUSPECT))
            pace = self.period_ns // STORM if suspects > 1 else self.period_ns
            self.next_at = now + int(pace * self.rng.uniform(0.9, 1.1))
            self._next(now)
        failed = []
        for probe in list({id(probe): probe for probe in self.probes.values()}.values()):
            if probe.again and now >= probe.again:
                probe.again = 0
                self.probes[self._ping(probe.target, now)] = probe
            if now < probe.due:
                continue
            if probe.stage is Stage.INDIRECT or probe.for_whom is not None or probe.claim:
                self._over(probe)
                failed.append(probe)
            else:
                self._indirect(probe, now)
        return failed

    def _over(self, probe: Probe) -> None:
        self.probes = {number: one for number, one in self.probes.items() if one is not probe}

    def _indirect(self, probe: Probe, now: int) -> None:
        self.links.silent(probe.target)
        probe.stage = Stage.INDIRECT
        span = self.patience(probe.target)
        # Who is known not to reach it is of no help.
        barred = [m for m in self.links.rows if not self.links.reaches(m, probe.target)]
        helpers = self.book.pick(self.rng, HELPERS, probe.target, *barred)
        probe.helpers, probe.silent = set(helpers), set(helpers)
        for helper in helpers:
            self.post(helper, Kind.ASK, probe=probe.number, subject=probe.target)
        self.probes[self._ping(probe.target, now)] = probe
        slowest = max((self.patience(helper) for helper in helpers), default=0)
        probe.due = now + span + slowest  # a helper waits as long as this one does, and its word has to come
        probe.again = now + slowest // 2 if helpers else 0

    def _next(self, now: int) -> None:
        self.turn += 1
        target = next(iter(self.book.after(self.book.me)), None)
        far = target in self.book.roster.far
        if self.turn % 2 == 0 or (far and self.turn % FAR_TURNS != 1):
            target = self._in_turn(now) or target
        if target is None or self.asking(target):
            return
        lately = now - self.heard.get(target, -self.period_ns) < self.period_ns
        # One that fares badly itself asks on: only answers show that it is well again.
        if (
            lately
            and not self.health
            and now - self.links.tried.get(target, -TRIED_FOR) < TRIED_FOR
            and target not in self.links.failed
        ):
            return
        self.ask(target, now)

    def _in_turn(self, now: int) -> int | None:
        for _ in range(2):
            while self.round:
                known = self.book.get(member := self.round.pop())
                if known is not None and known.there:
                    return member
            self.round = self.book.others(State.ALIVE, State.SUSPECT)
            far = self.book.roster.far
            near = [member for member in self.round if member not in far]
            calm = far.isdisjoint(self.book.others(State.SUSPECT, State.DEAD))  # else more may be lost
            if near and calm and now - self.far_at < FAR_EACH:
                self.round = near
            else:
                self.far_at = now
            self.rng.shuffle(self.round)
        return None

    def answered(self, number: int, sender: int, subject: int, now: int) -> Probe | None:
        """An answer to a question of this member; the probe where it is one."""
        asked = self.sent.pop(number, None)
        if asked is not None and asked[0] == sender and subject in (sender, NOBODY):
            # Late or not: how long it takes is learnt, so that slow is not taken for dead the next time.
            # One that stood still answers all at once, as late as it stood: patience at most doubles by that.
            patience = self.usual(sender)
            took, late = now - asked[1], now - asked[1] > patience
            if not late or now - self.late.get(sender, -self.period_ns) >= self.period_ns:
                self.links.answered(sender, min(took, 2 * patience), now)
            if late:
                self.late[sender] = now
        probe = self.probes.get(number)
        if probe is None:
            return None
        through = subject == probe.target and sender in probe.helpers
        if sender != probe.target and not through:
            return None
        self._over(probe)
        self.failed_in_row, self.answered_at = 0, now
        if probe.for_whom is None:
            self.health //= 2  # an answer shows that this member hears and is heard now
        return probe

    def nack(self, number: int, sender: int) -> None:
        """A helper says that it heard nothing either: the way between it and this one is fine."""
        probe = self.probes.get(number)
        if probe is not None:
            probe.silent.discard(sender)

    def worse(self, by: int = 1) -> None:
        """Something says that this member itself fares badly."""
        self.health = min(HEALTH_MOST, self.health + by)

    def void(self) -> None:
        """After a standstill of this member nothing that was out says anything."""
        self.probes.clear()
        self.sent.clear()
        self.next_at = 0

    def due(self) -> int:
        """When `tick` has something to do."""
        return min([self.next_at, *(probe.again or probe.due for probe in self.probes.values())])
