"""Evacuations: how many orders to empty a zone stand, and which call repeats one that was taken.

Two operators may empty the same zone; it is in use again once both have taken that back. A call that got
no clear answer is repeated unchanged, though, and nothing in it tells whose it is. So a call is taken for the
same order once more while an order of its kind for the zone was taken a moment ago, and for another one
later. The operation says how many orders stand after it: two machines that pass on one order say the same.
"""

from __future__ import annotations

from collections.abc import Sequence

SECOND = 1_000_000_000
REPEATS_NS = 2 * SECOND  # callers move on after a second of silence, and pause for less than another at first
MOST = 8  # orders for one zone that stand at once: more are the mistake of a script


class Evacuations:
    """The orders for zones that were taken lately, as one core machine learnt of them."""

    def __init__(self, now: int) -> None:
        self.since = now  # what was taken before is known without its time: as if it were taken just then
        self.taken: dict[tuple[str, bool], int] = {}  # by zone and kind of order: the last one at, ns

    def note(self, before: Sequence[str], held: Sequence[str], now: int) -> None:
        """The agreed state went on; each has a zone once for each order that stands."""
        for zone in {*before, *held}:
            if (was := before.count(zone)) != (stands := held.count(zone)):
                self.taken[zone, stands > was] = now

    def count(self, zone: str, begin: bool, held: Sequence[str], now: int) -> int:
        """How many orders to empty the zone stand after this one."""
        standing, at = held.count(zone), self.taken.get((zone, begin))
        if begin and not standing:
            return 1
        if at is None and begin:
            at = self.since
        if at is not None and now - at <= REPEATS_NS:
            return standing
        return min(MOST, standing + 1) if begin else max(0, standing - 1)
