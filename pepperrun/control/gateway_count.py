"""The agreed number of gatekeepers, among which global quotas are divided. No I/O.

A gatekeeper uses its share of each quota without coordination, so a number that is too small would let all of
them together exceed the quota. The number is part of the agreed state because the endpoint records, which are
in memory, are lost when the control nodes restart. It grows as soon as there are more gatekeepers. It shrinks
once there have been fewer for `SHRINK_DELAY_NS`: until then the shares of those that are gone stay unused, as
one of them may only be partitioned.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pepperrun.control.records import GatewayRecord

SECOND = 1_000_000_000  # ns
SHRINK_DELAY_NS = 30 * SECOND  # longer than a partitioned gatekeeper may keep using its share
RETRY_NS = SECOND // 2  # between two proposals, as one may still be in flight


class GatewayCount:
    """Decides on the coordinator when the agreed number should change."""

    def __init__(self) -> None:
        self.fewer_since: int | None = None
        self.proposed_at = -RETRY_NS

    def next_operation(
        self, gateways: Iterable[GatewayRecord], body: dict[str, Any], now: int
    ) -> dict[str, Any] | None:
        """Return the operation to propose now, or None. Without a configuration there are no quotas yet."""
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
