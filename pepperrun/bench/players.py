"""Clients that play a day's load: `python3 -m pepperrun.bench.players`, one JSON line in, one out.

Open loop: a request is sent when it is due, whatever became of those before it.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque
from typing import Any

from pepperrun.bench.askers import Connection as AskerConnection
from pepperrun.net.http1 import Response

HOST = "127.0.0.1"


class Connection(AskerConnection):
    """Tells its player of answers, with what they advise."""

    wait_s = 0.0

    def answered(self, answer: Response) -> None:
        try:
            self.wait_s = float(answer.names.get(b"retry-after", b"0"))
        except ValueError:
            self.wait_s = 0.0


class Player:
    """Plays requests against gatekeepers by their numbers."""

    def __init__(self, given: dict[str, Any]) -> None:
        self.ports: list[int] = given["ports"]
        self.load: list[list[Any]] = given["load"]
        self.methods: list[str] = given["methods"]
        self.classes: list[str] = given["classes"]
        self.plans: list[str] = given["plans"]
        self.retries, self.backoff_s = given["retries"], given["backoff_ms"] / 1000
        self.honour = given["honour"]
        self.random = random.Random(given["seed"])
        self.idle: list[deque[Connection]] = [deque() for _ in self.ports]
        self.results: list[list[int | None]] = [[None, 0, 0] for _ in self.load]  # took, tries, last status
        self.waiting: dict[int, asyncio.Future[tuple[int, float]]] = {}
        self.calls = 0
        self.late = 0.0

    def done(self, connection: Connection | None, intended: int, status: int) -> None:
        """For connections: a request has ended."""
        future = self.waiting.pop(intended, None)
        if future is not None and not future.done():
            future.set_result((status, connection.wait_s if connection is not None else 0.0))

    async def _once(self, gatekeeper: int, data: bytes, patience_s: float) -> tuple[int, float]:
        idle = self.idle[gatekeeper]
        connection = None
        while idle and connection is None:
            held = idle.pop()
            connection = held if held.transport is not None and not held.transport.is_closing() else None
        loop = asyncio.get_running_loop()
        if connection is None:
            try:
                _, connection = await loop.create_connection(
                    lambda: Connection(self),  # type: ignore[arg-type]
                    HOST,
                    self.ports[gatekeeper],
                )
            except OSError:
                return 0, 0.0
        self.calls += 1
        number, future = self.calls, loop.create_future()
        self.waiting[number] = future
        connection.intended = number
        assert connection.transport is not None
        connection.transport.write(data)
        try:
            answer: tuple[int, float] = await asyncio.wait_for(future, patience_s)
        except TimeoutError:
            self.waiting.pop(number, None)
            connection.intended = None
            if connection.transport is not None:
                connection.transport.abort()
            return -1, 0.0
        if connection.transport is not None:
            idle.append(connection)
        return answer

    async def _play(self, number: int, start: int) -> None:
        at, gatekeeper, cls, plan, customer, units, true, budget, spread, first, work = self.load[number]
        result = self.results[number]
        for attempt in range(self.retries + 1):
            self.calls += 1
            method = self.methods[cls]
            body = b"confirm" if method == "POST" else b""
            key = f"Idempotency-Key: k{number}-{attempt}\r\nContent-Length: 7\r\n" if body else ""
            query = f"customer={customer:016x}&work={int(work)}&true={true:g}"
            head = (
                f"{method} /{self.classes[cls]}?{query} HTTP/1.1\r\nHost: replay\r\n"
                f"X-Call-Id: c{number}-{attempt}\r\nX-Plan: {self.plans[plan]}\r\n"
                f"X-Budget: {budget // 1000}u\r\n"
                f"X-Quota: units={units:g},spread={spread},first={first}\r\n{key}\r\n"
            )
            status, wait_s = await self._once(gatekeeper, head.encode() + body, budget / 1e9 + 0.1)
            result[1], result[2] = attempt + 1, status
            if status == 200:
                result[0] = time.monotonic_ns() - start - at
                return
            if attempt < self.retries:
                wait = self.backoff_s
                if wait_s > 0 and self.random.random() < self.honour:
                    wait = max(wait, wait_s)
                await asyncio.sleep(wait)
                gatekeeper = (first + self.random.randrange(spread)) % len(self.ports)

    async def run(self, start: int) -> dict[str, Any]:
        """Plays all; what became of each."""
        tasks = set()
        for number, item in enumerate(self.load):
            at = start + item[0]
            while (left := at - time.monotonic_ns()) > 0:
                await asyncio.sleep(left / 1e9)
            self.late = max(self.late, -left / 1e6)
            task = asyncio.create_task(self._play(number, start))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=60)
        return {"results": self.results, "late_ms": self.late}


def main() -> None:
    """One day."""
    given = json.loads(sys.stdin.readline())
    player = Player(given)
    print(json.dumps({"ready": True}), flush=True)
    start = json.loads(sys.stdin.readline())["start"]
    print(json.dumps(asyncio.run(player.run(start))), flush=True)


if __name__ == "__main__":
    main()
