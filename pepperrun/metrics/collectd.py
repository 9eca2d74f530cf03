"""collectd's plain text protocol, as its unixsock plugin speaks it: `PUTVAL`, a line each."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pepperrun.metrics import Reporter, Sample


def lines(host: str, plugin: str, interval_s: float, figures: list[Sample], now_s: int) -> list[str]:
    """The lines of a round. The identifier is host/plugin-instance/type-instance."""
    out = []
    for sample in figures:
        core, _, name = sample.name.partition(".")
        kind = "derive" if sample.counts else "gauge"
        # A derive is a whole number to collectd.
        value = f"{int(sample.value)}" if sample.counts else f"{sample.value:.15g}"
        identifier = f"{host}/{plugin}-{core}/{kind}-{name.replace('.', '_')}"
        out.append(f'PUTVAL "{identifier}" interval={interval_s:g} {now_s}:{value}')
    return out


def reporter(
    path: str, host: str, plugin: str, interval_s: float, figures: Callable[[], list[Sample]]
) -> Reporter:
    """Sends to the socket of collectd's unixsock plugin."""
    loop = asyncio.get_running_loop()
    return Reporter(
        "collectd",
        interval_s,
        lambda make: loop.create_unix_connection(make, path),
        lambda some, now_s: lines(host, plugin, interval_s, some, now_s),
        figures,
        lambda: int(time.time()),
    )
