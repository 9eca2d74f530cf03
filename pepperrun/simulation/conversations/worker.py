"""A scripted worker: reads requests by itself and answers each as drawn; keeps what it saw."""

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

from pepperrun.simulation.conversations.scripts import Headers, Reply

_LINGER_NONE = struct.pack("ii", 1, 0)
UNREAD_S = 0.5  # a data plane that runs has read an answer by then
SLOW_S = 0.002  # between the pieces of an answer


def own_address() -> str:
    """A loopback address that only this process uses: ports that it has given up go to nobody else."""
    pid = os.getpid()
    return f"127.{1 + pid // 62500 % 250}.{1 + pid // 250 % 250}.{1 + pid % 250}"


def reset(transport: asyncio.Transport) -> None:
    """Ends a connection with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()


@dataclass
class Seen:
    """A request that reached a worker whole, and what was meant as its answer."""

    at: float
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
    answer_body: bytes = b""
    proper: bool = False  # it may be given to the client as a success
    whole_at: float = 0.0  # when the whole answer, and nothing wrong, had been written
    broke: bool = False  # the worker itself broke off
    over_at: float = 0.0  # when its work ended: the last byte was written, or the connection was lost

    def values(self, name: bytes) -> list[bytes]:
        """All values of a field."""
        return [value for key, value in self.fields if key.lower() == name]


class ScriptedWorker:
    """One life of a worker at an address."""

    def __init__(
        self,
        id: str,
        service: str,
        loop: asyncio.AbstractEventLoop,
        draw: Callable[[], Reply],
        log: list[Seen],
    ) -> None:
        self.id, self.service, self.loop, self.draw, self.log = id, service, loop, draw, log
        self.connections: set[WorkerConnection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> ScriptedWorker:
        """Listens."""
        self.server = await self.loop.create_server(
            lambda: WorkerConnection(self), own_address(), port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Dies."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                reset(connection.transport)
        for seen in self.log:
            if seen.worker == self.id and seen.whole_at >= self.loop.time() - UNREAD_S:
                seen.broke, seen.whole_at = True, 0.0  # the reset may have overtaken it


_NAMES = re.compile(rb"([^:\r\n]+):[ \t]*([^\r\n]*?)[ \t]*(?:\r\n|\Z)")


class WorkerConnection(asyncio.Protocol):
    """A connection from the data plane."""

    def __init__(self, worker: ScriptedWorker) -> None:
        self.worker = worker
        self.transport: asyncio.Transport | None = None
        self.held = bytearray()
        self.reply: Reply | None = None  # what is drawn for the request that has begun to come
        self.got = 0  # bytes of it
        self.busy = False
        self.writing = False  # a part of an answer is out
        self.deaf = False  # it has answered before the request was whole: what still comes is the rest of it
        self.at_work: Seen | None = None
        self.last = b""  # the answer before, as it was written
        self.timers: list[asyncio.TimerHandle] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.worker.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.worker.connections.discard(self)
        self._work_ends()
        for timer in self.timers:
            timer.cancel()

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        self.held += data
        self.got += len(data)
        self._read()

    def _read(self) -> None:
        if not self.held or self.busy or self.transport is None:
            return
        if self.reply is None:
            self.reply, self.got = self.worker.draw(), len(self.held)
        reply = self.reply
        if reply.cut_request_at is not None and self.got >= reply.cut_request_at:
            reset(self.transport)
            return
        request = take_request(self.held, reply.early)
        if request is None:
            return
        self.reply, self.busy, self.deaf = None, True, not request[2]
        self._serve(reply, *request)

    def _serve(self, reply: Reply, head: bytes, body: bytes, whole: bool) -> None:
        start, _, rest = head.partition(b"\r\n")
        method, target, _ = start.split(b" ", 2)
        fields: Headers = [(m[1], m[2]) for m in _NAMES.finditer(rest)]
        ids = [value for name, value in fields if name.lower() == b"attempt-id"]
        expected = [value for name, value in fields if name.lower() == b"expect-worker"]
        id = ids[0] if ids else b""
        worker = self.worker
        at = worker.loop.time()
        seen = Seen(at, worker.id, worker.service, id, method, target, body, head, fields, whole)
        worker.log.append(seen)
        self.at_work = seen
        if any(one != worker.id.encode() for one in expected):
            reply = Reply(kind="not-run", status=421, size=0, early=reply.early)
        elif not id:
            reply = Reply(kind="not-run", status=400, size=0, early=reply.early)
        if reply.kind == "not-run":
            seen.ran = False
        seen.status, seen.postmark = reply.status, b"%b.%d" % (worker.id.encode(), len(worker.log))
        if reply.kind == "silence":
            seen.broke = True
            return
        data = self._bytes(reply, seen)
        self.timers.append(worker.loop.call_later(reply.delay_s, self._write, reply, seen, data, 0))

    def _work_ends(self) -> None:
        if self.at_work is not None:
            self.at_work.over_at, self.at_work = self.worker.loop.time(), None

    def _bytes(self, reply: Reply, seen: Seen) -> bytes:
        """The answer as it goes out."""
        turned_away = reply.kind == "not-run"
        filler = (b"%b|%b|" % (seen.postmark, seen.id) + b"w" * reply.size)[: reply.size]
        seen.answer_body = b"" if turned_away or reply.status in (204, 304) else filler
        fields = list(reply.headers)
        if reply.id != "none":
            fields.append((b"Attempt-Id", seen.id if reply.id == "own" else b"other-" + seen.id))
        if turned_away and reply.status != 421:
            fields.append((b"Not-Run", b"1"))
        elif not turned_away and reply.postmark:
            fields.append((b"Postmark", seen.postmark))
        if reply.close:
            fields.append((b"Connection", b"close"))
        if reply.idle_close_s >= 1:
            fields.append((b"Keep-Alive", b"timeout=%d" % reply.idle_close_s))
        encoded = any(name == b"Content-Encoding" for name, _ in fields)
        seen.proper = reply.id == "own" and reply.postmark and not encoded and not turned_away
        body, framing = seen.answer_body, reply.framing
        bodiless = reply.status in (204, 304)
        if bodiless:
            framing = "none"
        elif framing == "length" or framing == "shorter" and not body:
            fields.append((b"Content-Length", b"%d" % len(body)))
        elif framing == "longer":
            fields.append((b"Content-Length", b"%d" % (len(body) + 9)))
        elif framing == "shorter":
            fields.append((b"Content-Length", b"%d" % (len(body) - 1)))
            seen.answer_body = body[:-1]  # the byte behind it belongs to no answer
        elif framing != "end":
            fields.append((b"Transfer-Encoding", b"chunked"))
        if framing in ("chunks", "bad-chunks"):
            half = len(body) // 2
            parts = [part for part in (body[:half], body[half:]) if part]
            coded = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
            body = coded + (b"0\r\n\r\n" if framing == "chunks" else b"xyz\r\n")
        if framing in ("longer", "bad-chunks", "end"):
            seen.broke = True
        if seen.method == b"HEAD" or bodiless:
            body = b""
        lines = b"".join(b"%b: %b\r\n" % pair for pair in fields)
        return b"HTTP/1.1 %d Said\r\n%b\r\n%b" % (reply.status, lines, body)

    def _write(self, reply: Reply, seen: Seen, data: bytes, at: int) -> None:
        """The next piece, and what follows the last one."""
        transport = self.transport
        if transport is None or transport.is_closing():
            seen.broke = seen.broke or not transport
            return
        if at == 0 and reply.late_second and self.last:
            transport.write(self.last)
        end = min((one for one in reply.pieces if one > at), default=len(data))
        cut = reply.cut_at
        if cut is not None and cut < min(end, len(data)):
            seen.broke = self.writing = True
            transport.write(data[at:cut])
            if reply.cut_how == "reset":
                reset(transport)
            elif reply.cut_how == "close":
                transport.close()
            return
        self.writing = True
        transport.write(data[at:end])
        if end < len(data):
            self.timers.append(self.worker.loop.call_later(SLOW_S, self._write, reply, seen, data, end))
            return
        self._written(reply, seen, data)

    def _written(self, reply: Reply, seen: Seen, data: bytes) -> None:
        transport, loop = self.transport, self.worker.loop
        assert transport is not None
        self._work_ends()
        if not seen.broke and not reply.early:
            seen.whole_at = loop.time()
        self.last = data
        self.writing = reply.framing in ("longer", "bad-chunks")  # it is never whole
        if reply.surplus and not reply.surplus_delay_s:
            self._add(reply.surplus)
        elif reply.surplus:
            self.timers.append(loop.call_later(reply.surplus_delay_s, self._add, reply.surplus))
        if reply.framing == "end" or reply.close or reply.idle_close_s == 0:
            transport.close()
        elif reply.idle_close_s > 0:
            self.timers.append(loop.call_later(reply.idle_close_s, transport.close))
        self.busy = False
        self._read()

    def _add(self, surplus: bytes) -> None:
        """Bytes that belong to no request; not inside an answer, where they would be a part of it."""
        if self.transport is not None and not self.writing:
            self.transport.write(surplus)


def take_request(held: bytearray, early: bool) -> tuple[bytes, bytes, bool] | None:
    """Takes a whole request off: head, body, True. With `early`, as soon as its head is there: False."""
    at = held.find(b"\r\n\r\n")
    if at < 0:
        return None
    head, lower = bytes(held[:at]), bytes(held[:at]).lower()
    length = re.search(rb"\r\ncontent-length: *(\d+)", lower)
    if b"\r\ntransfer-encoding:" in lower:
        body = _chunks(held, at + 4)
    else:
        size = int(length[1]) if length else 0
        body = (bytes(held[at + 4 : at + 4 + size]), at + 4 + size) if len(held) >= at + 4 + size else None
    if body is None:
        if early:
            held.clear()
            return head, b"", False
        return None
    del held[: body[1]]
    return head, body[0], True


def _chunks(held: bytearray, at: int) -> tuple[bytes, int] | None:
    parts: list[bytes] = []
    while True:
        end = held.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(bytes(held[at:end]).split(b";")[0], 16)
        if len(held) < end + 4 + size:
            return None
        at = end + 4 + size
        if size == 0:
            return b"".join(parts), at
        parts.append(bytes(held[end + 2 : end + 2 + size]))


def drawing(rng: random.Random, draw: Callable[[random.Random], Reply]) -> Callable[[], Reply]:
    """Draws replies one after another."""
    return lambda: draw(rng)
