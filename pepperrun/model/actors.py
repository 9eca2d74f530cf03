"""Nodes and gatekeeper processes in virtual time."""

from __future__ import annotations

from typing import Any, Protocol

from pepperrun.core.interface import BackendState, Outcome
from pepperrun.exchange import Exchange
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.model.day import MS, Request
from pepperrun.model.fleet import Fleet
from pepperrun.model.node import Admission, Node
from pepperrun.model.scheduler import Handle, Scheduler

AnyExchange = Exchange[Any, Any]


class SimulationContext(Protocol):
    """What a gatekeeper process uses of its simulation."""

    fleet: Fleet
    scheduler: Scheduler
    zones: list[str]
    nodes: list[SimulatedNode]

    def jitter(self) -> float: ...


class SimulatedNode:
    """A node with its events; it reports the outcome of each attempt to the gatekeeper's process.

    `in_flight`: admitted attempts without an outcome, by key.
    """

    def __init__(self, scheduler: Scheduler, number: int, zone: str, cell: int, node: Node) -> None:
        self.scheduler, self.number, self.zone, self.cell, self.node = scheduler, number, zone, cell, node
        self.up = True
        self.state = BackendState.READY
        self.in_flight: dict[Any, tuple[GatekeeperProcess, AnyExchange, int, Request]] = {}
        self.timer: Handle | None = None
        self.rejected = 0
        self.max_pending = 0
        self.earlier_busy_ns = 0.0

    def arrive(
        self, key: Any, process: GatekeeperProcess, exchange: AnyExchange, attempt: int, request: Request
    ) -> None:
        """Receives the last byte of an attempt."""
        if not self.up:
            process.send_outcome(exchange, attempt, self, Outcome.CONNECT_FAILED)
            return
        self.advance()
        if key in process.abandoned:
            process.abandoned.discard(key)
            return
        if self.node.arrive(self.scheduler.now, key, request.work_ns) is Admission.REJECTED:
            self.rejected += 1
            process.send_outcome(exchange, attempt, self, Outcome.FULL)
        else:
            request.admitted_attempts += 1
            self.in_flight[key] = process, exchange, attempt, request
            self.max_pending = max(self.max_pending, self.node.pending())
        self._schedule_next_event()

    def cancel_attempt(self, key: Any) -> None:
        """Cancels an attempt for which the gatekeeper no longer waits."""
        if self.up and key in self.in_flight:
            self.advance()
            self.node.cancel(self.scheduler.now, key)
            self.in_flight.pop(key, None)
            self._schedule_next_event()

    def advance(self) -> None:
        """Lets the node work up to the current time, and reports the completed attempts."""
        for key in self.node.advance(self.scheduler.now):
            pending = self.in_flight.pop(key, None)
            if pending is not None:
                process, exchange, attempt, request = pending
                process.send_outcome(exchange, attempt, self, Outcome.OK, request.true_units)

    def _schedule_next_event(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        due = self.node.next_event_at()
        self.timer = self.scheduler.at(due, self._on_timer) if due is not None else None

    def _on_timer(self) -> None:
        self.advance()
        self._schedule_next_event()

    def stop(self) -> None:
        """Ends the node's process: resets its pending attempts and refuses new connections."""
        self.advance()
        self.up = False
        self.node.drop_all()
        in_flight, self.in_flight = self.in_flight, {}
        for process, exchange, attempt, _ in in_flight.values():
            process.send_outcome(exchange, attempt, self, Outcome.RESET)
        self._schedule_next_event()

    def restart(self) -> None:
        """Starts a new process, not warmed up, on the same machine."""
        self.earlier_busy_ns += self.node.busy_ns
        self.node = Node(self.node.spec, self.node.speed, self.scheduler.now, warm=False)
        self.up, self.state = True, BackendState.READY


class GatekeeperProcess:
    """The process of one gatekeeper: its `Backends` interface to the nodes, and its CPU time.

    `timers`: time-out and node of each attempt in flight. `abandoned`: attempts that were abandoned before
    the node had received them; the node drops them on arrival.
    """

    def __init__(self, simulation: SimulationContext, number: int) -> None:
        self.simulation, self.number = simulation, number
        self.gatekeeper: Gatekeeper | None = None
        self.zone = simulation.zones[number % len(simulation.zones)]
        self.abandoned: set[Any] = set()
        self.timers: dict[tuple[int, int, int], tuple[Handle, SimulatedNode]] = {}
        self.busy_until = 0
        self.busy_ns = 0
        self.max_in_flight = 0

    def network_delay(self, node: SimulatedNode) -> int:
        """Draws the one-way delay to a node, in ns."""
        network = self.simulation.fleet.network
        mean = network.delay_ms if node.zone == self.zone else network.cross_zone_ms
        return int(mean * MS * self.simulation.jitter())

    def send(self, exchange: AnyExchange, attempt: int, backend: int, timeout_ns: int) -> None:
        """Sends an attempt to a node, with a time-out. Called by the gatekeeper."""
        node = self.simulation.nodes[backend]
        key = self.number, id(exchange), attempt
        timer = self.simulation.scheduler.after(
            timeout_ns, self._abandon, exchange, attempt, node, Outcome.TIMEOUT
        )
        self.timers[key] = timer, node
        self.max_in_flight = max(self.max_in_flight, len(self.timers))
        self.simulation.scheduler.after(
            self.network_delay(node), node.arrive, key, self, exchange, attempt, exchange.request
        )

    def cancel(self, exchange: AnyExchange, attempt: int) -> None:
        """Cancels an attempt. Called by the gatekeeper."""
        pending = self.timers.get((self.number, id(exchange), attempt))
        if pending is not None:
            self.simulation.scheduler.after(
                0, self._abandon, exchange, attempt, pending[1], Outcome.CANCELLED
            )

    def withdraw(self, exchange: AnyExchange) -> None:
        """Does nothing: connections are not modelled, so no request waits for one."""

    def close_idle(self, backend: int) -> None:
        """Does nothing: connections are not modelled."""

    def _abandon(self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome) -> None:
        key = self.number, id(exchange), attempt
        pending = self.timers.pop(key, None)
        if pending is None:
            return
        pending[0].cancel()
        if key not in node.in_flight:
            self.abandoned.add(key)  # the node has not received the attempt yet
        self.simulation.scheduler.after(self.network_delay(node), self._cancel_at_node, node, key)
        self._end_attempt(exchange, attempt, node, outcome, 0.0)

    def _cancel_at_node(self, node: SimulatedNode, key: Any) -> None:
        self.abandoned.discard(key)
        node.cancel_attempt(key)

    def send_outcome(
        self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome, units: float = 0.0
    ) -> None:
        """Sends the outcome of an attempt from the node to this process."""
        self.simulation.scheduler.after(
            self.network_delay(node), self._outcome_received, exchange, attempt, node, outcome, units
        )

    def _outcome_received(
        self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome, units: float
    ) -> None:
        pending = self.timers.pop((self.number, id(exchange), attempt), None)
        if pending is not None:
            pending[0].cancel()
            self._end_attempt(exchange, attempt, node, outcome, units)

    def _end_attempt(
        self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome, units: float
    ) -> None:
        assert self.gatekeeper is not None
        self.gatekeeper.attempt_ended(exchange, attempt, node.number, outcome, True, units)

    def spend_cpu(self, share: float) -> int:
        """Spends the share of a request's CPU time; returns when that work is done, in ns."""
        now = self.simulation.scheduler.now
        cost = int(
            self.simulation.fleet.gatekeepers.cpu_ms
            * MS
            * share
            / min(1.0, self.simulation.fleet.gatekeepers.cores)
        )
        self.busy_until = max(now, self.busy_until) + cost
        self.busy_ns += cost
        return self.busy_until
