"""An open-loop load of confirmations: `python3 -m pepperrun.bench.askers HOST PORT`, commands as lines.

Arrivals are drawn ahead and don't wait for answers, and a time counts from the moment at which its request
was to be sent: a gatekeeper that stalls delays those behind it too, and they are counted (no coordinated
omission). A command is a line of JSON with the arguments of `Askers.load`.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import deque
from typing import Any

import numpy
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from pepperrun.net.buffered import BufferedConnection
from pepperrun.net.http1 import RESPONSE_BUFFER_SIZE, HttpError, Response, ResponseParser

MOST_US = 60_000_000
LATE_US = 5_000_000  # a client's patience
CUSTOMERS = 500
PERCENTILES = {"p50_ms": 50, "p99_ms": 99, "p999_ms": 99.9, "most_ms": 100}


class Connection(BufferedConnection):
    """One request at a time; `done` is told of each answer's status, or 0 where there was none."""

    def __init__(self, owner: Askers) -> None:
        super().__init__(RESPONSE_BUFFER_SIZE)
        self.owner = owner
        self.parser = ResponseParser(self.buffer)
        self.intended: int | None = None

    def on_close(self) -> None:
        self._done(0)

    def on_data(self) -> None:
        try:
            answer = self.parser.next()
        except HttpError:
            if self.transport is not None:
                self.transport.abort()
            return
        if answer is not None:
            self.answered(answer)
            self._done(answer.status)

    def answered(self, answer: Response) -> None:
        """For those who want more of an answer than its status."""

    def _done(self, status: int) -> None:
        intended, self.intended = self.intended, None
        if intended is not None:
            self.owner.done(self, intended, status)


class Askers:
    """Connections that are kept, and what their requests came to."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle: deque[Connection] = deque()  # used in turn, so that each is in use all the time
        self.connections = 0
        self.out = 0
        self.calls = 0
        self.histogram = HdrHistogram(1, MOST_US, 3)
        self.statuses: dict[int, int] = {}
        self.times: list[tuple[int, float]] = []

    def head(self) -> bytes:
        """The next confirmation, each of another call and of one of many customers."""
        self.calls += 1
        return (
            b"POST /booking-confirm?customer=%016x HTTP/1.1\r\nHost: bench\r\nX-Call-Id: b%d\r\n"
            b"X-Plan: wide\r\nX-Budget: 5000m\r\nIdempotency-Key: k%d\r\n"
            b"X-Quota: units=1,spread=1,first=0\r\n"
            b"Content-Length: 7\r\n\r\nconfirm" % (self.calls % CUSTOMERS, self.calls, self.calls)
        )

    async def _ask(self, intended: int, data: bytes) -> None:
        while self.idle:
            connection = self.idle.popleft()
            if connection.transport is not None and not connection.transport.is_closing():
                break
        else:
            try:
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(self), *self.address
                )
                self.connections += 1
            except OSError:
                self.done(None, intended, 0)
                return
        connection.intended = intended
        assert connection.transport is not None
        connection.transport.write(data)

    def done(self, connection: Connection | None, intended: int, status: int) -> None:
        """A request has ended."""
        self.out -= 1
        self.statuses[status] = self.statuses.get(status, 0) + 1
        span_us = (time.monotonic_ns() - intended) // 1000
        self.histogram.record_value(max(1, min(MOST_US, span_us)))
        if status and connection is not None:
            self.idle.append(connection)

    async def load(self, rate: float, seconds: float, seed: int, ready: bool = False) -> dict[str, Any]:
        """Asks at a rate (Poisson; evenly for readiness); times in ms by percentile, and outcomes."""
        self.histogram.reset()
        self.statuses.clear()
        count = max(1, int(rate * seconds))
        gaps = numpy.random.default_rng(seed).exponential(1e9 / rate, count)
        dues = (numpy.cumsum(gaps) if not ready else numpy.arange(count) * (1e9 / rate)).astype(int).tolist()
        start, tasks = time.monotonic_ns() + 2_000_000, set()
        for due in dues:
            at = start + due
            while (left := at - time.monotonic_ns()) > 0:
                await asyncio.sleep(left / 1e9)
            self.out += 1
            data = b"GET /ready HTTP/1.1\r\nHost: bench\r\n\r\n" if ready else self.head()
            task = asyncio.create_task(self._ask(at, data))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        limit = time.monotonic() + LATE_US / 1e6
        while self.out > 0 and time.monotonic() < limit:
            await asyncio.sleep(0.005)
        figures = {
            name: self.histogram.get_value_at_percentile(part) / 1000 for name, part in PERCENTILES.items()
        }
        return figures | {
            "asked": count,
            "unanswered": self.out,
            "statuses": {str(status): number for status, number in sorted(self.statuses.items())},
            "histogram": self.histogram.encode().decode(),
        }


async def run(address: tuple[str, int]) -> None:
    """Obeys the commands on standard input until it ends."""
    askers, loop = Askers(address), asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(await askers.load(**json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(run((sys.argv[1], int(sys.argv[2]))))
