"""Small stand-ins for what a gatekeeper meets on its sockets, on loopback and ephemeral ports."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from pepperrun.config import read_endpoint_list
from pepperrun.core.interface import Group, ListKind, Outcome, Plan, Repeat, RequestClass, Settings
from pepperrun.exchange import Exchange
from pepperrun.fronts.forward_auth import AuthService
from pepperrun.fronts.platform import Platform
from pepperrun.gatekeeper import Clock, Gatekeeper
from pepperrun.net.directory import Directory
from pepperrun.net.http1 import Request
from pepperrun.net.listener import Listener
from pepperrun.net.stream import BodyStream, MemoryBudget
from pepperrun.net.upstream import UpstreamClient, platform_classifier

MS = 1_000_000
SECOND = 1_000_000_000
HOST = "127.0.0.1"
PATIENCE = 20.0  # no test waits this long unless something is broken

CLASSES = (
    RequestClass("search", 2 * SECOND, 8 * SECOND, Repeat.SAFE),
    RequestClass("confirm", 2 * SECOND, 5 * SECOND, Repeat.KEYED, Group.CELL, 10 * SECOND),
)
PLANS = (Plan("wide", rate=1e6, burst=1e6), Plan("tight", rate=1.0, burst=1.0))
SETTINGS = Settings(0, 1, 0, CLASSES, PLANS, tick_ns=MS, max_attempts=3, retry_after=True)


def going(test: Callable[[], Awaitable[None]]) -> None:
    """Runs a test's coroutine, not for ever."""

    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE):
            await test()

    asyncio.run(bounded())


def ok(body: bytes = b"fine", *more: bytes) -> bytes:
    return answer(200, body, *more)


def answer(status: int, body: bytes = b"", *more: bytes) -> bytes:
    head = b"".join(line + b"\r\n" for line in more)
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, head, len(body), body)


class StandIn:
    """An HTTP server that does as told: each request takes the next of `plan`, the last one for ever.

    A step is bytes to answer with, or a coroutine that is given this stand-in, the reader and the writer.
    """

    def __init__(self, *plan: Any) -> None:
        self.plan = list(plan)
        self.heads: list[bytes] = []
        self.connections = 0
        self.arrived: asyncio.Queue[bytes] = asyncio.Queue()
        self.closed: asyncio.Queue[None] = asyncio.Queue()
        self.go = asyncio.Event()  # what a `wait` waits for
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> StandIn:
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """As a process that dies: its connections are reset, new ones are refused."""
        if self.server is not None:
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [x for x in head.split(b"\r\n") if x.lower().startswith(b"content-length:")]
                body = await reader.readexactly(int(length[0].split(b":")[1])) if length else b""
                self.heads.append(head)
                self.arrived.put_nowait(head + body)
                step = self.plan.pop(0) if len(self.plan) > 1 else self.plan[0]
                if isinstance(step, bytes):
                    writer.write(step)
                else:
                    await step(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
            self.closed.put_nowait(None)


async def stall(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Never answers."""
    await reader.read()


async def reset(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def wait_then(data: bytes) -> Any:
    """Answers once `go` is set."""

    async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await server.go.wait()
        writer.write(data)

    return step


def cut_short(data: bytes) -> Any:
    """Answers with a part and ends."""

    async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        writer.close()

    return step


def line(name: str, port: int, state: str = "Ready", **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "addr": f"{HOST}:{port}",
        "zone": "a",
        "cell": 0,
        "state": state,
        "started_ms": 0,
    } | more


def listing(*lines: dict[str, Any], version: int = 1, full: bool = True) -> Any:
    return read_endpoint_list(
        json.loads(json.dumps({"version": version, "full": full, "servers": list(lines)}))
    )


class Backends:
    """A server side alone: attempts go in by hand, outcomes come out of a queue."""

    def __init__(self, most: int = 8, keepalive_ns: int = 15 * SECOND, connect_ns: int = SECOND) -> None:
        self.clock = Clock()
        self.directory = Directory(("a",), self.clock.from_unix_ms)
        self.outcomes: asyncio.Queue[tuple[int, Outcome, Any, float]] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        self.side = UpstreamClient(
            loop,
            self.clock,
            self.directory,
            self._ended,
            platform_classifier(6.0),
            most,
            keepalive_ns,
            connect_ns,
        )
        self.sent = 0

    def _ended(
        self, exchange: Any, number: int, backend: int, outcome: Outcome, given: Any, units: float
    ) -> None:
        self.outcomes.put_nowait((exchange.id, outcome, given, units))

    def list(self, *lines: dict[str, Any], full: bool = True) -> None:
        self.directory.apply(listing(*lines, full=full), ListKind.FULL if full else ListKind.DELTA)
        self.side.on_endpoints_changed()

    def send(
        self,
        name: str = "w",
        timeout_ns: int = 10 * SECOND,
        body: bytes = b"",
        method: bytes = b"GET",
        stream: BodyStream | None = None,
    ) -> Any:
        asked = Request(
            [(b"Host", b"h"), (b"X-Call-Id", b"1")], {}, True, body, method=method, target=b"/search?c"
        )
        asked.stream, asked.complete = stream, stream is None or bool(stream.ended_complete)
        exchange: Any = Exchange(asked, print, cls=0, plan=0, customer=1, started=0, deadline=0)
        self.sent += 1
        exchange.id = self.sent
        exchange.begin_attempt(self.clock())
        self.side.send(exchange, 0, self.directory.id_of(name), timeout_ns)
        return exchange

    async def outcome(self) -> Outcome:
        return (await self.outcomes.get())[1]


class Front:
    """The whole gatekeeper behind the platform's front, on an ephemeral port."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        most: int = 50,
        auth: AuthService | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.gatekeeper = Gatekeeper(settings, 1, self.clock, loop)
        self.directory = Directory(("a",), self.clock.from_unix_ms)
        self.side = UpstreamClient(
            loop,
            self.clock,
            self.directory,
            self.gatekeeper.attempt_ended,
            platform_classifier(6.0),
            20,
            15 * SECOND,
            SECOND,
            budget,
        )
        self.gatekeeper.backends = self.side
        self.platform = Platform(settings, self.gatekeeper, self.clock, auth, budget)
        self.listener = Listener(loop, self.clock, most, self.platform.new_connection)
        self.listener.open((HOST, 0))

    def list(self, *lines: dict[str, Any]) -> None:
        self.gatekeeper.backend_list_received(self.directory.apply(listing(*lines), ListKind.FULL))
        self.side.on_endpoints_changed()

    async def client(self) -> Client:
        return await Client.to(self.listener.address[1])


class Client:
    """A client's connection, by hand."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def to(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection(HOST, port))

    def ask(self, cls: str = "search", budget: str = "3000m", plan: str = "wide", **more: str) -> None:
        fields = {"X-Call-Id": "1", "X-Plan": plan, "X-Budget": budget, "X-Quota": "units=1,spread=1,first=0"}
        body = b"hello" if cls == "confirm" else b""
        if body:
            fields |= {"Idempotency-Key": "k", "Content-Length": "5"}
        fields |= {name.replace("_", "-"): value for name, value in more.items()}
        method = "POST" if body else "GET"
        head = f"{method} /{cls}?customer=0000000000000007 HTTP/1.1\r\nHost: h\r\n"
        self.writer.write(
            (head + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode() + body
        )

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        """The next answer: status, fields and body."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        return int(head[0].split()[1]), fields, body

    async def ended(self) -> bool:
        """Has the other side closed, with nothing more to say?"""
        try:
            return await self.reader.read(1) == b""
        except ConnectionResetError:
            return True
