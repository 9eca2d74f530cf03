"""What operators' lines mean and how they are answered. Does no I/O.

A call is one line; the answer begins with `done` or `error`, but for figures, which end with a line `end`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

MOST_LINE = 256  # bytes of a call; the longest there is has 9
DONE = b"done\n"
NOT_YET = b"error not ready\n"


@dataclass(slots=True, frozen=True)
class Figure:
    """A figure; `counts`: it only grows from 0 while the process runs."""

    name: str
    value: int
    counts: bool


def worded(figures: Iterable[Figure]) -> bytes:
    """Figures as lines of statsd's form, and the line that ends them."""
    lines = [f"node.{one.name}:{one.value}|{'c' if one.counts else 'g'}\n" for one in figures]
    return "".join(lines).encode() + b"end\n"


class Calls:
    """Answers calls with what the two sources say at that moment."""

    def __init__(
        self,
        ready: Callable[[], bool],
        figures: Callable[[], Iterable[Figure]],
        more: Callable[[bytes], bytes | None] = lambda call: None,
    ) -> None:
        self.ready, self.figures, self.more = ready, figures, more

    def answer(self, line: bytes) -> bytes:
        """The answer to a line without its end; what can't be read gets one line that begins with `error`."""
        match line.strip(b" \t\r"):
            case b"readyz":
                return DONE if self.ready() else NOT_YET
            case b"telemetry":
                return worded(self.figures())
            case b"":
                return b"error empty call\n"
        return self.more(line.strip(b" \t\r")) or b"error no such call: readyz and telemetry are known\n"


def line_of(held: bytes) -> bytes | None:
    """The call in what has come so far, None until its line has ended; ValueError where none is to come."""
    line, end, _ = held.partition(b"\n")
    if len(line) > MOST_LINE:
        raise ValueError("the line is too long")
    return line if end else None
