"""A day in virtual time: load, gatekeepers with the real decision module, nodes and what befalls them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Literal, cast

import numpy

from pepperrun.capture.format import Class, Entry, Plan
from pepperrun.exchange import End, Exchange, Final
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.interface import (
    Backend,
    BackendList,
    BackendState,
    Group,
    ListKind,
    Outcome,
    Repeat,
    RequestClass,
    Settings,
)
from pepperrun.interface import Plan as ModulePlan
from pepperrun.model.fleet import Fleet, lognormal, speeds
from pepperrun.model.node import Node, Taken
from pepperrun.model.service import Ask, Service, service
from pepperrun.model.world import SECOND, Handle, Loop, World

MS = 1_000_000
AnyExchange = Exchange[Any, Any]


@dataclass(slots=True, frozen=True)
class Fault:
    """Something that befalls nodes. `share` of the nodes of `zone` (all zones where empty), from `at_s` on.

    lost: they are cut off and reset, back and cold after `for_s` (never where 0). restart: they end and start
    cold at once. drain: they finish what they have and go for good.
    """

    what: Literal["lost", "restart", "drain"]
    at_s: float
    for_s: float = 0.0
    zone: str = ""
    share: float = 1.0


def read_fault(text: str) -> Fault:
    """`what:at_s[:for_s[:zone[:share]]]`; ValueError where it is no fault."""
    what, *rest = text.split(":")
    try:
        at, last, zone, part = (*rest, *("", "0", "", "1")[len(rest) :])
        fault = Fault(cast(Any, what), float(at), float(last or 0), zone, float(part))
    except ValueError:
        raise ValueError(f"--fault: {text!r} is not WHAT:AT_S[:FOR_S[:ZONE[:SHARE]]]") from None
    if what not in ("lost", "restart", "drain"):
        raise ValueError(f"--fault: {what!r} is not one of lost, restart, drain")
    if not (0 <= fault.at_s < 1e6 and 0 <= fault.for_s < 1e6 and 0 < fault.share <= 1):
        raise ValueError(f"--fault: {text!r} is out of range")
    return fault


@dataclass(slots=True)
class Request:
    """One request of the load. Times in ns from the day's start; work in ns of a core at speed 1."""

    at: int
    gatekeeper: int
    cls: int
    plan: int
    customer: int
    units: float
    true_units: float
    budget: int
    spread: int
    first: int
    work: float
    tries: int = 0
    sent: int = 0  # attempts that reached a node
    took: int | None = None
    end: str = ""


@dataclass(slots=True)
class Day:
    """What a day came to."""

    requests: list[Request]
    service: Service
    seconds: float
    ends: dict[str, int]
    outcomes: dict[str, int]
    utilisation: list[float]  # of each node, over the day
    busiest: dict[str, float] = field(default_factory=dict)
    times: dict[str, dict[str, float]] = field(default_factory=dict)  # by class, ms
    steps: int = 0

    def summary(self) -> dict[str, Any]:
        """For JSON."""
        one = self.service
        return {
            "service": round(one.figure, 4),
            "whole": round(one.whole, 4),
            "worst_10_s": round(one.worst_window, 4),
            "worst_plan": round(one.worst_plan, 4),
            "by_plan": {name: round(value, 4) for name, value in one.by_plan.items()},
            "by_class": {name: round(value, 4) for name, value in one.by_class.items()},
            "times_ms": self.times,
            "requests": len(self.requests),
            "ends": self.ends,
            "attempts": self.outcomes,
            "node_utilisation": round(sum(self.utilisation) / max(1, len(self.utilisation)), 4),
            "busiest": {name: round(value, 4) for name, value in self.busiest.items()},
        }


