"""A member's state as one process hands it to the next of the same gatekeeper. Does no I/O.

To the others it stays the same member: its life goes on, with sequence numbers that the process before left.
"""

from __future__ import annotations

from typing import Any

from pepperrun.membership.member import Member
from pepperrun.membership.records import Record
from pepperrun.membership.states import OwnState
from pepperrun.membership.views import View, digest_of
from pepperrun.membership.wire import GENERATION_LIMIT, INCARNATION_LIMIT, State

SEQUENCE_GAP = 500_000  # sequence numbers that a process leaves to the one before or after it


def export_state(member: Member) -> dict[str, Any]:
    """What the next process needs, for JSON."""
    view = member.views.view
    return {
        "count": member.member_count,
        "state": member.own.state.value,
        "life": member.own.generation,
        "incarnation": member.own.incarnation,
        "sequence": member.outbox.sequence,
        "names": sorted(member.name_registry.name_hashes.items()),
        "records": [
            [one.member, one.generation, one.incarnation, int(one.state), one.reporter]
            for one in member.table.records.values()
        ],
        "view": [view.number, sorted(view.members)],
    }


def _checked_int(value: Any, most: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < most:
        raise ValueError(f"{value!r} is out of range")
    return value


def restore_state(member: Member, saved: Any, now: int) -> None:
    """Goes on from it; ValueError where it is no good, and the member is as it was."""
    if not isinstance(saved, dict) or saved.get("count") != member.member_count:
        raise ValueError("of another group")
    state = OwnState(saved["state"])
    if state is not OwnState.MEMBER:
        return
    generation, incarnation = (
        _checked_int(saved["life"], GENERATION_LIMIT),
        _checked_int(saved["incarnation"], INCARNATION_LIMIT),
    )
    sequence = _checked_int(saved["sequence"], GENERATION_LIMIT)
    records = {}
    for number, its_generation, its_incarnation, word, by in saved["records"]:
        one = Record(
            _checked_int(number, member.member_count),
            _checked_int(its_generation, GENERATION_LIMIT),
            _checked_int(its_incarnation, INCARNATION_LIMIT),
            State(word),
            now,
            _checked_int(by, 2**16),
        )
        records[one.member] = one
    names = {
        _checked_int(number, member.member_count): _checked_int(name, 2**32)
        for number, name in saved["names"]
    }
    number, members = saved["view"]
    held = frozenset(
        (_checked_int(one, member.member_count), _checked_int(its_generation, GENERATION_LIMIT))
        for one, its_generation in members
    )
    view = View(_checked_int(number, GENERATION_LIMIT), held, digest_of(held), now)
    member.own.generation, member.own.incarnation, member.outbox.sequence = (
        generation,
        incarnation,
        sequence + SEQUENCE_GAP,
    )
    member.own.state, member.name_registry.name_hashes = state, names
    member.table.records = records
    member.table.version += 1
    member.views.view, member.views.candidate, member.views.highest_number = view, held, view.number
