"""Building blocks that depend on time: token bucket, decaying sum, timer queue and throttle."""

from __future__ import annotations

import heapq
from collections.abc import Callable

SECOND = 1_000_000_000


class Bucket:
    """Token bucket: fills at `rate` units per second up to `depth`."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, level, now

    def fill(self, now: int) -> float:
        """Add the units due since the last call and return the level."""
        if now > self.at:
            if self.level < self.depth:
                self.level = min(self.depth, self.level + self.rate * (now - self.at) / SECOND)
            self.at = now
        return self.level


class DecayingSum:
    """A sum that decays exponentially with a half-life in ns."""

    def __init__(self, half_life: int, now: int) -> None:
        self.half_life, self.value, self.at = half_life, 0.0, now

    def read(self, now: int) -> float:
        """Return the sum, decayed up to `now`."""
        if now > self.at:
            self.value *= 0.5 ** ((now - self.at) / self.half_life)
            self.at = now
        return self.value

    def add(self, amount: float, now: int) -> None:
        """Add an amount at `now`."""
        self.value = self.read(now) + amount


class TimerQueue:
    """Callbacks ordered by due time, then by the order in which they were added."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, int, Callable[[], None], Callable[[], bool] | None]] = []
        self.count = 0

    def add(
        self, when: int, callback: Callable[[], None], is_cancelled: Callable[[], bool] | None = None
    ) -> None:
        """Add a callback. No timer is armed for it while `is_cancelled` returns true."""
        self.count += 1
        heapq.heappush(self.entries, (when, self.count, callback, is_cancelled))

    def run(self, now: int) -> None:
        """Run the callbacks that are due."""
        while self.entries and self.entries[0][0] <= now:
            heapq.heappop(self.entries)[2]()

    def next_wake_up(self, now: int, armed: int) -> int | None:
        """Return when the next timer has to fire, or None if `armed` covers that time."""
        while self.entries and (is_cancelled := self.entries[0][3]) is not None and is_cancelled():
            heapq.heappop(self.entries)
        if not self.entries or now < armed <= self.entries[0][0]:
            return None
        return self.entries[0][0]


class Throttle:
    """Allows one event of each kind per interval, in ns."""

    def __init__(self, interval_ns: int) -> None:
        self.interval_ns = interval_ns
        self.last: dict[str, int] = {}

    def allows(self, kind: str, now: int) -> bool:
        """Return whether an event of this kind is allowed now, and count it if so."""
        if now - self.last.get(kind, now - self.interval_ns) < self.interval_ns:
            return False
        self.last[kind] = now
        return True
