"""Amounts that change with time, and an agenda. Nothing here decides anything."""

from __future__ import annotations

import heapq
from collections.abc import Callable

SECOND = 1_000_000_000


class Bucket:
    """Units that fill at a rate up to a depth."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, level, now

    def fill(self, now: int) -> float:
        """The level now."""
        if now > self.at:
            if self.level < self.depth:
                self.level = min(self.depth, self.level + self.rate * (now - self.at) / SECOND)
            self.at = now
        return self.level


class DecayingSum:
    """A sum that halves over a half-life."""

    def __init__(self, half_life: int, now: int) -> None:
        self.half_life, self.value, self.at = half_life, 0.0, now

    def read(self, now: int) -> float:
        """The sum now."""
        if now > self.at:
            self.value *= 0.5 ** ((now - self.at) / self.half_life)
            self.at = now
        return self.value

    def add(self, amount: float, now: int) -> None:
        """Adds to the sum."""
        self.value = self.read(now) + amount


class TimerQueue:
    """What is to be done at what time, in the order of time and then of asking."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, int, Callable[[], None], Callable[[], bool] | None]] = []
        self.count = 0

    def add(self, when: int, what: Callable[[], None], void: Callable[[], bool] | None = None) -> None:
        """Enters something to do, unless by then it is `void`: nobody is woken for that."""
        self.count += 1
        heapq.heappush(self.entries, (when, self.count, what, void))

    def run(self, now: int) -> None:
        """Does what is due."""
        while self.entries and self.entries[0][0] <= now:
            heapq.heappop(self.entries)[2]()

    def alarm(self, now: int, armed: int) -> int | None:
        """When to wake next, if that is not armed yet."""
        while self.entries and (void := self.entries[0][3]) is not None and void():
            heapq.heappop(self.entries)
        if not self.entries or now < armed <= self.entries[0][0]:
            return None
        return self.entries[0][0]


class Throttle:
    """Lets one of a kind through in each span of time."""

    def __init__(self, span: int) -> None:
        self.span = span
        self.last: dict[str, int] = {}

    def allows(self, kind: str, now: int) -> bool:
        """Is it time for one of this kind?"""
        if now - self.last.get(kind, now - self.span) < self.span:
            return False
        self.last[kind] = now
        return True
