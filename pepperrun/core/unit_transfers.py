"""Escrow: units of hard ceilings that move between gateways by being given up first.

A unit is in one bucket, on its way, or lost with a message; so whatever is heard or not, all gateways
together never spend more than their buckets held and filled up with.
"""

from __future__ import annotations

from typing import Protocol

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket
from pepperrun.core.interface import Plan
from pepperrun.core.unit_grants import REPORT_VALID_NS

MIN_UNITS = 1.0  # units: with fewer left not even one request can go out
STARVED_AFTER_NS = SECOND  # without a unit for so long, though peers were asked: they have none to spare


class HardLimitAccount(Protocol):
    """An account, as far as its hard ceiling goes."""

    plan: Plan
    spread: int
    hard_limit: Bucket
    owners: list[int]
    peer_reports: gossip.PeerReports
    last_unit_at: int  # when it last had a unit


def is_exhausted(account: HardLimitAccount, now: int) -> bool:
    """Is there no unit left for a request?"""
    if account.plan.ceiling_rate <= 0 or account.hard_limit.fill(now) >= MIN_UNITS:
        account.last_unit_at = now
        return False
    return True


def spend_units(account: HardLimitAccount, units: float, now: int) -> None:
    """Units go out with a request."""
    account.hard_limit.level -= units
    account.last_unit_at = now


def is_starved(account: HardLimitAccount, now: int) -> bool:
    """Has there been no unit for so long that waiting for one is of no use?"""
    return is_exhausted(account, now) and now - account.last_unit_at > STARVED_AFTER_NS


def refill_wait_s(account: HardLimitAccount, units: float, now: int) -> float:
    """Seconds until its own filling brings that many units; 0 where they are there."""
    if account.plan.ceiling_rate <= 0 or account.owners:
        return 0.0
    return max(0.0, units - account.hard_limit.fill(now)) / max(account.hard_limit.rate, 1e-9)


def transfer_units(account: HardLimitAccount, peer: int, now: int) -> float:
    """Ceiling units moved to a peer with fewer: debited here, credited there, lost with the message."""
    told = account.peer_reports.by_peer.get(peer)
    account.hard_limit.fill(now)
    if account.plan.ceiling_rate <= 0 or told is None or now - told.received_at > REPORT_VALID_NS:
        return 0.0
    if told.entry.hard_limit_level == gossip.NOT_LOW:
        return 0.0
    # What is on its way while the true store is full is beyond it: the slack over the spread bounds that.
    most = account.plan.ceiling_slack / account.spread / 2
    handed = gossip.quantize_units(min(most, (account.hard_limit.level - told.entry.hard_limit_level) / 2))
    account.hard_limit.level -= handed
    told.entry.hard_limit_level += handed
    return handed
