"""Lines for the people on call: plain print to standard error, a few of a kind in a while."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

from pepperrun.clock import SECOND, Seldom

EACH = SECOND

_seldom = Seldom(EACH)
_dropped: dict[str, int] = {}


def say(kind: str, text: str, clock: Callable[[], int] = time.monotonic_ns) -> None:
    """Prints the line, or counts it where one of its kind was printed within the last second."""
    if not _seldom.now(kind, clock()):
        _dropped[kind] = _dropped.get(kind, 0) + 1
        return
    more = _dropped.pop(kind, 0)
    print(f"pepperrun: {text}" + (f" ({more} more)" if more else ""), file=sys.stderr, flush=True)
