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
from pepperrun.net.buffer import Buffer, has_unread_input
from pepperrun.net.http1 import (
    LAST_CHUNK,
    MAX_HEAD,
    MAX_STREAMED_BODY,
    RESPONSE_BUFFER_SIZE,
    HttpError,
    Request,
    Response,
    ResponseParser,
    encode_chunk,
    encode_fields,
)
from pepperrun.net.stale_rates import StaleRates
from pepperrun.net.stream import MAX_BUFFER_BYTES, BodyStream, MemoryBudget

SAFE_METHODS = (b"GET", b"HEAD")  # to send again, by HTTP's own word
STALE_RESET_NS = SECOND // 100  # a kept connection that was no longer one breaks this soon under a request
MAX_BUFFERED_BODY = (
    64 * 1024
)  # bytes of an answer up to which it is held whole, so that a break can be made good
STREAMING_BUFFER_SIZE = MAX_HEAD + MAX_BUFFER_BYTES
MAX_HOLD_NS = (
    SECOND // 5
)  # one whose length is not told, and that comes slowly, is not held for more than this
BODY_STALL_NS = (
    10 * SECOND
)  # a body that a backend brings or takes no further for so long ends, as a client's does
MIN_EARLY_BODY = 8 * 1024  # bytes of a long answer that are awaited before it is the answer


def encode_request(request: Request, more: bytes) -> bytes:
    """The request as a backend reads it, with `more` header lines."""
    if request.complete:
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
        encode_fields(request.fields),
        more,
        length,
        request.body if request.complete or request.length is not None else encode_chunk(request.body),
    )


ResponseClassifier = Callable[[Response], tuple[Outcome, float]]


class AbandonReason(enum.StrEnum):
    """Why this side ended an attempt that had been written to its backend."""

    DECISION = "decision"  # the decisions asked for it
    SUPERSEDED = "superseded"  # another attempt of its request has been answered
    CLIENT_LEFT = "client-left"  # nobody waits for its answer
    DEADLINE = "deadline"  # the client's time, or the route's, is over
    STALLED = "stalled"  # its answer had begun and came no further


