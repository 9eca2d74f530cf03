"""A member's state as one process hands it to the next of the same gatekeeper. Does no I/O.

To the others it stays the same member: its life goes on, with sequence numbers that the process before left.
"""

from __future__ import annotations

from typing import Any

from pepperrun.membership.member import Member
from pepperrun.membership.records import Record
from pepperrun.membership.states import Me
from pepperrun.membership.views import View, digest_of
from pepperrun.membership.wire import INCARNATIONS, LIVES, State

JUMP = 500_000  # sequence numbers that a process leaves to the one before or after it


def state_of(member: Member) -> dict[str, Any]:
    """What the next process needs, for JSON."""
    view = member.views.view
    return {
        "count": member.count,
        "state": member.own.state.value,
        "life": member.own.life,
        "incarnation": member.own.incarnation,
        "sequence": member.outbox.sequence,
        "names": sorted(member.names.held.items()),
        "records": [
            [one.member, one.life, one.incarnation, int(one.state), one.by]
            for one in member.book.records.values()
        ],
        "view": [view.number, sorted(view.members)],
    }


def _whole(value: Any, most: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < most:
        raise ValueError(f"{value!r} is out of range")
    return value


def resume(member: Member, table: Any, now: int) -> None:
    """Goes on from it; ValueError where it is no good, and the member is as it was."""
    if not isinstance(table, dict) or table.get("count") != member.count:
        raise ValueError("of another group")
    state = Me(table["state"])
    if state is not Me.MEMBER:
        return
    life, incarnation = _whole(table["life"], LIVES), _whole(table["incarnation"], INCARNATIONS)
    sequence = _whole(table["sequence"], LIVES)
    records = {}
    for number, its_life, its_incarnation, word, by in table["records"]:
        one = Record(
            _whole(number, member.count),
            _whole(its_life, LIVES),
            _whole(its_incarnation, INCARNATIONS),
            State(word),
            now,
            _whole(by, 2**16),
        )
        records[one.member] = one
    names = {_whole(number, member.count): _whole(name, 2**32) for number, name in table["names"]}
    number, members = table["view"]
    held = frozenset((_whole(one, member.count), _whole(its_life, LIVES)) for one, its_life in members)
    view = View(_whole(number, LIVES), held, digest_of(held), now)
    member.own.life, member.own.incarnation, member.outbox.sequence = life, incarnation, sequence + JUMP
    member.own.state, member.names.held = state, names
    member.book.records = records
    member.book.changes += 1
    member.views.view, member.views.candidate, member.views.most = view, held, view.number
