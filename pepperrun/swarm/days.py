"""One drawn day: a seed gives machines and troubles, the day is played, the judges tell what was broken."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from absl import logging

from pepperrun import log
from pepperrun.comb.matchers import Answer, Call
from pepperrun.foundation.settings import Bounds
from pepperrun.swarm import folk
from pepperrun.swarm.clockwork import MS, Machine, World
from pepperrun.swarm.judges import Judges
from pepperrun.swarm.places import Core, Gate, machines, settings_of

SECOND = 1000 * MS
ZONES = {f"z{at}": f"r{at % 3}" for at in range(6)}
LINES = 8  # services of which each edition names another one, so that a worker tells editions apart
COLD_PER_S, COLD_S = 5.3, 6.0
BEGIN, MENDED, TAIL, END = 8, 40, 54, 62  # s: troubles between the first two, all is well from the third
TROUBLES = {
    **{"gate-kill": 5, "gate-power": 3, "gate-freeze": 5, "core-kill": 3, "core-power": 3, "core-freeze": 4},
    **{"core-wipe": 2, "dark": 1, "cut-zone": 3, "cut-region": 3, "cut-way": 4, "cut-core": 4, "loss": 2},
    **{"worker-crash": 5, "worker-unload": 4, "worker-handed": 3, "zone-power": 1},
    **{"change": 14, "race": 4, "evacuate": 4},
}
CORE_TROUBLES = {  # of days on which all goes against the core, with operators who do not rest
    **{
        "core-kill": 2,
        "core-power": 3,
        "core-freeze": 4,
        "core-wipe": 1,
        "dark-wipe": 2,
        "dark-amnesia": 4,
        "cut-core": 6,
    },
    **{"change": 12, "race": 2},
}
WIPES = ("core-wipe", "dark-wipe", "dark-amnesia")
ORDERS = ("change", "race", "evacuate")
FIGURES: dict[str, Any] = {
    **{"revocation_total": True, "cold_excess": 1.5, "cold_slack": 5.0, "retry_slack": 10.0},
    **{"quota_excess": 0.1, "quota_slack": 10.0},
}


@dataclass
class Trouble:
    """Something that happens at `at` and is over `span` later (ms). `who` chooses whom it meets."""

    kind: str
    at: int
    span: int
    who: int


@dataclass
class Plan:
    """All that a day follows from."""

    seed: int
    gates: int = 8
    cores: int = 3
    bug: str = ""
    rate: float = 60.0
    troubles: list[Trouble] = field(default_factory=list)

    def written(self) -> dict[str, Any]:
        """As JSON."""
        return asdict(self)


def drawn_plan(seed: int, gates: int = 8, bug: str = "", rate: float = 60.0) -> Plan:
    """The plan that a seed gives."""
    rng = random.Random(f"plan {seed}")
    plan = Plan(seed, gates, rng.choice([3, 3, 5]), bug, rate)
    some = CORE_TROUBLES if rng.random() < 0.4 else TROUBLES
    kinds, weights = list(some), list(some.values())
    wiped = dark = False
    for _ in range(rng.randint(8, 24 if some is CORE_TROUBLES else 18)):
        kind = rng.choices(kinds, weights)[0]
        if kind in WIPES and wiped or kind.startswith("dark") and dark:
            continue  # no more disks than the core withstands
        wiped, dark = wiped or kind in WIPES, dark or kind.startswith("dark")
        at = rng.randint(BEGIN * 1000, (MENDED - 8) * 1000)
        span = rng.choice([300, 1000, 2500, 4000, 7000])
        plan.troubles.append(Trouble(kind, at, span, rng.randrange(1 << 16)))
    plan.troubles.sort(key=lambda one: one.at)
    return plan


class Day:
    """A plan, played. `broken`: by rule, what was seen; `lines`: the log."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.lines, self.tokens, self.edition = plan, list[str](), 0, 0
        self.world = World(plan.seed)
        bounds = Bounds(**FIGURES)
        self.cold_ns = int(COLD_S * SECOND)
        self.judges = Judges(bounds, COLD_PER_S)
        self.states: dict[int, dict[str, Any]] = {}
        self.keys = {"bounded": ["b0"], "steady": ["s0"], "moving": ["m0"]}
        self._people(bounds)

    def _people(self, bounds: Bounds) -> None:
        world, plan, zones = self.world, self.plan, list(ZONES)
        cores = machines(world, plan.cores, "core", zones, ZONES, 1)
        contacts = [one.ip for one in cores[:3]]
        self.cores = [
            Core(one, settings_of(one, "sorting", contacts, ZONES, FIGURES), contacts, plan.bug)
            for one in cores
        ]

        def attempt(*args: Any) -> None:
            folk.attempt(self, *args)

        self.gates = [
            Gate(one, settings_of(one, "counter", contacts, ZONES, FIGURES), attempt, plan.bug)
            for one in machines(world, plan.gates, "gate", zones, ZONES, 2)
        ]
        lines = ["main"] * 12 + 2 * [f"v{at}" for at in range(LINES)]  # the second in another zone
        places = machines(world, len(lines), "worker", zones, ZONES, 3)
        self.workers = {
            one.address: one
            for one in (folk.Worker(self, place, line) for place, line in zip(places, lines, strict=True))
        }
        self.client_machines = machines(world, 6, "client", zones, ZONES, 4)
        self.operator = folk.Operator(self, machines(world, 1, "operator", zones, ZONES, 5)[0])
        self.clients = folk.Clients(self, plan.rate)

    def say(self, text: str) -> None:
        """A line of the log."""
        self.lines.append(f"{self.world.now / MS:.3f} {text}")

    def drawn(self, on: int) -> dict[str, Any]:
        """The next configuration on top of another one: another service, other keys, now and then a quota."""
        rng = self.world.rng
        self.edition += 1
        keys = [*self.states[on]["senders"]["moving"]["stamps"]] if on else []
        if rng.random() < 0.7 or not keys:
            keys = [*keys, f"m{self.edition}"][-2:]
            self.keys["moving"].append(keys[-1])
        rates = self.states[on]["senders"]["bounded"] if on else {"rate_per_s": 20.0, "surge": 20.0}
        if rng.random() < 0.3:
            rates = {"rate_per_s": rng.choice([8.0, 14.0, 20.0]), "surge": rng.choice([10.0, 20.0])}
        common: dict[str, Any] = {"depot": "shop.test", "deadline_ms": folk.DEADLINE_MS, "target_ms": 500}
        lines = {"main": "main", "pay": "main", "home": "main", "version": f"v{self.edition % LINES}"}
        routes = {}
        for name, line in lines.items():
            kind = "unsafe" if name == "pay" else "safe"
            routes[name] = {**common, "name": name, "prefix": f"/{name}/", "route_kind": kind, "line": line}
            routes[name]["tries"] = 2
        routes["home"]["home_regions"] = ["r0", "r1"]
        names = ["main", *(f"v{at}" for at in range(LINES))]
        senders = {
            "bounded": {"stamps": ["b0"], "rate_per_s": rates["rate_per_s"], "surge": rates["surge"]},
            "steady": {"stamps": ["s0"], "rate_per_s": 0.0, "surge": 0.0},
            "moving": {"stamps": keys, "rate_per_s": 0.0, "surge": 0.0},
        }
        self.states[self.edition] = {
            "edition": self.edition,
            "routes": routes,
            "carrier_lines": {
                name: {"name": name, "cold_per_s": COLD_PER_S, "cold_s": COLD_S} for name in names
            },
            "senders": {name: {"name": name, **row} for name, row in senders.items()},
        }
        return self.states[self.edition]

    def call(self, machine: Machine, at: int, call: Call, done: folk.Done) -> None:
        """A control call to a core machine; None where no answer comes in time."""
        world, core = self.world, self.cores[at % len(self.cores)]
        other, open_ = core.machine, [True]

        def once(answer: Answer | None) -> None:
            if open_:
                open_.clear()
                done(answer)

        def back(answer: Answer | None) -> None:
            if world.open(other.ip, machine.ip):
                world.at(world.now + world.delay(other, machine), once, answer)

        def come() -> None:
            if not world.open(machine.ip, other.ip):
                return
            if other.loop is None or core.hub is None:
                back(None)
            else:
                other.loop.do(core.answer, call, back)

        world.at(world.now + 2 * world.delay(machine, other), come)
        world.at(world.now + folk.PATIENCE, once, None)

    # The day.

    def play(self) -> dict[str, str]:
        """What was broken, by rule."""
        world = self.world
        random.seed(self.plan.seed)
        logging.set_verbosity(logging.FATAL)
        log.send_to(self._heard)
        try:
            for core in self.cores:
                core.start(first=True)
            for worker in self.workers.values():
                worker.start()
            world.at(3 * SECOND // 2, self.operator.put, 0, 0)
            for gate in self.gates:
                world.at(2 * SECOND, gate.start)
            world.at(5 * SECOND, self.clients.turn)
            for one in self.plan.troubles:
                world.at(one.at * MS, self._happens, one)
            world.at(MENDED * SECOND, self._mend)
            world.at((TAIL - 1) * SECOND, self.operator.change, 1)
            world.at((TAIL + 4) * SECOND, self.operator.read, 2, lambda number: None)
            world.run(END * SECOND)
            self.judges.end(TAIL * SECOND, world.now)
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

    # Troubles.

    def _mend(self) -> None:
        self.world.heal()
        self.world.loss = 0.0

    def _happens(self, one: Trouble) -> None:
        """A trouble begins, and its end is put down."""
        world, rng = self.world, random.Random(one.who)
        self.say(f"{one.kind} {one.who} for {one.span}")
        if one.kind in ORDERS:
            core = rng.randrange(len(self.cores))
            if one.kind == "evacuate":
                span = 0 if one.span < 1000 else one.span * MS + 6 * SECOND
                self.operator.evacuate(rng.choice(list(ZONES)), core, span)
            elif one.kind == "race":
                self.operator.race(core)
            else:
                self.operator.change(core)
            return
        lasts = self.judges.trouble(world.now)
        over = self._begin(one, rng)

        def ends() -> None:
            if over is not None:
                over()
            lasts[1] = world.now

        world.at(world.now + one.span * MS, ends)

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
            zone = rng.choice(list(ZONES))
            places: list[Core | Gate] = [*self.gates, *self.cores]
            return self._all([one for one in places if one.machine.zone == zone])
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

    def _worker(self, worker: folk.Worker, how: str) -> Callable[[], None] | None:
        if not worker.up or worker.state != "boarding":
            return None
        if how == "unload":
            worker.unload()
            return None
        worker.end()
        if how == "handed":  # another service's worker gets the address at once
            worker.line = "main"
            worker.start()
            return None
        return lambda: None if worker.id else worker.start()

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
        world, zone = self.world, rng.choice(list(ZONES))
        every = list(world.machines.values())
        if how == "core":
            mine = [rng.choice(self.cores).machine]
            others = [core.machine for core in self.cores if core.machine not in mine]
        else:
            mine = [
                one for one in every if (one.region == ZONES[zone] if how == "region" else one.zone == zone)
            ]
            others = [one for one in every if one not in mine]
        ways = {(one.ip, two.ip) for one in mine for two in others}
        if how != "way":
            ways |= {(two, one) for one, two in ways}
        world.cut(ways)
        return world.heal
