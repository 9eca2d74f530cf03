"""Core machines and gatekeepers of a drawn day: the programs' own parts on virtual loops, with the disks.

What `control_node` and `gateway_node` put together is put together here in the same way; the wire between
gatekeepers and workers, and that of clients and callers, is a delay.
"""

from __future__ import annotations

import inspect
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

from pepperrun.consensus.state import FIRST_DISK_ID, DurableState, initial_proposal
from pepperrun.control.handlers import ControlApi
from pepperrun.control.matchers import Answer, Call, dispatch
from pepperrun.control.node import ControlNode
from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.core.interface import Outcome
from pepperrun.dataplane.draining import DRAIN_ACCEPT_S, EXPIRE_BEFORE_END_S
from pepperrun.dataplane.plane import DataPlane
from pepperrun.dataplane.routes import GateContext
from pepperrun.dataplane.trace import RequestTrace
from pepperrun.distribution.service import DistributionService
from pepperrun.exchange import Exchange
from pepperrun.foundation import link
from pepperrun.foundation.settings import Settings, parse
from pepperrun.membership.gateway_probe_service import GatewayProbeService
from pepperrun.membership.gateway_probe_wire import MAGIC
from pepperrun.net.connection import AbandonReason, Attempt
from pepperrun.net.http1 import Request, Response
from pepperrun.net.upstream import UpstreamClient
from pepperrun.simulation import bugs, control_bugs
from pepperrun.simulation.consensus_world import Disk
from pepperrun.simulation.measures import Measures
from pepperrun.simulation.virtual_time import MS, Loop, Machine, World, spawn

PORT = 7600
LOOK_S = 0.2
EVERY = 1e9  # lines a second of a trace that leaves nothing out


def settings_of(
    machine: Machine, role: str, contacts: list[str], zones: dict[str, str], bounds: Any
) -> Settings:
    """The settings file of one machine."""
    boxes = {"counter": f"{machine.ip}:80"} if role == "counter" else {"control_port": f"{machine.ip}:81"}
    me = {
        "station": machine.name,
        "role": role,
        "ip": machine.ip,
        "zone": machine.zone,
        "region": machine.region,
    }
    return parse(
        {
            "self": me,
            "network": {
                "sidings": [PORT, PORT + 9],
                "first_contacts": [f"{ip}:81" for ip in contacts],
                "postboxes": boxes,
                "zones": zones,
            },
            "tariffs": {"bounds": bounds, "withstand": {"vehicles": 1}},
        }
    )


class Core:
    """A core machine with its disk."""

    def __init__(self, machine: Machine, settings: Settings, contacts: list[str], bug: str) -> None:
        self.machine, self.settings, self.contacts, self.bug = machine, settings, contacts, bug
        self.disk, self.lives, self.life = Disk(), 0, ""
        self.node: ControlNode | None = None
        self.tree: Any = None

    def start(self, first: bool = False) -> None:
        """A process starts on what the disk keeps."""
        memory = replace(self.disk.synced) if self.disk.synced else self._fresh(first)
        self.life, memory.starts = memory.disk_id, memory.starts + 1
        self.disk.save(memory)
        self.machine.boot().do(self._make, memory)

    def _fresh(self, first: bool) -> DurableState:
        ip = self.machine.ip
        self.lives += 1
        begins = first and ip in self.contacts
        if self.bug == bugs.EMPTY_VOTES and self.life:
            return DurableState(self.life, 0)
        memory = DurableState(FIRST_DISK_ID if begins else f"{ip}#{self.lives}", 0)
        if begins:
            memory.accepted = memory.chosen = initial_proposal(self.contacts)
        return memory

    def _make(self, memory: DurableState) -> None:
        loop = self.machine.loop
        assert loop is not None
        self.node = ControlNode(self.settings, memory, self.disk, memory.starts, loop.clock)
        control_bugs.put_in(self.bug, self.node)
        self.tree = ControlApi(self.node).control_tree()
        spawn(loop, link.listen(self.settings.internal_address, self.node, self.node.hello))
        self.node.start()

    def stop(self, power: bool = False, wipe: bool = False) -> None:
        """The process ends."""
        self.machine.kill(power)
        if wipe:
            self.disk = Disk()

    def answer(self, call: Call, done: Callable[[Answer], None]) -> None:
        """A control call has come; runs in the process."""
        loop, result = self.machine.loop, dispatch(self.tree, call)
        assert loop is not None
        if inspect.isawaitable(result):

            async def wait() -> None:
                done(await result)

            spawn(loop, wait())
        else:
            done(result)


