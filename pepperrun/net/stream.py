"""One body on its way from one connection to another, in bounded pieces, and the memory of all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MIN_BUFFER_BYTES = 4 * 1024  # bytes that a body may have under way, however many there are
MAX_BUFFER_BYTES = 64 * 1024
BUFFERS_PER_BODY = 3  # that hold a part of a body: read, being passed on, and not yet taken by the other side
BASE_MB = 24  # of the limit on memory: the program itself with its other connections
BODY_MEMORY_DIVISOR = 2  # this part of the rest is for bodies
MIN_TOTAL_BYTES = 2 * 1024 * 1024


class MemoryBudget:
    """What all bodies that pass through may hold together, in bytes."""

    def __init__(self, total: int) -> None:
        self.total, self.bodies = total, 0

    @classmethod
    def from_memory_limit(cls, limit_mb: float) -> MemoryBudget:
        """From the limit on the process's memory."""
        return cls(max(MIN_TOTAL_BYTES, int((limit_mb - BASE_MB) / BODY_MEMORY_DIVISOR * 1024 * 1024)))

    def buffer_limit(self) -> int:
        """How much of one body may wait in each place now."""
        return max(
            MIN_BUFFER_BYTES, min(MAX_BUFFER_BYTES, self.total // (BUFFERS_PER_BODY * max(1, self.bodies)))
        )


class BodySink(Protocol):
    """Who writes the body on."""

    def write_body(self, data: bytes) -> None: ...

    def finish_body(self) -> None: ...

    def abort_body(self) -> None: ...


class BodyStream:
    """Whoever reads feeds it; whoever writes opens it, holds it while it can't write, or drops it.

    `pause` is given True when no more is to be read and False when reading may go on; `abandon` is called
    when nobody takes the rest.
    """

    __slots__ = (
        "_buffered",
        "_on_abandoned",
        "_on_pause",
        "attached",
        "budget",
        "closed",
        "ended_complete",
        "sink",
    )

    def __init__(
        self, budget: MemoryBudget, pause: Callable[[bool], None], abandon: Callable[[], None]
    ) -> None:
        self.budget, self._on_pause, self._on_abandoned = budget, pause, abandon
        self._buffered: list[bytes] = []  # fed before it was opened
        self.sink: BodySink | None = None
        self.attached = False
        self.ended_complete: bool | None = None  # True: whole; False: broken
        self.closed = False  # nothing more passes
        budget.bodies += 1

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self.budget.bodies -= 1
            self._buffered.clear()
            self.sink = None

    # For whoever reads.

    def feed(self, data: bytes) -> None:
        """More of the body."""
        if self.closed or not data:
            return
        if self.sink is None:
            self._buffered.append(data)
            self._on_pause(True)
        else:
            self.sink.write_body(data)

    def finish(self) -> None:
        """That was all of it."""
        self._end(True)

    def fail(self) -> None:
        """The rest will never come."""
        self._end(False)

    def _end(self, whole: bool) -> None:
        if self.closed or self.ended_complete is not None:
            return
        self.ended_complete = whole
        taker = self.sink
        if taker is not None:
            self._close()
            (taker.finish_body if whole else taker.abort_body)()

    # For whoever writes.

    def attach(self, taker: BodySink) -> None:
        """Writes it on from here; only the first one that opens it can."""
        if self.attached or self.closed:
            taker.abort_body()
            return
        self.attached, self.sink = True, taker
        ahead, self._buffered = self._buffered, []
        for data in ahead:
            if self.sink is not None:
                self.sink.write_body(data)
        if self.closed:
            return
        if self.ended_complete is not None:
            whole, self.ended_complete = self.ended_complete, None
            self._end(whole)
        elif ahead:
            self._on_pause(False)

    def pause(self, on: bool) -> None:
        """No more can be taken now, or again."""
        if not self.closed and self.ended_complete is None:
            self._on_pause(on)

    def abandon(self) -> None:
        """Nobody takes the rest."""
        if not self.closed:
            self._close()
            if self.ended_complete is None:
                self._on_abandoned()
