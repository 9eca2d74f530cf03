"""Model of a node: slots, a bounded queue, shared cores, warm-up. The caller passes the time in each call.

All running requests get the same share of the cores. One number, the service that each running request has
had since the node's start, therefore gives all completion times: a request that needs `work` is done when
that number has grown by `work`. An arrival, a completion or a cancellation costs the logarithm of the number
of running requests. The stand-in node on sockets runs this same code.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

WARMUP_STEP_NS = 100_000_000  # the speed of a node that warms up is constant within each such step


@dataclass(slots=True, frozen=True)
class NodeSpec:
    """Parameters of a kind of node. Work is in nanoseconds of one core at speed 1.

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
    """What a node does with an arriving request."""

    RUNNING = "work"
    QUEUED = "waits"
    REJECTED = "full"


class Node:
    """One node from the start of its process on."""

    def __init__(self, spec: NodeSpec, speed: float, now: int, warm: bool = True) -> None:
        self.spec, self.speed = spec, speed
        self.started_at = now - spec.warmup_ns if warm else now
        self.advanced_to = now
        self.service_per_request = 0.0  # service that each running request has had since the start
        self.running: dict[Hashable, float] = {}  # the `service_per_request` at which the request is done
        self.completions: list[tuple[float, int, Hashable]] = []
        self.queued: deque[tuple[Hashable, float]] = deque()
        self.cancelled: set[Hashable] = set()  # cancelled while queued
        self.start_count = 0
        self.draining = False
        self.busy_ns = 0.0  # core time spent

    def speed_fraction(self, now: int) -> float:
        """Returns the current share of the node's full speed; below 1 while it warms up."""
        spec = self.spec
        if spec.warmup_ns <= 0 or now >= self.started_at + spec.warmup_ns:
            return 1.0
        progress = max(0, now - self.started_at) / spec.warmup_ns
        if spec.warmup_work_ns > 0:  # warms up at least as fast as by time
            progress = max(progress, self.busy_ns / spec.warmup_work_ns)
        return spec.warmup_min_speed + (1 - spec.warmup_min_speed) * min(1.0, progress)

    def pending(self) -> int:
        """Returns the number of running and queued requests."""
        return len(self.running) + len(self.queued) - len(self.cancelled)

    def capacity(self, now: int) -> float:
        """Returns the core seconds of work done per second with all cores in use."""
        excess = self.pending() / (self.spec.cores * self.spec.thrash_at) - 1
        efficiency = 1 / (1 + self.spec.thrash * excess) if excess > 0 else 1.0
        return self.spec.cores * self.speed * self.speed_fraction(now) * efficiency

    def _rate_per_request(self, now: int) -> float:
        """Returns the work done for each running request per nanosecond."""
        if not self.running:
            return 0.0
        return self.capacity(now) / max(self.spec.cores, len(self.running))

    def arrive(self, now: int, key: Hashable, work: float) -> Admission:
        """Admits or rejects a request. Call `advance` first."""
        if self.draining:
            return Admission.REJECTED
        if len(self.running) < self.spec.slots:
            self._start(key, work)
            return Admission.RUNNING
        if len(self.queued) - len(self.cancelled) < self.spec.queue:
            self.queued.append((key, work))
            return Admission.QUEUED
        return Admission.REJECTED

    def _start(self, key: Hashable, work: float) -> None:
        self.start_count += 1
        end = self.service_per_request + work
        self.running[key] = end
        heapq.heappush(self.completions, (end, self.start_count, key))

    def cancel(self, now: int, key: Hashable) -> bool:
        """Cancels a request; returns True if the request will not complete. Call `advance` first."""
        if key in self.running:
            if not self.spec.cancel_running:
                return False
            del self.running[key]
            self._start_queued()
            return True
        if any(key == queued for queued, _ in self.queued) and key not in self.cancelled:
            self.cancelled.add(key)
            return True
        return False

    def _start_queued(self) -> None:
        while self.queued and len(self.running) < self.spec.slots:
            key, work = self.queued.popleft()
            if key in self.cancelled:
                self.cancelled.remove(key)
            else:
                self._start(key, work)

    def advance(self, now: int) -> list[Hashable]:
        """Works up to the time `now`; returns the requests completed by then, in order."""
        done: list[Hashable] = []
        while self.advanced_to < now:
            until = now
            if self.speed_fraction(self.advanced_to) < 1.0:
                until = min(until, self.advanced_to + WARMUP_STEP_NS)
            rate, first = self._rate_per_request(self.advanced_to), self._first_completion()
            if rate <= 0 or first is None:
                self.advanced_to = until
                continue
            remaining = max(0.0, first - self.service_per_request)
            span = remaining / rate
            if self.advanced_to + span > until:
                step = until - self.advanced_to
                self.service_per_request += rate * step
                self.busy_ns += rate * step * len(self.running)
                self.advanced_to = until
                continue
            self.service_per_request = first
            self.busy_ns += remaining * len(self.running)
            self.advanced_to = min(until, self.advanced_to + max(1, int(span + 0.5)))
            while self.completions and self.completions[0][0] <= self.service_per_request:
                _, _, key = heapq.heappop(self.completions)
                if key in self.running:
                    del self.running[key]
                    done.append(key)
            self._start_queued()
        return done

    def _first_completion(self) -> float | None:
        while self.completions and self.running.get(self.completions[0][2]) != self.completions[0][0]:
            heapq.heappop(self.completions)  # the request was cancelled
        return self.completions[0][0] if self.completions else None

    def next_event_at(self) -> int | None:
        """Returns when to call `advance` next; None while the node is idle.

        That is the first completion, or the end of a warm-up step if that comes first.
        """
        first = self._first_completion()
        if first is None:
            return None
        rate = self._rate_per_request(self.advanced_to)
        if rate <= 0:
            return self.advanced_to + WARMUP_STEP_NS
        due = self.advanced_to + max(1, int((first - self.service_per_request) / rate + 1))
        return (
            min(due, self.advanced_to + WARMUP_STEP_NS)
            if self.speed_fraction(self.advanced_to) < 1.0
            else due
        )

    def drop_all(self) -> list[Hashable]:
        """Drops all requests, as when the process ends; returns the pending ones."""
        pending = [*self.running, *(key for key, _ in self.queued if key not in self.cancelled)]
        self.running.clear()
        self.completions.clear()
        self.queued.clear()
        self.cancelled.clear()
        return pending
