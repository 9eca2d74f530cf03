"""The bound on attempts that are out at once, adapted by how long answers take."""

from __future__ import annotations

LATENCY_GOAL = 0.25  # mean latency aimed at, in aims: leaves most of the aim to the wait and to spread
GAIN = 0.5  # a round trip at twice the goal takes about a fifth off the bound
INITIAL_DEPTH = (
    6.0  # attempts out a backend at the start, by all gateways: a few for each of a machine's cores
)
MIN_INITIAL_LIMIT = (
    3.0  # attempts out a gateway at the start: with one, its own requests would wait for each other
)
LOWEST_MEAN_FACTOR = 1.6  # times the lowest mean: as much again for waits as half of the work
LOWEST_MEAN_DRIFT = (
    1.0005  # an answer: the lowest mean rises by half in about a thousand answers, as loads change
)
SLOW_MEAN_ANSWERS = 64  # answers that the lowest mean is taken over
MAX_LATENCY_GOAL = 0.6  # of the aim: where all answers take longer, the lowest mean says nothing of calm


class ConcurrencyLimiter:
    """How many attempts may be out at once: a depth a backend, led by mean latency as a part of the aim."""

    def __init__(self, gateways: int, adaptive_latency_goal: bool = False) -> None:
        # By all gateways: else many would flood the backends at the first rush. It grows only in use.
        self.depth = self.initial_depth = INITIAL_DEPTH / gateways
        self.capacity = 1.0  # backends in full use, cold ones in part
        self.latency = LATENCY_GOAL / 2  # mean latency, in aims
        self.goal = self.slow_mean = LATENCY_GOAL  # calm: a mean that luck does not make low
        self.lowest_mean = LATENCY_GOAL if adaptive_latency_goal else 0.0  # the lowest one

    def limit(self) -> float:
        if self.depth == self.initial_depth:
            self.depth = max(self.depth, MIN_INITIAL_LIMIT / max(1.0, self.capacity))
        return max(1.0, self.depth * self.capacity)

    def add_latency(self, latency: float) -> None:
        """A mean latency, in aims: own answers and what peers tell of theirs."""
        self.latency += (min(2.0, latency) - self.latency) / 8

    def add_sample(self, latency: float, in_flight: float) -> None:
        """An own answer. A bound that is not in use says nothing of how much larger it could be."""
        self.add_latency(latency)
        if self.lowest_mean:  # work may take a large part of the aim with nothing waiting
            self.slow_mean += (min(2.0, latency) - self.slow_mean) / SLOW_MEAN_ANSWERS
            self.lowest_mean = min(self.slow_mean, self.lowest_mean * LOWEST_MEAN_DRIFT)
            self.goal = min(MAX_LATENCY_GOAL, max(LATENCY_GOAL, LOWEST_MEAN_FACTOR * self.lowest_mean))
        step = GAIN * (self.goal - self.latency) / self.limit()
        if step < 0 or in_flight > 0.7 * self.limit():
            self.depth = max(0.01, self.depth * (1 + step))
