"""Judges of a soak run: the pages' rules by what clients and workers saw, nothing of the program asked.

All that happens in a run is planned work, so that no time is exempt for troubles.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pepperrun.soak.records import Run, RunEnd, Sent, Stop

PROMISES = (408, 421, 429, 503)  # the request has not run and never will
LAST_SIXTH = 5 / 6  # of the grace: what is still at work then may be cut
DEADLINE_SLACK_NS = (
    100_000_000  # an answer may come so much before a client's time is over, to be there by then
)
SEEN_LATE_NS = 1_000_000_000  # a client may see the end of a process so much later
LONG_AGO_NS = 10_000_000_000  # a stop that was told before is not shown with a request
EARLY_SENT = 0.5  # of the grace: if it was sent by then
GONE_NS = 500_000_000  # after its client has left no request reaches a worker, nor is one still at work
GONE_FEW = 3  # requests that may all the same
GONE_PART = 0.25  # of the runs that would have lasted so long: so many may all the same


@dataclass(frozen=True)
class Finding:
    """A rule that was broken, and the request's whole way."""

    rule: str
    id: str
    text: str


def judge(sent: Sequence[Sent], runs: Sequence[Run], stops: Sequence[Stop], grace_ns: int) -> list[Finding]:
    """Return what broke a rule: LOST, TWICE, REFUSED, MIXED, UNASKED, GONE, CUT."""
    by_id: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda one: one.began):
        by_id[run.id].append(run)
    known = {one.id for one in sent}
    found = [
        Finding("UNASKED", id, f"{id} ran at {by_id[id][0].worker}, nobody sent it")
        for id in by_id
        if id not in known
    ]
    stops_of: dict[str, list[Stop]] = defaultdict(list)
    for stop in stops:
        stops_of[stop.gateway].append(stop)
    for one in sent:
        rule = _broken(one, by_id.get(one.id, []), stops_of[one.gateway], grace_ns)
        if rule:
            found.append(Finding(rule, one.id, way(one, by_id.get(one.id, []), stops_of[one.gateway])))
    return found + _gone([one for one in sent if one.left], by_id, stops_of)


def _gone(
    left: Sequence[Sent], by_id: Mapping[str, Sequence[Run]], stops_of: Mapping[str, Sequence[Stop]]
) -> list[Finding]:
    """Work for clients who have left, where it is more than the rule allows."""
    reached, at_work, lasting = list[Sent](), list[Sent](), 0
    for one in left:
        for run in by_id.get(one.id, []):
            if run.began > one.left + GONE_NS:
                reached.append(one)
            elif one.is_safe and run.began + run.takes > one.left + GONE_NS:
                lasting += 1
                if not run.ended or run.ended > one.left + GONE_NS:
                    at_work.append(one)
    broken = reached if len(reached) > GONE_FEW else []
    broken = broken + (at_work if len(at_work) > max(GONE_FEW, GONE_PART * lasting) else [])
    return [Finding("GONE", one.id, way(one, by_id[one.id], stops_of.get(one.gateway, []))) for one in broken]


def _broken(one: Sent, runs: Sequence[Run], stops: Sequence[Stop], grace_ns: int) -> str:
    if one.problem:
        return "MIXED"
    if not one.is_safe and len(runs) > 1:
        return "TWICE"
    if not one.is_safe and runs and one.status in PROMISES and not one.is_from_worker:
        return "REFUSED"
    if one.left:
        is_cut = any(run.end is RunEnd.CUT and not _may_cut(one, run, stops, grace_ns) for run in runs)
        return "CUT" if is_cut and not one.is_safe else ""
    if one.ended and runs and not one.is_from_worker and _lost(one, runs, stops, grace_ns):
        return "LOST"
    return ""


def _may_cut(one: Sent, run: Run, stops: Sequence[Stop], grace_ns: int) -> bool:
    """Return whether its time is over, or its gatekeeper's."""
    if run.ended >= one.deadline - DEADLINE_SLACK_NS:
        return True
    return any(
        stop.told + LAST_SIXTH * grace_ns <= run.ended <= (stop.ended or stop.told + grace_ns) + SEEN_LATE_NS
        for stop in stops
    )


def _lost(one: Sent, runs: Sequence[Run], stops: Sequence[Stop], grace_ns: int) -> bool:
    """No complete answer of a worker for a request that was passed on, and no reason that the rule allows."""
    if one.ended >= one.deadline - DEADLINE_SLACK_NS:
        return False
    last = runs[-1]
    if last.end is RunEnd.ANSWERED and one.status:
        return False  # its worker had ended: an answer in its place cut nothing
    for stop in stops:
        gone = stop.ended or stop.told + grace_ns  # who answers later is another process at its address
        was_early = one.sent <= min(gone, stop.told + EARLY_SENT * grace_ns)
        if was_early and stop.told + LAST_SIXTH * grace_ns <= one.ended <= gone + SEEN_LATE_NS:
            return False
    return True


def way(one: Sent, runs: Sequence[Run], stops: Sequence[Stop]) -> str:
    """Return a request's way, ms from its sending."""
    kind = "safe" if one.is_safe else "unsafe"
    rows: list[tuple[int, str]] = [(0, f"{kind} {one.id} sent to {one.gateway}")]
    for run in runs:
        rows.append((run.began - one.sent, f"{run.worker} runs it"))
        if run.ended:
            rows.append((run.ended - one.sent, f"its run ends: {run.end}"))
    status = f"left by {one.way}" if one.left else one.status or "no complete answer"
    rows.append((one.ended - one.sent, f"the client has {status}{' ' + one.problem if one.problem else ''}"))
    near = [stop for stop in stops if one.sent - LONG_AGO_NS < stop.told < one.ended]
    rows += [(stop.told - one.sent, f"{stop.gateway} gets SIGTERM") for stop in near]
    return "; ".join(f"{at / 1e6:.0f} ms {what}" for at, what in sorted(rows))
