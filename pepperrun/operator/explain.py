"""Explaining (log analysis): what became of one request or one change, from log files.

Spans between machines are as true as their times: see `lines`.
"""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from pepperrun.operator.event_log import LogEvent

SLACK_S = 0.01  # `ms` of a call is rounded

WORDS = {
    "bad": "the request itself is no good",
    "budget": "a worker did not take it, and the budget for further tries was spent",
    "cold": "all workers of the service were cold, and their share of requests was spent",
    "fence": "the configuration had moved on or was not surely fresh enough to send it",
    "full": "the workers had no room for it in time",
    "key": "no such key in the configuration",
    "left": "the client went away",
    "may-have-run": "a worker had it and gave no whole answer, so it was not sent again",
    "no-configuration": "this gatekeeper held no configuration yet",
    "no-worker": "no worker of the service could be used",
    "out-of-time": "its time was up",
    "quota": "its tenant's quota was used up",
    "route": "no such route in the configuration",
    "served-late": "a worker served it at the first try, after its aim",
    "served-later": "a further try served it",
    "stale": "what was held was not surely the newest, so nothing was said of what there is not",
    "tries": "no worker took it in as many tries as its route allows",
    "worker-failed": "a worker answered with a failure of its own",
}


def explain_attempt(id: str, lines: list[LogEvent]) -> list[str]:
    """What became of one attempt id."""
    out = []
    for line in lines:
        pairs = line.pairs
        if pairs["event"] != "request" or pairs.get("id") != id:
            continue
        status = pairs.get("status", "0")
        reason = pairs.get("reason", "-")
        why = WORDS.get(reason, reason)
        answer = f"answered {status}" if status != "0" else "not answered"
        out.append(f"{line.source}: {answer} after {pairs.get('ms')} ms: {why}")
        told = ("route", "tenant", "kind", "aim", "edition")
        out.append("  " + ", ".join(f"{name} {pairs.get(name, '-')}" for name in told))
        for part in filter(lambda one: one != "-", pairs.get("tries", "-").split(",")):
            worker, at, how, took = part.rsplit("/", 3)
            out.append(f"  at {at} ms to {worker}: {how}" + (f" after {took} ms" if took != "-" else ""))
    if out:
        return out
    left = sum(
        int(line.pairs.get("count", 0)) for line in lines if line.pairs["event"] == "requests-left-out"
    )
    text = (
        f"No line tells of {id}: served at the first try, not seen here, or its gatekeeper logs no requests."
    )
    return [text + (f" {left} requests were left out for the bound on lines." if left else "")]


class Change(NamedTuple):
    """One number of the agreed state. `what`: in words. `called`: the core's order line, if there is one."""

    version: int
    edition: int
    description: str
    order: LogEvent | None
    first_time_s: float
    core_times_s: dict[str, float]
    gateway_times_s: dict[str, float]


def _what(pairs: dict[str, str]) -> str:
    """An operation in words."""
    if pairs.get("do") != "evacuate":
        return pairs.get("do", "")
    began = pairs.get("begin") == "True"
    return f"zone {pairs.get('zone')} is {'evacuated' if began else 'taken back'}"


def find_changes(lines: list[LogEvent]) -> dict[int, Change]:
    """By number: who held it when for the first time.

    An order is the one of the number that its core machine agreed on within the call: with its edition, or,
    as an evacuation leaves the edition as it is, with its zone.
    """
    core: dict[int, dict[str, float]] = defaultdict(dict)
    gateways: dict[int, dict[str, float]] = defaultdict(dict)
    editions: dict[int, int] = {}
    what: dict[int, str] = {}
    orders: dict[int, LogEvent] = {}
    calls: dict[int, LogEvent] = {}
    for line in lines:
        pairs = line.pairs
        if pairs["event"] == "agreed" and pairs.get("number", "").isdigit():
            number = int(pairs["number"])
            editions.setdefault(number, int(pairs.get("edition", 0)))
            if "do" in pairs:
                what.setdefault(number, _what(pairs))
            (gateways if "station" in pairs else core)[number].setdefault(line.source, line.time_s)
        elif pairs["event"] == "order" and pairs.get("status") == "200":
            if pairs.get("do") == "evacuate":
                number = _evacuated(line, core, what)
                if number:
                    calls.setdefault(number, line)
            else:
                orders.setdefault(int(pairs.get("edition", 0)), line)
    out, before = {}, 0
    for number, edition in sorted(editions.items()):
        called = orders.get(edition) if edition > before else calls.get(number)
        before = max(before, edition)
        seen = [*core[number].values(), *gateways[number].values()]
        word = what.get(number) or (_what(called.pairs) if called is not None else "")
        out[number] = Change(number, edition, word, called, min(seen), core[number], gateways[number])
    return out


def _evacuated(order: LogEvent, core: dict[int, dict[str, float]], what: dict[int, str]) -> int:
    """The number that this call of an evacuation made, 0 where none was: the zone was so already."""
    begun = order.time_s - float(order.pairs.get("ms", 0)) / 1000 - SLACK_S
    made = [
        number for number, held in core.items() if begun <= held.get(order.source, begun - 1) <= order.time_s
    ]
    return max((number for number in made if what.get(number, "") in ("", _what(order.pairs))), default=0)


def explain_change(number: int, lines: list[LogEvent]) -> list[str]:
    """From the operator's call until it was in force at each gatekeeper."""
    found = find_changes(lines).get(number)
    if found is None:
        return [f"No line tells of number {number}."]
    out = [
        f"number {number}, edition {found.edition}" + (f": {found.description}" if found.description else "")
    ]
    order = found.order
    if order is not None and "ms" in order.pairs:
        start = order.time_s - float(order.pairs["ms"]) / 1000
        out.append(
            f"called at {order.source} ({order.pairs.get('do')}), answered after {order.pairs['ms']} ms"
        )
    else:
        start = found.first_time_s
        out.append("times count from the first line that tells of it")
    for name, held in (("core", found.core_times_s), ("gatekeeper", found.gateway_times_s)):
        for source, at in sorted(held.items(), key=lambda one: one[1]):
            out.append(f"  {name} {source}: {(at - start) * 1000:.0f} ms")
    known = {line.source for line in lines if line.pairs["event"] == "agreed" and "station" in line.pairs}
    for source in sorted(known - found.gateway_times_s.keys()):
        out.append(f"  gatekeeper {source}: no line of it, it went on to a later one or never had it")
    if found.gateway_times_s:
        source, at = max(found.gateway_times_s.items(), key=lambda one: one[1])
        out.append(f"slowest: {source}, {(at - start) * 1000:.0f} ms")
    return out
