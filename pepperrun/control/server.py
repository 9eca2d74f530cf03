"""The HTTP/1.1 server of the core's calls: thin I/O over the parsers and a tree of matchers.

Calls of one connection are answered one after another. What was read is answered, also while it closes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

from pepperrun.control.matchers import Answer, Call, Matcher, dispatch, parse_target
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import log_error
from pepperrun.foundation.settings import Address
from pepperrun.net.buffer import Buffer
from pepperrun.net.http1 import HttpError, Request, RequestParser, encode_response

SECOND = 1_000_000_000
MAX_BODY_BYTES = 4 * 1024 * 1024  # bytes of a call's body: thousands of routes
BUFFER_BYTES = 64 * 1024  # of it in the buffer
MAX_CONNECTIONS = 1500  # connections; the one that has been idle for longest gives way
IDLE_NS = 30 * SECOND  # between calls
SLOW_NS = 10 * SECOND  # for a whole call to come in, or an answer to be taken
SWEEP_S = 2.0


class ClientConnection(asyncio.BufferedProtocol):
    """A connection of a caller: one call after another."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer(BUFFER_BYTES)
        self.parser = RequestParser(self.buffer, MAX_BODY_BYTES)
        self.busy: asyncio.Future[Answer] | None = None  # an answer is awaited
        self.request: Request | None = None
        self.ended = False  # the last answer is given: what still comes is dropped
        self.since = 0  # last sign of life that counts
        self.continued = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.since = time.monotonic_ns()
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the answer that is awaited."""
        self.transport = None
        self.server.connections.pop(self, None)
        if self.busy is not None:
            self.busy.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return room for what comes next."""
        if self.ended:
            self.buffer.drop(len(self.buffer))
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that have come."""
        if not len(self.buffer):
            self.since = time.monotonic_ns()
        self.buffer.commit(nbytes, 0)
        if not self.ended:
            self.process_calls()
        if self.transport is not None and self.buffer.is_full():
            if self.busy is not None:
                self.transport.pause_reading()
            elif not self.ended:
                self.respond(Answer(431), close=True)

    def eof_received(self) -> bool:
        """Give the answer under way on a half-closed connection, else close."""
        if self.busy is None:
            return False
        self.ended = True  # half closed: the answer under way is still given
        return True

    def process_calls(self) -> None:
        """Handle the calls that have come in completely."""
        while self.busy is None and not self.ended and self.transport is not None:
            try:
                request = self.parser.next()
            except HttpError as error:
                self.respond(Answer(error.status), close=True)
                return
            if request is None:
                if self.parser.expects_continue() and not self.continued:
                    self.continued = True
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self.request = request
            self.continued = False
            self.handle(request)

    def handle(self, request: Request) -> None:
        """Handle one call."""
        try:
            path, query = parse_target(request.target)
            headers = {
                name.decode("latin-1"): text.decode("latin-1") for name, text in request.headers.items()
            }
            call = Call(request.method.decode("latin-1"), path, query, headers, request.body)
            answer = dispatch(self.server.tree, call)
        except PepperrunError as error:
            log_error(error)
            answer = Answer(503, headers=(("Retry-After", "0.5"),))
        if isinstance(answer, Answer):
            self.respond(answer, request.closes_connection())
            return
        assert isinstance(answer, Awaitable)
        self.busy = asyncio.ensure_future(answer)
        self.busy.add_done_callback(self.answered)

    def answered(self, done: asyncio.Future[Answer]) -> None:
        """Send the answer that was awaited."""
        self.busy = None
        if done.cancelled() or self.transport is None:
            return
        error = done.exception()
        if error is not None:
            step = "answering a call"
            log_error(
                error if isinstance(error, PepperrunError) else PepperrunError("fault", step, repr(error))
            )
        assert self.request is not None
        answer = done.result() if error is None else Answer(503, headers=(("Retry-After", "0.5"),))
        self.respond(answer, self.request.closes_connection())
        if self.transport is not None and not self.ended:
            self.transport.resume_reading()
            self.process_calls()

    def respond(self, answer: Answer, close: bool) -> None:
        """Send an answer."""
        transport = self.transport
        if transport is None:
            return
        close = close or self.ended or self.server.closing
        fields = [(name.encode(), text.encode()) for name, text in answer.headers]
        if answer.body:
            fields.append((b"Content-Type", b"application/json"))
        head = self.request is not None and self.request.method == b"HEAD"
        transport.write(encode_response(answer.status, fields, answer.body, close, head))
        self.since = time.monotonic_ns()
        if close:
            self.ended = True
            if transport.can_write_eof():
                transport.write_eof()  # closing on bytes that are unread would reset it, and lose the answer
            else:
                transport.close()

    def sweep(self, now: int) -> None:
        """End a connection that has waited for too long."""
        if self.transport is None or self.busy is not None:
            return
        waits = now - self.since
        if self.ended:
            if waits > 2 * SECOND:
                self.transport.abort()
        elif len(self.buffer) or self.parser.request is not None:
            if waits > SLOW_NS:
                self.respond(Answer(408), close=True)
        elif waits > (SLOW_NS if self.transport.get_write_buffer_size() else IDLE_NS):
            self.transport.close()


class Server:
    """Answers calls at an address from a tree of matchers."""

    def __init__(self, tree: Matcher) -> None:
        self.tree = tree
        self.connections: dict[ClientConnection, None] = {}  # the oldest first
        self.closing = False
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def open(self, where: Address) -> None:
        """Listen at an address; raise PepperrunError `no-listen` where that can't be."""
        loop = asyncio.get_running_loop()
        try:
            self.listener = await loop.create_server(
                lambda: ClientConnection(self), *where, reuse_address=True, backlog=256
            )
        except OSError as error:
            raise PepperrunError("no-listen", "opening", str(error), f"{where[0]}:{where[1]}") from None
        self.sweep()

    def sweep(self) -> None:
        """End connections that have waited for too long, by one timer for all."""
        now = time.monotonic_ns()
        for caller in list(self.connections):
            caller.sweep(now)
        self.timer = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)

    def add(self, caller: ClientConnection) -> None:
        """Add a connection; beyond the limit the one that has been idle for longest gives way."""
        self.connections[caller] = None
        if len(self.connections) > MAX_CONNECTIONS:
            idle = min(
                (one for one in self.connections if one.busy is None), key=lambda one: one.since, default=None
            )
            if idle is not None and idle.transport is not None:
                del self.connections[idle]
                idle.transport.abort()

    async def close(self, timeout_s: float) -> None:
        """Accept no more connections, answer what was read, end the rest."""
        self.closing = True
        if self.listener is not None:
            self.listener.close()
        busy = [one.busy for one in self.connections if one.busy is not None]
        for caller in list(self.connections):
            if caller.busy is None and caller.transport is not None:
                caller.transport.close()
        if busy:
            await asyncio.wait(busy, timeout=timeout_s)
        if self.timer is not None:
            self.timer.cancel()
