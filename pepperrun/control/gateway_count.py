"""Seats: among how many gatekeepers what all may spend together is split. Agreed on: no restart forgets it.

A gatekeeper spends its part of each quota without asking anybody, so too small a number would let all of them
together spend too much; records in memory are gone when the core restarts, the agreed state is not. The
number grows as soon as more are there, and shrinks once fewer have been there for long: until then the part
of those that are gone is left unspent, as one of them may only be cut off.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pepperrun.control.records import GONE, GatewayRecord

SECOND = 1_000_000_000
SHRINK_NS = 30 * SECOND  # longer than any that is cut off may go on by what it holds
AGAIN_NS = SECOND // 2  # between two proposals: one may still be under way


class Seats:
    """Decides when the agreed number is to change; asked by the machine whose duty that is."""

    def __init__(self) -> None:
        self.fewer_since: int | None = None
        self.asked_at = -AGAIN_NS

    def wanted(
        self, gateways: Iterable[GatewayRecord], state: dict[str, Any] | None, now: int
    ) -> dict[str, Any] | None:
        """The operation to propose now, or None. Before there is a configuration nothing is split."""
        if not state or not state.get("edition"):
            return None
        count, seats = sum(gateway.state != GONE for gateway in gateways), state.get("seats", 0)
        if count >= seats:
            self.fewer_since = None
        elif self.fewer_since is None:
            self.fewer_since = now
        shrink = self.fewer_since is not None and now - self.fewer_since > SHRINK_NS and count > 0
        if not (count > seats or shrink) or now - self.asked_at < AGAIN_NS:
            return None
        self.asked_at = now
        return {"do": "seats", "count": count, "instead": seats}
