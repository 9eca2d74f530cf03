"""Clients of a soak run: they ask the directory, keep connections until these end, record each request."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
from dataclasses import dataclass

from pepperrun.foundation.settings import Address
from pepperrun.soak.leaving import BEHIND, BEHIND_PADDING, Leave, draw_leave, leave
from pepperrun.soak.records import Sent

CONNECT_S = 1.0
RESOLVE_S = 1.0
OVER_S = 1.0  # past a request's deadline a client waits so much longer, then it counts as unanswered
PAUSE_S = 0.05  # after a failure


@dataclass(frozen=True)
class Route:
    """A route that clients use."""

    host: str
    prefix: str
    is_safe: bool
    deadline_ms: int
    share: float


@dataclass(frozen=True)
class Target:
    """Where clients begin: the directory's addresses, the routes, the key of their tenant."""

    directory: list[Address]
    region: str
    routes: tuple[Route, ...]
    key: str
    leave_share: float = 0.0  # of requests whose clients leave before the answer


class Client:
    """One client: a request after the other, on one connection for as long as that lasts."""

    def __init__(self, name: str, target: Target, rng: random.Random, sent: list[Sent]) -> None:
        self.name, self.target, self.rng, self.sent = name, target, rng, sent
        self.addresses: list[Address] = []
        self.resolve_at = 0.0
        self.where: Address | None = None
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.count = 0

    async def run(self, until: asyncio.Event) -> None:
        """Send until told to stop, then let go of the connection."""
        while not until.is_set():
            if not await self._ready():
                await asyncio.sleep(PAUSE_S)
                continue
            await self._request()
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
        self._drop()

    # Where to.

    async def _ready(self) -> bool:
        """Whether there is a connection; an open one is used until it ends."""
        if self.streams is not None:
            return True
        if time.monotonic() >= self.resolve_at or not self.addresses:
            await self._resolve()
        if not self.addresses:
            return False
        self.where = self.rng.choice(self.addresses)
        try:
            async with asyncio.timeout(CONNECT_S):
                self.streams = await asyncio.open_connection(*self.where)
        except OSError:
            self.addresses.remove(self.where)  # skipped until the directory is asked again
            return False
        return True

    async def _resolve(self) -> None:
        for where in self.rng.sample(self.target.directory, len(self.target.directory)):
            try:
                async with asyncio.timeout(RESOLVE_S):
                    told = await self._ask_directory(where)
            except (OSError, ValueError, EOFError, KeyError):
                continue
            self.addresses = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in told[0])]
            self.resolve_at = time.monotonic() + told[1]
            return

    async def _ask_directory(self, where: Address) -> tuple[list[str], float]:
        reader, writer = await asyncio.open_connection(*where)
        try:
            query = f"name={self.target.routes[0].host}&region={self.target.region}&zone="
            writer.write(f"GET /resolve?{query} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".encode())
            status, fields = await _head(reader)
            body = await reader.readexactly(int(fields["content-length"]))
            if status != 200:
                raise ValueError(f"the directory says {status}")
            data = json.loads(body)
            return list(data["addresses"]), float(data["ttl_s"])
        finally:
            writer.close()

    # Requests.

    async def _request(self) -> None:
        route = self.rng.choices(self.target.routes, [one.share for one in self.target.routes])[0]
        one = self._next(route)
        leaving = draw_leave(self.rng, self.target.leave_share)
        patience_s = route.deadline_ms / 1000 + OVER_S if leaving is None else leaving[1]
        try:
            async with asyncio.timeout(patience_s):
                keeps = await self._exchange(one, route)
        except TimeoutError:
            keeps = False
            if leaving is not None:
                await self._leave(one, route, leaving[0])
        except (OSError, EOFError, ValueError, KeyError):
            keeps = False
        one.ended = one.ended or time.monotonic_ns()
        if not keeps:
            self._drop()

    def _next(self, route: Route) -> Sent:
        assert self.where is not None
        self.count += 1
        now = time.monotonic_ns()
        id = f"{self.name}-{self.count}"
        one = Sent(id, self.where[0], route.is_safe, now, now + route.deadline_ms * 1_000_000)
        self.sent.append(one)
        return one

    async def _leave(self, one: Sent, route: Route, how: Leave) -> None:
        """Leave without the answer, and without those to what is sent behind it."""
        assert self.streams is not None
        gone = [one]
        if how.sends_ahead:
            gone += [self._next(route) for _ in range(BEHIND)]
            padding = b"Padding: " + BEHIND_PADDING
            self.streams[1].write(b"".join(self._written(behind, route, padding) for behind in gone[1:]))
            await asyncio.sleep(0)  # the system has taken them
        now = time.monotonic_ns()
        for each in gone:
            each.left, each.way, each.ended = now, how, now
        await leave(self.streams, how, route.deadline_ms / 1000)

    def _written(self, one: Sent, route: Route, more: bytes = b"") -> bytes:
        method, target = ("GET" if route.is_safe else "POST"), f"{route.prefix}{one.id}"
        fields = [f"{method} {target} HTTP/1.1", f"Host: {route.host}", f"Attempt-Id: {one.id}"]
        fields += [f"Deadline-Ms: {route.deadline_ms}", f"Authorization: Token {self.target.key}"]
        fields += [] if route.is_safe else ["Content-Length: 4"]
        head = "\r\n".join([*fields, ""]).encode() + (more + b"\r\n" if more else b"")
        return head + b"\r\n" + (b"" if route.is_safe else b"body")

    async def _exchange(self, one: Sent, route: Route) -> bool:
        """Send one request and take its answer; whether the connection can be used again."""
        assert self.streams is not None
        reader, writer = self.streams
        target = f"{route.prefix}{one.id}"
        writer.write(self._written(one, route))
        status, answer = await _head(reader)
        body = await reader.readexactly(int(answer["content-length"]))
        one.status, one.is_from_worker = status, "postmark" in answer
        if 200 <= status < 300:
            one.problem = _wrong(one.id, target, answer, body)
        return answer.get("connection", "").lower() != "close"

    def _drop(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None


async def _head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return int(first.split(" ", 2)[1]), {name.strip().lower(): value.strip() for name, _, value in pairs}


def _wrong(id: str, target: str, answer: dict[str, str], body: bytes) -> str:
    """Say what is wrong with a success, by the mark that its worker set over id and body."""
    mark = hashlib.blake2s(id.encode() + body, digest_size=8).hexdigest()
    if answer.get("attempt-id") != id:
        return f"the answer is of {answer.get('attempt-id')}"
    if answer.get("postmark") != mark or target.encode() not in body:
        return "the body is not the worker's"
    return ""
