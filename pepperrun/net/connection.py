"""A connection to a backend: one request at a time and its response, with long bodies streamed both ways.

A long request body can be sent once only: it is consumed when its first attempt has a connection. A long
response becomes the final answer as soon as its streaming begins.
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
from pepperrun.log import log_message
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

SAFE_METHODS = (b"GET", b"HEAD")  # HTTP lets these requests be sent again
STALE_RESET_NS = SECOND // 100  # a stale connection is reset this soon after a request is written to it
MAX_BUFFERED_BODY = 64 * 1024  # bytes: up to here a response is buffered, so that a break can be retried
STREAMING_BUFFER_SIZE = MAX_HEAD + MAX_BUFFER_BYTES
MAX_HOLD_NS = SECOND // 5  # longest buffering of a slow response of unknown length
BODY_STALL_NS = 10 * SECOND  # a body that a backend stalls for this long ends, as a client's does
MIN_EARLY_BODY = 8 * 1024  # bytes of a long response that must arrive before it is streamed


def encode_request(request: Request, extra_headers: bytes) -> bytes:
    """Returns the request as sent to a backend; `extra_headers` are further header lines."""
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
        extra_headers,
        length,
        request.body if request.complete or request.length is not None else encode_chunk(request.body),
    )


ResponseClassifier = Callable[[Response], tuple[Outcome, float]]


class AbandonReason(enum.StrEnum):
    """Why the gatekeeper ended an attempt that had been written to its backend."""

    DECISION = "decision"  # the gateway decided it
    SUPERSEDED = "superseded"  # another attempt of the request has been answered
    CLIENT_LEFT = "client-left"  # no client waits for the response
    DEADLINE = "deadline"  # the client's or the route's deadline has passed
    STALLED = "stalled"  # the response began and then stalled


class Wire:
    """What a backend protocol adds to plain HTTP: here the platform's; others derive from it."""

    stall_timeout_s = 0.0  # a response that has begun may stall for this long; 0: the connect timeout
    unresponsive_ns = SECOND  # a backend that has sent nothing for this long after a request may be cut off
    max_response_body = MAX_STREAMED_BODY  # bytes of a streamed body
    user_timeout_ms = 0  # bytes or probes unacknowledged for this long end a connection; 0: system default

    def __init__(self, classifier: ResponseClassifier) -> None:
        self._classifier = classifier

    def encode(self, attempt: Attempt, remaining_ns: int) -> bytes | None:
        """Returns the request with the time that this attempt may take; None: it may no longer be sent."""
        return encode_request(attempt.exchange.request, b"X-Budget: %du\r\n" % max(1, remaining_ns // 1000))

    def classify(self, attempt: Attempt, response: Response) -> tuple[Outcome, float]:
        """Returns the attempt's outcome and its true units; 0 units where they are not known."""
        return self._classifier(response)

    def request_id(self, attempt: Attempt) -> object:
        """Returns the id that responses to this request bear; None where the protocol has no ids."""
        return None

    def is_surplus(self, connection: Connection, response: Response) -> bool:
        """Whether the response is a second one to an earlier request, received before the expected one."""
        return False

    def is_foreign(self, attempt: Attempt, response: Response) -> bool:
        """Whether the response belongs to another request or to none: the connection can't be reused."""
        return False

    def is_idempotent(self, attempt: Attempt) -> bool:
        """Whether the request may be sent again."""
        return attempt.exchange.request.method in SAFE_METHODS

    def keep_alive_ns(self, response: Response) -> int:
        """Returns how long the backend keeps the idle connection open; 0 where it does not say."""
        return 0


def enable_tcp_keepalive(sock: socket.socket, timeout_ms: int) -> None:
    """Lets the system end a connection whose peer machine has stopped acknowledging it."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, timeout_ms // 1000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Attempt:
    """An attempt that has not ended, with its connection once it has one."""

    __slots__ = ("backend", "connection", "deadline", "exchange", "failed_connects", "number", "timer")

    def __init__(self, exchange: Exchange[Request, Response], number: int, backend: int, deadline: int):
        self.exchange, self.number, self.backend, self.deadline = exchange, number, backend, deadline
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.failed_connects = 0


class Pool:
    """The connections to one backend at one address, and the attempts that wait for a connection."""

    __slots__ = ("address", "backend", "connecting", "idle", "open_count", "unanswered_since", "waiting")

    def __init__(self, backend: int, address: Address) -> None:
        self.backend, self.address = backend, address
        self.idle: list[Connection] = []
        self.waiting: deque[Attempt] = deque()
        self.connecting = self.open_count = 0
        self.unanswered_since = 0  # when the oldest request was sent after which nothing has arrived; 0: none


class ConnectionOwner(Protocol):
    """What a connection needs of its owner. `UpstreamClient` is one; a protocol avoids the import cycle."""

    loop: asyncio.AbstractEventLoop
    budget: MemoryBudget | None
    connect_timeout_s: float
    connections: set[Connection]
    requests_written: int
    stale_rates: StaleRates
    wire: Wire

    @property
    def clock(self) -> Callable[[], int]:
        """The monotonic clock, in ns."""
        ...

    @property
    def ends_stalled(self) -> Callable[[Attempt], bool]:
        """Whether to abandon an attempt whose response has begun and then stalled."""
        ...

    @property
    def on_abandon(self) -> Callable[[Attempt, AbandonReason], None]:
        """Called for each attempt that was written to its backend and is ended by the gatekeeper."""
        ...

    def on_connection_free(self, connection: Connection) -> None:
        """Called when a connection can take another attempt."""
        ...

    def on_connection_lost(self, connection: Connection) -> None:
        """Called when a connection has ended."""
        ...

    def on_request_sent(self, attempt: Attempt) -> None:
        """Called when the last byte of a streamed request has been written."""
        ...

    def finish_attempt(
        self, attempt: Attempt, outcome: Outcome, response: object = None, units: float = 0.0
    ) -> None:
        """Called when an attempt has ended."""
        ...


class Connection(asyncio.BufferedProtocol):
    """A connection to a backend: a BufferedProtocol that is also the sink of a streamed request body."""

    def __init__(self, owner: ConnectionOwner, pool: Pool, connect_ns: int = 0) -> None:
        self.owner, self.pool = owner, pool
        self.connect_ns = connect_ns  # how long it took to connect: a round trip
        self.transport: asyncio.Transport | None = None
        budget = owner.budget
        if budget is None:
            self.buffer = Buffer(RESPONSE_BUFFER_SIZE)
            self.parser = ResponseParser(self.buffer)
        else:
            self.buffer = Buffer(STREAMING_BUFFER_SIZE)
            self.parser = ResponseParser(self.buffer, owner.wire.max_response_body, MAX_BUFFERED_BODY)
        self.attempt: Attempt | None = None
        self.upload: BodyStream | None = None  # the rest of the request body
        self.chunked = False  # the request body is sent with chunked coding
        self.download: BodyStream | None = None  # the rest of the response body, which the client reads
        self.streamed_response: Response | None = None  # the response that is being streamed
        self.response_started_at = 0  # when the response's first byte arrived, ns; 0: not yet
        self.last_progress_at = 0  # when a streamed body last made progress, ns
        self.deadline = 0  # of the request whose response is being streamed, ns
        self.paused = False  # reading is paused: the client does not read the response now
        self.request_unsent = False  # the last byte of the request has not been written
        self.write_failed = False  # the connection had ended before any byte of the request was written
        self.client_aborted = False  # the client has left, so the rest of the request is never written
        self.idle_since = self.last_received_at = self.started_at = 0
        self.responses = 0  # complete responses so far
        self.keep_alive_ns = 0  # how long the backend keeps it open while idle; 0: not announced
        self.previous_request_id: object = None  # ids of the previous and the current request
        self.request_id: object = None
        # Input that no request asked for has arrived: no further request is sent here.
        self.has_surplus = False
        self.stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # reports at once whether all is written
        if self.owner.wire.user_timeout_ms and (sock := transport.get_extra_info("socket")) is not None:
            enable_tcp_keepalive(sock, self.owner.wire.user_timeout_ms)
        self.owner.connections.add(self)
        self.pool.open_count += 1
        self.pool.unanswered_since = 0
        self.owner.on_connection_free(self)

    def start(self, attempt: Attempt, now: int) -> bool:
        """Writes the attempt's request; returns False where it may no longer be sent."""
        assert self.transport is not None
        request = attempt.exchange.request
        if request.stream is not None and not request.stream.available:
            return False
        data = self.owner.wire.encode(
            attempt, attempt.deadline - now if request.complete else attempt.exchange.wait_after_body_ns
        )
        if data is None:
            return False
        self.attempt, attempt.connection = attempt, self
        self.started_at = now
        self.previous_request_id, self.request_id = self.request_id, self.owner.wire.request_id(attempt)
        self.pool.unanswered_since = self.pool.unanswered_since or now
        self.request_unsent, self.write_failed = not request.complete, False
        self.parser.bodiless = request.method == b"HEAD"
        self.transport.write(data)
        if self.transport.is_closing():
            self.request_unsent = self.write_failed = True
        elif request.stream is not None and not request.complete:
            self.upload, self.chunked, self.last_progress_at = request.stream, request.length is None, now
            attempt.exchange.body_consumed = True
            request.stream.attach(self)
            if self.write_blocked and self.upload is not None:
                self.upload.pause(True)
        elif not self.write_blocked:
            self.owner.requests_written += 1
        return True

    @property
    def write_blocked(self) -> bool:
        """Whether bytes that were written wait in the transport's buffer."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        self.request_unsent = True
        if self.upload is not None:
            self.upload.pause(True)

    def resume_writing(self) -> None:
        self.last_progress_at = self.owner.clock()
        if self.upload is not None:
            self.upload.pause(False)
        elif self.attempt is not None and self.attempt.exchange.request.complete:
            self.request_unsent = False
            self.owner.requests_written += 1

    # The sink of the rest of a request body.

    def write_body(self, data: bytes) -> None:
        """Writes the next bytes of the request body."""
        if self.transport is not None:
            self.transport.write(encode_chunk(data) if self.chunked else data)

    def finish_body(self) -> None:
        """Ends a request body that is complete: the backend's and the client's time count from here."""
        self.upload = None
        attempt, transport = self.attempt, self.transport
        if attempt is None or transport is None:
            return
        if self.chunked:
            transport.write(LAST_CHUNK)
        attempt.exchange.request.complete = True  # read by this connection only; the body is consumed
        if not self.write_blocked:
            self.request_unsent = False
            self.owner.requests_written += 1
        self.owner.on_request_sent(attempt)

    def abort_body(self) -> None:
        """Closes: the client has gone or sent invalid data, so the backend has no complete request."""
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
        if attempt is None:  # input that no request caused
            self.close()
            return
        self.response_started_at = self.response_started_at or now
        try:
            response = self.parser.next()
            if response is not None and response.complete and self.owner.wire.is_surplus(self, response):
                self.has_surplus = True  # the expected response may follow it
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
        """Ends the attempt as an error: the request may have run.

        Where the next response would begin is not known, so the connection closes.
        """
        log_message("backend", f"invalid response from a backend: {why}")
        self.attempt = None
        self.close()
        self.owner.finish_attempt(attempt, Outcome.ERROR)

    def _check_stall(self, attempt: Attempt) -> None:
        """Ends the attempt if its response has stalled.

        A response may announce more than it has; then only the client's deadline would end the attempt. One
        that brings nothing for the stall timeout will hardly be completed. `UpstreamClient.ends_stalled`
        decides whether the attempt ends for that.
        """
        self.stall_timer = None
        if self.attempt is not attempt or self.transport is None:
            return
        left_s = self._stall_timeout_s - (self.owner.clock() - self.last_received_at) / SECOND
        if left_s > 0 or has_unread_input(self.transport):  # the event loop may be late, and not the backend
            self.stall_timer = self.owner.loop.call_later(max(left_s, 0.01), self._check_stall, attempt)
        elif not self.owner.ends_stalled(attempt):
            self.stall_timer = self.owner.loop.call_later(self._stall_timeout_s, self._check_stall, attempt)
        else:
            self.owner.on_abandon(attempt, AbandonReason.STALLED)
            self._on_invalid_response(attempt, "the body stopped before its end")

    def _take_early_response(self, now: int) -> Response | None:
        """Returns the beginning of a long response once it can be streamed, else None.

        Some bytes must have arrived: a broken response that announces a long body mostly stops early, and can
        then still be retried.
        """
        body, response = self.parser.body, self.parser.response
        if body is None or response is None or body.received < MIN_EARLY_BODY:
            return None
        long = response.length is not None and response.length > MAX_BUFFERED_BODY
        return self.parser.take_response() if long or now - self.response_started_at > MAX_HOLD_NS else None

    def _on_streamed_response(self, attempt: Attempt, response: Response) -> None:
        """Streams a response that is too long to buffer; from here on it is the final answer."""
        assert self.owner.budget is not None
        if self.owner.wire.is_foreign(attempt, response):
            self._on_invalid_response(attempt, "the response belongs to another request")
            return
        outcome, units = self.owner.wire.classify(attempt, response)
        if outcome is not Outcome.OK:  # its body is not passed on
            self.attempt = None
            self.close()
            self.owner.finish_attempt(attempt, outcome, response, units)
            return
        self._cancel_stall_timer()
        self.attempt, self.streamed_response, self.last_progress_at = None, response, self.owner.clock()
        self.deadline = attempt.deadline
        self.download = stream = BodyStream(self.owner.budget, self._pause, self.close)
        response.stream, attempt.exchange.streaming = stream, True
        self.buffer.set_read_size(self.owner.budget.buffer_limit())
        self.owner.finish_attempt(attempt, outcome, response, units)
        if not stream.attached:
            stream.abandon()  # the client has gone or has another response
        elif self.download is stream:
            self._forward_body(stream)

    def _cancel_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def is_stalled(self, now: int) -> bool:
        """Whether a streamed body has stalled because of the backend and not of the client.

        Before the client's deadline a silent backend is no reason to end a response.
        """
        stalls = self.download is not None and not self.paused and now >= self.deadline
        stalls = stalls or self.upload is not None and self.write_blocked
        return stalls and now - self.last_progress_at > BODY_STALL_NS

    def _pause(self, on: bool) -> None:
        self.paused, self.last_progress_at = on, self.owner.clock()
        if self.transport is not None and not self.transport.is_closing():
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def _forward_body(self, stream: BodyStream) -> None:
        try:
            while data := self.parser.read_body():
                stream.feed(data)
        except HttpError as error:
            log_message("backend", f"invalid response from a backend: {error}")
            self.close()
            return
        if self.parser.body_complete() and self.download is stream:
            self._finish_streaming(stream)

    def _finish_streaming(self, stream: BodyStream) -> None:
        """Ends a streamed response that is complete."""
        response, self.streamed_response, self.download = self.streamed_response, None, None
        self.buffer.set_read_size(0)
        if self.paused:
            self._pause(False)  # by the client of this response: the next one must be read all the same
        assert response is not None
        self._release(response)
        stream.finish()

    def _on_response(self, attempt: Attempt, response: Response) -> None:
        self._cancel_stall_timer()
        if self.owner.wire.is_foreign(attempt, response):
            self._on_invalid_response(attempt, "the response belongs to another request")
            return
        self.attempt = None
        outcome, units = self.owner.wire.classify(attempt, response)
        self.keep_alive_ns = self.owner.wire.keep_alive_ns(response) or self.keep_alive_ns
        self._release(response)
        self.owner.finish_attempt(attempt, outcome, response, units)

    def _release(self, response: Response) -> None:
        """Ends the use for one request: the connection takes the next one or closes."""
        self.responses += 1
        self.response_started_at = 0
        if self.upload is not None:  # the response came before the request was complete
            self.upload.abandon()
            self.upload = None
            self.request_unsent = True
        if response.closes_connection() or len(self.buffer) or self.request_unsent or self.has_surplus:
            self.close()
        elif self.transport is not None and not self.transport.is_closing():
            # Input behind a response would be read as the next one, so no request may be sent here.
            if has_unread_input(self.transport):
                self.close()
            else:
                # Before the attempt ends: a request sent because of this response may use the connection.
                self.owner.on_connection_free(self)

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
            self.download.fail()  # the client must see that the body is incomplete
            self.download = None
        if attempt is not None:
            self.owner.finish_attempt(attempt, self._lost_outcome())

    def _lost_outcome(self) -> Outcome:
        """Returns the outcome of an attempt whose connection ended; a client that left blames no backend.

        A backend may run a request before it has read the whole body. So only a request of which nothing was
        written has certainly not run.
        """
        if self.client_aborted:
            return Outcome.CANCELLED
        return Outcome.CONNECT_FAILED if self.write_failed else self._broken_outcome()

    def _broken_outcome(self) -> Outcome:
        """Returns the outcome for a connection that broke; a reused one that broke at once was stale."""
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
        """Closes at once: a request in flight is abandoned."""
        if self.transport is not None:
            self.transport.abort()
