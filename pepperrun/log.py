"""Log lines for operators: text or JSON on standard error, at most one line per kind and second.

The stand-alone sidecar, `python -m pepperrun`, writes its lines in this way. In `control_node` and
`gateway_node` the lines go to absl as events, once `pepperrun.foundation.logs.setup` has run.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

from pepperrun.core.clock import SECOND, Throttle

PRINT_INTERVAL_NS = SECOND

_throttle = Throttle(PRINT_INTERVAL_NS)
Sink = Callable[[str, str, int], None]  # kind, text, and number of suppressed lines of that kind
_sink: Sink | None = None
_suppressed: dict[str, int] = {}


def set_sink(sink: Sink | None) -> None:
    """Sends further lines to a function; None: to standard error as text."""
    global _sink
    _sink = sink


def enable_json() -> None:
    """Writes lines as JSON objects to standard error; raises ValueError if structlog is not installed."""
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
    """Writes a line, or only counts it if one of its kind was written within the last second."""
    if not _throttle.allows(kind, clock()):
        _suppressed[kind] = _suppressed.get(kind, 0) + 1
        return
    more = _suppressed.pop(kind, 0)
    if _sink is not None:
        _sink(kind, text, more)
        return
    print(f"pepperrun: {text}" + (f" ({more} more)" if more else ""), file=sys.stderr, flush=True)
