"""What operators and rigs are told of membership. Does no I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from typing import Any

from pepperrun.admin.calls import Figure
from pepperrun.membership.member import Member
from pepperrun.membership.states import Happened
from pepperrun.membership.steps import step_of
from pepperrun.membership.wire import NOBODY, WORDS, State


def report(member: Member, names: Sequence[str], now: int) -> dict[str, Any]:
    """All that this member knows, times in ms before now."""
    view, views = member.views.view, member.views
    rows = []
    for number in sorted(member.roster.every):
        known = member.book.get(number)
        row: dict[str, Any] = {"member": number, "name": names[number] if number < len(names) else ""}
        if number == member.me:
            row |= {"state": member.own.state.value, "for_ms": _ms(now - member.moved_at)}
            row |= {"life": member.own.life, "incarnation": member.own.incarnation}
        elif known is None:
            row |= {"state": "unknown"}
        else:
            by = None if known.by == NOBODY else known.by
            row |= {"state": WORDS[known.state], "for_ms": _ms(now - known.since), "by": by}
            row |= {"life": known.life, "incarnation": known.incarnation, "witnesses": len(known.witnesses)}
            heard = member.prober.heard.get(number)
            row |= {"heard_ms": _ms(now - heard) if heard is not None else None}
            row |= {
                "reached": number not in member.links.failed,
                "answers_in_ms": _ms(member.links.delay(number).mean),
            }
        rows.append(row)
    there = sorted(view.numbers())
    return {
        "me": member.me,
        "state": member.own.state.value,
        "step": step_of(member, now).value,
        "side": member.side().value,
        "doubt": member.doubt,
        "health": member.prober.health,
        "view": {
            "number": view.number,
            "digest": f"{view.digest:08x}",
            "members": there,
            "for_ms": _ms(now - view.at),
            "passed": views.passed,
        },
        "other_views": views.apart(there),
        "cuts": member.links.cuts(there),
        "members": rows,
        "counts": member.counts,
    }


def _ms(span: float) -> float:
    return round(span / 1e6, 1)


def events_since(member: Member, at: int) -> list[dict[str, Any]]:
    """What has happened since a time on the machine's monotonic clock, ns."""
    return [_event(one) for one in member.events if one.at > at]


def _event(one: Happened) -> dict[str, Any]:
    return {"at": one.at, "what": one.what, "member": one.member, "by": one.by, "detail": one.detail}


def line(table: Any) -> bytes:
    """One line of JSON, as the second address answers."""
    return json.dumps(table, separators=(",", ":")).encode() + b"\n"


def figures(member: Member) -> Iterator[Figure]:
    """For `telemetry`."""
    there = member.views.view.numbers()
    yield Figure("members.there", len(there), False)
    yield Figure("members.view", member.views.view.number, False)
    yield Figure("members.suspected_now", len(member.book.others(State.SUSPECT)), False)
    yield Figure("members.other_views", len(member.views.apart(sorted(there))), False)
    yield Figure("members.views_passed", member.views.passed, True)
    for name, value in member.counts.items():
        yield Figure(f"members.{name}", value, True)
