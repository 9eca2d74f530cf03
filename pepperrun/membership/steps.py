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
from pepperrun.core.membership_status import MembershipStatus
from pepperrun.membership.member import Member
from pepperrun.membership.states import OwnState
from pepperrun.membership.views import Side
from pepperrun.membership.wire import State

FENCE_NS = SECOND  # a newcomer hears of the use of late within it: peers tell once a second


class Step(enum.Enum):
    """A row of the table."""

    COMPLETE = "whole"
    MAJORITY = "without"
    LOCAL_BUCKETS = "slices"
    JOINED_RECENTLY = "new"
    SELF_SUSPECT = "doubt"
    NOT_MEMBER = "gone"


def step_of(member: Member, now: int) -> Step:
    """The step in force."""
    if member.own.state in (OwnState.LEFT, OwnState.REJECTED):
        return Step.NOT_MEMBER
    if member.suspects_itself:
        return Step.SELF_SUSPECT
    lately = min(now - member.state_changed_at, now - member.rejoined_at)
    if member.own.state is OwnState.JOINING or lately < FENCE_NS:
        return Step.JOINED_RECENTLY
    side = member.side()
    if side is Side.COMPLETE:
        return Step.COMPLETE
    return Step.MAJORITY if side is Side.MAJORITY else Step.LOCAL_BUCKETS


def next_step_change(member: Member, now: int) -> int | None:
    """When the step changes by time alone; None where it does not."""
    ends = [at + FENCE_NS for at in (member.state_changed_at, member.rejoined_at)]
    ahead = [end for end in ends if end > now]
    return min(ahead) if ahead else None


def standing_of(member: Member, now: int) -> MembershipStatus:
    """What the decisions are told. Who is suspected keeps no store, though it still counts as there."""
    step = step_of(member, now)
    present = member.views.view.member_numbers()
    suspects = member.table.others_in(State.SUSPECT, State.DEAD, State.LEFT)
    lost = frozenset(m for m in member.roster.members if m not in present) | frozenset(suspects)
    lost -= {member.me}
    if step is Step.JOINED_RECENTLY and not present:
        lost = frozenset()  # it knows of nobody yet: asking a keeper that is not there costs one ask
    # Back from the smaller side it goes on as it did there: what was used on the other is on its way here.
    rejoined_from_minority = (
        step is Step.JOINED_RECENTLY
        and now - member.state_changed_at >= FENCE_NS
        and bool(member.previously_missing)
    )
    missing = (
        member.previously_missing
        if rejoined_from_minority
        else lost
        if step is Step.LOCAL_BUCKETS
        else frozenset()
    )
    slices = (
        step in (Step.JOINED_RECENTLY, Step.SELF_SUSPECT, Step.NOT_MEMBER)
        and not rejoined_from_minority
        or step is Step.LOCAL_BUCKETS
        and len(present) < 2
    )
    return MembershipStatus(True, lost, missing, slices, step not in (Step.SELF_SUSPECT, Step.NOT_MEMBER))


@dataclass(slots=True, frozen=True)
class Quota:
    """A customer's quota, units a second and units at once, over `spread` gatekeepers."""

    rate: float
    burst: float
    spread: int


def quota_error_bound(quota: Quota, minority_gateways: int, partition_s: float, detection_s: float) -> float:
    """Units beyond a quota that a cut of `cut_s` may let through, `behind` of the spread on the smaller side.

    Until the cut is found (`found_s`) both sides hold the whole, a store's burst each once; from then on the
    larger side has the whole rate and the smaller one its slices. Two that let go at once between two
    messages are the ordinary path's own error and not counted here.
    """
    if minority_gateways <= 0 or quota.spread <= 1:
        return 0.0
    detected_s = min(partition_s, detection_s)
    return (
        quota.burst
        + quota.rate * detected_s
        + quota.rate * minority_gateways / quota.spread * max(0.0, partition_s - detected_s)
    )


def restart_error_bound(quota: Quota, restarted: int) -> float:
    """Units beyond a quota when so many of its gatekeepers restart together: each begins with its part."""
    return quota.burst * min(restarted, quota.spread) / quota.spread
