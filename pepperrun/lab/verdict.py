"""What a run came to: service, use beyond quotas against the stated error, agreement, and what must hold."""

from __future__ import annotations

import statistics
from typing import Any

from pepperrun.capture.format import Class
from pepperrun.capture.format import Plan as CapturePlan
from pepperrun.lab import checkers
from pepperrun.lab.checkers import Broken, S
from pepperrun.lab.load import CLASSES
from pepperrun.lab.run import Seen
from pepperrun.lab.scenario import Plan, zone_of
from pepperrun.membership.steps import Quota, quota_error_bound, restart_error_bound
from pepperrun.model.service_level import RequestResult, ServiceLevel, inside_quota, service_level

WORTHS = (1.0, 5.0)
# Plays of one seed with nothing broken differ by so much of a burst: seen, 0.65 in 18 plays of 6 shapes.
PLAYS_DIFFER = 0.7
FOUND_S = 2.5  # a cut is found, and acted on, within this: the stated error counts with it


def asks_of(seen: Seen) -> list[RequestResult]:
    """Each call with the time that its first good answer took."""
    took: dict[int, int] = {}
    for call, _, _, _, ended, status in seen.tries:
        if status == 200:
            took.setdefault(call, ended - seen.load[call][0])
    return [
        RequestResult(row[0], row[2], row[3], row[4], 1.0, took.get(call))
        for call, row in enumerate(seen.load)
    ]


def _classes(seen: Seen) -> list[Class]:
    load = seen.scenario.load
    return [
        Class(name, load.wanted_s * 1000, load.deadline_s * 1000, repeat, worth, 0.0)
        for name, repeat, worth in zip(CLASSES, ("safe", "keyed"), WORTHS, strict=True)
    ]


def _plans(plans: list[Plan]) -> list[CapturePlan]:
    return [CapturePlan(one.name, one.rate, one.burst, one.ceiling_rate, one.ceiling_burst) for one in plans]


def _service(seen: Seen) -> ServiceLevel:
    return service_level(asks_of(seen), _classes(seen), _plans(seen.scenario.plan))


