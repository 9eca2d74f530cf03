"""Three control nodes on loopback sockets, one cut off by a forwarding layer; histories are judged."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import pytest

from pepperrun.consensus.state import FIRST_DISK_ID, DurableState, InMemoryStore, initial_proposal
from pepperrun.control.handlers import ControlApi
from pepperrun.control.matchers import Answer, Call
from pepperrun.control.node import ControlNode
from pepperrun.control.server import Server
from pepperrun.foundation.link import Dialer, listen
from pepperrun.foundation.settings import parse
from pepperrun.simulation.cutoff_operators import Operator, observed
from pepperrun.simulation.histories import CallRecord, Read
from pepperrun.simulation.linearizability import judge, worded

NODES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
Way = tuple[str, str]
LONGEST_S = 15.0
EACH_S = 0.02  # between two looks at a condition


def free_port() -> int:
    """One that is free at all three addresses."""
    while True:
        with socket.socket() as first, socket.socket() as second, socket.socket() as third:
            first.bind((NODES[0], 0))
            port: int = first.getsockname()[1]
            with suppress(OSError):
                second.bind((NODES[1], port))
                third.bind((NODES[2], port))
                return port


async def until(holds: Callable[[], bool]) -> None:
    """Waits for a condition."""
    async with asyncio.timeout(LONGEST_S):
        while not holds():
            await asyncio.sleep(EACH_S)


class Network:
    """Carries the links between nodes. What goes a cut way is held, though this layer acknowledges it."""

    def __init__(self) -> None:
        self.cut: set[Way] = set()
        self.refused: set[str] = set()
        self.opened = asyncio.Event()
        self.opened.set()
        self.wires: set[tuple[str, str, asyncio.StreamWriter]] = set()
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def way(self, dialer: str, target: str, port: int) -> int:
        """The port at which `dialer` finds `target`."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if {dialer, target} & self.refused:
                writer.transport.abort()
                return
            far_reader, far_writer = await asyncio.open_connection(target, port)
            self.wires |= {(dialer, target, writer), (dialer, target, far_writer)}
            for one, two, wire in (
                (reader, far_writer, (dialer, target)),
                (far_reader, writer, (target, dialer)),
            ):
                task = asyncio.get_running_loop().create_task(self.carry(one, two, wire))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

        server = await asyncio.start_server(serve, dialer, 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        with suppress(OSError):
            while data := await reader.read(65536):
                while way in self.cut:
                    await self.opened.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()

    def silence(self, ways: set[Way]) -> None:
        self.cut = ways
        self.opened.clear()

    def reset(self, node: str) -> None:
        for dialer, target, writer in self.wires:
            if node in (dialer, target):
                writer.transport.abort()

    def heal(self) -> None:
        self.cut, self.refused = set(), set()
        self.opened.set()

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()


class Site:
    """The nodes, and the operators who call them by HTTP."""

    def __init__(self, seed: int) -> None:
        self.rng, self.records, self.working = random.Random(seed), list[CallRecord](), True
        self.network, self.hubs = Network(), dict[str, ControlNode]()
        self.servers: list[Server | asyncio.Server] = []
        self.control_port = self.port = 0
        self.calls: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self.port, self.control_port = free_port(), free_port()
        zones = {f"z{at}": f"r{at}" for at in range(3)}
        for at, ip in enumerate(NODES):
            me = {"station": f"s{at}", "role": "sorting", "ip": ip, "zone": f"z{at}", "region": f"r{at}"}
            contacts = [f"{one}:{self.control_port}" for one in NODES]
            boxes = {"control_port": f"{ip}:{self.control_port}"}
            network = {"sidings": [self.port, self.port], "first_contacts": contacts}
            settings = parse({"self": me, "network": network | {"postboxes": boxes, "zones": zones}})
            memory = DurableState(FIRST_DISK_ID)
            memory.accepted = memory.chosen = initial_proposal(NODES)
            hub = self.hubs[ip] = ControlNode(settings, memory, InMemoryStore(), 1)
            ports = {one: await self.network.way(ip, one, self.port) for one in NODES if one != ip}
            hub.peer_links.dial = self._dialer(ip, ports)
            server = Server(ControlApi(hub).control_tree())
            await server.open((ip, self.control_port))
            self.servers += [server, await listen((ip, self.port), hub, hub.hello)]
        for hub in self.hubs.values():
            hub.start()
        await until(lambda: not any(hub.lacks_quorum for hub in self.hubs.values()))

    @staticmethod
    def _dialer(ip: str, ports: dict[str, int]) -> Callable[..., Any]:
        return lambda where, user, hello: Dialer((ip, ports[where[0]]), user, hello)

    async def close(self) -> None:
        self.working = False
        for hub in self.hubs.values():
            hub.close()
        for server in self.servers:
            if isinstance(server, Server):
                await server.close(0.1)
            else:
                server.close()
        self.network.close()

    def later(self, ms: float, what: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(ms / 1000, what)

    def targets(self) -> list[str]:
        return [*NODES, NODES[0]]

    def call(self, record: CallRecord, call: Call, done: Callable[[], None]) -> None:
        async def play() -> None:
            record.called_at = time.monotonic_ns()
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    answer = await self.http(record.machine, call)
                record.answered_at, record.status = time.monotonic_ns(), answer.status
                if answer.status == 200 and isinstance(record.operation, Read):
                    record.observed = observed(answer, [])
            done()

        task = asyncio.get_running_loop().create_task(play())
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def http(self, node: str, call: Call) -> Answer:
        """One call on a connection of its own."""
        reader, writer = await asyncio.open_connection(node, self.control_port)
        try:
            based = f"Based-On: {call.headers['based-on']}\r\n" if "based-on" in call.headers else ""
            head = f"{call.method} /{'/'.join(call.path)} HTTP/1.1\r\nHost: c\r\n{based}"
            writer.write(f"{head}Content-Length: {len(call.body)}\r\n\r\n".encode() + call.body)
            told = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(told.split("content-length:")[1].split("\r\n")[0])
            return Answer(int(told.split()[1]), await reader.readexactly(length))
        finally:
            writer.transport.abort()

    async def statuses(self, node: str) -> list[int]:
        """Of an invalid order, a stale one and a read, at one node at once."""
        headers = {"based-on": "999"}
        stale = Call("POST", ["timetable", "amend"], headers=headers, body=b'{"edition":1000}')
        invalid = Call("POST", ["timetable", "amend"], headers=headers, body=b"{")
        read = Call("GET", ["timetable", "read"])
        answers = await asyncio.gather(*(self.http(node, one) for one in (stale, invalid, read)))
        return [one.status for one in answers]


@asynccontextmanager
async def site(seed: int) -> AsyncIterator[Site]:
    here = Site(seed)
    try:
        await here.start()
        yield here
    finally:
        await here.close()


def played(test: Callable[[], Awaitable[None]]) -> None:
    """Runs a test on a loop of its own."""

    async def bounded() -> None:
        async with asyncio.timeout(40):
            await test()

    asyncio.run(bounded())


CUTS = ["silence", "inbound", "outbound", "refusal", "reset"]


def begin(network: Network, kind: str, node: str) -> None:
    """A cut begins."""
    others = [ip for ip in NODES if ip != node]
    inward, outward = {(ip, node) for ip in others}, {(node, ip) for ip in others}
    if kind in ("refusal", "reset"):
        network.refused = {node} if kind == "refusal" else set()
        network.reset(node)
    else:
        network.silence({"silence": inward | outward, "inbound": inward, "outbound": outward}[kind])


@pytest.mark.parametrize("kind", CUTS)
def test_a_cut_off_node_says_503_and_histories_over_sockets_are_linearizable(kind: str) -> None:
    async def test() -> None:
        async with site(CUTS.index(kind)) as here:
            operators = [Operator(at, here, f"z{at}") for at in range(3)]
            for operator in operators:
                operator.work()
            await until(lambda: sum(one.status == 200 for one in here.records) >= 6)
            victim = NODES[0]
            begin(here.network, kind, victim)
            if kind != "reset":
                assert await here.statuses(victim) == [503, 503, 503]  # it may not know it yet
                await until(lambda: here.hubs[victim].lacks_quorum)
                begun = time.monotonic()
                assert await here.statuses(victim) == [503, 503, 503]
                assert time.monotonic() - begun < 0.5
            cut = len(here.records)
            await until(lambda: sum(one.status == 200 for one in here.records[cut:]) >= 6)
            here.network.heal()
            await until(lambda: not any(hub.lacks_quorum for hub in here.hubs.values()))
            here.working = False
            await until(lambda: not here.calls)
            assert await here.statuses(victim) == [412, 400, 200]
            found = judge(here.records)[0]
            assert found.linearizable, worded(found.stuck)

    played(test)
