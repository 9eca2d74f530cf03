"""A scripted HTTP worker with its own parser, which replies as drawn and records what it received."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from pepperrun.simulation.conversations.scripts import Headers, ReplySpec

_NO_LINGER = struct.pack("ii", 1, 0)
READ_WINDOW_S = 0.5  # within this time a running data plane has read a response
SPLIT_PAUSE_S = 0.002  # between the parts of a split response


def loopback_address() -> str:
    """Returns a loopback address of this process only, so that no other process gets its released ports."""
    pid = os.getpid()
    return f"127.{1 + pid // 62500 % 250}.{1 + pid // 250 % 250}.{1 + pid % 250}"


def reset(transport: asyncio.Transport) -> None:
    """Aborts a connection with a TCP reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


@dataclass
class ReceivedRequest:
    """A request that a worker received, and the response that the worker intended."""

    received_at: float
    worker: str
    service: str
    id: bytes
    method: bytes
    target: bytes
    body: bytes
    head: bytes
    fields: Headers
    ran: bool
    status: int = 0
    postmark: bytes = b""
    response_body: bytes = b""
    valid: bool = False  # may be forwarded to the client as a success
    completed_at: float = 0.0  # time at which the complete response had been written without fault
    aborted: bool = False  # the worker itself broke off its response
    ended_at: float = 0.0  # end of the run: last byte written or connection lost

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a field."""
        return [value for key, value in self.fields if key.lower() == name]


class ScriptedWorker:
    """One incarnation of a worker at an address."""

    def __init__(
        self,
        id: str,
        service: str,
        loop: asyncio.AbstractEventLoop,
        draw: Callable[[], ReplySpec],
        log: list[ReceivedRequest],
    ) -> None:
        self.id, self.service, self.loop, self.draw, self.log = id, service, loop, draw, log
        self.connections: set[WorkerConnection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> ScriptedWorker:
        """Starts to listen, on any free port by default."""
        self.server = await self.loop.create_server(
            lambda: WorkerConnection(self), loopback_address(), port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stops listening and resets all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                reset(connection.transport)
        for received in self.log:
            if received.worker == self.id and received.completed_at >= self.loop.time() - READ_WINDOW_S:
                # The reset may have overtaken the response.
                received.aborted, received.completed_at = True, 0.0


_FIELDS = re.compile(rb"([^:\r\n]+):[ \t]*([^\r\n]*?)[ \t]*(?:\r\n|\Z)")


class WorkerConnection(asyncio.Protocol):
    """A connection from the data plane."""

    def __init__(self, worker: ScriptedWorker) -> None:
        self.worker = worker
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.reply: ReplySpec | None = None  # drawn for the request that is being received
        self.request_bytes = 0  # received of the current request
        self.busy = False
        self.mid_response = False  # part of a response has been written
        self.ignores_input = False  # after an early response: what follows is the rest of its request
        self.current: ReceivedRequest | None = None
        self.previous_response = b""  # as written, for `resend_previous`
        self.timers: list[asyncio.TimerHandle] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.worker.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.worker.connections.discard(self)
        self._finish_current()
        for timer in self.timers:
            timer.cancel()

    def data_received(self, data: bytes) -> None:
        if self.ignores_input:
            return
        self.buffer += data
        self.request_bytes += len(data)
        self._read()

    def _read(self) -> None:
        if not self.buffer or self.busy or self.transport is None:
            return
        if self.reply is None:
            self.reply, self.request_bytes = self.worker.draw(), len(self.buffer)
        reply = self.reply
        if reply.interrupt_request_at is not None and self.request_bytes >= reply.interrupt_request_at:
            reset(self.transport)
            return
        request = pop_request(self.buffer, reply.early)
        if request is None:
            return
        self.reply, self.busy, self.ignores_input = None, True, not request[2]
        self._serve(reply, *request)

    def _serve(self, reply: ReplySpec, head: bytes, body: bytes, complete: bool) -> None:
        start, _, rest = head.partition(b"\r\n")
        method, target, _ = start.split(b" ", 2)
        fields: Headers = [(m[1], m[2]) for m in _FIELDS.finditer(rest)]
        ids = [value for name, value in fields if name.lower() == b"attempt-id"]
        expected = [value for name, value in fields if name.lower() == b"expect-worker"]
        id = ids[0] if ids else b""
        worker = self.worker
        at = worker.loop.time()
        received = ReceivedRequest(
            at, worker.id, worker.service, id, method, target, body, head, fields, complete
        )
        worker.log.append(received)
        self.current = received
        if any(one != worker.id.encode() for one in expected):
            reply = ReplySpec(kind="not-run", status=421, size=0, early=reply.early)
        elif not id:
            reply = ReplySpec(kind="not-run", status=400, size=0, early=reply.early)
        if reply.kind == "not-run":
            received.ran = False
        received.status, received.postmark = reply.status, b"%b.%d" % (worker.id.encode(), len(worker.log))
        if reply.kind == "silence":
            received.aborted = True
            return
        data = self._encode(reply, received)
        self.timers.append(worker.loop.call_later(reply.delay_s, self._write, reply, received, data, 0))

    def _finish_current(self) -> None:
        if self.current is not None:
            self.current.ended_at, self.current = self.worker.loop.time(), None

    def _encode(self, reply: ReplySpec, received: ReceivedRequest) -> bytes:
        """Returns the bytes of the response, and records the intended response in `received`."""
        rejected = reply.kind == "not-run"
        filler = (b"%b|%b|" % (received.postmark, received.id) + b"w" * reply.size)[: reply.size]
        received.response_body = b"" if rejected or reply.status in (204, 304) else filler
        fields = list(reply.headers)
        if reply.id != "none":
            fields.append((b"Attempt-Id", received.id if reply.id == "own" else b"other-" + received.id))
        if rejected and reply.status != 421:
            fields.append((b"Not-Run", b"1"))
        elif not rejected and reply.postmark:
            fields.append((b"Postmark", received.postmark))
        if reply.close:
            fields.append((b"Connection", b"close"))
        if reply.idle_close_s >= 1:
            fields.append((b"Keep-Alive", b"timeout=%d" % reply.idle_close_s))
        encoded = any(name == b"Content-Encoding" for name, _ in fields)
        received.valid = reply.id == "own" and reply.postmark and not encoded and not rejected
        body, framing = received.response_body, reply.framing
        bodiless = reply.status in (204, 304)
        if bodiless:
            framing = "none"
        elif framing == "length" or framing == "shorter" and not body:
            fields.append((b"Content-Length", b"%d" % len(body)))
        elif framing == "longer":
            fields.append((b"Content-Length", b"%d" % (len(body) + 9)))
        elif framing == "shorter":
            fields.append((b"Content-Length", b"%d" % (len(body) - 1)))
            received.response_body = body[:-1]  # the byte behind it belongs to no response
        elif framing != "end":
            fields.append((b"Transfer-Encoding", b"chunked"))
        if framing in ("chunks", "bad-chunks"):
            half = len(body) // 2
            chunks = [part for part in (body[:half], body[half:]) if part]
            chunked = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in chunks)
            body = chunked + (b"0\r\n\r\n" if framing == "chunks" else b"xyz\r\n")
        if framing in ("longer", "bad-chunks", "end"):
            received.aborted = True
        if received.method == b"HEAD" or bodiless:
            body = b""
        lines = b"".join(b"%b: %b\r\n" % pair for pair in fields)
        return b"HTTP/1.1 %d Said\r\n%b\r\n%b" % (reply.status, lines, body)

    def _write(self, reply: ReplySpec, received: ReceivedRequest, data: bytes, at: int) -> None:
        """Writes the next part of the response; after the last part, finishes the request."""
        transport = self.transport
        if transport is None or transport.is_closing():
            received.aborted = received.aborted or not transport
            return
        if at == 0 and reply.resend_previous and self.previous_response:
            transport.write(self.previous_response)
        end = min((one for one in reply.split_offsets if one > at), default=len(data))
        interrupt_at = reply.interrupt_at
        if interrupt_at is not None and interrupt_at < min(end, len(data)):
            received.aborted = self.mid_response = True
            transport.write(data[at:interrupt_at])
            if reply.interrupt_kind == "reset":
                reset(transport)
            elif reply.interrupt_kind == "close":
                transport.close()
            return
        self.mid_response = True
        transport.write(data[at:end])
        if end < len(data):
            self.timers.append(
                self.worker.loop.call_later(SPLIT_PAUSE_S, self._write, reply, received, data, end)
            )
            return
        self._after_last_write(reply, received, data)

    def _after_last_write(self, reply: ReplySpec, received: ReceivedRequest, data: bytes) -> None:
        transport, loop = self.transport, self.worker.loop
        assert transport is not None
        self._finish_current()
        if not received.aborted and not reply.early:
            received.completed_at = loop.time()
        self.previous_response = data
        self.mid_response = reply.framing in ("longer", "bad-chunks")  # such a response is never complete
        if reply.surplus and not reply.surplus_delay_s:
            self._write_surplus(reply.surplus)
        elif reply.surplus:
            self.timers.append(loop.call_later(reply.surplus_delay_s, self._write_surplus, reply.surplus))
        if reply.framing == "end" or reply.close or reply.idle_close_s == 0:
            transport.close()
        elif reply.idle_close_s > 0:
            self.timers.append(loop.call_later(reply.idle_close_s, transport.close))
        self.busy = False
        self._read()

    def _write_surplus(self, surplus: bytes) -> None:
        """Writes bytes that belong to no request, but never inside a partly written response."""
        if self.transport is not None and not self.mid_response:
            self.transport.write(surplus)


def pop_request(buffer: bytearray, early: bool) -> tuple[bytes, bytes, bool] | None:
    """Removes a complete request from the buffer; returns its head, its body and True.

    With `early`, a request with a complete head only is removed too; its body is then empty, with False.
    """
    at = buffer.find(b"\r\n\r\n")
    if at < 0:
        return None
    head, lower = bytes(buffer[:at]), bytes(buffer[:at]).lower()
    length = re.search(rb"\r\ncontent-length: *(\d+)", lower)
    if b"\r\ntransfer-encoding:" in lower:
        body = _decode_chunks(buffer, at + 4)
    else:
        size = int(length[1]) if length else 0
        body = (
            (bytes(buffer[at + 4 : at + 4 + size]), at + 4 + size) if len(buffer) >= at + 4 + size else None
        )
    if body is None:
        if early:
            buffer.clear()
            return head, b"", False
        return None
    del buffer[: body[1]]
    return head, body[0], True


def _decode_chunks(buffer: bytearray, at: int) -> tuple[bytes, int] | None:
    chunks: list[bytes] = []
    while True:
        end = buffer.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(bytes(buffer[at:end]).split(b";")[0], 16)
        if len(buffer) < end + 4 + size:
            return None
        at = end + 4 + size
        if size == 0:
            return b"".join(chunks), at
        chunks.append(bytes(buffer[end + 2 : end + 2 + size]))


def drawing(rng: random.Random, draw: Callable[[random.Random], ReplySpec]) -> Callable[[], ReplySpec]:
    """Returns a function that draws one reply after another."""
    return lambda: draw(rng)