def by_second(seen: Seen) -> dict[str, list[float | None]]:
    """The part of each second's calls inside quotas that was served in time, by the zone first asked."""
    wanted, fleet = int(seen.scenario.load.wanted_s * S), seen.scenario.fleet
    good: dict[str, dict[int, list[int]]] = {zone: {} for zone in fleet.zones}
    asks = asks_of(seen)
    inside = inside_quota(asks, _plans(seen.scenario.plan))
    for ask, row, wanted_in in zip(asks, seen.load, inside, strict=True):
        if not wanted_in:
            continue
        counts = good[zone_of(f"n{row[1]}", fleet)].setdefault(ask.sent_at // S, [0, 0])
        counts[1] += 1
        counts[0] += ask.latency_ns is not None and ask.latency_ns <= wanted
    seconds = range(int(seen.scenario.seconds))
    return {
        zone: [counts[at][0] / counts[at][1] if at in counts else None for at in seconds]
        for zone, counts in good.items()
    }


def stated_error(seen: Seen, plan: Plan, spread: int, first: int) -> float:
    """Units that the script's cuts, deaths and standstills may add to a customer's use beyond its quota.

    To what the ordinary path lets through with nothing broken, that is: several let go at once what they have
    not heard of each other, and how much is seen on the same run without its faults.
    """
    count = seen.scenario.fleet.gatekeepers
    mine = {(first + step) % count for step in range(spread)}
    quota = Quota(plan.rate, plan.burst, spread)
    total = 0.0
    cuts = checkers.cut_pairs(seen)
    for since, until in sorted({(since, until) for since, until, _, _ in cuts}):
        apart = {one for a, b, one, other in cuts if (a, b) == (since, until) and {one, other} <= mine}
        if apart:
            total += quota_error_bound(quota, spread // 2, (until - since) / S, FOUND_S)
    restarted = [down for down in seen.downs if int(down[0][1:]) in mine and down[3] != "pause"]
    total += restart_error_bound(quota, len(restarted))
    # Whose name is refused goes on with its slice beside those that hold the whole.
    refused = len(mine & {int(name[1:]) for name in seen.scenario.must.refused})
    total += quota.rate * refused / spread * seen.scenario.seconds
    paused = [down for down in seen.downs if int(down[0][1:]) in mine and down[3] == "pause"]
    return total + sum(plan.burst / spread for _ in paused)


def agreement_s(seen: Seen) -> float | None:
    """From the last fault's end until the last change of any view; None without membership."""
    if not seen.scenario.fleet.members:
        return None
    over = checkers._disturbed(seen)
    last = max((event["at"] for event in seen.events if event["what"] == "view"), default=0)
    return max(0.0, (last - over) / S)


def figures(seen: Seen, calm: Seen | None = None) -> dict[str, Any]:
    """The run in figures. `calm`: the same one without its faults, what it is compared with."""
    found = _service(seen)
    before = _service(calm) if calm is not None else None
    plans = seen.scenario.plan
    over, overshoots = checkers.beyond(seen), checkers.overshoots(seen)
    ordinary = checkers.overshoots(calm) if calm is not None else {}
    worst: list[tuple[float, float, int]] = []  # beyond, stated, customer
    for row in {row[4]: row for row in seen.load}.values():
        stated = stated_error(seen, plans[row[3]], row[5], row[6])
        stated += PLAYS_DIFFER * plans[row[3]].burst
        worst.append((overshoots.get(row[4], 0.0) - ordinary.get(row[4], 0.0), stated, row[4]))
    worst.sort(key=lambda one: one[0] - one[1])
    views: dict[str, int] = {}
    for event in seen.events:
        if event["what"] == "view" and event["at"] > 0:
            views[event["who"]] = views.get(event["who"], 0) + 1
    spans = [(until - since) / S for since, until, *_ in checkers.cut_pairs(seen)]
    statuses: dict[str, int] = {}
    for row in seen.tries:
        statuses[str(row[5])] = statuses.get(str(row[5]), 0) + 1
    seconds = max(1.0, seen.ends_at / S)
    members = len(checkers.up_at_the_end(seen)) or 1
    return {
        "service": round(found.combined, 4),
        "less_than_calm": round(before.overall - found.overall, 4) if before is not None else None,
        "whole": round(found.overall, 4),
        "worst_10_s": round(found.worst_window, 4),
        "calls": len(seen.load),
        "tries": len(seen.tries),
        "statuses": statuses,
        "beyond": round(sum(over.values()), 1),
        "beyond_part": round(sum(over.values()) / max(1, len(seen.arrivals)), 4),
        "overshoot": round(max(overshoots.values(), default=0.0), 1),
        "calm_overshoot": round(max(ordinary.values(), default=0.0), 1) if calm is not None else None,
        "added_overshoot": round(worst[-1][0], 1) if worst and calm is not None else None,
        "its_stated_error": round(worst[-1][1], 1) if worst else 0.0,
        "false_burials": len(checkers.false_burials(seen)),
        "agree_s": agreement_s(seen),
        "views": max(views.values(), default=0),
        "longest_cut_s": round(max(spans, default=0.0), 2),
        "member_datagrams_a_second": round(seen.relay["members"] / members / seconds, 2),
        "member_bytes_a_second": round(seen.relay["members_bytes"] / members / seconds, 1),
        "late_ms": round(seen.late_ms, 1),
        "busy": seen.busy,
    }


def verdict(seen: Seen, found: dict[str, Any]) -> list[Broken]:
    """The rules, and what the scenario says must hold."""
    broken, must, end = checkers.check(seen), seen.scenario.must, seen.ends_at
    if must.service is not None and found["service"] < must.service:
        broken.append(Broken("service", end, f"{found['service']:.3f}, at least {must.service:g} is wanted"))
    less = found["less_than_calm"]
    if must.less is not None and less is not None and less > must.less:
        text = f"{less:.3f} less than without the faults, {must.less:g} at most"
        broken.append(Broken("service", end, text))
    if must.agree_s is not None and (found["agree_s"] or 0.0) > must.agree_s:
        broken.append(
            Broken("agreement", end, f"after {found['agree_s']:.2f} s, within {must.agree_s:g} s is wanted")
        )
    if must.false_burials is not None and found["false_burials"] > must.false_burials:
        first = checkers.false_burials(seen)[0]
        text = f"{found['false_burials']}; the first: n{first['member']} at {first['who']}, by {first['by']}"
        broken.append(Broken("false burials", first["at"], text))
    if must.views is not None and found["views"] > must.views:
        broken.append(Broken("views", end, f"{found['views']} passed through, {must.views} at most"))
    added, stated = found["added_overshoot"], found["its_stated_error"]
    if must.quota_error and seen.scenario.fleet.members and added is not None and added > stated:
        text = f"{added} more beyond a quota than without the faults, {stated} stated"
        broken.append(Broken("quota error", end, text))
    return broken


def median(values: list[float]) -> float:
    """For tables; 0 of nothing."""
    return statistics.median(values) if values else 0.0
