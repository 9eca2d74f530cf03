"""Workers, clients and operators of a drawn day. What they see is told to the judges."""

from __future__ import annotations

import json
import math
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from pepperrun.control.matchers import Answer, Call
from pepperrun.core.interface import Outcome
from pepperrun.net.http1 import Request
from pepperrun.simulation.judges import Asked, Edition, Judges, Seen
from pepperrun.simulation.measures import Measures
from pepperrun.simulation.nodes import Core, Gate
from pepperrun.simulation.plans import Route, Shape
from pepperrun.simulation.virtual_time import MS, Machine, World

SECOND = 1000 * MS
BEAT = 1500 * MS
PATIENCE = 1200 * MS  # until a caller turns to another core machine
Done = Callable[[Answer | None], None]


class Stage(Protocol):
    """What the actors know of the day that they play in; `simulation.days.Day` is one."""

    world: World
    shape: Shape
    judges: Judges
    measures: Measures
    cores: list[Core]
    gates: list[Gate]
    workers: dict[str, Worker]
    client_machines: list[Machine]
    keys: dict[str, list[str]]
    cold_ns: int
    tokens: int

    def say(self, text: str) -> None:
        """A line of the log."""

    def drawn(self, on: int) -> dict[str, Any]:
        """The next configuration on top of the one with edition `on`."""

    def weight(self, at: int) -> float:
        """How much a tenant sends."""

    def call(self, machine: Machine, at: int, call: Call, done: Done) -> None:
        """A control call to a core machine; None where no answer comes in time."""


class Worker:
    """An address at which one life of a worker after the other serves."""

    def __init__(self, day: Stage, machine: Machine, service: str) -> None:
        self.day, self.machine, self.service = day, machine, service
        self.address = f"{machine.ip}:90"
        self.lives, self.id, self.serial, self.state = 0, "", 0, "boarding"
        self.cold_until, self.core = 0, 0
        self.out: dict[int, tuple[str, Callable[[Outcome], None]]] = {}  # by token: request, who is told
        self.waits: deque[tuple[int, float]] = deque()  # for a slot: token, ms of work
        self.busy = 0

    @property
    def up(self) -> bool:
        """Does it serve?"""
        return bool(self.id) and self.machine.power

    def start(self) -> None:
        """A new life, cold at first, except on the first morning."""
        day, world = self.day, self.day.world
        self.lives += 1
        self.id, self.serial, self.state = f"{self.machine.name}.{self.lives}", 0, "boarding"
        self.machine.power = True
        seen = Seen(self.id, self.service, self.machine.zone, self.machine.region)
        day.judges.workers[self.id] = seen
        self.cold_until = world.now + day.cold_ns if world.now else 0
        if self.cold_until:
            seen.cold.append([world.now, self.cold_until])
        self.core = world.rng.randrange(len(day.cores))
        self.beat(self.id)

    def beat(self, life: str, again: bool = True) -> None:
        """Tells a core machine of itself, the next one where that does not answer."""
        world, day = self.day.world, self.day
        if self.id != life or not self.up:
            return
        self.serial += 1
        cold = max(0, self.cold_until - world.now) / MS
        body = {
            "address": self.address,
            "notice": {
                "line": self.service,
                "zone": self.machine.zone,
                "edition": "1",
                "berths": day.shape.slots or 8,
            },
            "tracking": {"state": self.state, "serial": self.serial, "cold_ms": cold},
        }
        state = self.state

        def done(answer: Answer | None) -> None:
            if answer is None or answer.status != 200:
                self.core = (self.core + 1) % len(day.cores)
                world.at(world.now + 200 * MS, self.beat, life, False)
                return
            forward = json.loads(answer.body).get("forward_to")
            if forward is not None:
                ips = [core.machine.ip for core in day.cores]
                self.core = ips.index(forward.partition(":")[0])
            seen = day.judges.workers[life]
            if state == "unloading" and not seen.unloading_acked:
                seen.unloading_acked = world.now

        call = Call("POST", ["crew", life, "beat"], body=json.dumps(body).encode())
        day.call(self.machine, self.core, call, done)
        if again:
            world.at(world.now + BEAT, self.beat, life)

    def unload(self) -> None:
        """It is to leave in order; it ends 5 s later, the next life begins after that."""
        self.state = "unloading"
        self.beat(self.id, False)
        self.day.world.at(self.day.world.now + 5 * SECOND, self._leave, self.id)

    def _leave(self, life: str) -> None:
        if self.id == life:
            call = Call("POST", ["crew", life, "leave"])
            self.day.call(self.machine, self.core, call, lambda answer: None)
            self.end()
            self.day.world.at(self.day.world.now + 500 * MS, self.start)

    def end(self) -> None:
        """It ends, with what it is at."""
        self.id, self.busy = "", 0
        self.waits.clear()
        out, self.out = self.out, {}
        for _, over in out.values():
            over(Outcome.RESET)

    def drop(self, token: int) -> None:
        """The connection of what it is at, or what waits for it, has closed."""
        at_work = self.out.pop(token, None)
        if at_work is not None:
            self.day.judges.given_up(at_work[0], self.id, self.day.world.now)

    def serve(self, id: str, expected: str, over: Callable[[Outcome], None], token: int) -> bool:
        """A request has come; False where another worker was meant."""
        world = self.day.world
        slots = self.day.shape.slots
        if expected != self.id:
            return False
        if slots and len(self.waits) >= self.day.shape.queue:
            over(Outcome.FULL)  # it says Not-Run
            return True
        self.day.judges.ran(id, self.id, world.now)
        self.out[token] = id, over
        span = self._span(self.day.shape.routes[self.day.judges.asked[id].route])
        if slots and self.busy >= slots:
            self.waits.append((token, span))
        else:
            self._work(token, span)
        return True

    def _span(self, route: Route) -> float:
        """Ms of work."""
        rng = self.day.world.rng
        if route.work_ms:
            return rng.lognormvariate(math.log(route.work_ms) - route.spread**2 / 2, route.spread)
        return rng.uniform(5, 60) if rng.random() < 0.97 else rng.uniform(200, 2500)

    def _work(self, token: int, span: float) -> None:
        world, life = self.day.world, self.id
        self.busy += 1

        def ready() -> None:
            if self.id != life:
                return
            self.busy -= 1
            if self.waits:
                self._work(*self.waits.popleft())
            at_work = self.out.pop(token, None)
            if at_work is not None:
                at_work[1](Outcome.OK)

        world.at(world.now + int(span * MS), ready)


