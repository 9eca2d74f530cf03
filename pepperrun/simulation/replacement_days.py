"""Days of replaced core machines: how soon another loss can be borne, and what such a loss does at each step.

A planned replacement starts the new machine first and then tells the old one to stop; an unplanned one kills
the old machine with its disk, and the new one comes later elsewhere. Two may come in a row, operators
may race meanwhile, the leaver may be killed while it hands over. Then, at a drawn step, as much is lost as
`withstand` allows: any so many machines, or a region, with their disks or without, at times while all others
lose power. An operator's change has to be acknowledged within `contact_ms` of it where a majority is left.

`python3 -m pepperrun.simulation.replacement_days --seeds 200` plays them.
"""

from __future__ import annotations

import argparse
import enum
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import combinations

from pepperrun.consensus.timeouts import MS, Timeouts
from pepperrun.simulation.consensus_world import World

LOOK_MS = 10  # between two looks at a replacement
LONGEST_MS = 12_000
DARK_MS = 900  # between a loss of all power and its return


@dataclass(frozen=True)
class Site:
    """A core and what it has to bear."""

    machines: int
    most: int  # voters
    lost: int  # machines that may be lost at once
    catch_up_ms: int
    contact_ms: int


SMALL = Site(machines=5, most=5, lost=1, catch_up_ms=4000, contact_ms=4000)
GROWN = Site(machines=12, most=7, lost=2, catch_up_ms=6000, contact_ms=5000)


class Kind(enum.Enum):
    """How a machine is replaced."""

    PLANNED = "planned"
    KILLED_MIDWAY = "planned, the leaver killed midway"
    UNPLANNED = "unplanned"
    EMPTY = "back with an empty disk"
    TWO = "two in a row"


class Step(enum.Enum):
    """When the other loss comes."""

    TOLD = "told to stop"
    KEEPER = "the keeper's duty handed over"
    JOINT = "joint voters chosen"
    AFTER = "new voters chosen"
    ENDED = "the old one ended"
    CAUGHT_UP = "catch_up_s after the new one's start"


PLANNED_STEPS = list(Step)


class Loss(enum.Enum):
    """What the other loss is."""

    KILLED = "killed"
    DISKS = "disks lost"
    CLOSING = "disks lost, all others dark"


@dataclass(frozen=True)
class Bugs:
    """Put in on purpose."""

    lost_ms: int | None = None  # a silent voter keeps its place for so long
    stays_named: bool = False  # who is told to stop ends at once, with its vote


@dataclass
class Times:
    """ms, measured."""

    bearable: list[float] = field(default_factory=list)  # from the new machine's start
    left: list[float] = field(default_factory=list)  # from being told to stop to the end
    acknowledged: list[float] = field(default_factory=list)  # from the other loss to an acknowledgement


