"""Input and output of a simulated day: load, faults, settings of gatekeepers, results."""

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
    """A fault of `node_share` of the nodes of `zone` (all zones if empty), from `at_s` seconds on.

    lost: the nodes reset their requests and are unreachable. They restart, not warmed up, after `duration_s`
    seconds (never if 0). restart: the processes end and start again after 0.5 s, not warmed up. drain: the
    nodes finish their pending requests and leave for good after 10 s.
    """

    kind: Literal["lost", "restart", "drain"]
    at_s: float
    duration_s: float = 0.0
    zone: str = ""
    node_share: float = 1.0


def parse_fault(text: str) -> Fault:
    """Parses `kind:at_s[:duration_s[:zone[:node_share]]]`. Raises ValueError if the text is invalid."""
    kind, *rest = text.split(":")
    try:
        at, duration, zone, share = (*rest, *("", "0", "", "1")[len(rest) :])
        fault = Fault(cast(Any, kind), float(at), float(duration or 0), zone, float(share))
    except ValueError:
        raise ValueError(f"--fault: {text!r} is not KIND:AT_S[:FOR_S[:ZONE[:SHARE]]]") from None
    if kind not in ("lost", "restart", "drain"):
        raise ValueError(f"--fault: {kind!r} is not one of lost, restart, drain")
    if not (0 <= fault.at_s < 1e6 and 0 <= fault.duration_s < 1e6 and 0 < fault.node_share <= 1):
        raise ValueError(f"--fault: a number of {text!r} is out of range")
    return fault


@dataclass(slots=True)
class Request:
    """One request of the load, and its result.

    `arrival_ns` counts from the start of the day; work is in ns of a core at speed 1. `spread` and `first`
    are those of `core.interface.Request`. `submissions`: attempts of the client, including retries.
    """

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
    admitted_attempts: int = 0  # attempts that a node admitted
    latency_ns: int | None = None
    end: str = ""


@dataclass(slots=True)
class DayResult:
    """Result of a simulated day."""

    requests: list[Request]
    service_level: ServiceLevel
    seconds: float
    end_counts: dict[str, int]
    outcome_counts: dict[str, int]
    node_utilisation: list[float]  # of each node, mean over the day
    peak_usage: dict[str, float] = field(default_factory=dict)
    latency_ms: dict[str, dict[str, float]] = field(default_factory=dict)  # percentiles by class
    event_count: int = 0

    def summary(self) -> dict[str, Any]:
        """Returns the result as a table for JSON."""
        level = self.service_level
        return {
            "service": round(level.combined, 4),
            "whole": round(level.overall, 4),
            "worst_10_s": round(level.worst_window, 4),
            "worst_plan": round(level.worst_plan, 4),
            "by_plan": {name: round(value, 4) for name, value in level.by_plan.items()},
            "by_class": {name: round(value, 4) for name, value in level.by_class.items()},
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
    """Returns the settings of gatekeeper `me`, as the configuration tool would write them."""
    kinds = list(fleet.kind.values())
    return Settings(
        me=me,
        gateways=fleet.gatekeepers.count,
        zone=zones.index(zone) if zone in zones else 0,
        classes=tuple(
            RequestClass(
                cls.name,
                int(cls.wanted_ms * MS),
                int(cls.deadline_ms * MS),
                Repeat(cls.repeat),
                Group.CELL if cls.repeat == "keyed" else Group.ALL,
                10 * SECOND if cls.repeat == "keyed" else 0,
                cls.worth,
                cls.late_worth,
            )
            for cls in classes
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
    """Returns the load of a capture, with work drawn for each request from the fleet's `[work.CLASS]`.

    Raises ValueError if the fleet has no work for a class.
    """
    random = numpy.random.default_rng([seed, 1])
    work_by_class = []
    for cls in classes:
        work = fleet.work.get(cls.name)
        if work is None:
            raise ValueError(f"work.{cls.name}: missing (`pepperrun plan fit` estimates it)")
        work_by_class.append((work, draw_lognormal(work.mean_ms * MS, work.cv, len(entries), random)))
    requests = []
    for index, entry in enumerate(entries):
        work, draws = work_by_class[entry.cls]
        units = entry.true_units or entry.units
        requests.append(
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
                draws[index] * units**work.by_units,
            )
        )
    return requests


def latency_by_class(load: Sequence[Request], classes: Sequence[Class]) -> dict[str, dict[str, float]]:
    """Returns the median and 99th percentile latency of served requests, by class, in ms."""
    percentiles = {}
    for number, cls in enumerate(classes):
        latencies = sorted(
            request.latency_ns / MS
            for request in load
            if request.cls == number and request.latency_ns is not None
        )
        if latencies:
            percentiles[cls.name] = {
                "p50": round(latencies[len(latencies) // 2], 2),
                "p99": round(latencies[len(latencies) * 99 // 100], 2),
            }
    return percentiles
