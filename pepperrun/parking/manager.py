"""Manages all client connections of a gatekeeper that parks them: parks idle ones, resumes those with input.

One epoll instance holds the descriptors of the parked connections and is itself watched by the event loop.
So a parked connection is in no selector, timer heap or set of the loop: 16,000 of them cost no work until
they have input or time out. Each kind of work is done in bounded turns, between which the loop serves others.
"""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from pepperrun.core.clock import SECOND
from pepperrun.log import log_message
from pepperrun.net.listener import ConnectionSnapshot
from pepperrun.parking import wire
from pepperrun.parking.config import ClientsConfig
from pepperrun.parking.connection_table import CHECK_INTERVAL_NS, EvictionRank, Record, State
from pepperrun.parking.holders import RESERVED_DESCRIPTORS, HolderPool
from pepperrun.parking.parked_sockets import ParkedSockets

HAND_OVER_FRACTION = 3, 4  # with more than 3/4 of the descriptors here in use, idle ones go to holders
BATCHES_PER_TURN = 4  # batches handed over to holders in a turn
EVICTION_BATCH = 64  # connections evicted or closed at a time
MIN_CHECK_INTERVAL_NS = SECOND // 50  # minimum time between checks of an active connection
IDLE_SCAN_S = 0.02  # between scans of all active connections for idle ones, while others wait
SHORTAGE_RETRY_S = 0.1  # accepting pauses for this time at a limit, or without descriptors or memory


def record_from_snapshot(listener_index: int, snapshot: ConnectionSnapshot) -> Record:
    """Returns the record that is kept of a connection with this snapshot."""
    responses, exchanges, last_used_at, buffered, first_byte_at = snapshot
    rank = (
        EvictionRank(min(EvictionRank.MORE_EXCHANGES, EvictionRank.NO_EXCHANGE + exchanges))
        if responses
        else EvictionRank.NEVER_ANSWERED
    )
    return Record(listener_index, rank, last_used_at, buffered, first_byte_at)


def snapshot_from_record(record: Record) -> ConnectionSnapshot:
    """Returns the snapshot that restores a parked connection. Its counts are the lowest of the rank."""
    responses = 0 if record.rank is EvictionRank.NEVER_ANSWERED else 1
    return (
        responses,
        max(0, record.rank - EvictionRank.NO_EXCHANGE),
        record.last_used_at,
        record.buffered,
        record.first_byte_at,
    )


def break_reference_cycle(transport: asyncio.Transport | None) -> None:
    """Lets a closed transport be freed at once rather than at the garbage collector's next full run.

    The loop's transport refers to itself through a bound method. When thousands of transports were given up
    in a second, the collector stopped the loop for 50 ms. Without effect if the transport has no such
    attribute.
    """
    if transport is not None:
        vars(transport).pop("_read_ready_cb", None)


class Client(Protocol):
    """What the manager needs of an active connection, one with transport, protocol and buffer."""

    transport: asyncio.Transport | None
    fd: int
    listener: Any

    def expires_at(self, crowded: bool) -> int | None: ...

    def expire(self) -> None: ...

    def idle_since(self) -> int | None: ...

    def snapshot(self) -> ConnectionSnapshot: ...

    def park(self) -> None: ...


class ParkingListener(Protocol):
    """What the manager needs of a listener: to restore a connection and to accept again after a pause."""

    family: int

    def restore_client(self, snapshot: ConnectionSnapshot, readable_at: int) -> asyncio.BufferedProtocol: ...

    def resume_accepting(self) -> None: ...


