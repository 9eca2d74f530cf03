"""Limit on the attempts in flight, adapted to the latency of answers."""

from __future__ import annotations

LATENCY_GOAL = 0.25  # mean latency over target: leaves most of the target for queueing and variance
GAIN = 0.5  # a round trip at twice the goal lowers the limit by about a fifth
INITIAL_DEPTH = 6.0  # attempts in flight per backend, from all gateways: a few per core of a machine
# Attempts in flight per gateway. With one, the gateway's own requests would wait for each other.
MIN_INITIAL_LIMIT = 3.0
LOWEST_MEAN_FACTOR = 1.6  # goal over lowest mean: leaves queueing about half of the work time
# Per answer: the lowest mean rises by half in about a thousand answers, to follow changes of the load.
LOWEST_MEAN_DRIFT = 1.0005
SLOW_MEAN_ANSWERS = 64  # time constant, in answers, of the mean whose minimum is taken
# Of the latency target. If all answers take longer, the lowest mean may be that of an overloaded fleet.
MAX_LATENCY_GOAL = 0.6


class ConcurrencyLimiter:
    """Limits the attempts in flight: a depth per backend, controlled by mean latency over the latency target.

    The depth falls while the mean is above `goal`, and grows while it is below and the limit is in use.
    """

    def __init__(self, gateways: int, adaptive_latency_goal: bool = False) -> None:
        # Shared by all gateways, or many of them would overload the backends in the first burst. The depth
        # grows only in use.
        self.depth = self.initial_depth = INITIAL_DEPTH / gateways
        self.capacity = 1.0  # in backends; one that is warming up counts in part
        self.latency = LATENCY_GOAL / 2  # mean latency over target
        self.goal = self.slow_mean = LATENCY_GOAL  # slow_mean: few fast answers by chance do not lower it
        # Minimum of slow_mean; 0 keeps the goal fixed.
        self.lowest_mean = LATENCY_GOAL if adaptive_latency_goal else 0.0

    def limit(self) -> float:
        """Return how many attempts may be in flight, at least 1."""
        if self.depth == self.initial_depth:
            self.depth = max(self.depth, MIN_INITIAL_LIMIT / max(1.0, self.capacity))
        return max(1.0, self.depth * self.capacity)

    def add_latency(self, latency: float) -> None:
        """Add the latency over target of an own answer, or the mean that a peer reports."""
        self.latency += (min(2.0, latency) - self.latency) / 8

    def add_sample(self, latency: float, in_flight: float) -> None:
        """Add an own answer and adapt the depth.

        The depth grows only if most of the limit is in use: otherwise the latency does not show whether a
        higher limit would do.
        """
        self.add_latency(latency)
        if self.lowest_mean:  # work may take a large part of the target without any queueing
            self.slow_mean += (min(2.0, latency) - self.slow_mean) / SLOW_MEAN_ANSWERS
            self.lowest_mean = min(self.slow_mean, self.lowest_mean * LOWEST_MEAN_DRIFT)
            self.goal = min(MAX_LATENCY_GOAL, max(LATENCY_GOAL, LOWEST_MEAN_FACTOR * self.lowest_mean))
        step = GAIN * (self.goal - self.latency) / self.limit()
        if step < 0 or in_flight > 0.7 * self.limit():
            self.depth = max(0.01, self.depth * (1 + step))