def settings_of(
    me: int, fleet: Fleet, classes: Sequence[Class], plans: Sequence[Plan], zones: Sequence[str], zone: str
) -> Settings:
    """What a gatekeeper of the fleet is told, as the configuration tool would write it."""
    kinds = list(fleet.kind.values())
    return Settings(
        me=me,
        gateways=fleet.gatekeepers.count,
        zone=zones.index(zone) if zone in zones else 0,
        classes=tuple(
            RequestClass(
                kind.name,
                int(kind.wanted_ms * MS),
                int(kind.deadline_ms * MS),
                Repeat(kind.repeat),
                Group.CELL if kind.repeat == "keyed" else Group.ALL,
                10 * SECOND if kind.repeat == "keyed" else 0,
                kind.worth,
                kind.late_worth,
            )
            for kind in classes
        ),
        plans=tuple(
            ModulePlan(
                plan.name,
                plan.rate,
                plan.burst,
                0,
                plan.ceiling_rate,
                plan.ceiling_depth,
                0.1 * plan.ceiling_depth,
                plan.price,
                plan.over_worth,
                plan.over_cost,
            )
            for plan in plans
        ),
        tick_ns=int(fleet.limits.tick_ms * MS),
        max_attempts=fleet.limits.attempts,
        second_copies=fleet.limits.second_copies,
        may_cancel=True,
        peer_messages=fleet.gatekeepers.count > 1,
        peer_intake=100.0,
        retry_after=True,
        max_retry_after_ns=2 * SECOND,
        cold_from=min(kind.cold_from for kind in kinds),
        cold_ns=int(max(kind.cold_s for kind in kinds) * 1e9),
        tip_multiple=2.5,
        tip_for_ns=3 * SECOND // 2,
        settles=fleet.limits.settled,
        max_units=fleet.limits.most_units,
    )


def load_of(entries: Sequence[Entry], classes: Sequence[Class], fleet: Fleet, seed: int) -> list[Request]:
    """The load of a capture, with work drawn for each request from the fleet's `[work.CLASS]`."""
    random = numpy.random.default_rng([seed, 1])
    works = []
    for kind in classes:
        work = fleet.work.get(kind.name)
        if work is None:
            raise ValueError(f"work.{kind.name}: missing (`pepperrun plan fit` estimates it)")
        works.append((work, lognormal(work.mean_ms * MS, work.cv, len(entries), random)))
    out = []
    for position, entry in enumerate(entries):
        work, drawn = works[entry.cls]
        units = entry.true_units or entry.units
        out.append(
            Request(
                entry.at_us * 1000,
                entry.gatekeeper % fleet.gatekeepers.count,
                entry.cls,
                entry.plan,
                entry.customer,
                entry.units,
                units,
                entry.budget_us * 1000,
                min(entry.spread, fleet.gatekeepers.count),
                entry.first % fleet.gatekeepers.count,
                drawn[position] * units**work.by_units,
            )
        )
    return out


class NodeInWorld:
    """A node, its events, and whom to tell."""

    def __init__(self, world: World, number: int, zone: str, cell: int, node: Node) -> None:
        self.world, self.number, self.zone, self.cell, self.node = world, number, zone, cell, node
        self.up = True
        self.state = BackendState.READY
        self.told: dict[Any, tuple[Sender, AnyExchange, int, Request]] = {}
        self.timer: Handle | None = None
        self.turned_away = 0
        self.most_held = 0
        self.busy_before = 0.0

    def arrive(self, key: Any, sender: Sender, exchange: AnyExchange, attempt: int, request: Request) -> None:
        """An attempt's last byte is here."""
        if not self.up:
            sender.over(exchange, attempt, self, Outcome.CONNECT_FAILED)
            return
        self.step()
        if key in sender.given_up:
            sender.given_up.discard(key)
            return
        if self.node.arrive(self.world.now, key, request.work) is Taken.FULL:
            self.turned_away += 1
            sender.over(exchange, attempt, self, Outcome.FULL)
        else:
            request.sent += 1
            self.told[key] = sender, exchange, attempt, request
            self.most_held = max(self.most_held, self.node.held())
        self._arm()

    def give_up(self, key: Any) -> None:
        """The gatekeeper has stopped waiting."""
        if self.up and key in self.told:
            self.step()
            self.node.cancel(self.world.now, key)
            self.told.pop(key, None)
            self._arm()

    def step(self) -> None:
        """Works up to now."""
        for key in self.node.advance(self.world.now):
            told = self.told.pop(key, None)
            if told is not None:
                sender, exchange, attempt, request = told
                sender.over(exchange, attempt, self, Outcome.OK, request.true_units)

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        due = self.node.due()
        self.timer = self.world.at(due, self._due) if due is not None else None

    def _due(self) -> None:
        self.step()
        self._arm()

    def die(self) -> None:
        """The process ends: what it held is reset, new connections are refused."""
        self.step()
        self.up = False
        self.node.drop_all()
        told, self.told = self.told, {}
        for sender, exchange, attempt, _ in told.values():
            sender.over(exchange, attempt, self, Outcome.RESET)
        self._arm()

    def start_cold(self) -> None:
        """A new process on the same machine."""
        self.busy_before += self.node.busy_ns
        self.node = Node(self.node.kind, self.node.speed, self.world.now, warm=False)
        self.up, self.state = True, BackendState.READY


