"""One timer of the event loop for whatever is due first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

NS_PER_S = 1e9


class Timer:
    """One timer of the loop: calls `callback` at the earliest time that was set (steady ns)."""

    def __init__(self, callback: Callable[[], None], clock: Callable[[], int]) -> None:
        self.callback = callback
        self.clock = clock
        self._due = 0
        self._handle: asyncio.TimerHandle | None = None

    def set(self, due: int) -> None:
        """Call back at this time, or sooner if that was asked for."""
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
        """Forget what was set."""
        if self._handle is not None:
            self._handle.cancel()
        self._due = 0
        self._handle = None
