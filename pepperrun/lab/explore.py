"""Every schedule of a small group up to a stated depth, over the members' own code. Does no I/O.

The world steps on by itself: the oldest datagram on its way arrives, or where there is none the next
timer fires. A deviation is one step that goes otherwise: a datagram is lost, overtaken, or doubled, a
timer fires before it, a member crashes and comes back, stands still, or is cut off from another for a
while. All sets of up to `depth` deviations within the first `window` steps are played, each to a calm
end; states are hashed, and one that was reached before with as many deviations left is not followed
again. No draw is random here: the group's choices are their first ones.

Invariants: at the end all hold one view of all and nobody is suspected (no live member that answers is
buried for good, a refuted suspicion ends); at every step at most one of two sides with nobody in common
takes itself for the larger one, who doubts itself grants nothing, who stood still doubts itself before it
grants again, and without loss, crash, cut or standstill nobody is buried.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from pepperrun.core.clock import SECOND
from pepperrun.lab.virtual import KEYS, MS
from pepperrun.membership.member import STALL_NS, Member
from pepperrun.membership.states import MemberConfig, OwnState
from pepperrun.membership.steps import Step, membership_status_of, step_of
from pepperrun.membership.wire import State

KINDS = ("lose", "overtake", "double", "timer", "crash", "pause", "cut")
BACK_NS = 1500 * MS  # a crashed or paused member comes back, a cut heals, after so long
WAY_NS = MS  # a datagram's way
CALM_NS = 12 * SECOND  # after the last deviation's end all must be well again
SEEN_NS = 2 * SECOND  # what it leaves behind shows within it
MOST_STEPS = 4000


class First(random.Random):
    """No draw is random: first ones, and the middle of a range."""

    def random(self) -> float:
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2

    def choice(self, seq: Any) -> Any:
        return seq[0]

    def sample(self, population: Any, k: int, *, counts: Any = None) -> list[Any]:
        return list(population)[:k]

    def shuffle(self, x: Any) -> None:
        return None

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        return 0 if stop is None else start


@dataclass(slots=True, frozen=True)
class Deviation:
    """At which step what goes otherwise, for whom."""

    step: int
    kind: str
    member: int = -1
    other: int = -1

    def __str__(self) -> str:
        whom = "" if self.member < 0 else f" n{self.member}" + (f" n{self.other}" if self.other >= 0 else "")
        return f"step {self.step}: {self.kind}{whom}"


@dataclass(slots=True)
class Outcome:
    """What a schedule came to."""

    broken: str = ""
    steps: int = 0
    states: list[tuple[int, int]] = field(default_factory=list)  # hash after each step of the window
    possible: list[list[Deviation]] = field(default_factory=list)


Make = Callable[[MemberConfig, int, int, int], Member]


class Group:
    """Some members, what is on its way between them, and who is down, stopped or cut off."""

    def __init__(self, count: int, make: Make = Member) -> None:
        self.count, self.make, self.now = count, make, SECOND
        self.members: list[Member | None] = [self._member(n, 1000) for n in range(count)]
        self.way: list[tuple[int, int, int, bytes]] = []  # arrives at, from, to, data
        self.back: dict[int, int] = {}  # when a crashed one starts again
        self.paused: dict[int, int] = {}  # until when one stands still
        self.waiting: dict[int, list[tuple[int, bytes]]] = {}
        self.cuts: dict[tuple[int, int], int] = {}  # a pair's cut, until when
        self.harmed = False
        self.broken = ""

    def _member(self, number: int, life: int) -> Member:
        member = self.make(MemberConfig(number, self.count, f"n{number}", KEYS), life, 1, self.now)
        member.rng = member.prober.rng = member.outbox.rng = First()
        member.on_event = lambda what: self._told(number, what.what, what.member)
        return member

    def _told(self, who: int, what: str, member: int) -> None:
        if what == "dead" and not self.harmed:
            self.broken = self.broken or f"n{who} buried n{member} though nothing was lost"

    def live(self) -> list[int]:
        """Those that run and do not stand still."""
        return [n for n, member in enumerate(self.members) if member is not None and n not in self.paused]

    def gather(self) -> None:
        """Until all are members with one view."""
        for _ in range(2000):
            if self.settled():
                return
            self.step()
        raise ValueError("the group never came to one view")

    def disturbed(self) -> bool:
        """Is anybody down, stopped or cut off?"""
        return bool(self.back or self.paused or self.cuts)

    def settled(self) -> bool:
        """One view of all, nobody suspected."""
        members = [member for member in self.members if member is not None]
        digests = {member.views.view.digest for member in members}
        full = all(len(member.views.view.members) == self.count for member in members)
        calm = not any(member.table.others_in(State.SUSPECT, State.DEAD) for member in members)
        return len(members) == self.count and len(digests) == 1 and full and calm

    # Steps.

    def _due(self) -> tuple[int, int]:
        """When the next timer is due, and whose; of a world's own events the number is -1."""
        dues = [(max(self.now, self._of(n).due()), n) for n in self.live()]
        ends = [*self.back.values(), *self.paused.values(), *self.cuts.values()]
        return min([*dues, *((end, -1) for end in ends)])

    def _of(self, number: int) -> Member:
        member = self.members[number]
        assert member is not None
        return member

    def step(self, timer: bool = False) -> None:
        """What comes next; `timer`: a timer, though a datagram would come first."""
        at, number = self._due()
        if self.way and not timer and self.way[0][0] <= at:
            arrives, sender, receiver, data = self.way.pop(0)
            self.now = max(self.now, arrives)
            self._arrive(sender, receiver, data)
            return
        self.now = max(self.now, at)
        if number < 0:
            self._world()
            return
        self._of(number).tick(self.now)
        self._collect(number)

    def _world(self) -> None:
        for number, at in list(self.back.items()):
            if at <= self.now:
                del self.back[number]
                self.members[number] = self._member(number, 1000 + self.now // (SECOND // 10))
        for number, at in list(self.paused.items()):
            if at <= self.now:
                del self.paused[number]
                member = self._of(number)
                was = member.own.state
                for sender, data in self.waiting.pop(number, []):
                    member.receive(sender, data, self.now)
                member.tick(self.now)
                granting = step_of(member, self.now) in (Step.COMPLETE, Step.MAJORITY)
                if was is OwnState.MEMBER and granting and BACK_NS >= STALL_NS:
                    self.broken = self.broken or f"n{number} stood still and grants the whole at once"
                self._collect(number)
        for pair, at in list(self.cuts.items()):
            if at <= self.now:
                del self.cuts[pair]

    def _arrive(self, sender: int, receiver: int, data: bytes) -> None:
        if receiver in self.paused:
            self.waiting.setdefault(receiver, []).append((sender, data))
        elif (member := self.members[receiver]) is not None:
            member.receive(sender, data, self.now)
            self._collect(receiver)

    def _collect(self, number: int) -> None:
        for receiver, data in self._of(number).outbox.take_outgoing():
            pair = min(number, receiver), max(number, receiver)
            if pair not in self.cuts:
                self.way.append((self.now + WAY_NS, number, receiver, data))

    def deviate(self, one: Deviation) -> None:
        """A step that goes otherwise."""
        match one.kind:
            case "lose":
                self.harmed = True
                self.way.pop(0)
            case "overtake":
                self.way.append(self.way.pop(0))
                self.way = [(max(at, self.now), a, b, data) for at, a, b, data in self.way]
            case "double":
                self.way.insert(1, self.way[0])
            case "timer":
                self.step(timer=True)
            case "crash":
                self.harmed = True
                self.members[one.member] = None
                self.back[one.member] = self.now + BACK_NS
            case "pause":
                self.harmed = True
                self.paused[one.member] = self.now + BACK_NS
            case "cut":
                self.harmed = True
                self.cuts[one.member, one.other] = self.now + BACK_NS

    def possible(self, step: int, kinds: Sequence[str]) -> list[Deviation]:
        """What may go otherwise now."""
        out = [Deviation(step, kind) for kind in ("lose", "double", "timer") if kind in kinds and self.way]
        if "overtake" in kinds and len(self.way) > 1:
            out.append(Deviation(step, "overtake"))
        for number in self.live():
            out += [Deviation(step, kind, number) for kind in ("crash", "pause") if kind in kinds]
        if "cut" in kinds:
            pairs = [(a, b) for a in range(self.count) for b in range(a + 1, self.count)]
            out += [Deviation(step, "cut", *pair) for pair in pairs if pair not in self.cuts]
        return out

    # What is checked.

    def check(self) -> str:
        """The invariants of each step; the text of one that is broken."""
        if self.broken:
            return self.broken
        larger = []
        for number in self.live():
            member = self._of(number)
            step = step_of(member, self.now)
            if step is Step.MAJORITY:
                larger.append((number, member.views.view.member_numbers()))
            if (
                step in (Step.SELF_SUSPECT, Step.NOT_MEMBER)
                and membership_status_of(member, self.now).may_grant
            ):
                return f"n{number} grants in step {step.value}"
        for index, (number, view) in enumerate(larger):
            for other, its_view in larger[index + 1 :]:
                if not view & its_view:
                    return f"n{number} and n{other} both take themselves for the larger side"
        return ""

    def state(self) -> int:
        """A hash of all that decides what comes next, times as spans from now."""
        now = self.now
        parts: list[tuple[Any, ...]] = []
        for number, member in enumerate(self.members):
            if member is None:
                parts.append(("down", self.back[number] - now))
                continue
            records = sorted(
                (
                    one.member,
                    *one.precedence(),
                    now - one.since,
                    one.reported_dead,
                    tuple(sorted(one.suspicion_reporters)),
                )
                for one in member.table.records.values()
            )
            probes = sorted(
                (
                    p.target,
                    p.stage.value,
                    p.deadline - now,
                    p.repeat_at and p.repeat_at - now,
                    p.on_behalf_of or (),
                    p.checks_claim,
                )
                for p in member.prober.probes.values()
            )
            fresh = sorted(member.table.pending_gossip.items())
            own = (
                *(member.own.state.value, member.own.generation, member.own.incarnation),
                *(member.suspects_itself, member.prober.local_health),
            )
            timers = (
                member.prober.next_probe_at - now,
                member.reconnect_at - now,
                member.gossip_at and member.gossip_at - now,
            )
            view = (member.views.view.number, member.views.view.digest, member.prober.period_count % 2)
            heard = sorted((m, now - at) for m, at in member.prober.last_contact.items())
            parts.append(
                (*own, *timers, *view, records, probes, fresh, heard, self.paused.get(number, now) - now)
            )
        way = [(at - now, a, b, data[2], data[40:]) for at, a, b, data in self.way]
        cuts = sorted((pair, at - now) for pair, at in self.cuts.items())
        text = repr((parts, way, cuts)).encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "little")


