"""Membership state as the admin calls and telemetry print it. Does no I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from typing import Any

from pepperrun.admin.commands import Metric
from pepperrun.membership.member import Member
from pepperrun.membership.states import MembershipEvent
from pepperrun.membership.steps import step_of
from pepperrun.membership.wire import NO_MEMBER, STATE_NAMES, State


def membership_report(member: Member, names: Sequence[str], now: int) -> dict[str, Any]:
    """What this member knows of the group, for the admin call `members`. Times are in ms before now."""
    view, views = member.views.view, member.views
    rows = []
    for number in sorted(member.roster.members):
        record = member.table.get(number)
        row: dict[str, Any] = {"member": number, "name": names[number] if number < len(names) else ""}
        if number == member.me:
            row |= {"state": member.own.state.value, "for_ms": _ms(now - member.state_changed_at)}
            row |= {"life": member.own.generation, "incarnation": member.own.incarnation}
        elif record is None:
            row |= {"state": "unknown"}
        else:
            by = None if record.reporter == NO_MEMBER else record.reporter
            row |= {"state": STATE_NAMES[record.state], "for_ms": _ms(now - record.since), "by": by}
            row |= {
                "life": record.generation,
                "incarnation": record.incarnation,
                "witnesses": len(record.suspicion_reporters),
            }
            heard = member.prober.last_contact.get(number)
            row |= {"heard_ms": _ms(now - heard) if heard is not None else None}
            row |= {
                "reached": number not in member.links.unreachable,
                "answers_in_ms": _ms(member.links.round_trip(number).mean),
            }
        rows.append(row)
    present = sorted(view.member_numbers())
    return {
        "me": member.me,
        "state": member.own.state.value,
        "step": step_of(member, now).value,
        "side": member.side().value,
        "doubt": member.suspects_itself,
        "health": member.prober.local_health,
        "view": {
            "number": view.number,
            "digest": f"{view.digest:08x}",
            "members": present,
            "for_ms": _ms(now - view.installed_at),
            "passed": views.installed_count,
        },
        "other_views": views.differing(present),
        "cuts": member.links.unreachable_pairs(present),
        "members": rows,
        "counts": member.counters,
    }


def _ms(span: float) -> float:
    return round(span / 1e6, 1)


def events_since(member: Member, at: int) -> list[dict[str, Any]]:
    """The kept events after a time of the machine's monotonic clock, in ns."""
    return [_event_row(one) for one in member.events if one.at > at]


def _event_row(one: MembershipEvent) -> dict[str, Any]:
    return {"at": one.at, "what": one.what, "member": one.member, "by": one.by, "detail": one.detail}


def json_line(table: Any) -> bytes:
    """One line of JSON, as the admin address answers."""
    return json.dumps(table, separators=(",", ":")).encode() + b"\n"


def figures(member: Member) -> Iterator[Metric]:
    """The membership metrics of the admin call `telemetry`."""
    present = member.views.view.member_numbers()
    yield Metric("members.there", len(present), False)
    yield Metric("members.view", member.views.view.number, False)
    yield Metric("members.suspected_now", len(member.table.others_in(State.SUSPECT)), False)
    yield Metric("members.other_views", len(member.views.differing(sorted(present))), False)
    yield Metric("members.views_passed", member.views.installed_count, True)
    for name, value in member.counters.items():
        yield Metric(f"members.{name}", value, True)
