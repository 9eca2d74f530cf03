"""What a gatekeeper does while the others are not all there, step by step, and how far off it may be. No I/O.

| step | when | quotas | keeping others' stores |
| --- | --- | --- | --- |
| WHOLE | all are there | whole, over all | yes |
| WITHOUT | some are missing, this is the larger side | whole, over those there | yes, the first one there |
| SLICES | the smaller side, or a side by itself | its members' slices, together | yes, at that rate |
| NEW | joined less than FENCE_NS ago, or not yet | its own slice | yes |
| NEW | back from the smaller side less than FENCE_NS ago | as on that side | at that rate |
| DOUBT | stood still, or nobody answers it | its own slice | no |
| GONE | left in order, or its name is refused | its own slice | no |

Ceilings need no step: each gatekeeper (of two keepers each) has a part of a hard ceiling to itself, all parts
together are the ceiling, and units move only from one that has them to one that has not, the giver debited
first. So no cut, death or return lets more through than the ceiling and its slack (`FLEET.md`, `MEMBERS.md`).
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pepperrun.core.clock import SECOND
from pepperrun.core.standing import Standing
from pepperrun.membership.member import Member
from pepperrun.membership.states import Me
from pepperrun.membership.views import Side
from pepperrun.membership.wire import State

FENCE_NS = SECOND  # a newcomer hears of the use of late within it: peers tell once a second


class Step(enum.Enum):
    """A row of the table."""

    WHOLE = "whole"
    WITHOUT = "without"
    SLICES = "slices"
    NEW = "new"
    DOUBT = "doubt"
    GONE = "gone"


def step_of(member: Member, now: int) -> Step:
    """The step in force."""
    if member.own.state in (Me.LEFT, Me.REFUSED):
        return Step.GONE
    if member.doubt:
        return Step.DOUBT
    lately = min(now - member.moved_at, now - member.returned_at)
    if member.own.state is Me.JOINING or lately < FENCE_NS:
        return Step.NEW
    side = member.side()
    if side is Side.WHOLE:
        return Step.WHOLE
    return Step.WITHOUT if side is Side.MAJORITY else Step.SLICES


def until(member: Member, now: int) -> int | None:
    """When the step changes by time alone; None where it does not."""
    ends = [at + FENCE_NS for at in (member.moved_at, member.returned_at)]
    ahead = [end for end in ends if end > now]
    return min(ahead) if ahead else None


def standing_of(member: Member, now: int) -> Standing:
    """What the decisions are told. Who is suspected keeps no store, though it still counts as there."""
    step = step_of(member, now)
    there = member.views.view.numbers()
    suspects = member.book.others(State.SUSPECT, State.DEAD, State.LEFT)
    lost = frozenset(m for m in member.roster.every if m not in there) | frozenset(suspects)
    lost -= {member.me}
    if step is Step.NEW and not there:
        lost = frozenset()  # it knows of nobody yet: asking a keeper that is not there costs one ask
    # Back from the smaller side it goes on as it did there: what was used on the other is on its way here.
    back = step is Step.NEW and now - member.moved_at >= FENCE_NS and bool(member.apart)
    missing = member.apart if back else lost if step is Step.SLICES else frozenset()
    slices = step in (Step.NEW, Step.DOUBT, Step.GONE) and not back or step is Step.SLICES and len(there) < 2
    return Standing(True, lost, missing, slices, step not in (Step.DOUBT, Step.GONE))


@dataclass(slots=True, frozen=True)
class Quota:
    """A customer's quota, units a second and units at once, over `spread` gatekeepers."""

    rate: float
    burst: float
    spread: int


def quota_error(quota: Quota, behind: int, cut_s: float, found_s: float) -> float:
    """Units beyond a quota that a cut of `cut_s` may let through, `behind` of the spread on the smaller side.

    Until the cut is found (`found_s`) both sides hold the whole, a store's burst each once; from then on the
    larger side has the whole rate and the smaller one its slices. Two that let go at once between two
    messages are the ordinary path's own error and not counted here.
    """
    if behind <= 0 or quota.spread <= 1:
        return 0.0
    found = min(cut_s, found_s)
    return quota.burst + quota.rate * found + quota.rate * behind / quota.spread * max(0.0, cut_s - found)


def restart_error(quota: Quota, restarted: int) -> float:
    """Units beyond a quota when so many of its gatekeepers restart together: each begins with its part."""
    return quota.burst * min(restarted, quota.spread) / quota.spread
