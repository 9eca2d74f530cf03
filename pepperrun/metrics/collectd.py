"""collectd's plain text protocol of its unixsock plugin: one `PUTVAL` line per metric."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pepperrun.metrics import Reporter, Sample


def format_lines(host: str, plugin: str, interval_s: float, samples: list[Sample], now_s: int) -> list[str]:
    """Returns the lines of one report. The identifier is host/plugin-instance/type-instance."""
    lines = []
    for sample in samples:
        core, _, name = sample.name.partition(".")
        value_type = "derive" if sample.is_counter else "gauge"
        # collectd accepts only integers for the type derive.
        value = f"{int(sample.value)}" if sample.is_counter else f"{sample.value:.15g}"
        identifier = f"{host}/{plugin}-{core}/{value_type}-{name.replace('.', '_')}"
        lines.append(f'PUTVAL "{identifier}" interval={interval_s:g} {now_s}:{value}')
    return lines


def reporter(
    path: str, host: str, plugin: str, interval_s: float, collect_samples: Callable[[], list[Sample]]
) -> Reporter:
    """Returns a reporter that sends to the socket of collectd's unixsock plugin."""
    loop = asyncio.get_running_loop()
    return Reporter(
        "collectd",
        interval_s,
        lambda make: loop.create_unix_connection(make, path),
        lambda samples, now_s: format_lines(host, plugin, interval_s, samples, now_s),
        collect_samples,
        lambda: int(time.time()),
    )
