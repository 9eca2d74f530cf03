"""A client's connection as those see it who look after many: what it owes, when it ends, and how it moves on.

The listener ends connections that are silent or stand still; a lot parks them as records; another process of
the same gatekeeper may take them over.
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

WRITE_TIMEOUT_NS = 10 * SECOND  # for taking an answer
LINGER_TIMEOUT_NS = 4 * SECOND  # for reading why a request can't be read, beside sending the rest of it
BODY_PROGRESS_TIMEOUT_NS = SECOND  # a body of which nothing has come for so long is not under way
MIN_BODY_BYTES_PER_S = 32 * 1024  # bytes a second: half of what slow clients send at
NEW_CONNECTION_GRACE_NS = SECOND // 4  # a new connection has this long to ask before it gives way to others
MAX_PARKED_BYTES = 2048  # bytes of a part of a request with which a connection can be parked
Submission = tuple[Gatekeeper, Exchange[Any, Any]]  # an exchange and who is to take it


class ClientConnection(asyncio.BufferedProtocol):
    """What a client's connection is; `HttpConnection` adds what it does."""

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
        self.upload: BodyStream | None = None  # the rest of a request's body, which its backend takes
        self.download: BodyStream | None = None  # the rest of an answer's body
        self.chunked = self.last_one = False  # how it goes out, and whether the connection ends after it
        self.answering: Submission | None = None  # whose answer it is
        self.patience: asyncio.TimerHandle | None = None  # for a request whose time began with its last byte
        self.paused_at = 0
        self.head_at = 0  # when the head of a request whose body is coming was read
        self.pending: Submission | None = None  # the exchange that has no answer yet
        self.request: Request | None = None
        self.made = self.since = 0  # when it was connected, when it was last used
        self.write_blocked_at: int | None = None  # since when the client has not taken what was written
        self.answers = self.asked = self.dropped = 0  # `asked`: requests that became exchanges
        self.held = False  # what comes is not read now: another process is to take the connection
        self.paused = self.closing = self.lingering = False
        self.parked = False  # another keeps its connection
        self.fd = -1  # for who keeps connections by descriptor
        self.woken = 0  # when it spoke, for one that is taken up again; 0 once that is read

    # For the listener.

    def is_busy(self) -> bool:
        """Is a request on it, whole or in part, or an answer not yet written?"""
        if self.lingering:
            return self.unwritten()
        owes = self.pending is not None or self.download is not None or self.unwritten()
        return owes or self.has_partial_request() or self.woken > 0

    def never_answered(self) -> bool:
        """Has it had no answer yet?"""
        return self.answers == 0

    def has_partial_request(self) -> bool:
        """Has a part of a request come?"""
        return self.parser.request is not None or self.upload is not None or len(self.buffer) > 0

    def expires_at(self, crowded: bool) -> int | None:
        """When the connection ends if nothing more happens on it; None while an answer is owed."""
        if self.lingering:
            return self.since + (WRITE_TIMEOUT_NS if self.unwritten() else LINGER_TIMEOUT_NS)
        if self.write_blocked_at is not None:
            return self.write_blocked_at + WRITE_TIMEOUT_NS
        if self.upload is not None and not self.paused:
            return self._body_stalled_at()
        if self.pending is not None or self.download is not None:
            return None
        if self.unwritten():
            return self.since + WRITE_TIMEOUT_NS
        times = self.listener.timeouts
        if self.parser.request is not None:  # its body is on its way
            begun = (
                self.made
                if self.never_answered() and times.request_from_connect
                else self.buffer.first_byte_at
            )
            return max(begun + times.request_ns, self._body_stalled_at())
        if self.never_answered() and not self.has_partial_request():
            return self.made + times.first_byte_ns
        if self.never_answered() and times.request_from_connect:
            return self.made + times.request_ns
        if self.has_partial_request():
            return self.buffer.first_byte_at + times.request_ns
        return self.since + (times.crowded_idle_ns if crowded else times.idle_ns)

    def _body_stalled_at(self) -> int:
        """When a body that comes no further, or hardly, ends its connection."""
        body = self.parser.body
        got = body.received if body is not None else 0
        return min(
            self.buffer.last_byte_at + BODY_PROGRESS_TIMEOUT_NS,
            self.head_at + BODY_PROGRESS_TIMEOUT_NS + got * SECOND // MIN_BODY_BYTES_PER_S,
        )

    def eviction_rank(self, now: int) -> tuple[int, int] | None:
        """How readily it gives way to a new connection; None: not at all.

        Nobody misses one that has only asked whether this gatekeeper is ready, and stays. Of the others those
        that have come back with a second request are the likeliest to come again.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or not self.lingering and self.is_busy():
            return None
        if self.never_answered():  # a loop that is late has not read yet what has come long ago
            silent = now - self.made >= NEW_CONNECTION_GRACE_NS and not has_unread_input(transport)
            return (0, self.made) if silent else None
        if self.lingering:
            return (0, self.since) if now - self.since >= NEW_CONNECTION_GRACE_NS else None
        if not self.asked or now - self.since >= CROWDED_IDLE_TIMEOUT_NS:
            return 0, self.since
        return (1 if self.asked == 1 else 2), self.since

    def unwritten(self) -> bool:
        """Is a part of an answer not yet taken?"""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    # For who parks connections.

    def idle_since(self, most_held: int = MAX_PARKED_BYTES) -> int | None:
        """Since when it has said nothing; None where parking would lose more."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.pending is not None or self.closing:
            return None
        if self.download is not None or self.upload is not None:
            return None
        if self.woken or self.paused or self.write_blocked_at is not None or self.parser.request is not None:
            return None
        if self.unwritten() or len(self.buffer) > most_held:
            return None
        return self.buffer.last_byte_at if len(self.buffer) else self.since

    def snapshot(self) -> ConnectionSnapshot:
        """What outlasts the object: answers, exchanges, last use, a part of a request and when it began."""
        held = self.buffer.peek(len(self.buffer))
        return self.answers, self.asked, self.since, held, self.buffer.first_byte_at if held else 0

    def park(self) -> None:
        """Gives up the transport, whose connection lives on in a copy of its descriptor."""
        transport, self.transport = self.transport, None
        self.parked = True
        self.listener.release(self)
        if transport is not None:
            transport.abort()

    def pause_requests(self, on: bool) -> None:
        """Reads no next request until another process has the connection, or reads on."""
        transport = self.transport
        if transport is None or transport.is_closing() or on == self.held:
            return
        if on and (self.pending is not None or self.parser.request is not None or self.download is not None):
            return  # what has begun goes on
        self.held = on
        if on:
            transport.pause_reading()
        elif not self.paused:
            transport.resume_reading()
            self.resume()

    def hand_over(self, max_buffered: int) -> tuple[ConnectionSnapshot, int] | None:
        """What it is and a copy of its descriptor, for another process; None while it owes an answer."""
        if self.lingering or self.idle_since(max_buffered) is None or self.transport is None:
            return None
        try:
            fd = os.dup(self.transport.get_extra_info("socket").fileno())
        except OSError:
            return None
        snapshot = self.snapshot()
        self.park()
        return snapshot, fd

    def restore(self, snapshot: ConnectionSnapshot, woken: int) -> None:
        """Goes on as the connection was; it has spoken at `woken`."""
        self.answers, self.asked, self.since, held, held_at = snapshot
        self.made, self.woken = self.since, woken
        if held:
            self.buffer.add(held, held_at)

    def resume(self) -> None:
        """Reads what is held of it."""
        raise NotImplementedError

    def expire(self) -> None:
        """Its time is up."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes; what is written still goes out, unless the client does not take it."""
        raise NotImplementedError
