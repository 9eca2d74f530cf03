"""Stand-in nodes and their discovery: `python3 -m pepperrun.bench.fleet_process`, JSON lines on its input.

Each node listens at a port of its own and runs the model's node on the real clock: slots, waiting room,
shared cores, cold start, cancel, drain. A request says in its query what work it is (`work`, ns of a core at
speed 1) and how many units it truly counts (`true`). The first line is the fleet, further ones are faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import re
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from pepperrun.model.fleet import Fleet
from pepperrun.model.node import Admission, Node
from pepperrun.net.buffered import BufferedConnection
from pepperrun.net.http1 import REQUEST_BUFFER_SIZE, HttpError, Request, RequestParser, encode_response

HOST = "127.0.0.1"
_WORK = re.compile(rb"[?&]work=([0-9]{1,15})")
_TRUE = re.compile(rb"[?&]true=([0-9]{1,9}(?:\.[0-9]{1,9})?)")
REJECTED = (b"X-Rejected", b"1")


class Connection(BufferedConnection):
    """A gatekeeper's connection to a node."""

    def __init__(self, node: StandInNode) -> None:
        super().__init__(REQUEST_BUFFER_SIZE)
        self.node = node
        self.parser = RequestParser(self.buffer)
        self.key: object | None = None
        self.units = b"1"

    def on_open(self) -> None:
        self.node.connections.add(self)

    def on_close(self) -> None:
        self.node.connections.discard(self)
        if self.key is not None:
            self.node.give_up(self)

    def eof_received(self) -> bool:
        return False

    def on_data(self) -> None:
        try:
            request = self.parser.next()
        except HttpError:
            request = None
            if self.transport is not None:
                self.transport.close()
        if request is not None:
            self._ask(request)

    def _ask(self, request: Request) -> None:
        work, units = _WORK.search(request.target), _TRUE.search(request.target)
        if work is None:
            self.answer(400, [])
            return
        self.units = units[1] if units is not None else b"1"
        self.key = object()
        if not self.node.arrive(self, float(work[1])):
            self.key = None
            self.answer(503, [REJECTED])

    def answer(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Sends an answer."""
        if self.transport is not None:
            self.transport.write(encode_response(status, fields, b"done\n", False))

    def done(self) -> None:
        """The request has run."""
        self.key = None
        self.answer(200, [(b"X-Units-Charged", self.units)])


class StandInNode:
    """A node of the model behind a port."""

    make: Callable[[StandInNode], Connection] = Connection  # of each connection that is taken

    def __init__(self, name: str, zone: str, cell: int, node: Node) -> None:
        self.name, self.zone, self.cell, self.node = name, zone, cell, node
        self.connections: set[Connection] = set()
        self.working: dict[object, Connection] = {}
        self.server: asyncio.Server | None = None
        self.port = 0
        self.state, self.started_ms = "Ready", 0
        self.timer: asyncio.TimerHandle | None = None
        self.turned_away = 0

    async def open(self) -> None:
        """Listens, at the port that it had."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: type(self).make(self), HOST, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def arrive(self, connection: Connection, work: float) -> bool:
        """A request; False where it is turned away."""
        now = time.monotonic_ns()
        self.step()
        key = connection.key
        assert key is not None
        if self.node.arrive(now, key, work) is Admission.REJECTED:
            self.turned_away += 1
            return False
        self.working[key] = connection
        self._arm()
        return True

    def give_up(self, connection: Connection) -> None:
        """The gatekeeper has closed the connection."""
        if connection.key in self.working:
            self.step()
            self.node.cancel(time.monotonic_ns(), connection.key)
            self.working.pop(connection.key, None)
            self._arm()

    def step(self) -> None:
        """Works up to now and answers what is done."""
        for key in self.node.advance(time.monotonic_ns()):
            connection = self.working.pop(key, None)
            if connection is not None:
                connection.done()

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        due = self.node.next_event_at()
        if due is not None:
            wait = max(0, due - time.monotonic_ns()) / 1e9
            self.timer = asyncio.get_running_loop().call_later(wait, self._due)

    def _due(self) -> None:
        self.step()
        self._arm()

    def die(self) -> None:
        """As a process that ends: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
        if self.timer is not None:
            self.timer.cancel()
        self.node.drop_all()
        self.working.clear()
        for connection in list(self.connections):
            connection.key = None
            if connection.transport is not None:
                connection.transport.abort()

    async def start_cold(self) -> None:
        """Starts again at the same port."""
        now = time.monotonic_ns()
        self.node = Node(self.node.spec, self.node.speed, now, warm=False)
        self.state, self.started_ms = "Ready", int(time.time() * 1000)
        await self.open()

    def entry(self) -> dict[str, Any]:
        """As discovery tells it."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "cell": self.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class StandInFleet:
    """All nodes, and the agent that tells the gatekeepers of them, late."""

    def __init__(self, fleet: Fleet, node_speeds: list[float], seed: int) -> None:
        self.fleet, self.random = fleet, random.Random(seed)
        self.nodes: list[StandInNode] = []
        for group in fleet.nodes:
            kind = fleet.kind[group.kind].to_spec(group.kind)
            for _ in range(group.count):
                number = len(self.nodes)
                node = Node(kind, node_speeds[number], time.monotonic_ns())
                self.nodes.append(StandInNode(f"node-{number}", group.zone, number // 4, node))
        self.version = 1
        self.told = ""
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    def listing(self) -> str:
        """The whole list."""
        servers = [node.entry() for node in self.nodes if node.state != "Gone"]
        return json.dumps({"version": self.version, "full": True, "servers": servers})

    async def open(self) -> int:
        """Opens all; the agent's port."""
        for node in self.nodes:
            await node.open()
        self.told = self.listing()
        server = await asyncio.start_server(self._agent, HOST, 0)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _agent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                match = re.search(rb"index=(\d+)&wait=(\d+)", head.split(b"\r\n")[0])
                if match is not None and int(match[1]) >= json.loads(self.told)["version"]:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(match[2]) / 1000)
                body = self.told.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _tell(self) -> None:
        self.version += 1
        listing = self.listing()
        await asyncio.sleep(self.fleet.network.list_s)
        self.told = listing
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _do(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def hit(self, what: str, for_s: float, zone: str, share: float) -> None:
        """A fault, as the model's."""
        mine = [node for node in self.nodes if node.state == "Ready" and zone in ("", node.zone)]
        chosen = self.random.sample(mine, round(len(mine) * share))
        for node in chosen:
            if what == "drain":
                node.state = "Terminating"
            else:
                node.die()
                if what == "lost":
                    node.state = "Gone"
        self._do(self._tell())
        if what == "drain":
            await asyncio.sleep(10)
            for node in chosen:
                node.die()
                node.state = "Gone"
        elif what == "restart":
            await asyncio.sleep(0.5)
            for node in chosen:
                await node.start_cold()
        elif for_s > 0:
            await asyncio.sleep(for_s)
            for node in chosen:
                await node.start_cold()
        else:
            return
        self._do(self._tell())


async def main() -> None:
    """Obeys lines of JSON until the input ends."""
    loop = asyncio.get_running_loop()
    first = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    fleet = StandInFleet(msgspec.convert(first["fleet"], Fleet), first["speeds"], first["seed"])
    port = await fleet.open()
    print(json.dumps({"discovery": port, "known": json.loads(fleet.told)}), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        fleet._do(fleet.hit(**json.loads(line)))


if __name__ == "__main__":
    asyncio.run(main())
