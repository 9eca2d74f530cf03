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
from pepperrun.model.actors import AnyExchange, NodeInWorld, Sender
from pepperrun.model.day import MS, Day, Fault, Request, settings_of, times_of
from pepperrun.model.fleet import Fleet, speeds
from pepperrun.model.node import Node
from pepperrun.model.service import Ask, service
from pepperrun.model.world import SECOND, Loop, World


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
            self.world.after(late, sender.gatekeeper.backend_list_received, lines)

    def _tell(self, me: int, peer: int, data: bytes) -> None:
        network = self.fleet.network
        if self.random.random() >= network.peer_loss and 0 <= peer < len(self.senders):
            other = self.senders[peer].gatekeeper
            assert other is not None
            self.world.after(int(network.peer_ms * MS * self.jitter()), other.peer_message_received, me, data)

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
        sender.gatekeeper.submit(exchange)

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
