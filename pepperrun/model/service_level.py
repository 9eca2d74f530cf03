"""The service level: value of answers in time, as a share of the value requested inside the quotas."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pepperrun.capture.format import Class, Plan

WINDOW_S = 10
COMPONENT_WEIGHTS = (0.6, 0.25, 0.15)  # the whole day, its worst 10 s, the worst-served plan


@dataclass(slots=True, frozen=True)
class RequestResult:
    """A client's first attempt, and the result of the request including its retries. Times in ns."""

    sent_at: int
    cls: int
    plan: int
    customer: int
    units: float
    latency_ns: int | None  # until the successful answer; None if there was none
    over_quota_value: float = 0.0  # value of attempts that were forwarded beyond the quota


@dataclass(slots=True, frozen=True)
class ServiceLevel:
    """Service levels from 0 to 1 of a day. `offered`: the value requested."""

    overall: float
    worst_window: float
    worst_plan: float
    by_plan: dict[str, float]
    by_class: dict[str, float]
    offered: float

    @property
    def combined(self) -> float:
        """Weighted sum of the overall level, the worst window and the worst plan."""
        parts = self.overall, self.worst_window, self.worst_plan
        return sum(weight * part for weight, part in zip(COMPONENT_WEIGHTS, parts, strict=True))


def inside_quota(results: Sequence[RequestResult], plans: Sequence[Plan]) -> list[bool]:
    """Returns which first attempts a single gatekeeper that receives all of them would admit.

    `results` must be in the order of time.
    """
    buckets: dict[tuple[int, int], tuple[float, int]] = {}
    admitted = []
    for result in results:
        plan = plans[result.plan]
        if plan.rate <= 0:
            admitted.append(True)
            continue
        level, at = buckets.get((result.plan, result.customer), (plan.burst, result.sent_at))
        level = min(plan.burst, level + plan.rate * (result.sent_at - at) / 1e9)
        fits = level >= result.units
        buckets[result.plan, result.customer] = (level - result.units if fits else level, result.sent_at)
        admitted.append(fits)
    return admitted


def earned_share(earned: float, offered: float) -> float:
    """Returns the earned share of the offered value, from 0 to 1; 1 if nothing was offered."""
    return max(0.0, min(1.0, earned / offered)) if offered > 0 else 1.0


def service_level(
    results: Iterable[RequestResult], classes: Sequence[Class], plans: Sequence[Plan]
) -> ServiceLevel:
    """Computes the service level of a day.

    The first second does not count because the clients open their first connections in it. A request beyond
    its quota counts with the `over_worth` of its plan, and not at all by plan and by class.
    """
    ordered = sorted(results, key=lambda result: result.sent_at)
    if not ordered:
        return ServiceLevel(1.0, 1.0, 1.0, {}, {}, 0.0)
    start = ordered[0].sent_at
    inside = inside_quota(ordered, plans)
    seconds: dict[int, list[float]] = {}
    by_plan = [[0.0, 0.0] for _ in plans]
    by_class = [[0.0, 0.0] for _ in classes]
    for result, fits in zip(ordered, inside, strict=True):
        second = (result.sent_at - start) // 1_000_000_000
        if second < 1:
            continue
        cls, plan = classes[result.cls], plans[result.plan]
        full_value = cls.worth * plan.price * result.units
        value = 0.0
        if result.latency_ns is not None:
            value = full_value if result.latency_ns <= cls.wanted_ms * 1e6 else full_value * cls.late_worth
        offered, earned = (
            (full_value, value) if fits else (plan.over_worth * full_value, plan.over_worth * value)
        )
        totals = seconds.setdefault(second, [0.0, 0.0])
        totals[0] += offered
        totals[1] += earned
        if fits:
            for table, number in ((by_plan, result.plan), (by_class, result.cls)):
                table[number][0] += full_value
                table[number][1] += value
    offered = sum(totals[0] for totals in seconds.values())
    last = max(seconds, default=1)
    windows = []
    for first in range(1, max(2, last - WINDOW_S + 2)):
        window = [seconds[second] for second in range(first, first + WINDOW_S) if second in seconds]
        window_offered = sum(totals[0] for totals in window)
        if window_offered > offered * 0.02:  # the level of a window with hardly any requests means nothing
            windows.append(earned_share(sum(totals[1] for totals in window), window_offered))
    plan_shares = {
        plan.name: earned_share(e, o) for plan, (o, e) in zip(plans, by_plan, strict=True) if o > 0
    }
    class_shares = {
        cls.name: earned_share(e, o) for cls, (o, e) in zip(classes, by_class, strict=True) if o > 0
    }
    overall = earned_share(sum(totals[1] for totals in seconds.values()), offered)
    return ServiceLevel(
        overall,
        min(windows, default=overall),
        min(plan_shares.values(), default=overall),
        plan_shares,
        class_shares,
        offered,
    )
