"""Plays one conversation: puts up a data plane, its workers and its clients, and judges what they saw."""

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
from pepperrun.simulation.conversations.scripts import Happening, Reply, Script, draw_reply, draw_script
from pepperrun.simulation.conversations.stepping import Stage
from pepperrun.simulation.conversations.worker import ScriptedWorker, Seen, own_address, reset

LIMIT_S = 900.0  # of virtual time for a conversation
AFTER_S = 12.0  # what was promised not to run is awaited for so long
GRACE_S = 8.0
DWELL_MS = 5000
FURTHER_TRIES = 10.0  # saved up for second workers: they are what is to be seen
HOUR_NS = 3600 * 10**9


@cache
def settings() -> Settings:
    """Of a gatekeeper alone."""
    me = {"station": "g1", "role": "gateway", "ip": own_address(), "zone": "a", "region": "r1"}
    bounds = {"revocation_total": True, "revoke_ms": 5000, "retry_slack": 60, "cold_excess": 1.5}
    network = {"sidings": [7600, 7615], "first_contacts": [], "zones": {"a": "r1", "b": "r2"}}
    return parse({"self": me, "network": network, "tariffs": {"bounds": bounds | {"cold_slack": 5}}})


def _route(name: str, kind: str, service: str | None, **more: Any) -> dict[str, Any]:
    fields = {"name": name, "depot": "h.example", "prefix": f"/{name}/", "route_kind": kind, "line": service}
    return fields | {"deadline_ms": 3000, "target_ms": 1000, "precedence": 0, "tries": 3} | more


def first_state() -> dict[str, Any]:
    """The configuration in force at the beginning."""
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
    limits = {"envelope_bytes": 8192, "parcel_bytes": 1 << 20, "envelope_ms": 3000, "dwell_ms": DWELL_MS}
    return {
        **{"edition": 1, "routes": {item["name"]: item for item in routes}, "carrier_lines": services},
        **{"senders": senders, "limits": limits, "evacuated": []},
    }


@dataclass
class Place:
    """Where a worker is, and the life that the data plane knows there."""

    worker: ScriptedWorker
    zone: str


class Conversation:
    """One script on its stage."""

    def __init__(self, script: Script) -> None:
        self.script, self.stage = script, Stage()
        self.rng = random.Random(script.seed * 2 + 1)
        self.seen: list[Seen] = []
        self.state = first_state()
        self.number = self.lives = 0
        self.places: list[Place] = []
        self.record = Record([], self.seen, {})
        self.plane: DataPlane | None = None
        self.clients: list[ScriptedClient] = []

    # The data plane's side: each call runs in its loop.

    def _in_plane(self, call: Callable[[], Any]) -> None:
        self.stage.plane.call_soon(call)

    async def _put_up(self) -> None:
        now = self.stage.clock
        plane = self.plane = DataPlane(settings(), self.script.seed, now, lambda: 1, now, now)
        self._agree()
        plane.listener.open((own_address(), 0))
        plane.gatekeeper.gateway.retry_budget.depth = plane.gatekeeper.gateway.retry_budget.level = (
            FURTHER_TRIES
        )

    def _agree(self) -> None:
        assert self.plane is not None
        for name, item in self.state["routes"].items():
            services = {split["line"] for split in item.get("splits") or ()} | {item["line"]} - {None}
            self.record.allowed.setdefault(name, set()).update(services)
        self.number += 1
        self.plane.on_agreed_state(self.number, self.state)

    def _tell(self, worker: ScriptedWorker, zone: str, state: WorkerState = WorkerState.SERVING) -> None:
        assert self.plane is not None
        address = f"{own_address()}:{worker.port}"
        self.plane.on_workers([Worker(worker.id, worker.service, address, zone, state=state)])

    # The others' side.

    def _reply(self) -> Reply:
        replies = self.script.replies
        if replies is None:
            return draw_reply(self.rng)
        return replies.pop(0) if replies else Reply()

    async def _work(self, service: str, zone: str, port: int = 0) -> Place:
        self.lives += 1
        id = f"w{self.lives}"
        worker = ScriptedWorker(id, service, self.stage.peers, self._reply, self.seen)
        place = Place(await worker.start(port), zone)
        self.places.append(place)
        self._in_plane(lambda: self._tell(worker, zone))
        return place

    async def _happen(self, happening: Happening) -> None:
        await asyncio.sleep(max(0.0, happening.at_s))
        plane, stage = self.plane, self.stage
        assert plane is not None
        match happening.kind:
            case "freeze":
                stage.freeze(happening.span_s)
                self.record.frozen.append((stage.now, stage.now + happening.span_s))
            case "drain":
                self.record.drains.append((stage.now, GRACE_S))
                self._in_plane(
                    lambda: stage.plane.create_task(
                        drain(plane.listener, GRACE_S, plane.has_pending_requests, plane.expire_all)
                    )
                )
            case "reread":
                self._in_plane(lambda: plane.reload_settings(settings()))
            case "move":
                item = dict(self.state["routes"]["once"], line="two")
                self.state = dict(self.state, routes=self.state["routes"] | {"once": item})
                self._in_plane(self._agree)
            case "revoke":
                senders = {name: one for name, one in self.state["senders"].items() if name != "bob"}
                self.state = dict(self.state, senders=senders)
                self._in_plane(self._agree)
            case "restart" | "hand-on":
                await self._replace(happening)

    async def _replace(self, happening: Happening) -> None:
        """A worker dies and another life, of its own service or of another, has its address."""
        place = self.rng.choice(self.places)
        old = place.worker
        service = old.service if happening.kind == "restart" else {"one": "two"}.get(old.service, "one")
        old.stop()
        self.places.remove(place)
        try:
            await self._work(service, place.zone, old.port)
        except OSError:  # another has taken the port meanwhile
            return
        await asyncio.sleep(happening.told_s)
        self._in_plane(lambda: self._tell(old, place.zone, WorkerState.GONE))

    async def _go(self) -> None:
        for service, zone in (("one", "a"), ("one", "b"), ("two", "a")):
            await self._work(service, zone)
        await asyncio.sleep(0.001)  # the data plane has heard of them
        assert self.plane is not None
        port = self.plane.listener.address[1]
        loop = self.stage.peers
        self.clients = [ScriptedClient(loop, port, turns) for turns in self.script.clients]
        tasks = [loop.create_task(client.play()) for client in self.clients]
        happenings = [loop.create_task(self._happen(one)) for one in self.script.happenings]
        await asyncio.gather(*tasks, *happenings)
        await asyncio.sleep(AFTER_S)

    def _end(self) -> None:
        for connection in self._connections():
            if connection.transport is not None:
                reset(connection.transport)
        for place in self.places:
            place.worker.stop()
        if self.plane is not None:
            self.plane.close()
        self.stage.close()

    def _connections(self) -> list[ClientConnection]:
        return [connection for client in self.clients for connection in client.connections]

    def play(self) -> list[str]:
        """The rules that were broken."""
        stage = self.stage
        try:
            stage.run(self._put_up(), stage.plane, LIMIT_S)
            stage.run(self._go(), stage.peers, LIMIT_S)
            self.record.connections = self._connections()
            crashes = [f"CRASH: {text}" for text in stage.plane.crashes]
            return Judge(self.record).verdict() + crashes
        finally:
            self._end()


def play(seed: int) -> Conversation:
    """One conversation, drawn from its seed, ready to be played."""
    return Conversation(draw_script(seed))
