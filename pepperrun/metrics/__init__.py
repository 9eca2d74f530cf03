"""Metrics of the running process, sent to Graphite and collectd."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from pepperrun.config import Address, address, get, json_object, known_keys
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.log import log_message
from pepperrun.net.buffered import BufferedConnection
from pepperrun.net.listener import Listener
from pepperrun.net.upstream import UpstreamClient

CONNECT_TIMEOUT_S = 2.0
MAX_UNSENT_BYTES = 256 * 1024
MAX_UNREAD_BYTES = 4096


@dataclass(slots=True, frozen=True)
class Sample:
    """A metric's value. `is_counter`: the value only grows while the process runs."""

    name: str
    value: float
    is_counter: bool


def gateway_samples(
    name: str, gatekeeper: Gatekeeper, upstream: UpstreamClient, listener: Listener | None
) -> list[Sample]:
    """Returns the metrics of a gatekeeper and its listener, by dotted names that begin with `name`.

    Operators match these names and those of `telemetry` (`pepperrun.admin.core_metrics`), so the two lists
    stay different.
    """
    requests = [
        Sample(f"{name}.requests.{end.value.replace(' ', '_')}", count, True)
        for end, count in gatekeeper.counts.items()
    ]
    attempts = [
        Sample(f"{name}.attempts.{outcome.value}", count, True)
        for outcome, count in gatekeeper.outcomes.items()
    ]
    connections = [
        Sample(f"{name}.requests.held", gatekeeper.pending_count(), False),
        Sample(f"{name}.connections.backends", len(upstream.connections), False),
        Sample(f"{name}.connections.opened", upstream.opened, True),
    ]
    if listener is not None:
        connections.append(Sample(f"{name}.connections.clients", listener.count(), False))
    return requests + attempts + connections


def process_samples() -> list[Sample]:
    """Returns the metrics of the process: CPU seconds and peak memory in KiB."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return [
        Sample("process.cpu_seconds", round(usage.ru_utime + usage.ru_stime, 3), True),
        Sample("process.memory_kb", usage.ru_maxrss, False),
    ]


@dataclass(slots=True, frozen=True)
class MetricsConfig:
    """Where metrics are sent and how often."""

    interval_s: float
    prefix: str
    graphite: Address | None
    collectd: str | None
    host: str


def read_metrics(text: str) -> MetricsConfig:
    """Parses the metrics file. Raises ValueError, which names the invalid key."""
    table = json_object(text, "metrics: ")
    known_keys(table, "graphite collectd interval_s prefix host")
    graphite = address(table, "graphite") if table.get("graphite") else None
    collectd = get(table, "collectd", str)
    if graphite is None and not collectd:
        raise ValueError("graphite: set graphite or collectd")
    interval = get(table, "interval_s", float, 10.0)
    if not 0.1 <= interval <= 3600:
        raise ValueError("interval_s: must be from 0.1 to 3600")
    prefix, host = get(table, "prefix", str, "pepperrun"), get(table, "host", str, "localhost")
    for key, value in (("prefix", prefix), ("host", host)):
        if not value or not all(char.isalnum() or char in "._-" for char in value) or not value.isascii():
            raise ValueError(f"{key}: letters, digits, '.', '_' and '-' only")
    return MetricsConfig(interval, prefix, graphite, collectd or None, host)


class MetricsConnection(BufferedConnection):
    """A connection to a metrics sink; `on_line` receives each line that the sink sends back."""

    def __init__(self, on_line: Callable[[str], None]) -> None:
        super().__init__(MAX_UNREAD_BYTES)
        self.on_line = on_line

    def on_data(self) -> None:
        while (at := self.buffer.find(b"\n")) >= 0:
            self.on_line(self.buffer.take(at + 1).decode("utf-8", "replace").strip())
        if self.buffer.is_full():
            self.buffer.drop(len(self.buffer))

    def eof_received(self) -> bool:
        return False


class Reporter:
    """Sends the metrics at each interval.

    An unreachable or slow sink loses metrics but never affects requests.
    """

    def __init__(
        self,
        name: str,
        interval_s: float,
        connect: Callable[[Callable[[], MetricsConnection]], Any],
        format_lines: Callable[[list[Sample], int], Iterable[str]],
        collect_samples: Callable[[], list[Sample]],
        now_s: Callable[[], int],
    ) -> None:
        self.name, self.interval_s, self.connect = name, interval_s, connect
        self.format_lines, self.collect_samples, self.now_s = format_lines, collect_samples, now_s
        self.connection: MetricsConnection | None = None

    def on_line(self, line: str) -> None:
        """Logs a rejection: collectd sends a status below 0 for a rejected line, Graphite sends no lines."""
        if line.startswith("-"):
            log_message(self.name, f"{self.name}: {line}")

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            await asyncio.sleep(self.interval_s)
            await self.report()

    async def report(self) -> None:
        """Sends all metrics once, connecting first if necessary."""
        if (
            self.connection is None
            or self.connection.transport is None
            or self.connection.transport.is_closing()
        ):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, self.connection = await self.connect(lambda: MetricsConnection(self.on_line))
            except OSError as error:
                log_message(self.name, f"{self.name}: {error or 'connection timed out'}")
                return
        transport = self.connection.transport if self.connection is not None else None
        if transport is None or transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log_message(self.name, f"{self.name}: metrics dropped, the sink does not read its connection")
            return
        text = "".join(line + "\n" for line in self.format_lines(self.collect_samples(), self.now_s()))
        transport.write(text.encode())
