"""A queue of events in virtual time. The same seed and inputs give the same run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

SECOND = 1_000_000_000


class Handle:
    """A scheduled call, which can be cancelled."""

    __slots__ = ("arguments", "call", "cancelled", "when")

    def __init__(self, when: int, call: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self.when, self.call, self.arguments, self.cancelled = when, call, arguments, False

    def cancel(self) -> None:
        """Prevents the call. Has no effect once the call was made."""
        self.cancelled = True


class Scheduler:
    """Virtual clock and event queue.

    Times are integer nanoseconds. Events due at the same time run in the order in which they were scheduled.
    """

    def __init__(self, start: int = 1_000 * SECOND) -> None:
        self.now = self.start = start
        self._queue: list[tuple[int, int, Handle]] = []
        self._count = 0
        self.event_count = 0

    def clock(self) -> int:
        """Returns the virtual time in ns, as the gatekeeper's `clock` does."""
        return self.now

    def at(self, when: int, call: Callable[..., object], *arguments: Any) -> Handle:
        """Schedules a call at a time in ns; a time in the past counts as now. Never calls directly."""
        handle = Handle(max(when, self.now), call, arguments)
        self._count += 1
        heapq.heappush(self._queue, (handle.when, self._count, handle))
        return handle

    def after(self, delay: int, call: Callable[..., object], *arguments: Any) -> Handle:
        """Schedules a call after `delay` ns."""
        return self.at(self.now + delay, call, *arguments)

    def run(self, until: int) -> None:
        """Runs all events due up to the time `until`, and sets the clock to it."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            when, _, handle = heapq.heappop(queue)
            if not handle.cancelled:
                self.now = when
                self.event_count += 1
                handle.call(*handle.arguments)
        self.now = max(self.now, until)


class SchedulerLoop:
    """The subset of an asyncio event loop that the gatekeeper uses, on a scheduler's virtual clock."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler

    def call_later(self, delay: float, call: Callable[..., object], *arguments: Any) -> Handle:
        """Like asyncio's method: the delay is in seconds, here rounded up to a nanosecond."""
        return self.scheduler.after(max(0, -int(-delay * SECOND // 1)), call, *arguments)

    def call_soon(self, call: Callable[..., object], *arguments: Any) -> Handle:
        """Like asyncio's method: calls at the current time, after the events already due at that time."""
        return self.scheduler.after(0, call, *arguments)
