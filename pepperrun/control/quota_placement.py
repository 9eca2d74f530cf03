"""Quota placement: agreed lists of gatekeepers by place, for fleets too large to split quotas. No I/O.

Split among n gatekeepers a tenant's quota comes to buckets that hold no request where n is large. Then one
gatekeeper of each place owns a share of it (`core.quota_owners`), chosen from these lists. A place is a
region, or a zone where there is one region. Each change makes the tenants that it moves wait until the former
owners have surely stopped, so changes are seldom: new gatekeepers come in together, a silent one is replaced
only after long, and a place of which most are silent is partitioned rather than gone: its list stays. Lists
that were agreed for so long that every owner by earlier ones has stopped are marked as settled: a gatekeeper
that starts anew need not wait for anybody else then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.core.quota_owners import GRANT_TTL_NS
from pepperrun.foundation.settings import Bounds

MS = 1_000_000  # ns
SECOND = 1000 * MS
QUIET_NS = SECOND  # no gatekeeper came for so long: those that start together are in the first list
JOIN_BATCH_NS = 3 * SECOND  # later ones wait for others that come with them
REPLACE_SILENT_NS = 9 * SECOND  # a process that was killed is back within some seconds, without a change
PRESENT_NS = 3 * SECOND  # seen since then: control nodes report each second
CHANGE_INTERVAL_NS = 10 * SECOND  # those whom one change moves have their quota again before the next
RETRY_NS = SECOND // 2  # between two proposals: one may still be under way
MIN_BUCKET = 2.0  # requests: a share that can't hold so many is too small to serve by
MAX_PLACES = 3  # the shares of a quota are to hold some requests each

Places = dict[str, list[str]]  # names of gatekeepers by place
SilentFor = Callable[[str], int]  # ns without a message, by a gatekeeper's name


class QuotaPlacement:
    """Decides when the agreed lists are to change; asked by the node that coordinates."""

    def __init__(self) -> None:
        self.present: frozenset[str] = frozenset()
        self.joined_at = -CHANGE_INTERVAL_NS
        self.proposed_at = -CHANGE_INTERVAL_NS
        self.changed_at = -CHANGE_INTERVAL_NS
        self.term = 0

    def next_operation(
        self,
        gateways: Iterable[GatewayRecord],
        body: dict[str, Any],
        silent_ns: SilentFor,
        bounds: Bounds,
        now: int,
    ) -> dict[str, Any] | None:
        """Return the operation to propose now, or None."""
        if not body.get("edition"):
            return None
        agreed = body.get("keepers") or {"term": 0, "places": {}}
        known = {gateway.name: gateway for gateway in gateways if not gateway.is_gone}
        self._observe(agreed["term"], known, silent_ns, now)
        if now - self.proposed_at < RETRY_NS:
            return None
        operation = self._settle(agreed, bounds, now) or self._replace(
            agreed, body, known, silent_ns, bounds, now
        )
        if operation is not None:
            self.proposed_at = now
        return operation

    def _observe(self, term: int, known: Iterable[str], silent_ns: SilentFor, now: int) -> None:
        """Note when the lists changed and when a gatekeeper came."""
        if term != self.term:
            self.term = term
            self.changed_at = now
        present = frozenset(name for name in known if silent_ns(name) <= PRESENT_NS)
        if present - self.present:
            self.joined_at = now
        self.present = present

    def _settle(self, agreed: dict[str, Any], bounds: Bounds, now: int) -> dict[str, Any] | None:
        """Return the operation that marks the lists as settled, once former owners have stopped."""
        stopped_ns = int(bounds.revoke_ms * MS) + GRANT_TTL_NS
        if agreed["term"] and not agreed.get("settled") and now - self.changed_at > stopped_ns:
            return {"do": "settled", "term": agreed["term"]}
        return None

    def _replace(
        self,
        agreed: dict[str, Any],
        body: dict[str, Any],
        known: Mapping[str, GatewayRecord],
        silent_ns: SilentFor,
        bounds: Bounds,
        now: int,
    ) -> dict[str, Any] | None:
        """Return the operation that agrees on other lists, where they should change now."""
        if now - self.joined_at < QUIET_NS:
            return None
        if not agreed["term"]:
            places = first_domains(known.values(), self.present)
            if len(places) < 2 or not is_crowded(body, bounds, len(known)):
                return None
        else:
            if now - self.changed_at < CHANGE_INTERVAL_NS or now - self.joined_at < JOIN_BATCH_NS:
                return None
            places = updated_domains(agreed["places"], known, self.present, silent_ns)
            if places == agreed["places"]:
                return None
        return {"do": "keepers", "places": places, "instead": agreed["term"]}


def is_crowded(body: Mapping[str, Any], bounds: Bounds, count: int) -> bool:
    """Whether the shares of most quotas would be too small to serve by, split among `count`."""
    tenants = (body.get("senders") or {}).values()
    limited = [tenant for tenant in tenants if (tenant.get("rate_per_s") or 0) > 0]
    buckets = [
        float(tenant.get("surge") or 0) * (1 + bounds.quota_excess) + bounds.quota_slack for tenant in limited
    ]
    too_small = sum(bucket < MIN_BUCKET * count for bucket in buckets)
    return 2 * too_small > len(buckets)


def first_domains(gateways: Iterable[GatewayRecord], present: frozenset[str]) -> Places:
    """Return the first lists, of the gatekeepers that are present."""
    regions: Places = {}
    zones: Places = {}
    for gateway in gateways:
        if gateway.name in present:
            regions.setdefault(gateway.region, []).append(gateway.name)
            zones.setdefault(gateway.zone, []).append(gateway.name)
    places = regions if len(regions) > 1 else zones
    largest = sorted(places, key=lambda name: (-len(places[name]), name))[:MAX_PLACES]
    return {name: sorted(places[name]) for name in sorted(largest)}


def updated_domains(
    places: Mapping[str, list[str]],
    known: Mapping[str, GatewayRecord],
    present: frozenset[str],
    silent_ns: SilentFor,
) -> Places:
    """Return the lists with those that have come and without those that were silent for long.

    No place comes or goes: a quota keeps its number of shares.
    """
    updated: Places = {}
    for place, listed in places.items():
        seen = [name for name in listed if name in present]
        most_are_there = 2 * len(seen) > len(listed)
        gone = {name for name in listed if most_are_there and silent_ns(name) > REPLACE_SILENT_NS}
        come = {name for name in present if place in (known[name].region, known[name].zone)}
        updated[place] = sorted((set(listed) - gone) | come)
    return updated
