"""Days on which control nodes are cut off, drawn by a seed; the histories of calls are judged linearizable.

The control nodes' own `Hub` and `ControlApi` run on virtual loops, two gateways subscribe to their news,
three operators race. A trouble lasts up to twenty seconds and befalls the reader, the keeper, or the node
that acknowledged last. Judged besides: a node that reaches no other answers 503 and nothing else, at once
when it has had the time to know; gateways leave it, and never hold an older number than before.

`python3 -m pepperrun.simulation.cutoff_days --seeds 200` plays them.
"""

from __future__ import annotations

import argparse
import os
import random
import sys
import time
from asyncio import TimerHandle
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from pepperrun import log
from pepperrun.consensus.register import Phase
from pepperrun.control.matchers import Answer, Call
from pepperrun.control.node import ControlNode
from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.distribution.service import DistributionService
from pepperrun.simulation import control_bugs
from pepperrun.simulation.cutoff_operators import Operator, observed
from pepperrun.simulation.histories import Amend, CallRecord, Read, Replace
from pepperrun.simulation.linearizability import Judgement, judge, worded
from pepperrun.simulation.nodes import PORT, Core, settings_of
from pepperrun.simulation.virtual_time import MS, Loop, Machine, World, spawn

SECOND = 1000 * MS
ZONES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1", "z4": "r2"}
KINDS = ("silence", "inbound", "outbound", "refusal", "reset", "freeze", "disk")
SPANS_S = (0.4, 1.5, 4.0, 9.0, 20.0)
RESET_EVERY_MS = 300
PATIENCE = SECOND  # of a caller
KNOWN = 1800 * MS  # a node has noticed by then that it is cut off
AT_ONCE = 5 * MS  # an answer that waits for nobody
MOST_WAIT = 900 * MS  # any answer of a node that runs
LEFT = 4500 * MS  # gateways have left a node that is cut off by then
LOOK = 100 * MS
TAIL = 9 * SECOND  # until all is well again
LOST_ANSWERS = 0.05

LINEARIZABLE = "linearizable"  # the history of the configuration, and that of each zone
SILENT = "cut-off-says-nothing"  # a node that reaches no other answers 503 and nothing else
PROMPT = "prompt"  # at once when it knows that, in 900 ms in any case
FRESH = "gateway-fresh"  # what a gateway calls fresh holds all that was acknowledged before
FORWARD = "gateway-forward"  # it never goes back
FOLLOW = "gateway-leaves"  # it reads from no node that has long been cut off
WELL = "well-in-the-end"


@dataclass(slots=True)
class Isolation:
    """A span in which nothing that a node asks is answered. `closed`: when it ended."""

    node: str
    began: int
    closed: int = 1 << 62


@dataclass(slots=True)
class Gateway:
    """A subscriber, and the newest number that it has held."""

    machine: Machine
    news: DistributionService
    number: int = 0


@dataclass(slots=True)
class Found:
    """What a day showed."""

    broken: dict[str, str] = field(default_factory=dict)  # by rule, what was seen first
    records: list[CallRecord] = field(default_factory=list)
    judgements: tuple[Judgement, ...] = ()
    kinds: Counter[str] = field(default_factory=Counter)


