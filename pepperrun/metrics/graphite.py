"""Graphite's plaintext protocol: one line `path value timestamp` per metric, over TCP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pepperrun.config import Address
from pepperrun.metrics import Reporter, Sample


def format_lines(prefix: str, samples: list[Sample], now_s: int) -> list[str]:
    """Returns the lines of one report."""
    return [f"{prefix}.{sample.name} {sample.value:.15g} {now_s}" for sample in samples]


def reporter(
    to: Address, prefix: str, interval_s: float, collect_samples: Callable[[], list[Sample]]
) -> Reporter:
    """Returns a reporter that sends to a carbon listener."""
    loop = asyncio.get_running_loop()
    return Reporter(
        "graphite",
        interval_s,
        lambda make: loop.create_connection(make, *to),
        lambda samples, now_s: format_lines(prefix, samples, now_s),
        collect_samples,
        lambda: int(time.time()),
    )
