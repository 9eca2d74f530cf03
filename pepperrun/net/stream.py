"""A message body that is streamed between two connections, and the memory limit of all such bodies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MIN_BUFFER_BYTES = 4 * 1024  # for each buffer of a body, however many bodies there are
MAX_BUFFER_BYTES = 64 * 1024
BUFFERS_PER_BODY = 3  # bytes that were read, bytes being forwarded, and bytes the receiver has not yet taken
BASE_MB = 24  # of the memory limit: the program itself with its other connections
BODY_MEMORY_DIVISOR = 2  # this fraction of the rest is for bodies
MIN_TOTAL_BYTES = 2 * 1024 * 1024


class MemoryBudget:
    """The bytes that all streamed bodies together may buffer."""

    def __init__(self, total: int) -> None:
        self.total, self.bodies = total, 0

    @classmethod
    def from_memory_limit(cls, limit_mb: float) -> MemoryBudget:
        """Returns the budget that fits the limit on the process's memory."""
        return cls(max(MIN_TOTAL_BYTES, int((limit_mb - BASE_MB) / BODY_MEMORY_DIVISOR * 1024 * 1024)))

    def buffer_limit(self) -> int:
        """Returns the bytes that each buffer of one body may hold now."""
        return max(
            MIN_BUFFER_BYTES, min(MAX_BUFFER_BYTES, self.total // (BUFFERS_PER_BODY * max(1, self.bodies)))
        )


class BodySink(Protocol):
    """The connection that writes a streamed body to its peer."""

    def write_body(self, data: bytes) -> None:
        """Writes the next bytes of the body."""
        ...

    def finish_body(self) -> None:
        """Ends the body: all of it has been written."""
        ...

    def abort_body(self) -> None:
        """Ends a body whose rest will not arrive; the peer must see that it is incomplete."""
        ...


class BodyStream:
    """Connects the reader of a body, which feeds the stream, with its sink.

    The sink attaches itself, pauses the stream while it can't write, or abandons it. `on_pause` is called
    with True when the reader must stop reading and with False when reading may go on; `on_abandoned` is
    called when no sink takes the rest.

    A stream closes, and stops counting for the budget, when its sink has been notified of the end, when the
    reader fails, or when it is abandoned. A complete body that has no sink yet stays open for one: whoever
    ends its request abandons it.
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
        self, budget: MemoryBudget, on_pause: Callable[[bool], None], on_abandoned: Callable[[], None]
    ) -> None:
        self.budget, self._on_pause, self._on_abandoned = budget, on_pause, on_abandoned
        self._buffered: list[bytes] = []  # fed before a sink was attached
        self.sink: BodySink | None = None
        self.attached = False  # a sink has been given the body, or was rejected because it was closed
        self.ended_complete: bool | None = None  # True: the body is complete; False: the reader failed
        self.closed = False  # no more bytes pass
        budget.bodies += 1

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self.budget.bodies -= 1
            self._buffered.clear()
            self.sink = None

    # For the reader.

    def feed(self, data: bytes) -> None:
        """Passes bytes to the sink; before one is attached, buffers them and pauses the reader."""
        if self.closed or not data:
            return
        if self.sink is None:
            self._buffered.append(data)
            self._on_pause(True)
        else:
            self.sink.write_body(data)

    @property
    def available(self) -> bool:
        """Whether a sink can take the body. A body is not kept, so only the first sink gets it."""
        return not self.attached and not self.closed

    def finish(self) -> None:
        """Ends the body: all of it has been fed."""
        self._end(True)

    def fail(self) -> None:
        """Ends the body: the rest will not arrive."""
        self._end(False)

    def _end(self, complete: bool) -> None:
        if self.closed or self.ended_complete is not None:
            return
        self.ended_complete = complete
        sink = self.sink
        if sink is None and complete:
            return
        self._close()
        if sink is not None:
            (sink.finish_body if complete else sink.abort_body)()

    # For the sink.

    def attach(self, sink: BodySink) -> None:
        """Writes the body to `sink` from here on. Aborts any sink but the first."""
        if not self.available:
            self.attached = True
            sink.abort_body()
            return
        self.attached, self.sink = True, sink
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            if self.sink is not None:
                self.sink.write_body(data)
        if self.closed:
            return
        if self.ended_complete is not None:
            complete, self.ended_complete = self.ended_complete, None
            self._end(complete)
        elif buffered:
            self._on_pause(False)

    def pause(self, on: bool) -> None:
        """Stops the reader (`on`) or lets it go on: back-pressure of the sink."""
        if not self.closed and self.ended_complete is None:
            self._on_pause(on)

    def abandon(self) -> None:
        """Closes the stream: no sink takes the rest."""
        if not self.closed:
            self._close()
            if self.ended_complete is None:
                self._on_abandoned()
