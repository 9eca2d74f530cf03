"""The rules, checked on what clients and workers saw and the gatekeepers said. Knows nothing of their code.

Each checker is given all that a run saw and yields what was broken: rule, time, and the text. What a fault of
the script explains is not held against a gatekeeper, and only that: a try is owed an answer unless its
gatekeeper was down or standing still at some time of it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from pepperrun.lab.run import Seen

S = 1_000_000_000
SLACK_NS = 50_000_000  # what the protocol allows each time limit on sockets
DRAIN_NS = 250_000_000
ANSWER_NS = 150_000_000  # beyond its time a try's answer may be so late: clients share a machine with all
TIP_MULTIPLE, TIP_NS = 2.5, 3 * S // 2
CEILING_NS = 150_000_000  # widens a ceiling's slack by what its rate gives in it
SERVED, REFUSED, BROKEN, TIMED_OUT = 200, (429, 503), 0, -1
TURN_NS = 10_000_000  # what came before SIGTERM by more than a turn of a busy process has been read
AFTER_TERM_NS = 700_000_000  # what reaches a gatekeeper later than so long after SIGTERM may be cut off
STALLED_NS = 1_000_000_000  # around a standstill a client's try may miss its time


@dataclass(slots=True, frozen=True)
class Broken:
    """A rule that was broken, and when."""

    rule: str
    at: int
    text: str


def downs_of(seen: Seen, gatekeeper: int) -> list[tuple[int, int, str]]:
    """When a gatekeeper was not there by the script: from, until, how."""
    return [(start, end, how) for name, start, end, how in seen.downs if name == f"n{gatekeeper}"]


def excused(seen: Seen, gatekeeper: int, start: int, end: int) -> bool:
    """Was it down or standing still, by the script, at some time from `start` to `end`?"""
    for since, until, how in downs_of(seen, gatekeeper):
        margin = STALLED_NS if how == "pause" else SLACK_NS
        since -= 0 if how != "stop" else -AFTER_TERM_NS
        if start <= until + margin and end >= since - SLACK_NS:
            return True
    return any(
        fault["what"] == "starve" and f"n{gatekeeper}" in fault["names"] and end >= fault["at"]
        for fault in seen.faults
    )


def answers(seen: Seen) -> Iterator[Broken]:
    """Each try that a running gatekeeper took has one final answer, in its time."""
    budget = int(seen.scenario.load.deadline_s * S)
    if seen.extra:
        yield Broken("one answer", 0, f"{seen.extra} answers that nobody had asked for")
    arrived = {(row[3], row[4]) for row in seen.arrivals}
    for call, number, gatekeeper, sent, ended, status in seen.tries:
        if status not in (BROKEN, TIMED_OUT):
            continue
        until = ended or sent + budget
        # SIGTERM ends idle connections; a request that is sent on one at that moment was taken by nobody.
        stops = [since for since, _, how in downs_of(seen, gatekeeper) if how == "stop"]
        crossed = any(since - TURN_NS <= sent <= since + SLACK_NS for since in stops)
        if crossed and status == BROKEN and (call, number) not in arrived:
            continue
        if not excused(seen, gatekeeper, sent, until):
            how = "its connection was ended" if status == BROKEN else "nothing in its time"
            yield Broken("one answer", sent, f"call {call}-{number} at n{gatekeeper}: {how}")


def repeats(seen: Seen) -> Iterator[Broken]:
    """Keyed requests that may have run are repeated in their cell only, and not refused as harmless."""
    by_try: dict[tuple[int, int], list[list[int]]] = defaultdict(list)
    for row in seen.arrivals:
        by_try[row[3], row[4]].append(row)
    ends = {(row[0], row[1]): row for row in seen.tries}
    for key, rows in by_try.items():
        if rows[0][5] != 1:
            continue
        ran = [row for row in rows if row[8]]
        cells = {row[1] // 2 for row in ran}
        if len(cells) > 1:
            first = f"call {key[0]}-{key[1]}"
            yield Broken(
                "repeats", ran[-1][0], f"{first}: ran in cells {sorted(cells)}, workers {[r[1] for r in ran]}"
            )
        end = ends.get(key)
        if ran and end is not None and end[5] in REFUSED and end[4] > ran[0][0]:
            yield Broken(
                "repeats", end[4], f"call {key[0]}-{key[1]}: refused after worker {ran[0][1]} took it"
            )
        if len(rows) > 3:
            yield Broken("repeats", rows[-1][0], f"call {key[0]}-{key[1]}: {len(rows)} attempts, 3 at most")


def drains(seen: Seen) -> Iterator[Broken]:
    """Nothing new goes to a worker of which a gatekeeper was told that it drains or is gone."""
    told: dict[tuple[int, int], list[int]] = defaultdict(list)
    ready: dict[tuple[int, int], list[int]] = defaultdict(list)
    for at, gatekeeper, worker, again in seen.told:
        (ready if again else told)[gatekeeper, worker].append(at)
    back = defaultdict(list)
    for at, worker in seen.starts:
        back[worker].append(at)
    for row in seen.arrivals:
        at, worker, gatekeeper = row[:3]
        for since in told.get((gatekeeper, worker), []):
            # It has started again, or did before this was told: discovery may be later than that.
            new = [one for one in (*back[worker], *ready[gatekeeper, worker]) if one > since]
            late = at > since + DRAIN_NS + SLACK_NS and at < min(new, default=at + 1)
            if late and not excused(seen, gatekeeper, since, at):
                told_ms = (at - since) / 1e6
                text = f"call {row[3]}-{row[4]} from n{gatekeeper} at w{worker}, told {told_ms:.0f} ms before"
                yield Broken("drains", at, text)


def cold_workers(seen: Seen) -> Iterator[Broken]:
    """What reaches a cold worker within 1.5 s stays under 2.5 times what it can do."""
    fleet = seen.scenario.fleet
    cold_ns = int(fleet.cold_s * S)
    largest = max((row[7] for row in seen.arrivals), default=0)
    for born, worker in seen.starts:
        rows = [row for row in seen.arrivals if row[1] == worker and born <= row[0] < born + cold_ns]
        first = 0
        held = 0.0
        for row in rows:
            held += row[7]
            while rows[first][0] < row[0] - TIP_NS:
                held -= rows[first][7]
                first += 1
            warmth = fleet.cold_from + (1 - fleet.cold_from) * (row[0] - born) / cold_ns
            most = TIP_MULTIPLE * fleet.cores * warmth * TIP_NS + 2 * largest
            if held > most:
                yield Broken(
                    "cold workers", row[0], f"w{worker}: {held / most:.2f} of what a cold one may be sent"
                )
                break


def uses(seen: Seen) -> dict[int, list[tuple[int, int]]]:
    """By customer: when each of its tries first reached a worker, and its plan."""
    known: set[tuple[int, int]] = set()
    out: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for row in sorted(seen.arrivals):
        key = row[3], row[4]
        if key not in known:
            known.add(key)
            out[row[6]].append((row[0], seen.load[row[3]][3]))
    return out


def lowest(times: list[int], rate: float, depth: float) -> tuple[float, int]:
    """The lowest level of a store that starts full, one unit each time; and when."""
    level, at, least, when = depth, 0, depth, 0
    for now in times:
        level = min(depth, level + rate * max(0, now - at) / S) - 1.0
        at = now
        if level < least:
            least, when = level, now
    return least, when


def ceilings(seen: Seen) -> Iterator[Broken]:
    """All gatekeepers together keep each ceiling, whatever is cut or dead."""
    for customer, times in uses(seen).items():
        plan = seen.scenario.plan[times[0][1]]
        if plan.ceiling_rate <= 0:
            continue
        least, when = lowest([at for at, _ in times], plan.ceiling_rate, plan.ceiling_burst)
        slack = max(0.1 * plan.ceiling_burst, 1.0) + plan.ceiling_rate * CEILING_NS / S
        if least < -slack:
            yield Broken(
                "ceilings",
                when,
                f"customer {customer} ({plan.name}): {-least:.1f} beyond, {slack:.1f} allowed",
            )


def overshoots(seen: Seen) -> dict[int, float]:
    """By customer: how far all its use ever was above burst and rate together."""
    out = {}
    for customer, times in uses(seen).items():
        plan = seen.scenario.plan[times[0][1]]
        out[customer] = max(0.0, -lowest([at for at, _ in times], plan.rate, plan.burst)[0])
    return out


def beyond(seen: Seen) -> dict[int, float]:
    """By customer: units sent on beyond its quota; each counts when its store could not give it."""
    out = {}
    for customer, times in uses(seen).items():
        plan = seen.scenario.plan[times[0][1]]
        level, at, over = plan.burst, 0, 0.0
        for now, _ in times:
            level = min(plan.burst, level + plan.rate * max(0, now - at) / S)
            at = now
            if level >= 1.0:
                level -= 1.0
            else:
                over += 1.0
        out[customer] = over
    return out


def exits(seen: Seen) -> Iterator[Broken]:
    """Who was told to end ends with 0; nobody ends otherwise."""
    for text in seen.crashed:
        yield Broken("no crash", seen.ends_at, text)
    for name, codes in seen.exits.items():
        for code in codes:
            if code != 0:
                yield Broken("no crash", seen.ends_at, f"{name} ended with {code} after SIGTERM")


# Membership.


def _disturbed(seen: Seen) -> int:
    """When the last fault was over."""
    last = max((int(fault["at"]) for fault in seen.faults), default=0)
    return max([last, *(int(down[2]) for down in seen.downs if down[2] < seen.ends_at)])


def cut_pairs(seen: Seen) -> list[tuple[int, int, int, int]]:
    """Directions in which nothing passed: from, until, one, other."""
    out, since = [], {}
    for fault in seen.faults:
        for one, other in fault.get("pairs", []):
            if fault["what"] == "cut" and fault["on"]:
                since[one, other] = fault["at"]
            elif fault["what"] == "cut" and (one, other) in since:
                out.append((since.pop((one, other)), fault["at"], one, other))
    return out + [(at, seen.ends_at, *pair) for pair, at in since.items()]


def false_burials(seen: Seen) -> list[dict[str, Any]]:
    """Deaths that were said of a gatekeeper that was there, and not cut off from anybody."""
    cuts = cut_pairs(seen)
    out = []
    for event in seen.events:
        if event["what"] != "dead" or event["by"] == event["member"]:
            continue
        at, member = event["at"], event["member"]
        down = any(since <= at <= until + 2 * S for since, until, _ in downs_of(seen, member))
        cut = any(
            since <= at <= until + 2 * S and member in (one, other) for since, until, one, other in cuts
        )
        said = any(fault["what"] == "starve" and f"n{member}" in fault["names"] for fault in seen.faults)
        if not (down or cut or said):
            out.append(event)
    return out


def up_at_the_end(seen: Seen) -> set[int]:
    """Gatekeepers that were there at the end, by the script."""
    down = {int(name[1:]) for name, _, until, _ in seen.downs if until >= seen.ends_at}
    late = {int(name[1:]) for name in seen.scenario.fleet.late if name not in _started(seen)}
    refused = {int(name[1:]) for name in seen.scenario.must.refused}
    return set(range(seen.scenario.fleet.gatekeepers)) - down - late - refused


def _started(seen: Seen) -> set[str]:
    return {name for fault in seen.faults if fault["what"] == "start" for name in fault["names"]}


def cut_at_the_end(seen: Seen) -> bool:
    """Was anything still cut when the run ended?"""
    return any(until >= seen.ends_at for _, until, _, _ in cut_pairs(seen))


def one_view(seen: Seen) -> Iterator[Broken]:
    """At the end all that are there, and not cut off, hold one view of just them: none is buried for good."""
    if not seen.scenario.fleet.members or cut_at_the_end(seen) or not seen.scenario.must.all_there:
        return
    up = up_at_the_end(seen)
    digests = set()
    for number in sorted(up):
        table = seen.final.get(f"n{number}")
        if table is None:
            yield Broken("one view", seen.ends_at, f"n{number} gives no answer")
            continue
        digests.add(table["view"]["digest"])
        if set(table["view"]["members"]) != up:
            missing = sorted(up - set(table["view"]["members"]))
            more = sorted(set(table["view"]["members"]) - up)
            yield Broken("one view", seen.ends_at, f"n{number} misses {missing} and has {more} too many")
    if len(digests) > 1:
        yield Broken("one view", seen.ends_at, f"{len(digests)} views at the end")


def one_larger_side(seen: Seen) -> Iterator[Broken]:
    """Of two sides of a cut only one takes itself for the larger one, once each has found the cut."""
    spans = larger_sides(seen)
    for index, (since, until, who, view) in enumerate(spans):
        for since2, until2, who2, view2 in spans[index + 1 :]:
            both = min(until, until2) - max(since, since2)
            # A step follows its view within a turn, not in the same instant.
            if not view & view2 and both > SLACK_NS:
                at = max(since, since2)
                yield Broken(
                    "one larger side", at, f"{who} and {who2} for {both / 1e6:.0f} ms, nobody in both views"
                )


def larger_sides(seen: Seen) -> list[tuple[int, int, str, frozenset[int]]]:
    """When who was in step `without`: from, until, and whom it held to be there.

    That is by its view: whom it has found dead since then leaves only with the next one.
    """
    spans: list[tuple[int, int, str, frozenset[int]]] = []
    dead: dict[str, set[int]] = defaultdict(set)
    began: dict[str, int] = {}
    every = frozenset(range(seen.scenario.fleet.gatekeepers))
    held: dict[str, frozenset[int]] = defaultdict(lambda: every)

    def end(who: str, at: int) -> None:
        if who in began:
            spans.append((began.pop(who), at, who, held[who]))

    for event in seen.events:
        who = event["who"]
        if event["what"] in ("dead", "left"):
            dead[who].add(event["member"])
        elif event["what"] == "there":
            dead[who].discard(event["member"])
        elif event["what"] == "view":
            still = who in began
            end(who, event["at"])
            held[who] = every - dead[who]
            if still:
                began[who] = event["at"]
        elif event["what"] == "step":
            end(who, event["at"])
            if event["detail"] == "without":
                began[who] = event["at"]
    for who in list(began):
        downs = [down[1] for down in seen.downs if down[0] == who and down[1] > began[who]]
        end(who, min([seen.ends_at, *downs]))
    return spans


def refused(seen: Seen) -> Iterator[Broken]:
    """Whose name another has is told so and is not a member."""
    for name in seen.scenario.must.refused:
        told = any(event["who"] == name and event["what"] == "refused" for event in seen.events)
        table = seen.final.get(name)
        if not told or table is None or table["state"] == "member":
            yield Broken("names", seen.ends_at, f"{name} was not refused")


CHECKERS: dict[str, Callable[[Seen], Iterator[Broken]]] = {
    "one answer": answers,
    "repeats": repeats,
    "drains": drains,
    "cold workers": cold_workers,
    "ceilings": ceilings,
    "no crash": exits,
    "one view": one_view,
    "one larger side": one_larger_side,
    "names": refused,
}


def check(seen: Seen) -> list[Broken]:
    """All that was broken, in order of time."""
    found = [broken for checker in CHECKERS.values() for broken in checker(seen)]
    return sorted(found, key=lambda one: one.at)


def before(seen: Seen, at: int, many: int = 12) -> list[str]:
    """The events that led to a time."""
    rows = [
        (f["at"], f"fault {f['what']} {'on' if f['on'] else 'off'} {' '.join(f['names'])}")
        for f in seen.faults
    ]
    for one in seen.events:
        rows.append(
            (one["at"], f"{one['who']}: n{one['member']} {one['what']} {one['detail']} (by {one['by']})")
        )
    rows.sort()
    return [f"{when / S:8.3f} s  {text}" for when, text in rows if when <= at][-many:]
