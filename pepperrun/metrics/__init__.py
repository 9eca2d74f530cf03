"""Figures of the running program, for Graphite and collectd."""

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

CONNECT_S = 2.0
MOST_UNSENT = 256 * 1024
MOST_UNREAD = 4096


@dataclass(slots=True, frozen=True)
class Sample:
    """A figure; `counts`: it only grows while the program runs."""

    name: str
    value: float
    counts: bool


def samples(
    name: str, gatekeeper: Gatekeeper, servers: UpstreamClient, listener: Listener | None
) -> list[Sample]:
    """The figures of a core and its front. Names are dotted, the core's first."""
    taken = [
        Sample(f"{name}.requests.{end.value.replace(' ', '_')}", count, True)
        for end, count in gatekeeper.counts.items()
    ]
    ended = [
        Sample(f"{name}.attempts.{outcome.value}", count, True)
        for outcome, count in gatekeeper.outcomes.items()
    ]
    now = [
        Sample(f"{name}.requests.held", gatekeeper.pending_count(), False),
        Sample(f"{name}.connections.backends", len(servers.connections), False),
        Sample(f"{name}.connections.opened", servers.opened, True),
    ]
    if listener is not None:
        now.append(Sample(f"{name}.connections.clients", listener.count(), False))
    return taken + ended + now


def process_samples() -> list[Sample]:
    """The figures of the process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return [
        Sample("process.cpu_seconds", round(usage.ru_utime + usage.ru_stime, 3), True),
        Sample("process.memory_kb", usage.ru_maxrss, False),
    ]


@dataclass(slots=True, frozen=True)
class MetricsConfig:
    """Where the figures go and how often."""

    interval_s: float
    prefix: str
    graphite: Address | None
    collectd: str | None
    host: str


def read_metrics(text: str) -> MetricsConfig:
    """The metrics file; ValueError names a bad key."""
    table = json_object(text, "metrics: ")
    known_keys(table, "graphite collectd interval_s prefix host")
    graphite = address(table, "graphite") if table.get("graphite") else None
    collectd = get(table, "collectd", str)
    if graphite is None and not collectd:
        raise ValueError("graphite: neither it nor collectd is given")
    interval = get(table, "interval_s", float, 10.0)
    if not 0.1 <= interval <= 3600:
        raise ValueError("interval_s: must be from 0.1 to 3600")
    prefix, host = get(table, "prefix", str, "pepperrun"), get(table, "host", str, "localhost")
    for key, value in (("prefix", prefix), ("host", host)):
        if not value or not all(char.isalnum() or char in "._-" for char in value) or not value.isascii():
            raise ValueError(f"{key}: letters, digits, '.', '_' and '-' only")
    return MetricsConfig(interval, prefix, graphite, collectd or None, host)


class Link(BufferedConnection):
    """A connection on which lines go out; `heard` is given each line that comes back."""

    def __init__(self, heard: Callable[[str], None]) -> None:
        super().__init__(MOST_UNREAD)
        self.heard = heard

    def on_data(self) -> None:
        while (at := self.buffer.find(b"\n")) >= 0:
            self.heard(self.buffer.take(at + 1).decode("utf-8", "replace").strip())
        if self.buffer.is_full():
            self.buffer.drop(len(self.buffer))

    def eof_received(self) -> bool:
        return False


class Reporter:
    """Sends the figures at each interval. A sink that is away or slow costs figures, never requests."""

    def __init__(
        self,
        name: str,
        interval_s: float,
        connect: Callable[[Callable[[], Link]], Any],
        lines: Callable[[list[Sample], int], Iterable[str]],
        figures: Callable[[], list[Sample]],
        now_s: Callable[[], int],
    ) -> None:
        self.name, self.interval_s, self.connect = name, interval_s, connect
        self.lines, self.figures, self.now_s = lines, figures, now_s
        self.link: Link | None = None

    def heard(self, line: str) -> None:
        """An answer line; Graphite gives none, collectd a status below 0 for what it did not take."""
        if line.startswith("-"):
            log_message(self.name, f"{self.name}: {line}")

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            await asyncio.sleep(self.interval_s)
            await self.report()

    async def report(self) -> None:
        """One round."""
        if self.link is None or self.link.transport is None or self.link.transport.is_closing():
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, self.link = await self.connect(lambda: Link(self.heard))
            except OSError as error:
                log_message(self.name, f"{self.name}: {error or 'no connection in time'}")
                return
        transport = self.link.transport if self.link is not None else None
        if transport is None or transport.get_write_buffer_size() > MOST_UNSENT:
            log_message(self.name, f"{self.name}: does not take its lines")
            return
        text = "".join(line + "\n" for line in self.lines(self.figures(), self.now_s()))
        transport.write(text.encode())
