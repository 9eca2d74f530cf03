"""A scripted client: sends as drawn and keeps every byte that came back."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from pepperrun.simulation.conversations.scripts import Asked, Turn
from pepperrun.simulation.conversations.worker import own_address, reset

PATIENCE_S = 30.0  # past the deadline, for an answer; long against all that the data plane waits for


@dataclass
class Sent:
    """One request as it went out."""

    asked: Asked
    at: float
    whole: bool = False
    gave_up: bool = False  # the client broke off
    left_at: float = 0.0  # when it did


@dataclass
class Got:
    """An answer on a client's connection. `complete`: it ends as its framing says."""

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes
    complete: bool
    interim: bool = False

    def value(self, name: bytes) -> bytes | None:
        """The first value of a field."""
        return next((value for key, value in self.fields if key.lower() == name), None)


class ClientConnection(asyncio.Protocol):
    """A connection to the front."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.sent: list[Sent] = []
        self.data = bytearray()
        self.ended_at = 0.0  # when the other side closed, or the connection broke
        self.broken = False  # by a reset
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
        self.transport, self.broken = None, exc is not None
        self.changed.set()

    def answers(self) -> tuple[list[Got], bytes]:
        """What has come, read as answers; and what is left over."""
        return read_answers(bytes(self.data), [one.asked.method for one in self.sent], self.ended_at > 0)

    def done(self) -> int:
        """How many whole answers have come."""
        return sum(one.complete and not one.interim for one in self.answers()[0])

    async def until(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Waits for something of this connection, or its end."""
        try:
            async with asyncio.timeout(limit_s):
                while not condition() and not self.ended_at:
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            pass


@dataclass
class ScriptedClient:
    """Plays turns, one connection after another."""

    loop: asyncio.AbstractEventLoop
    port: int
    turns: list[Turn]
    connections: list[ClientConnection] = field(default_factory=list)

    async def play(self) -> None:
        """All turns, and the wait for what is still out."""
        connection: ClientConnection | None = None
        for turn in self.turns:
            if connection is not None and not turn.pipelined:
                await self._settle(connection)
            await asyncio.sleep(turn.pause_s)
            if connection is None or connection.ended_at or turn.fresh:
                if connection is not None:
                    await self._settle(connection)
                connection = await self._connect()
                if connection is None:
                    continue
            await self._send(connection, turn)
        if connection is not None:
            await self._settle(connection)

    async def _connect(self) -> ClientConnection | None:
        try:
            _, connection = await self.loop.create_connection(
                lambda: ClientConnection(self.loop), own_address(), self.port
            )
        except OSError:
            return None
        self.connections.append(connection)
        return connection

    @staticmethod
    async def _settle(connection: ClientConnection) -> None:
        """Until all that was asked is answered, or nothing more can be waited for."""
        if not connection.sent or connection.sent[-1].gave_up:
            return
        await connection.until(lambda: connection.done() >= len(connection.sent), PATIENCE_S)

    async def _send(self, connection: ClientConnection, turn: Turn) -> None:
        asked = turn.asked
        sent = Sent(asked, self.loop.time())
        connection.sent.append(sent)
        data, at = asked.raw, 0
        ends = [*(one for one in turn.pieces if one < len(data)), len(data)]
        if asked.expects_continue:
            ends = sorted({*ends, len(asked.head)})
        for end in ends:
            if connection.transport is None or connection.ended_at:
                return
            stop = turn.break_at is not None and turn.break_at <= end
            connection.transport.write(data[at : turn.break_at if stop else end])
            if stop:
                sent.whole = turn.break_at == len(data)
                await self._break_off(connection, turn, sent)
                return
            at = end
            if end < len(data):
                if asked.expects_continue and end == len(asked.head):
                    await connection.until(lambda: bool(connection.data), 1.0)
                await asyncio.sleep(turn.piece_pause_s)
        sent.whole = True

    async def _break_off(self, connection: ClientConnection, turn: Turn, sent: Sent) -> None:
        transport = connection.transport
        assert transport is not None
        if turn.break_how == "silence":
            if not sent.whole:
                await connection.until(lambda: False, PATIENCE_S)
            return
        if turn.stay_s:
            await asyncio.sleep(turn.stay_s)
        sent.gave_up, sent.left_at = True, self.loop.time()
        if turn.break_how == "reset":
            reset(transport)
        elif turn.break_how == "close":
            transport.close()
        else:
            transport.write_eof()
            await connection.until(lambda: False, PATIENCE_S)


_STATUS = re.compile(rb"HTTP/1\.1 ([1-5]\d\d) [^\r\n]*\Z")
_NAMED = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+): ?([^\r\n]*)\Z")


def read_answers(data: bytes, methods: list[bytes], ended: bool) -> tuple[list[Got], bytes]:
    """Reads what a client got, strictly; the left-over is what forms no answer."""
    out: list[Got] = []
    at = finals = 0
    while at < len(data):
        end = data.find(b"\r\n\r\n", at)
        if end < 0:
            begins = data[at : at + 9]
            if b"HTTP/1.1 "[: len(begins)] == begins:  # a head that is cut off
                out.append(Got(0, [], b"", False))
                return out, b""
            return out, data[at:]
        first, *lines = data[at:end].split(b"\r\n")
        status = _STATUS.match(first)
        named = [_NAMED.match(line) for line in lines]
        if status is None or not all(named):
            return out, data[at:]
        fields = [(m[1], m[2]) for m in named if m is not None]
        method = methods[finals] if finals < len(methods) else b""
        got = Got(int(status[1]), fields, b"", True, interim=status[1][:1] == b"1")
        out.append(got)
        at = end + 4
        if got.interim:
            continue
        finals += 1
        at = _take_body(got, data, at, method, ended)
        if at < 0:
            return out, b""
    return out, b""


def _take_body(got: Got, data: bytes, at: int, method: bytes, ended: bool) -> int:
    """Where the body ends; -1 for one that is cut off, or that lasts until the connection ends."""
    length, coding = got.value(b"content-length"), got.value(b"transfer-encoding")
    if method == b"HEAD" or got.status in (204, 304):
        return at
    if coding is not None:
        return _take_chunks(got, data, at)
    if length is None:
        got.body, got.complete = data[at:], ended
        return -1
    size = int(length)
    got.body = data[at : at + size]
    got.complete = len(got.body) == size
    return at + size if got.complete else -1


def _take_chunks(got: Got, data: bytes, at: int) -> int:
    parts = []
    got.complete = False
    while True:
        end = data.find(b"\r\n", at)
        if end < 0:
            break
        try:
            size = int(data[at:end], 16)
        except ValueError:
            got.status = -1
            break
        piece = data[end + 2 : end + 2 + size]
        parts.append(piece)
        at = end + 4 + size
        if len(data) < at or data[at - 2 : at] != b"\r\n":
            break
        if size == 0:
            got.complete = True
            break
    got.body = b"".join(parts)
    return at if got.complete else -1
