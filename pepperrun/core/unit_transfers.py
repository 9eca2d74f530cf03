"""Transfers of hard limit units between gateways: the sender gives units up before the receiver gets them.

A unit is in one bucket, in transit, or lost with a message. Whichever messages arrive, all gateways together
never spend more than their buckets held and were refilled with.
"""

from __future__ import annotations

from typing import Protocol

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket
from pepperrun.core.interface import Plan
from pepperrun.core.unit_grants import REPORT_VALID_NS

MIN_UNITS = 1.0  # with fewer units left not even one request can be sent
STARVED_AFTER_NS = SECOND  # after so long without a unit despite requests, peers have none to spare


class HardLimitAccount(Protocol):
    """The fields of an account that concern its hard limit."""

    plan: Plan
    spread: int
    hard_limit: Bucket
    owners: list[int]
    peer_reports: gossip.PeerReports
    last_unit_at: int  # when it last had a unit


def is_exhausted(account: HardLimitAccount, now: int) -> bool:
    """Return whether no unit is left for a request; if one is, set `last_unit_at` to `now`.

    Always False for a plan without a hard limit.
    """
    if account.plan.ceiling_rate <= 0 or account.hard_limit.fill(now) >= MIN_UNITS:
        account.last_unit_at = now
        return False
    return True


def spend_units(account: HardLimitAccount, units: float, now: int) -> None:
    """Take units out of the hard limit bucket for a request that is sent."""
    account.hard_limit.level -= units
    account.last_unit_at = now


def is_starved(account: HardLimitAccount, now: int) -> bool:
    """Return whether there has been no unit for so long that waiting for one is useless.

    Like `is_exhausted`, it sets `last_unit_at` if a unit is left.
    """
    return is_exhausted(account, now) and now - account.last_unit_at > STARVED_AFTER_NS


def refill_wait_s(account: HardLimitAccount, units: float, now: int) -> float:
    """Return the seconds until the bucket's own refill brings so many units; 0 if they are there.

    Also 0 for a plan without a hard limit and where owners grant the units.
    """
    if account.plan.ceiling_rate <= 0 or account.owners:
        return 0.0
    return max(0.0, units - account.hard_limit.fill(now)) / max(account.hard_limit.rate, 1e-9)


def transfer_units(account: HardLimitAccount, peer: int, now: int) -> float:
    """Take hard limit units out of the bucket for a peer that has fewer, and return how many.

    They are debited here and credited there when the message arrives; a lost message loses them.
    """
    report = account.peer_reports.by_peer.get(peer)
    account.hard_limit.fill(now)
    if account.plan.ceiling_rate <= 0 or report is None or now - report.received_at > REPORT_VALID_NS:
        return 0.0
    if report.entry.hard_limit_level == gossip.NOT_LOW:
        return 0.0
    # Units in transit while the bucket of the whole limit is full exceed it: the slack, split over the
    # gateways, bounds them.
    max_units = account.plan.ceiling_slack / account.spread / 2
    transferred = gossip.quantize_units(
        min(max_units, (account.hard_limit.level - report.entry.hard_limit_level) / 2)
    )
    account.hard_limit.level -= transferred
    report.entry.hard_limit_level += transferred
    return transferred
