"""How much of each kind of work one turn of the loop may take on."""

from __future__ import annotations

SMOOTH = 0.2  # of a new measurement in what an item is held to cost
DEAREST_NS = 1_000_000  # one item measured while the process was not scheduled is no guide


class Budget:
    """Bounds a turn by time: so many items as fit into it by what they have cost lately.

    Counts alone would not do: a wake costs a hundred times a timer that is merely moved, and machines differ
    by as much as the loads on them do.
    """

    def __init__(self, turn_ns: int, most: int = 1024, first_ns: int = 20_000) -> None:
        self.turn_ns, self.most = turn_ns, most
        self.first_ns = first_ns
        self.costs: dict[str, float] = {}

    def allow(self, kind: str) -> int:
        """Items of a kind that this turn may take on; one at least, so that all get done."""
        cost = max(1.0, self.costs.get(kind, self.first_ns))
        return max(1, min(self.most, int(self.turn_ns / cost)))

    def spent(self, kind: str, count: int, span_ns: int) -> None:
        """So many items took that long."""
        if count <= 0 or span_ns < 0:
            return
        cost = min(DEAREST_NS, span_ns / count)
        old = self.costs.get(kind)
        self.costs[kind] = cost if old is None else old + SMOOTH * (cost - old)
