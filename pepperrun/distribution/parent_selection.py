"""Which gatekeeper of its zone a gatekeeper attaches to in the tree."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.tree import parents
from pepperrun.foundation.settings import Address

MS = 1_000_000
SHUN_NS = 4000 * MS  # a parent that failed is passed over for so long; the tree is less urgent than freshness


class ParentSelection:
    """Order of the possible parents, less those that failed lately and those that membership misses."""

    def __init__(self, station: str, zone: str) -> None:
        self.station, self.zone = station, zone
        self.standing: Callable[[str], bool] = lambda station: True
        self.shunned: dict[str, int] = {}  # by station: until when

    def shun(self, station: str, now: int) -> None:
        """It is no good."""
        self.shunned[station] = now + SHUN_NS

    def best(self, gateways: Iterable[GatewayRecord], now: int) -> tuple[str, Address] | None:
        """Station and address; None where the pushes are to come from the core."""
        for gateway in parents(self.station, self.zone, gateways):
            if self.shunned.get(gateway.name, 0) > now or not self.standing(gateway.name):
                continue
            host, _, port = gateway.internal_address.rpartition(":")
            return gateway.name, (host, int(port))
        return None
