"""How much of each kind of work one turn of the loop may take on."""

from __future__ import annotations

SMOOTHING_FACTOR = 0.2  # of a new measurement in what an item is held to cost
MAX_ITEM_COST_NS = 1_000_000  # one item measured while the process was not scheduled is no guide


class Budget:
    """Bounds a turn by time: so many items as fit into it by what they have cost lately.

    Counts alone would not do: a wake costs a hundred times a timer that is merely moved, and machines differ
    by as much as the loads on them do.
    """

    def __init__(self, turn_ns: int, max_items: int = 1024, initial_cost_ns: int = 20_000) -> None:
        self.turn_ns, self.max_items = turn_ns, max_items
        self.initial_cost_ns = initial_cost_ns
        self.costs_ns: dict[str, float] = {}

    def allowed_items(self, kind: str) -> int:
        """Items of a kind that this turn may take on; one at least, so that all get done."""
        cost_ns = max(1.0, self.costs_ns.get(kind, self.initial_cost_ns))
        return max(1, min(self.max_items, int(self.turn_ns / cost_ns)))

    def record_cost(self, kind: str, count: int, duration_ns: int) -> None:
        """So many items took that long."""
        if count <= 0 or duration_ns < 0:
            return
        cost_ns = min(MAX_ITEM_COST_NS, duration_ns / count)
        previous_ns = self.costs_ns.get(kind)
        self.costs_ns[kind] = (
            cost_ns if previous_ns is None else previous_ns + SMOOTHING_FACTOR * (cost_ns - previous_ns)
        )
