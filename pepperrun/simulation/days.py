"""One drawn day: a seed gives machines and troubles, the day is played, the judges tell what was broken."""

from __future__ import annotations

import hashlib
import importlib
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from absl import logging

from pepperrun import log
from pepperrun.control.matchers import Answer, Call
from pepperrun.control.records import GatewayState
from pepperrun.foundation.settings import Bounds
from pepperrun.simulation import actors
from pepperrun.simulation.judges import Judges
from pepperrun.simulation.measures import Measures
from pepperrun.simulation.nodes import Core, Gate, machines, settings_of
from pepperrun.simulation.plans import ORDERS, Plan, Trouble
from pepperrun.simulation.virtual_time import MS, Machine, World

SECOND = 1000 * MS
FIGURES: dict[str, Any] = {
    **{"revocation_total": True, "cold_excess": 1.5, "cold_slack": 5.0, "retry_slack": 10.0},
    **{"quota_excess": 0.1, "quota_slack": 10.0},
}


class Day:
    """A plan, played. `broken`: by rule, what was seen; `lines`: the log."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.lines, self.tokens, self.edition = plan, list[str](), 0, 0
        shape = self.shape = plan.shape
        self.zones = list(shape.zones)
        self.world = World(plan.seed, (shape.in_zone_ms, shape.cross_zone_ms, shape.cross_region_ms))
        self.world.loss = shape.loss
        self.figures_of = FIGURES | shape.bounds
        self.cold_ns = int(shape.cold_s * SECOND)
        self.judges = Judges(Bounds(**self.figures_of), shape.cold_per_s)
        self.measures = Measures(shape)
        self.states: dict[int, dict[str, Any]] = {}
        self.keys = {"bounded": ["b0"], "steady": ["s0"], "moving": ["m0"]}
        if shape.tenants:
            self.keys = {f"t{at + 1}": [f"k{at + 1}"] for at in range(shape.tenants)}
        self._people()

    def _people(self) -> None:
        world, plan, zones, regions = self.world, self.plan, self.zones, self.shape.zones
        cores = machines(world, plan.cores, "core", zones, regions, 1)
        contacts = [one.ip for one in cores[:3]]
        self.cores = [
            Core(one, settings_of(one, "sorting", contacts, regions, self.figures_of), contacts, plan.bug)
            for one in cores
        ]

        def attempt(*args: Any) -> int:
            return actors.attempt(self, *args)

        def give_up(gate: Gate, address: str, token: int) -> None:
            actors.give_up(self, gate, address, token)

        self.gates = [
            Gate(
                one,
                settings_of(one, "counter", contacts, regions, self.figures_of),
                attempt,
                give_up,
                plan.bug,
                self.measures,
            )
            for one in machines(world, plan.gates, "gate", zones, regions, 2)
        ]
        lines = [line for line, count in self.shape.lines.items() for _ in range(count)]
        lines += 2 * [f"v{at}" for at in range(self.shape.versions)]  # the second in another zone
        places = machines(world, len(lines), "worker", zones, regions, 3)
        self.workers = {
            one.address: one
            for one in (actors.Worker(self, place, line) for place, line in zip(places, lines, strict=True))
        }
        self.client_machines = machines(world, 6, "client", zones, regions, 4)
        self.operator = actors.Operator(self, machines(world, 1, "operator", zones, regions, 5)[0])
        self.clients = actors.Clients(self, plan.rate)

    def say(self, text: str) -> None:
        """A line of the log."""
        self.lines.append(f"{self.world.now / MS:.3f} {text}")

    def drawn(self, on: int) -> dict[str, Any]:
        """The next configuration on top of another one: another service, other keys, now and then a quota."""
        rng = self.world.rng
        self.edition += 1
        if self.shape.tenants:
            return self._state(self._quotas())
        keys = [*self.states[on]["senders"]["moving"]["stamps"]] if on else []
        if rng.random() < 0.7 or not keys:
            keys = [*keys, f"m{self.edition}"][-2:]
            self.keys["moving"].append(keys[-1])
        rates = self.states[on]["senders"]["bounded"] if on else {"rate_per_s": 20.0, "surge": 20.0}
        if rng.random() < 0.3:
            rates = {"rate_per_s": rng.choice([8.0, 14.0, 20.0]), "surge": rng.choice([10.0, 20.0])}
        return self._state(
            {
                "bounded": {"stamps": ["b0"], "rate_per_s": rates["rate_per_s"], "surge": rates["surge"]},
                "steady": {"stamps": ["s0"], "rate_per_s": 0.0, "surge": 0.0},
                "moving": {"stamps": keys, "rate_per_s": 0.0, "surge": 0.0},
            }
        )

    def _quotas(self) -> dict[str, dict[str, Any]]:
        """Of tenants of unlike size: `weight` says."""
        total = sum(self.weight(at) for at in range(len(self.keys)))
        out: dict[str, dict[str, Any]] = {}
        for at, (name, stamps) in enumerate(self.keys.items()):
            rate = self.plan.rate * self.shape.quota_x * self.weight(at) / total
            out[name] = {"stamps": stamps, "rate_per_s": rate, "surge": rate}
        return out

    def weight(self, at: int) -> float:
        """How much a tenant sends: a few are large."""
        return float((1 + at) ** -self.shape.slope)

    def _state(self, senders: dict[str, dict[str, Any]]) -> dict[str, Any]:
        """The next configuration, with these tenants."""
        routes, shape = {}, self.shape
        for name, one in shape.routes.items():
            routes[name] = {
                **{"depot": "shop.test", "target_ms": one.aim_ms},
                "deadline_ms": one.deadline_ms - shape.deadline_step_ms * (self.edition % 100),
                **{"name": name, "prefix": one.prefix or f"/{name}/", "tries": 2},
                **{"route_kind": "safe" if one.safe else "unsafe"},
                "line": one.line or f"v{self.edition % shape.versions}",
            }
            if one.homes:
                routes[name]["home_regions"] = one.homes
        names = [*shape.lines, *(f"v{at}" for at in range(shape.versions))]
        self.states[self.edition] = {
            "edition": self.edition,
            "routes": routes,
            "carrier_lines": {
                name: {"name": name, "cold_per_s": shape.cold_per_s, "cold_s": shape.cold_s} for name in names
            },
            "senders": {name: {"name": name, **row} for name, row in senders.items()},
        }
        return self.states[self.edition]

    def call(self, machine: Machine, at: int, call: Call, done: actors.Done) -> None:
        """A control call to a core machine; None where no answer comes in time."""
        world, core = self.world, self.cores[at % len(self.cores)]
        other, open_ = core.machine, [True]

        def once(answer: Answer | None) -> None:
            if open_:
                open_.clear()
                done(answer)

        def back(answer: Answer | None) -> None:
            if world.open(other.ip, machine.ip):
                world.carry("call", other, machine, len(answer.body) if answer is not None else 0)
                world.at(world.now + world.delay(other, machine), once, answer)

        def come() -> None:
            if not world.open(machine.ip, other.ip):
                return
            world.carry("call", machine, other, len(call.body))
            if other.loop is None or core.node is None:
                back(None)
            else:
                other.loop.do(core.answer, call, back)

        world.at(world.now + 2 * world.delay(machine, other), come)
        world.at(world.now + actors.PATIENCE, once, None)

    # The day.

    def play(self, until: str = "") -> dict[str, str]:
        """What was broken, by rule. `until`: this rule is all that is asked for."""
        with held(self.shape.constants):
            return self._play(until)

    def _play(self, until: str) -> dict[str, str]:
        world, shape = self.world, self.shape
        random.seed(self.plan.seed)
        logging.set_verbosity(logging.FATAL)
        log.set_sink(self._heard)
        try:
            for core in self.cores:
                core.start(first=True)
            for worker in self.workers.values():
                worker.start()
            world.at(3 * SECOND // 2, self.operator.put, 0, 0)
            for gate in self.gates:
                world.at(2 * SECOND, gate.start)
            world.at(int(shape.clients_s * SECOND), self.clients.turn)
            for one in self.plan.troubles:
                world.at(one.at * MS, self._happens, one)
            tail, end = int(shape.tail_s * SECOND), int(shape.end_s * SECOND)
            world.at(int(shape.mended_s * SECOND), self._mend)
            world.at(tail - SECOND, self.operator.change, 1)
            world.at(tail + 4 * SECOND, self.operator.read, 2, lambda number: None)
            while world.now < end:
                world.run(min(end, world.now + SECOND))
                if until in self.judges.broken:
                    return self.judges.broken
            self.judges.end(tail, end)
        finally:
            log._sink = None
        if world.crashes:
            self.judges.wrong("CRASH", world.crashes[0])
        for rule, text in self.judges.broken.items():
            self.say(f"broken {rule}: {text}")
        return self.judges.broken

    def _heard(self, kind: str, text: str, more: int) -> None:
        if kind in ("turn", "action") or "failed:" in text:
            self.world.crashes.append(text)

    def digest(self) -> str:
        """Of the log: the same for the same plan."""
        return hashlib.blake2b("\n".join(self.lines).encode(), digest_size=12).hexdigest()

    def figures(self) -> dict[str, Any]:
        """What there was, in numbers."""
        statuses = Counter(one.status for one in self.judges.asked.values())
        return {"requests": len(self.judges.asked), "statuses": dict(sorted(statuses.items()))}

    def row(self) -> dict[str, Any]:
        """What there was, for experiments."""
        return self.measures.row(self.judges, self.world) | {
            "digest": self.digest(),
            "findings": self.judges.broken,
        }

    # Troubles.

    def _mend(self) -> None:
        self.world.heal()
        self.world.loss = self.shape.loss

    def _happens(self, one: Trouble) -> None:
        """A trouble begins, and its end is put down."""
        world, rng = self.world, random.Random(one.who)
        self.say(f"{one.kind} {one.who} for {one.span}")
        if one.kind in ORDERS:
            core = rng.randrange(len(self.cores))
            if one.kind == "evacuate":
                span = 0 if one.span < 1000 else one.span * MS + 6 * SECOND
                self.operator.evacuate(rng.choice(self.zones), core, span)
            elif one.kind == "race":
                self.operator.race(core)
            else:
                self.operator.change(core)
            return
        if one.kind == "gate-stop":
            self._planned_stop(rng.choice(self.gates))
            return
        lasts = self.judges.trouble(world.now)
        over = self._begin(one, rng)

        def ends() -> None:
            if over is not None:
                over()
            lasts[1] = world.now

        world.at(world.now + one.span * MS, ends)

    def _planned_stop(self, gate: Gate) -> None:
        """It is told to stop, ends when its grace is over, and starts again."""
        loop, world = gate.machine.loop, self.world
        if loop is None or loop.frozen or not gate.accepts or gate.state != GatewayState.READY:
            return
        loop.do(gate.stop)
        over = world.now + int(gate.settings.tariffs.bounds.grace_s * SECOND)

        def ends() -> None:
            if gate.machine.loop is loop:
                gate.machine.kill(power=False)
                world.at(world.now + 300 * MS, gate.start)

        world.at(over, ends)

    def _begin(self, one: Trouble, rng: random.Random) -> Callable[[], None] | None:
        what, _, how = one.kind.partition("-")
        if what == "gate":
            return self._process(rng.choice(self.gates), how)
        if what == "core":
            return self._process(rng.choice(self.cores), how)
        if what == "dark" and how == "wipe":  # one disk is lost with it, and each comes back when it will
            lost = rng.choice(self.cores)
            for core in self.cores:
                back = self._process(core, "wipe" if core is lost else "power")
                if back is not None:
                    self.world.at(self.world.now + int(one.span * rng.uniform(0.1, 1.0) * MS), back)
            return None
        if how == "amnesia":
            self._amnesia(rng)
            return None
        if what == "dark":
            return self._all(list(self.cores))
        if what == "worker":
            return self._worker(rng.choice(list(self.workers.values())), how)
        if what == "zone":
            zone = rng.choice(self.zones)
            places: list[Core | Gate] = [*self.gates, *self.cores]
            ends = self._all([one for one in places if one.machine.zone == zone])
            return ends if how == "power" else self._zone_lost(zone, ends)
        if what == "loss":
            self.world.loss = 0.05
            return self._mend
        return self._cut(how, rng)

    def _all(self, places: Iterable[Core | Gate]) -> Callable[[], None]:
        """All of them lose their power."""
        ends = [self._process(place, "power") for place in places]

        def back() -> None:
            for end in ends:
                if end is not None:
                    end()

        return back

    def _process(self, place: Core | Gate, how: str) -> Callable[[], None] | None:
        loop = place.machine.loop
        if loop is None or loop.frozen:
            return None
        if how == "freeze":
            loop.frozen = True
            return loop.thaw
        if isinstance(place, Core):
            place.stop(power=how != "kill", wipe=how == "wipe")
        else:
            place.machine.kill(power=how == "power")

        def back() -> None:
            if place.machine.loop is None:
                place.start()

        return back

    def _worker(self, worker: actors.Worker, how: str) -> Callable[[], None] | None:
        if not worker.up or worker.state != "boarding":
            return None
        if how == "unload":
            worker.unload()
            return None
        worker.end()
        if how == "handed":  # another service's worker gets the address at once
            worker.service = "main"
            worker.start()
            return None
        return lambda: None if worker.id else worker.start()

    def _zone_lost(self, zone: str, ends: Callable[[], None]) -> Callable[[], None]:
        """Its workers lose their power too."""
        lost = [one for one in self.workers.values() if one.machine.zone == zone and one.up]
        for one in lost:
            one.machine.power = False
            one.end()

        def back() -> None:
            ends()
            for one in lost:
                if not one.id:
                    one.start()

        return back

    def _amnesia(self, rng: random.Random) -> None:
        """One is down during a change; then all are; of those that took it one comes back empty, one late."""
        world = self.world
        lags, lost, late = rng.sample(self.cores[:3], 3)
        returns = [(lags, self._process(lags, "power"), 0)]
        world.at(world.now + 2 * SECOND, self.operator.change, self.cores.index(late))

        def dark() -> None:
            for core, how, after in ((lost, "wipe", 100), (late, "power", 5000)):
                returns.append((core, self._process(core, how), after))
            for core in self.cores[3:]:
                returns.append((core, self._process(core, "power"), 5000))
            for _, back, after in returns:
                if back is not None:
                    world.at(world.now + after * MS, back)

        world.at(world.now + 4 * SECOND, dark)

    def _cut(self, how: str, rng: random.Random) -> Callable[[], None]:
        world, zone = self.world, rng.choice(self.zones)
        every = list(world.machines.values())
        if how == "core":
            mine = [rng.choice(self.cores).machine]
            others = [core.machine for core in self.cores if core.machine not in mine]
        else:
            mine = [
                one
                for one in every
                if (one.region == self.shape.zones[zone] if how == "region" else one.zone == zone)
            ]
            others = [one for one in every if one not in mine]
        ways = {(one.ip, two.ip) for one in mine for two in others}
        if how != "way":
            ways |= {(two, one) for one, two in ways}
        world.cut(ways)
        return world.heal


@contextmanager
def held(constants: dict[str, float]) -> Iterator[None]:
    """Overrides constants while a day is played, such as "distribution.follower:HEARTBEAT_NS"."""
    before: list[tuple[Any, str, Any]] = []
    try:
        for where, value in constants.items():
            module = importlib.import_module("pepperrun." + where.partition(":")[0])
            name = where.partition(":")[2]
            before.append((module, name, getattr(module, name)))
            setattr(module, name, type(before[-1][2])(value))
        yield
    finally:
        for module, name, value in before:
            setattr(module, name, value)
