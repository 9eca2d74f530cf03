"""Descriptors of parked connections in one epoll instance, with the handling of their events and timers."""

from __future__ import annotations

import array
import contextlib
import fcntl
import os
import select
import termios
import time
from collections.abc import Callable, Iterable

from pepperrun.net.http1 import encode_response
from pepperrun.parking.budget import Budget
from pepperrun.parking.config import ClientsConfig
from pepperrun.parking.connection_table import ConnectionTable, Record, State

WATCHED_EVENTS = select.EPOLLIN | select.EPOLLRDHUP
CLOSED_EVENTS = select.EPOLLERR | select.EPOLLHUP
TEXT_PLAIN = (b"Content-Type", b"text/plain; charset=utf-8")
REQUEST_TIMEOUT_RESPONSE = encode_response(
    408, [TEXT_PLAIN], b"the request did not come whole in time\n", close=True
)


def has_unread_input(fd: int) -> bool:
    """Whether the socket has received bytes that have not been read."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(fd, termios.FIONREAD, count)
    except OSError:
        return False
    return count[0] > 0


class ParkedSockets:
    """The parked connections of one process.

    Owns the descriptor of each from `add` until it is closed, released or resumed.
    """

    def __init__(self, config: ClientsConfig, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.table = ConnectionTable(config, clock())
        self.budget = Budget(config.turn_ns)
        self.epoll = select.epoll()
        self.expired = self.closed_by_client = self.evicted = self.registration_failures = 0

    def add(self, fd: int, record: Record) -> bool:
        """Parks a connection; closes it and returns False if the system has no resources to watch it."""
        try:
            self.epoll.register(fd, WATCHED_EVENTS)
        except OSError:  # the limit on watches per user, or no memory
            self.registration_failures += 1
            os.close(fd)
            return False
        self.table.park(fd, record)
        return True

    def release(self, fd: int) -> None:
        """Gives up a parked connection; the caller owns its descriptor from now on."""
        self.epoll.unregister(fd)
        self.table.remove(fd)

    def close(self, fd: int) -> None:
        """Closes a parked or waiting connection."""
        # Closing does not end the watch while a copy of the descriptor is on its way to another process.
        if self.table.states[fd] == State.PARKED:
            self.epoll.unregister(fd)
        self.table.remove(fd)
        os.close(fd)

    def poll_events(self) -> None:
        """Handles a bounded number of events: queues connections with input and closes those that ended."""
        limit, start = self.budget.allowed_items("poll"), time.perf_counter_ns()
        now = self.clock()
        events = self.epoll.poll(0, limit)
        for fd, mask in events:
            # A reset connection cannot be answered; one that ended without unread input needs no answer.
            if mask & CLOSED_EVENTS or mask & select.EPOLLRDHUP and not has_unread_input(fd):
                self.closed_by_client += 1
                self.close(fd)
            else:
                self.on_readable(fd, now)
        self.budget.record_cost("poll", len(events), time.perf_counter_ns() - start)

    def on_readable(self, fd: int, now: int) -> None:
        """Queues a parked connection that has input and stops watching it."""
        if self.table.queue_readable(fd, now):
            self.epoll.unregister(fd)

    def expire_due(self) -> list[int]:
        """Handles a bounded number of due timers: closes parked connections, returns active ones to check."""
        limit, start = self.budget.allowed_items("expire"), time.perf_counter_ns()
        now = self.clock()
        active_fds = []
        expired = self.table.expire_due(now, limit)
        for fd, state in expired:
            if state is State.ACTIVE:
                active_fds.append(fd)
            elif state is State.PARKED:
                self._expire_parked(fd, now)
        self.budget.record_cost(
            "expire",
            limit if self.table.timers.has_pending() else len(expired),
            time.perf_counter_ns() - start,
        )
        return active_fds

    def _expire_parked(self, fd: int, now: int) -> None:
        if has_unread_input(fd):  # its request came in time, the loop is late
            self.on_readable(fd, now)
            return
        if fd in self.table.partial_requests:
            with contextlib.suppress(OSError):
                os.write(fd, REQUEST_TIMEOUT_RESPONSE)
        self.expired += 1
        self.close(fd)

    def evict(self, fds: Iterable[int]) -> int:
        """Closes those of the parked connections that have no input; returns how many. Queues the others."""
        now, count = self.clock(), 0
        for fd in fds:
            if has_unread_input(fd):
                self.on_readable(fd, now)
            else:
                self.close(fd)
                count += 1
        self.evicted += count
        return count

    def apply_config(self, config: ClientsConfig) -> None:
        """Applies new time-outs and limits, also to connections that are parked already."""
        self.table.apply_config(config)
        self.budget.turn_ns = config.turn_ns

    def next_expiry_delay_ns(self) -> int | None:
        """Returns how long `expire_due` has nothing to do, in ns; None while no timer is set."""
        wake_at = self.table.timers.next_advance_at()
        return None if wake_at is None else max(0, wake_at - self.clock())
