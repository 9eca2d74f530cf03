"""The HTTP/1.1 server of the core's calls: thin I/O over the parsers and a tree of matchers.

Calls of one connection are answered one after another. What was read is answered, also while it closes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable

from pepperrun.control.matchers import Answer, Call, Matcher, answer_to, parse_target
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import trouble
from pepperrun.foundation.settings import Address
from pepperrun.net.buffer import Buffer
from pepperrun.net.http1 import HttpError, Request, RequestParser, write_response

SECOND = 1_000_000_000
MOST_BODY = 4 * 1024 * 1024  # bytes of a call's body: thousands of routes
ROOM = 64 * 1024  # of it in the buffer
MOST = 1500  # connections; the one that has been idle for longest gives way
IDLE = 30 * SECOND  # between calls
SLOW = 10 * SECOND  # for a whole call to come in, or an answer to be taken
SWEEP_S = 2.0


class Caller(asyncio.BufferedProtocol):
    """A connection."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer(ROOM)
        self.parser = RequestParser(self.buffer, MOST_BODY)
        self.busy: asyncio.Future[Answer] | None = None  # an answer is awaited
        self.request: Request | None = None
        self.ended = False  # the last answer is given: what still comes is dropped
        self.since = 0  # last sign of life that counts
        self.continued = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.since = transport, time.monotonic_ns()
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.callers.pop(self, None)
        if self.busy is not None:
            self.busy.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        if self.ended:
            self.buffer.drop(len(self.buffer))
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        if not len(self.buffer):
            self.since = time.monotonic_ns()
        self.buffer.filled(nbytes, 0)
        if not self.ended:
            self.go_on()
        if self.transport is not None and self.buffer.full():
            if self.busy is not None:
                self.transport.pause_reading()
            elif not self.ended:
                self.say(Answer(431), close=True)

    def eof_received(self) -> bool:
        if self.busy is None:
            return False
        self.ended = True  # half closed: the answer under way is still given
        return True

    def go_on(self) -> None:
        """Takes the calls that are whole."""
        while self.busy is None and not self.ended and self.transport is not None:
            try:
                request = self.parser.next()
            except HttpError as error:
                self.say(Answer(error.status), close=True)
                return
            if request is None:
                if self.parser.waits_for_continue() and not self.continued:
                    self.continued = True
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self.request, self.continued = request, False
            self.take(request)

    def take(self, request: Request) -> None:
        """One call."""
        try:
            path, query = parse_target(request.target)
            headers = {name.decode("latin-1"): text.decode("latin-1") for name, text in request.names.items()}
            call = Call(request.method.decode("latin-1"), path, query, headers, request.body)
            answer = answer_to(self.server.tree, call)
        except PepperrunError as error:
            trouble(error)
            answer = Answer(503, headers=(("Retry-After", "0.5"),))
        if isinstance(answer, Answer):
            self.say(answer, request.close())
            return
        assert isinstance(answer, Awaitable)
        self.busy = asyncio.ensure_future(answer)
        self.busy.add_done_callback(self.answered)

    def answered(self, done: asyncio.Future[Answer]) -> None:
        """What was awaited is there."""
        self.busy = None
        if done.cancelled() or self.transport is None:
            return
        error = done.exception()
        if error is not None:
            step = "answering a call"
            trouble(
                error if isinstance(error, PepperrunError) else PepperrunError("fault", step, repr(error))
            )
        assert self.request is not None
        answer = done.result() if error is None else Answer(503, headers=(("Retry-After", "0.5"),))
        self.say(answer, self.request.close())
        if self.transport is not None and not self.ended:
            self.transport.resume_reading()
            self.go_on()

    def say(self, answer: Answer, close: bool) -> None:
        """An answer."""
        transport = self.transport
        if transport is None:
            return
        close = close or self.ended or self.server.closing
        fields = [(name.encode(), text.encode()) for name, text in answer.headers]
        if answer.body:
            fields.append((b"Content-Type", b"application/json"))
        head = self.request is not None and self.request.method == b"HEAD"
        transport.write(write_response(answer.status, fields, answer.body, close, head))
        self.since = time.monotonic_ns()
        if close:
            self.ended = True
            if transport.can_write_eof():
                transport.write_eof()  # closing on bytes that are unread would reset it, and lose the answer
            else:
                transport.close()

    def sweep(self, now: int) -> None:
        """Ends what has waited for too long."""
        if self.transport is None or self.busy is not None:
            return
        waits = now - self.since
        if self.ended:
            if waits > 2 * SECOND:
                self.transport.abort()
        elif len(self.buffer) or self.parser.request is not None:
            if waits > SLOW:
                self.say(Answer(408), close=True)
        elif waits > (SLOW if self.transport.get_write_buffer_size() else IDLE):
            self.transport.close()


class Server:
    """Answers calls at an address from a tree of matchers."""

    def __init__(self, tree: Matcher) -> None:
        self.tree = tree
        self.callers: dict[Caller, None] = {}  # the oldest first
        self.closing = False
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def open(self, where: Address) -> None:
        """Listens there; PepperrunError where that can't be."""
        loop = asyncio.get_running_loop()
        try:
            self.listener = await loop.create_server(
                lambda: Caller(self), *where, reuse_address=True, backlog=256
            )
        except OSError as error:
            raise PepperrunError("no-listen", "opening", str(error), f"{where[0]}:{where[1]}") from None
        self.sweep()

    def sweep(self) -> None:
        """Looks after all connections, one timer for all."""
        now = time.monotonic_ns()
        for caller in list(self.callers):
            caller.sweep(now)
        self.timer = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)

    def add(self, caller: Caller) -> None:
        """A connection is up; beyond the limit one that has been idle for long gives way."""
        self.callers[caller] = None
        if len(self.callers) > MOST:
            idle = min(
                (one for one in self.callers if one.busy is None), key=lambda one: one.since, default=None
            )
            if idle is not None and idle.transport is not None:
                del self.callers[idle]
                idle.transport.abort()

    async def close(self, patience_s: float) -> None:
        """Takes no more connections, answers what was read, ends the rest."""
        self.closing = True
        if self.listener is not None:
            self.listener.close()
        busy = [one.busy for one in self.callers if one.busy is not None]
        for caller in list(self.callers):
            if caller.busy is None and caller.transport is not None:
                caller.transport.close()
        if busy:
            await asyncio.wait(busy, timeout=patience_s)
        if self.timer is not None:
            self.timer.cancel()