class Clients:
    """All clients: each request goes to some gatekeeper near its zone, and some come again."""

    def __init__(self, day: Stage, rate: float) -> None:
        self.day, self.rate, self.count = day, rate, 0
        self.routes = list(day.shape.routes)
        self.shares = [one.share for one in day.shape.routes.values()]
        self.weights = [day.weight(at) for at in range(len(day.keys))]

    TENANTS = ("bounded", "bounded", "steady", "moving")

    def turn(self) -> None:
        """One more request; the next after a while."""
        world, day = self.day.world, self.day
        world.at(world.now + int(world.rng.expovariate(self.rate) * SECOND), self.turn)
        route = world.rng.choices(self.routes, self.shares)[0]
        if day.shape.tenants:
            tenant = world.rng.choices(list(day.keys), self.weights)[0]
        else:
            tenant = "steady" if route == "version" else world.rng.choice(self.TENANTS)
        keys = day.keys[tenant]
        machine = world.rng.choice(day.client_machines)
        self.send(machine, route, tenant, world.rng.choice(keys[-3:]), day.shape.repeats)

    def send(self, machine: Machine, route: str, tenant: str, key: str, left: int, root: str = "") -> None:
        """A request, which is another one each time that a client comes again; `root` was the first."""
        world, day = self.day.world, self.day
        self.count += 1
        id = f"q{self.count}"
        if not root:
            day.measures.wished(id, route, world.now)
        first = root or id
        near = [gate for gate in day.gates if gate.machine.region == machine.region]
        gate = world.rng.choice(near if near and world.rng.random() < day.shape.near else day.gates)
        kind = day.shape.routes[route]
        safe = kind.safe
        deadline = world.now + int(kind.deadline_ms * MS)
        one = Asked(id, gate.machine.name, gate.starts, world.now, route, key, tenant, safe, deadline)
        day.judges.asked[id] = one
        target = f"{kind.prefix or f'/{route}/'}x".encode()
        names = {
            b"attempt-id": id.encode(),
            b"host": b"shop.test",
            b"authorization": b"token " + key.encode(),
        }
        request = Request([], names, True, method=b"GET" if safe else b"POST", target=target)

        def told(status: int) -> None:
            """The gatekeeper's answer, on its way."""
            if world.open(gate.machine.ip, machine.ip):
                world.at(world.now + world.delay(gate.machine, machine), heard, status)

        def heard(status: int) -> None:
            if one.answered:
                return
            day.say(f"answer {id} {status}")
            day.judges.answered(id, status, world.now)
            if status == 200:
                day.measures.served(first, world.now)
            elif status == 401:
                day.measures.wishes.pop(first, None)  # its key had been taken away
            if status in (429, 503) and left and world.rng.random() < day.shape.repeat_share:
                wait = int(world.rng.uniform(100, 600) * MS)
                world.at(world.now + wait, self.send, machine, route, tenant, key, left - 1, first)

        def come() -> None:
            loop = gate.machine.loop
            if loop is not None and gate.accepts and world.open(machine.ip, gate.machine.ip):
                one.life = gate.starts
                loop.do(gate.take, request, told)

        world.at(world.now + world.delay(machine, gate.machine), come)


