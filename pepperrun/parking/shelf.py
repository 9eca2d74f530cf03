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
from pepperrun.parking.ledger import Ledger, Record, State

EVENTS = select.EPOLLIN | select.EPOLLRDHUP
OVER = select.EPOLLERR | select.EPOLLHUP
TEXT = (b"Content-Type", b"text/plain; charset=utf-8")
LATE = encode_response(408, [TEXT], b"the request did not come whole in time\n", close=True)


def unread(fd: int) -> bool:
    """Has the descriptor bytes that nobody has read?"""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(fd, termios.FIONREAD, count)
    except OSError:
        return False
    return count[0] > 0


class Shelf:
    """The silent connections of one process. Owns their descriptors from `put` to `take` or their end."""

    def __init__(self, config: ClientsConfig, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.ledger = Ledger(config, clock())
        self.budget = Budget(config.turn_ns)
        self.epoll = select.epoll()
        self.expired = self.ended = self.gave_way = self.spoilt = 0

    def put(self, fd: int, record: Record) -> bool:
        """Takes a connection over; False where the system has no memory for it, and it is closed."""
        try:
            self.epoll.register(fd, EVENTS)
        except OSError:  # the user's bound on watches, or memory
            self.spoilt += 1
            os.close(fd)
            return False
        self.ledger.park(fd, record)
        return True

    def forget(self, fd: int) -> None:
        """A parked connection goes elsewhere: its descriptor is the caller's."""
        self.epoll.unregister(fd)
        self.ledger.drop(fd)

    def close(self, fd: int) -> None:
        """Ends a parked or waiting connection."""
        # Closing alone would not do: a copy of the descriptor on its way to another process keeps the watch.
        if self.ledger.state[fd] == State.PARKED:
            self.epoll.unregister(fd)
        self.ledger.drop(fd)
        os.close(fd)

    def look(self) -> None:
        """Takes in a bounded number of events: who has spoken waits to be taken up, who has ended is gone."""
        most, start = self.budget.allow("look"), time.perf_counter_ns()
        now = self.clock()
        events = self.epoll.poll(0, most)
        for fd, mask in events:
            # A reset connection takes no answer; one that has ended without a byte wants none.
            if mask & OVER or mask & select.EPOLLRDHUP and not unread(fd):
                self.ended += 1
                self.close(fd)
            else:
                self.spoken(fd, now)
        self.budget.spent("look", len(events), time.perf_counter_ns() - start)

    def spoken(self, fd: int, now: int) -> None:
        """A parked connection has bytes to read."""
        if self.ledger.wake(fd, now):
            self.epoll.unregister(fd)

    def expire(self) -> list[int]:
        """Ends a bounded number of those whose time is up; descriptors that are taken up and want a look."""
        most, start = self.budget.allow("expire"), time.perf_counter_ns()
        now = self.clock()
        taken = []
        fired = self.ledger.fire(now, most)
        for fd, state in fired:
            if state is State.TAKEN:
                taken.append(fd)
            elif state is State.PARKED:
                self._expire(fd, now)
        self.budget.spent(
            "expire", most if self.ledger.wheel.pending() else len(fired), time.perf_counter_ns() - start
        )
        return taken

    def _expire(self, fd: int, now: int) -> None:
        if unread(fd):  # it has spoken, and the loop is late
            self.spoken(fd, now)
            return
        if fd in self.ledger.held:
            with contextlib.suppress(OSError):
                os.write(fd, LATE)
        self.expired += 1
        self.close(fd)

    def give_way(self, fds: Iterable[int]) -> int:
        """Closes parked connections that have nothing to say; how many."""
        now, count = self.clock(), 0
        for fd in fds:
            if unread(fd):
                self.spoken(fd, now)
            else:
                self.close(fd)
                count += 1
        self.gave_way += count
        return count

    def follow(self, config: ClientsConfig) -> None:
        """Other times hold from now on."""
        self.ledger.follow(config)
        self.budget.turn_ns = config.turn_ns

    def delay_ns(self) -> int | None:
        """How long until `expire` has something to do; None while no timer is set."""
        wake = self.ledger.wheel.wake()
        return None if wake is None else max(0, wake - self.clock())
