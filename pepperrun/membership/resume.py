"""A member's state, handed over from one process of a gatekeeper to the next. Does no I/O.

The other members see no restart: the next process continues the generation, with sequence numbers that are
beyond those of the previous process.
"""

from __future__ import annotations

from typing import Any

from pepperrun.membership.member import Member
from pepperrun.membership.records import Record
from pepperrun.membership.states import OwnState
from pepperrun.membership.views import View, digest_of
from pepperrun.membership.wire import GENERATION_LIMIT, INCARNATION_LIMIT, State

SEQUENCE_GAP = 500_000  # sequence numbers that are left to the other process during a handover


def export_state(member: Member) -> dict[str, Any]:
    """Everything that the next process needs, as JSON values."""
    view = member.views.view
    return {
        "count": member.member_count,
        "state": member.own.state.value,
        "life": member.own.generation,
        "incarnation": member.own.incarnation,
        "sequence": member.outbox.sequence,
        "names": sorted(member.name_registry.name_hashes.items()),
        "records": [
            [record.member, record.generation, record.incarnation, int(record.state), record.reporter]
            for record in member.table.records.values()
        ],
        "view": [view.number, sorted(view.members)],
    }


def _checked_int(value: Any, limit: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < limit:
        raise ValueError(f"{value!r} is out of range")
    return value


def restore_state(member: Member, saved: Any, now: int) -> None:
    """Continues from exported state.

    Raises ValueError, KeyError or TypeError for invalid state and leaves the member unchanged then. State of
    a process that was not a MEMBER is ignored.
    """
    if not isinstance(saved, dict) or saved.get("count") != member.member_count:
        raise ValueError("the state is from a group of another size")
    state = OwnState(saved["state"])
    if state is not OwnState.MEMBER:
        return
    generation, incarnation = (
        _checked_int(saved["life"], GENERATION_LIMIT),
        _checked_int(saved["incarnation"], INCARNATION_LIMIT),
    )
    sequence = _checked_int(saved["sequence"], GENERATION_LIMIT)
    records = {}
    for number, its_generation, its_incarnation, state_number, reporter in saved["records"]:
        record = Record(
            _checked_int(number, member.member_count),
            _checked_int(its_generation, GENERATION_LIMIT),
            _checked_int(its_incarnation, INCARNATION_LIMIT),
            State(state_number),
            now,
            _checked_int(reporter, 2**16),
        )
        records[record.member] = record
    names = {
        _checked_int(number, member.member_count): _checked_int(name, 2**32)
        for number, name in saved["names"]
    }
    number, members = saved["view"]
    member_set = frozenset(
        (_checked_int(its_number, member.member_count), _checked_int(its_generation, GENERATION_LIMIT))
        for its_number, its_generation in members
    )
    view = View(_checked_int(number, GENERATION_LIMIT), member_set, digest_of(member_set), now)
    member.own.generation, member.own.incarnation, member.outbox.sequence = (
        generation,
        incarnation,
        sequence + SEQUENCE_GAP,
    )
    member.own.state, member.name_registry.name_hashes = state, names
    member.table.records = records
    member.table.version += 1
    member.views.view, member.views.candidate, member.views.highest_number = view, member_set, view.number
