"""When to call a service that all gatekeepers call. Decides pauses only: no clock, no socket.

Gatekeepers that start or fail together would call together for good: each pause is drawn at random, and the
longer the more gatekeepers there are, so that all of them together call no more often than a few would. An
agent of one's own (lists are pushed to it) is called by nobody else: see `LocalAgentBackoff`.
"""

from __future__ import annotations

import random

BASE_DELAY_S = 0.1  # the mean pause after a first failure, of a single gatekeeper
DELAY_PER_CALLER_S = (
    0.025  # and more for each further one: all together make some 40 calls a second at the most
)
GROWTH_FACTOR = 2.0  # a service that turns away has more to do than it can: halve what is asked of it
MAX_DOUBLINGS = 3  # and no more: a list that is old by much costs more than a call
MAX_MOVE_DELAY_S = (
    2.0  # what a new place has to tell counts as told 4 s after the move: one more call must fit in
)
GRACE_DIVISOR = (
    4  # of the time in which a drain is to be kept: one to the next call, one for its way, two to spare
)
MIN_RETRY_INTERVAL_S = (
    0.01  # should no time be left to keep a drain: a call costs about a millisecond of work
)
MAX_MEAN_DELAY_S = 8.0  # however many there are; sends to workers that have gone go on meanwhile


class Backoff:
    """The pauses of one caller."""

    retry_interval_s: float | None = (
        None  # of an agent of one's own: how far apart calls go out while it is silent
    )

    def __init__(self, callers: int, rng: random.Random) -> None:
        self.callers, self.rng = max(1, callers), rng
        self.failures = 0

    def delay_after_move(self) -> float:
        """Seconds before the first call at a new place, as the others are moved in the same moment."""
        return self.rng.uniform(0, min(MAX_MOVE_DELAY_S, DELAY_PER_CALLER_S * (self.callers - 1)))

    def delay_after_failure(self) -> float:
        """Seconds before the next call after a failed one."""
        mean = min(
            MAX_MEAN_DELAY_S,
            (BASE_DELAY_S + DELAY_PER_CALLER_S * (self.callers - 1))
            * GROWTH_FACTOR ** min(self.failures, MAX_DOUBLINGS),
        )
        self.failures += 1
        return self.rng.uniform(0.5, 1.5) * mean

    def reset(self) -> None:
        """The next failure is a first one."""
        self.failures = 0


class LocalAgentBackoff(Backoff):
    """Pauses before an agent on the gatekeeper's own machine, which answers at once and at no cost.

    No others call it. What it gets counts as told at once, also what it gets after a silence: whoever pauses
    for the others' sake sends to workers that drain.
    """

    def __init__(self, grace_s: float) -> None:
        """`grace_s`: how long after it was told a drain is to be kept at the latest."""
        super().__init__(1, random.Random())
        self.retry_interval_s = max(MIN_RETRY_INTERVAL_S, grace_s / GRACE_DIVISOR)

    def delay_after_move(self) -> float:
        """None: the new agent is one's own too."""
        return 0.0

    def delay_after_failure(self) -> float:
        """Always the same."""
        return self.retry_interval_s or 0.0
