"""A connection to a backend: one request at a time, its answer, and long bodies in pieces, both ways.

A long request body is spent once its first attempt has a connection; a long answer is the answer once it has
begun.
"""

from __future__ import annotations

import asyncio
import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from pepperrun.config import Address
from pepperrun.core.clock import SECOND
from pepperrun.core.interface import Outcome
from pepperrun.exchange import Exchange
from pepperrun.log import say
from pepperrun.net.buffer import Buffer, unread
from pepperrun.net.http1 import (
    ANSWER_ROOM,
    LAST_CHUNK,
    MAX_HEAD,
    MOST_BODY,
    HttpError,
    Request,
    Response,
    ResponseParser,
    chunk,
    write_fields,
)
from pepperrun.net.stream import MOST, Budget, Stream
from pepperrun.net.wear import Wear as Wear

SAFE = (b"GET", b"HEAD")  # to send again, by HTTP's own word
STALE_NS = SECOND // 100  # a kept connection that was no longer one breaks this soon under a request
HELD = 64 * 1024  # bytes of an answer up to which it is held whole, so that a break can be made good
PIECES_ROOM = MAX_HEAD + MOST
HOLD_NS = SECOND // 5  # one whose length is not told, and that comes slowly, is not held for more than this
STILL_NS = (
    10 * SECOND
)  # a body that a backend brings or takes no further for so long ends, as a client's does
SURE = 8 * 1024  # bytes of a long answer that are awaited before it is the answer


def write_asked(request: Request, more: bytes) -> bytes:
    """The request as a backend reads it, with `more` header lines."""
    if request.whole:
        length = b"Content-Length: %d\r\n" % len(request.body) if request.body else b""
        if not length and request.method not in (b"GET", b"HEAD"):
            length = b"Content-Length: 0\r\n"
    elif request.length is None:
        length = b"Transfer-Encoding: chunked\r\n"
    else:
        length = b"Content-Length: %d\r\n" % request.length
    return b"%b %b HTTP/1.1\r\n%b%b%b\r\n%b" % (
        request.method,
        request.target,
        write_fields(request.fields),
        more,
        length,
        request.body if request.whole or request.length is not None else chunk(request.body),
    )


Judge = Callable[[Response], tuple[Outcome, float]]


class AbandonReason(enum.StrEnum):
    """Why this side ended an attempt that had been written to its backend."""

    DECISION = "decision"  # the decisions asked for it
    SUPERSEDED = "superseded"  # another attempt of its request has been answered
    CLIENT_LEFT = "client-left"  # nobody waits for its answer
    DEADLINE = "deadline"  # the client's time, or the route's, is over
    STALLED = "stalled"  # its answer had begun and came no further


