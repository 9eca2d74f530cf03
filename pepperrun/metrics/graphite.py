"""Graphite's plaintext protocol: `path value timestamp`, a line each, over TCP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pepperrun.config import Address
from pepperrun.metrics import Reporter, Sample


def format_lines(prefix: str, samples: list[Sample], now_s: int) -> list[str]:
    """The lines of a round."""
    return [f"{prefix}.{sample.name} {sample.value:.15g} {now_s}" for sample in samples]


def reporter(
    to: Address, prefix: str, interval_s: float, collect_samples: Callable[[], list[Sample]]
) -> Reporter:
    """Sends to a carbon listener."""
    loop = asyncio.get_running_loop()
    return Reporter(
        "graphite",
        interval_s,
        lambda make: loop.create_connection(make, *to),
        lambda samples, now_s: format_lines(prefix, samples, now_s),
        collect_samples,
        lambda: int(time.time()),
    )