class Day:
    """One of them."""

    def __init__(self, seed: int, bug: str = "") -> None:
        self.rng = random.Random(seed)
        self.world = World(seed)
        self.world.loss = self.rng.choice((0.0, 0.0, 0.03))
        self.found = Found()
        self.records = self.found.records
        self.working = True
        self.isolations: list[Isolation] = []
        self.cuts: list[set[tuple[str, str]]] = []
        self.refused: list[set[tuple[str, str]]] = []
        self.busy_until: dict[str, int] = {}
        self.last_acknowledged = ""
        self.gateways: list[Gateway] = []
        self._place(self.rng.choice((3, 3, 5)), bug)

    def _place(self, count: int, bug: str) -> None:
        zones = list(ZONES)
        places = [
            Machine(self.world, f"core-{at}", f"10.1.0.{at + 1}", zones[at], ZONES[zones[at]])
            for at in range(count)
        ]
        contacts = [one.ip for one in places[:3]]
        self.cores = {
            one.ip: Core(one, settings_of(one, "sorting", contacts, ZONES, {}), contacts, bug)
            for one in places
        }
        self.contacts = contacts
        self.callers = [
            Machine(self.world, f"operator-{at}", f"10.5.0.{at + 1}", "z0", "r0") for at in range(3)
        ]
        self.operators = [Operator(at, self, zones[at]) for at in range(3)]

    # For operators.

    def later(self, ms: float, what: Callable[[], None]) -> None:
        """Happens then."""
        self.world.at(self.world.now + int(ms * MS), what)

    def targets(self) -> list[str]:
        """Control nodes; those in trouble more often."""
        now = self.world.now
        troubled = [ip for ip, until in self.busy_until.items() if until + SECOND > now]
        return [*self.cores, *troubled * 3]

    def call(self, record: CallRecord, call: Call, done: Callable[[], None]) -> None:
        """One call over the network; the caller waits for a second at most."""
        world, core = self.world, self.cores[record.machine]
        caller = self.callers[record.operator]
        record.called_at = world.now
        open_ = [True]

        def over(answer: Answer | None, evacuated: list[str]) -> None:
            if not open_:
                return
            open_.clear()
            if answer is not None:
                self._complete(record, answer, evacuated)
            done()

        def answered(answer: Answer, came: int) -> None:
            self._check_answer(record, answer, came)
            evacuated = list(core.node.replica.body.get("evacuated", ())) if core.node is not None else []
            if self.rng.random() >= LOST_ANSWERS:
                world.at(world.now + world.delay(core.machine, caller), over, answer, evacuated)

        def come() -> None:
            came = world.now
            if core.machine.loop is not None:
                core.machine.loop.do(core.answer, call, lambda answer: answered(answer, came))

        world.at(world.now + 2 * world.delay(caller, core.machine), come)
        world.at(world.now + PATIENCE, over, None, [])

    def _complete(self, record: CallRecord, answer: Answer, evacuated: list[str]) -> None:
        record.answered_at, record.status = self.world.now, answer.status
        if answer.status == 200 and isinstance(record.operation, Read):
            record.observed = observed(answer, evacuated)
        if answer.status == 200 and isinstance(record.operation, Replace | Amend):
            self.last_acknowledged = record.machine

    def _check_answer(self, record: CallRecord, answer: Answer, came: int) -> None:
        """What a node that is cut off may say, and how long an answer may take."""
        now, waited = self.world.now, self.world.now - came
        for one in self.isolations:
            if one.node != record.machine or not one.began <= came or now > one.closed:
                continue
            if answer.status != 503:
                self._wrong(
                    SILENT, f"cut off since {(now - one.began) // MS} ms, {answer.status} to {record}"
                )
            elif came - one.began > KNOWN and waited > AT_ONCE:
                self._wrong(PROMPT, f"cut off and knows it, 503 after {waited // MS} ms to {record}")
        if waited > MOST_WAIT and self.busy_until.get(record.machine, 0) + SECOND < came:
            self._wrong(PROMPT, f"an answer took {waited // MS} ms: {record}")

    def _wrong(self, rule: str, what: str) -> None:
        self.found.broken.setdefault(rule, f"at {self.world.now // MS} ms: {what}")

    # Troubles.

    def _victim(self) -> str:
        """The keeper, the node that acknowledged last, the one that a gateway reads from, or any."""
        replicas = [core.node.replica for core in self.cores.values() if core.node is not None]
        keeper = max(replicas, key=lambda one: one.version).coordinator
        reader = self.gateways[0].news.follower.control_node.address[0] if self.gateways else ""
        choices = [ip for ip in (keeper, self.last_acknowledged, reader) if ip in self.cores]
        return self.rng.choice([*choices, self.rng.choice(list(self.cores))])

    def _trouble(self) -> None:
        kind, victim, span = self.rng.choice(KINDS), self._victim(), self.rng.choice(SPANS_S)
        now = self.world.now
        if self.busy_until.get(victim, 0) <= now:
            self._befall(kind, victim, now + int(span * SECOND))

    def _befall(self, kind: str, victim: str, until: int) -> None:
        """A trouble begins at a node, and lasts until then."""
        now = self.world.now
        self.found.kinds[kind] += 1
        self.busy_until[victim] = until
        others = [ip for ip in self.cores if ip != victim]
        inward, outward = {(ip, victim) for ip in others}, {(victim, ip) for ip in others}
        if kind in ("silence", "inbound", "outbound"):
            ways = {"silence": inward | outward, "inbound": inward, "outbound": outward}[kind]
            self.cuts.append(ways)
            self.world.cut(ways)
            self._isolate(victim, until)
            self.world.at(until, self._heal, ways)
        elif kind in ("refusal", "reset"):
            self._refuse(kind, victim, inward | outward, until)
        elif kind == "freeze" and self.rng.random() < 0.5:
            self._freeze(victim, until)
        elif kind == "freeze":
            self._freeze_in_round(victim, now + (until - now) // 2, until)
        else:
            self._hang_disk(victim, until)

    def _isolate(self, victim: str, until: int) -> None:
        one = Isolation(victim, self.world.now)
        self.isolations.append(one)
        self.world.at(until, self._rejoin, one)
        if until - self.world.now > LEFT:
            self.world.at(self.world.now + LEFT, self._check_left, victim)

    def _rejoin(self, one: Isolation) -> None:
        one.closed = self.world.now

    def _heal(self, ways: set[tuple[str, str]]) -> None:
        """These cuts end; what was held up comes."""
        self.cuts.remove(ways)
        self.world.cuts = set[tuple[str, str]]().union(*self.cuts)
        for machine in self.world.machines.values():
            if machine.loop is not None:
                for end in list(machine.loop.ends):
                    end.flush()

    def _refuse(self, kind: str, victim: str, ways: set[tuple[str, str]], until: int) -> None:
        """Links are reset, once or again and again; with `refusal` no new one comes up."""
        self._reset(victim)
        if kind == "refusal":
            self.refused.append(ways)
            self.world.refused |= ways
            self._isolate(victim, until)
            self.world.at(until, self._accept, ways)
            return
        for at in range(self.world.now, until, RESET_EVERY_MS * MS):
            self.world.at(at, self._reset, victim)

    def _accept(self, ways: set[tuple[str, str]]) -> None:
        self.refused.remove(ways)
        self.world.refused = set[tuple[str, str]]().union(*self.refused)

    def _reset(self, victim: str) -> None:
        loop = self.cores[victim].machine.loop
        for end in list(loop.ends) if loop is not None else []:
            if end.peer.loop.machine.ip in self.cores and not end.closed:
                peer = end.peer
                end.vanish(told=False)
                end.loop.do(end.protocol.connection_lost, None)
                if not peer.closed:
                    peer.vanish(told=False)
                    peer.loop.do(peer.protocol.connection_lost, None)

    def _freeze(self, victim: str, until: int) -> None:
        loop = self.cores[victim].machine.loop
        if loop is not None:
            loop.frozen = True
            self.world.at(until, self._thaw, loop)

    def _freeze_in_round(self, victim: str, latest: int, until: int) -> None:
        """The worst moment: it has asked for promises, and will refuse the orders that it has."""
        node, now = self.cores[victim].node, self.world.now
        if now >= latest or (node is not None and _refuses(node)):
            self._freeze(victim, until)
        else:
            self.world.at(now + MS, self._freeze_in_round, victim, latest, until)

    def _thaw(self, loop: Loop) -> None:
        """Events of sockets run before timers that are due; calls may come before messages of other nodes."""
        loop.backlog.sort(key=_thawed_order if self.rng.random() < 0.5 else _timers_last)
        loop.thaw()

    def _hang_disk(self, victim: str, until: int) -> None:
        """The next save does not return until then: the process stands still in it."""
        core = self.cores[victim]
        save, loop = core.disk.save, core.machine.loop

        def hang(memory: Any) -> None:
            core.disk.save = save  # type: ignore[method-assign]
            save(memory)
            if loop is not None and self.world.now < until:
                self._freeze(victim, until)

        core.disk.save = hang  # type: ignore[method-assign]

        def well() -> None:
            core.disk.save = save  # type: ignore[method-assign]

        self.world.at(until, well)

    # Gateways.

    def _start_gateway(self, number: int) -> None:
        zone = list(ZONES)[number]
        machine = Machine(self.world, f"gate-{number}", f"10.2.0.{number + 1}", zone, ZONES[zone])
        settings = settings_of(machine, "counter", self.contacts, ZONES, {})
        loop = machine.boot()

        def row() -> GatewayRecord:
            where = f"{machine.ip}:80", f"{machine.ip}:{PORT}"
            return GatewayRecord(machine.name, zone, ZONES[zone], *where, 1, 1, GatewayState.READY)

        def make() -> None:
            news = DistributionService(settings, 1, row, loop.clock)
            self.gateways.append(Gateway(machine, news))
            spawn(loop, news.start())

        loop.do(make)

    def _look(self) -> None:
        """Does a gateway hold an older number, or less than what it says it is fresh for?"""
        for one in self.gateways:
            book = one.news.replicated
            if book.version < one.number:
                self._wrong(FORWARD, f"{one.machine.name} went back from {one.number} to {book.version}")
            one.number = book.version
            fresh = book.confirmed_at - one.machine.skew
            taken = {edition for edition, *_ in (book.state or {}).get("taken", ())}
            for record in self.records if book.confirmed_at else ():
                order = record.operation
                if record.status != 200 or not isinstance(order, Replace | Amend):
                    continue
                if (record.answered_at or 0) < fresh and order.edition not in taken:
                    self._wrong(FRESH, f"{one.machine.name} calls {book.version} fresh, without {record}")
        if self.working:
            self.world.at(self.world.now + LOOK, self._look)

    def _check_left(self, victim: str) -> None:
        """Where all others have been calm no gateway reads from a node that is cut off."""
        now = self.world.now
        calm = [ip for ip in self.cores if self.busy_until.get(ip, 0) + LEFT < now]
        if len(calm) < len(self.cores) - 1 or self.busy_until[victim] < now:
            return
        for one in self.gateways:
            if one.news.follower.control_node.address[0] == victim:
                self._wrong(
                    FOLLOW, f"{one.machine.name} still reads from {victim}, cut off for {LEFT // MS} ms"
                )

    # The day.

    def play(self, troubles: int = 6) -> Found:
        """What it showed."""
        random.seed(self.rng.random())
        logging.set_verbosity(logging.FATAL)
        log.set_sink(lambda kind, text, more: None)
        try:
            return self._play(troubles)
        finally:
            log.set_sink(None)

    def _play(self, troubles: int) -> Found:
        world, rng = self.world, self.rng
        for core in self.cores.values():
            core.start(first=True)
        world.run(1500 * MS)
        for number in range(2):
            self._start_gateway(number)
        for operator in self.operators:
            world.at(world.now + rng.randrange(200) * MS, operator.work)
        world.at(world.now, self._look)
        for _ in range(troubles):
            world.run(world.now + int(rng.choice((0.3, 1.0, 4.0, 7.0)) * SECOND))
            self._trouble()
        world.run(max([world.now, *self.busy_until.values()]) + TAIL)
        self.working = False
        world.run(world.now + 3 * SECOND)
        self._end()
        return self.found

    def _end(self) -> None:
        """All is well: each node tells the newest. Then the histories are judged."""
        for ip in self.cores:
            record = CallRecord(0, ip, Read(), 0)
            self.records.append(record)
            self.call(record, Call("GET", ["timetable", "read"]), lambda: None)
        self.world.run(self.world.now + 2 * SECOND)
        last = self.records[-len(self.cores) :]
        if any(one.status not in (200, None) for one in last):
            self._wrong(WELL, f"not well in the end: {[(one.machine, one.status, one.code) for one in last]}")
        if self.world.crashes:
            self._wrong(WELL, f"crashed: {self.world.crashes[0]}")
        zones = [one.zone for one in self.operators]
        self.found.judgements = judge(self.records, zones)
        for what, one in zip(["the configuration", *zones], self.found.judgements, strict=True):
            if not one.linearizable:
                kind = "not linearizable" if one.decided else "undecided"
                self._wrong(LINEARIZABLE, f"the history of {what} is {kind}:\n{worded(one.stuck)}")


def _refuses(node: ControlNode) -> bool:
    """Is a round asking, for orders only that build on another edition?"""
    register, edition = node.replica.register, node.replica.body.get("edition", 0)
    bases = [wish.operation.get("on", edition) for wish in register.pending]
    return register.phase is Phase.PREPARING and bool(bases) and edition not in bases


def _is_timer(item: tuple[Callable[..., None], tuple[Any, ...]]) -> bool:
    return bool(item[1]) and isinstance(item[1][0], TimerHandle)


def _timers_last(item: tuple[Callable[..., None], tuple[Any, ...]]) -> int:
    return int(_is_timer(item))


def _thawed_order(item: tuple[Callable[..., None], tuple[Any, ...]]) -> int:
    is_call = getattr(item[0], "__func__", None) is Core.answer
    return 0 if is_call else 1 + int(_is_timer(item))


def main() -> int:
    """A line for each seed that broke, and one for all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--troubles", type=int, default=6)
    parser.add_argument("--bug", choices=("", *control_bugs.BUGS), default="", help="put in on purpose")
    parser.add_argument("--stop", action="store_true", help="at the first day that breaks")
    given = parser.parse_args()
    if os.environ.get("PYTHONHASHSEED") != "0":  # sets of names are walked in the same order each time
        command = [sys.executable, "-m", "pepperrun.simulation.cutoff_days", *sys.argv[1:]]
        os.execve(sys.executable, command, os.environ | {"PYTHONHASHSEED": "0"})
    began, days, rules = time.monotonic(), 0, Counter[str]()
    kinds, answers, histories, states, acknowledged = Counter[str](), Counter[str](), 0, 0, 0
    for seed in range(given.first, given.first + given.seeds):
        found = Day(seed, given.bug).play(given.troubles)
        days += 1
        kinds += found.kinds
        answers += Counter(str(one.status) for one in found.records)
        acknowledged += sum(
            one.status == 200 and not isinstance(one.operation, Read) for one in found.records
        )
        histories += sum(one.linearizable for one in found.judgements)
        states += sum(one.states for one in found.judgements)
        rules += Counter(found.broken.keys())
        for rule, what in found.broken.items():
            print(f"seed={seed} rule={rule} {what}", flush=True)
        if found.broken and given.stop:
            break
    print(
        f"days={days} broken={dict(rules)} took_s={time.monotonic() - began:.1f}"
        f" acknowledged_orders={acknowledged} histories_linearizable={histories} states={states}"
        f" answers={dict(answers)} troubles={dict(kinds)}"
    )
    return int(bool(rules))


if __name__ == "__main__":
    sys.exit(main())
