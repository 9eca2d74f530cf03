"""Parses and answers operators' commands. Does no I/O.

A command is one line. Its answer begins with `done` or `error`; metrics have no such line but end with a line
`end`. Operators match the texts of the answers, so these stay as they are: "call" in them means a command.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

MAX_LINE_BYTES = 256  # the longest known command, `telemetry`, has 9
DONE = b"done\n"
NOT_READY = b"error not ready\n"


@dataclass(slots=True, frozen=True)
class Metric:
    """A metric: a gauge, or with `is_counter` a counter, which only grows from 0 while the process runs."""

    name: str
    value: int
    is_counter: bool


def format_statsd(metrics: Iterable[Metric]) -> bytes:
    """Returns metrics as lines in statsd's format, followed by the line `end`."""
    lines = [f"node.{metric.name}:{metric.value}|{'c' if metric.is_counter else 'g'}\n" for metric in metrics]
    return "".join(lines).encode() + b"end\n"


class CommandHandler:
    """Answers commands from the current readiness and metrics.

    `extra` answers commands that are not known here; None if it does not know them either.
    """

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], Iterable[Metric]],
        extra: Callable[[bytes], bytes | None] = lambda command: None,
    ) -> None:
        self.ready, self.metrics, self.extra = ready, metrics, extra

    def answer(self, line: bytes) -> bytes:
        """Returns the answer to a line without its newline; for an unknown command one line with `error`."""
        match line.strip(b" \t\r"):
            case b"readyz":
                return DONE if self.ready() else NOT_READY
            case b"telemetry":
                return format_statsd(self.metrics())
            case b"":
                return b"error empty call\n"
        return self.extra(line.strip(b" \t\r")) or b"error no such call: readyz and telemetry are known\n"


def parse_command(received: bytes) -> bytes | None:
    """Returns the command in the received bytes, None until its line is complete.

    Raises ValueError if the line is longer than `MAX_LINE_BYTES`.
    """
    line, end, _ = received.partition(b"\n")
    if len(line) > MAX_LINE_BYTES:
        raise ValueError("the line is too long")
    return line if end else None
