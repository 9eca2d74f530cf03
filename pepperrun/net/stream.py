"""One body on its way from one connection to another, in bounded pieces, and the memory of all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

LEAST = 4 * 1024  # bytes that a body may have under way, however many there are
MOST = 64 * 1024
PLACES = 3  # that hold a part of a body: read, being passed on, and not yet taken by the other side
BASE_MB = 24  # of the limit on memory: the program itself with its other connections
PART = 2  # this part of the rest is for bodies
LEAST_TOTAL = 2 * 1024 * 1024


class Budget:
    """What all bodies that pass through may hold together, in bytes."""

    def __init__(self, total: int) -> None:
        self.total, self.bodies = total, 0

    @classmethod
    def of_memory(cls, limit_mb: float) -> Budget:
        """From the limit on the process's memory."""
        return cls(max(LEAST_TOTAL, int((limit_mb - BASE_MB) / PART * 1024 * 1024)))

    def share(self) -> int:
        """How much of one body may wait in each place now."""
        return max(LEAST, min(MOST, self.total // (PLACES * max(1, self.bodies))))


class Taker(Protocol):
    """Who writes the body on."""

    def more(self, data: bytes) -> None: ...

    def whole(self) -> None: ...

    def broken(self) -> None: ...


class Stream:
    """Whoever reads feeds it; whoever writes opens it, holds it while it can't write, or drops it.

    `pause` is given True when no more is to be read and False when reading may go on; `abandon` is called
    when nobody takes the rest.
    """

    __slots__ = ("_abandon", "_ahead", "_pause", "budget", "closed", "ended", "opened", "taker")

    def __init__(self, budget: Budget, pause: Callable[[bool], None], abandon: Callable[[], None]) -> None:
        self.budget, self._pause, self._abandon = budget, pause, abandon
        self._ahead: list[bytes] = []  # fed before it was opened
        self.taker: Taker | None = None
        self.opened = False
        self.ended: bool | None = None  # True: whole; False: broken
        self.closed = False  # nothing more passes
        budget.bodies += 1

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self.budget.bodies -= 1
            self._ahead.clear()
            self.taker = None

    # For whoever reads.

    def feed(self, data: bytes) -> None:
        """More of the body."""
        if self.closed or not data:
            return
        if self.taker is None:
            self._ahead.append(data)
            self._pause(True)
        else:
            self.taker.more(data)

    def finish(self) -> None:
        """That was all of it."""
        self._end(True)

    def fail(self) -> None:
        """The rest will never come."""
        self._end(False)

    def _end(self, whole: bool) -> None:
        if self.closed or self.ended is not None:
            return
        self.ended = whole
        taker = self.taker
        if taker is not None:
            self._close()
            (taker.whole if whole else taker.broken)()

    # For whoever writes.

    def open(self, taker: Taker) -> None:
        """Writes it on from here; only the first one that opens it can."""
        if self.opened or self.closed:
            taker.broken()
            return
        self.opened, self.taker = True, taker
        ahead, self._ahead = self._ahead, []
        for data in ahead:
            if self.taker is not None:
                self.taker.more(data)
        if self.closed:
            return
        if self.ended is not None:
            whole, self.ended = self.ended, None
            self._end(whole)
        elif ahead:
            self._pause(False)

    def hold(self, on: bool) -> None:
        """No more can be taken now, or again."""
        if not self.closed and self.ended is None:
            self._pause(on)

    def drop(self) -> None:
        """Nobody takes the rest."""
        if not self.closed:
            self._close()
            if self.ended is None:
                self._abandon()
