"""A node: slots, a waiting room, cores that are shared, cold starts. Knows no clock but what it is told.

All requests in work get the same share, so one number (the service that each has had since the start) says
when which is done: a request that needs `work` is done when that number has grown by `work`. So an arrival,
an end or a cancel costs the logarithm of what is in work. The stand-in node on sockets runs this very code.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

STEP_NS = 100_000_000  # a cold node's speed is held for so long at a time


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of node. Work is in nanoseconds of one core at speed 1.

    `slots` requests are in work at most, `queue` wait, more are turned away. Holding over `thrash_at`
    requests a core makes it less efficient, by `thrash` for each such measure more. It starts with
    `cold_from` of its speed and is warm after `cold_ns`, or sooner where `cold_work_ns` is given: by so much
    work done, evenly. `cancel_running`: what is given up stops in work.
    """

    name: str = "node"
    cores: float = 4.0
    speed: float = 1.0
    speed_cv: float = 0.0
    slots: int = 16
    queue: int = 64
    thrash: float = 0.0
    thrash_at: float = 4.0
    cold_from: float = 1.0
    cold_ns: int = 0
    cancel_running: bool = False
    cold_work_ns: int = 0


class Taken(Enum):
    """What becomes of a request that arrives."""

    WORK = "work"
    WAITS = "waits"
    FULL = "full"


class Node:
    """One node from its start on."""

    def __init__(self, kind: Kind, speed: float, now: int, warm: bool = True) -> None:
        self.kind, self.speed = kind, speed
        self.born = now - kind.cold_ns if warm else now
        self.at = now
        self.served = 0.0  # service that each request in work has had since the start
        self.working: dict[Hashable, float] = {}  # at what `served` it is done
        self.ends: list[tuple[float, int, Hashable]] = []
        self.waiting: deque[tuple[Hashable, float]] = deque()
        self.gone: set[Hashable] = set()  # cancelled while waiting
        self.count = 0
        self.draining = False
        self.busy_ns = 0.0  # core time spent

    def warmth(self, now: int) -> float:
        """The share of its speed that it has."""
        kind = self.kind
        if kind.cold_ns <= 0 or now >= self.born + kind.cold_ns:
            return 1.0
        part = max(0, now - self.born) / kind.cold_ns
        if kind.cold_work_ns > 0:  # never slower than by time
            part = max(part, self.busy_ns / kind.cold_work_ns)
        return kind.cold_from + (1 - kind.cold_from) * min(1.0, part)

    def held(self) -> int:
        """Requests in work and waiting."""
        return len(self.working) + len(self.waiting) - len(self.gone)

    def capacity(self, now: int) -> float:
        """Core seconds of work a second that it does with all cores in use."""
        over = self.held() / (self.kind.cores * self.kind.thrash_at) - 1
        efficiency = 1 / (1 + self.kind.thrash * over) if over > 0 else 1.0
        return self.kind.cores * self.speed * self.warmth(now) * efficiency

    def _rate(self, now: int) -> float:
        """Work that each request in work gets done in a nanosecond."""
        if not self.working:
            return 0.0
        return self.capacity(now) / max(self.kind.cores, len(self.working))

    def arrive(self, now: int, key: Hashable, work: float) -> Taken:
        """A request arrives; call `advance` first."""
        if self.draining:
            return Taken.FULL
        if len(self.working) < self.kind.slots:
            self._begin(key, work)
            return Taken.WORK
        if len(self.waiting) - len(self.gone) < self.kind.queue:
            self.waiting.append((key, work))
            return Taken.WAITS
        return Taken.FULL

    def _begin(self, key: Hashable, work: float) -> None:
        self.count += 1
        end = self.served + work
        self.working[key] = end
        heapq.heappush(self.ends, (end, self.count, key))

    def cancel(self, now: int, key: Hashable) -> bool:
        """A request is given up; True where it will not be done. Call `advance` first."""
        if key in self.working:
            if not self.kind.cancel_running:
                return False
            del self.working[key]
            self._fill()
            return True
        if any(key == waits for waits, _ in self.waiting) and key not in self.gone:
            self.gone.add(key)
            return True
        return False

    def _fill(self) -> None:
        while self.waiting and len(self.working) < self.kind.slots:
            key, work = self.waiting.popleft()
            if key in self.gone:
                self.gone.remove(key)
            else:
                self._begin(key, work)

    def advance(self, now: int) -> list[Hashable]:
        """Works up to a time; what is done by then, in order."""
        done: list[Hashable] = []
        while self.at < now:
            until = now
            if self.warmth(self.at) < 1.0:
                until = min(until, self.at + STEP_NS)
            rate, first = self._rate(self.at), self._first()
            if rate <= 0 or first is None:
                self.at = until
                continue
            left = max(0.0, first - self.served)
            span = left / rate
            if self.at + span > until:
                step = until - self.at
                self.served += rate * step
                self.busy_ns += rate * step * len(self.working)
                self.at = until
                continue
            self.served = first
            self.busy_ns += left * len(self.working)
            self.at = min(until, self.at + max(1, int(span + 0.5)))
            while self.ends and self.ends[0][0] <= self.served:
                _, _, key = heapq.heappop(self.ends)
                if key in self.working:
                    del self.working[key]
                    done.append(key)
            self._fill()
        return done

    def _first(self) -> float | None:
        while self.ends and self.working.get(self.ends[0][2]) != self.ends[0][0]:
            heapq.heappop(self.ends)  # cancelled
        return self.ends[0][0] if self.ends else None

    def due(self) -> int | None:
        """When to `advance` next: the first end, or a step while it is cold; None while it is idle."""
        first = self._first()
        if first is None:
            return None
        rate = self._rate(self.at)
        if rate <= 0:
            return self.at + STEP_NS
        due = self.at + max(1, int((first - self.served) / rate + 1))
        return min(due, self.at + STEP_NS) if self.warmth(self.at) < 1.0 else due

    def drop_all(self) -> list[Hashable]:
        """The process dies: all that it held."""
        held = [*self.working, *(key for key, _ in self.waiting if key not in self.gone)]
        self.working.clear()
        self.ends.clear()
        self.waiting.clear()
        self.gone.clear()
        return held