class Sender:
    """A gatekeeper's side towards nodes, in virtual time."""

    def __init__(self, day: Run, number: int) -> None:
        self.day, self.number = day, number
        self.gatekeeper: Gatekeeper | None = None
        self.zone = day.zones[number % len(day.zones)]
        self.given_up: set[Any] = set()
        self.timers: dict[tuple[int, int, int], tuple[Handle, NodeInWorld]] = {}
        self.busy_until = 0
        self.busy_ns = 0
        self.most_open = 0

    def delay(self, node: NodeInWorld) -> int:
        """One way."""
        network = self.day.fleet.network
        mean = network.delay_ms if node.zone == self.zone else network.cross_zone_ms
        return int(mean * MS * self.day.jitter())

    def send(self, exchange: AnyExchange, attempt: int, backend: int, timeout_ns: int) -> None:
        """For the gatekeeper: starts an attempt."""
        node = self.day.nodes[backend]
        key = self.number, id(exchange), attempt
        give_up = self.day.world.after(timeout_ns, self._timed_out, exchange, attempt, node, Outcome.TIMEOUT)
        self.timers[key] = give_up, node
        self.most_open = max(self.most_open, len(self.timers))
        self.day.world.after(self.delay(node), node.arrive, key, self, exchange, attempt, exchange.asked)

    def cancel(self, exchange: AnyExchange, attempt: int) -> None:
        """For the gatekeeper: stops waiting."""
        held = self.timers.get((self.number, id(exchange), attempt))
        if held is not None:
            self.day.world.after(0, self._timed_out, exchange, attempt, held[1], Outcome.CANCELLED)

    def close_idle(self, backend: int) -> None:
        """Connections are not modelled."""

    def _timed_out(self, exchange: AnyExchange, attempt: int, node: NodeInWorld, outcome: Outcome) -> None:
        key = self.number, id(exchange), attempt
        held = self.timers.pop(key, None)
        if held is None:
            return
        held[0].cancel()
        if key not in node.told:
            self.given_up.add(key)  # still on its way
        self.day.world.after(self.delay(node), self._stop, node, key)
        self._ended(exchange, attempt, node, outcome, 0.0)

    def _stop(self, node: NodeInWorld, key: Any) -> None:
        self.given_up.discard(key)
        node.give_up(key)

    def over(
        self, exchange: AnyExchange, attempt: int, node: NodeInWorld, outcome: Outcome, units: float = 0.0
    ) -> None:
        """A node's answer sets out."""
        self.day.world.after(self.delay(node), self._arrived, exchange, attempt, node, outcome, units)

    def _arrived(
        self, exchange: AnyExchange, attempt: int, node: NodeInWorld, outcome: Outcome, units: float
    ) -> None:
        held = self.timers.pop((self.number, id(exchange), attempt), None)
        if held is not None:
            held[0].cancel()
            self._ended(exchange, attempt, node, outcome, units)

    def _ended(
        self, exchange: AnyExchange, attempt: int, node: NodeInWorld, outcome: Outcome, units: float
    ) -> None:
        assert self.gatekeeper is not None
        self.gatekeeper.ended(exchange, attempt, node.number, outcome, True, units)

    def work(self, share: float) -> int:
        """CPU time for a part of a request's handling; when it is done."""
        now = self.day.world.now
        cost = int(
            self.day.fleet.gatekeepers.cpu_ms * MS * share / min(1.0, self.day.fleet.gatekeepers.cores)
        )
        self.busy_until = max(now, self.busy_until) + cost
        self.busy_ns += cost
        return self.busy_until


