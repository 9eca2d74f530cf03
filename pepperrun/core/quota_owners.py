"""Quota owners: one gatekeeper of each domain owns a share of a tenant's quota and grants its units.

A domain is a failure domain: a region, or a zone if there is only one region. The membership of the domains
is agreed on by consensus and comes with a term. Which member of a domain owns a tenant's share follows from
the tenant and that membership alone (rendezvous hashing), so a change of membership moves few tenants. A
request asks for its unit at arrival (`unit_requester`): first the owner in its own domain, then the others if
that one has no units or doesn't respond.

Two gatekeepers never spend the same share, and this needs no synchronised clocks. An owner grants only while
its state is certainly younger than the fence. A new owner starts with an empty bucket, once the fence and the
lifetime of grants in flight have passed. By then the previous owner has learned of the change or has stopped
granting. A process that starts waits in the same way: its previous incarnation, or whoever owned the share
meanwhile, may have granted units a moment ago.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Container, Mapping
from dataclasses import replace
from typing import Any, Protocol

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, DecayingSum
from pepperrun.core.interface import Plan, Settings

Domains = dict[str, tuple[str, ...]]
GRANT_TTL_NS = SECOND  # a grant is used within this time or requested again (`Plan.ceiling_slack`)
ABSENT = -1  # number of an owner that is not present
UNANSWERED_BACKOFF_NS = SECOND  # an owner that left a unit request unanswered is skipped for so long
EMPTY_TTL_NS = SECOND  # how long an owner counts as empty at most
MAX_EMPTY_ENTRIES = 1024  # expired entries are dropped at this size, as owners' incarnations come and go
# Wait in the response of a gatekeeper that isn't the owner now: one side has an outdated membership.
NOT_OWNER_RETRY_NS = SECOND // 2
INTAKE_RATIO = 0.6  # of an owner's message intake, for the unit requests of one tenant
OVERLOAD_MIN_REQUESTS = 4.0  # fewer unit requests in about a second don't show an overload


class ShareAccount(Protocol):
    """The fields of an account that quota owners use."""

    customer: int
    plan: Plan
    hard_limit: Bucket
    global_bucket: Bucket
    peers: list[int]
    owners: list[int]
    recent_requests: DecayingSum
    hard_limit_starts_at: int
    last_seen_at: int


class AccountTable(Protocol):
    """The accounts of this gatekeeper."""

    settings: Settings
    accounts: dict[int, Any]

    def create_account(self, event: gossip.UnitRequest, now: int) -> Any: ...


def rendezvous_weight(customer: int, name: str) -> bytes:
    """Return the weight of a gatekeeper for a customer; the highest in a domain owns the share.

    The same everywhere and after each start.
    """
    return hashlib.blake2s(b"%d:%s" % (customer, name.encode()), digest_size=8).digest()


class QuotaOwners:
    """Who owns which share by the memberships known here, and what this gatekeeper grants as an owner.

    `me`: this station. `own_domains`: names of its own domain; the first one in the membership counts.
    `fence`: the maximum age of the known state, in ns, at which units are granted. `is_fresh(now, ns)`:
    whether that state is younger than `ns`. `peer_number(station)`: a peer's number, 0 for this one, or
    `ABSENT`. `plans`: plan numbers by customer.
    """

    def __init__(
        self,
        me: str,
        own_domains: tuple[str, ...],
        fence: Callable[[], int],
        is_fresh: Callable[[int, int], bool],
        peer_number: Callable[[str], int],
    ) -> None:
        self.me, self.own_domains, self.fence, self.is_fresh, self.peer_number = (
            me,
            own_domains,
            fence,
            is_fresh,
            peer_number,
        )
        self.term = 0
        self.memberships: list[tuple[int, Domains]] = []  # start time and members, oldest first; {}: none
        self.plans: Mapping[int, int] = {}
        self.owner_cache: dict[int, dict[str, str]] = {}  # by customer and domain, of the newest membership
        self.empty_until: dict[tuple[int, int], int] = {}  # by customer and owner

    def update(self, membership: Mapping[str, Any] | None, now: int) -> bool:
        """Take over the membership in force; return True if that changes anything.

        `settled` in it: the control nodes have had this membership for so long that every owner by an earlier
        one has stopped granting.
        """
        membership = membership or {}
        term, settled = (int(membership.get("term", 0)), bool(membership.get("settled")))
        since = now - self.fence() if settled else now
        if self.memberships and self.term == term:
            at, members = self.memberships[-1]
            self.memberships[-1] = min(at, since), members
            return since < at
        domains = (membership.get("places") or {}).items()
        new = {domain: tuple(stations) for domain, stations in sorted(domains) if stations}
        if term != self.term + 1:
            # By a membership that was skipped here, another gatekeeper may have owned a share owned here now.
            self.memberships.clear()
        self.term = term
        expired = [at for at, _ in self.memberships if now - at > self.takeover_delay_ns()]
        # Keeps the newest one that is older than the delay: its owner doesn't wait again.
        if expired:
            self.memberships = [one for one in self.memberships if one[0] >= expired[-1]]
        self.memberships.append((since, new))
        self.owner_cache.clear()
        return True

    def takeover_delay_ns(self) -> int:
        """Return how long a gatekeeper waits, in ns, after it learned that a share is its own."""
        return self.fence() + GRANT_TTL_NS

    @property
    def domains(self) -> Domains:
        """The newest membership: stations by domain; empty if quotas have no owners."""
        return self.memberships[-1][1] if self.memberships else {}

    def owners_by_domain(self, customer: int) -> dict[str, str]:
        """Return the owner of a tenant's share in each domain."""
        if customer not in self.owner_cache:
            self.owner_cache[customer] = {
                domain: max(stations, key=lambda one: rendezvous_weight(customer, one))
                for domain, stations in self.domains.items()
            }
        return self.owner_cache[customer]

    def share_starts_at(self, customer: int) -> int | None:
        """Return from when on a share of this tenant's quota is spent here, ns; None if others own all."""
        starts_at, domains = None, self.domains
        if self.me not in self.owners_by_domain(customer).values():
            return None
        for at, members in reversed(self.memberships):
            own_domain = next((domain for domain, stations in members.items() if self.me in stations), None)
            if own_domain is None or len(members) != len(domains):
                break
            if max(members[own_domain], key=lambda one: rendezvous_weight(customer, one)) != self.me:
                break
            starts_at = at
        return None if starts_at is None else starts_at + self.takeover_delay_ns()

    def assign(self, account: ShareAccount, now: int) -> float:
        """Set an account's owners, nearest first, and return this gatekeeper's share of the hard limit.

        Empties the hard limit bucket if this gatekeeper owns no share or newly owns one.
        """
        domains = self.domains
        account.peers.clear()
        if not domains or account.plan.ceiling_rate <= 0:
            return 0.0  # no quota
        owners = self.owners_by_domain(account.customer)
        own_domain = next((name for name in self.own_domains if name in owners), "")
        nearest_first = sorted(
            owners, key=lambda domain: (domain != own_domain, rendezvous_weight(account.customer, domain))
        )
        account.owners.extend(self.peer_number(owners[domain]) for domain in nearest_first)
        starts_at = self.share_starts_at(account.customer)
        previous_start, account.hard_limit_starts_at = account.hard_limit_starts_at, starts_at or 0
        if starts_at is None:
            account.hard_limit.level = 0.0
            return 0.0
        # A share that stays here keeps its level, even if the membership by which it started was dropped.
        if (
            not previous_start
            or starts_at > previous_start
            and starts_at > now
            or starts_at < previous_start
            and now < previous_start
        ):
            account.hard_limit.level, account.hard_limit.at = 0.0, starts_at
        return 1 / len(domains)

    # Requesting units.

    def choose_owner(
        self,
        account: ShareAccount,
        unanswered: Mapping[int, tuple[int, int]],
        absent: Container[int],
        now: int,
    ) -> int | None:
        """Return the first owner that is present, responds and may have units; None if there is none."""
        for owner in account.owners:
            if owner == ABSENT or owner in absent:
                continue
            if now - unanswered.get(owner, (0, now - UNANSWERED_BACKOFF_NS))[1] < UNANSWERED_BACKOFF_NS:
                continue
            if self.empty_until.get((account.customer, owner), now) <= now:
                return owner
        return None

    def mark_empty(self, account: ShareAccount, owner: int, wait_ns: int, now: int) -> None:
        """Record that an owner has no units for `wait_ns`, capped at `EMPTY_TTL_NS`."""
        if len(self.empty_until) >= MAX_EMPTY_ENTRIES:
            self.empty_until = {key: at for key, at in self.empty_until.items() if at > now}
        self.empty_until[account.customer, owner] = now + min(wait_ns, EMPTY_TTL_NS)

    def earliest_refill(self, account: ShareAccount, now: int) -> int:
        """Return when the first of the empty owners may have units again, ns; 0 if none is empty."""
        empty_until = [self.empty_until.get((account.customer, owner), 0) for owner in account.owners]
        return min((at for at in empty_until if at > now), default=0)

    # Granting units.

    def handle_request(
        self, quotas: AccountTable, peer: int, unit_request: gossip.UnitRequest, now: int
    ) -> gossip.UnitResponse:
        """Answer a peer's unit request; the tenant decides the plan, as peers number plans differently."""
        plan = self.plans.get(unit_request.customer)
        if plan is None:
            return gossip.UnitResponse(
                unit_request.customer,
                unit_request.request,
                0.0,
                NOT_OWNER_RETRY_NS // 1_000_000,
                False,
                False,
            )
        account = quotas.accounts.get(unit_request.customer)
        if account is None:
            known = replace(unit_request, plan=plan, first=0, spread=quotas.settings.gateways)
            account = quotas.accounts[unit_request.customer] = quotas.create_account(known, now)
        account.last_seen_at = now
        return self.grant(quotas, account, unit_request.request, unit_request.units, now)

    def grant(
        self, quotas: AccountTable, account: ShareAccount, request: int, units: float, now: int
    ) -> gossip.UnitResponse:
        """Grant units of the global bucket and this gatekeeper's hard limit share, or return a wait."""
        wait, plan, settings = 0, account.plan, quotas.settings
        account.recent_requests.add(1.0, now)
        if 0 not in account.owners or not self.is_fresh(now, self.fence()):
            wait = NOT_OWNER_RETRY_NS
        else:
            for bucket in (account.global_bucket, account.hard_limit):
                if bucket.fill(now) < units:
                    shortfall_ns = int((units - bucket.level) / max(bucket.rate, 1e-9) * SECOND)
                    wait = max(wait, 1_000_000, shortfall_ns, bucket.at - now)
            max_request_rate = min(settings.peer_message_rate * INTAKE_RATIO, 2 * plan.rate / max(units, 0.1))
            if wait and account.recent_requests.value > max(OVERLOAD_MIN_REQUESTS, 1.4 * max_request_rate):
                # Far more is requested than there is: each peer slows down until the intake suffices.
                wait = max(wait, int(settings.gateways / max_request_rate * SECOND))
        if not wait:
            account.global_bucket.level -= units
            account.hard_limit.level -= units
        granted_units = 0.0 if wait else units
        return gossip.UnitResponse(
            account.customer, request, granted_units, min(60_000, wait // 1_000_000), False, False
        )
