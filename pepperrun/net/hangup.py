"""Detects that a peer has closed a connection that is not being read: one epoll instance in the event loop.

A connection whose reading is paused is in no selector of the loop; even if it were, an end of stream behind
unread bytes would not be read. The system reports a peer that has closed its side (`EPOLLRDHUP`) or reset the
connection (`EPOLLHUP`, `EPOLLERR`) regardless of unread bytes.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

BROKEN = select.EPOLLHUP | select.EPOLLERR
MAX_EVENTS = 256  # in one iteration of the loop

OnHangup = Callable[[bool], None]


class HangupWatch:
    """Reports each watched connection whose peer closes its side, and each that breaks, then or later.

    Costs nothing until the first connection is watched. Each descriptor has to be unwatched before it is
    closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._epoll: select.epoll | None = None
        self._watched: dict[int, OnHangup] = {}

    def watch(self, descriptor: int, on_hangup: OnHangup) -> None:
        """Calls `on_hangup` when the peer closes: with True where the connection is broken both ways.

        False, reported once, is a half-close: the peer sends no more; what it sent before can still be read.
        """
        if self._epoll is None:
            self._epoll = select.epoll()
            self.loop.add_reader(self._epoll.fileno(), self._on_events)
        if descriptor not in self._watched:
            self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        self._watched[descriptor] = on_hangup

    def unwatch(self, descriptor: int) -> None:
        """Stops watching a descriptor; one that is not watched is ignored."""
        if self._watched.pop(descriptor, None) is not None and self._epoll is not None:
            self._epoll.unregister(descriptor)

    def _on_events(self) -> None:
        assert self._epoll is not None
        for descriptor, mask in self._epoll.poll(0, MAX_EVENTS):
            is_broken = bool(mask & BROKEN)
            if not is_broken:
                self._epoll.modify(descriptor, select.EPOLLONESHOT)  # a later break is still reported
            self._watched[descriptor](is_broken)

    def close(self) -> None:
        """Stops watching all descriptors and closes the epoll instance."""
        self._watched.clear()
        if self._epoll is not None:
            self.loop.remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None
