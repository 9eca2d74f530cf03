"""Losses (accounting): what requests that were not served in time cost, estimated from their lines.

The unit is the worth of one request served within its aim. Configurations tell the aim (`target_ms`) and not
the worth, so each request counts alike:

| request | worth lost |
| --- | --- |
| served within its aim, by a further try | 0 |
| served after its aim | 0.5 |
| refused (429, 503) within a quarter of its aim: its client may come again, which is another request | 0.25 |
| refused later, failed, out of time | 1 |
| beyond its tenant's quota, not allowed by the configuration, given up by its client | 0: not owed |
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from pepperrun.operator.event_log import LogEvent

LATE, AGAIN = 0.5, 0.25
SOON = 0.25  # of the aim: a refusal that comes by then leaves time for another try
NOT_OWED = frozenset(("quota", "bad", "key", "route", "left"))
LEFT_OUT = "left out"  # lines that the bound on them has cost: of these nothing is known


class Loss(NamedTuple):
    """One line: when (s), why, how many requests, what they lost; `aimed`: its aim is known."""

    time_s: float
    cause: str
    requests: int
    value: float
    has_target: bool


def _number(text: str | None) -> float | None:
    try:
        return float(text or "")
    except ValueError:
        return None


def lost_value(pairs: dict[str, str]) -> float:
    """What the request of one line has lost. Without an aim answers count as late, refusals as soon."""
    cause, aim, took = pairs.get("reason", ""), _number(pairs.get("aim")), _number(pairs.get("ms"))
    if cause in NOT_OWED:
        return 0.0
    known = aim is not None and took is not None
    if cause in ("served-later", "served-late"):
        return 0.0 if known and (took or 0) <= (aim or 0) else LATE
    if pairs.get("status") in ("429", "503") and (not known or (took or 0) <= SOON * (aim or 0)):
        return AGAIN
    return 1.0


def find_losses(lines: Iterable[LogEvent]) -> list[Loss]:
    """One for each line that tells of requests."""
    out = []
    for line in lines:
        pairs = line.pairs
        if pairs["event"] == "request":
            aimed = _number(pairs.get("aim")) is not None
            out.append(Loss(line.time_s, pairs.get("reason", "-"), 1, lost_value(pairs), aimed))
        elif pairs["event"] == "requests-left-out":
            out.append(Loss(line.time_s, LEFT_OUT, int(pairs.get("count", 0)), 0.0, False))
    return out


def lost_by_second(losses: Iterable[Loss], start: float) -> dict[str, Counter[int]]:
    """By cause: what each second since `start` has lost, in hundredths of a request."""
    out: dict[str, Counter[int]] = defaultdict(Counter)
    for loss in losses:
        out[loss.cause][int(loss.time_s - start)] += round(100 * loss.value)
    return out


def format_table(lines: list[LogEvent]) -> list[str]:
    """Causes, the dearest first, and the seconds that cost most; a line each."""
    losses = find_losses(lines)
    if not losses:
        return ["No line tells of a request that was not served in time: are they logged (--trace)?"]
    counts, worths = Counter[str](), Counter[str]()
    for loss in losses:
        counts[loss.cause] += loss.requests
        worths[loss.cause] += round(100 * loss.value)
    out = ["worth lost (estimated, in requests)   requests   cause"]
    for cause in sorted(counts, key=lambda one: (-worths[one], one)):
        out.append(f"{worths[cause] / 100:35.2f} {counts[cause]:10}   {cause}")
    start = lines[0].time_s
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    for cause, lost in lost_by_second(losses, start).items():
        for second, hundredths in lost.items():
            seconds[second][cause] += hundredths
    dearest = sorted(seconds, key=lambda one: (-seconds[one].total(), one))[:5]
    for second in dearest:
        if seconds[second].total():
            parts = ", ".join(f"{cause} {lost / 100:g}" for cause, lost in seconds[second].most_common(3))
            out.append(f"second {second} since the first line: {seconds[second].total() / 100:g} ({parts})")
    unknown = sum(not loss.has_target and loss.value > 0 for loss in losses)
    if unknown:
        out.append(
            f"{unknown} of these tell no aim: an earlier version's lines, or refused before their route"
        )
    return out