def play(
    count: int, schedule: Sequence[Deviation], window: int, kinds: Sequence[str], make: Make = Member
) -> Outcome:
    """Plays a schedule to its calm end."""
    group = Group(count, make)
    group.gather()
    outcome, left, last = Outcome(), list(schedule), schedule[-1].step if schedule else -1
    calm_at: int | None = None
    for number in range(MOST_STEPS):
        if left and left[0].step == number:
            group.deviate(left.pop(0))
        else:
            if number > last and number < window:
                outcome.possible.append(group.possible(number, kinds))
                outcome.states.append((number, group.state()))
            group.step()
        outcome.steps += 1
        broken = group.check()
        if broken:
            outcome.broken = f"{group.now / SECOND:.3f} s: {broken}"
            return outcome
        if number >= window and not left and not group.disturbed():
            calm_at = calm_at or group.now
            if group.settled() and group.now - calm_at > SEEN_NS:
                return outcome
            if group.now - calm_at > CALM_NS:
                break
    outcome.broken = (
        f"{group.now / SECOND:.3f} s: no common view of all, {CALM_NS / SECOND:g} s after all was calm"
    )
    return outcome


@dataclass(slots=True)
class Found:
    """What a search came to."""

    schedules: int = 0
    steps: int = 0
    states: int = 0
    merged: int = 0
    broken: list[tuple[str, list[str]]] = field(default_factory=list)


