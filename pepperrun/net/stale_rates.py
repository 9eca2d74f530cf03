"""How often reused connections to backends turn out to be stale, measured by their idle time."""

from __future__ import annotations

DECAY = 0.97  # in each sweep: connections of an idle time that was found stale are tried again later


class StaleRates:
    """The rate of stale connections among those reused, by how long they had been idle.

    Backends, and machines on the path, close idle connections earlier than they announce and may not
    notify this side.
    """

    FIRST_STEP_NS = (
        8_000_000  # upper bound of the first idle-time bucket; each bucket is twice the one before
    )
    SAMPLE_WEIGHT = 0.1  # of one use, in the moving average

    def __init__(self) -> None:
        self.rates = [0.0] * 16
        self.new_rate = 0.0  # the rate at which new connections break under their first request

    def _bucket(self, idle_ns: int) -> int:
        return min(len(self.rates) - 1, (idle_ns // self.FIRST_STEP_NS).bit_length())

    def record_reuse(self, idle_ns: int, stale: bool) -> None:
        """Records the use of a connection that had been idle for `idle_ns`."""
        bucket = self._bucket(idle_ns)
        self.rates[bucket] += (stale - self.rates[bucket]) * self.SAMPLE_WEIGHT

    def record_first_use(self, broke: bool) -> None:
        """Records the first use of a new connection."""
        self.new_rate += (broke - self.new_rate) * self.SAMPLE_WEIGHT

    def is_trusted(self, idle_ns: int, max_rate: float) -> bool:
        """Whether at most `max_rate` of the connections idle for `idle_ns`, or less, are stale.

        Also true where new connections break at least as often: opening one would do no better.
        """
        return max(self.rates[: self._bucket(idle_ns) + 1]) <= max(max_rate, self.new_rate)

    def decay(self) -> None:
        """Reduces all rates by a fixed factor."""
        self.rates, self.new_rate = [rate * DECAY for rate in self.rates], self.new_rate * DECAY
