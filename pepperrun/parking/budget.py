"""Limits how much work of each kind one turn of the event loop does."""

from __future__ import annotations

SMOOTHING_FACTOR = 0.2  # weight of a new measurement in the estimated cost of an item
MAX_ITEM_COST_NS = 1_000_000  # a measurement while the process was not scheduled says nothing about the item


class Budget:
    """Limits a turn by time: allows as many items as fit into it at their recent cost.

    A fixed number of items would not do: resuming a connection costs a hundred times as much as moving a
    timer, and machines differ as much as their loads.
    """

    def __init__(self, turn_ns: int, max_items: int = 1024, initial_cost_ns: int = 20_000) -> None:
        self.turn_ns, self.max_items = turn_ns, max_items
        self.initial_cost_ns = initial_cost_ns
        self.costs_ns: dict[str, float] = {}

    def allowed_items(self, kind: str) -> int:
        """Returns how many items of a kind a turn may process; at least one, so that none waits forever."""
        cost_ns = max(1.0, self.costs_ns.get(kind, self.initial_cost_ns))
        return max(1, min(self.max_items, int(self.turn_ns / cost_ns)))

    def record_cost(self, kind: str, count: int, duration_ns: int) -> None:
        """Records that `count` items of a kind took `duration_ns` together."""
        if count <= 0 or duration_ns < 0:
            return
        cost_ns = min(MAX_ITEM_COST_NS, duration_ns / count)
        previous_ns = self.costs_ns.get(kind)
        self.costs_ns[kind] = (
            cost_ns if previous_ns is None else previous_ns + SMOOTHING_FACTOR * (cost_ns - previous_ns)
        )
