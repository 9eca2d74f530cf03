"""Simulates a day in virtual time: load, gatekeepers with the real decision module, nodes, faults."""

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
    """Simulation of one day. Runs once, and writes the results into the requests of `load`."""

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
            spec = fleet.kind[group.kind].to_spec(group.kind)
            for speed in draw_speeds(spec, group.count, self.random):
                number = len(self.nodes)
                node = Node(spec, speed, self.scheduler.now)
                self.nodes.append(SimulatedNode(self.scheduler, number, group.zone, number // 4, node))
        self.processes = [GatekeeperProcess(self, number) for number in range(fleet.gatekeepers.count)]
        loop = SchedulerLoop(self.scheduler)
        for process in self.processes:
            settings = gatekeeper_settings(process.number, fleet, classes, plans, self.zones, process.zone)
            process.gatekeeper = Gatekeeper(
                settings,
                seed * 1000 + process.number,
                self.scheduler.clock,
                cast(Any, loop),
                send_to_peer=partial(self._send_to_peer, process.number),
                log=lambda text: None,
            )
            process.gatekeeper.backends = process
            process.gatekeeper.backend_list_received(BackendList(ListKind.FULL, self._backends()))
        self._faults = list(faults)

    def jitter(self) -> float:
        """Returns a random factor with mean 1. Draws 4096 factors at a time."""
        if not self._jitter:
            self._jitter = self.random.gamma(16.0, 1 / 16.0, 4096).tolist()
        return self._jitter.pop()

    def _backends(self) -> tuple[Backend, ...]:
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

    def _publish_backend_list(self) -> None:
        """Sends the current backend list to all gatekeepers, each after the delay of discovery."""
        for process in self.processes:
            assert process.gatekeeper is not None
            backends = BackendList(ListKind.FULL, self._backends())
            delay = int(self.fleet.network.list_s * SECOND * self.jitter())
            self.scheduler.after(delay, process.gatekeeper.backend_list_received, backends)

    def _send_to_peer(self, me: int, peer: int, data: bytes) -> None:
        network = self.fleet.network
        if self.random.random() >= network.peer_loss and 0 <= peer < len(self.processes):
            other = self.processes[peer].gatekeeper
            assert other is not None
            self.scheduler.after(
                int(network.peer_ms * MS * self.jitter()), other.peer_message_received, me, data
            )

    # Load.

    def _receive(self, request: Request, number: int) -> None:
        process = self.processes[number]
        submit_at = process.spend_cpu(0.6)
        self.scheduler.at(submit_at, self._submit, request, process, self.scheduler.now)

    def _submit(self, request: Request, process: GatekeeperProcess, received_at: int) -> None:
        assert process.gatekeeper is not None
        request.submissions += 1
        exchange: AnyExchange = Exchange(
            request,
            lambda final: self._on_final(request, process, received_at, final),
            cls=request.cls,
            plan=request.plan,
            customer=request.customer,
            started=received_at,
            deadline=received_at + request.budget_ns,
            units=request.units,
            spread=request.spread,
            first=request.first,
        )
        process.gatekeeper.submit(exchange)

    def _on_final(
        self, request: Request, process: GatekeeperProcess, received_at: int, final: Final[Any]
    ) -> None:
        done = process.spend_cpu(0.4)
        request.end = final.end.value
        start = self.scheduler.start + request.arrival_ns
        if final.end is End.SERVED:
            latency_ns = done + int(self.fleet.network.delay_ms * MS) - start
            request.latency_ns = latency_ns if done - received_at <= request.budget_ns else None
            return
        clients = self.fleet.clients
        if request.submissions <= clients.retries:
            wait = int(clients.backoff_ms * MS * self.jitter())
            if final.wait_ns > 0 and self.random.random() < clients.honour:
                wait = max(wait, final.wait_ns)
            number = (request.first + int(self.random.integers(request.spread))) % len(self.processes)
            self.scheduler.after(wait, self._receive, request, number)

    # Faults of nodes.

    def _inject(self, fault: Fault) -> None:
        candidates = [node for node in self.nodes if node.up and fault.zone in ("", node.zone)]
        count = round(len(candidates) * fault.node_share)
        chosen = [candidates[int(index)] for index in self.random.permutation(len(candidates))[:count]]
        for node in chosen:
            if fault.kind == "drain":
                node.state = BackendState.DRAINING
                self.scheduler.after(10 * SECOND, self._end_drain, node)
                continue
            node.stop()
            if fault.kind == "restart":
                self.scheduler.after(SECOND // 2, node.restart)
                self.scheduler.after(SECOND // 2, self._publish_backend_list)
            else:
                node.state = BackendState.GONE
                if fault.duration_s > 0:
                    self.scheduler.after(int(fault.duration_s * SECOND), self._recover, node)
        self._publish_backend_list()

    def _end_drain(self, node: SimulatedNode) -> None:
        node.stop()
        node.state = BackendState.GONE
        self._publish_backend_list()

    def _recover(self, node: SimulatedNode) -> None:
        node.restart()
        self._publish_backend_list()

    def run(self) -> DayResult:
        """Simulates until the longest deadline and 1 s after the last arrival; returns the result."""
        for request in self.load:
            self.scheduler.at(
                self.scheduler.start + request.arrival_ns, self._receive, request, request.gatekeeper
            )
        for fault in self._faults:
            self.scheduler.at(self.scheduler.start + int(fault.at_s * SECOND), self._inject, fault)
        last = max((request.arrival_ns for request in self.load), default=0)
        longest = max(int(cls.deadline_ms * MS) for cls in self.classes)
        self.scheduler.run(self.scheduler.start + last + longest + SECOND)
        span = last or SECOND
        results = [
            RequestResult(
                request.arrival_ns,
                request.cls,
                request.plan,
                request.customer,
                request.true_units,
                request.latency_ns,
            )
            for request in self.load
        ]
        gatekeepers = [process.gatekeeper for process in self.processes if process.gatekeeper is not None]
        outcomes: Counter[str] = Counter()
        for gatekeeper in gatekeepers:
            outcomes.update({outcome.value: count for outcome, count in gatekeeper.outcomes.items() if count})
        utilisation = [
            (node.earlier_busy_ns + node.node.busy_ns) / (node.node.spec.cores * node.node.speed * span)
            for node in self.nodes
        ]
        attempts = sum(outcomes.values()) or 1
        return DayResult(
            self.load,
            service_level(results, self.classes, self.plans),
            span / SECOND,
            dict(Counter(request.end or "unanswered" for request in self.load)),
            dict(outcomes),
            utilisation,
            {
                "node_work": sum(utilisation) / max(1, len(utilisation)),
                "node_held": max(
                    (n.max_pending / (n.node.spec.slots + n.node.spec.queue) for n in self.nodes), default=0.0
                ),
                "turned_away": sum(node.rejected for node in self.nodes) / attempts,
                "gatekeeper_cpu": max(process.busy_ns for process in self.processes) / span,
                "gatekeeper_descriptors": max(process.max_in_flight for process in self.processes)
                / max(1, self.fleet.gatekeepers.descriptors // 2),
            },
            latency_by_class(self.load, self.classes),
            self.scheduler.event_count,
        )
