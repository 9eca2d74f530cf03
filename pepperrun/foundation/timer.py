"""A timer of the event loop that always waits for the earliest time that was requested."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

NS_PER_S = 1e9


class Timer:
    """Calls `callback` once, at the earliest of the times that were set (monotonic clock, ns)."""

    def __init__(self, callback: Callable[[], None], clock: Callable[[], int]) -> None:
        self.callback = callback
        self.clock = clock
        self._due = 0
        self._handle: asyncio.TimerHandle | None = None

    def set(self, due: int) -> None:
        """Call back at `due`, unless an earlier time is already set."""
        if self._due and self._due <= due:
            return
        self.stop()
        self._due = due
        wait_s = max(0, due - self.clock()) / NS_PER_S
        self._handle = asyncio.get_running_loop().call_later(wait_s, self._fire)

    def _fire(self) -> None:
        self._due = 0
        self._handle = None
        self.callback()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._handle is not None:
            self._handle.cancel()
        self._due = 0
        self._handle = None
