"""The upstream side: pools of connections to backends, attempts and their outcomes.

An attempt is sent once, on one connection. This module never sends it again, not even when a reused
connection turns out to be stale.
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
from pepperrun.log import log_message
from pepperrun.net.buffer import has_unread_input
from pepperrun.net.connection import AbandonReason, Attempt, Connection, Pool, ResponseClassifier, Wire
from pepperrun.net.http1 import Response
from pepperrun.net.stale_rates import StaleRates
from pepperrun.net.stream import MemoryBudget

# Connection attempts per request attempt. Only after a connection that is accepted and then reset is there a
# further one, which is safe, as nothing has been written yet.
MAX_CONNECT_ATTEMPTS = 3
MAX_STALE_RATE = 0.2  # connections of an idle time with a higher rate of stale ones are not reused
MAX_STALE_RATE_UNSAFE = 0.03  # the same for a request that may not be sent again
IDLE_FRACTION = 0.8  # of the backend's idle timeout: connections are closed here before that
SWEEP_S = 1.0

OnAttemptEnded = Callable[[Exchange[Any, Any], int, int, Outcome, object, float], None]

_UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?\Z")


def platform_classifier(most_units: float) -> ResponseClassifier:
    """Returns the platform's classifier: outcome, and the true units of a good response; 0 if not known.

    A number of units that is malformed, or more than any request costs, is ignored: it would be charged to
    the customer.
    """

    def classify(response: Response) -> tuple[Outcome, float]:
        if response.status == 200:
            value = response.headers.get(b"x-units-charged", b"")
            units = float(value) if _UNITS.match(value) else 0.0
            return Outcome.OK, units if units <= most_units else 0.0
        # Only with this header does a 503 or 504 prove that the backend rejected the request unread.
        if response.status in (503, 504) and response.headers.get(b"x-rejected") == b"1":
            return Outcome.FULL, 0.0
        return Outcome.ERROR, 0.0

    return classify


class BackendLookup(Protocol):
    """Looks up backends; `net.directory.Directory` is one."""

    def address(self, backend: int) -> Address | None:
        """Returns the backend's address; None where nothing may be sent to it."""
        ...

    def is_listed(self, backend: int) -> bool:
        """Whether the backend is in the endpoint list, in any state."""
        ...


