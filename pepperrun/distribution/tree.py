"""The relay tree: an order of the gateways of a zone that each of them computes from its own records.

A gateway attaches only to one that precedes it in the order, so there are no cycles even if their records
differ. If no preceding gateway is usable, it attaches to the control node, as the first one always does.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from pepperrun.control.records import GatewayRecord

FAN_OUT = 4  # children of one relay; the tree of a zone with a hundred gateways is 4 levels deep
KEY_BYTES = 8


@lru_cache(maxsize=4096)
def order_key(name: str) -> bytes:
    """Return a hash key for the order of gateways, so that the order does not follow machines or racks."""
    return blake2b(name.encode(), digest_size=KEY_BYTES).digest()


def spread_key(*parts: str) -> bytes:
    """Return a hash key of one chooser and one option; it spreads the choosers over equal options."""
    return blake2b("|".join(parts).encode(), digest_size=KEY_BYTES).digest()


def parents(name: str, zone: str, gateways: Iterable[GatewayRecord]) -> list[GatewayRecord]:
    """Return the possible parents of a gateway, the best first; empty for the root of the zone."""
    own_key = order_key(name)
    preceding = [
        gateway
        for gateway in gateways
        if gateway.zone == zone and gateway.is_running and order_key(gateway.name) < own_key
    ]
    if not preceding:
        return []
    preceding.sort(key=lambda gateway: order_key(gateway.name))
    # Heap layout: the parent of index i is at index (i - 1) // FAN_OUT.
    best = (len(preceding) - 1) // FAN_OUT
    return preceding[best::-1]
