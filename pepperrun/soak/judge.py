"""Checks a soak run against the documented rules, from the records of clients and workers only.

A run has planned work only and no faults, so no time is exempt from the rules.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pepperrun.soak.records import Run, RunEnd, SentRequest, Stop

NOT_RUN_STATUSES = (408, 421, 429, 503)  # promise that the request has not run and never will
CUT_ALLOWED_AFTER = 5 / 6  # share of the grace period; requests that still run then may be cut
# A response may be sent so long before the client's deadline, to arrive in time.
DEADLINE_SLACK_NS = 100_000_000
OBSERVATION_DELAY_NS = 1_000_000_000  # a client may notice the end of a process so much later
STOP_WINDOW_NS = 10_000_000_000  # earlier stops are left out of a request's timeline
EARLY_FRACTION = 0.5  # share of the grace period; only requests sent by then may be lost at its end
ABANDON_LIMIT_NS = 500_000_000  # after the disconnect no worker may start the request or still run it
ALLOWED_ABANDONED_RUNS = 3  # requests tolerated in a soak run
ALLOWED_ABANDONED_FRACTION = 0.25  # tolerated share of the runs that would have lasted longer than the limit


@dataclass(frozen=True)
class Finding:
    """A violated rule with the timeline of its request."""

    rule: str
    id: str
    text: str


def judge(
    sent: Sequence[SentRequest], runs: Sequence[Run], stops: Sequence[Stop], grace_ns: int
) -> list[Finding]:
    """Return the violations of the rules. A request is reported for the first rule below that it violates.

    - MIXED: the client got the response of another request, or a changed body.
    - TWICE: an unsafe request ran more than once.
    - REFUSED: an unsafe request ran, but its client got a gateway's status that promises it never runs.
    - CUT: an unsafe request's run was cut after its client had disconnected, before its deadline and outside
      the end of its gateway's grace period.
    - LOST: the client stayed and a worker started the request, but the client got no worker's response, and
      neither the deadline nor the end of a grace period nor a run that had ended explains it.

    In addition, whatever the others:

    - UNASKED: a worker ran a request that no client sent.
    - GONE: for disconnected clients, runs that began, or that safe requests continued, more than
      `ABANDON_LIMIT_NS` after the disconnect, where they exceed the number tolerated in a soak run.
    """
    by_id: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_ns):
        by_id[run.id].append(run)
    known_ids = {request.id for request in sent}
    found = [
        Finding("UNASKED", id, f"{id} ran at {by_id[id][0].worker}, but no client sent it")
        for id in by_id
        if id not in known_ids
    ]
    stops_by_gateway: dict[str, list[Stop]] = defaultdict(list)
    for stop in stops:
        stops_by_gateway[stop.gateway].append(stop)
    for request in sent:
        rule = _violated_rule(request, by_id.get(request.id, []), stops_by_gateway[request.gateway], grace_ns)
        if rule:
            found.append(
                Finding(
                    rule,
                    request.id,
                    timeline(request, by_id.get(request.id, []), stops_by_gateway[request.gateway]),
                )
            )
    return found + _abandoned_runs(
        [request for request in sent if request.disconnected_ns], by_id, stops_by_gateway
    )


def _abandoned_runs(
    disconnected: Sequence[SentRequest],
    by_id: Mapping[str, Sequence[Run]],
    stops_by_gateway: Mapping[str, Sequence[Stop]],
) -> list[Finding]:
    """Return the runs for disconnected clients, where there are more than the rule allows."""
    started_late, still_running, long_runs = list[SentRequest](), list[SentRequest](), 0
    for request in disconnected:
        for run in by_id.get(request.id, []):
            if run.started_ns > request.disconnected_ns + ABANDON_LIMIT_NS:
                started_late.append(request)
            elif (
                request.is_safe
                and run.started_ns + run.duration_ns > request.disconnected_ns + ABANDON_LIMIT_NS
            ):
                long_runs += 1
                if not run.ended_ns or run.ended_ns > request.disconnected_ns + ABANDON_LIMIT_NS:
                    still_running.append(request)
    violations = started_late if len(started_late) > ALLOWED_ABANDONED_RUNS else []
    violations = violations + (
        still_running
        if len(still_running) > max(ALLOWED_ABANDONED_RUNS, ALLOWED_ABANDONED_FRACTION * long_runs)
        else []
    )
    return [
        Finding(
            "GONE",
            request.id,
            timeline(request, by_id[request.id], stops_by_gateway.get(request.gateway, [])),
        )
        for request in violations
    ]


def _violated_rule(request: SentRequest, runs: Sequence[Run], stops: Sequence[Stop], grace_ns: int) -> str:
    if request.problem:
        return "MIXED"
    if not request.is_safe and len(runs) > 1:
        return "TWICE"
    if not request.is_safe and runs and request.status in NOT_RUN_STATUSES and not request.is_from_worker:
        return "REFUSED"
    if request.disconnected_ns:
        is_cut = any(run.end is RunEnd.CUT and not _may_cut(request, run, stops, grace_ns) for run in runs)
        return "CUT" if is_cut and not request.is_safe else ""
    if request.ended_ns and runs and not request.is_from_worker and _is_lost(request, runs, stops, grace_ns):
        return "LOST"
    return ""


def _may_cut(request: SentRequest, run: Run, stops: Sequence[Stop], grace_ns: int) -> bool:
    """Return whether the request's deadline or its gateway's grace period was over when the run was cut."""
    if run.ended_ns >= request.deadline_ns - DEADLINE_SLACK_NS:
        return True
    return any(
        stop.signalled_ns + CUT_ALLOWED_AFTER * grace_ns
        <= run.ended_ns
        <= (stop.ended_ns or stop.signalled_ns + grace_ns) + OBSERVATION_DELAY_NS
        for stop in stops
    )


def _is_lost(request: SentRequest, runs: Sequence[Run], stops: Sequence[Stop], grace_ns: int) -> bool:
    """Return whether a forwarded request got no worker's complete response without an allowed reason."""
    if request.ended_ns >= request.deadline_ns - DEADLINE_SLACK_NS:
        return False
    last = runs[-1]
    if last.end is RunEnd.ANSWERED and request.status:
        return False  # the run had ended: the gateway's response in its place cut nothing
    for stop in stops:
        # A later response is from the next process at the address.
        stopped_ns = stop.ended_ns or stop.signalled_ns + grace_ns
        was_early = request.sent_ns <= min(stopped_ns, stop.signalled_ns + EARLY_FRACTION * grace_ns)
        if (
            was_early
            and stop.signalled_ns + CUT_ALLOWED_AFTER * grace_ns
            <= request.ended_ns
            <= stopped_ns + OBSERVATION_DELAY_NS
        ):
            return False
    return True


def timeline(request: SentRequest, runs: Sequence[Run], stops: Sequence[Stop]) -> str:
    """Return the events of a request as text, in milliseconds since it was sent."""
    kind = "safe" if request.is_safe else "unsafe"
    rows: list[tuple[int, str]] = [(0, f"{kind} {request.id} sent to {request.gateway}")]
    for run in runs:
        rows.append((run.started_ns - request.sent_ns, f"{run.worker} starts to run it"))
        if run.ended_ns:
            rows.append((run.ended_ns - request.sent_ns, f"its run ends: {run.end}"))
    status = (
        f"disconnected by {request.disconnect_kind}"
        if request.disconnected_ns
        else request.status or "no complete answer"
    )
    rows.append(
        (
            request.ended_ns - request.sent_ns,
            f"the client has {status}{' ' + request.problem if request.problem else ''}",
        )
    )
    shown_stops = [
        stop for stop in stops if request.sent_ns - STOP_WINDOW_NS < stop.signalled_ns < request.ended_ns
    ]
    rows += [(stop.signalled_ns - request.sent_ns, f"{stop.gateway} gets SIGTERM") for stop in shown_stops]
    return "; ".join(f"{at / 1e6:.0f} ms {what}" for at, what in sorted(rows))