class Wire:
    """What of a conversation with backends is not plain HTTP: here the platform's; others derive from it."""

    stall_s = 0.0  # an answer that has begun may stand still for so long; 0: as a connection takes to come up
    silent_ns = SECOND  # one that has been asked and said nothing for so long may have been cut off
    most_answer = MOST_BODY  # bytes of a body that passes through
    user_timeout_ms = 0  # unacknowledged bytes, or probes, for so long end a connection; 0: the system's

    def __init__(self, judge: Judge) -> None:
        self._judge = judge

    def write(self, attempt: Attempt, left_ns: int) -> bytes | None:
        """The request, with the time that this attempt will be waited for; None: it may no longer go out."""
        return write_asked(attempt.exchange.asked, b"X-Budget: %du\r\n" % max(1, left_ns // 1000))

    def judge(self, attempt: Attempt, response: Response) -> tuple[Outcome, float]:
        """How the attempt ended, and its true units; 0 where they are not known."""
        return self._judge(response)

    def name(self, attempt: Attempt) -> object:
        """What answers call the request by."""
        return None

    def surplus(self, connection: Connection, response: Response) -> bool:
        """Is it another answer to an earlier request, in the place of the one that is waited for?"""
        return False

    def foreign(self, attempt: Attempt, response: Response) -> bool:
        """Does it belong to another request, or to none? Its connection is of no more use."""
        return False

    def safe(self, attempt: Attempt) -> bool:
        """May its request simply be sent again?"""
        return attempt.exchange.asked.method in SAFE

    def idle_ns(self, response: Response) -> int:
        """How long the backend keeps the connection now; 0 where it does not say."""
        return 0


def probe(sock: socket.socket, timeout_ms: int) -> None:
    """Has the system end a connection whose other machine no longer answers it."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, timeout_ms // 1000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Attempt:
    """One attempt that has not ended."""

    __slots__ = ("backend", "connection", "connects", "deadline", "exchange", "number", "timer")

    def __init__(self, exchange: Exchange[Request, Response], number: int, backend: int, deadline: int):
        self.exchange, self.number, self.backend, self.deadline = exchange, number, backend, deadline
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.connects = 0


class Pool:
    """The connections to one backend at one address, and the attempts that wait for one."""

    __slots__ = ("address", "asked_at", "backend", "idle", "opening", "up", "waiting")

    def __init__(self, backend: int, address: Address) -> None:
        self.backend, self.address = backend, address
        self.idle: list[Connection] = []
        self.waiting: deque[Attempt] = deque()
        self.opening = self.up = 0
        self.asked_at = 0  # when the first request went out that nothing has been heard since; 0: none


class Side(Protocol):
    """What a connection needs of those who use it: `ServerSide`, which knows connections, not they it."""

    loop: asyncio.AbstractEventLoop
    budget: Budget | None
    connect_s: float
    connections: set[Connection]
    written: int
    wear: Wear
    wire: Wire

    @property
    def clock(self) -> Callable[[], int]:
        """The steady clock, ns."""
        ...

    @property
    def ends_stalled(self) -> Callable[[Attempt], bool]:
        """Whether an attempt is given up whose answer has begun and comes no further."""
        ...

    @property
    def on_abandon(self) -> Callable[[Attempt, AbandonReason], None]:
        """Told of each written attempt that this side ends."""
        ...

    def free(self, connection: Connection) -> None:
        """A connection can take another attempt."""
        ...

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""
        ...

    def sent_whole(self, attempt: Attempt) -> None:
        """The last byte of a long request has gone out."""
        ...

    def end(self, attempt: Attempt, outcome: Outcome, given: object = None, units: float = 0.0) -> None:
        """An attempt has ended."""
        ...


class Connection(asyncio.BufferedProtocol):
    """A connection to a backend."""

    def __init__(self, side: Side, pool: Pool, up_ns: int = 0) -> None:
        self.side, self.pool = side, pool
        self.up_ns = up_ns  # how long it took to come up: a way there and back
        self.transport: asyncio.Transport | None = None
        budget = side.budget
        if budget is None:
            self.buffer = Buffer(ANSWER_ROOM)
            self.parser = ResponseParser(self.buffer)
        else:
            self.buffer = Buffer(PIECES_ROOM)
            self.parser = ResponseParser(self.buffer, side.wire.most_answer, HELD)
        self.attempt: Attempt | None = None
        self.upload: Stream | None = None  # the rest of the request's body
        self.chunked = False  # it goes out in chunks
        self.download: Stream | None = None  # the rest of the answer's body, which its client takes
        self.last: Response | None = None  # the answer that passes through
        self.head_at = 0  # when the answer's first byte came
        self.moved_at = 0  # when a long body last came on
        self.deadline = 0  # of the request whose answer passes through
        self.paused = False  # its client takes no more of the answer now
        self.unsent = False  # the last byte of the request is not yet written
        self.unfinished = False  # nor will it be: its client has gone
        self.idle_since = self.heard_at = self.started_at = 0
        self.served = 0  # answers so far
        self.keeps_ns = 0  # how long the backend keeps it while idle, where it has said so
        self.before: object = None  # the wire's names of the request before, and of the present one
        self.asked: object = None
        self.doubtful = False  # something came that nothing was asked for: it takes no further request
        self.watched: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # told at once whether all is written
        if self.side.wire.user_timeout_ms and (sock := transport.get_extra_info("socket")) is not None:
            probe(sock, self.side.wire.user_timeout_ms)
        self.side.connections.add(self)
        self.pool.up += 1
        self.pool.asked_at = 0
        self.side.free(self)

    def start(self, attempt: Attempt, now: int) -> bool:
        """Writes the attempt's request; False where it may no longer go out."""
        assert self.transport is not None
        asked = attempt.exchange.asked
        data = self.side.wire.write(
            attempt, attempt.deadline - now if asked.whole else attempt.exchange.patience
        )
        if data is None:
            return False
        self.attempt, attempt.connection = attempt, self
        self.started_at = now
        self.before, self.asked = self.asked, self.side.wire.name(attempt)
        self.pool.asked_at = self.pool.asked_at or now
        self.unsent = not asked.whole
        self.parser.bodiless = asked.method == b"HEAD"
        self.transport.write(data)
        if self.transport.is_closing():
            self.unsent = True  # the write itself failed: nothing has gone out
        elif asked.stream is not None and not asked.whole:
            self.upload, self.chunked, self.moved_at = asked.stream, asked.length is None, now
            attempt.exchange.spent = True
            asked.stream.open(self)
            if self.blocked and self.upload is not None:
                self.upload.hold(True)
        elif not self.blocked:
            self.side.written += 1
        return True

    @property
    def blocked(self) -> bool:
        """Has the system not taken all that was written?"""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        self.unsent = True
        if self.upload is not None:
            self.upload.hold(True)

    def resume_writing(self) -> None:
        self.moved_at = self.side.clock()
        if self.upload is not None:
            self.upload.hold(False)
        elif self.attempt is not None and self.attempt.exchange.asked.whole:
            self.unsent = False
            self.side.written += 1

    # The rest of a request's body, as its client sends it.

    def more(self, data: bytes) -> None:
        """Write a further piece."""
        if self.transport is not None:
            self.transport.write(chunk(data) if self.chunked else data)

    def whole(self) -> None:
        """All of it is there: from here on the backend's time counts, and the client's."""
        self.upload = None
        attempt, transport = self.attempt, self.transport
        if attempt is None or transport is None:
            return
        if self.chunked:
            transport.write(LAST_CHUNK)
        attempt.exchange.asked.whole = True  # for this connection's own questions; the body is spent
        if not self.blocked:
            self.unsent = False
            self.side.written += 1
        self.side.sent_whole(attempt)

    def broken(self) -> None:
        """The client has gone, or sends what can't be read: what the backend has is no request."""
        self.upload, self.unfinished = None, True
        self.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.filled(nbytes, 0)
        self.pool.asked_at = 0
        now = self.side.clock()
        if self.attempt is not None and self.heard_at < self.started_at:
            if self.served:
                self.side.wear.saw(self.started_at - self.idle_since, False)
            else:
                self.side.wear.saw_new(False)
        self.heard_at = now
        if self.download is not None:
            self.moved_at = now
            self._pass_on(self.download)
            return
        attempt = self.attempt
        if attempt is None:  # nothing was asked
            self.close()
            return
        self.head_at = self.head_at or now
        try:
            response = self.parser.next()
            if response is not None and response.whole and self.side.wire.surplus(self, response):
                self.doubtful = True  # the one that is waited for may follow it
                response = self.parser.next()
            if response is None and self.side.budget is not None and self.parser.response is not None:
                response = self._early(now)
        except HttpError as error:
            self._spoilt(attempt, str(error))
            return
        if response is not None and response.whole:
            self._answered(attempt, response)
        elif response is not None:
            self._begun(attempt, response)
        elif self.watched is None:
            self.watched = self.side.loop.call_later(self._patience_s, self._stalled, attempt)

    @property
    def _patience_s(self) -> float:
        return self.side.wire.stall_s or self.side.connect_s

    def _spoilt(self, attempt: Attempt, why: str) -> None:
        """It may have run. Where a next answer would begin is not known: the connection is of no use."""
        say("backend", f"an answer that can't be read: {why}")
        self.attempt = None
        self.close()
        self.side.end(attempt, Outcome.ERROR)

    def _stalled(self, attempt: Attempt) -> None:
        """An answer may say that it is longer than it is, and nothing ends then but the client's patience.

        One that brings nothing more for as long as a connection may take to come up will hardly become whole;
        whether it ends for that is `ServerSide.ends_stalled`'s word.
        """
        self.watched = None
        if self.attempt is not attempt or self.transport is None:
            return
        left_s = self._patience_s - (self.side.clock() - self.heard_at) / SECOND
        if left_s > 0 or unread(self.transport):  # this side may be late, and not the backend
            self.watched = self.side.loop.call_later(max(left_s, 0.01), self._stalled, attempt)
        elif not self.side.ends_stalled(attempt):
            self.watched = self.side.loop.call_later(self._patience_s, self._stalled, attempt)
        else:
            self.side.on_abandon(attempt, AbandonReason.STALLED)
            self._spoilt(attempt, "it stops short")

    def _early(self, now: int) -> Response | None:
        """A long answer's beginning, if its client need not wait for more of it.

        Some bytes must be there: a spoilt one that says to be long mostly stops soon, and can be made good.
        """
        body, response = self.parser.body, self.parser.response
        if body is None or response is None or body.got < SURE:
            return None
        long = response.length is not None and response.length > HELD
        return self.parser.give() if long or now - self.head_at > HOLD_NS else None

    def _begun(self, attempt: Attempt, response: Response) -> None:
        """An answer that is longer than is held: its client gets it as it comes, and it is the answer."""
        assert self.side.budget is not None
        if self.side.wire.foreign(attempt, response):
            self._spoilt(attempt, "it belongs to another request")
            return
        outcome, units = self.side.wire.judge(attempt, response)
        if outcome is not Outcome.OK:  # nobody is given its body
            self.attempt = None
            self.close()
            self.side.end(attempt, outcome, response, units)
            return
        self._unwatch()
        self.attempt, self.last, self.moved_at = None, response, self.side.clock()
        self.deadline = attempt.deadline
        self.download = stream = Stream(self.side.budget, self._pause, self.close)
        response.stream, attempt.exchange.passing = stream, True
        self.buffer.widen(self.side.budget.share())
        self.side.end(attempt, outcome, response, units)
        if not stream.opened:
            stream.drop()  # its client has gone, or has another answer
        elif self.download is stream:
            self._pass_on(stream)

    def _unwatch(self) -> None:
        if self.watched is not None:
            self.watched.cancel()
            self.watched = None

    def stands_still(self, now: int) -> bool:
        """Is a long body on it that the backend, and not the client, brings or takes no further?

        Before the client's time is over the backend's silence is no reason to end an answer.
        """
        waits = self.download is not None and not self.paused and now >= self.deadline
        waits = waits or self.upload is not None and self.blocked
        return waits and now - self.moved_at > STILL_NS

    def _pause(self, on: bool) -> None:
        self.paused, self.moved_at = on, self.side.clock()
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def _pass_on(self, stream: Stream) -> None:
        try:
            while data := self.parser.pull():
                stream.feed(data)
        except HttpError as error:
            say("backend", f"an answer that can't be read: {error}")
            self.close()
            return
        if self.parser.complete() and self.download is stream:
            self._passed(stream)

    def _passed(self, stream: Stream) -> None:
        """All of it has come."""
        response, self.last, self.download = self.last, None, None
        self.buffer.widen(0)
        assert response is not None
        self._release(response)
        stream.finish()

    def _answered(self, attempt: Attempt, response: Response) -> None:
        self._unwatch()
        if self.side.wire.foreign(attempt, response):
            self._spoilt(attempt, "it belongs to another request")
            return
        self.attempt = None
        outcome, units = self.side.wire.judge(attempt, response)
        self.keeps_ns = self.side.wire.idle_ns(response) or self.keeps_ns
        self._release(response)
        self.side.end(attempt, outcome, response, units)

    def _release(self, response: Response) -> None:
        """The connection has brought its answer and may take the next request."""
        self.served += 1
        self.head_at = 0
        if self.upload is not None:  # it was answered before it was whole
            self.upload.drop()
            self.upload = None
            self.unsent = True
        if response.close() or len(self.buffer) or self.unsent or self.doubtful:
            self.close()
        elif self.transport is not None and not self.transport.is_closing():
            # What comes behind an answer would be read as the next one: a request must not meet it.
            if unread(self.transport):
                self.close()
            else:
                self.side.free(self)  # first: what the answer brings about may use it

    def eof_received(self) -> bool:
        response = self.parser.end()
        if self.download is not None:
            if self.parser.complete():
                self.close()
                self._passed(self.download)
        elif self.attempt is not None and response is not None:
            self.close()
            self._answered(self.attempt, response)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.pool.up -= 1
        self.transport = None
        self._unwatch()
        attempt, self.attempt = self.attempt, None
        self.side.lost(self)
        if self.upload is not None:
            self.upload.drop()
            self.upload = None
        if self.download is not None:
            self.download.fail()  # its client must see that it is not whole
            self.download = None
        if attempt is not None:
            self.side.end(attempt, self._lost_outcome())

    def _lost_outcome(self) -> Outcome:
        """How an attempt ended whose connection is gone; a body that its client broke off blames nobody."""
        if self.unfinished:
            return Outcome.CANCELLED
        return Outcome.CONNECT_FAILED if self.unsent else self._broke()

    def _broke(self) -> Outcome:
        """How an attempt ended whose connection broke under it: a kept one that did so at once was stale."""
        now = self.side.clock()
        if self.heard_at >= self.started_at or now - self.started_at > STALE_NS + self.up_ns:
            return Outcome.RESET
        if not self.served:
            self.side.wear.saw_new(True)
            return Outcome.RESET
        self.side.wear.saw(self.started_at - self.idle_since, True)
        return Outcome.STALE

    def close(self) -> None:
        """Closes at once: what is out on it is given up."""
        if self.transport is not None:
            self.transport.abort()
