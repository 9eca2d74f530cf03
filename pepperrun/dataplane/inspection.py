"""Showing: what a running gatekeeper holds, as one JSON object for whoever operates it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from pepperrun.control.records import GatewayRecord, WorkerState
from pepperrun.core.clock import Bucket
from pepperrun.dataplane.attempt_reports import ANSWERED_OVER, CLIENT_LEFT, LATE, OUTLIVED
from pepperrun.dataplane.plane import DataPlane
from pepperrun.distribution.service import DistributionService
from pepperrun.distribution.tree import parents
from pepperrun.foundation.netstring import Message
from pepperrun.membership.gateway_probe_service import GatewayProbeService

MS = 1_000_000
DEEPEST = 64  # steps: more than any tree has


def shown(
    row: GatewayRecord, news: DistributionService, plane: DataPlane, probes: GatewayProbeService, now: int
) -> Message:
    """The answer to `show`: ages in ms, levels in requests. Keys are not in it."""
    book, follower, keeper, table = news.replicated, news.follower, plane.gatekeeper, plane.table
    core, parent = follower.control_node, follower.parent
    return {
        **{"k": "shown", "class": "counter", "station": row.name, "zone": row.zone, "region": row.region},
        **{
            "ip": row.internal_address.rpartition(":")[0],
            "counter": row.client_address,
            "state": row.state,
            "life": row.incarnation,
        },
        **{"ready": plane.ready(), "number": book.version, "edition": table.edition if table else 0},
        **{"age_ms": _age(book.confirmed_at, now), "cells_age_ms": _age(book.records_confirmed_at, now)},
        "core": {"ip": core.address[0], "linked": core.connection is not None},
        "parent": {"station": parent.parent_name, "number": parent.version} if parent else None,
        **{"root": follower.is_root, "depth": depth(row.name, row.zone, book.gateways.values())},
        "children": [
            {"station": port.name, "number": peer.version}
            for port, peer in news.publisher.peers.items()
            if peer.is_attached
        ],
        "keepers": {place: len(held) for place, held in plane.quota_owners.domains.items()},
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
        **{"clients": plane.listener.count(), "under_way": keeper.pending_count()},
        "answers": {end.value: count for end, count in keeper.counts.items()},
        "attempts": {outcome.name.lower(): count for outcome, count in keeper.outcomes.items()},
        "abandoned": {str(reason): count for reason, count in plane.reports.abandoned_by_reason.items()},
        **{"late": plane.reports.counts[LATE], "answered_over": plane.reports.counts[ANSWERED_OVER]},
        **{"clients_left": plane.reports.counts[CLIENT_LEFT], "outlived": plane.reports.counts[OUTLIVED]},
        "answer_times": _answer_times(plane),
    }


def _answer_times(plane: DataPlane) -> dict[str, int]:
    """How many classes of requests there are, and for how many of them late attempts are told by now."""
    shared = plane.outcome_sharing
    judged = sum(known.late_ns() < float("inf") for known in shared.answer_times.values())
    return {
        "classes": len(plane.numbering.request_classes),
        "judged": judged,
        "failing_workers": len(shared.ejection.records),
    }


def _age(at: int, now: int) -> int | None:
    return (now - at) // MS if at else None


def depth(station: str, zone: str, gateways: Iterable[GatewayRecord]) -> int:
    """How many links the news takes from the core to here, where each follows its first choice."""
    held, steps = list(gateways), 1
    while steps < DEEPEST and (above := parents(station, zone, held)):
        station, steps = above[0].name, steps + 1
    return steps


def _level(bucket: Bucket, now: int) -> float:
    """What is in it now; looking does not touch it."""
    filled = bucket.level + bucket.rate * max(0, now - bucket.at) / 1e9
    return round(min(bucket.depth, filled), 2)


def _shares(plane: DataPlane, now: int) -> list[dict[str, Any]]:
    """This gatekeeper's part of each tenant's quota: a request a second, the most it holds, what is there."""
    if plane.table is None:
        return []
    quotas, settings = plane.gatekeeper.gateway.quotas, plane.gatekeeper.settings
    out: list[dict[str, Any]] = []
    for name, tenant in sorted(plane.table.tenants.items()):
        plan, account = settings.plans[tenant.plan], quotas.accounts.get(tenant.customer)
        if plan.ceiling_rate <= 0:
            out.append({"tenant": name, "rate": None, "depth": None, "level": None})
            continue
        places = plane.quota_owners.domains
        part = 1 / max(1, settings.gateways, settings.min_quota_shares)
        if places:  # kept by some for all: a part that is this gatekeeper's, or none
            part = 0.0 if plane.quota_owners.share_starts_at(tenant.customer) is None else 1 / len(places)
        row = {"tenant": name, "rate": plan.ceiling_rate * part, "depth": plan.ceiling_depth * part}
        out.append(row | {"level": _level(account.hard_limit, now) if account is not None else None})
    return out


def _workers(plane: DataPlane, now: int) -> dict[str, dict[str, int]]:
    """By service: how many in each state, and how many of the boarding ones are cold or may be."""
    out: dict[str, Counter[str]] = {}
    for known in plane.workers.by_number.values():
        counted = out.setdefault(known.record.service, Counter())
        counted[known.record.state] += 1
        if known.record.state == WorkerState.SERVING:
            counted["cold"] += plane.workers.is_warming_up(known, now)
            counted["misdirected"] += bool(known.misdirected_until)
            counted["ejected"] += plane.outcome_sharing.ejection.is_ejected(known.number, now)
    return {line: dict(sorted(counted.items())) for line, counted in sorted(out.items())}
