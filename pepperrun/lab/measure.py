"""How soon a failure is known to all: with real processes, and the same in virtual time. Shown side by side.

A fault is over once all others have said that its member is dead; then the member comes back and all hold one
view again. Times are the gatekeepers' own, on the machine's one monotonic clock.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

from pepperrun.bench.rig import RigError, usage
from pepperrun.core.clock import SECOND
from pepperrun.lab.processes import Gatekeeper, Processes
from pepperrun.lab.scenario import Fleet, Load, Scenario
from pepperrun.lab.virtual import MS, Members, Path

Kind = Literal["kill", "pause", "cut"]
KINDS: tuple[Kind, ...] = ("kill", "pause", "cut")
MOST_S = 12.0  # a failure that is not known to all by then counts as so late
IDLE_S = 10.0
QUIET_S = 120.0  # at most, until a start is no news any more
Say = Callable[[str], None]
# As a datagram's way over loopback, through the relay, and its turn in a busy process.
LOOPBACK = Path(delay=MS // 2, jitter=MS)
TURN_NS = MS


def percentiles(values: list[float]) -> dict[str, float]:
    """p50, p99 (the worst of less than 100) and the worst, in seconds."""
    if not values:
        return {"p50": 0.0, "p99": 0.0, "worst": 0.0}
    ranked = sorted(values)
    at = min(len(ranked) - 1, int(0.99 * len(ranked)))
    return {
        "p50": round(ranked[len(ranked) // 2], 3),
        "p99": round(ranked[at], 3),
        "worst": round(ranked[-1], 3),
    }


def found(
    count: int, loss: float, times: dict[str, list[float]], views: list[float], more: dict[str, Any]
) -> dict[str, Any]:
    """A row: detection by kind of fault, and time until one view after a return."""
    row: dict[str, Any] = {"members": count, "loss": loss, "faults": {k: len(v) for k, v in times.items()}}
    row |= {f"{kind}_s": percentiles(values) for kind, values in times.items()}
    return row | {"one_view_after_return_s": percentiles(views)} | more


MOST_TOLD = 50  # false burials that a row tells: when, by whom, of whom


class Times(msgspec.Struct):
    """Seconds."""

    p50: float
    p99: float
    worst: float


class Row(msgspec.Struct):
    """What a row of `--json` has."""

    where: Literal["real", "virtual"]
    members: int
    loss: float
    faults: dict[str, int]
    kill_s: Times
    pause_s: Times
    cut_s: Times
    one_view_after_return_s: Times
    datagrams_a_member_a_second: float
    bytes_a_member_a_second: int
    false_burials: int
    seconds: int
    cpu_ms_a_member_a_second: float | None = None  # of real ones


class Rows(msgspec.Struct):
    """The file."""

    rows: list[Row]


@dataclass
class Script:
    """What was done to whom, to tell a burial for nothing from a true one. Times in ns."""

    spans: list[tuple[int, int, int]] = field(default_factory=list)  # whose, from, until all see it back
    cuts: list[tuple[int, int, int]] = field(default_factory=list)  # who was cut off, from, until

    def explains(self, who: int, buried: int, at: int) -> bool:
        """A victim till it is believed to be back; whoever is cut off may bury all the others."""
        return any(n == buried and a <= at <= b + 2 * SECOND for n, a, b in self.spans) or any(
            n == who and a <= at <= b for n, a, b in self.cuts
        )


class Real:
    """A group of real gatekeepers without load."""

    def __init__(self, count: int, loss: float, seed: int) -> None:
        fleet = Fleet(gatekeepers=count, workers=1)
        self.scenario = Scenario("measure", "Detection without load.", 3600.0, fleet, Load(customers=0))
        self.count, self.loss, self.seed = count, loss, seed
        self.script = Script()

    def measure(self, faults: int, kinds: tuple[Kind, ...], say: Say) -> dict[str, Any]:
        """`faults` of each kind, one after the other."""
        times: dict[str, list[float]] = {kind: [] for kind in kinds}
        views: list[float] = []
        with Processes(self.scenario, self.seed, shared=True) as lab:
            self.lab, self.since = lab, dict.fromkeys(range(self.count), 0)
            self.events: list[tuple[int, dict[str, Any]]] = []
            # The last view of each: when, digest, members.
            self.views = dict.fromkeys(range(self.count), (0, "", 0))
            if self.loss:
                every = [[a, b] for a in range(self.count) for b in range(self.count) if a != b]
                lab.relay.ask(do="set", pairs=every, links=[], what={"loss": self.loss})
            self._one_view(30.0)
            began = time.monotonic()
            before, cpu = lab.relay.ask(do="counts"), self._cpu_s()
            time.sleep(IDLE_S)
            after, cpu = lab.relay.ask(do="counts"), self._cpu_s() - cpu
            span = time.monotonic() - began
            for turn in range(faults):
                for kind in kinds:
                    victim = lab.gatekeepers[(turn * 7 + KINDS.index(kind)) % self.count]
                    took, view = self._fault(kind, victim)
                    times[kind].append(took)
                    views.append(view)
                say(f"{self.count} members, loss {self.loss:g}: {turn + 1} of {faults}")
            self._look()
            seconds = time.monotonic() - began
            false = [
                (round(event["at"] / SECOND - began, 1), who, event["member"])
                for who, event in self.events
                if event["what"] == "dead" and not self.script.explains(who, event["member"], event["at"])
            ]
        more = {
            "datagrams_a_member_a_second": round(
                (after["members"] - before["members"]) / self.count / span, 2
            ),
            "bytes_a_member_a_second": round(
                (after["members_bytes"] - before["members_bytes"]) / self.count / span
            ),
            "cpu_ms_a_member_a_second": round(1000 * cpu / self.count / span, 2),
            "false_burials": len(false),
            "first_false": sorted(false)[:MOST_TOLD],
            "seconds": round(seconds),
        }
        return found(self.count, self.loss, times, views, more)

    def _cpu_s(self) -> float:
        return sum(usage(one.process.pid).cpu_s for one in self.lab.gatekeepers if one.process is not None)

    def _look(self) -> None:
        for one in self.lab.gatekeepers:
            table = one.ask(f"members since {self.since[one.number]}")
            for event in (table or {}).get("events", []):
                self.since[one.number] = max(self.since[one.number], event["at"])
                self.events.append((one.number, event))
                if event["what"] == "view":
                    _, digest, members = event["detail"].split()
                    self.views[one.number] = event["at"], digest, int(members)

    def _one_view(self, within_s: float) -> float:
        """When the last one took the view that all hold; RigError where they come to none."""
        limit = time.monotonic() + within_s
        while time.monotonic() < limit:
            # By events alone: all that 48 know, asked for four times a second, is a load by itself.
            self._look()
            digests = {digest for _, digest, members in self.views.values() if members == self.count}
            if len(digests) == 1 and all(members == self.count for _, _, members in self.views.values()):
                return max(at for at, _, _ in self.views.values()) / SECOND
            time.sleep(0.25)
        raise RigError(f"{self.count} members came to no common view in {within_s:g} s")

    def _fault(self, kind: Kind, victim: Gatekeeper) -> tuple[float, float]:
        number = victim.number
        pairs = [
            [a, b]
            for other in range(self.count)
            if other != number
            for a, b in ((number, other), (other, number))
        ]
        start = time.monotonic_ns()
        if kind == "kill":
            victim.kill()
            self.views[number] = start, "", 0
        elif kind == "pause":
            victim.pause(True)
        else:
            self.lab.relay.ask(do="set", pairs=pairs, links=[], what={"cut": 1.0})
        took = self._until_dead(number, start)
        back = time.monotonic_ns()
        if kind == "kill":
            victim.start()
            if not victim.ready():
                raise RigError(f"{victim.name} did not start again")
            back = time.monotonic_ns()
        elif kind == "pause":
            victim.pause(False)
        else:
            self.lab.relay.ask(do="set", pairs=pairs, links=[], what={"cut": 0.0})
            self.script.cuts.append((number, start, time.monotonic_ns()))
        view = max(0.0, self._one_view(30.0) - back / SECOND)
        self.script.spans.append((number, start, time.monotonic_ns()))
        return took, view

    def _until_dead(self, number: int, start: int) -> float:
        """Until the last of the others has said that it is dead, in seconds."""
        said: dict[int, int] = {}
        limit = time.monotonic() + MOST_S
        time.sleep(0.4)
        while time.monotonic() < limit:
            seen = len(self.events)
            self._look()
            for who, event in self.events[seen:]:
                if (
                    event["what"] == "dead"
                    and event["member"] == number
                    and event["at"] > start
                    and who != number
                ):
                    said.setdefault(who, event["at"])
            if len(said) == self.count - 1:
                return (max(said.values()) - start) / SECOND
            time.sleep(0.25)
        return MOST_S


def virtual(
    count: int, loss: float, seed: int, faults: int, kinds: tuple[Kind, ...] = KINDS
) -> dict[str, Any]:
    """The same in virtual time."""
    path = Path(loss=loss, delay=LOOPBACK.delay, jitter=LOOPBACK.jitter)
    world = Members(count, seed, path, TURN_NS)
    world.start_all()
    if not world.run(30, world.settled):
        raise RigError(f"{count} members came to no common view")
    times: dict[str, list[float]] = {kind: [] for kind in kinds}
    views: list[float] = []
    # What each has to say of a start of hundreds goes on for seconds after all hold one view.
    world.run(QUIET_S, lambda: not any(world.member(number).gossip_at for number in world.up()))
    datagrams, size, began = world.datagrams, world.bytes, world.now
    world.run(IDLE_S)
    idle = world.datagrams - datagrams, world.bytes - size
    script = Script()
    for turn in range(faults):
        for kind in kinds:
            number, start = (turn * 7 + KINDS.index(kind)) % count, world.now
            others = [other for other in range(count) if other != number]
            if kind == "kill":
                world.kill(number)
            elif kind == "pause":
                world.pause(number, 100.0)
            else:
                world.cut([number], others)

            def known(number: int = number, others: list[int] = others) -> bool:
                return all(world.holds_dead(other, number) for other in others)

            world.run(MOST_S, known)
            times[kind].append((world.now - start) / SECOND)
            back = world.now
            if kind == "kill":
                world.start(number)
            elif kind == "pause":
                world.resume(number)
            else:
                world.cut([number], others, on=False)
                script.cuts.append((number, start, back))
            world.run(30, world.settled)
            views.append((world.now - back) / SECOND)
            script.spans.append((number, start, world.now))
            world.run(0.3)
    false = [
        one
        for who, one in world.happened
        if one.what == "dead" and not script.explains(who, one.member, one.at)
    ]
    more = {
        "datagrams_a_member_a_second": round(idle[0] / count / IDLE_S, 2),
        "bytes_a_member_a_second": round(idle[1] / count / IDLE_S),
        "false_burials": len(false),
        "seconds": round((world.now - began) / SECOND),
    }
    return found(count, loss, times, views, more)


def agreement(count: int, seed: int) -> dict[str, tuple[float, int]]:
    """In virtual time: seconds until all that can hear each other hold one view, and the most views passed.

    After seven in ten are killed at once, after they are back, after halves are cut apart, after the cut
    heals, and after a rolling restart (each down for 0.4 s of a second).
    """
    world = Members(count, seed, Path(delay=LOOPBACK.delay, jitter=LOOPBACK.jitter), TURN_NS)
    world.start_all()
    if not world.run(30, world.settled):
        raise RigError(f"{count} members came to no common view")
    world.run(2)
    found: dict[str, tuple[float, int]] = {}

    def timed(name: str, holds: Callable[[], bool], since: int) -> None:
        start = world.now
        if not world.run(30, holds):
            raise RigError(f"{count} members, seed {seed}: no common view after {name}")
        seen: dict[int, int] = {}
        for number, one in world.happened:
            if one.what == "view" and one.at >= since:
                seen[number] = seen.get(number, 0) + 1
        found[name] = round((world.now - start) / SECOND, 3), max(seen.values(), default=0)
        world.run(2)

    dead = world.random.sample(range(count), count * 7 // 10)
    for number in dead:
        world.kill(number)
    timed("mass kill", world.settled, world.now)
    for number in dead:
        world.start(number)
    timed("all back", world.settled, world.now)
    names = list(range(count))
    world.random.shuffle(names)
    some, others = names[: count // 2], names[count // 2 :]
    world.cut(some, others)
    timed("halves", lambda: world.agreed(some) and world.agreed(others), world.now)
    world.cut(some, others, on=False)
    timed("heal", world.settled, world.now)
    since = world.now
    for number in range(count):
        world.kill(number)
        world.run(0.4)
        world.start(number)
        world.run(0.6)
    timed("rolling restart", world.settled, since)
    return found


def table(rows: list[dict[str, Any]]) -> str:
    """For people."""
    lines = [
        f"{'where':8} {'n':>4} {'loss':>5} {'faults':>6}"
        + "".join(f" {kind + ' p50':>10} {'p99':>6} {'worst':>6}" for kind in KINDS)
        + f" {'view p99':>9} {'msg/s':>6} {'B/s':>6} {'cpu ms':>6} {'false':>5} {'s':>6}"
    ]
    for row in rows:
        cells = ""
        for kind in KINDS:
            one = row.get(f"{kind}_s", {"p50": 0.0, "p99": 0.0, "worst": 0.0})
            cells += f" {one['p50']:10.2f} {one['p99']:6.2f} {one['worst']:6.2f}"
        cpu = row.get("cpu_ms_a_member_a_second")
        lines.append(
            f"{row['where']:8} {row['members']:4} {row['loss']:5.2f} {max(row['faults'].values()):6}{cells}"
            f" {row['one_view_after_return_s']['p99']:9.2f} {row['datagrams_a_member_a_second']:6.1f}"
            f" {row['bytes_a_member_a_second']:6} {'' if cpu is None else f'{cpu:.1f}':>6}"
            f" {row['false_burials']:5} {row['seconds']:6}"
        )
    return "\n".join(lines)


def ordered(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """As a table has them."""
    return sorted(rows, key=lambda row: (row["where"], row["members"], row["loss"]))


def rows_of(text: str, name: str) -> list[dict[str, Any]]:
    """The rows that an earlier measurement wrote; ValueError naming the file where they are none."""
    try:
        msgspec.json.decode(text, type=Rows)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{name}: {error}") from None
    return list(json.loads(text)["rows"])


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """Detection and datagrams by size, real and virtual."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for where, line in (("real", "o-"), ("virtual", "x--")):
        for loss, colour in ((0.0, "tab:blue"), (0.05, "tab:orange"), (0.2, "tab:red")):
            mine = sorted(
                (r for r in rows if r["where"] == where and r["loss"] == loss),
                key=lambda r: int(r["members"]),
            )
            if not mine:
                continue
            label = f"{where}, loss {loss:g}"
            sizes = [row["members"] for row in mine]
            left.plot(sizes, [row["kill_s"]["p50"] for row in mine], line, color=colour, label=label)
            left.plot(sizes, [row["kill_s"]["p99"] for row in mine], line, color=colour, alpha=0.4)
            right.plot(
                sizes, [row["datagrams_a_member_a_second"] for row in mine], line, color=colour, label=label
            )
    for axis, title in (
        (left, "a killed one is known to all, s (pale: p99)"),
        (right, "datagrams a member a second"),
    ):
        axis.set_xscale("log", base=2)
        axis.set_xlabel("members")
        axis.set_title(title)
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
    left.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
