"""The directory: which gatekeepers a client is given, those near it, shuffled anew at each call. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from pepperrun.control.records import GatewayRecord

MAX_ADDRESSES = 64
ENOUGH_NEAR = 2  # ready ones in a client's region; with fewer, farther ones are given too


def choose(
    gateways: Iterable[GatewayRecord], zone: str, region: str, regions: Mapping[str, str], seed: int
) -> list[str]:
    """Return addresses for a client: of its region, its zone's first; of all where these are few.

    Within each ring they are shuffled by `seed`. Clients pick by chance among all they are given. Zones have
    unlike numbers of gatekeepers for much the same load; given only those of its zone, a single one would
    carry half of its region's load, and need more than its share of every quota. Zones of a region are near
    each other.

    Parameters
    ----------
    zone, region : str
        Of the client; empty where it does not say.
    regions : mapping of str to str
        Region of each zone.
    """
    region = region or regions.get(zone, "")
    in_zone: list[str] = []
    in_region: list[str] = []
    elsewhere: list[str] = []
    for gateway in gateways:
        ring = in_zone if gateway.zone == zone else in_region if gateway.region == region else elsewhere
        ring.append(gateway.client_address)
    shuffler = random.Random(seed)
    shuffler.shuffle(in_zone)
    shuffler.shuffle(in_region)
    addresses = in_zone + in_region
    if len(addresses) < ENOUGH_NEAR:
        shuffler.shuffle(elsewhere)
        addresses += elsewhere
    return addresses[:MAX_ADDRESSES]