class UpstreamClient:
    """Carries out attempts at the backends of a directory, on pooled connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        directory: BackendLookup,
        on_attempt_ended: OnAttemptEnded,
        classifier: ResponseClassifier | Wire,
        max_connections: int,
        keepalive_ns: int,
        connect_timeout_ns: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.wire = classifier if isinstance(classifier, Wire) else Wire(classifier)
        self.max_per_backend = 0  # limit on connections to one backend; 0: none
        self.budget = budget  # for streamed responses; None: all are buffered
        self.loop, self.clock, self.directory = loop, clock, directory
        self.on_attempt_ended, self.max_connections = on_attempt_ended, max_connections
        self.max_idle_ns, self.connect_timeout_s = (
            int(keepalive_ns * IDLE_FRACTION),
            connect_timeout_ns / SECOND,
        )
        self.pools: dict[int, Pool] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[Connection] = set()
        self.connecting: set[asyncio.Task[None]] = set()
        self.opened = self.requests_written = 0  # connections begun, and requests written completely
        self.stale_rates = StaleRates()
        # Whether to abandon an attempt whose response has begun and then stalled.
        self.ends_stalled: Callable[[Attempt], bool] = lambda attempt: True
        self.on_abandon: Callable[[Attempt, AbandonReason], None] = lambda attempt, reason: None
        self.retired = False  # another process of this gatekeeper serves, with its own connections
        self.sweep_timer = loop.call_later(SWEEP_S, self._sweep)

    # Called by the gatekeeper.

    def send(self, exchange: Exchange[Any, Any], number: int, backend: int, timeout_ns: int) -> None:
        """Starts an attempt. Its end is reported later, never from within this call."""
        now = self.clock()
        attempt = Attempt(exchange, number, backend, now + timeout_ns)
        self.attempts[exchange.id, number] = attempt
        pool = self._pool(backend)
        if pool is None:
            self.loop.call_soon(self.finish_attempt, attempt, Outcome.CONNECT_FAILED)
            return
        attempt.timer = self.loop.call_later(timeout_ns / SECOND, self._on_deadline, attempt)
        if pool.unanswered_since and now - pool.unanswered_since > self.wire.unresponsive_ns:
            # A machine that is cut off sends nothing, and after its return old connections may stay silent.
            # A new connection fails within the connect timeout, a reused one only at the client's deadline.
            self.close_idle(backend)
        is_idempotent = self.wire.is_idempotent(attempt)
        while pool.idle:
            connection = pool.idle[-1]
            if not self._is_reusable(connection, now) or self._served_same_request(connection, attempt):
                pool.idle.pop().close()
            elif is_idempotent or self.stale_rates.is_trusted(
                now - connection.idle_since, MAX_STALE_RATE_UNSAFE
            ):
                pool.idle.pop()
                if not connection.start(attempt, now):
                    pool.idle.append(connection)
                    self.loop.call_soon(self.finish_attempt, attempt, Outcome.MOOT)
                return
            else:
                break
        pool.waiting.append(attempt)
        self._open_connections(backend, pool)

    def cancel(self, exchange: Exchange[Any, Any], number: int, reason: AbandonReason | None = None) -> None:
        """Abandons an attempt and closes its connection: HTTP/1.1 has no other way to stop its worker."""
        if reason is None:
            reason = AbandonReason.CLIENT_LEFT if exchange.end is End.CLIENT_LEFT else AbandonReason.DECISION
        if (attempt := self.attempts.get((exchange.id, number))) is not None:
            self._abandon(attempt, Outcome.CANCELLED, reason)

    def withdraw(self, exchange: Exchange[Any, Any]) -> None:
        """Ends the request's attempts that wait for a connection: they have reached no backend."""
        for attempt in self.attempts_of(exchange):
            if attempt.connection is None:
                self.finish_attempt(attempt, Outcome.MOOT)

    def close_idle(self, backend: int) -> None:
        """Closes the idle connections to one backend; those in use stay."""
        if (pool := self.pools.get(backend)) is not None:
            for connection in pool.idle:
                connection.close()
            pool.idle.clear()

    def retire(self, on: bool) -> None:
        """Stops keeping idle connections (`on`) or starts again."""
        self.retired = on
        for backend in list(self.pools) if on else ():
            self.close_idle(backend)

    def on_endpoints_changed(self) -> None:
        """Applies a change of the endpoint list: ends attempts waiting for a backend that is not ready."""
        for backend, pool in list(self.pools.items()):
            if self.directory.address(backend) is not None:
                continue
            self.close_idle(backend)
            while pool.waiting:
                self.finish_attempt(pool.waiting[0], Outcome.CONNECT_FAILED)
            if not self.directory.is_listed(backend):
                del self.pools[backend]

    def attempts_of(self, exchange: Exchange[Any, Any]) -> list[Attempt]:
        """Returns the request's attempts in flight, in the order in which they began."""
        found = (self.attempts.get((exchange.id, number)) for number in sorted(exchange.open_attempts))
        return [attempt for attempt in found if attempt is not None]

    # Attempts.

    def finish_attempt(
        self, attempt: Attempt, outcome: Outcome, response: object = None, units: float = 0.0
    ) -> None:
        """Reports the end of an attempt; only the first report counts."""
        if self.attempts.get((attempt.exchange.id, attempt.number)) is not attempt:
            return
        del self.attempts[attempt.exchange.id, attempt.number]
        if attempt.timer is not None:
            attempt.timer.cancel()
        pool = self.pools.get(attempt.backend) if attempt.connection is None else None
        if pool is not None and attempt in pool.waiting:
            pool.waiting.remove(attempt)
        self.on_attempt_ended(attempt.exchange, attempt.number, attempt.backend, outcome, response, units)

    def on_request_sent(self, attempt: Attempt) -> None:
        """Restarts the attempt's time at the last byte of a streamed request, with the client's patience."""
        now, exchange = self.clock(), attempt.exchange
        exchange.attempt_times[attempt.number] = now
        attempt.deadline = min(attempt.deadline, now + exchange.wait_after_body_ns)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = self.loop.call_later((attempt.deadline - now) / SECOND, self._on_deadline, attempt)

    def _on_deadline(self, attempt: Attempt) -> None:
        early_ns = attempt.deadline - self.clock()
        if early_ns > 0:
            attempt.timer = self.loop.call_later(early_ns / SECOND, self._on_deadline, attempt)
            return
        # An attempt that never got a connection cannot have run.
        outcome = Outcome.TIMEOUT if attempt.connection is not None else Outcome.CONNECT_FAILED
        self._abandon(attempt, outcome, AbandonReason.DEADLINE)

    def _abandon(self, attempt: Attempt, outcome: Outcome, reason: AbandonReason) -> None:
        if (connection := attempt.connection) is not None:
            self.on_abandon(attempt, reason)
            connection.attempt = None
            connection.close()
        self.finish_attempt(attempt, outcome)

    # Connections.

    def _pool(self, backend: int) -> Pool | None:
        address = self.directory.address(backend)
        if address is None:
            return None
        pool = self.pools.get(backend)
        if pool is None or pool.address != address:
            if pool is not None:
                self.close_idle(backend)
                while pool.waiting:  # its connections are still being made
                    self.loop.call_soon(self.finish_attempt, pool.waiting.popleft(), Outcome.CONNECT_FAILED)
            pool = self.pools[backend] = Pool(backend, address)
        return pool

    def _is_current(self, pool: Pool) -> bool:
        """Whether requests may be sent on the pool's connections: its backend is ready and has not moved."""
        is_ready = self.directory.address(pool.backend) == pool.address
        return is_ready and self.pools.get(pool.backend) is pool

    def _is_reusable(self, connection: Connection, now: int) -> bool:
        transport = connection.transport
        idle_ns = now - connection.idle_since
        if (
            transport is None
            or transport.is_closing()
            or idle_ns >= (connection.keep_alive_ns or self.max_idle_ns)
        ):
            return False
        if not self.stale_rates.is_trusted(idle_ns, MAX_STALE_RATE):
            return False
        # Unread input is an unexpected response or an end of stream: no request may be sent behind either.
        return not has_unread_input(transport)

    def _served_same_request(self, connection: Connection, attempt: Attempt) -> bool:
        """Whether the connection last carried the same request: a late second response would be mistaken."""
        request_id = self.wire.request_id(attempt)
        return request_id is not None and request_id == connection.request_id

    def on_connection_free(self, connection: Connection) -> None:
        """Gives a free connection the next waiting attempt, or keeps it as idle."""
        pool, now = connection.pool, self.clock()
        connection.idle_since = now
        while pool.waiting:
            attempt = pool.waiting[0]
            if self._served_same_request(connection, attempt):
                connection.close()
                return  # its end opens another one
            pool.waiting.popleft()
            # The backend may have begun to drain, or gone, while the attempt waited for this connection.
            if not self._is_current(pool):
                self.finish_attempt(attempt, Outcome.CONNECT_FAILED)
            elif connection.start(attempt, now):
                return
            else:
                self.finish_attempt(attempt, Outcome.MOOT)
        if self.retired or not self._is_current(pool):
            connection.close()
            return
        pool.idle.append(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """Removes a connection that has ended; opens others for attempts that wait."""
        self.connections.discard(connection)
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
        self._open_for_waiting()

    def _open_connections(self, backend: int, pool: Pool) -> None:
        """Opens connections for waiting attempts. At the limit, the longest idle of all is closed first."""
        while pool.connecting < len(pool.waiting):
            if self.max_per_backend and pool.open_count + pool.connecting >= self.max_per_backend:
                if pool.idle:  # not fit for the waiting attempt: closed to make room
                    pool.idle.pop(0).close()
                return  # a busy connection becomes free, or ends
            if (
                len(self.connections) + len(self.connecting) >= self.max_connections
                and not self._evict_idle()
            ):
                log_message("limit", f"all {self.max_connections} connections to backends are in use")
                self.loop.call_later(
                    self.connect_timeout_s, self._on_connection_limit, pool, pool.waiting[-1]
                )
                return
            pool.connecting += 1
            task = self.loop.create_task(self._connect(pool))
            self.connecting.add(task)
            task.add_done_callback(self.connecting.discard)

    def _open_for_waiting(self) -> None:
        for backend, pool in self.pools.items():
            if pool.waiting and pool.connecting < len(pool.waiting):
                self._open_connections(backend, pool)

    def _evict_idle(self) -> bool:
        idle = [connection for pool in self.pools.values() for connection in pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.pool.idle.remove(oldest)
        self.connections.discard(oldest)
        oldest.close()
        return True

    def _on_connection_limit(self, pool: Pool, attempt: Attempt) -> None:
        if attempt in pool.waiting:
            self.finish_attempt(attempt, Outcome.MOOT)  # it was never sent: the backend is not at fault

    async def _connect(self, pool: Pool) -> None:
        self.opened += 1
        failed = was_accepted = False
        started_at = self.clock()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(
                    lambda: Connection(self, pool, self.clock() - started_at), *pool.address
                )
        except ConnectionResetError:
            failed = was_accepted = True
        except (OSError, ValueError):  # refused, unreachable or timed out; or no host has such a name
            failed = True
        finally:
            pool.connecting -= 1
        if not failed or not pool.waiting:
            return
        first = pool.waiting[0]
        first.failed_connects += 1
        if was_accepted and first.failed_connects < MAX_CONNECT_ATTEMPTS:
            self._open_connections(pool.backend, pool)  # a process that is down would not have accepted
        else:
            self.finish_attempt(first, Outcome.CONNECT_FAILED)

    def _sweep(self) -> None:
        now = self.clock()
        self.stale_rates.decay()
        for connection in [one for one in self.connections if one.is_stalled(now)]:
            log_message("stands still", "a streamed body stalled; closing its connection")
            connection.close()
        for pool in self.pools.values():
            for connection in [c for c in pool.idle if not self._is_reusable(c, now)]:
                pool.idle.remove(connection)
                connection.close()
        self.sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Cancels the sweep and all connection attempts, and closes all connections."""
        self.sweep_timer.cancel()
        for task in self.connecting:
            task.cancel()
        for connection in list(self.connections):
            connection.close()
