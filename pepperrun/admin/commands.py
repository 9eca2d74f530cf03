"""What operators' lines mean and how they are answered. Does no I/O.

A call is one line; the answer begins with `done` or `error`, but for metrics, which end with a line `end`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

MAX_LINE_BYTES = 256  # bytes of a call; the longest there is has 9
DONE = b"done\n"
NOT_READY = b"error not ready\n"


@dataclass(slots=True, frozen=True)
class Metric:
    """A figure; `is_counter`: it only grows from 0 while the process runs."""

    name: str
    value: int
    is_counter: bool


def format_statsd(metrics: Iterable[Metric]) -> bytes:
    """Figures as lines of statsd's form, and the line that ends them."""
    lines = [f"node.{metric.name}:{metric.value}|{'c' if metric.is_counter else 'g'}\n" for metric in metrics]
    return "".join(lines).encode() + b"end\n"


class CommandHandler:
    """Answers calls with what the two sources say at that moment."""

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], Iterable[Metric]],
        extra: Callable[[bytes], bytes | None] = lambda command: None,
    ) -> None:
        self.ready, self.metrics, self.extra = ready, metrics, extra

    def answer(self, line: bytes) -> bytes:
        """The answer to a line without its end; what can't be read gets one line that begins with `error`."""
        match line.strip(b" \t\r"):
            case b"readyz":
                return DONE if self.ready() else NOT_READY
            case b"telemetry":
                return format_statsd(self.metrics())
            case b"":
                return b"error empty call\n"
        return self.extra(line.strip(b" \t\r")) or b"error no such call: readyz and telemetry are known\n"


def parse_command(received: bytes) -> bytes | None:
    """The call in what has come so far, None until its line has ended; ValueError where none is to come."""
    line, end, _ = received.partition(b"\n")
    if len(line) > MAX_LINE_BYTES:
        raise ValueError("the line is too long")
    return line if end else None
