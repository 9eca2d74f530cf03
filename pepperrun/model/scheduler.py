"""One queue of events in virtual time. The same seed and inputs give the same run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

SECOND = 1_000_000_000


class Handle:
    """Something that will be done, unless it is cancelled."""

    __slots__ = ("arguments", "call", "cancelled", "when")

    def __init__(self, when: int, call: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self.when, self.call, self.arguments, self.cancelled = when, call, arguments, False

    def cancel(self) -> None:
        """Not to be done any more."""
        self.cancelled = True


class Scheduler:
    """The clock and the queue. Times are integer nanoseconds; of two events at one time the first asked for
    comes first."""

    def __init__(self, start: int = 1_000 * SECOND) -> None:
        self.now = self.start = start
        self._queue: list[tuple[int, int, Handle]] = []
        self._count = 0
        self.event_count = 0

    def clock(self) -> int:
        """The time, as the gatekeeper's clock gives it."""
        return self.now

    def at(self, when: int, call: Callable[..., object], *arguments: Any) -> Handle:
        """Calls at a time; at once (but not from here) where that is past."""
        handle = Handle(max(when, self.now), call, arguments)
        self._count += 1
        heapq.heappush(self._queue, (handle.when, self._count, handle))
        return handle

    def after(self, delay: int, call: Callable[..., object], *arguments: Any) -> Handle:
        """Calls after so many nanoseconds."""
        return self.at(self.now + delay, call, *arguments)

    def run(self, until: int) -> None:
        """Does all that is due up to a time, which it then is."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            when, _, handle = heapq.heappop(queue)
            if not handle.cancelled:
                self.now = when
                self.event_count += 1
                handle.call(*handle.arguments)
        self.now = max(self.now, until)


class SchedulerLoop:
    """What the gatekeeper asks of an event loop, on a scheduler's clock."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler

    def call_later(self, delay: float, call: Callable[..., object], *arguments: Any) -> Handle:
        """As asyncio's; the delay is in seconds and rounded up to a nanosecond."""
        return self.scheduler.after(max(0, -int(-delay * SECOND // 1)), call, *arguments)

    def call_soon(self, call: Callable[..., object], *arguments: Any) -> Handle:
        """As asyncio's."""
        return self.scheduler.after(0, call, *arguments)
