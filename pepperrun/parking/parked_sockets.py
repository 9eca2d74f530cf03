"""Descriptors of silent connections in one epoll instance, and what their events and timers bring about."""

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
    """Has the descriptor bytes that nobody has read?"""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(fd, termios.FIONREAD, count)
    except OSError:
        return False
    return count[0] > 0


class ParkedSockets:
    """The silent connections of one process. Owns their descriptors from `put` to `take` or their end."""

    def __init__(self, config: ClientsConfig, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.table = ConnectionTable(config, clock())
        self.budget = Budget(config.turn_ns)
        self.epoll = select.epoll()
        self.expired = self.closed_by_client = self.evicted = self.registration_failures = 0

    def add(self, fd: int, record: Record) -> bool:
        """Takes a connection over; False where the system has no memory for it, and it is closed."""
        try:
            self.epoll.register(fd, WATCHED_EVENTS)
        except OSError:  # the user's bound on watches, or memory
            self.registration_failures += 1
            os.close(fd)
            return False
        self.table.park(fd, record)
        return True

    def release(self, fd: int) -> None:
        """A parked connection goes elsewhere: its descriptor is the caller's."""
        self.epoll.unregister(fd)
        self.table.remove(fd)

    def close(self, fd: int) -> None:
        """Ends a parked or waiting connection."""
        # Closing alone would not do: a copy of the descriptor on its way to another process keeps the watch.
        if self.table.states[fd] == State.PARKED:
            self.epoll.unregister(fd)
        self.table.remove(fd)
        os.close(fd)

    def poll_events(self) -> None:
        """Takes in a bounded number of events: who has spoken waits to be taken up, who has ended is gone."""
        limit, start = self.budget.allowed_items("look"), time.perf_counter_ns()
        now = self.clock()
        events = self.epoll.poll(0, limit)
        for fd, mask in events:
            # A reset connection takes no answer; one that has ended without a byte wants none.
            if mask & CLOSED_EVENTS or mask & select.EPOLLRDHUP and not has_unread_input(fd):
                self.closed_by_client += 1
                self.close(fd)
            else:
                self.on_readable(fd, now)
        self.budget.record_cost("look", len(events), time.perf_counter_ns() - start)

    def on_readable(self, fd: int, now: int) -> None:
        """A parked connection has bytes to read."""
        if self.table.wake(fd, now):
            self.epoll.unregister(fd)

    def expire_due(self) -> list[int]:
        """Ends a bounded number of those whose time is up; descriptors that are taken up and want a look."""
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
        if has_unread_input(fd):  # it has spoken, and the loop is late
            self.on_readable(fd, now)
            return
        if fd in self.table.partial_requests:
            with contextlib.suppress(OSError):
                os.write(fd, REQUEST_TIMEOUT_RESPONSE)
        self.expired += 1
        self.close(fd)

    def evict(self, fds: Iterable[int]) -> int:
        """Closes parked connections that have nothing to say; how many."""
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
        """Other times hold from now on."""
        self.table.apply_config(config)
        self.budget.turn_ns = config.turn_ns

    def next_expiry_delay_ns(self) -> int | None:
        """How long until `expire` has something to do; None while no timer is set."""
        wake_at = self.table.timers.next_advance_at()
        return None if wake_at is None else max(0, wake_at - self.clock())
