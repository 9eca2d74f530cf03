"""Who is whose parent: an order of the gatekeepers of a zone that all compute alike from what they hold.

Each attaches only to a gatekeeper before it in the order, so there are no circles whatever the views; where
no one before it will do, it attaches to the core itself, as the first always does.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from pepperrun.control.records import GatewayRecord, GatewayState

FAN_OUT = 4  # children of one relay: a hundred gatekeepers of a zone are 4 steps deep


@lru_cache(maxsize=4096)
def key(station: str) -> bytes:
    """Places stations in an order that has nothing to do with machines or racks."""
    return blake2b(station.encode(), digest_size=8).digest()


def spread(*parts: str) -> bytes:
    """A number of one's own for each choice: many who choose spread over it."""
    return blake2b("|".join(parts).encode(), digest_size=8).digest()


def parents(station: str, zone: str, gateways: Iterable[GatewayRecord]) -> list[GatewayRecord]:
    """Whom to attach to, the best first; empty for the zone's root."""
    mine = key(station)
    before = [
        gateway
        for gateway in gateways
        if gateway.zone == zone
        and gateway.state in (GatewayState.READY, GatewayState.STARTING)
        and key(gateway.name) < mine
    ]
    before.sort(key=lambda gateway: key(gateway.name))
    best = (
        len(before) - 1
    ) // FAN_OUT  # of the heap's i-th, counted from 0, the parent is (i - 1) // FAN_OUT
    return before[best::-1] if before else []
