"""Runs one conversation: starts a data plane, workers and clients, and checks what they observed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from typing import Any

from pepperrun.control.records import Worker, WorkerState
from pepperrun.dataplane.draining import drain
from pepperrun.dataplane.plane import DataPlane
from pepperrun.foundation.settings import Settings, parse
from pepperrun.simulation.conversations.client import ClientConnection, ScriptedClient
from pepperrun.simulation.conversations.judge import Judge, Record
from pepperrun.simulation.conversations.scripts import (
    ReplySpec,
    Script,
    ScriptedEvent,
    draw_reply,
    draw_script,
)
from pepperrun.simulation.conversations.stepping import SteppedLoops
from pepperrun.simulation.conversations.worker import ReceivedRequest, ScriptedWorker, loopback_address, reset

TIME_LIMIT_S = 900.0  # of virtual time for a conversation
SETTLE_S = 12.0  # waits so long for late runs of requests whose status promised that they would not run
DRAIN_GRACE_S = 8.0
IDLE_LIMIT_MS = 5000
RETRY_BUDGET = 10.0  # enough from the start that retries on a second worker are exercised
HOUR_NS = 3600 * 10**9


@cache
def settings() -> Settings:
    """Returns the settings of a single gateway."""
    self_settings = {
        "station": "g1",
        "role": "gateway",
        "ip": loopback_address(),
        "zone": "a",
        "region": "r1",
    }
    bounds = {"revocation_total": True, "revoke_ms": 5000, "retry_slack": 60, "cold_excess": 1.5}
    network = {"sidings": [7600, 7615], "first_contacts": [], "zones": {"a": "r1", "b": "r2"}}
    return parse(
        {"self": self_settings, "network": network, "tariffs": {"bounds": bounds | {"cold_slack": 5}}}
    )


def _route(name: str, kind: str, service: str | None, **overrides: Any) -> dict[str, Any]:
    fields = {"name": name, "depot": "h.example", "prefix": f"/{name}/", "route_kind": kind, "line": service}
    return fields | {"deadline_ms": 3000, "target_ms": 1000, "precedence": 0, "tries": 3} | overrides


def initial_state() -> dict[str, Any]:
    """Returns the initial replicated configuration."""
    splits = [{"line": "one", "share": 50}, {"line": "two", "share": 50}]
    routes = [
        _route("safe", "safe", "one"),
        _route("once", "unsafe", "one"),
        _route("open", "safe", "one", unstamped=True),
        _route("split", "unsafe", None, splits=splits),
    ]
    services = {
        name: {"name": name, "cold_s": 3.0, "cold_per_s": 5.3, "berth_cap": 100} for name in ("one", "two")
    }
    senders = {
        "ann": {"name": "ann", "stamps": ["stamp-ann-1", "stamp-ann-2"]},
        "bob": {"name": "bob", "stamps": ["stamp-bob-1"]},
    }
    limits = {"envelope_bytes": 8192, "parcel_bytes": 1 << 20, "envelope_ms": 3000, "dwell_ms": IDLE_LIMIT_MS}
    return {
        **{"edition": 1, "routes": {item["name"]: item for item in routes}, "carrier_lines": services},
        **{"senders": senders, "limits": limits, "evacuated": []},
    }


@dataclass
class WorkerSlot:
    """A worker's address and zone with its current incarnation."""

    worker: ScriptedWorker
    zone: str


