"""A client's connection as the owners of many connections see it: its state, its end and its hand-over.

The listener ends connections that are silent or stalled. Parking replaces idle ones by records. Another
process of the same gatekeeper may take them over.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

from pepperrun.core.clock import SECOND
from pepperrun.exchange import Exchange
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.net.buffer import Buffer, has_unread_input
from pepperrun.net.http1 import (
    MAX_REQUEST_BODY,
    MAX_STREAMED_BODY,
    REQUEST_BUFFER_SIZE,
    Request,
    RequestParser,
)
from pepperrun.net.listener import CROWDED_IDLE_TIMEOUT_NS, ConnectionSnapshot, Listener
from pepperrun.net.stream import BodyStream, MemoryBudget

WRITE_TIMEOUT_NS = 10 * SECOND  # for a client to take written output
LINGER_TIMEOUT_NS = 4 * SECOND  # for a client to read why its request was rejected while it sends the rest
BODY_PROGRESS_TIMEOUT_NS = SECOND  # a body without input for this long has stalled
MIN_BODY_BYTES_PER_S = 32 * 1024  # half of what slow clients send at
NEW_CONNECTION_GRACE_NS = SECOND // 4  # for a first request, before a new connection may be evicted
MAX_PARKED_BYTES = 2048  # of a partial request with which a connection can be parked
Submission = tuple[Gatekeeper, Exchange[Any, Any]]  # an exchange and the gatekeeper to submit it to


class ClientConnection(asyncio.BufferedProtocol):
    """The state of a client's connection; `HttpConnection` adds the protocol. Times are in ns."""

    def __init__(
        self, listener: Listener, clock: Callable[[], int], budget: MemoryBudget | None = None
    ) -> None:
        self.listener, self.clock, self.budget = listener, clock, budget
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer(REQUEST_BUFFER_SIZE)
        if budget is None:
            self.parser = RequestParser(self.buffer)
        else:
            self.parser = RequestParser(self.buffer, MAX_STREAMED_BODY, MAX_REQUEST_BODY)
        self.upload: BodyStream | None = None  # the rest of a request's body, which a backend reads
        self.download: BodyStream | None = None  # the rest of a response's body
        self.chunked = self.close_after_body = False  # of the download: its framing, and what follows it
        self.answering: Submission | None = None  # whose response is being written
        self.deadline_timer: asyncio.TimerHandle | None = (
            None  # from the last byte of a streamed request body
        )
        self.paused_at = 0
        self.head_read_at = 0  # when the head of a request was read whose body is still arriving
        self.pending: Submission | None = None  # the exchange without a final answer
        self.request: Request | None = None
        self.connected_at = self.last_used_at = 0
        self.write_blocked_at: int | None = None  # since when output waits for the client
        self.response_count = self.exchange_count = self.discarded_bytes = 0
        # `exchange_count` leaves out requests that were answered without an exchange.
        self.requests_paused = False  # not reading: another process is to take the connection over
        self.reading_paused = self.closing = self.lingering = False
        self.parked = False  # the connection lives on without this object
        self.fd = -1  # set by an owner that indexes connections by descriptor
        # When a parked connection received input; 0 once that is read or for one that was not parked.
        self.readable_at = 0

    # For the listener.

    def is_busy(self) -> bool:
        """Whether a request, complete or partial, or an unwritten response is on the connection."""
        if self.lingering:
            return self.has_unwritten_output()
        response_owed = self.pending is not None or self.download is not None or self.has_unwritten_output()
        return response_owed or self.has_partial_request() or self.readable_at > 0

    def never_answered(self) -> bool:
        """Whether the connection has had no response yet."""
        return self.response_count == 0

    def has_partial_request(self) -> bool:
        """Whether a part of a request has arrived."""
        return self.parser.request is not None or self.upload is not None or len(self.buffer) > 0

    def expires_at(self, crowded: bool) -> int | None:
        """Returns when the connection ends if nothing more happens on it; None while a response is owed."""
        if self.lingering:
            return self.last_used_at + (
                WRITE_TIMEOUT_NS if self.has_unwritten_output() else LINGER_TIMEOUT_NS
            )
        if self.write_blocked_at is not None:
            return self.write_blocked_at + WRITE_TIMEOUT_NS
        if self.upload is not None and not self.reading_paused:
            return self._body_stalled_at()
        if self.pending is not None or self.download is not None:
            return None
        if self.has_unwritten_output():
            return self.last_used_at + WRITE_TIMEOUT_NS
        times = self.listener.timeouts
        if self.parser.request is not None:  # its body is still arriving
            started_at = (
                self.connected_at
                if self.never_answered() and times.request_from_connect
                else self.buffer.first_byte_at
            )
            return max(started_at + times.request_ns, self._body_stalled_at())
        if self.never_answered() and not self.has_partial_request():
            return self.connected_at + times.first_byte_ns
        if self.never_answered() and times.request_from_connect:
            return self.connected_at + times.request_ns
        if self.has_partial_request():
            return self.buffer.first_byte_at + times.request_ns
        return self.last_used_at + (times.crowded_idle_ns if crowded else times.idle_ns)

    def _body_stalled_at(self) -> int:
        """Returns when a body that makes no progress, or too little, ends its connection."""
        body = self.parser.body
        received = body.received if body is not None else 0
        return min(
            self.buffer.last_byte_at + BODY_PROGRESS_TIMEOUT_NS,
            self.head_read_at + BODY_PROGRESS_TIMEOUT_NS + received * SECOND // MIN_BODY_BYTES_PER_S,
        )

    def eviction_rank(self, now: int) -> tuple[int, int] | None:
        """Returns the rank for eviction in favour of a new connection, smallest first; None: not at all.

        The first number is 0 for a connection whose client would not notice its end, such as one that has
        only asked for readiness. Clients that have sent a second request are the likeliest to send another,
        so their connections are evicted last.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or not self.lingering and self.is_busy():
            return None
        if self.never_answered():  # a late loop may not have read input that arrived long ago
            silent = now - self.connected_at >= NEW_CONNECTION_GRACE_NS and not has_unread_input(transport)
            return (0, self.connected_at) if silent else None
        if self.lingering:
            return (0, self.last_used_at) if now - self.last_used_at >= NEW_CONNECTION_GRACE_NS else None
        if not self.exchange_count or now - self.last_used_at >= CROWDED_IDLE_TIMEOUT_NS:
            return 0, self.last_used_at
        return (1 if self.exchange_count == 1 else 2), self.last_used_at

    def has_unwritten_output(self) -> bool:
        """Whether a part of a response has not been taken by the client yet."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    # For parking and hand-over.

    def idle_since(self, max_buffered: int = MAX_PARKED_BYTES) -> int | None:
        """Returns since when the connection is silent; None if it has state that a snapshot does not hold."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.pending is not None or self.closing:
            return None
        if self.download is not None or self.upload is not None:
            return None
        if (
            self.readable_at
            or self.reading_paused
            or self.write_blocked_at is not None
            or self.parser.request is not None
        ):
            return None
        if self.has_unwritten_output() or len(self.buffer) > max_buffered:
            return None
        return self.buffer.last_byte_at if len(self.buffer) else self.last_used_at

    def snapshot(self) -> ConnectionSnapshot:
        """Returns the state that outlives this object; `ConnectionSnapshot` lists its fields."""
        buffered = self.buffer.peek(len(self.buffer))
        return (
            self.response_count,
            self.exchange_count,
            self.last_used_at,
            buffered,
            self.buffer.first_byte_at if buffered else 0,
        )

    def park(self) -> None:
        """Closes the transport; the connection lives on in a copy of its descriptor."""
        transport, self.transport = self.transport, None
        self.parked = True
        self.listener.release(self)
        if transport is not None:
            transport.abort()

    def pause_requests(self, on: bool) -> None:
        """Stops reading further requests (`on`) until the connection is handed over, or starts again.

        A request that has begun is not interrupted.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or on == self.requests_paused:
            return
        if on and (self.pending is not None or self.parser.request is not None or self.download is not None):
            return
        self.requests_paused = on
        if on:
            transport.pause_reading()
        elif not self.reading_paused:
            transport.resume_reading()
            self.resume()

    def hand_over(self, max_buffered: int) -> tuple[ConnectionSnapshot, int] | None:
        """Parks the connection for another process; returns its state and a copy of its descriptor.

        None, without effect, while a response is owed or the state does not fit a snapshot.
        """
        if self.lingering or self.idle_since(max_buffered) is None or self.transport is None:
            return None
        try:
            fd = os.dup(self.transport.get_extra_info("socket").fileno())
        except OSError:
            return None
        snapshot = self.snapshot()
        self.park()
        return snapshot, fd

    def restore(self, snapshot: ConnectionSnapshot, readable_at: int) -> None:
        """Restores the state of a snapshot. Input has waited since `readable_at`, 0 for none."""
        self.response_count, self.exchange_count, self.last_used_at, buffered, first_byte_at = snapshot
        self.connected_at, self.readable_at = self.last_used_at, readable_at
        if buffered:
            self.buffer.add(buffered, first_byte_at)

    def resume(self) -> None:
        """Handles the buffered input."""
        raise NotImplementedError

    def expire(self) -> None:
        """Ends a connection whose time-out has passed."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the connection. Written output is still sent, unless the client does not take it."""
        raise NotImplementedError
