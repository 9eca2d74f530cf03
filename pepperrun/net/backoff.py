"""Delays between calls to discovery. Computes delays only: no clock and no socket.

Gatekeepers that start or fail together would stay synchronised. Each delay is therefore drawn at random, and
its mean grows with the number of gatekeepers, so that all together call no more often than a few would.
An agent on the gatekeeper's own machine, to which lists are pushed, has no other callers: see
`LocalAgentBackoff`.
"""

from __future__ import annotations

import random

BASE_DELAY_S = 0.1  # mean delay after the first failure of a single gatekeeper
DELAY_PER_CALLER_S = 0.025  # added for each further gatekeeper: at most about 40 calls a second in all
GROWTH_FACTOR = 2.0  # a service that rejects calls is overloaded: each failure halves the call rate
MAX_DOUBLINGS = 3  # a list that is long out of date costs more than a call
MAX_MOVE_DELAY_S = 2.0  # a list counts as received 4 s after a move: there must be time for one more call
GRACE_DIVISOR = 4  # of the drain grace: one part until the next call, one for its round trip, two to spare
MIN_RETRY_INTERVAL_S = 0.01  # lower bound where the drain grace is zero: a call costs about 1 ms of work
MAX_MEAN_DELAY_S = (
    8.0  # for any number of callers: until the next list, requests go to workers that have gone
)


class Backoff:
    """Randomised, exponential delays of one caller among `callers`."""

    retry_interval_s: float | None = None  # local agent only: interval between calls while none is answered

    def __init__(self, callers: int, rng: random.Random) -> None:
        self.callers, self.rng = max(1, callers), rng
        self.failures = 0

    def delay_after_move(self) -> float:
        """Returns the seconds before the first call at a new address: all callers move at the same moment."""
        return self.rng.uniform(0, min(MAX_MOVE_DELAY_S, DELAY_PER_CALLER_S * (self.callers - 1)))

    def delay_after_failure(self) -> float:
        """Counts a failed call and returns the seconds before the next one."""
        mean = min(
            MAX_MEAN_DELAY_S,
            (BASE_DELAY_S + DELAY_PER_CALLER_S * (self.callers - 1))
            * GROWTH_FACTOR ** min(self.failures, MAX_DOUBLINGS),
        )
        self.failures += 1
        return self.rng.uniform(0.5, 1.5) * mean

    def reset(self) -> None:
        """Records a successful call: the next failure counts as the first."""
        self.failures = 0


class LocalAgentBackoff(Backoff):
    """Short, fixed delays for an agent on the gatekeeper's own machine, which answers at once at no cost.

    The agent has no other callers. What it sends counts as received at that moment, also after an outage: a
    gatekeeper that waited for the sake of others would send requests to draining workers.
    """

    def __init__(self, grace_s: float) -> None:
        """Create delays for a drain that takes effect at most `grace_s` after its notification."""
        super().__init__(1, random.Random())
        self.retry_interval_s = max(MIN_RETRY_INTERVAL_S, grace_s / GRACE_DIVISOR)

    def delay_after_move(self) -> float:
        """Returns 0: the new agent has no other callers either."""
        return 0.0

    def delay_after_failure(self) -> float:
        """Returns the retry interval, whatever the number of failures."""
        return self.retry_interval_s or 0.0
