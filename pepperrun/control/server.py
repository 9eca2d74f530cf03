"""HTTP/1.1 server of a control node: does the I/O for the HTTP parsers and a routing tree.

The calls of a connection are answered one after another. A call that was read is answered even if the server
is shutting down.
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

SECOND = 1_000_000_000  # ns
MAX_BODY_BYTES = 4 * 1024 * 1024  # of a call's body; enough for thousands of routes
BUFFER_BYTES = 64 * 1024  # of received data in the buffer
MAX_CONNECTIONS = 1500  # beyond these the connection that is idle for longest is closed
IDLE_NS = 30 * SECOND  # between calls
SLOW_NS = 10 * SECOND  # to receive a complete call, or to send a response
RETRY_AFTER_S = "0.5"  # sent with the 503 of a handler that failed
SWEEP_S = 2.0  # between two checks for timed-out connections
EVENT_LOOP_TURNS = 2  # after these all that had arrived before on a connection was handled


def failed_call(error: BaseException) -> Answer:
    """Log the exception of a handler; return the 503 for its caller, as the call may have had an effect."""
    if not isinstance(error, PepperrunError):
        error = PepperrunError("fault", "answering a call", repr(error))
    log_error(error)
    return Answer(503, headers=(("Retry-After", RETRY_AFTER_S),))


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection; its calls are handled one after another."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer(BUFFER_BYTES)
        self.parser = RequestParser(self.buffer, MAX_BODY_BYTES)
        self.pending_answer: asyncio.Future[Answer] | None = None  # of the call in progress
        self.request: Request | None = None
        self.is_ending = False  # no more calls are read: further data is dropped
        self.waiting_since = 0  # start of the current wait (monotonic ns)
        self.sent_continue = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.waiting_since = time.monotonic_ns()
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel a pending answer."""
        self.transport = None
        self.server.connections.pop(self, None)
        if self.pending_answer is not None:
            self.pending_answer.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return free space for received data."""
        if self.is_ending:
            self.buffer.drop(len(self.buffer))
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        if not len(self.buffer):
            self.waiting_since = time.monotonic_ns()
        self.buffer.commit(nbytes, 0)
        if not self.is_ending:
            self.process_calls()
        if self.transport is not None and self.buffer.is_full():
            if self.pending_answer is not None:
                self.transport.pause_reading()
            elif not self.is_ending:
                self.respond(Answer(431), close=True)

    def eof_received(self) -> bool:
        """Keep a half-closed connection open for its pending answer; close it if there is none."""
        if self.pending_answer is None:
            return False
        self.is_ending = True  # the pending answer is still sent
        return True

    def process_calls(self) -> None:
        """Handle the calls that were received completely."""
        while self.pending_answer is None and not self.is_ending and self.transport is not None:
            try:
                request = self.parser.next()
            except HttpError as error:
                self.respond(Answer(error.status), close=True)
                return
            if request is None:
                if self.parser.expects_continue() and not self.sent_continue:
                    self.sent_continue = True
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self.request = request
            self.sent_continue = False
            self.handle(request)

    def handle(self, request: Request) -> None:
        """Dispatch a call; answer it now, or once its handler completes."""
        try:
            path, query = parse_target(request.target)
            headers = {
                name.decode("latin-1"): text.decode("latin-1") for name, text in request.headers.items()
            }
            call = Call(request.method.decode("latin-1"), path, query, headers, request.body, caller=self)
            answer = dispatch(self.server.tree, call)
        except Exception as error:  # noqa: BLE001 (whatever failed, the caller gets an answer)
            answer = failed_call(error)
        if isinstance(answer, Answer):
            self.respond(answer, request.closes_connection())
            return
        assert isinstance(answer, Awaitable)
        self.pending_answer = asyncio.ensure_future(answer)
        self.pending_answer.add_done_callback(self.on_answer_done)

    async def is_waiting(self) -> bool:
        """Whether the caller of the call in progress has not closed the connection, by all that has arrived.

        If this process was suspended, a call and the end of its connection may have arrived together.
        """
        for _ in range(EVENT_LOOP_TURNS):
            await asyncio.sleep(0)
        return self.transport is not None and not self.is_ending

    def on_answer_done(self, done: asyncio.Future[Answer]) -> None:
        """Send the pending answer, and go on with the next call."""
        self.pending_answer = None
        if done.cancelled() or self.transport is None:
            return
        error = done.exception()
        assert self.request is not None
        answer = done.result() if error is None else failed_call(error)
        self.respond(answer, self.request.closes_connection())
        if self.transport is not None and not self.is_ending:
            self.transport.resume_reading()
            self.process_calls()

    def respond(self, answer: Answer, close: bool) -> None:
        """Send an answer, and end the connection if `close` is set or the server is closing."""
        transport = self.transport
        if transport is None:
            return
        close = close or self.is_ending or self.server.closing
        fields = [(name.encode(), text.encode()) for name, text in answer.headers]
        if answer.body:
            fields.append((b"Content-Type", b"application/json"))
        is_head = self.request is not None and self.request.method == b"HEAD"
        transport.write(encode_response(answer.status, fields, answer.body, close, is_head))
        self.waiting_since = time.monotonic_ns()
        if close:
            self.is_ending = True
            if transport.can_write_eof():
                transport.write_eof()  # closing with unread bytes would reset it and lose the answer
            else:
                transport.close()

    def sweep(self, now: int) -> None:
        """Close the connection if its current wait has timed out."""
        if self.transport is None or self.pending_answer is not None:
            return
        waited_ns = now - self.waiting_since
        if self.is_ending:
            if waited_ns > 2 * SECOND:
                self.transport.abort()
        elif len(self.buffer) or self.parser.request is not None:
            if waited_ns > SLOW_NS:
                self.respond(Answer(408), close=True)
        elif waited_ns > (SLOW_NS if self.transport.get_write_buffer_size() else IDLE_NS):
            self.transport.close()


class Server:
    """Listens at an address and answers calls by a routing tree."""

    def __init__(self, tree: Matcher) -> None:
        self.tree = tree
        self.connections: dict[ClientConnection, None] = {}  # in order of their start
        self.closing = False
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def open(self, address: Address) -> None:
        """Listen at an address; raise PepperrunError `no-listen` if that fails."""
        loop = asyncio.get_running_loop()
        try:
            self.listener = await loop.create_server(
                lambda: ClientConnection(self), *address, reuse_address=True, backlog=256
            )
        except OSError as error:
            raise PepperrunError("no-listen", "opening", str(error), f"{address[0]}:{address[1]}") from None
        self.sweep()

    def sweep(self) -> None:
        """Close the connections that have timed out; one timer serves all of them."""
        now = time.monotonic_ns()
        for connection in list(self.connections):
            connection.sweep(now)
        self.timer = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection; if there are too many, abort the one that has been idle for longest."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            idle = min(
                (one for one in self.connections if one.pending_answer is None),
                key=lambda one: one.waiting_since,
                default=None,
            )
            if idle is not None and idle.transport is not None:
                del self.connections[idle]
                idle.transport.abort()

    async def close(self, timeout_s: float) -> None:
        """Accept no more connections, close the idle ones, and wait for pending answers."""
        self.closing = True
        if self.listener is not None:
            self.listener.close()
        pending_answers = [one.pending_answer for one in self.connections if one.pending_answer is not None]
        for connection in list(self.connections):
            if connection.pending_answer is None and connection.transport is not None:
                connection.transport.close()
        if pending_answers:
            await asyncio.wait(pending_answers, timeout=timeout_s)
        if self.timer is not None:
            self.timer.cancel()
