"""The client side of HTTP/1.1: one request at a time on a connection, each with one answer.

What the fronts share. A front says what a request means (`begin`) and what follows from a final answer
(`follow`): the answer as the client reads it, or a further exchange for the same request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from pepperrun.exchange import Exchange, Final
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.net.buffer import Buffer
from pepperrun.net.http1 import ROOM, HttpError, Message, Request, RequestParser, write_response
from pepperrun.net.listener import Listener

Fields = list[tuple[bytes, bytes]]
Answer = tuple[int, Fields, bytes]
Step = tuple[Gatekeeper, Exchange[Any, Any]]  # an exchange and who is to take it
LINGER_S = 1.0
TEXT = (b"Content-Type", b"text/plain; charset=utf-8")

# Between one connection and the next, or between client and gatekeeper: not the worker's.
NOT_PASSED_ON = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade content-length expect x-budget x-plan x-quota x-again".split()
)


def passed_on(request: Message, untrusted: frozenset[bytes] = frozenset()) -> Fields:
    """The fields that go on to the next hop, less those that a client has no right to set."""
    dropped = NOT_PASSED_ON | untrusted if untrusted else NOT_PASSED_ON
    if b"connection" in request.names:
        named = request.names[b"connection"].lower().split(b",")
        dropped = dropped | {name.strip() for name in named}
    return [pair for pair in request.fields if pair[0].lower() not in dropped]


class HttpClient(asyncio.BufferedProtocol):
    """A client's connection. Fronts derive from it."""

    def __init__(self, listener: Listener, clock: Callable[[], int]) -> None:
        self.listener, self.clock = listener, clock
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer(ROOM)
        self.parser = RequestParser(self.buffer)
        self.step: Step | None = None  # the exchange that has no answer yet
        self.request: Request | None = None
        self.since = 0
        self.stuck: int | None = None  # since when the client has not taken what was written
        self.answers = 0
        self.paused = self.closing = self.lingering = False

    # For fronts.

    def begin(self, request: Request) -> Step | Answer:
        """What to do with a request: an exchange, or an answer at once."""
        raise NotImplementedError

    def follow(self, final: Final[Any]) -> Step | Answer:
        """How a final answer reads, or the request's next exchange."""
        raise NotImplementedError

    # For the listener.

    def busy(self) -> bool:
        """Is a request on it, whole or in part, or an answer not yet written?"""
        if self.lingering:
            return False
        if self.step is not None or len(self.buffer) or self.parser.request is not None:
            return True
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def fresh(self) -> bool:
        """Has it had no answer yet?"""
        return self.answers == 0

    def idle_since(self) -> int:
        """When it was last used."""
        return self.since

    def stalled_since(self) -> int | None:
        """Since when the client has kept this side waiting for the rest of a request or to take an answer."""
        if self.stuck is not None or self.step is not None:
            return self.stuck
        return self.buffer.first_at or self.since if self.busy() else None

    def close(self) -> None:
        """Closes; what is written still goes out, unless the client does not take it."""
        self.closing = True
        if self.transport is not None:
            if self.stalled_since() is not None:
                self.transport.abort()
            else:
                self.transport.close()

    # For asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.since = transport, self.clock()
        self.listener.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.listener.remove(self)
        self._left()

    def pause_writing(self) -> None:
        self.stuck = self.clock()

    def resume_writing(self) -> None:
        self.stuck = None

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        if not self.lingering:
            self.buffer.filled(nbytes, self.clock())
            self._read()

    def eof_received(self) -> bool:
        self._left()
        return False

    def _left(self) -> None:
        step, self.step = self.step, None
        if step is not None:
            step[0].left(step[1])

    def _read(self) -> None:
        """Begins the next request, unless one has not been answered."""
        while self.step is None and not self.closing and self.transport is not None:
            try:
                request = self.parser.next()
            except HttpError as error:
                self._reject(error)
                return
            if request is None:
                if self.parser.waits_for_continue() and self.parser.request is not None:
                    self.parser.request.names.pop(b"expect")
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self.request = request
            self._proceed(self.begin(request))
        if self.step is not None and self.buffer.full() and self.transport is not None and not self.paused:
            self.paused = True  # more was sent ahead than is held for a client
            self.transport.pause_reading()

    def _reject(self, error: HttpError) -> None:
        """Answers and closes: where the next request begins is not known.

        What still comes is dropped for a while: closing on unread bytes would reset the connection, and the
        client might never read why.
        """
        transport = self.transport
        assert transport is not None
        self.closing = self.lingering = True
        self.buffer.drop(len(self.buffer))
        self.answers, self.since = self.answers + 1, self.clock()
        transport.write(write_response(error.status, [TEXT], f"{error}\n".encode(), close=True))
        transport.write_eof()
        self.listener.loop.call_later(LINGER_S, transport.close)

    def health(self, request: Request) -> Answer:
        """`/health`: the process runs. `/ready`: it also takes new clients."""
        if self.listener.draining and request.target == b"/ready":
            return 503, [TEXT], b"draining\n"
        return 200, [TEXT], b"ready\n"

    def peer_address(self) -> bytes:
        """The address of the client's machine."""
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return name[0].encode() if name else b""

    def final(self, final: Final[Any]) -> None:
        """The exchange's final answer."""
        self.step = None
        self._proceed(self.follow(final))
        if self.step is None and len(self.buffer):
            if self.paused and self.transport is not None and not self.closing:
                self.paused = False
                self.transport.resume_reading()
            self._read()

    def _proceed(self, what: Step | Answer) -> None:
        if len(what) == 2:
            self.step = what
            what[0].take(what[1])
        else:
            self._write(what)

    def _write(self, answer: Answer) -> None:
        if self.transport is None:
            return
        request, self.request = self.request, None
        close = self.closing or self.listener.draining or request is not None and request.close()
        self.closing = close
        self.answers += 1
        self.since = self.clock()
        bodiless = request is not None and request.method == b"HEAD"
        self.transport.write(write_response(*answer, close, bodiless))
        if close:
            self.transport.close()
        else:
            self.listener.free()
