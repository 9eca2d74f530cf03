"""The directory: which gatekeepers a client is told, those of its region, each time begun at another one."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from pepperrun.control.records import GatewayRecord

MOST = 64  # addresses that count
ENOUGH = 2  # ready ones in a client's region before farther ones are told


def choose(
    gateways: Iterable[GatewayRecord], zone: str, region: str, regions: Mapping[str, str], seed: int
) -> list[str]:
    """Addresses for a client: of its region, the zone's first; of all where these are few.

    Within each ring they are shuffled by `seed`. Clients pick by chance among all they are told. Zones have
    unlike numbers of gatekeepers for much the same load; told only of their zone, a single one would carry
    half of its region's, and need more than its part of every quota. Zones of a region are near each other.
    """
    region = region or regions.get(zone, "")
    rings: tuple[list[str], list[str], list[str]] = ([], [], [])
    for one in gateways:
        rings[0 if one.zone == zone else 1 if one.region == region else 2].append(one.counter)
    out: list[str] = []
    mix = random.Random(seed)
    for number, ring in enumerate(rings):
        if number == 2 and len(out) >= ENOUGH:
            break
        mix.shuffle(ring)
        out += ring
    return out[:MOST]
