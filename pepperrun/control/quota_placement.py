"""Quota placement: agreed lists of gatekeepers by place, for fleets too large to split quotas.

Split among n gatekeepers a tenant's quota comes to buckets that hold no request where n is large. Then one
gatekeeper of each place keeps a part of it (`core.quota_keepers`), chosen from these lists. A place is a
region, or a zone where there is one region. Each change makes the tenants that it moves wait until who kept
them has surely stopped, so changes are seldom: new gatekeepers come in together, who is silent is replaced
only after long, and a place of which most are silent is cut off rather than gone: its list stays. Lists
that were held for so long that whoever kept anything by earlier ones has stopped are marked as settled: a
gatekeeper that starts anew need not wait for anybody else then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pepperrun.control.records import GONE, GatewayRecord
from pepperrun.core.quota_keepers import GRANT_NS
from pepperrun.foundation.settings import Bounds

SECOND = 1_000_000_000
SETTLED_NS = SECOND  # no gatekeeper came for so long: those that start together are in the first list
JOINS_NS = 3 * SECOND  # later ones wait for others that come with them
SILENT_NS = 9 * SECOND  # a process that was killed is back within some seconds, without a change
HEARD_NS = 3 * SECOND  # who was heard since then is there: core machines tell each other each second
CHANGE_NS = 10 * SECOND  # between two changes: those whom one moves have their quota again before the next
AGAIN_NS = SECOND // 2  # between two proposals: one may still be under way
LEAST = 2.0  # requests: a part that can't hold so many is too small to serve by
MOST_PLACES = 3  # a quota's parts are to hold some requests each


class QuotaPlacement:
    """Decides when the agreed lists are to change; asked by the machine whose duty that is."""

    def __init__(self) -> None:
        self.there: frozenset[str] = frozenset()
        self.since = self.asked_at = self.changed_at = -CHANGE_NS
        self.term = 0

    def wanted(
        self,
        gateways: Iterable[GatewayRecord],
        state: dict[str, Any] | None,
        silent: Callable[[str], int],
        bounds: Bounds,
        now: int,
    ) -> dict[str, Any] | None:
        """The operation to propose now, or None. `silent`: for how long a station was not heard, ns."""
        if not state or not state.get("edition"):
            return None
        held = state.get("keepers") or {"term": 0, "places": {}}
        if held["term"] != self.term:
            self.term, self.changed_at = held["term"], now
        known = {one.station: one for one in gateways if one.state != GONE}
        there = frozenset(station for station in known if silent(station) <= HEARD_NS)
        if there - self.there:
            self.since = now
        self.there = there
        if now - self.asked_at < AGAIN_NS:
            return None
        over = int(bounds.revoke_ms * 1_000_000) + GRANT_NS
        if held["term"] and not held.get("settled") and now - self.changed_at > over:
            self.asked_at = now
            return {"do": "settled", "term": held["term"]}
        if now - self.since < SETTLED_NS:
            return None
        if not held["term"]:
            places = first(known.values(), there)
            if len(places) < 2 or not crowded(state, bounds, len(known)):
                return None
        else:
            if now - self.changed_at < CHANGE_NS or now - self.since < JOINS_NS:
                return None
            places = after(held["places"], known, there, silent)
            if places == held["places"]:
                return None
        self.asked_at = now
        return {"do": "keepers", "places": places, "instead": held["term"]}


def crowded(state: Mapping[str, Any], bounds: Bounds, count: int) -> bool:
    """Would the parts of most quotas be too small to serve by, split among so many?"""
    excess, slack = bounds.quota_excess, bounds.quota_slack
    senders = (state.get("senders") or {}).values()
    limited = [one for one in senders if (one.get("rate_per_s") or 0) > 0]
    deep = [float(one.get("surge") or 0) * (1 + excess) + slack for one in limited]
    return 2 * sum(depth < LEAST * count for depth in deep) > len(deep)


def first(gateways: Iterable[GatewayRecord], there: frozenset[str]) -> dict[str, list[str]]:
    """Lists by place of those that are there."""
    here = [one for one in gateways if one.station in there]
    regions: dict[str, list[str]] = {}
    zones: dict[str, list[str]] = {}
    for one in here:
        regions.setdefault(one.region, []).append(one.station)
        zones.setdefault(one.zone, []).append(one.station)
    places = regions if len(regions) > 1 else zones
    largest = sorted(places, key=lambda name: (-len(places[name]), name))[:MOST_PLACES]
    return {name: sorted(places[name]) for name in sorted(largest)}


def after(
    places: Mapping[str, list[str]],
    known: Mapping[str, GatewayRecord],
    there: frozenset[str],
    silent: Callable[[str], int],
) -> dict[str, list[str]]:
    """The lists with who has come and without who was silent for long. No place comes or goes: the parts of a
    quota stay as many as they are."""
    out = {}
    for place, held in places.items():
        heard = [one for one in held if one in there]
        gone = {one for one in held if silent(one) > SILENT_NS} if 2 * len(heard) > len(held) else set[str]()
        come = {one for one in there if place in (known[one].region, known[one].zone)}
        out[place] = sorted((set(held) - gone) | come)
    return out
