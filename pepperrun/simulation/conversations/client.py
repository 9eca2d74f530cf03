"""A scripted HTTP client that sends requests as drawn and records every byte received."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from pepperrun.simulation.conversations.scripts import ClientStep, RequestSpec
from pepperrun.simulation.conversations.worker import loopback_address, reset

RESPONSE_TIMEOUT_S = 30.0  # far longer than any time-out of the data plane


@dataclass
class SentRequest:
    """A request as its client sent it. `complete`: all its bytes were written."""

    spec: RequestSpec
    sent_at: float
    complete: bool = False
    abandoned: bool = False  # the client disconnected before its response
    disconnected_at: float = 0.0  # time of the disconnect; 0 if there was none


@dataclass
class ClientResponse:
    """A response that a client received. `complete`: the response ends as its framing says."""

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes
    complete: bool
    interim: bool = False

    def value(self, name: bytes) -> bytes | None:
        """Returns the first value of a field, None if there is none."""
        return next((value for key, value in self.fields if key.lower() == name), None)


class ClientConnection(asyncio.Protocol):
    """A client's connection to the data plane."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.sent_requests: list[SentRequest] = []
        self.data = bytearray()
        self.ended_at = 0.0  # time of the peer's close or the connection's loss
        self.was_reset = False  # the connection was lost with an error
        self.changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.changed.set()

    def eof_received(self) -> bool:
        self.ended_at = self.ended_at or self.loop.time()
        self.changed.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended_at = self.ended_at or self.loop.time()
        self.transport, self.was_reset = None, exc is not None
        self.changed.set()

    def responses(self) -> tuple[list[ClientResponse], bytes]:
        """Returns the responses received so far, and the bytes that form no response."""
        return parse_responses(
            bytes(self.data), [one.spec.method for one in self.sent_requests], self.ended_at > 0
        )

    def completed_count(self) -> int:
        """Returns the number of complete final responses."""
        return sum(one.complete and not one.interim for one in self.responses()[0])

    async def wait_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Waits until `condition` holds, the connection ends, or `limit_s` seconds have passed."""
        try:
            async with asyncio.timeout(limit_s):
                while not condition() and not self.ended_at:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            pass


@dataclass
class ScriptedClient:
    """Runs the steps of one client, on one connection at a time."""

    loop: asyncio.AbstractEventLoop
    port: int
    steps: list[ClientStep]
    connections: list[ClientConnection] = field(default_factory=list)

    async def run(self) -> None:
        """Runs all steps and waits for the pending responses."""
        connection: ClientConnection | None = None
        for step in self.steps:
            if connection is not None and not step.pipelined:
                await self._await_responses(connection)
            await asyncio.sleep(step.pause_s)
            if connection is None or connection.ended_at or step.new_connection:
                if connection is not None:
                    await self._await_responses(connection)
                connection = await self._connect()
                if connection is None:
                    continue
            await self._send(connection, step)
        if connection is not None:
            await self._await_responses(connection)

    async def _connect(self) -> ClientConnection | None:
        try:
            _, connection = await self.loop.create_connection(
                lambda: ClientConnection(self.loop), loopback_address(), self.port
            )
        except OSError:
            return None
        self.connections.append(connection)
        return connection

    @staticmethod
    async def _await_responses(connection: ClientConnection) -> None:
        """Waits until every request has its response, unless the client has disconnected."""
        if not connection.sent_requests or connection.sent_requests[-1].abandoned:
            return
        await connection.wait_until(
            lambda: connection.completed_count() >= len(connection.sent_requests), RESPONSE_TIMEOUT_S
        )

    async def _send(self, connection: ClientConnection, step: ClientStep) -> None:
        spec = step.spec
        sent = SentRequest(spec, self.loop.time())
        connection.sent_requests.append(sent)
        data, at = spec.raw, 0
        chunk_ends = [*(one for one in step.split_offsets if one < len(data)), len(data)]
        if spec.expects_continue:
            chunk_ends = sorted({*chunk_ends, len(spec.head)})
        for end in chunk_ends:
            if connection.transport is None or connection.ended_at:
                return
            interrupts = step.interrupt_at is not None and step.interrupt_at <= end
            connection.transport.write(data[at : step.interrupt_at if interrupts else end])
            if interrupts:
                sent.complete = step.interrupt_at == len(data)
                await self._interrupt(connection, step, sent)
                return
            at = end
            if end < len(data):
                if spec.expects_continue and end == len(spec.head):
                    await connection.wait_until(lambda: bool(connection.data), 1.0)
                await asyncio.sleep(step.split_pause_s)
        sent.complete = True

    async def _interrupt(self, connection: ClientConnection, step: ClientStep, sent: SentRequest) -> None:
        transport = connection.transport
        assert transport is not None
        if step.interrupt_kind == "silence":
            if not sent.complete:
                await connection.wait_until(lambda: False, RESPONSE_TIMEOUT_S)
            return
        if step.interrupt_delay_s:
            await asyncio.sleep(step.interrupt_delay_s)
        sent.abandoned, sent.disconnected_at = True, self.loop.time()
        if step.interrupt_kind == "reset":
            reset(transport)
        elif step.interrupt_kind == "close":
            transport.close()
        else:
            transport.write_eof()
            await connection.wait_until(lambda: False, RESPONSE_TIMEOUT_S)


_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5]\d\d) [^\r\n]*\Z")
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+): ?([^\r\n]*)\Z")


def parse_responses(data: bytes, methods: list[bytes], ended: bool) -> tuple[list[ClientResponse], bytes]:
    """Parses what a client received, strictly.

    Returns the responses and the remaining bytes that form no response.
    """
    out: list[ClientResponse] = []
    at = final_count = 0
    while at < len(data):
        end = data.find(b"\r\n\r\n", at)
        if end < 0:
            beginning = data[at : at + 9]
            if b"HTTP/1.1 "[: len(beginning)] == beginning:  # a truncated head
                out.append(ClientResponse(0, [], b"", False))
                return out, b""
            return out, data[at:]
        first, *lines = data[at:end].split(b"\r\n")
        status = _STATUS_LINE.match(first)
        named = [_FIELD.match(line) for line in lines]
        if status is None or not all(named):
            return out, data[at:]
        fields = [(m[1], m[2]) for m in named if m is not None]
        method = methods[final_count] if final_count < len(methods) else b""
        response = ClientResponse(int(status[1]), fields, b"", True, interim=status[1][:1] == b"1")
        out.append(response)
        at = end + 4
        if response.interim:
            continue
        final_count += 1
        at = _parse_body(response, data, at, method, ended)
        if at < 0:
            return out, b""
    return out, b""


def _parse_body(response: ClientResponse, data: bytes, at: int, method: bytes, ended: bool) -> int:
    """Parses the body into `response`.

    Returns the offset of its end; -1 for a truncated body or one that lasts until the connection ends.
    """
    length, transfer_coding = response.value(b"content-length"), response.value(b"transfer-encoding")
    if method == b"HEAD" or response.status in (204, 304):
        return at
    if transfer_coding is not None:
        return _parse_chunks(response, data, at)
    if length is None:
        response.body, response.complete = data[at:], ended
        return -1
    size = int(length)
    response.body = data[at : at + size]
    response.complete = len(response.body) == size
    return at + size if response.complete else -1


def _parse_chunks(response: ClientResponse, data: bytes, at: int) -> int:
    parts = []
    response.complete = False
    while True:
        end = data.find(b"\r\n", at)
        if end < 0:
            break
        try:
            size = int(data[at:end], 16)
        except ValueError:
            response.status = -1
            break
        piece = data[end + 2 : end + 2 + size]
        parts.append(piece)
        at = end + 4 + size
        if len(data) < at or data[at - 2 : at] != b"\r\n":
            break
        if size == 0:
            response.complete = True
            break
    response.body = b"".join(parts)
    return at if response.complete else -1
