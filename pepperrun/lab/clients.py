"""The lab's clients: `python3 -m pepperrun.lab.clients`, JSON lines; they move on as real ones do.

Open loop: a request is sent when it is due. One that is refused, breaks or finds nobody is tried again, at
another of its customer's gatekeepers where that one was not there. Each try is written down with its end.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from typing import Any

from pepperrun.bench.players import BROKEN, NOBODY, TIMED_OUT, LoadPlayer


class Clients(LoadPlayer):
    """Plays a load."""

    def __init__(self, given: dict[str, Any]) -> None:
        super().__init__(given)
        self.classes, self.plans = given["classes"], given["plans"]
        self.retries, self.moves_on_s = given["retries"], given["moves_on_s"]
        self.budget_s: float = given["deadline_s"]
        self.random = random.Random(given["seed"])
        self.tries: list[list[int]] = []  # call, try, gatekeeper, sent, ended, status

    async def _play(self, number: int, start: int) -> None:
        at, gatekeeper, cls, plan, customer, spread, first, work = self.load[number]
        give_up = start + at + int(self.budget_s * 1e9)
        for attempt in range(self.retries + 1):
            left_ns = give_up - time.monotonic_ns()
            if left_ns <= 20_000_000:
                return
            method, body = ("POST", b"confirm") if cls else ("GET", b"")
            key = f"Idempotency-Key: k{number}-{attempt}\r\nContent-Length: 7\r\n" if cls else ""
            query = f"customer={customer:016x}&work={work}&true=1&call={number}-{attempt}&cls={cls}"
            head = (
                f"{method} /{self.classes[cls]}?{query} HTTP/1.1\r\nHost: lab\r\n"
                f"X-Call-Id: c{number}-{attempt}\r\nX-Plan: {self.plans[plan]}\r\n"
                f"X-Budget: {left_ns // 1000}u\r\n"
                f"X-Quota: units=1,spread={spread},first={first}\r\n{key}\r\n"
            )
            sent = time.monotonic_ns()
            row = [number, attempt, gatekeeper, sent, 0, TIMED_OUT]
            self.tries.append(row)
            status, wait_s = await self.once(gatekeeper, head.encode() + body, left_ns / 1e9 + 0.1)
            row[4], row[5] = time.monotonic_ns(), status
            if status == 200:
                return
            # A keyed one that may have run is not tried again by its client.
            if cls and status not in (429, 503, NOBODY):
                return
            await asyncio.sleep(max(wait_s, self.moves_on_s * self.random.uniform(0.5, 1.5)))
            if status in (NOBODY, BROKEN, TIMED_OUT):
                others = [(first + step) % len(self.ports) for step in range(spread)]
                gatekeeper = self.random.choice([one for one in others if one != gatekeeper] or others)

    async def run(self, start: int) -> dict[str, Any]:
        """Plays all."""
        left = await self.play_all(start, 30)
        return {"tries": self.tries, "extra": self.extra(), "late_ms": self.late, "left": left}


def main() -> None:
    """One run."""
    clients = Clients(json.loads(sys.stdin.readline()))
    print(json.dumps({"ready": True}), flush=True)
    start = json.loads(sys.stdin.readline())["start"]
    print(json.dumps(asyncio.run(clients.run(start))), flush=True)


if __name__ == "__main__":
    main()
