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
BROKEN, TIMED_OUT, NOBODY = 0, -1, -2  # in place of a status
CONNECT_S = 0.5
IDLE_S = 1.0  # a gatekeeper ends an idle connection after 2 s: no request may cross that end


class Connection(AskerConnection):
    """Tells its caller of answers, with what they advise."""

    wait_s = 0.0
    since = 0.0  # when it last became idle
    ends = False  # the gatekeeper has said that it ends after this answer
    extra = 0  # answers that nobody had asked for

    def answered(self, answer: Response) -> None:
        self.extra += self.intended is None
        self.ends = answer.closes_connection()
        try:
            self.wait_s = float(answer.headers.get(b"retry-after", b"0"))
        except ValueError:
            self.wait_s = 0.0


class Caller:
    """Sends requests to gatekeepers by their numbers, over connections that are kept for a while."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports
        self.idle: list[deque[Connection]] = [deque() for _ in ports]
        self.all: list[Connection] = []
        self.waiting: dict[int, asyncio.Future[tuple[int, float]]] = {}
        self.asked = 0

    def done(self, connection: Connection | None, intended: int, status: int) -> None:
        """For connections: a request has ended."""
        future = self.waiting.pop(intended, None)
        if future is not None and not future.done():
            future.set_result((status, connection.wait_s if connection is not None else 0.0))

    async def once(self, gatekeeper: int, data: bytes, patience_s: float) -> tuple[int, float]:
        """One request: its status, or what stands in place of one, and the advice that came with it."""
        idle, loop, connection = self.idle[gatekeeper], asyncio.get_running_loop(), None
        while idle and connection is None:
            held = idle.pop()
            up = held.transport is not None and not held.transport.is_closing()
            connection = held if up and time.monotonic() - held.since < IDLE_S else None
        if connection is None:
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, connection = await loop.create_connection(
                        lambda: Connection(self),  # type: ignore[arg-type]
                        HOST,
                        self.ports[gatekeeper],
                    )
            except (OSError, TimeoutError):
                return NOBODY, 0.0
            self.all.append(connection)
        self.asked += 1
        number, future = self.asked, loop.create_future()
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
            return TIMED_OUT, 0.0
        if connection.transport is not None and not connection.ends:
            connection.since = time.monotonic()
            idle.append(connection)
        return answer

    def extra(self) -> int:
        """Answers that nobody had asked for."""
        return sum(connection.extra for connection in self.all)


class LoadPlayer(Caller):
    """Plays a load: each request, a row that begins with its time, when it is due."""

    def __init__(self, given: dict[str, Any]) -> None:
        super().__init__(given["ports"])
        self.load: list[list[Any]] = given["load"]
        self.late = 0.0  # ms, the most that one was sent after it was due

    async def _play(self, number: int, start: int) -> None:
        """One request, with its further tries."""
        raise NotImplementedError

    async def play_all(self, start: int, patience_s: float) -> int:
        """Plays all; how many were not over so long after the last one was sent."""
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
            await asyncio.wait(tasks, timeout=patience_s)
        return len(tasks)


class Player(LoadPlayer):
    """Plays requests of a captured day."""

    def __init__(self, given: dict[str, Any]) -> None:
        super().__init__(given)
        self.methods: list[str] = given["methods"]
        self.classes: list[str] = given["classes"]
        self.plans: list[str] = given["plans"]
        self.retries, self.backoff_s = given["retries"], given["backoff_ms"] / 1000
        self.honour = given["honour"]
        self.random = random.Random(given["seed"])
        self.results: list[list[int | None]] = [[None, 0, 0] for _ in self.load]  # took, tries, last status

    async def _play(self, number: int, start: int) -> None:
        at, gatekeeper, cls, plan, customer, units, true, budget, spread, first, work = self.load[number]
        result = self.results[number]
        for attempt in range(self.retries + 1):
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
            status, wait_s = await self.once(gatekeeper, head.encode() + body, budget / 1e9 + 0.1)
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
        await self.play_all(start, 60)
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