class Operator:
    """Puts configurations and evacuations, with the patience of a person's tool."""

    def __init__(self, day: Stage, machine: Machine) -> None:
        self.day, self.machine = day, machine

    def order(self, call: Call, done: Callable[[int], None], core: int, left: int = 8) -> None:
        """Until there is a clear answer: 200, 400 or 412; 0 where none comes."""
        day, world = self.day, self.day.world

        def told(answer: Answer | None) -> None:
            if answer is not None and answer.status in (200, 400, 404, 412):
                done(answer.status)
            elif left:
                world.at(world.now + 200 * MS, self.order, call, done, core + 1, left - 1)
            else:
                done(0)

        day.call(self.machine, core, call, told)

    def read(self, core: int, then: Callable[[int], None], left: int = 8) -> None:
        """The edition that is in force."""
        day, world, asked_at = self.day, self.day.world, self.day.world.now

        def told(answer: Answer | None) -> None:
            if answer is not None and answer.status == 200:
                number = json.loads(answer.body)["edition"]
                day.say(f"read {number} at {day.cores[core % len(day.cores)].machine.name}")
                day.judges.read(asked_at, number, world.now)
                then(number)
            elif left:
                world.at(world.now + 200 * MS, self.read, core + 1, then, left - 1)

        day.call(self.machine, core, Call("GET", ["timetable", "read"]), told)

    def change(self, core: int) -> None:
        """The next configuration, on top of what is read."""
        self.read(core, lambda number: self.put(number, core + 1))

    def race(self, core: int) -> None:
        """Two configurations on top of one, at two core machines at once."""

        def both(number: int) -> None:
            self.put(number, core + 1)
            self.put(number, core + 2)

        self.read(core, both)

    def put(self, on: int, core: int) -> None:
        """A configuration on top of edition `on`."""
        day, world = self.day, self.day.world
        state = day.drawn(on)
        number = state["edition"]
        edition = Edition(
            *(number, on, world.now),
            keys={key: one["name"] for one in state["senders"].values() for key in one["stamps"]},
            rates={one["name"]: (one["rate_per_s"], one["surge"]) for one in state["senders"].values()},
            lines={one["name"]: one["line"] for one in state["routes"].values()},
            homes={one["name"]: one.get("home_regions", []) for one in state["routes"].values()},
        )
        day.judges.editions[number] = edition
        day.say(f"put {number} on {on}")

        def done(status: int) -> None:
            day.say(f"put {number} on {on}: {status}")
            if status == 200:
                day.judges.acknowledged(edition, world.now)
            elif status:
                edition.refused = True

        body, headers = json.dumps(tables(state)).encode(), {"based-on": str(on)}
        self.order(Call("POST", ["timetable", "replace"], headers=headers, body=body), done, core)

    def evacuate(self, zone: str, core: int, span: int) -> None:
        """Empties a zone, and takes that back after `span` ns, 0 for never."""
        day, world = self.day, self.day.world
        row: list[Any] = [zone, 0, 1 << 62]

        def begun(status: int) -> None:
            day.say(f"evacuate {zone}: {status}")
            if status != 200:
                return
            row[1] = world.now
            day.judges.evacuations.append(row)
            if span:
                world.at(world.now + span, back)

        def back() -> None:
            row[2] = world.now
            self.order(Call("POST", ["evacuate", zone, "finish"]), lambda status: None, core)

        self.order(Call("POST", ["evacuate", zone, "begin"]), begun, core)


def tables(state: dict[str, Any]) -> dict[str, Any]:
    """A configuration as operators write it."""
    out: dict[str, Any] = {"edition": state["edition"], "limits": {}}
    for kind in ("routes", "carrier_lines", "senders"):
        rows = list(state[kind].values())
        columns = sorted({column for row in rows for column in row})
        out[kind] = {"columns": columns, "rows": [[row.get(column) for column in columns] for row in rows]}
    return out


def attempt(
    day: Stage, gate: Gate, exchange: Any, address: str, id: str, over: Callable[[Outcome], None]
) -> int:
    """Brings a request to a worker and its end back, as far as links allow; the number it has there."""
    world, worker, loop = day.world, day.workers[address], gate.machine.loop
    assert loop is not None
    name = exchange.request.headers[b"attempt-id"].decode()
    day.tokens += 1
    do = loop.do
    token = day.tokens

    def back(outcome: Outcome) -> None:
        if world.open(worker.machine.ip, gate.machine.ip):
            at = world.now + world.delay(worker.machine, gate.machine)
            world.at(at, do, over, outcome)

    def comes() -> None:
        if not world.open(gate.machine.ip, worker.machine.ip):
            return
        if not worker.up:
            back(Outcome.CONNECT_FAILED)
        elif not worker.serve(name, id, back, token):
            day.say(f"misdirected {name} {id}")
            number = gate.plane.workers.number_by_id.get(id)
            if number is not None:
                do(gate.plane._on_misdirected, number)
            back(Outcome.MOOT)

    if loop.alive:
        day.measures.attempts += 1
        size = day.shape.routes[day.judges.asked[name].route].bytes
        world.carry("work", gate.machine, worker.machine, size)
        day.say(f"attempt {name} {gate.machine.name} {id}")
        world.at(world.now + world.delay(gate.machine, worker.machine), comes)
    return token


def give_up(day: Stage, gate: Gate, address: str, token: int) -> None:
    """A gatekeeper closes the connection of an attempt; the worker sees that, as far as links allow."""
    world, worker = day.world, day.workers[address]

    def closes() -> None:
        if world.open(gate.machine.ip, worker.machine.ip):
            worker.drop(token)

    world.at(world.now + world.delay(gate.machine, worker.machine), closes)
