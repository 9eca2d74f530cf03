"""Inspection: the state of a running gatekeeper as one JSON object for operators (`show`)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from pepperrun.control.records import GatewayRecord, WorkerState
from pepperrun.core.clock import Bucket
from pepperrun.dataplane.attempt_reports import ANSWERED_WITH_OPEN_ATTEMPTS, CLIENT_LEFT, LATE, OUTLIVED
from pepperrun.dataplane.plane import DataPlane
from pepperrun.distribution.service import DistributionService
from pepperrun.distribution.tree import parents
from pepperrun.foundation.netstring import Message
from pepperrun.membership.gateway_probe_service import GatewayProbeService

MS = 1_000_000
MAX_DEPTH = 64  # links: deeper than any distribution tree


def status_message(
    own: GatewayRecord,
    distribution: DistributionService,
    plane: DataPlane,
    probes: GatewayProbeService,
    now: int,
) -> Message:
    """Returns the answer to `show`: ages in ms, levels in requests. It holds no keys of tenants."""
    replicated, follower, gatekeeper, table = (
        distribution.replicated,
        distribution.follower,
        plane.gatekeeper,
        plane.table,
    )
    control_node, parent = follower.control_node, follower.parent
    return {
        **{"k": "shown", "class": "counter", "station": own.name, "zone": own.zone, "region": own.region},
        **{
            "ip": own.internal_address.rpartition(":")[0],
            "counter": own.client_address,
            "state": own.state,
            "life": own.incarnation,
        },
        **{"ready": plane.ready(), "number": replicated.version, "edition": table.edition if table else 0},
        **{
            "age_ms": _age(replicated.confirmed_at, now),
            "cells_age_ms": _age(replicated.records_confirmed_at, now),
        },
        "core": {"ip": control_node.address[0], "linked": control_node.connection is not None},
        "parent": {"station": parent.parent_name, "number": parent.version} if parent else None,
        **{"root": follower.is_root, "depth": tree_depth(own.name, own.zone, replicated.gateways.values())},
        "children": [
            {"station": port.name, "number": peer.version}
            for port, peer in distribution.publisher.peers.items()
            if peer.is_attached
        ],
        "keepers": {domain: len(owners) for domain, owners in plane.quota_owners.domains.items()},
        **{
            "seats": plane.numbering.agreed_gateways,
            "parts": plane.numbering.quota_shares,
            "shares": _shares(plane, now),
        },
        **{"workers": _workers(plane, now), "evacuated": sorted(table.evacuated) if table else []},
        "scouts": {
            "watched": max(0, len(probes.prober.address_by_number)),
            "absent": sorted(probes.prober.absent_gateways()),
            "doubts_itself": probes.suspects_itself,
        },
        **{"clients": plane.listener.count(), "under_way": gatekeeper.pending_count()},
        "answers": {end.value: count for end, count in gatekeeper.counts.items()},
        "attempts": {outcome.name.lower(): count for outcome, count in gatekeeper.outcomes.items()},
        "abandoned": {str(reason): count for reason, count in plane.reports.abandoned_by_reason.items()},
        **{
            "late": plane.reports.counts[LATE],
            "answered_over": plane.reports.counts[ANSWERED_WITH_OPEN_ATTEMPTS],
        },
        **{"clients_left": plane.reports.counts[CLIENT_LEFT], "outlived": plane.reports.counts[OUTLIVED]},
        "answer_times": _answer_times(plane),
    }


def _answer_times(plane: DataPlane) -> dict[str, int]:
    """Returns the number of request classes, and of those whose late attempts can be told by now."""
    shared = plane.outcome_sharing
    judged = sum(known.late_ns() < float("inf") for known in shared.answer_times.values())
    return {
        "classes": len(plane.numbering.request_classes),
        "judged": judged,
        "failing_workers": len(shared.ejection.records),
    }


def _age(at: int, now: int) -> int | None:
    """Returns the age in ms; None where there was none yet."""
    return (now - at) // MS if at else None


def tree_depth(name: str, zone: str, gateways: Iterable[GatewayRecord]) -> int:
    """Returns the number of links from a control node to this gatekeeper if all use preferred parents."""
    known, steps = list(gateways), 1
    while steps < MAX_DEPTH and (above := parents(name, zone, known)):
        name, steps = above[0].name, steps + 1
    return steps


def _level(bucket: Bucket, now: int) -> float:
    """Returns the level of a bucket now, without refilling the bucket."""
    filled = bucket.level + bucket.rate * max(0, now - bucket.at) / 1e9
    return round(min(bucket.depth, filled), 2)


def _shares(plane: DataPlane, now: int) -> list[dict[str, Any]]:
    """Returns this gatekeeper's share of each tenant's quota: requests per second, depth and level."""
    if plane.table is None:
        return []
    quotas, settings = plane.gatekeeper.gateway.quotas, plane.gatekeeper.settings
    out: list[dict[str, Any]] = []
    for name, tenant in sorted(plane.table.tenants.items()):
        plan, account = settings.plans[tenant.plan], quotas.accounts.get(tenant.customer)
        if plan.ceiling_rate <= 0:
            out.append({"tenant": name, "rate": None, "depth": None, "level": None})
            continue
        domains = plane.quota_owners.domains
        share = 1 / max(1, settings.gateways, settings.min_quota_shares)
        if domains:  # owned by some gatekeepers for all: the share of this one, or none
            share = 0.0 if plane.quota_owners.share_starts_at(tenant.customer) is None else 1 / len(domains)
        row = {"tenant": name, "rate": plan.ceiling_rate * share, "depth": plan.ceiling_depth * share}
        out.append(row | {"level": _level(account.hard_limit, now) if account is not None else None})
    return out


def _workers(plane: DataPlane, now: int) -> dict[str, dict[str, int]]:
    """Returns by service the number of workers in each state, and of serving ones that are restricted."""
    out: dict[str, Counter[str]] = {}
    for known in plane.workers.by_number.values():
        counted = out.setdefault(known.record.service, Counter())
        counted[known.record.state] += 1
        if known.record.state == WorkerState.SERVING:
            counted["cold"] += plane.workers.is_warming_up(known, now)
            counted["misdirected"] += bool(known.misdirected_until)
            counted["ejected"] += plane.outcome_sharing.ejection.is_ejected(known.number, now)
    return {service: dict(sorted(counted.items())) for service, counted in sorted(out.items())}
