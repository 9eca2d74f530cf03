"""Connections to backends: pools, attempts and their outcomes.

An attempt goes out once on one connection and is never sent again from here, not even when a kept connection
turns out stale.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import Any, Protocol

from pepperrun.config import Address
from pepperrun.core.clock import SECOND
from pepperrun.core.interface import Outcome
from pepperrun.exchange import End, Exchange
from pepperrun.log import say
from pepperrun.net.buffer import unread
from pepperrun.net.connection import AbandonReason, Attempt, Connection, Judge, Pool, Wear, Wire
from pepperrun.net.http1 import Response
from pepperrun.net.stream import Budget

CONNECTS = 3  # that are accepted and reset in a row: nothing has been written, so another one is tried
STALE_MOST = 0.2  # of kept connections as long idle: past this they are not used again
STALE_UNSAFE = 0.03  # the same for a request that may not simply be sent anew
IDLE_PART = 0.8  # of the time after which the other side closes an idle connection: closed here before
SWEEP_S = 1.0

Ended = Callable[[Exchange[Any, Any], int, int, Outcome, object, float], None]

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


class Places(Protocol):
    """Where backends are; `net.directory.Directory` is one."""

    def address(self, backend: int) -> Address | None:
        """Where one listens; None for one to which nothing may be sent."""
        ...

    def listed(self, backend: int) -> bool:
        """Is it known, whatever its state?"""
        ...


class ServerSide:
    """Carries out attempts at the backends of a directory."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        directory: Places,
        ended: Ended,
        judge: Judge | Wire,
        most: int,
        keepalive_ns: int,
        connect_timeout_ns: int,
        budget: Budget | None = None,
    ) -> None:
        self.wire = judge if isinstance(judge, Wire) else Wire(judge)
        self.most_each = 0  # connections to one backend at most; 0: as many as it takes
        self.budget = budget  # for long answers; None: all are held whole
        self.loop, self.clock, self.directory = loop, clock, directory
        self.ended, self.most = ended, most
        self.idle_ns, self.connect_s = int(keepalive_ns * IDLE_PART), connect_timeout_ns / SECOND
        self.pools: dict[int, Pool] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[Connection] = set()
        self.opening: set[asyncio.Task[None]] = set()
        self.opened = self.written = 0  # connections, and attempts written whole
        self.wear = Wear()
        # Is an attempt given up whose answer has begun and comes no further?
        self.ends_stalled: Callable[[Attempt], bool] = lambda attempt: True
        self.on_abandon: Callable[[Attempt, AbandonReason], None] = lambda attempt, reason: None
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
        if pool.asked_at and now - pool.asked_at > self.wire.silent_ns:
            # A machine that is cut off says nothing, and once it is back its old connections may stay silent:
            # a new connection tells within its time-out, a kept one only at the client's deadline.
            self.close_idle(backend)
        safe = self.wire.safe(attempt)
        while pool.idle:
            connection = pool.idle[-1]
            if not self._fit(connection, now) or self._same(connection, attempt):
                pool.idle.pop().close()
            elif safe or self.wear.trusted(now - connection.idle_since, STALE_UNSAFE):
                pool.idle.pop()
                if not connection.start(attempt, now):
                    pool.idle.append(connection)
                    self.loop.call_soon(self.end, attempt, Outcome.MOOT)
                return
            else:
                break
        pool.waiting.append(attempt)
        self._open(backend, pool)

    def cancel(self, exchange: Exchange[Any, Any], number: int, reason: AbandonReason | None = None) -> None:
        """Gives an attempt up: its connection closes. HTTP/1.1 has no other way to stop its worker."""
        if reason is None:
            reason = AbandonReason.CLIENT_LEFT if exchange.end is End.LEFT else AbandonReason.DECISION
        if (attempt := self.attempts.get((exchange.id, number))) is not None:
            self._give_up(attempt, Outcome.CANCELLED, reason)

    def withdraw(self, exchange: Exchange[Any, Any]) -> None:
        """Ends those of its attempts that wait for a connection: they have reached no backend."""
        for attempt in self.attempts_of(exchange):
            if attempt.connection is None:
                self.end(attempt, Outcome.MOOT)

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

    def attempts_of(self, exchange: Exchange[Any, Any]) -> list[Attempt]:
        """The attempts of a request that are out, in the order in which they began."""
        found = (self.attempts.get((exchange.id, number)) for number in sorted(exchange.open))
        return [attempt for attempt in found if attempt is not None]

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
        outcome = Outcome.TIMEOUT if attempt.connection is not None else Outcome.CONNECT_FAILED
        self._give_up(attempt, outcome, AbandonReason.DEADLINE)

    def _give_up(self, attempt: Attempt, outcome: Outcome, reason: AbandonReason) -> None:
        if (connection := attempt.connection) is not None:
            self.on_abandon(attempt, reason)
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
        if transport is None or transport.is_closing() or idle_ns >= (connection.keeps_ns or self.idle_ns):
            return False
        if not self.wear.trusted(idle_ns, STALE_MOST):
            return False
        # Bytes that nothing was asked for, or an end that has not been read: neither takes a request.
        return not unread(transport)

    def _same(self, connection: Connection, attempt: Attempt) -> bool:
        """Was this very request the last on it? A late second answer to that would be taken for its own."""
        name = self.wire.name(attempt)
        return name is not None and name == connection.asked

    def free(self, connection: Connection) -> None:
        """A connection can take the next attempt that waits, or is idle."""
        pool, now = connection.pool, self.clock()
        connection.idle_since = now
        while pool.waiting:
            attempt = pool.waiting[0]
            if self._same(connection, attempt):
                connection.close()
                return  # its end opens another
            pool.waiting.popleft()
            # It may have waited for this connection while the list came to call the backend draining or gone.
            if self.directory.address(pool.backend) != pool.address:
                self.end(attempt, Outcome.CONNECT_FAILED)
            elif connection.start(attempt, now):
                return
            else:
                self.end(attempt, Outcome.MOOT)
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
            if self.most_each and pool.up + pool.opening >= self.most_each:
                if pool.idle:  # not trusted with what waits: it gives way
                    pool.idle.pop(0).close()
                return  # one that is busy becomes free, or ends
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
        begun = self.clock()
        try:
            async with asyncio.timeout(self.connect_s):
                await self.loop.create_connection(
                    lambda: Connection(self, pool, self.clock() - begun), *pool.address
                )
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
        for connection in [one for one in self.connections if one.stands_still(now)]:
            say("stands still", "a long body came no further: its connection ends")
            connection.close()
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
