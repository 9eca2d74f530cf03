"""Operations that the coordinating control node proposes without an operator, one at a time.

They change the agreed number of gatekeepers and the lists of quota owners, and end uncertain evacuations.
Only the coordinator of the voters proposes them, so that no two nodes do it at the same time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pepperrun.consensus.state import Operation
from pepperrun.control.endpoint_registry import EndpointRegistry
from pepperrun.control.evacuations import Evacuations
from pepperrun.control.gateway_count import GatewayCount
from pepperrun.control.quota_placement import QuotaPlacement
from pepperrun.foundation.settings import Bounds


class CoordinatorTasks:
    """Chooses the operation that the coordinator should propose now."""

    def __init__(
        self, registry: EndpointRegistry, evacuations: Evacuations, next_call_id: Callable[[], str]
    ) -> None:
        self.registry = registry
        self.evacuations = evacuations
        self.next_call_id = next_call_id
        self.gateway_count = GatewayCount()
        self.quota_placement = QuotaPlacement()

    def next_operation(self, body: dict[str, Any], bounds: Bounds, now: int) -> Operation | None:
        """Return the operation to propose now, or None."""
        return (
            self._change_gateway_count(body, now)
            or self._place_quotas(body, bounds, now)
            or self.evacuations.next_expiry(body, self.next_call_id, bounds.receipt_ms, now)
        )

    def _change_gateway_count(self, body: dict[str, Any], now: int) -> Operation | None:
        return self.gateway_count.next_operation(self.registry.gateways.values(), body, now)

    def _place_quotas(self, body: dict[str, Any], bounds: Bounds, now: int) -> Operation | None:
        def silent_ns(name: str) -> int:
            return self.registry.gateway_silent_ns(name, now)

        gateways = self.registry.gateways.values()
        return self.quota_placement.next_operation(gateways, body, silent_ns, bounds, now)
