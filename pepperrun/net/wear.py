"""How far kept connections to backends can be trusted, as their use has shown."""

from __future__ import annotations

FADE = 0.97  # in each sweep: what was learnt is tried again


class Wear:
    """How often kept connections turned out to be stale, by how long they had been idle.

    Backends, and machines between, close idle connections earlier than they say, and may not tell of it.
    """

    UNIT = 8_000_000  # each step is twice as long as the one before
    ONE = 0.1  # weight of one use

    def __init__(self) -> None:
        self.shares = [0.0] * 16
        self.new = 0.0  # the same of new connections, under their first request

    def _step(self, idle_ns: int) -> int:
        return min(len(self.shares) - 1, (idle_ns // self.UNIT).bit_length())

    def saw(self, idle_ns: int, stale: bool) -> None:
        """One was used that had been idle for so long."""
        step = self._step(idle_ns)
        self.shares[step] += (stale - self.shares[step]) * self.ONE

    def saw_new(self, broke: bool) -> None:
        """A new one was used."""
        self.new += (broke - self.new) * self.ONE

    def trusted(self, idle_ns: int, most: float) -> bool:
        """Is the share of stale ones among those idle for so long, or less, at most this?

        Or no more than that of new ones that break: these would do no better.
        """
        return max(self.shares[: self._step(idle_ns) + 1]) <= max(most, self.new)

    def fade(self) -> None:
        """Forgets a little."""
        self.shares, self.new = [share * FADE for share in self.shares], self.new * FADE
