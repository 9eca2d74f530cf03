"""Clients of a soak run, which resolve gateways, keep connections until they end and record each request."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
from dataclasses import dataclass

from pepperrun.foundation.settings import Address
from pepperrun.soak.disconnects import (
    PIPELINED_PADDING,
    PIPELINED_REQUESTS,
    DisconnectKind,
    disconnect,
    draw_disconnect,
)
from pepperrun.soak.records import SentRequest

CONNECT_TIMEOUT_S = 1.0
RESOLVE_TIMEOUT_S = 1.0
DEADLINE_MARGIN_S = 1.0  # waited past a request's deadline before it counts as unanswered
PAUSE_S = 0.05  # after a failed connect; mean between two requests


@dataclass(frozen=True)
class Route:
    """A route that clients request. `share`: its weight in the draw of routes."""

    host: str
    prefix: str
    is_safe: bool
    deadline_ms: int
    share: float


@dataclass(frozen=True)
class Target:
    """What clients need to know: the directory's addresses, the routes, their tenant's key."""

    directory: list[Address]
    region: str
    routes: tuple[Route, ...]
    key: str
    disconnect_share: float = 0.0  # of requests whose clients disconnect before the response


class Client:
    """A client that sends one request after another, on one connection for as long as it lasts."""

    def __init__(self, name: str, target: Target, rng: random.Random, sent: list[SentRequest]) -> None:
        self.name, self.target, self.rng, self.sent = name, target, rng, sent
        self.addresses: list[Address] = []
        self.resolve_at = 0.0
        self.address: Address | None = None
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.count = 0

    async def run(self, stop_requested: asyncio.Event) -> None:
        """Send requests until `stop_requested` is set, then close the connection."""
        while not stop_requested.is_set():
            if not await self._ensure_connected():
                await asyncio.sleep(PAUSE_S)
                continue
            await self._request()
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
        self._close()

    # Discovery and connections.

    async def _ensure_connected(self) -> bool:
        """Return whether there is a connection; an open one is reused until it ends."""
        if self.streams is not None:
            return True
        if time.monotonic() >= self.resolve_at or not self.addresses:
            await self._resolve()
        if not self.addresses:
            return False
        self.address = self.rng.choice(self.addresses)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self.streams = await asyncio.open_connection(*self.address)
        except OSError:
            self.addresses.remove(self.address)  # skipped until the next call of the directory
            return False
        return True

    async def _resolve(self) -> None:
        for address in self.rng.sample(self.target.directory, len(self.target.directory)):
            try:
                async with asyncio.timeout(RESOLVE_TIMEOUT_S):
                    resolved = await self._ask_directory(address)
            except (OSError, ValueError, EOFError, KeyError):
                continue
            self.addresses = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in resolved[0])]
            self.resolve_at = time.monotonic() + resolved[1]
            return

    async def _ask_directory(self, address: Address) -> tuple[list[str], float]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            query = f"name={self.target.routes[0].host}&region={self.target.region}&zone="
            writer.write(f"GET /resolve?{query} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".encode())
            status, fields = await _read_head(reader)
            body = await reader.readexactly(int(fields["content-length"]))
            if status != 200:
                raise ValueError(f"the directory answered with status {status}")
            data = json.loads(body)
            return list(data["addresses"]), float(data["ttl_s"])
        finally:
            writer.close()

    # Requests.

    async def _request(self) -> None:
        route = self.rng.choices(self.target.routes, [each.share for each in self.target.routes])[0]
        request = self._record_request(route)
        planned_disconnect = draw_disconnect(self.rng, self.target.disconnect_share)
        timeout_s = (
            route.deadline_ms / 1000 + DEADLINE_MARGIN_S
            if planned_disconnect is None
            else planned_disconnect[1]
        )
        try:
            async with asyncio.timeout(timeout_s):
                reusable = await self._exchange(request, route)
        except TimeoutError:
            reusable = False
            if planned_disconnect is not None:
                await self._disconnect(request, route, planned_disconnect[0])
        except (OSError, EOFError, ValueError, KeyError):
            reusable = False
        request.ended_ns = request.ended_ns or time.monotonic_ns()
        if not reusable:
            self._close()

    def _record_request(self, route: Route) -> SentRequest:
        assert self.address is not None
        self.count += 1
        now_ns = time.monotonic_ns()
        id = f"{self.name}-{self.count}"
        request = SentRequest(
            id, self.address[0], route.is_safe, now_ns, now_ns + route.deadline_ms * 1_000_000
        )
        self.sent.append(request)
        return request

    async def _disconnect(self, request: SentRequest, route: Route, kind: DisconnectKind) -> None:
        """Disconnect without the response, and without those to the requests pipelined behind this one."""
        assert self.streams is not None
        abandoned = [request]
        if kind.pipelines:
            abandoned += [self._record_request(route) for _ in range(PIPELINED_REQUESTS)]
            padding = b"Padding: " + PIPELINED_PADDING
            self.streams[1].write(
                b"".join(self._encode(follower, route, padding) for follower in abandoned[1:])
            )
            await asyncio.sleep(0)  # the kernel has taken the bytes
        now_ns = time.monotonic_ns()
        for each in abandoned:
            each.disconnected_ns, each.disconnect_kind, each.ended_ns = now_ns, kind, now_ns
        await disconnect(self.streams, kind, route.deadline_ms / 1000)

    def _encode(self, request: SentRequest, route: Route, padding: bytes = b"") -> bytes:
        method, target = ("GET" if route.is_safe else "POST"), f"{route.prefix}{request.id}"
        fields = [f"{method} {target} HTTP/1.1", f"Host: {route.host}", f"Attempt-Id: {request.id}"]
        fields += [f"Deadline-Ms: {route.deadline_ms}", f"Authorization: Token {self.target.key}"]
        fields += [] if route.is_safe else ["Content-Length: 4"]
        head = "\r\n".join([*fields, ""]).encode() + (padding + b"\r\n" if padding else b"")
        return head + b"\r\n" + (b"" if route.is_safe else b"body")

    async def _exchange(self, request: SentRequest, route: Route) -> bool:
        """Send one request and read its response; return whether the connection can be reused."""
        assert self.streams is not None
        reader, writer = self.streams
        target = f"{route.prefix}{request.id}"
        writer.write(self._encode(request, route))
        status, answer = await _read_head(reader)
        body = await reader.readexactly(int(answer["content-length"]))
        request.status, request.is_from_worker = status, "postmark" in answer
        if 200 <= status < 300:
            request.problem = _find_problem(request.id, target, answer, body)
        return answer.get("connection", "").lower() != "close"

    def _close(self) -> None:
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return int(first.split(" ", 2)[1]), {name.strip().lower(): value.strip() for name, _, value in pairs}


def _find_problem(id: str, target: str, answer: dict[str, str], body: bytes) -> str:
    """Return what is wrong with a success; "" if nothing.

    The worker's `Postmark` is a digest of the request's id and the response body.
    """
    digest = hashlib.blake2s(id.encode() + body, digest_size=8).hexdigest()
    if answer.get("attempt-id") != id:
        return f"the response belongs to {answer.get('attempt-id')}"
    if answer.get("postmark") != digest or target.encode() not in body:
        return "the body does not match the worker's Postmark or the target"
    return ""
