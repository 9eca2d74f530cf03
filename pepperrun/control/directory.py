"""The directory: which gatekeepers a client is given, those near it, shuffled anew at each call. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.hosts import host_of

MAX_ADDRESSES = 64
ENOUGH_NEAR = 2  # ready ones in a client's region; with fewer, farther ones are given too


@dataclass(frozen=True)
class DirectoryAnswer:
    """What a client is given.

    Attributes
    ----------
    addresses : list of str
        Of gatekeepers, the nearest first.
    is_fallback : bool
        Whether none is ready where the host's requests may go: these are better than none and no more, and
        the client should ask again soon.
    """

    addresses: list[str]
    is_fallback: bool = False


class HostHomeRegions:
    """The regions in which requests for a host may be served, by the agreed routes."""

    def __init__(self) -> None:
        self._state: Mapping[str, Any] | None = None
        self._homes: dict[bytes, set[str]] = {}

    def of(self, state: Mapping[str, Any] | None, host: str) -> frozenset[str]:
        """Return the homes of the host's routes together; none where no route of it has any."""
        if state is not self._state:
            self._state, self._homes = state, {}
            for route in ((state or {}).get("routes") or {}).values():
                if route.get("home_regions"):
                    self._homes.setdefault(host_of(route["depot"].encode()), set()).update(
                        route["home_regions"]
                    )
        return frozenset(self._homes.get(host_of(host.encode()), ()))


def choose_gateways(
    gateways: Iterable[GatewayRecord],
    zone: str,
    region: str,
    regions: Mapping[str, str],
    seed: int,
    homes: Callable[[], frozenset[str]] = frozenset,
) -> DirectoryAnswer:
    """Return addresses for a client: of its region, its zone's first; farther ones too where these are few.

    Within each ring they are shuffled by `seed`. Clients pick by chance among all they are given. Zones have
    unlike numbers of gatekeepers for much the same load; given only those of its zone, a single one would
    carry half of its region's load, and need more than its share of every quota. Zones of a region are near
    each other. In a rolling restart a region of two or three is down to one ready gatekeeper by planned work
    alone: a client of a host with homes is then not sent out of these.

    Parameters
    ----------
    zone, region : str
        Of the client; empty where it does not say.
    regions : mapping of str to str
        Region of each zone.
    homes : callable
        Returns the regions in which requests for the client's host may be served, none for all. Asked only
        where few gatekeepers are near.
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
    shuffler = random.Random(seed)
    shuffler.shuffle(in_zone)
    shuffler.shuffle(in_region)
    near = in_zone + in_region
    if len(near) >= ENOUGH_NEAR:
        return DirectoryAnswer(near[:MAX_ADDRESSES])
    shuffler.shuffle(far)
    allowed = homes()
    at_home = [one.client_address for one in far if one.region in allowed or not allowed]
    if near or at_home:
        return DirectoryAnswer((near + at_home)[:MAX_ADDRESSES])
    return DirectoryAnswer([one.client_address for one in far][:MAX_ADDRESSES], is_fallback=True)
