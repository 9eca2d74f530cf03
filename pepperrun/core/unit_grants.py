"""Keepers: where peers are too many to tell all, two of a customer's gateways keep its store and grant units.

The parts of a hard ceiling are theirs too. What a request does while it is asked for is in `gateway`.
"""

from __future__ import annotations

from typing import Any, Protocol

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, DecayingSum
from pepperrun.core.interface import Plan, Settings
from pepperrun.core.membership_status import MembershipStatus
from pepperrun.core.quota_owners import QuotaOwners

LOW_BALANCE_RATIO = 0.75  # a customer is near its slice once less than this part of the slice is left
INTAKE_RATIO = 0.6  # part of a receiver's intake that all its peers together fill: room for bursts
REPORT_VALID_NS = 5 * SECOND  # what a peer told of a customer stands this long; a restart takes a few seconds
OWNER_SHARES = (0.75, 0.25)  # of a hard ceiling: a customer's first keeper grants, the next while it is away
HASH_MULTIPLIER = 2654435761  # spreads customers over their sets; golden ratio of 32 bits
OVERLOAD_MIN_REQUESTS = 4.0  # fewer asks than this in about a second say nothing of how much is asked


def message_interval_of(settings: Settings) -> int:
    """How often a gateway may tell each of its peers, in nanoseconds: all together fill no intake."""
    intake = max(settings.peer_message_rate, 0.1) * INTAKE_RATIO
    return max(2 * settings.tick_ns, int(max(1, settings.gateways - 1) / intake * SECOND))


class OwnedAccount(Protocol):
    """An account, as keepers see it."""

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
    """The accounts of this gateway, and what it knows."""

    settings: Settings
    membership_status: MembershipStatus
    outbox: gossip.Outbox
    attempt_ns_per_unit: float
    message_interval_ns: int
    accounts: dict[int, Any]
    quota_owners: QuotaOwners | None

    def create_account(self, event: gossip.UnitRequest, now: int) -> Any: ...


def owners_of(customer: int, first: int, spread: int, count: int, me: int) -> tuple[list[int], float]:
    """Which two keep it, and this gateway's part of its hard ceiling."""
    at = customer * HASH_MULTIPLIER % 2**32 * spread >> 32
    keepers = [(first + step % spread) % count for step in (at, at + (spread + 1) // 2)]
    return keepers, OWNER_SHARES[keepers.index(me)] if me in keepers else 0.0


class UnitGrants:
    """Asks keepers for units, and grants them where this gateway is one."""

    def __init__(self, quotas: QuotaState) -> None:
        self.quotas = quotas
        self.unanswered: dict[int, tuple[int, int]] = {}  # keeper: asks unanswered in a row, the last one at

    def owner_of(self, account: OwnedAccount, now: int) -> int:
        """The first keeper that is there and has not let two asks go unanswered within the last second."""
        missed, lost = (
            [self.unanswered.get(keeper, (0, 0)) for keeper in account.owners],
            self.quotas.membership_status.absent,
        )
        heard = [count < 2 or now - at > SECOND for count, at in missed]
        heard = [here and keeper not in lost for here, keeper in zip(heard, account.owners, strict=True)]
        return account.owners[heard.index(True) if True in heard else 0]

    def request_units(self, account: OwnedAccount, keeper: int, request: int, units: float) -> None:
        """Asks a keeper for units, and settles what is owed."""
        owed = gossip.quantize_owed(account.owed)
        account.owed -= owed
        where = (account.plan_number, account.first, account.spread)
        ask = gossip.UnitRequest(account.customer, request, units, owed, *where)
        self.quotas.outbox.message_for(keeper).unit_requests.append(ask)

    def grant(
        self, account: OwnedAccount, peer: int, request: int, units: float, now: int
    ) -> gossip.UnitResponse:
        """As a keeper: units of the store and of this keeper's part of the ceiling, or how long to wait."""
        plan, ceiling = account.plan, account.hard_limit
        most = min(self.quotas.settings.peer_message_rate * INTAKE_RATIO, 2 * plan.rate / max(units, 0.1))
        level, took = account.global_bucket.fill(now), self.quotas.attempt_ns_per_unit * units
        account.recent_requests.add(1.0, now)
        account.granted_at = {key: at for key, at in account.granted_at.items() if now - at < SECOND}
        wait_s, beyond = 0.0, False
        if plan.ceiling_rate <= 0 and (peer, request) in account.granted_at:
            pass  # the answer was lost; the units are charged already
        elif not self.quotas.membership_status.may_grant:
            wait_s = (
                self.quotas.message_interval_ns / SECOND
            )  # it stood still, or nobody hears it: another may keep the store
        elif plan.rate > 0 and level < units:
            beyond, wait_s = True, max(0.001, (1 - level) / plan.rate)
            if account.recent_requests.value > max(OVERLOAD_MIN_REQUESTS, 1.4 * most):
                # Far more is asked than the store can give, or than the intake takes beside other customers.
                wait_s = max(wait_s, min(REPORT_VALID_NS / SECOND, account.spread / most))
        elif plan.ceiling_rate > 0 and ceiling.fill(now) < units:
            wait_s = (units - ceiling.level) / max(ceiling.rate, 1e-9)
        elif 0 < plan.open_limit <= sum(now - at < took for at in account.granted_at.values()):
            wait_s = max(0.001, took / SECOND)
        else:
            account.global_bucket.level -= units
            ceiling.level -= units
            account.granted_at[peer, request] = now
        near, given = level < LOW_BALANCE_RATIO * plan.burst, 0.0 if wait_s else units
        return gossip.UnitResponse(
            account.customer, request, given, int(min(wait_s, 60.0) * 1000), near, beyond
        )

    def handle_requests(self, peer: int, message: gossip.Message, now: int) -> None:
        """Grants, as a keeper, what a peer asks for."""
        count = self.quotas.settings.gateways
        for ask in message.unit_requests:
            if self.quotas.quota_owners is not None:
                told = self.quotas.quota_owners.handle_request(self.quotas, peer, ask, now)
                self.quotas.outbox.message_for(peer).unit_responses.append(told)
                continue
            if (
                ask.plan >= len(self.quotas.settings.plans)
                or not 0 < ask.spread <= count
                or ask.first >= count
            ):
                continue
            account = self.quotas.accounts.get(ask.customer) or self.quotas.create_account(ask, now)
            if self.quotas.settings.me in account.owners and (peer - account.first) % count < account.spread:
                self.quotas.accounts[ask.customer] = account
                account.last_seen_at = now
                level = min(account.global_bucket.depth, account.global_bucket.fill(now) - ask.owed)
                # A figure out of all range must not shut a customer out for long.
                account.global_bucket.level = max(
                    level, min(account.global_bucket.level, -account.global_bucket.depth)
                )
                if ask.units > 0:
                    answers = self.quotas.outbox.message_for(peer).unit_responses
                    answers.append(self.grant(account, peer, ask.request, ask.units, now))