class Gate:
    """A gatekeeper. `attempt` and `give_up` are what a day carries out: requests at workers."""

    def __init__(
        self,
        machine: Machine,
        settings: Settings,
        attempt: Callable[..., int],
        give_up: Callable[[Gate, str, int], None],
        bug: str,
        seen: Measures,
    ) -> None:
        self.machine, self.settings, self.bug = machine, settings, bug
        self.attempt, self.give_up = attempt, give_up
        self.seen = seen
        self.accepts_until = 0  # world's time; 0: it has not been told to stop
        self.state, self.life, self.serial = GatewayState.STARTING, 0, 0
        self.starts = 0

    def start(self) -> None:
        """A process starts, with nothing."""
        world = self.machine.world
        self.starts += 1
        self.life, self.serial, self.state = world.now // MS + 1, 0, GatewayState.STARTING
        self.accepts_until = 0
        self.machine.boot().do(self._make, world.rng.getrandbits(32))

    def _make(self, seed: int) -> None:
        loop = self.machine.loop
        assert loop is not None
        self.loop = loop
        self.news = DistributionService(self.settings, self.life, self._row, loop.clock)
        book = self.news.replicated
        self.plane = DataPlane(
            *(self.settings, seed, loop.clock, self._known_life),
            *(lambda: book.confirmed_at, lambda: book.records_confirmed_at),
        )
        self.plane.upstream.sweep_timer.cancel()
        backends = Backends(self, loop)
        self.plane.gatekeeper.backends = backends
        self.plane.outcome_sharing.start(cast(UpstreamClient, backends))
        bugs.put_in(self.bug, self.news, self.plane)
        self.trace = self.plane.front.trace = RequestTrace(self.plane.front, EVERY, self.seen.cause)
        self.plane.gatekeeper.observer = self.trace.finished
        held, world = self.seen.starts(loop), loop.world
        book.on_state.append(lambda number, state, change: held.append((world.now, state["edition"])))
        book.on_state.append(self.plane.on_agreed_state)
        book.on_workers.append(self.plane.on_workers)
        book.on_gateways.append(self._on_gateways)
        peer_messages = self.plane.peer_messages
        self.probes = GatewayProbeService(
            *(self.settings, self.life, seed ^ 1, peer_messages.send_datagram, self._on_probes),
            clock=loop.clock,
        )
        peer_messages.handlers[MAGIC] = self.probes.on_datagram
        self.news.follower.parent_selection.is_present = self.probes.is_present
        loop.datagrams(PORT, peer_messages)
        spawn(loop, self.news.start())
        self._look()

    def _row(self) -> GatewayRecord:
        me, ip = self.settings.me, self.machine.ip
        where = f"{ip}:80", f"{ip}:{PORT}"
        return GatewayRecord(me.station, me.zone, me.region, *where, self.life, self.serial, self.state)

    def _on_gateways(self, changed: list[GatewayRecord]) -> None:
        self.plane.on_gateways(changed)
        self.probes.on_gateways(changed)
        self._on_probes()

    def _on_probes(self) -> None:
        self.plane.update_membership_status(self.probes.absent_gateways(), self.probes.suspects_itself)
        self.news.membership_changed()

    def _known_life(self) -> int:
        held = self.news.replicated.gateways.get(self.settings.me.station)
        return held.incarnation if held is not None else self.life

    def _look(self) -> None:
        plane, bounds = self.plane, self.settings.tariffs.bounds
        fresh = plane.gate.is_fresh(self.loop.clock(), int(bounds.edition_ms * MS))
        if self.state == GatewayState.STARTING and plane.table is not None and fresh:
            self._say(GatewayState.READY)
        self.loop.call_later(LOOK_S, self._look)

    def _say(self, state: GatewayState) -> None:
        self.state, self.serial = state, self.serial + 1
        self.news.send_own_record()

    def stop(self) -> None:
        """It is told to stop, as `gateway_node` is: it drains, and ends within the grace."""
        self._say(GatewayState.DRAINING)
        self.probes.leave()
        self.plane.listener.draining = True
        self.accepts_until = self.machine.world.now + int(DRAIN_ACCEPT_S * 1000) * MS
        self.loop.call_later(
            self.settings.tariffs.bounds.grace_s - EXPIRE_BEFORE_END_S, self.plane.expire_all
        )

    @property
    def accepts(self) -> bool:
        """Does it take new connections?"""
        return not self.accepts_until or self.machine.world.now < self.accepts_until

    def take(self, asked: Request, done: Callable[[int], None]) -> None:
        """A client's request has come; runs in the process."""
        front = self.plane.front
        asked.arrived_at = self.loop.clock()
        what = front.route_request(asked)
        if not isinstance(what[0], GateContext):
            self.trace.answered_directly(asked, int(what[0]))
            done(int(what[0]))
            return
        exchange: Any = None

        def final(given: Any) -> None:
            status = front.answer(exchange, given)[0]
            self.trace.answered(exchange, status, given)
            done(status)

        exchange = Exchange(asked, final, **what[1])
        self.plane.gatekeeper.submit(exchange)


