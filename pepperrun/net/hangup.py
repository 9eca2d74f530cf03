"""Ends of connections that are not being read: one epoll instance that the loop watches.

A connection whose reading is paused is in no selector of the loop, and even if it were, an end of stream that
stands behind unread bytes is not read. The system knows of both: it tells of a peer that has closed its side
(`EPOLLRDHUP`) or reset the connection (`EPOLLHUP`, `EPOLLERR`) whatever is unread.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

BROKEN = select.EPOLLHUP | select.EPOLLERR
MAX_EVENTS = 256  # in one turn of the loop

OnHangup = Callable[[bool], None]


class HangupWatch:
    """Tells of each watched connection whose peer closes its side, and of one that breaks, then or later.

    Costs nothing until the first connection is watched. All descriptors have to be forgotten before they are
    closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._epoll: select.epoll | None = None
        self._watched: dict[int, OnHangup] = {}

    def watch(self, descriptor: int, on_hangup: OnHangup) -> None:
        """Call `on_hangup` when the peer is gone: with True where the connection is broken both ways.

        False, told once, says that the peer will send no more; what it sent before may still be read.
        """
        if self._epoll is None:
            self._epoll = select.epoll()
            self.loop.add_reader(self._epoll.fileno(), self._on_events)
        if descriptor not in self._watched:
            self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        self._watched[descriptor] = on_hangup

    def unwatch(self, descriptor: int) -> None:
        """Watch it no more."""
        if self._watched.pop(descriptor, None) is not None and self._epoll is not None:
            self._epoll.unregister(descriptor)

    def _on_events(self) -> None:
        assert self._epoll is not None
        for descriptor, mask in self._epoll.poll(0, MAX_EVENTS):
            is_broken = bool(mask & BROKEN)
            if not is_broken:
                self._epoll.modify(descriptor, select.EPOLLONESHOT)  # a break is told of all the same
            self._watched[descriptor](is_broken)

    def close(self) -> None:
        """Let go of everything."""
        self._watched.clear()
        if self._epoll is not None:
            self.loop.remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None
