"""The relay tree: an order of the gatekeepers of a zone that all compute alike from what they hold.

Each attaches only to a gatekeeper before it in the order, so there are no circles whatever the views; where
no one before it will do, it attaches to the control node itself, as the first always does.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from pepperrun.control.records import GatewayRecord

FAN_OUT = 4  # children of one relay: a hundred gatekeepers of a zone are 4 steps deep
KEY_BYTES = 8


@lru_cache(maxsize=4096)
def order_key(name: str) -> bytes:
    """Return a key that orders names without regard to machines or racks."""
    return blake2b(name.encode(), digest_size=KEY_BYTES).digest()


def spread_key(*parts: str) -> bytes:
    """Return a key for one choice of one chooser: many who choose spread over it."""
    return blake2b("|".join(parts).encode(), digest_size=KEY_BYTES).digest()


def parents(name: str, zone: str, gateways: Iterable[GatewayRecord]) -> list[GatewayRecord]:
    """Return whom to attach to, the best first; empty for the root of the zone."""
    own_key = order_key(name)
    before = [
        gateway
        for gateway in gateways
        if gateway.zone == zone and gateway.is_running and order_key(gateway.name) < own_key
    ]
    if not before:
        return []
    before.sort(key=lambda gateway: order_key(gateway.name))
    # A heap: the parent of the i-th, counted from 0, is the (i - 1) // FAN_OUT-th.
    best = (len(before) - 1) // FAN_OUT
    return before[best::-1]
