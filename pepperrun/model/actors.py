"""Nodes and gatekeepers' senders in virtual time."""

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
    """What a sender needs of the day that it plays in."""

    fleet: Fleet
    scheduler: Scheduler
    zones: list[str]
    nodes: list[SimulatedNode]

    def jitter(self) -> float: ...


class SimulatedNode:
    """A node, its events, and whom to tell."""

    def __init__(self, scheduler: Scheduler, number: int, zone: str, cell: int, node: Node) -> None:
        self.scheduler, self.number, self.zone, self.cell, self.node = scheduler, number, zone, cell, node
        self.up = True
        self.state = BackendState.READY
        self.told: dict[Any, tuple[GatekeeperProcess, AnyExchange, int, Request]] = {}
        self.timer: Handle | None = None
        self.turned_away = 0
        self.most_held = 0
        self.busy_before = 0.0

    def arrive(
        self, key: Any, sender: GatekeeperProcess, exchange: AnyExchange, attempt: int, request: Request
    ) -> None:
        """An attempt's last byte is here."""
        if not self.up:
            sender.over(exchange, attempt, self, Outcome.CONNECT_FAILED)
            return
        self.step()
        if key in sender.given_up:
            sender.given_up.discard(key)
            return
        if self.node.arrive(self.scheduler.now, key, request.work_ns) is Admission.REJECTED:
            self.turned_away += 1
            sender.over(exchange, attempt, self, Outcome.FULL)
        else:
            request.admitted_attempts += 1
            self.told[key] = sender, exchange, attempt, request
            self.most_held = max(self.most_held, self.node.pending())
        self._arm()

    def give_up(self, key: Any) -> None:
        """The gatekeeper has stopped waiting."""
        if self.up and key in self.told:
            self.step()
            self.node.cancel(self.scheduler.now, key)
            self.told.pop(key, None)
            self._arm()

    def step(self) -> None:
        """Works up to now."""
        for key in self.node.advance(self.scheduler.now):
            told = self.told.pop(key, None)
            if told is not None:
                sender, exchange, attempt, request = told
                sender.over(exchange, attempt, self, Outcome.OK, request.true_units)

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        due = self.node.next_event_at()
        self.timer = self.scheduler.at(due, self._due) if due is not None else None

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
        self.node = Node(self.node.spec, self.node.speed, self.scheduler.now, warm=False)
        self.up, self.state = True, BackendState.READY


class GatekeeperProcess:
    """A gatekeeper's side towards nodes, in virtual time."""

    def __init__(self, day: SimulationContext, number: int) -> None:
        self.day, self.number = day, number
        self.gatekeeper: Gatekeeper | None = None
        self.zone = day.zones[number % len(day.zones)]
        self.given_up: set[Any] = set()
        self.timers: dict[tuple[int, int, int], tuple[Handle, SimulatedNode]] = {}
        self.busy_until = 0
        self.busy_ns = 0
        self.most_open = 0

    def delay(self, node: SimulatedNode) -> int:
        """One way."""
        network = self.day.fleet.network
        mean = network.delay_ms if node.zone == self.zone else network.cross_zone_ms
        return int(mean * MS * self.day.jitter())

    def send(self, exchange: AnyExchange, attempt: int, backend: int, timeout_ns: int) -> None:
        """For the gatekeeper: starts an attempt."""
        node = self.day.nodes[backend]
        key = self.number, id(exchange), attempt
        give_up = self.day.scheduler.after(
            timeout_ns, self._timed_out, exchange, attempt, node, Outcome.TIMEOUT
        )
        self.timers[key] = give_up, node
        self.most_open = max(self.most_open, len(self.timers))
        self.day.scheduler.after(
            self.delay(node), node.arrive, key, self, exchange, attempt, exchange.request
        )

    def cancel(self, exchange: AnyExchange, attempt: int) -> None:
        """For the gatekeeper: stops waiting."""
        held = self.timers.get((self.number, id(exchange), attempt))
        if held is not None:
            self.day.scheduler.after(0, self._timed_out, exchange, attempt, held[1], Outcome.CANCELLED)

    def withdraw(self, exchange: AnyExchange) -> None:
        """For the gatekeeper: nothing waits for a connection, as connections are not modelled."""

    def close_idle(self, backend: int) -> None:
        """Connections are not modelled."""

    def _timed_out(self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome) -> None:
        key = self.number, id(exchange), attempt
        held = self.timers.pop(key, None)
        if held is None:
            return
        held[0].cancel()
        if key not in node.told:
            self.given_up.add(key)  # still on its way
        self.day.scheduler.after(self.delay(node), self._stop, node, key)
        self._ended(exchange, attempt, node, outcome, 0.0)

    def _stop(self, node: SimulatedNode, key: Any) -> None:
        self.given_up.discard(key)
        node.give_up(key)

    def over(
        self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome, units: float = 0.0
    ) -> None:
        """A node's answer sets out."""
        self.day.scheduler.after(self.delay(node), self._arrived, exchange, attempt, node, outcome, units)

    def _arrived(
        self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome, units: float
    ) -> None:
        held = self.timers.pop((self.number, id(exchange), attempt), None)
        if held is not None:
            held[0].cancel()
            self._ended(exchange, attempt, node, outcome, units)

    def _ended(
        self, exchange: AnyExchange, attempt: int, node: SimulatedNode, outcome: Outcome, units: float
    ) -> None:
        assert self.gatekeeper is not None
        self.gatekeeper.attempt_ended(exchange, attempt, node.number, outcome, True, units)

    def work(self, share: float) -> int:
        """CPU time for a part of a request's handling; when it is done."""
        now = self.day.scheduler.now
        cost = int(
            self.day.fleet.gatekeepers.cpu_ms * MS * share / min(1.0, self.day.fleet.gatekeepers.cores)
        )
        self.busy_until = max(now, self.busy_until) + cost
        self.busy_ns += cost
        return self.busy_until