class Conversation:
    """One script with its data plane, workers and clients."""

    def __init__(self, script: Script) -> None:
        self.script, self.loops = script, SteppedLoops()
        self.rng = random.Random(script.seed * 2 + 1)
        self.received: list[ReceivedRequest] = []
        self.state = initial_state()
        self.configuration_version = self.incarnations = 0
        self.slots: list[WorkerSlot] = []
        self.record = Record([], self.received, {})
        self.plane: DataPlane | None = None
        self.clients: list[ScriptedClient] = []

    # Calls into the data plane, which run in its event loop.

    def _call_in_plane(self, call: Callable[[], Any]) -> None:
        self.loops.plane.call_soon(call)

    async def _start_data_plane(self) -> None:
        now = self.loops.clock
        plane = self.plane = DataPlane(settings(), self.script.seed, now, lambda: 1, now, now)
        self._apply_configuration()
        plane.listener.open((loopback_address(), 0))
        plane.gatekeeper.gateway.retry_budget.depth = plane.gatekeeper.gateway.retry_budget.level = (
            RETRY_BUDGET
        )

    def _apply_configuration(self) -> None:
        assert self.plane is not None
        for name, item in self.state["routes"].items():
            services = {split["line"] for split in item.get("splits") or ()} | {item["line"]} - {None}
            self.record.allowed_services.setdefault(name, set()).update(services)
        self.configuration_version += 1
        self.plane.on_agreed_state(self.configuration_version, self.state)

    def _announce(self, worker: ScriptedWorker, zone: str, state: WorkerState = WorkerState.SERVING) -> None:
        assert self.plane is not None
        address = f"{loopback_address()}:{worker.port}"
        self.plane.on_workers([Worker(worker.id, worker.service, address, zone, state=state)])

    # Workers, events and clients, which run in the other event loop.

    def _next_reply(self) -> ReplySpec:
        replies = self.script.replies
        if replies is None:
            return draw_reply(self.rng)
        return replies.pop(0) if replies else ReplySpec()

    async def _start_worker(self, service: str, zone: str, port: int = 0) -> WorkerSlot:
        self.incarnations += 1
        id = f"w{self.incarnations}"
        worker = ScriptedWorker(id, service, self.loops.peers, self._next_reply, self.received)
        slot = WorkerSlot(await worker.start(port), zone)
        self.slots.append(slot)
        self._call_in_plane(lambda: self._announce(worker, zone))
        return slot

    async def _apply_event(self, event: ScriptedEvent) -> None:
        await asyncio.sleep(max(0.0, event.at_s))
        plane, loops = self.plane, self.loops
        assert plane is not None
        match event.kind:
            case "freeze":
                loops.freeze(event.duration_s)
                self.record.frozen.append((loops.now, loops.now + event.duration_s))
            case "drain":
                self.record.drains.append((loops.now, DRAIN_GRACE_S))
                self._call_in_plane(
                    lambda: loops.plane.create_task(
                        drain(plane.listener, DRAIN_GRACE_S, plane.has_pending_requests, plane.expire_all)
                    )
                )
            case "reread":
                self._call_in_plane(lambda: plane.reload_settings(settings()))
            case "move":
                item = dict(self.state["routes"]["once"], line="two")
                self.state = dict(self.state, routes=self.state["routes"] | {"once": item})
                self._call_in_plane(self._apply_configuration)
            case "revoke":
                senders = {name: one for name, one in self.state["senders"].items() if name != "bob"}
                self.state = dict(self.state, senders=senders)
                self._call_in_plane(self._apply_configuration)
            case "restart" | "hand-on":
                await self._replace_worker(event)

    async def _replace_worker(self, event: ScriptedEvent) -> None:
        """Stops a worker and starts a new incarnation at its address, of the same service or of the other."""
        slot = self.rng.choice(self.slots)
        old = slot.worker
        service = old.service if event.kind == "restart" else {"one": "two"}.get(old.service, "one")
        old.stop()
        self.slots.remove(slot)
        try:
            await self._start_worker(service, slot.zone, old.port)
        except OSError:  # another process has taken the port
            return
        await asyncio.sleep(event.notify_delay_s)
        self._call_in_plane(lambda: self._announce(old, slot.zone, WorkerState.GONE))

    async def _run_clients(self) -> None:
        for service, zone in (("one", "a"), ("one", "b"), ("two", "a")):
            await self._start_worker(service, zone)
        await asyncio.sleep(0.001)  # until the data plane has received the announcements
        assert self.plane is not None
        port = self.plane.listener.address[1]
        loop = self.loops.peers
        self.clients = [ScriptedClient(loop, port, steps) for steps in self.script.clients]
        tasks = [loop.create_task(client.run()) for client in self.clients]
        events = [loop.create_task(self._apply_event(one)) for one in self.script.events]
        await asyncio.gather(*tasks, *events)
        await asyncio.sleep(SETTLE_S)

    def _shut_down(self) -> None:
        for connection in self._connections():
            if connection.transport is not None:
                reset(connection.transport)
        for slot in self.slots:
            slot.worker.stop()
        if self.plane is not None:
            self.plane.close()
        self.loops.close()

    def _connections(self) -> list[ClientConnection]:
        return [connection for client in self.clients for connection in client.connections]

    def run(self) -> list[str]:
        """Runs the conversation; returns the violated rules and crashes."""
        loops = self.loops
        try:
            loops.run(self._start_data_plane(), loops.plane, TIME_LIMIT_S)
            loops.run(self._run_clients(), loops.peers, TIME_LIMIT_S)
            self.record.connections = self._connections()
            crashes = [f"CRASH: {text}" for text in loops.plane.crashes]
            return Judge(self.record).check() + crashes
        finally:
            self._shut_down()


def draw_conversation(seed: int) -> Conversation:
    """Returns the conversation drawn from this seed, ready to run."""
    return Conversation(draw_script(seed))
