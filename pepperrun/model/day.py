"""What a day in virtual time is made of and what it came to: load, faults, settings, results."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Literal, cast

import numpy

from pepperrun.capture.format import Class, Entry, Plan
from pepperrun.core.interface import Group, Repeat, RequestClass, Settings
from pepperrun.core.interface import Plan as ModulePlan
from pepperrun.model.fleet import Fleet, draw_lognormal
from pepperrun.model.scheduler import SECOND
from pepperrun.model.service_level import ServiceLevel

MS = 1_000_000


@dataclass(slots=True, frozen=True)
class Fault:
    """Something that befalls nodes. `share` of the nodes of `zone` (all zones where empty), from `at_s` on.

    lost: they are cut off and reset, back and cold after `for_s` (never where 0). restart: they end and start
    cold at once. drain: they finish what they have and go for good.
    """

    kind: Literal["lost", "restart", "drain"]
    at_s: float
    duration_s: float = 0.0
    zone: str = ""
    node_share: float = 1.0


def parse_fault(text: str) -> Fault:
    """`what:at_s[:for_s[:zone[:share]]]`; ValueError where it is no fault."""
    what, *rest = text.split(":")
    try:
        at, last, zone, part = (*rest, *("", "0", "", "1")[len(rest) :])
        fault = Fault(cast(Any, what), float(at), float(last or 0), zone, float(part))
    except ValueError:
        raise ValueError(f"--fault: {text!r} is not WHAT:AT_S[:FOR_S[:ZONE[:SHARE]]]") from None
    if what not in ("lost", "restart", "drain"):
        raise ValueError(f"--fault: {what!r} is not one of lost, restart, drain")
    if not (0 <= fault.at_s < 1e6 and 0 <= fault.duration_s < 1e6 and 0 < fault.node_share <= 1):
        raise ValueError(f"--fault: {text!r} is out of range")
    return fault


@dataclass(slots=True)
class Request:
    """One request of the load. Times in ns from the day's start; work in ns of a core at speed 1."""

    arrival_ns: int
    gatekeeper: int
    cls: int
    plan: int
    customer: int
    units: float
    true_units: float
    budget_ns: int
    spread: int
    first: int
    work_ns: float
    submissions: int = 0
    admitted_attempts: int = 0  # attempts that reached a node
    latency_ns: int | None = None
    end: str = ""


@dataclass(slots=True)
class DayResult:
    """What a day came to."""

    requests: list[Request]
    service_level: ServiceLevel
    seconds: float
    end_counts: dict[str, int]
    outcome_counts: dict[str, int]
    node_utilisation: list[float]  # of each node, over the day
    peak_usage: dict[str, float] = field(default_factory=dict)
    latency_ms: dict[str, dict[str, float]] = field(default_factory=dict)  # by class, ms
    event_count: int = 0

    def summary(self) -> dict[str, Any]:
        """For JSON."""
        one = self.service_level
        return {
            "service": round(one.combined, 4),
            "whole": round(one.overall, 4),
            "worst_10_s": round(one.worst_window, 4),
            "worst_plan": round(one.worst_plan, 4),
            "by_plan": {name: round(value, 4) for name, value in one.by_plan.items()},
            "by_class": {name: round(value, 4) for name, value in one.by_class.items()},
            "times_ms": self.latency_ms,
            "requests": len(self.requests),
            "ends": self.end_counts,
            "attempts": self.outcome_counts,
            "node_utilisation": round(sum(self.node_utilisation) / max(1, len(self.node_utilisation)), 4),
            "busiest": {name: round(value, 4) for name, value in self.peak_usage.items()},
        }


def gatekeeper_settings(
    me: int, fleet: Fleet, classes: Sequence[Class], plans: Sequence[Plan], zones: Sequence[str], zone: str
) -> Settings:
    """What a gatekeeper of the fleet is told, as the configuration tool would write it."""
    kinds = list(fleet.kind.values())
    return Settings(
        me=me,
        gateways=fleet.gatekeepers.count,
        zone=zones.index(zone) if zone in zones else 0,
        classes=tuple(
            RequestClass(
                kind.name,
                int(kind.wanted_ms * MS),
                int(kind.deadline_ms * MS),
                Repeat(kind.repeat),
                Group.CELL if kind.repeat == "keyed" else Group.ALL,
                10 * SECOND if kind.repeat == "keyed" else 0,
                kind.worth,
                kind.late_worth,
            )
            for kind in classes
        ),
        plans=tuple(
            ModulePlan(
                plan.name,
                plan.rate,
                plan.burst,
                0,
                plan.ceiling_rate,
                plan.ceiling_depth,
                0.1 * plan.ceiling_depth,
                plan.price,
                plan.over_worth,
                plan.over_cost,
            )
            for plan in plans
        ),
        tick_ns=int(fleet.limits.tick_ms * MS),
        max_attempts=fleet.limits.attempts,
        hedging=fleet.limits.second_copies,
        may_cancel=True,
        peer_messages=fleet.gatekeepers.count > 1,
        peer_message_rate=100.0,
        retry_after=True,
        max_retry_after_ns=2 * SECOND,
        slow_start_min_capacity=min(kind.cold_from for kind in kinds),
        slow_start_ns=int(max(kind.cold_s for kind in kinds) * 1e9),
        overload_multiple=2.5,
        overload_for_ns=3 * SECOND // 2,
        reconciles_units=fleet.limits.settled,
        max_units=fleet.limits.most_units,
    )


def requests_from_entries(
    entries: Sequence[Entry], classes: Sequence[Class], fleet: Fleet, seed: int
) -> list[Request]:
    """The load of a capture, with work drawn for each request from the fleet's `[work.CLASS]`."""
    random = numpy.random.default_rng([seed, 1])
    works = []
    for kind in classes:
        work = fleet.work.get(kind.name)
        if work is None:
            raise ValueError(f"work.{kind.name}: missing (`pepperrun plan fit` estimates it)")
        works.append((work, draw_lognormal(work.mean_ms * MS, work.cv, len(entries), random)))
    out = []
    for position, entry in enumerate(entries):
        work, drawn = works[entry.cls]
        units = entry.true_units or entry.units
        out.append(
            Request(
                entry.at_us * 1000,
                entry.gatekeeper % fleet.gatekeepers.count,
                entry.cls,
                entry.plan,
                entry.customer,
                entry.units,
                units,
                entry.budget_us * 1000,
                min(entry.spread, fleet.gatekeepers.count),
                entry.first % fleet.gatekeepers.count,
                drawn[position] * units**work.by_units,
            )
        )
    return out


def latency_by_class(load: Sequence[Request], classes: Sequence[Class]) -> dict[str, dict[str, float]]:
    """Median and 99th percentile of what was served, by class, in ms."""
    found = {}
    for number, kind in enumerate(classes):
        took = sorted(one.latency_ns / MS for one in load if one.cls == number and one.latency_ns is not None)
        if took:
            found[kind.name] = {
                "p50": round(took[len(took) // 2], 2),
                "p99": round(took[len(took) * 99 // 100], 2),
            }
    return found
