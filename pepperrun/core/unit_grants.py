"""Unit grants by owners: where peers are too many to report use to all, two gateways own a customer's quota.

The owners keep the customer's buckets, grant units and share its hard limit. How a request waits for its
units is in `unit_requester`.
"""

from __future__ import annotations

from typing import Any, Protocol

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, DecayingSum
from pepperrun.core.interface import Plan, Settings
from pepperrun.core.membership_status import MembershipStatus
from pepperrun.core.quota_owners import QuotaOwners

LOW_BALANCE_RATIO = 0.75  # a customer's balance is low once a bucket is less full than this
INTAKE_RATIO = 0.6  # of a receiver's message intake, for all its peers together; the rest is for bursts
REPORT_VALID_NS = 5 * SECOND  # how long a peer's report counts; a restart takes a few seconds
# Shares of the hard limit: the first owner grants, the second one while the first is away.
OWNER_SHARES = (0.75, 0.25)
HASH_MULTIPLIER = 2654435761  # multiplicative hash, close to 2**32 / golden ratio: spreads numbers evenly
OVERLOAD_MIN_REQUESTS = 4.0  # fewer unit requests in about a second don't show an overload


def message_interval_of(settings: Settings) -> int:
    """Return how often a gateway may send to each of its peers, in nanoseconds.

    All peers of a gateway together then fill no more than `INTAKE_RATIO` of its message intake.
    """
    intake = max(settings.peer_message_rate, 0.1) * INTAKE_RATIO
    return max(2 * settings.tick_ns, int(max(1, settings.gateways - 1) / intake * SECOND))


class OwnedAccount(Protocol):
    """The fields of an account that owners use."""

    customer: int
    plan_number: int
    first: int
    spread: int
    plan: Plan
    global_bucket: Bucket
    hard_limit: Bucket
    recent_requests: DecayingSum
    granted_at: dict[tuple[int, int], int]
    owners: list[int]
    owed: float
    last_seen_at: int


class QuotaState(Protocol):
    """The accounts of this gateway and its state that grants depend on."""

    settings: Settings
    membership_status: MembershipStatus
    outbox: gossip.Outbox
    attempt_ns_per_unit: float
    message_interval_ns: int
    accounts: dict[int, Any]
    quota_owners: QuotaOwners | None

    def create_account(self, event: gossip.UnitRequest, now: int) -> Any: ...


def owners_of(customer: int, first: int, spread: int, count: int, me: int) -> tuple[list[int], float]:
    """Return the two gateways that own a customer's quota, and this gateway's share of its hard limit."""
    at = customer * HASH_MULTIPLIER % 2**32 * spread >> 32
    owners = [(first + step % spread) % count for step in (at, at + (spread + 1) // 2)]
    return owners, OWNER_SHARES[owners.index(me)] if me in owners else 0.0


class UnitGrants:
    """Requests units from owners, and grants units where this gateway is an owner."""

    def __init__(self, quotas: QuotaState) -> None:
        self.quotas = quotas
        self.unanswered: dict[int, tuple[int, int]] = {}  # owner: timeouts in a row, time of the last

    def owner_of(self, account: OwnedAccount, now: int) -> int:
        """Return the first owner that is present and answers, else the first one.

        An owner doesn't answer if its last two unit requests timed out, the latest within the last second.
        """
        unanswered, absent = (
            [self.unanswered.get(owner, (0, 0)) for owner in account.owners],
            self.quotas.membership_status.absent,
        )
        responsive = [count < 2 or now - at > SECOND for count, at in unanswered]
        responsive = [
            answers and owner not in absent for answers, owner in zip(responsive, account.owners, strict=True)
        ]
        return account.owners[responsive.index(True) if True in responsive else 0]

    def request_units(self, account: OwnedAccount, owner: int, request: int, units: float) -> None:
        """Queue a unit request to an owner and report the units owed with it."""
        owed = gossip.quantize_owed(account.owed)
        account.owed -= owed
        where = (account.plan_number, account.first, account.spread)
        unit_request = gossip.UnitRequest(account.customer, request, units, owed, *where)
        self.quotas.outbox.message_for(owner).unit_requests.append(unit_request)

    def grant(
        self, account: OwnedAccount, peer: int, request: int, units: float, now: int
    ) -> gossip.UnitResponse:
        """As an owner, grant units of the global bucket and this owner's hard limit, or return a wait."""
        plan, hard_limit = account.plan, account.hard_limit
        max_request_rate = min(
            self.quotas.settings.peer_message_rate * INTAKE_RATIO, 2 * plan.rate / max(units, 0.1)
        )
        level, attempt_ns = account.global_bucket.fill(now), self.quotas.attempt_ns_per_unit * units
        account.recent_requests.add(1.0, now)
        account.granted_at = {key: at for key, at in account.granted_at.items() if now - at < SECOND}
        wait_s, over_quota = 0.0, False
        if plan.ceiling_rate <= 0 and (peer, request) in account.granted_at:
            pass  # the response was lost; the units are charged already
        elif not self.quotas.membership_status.may_grant:
            # This gateway was suspended or receives nothing: another one may own the quota by now.
            wait_s = self.quotas.message_interval_ns / SECOND
        elif plan.rate > 0 and level < units:
            over_quota, wait_s = True, max(0.001, (1 - level) / plan.rate)
            if account.recent_requests.value > max(OVERLOAD_MIN_REQUESTS, 1.4 * max_request_rate):
                # Far more is requested than the bucket refills or than the intake allows one customer.
                wait_s = max(wait_s, min(REPORT_VALID_NS / SECOND, account.spread / max_request_rate))
        elif plan.ceiling_rate > 0 and hard_limit.fill(now) < units:
            wait_s = (units - hard_limit.level) / max(hard_limit.rate, 1e-9)
        elif 0 < plan.open_limit <= sum(now - at < attempt_ns for at in account.granted_at.values()):
            wait_s = max(0.001, attempt_ns / SECOND)
        else:
            account.global_bucket.level -= units
            hard_limit.level -= units
            account.granted_at[peer, request] = now
        low_balance, granted_units = level < LOW_BALANCE_RATIO * plan.burst, 0.0 if wait_s else units
        return gossip.UnitResponse(
            account.customer, request, granted_units, int(min(wait_s, 60.0) * 1000), low_balance, over_quota
        )

    def handle_requests(self, peer: int, message: gossip.Message, now: int) -> None:
        """Answer, as an owner, the unit requests in a peer's message."""
        count = self.quotas.settings.gateways
        for unit_request in message.unit_requests:
            if self.quotas.quota_owners is not None:
                response = self.quotas.quota_owners.handle_request(self.quotas, peer, unit_request, now)
                self.quotas.outbox.message_for(peer).unit_responses.append(response)
                continue
            if (
                unit_request.plan >= len(self.quotas.settings.plans)
                or not 0 < unit_request.spread <= count
                or unit_request.first >= count
            ):
                continue
            account = self.quotas.accounts.get(unit_request.customer) or self.quotas.create_account(
                unit_request, now
            )
            if self.quotas.settings.me in account.owners and (peer - account.first) % count < account.spread:
                self.quotas.accounts[unit_request.customer] = account
                account.last_seen_at = now
                level = min(account.global_bucket.depth, account.global_bucket.fill(now) - unit_request.owed)
                # A nonsensical amount from a peer must not lock a customer out for long.
                account.global_bucket.level = max(
                    level, min(account.global_bucket.level, -account.global_bucket.depth)
                )
                if unit_request.units > 0:
                    responses = self.quotas.outbox.message_for(peer).unit_responses
                    responses.append(self.grant(account, peer, unit_request.request, unit_request.units, now))
