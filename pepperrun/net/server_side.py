"""Connections to backends: pools, attempts and their outcomes.

An attempt goes out once on one connection and is never sent again from here, not even when a kept connection
turns out stale. One request at a time travels on a connection. Long bodies pass through in pieces, both ways:
a request's is spent once its first attempt has a connection, an answer's is the answer once it has begun.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from typing import Any

from pepperrun.clock import SECOND
from pepperrun.config import Address
from pepperrun.exchange import Exchange
from pepperrun.interface import Outcome
from pepperrun.log import say
from pepperrun.net.buffer import Buffer, unread
from pepperrun.net.directory import Directory
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

SILENT_NS = SECOND  # a backend that has been asked and said nothing for so long may have been cut off
STALE_NS = SECOND // 100  # a kept connection that was no longer one breaks this soon under a request
CONNECTS = 3  # that are accepted and reset in a row: nothing has been written, so another one is tried
STALE_MOST = 0.2  # of kept connections as long idle: past this they are not used again
STALE_UNSAFE = 0.03  # the same for a request that may not simply be sent anew
FADE = 0.97  # in each sweep: what was learnt is tried again
IDLE_PART = 0.8  # of the time after which the other side closes an idle connection: closed here before
SWEEP_S = 1.0
HELD = 64 * 1024  # bytes of an answer up to which it is held whole, so that a break can be made good
PIECES_ROOM = MAX_HEAD + MOST
HOLD_NS = SECOND // 5  # one whose length is not told, and that comes slowly, is not held for more than this
SURE = 8 * 1024  # bytes of a long answer that are awaited before it is the answer
SAFE = (b"GET", b"HEAD")  # to send again, by HTTP's own word

Ended = Callable[[Exchange[Any, Any], int, int, Outcome, object, float], None]
Judge = Callable[[Response], tuple[Outcome, float]]


_UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?\Z")


def platform_judge(most_units: float) -> Judge:
    """The platform's table of outcomes, and the true units of a good answer; 0 where they are not known.

    A figure that can't be read, or is more than any request counts, is not taken for a true one: it would be
    charged to the customer.
    """

    def judge(response: Response) -> tuple[Outcome, float]:
        if response.status == 200:
            told = response.names.get(b"x-units-charged", b"")
            units = float(told) if _UNITS.match(told) else 0.0
            return Outcome.OK, units if units <= most_units else 0.0
        # Only with this mark does a 503 or 504 prove that the request was turned away unseen.
        if response.status in (503, 504) and response.names.get(b"x-rejected") == b"1":
            return Outcome.FULL, 0.0
        return Outcome.ERROR, 0.0

    return judge


def write_request(request: Request, timeout_ns: int) -> bytes:
    """The request as a backend reads it, with the time that this attempt will be waited for."""
    if request.whole:
        length = b"Content-Length: %d\r\n" % len(request.body) if request.body else b""
        if not length and request.method not in (b"GET", b"HEAD"):
            length = b"Content-Length: 0\r\n"
    elif request.length is None:
        length = b"Transfer-Encoding: chunked\r\n"
    else:
        length = b"Content-Length: %d\r\n" % request.length
    return b"%b %b HTTP/1.1\r\n%bX-Budget: %du\r\n%b\r\n%b" % (
        request.method,
        request.target,
        write_fields(request.fields),
        max(1, timeout_ns // 1000),
        length,
        request.body if request.whole or request.length is not None else chunk(request.body),
    )


class Wear:
    """How often kept connections turned out to be stale, by how long they had been idle.

    Backends, and machines between, close idle connections earlier than they say, and may not tell of it.
    """

    UNIT = 8_000_000  # each step is twice as long as the one before

    def __init__(self) -> None:
        self.shares = [0.0] * 16
        self.new = 0.0  # the same of new connections, under their first request

    def _step(self, idle_ns: int) -> int:
        return min(len(self.shares) - 1, (idle_ns // self.UNIT).bit_length())

    def saw(self, idle_ns: int, stale: bool) -> None:
        """One was used that had been idle for so long."""
        step = self._step(idle_ns)
        self.shares[step] += (stale - self.shares[step]) / 10

    def saw_new(self, broke: bool) -> None:
        """A new one was used."""
        self.new += (broke - self.new) / 10

    def trusted(self, idle_ns: int, most: float) -> bool:
        """Is the share of stale ones among those idle for so long, or less, at most this?

        Or no more than that of new ones that break: these would do no better.
        """
        return max(self.shares[: self._step(idle_ns) + 1]) <= max(most, self.new)

    def fade(self) -> None:
        """Forgets a little."""
        self.shares, self.new = [share * FADE for share in self.shares], self.new * FADE


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

    __slots__ = ("address", "asked_at", "backend", "idle", "opening", "waiting")

    def __init__(self, backend: int, address: Address) -> None:
        self.backend, self.address = backend, address
        self.idle: list[Connection] = []
        self.waiting: deque[Attempt] = deque()
        self.opening = 0
        self.asked_at = 0  # when the first request went out that nothing has been heard since; 0: none


class Connection(asyncio.BufferedProtocol):
    """A connection to a backend."""

    def __init__(self, side: ServerSide, pool: Pool) -> None:
        self.side, self.pool = side, pool
        self.transport: asyncio.Transport | None = None
        budget = side.budget
        if budget is None:
            self.buffer = Buffer(ANSWER_ROOM)
            self.parser = ResponseParser(self.buffer)
        else:
            self.buffer = Buffer(PIECES_ROOM)
            self.parser = ResponseParser(self.buffer, MOST_BODY, HELD)
        self.attempt: Attempt | None = None
        self.upload: Stream | None = None  # the rest of the request's body
        self.chunked = False  # it goes out in chunks
        self.download: Stream | None = None  # the rest of the answer's body, which its client takes
        self.last: Response | None = None  # the answer that passes through
        self.head_at = 0  # when the answer's first byte came
        self.unsent = False  # the last byte of the request is not yet written
        self.idle_since = self.heard_at = self.started_at = 0
        self.served = 0  # answers so far
        self.watched: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # told at once whether all is written
        self.side.connections.add(self)
        self.pool.asked_at = 0
        self.side.free(self)

    def start(self, attempt: Attempt, now: int) -> None:
        """Writes the attempt's request."""
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.started_at = now
        self.pool.asked_at = self.pool.asked_at or now
        asked = attempt.exchange.asked
        self.unsent = not asked.whole
        left_ns = attempt.deadline - now if asked.whole else attempt.exchange.patience
        self.transport.write(write_request(asked, left_ns))
        if self.transport.is_closing():
            self.unsent = True  # the write itself failed: nothing has gone out
        elif asked.stream is not None and not asked.whole:
            self.upload, self.chunked = asked.stream, asked.length is None
            attempt.exchange.spent = True
            asked.stream.open(self)
            if self.blocked and self.upload is not None:
                self.upload.hold(True)
        elif not self.blocked:
            self.side.written += 1

    @property
    def blocked(self) -> bool:
        """Has the system not taken all that was written?"""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def pause_writing(self) -> None:
        self.unsent = True
        if self.upload is not None:
            self.upload.hold(True)

    def resume_writing(self) -> None:
        if self.upload is not None:
            self.upload.hold(False)
        elif self.attempt is not None and self.attempt.exchange.asked.whole:
            self.unsent = False
            self.side.written += 1

    # The rest of a request's body, as its client sends it.

    def more(self, data: bytes) -> None:
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
        self.upload = None
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
            self._pass_on(self.download)
            return
        attempt = self.attempt
        if attempt is None:  # nothing was asked
            self.close()
            return
        self.head_at = self.head_at or now
        try:
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
            self.watched = self.side.loop.call_later(self.side.connect_s, self._stalled, attempt)

    def _spoilt(self, attempt: Attempt, why: str) -> None:
        """It may have run. Where a next answer would begin is not known: the connection is of no use."""
        say("backend", f"an answer that can't be read: {why}")
        self.attempt = None
        self.close()
        self.side.end(attempt, Outcome.ERROR)

    def _stalled(self, attempt: Attempt) -> None:
        """An answer may say that it is longer than it is, and nothing ends then but the client's patience.

        One that brings nothing more for as long as a connection may take to come up will not become whole.
        """
        self.watched = None
        if self.attempt is not attempt or self.transport is None:
            return
        left_s = self.side.connect_s - (self.side.clock() - self.heard_at) / SECOND
        if left_s > 0 or unread(self.transport):  # this side may be late, and not the backend
            self.watched = self.side.loop.call_later(max(left_s, 0.01), self._stalled, attempt)
        else:
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
        outcome, units = self.side.judge(response)
        if outcome is not Outcome.OK:  # nobody is given its body
            self.attempt = None
            self.close()
            self.side.end(attempt, outcome, response, units)
            return
        self._unwatch()
        self.attempt, self.last = None, response
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

    def _pause(self, on: bool) -> None:
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
        self.attempt = None
        self._unwatch()
        self._release(response)
        outcome, units = self.side.judge(response)
        self.side.end(attempt, outcome, response, units)

    def _release(self, response: Response) -> None:
        """The connection has brought its answer and may take the next request."""
        self.served += 1
        self.head_at = 0
        if self.upload is not None:  # it was answered before it was whole
            self.upload.drop()
            self.upload = None
            self.unsent = True
        if response.close() or len(self.buffer) or self.unsent:
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
            self.side.end(attempt, Outcome.CONNECT_FAILED if self.unsent else self._broke())

    def _broke(self) -> Outcome:
        """How an attempt ended whose connection broke under it: a kept one that did so at once was stale."""
        now = self.side.clock()
        if self.heard_at >= self.started_at or now - self.started_at > STALE_NS:
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


