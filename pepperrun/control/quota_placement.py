"""Quota placement: agreed lists of gatekeepers by domain, for fleets too large to split quotas. No I/O.

A quota that is split among many gatekeepers gives buckets that are too small for a single request. In such a
fleet one gatekeeper of each domain owns a share of a tenant's quota (`core.quota_owners`); it is chosen from
these lists. A domain is a region, or a zone if there is only one region.

After a change, the tenants that it moves have to wait until the former owners have certainly stopped. So the
lists change rarely: new gatekeepers are added in batches, and a silent one is replaced only after
`REPLACE_SILENT_NS`. If most gatekeepers of a domain are silent, the domain is taken to be partitioned and its
list stays. Lists that are agreed for so long that all owners by earlier lists have stopped are marked as
settled: a gatekeeper that starts then does not have to wait for former owners.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.core.quota_owners import GRANT_TTL_NS
from pepperrun.foundation.settings import Bounds

MS = 1_000_000  # ns
SECOND = 1000 * MS
# The first lists wait until no gatekeeper joined for so long, so that they have all that start together.
QUIET_NS = SECOND
# Later changes wait in the same way, so that gatekeepers that join together cause only one change.
JOIN_BATCH_NS = 3 * SECOND
REPLACE_SILENT_NS = 9 * SECOND  # a killed process restarts within seconds, which should not cause a change
PRESENT_NS = 3 * SECOND  # a gatekeeper seen within this time is present; control nodes report each second
CHANGE_INTERVAL_NS = 10 * SECOND  # tenants moved by one change have their quota again before the next change
RETRY_NS = SECOND // 2  # between two proposals, as one may still be in flight
MIN_BUCKET = 2.0  # requests; a share with a smaller bucket is too small
MAX_DOMAINS = 3  # so that each share of a quota is large enough for some requests

Domains = dict[str, list[str]]  # names of gatekeepers by domain
SilentFor = Callable[[str], int]  # returns the ns since the last message of a gatekeeper, by its name


class QuotaPlacement:
    """Decides on the coordinator when the agreed lists should change."""

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
        operation = self._settle(agreed, bounds, now) or self._change_domains(
            agreed, body, known, silent_ns, bounds, now
        )
        if operation is not None:
            self.proposed_at = now
        return operation

    def _observe(self, term: int, known: Iterable[str], silent_ns: SilentFor, now: int) -> None:
        """Record when the lists changed, and when a gatekeeper joined."""
        if term != self.term:
            self.term = term
            self.changed_at = now
        present = frozenset(name for name in known if silent_ns(name) <= PRESENT_NS)
        if present - self.present:
            self.joined_at = now
        self.present = present

    def _settle(self, agreed: dict[str, Any], bounds: Bounds, now: int) -> dict[str, Any] | None:
        """Return the operation that marks the lists as settled once all former owners have stopped."""
        stopped_ns = int(bounds.revoke_ms * MS) + GRANT_TTL_NS
        if agreed["term"] and not agreed.get("settled") and now - self.changed_at > stopped_ns:
            return {"do": "settled", "term": agreed["term"]}
        return None

    def _change_domains(
        self,
        agreed: dict[str, Any],
        body: dict[str, Any],
        known: Mapping[str, GatewayRecord],
        silent_ns: SilentFor,
        bounds: Bounds,
        now: int,
    ) -> dict[str, Any] | None:
        """Return the operation that changes the lists, or None if they should not change now."""
        if now - self.joined_at < QUIET_NS:
            return None
        if not agreed["term"]:
            domains = first_domains(known.values(), self.present)
            if len(domains) < 2 or not shares_are_too_small(body, bounds, len(known)):
                return None
        else:
            if now - self.changed_at < CHANGE_INTERVAL_NS or now - self.joined_at < JOIN_BATCH_NS:
                return None
            domains = updated_domains(agreed["places"], known, self.present, silent_ns)
            if domains == agreed["places"]:
                return None
        return {"do": "keepers", "places": domains, "instead": agreed["term"]}


def shares_are_too_small(body: Mapping[str, Any], bounds: Bounds, count: int) -> bool:
    """Return whether most quotas, split among `count` gatekeepers, would give too small shares."""
    tenants = (body.get("senders") or {}).values()
    limited = [tenant for tenant in tenants if (tenant.get("rate_per_s") or 0) > 0]
    buckets = [
        float(tenant.get("surge") or 0) * (1 + bounds.quota_excess) + bounds.quota_slack for tenant in limited
    ]
    too_small = sum(bucket < MIN_BUCKET * count for bucket in buckets)
    return 2 * too_small > len(buckets)


def first_domains(gateways: Iterable[GatewayRecord], present: frozenset[str]) -> Domains:
    """Return the first lists, which have the gatekeepers that are present."""
    regions: Domains = {}
    zones: Domains = {}
    for gateway in gateways:
        if gateway.name in present:
            regions.setdefault(gateway.region, []).append(gateway.name)
            zones.setdefault(gateway.zone, []).append(gateway.name)
    domains = regions if len(regions) > 1 else zones
    largest = sorted(domains, key=lambda name: (-len(domains[name]), name))[:MAX_DOMAINS]
    return {name: sorted(domains[name]) for name in sorted(largest)}


def updated_domains(
    domains: Mapping[str, list[str]],
    known: Mapping[str, GatewayRecord],
    present: frozenset[str],
    silent_ns: SilentFor,
) -> Domains:
    """Return the lists with the new gatekeepers and without those silent for over `REPLACE_SILENT_NS`.

    No domain is added or removed, so a quota keeps its number of shares.
    """
    updated: Domains = {}
    for domain, listed in domains.items():
        listed_present = [name for name in listed if name in present]
        most_are_present = 2 * len(listed_present) > len(listed)
        gone = {name for name in listed if most_are_present and silent_ns(name) > REPLACE_SILENT_NS}
        joined = {name for name in present if domain in (known[name].region, known[name].zone)}
        updated[domain] = sorted((set(listed) - gone) | joined)
    return updated