def search(
    count: int,
    depth: int,
    window: int,
    kinds: Sequence[str] = KINDS,
    make: Make = Member,
    first: Sequence[Deviation] = (),
    most_broken: int = 3,
) -> Found:
    """All schedules with up to `depth` deviations, after those of `first`."""
    found, seen = Found(), dict[int, int]()

    def follow(schedule: list[Deviation]) -> None:
        outcome = play(count, schedule, window, kinds, make)
        found.schedules += 1
        found.steps += outcome.steps
        if outcome.broken:
            found.broken.append((outcome.broken, [str(one) for one in schedule]))
            return
        left = depth - len(schedule)
        if left <= 0:
            return
        for (_, state), possible in zip(outcome.states, outcome.possible, strict=True):
            if seen.get(state, -1) >= left:
                found.merged += 1
                continue
            if state not in seen:
                found.states += 1
            seen[state] = left
            for one in possible:
                if len(found.broken) < most_broken:
                    follow([*schedule, one])

    follow(list(first))
    return found


def split(count: int, window: int, kinds: Sequence[str]) -> list[Deviation]:
    """The first deviations, for a search over several processes."""
    outcome = play(count, [], window, kinds)
    return [one for possible in outcome.possible for one in possible]


class Meek(Member):
    """A bug put in on purpose: it does not deny its own death."""

    def _refute(self, rumour: Any, now: int) -> None:
        if rumour.state is not State.DEAD:
            super()._refute(rumour, now)


class Proud(Member):
    """A bug put in on purpose: after a standstill it does not doubt itself."""

    def _detect_stall(self, now: int) -> None:
        self.last_run_at = max(now, self.last_run_at)


MUTANTS: dict[str, Make] = {"": Member, "meek": Meek, "proud": Proud}