class ServerSide:
    """Carries out attempts at the backends of a directory."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        directory: Directory,
        ended: Ended,
        judge: Judge,
        most: int,
        keepalive_ns: int,
        connect_timeout_ns: int,
        budget: Budget | None = None,
    ) -> None:
        self.budget = budget  # for long answers; None: all are held whole
        self.loop, self.clock, self.directory = loop, clock, directory
        self.ended, self.judge, self.most = ended, judge, most
        self.idle_ns, self.connect_s = int(keepalive_ns * IDLE_PART), connect_timeout_ns / SECOND
        self.pools: dict[int, Pool] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[Connection] = set()
        self.opening: set[asyncio.Task[None]] = set()
        self.opened = self.written = 0  # connections, and attempts written whole
        self.wear = Wear()
        self.retired = False  # another process of this gatekeeper has connections of its own
        self.sweeper = loop.call_later(SWEEP_S, self._sweep)

    # What the gatekeeper asks for.

    def send(self, exchange: Exchange[Any, Any], number: int, backend: int, timeout_ns: int) -> None:
        """Starts an attempt. Its end is told later, never from within this call."""
        now = self.clock()
        attempt = Attempt(exchange, number, backend, now + timeout_ns)
        self.attempts[exchange.id, number] = attempt
        pool = self._pool(backend)
        if pool is None:
            self.loop.call_soon(self.end, attempt, Outcome.CONNECT_FAILED)
            return
        attempt.timer = self.loop.call_later(timeout_ns / SECOND, self._late, attempt)
        if pool.asked_at and now - pool.asked_at > SILENT_NS:
            # A machine that is cut off says nothing, and once it is back its old connections may stay silent:
            # a new connection tells within its time-out, a kept one only at the client's deadline.
            self.close_idle(backend)
        safe = exchange.asked.method in SAFE
        while pool.idle:
            connection = pool.idle[-1]
            if not self._fit(connection, now):
                pool.idle.pop().close()
            elif safe or self.wear.trusted(now - connection.idle_since, STALE_UNSAFE):
                pool.idle.pop()
                connection.start(attempt, now)
                return
            else:
                break
        pool.waiting.append(attempt)
        self._open(backend, pool)

    def cancel(self, exchange: Exchange[Any, Any], number: int) -> None:
        """Gives an attempt up: its connection closes."""
        if (attempt := self.attempts.get((exchange.id, number))) is not None:
            self._give_up(attempt, Outcome.CANCELLED)

    def close_idle(self, backend: int) -> None:
        """Closes the idle connections to a backend."""
        if (pool := self.pools.get(backend)) is not None:
            for connection in pool.idle:
                connection.close()
            pool.idle.clear()

    def retire(self, on: bool) -> None:
        """Keeps no idle connection from now on, or again."""
        self.retired = on
        for backend in list(self.pools) if on else ():
            self.close_idle(backend)

    def listed(self) -> None:
        """The list has changed: what waits for a backend no longer wanted ends."""
        for backend, pool in list(self.pools.items()):
            if self.directory.address(backend) is not None:
                continue
            self.close_idle(backend)
            while pool.waiting:
                self.end(pool.waiting[0], Outcome.CONNECT_FAILED)
            if not self.directory.listed(backend):
                del self.pools[backend]

    # Attempts.

    def end(self, attempt: Attempt, outcome: Outcome, given: object = None, units: float = 0.0) -> None:
        """An attempt has ended; only the first end counts."""
        if self.attempts.get((attempt.exchange.id, attempt.number)) is not attempt:
            return
        del self.attempts[attempt.exchange.id, attempt.number]
        if attempt.timer is not None:
            attempt.timer.cancel()
        pool = self.pools.get(attempt.backend) if attempt.connection is None else None
        if pool is not None and attempt in pool.waiting:
            pool.waiting.remove(attempt)
        self.ended(attempt.exchange, attempt.number, attempt.backend, outcome, given, units)

    def sent_whole(self, attempt: Attempt) -> None:
        """The last byte of a long request has gone out: its attempt began now, and has the client's time."""
        now, exchange = self.clock(), attempt.exchange
        exchange.attempts[attempt.number] = now
        attempt.deadline = min(attempt.deadline, now + exchange.patience)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = self.loop.call_later((attempt.deadline - now) / SECOND, self._late, attempt)

    def _late(self, attempt: Attempt) -> None:
        early = attempt.deadline - self.clock()
        if early > 0:
            attempt.timer = self.loop.call_later(early / SECOND, self._late, attempt)
            return
        # One that never got a connection has proved that it did not run.
        self._give_up(attempt, Outcome.TIMEOUT if attempt.connection is not None else Outcome.CONNECT_FAILED)

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        if (connection := attempt.connection) is not None:
            connection.attempt = None
            connection.close()
        self.end(attempt, outcome)

    # Connections.

    def _pool(self, backend: int) -> Pool | None:
        address = self.directory.address(backend)
        if address is None:
            return None
        pool = self.pools.get(backend)
        if pool is None or pool.address != address:
            if pool is not None:
                self.close_idle(backend)
                for attempt in pool.waiting:
                    self.loop.call_soon(self.end, attempt, Outcome.CONNECT_FAILED)
            pool = self.pools[backend] = Pool(backend, address)
        return pool

    def _fit(self, connection: Connection, now: int) -> bool:
        transport = connection.transport
        idle_ns = now - connection.idle_since
        if transport is None or transport.is_closing() or idle_ns >= self.idle_ns:
            return False
        if not self.wear.trusted(idle_ns, STALE_MOST):
            return False
        # Bytes that nothing was asked for, or an end that has not been read: neither takes a request.
        return not unread(transport)

    def free(self, connection: Connection) -> None:
        """A connection can take the next attempt that waits, or is idle."""
        pool, now = connection.pool, self.clock()
        connection.idle_since = now
        while pool.waiting:
            attempt = pool.waiting.popleft()
            # It may have waited for this connection while the list came to call the backend draining or gone.
            if self.directory.address(pool.backend) == pool.address:
                connection.start(attempt, now)
                return
            self.end(attempt, Outcome.CONNECT_FAILED)
        if self.retired or self.directory.address(pool.backend) != pool.address:
            connection.close()
            return
        pool.idle.append(connection)

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
        self._open_more()

    def _open(self, backend: int, pool: Pool) -> None:
        """Opens connections for what waits, within the limit; an idle one elsewhere gives way."""
        while pool.opening < len(pool.waiting):
            if len(self.connections) + len(self.opening) >= self.most and not self._evict():
                say("limit", f"all {self.most} connections to backends are in use")
                self.loop.call_later(self.connect_s, self._starved, pool, pool.waiting[-1])
                return
            pool.opening += 1
            task = self.loop.create_task(self._connect(pool))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    def _open_more(self) -> None:
        for backend, pool in self.pools.items():
            if pool.waiting and pool.opening < len(pool.waiting):
                self._open(backend, pool)

    def _evict(self) -> bool:
        idle = [connection for pool in self.pools.values() for connection in pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.pool.idle.remove(oldest)
        self.connections.discard(oldest)
        oldest.close()
        return True

    def _starved(self, pool: Pool, attempt: Attempt) -> None:
        if attempt in pool.waiting:
            self.end(attempt, Outcome.MOOT)  # it never left, which is no fault of the backend's

    async def _connect(self, pool: Pool) -> None:
        self.opened += 1
        failed = accepted = False
        try:
            async with asyncio.timeout(self.connect_s):
                await self.loop.create_connection(lambda: Connection(self, pool), *pool.address)
        except ConnectionResetError:
            failed = accepted = True
        except OSError:  # refused, unreachable, or not up in time
            failed = True
        finally:
            pool.opening -= 1
        if not failed or not pool.waiting:
            return
        first = pool.waiting[0]
        first.connects += 1
        if accepted and first.connects < CONNECTS:
            self._open(pool.backend, pool)  # a process that is down would not have accepted it
        else:
            self.end(first, Outcome.CONNECT_FAILED)

    def _sweep(self) -> None:
        now = self.clock()
        self.wear.fade()
        for pool in self.pools.values():
            for connection in [c for c in pool.idle if not self._fit(c, now)]:
                pool.idle.remove(connection)
                connection.close()
        self.sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Closes everything."""
        self.sweeper.cancel()
        for task in self.opening:
            task.cancel()
        for connection in list(self.connections):
            connection.close()
