"""Explains from log files what happened to one request or to one change.

Time spans between machines are only as accurate as the machines' clocks: see `event_log`.
"""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from pepperrun.operator.event_log import LogEvent

ROUNDING_S = 0.01  # tolerance, because the `ms` of a call is rounded

# Explanation of each `reason` of the event `request`.
REASONS = {
    "bad": "the request is malformed",
    "budget": "a worker did not accept it, and the retry budget was used up",
    "cold": "all workers of the service were warming up, and their share of requests was used up",
    "fence": "the configuration had changed, or was not certain to be fresh enough to send the request",
    "full": "the workers had no capacity for it in time",
    "key": "no such key in the configuration",
    "left": "the client closed the connection",
    "may-have-run": "a worker received it and sent no complete response, so it was not retried",
    "no-configuration": "this gatekeeper had no configuration yet",
    "no-worker": "no worker of the service was available",
    "out-of-time": "its deadline passed",
    "quota": "its tenant's quota was used up",
    "route": "no such route in the configuration",
    "served-late": "a worker served it at the first attempt, after its latency target",
    "served-later": "a further attempt served it",
    "stale": "the local configuration was not certain to be the newest, so nothing was reported as missing",
    "tries": "no worker accepted it in as many attempts as its route allows",
    "worker-failed": "a worker answered with an error of its own",
}


def explain_attempt(id: str, events: list[LogEvent]) -> list[str]:
    """Returns lines of text on what happened to the requests with this Attempt-Id."""
    out = []
    for event in events:
        pairs = event.pairs
        if pairs["event"] != "request" or pairs.get("id") != id:
            continue
        status = pairs.get("status", "0")
        reason = pairs.get("reason", "-")
        explanation = REASONS.get(reason, reason)
        answer = f"answered {status}" if status != "0" else "not answered"
        out.append(f"{event.source}: {answer} after {pairs.get('ms')} ms: {explanation}")
        details = ("route", "tenant", "kind", "aim", "edition")
        out.append("  " + ", ".join(f"{name} {pairs.get(name, '-')}" for name in details))
        for attempt in filter(lambda one: one != "-", pairs.get("tries", "-").split(",")):
            worker, sent_ms, outcome, took_ms = attempt.rsplit("/", 3)
            out.append(
                f"  at {sent_ms} ms to {worker}: {outcome}"
                + (f" after {took_ms} ms" if took_ms != "-" else "")
            )
    if out:
        return out
    left_out = sum(
        int(event.pairs.get("count", 0)) for event in events if event.pairs["event"] == "requests-left-out"
    )
    text = (
        f"No line tells of {id}: it was served at the first attempt, did not reach these gatekeepers, or "
        "its gatekeeper logs no requests."
    )
    return [text + (f" The limit on log lines left out {left_out} requests." if left_out else "")]


class Change(NamedTuple):
    """One version of the agreed state, and when each process logged it.

    `description` is the operation in words; `order` the event of the operator's call at a control node, if
    one is logged; `first_time_s` the time of the first event of this version.
    """

    version: int
    edition: int
    description: str
    order: LogEvent | None
    first_time_s: float
    control_node_times_s: dict[str, float]
    gateway_times_s: dict[str, float]


def _describe(pairs: dict[str, str]) -> str:
    """Returns an operation in words."""
    if pairs.get("do") != "evacuate":
        return pairs.get("do", "")
    begins = pairs.get("begin") == "True"
    return f"zone {pairs.get('zone')} is {'evacuated' if begins else 'taken back'}"


def find_changes(events: list[LogEvent]) -> dict[int, Change]:
    """Returns the changes by version, with the time at which each process first had them.

    An order belongs to the version that its control node agreed on during the call. It is found by its
    edition, or for an evacuation, which does not change the edition, by its zone.
    """
    control_nodes: dict[int, dict[str, float]] = defaultdict(dict)
    gateways: dict[int, dict[str, float]] = defaultdict(dict)
    editions: dict[int, int] = {}
    descriptions: dict[int, str] = {}
    orders: dict[int, LogEvent] = {}  # by edition
    evacuations: dict[int, LogEvent] = {}  # by version
    for event in events:
        pairs = event.pairs
        if pairs["event"] == "agreed" and pairs.get("number", "").isdigit():
            version = int(pairs["number"])
            editions.setdefault(version, int(pairs.get("edition", 0)))
            if "do" in pairs:
                descriptions.setdefault(version, _describe(pairs))
            (gateways if "station" in pairs else control_nodes)[version].setdefault(
                event.source, event.time_s
            )
        elif pairs["event"] == "order" and pairs.get("status") == "200":
            if pairs.get("do") == "evacuate":
                version = _version_of_evacuation(event, control_nodes, descriptions)
                if version:
                    evacuations.setdefault(version, event)
            else:
                orders.setdefault(int(pairs.get("edition", 0)), event)
    out, highest_edition = {}, 0
    for version, edition in sorted(editions.items()):
        order = orders.get(edition) if edition > highest_edition else evacuations.get(version)
        highest_edition = max(highest_edition, edition)
        times_s = [*control_nodes[version].values(), *gateways[version].values()]
        description = descriptions.get(version) or (_describe(order.pairs) if order is not None else "")
        out[version] = Change(
            version, edition, description, order, min(times_s), control_nodes[version], gateways[version]
        )
    return out


def _version_of_evacuation(
    order: LogEvent, control_nodes: dict[int, dict[str, float]], descriptions: dict[int, str]
) -> int:
    """Returns the version that this evacuation call created; 0 if the zone already had that state."""
    begun_s = order.time_s - float(order.pairs.get("ms", 0)) / 1000 - ROUNDING_S
    created = [
        version
        for version, times_s in control_nodes.items()
        if begun_s <= times_s.get(order.source, begun_s - 1) <= order.time_s
    ]
    return max(
        (version for version in created if descriptions.get(version, "") in ("", _describe(order.pairs))),
        default=0,
    )


def explain_change(version: int, events: list[LogEvent]) -> list[str]:
    """Returns lines of text: the delay from the operator's call until each process had this version."""
    found = find_changes(events).get(version)
    if found is None:
        return [f"No line tells of number {version}."]
    out = [
        f"number {version}, edition {found.edition}" + (f": {found.description}" if found.description else "")
    ]
    order = found.order
    if order is not None and "ms" in order.pairs:
        start_s = order.time_s - float(order.pairs["ms"]) / 1000
        out.append(
            f"called at {order.source} ({order.pairs.get('do')}), answered after {order.pairs['ms']} ms"
        )
    else:
        start_s = found.first_time_s
        out.append("times count from the first log line of this number")
    for name, times_s in (("core", found.control_node_times_s), ("gatekeeper", found.gateway_times_s)):
        for source, time_s in sorted(times_s.items(), key=lambda one: one[1]):
            out.append(f"  {name} {source}: {(time_s - start_s) * 1000:.0f} ms")
    gateways = {
        event.source for event in events if event.pairs["event"] == "agreed" and "station" in event.pairs
    }
    for source in sorted(gateways - found.gateway_times_s.keys()):
        out.append(f"  gatekeeper {source}: no line of it, it went on to a later one or never had it")
    if found.gateway_times_s:
        source, time_s = max(found.gateway_times_s.items(), key=lambda one: one[1])
        out.append(f"slowest: {source}, {(time_s - start_s) * 1000:.0f} ms")
    return out
