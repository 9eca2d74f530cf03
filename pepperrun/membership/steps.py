"""How a gatekeeper enforces quotas while members are missing, and the error bounds of that. Does no I/O.

| step | when | quotas | grants as owner of others' accounts |
| --- | --- | --- | --- |
| COMPLETE | all members are present | global, over all | yes |
| MAJORITY | some are missing, majority side | global, over those present | yes, the first owner present |
| LOCAL_BUCKETS | minority side, or isolated | the sum of its members' local buckets | yes, at that rate |
| JOINED_RECENTLY | joined less than FENCE_NS ago, or joining | its own local bucket | yes |
| JOINED_RECENTLY | left a minority side less than FENCE_NS ago | as on that side | yes, at that rate |
| SELF_SUSPECT | stalled, or gets no replies | its own local bucket | no |
| NOT_MEMBER | left gracefully, or its name was rejected | its own local bucket | no |

Hard rate limits need no step. A customer's hard limit is split into shares: each of its gatekeepers has one,
or, where a quota has two owners, each owner has one. All shares together are the limit. Units pass only from
a gatekeeper that has them to one that needs them, and are debited at the first before the second gets them.
So no partition, failure or return lets more through than the limit and its slack (`FLEET.md`, `MEMBERS.md`).
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

FENCE_NS = SECOND  # within it a new member learns the recent usage: peers report it once a second


class Step(enum.Enum):
    """A row of the table above; the values are printed by the admin calls and the log."""

    COMPLETE = "whole"
    MAJORITY = "without"
    LOCAL_BUCKETS = "slices"
    JOINED_RECENTLY = "new"
    SELF_SUSPECT = "doubt"
    NOT_MEMBER = "gone"


def step_of(member: Member, now: int) -> Step:
    """Returns the row of the table for a member's state and partition side at `now`, in ns."""
    if member.own.state in (OwnState.LEFT, OwnState.REJECTED):
        return Step.NOT_MEMBER
    if member.suspects_itself:
        return Step.SELF_SUSPECT
    since_change_ns = min(now - member.state_changed_at, now - member.rejoined_at)
    if member.own.state is OwnState.JOINING or since_change_ns < FENCE_NS:
        return Step.JOINED_RECENTLY
    side = member.side()
    if side is Side.COMPLETE:
        return Step.COMPLETE
    return Step.MAJORITY if side is Side.MAJORITY else Step.LOCAL_BUCKETS


def next_step_change(member: Member, now: int) -> int | None:
    """When the step next changes through time alone, in ns; None if it does not."""
    ends = [at + FENCE_NS for at in (member.state_changed_at, member.rejoined_at)]
    upcoming = [end for end in ends if end > now]
    return min(upcoming) if upcoming else None


def membership_status_of(member: Member, now: int) -> MembershipStatus:
    """The status for the quotas. A suspected member owns no account, though it still counts as present."""
    step = step_of(member, now)
    present = member.views.view.member_numbers()
    suspects = member.table.others_in(State.SUSPECT, State.DEAD, State.LEFT)
    absent = frozenset(m for m in member.roster.members if m not in present) | frozenset(suspects)
    absent -= {member.me}
    if step is Step.JOINED_RECENTLY and not present:
        absent = frozenset()  # no member is known yet; asking an absent owner costs one message
    # Back from a minority side it continues as there, until the usage of the other side has arrived.
    rejoined_from_minority = (
        step is Step.JOINED_RECENTLY
        and now - member.state_changed_at >= FENCE_NS
        and bool(member.previously_missing)
    )
    unreachable = (
        member.previously_missing
        if rejoined_from_minority
        else absent
        if step is Step.LOCAL_BUCKETS
        else frozenset()
    )
    local_share_only = (
        step in (Step.JOINED_RECENTLY, Step.SELF_SUSPECT, Step.NOT_MEMBER)
        and not rejoined_from_minority
        or step is Step.LOCAL_BUCKETS
        and len(present) < 2
    )
    return MembershipStatus(
        True, absent, unreachable, local_share_only, step not in (Step.SELF_SUSPECT, Step.NOT_MEMBER)
    )


@dataclass(slots=True, frozen=True)
class Quota:
    """A customer's quota: units a second, and units at once, over `spread` gatekeepers."""

    rate: float
    burst: float
    spread: int


def quota_error_bound(quota: Quota, minority_gateways: int, partition_s: float, detection_s: float) -> float:
    """Units beyond a quota that a partition of `partition_s` may admit.

    `minority_gateways` of the quota's spread are on the minority side. Until the partition is detected, after
    `detection_s`, both sides admit the whole quota, each with one burst. From then on the majority side has
    the whole rate and the minority side its local buckets. The error of two gatekeepers that admit units
    between two peer messages also occurs without a partition and is not counted here.
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
    """Units beyond a quota if that many of its gatekeepers restart together: each starts with its share."""
    return quota.burst * min(restarted, quota.spread) / quota.spread