class Backends:
    """Attempts of one life of a gatekeeper, as `net.upstream.UpstreamClient` has them."""

    def __init__(self, gate: Gate, loop: Loop) -> None:
        self.gate, self.loop = gate, loop
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.written: dict[tuple[int, int], tuple[str, int]] = {}  # address and token of those that went out

    def send(self, exchange: Any, number: int, backend: int, timeout_ns: int) -> None:
        """Waits for a connection now and then, and asks the gate again before it writes."""
        rng = self.loop.world.rng
        wait = rng.uniform(0.001, 0.3) if rng.random() < self.gate.seen.shape.waits else 0.0
        attempt = Attempt(exchange, number, backend, self.loop.clock() + timeout_ns)
        self.attempts[exchange.id, number] = attempt
        self.loop.call_later(wait, self._write, attempt)

    def _write(self, attempt: Attempt) -> None:
        plane, now, exchange = self.gate.plane, self.loop.clock(), attempt.exchange
        known = plane.workers.by_number.get(attempt.backend)
        if exchange.end is not None or known is None:
            self._end(attempt, Outcome.MOOT)
            return
        if not plane.gate.may_write(cast(GateContext, exchange.gate_context), attempt.backend, now):
            self._end(attempt, Outcome.MOOT)
            return
        attempt.connection = cast(Any, self)  # it has one; which, nobody asks
        left_s = max(0.0, (attempt.deadline - now) / 1e9)
        self.loop.call_later(left_s, self._end, attempt, Outcome.TIMEOUT)
        where, id = known.record.address, known.record.id
        token = self.gate.attempt(self.gate, exchange, where, id, lambda outcome: self._end(attempt, outcome))
        self.written[exchange.id, attempt.number] = where, token

    def _end(self, attempt: Attempt, outcome: Outcome) -> None:
        exchange, key = attempt.exchange, (attempt.exchange.id, attempt.number)
        if self.attempts.get(key) is not attempt:
            return
        del self.attempts[key]
        self.written.pop(key, None)
        given = Response([], {}, True) if outcome is Outcome.OK else None
        self.gate.plane.outcome_sharing.ended(exchange, attempt.number, attempt.backend, outcome, given)

    def cancel(self, exchange: Any, number: int, reason: AbandonReason = AbandonReason.DECISION) -> None:
        """Closes its connection: the worker drops what it is at."""
        attempt = self.attempts.get((exchange.id, number))
        if attempt is None:
            return
        if (written := self.written.get((exchange.id, number))) is not None:
            self.gate.give_up(self.gate, *written)
        self._end(attempt, Outcome.CANCELLED)

    def withdraw(self, exchange: Any) -> None:
        """What waits for a connection ends."""
        for number in sorted(exchange.open_attempts):
            attempt = self.attempts.get((exchange.id, number))
            if attempt is not None and attempt.connection is None:
                self._end(attempt, Outcome.MOOT)

    def close_idle(self, backend: int) -> None:
        """Connections are not modelled."""


def machines(
    world: World, count: int, kind: str, zones: list[str], regions: dict[str, str], net: int
) -> list[Machine]:
    """So many, spread over the zones."""
    out = []
    for at in range(count):
        zone = zones[at % len(zones)]
        ip = f"10.{net}.{at // 200}.{at % 200 + 1}"
        out.append(Machine(world, f"{kind}-{at}", ip, zone, regions[zone]))
    return out