class Run:
    """One day."""

    def __init__(
        self,
        load: list[Request],
        classes: Sequence[Class],
        plans: Sequence[Plan],
        fleet: Fleet,
        seed: int,
        faults: Sequence[Fault] = (),
    ) -> None:
        self.load, self.classes, self.plans, self.fleet = load, classes, plans, fleet
        self.random = numpy.random.default_rng([seed, 2])
        self._jitter: list[float] = []
        self.world = World()
        self.zones = fleet.zones()
        self.nodes: list[NodeInWorld] = []
        for group in fleet.nodes:
            kind = fleet.kind[group.kind].kind(group.kind)
            for speed in speeds(kind, group.count, self.random):
                number = len(self.nodes)
                node = Node(kind, speed, self.world.now)
                self.nodes.append(NodeInWorld(self.world, number, group.zone, number // 4, node))
        self.senders = [Sender(self, number) for number in range(fleet.gatekeepers.count)]
        loop = Loop(self.world)
        for sender in self.senders:
            settings = settings_of(sender.number, fleet, classes, plans, self.zones, sender.zone)
            sender.gatekeeper = Gatekeeper(
                settings,
                seed * 1000 + sender.number,
                self.world.clock,
                cast(Any, loop),
                tell=partial(self._tell, sender.number),
                log=lambda text: None,
            )
            sender.gatekeeper.backends = sender
            sender.gatekeeper.listed(BackendList(ListKind.FULL, self._lines()))
        self._faults = list(faults)

    def jitter(self) -> float:
        """Around 1, drawn by the thousand."""
        if not self._jitter:
            self._jitter = self.random.gamma(16.0, 1 / 16.0, 4096).tolist()
        return self._jitter.pop()

    def _lines(self) -> tuple[Backend, ...]:
        return tuple(
            Backend(
                node.number,
                self.zones.index(node.zone),
                node.cell,
                node.state,
                node.node.born if node.node.born > self.world.start else 0,
            )
            for node in self.nodes
            if node.state is not BackendState.GONE
        )

    def _list_changed(self) -> None:
        """Discovery tells everybody, late."""
        for sender in self.senders:
            assert sender.gatekeeper is not None
            lines = BackendList(ListKind.FULL, self._lines())
            late = int(self.fleet.network.list_s * SECOND * self.jitter())
            self.world.after(late, sender.gatekeeper.listed, lines)

    def _tell(self, me: int, peer: int, data: bytes) -> None:
        network = self.fleet.network
        if self.random.random() >= network.peer_loss and 0 <= peer < len(self.senders):
            other = self.senders[peer].gatekeeper
            assert other is not None
            self.world.after(int(network.peer_ms * MS * self.jitter()), other.heard, me, data)

    # Load.

    def _ask(self, request: Request, number: int) -> None:
        sender = self.senders[number]
        taken_at = sender.work(0.6)
        self.world.at(taken_at, self._take, request, sender, self.world.now)

    def _take(self, request: Request, sender: Sender, asked: int) -> None:
        assert sender.gatekeeper is not None
        request.tries += 1
        exchange: AnyExchange = Exchange(
            request,
            lambda final: self._final(request, sender, asked, final),
            cls=request.cls,
            plan=request.plan,
            customer=request.customer,
            started=asked,
            deadline=asked + request.budget,
            units=request.units,
            spread=request.spread,
            first=request.first,
        )
        sender.gatekeeper.take(exchange)

    def _final(self, request: Request, sender: Sender, asked: int, final: Final[Any]) -> None:
        done = sender.work(0.4)
        request.end = final.end.value
        start = self.world.start + request.at
        if final.end is End.SERVED:
            took = done + int(self.fleet.network.delay_ms * MS) - start
            request.took = took if done - asked <= request.budget else None
            return
        clients = self.fleet.clients
        if request.tries <= clients.retries:
            wait = int(clients.backoff_ms * MS * self.jitter())
            if final.wait_ns > 0 and self.random.random() < clients.honour:
                wait = max(wait, final.wait_ns)
            number = (request.first + int(self.random.integers(request.spread))) % len(self.senders)
            self.world.after(wait, self._ask, request, number)

    # What befalls nodes.

    def _hit(self, fault: Fault) -> None:
        mine = [node for node in self.nodes if node.up and fault.zone in ("", node.zone)]
        count = round(len(mine) * fault.share)
        chosen = [mine[int(at)] for at in self.random.permutation(len(mine))[:count]]
        for node in chosen:
            if fault.what == "drain":
                node.state = BackendState.DRAINING
                self.world.after(10 * SECOND, self._gone, node)
                continue
            node.die()
            if fault.what == "restart":
                self.world.after(SECOND // 2, node.start_cold)
                self.world.after(SECOND // 2, self._list_changed)
            else:
                node.state = BackendState.GONE
                if fault.for_s > 0:
                    self.world.after(int(fault.for_s * SECOND), self._back, node)
        self._list_changed()

    def _gone(self, node: NodeInWorld) -> None:
        node.die()
        node.state = BackendState.GONE
        self._list_changed()

    def _back(self, node: NodeInWorld) -> None:
        node.start_cold()
        self._list_changed()

    def run(self) -> Day:
        """Plays the day to its end and a deadline more."""
        for request in self.load:
            self.world.at(self.world.start + request.at, self._ask, request, request.gatekeeper)
        for fault in self._faults:
            self.world.at(self.world.start + int(fault.at_s * SECOND), self._hit, fault)
        last = max((request.at for request in self.load), default=0)
        longest = max(int(kind.deadline_ms * MS) for kind in self.classes)
        self.world.run(self.world.start + last + longest + SECOND)
        span = last or SECOND
        asks = [Ask(one.at, one.cls, one.plan, one.customer, one.true_units, one.took) for one in self.load]
        gatekeepers = [sender.gatekeeper for sender in self.senders if sender.gatekeeper is not None]
        outcomes: Counter[str] = Counter()
        for gatekeeper in gatekeepers:
            outcomes.update({one.value: count for one, count in gatekeeper.outcomes.items() if count})
        used = [
            (node.busy_before + node.node.busy_ns) / (node.node.kind.cores * node.node.speed * span)
            for node in self.nodes
        ]
        arrived = sum(outcomes.values()) or 1
        return Day(
            self.load,
            service(asks, self.classes, self.plans),
            span / SECOND,
            dict(Counter(one.end or "unanswered" for one in self.load)),
            dict(outcomes),
            used,
            {
                "node_work": sum(used) / max(1, len(used)),
                "node_held": max(
                    (n.most_held / (n.node.kind.slots + n.node.kind.queue) for n in self.nodes), default=0.0
                ),
                "turned_away": sum(node.turned_away for node in self.nodes) / arrived,
                "gatekeeper_cpu": max(sender.busy_ns for sender in self.senders) / span,
                "gatekeeper_descriptors": max(sender.most_open for sender in self.senders)
                / max(1, self.fleet.gatekeepers.descriptors // 2),
            },
            times_of(self.load, self.classes),
            self.world.steps,
        )


def times_of(load: Sequence[Request], classes: Sequence[Class]) -> dict[str, dict[str, float]]:
    """Median and 99th percentile of what was served, by class, in ms."""
    found = {}
    for number, kind in enumerate(classes):
        took = sorted(one.took / MS for one in load if one.cls == number and one.took is not None)
        if took:
            found[kind.name] = {
                "p50": round(took[len(took) // 2], 2),
                "p99": round(took[len(took) * 99 // 100], 2),
            }
    return found
