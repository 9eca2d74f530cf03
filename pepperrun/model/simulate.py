"""A day in virtual time: load, gatekeepers with the real decision module, nodes and what befalls them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from functools import partial
from typing import Any, cast

import numpy

from pepperrun.capture.format import Class, Plan
from pepperrun.core.interface import Backend, BackendList, BackendState, ListKind
from pepperrun.exchange import End, Exchange, Final
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.model.actors import AnyExchange, GatekeeperProcess, SimulatedNode
from pepperrun.model.day import MS, DayResult, Fault, Request, gatekeeper_settings, latency_by_class
from pepperrun.model.fleet import Fleet, draw_speeds
from pepperrun.model.node import Node
from pepperrun.model.scheduler import SECOND, Scheduler, SchedulerLoop
from pepperrun.model.service_level import RequestResult, service_level


class Simulation:
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
        self.scheduler = Scheduler()
        self.zones = fleet.zones()
        self.nodes: list[SimulatedNode] = []
        for group in fleet.nodes:
            kind = fleet.kind[group.kind].to_spec(group.kind)
            for speed in draw_speeds(kind, group.count, self.random):
                number = len(self.nodes)
                node = Node(kind, speed, self.scheduler.now)
                self.nodes.append(SimulatedNode(self.scheduler, number, group.zone, number // 4, node))
        self.senders = [GatekeeperProcess(self, number) for number in range(fleet.gatekeepers.count)]
        loop = SchedulerLoop(self.scheduler)
        for sender in self.senders:
            settings = gatekeeper_settings(sender.number, fleet, classes, plans, self.zones, sender.zone)
            sender.gatekeeper = Gatekeeper(
                settings,
                seed * 1000 + sender.number,
                self.scheduler.clock,
                cast(Any, loop),
                send_to_peer=partial(self._tell, sender.number),
                log=lambda text: None,
            )
            sender.gatekeeper.backends = sender
            sender.gatekeeper.backend_list_received(BackendList(ListKind.FULL, self._lines()))
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
                node.node.started_at if node.node.started_at > self.scheduler.start else 0,
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
            self.scheduler.after(late, sender.gatekeeper.backend_list_received, lines)

    def _tell(self, me: int, peer: int, data: bytes) -> None:
        network = self.fleet.network
        if self.random.random() >= network.peer_loss and 0 <= peer < len(self.senders):
            other = self.senders[peer].gatekeeper
            assert other is not None
            self.scheduler.after(
                int(network.peer_ms * MS * self.jitter()), other.peer_message_received, me, data
            )

    # Load.

    def _ask(self, request: Request, number: int) -> None:
        sender = self.senders[number]
        taken_at = sender.work(0.6)
        self.scheduler.at(taken_at, self._take, request, sender, self.scheduler.now)

    def _take(self, request: Request, sender: GatekeeperProcess, asked: int) -> None:
        assert sender.gatekeeper is not None
        request.submissions += 1
        exchange: AnyExchange = Exchange(
            request,
            lambda final: self._final(request, sender, asked, final),
            cls=request.cls,
            plan=request.plan,
            customer=request.customer,
            started=asked,
            deadline=asked + request.budget_ns,
            units=request.units,
            spread=request.spread,
            first=request.first,
        )
        sender.gatekeeper.submit(exchange)

    def _final(self, request: Request, sender: GatekeeperProcess, asked: int, final: Final[Any]) -> None:
        done = sender.work(0.4)
        request.end = final.end.value
        start = self.scheduler.start + request.arrival_ns
        if final.end is End.SERVED:
            took = done + int(self.fleet.network.delay_ms * MS) - start
            request.latency_ns = took if done - asked <= request.budget_ns else None
            return
        clients = self.fleet.clients
        if request.submissions <= clients.retries:
            wait = int(clients.backoff_ms * MS * self.jitter())
            if final.wait_ns > 0 and self.random.random() < clients.honour:
                wait = max(wait, final.wait_ns)
            number = (request.first + int(self.random.integers(request.spread))) % len(self.senders)
            self.scheduler.after(wait, self._ask, request, number)

    # What befalls nodes.

    def _hit(self, fault: Fault) -> None:
        mine = [node for node in self.nodes if node.up and fault.zone in ("", node.zone)]
        count = round(len(mine) * fault.node_share)
        chosen = [mine[int(at)] for at in self.random.permutation(len(mine))[:count]]
        for node in chosen:
            if fault.kind == "drain":
                node.state = BackendState.DRAINING
                self.scheduler.after(10 * SECOND, self._gone, node)
                continue
            node.die()
            if fault.kind == "restart":
                self.scheduler.after(SECOND // 2, node.start_cold)
                self.scheduler.after(SECOND // 2, self._list_changed)
            else:
                node.state = BackendState.GONE
                if fault.duration_s > 0:
                    self.scheduler.after(int(fault.duration_s * SECOND), self._back, node)
        self._list_changed()

    def _gone(self, node: SimulatedNode) -> None:
        node.die()
        node.state = BackendState.GONE
        self._list_changed()

    def _back(self, node: SimulatedNode) -> None:
        node.start_cold()
        self._list_changed()

    def run(self) -> DayResult:
        """Plays the day to its end and a deadline more."""
        for request in self.load:
            self.scheduler.at(
                self.scheduler.start + request.arrival_ns, self._ask, request, request.gatekeeper
            )
        for fault in self._faults:
            self.scheduler.at(self.scheduler.start + int(fault.at_s * SECOND), self._hit, fault)
        last = max((request.arrival_ns for request in self.load), default=0)
        longest = max(int(kind.deadline_ms * MS) for kind in self.classes)
        self.scheduler.run(self.scheduler.start + last + longest + SECOND)
        span = last or SECOND
        asks = [
            RequestResult(one.arrival_ns, one.cls, one.plan, one.customer, one.true_units, one.latency_ns)
            for one in self.load
        ]
        gatekeepers = [sender.gatekeeper for sender in self.senders if sender.gatekeeper is not None]
        outcomes: Counter[str] = Counter()
        for gatekeeper in gatekeepers:
            outcomes.update({one.value: count for one, count in gatekeeper.outcomes.items() if count})
        used = [
            (node.busy_before + node.node.busy_ns) / (node.node.spec.cores * node.node.speed * span)
            for node in self.nodes
        ]
        arrived = sum(outcomes.values()) or 1
        return DayResult(
            self.load,
            service_level(asks, self.classes, self.plans),
            span / SECOND,
            dict(Counter(one.end or "unanswered" for one in self.load)),
            dict(outcomes),
            used,
            {
                "node_work": sum(used) / max(1, len(used)),
                "node_held": max(
                    (n.most_held / (n.node.spec.slots + n.node.spec.queue) for n in self.nodes), default=0.0
                ),
                "turned_away": sum(node.turned_away for node in self.nodes) / arrived,
                "gatekeeper_cpu": max(sender.busy_ns for sender in self.senders) / span,
                "gatekeeper_descriptors": max(sender.most_open for sender in self.senders)
                / max(1, self.fleet.gatekeepers.descriptors // 2),
            },
            latency_by_class(self.load, self.classes),
            self.scheduler.event_count,
        )
