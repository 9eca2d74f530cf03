"""Escrow: units of hard ceilings that move between gateways by being given up first.

A unit is in one bucket, on its way, or lost with a message; so whatever is heard or not, all gateways
together never spend more than their buckets held and filled up with.
"""

from __future__ import annotations

from typing import Protocol

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket
from pepperrun.core.interface import Plan
from pepperrun.core.keepers import HEARD_FOR

LOW = 1.0  # units: with fewer left not even one request can go out
STARVED = SECOND  # without a unit for so long, though peers were asked: they have none to spare


class Purse(Protocol):
    """An account, as far as its hard ceiling goes."""

    plan: Plan
    spread: int
    ceiling: Bucket
    keepers: list[int]
    told: gossip.Heard
    fed_at: int  # when it last had a unit


def hungry(account: Purse, now: int) -> bool:
    """Is there no unit left for a request?"""
    if account.plan.ceiling_rate <= 0 or account.ceiling.fill(now) >= LOW:
        account.fed_at = now
        return False
    return True


def spend(account: Purse, units: float, now: int) -> None:
    """Units go out with a request."""
    account.ceiling.level -= units
    account.fed_at = now


def starved(account: Purse, now: int) -> bool:
    """Has there been no unit for so long that waiting for one is of no use?"""
    return hungry(account, now) and now - account.fed_at > STARVED


def short(account: Purse, units: float, now: int) -> float:
    """Seconds until its own filling brings that many units; 0 where they are there."""
    if account.plan.ceiling_rate <= 0 or account.keepers:
        return 0.0
    return max(0.0, units - account.ceiling.fill(now)) / max(account.ceiling.rate, 1e-9)


def hand_over(account: Purse, peer: int, now: int) -> float:
    """Ceiling units moved to a peer with fewer: debited here, credited there, lost with the message."""
    told = account.told.told.get(peer)
    account.ceiling.fill(now)
    if account.plan.ceiling_rate <= 0 or told is None or now - told.at > HEARD_FOR:
        return 0.0
    if told.entry.ceiling == gossip.FAR:
        return 0.0
    # What is on its way while the true store is full is beyond it: the slack over the spread bounds that.
    most = account.plan.ceiling_slack / account.spread / 2
    handed = gossip.to_wire(min(most, (account.ceiling.level - told.entry.ceiling) / 2))
    account.ceiling.level -= handed
    told.entry.ceiling += handed
    return handed
