"""The directory: chooses gatekeepers near a client, in a new random order for each call. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.hosts import host_of

MAX_ADDRESSES = 64
ENOUGH_NEAR = 2  # ready gatekeepers in a client's region; with fewer, the answer has others too


@dataclass(frozen=True)
class DirectoryAnswer:
    """The gatekeepers for a client.

    Attributes
    ----------
    addresses : list of str
        Addresses of gatekeepers, the nearest first.
    is_fallback : bool
        Whether no gatekeeper is ready in the regions allowed for the host: the addresses are those of
        gatekeepers that restart there or, if there are none, outside of these regions. The client should
        ask again soon.
    """

    addresses: list[str]
    is_fallback: bool = False


class HostHomeRegions:
    """Home regions by host: where the agreed routes allow its requests to be served. Cached per state."""

    def __init__(self) -> None:
        self._state: Mapping[str, Any] | None = None
        self._home_regions: dict[bytes, set[str]] = {}

    def of(self, state: Mapping[str, Any] | None, host: str) -> frozenset[str]:
        """Return the union of the home regions of the host's routes; empty if none of them has any."""
        if state is not self._state:
            self._state, self._home_regions = state, {}
            for route in ((state or {}).get("routes") or {}).values():
                if route.get("home_regions"):
                    self._home_regions.setdefault(host_of(route["depot"].encode()), set()).update(
                        route["home_regions"]
                    )
        return frozenset(self._home_regions.get(host_of(host.encode()), ()))


def choose_gateways(
    gateways: Iterable[GatewayRecord],
    zone: str,
    region: str,
    regions: Mapping[str, str],
    seed: int,
    home_regions: Callable[[], frozenset[str]] = frozenset,
    restarting: Callable[[], Iterable[GatewayRecord]] = tuple,
) -> DirectoryAnswer:
    """Return addresses of a client's region, those in its zone first; if these are few, others too.

    The zone, the rest of the region and the other regions are each shuffled by `seed`. Clients pick at random
    among all the addresses that they get. The whole region is returned because zones have different numbers
    of gatekeepers for about the same load: if clients got only the gatekeepers of their zone, the single
    gatekeeper of a small zone would carry half of its region's load, and need more than its share of every
    quota. The zones of a region are near each other. During a rolling restart, a region of two or three
    gatekeepers may have only one that is ready, and a region with a single gatekeeper has none for a moment:
    a client of a host with home regions is then still not sent outside of these.

    Parameters
    ----------
    zone, region : str
        Zone and region of the client; empty if unknown.
    regions : mapping of str to str
        Region of each zone.
    home_regions : callable
        Returns the regions in which requests for the client's host may be served; empty for all regions.
        Called only if few gatekeepers are near.
    restarting : callable
        Returns the gatekeepers that are shutting down or starting. Called only if none is ready in the
        regions allowed for the host.
    """
    region = region or regions.get(zone, "")
    in_zone: list[str] = []
    in_region: list[str] = []
    far: list[GatewayRecord] = []
    for gateway in gateways:
        if gateway.zone == zone:
            in_zone.append(gateway.client_address)
        elif gateway.region == region:
            in_region.append(gateway.client_address)
        else:
            far.append(gateway)
    rng = random.Random(seed)
    rng.shuffle(in_zone)
    rng.shuffle(in_region)
    near = in_zone + in_region
    if len(near) >= ENOUGH_NEAR:
        return DirectoryAnswer(near[:MAX_ADDRESSES])
    rng.shuffle(far)
    allowed_regions = home_regions()
    far_allowed = [
        gateway.client_address for gateway in far if gateway.region in allowed_regions or not allowed_regions
    ]
    if near or far_allowed:
        return DirectoryAnswer((near + far_allowed)[:MAX_ADDRESSES])
    back_soon = [
        gateway.client_address
        for gateway in restarting()
        if gateway.region == region or gateway.region in allowed_regions
    ]
    fallback = back_soon or [gateway.client_address for gateway in far]
    return DirectoryAnswer(fallback[:MAX_ADDRESSES], is_fallback=True)
