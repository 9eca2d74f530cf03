"""Two event loops on real sockets in one thread, under one virtual clock.

The data plane runs in one loop, clients and workers in the other, so that the data plane can be frozen while
the others continue. Time advances only when both loops are idle, so a conversation of minutes takes
milliseconds.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")
START_S = 1000.0
IDLE_ROUNDS = 2  # rounds of both loops without an event before time advances
MAX_ROUNDS = 200_000  # of one conversation; with more, a loop never becomes idle


class NonBlockingSelector(selectors.DefaultSelector):
    """A selector that never blocks: SteppedLoops decides when time advances."""

    event_count = 0

    def select(self, timeout: float | None = None) -> Any:
        events = super().select(0)
        self.event_count += len(events)
        return events


class SteppedLoop(asyncio.SelectorEventLoop):
    """An event loop that runs one round at a time, on virtual time."""

    def __init__(self, loops: SteppedLoops) -> None:
        self.loops, self.selector = loops, NonBlockingSelector()
        self.crashes: list[str] = []
        super().__init__(self.selector)
        self.set_exception_handler(self._record_crash)

    def _record_crash(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.crashes.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        return self.loops.now

    def round(self) -> bool:
        """Runs the ready callbacks; returns False if there were none and none became ready."""
        internals: Any = self
        before = self.selector.event_count
        had = len(internals._ready) > 0
        asyncio.events._set_running_loop(self)
        try:
            internals._run_once()
        finally:
            asyncio.events._set_running_loop(None)
        return had or self.selector.event_count > before or len(internals._ready) > 0

    def next_timer_at(self) -> float | None:
        """Returns the time of the next timer, None without timers."""
        scheduled: Any = getattr(self, "_scheduled")  # noqa: B009
        return scheduled[0].when() if scheduled else None


class SteppedLoops:
    """The virtual clock and both event loops."""

    def __init__(self) -> None:
        self.now = START_S
        self.plane, self.peers = SteppedLoop(self), SteppedLoop(self)
        self.frozen_until = 0.0
        self.rounds = 0

    def clock(self) -> int:
        """Returns the virtual time in nanoseconds."""
        return int(self.now * 1e9)

    def freeze(self, seconds: float) -> None:
        """Stops running the data plane's loop; its sockets continue to receive."""
        self.frozen_until = self.now + seconds

    def _round(self) -> bool:
        self.rounds += 1
        if self.rounds > MAX_ROUNDS:
            raise RuntimeError("the event loops did not become idle within the limit of rounds")
        active = self.peers.round()
        if self.now >= self.frozen_until:
            active = self.plane.round() or active
        return active

    def _advance(self, latest: float) -> None:
        """Advances to the next timer of a running loop, at most to `latest`."""
        frozen = self.now < self.frozen_until
        due_times = [self.peers.next_timer_at(), self.frozen_until if frozen else self.plane.next_timer_at()]
        due = min((one for one in due_times if one is not None), default=latest)
        self.now = min(latest, max(self.now, due) + 1e-9)

    def run(self, coro: Coroutine[Any, Any, Result], loop: SteppedLoop, limit_s: float) -> Result:
        """Runs both loops until `coro`, a task of `loop`, is done.

        Raises TimeoutError after `limit_s` seconds of virtual time.
        """
        task = loop.create_task(coro)
        end, idle_rounds = self.now + limit_s, 0
        while not task.done():
            idle_rounds = 0 if self._round() else idle_rounds + 1
            if idle_rounds < IDLE_ROUNDS:
                continue
            if self.now >= end:
                task.cancel()
                raise TimeoutError(f"the task is not done after {limit_s} s of virtual time")
            self._advance(end)
            idle_rounds = 0
        return task.result()

    def close(self) -> None:
        """Cancels the remaining tasks and closes both loops."""
        self.frozen_until = 0.0
        for loop in (self.plane, self.peers):
            for task in asyncio.all_tasks(loop):
                task.cancel()
        for _ in range(6):
            self._round()
        for loop in (self.plane, self.peers):
            loop.close()
