"""Graphite's plaintext protocol: `path value timestamp`, a line each, over TCP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pepperrun.config import Address
from pepperrun.metrics import Reporter, Sample


def lines(prefix: str, figures: list[Sample], now_s: int) -> list[str]:
    """The lines of a round."""
    return [f"{prefix}.{sample.name} {sample.value:.15g} {now_s}" for sample in figures]


def reporter(to: Address, prefix: str, interval_s: float, figures: Callable[[], list[Sample]]) -> Reporter:
    """Sends to a carbon listener."""
    loop = asyncio.get_running_loop()
    return Reporter(
        "graphite",
        interval_s,
        lambda make: loop.create_connection(make, *to),
        lambda some, now_s: lines(prefix, some, now_s),
        figures,
        lambda: int(time.time()),
    )