class Day:
    """One of them; `play` says what went wrong, or nothing."""

    def __init__(self, seed: int, site: Site = SMALL, bugs: Bugs | None = None) -> None:
        bugs = bugs or Bugs()
        pace = Timeouts() if bugs.lost_ms is None else replace(Timeouts(), voter_ns=bugs.lost_ms * MS)
        self.rng, self.site = random.Random(seed), site
        self.world = World(site.machines, seed, most=site.most, pace=pace)
        self.world.waits_released = not bugs.stays_named
        self.times, self.edition = Times(), 0
        self.kind, self.loss = self.rng.choice(list(Kind)), self.rng.choice(list(Loss))
        self.step = self.rng.choice(PLANNED_STEPS if self.kind is Kind.PLANNED else [Step.CAUGHT_UP])

    @property
    def name(self) -> str:
        """What is played."""
        return f"{self.kind.value}; at: {self.step.value}; {self.loss.value}"

    # What may be lost.

    def losses(self) -> list[frozenset[str]]:
        """All that may be lost at once: so many machines, or a region."""
        there = [ip for ip, one in self.world.machines.items() if not one.gone]
        losses = [frozenset(some) for some in combinations(there, self.site.lost)]
        for region in sorted(set(self.world.regions.values())):
            losses.append(frozenset(ip for ip in there if self._region(ip) == region))
        return losses

    def _region(self, ip: str) -> str:
        return self.world.regions[self.world.machines[ip].zone]

    # A day.

    def play(self) -> str:
        """What went wrong, or nothing."""
        world = self.world
        world.run(4000)
        self._operate()
        world.run(self.rng.uniform(100, 1000))
        wrong = ""
        for _ in range(2 if self.kind is Kind.TWO else 1):
            wrong = wrong or self._replace()
        wrong = wrong or world.wrong or self._another_loss()
        return wrong or world.wrong

    def _replace(self) -> str:
        """A machine is replaced, up to the step at which the other loss comes."""
        planned = self.kind in (Kind.PLANNED, Kind.KILLED_MIDWAY)
        if self.kind is Kind.TWO:
            planned = self.rng.random() < 0.5
        old = self.rng.choice(sorted(one.ip for one in self.world.newest.voters))
        if planned:
            return self._planned(old)
        return self._unplanned(old, same=self.kind is Kind.EMPTY)

    def _planned(self, old: str) -> str:
        world = self.world
        new = world.add(zone=world.machines[old].zone)
        world.start(new)
        world.run(self.site.catch_up_ms + self.rng.uniform(0, 500))
        self._operate()
        told = world.now
        world.retire(old)
        if self.kind is Kind.KILLED_MIDWAY:
            world.run(self.rng.uniform(0, 400))
            world.remove(old)
            world.run(self.site.catch_up_ms)
            return self._bears(f"{old} was killed while it handed over")
        keeper = world.newest.coordinator
        steps: dict[Step, Callable[[], bool]] = {
            Step.TOLD: lambda: True,
            Step.KEEPER: lambda: keeper != old or world.newest.coordinator != old,
            Step.JOINT: lambda: bool(world.newest.outgoing_voters) or old not in world.newest.voter_ips,
            Step.AFTER: lambda: old not in world.newest.voter_ips,
        }
        if self.step in steps:
            return self._until(steps[self.step], f"{old} never came to: {self.step.value}")
        wrong = self._until(lambda: world.machines[old].replica is None, f"{old} never ended")
        self.times.left.append((world.now - told) / MS)
        world.remove(old)
        return wrong or self._bears(f"{old} has ended, its successor is there for long")

    def _unplanned(self, old: str, same: bool) -> str:
        world = self.world
        zone = world.machines[old].zone
        if same:
            world.wipe(old)
        else:
            world.remove(old)
        self._operate()
        world.run(self.rng.choice([0, 200, 1000, 3000]))
        new = old if same else world.add(zone=zone)
        world.start(new)
        started = world.now
        wrong = self._until(lambda: not world.unbearable(self.losses()), "no other loss can be borne")
        took = (world.now - started) / MS
        self.times.bearable.append(took)
        if not wrong and took > self.site.catch_up_ms:
            wrong = f"another loss can be borne only {took:.0f} ms after {new} has started"
        world.run(max(0.0, self.site.catch_up_ms - took))
        return wrong or self._bears(f"{new} had its time to catch up")

    def _uneven(self) -> str:
        """Is there a loss that would take a majority of a set of voters, were all others there?"""
        value = self.world.newest
        for lost in self.losses():
            for group in value.voter_groups:
                if 2 * sum(one.ip in lost for one in group) >= len(group):
                    return f"{sorted(lost)} have half of the voters of {value}"
        return ""

    def _bears(self, when: str) -> str:
        bad = self.world.unbearable(self.losses())
        return f"{when}, and no majority of {self.world.newest} bears {sorted(bad[0])}" if bad else ""

    def _another_loss(self) -> str:
        """As much as may be lost goes; a change has to get its answer; then all come back."""
        world = self.world
        self._operate()
        world.run(self.rng.choice([0, 1, 30, 80, 300]))
        lost = self.rng.choice(self.losses())
        others = [ip for ip, one in world.machines.items() if not one.gone and ip not in lost]
        disks = self.loss is not Loss.KILLED
        for ip in sorted(lost):
            world.wipe(ip) if disks else world.kill(ip, power=True)
        if self.loss is Loss.CLOSING:
            for ip in others:
                world.kill(ip, power=True)
            world.run(DARK_MS)
            for ip in others:
                world.start(ip)
        lost_at = world.now
        one = world.change(self._newest(), self._next(), self.rng.sample(others, len(others)))
        wrong = self._until(lambda: one.answer is not None, f"no answer after {sorted(lost)} went")
        took = (world.now - lost_at) / MS
        self.times.acknowledged.append(took)
        if not wrong and took > self.site.contact_ms:
            wrong = f"the answer came {took:.0f} ms after {sorted(lost)} went"
        for ip in sorted(lost):
            world.start(ip)
        world.run(9000)
        return wrong or world.settled()

    # Operators.

    def _operate(self) -> None:
        """Operators change the configuration: one, or two that race, or none."""
        ips = [ip for ip, one in self.world.machines.items() if not one.gone]
        on = self._newest()
        for _ in range(self.rng.choice([0, 1, 1, 2])):
            self.world.change(on, self._next(), self.rng.sample(ips, len(ips)))

    def _newest(self) -> int:
        bodies = [one.replica.body for one in self.world.machines.values() if one.replica]
        return max((body.get("edition", 0) for body in bodies), default=0)

    def _next(self) -> int:
        self.edition += 1
        return self.edition

    def _until(self, there: Callable[[], bool], else_wrong: str) -> str:
        end = self.world.now + LONGEST_MS * MS
        while not there():
            uneven = self._uneven()
            if uneven:
                return uneven
            if self.world.now >= end or self.world.wrong:
                return self.world.wrong or else_wrong
            self.world.run(LOOK_MS)
        return ""


def spread(times: list[float]) -> str:
    """Median and longest, ms."""
    if not times:
        return "none"
    ordered = sorted(times)
    return f"{ordered[len(ordered) // 2]:.0f}/{ordered[-1]:.0f}"


def main() -> None:
    """A line for each seed that broke, and one for all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--grown", action="store_true", help="twelve machines, seven vote")
    parser.add_argument("--lost-ms", type=int, help="a bug put in on purpose: a silent voter keeps its place")
    parser.add_argument("--stays-named", action="store_true", help="a bug: who is told to stop just ends")
    given = parser.parse_args()
    site, bugs = GROWN if given.grown else SMALL, Bugs(given.lost_ms, given.stays_named)
    began, broken, kinds, times = time.monotonic(), 0, Counter[str](), Times()
    fewest: list[int] = []
    for seed in range(given.first, given.first + given.seeds):
        day = Day(seed, site, bugs)
        wrong = day.play()
        kinds[day.kind.value] += 1
        times.bearable += day.times.bearable
        times.left += day.times.left
        times.acknowledged += day.times.acknowledged
        fewest.append(day.world.copies.fewest or 0)
        if wrong:
            broken += 1
            print(f"seed={seed} ({day.name}) broken={wrong!r}")
    print(
        f"days={given.seeds} broken={broken} took_s={time.monotonic() - began:.1f} kinds={dict(kinds)}\n"
        f"median/longest ms: bearable after a start {spread(times.bearable)},"
        f" from being told to stop to the end {spread(times.left)},"
        f" acknowledged after another loss {spread(times.acknowledged)}; fewest copies {min(fewest)}"
    )


if __name__ == "__main__":
    main()
