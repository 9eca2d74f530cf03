"""How far kept connections to backends can be trusted, as their use has shown."""

from __future__ import annotations

DECAY = 0.97  # in each sweep: what was learnt is tried again


class StaleRates:
    """How often kept connections turned out to be stale, by how long they had been idle.

    Backends, and machines between, close idle connections earlier than they say, and may not tell of it.
    """

    FIRST_STEP_NS = 8_000_000  # each step is twice as long as the one before
    SAMPLE_WEIGHT = 0.1  # weight of one use

    def __init__(self) -> None:
        self.rates = [0.0] * 16
        self.new_rate = 0.0  # the same of new connections, under their first request

    def _bucket(self, idle_ns: int) -> int:
        return min(len(self.rates) - 1, (idle_ns // self.FIRST_STEP_NS).bit_length())

    def record_reuse(self, idle_ns: int, stale: bool) -> None:
        """One was used that had been idle for so long."""
        step = self._bucket(idle_ns)
        self.rates[step] += (stale - self.rates[step]) * self.SAMPLE_WEIGHT

    def record_first_use(self, broke: bool) -> None:
        """A new one was used."""
        self.new_rate += (broke - self.new_rate) * self.SAMPLE_WEIGHT

    def is_trusted(self, idle_ns: int, most: float) -> bool:
        """Is the share of stale ones among those idle for so long, or less, at most this?

        Or no more than that of new ones that break: these would do no better.
        """
        return max(self.rates[: self._bucket(idle_ns) + 1]) <= max(most, self.new_rate)

    def decay(self) -> None:
        """Forgets a little."""
        self.rates, self.new_rate = [share * DECAY for share in self.rates], self.new_rate * DECAY
