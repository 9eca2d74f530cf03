"""The bound on attempts that are out at once, adapted by how long answers take."""

from __future__ import annotations

PRESSURE_GOAL = 0.25  # mean latency aimed at, in aims: leaves most of the aim to the wait and to spread
GAIN = 0.5  # a round trip at twice the goal takes about a fifth off the bound
START_DEPTH = 6.0  # attempts out a backend at the start, by all gateways: a few for each of a machine's cores
START_LEAST = 3.0  # attempts out a gateway at the start: with one, its own requests would wait for each other
BEST_ROOM = 1.6  # times the lowest mean: as much again for waits as half of the work
BEST_DRIFT = 1.0005  # an answer: the lowest mean rises by half in about a thousand answers, as loads change
CALM_OVER = 64  # answers that the lowest mean is taken over
MOST_GOAL = 0.6  # of the aim: where all answers take longer, the lowest mean says nothing of calm


class Bound:
    """How many attempts may be out at once: a depth a backend, led by mean latency as a part of the aim."""

    def __init__(self, gateways: int, follows_best: bool = False) -> None:
        # By all gateways: else many would flood the backends at the first rush. It grows only in use.
        self.depth = self.start = START_DEPTH / gateways
        self.capacity = 1.0  # backends in full use, cold ones in part
        self.latency = PRESSURE_GOAL / 2  # mean latency, in aims
        self.goal = self.calm = PRESSURE_GOAL  # calm: a mean that luck does not make low
        self.best = PRESSURE_GOAL if follows_best else 0.0  # the lowest one

    def limit(self) -> float:
        if self.depth == self.start:
            self.depth = max(self.depth, START_LEAST / max(1.0, self.capacity))
        return max(1.0, self.depth * self.capacity)

    def hear(self, latency: float) -> None:
        """A mean latency, in aims: own answers and what peers tell of theirs."""
        self.latency += (min(2.0, latency) - self.latency) / 8

    def sample(self, latency: float, out: float) -> None:
        """An own answer. A bound that is not in use says nothing of how much larger it could be."""
        self.hear(latency)
        if self.best:  # work may take a large part of the aim with nothing waiting
            self.calm += (min(2.0, latency) - self.calm) / CALM_OVER
            self.best = min(self.calm, self.best * BEST_DRIFT)
            self.goal = min(MOST_GOAL, max(PRESSURE_GOAL, BEST_ROOM * self.best))
        step = GAIN * (self.goal - self.latency) / self.limit()
        if step < 0 or out > 0.7 * self.limit():
            self.depth = max(0.01, self.depth * (1 + step))
