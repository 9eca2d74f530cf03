"""The agreed number of gatekeepers, among which what all may spend together is split. No I/O.

A gatekeeper spends its share of each quota without asking anybody, so too small a number would let all of
them together spend too much; records in memory are gone when the control nodes restart, the agreed state is
not. The number grows as soon as more are there, and shrinks once fewer have been there for long: until then
the shares of those that are gone are left unspent, as one of them may only be partitioned.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pepperrun.control.records import GatewayRecord

SECOND = 1_000_000_000  # ns
SHRINK_DELAY_NS = 30 * SECOND  # longer than a partitioned gatekeeper may go on by what it holds
RETRY_NS = SECOND // 2  # between two proposals: one may still be under way


class GatewayCount:
    """Decides when the agreed number is to change; asked by the node that coordinates."""

    def __init__(self) -> None:
        self.fewer_since: int | None = None
        self.proposed_at = -RETRY_NS

    def next_operation(
        self, gateways: Iterable[GatewayRecord], body: dict[str, Any], now: int
    ) -> dict[str, Any] | None:
        """Return the operation to propose now, or None. Before there is a configuration nothing is split."""
        if not body.get("edition"):
            return None
        present = sum(not gateway.is_gone for gateway in gateways)
        agreed = body.get("seats", 0)
        if not self._should_change(present, agreed, now) or now - self.proposed_at < RETRY_NS:
            return None
        self.proposed_at = now
        return {"do": "seats", "count": present, "instead": agreed}

    def _should_change(self, present: int, agreed: int, now: int) -> bool:
        if present >= agreed:
            self.fewer_since = None
        elif self.fewer_since is None:
            self.fewer_since = now
        shrinks = self.fewer_since is not None and now - self.fewer_since > SHRINK_DELAY_NS and present > 0
        return present > agreed or shrinks
