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

WARMUP_STEP_NS = 100_000_000  # a cold node's speed is held for so long at a time


@dataclass(slots=True, frozen=True)
class NodeSpec:
    """A kind of node. Work is in nanoseconds of one core at speed 1.

    At most `slots` requests run and `queue` requests wait; more are rejected. Above `thrash_at` pending
    requests per core the node becomes less efficient, by `thrash` for each further `thrash_at` per core. A
    new node starts with `warmup_min_speed` of its speed. It has full speed after `warmup_ns`, or earlier, in
    proportion to the work done, after `warmup_work_ns` of work (0: by time only). `cancel_running`: a
    cancelled request also stops while it runs.
    """

    name: str = "node"
    cores: float = 4.0
    speed: float = 1.0
    speed_cv: float = 0.0
    slots: int = 16
    queue: int = 64
    thrash: float = 0.0
    thrash_at: float = 4.0
    warmup_min_speed: float = 1.0
    warmup_ns: int = 0
    cancel_running: bool = False
    warmup_work_ns: int = 0


class Admission(Enum):
    """What becomes of a request that arrives."""

    RUNNING = "work"
    QUEUED = "waits"
    REJECTED = "full"


class Node:
    """One node from its start on."""

    def __init__(self, spec: NodeSpec, speed: float, now: int, warm: bool = True) -> None:
        self.spec, self.speed = spec, speed
        self.started_at = now - spec.warmup_ns if warm else now
        self.advanced_to = now
        self.service_per_request = 0.0  # service that each request in work has had since the start
        self.running: dict[Hashable, float] = {}  # at what `service_per_request` it is done
        self.completions: list[tuple[float, int, Hashable]] = []
        self.queued: deque[tuple[Hashable, float]] = deque()
        self.cancelled: set[Hashable] = set()  # cancelled while waiting
        self.start_count = 0
        self.draining = False
        self.busy_ns = 0.0  # core time spent

    def speed_fraction(self, now: int) -> float:
        """The share of its speed that it has."""
        spec = self.spec
        if spec.warmup_ns <= 0 or now >= self.started_at + spec.warmup_ns:
            return 1.0
        part = max(0, now - self.started_at) / spec.warmup_ns
        if spec.warmup_work_ns > 0:  # never slower than by time
            part = max(part, self.busy_ns / spec.warmup_work_ns)
        return spec.warmup_min_speed + (1 - spec.warmup_min_speed) * min(1.0, part)

    def pending(self) -> int:
        """Requests in work and waiting."""
        return len(self.running) + len(self.queued) - len(self.cancelled)

    def capacity(self, now: int) -> float:
        """Core seconds of work a second that it does with all cores in use."""
        over = self.pending() / (self.spec.cores * self.spec.thrash_at) - 1
        efficiency = 1 / (1 + self.spec.thrash * over) if over > 0 else 1.0
        return self.spec.cores * self.speed * self.speed_fraction(now) * efficiency

    def _rate(self, now: int) -> float:
        """Work that each request in work gets done in a nanosecond."""
        if not self.running:
            return 0.0
        return self.capacity(now) / max(self.spec.cores, len(self.running))

    def arrive(self, now: int, key: Hashable, work: float) -> Admission:
        """A request arrives; call `advance` first."""
        if self.draining:
            return Admission.REJECTED
        if len(self.running) < self.spec.slots:
            self._begin(key, work)
            return Admission.RUNNING
        if len(self.queued) - len(self.cancelled) < self.spec.queue:
            self.queued.append((key, work))
            return Admission.QUEUED
        return Admission.REJECTED

    def _begin(self, key: Hashable, work: float) -> None:
        self.start_count += 1
        end = self.service_per_request + work
        self.running[key] = end
        heapq.heappush(self.completions, (end, self.start_count, key))

    def cancel(self, now: int, key: Hashable) -> bool:
        """A request is given up; True where it will not be done. Call `advance` first."""
        if key in self.running:
            if not self.spec.cancel_running:
                return False
            del self.running[key]
            self._fill()
            return True
        if any(key == waits for waits, _ in self.queued) and key not in self.cancelled:
            self.cancelled.add(key)
            return True
        return False

    def _fill(self) -> None:
        while self.queued and len(self.running) < self.spec.slots:
            key, work = self.queued.popleft()
            if key in self.cancelled:
                self.cancelled.remove(key)
            else:
                self._begin(key, work)

    def advance(self, now: int) -> list[Hashable]:
        """Works up to a time; what is done by then, in order."""
        done: list[Hashable] = []
        while self.advanced_to < now:
            until = now
            if self.speed_fraction(self.advanced_to) < 1.0:
                until = min(until, self.advanced_to + WARMUP_STEP_NS)
            rate, first = self._rate(self.advanced_to), self._first()
            if rate <= 0 or first is None:
                self.advanced_to = until
                continue
            left = max(0.0, first - self.service_per_request)
            span = left / rate
            if self.advanced_to + span > until:
                step = until - self.advanced_to
                self.service_per_request += rate * step
                self.busy_ns += rate * step * len(self.running)
                self.advanced_to = until
                continue
            self.service_per_request = first
            self.busy_ns += left * len(self.running)
            self.advanced_to = min(until, self.advanced_to + max(1, int(span + 0.5)))
            while self.completions and self.completions[0][0] <= self.service_per_request:
                _, _, key = heapq.heappop(self.completions)
                if key in self.running:
                    del self.running[key]
                    done.append(key)
            self._fill()
        return done

    def _first(self) -> float | None:
        while self.completions and self.running.get(self.completions[0][2]) != self.completions[0][0]:
            heapq.heappop(self.completions)  # cancelled
        return self.completions[0][0] if self.completions else None

    def next_event_at(self) -> int | None:
        """When to `advance` next: the first end, or a step while it is cold; None while it is idle."""
        first = self._first()
        if first is None:
            return None
        rate = self._rate(self.advanced_to)
        if rate <= 0:
            return self.advanced_to + WARMUP_STEP_NS
        due = self.advanced_to + max(1, int((first - self.service_per_request) / rate + 1))
        return (
            min(due, self.advanced_to + WARMUP_STEP_NS)
            if self.speed_fraction(self.advanced_to) < 1.0
            else due
        )

    def drop_all(self) -> list[Hashable]:
        """The process dies: all that it held."""
        held = [*self.running, *(key for key, _ in self.queued if key not in self.cancelled)]
        self.running.clear()
        self.completions.clear()
        self.queued.clear()
        self.cancelled.clear()
        return held
