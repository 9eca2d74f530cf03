"""Estimates from log lines the value lost by requests that were not served in time.

The unit is the value of one request served within its latency target. Configurations contain the target
(`target_ms`) but no value of a request, so all requests count alike:

| request | value lost |
| --- | --- |
| served within its target, by a further attempt | 0 |
| served after its target | 0.5 |
| rejected (429, 503) within a quarter of its target: the client may retry, as another request | 0.25 |
| rejected later, failed, deadline passed | 1 |
| over its tenant's quota, not allowed by the configuration, abandoned by its client | 0: not owed |
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from pepperrun.operator.event_log import LogEvent

LATE_LOSS, EARLY_REJECTION_LOSS = 0.5, 0.25
EARLY_SHARE = 0.25  # of the latency target: a rejection by then leaves the client time to retry
NOT_OWED = frozenset(("quota", "bad", "key", "route", "left"))
LEFT_OUT = "left out"  # cause of requests that the limit on log lines left out; nothing is known of them


class Loss(NamedTuple):
    """One log line: its time (s), the cause, the number of requests, and the value they lost.

    `has_target` tells whether the line contains the latency target.
    """

    time_s: float
    cause: str
    requests: int
    value: float
    has_target: bool


def _to_float(text: str | None) -> float | None:
    try:
        return float(text or "")
    except ValueError:
        return None


def lost_value(pairs: dict[str, str]) -> float:
    """Returns the value lost by the request of one line.

    If the latency target is unknown, a served request counts as late and a rejection as early.
    """
    cause, target, took = pairs.get("reason", ""), _to_float(pairs.get("aim")), _to_float(pairs.get("ms"))
    if cause in NOT_OWED:
        return 0.0
    known = target is not None and took is not None
    if cause in ("served-later", "served-late"):
        return 0.0 if known and (took or 0) <= (target or 0) else LATE_LOSS
    if pairs.get("status") in ("429", "503") and (not known or (took or 0) <= EARLY_SHARE * (target or 0)):
        return EARLY_REJECTION_LOSS
    return 1.0


def find_losses(events: Iterable[LogEvent]) -> list[Loss]:
    """Returns one loss for each log line about requests."""
    losses = []
    for event in events:
        pairs = event.pairs
        if pairs["event"] == "request":
            has_target = _to_float(pairs.get("aim")) is not None
            losses.append(Loss(event.time_s, pairs.get("reason", "-"), 1, lost_value(pairs), has_target))
        elif pairs["event"] == "requests-left-out":
            losses.append(Loss(event.time_s, LEFT_OUT, int(pairs.get("count", 0)), 0.0, False))
    return losses


def lost_by_second(losses: Iterable[Loss], start_s: float) -> dict[str, Counter[int]]:
    """Returns by cause the value lost in each second since `start_s`, in hundredths of a request."""
    out: dict[str, Counter[int]] = defaultdict(Counter)
    for loss in losses:
        out[loss.cause][int(loss.time_s - start_s)] += round(100 * loss.value)
    return out


def format_table(events: list[LogEvent]) -> list[str]:
    """Returns one line for each cause, by falling loss, and one for each of the five worst seconds."""
    losses = find_losses(events)
    if not losses:
        return ["No line tells of a request that was not served in time: are requests logged (--trace)?"]
    counts, lost_hundredths = Counter[str](), Counter[str]()
    for loss in losses:
        counts[loss.cause] += loss.requests
        lost_hundredths[loss.cause] += round(100 * loss.value)
    out = ["worth lost (estimated, in requests)   requests   cause"]
    for cause in sorted(counts, key=lambda one: (-lost_hundredths[one], one)):
        out.append(f"{lost_hundredths[cause] / 100:35.2f} {counts[cause]:10}   {cause}")
    start_s = events[0].time_s
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    for cause, lost in lost_by_second(losses, start_s).items():
        for second, hundredths in lost.items():
            seconds[second][cause] += hundredths
    worst = sorted(seconds, key=lambda one: (-seconds[one].total(), one))[:5]
    for second in worst:
        if seconds[second].total():
            causes = ", ".join(f"{cause} {lost / 100:g}" for cause, lost in seconds[second].most_common(3))
            out.append(f"second {second} since the first line: {seconds[second].total() / 100:g} ({causes})")
    without_target = sum(not loss.has_target and loss.value > 0 for loss in losses)
    if without_target:
        out.append(
            f"{without_target} of these lines have no latency target: they are from an earlier version, "
            "or the request was rejected before its route was known"
        )
    return out