class Wire:
    """What of a conversation with backends is not plain HTTP: here the platform's; others derive from it."""

    stall_timeout_s = (
        0.0  # an answer that has begun may stand still for so long; 0: as a connection takes to come up
    )
    unresponsive_ns = SECOND  # one that has been asked and said nothing for so long may have been cut off
    max_response_body = MAX_STREAMED_BODY  # bytes of a body that passes through
    user_timeout_ms = 0  # unacknowledged bytes, or probes, for so long end a connection; 0: the system's

    def __init__(self, judge: ResponseClassifier) -> None:
        self._classifier = judge

    def encode(self, attempt: Attempt, left_ns: int) -> bytes | None:
        """The request, with the time that this attempt will be waited for; None: it may no longer go out."""
        return encode_request(attempt.exchange.asked, b"X-Budget: %du\r\n" % max(1, left_ns // 1000))

    def classify(self, attempt: Attempt, response: Response) -> tuple[Outcome, float]:
        """How the attempt ended, and its true units; 0 where they are not known."""
        return self._classifier(response)

    def request_id(self, attempt: Attempt) -> object:
        """What answers call the request by."""
        return None

    def is_surplus(self, connection: Connection, response: Response) -> bool:
        """Is it another answer to an earlier request, in the place of the one that is waited for?"""
        return False

    def is_foreign(self, attempt: Attempt, response: Response) -> bool:
        """Does it belong to another request, or to none? Its connection is of no more use."""
        return False

    def is_idempotent(self, attempt: Attempt) -> bool:
        """May its request simply be sent again?"""
        return attempt.exchange.asked.method in SAFE_METHODS

    def keep_alive_ns(self, response: Response) -> int:
        """How long the backend keeps the connection now; 0 where it does not say."""
        return 0


def enable_tcp_keepalive(sock: socket.socket, timeout_ms: int) -> None:
    """Has the system end a connection whose other machine no longer answers it."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, timeout_ms // 1000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Attempt:
    """One attempt that has not ended."""

    __slots__ = ("backend", "connect_resets", "connection", "deadline", "exchange", "number", "timer")

    def __init__(self, exchange: Exchange[Request, Response], number: int, backend: int, deadline: int):
        self.exchange, self.number, self.backend, self.deadline = exchange, number, backend, deadline
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.connect_resets = 0


class Pool:
    """The connections to one backend at one address, and the attempts that wait for one."""

    __slots__ = ("address", "backend", "connecting", "idle", "open_count", "unanswered_since", "waiting")

    def __init__(self, backend: int, address: Address) -> None:
        self.backend, self.address = backend, address
        self.idle: list[Connection] = []
        self.waiting: deque[Attempt] = deque()
        self.connecting = self.open_count = 0
        self.unanswered_since = (
            0  # when the first request went out that nothing has been heard since; 0: none
        )


class ConnectionOwner(Protocol):
    """What a connection needs of those who use it: `UpstreamClient`, which knows connections, not they it."""

    loop: asyncio.AbstractEventLoop
    budget: MemoryBudget | None
    connect_timeout_s: float
    connections: set[Connection]
    requests_written: int
    stale_rates: StaleRates
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

    def on_connection_free(self, connection: Connection) -> None:
        """A connection can take another attempt."""
        ...

    def on_connection_lost(self, connection: Connection) -> None:
        """A connection has ended."""
        ...

    def on_request_sent(self, attempt: Attempt) -> None:
        """The last byte of a long request has gone out."""
        ...

    def finish_attempt(
        self, attempt: Attempt, outcome: Outcome, given: object = None, units: float = 0.0
    ) -> None:
        """An attempt has ended."""
        ...


class Connection(asyncio.BufferedProtocol):
    """A connection to a backend."""

    def __init__(self, side: ConnectionOwner, pool: Pool, up_ns: int = 0) -> None:
        self.owner, self.pool = side, pool
        self.connect_ns = up_ns  # how long it took to come up: a way there and back
        self.transport: asyncio.Transport | None = None
        budget = side.budget
        if budget is None:
            self.buffer = Buffer(RESPONSE_BUFFER_SIZE)
            self.parser = ResponseParser(self.buffer)
        else:
            self.buffer = Buffer(STREAMING_BUFFER_SIZE)
            self.parser = ResponseParser(self.buffer, side.wire.max_response_body, MAX_BUFFERED_BODY)
        self.attempt: Attempt | None = None
        self.upload: BodyStream | None = None  # the rest of the request's body
        self.chunked = False  # it goes out in chunks
        self.download: BodyStream | None = None  # the rest of the answer's body, which its client takes
        self.streamed_response: Response | None = None  # the answer that passes through
        self.response_started_at = 0  # when the answer's first byte came
        self.last_progress_at = 0  # when a long body last came on
        self.deadline = 0  # of the request whose answer passes through
        self.paused = False  # its client takes no more of the answer now
        self.request_unsent = False  # the last byte of the request is not yet written
        self.client_aborted = False  # nor will it be: its client has gone
        self.idle_since = self.last_received_at = self.started_at = 0
        self.responses = 0  # answers so far
        self.keep_alive_ns = 0  # how long the backend keeps it while idle, where it has said so
        self.previous_request_id: object = (
            None  # the wire's names of the request before, and of the present one
        )
        self.request_id: object = None
        self.has_surplus = False  # something came that nothing was asked for: it takes no further request
        self.stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # told at once whether all is written
        if self.owner.wire.user_timeout_ms and (sock := transport.get_extra_info("socket")) is not None:
            enable_tcp_keepalive(sock, self.owner.wire.user_timeout_ms)
        self.owner.connections.add(self)
        self.pool.open_count += 1
        self.pool.unanswered_since = 0
        self.owner.on_connection_free(self)

    def start(self, attempt: Attempt, now: int) -> bool:
        """Writes the attempt's request; False where it may no longer go out."""
        assert self.transport is not None
        asked = attempt.exchange.asked
        data = self.owner.wire.encode(
            attempt, attempt.deadline - now if asked.complete else attempt.exchange.patience
        )
        if data is None:
            return False
        self.attempt, attempt.connection = attempt, self
        self.started_at = now
        self.previous_request_id, self.request_id = self.request_id, self.owner.wire.request_id(attempt)
        self.pool.unanswered_since = self.pool.unanswered_since or now
        self.request_unsent = not asked.complete
        self.parser.bodiless = asked.method == b"HEAD"
        self.transport.write(data)
        if self.transport.is_closing():
            self.request_unsent = True  # the write itself failed: nothing has gone out
        elif asked.stream is not None and not asked.complete:
            self.upload, self.chunked, self.last_progress_at = asked.stream, asked.length is None, now
            attempt.exchange.spent = True
            asked.stream.attach(self)
            if self.write_blocked and self.upload is not None:
                self.upload.pause(True)
        elif not self.write_blocked:
            self.owner.requests_written += 1
        return True

    @property
    def write_blocked(self) -> bool:
        """Has the system not taken all that was written?"""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        self.request_unsent = True
        if self.upload is not None:
            self.upload.pause(True)

    def resume_writing(self) -> None:
        self.last_progress_at = self.owner.clock()
        if self.upload is not None:
            self.upload.pause(False)
        elif self.attempt is not None and self.attempt.exchange.asked.complete:
            self.request_unsent = False
            self.owner.requests_written += 1

    # The rest of a request's body, as its client sends it.

    def write_body(self, data: bytes) -> None:
        """Write a further piece."""
        if self.transport is not None:
            self.transport.write(encode_chunk(data) if self.chunked else data)

    def finish_body(self) -> None:
        """All of it is there: from here on the backend's time counts, and the client's."""
        self.upload = None
        attempt, transport = self.attempt, self.transport
        if attempt is None or transport is None:
            return
        if self.chunked:
            transport.write(LAST_CHUNK)
        attempt.exchange.asked.complete = True  # for this connection's own questions; the body is spent
        if not self.write_blocked:
            self.request_unsent = False
            self.owner.requests_written += 1
        self.owner.on_request_sent(attempt)

    def abort_body(self) -> None:
        """The client has gone, or sends what can't be read: what the backend has is no request."""
        self.upload, self.client_aborted = None, True
        self.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.commit(nbytes, 0)
        self.pool.unanswered_since = 0
        now = self.owner.clock()
        if self.attempt is not None and self.last_received_at < self.started_at:
            if self.responses:
                self.owner.stale_rates.record_reuse(self.started_at - self.idle_since, False)
            else:
                self.owner.stale_rates.record_first_use(False)
        self.last_received_at = now
        if self.download is not None:
            self.last_progress_at = now
            self._forward_body(self.download)
            return
        attempt = self.attempt
        if attempt is None:  # nothing was asked
            self.close()
            return
        self.response_started_at = self.response_started_at or now
        try:
            response = self.parser.next()
            if response is not None and response.complete and self.owner.wire.is_surplus(self, response):
                self.has_surplus = True  # the one that is waited for may follow it
                response = self.parser.next()
            if response is None and self.owner.budget is not None and self.parser.response is not None:
                response = self._take_early_response(now)
        except HttpError as error:
            self._on_invalid_response(attempt, str(error))
            return
        if response is not None and response.complete:
            self._on_response(attempt, response)
        elif response is not None:
            self._on_streamed_response(attempt, response)
        elif self.stall_timer is None:
            self.stall_timer = self.owner.loop.call_later(self._stall_timeout_s, self._check_stall, attempt)

    @property
    def _stall_timeout_s(self) -> float:
        return self.owner.wire.stall_timeout_s or self.owner.connect_timeout_s

    def _on_invalid_response(self, attempt: Attempt, why: str) -> None:
        """It may have run. Where a next answer would begin is not known: the connection is of no use."""
        say("backend", f"an answer that can't be read: {why}")
        self.attempt = None
        self.close()
        self.owner.finish_attempt(attempt, Outcome.ERROR)

    def _check_stall(self, attempt: Attempt) -> None:
        """An answer may say that it is longer than it is, and nothing ends then but the client's patience.

        One that brings nothing more for as long as a connection may take to come up will hardly become whole;
        whether it ends for that is `UpstreamClient.ends_stalled`'s word.
        """
        self.stall_timer = None
        if self.attempt is not attempt or self.transport is None:
            return
        left_s = self._stall_timeout_s - (self.owner.clock() - self.last_received_at) / SECOND
        if left_s > 0 or has_unread_input(self.transport):  # this side may be late, and not the backend
            self.stall_timer = self.owner.loop.call_later(max(left_s, 0.01), self._check_stall, attempt)
        elif not self.owner.ends_stalled(attempt):
            self.stall_timer = self.owner.loop.call_later(self._stall_timeout_s, self._check_stall, attempt)
        else:
            self.owner.on_abandon(attempt, AbandonReason.STALLED)
            self._on_invalid_response(attempt, "it stops short")

    def _take_early_response(self, now: int) -> Response | None:
        """A long answer's beginning, if its client need not wait for more of it.

        Some bytes must be there: a spoilt one that says to be long mostly stops soon, and can be made good.
        """
        body, response = self.parser.body, self.parser.response
        if body is None or response is None or body.received < MIN_EARLY_BODY:
            return None
        long = response.length is not None and response.length > MAX_BUFFERED_BODY
        return self.parser.take_response() if long or now - self.response_started_at > MAX_HOLD_NS else None

    def _on_streamed_response(self, attempt: Attempt, response: Response) -> None:
        """An answer that is longer than is held: its client gets it as it comes, and it is the answer."""
        assert self.owner.budget is not None
        if self.owner.wire.is_foreign(attempt, response):
            self._on_invalid_response(attempt, "it belongs to another request")
            return
        outcome, units = self.owner.wire.classify(attempt, response)
        if outcome is not Outcome.OK:  # nobody is given its body
            self.attempt = None
            self.close()
            self.owner.finish_attempt(attempt, outcome, response, units)
            return
        self._cancel_stall_timer()
        self.attempt, self.streamed_response, self.last_progress_at = None, response, self.owner.clock()
        self.deadline = attempt.deadline
        self.download = stream = BodyStream(self.owner.budget, self._pause, self.close)
        response.stream, attempt.exchange.passing = stream, True
        self.buffer.set_read_size(self.owner.budget.buffer_limit())
        self.owner.finish_attempt(attempt, outcome, response, units)
        if not stream.attached:
            stream.abandon()  # its client has gone, or has another answer
        elif self.download is stream:
            self._forward_body(stream)

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def is_stalled(self, now: int) -> bool:
        """Is a long body on it that the backend, and not the client, brings or takes no further?

        Before the client's time is over the backend's silence is no reason to end an answer.
        """
        waits = self.download is not None and not self.paused and now >= self.deadline
        waits = waits or self.upload is not None and self.write_blocked
        return waits and now - self.last_progress_at > BODY_STALL_NS

    def _pause(self, on: bool) -> None:
        self.paused, self.last_progress_at = on, self.owner.clock()
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def _forward_body(self, stream: BodyStream) -> None:
        try:
            while data := self.parser.read_body():
                stream.feed(data)
        except HttpError as error:
            say("backend", f"an answer that can't be read: {error}")
            self.close()
            return
        if self.parser.body_complete() and self.download is stream:
            self._finish_streaming(stream)

    def _finish_streaming(self, stream: BodyStream) -> None:
        """All of it has come."""
        response, self.streamed_response, self.download = self.streamed_response, None, None
        self.buffer.set_read_size(0)
        assert response is not None
        self._release(response)
        stream.finish()

    def _on_response(self, attempt: Attempt, response: Response) -> None:
        self._cancel_stall_timer()
        if self.owner.wire.is_foreign(attempt, response):
            self._on_invalid_response(attempt, "it belongs to another request")
            return
        self.attempt = None
        outcome, units = self.owner.wire.classify(attempt, response)
        self.keep_alive_ns = self.owner.wire.keep_alive_ns(response) or self.keep_alive_ns
        self._release(response)
        self.owner.finish_attempt(attempt, outcome, response, units)

    def _release(self, response: Response) -> None:
        """The connection has brought its answer and may take the next request."""
        self.responses += 1
        self.response_started_at = 0
        if self.upload is not None:  # it was answered before it was whole
            self.upload.abandon()
            self.upload = None
            self.request_unsent = True
        if response.closes_connection() or len(self.buffer) or self.request_unsent or self.has_surplus:
            self.close()
        elif self.transport is not None and not self.transport.is_closing():
            # What comes behind an answer would be read as the next one: a request must not meet it.
            if has_unread_input(self.transport):
                self.close()
            else:
                self.owner.on_connection_free(self)  # first: what the answer brings about may use it

    def eof_received(self) -> bool:
        response = self.parser.on_eof()
        if self.download is not None:
            if self.parser.body_complete():
                self.close()
                self._finish_streaming(self.download)
        elif self.attempt is not None and response is not None:
            self.close()
            self._on_response(self.attempt, response)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.pool.open_count -= 1
        self.transport = None
        self._cancel_stall_timer()
        attempt, self.attempt = self.attempt, None
        self.owner.on_connection_lost(self)
        if self.upload is not None:
            self.upload.abandon()
            self.upload = None
        if self.download is not None:
            self.download.fail()  # its client must see that it is not whole
            self.download = None
        if attempt is not None:
            self.owner.finish_attempt(attempt, self._lost_outcome())

    def _lost_outcome(self) -> Outcome:
        """How an attempt ended whose connection is gone; a body that its client broke off blames nobody."""
        if self.client_aborted:
            return Outcome.CANCELLED
        return Outcome.CONNECT_FAILED if self.request_unsent else self._broken_outcome()

    def _broken_outcome(self) -> Outcome:
        """How an attempt ended whose connection broke under it: a kept one that did so at once was stale."""
        now = self.owner.clock()
        if (
            self.last_received_at >= self.started_at
            or now - self.started_at > STALE_RESET_NS + self.connect_ns
        ):
            return Outcome.RESET
        if not self.responses:
            self.owner.stale_rates.record_first_use(True)
            return Outcome.RESET
        self.owner.stale_rates.record_reuse(self.started_at - self.idle_since, True)
        return Outcome.STALE

    def close(self) -> None:
        """Closes at once: what is out on it is given up."""
        if self.transport is not None:
            self.transport.abort()
