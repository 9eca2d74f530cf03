"""Service level as the operators count it: worth answered in time over worth asked for inside the quotas."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pepperrun.capture.format import Class, Plan

WINDOW_S = 10
COMPONENT_WEIGHTS = (0.6, 0.25, 0.15)  # the whole day, its worst 10 s, the worst-served plan


@dataclass(slots=True, frozen=True)
class RequestResult:
    """A client's first try, and what became of the request with its further tries. Times in ns."""

    sent_at: int
    cls: int
    plan: int
    customer: int
    units: float
    latency_ns: int | None  # until the good answer; None where there was none
    over_quota_value: float = 0.0  # worth of tries that were sent on beyond the quota


@dataclass(slots=True, frozen=True)
class ServiceLevel:
    """Shares from 0 to 1, and the three of them weighed."""

    overall: float
    worst_window: float
    worst_plan: float
    by_plan: dict[str, float]
    by_class: dict[str, float]
    offered: float

    @property
    def combined(self) -> float:
        """One figure for a day."""
        parts = self.overall, self.worst_window, self.worst_plan
        return sum(weight * part for weight, part in zip(COMPONENT_WEIGHTS, parts, strict=True))


def inside_quota(asks: Sequence[RequestResult], plans: Sequence[Plan]) -> list[bool]:
    """Which first tries one gatekeeper that saw all of them would let in; `asks` in the order of time."""
    stores: dict[tuple[int, int], tuple[float, int]] = {}
    verdicts = []
    for ask in asks:
        plan = plans[ask.plan]
        if plan.rate <= 0:
            verdicts.append(True)
            continue
        level, at = stores.get((ask.plan, ask.customer), (plan.burst, ask.sent_at))
        level = min(plan.burst, level + plan.rate * (ask.sent_at - at) / 1e9)
        good = level >= ask.units
        stores[ask.plan, ask.customer] = (level - ask.units if good else level, ask.sent_at)
        verdicts.append(good)
    return verdicts


def share(earned: float, offered: float) -> float:
    """Of nothing all was served."""
    return max(0.0, min(1.0, earned / offered)) if offered > 0 else 1.0


def service_level(
    asks: Iterable[RequestResult], classes: Sequence[Class], plans: Sequence[Plan]
) -> ServiceLevel:
    """A day's service. The first second does not count, as the clients' first connections fall into it."""
    ordered = sorted(asks, key=lambda ask: ask.sent_at)
    if not ordered:
        return ServiceLevel(1.0, 1.0, 1.0, {}, {}, 0.0)
    start = ordered[0].sent_at
    inside = inside_quota(ordered, plans)
    seconds: dict[int, list[float]] = {}
    by_plan = [[0.0, 0.0] for _ in plans]
    by_class = [[0.0, 0.0] for _ in classes]
    for ask, good in zip(ordered, inside, strict=True):
        second = (ask.sent_at - start) // 1_000_000_000
        if second < 1:
            continue
        kind, plan = classes[ask.cls], plans[ask.plan]
        worth = kind.worth * plan.price * ask.units
        value = 0.0
        if ask.latency_ns is not None:
            value = worth if ask.latency_ns <= kind.wanted_ms * 1e6 else worth * kind.late_worth
        offered, earned = (worth, value) if good else (plan.over_worth * worth, plan.over_worth * value)
        cell = seconds.setdefault(second, [0.0, 0.0])
        cell[0] += offered
        cell[1] += earned
        if good:
            for table, number in ((by_plan, ask.plan), (by_class, ask.cls)):
                table[number][0] += worth
                table[number][1] += value
    offered = sum(cell[0] for cell in seconds.values())
    last = max(seconds, default=1)
    windows = []
    for first in range(1, max(2, last - WINDOW_S + 2)):
        cells = [seconds[second] for second in range(first, first + WINDOW_S) if second in seconds]
        total = sum(cell[0] for cell in cells)
        if total > offered * 0.02:  # a window in which next to nothing was asked says nothing
            windows.append(share(sum(cell[1] for cell in cells), total))
    plan_shares = {plan.name: share(e, o) for plan, (o, e) in zip(plans, by_plan, strict=True) if o > 0}
    class_shares = {kind.name: share(e, o) for kind, (o, e) in zip(classes, by_class, strict=True) if o > 0}
    whole = share(sum(cell[1] for cell in seconds.values()), offered)
    return ServiceLevel(
        whole,
        min(windows, default=whole),
        min(plan_shares.values(), default=whole),
        plan_shares,
        class_shares,
        offered,
    )
