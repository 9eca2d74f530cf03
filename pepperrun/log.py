"""Lines for the people on call: plain print to standard error, a few of a kind in a while."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

from pepperrun.core.clock import SECOND, Throttle

PRINT_INTERVAL_NS = SECOND

_throttle = Throttle(PRINT_INTERVAL_NS)
Sink = Callable[[str, str, int], None]  # the line's kind, its text, and how many more of its kind there were
_sink: Sink | None = None
_suppressed: dict[str, int] = {}


def set_sink(sink: Sink | None) -> None:
    """Lines go there from now on; None: to standard error as text."""
    global _sink
    _sink = sink


def enable_json() -> None:
    """One JSON object a line on standard error, by structlog; ValueError where that is not installed."""
    try:
        import structlog
    except ImportError:
        raise ValueError("--log-format: json needs structlog (pip install 'pepperrun[tools]')") from None
    log = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.BoundLogger,
    )

    def sink(kind: str, text: str, more: int) -> None:
        if more:
            log.info(text, kind=kind, more=more)
        else:
            log.info(text, kind=kind)

    set_sink(sink)


def log_message(kind: str, text: str, clock: Callable[[], int] = time.monotonic_ns) -> None:
    """Prints the line, or counts it where one of its kind was printed within the last second."""
    if not _throttle.allows(kind, clock()):
        _suppressed[kind] = _suppressed.get(kind, 0) + 1
        return
    more = _suppressed.pop(kind, 0)
    if _sink is not None:
        _sink(kind, text, more)
        return
    print(f"pepperrun: {text}" + (f" ({more} more)" if more else ""), file=sys.stderr, flush=True)