class ParkingManager:
    """Owns the records, holders and timers of connections; listeners register and add new connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        config: ClientsConfig,
        max_here: int,
    ) -> None:
        self.loop, self.clock, self.config, self.max_here = loop, clock, config, max_here
        self.listeners: list[ParkingListener] = []
        self.clients: dict[int, Client] = {}
        self.sockets = ParkedSockets(config, clock)
        self.table, self.budget = self.sockets.table, self.sockets.budget
        self.holders: HolderPool | None = None
        if config.holders:
            self.holders = HolderPool(
                loop,
                clock() - time.monotonic_ns(),
                self._times(),
                config.holders,
                self._on_returned,
                self.resume_accepting,
            )
        self.draining = False
        self.is_accept_paused = False  # a listener waits for capacity
        self.resumed_count = 0  # connections resumed from a record
        self.handed_over_count = 0  # connections handed over to holders
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: int | None = None
        self._is_resuming_scheduled = self._is_hand_over_scheduled = False
        self._idle_fds: deque[int] = deque()  # answered while others waited, oldest first
        self._scan_timer: asyncio.TimerHandle | None = None
        # How many connections were resumed last, and when, if others still wait.
        self._last_batch = 0, 0
        loop.add_reader(self.sockets.epoll.fileno(), self._on_events)

    # Capacity.

    def total(self) -> int:
        """Returns the number of all connections, here and in holders."""
        return len(self.table) + (self.holders.connection_count() if self.holders is not None else 0)

    def has_capacity(self) -> bool:
        """Whether one more connection fits without an eviction."""
        return self.total() < self.config.most and len(self.table) < self.max_here

    def ensure_capacity(self) -> bool:
        """Whether one more connection fits now, after the eviction of others if necessary.

        False also while connections are being handed over to holders or evicted by them.
        """
        if self.has_capacity():
            return True
        can_hand_over = (
            self.holders is not None and self.holders.has_capacity() and self.table.parked_count > 0
        )
        if can_hand_over and self.total() < self.config.most:
            self.schedule_upkeep()  # only this process is full: handing over needs no eviction
            return False
        limit = min(EVICTION_BATCH, 1 + self.config.most // 4)
        candidates = self.table.eviction_candidates(limit, self.clock())
        if len(self.table) < self.max_here and self.holders is not None:
            # Within a rank, connections in holders have been idle longer: that is why they were handed over.
            lowest = self.holders.lowest_rank()
            lowest_here = self.table.ranks[candidates[0]] if candidates else len(EvictionRank)
            if lowest is not None and lowest <= lowest_here and self.holders.evict(limit):
                return False
        if candidates and self.sockets.evict(candidates):
            return True
        log_message("limit", f"all {self.total()} client connections are in use; accepting later")
        return False

    def on_descriptor_shortage(self) -> None:
        """Evicts some connections, as the system has no descriptor: active ones need descriptors too."""
        self.sockets.evict(self.table.eviction_candidates(EVICTION_BATCH, self.clock()))

    def resume_accepting(self) -> None:
        """Lets the listeners accept again after a pause; they check the capacity themselves."""
        if self.is_accept_paused:
            self.is_accept_paused = False
            for listener in self.listeners:
                listener.resume_accepting()

    # New connections, and those with input.

    def add(self, fd: int, listener_index: int, now: int) -> None:
        """Parks a new connection."""
        self.sockets.add(fd, Record(listener_index, EvictionRank.NEVER_ANSWERED, now))

    def schedule_upkeep(self) -> None:
        """Sets the timer and schedules handing over; called after connections were added or parked."""
        self._arm_timer()
        if self.holders is not None and not self._is_hand_over_scheduled and self._is_nearly_full():
            self._is_hand_over_scheduled = True
            self.loop.call_soon(self._hand_over)

    def _on_events(self) -> None:
        self.sockets.poll_events()
        if self.sockets.table.readable_at:
            self._resume_waiting()
        self.resume_accepting()

    def _on_returned(self, fd: int, record: Record) -> None:
        """Queues a connection that a holder returned because it has input."""
        self.table.park(fd, record)
        self.table.queue_readable(fd, self.clock())
        self._schedule_resuming()

    def _schedule_resuming(self) -> None:
        if not self._is_resuming_scheduled:
            self._is_resuming_scheduled = True
            self.loop.call_soon(self._on_resuming_turn)

    def _on_resuming_turn(self) -> None:
        self._is_resuming_scheduled = False
        self._resume_waiting()

    def _resume_waiting(self) -> None:
        """Resumes a bounded number of waiting connections.

        Most of the cost of one arises in the turns that follow, when its transport is made and its request is
        read and answered. So while others wait, the time from one call to the next counts as the cost of the
        connections resumed before.
        """
        start, (count_before, started_before) = time.perf_counter_ns(), self._last_batch
        if count_before:
            self.budget.record_cost("resume", count_before, start - started_before)
        limit, count = self.budget.allowed_items("resume"), 0
        while count < limit and (resumed := self.table.resume_next()) is not None:
            self._resume_connection(*resumed)
            count += 1
        self._last_batch = 0, 0
        if self.table.is_crowded():
            self._park_idle()
        elif self.table.readable_at:
            self._last_batch = count, start
            self._schedule_resuming()

    def _resume_connection(self, fd: int, record: Record, readable_at: int) -> None:
        listener = self.listeners[record.listener_index]
        try:
            sock = socket.socket(listener.family, socket.SOCK_STREAM, 0, fileno=fd)
            sock.setblocking(False)
        except OSError:
            self.table.remove(fd)
            os.close(fd)
            return
        self.resumed_count += 1
        task = self.loop.create_task(self._set_up_client(listener, sock, record, readable_at))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _set_up_client(
        self, listener: ParkingListener, sock: socket.socket, record: Record, readable_at: int
    ) -> None:
        fd, snapshot = sock.fileno(), snapshot_from_record(record)
        try:
            await self.loop.connect_accepted_socket(
                lambda: listener.restore_client(snapshot, readable_at), sock
            )
        except OSError:
            if fd not in self.clients:
                self.table.remove(fd)
            sock.close()

    def on_connected(self, client: Client) -> None:
        """Registers an active connection that has its transport."""
        assert client.transport is not None
        client.fd = fd = client.transport.get_extra_info("socket").fileno()
        self.clients[fd] = client
        self._schedule_check(fd, client)
        self._arm_timer()

    def on_disconnected(self, client: Client) -> None:
        """Removes an active connection that has ended; its descriptor is still open."""
        if self.clients.get(client.fd) is client:
            del self.clients[client.fd]
            self.table.remove(client.fd)
        if self.table.readable_at:
            self._schedule_resuming()
        self.resume_accepting()

    # Parking.

    def _schedule_check(self, fd: int, client: Client) -> None:
        """Sets the next check of an active connection: one from time to time, not one for each request."""
        check_at = self.clock() + max(
            MIN_CHECK_INTERVAL_NS, min(CHECK_INTERVAL_NS, self.config.park_after_ns)
        )
        due = client.expires_at(False)
        self.table.schedule_check(fd, check_at if due is None else min(due, check_at))

    def _check(self, fd: int) -> None:
        """Checks an active connection: ends it at its time-out, or parks it if it is idle."""
        client = self.clients.get(fd)
        if client is None:
            return
        now, due = self.clock(), client.expires_at(False)
        if due is not None and now >= due:
            client.expire()
            if self.table.states[fd] == State.ACTIVE:
                self.table.schedule_check(fd, now + CHECK_INTERVAL_NS)
            return
        idle_since = client.idle_since()
        if idle_since is None or now - idle_since < self.config.park_after_ns or not self._park(fd, client):
            self._schedule_check(fd, client)

    def _park(self, fd: int, client: Client) -> bool:
        """Releases a connection's transport, protocol and buffer; False if that is not possible now.

        The loop's transport closes its descriptor, so a duplicate is kept. Input that came after the last
        read stays in the system's buffer, and the epoll instance reports it at once.
        """
        transport = client.transport
        if transport is None or transport.is_closing():
            return False
        if client.idle_since() is None:
            return False
        record = record_from_snapshot(client.listener.index, client.snapshot())
        try:
            parked_fd = os.dup(fd)
        except OSError:  # no descriptor left: the connection stays active
            return False
        del self.clients[fd]
        self.table.remove(fd)
        client.park()
        break_reference_cycle(transport)
        self.sockets.add(parked_fd, record)
        return True

    def on_answered(self, client: Client) -> None:
        """Notes that a connection has had its response. While others wait it is parked early."""
        if self.table.is_crowded():
            self._idle_fds.append(client.fd)
            self._schedule_resuming()

    def _park_idle(self) -> None:
        """Parks idle active connections, longest idle first, as others wait to be resumed."""
        limit = min(len(self.table.readable_at), self.budget.allowed_items("park"))
        count, start = 0, time.perf_counter_ns()
        while count < limit and self._idle_fds:
            fd = self._idle_fds.popleft()
            client = self.clients.get(fd)
            count += client is not None and self._park(fd, client)
        self.budget.record_cost("park", count, time.perf_counter_ns() - start)
        if count:
            self._schedule_resuming()
        elif self._scan_timer is None:  # finds those that were idle before others waited
            self._scan_timer = self.loop.call_later(IDLE_SCAN_S, self._find_idle)

    def _find_idle(self) -> None:
        self._scan_timer = None
        if self.table.is_crowded():
            idle = [
                (idle_since, fd)
                for fd, client in self.clients.items()
                if (idle_since := client.idle_since()) is not None
            ]
            self._idle_fds = deque(fd for _, fd in sorted(idle))
            self._resume_waiting()
        else:
            self._idle_fds.clear()

    # Timers.

    def _arm_timer(self) -> None:
        """Sets the loop's timer to the first time at which a connection's timer may be due."""
        wake_at = self.table.timers.next_advance_at()
        if wake_at is None or self._timer_at is not None and self._timer_at <= wake_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wake_at
        self._timer = self.loop.call_later(max(0, wake_at - self.clock()) / SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = self._timer_at = None
        for fd in self.sockets.expire_due():
            self._check(fd)
        if self.table.readable_at:
            self._schedule_resuming()
        self.schedule_upkeep()
        self.resume_accepting()

    # Holder processes.

    def _times(self) -> wire.Times:
        config = self.config
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        limit = (
            config.most
            if soft == resource.RLIM_INFINITY
            else max(wire.MAX_BATCH, soft - RESERVED_DESCRIPTORS)
        )
        return wire.Times(config.idle_ns, config.first_byte_ns, config.give_way_ns, config.turn_ns, limit)

    def _is_nearly_full(self) -> bool:
        numerator, denominator = HAND_OVER_FRACTION
        return len(self.table) * denominator > self.max_here * numerator and self.table.parked_count > 0

    def _hand_over(self) -> None:
        """Hands the longest idle connections over to holders, a few batches per turn."""
        self._is_hand_over_scheduled = False
        assert self.holders is not None
        for _ in range(BATCHES_PER_TURN):
            if not self._is_nearly_full():
                break
            fds = self.table.hand_over_candidates(wire.MAX_BATCH, self.clock())
            batch = [(fd, self.table.record(fd)) for fd in fds]
            if not batch or not self.holders.hand_over(batch):
                if self.holders.has_capacity():
                    self._is_hand_over_scheduled = True
                    self.loop.call_later(0.01, self._hand_over)
                break
            self.handed_over_count += len(fds)
            for fd in fds:
                self.sockets.close(fd)  # the holder has its own descriptor
        else:
            self._is_hand_over_scheduled = True
            self.loop.call_soon(self._hand_over)
        self.resume_accepting()

    # Reloading and shutdown.

    def apply_config(self, config: ClientsConfig) -> list[str]:
        """Applies new time-outs and limits, also to parked connections.

        Returns the changed keys that take effect only at the next start.
        """
        deferred = [
            key
            for key in ("holders", "most_here", "backlog")
            if getattr(config, key) != getattr(self.config, key)
        ]
        self.config = config
        self.sockets.apply_config(config)
        if self.holders is not None:
            self.holders.apply_times(self._times())
        self._timer_at = None
        self._arm_timer()
        self.resume_accepting()
        return deferred

    async def drain(self) -> None:
        """Closes idle connections that have had a response, in bounded turns."""
        self.draining = True
        if self.holders is not None:
            self.holders.drain()
        for rank in (EvictionRank.NO_EXCHANGE, EvictionRank.ONE_EXCHANGE, EvictionRank.MORE_EXCHANGES):
            await self._close_all(rank)

    async def _close_all(self, rank: EvictionRank) -> None:
        while True:
            fds = []
            for fd in self.table.eviction_order.members(rank):
                fds.append(fd)
                if len(fds) >= EVICTION_BATCH:
                    break
            if not fds:
                return
            self.sockets.evict(fds)  # those with input are queued instead
            if self.table.readable_at:
                self._schedule_resuming()
            await asyncio.sleep(0)

    async def finish(self) -> None:
        """Closes all idle connections and waits until all with input are resumed."""
        if self.holders is not None:
            self.holders.finish()
        while True:
            for rank in EvictionRank:
                await self._close_all(rank)
            holders_pending = self.holders is not None and not self.holders.is_finished()
            if (
                not holders_pending
                and not self.table.parked_count
                and not self.table.readable_at
                and not self._tasks
            ):
                return
            if self.table.readable_at:
                self._schedule_resuming()
            await asyncio.sleep(0.005)

    def close(self) -> None:
        """Closes all parked and waiting connections and ends the holders."""
        self.loop.remove_reader(self.sockets.epoll.fileno())
        if self._timer is not None:
            self._timer.cancel()
        for fd, state in enumerate(self.table.states):
            if state in (State.PARKED, State.WAITING):
                self.sockets.close(fd)
        if self.holders is not None:
            self.holders.close()
        self.sockets.epoll.close()
