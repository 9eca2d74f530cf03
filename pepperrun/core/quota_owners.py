"""Quota keepers: one gatekeeper of each place keeps a part of a tenant's quota, and grants units.

A place is a region, or a zone where there is one region. Which gatekeepers there are to choose from is agreed
on and comes with a number; who of a place keeps a tenant's part follows from the tenant and that list alone
(rendezvous hashing), so a change of the list moves few tenants. Requests ask for their unit at arrival
(`asking`): the keeper of their own place first, the others where that one has none or does not answer.

No two spend the same part, without clocks that agree: a keeper grants only while what it holds is surely
younger than the fence, and one to whom a part comes begins, empty, when fence and grants under way are over.
So whoever had the part before has learnt of the change by then, or stopped. A process that starts waits
likewise: the life before, or whoever kept the part meanwhile, may still have granted a moment ago.
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
GRANT_TTL_NS = SECOND  # a grant is used within this, or asked for again (`Plan.ceiling_slack`)
ABSENT = -1  # the number of a keeper that is not there
UNANSWERED_BACKOFF_NS = SECOND  # a keeper that let an ask go unanswered is passed over for so long
EMPTY_TTL_NS = SECOND  # that a keeper has nothing is believed no longer than this
MAX_EMPTY_ENTRIES = (
    1024  # so many are known before those that are over are forgotten: lives of keepers come and go
)
NOT_OWNER_RETRY_NS = (
    SECOND // 2
)  # who is asked for what it does not keep (now) says so: somebody's list is older
INTAKE_RATIO = 0.6  # part of a keeper's intake that asks for one tenant may fill
OVERLOAD_MIN_REQUESTS = 4.0  # fewer asks than this in about a second say nothing of how much is asked


class ShareAccount(Protocol):
    """An account, as far as quota_keepers go."""

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
    """The higher, the sooner this one keeps it: the same everywhere and after each start."""
    return hashlib.blake2s(b"%d:%s" % (customer, name.encode()), digest_size=8).digest()


class QuotaOwners:
    """Who keeps what, by the lists held, and what is granted here.

    `me`: this station. `near`: names of its own place, the first one that is in the list counts. `fence`:
    what is held may be so old, in ns, for a grant. `fresh(now, ns)`: is it younger? `number(station)`: a
    peer's number, 0 for this one, ABSENT. `plans`: by customer.
    """

    def __init__(
        self,
        me: str,
        near: tuple[str, ...],
        fence: Callable[[], int],
        fresh: Callable[[int, int], bool],
        number: Callable[[str], int],
    ) -> None:
        self.me, self.own_domains, self.fence, self.is_fresh, self.peer_number = (
            me,
            near,
            fence,
            fresh,
            number,
        )
        self.term = 0
        self.memberships: list[tuple[int, Domains]] = []  # since when each holds, in their order; {}: none
        self.plans: Mapping[int, int] = {}
        self.owner_cache: dict[int, dict[str, str]] = {}  # by customer and place, by the newest list
        self.empty_until: dict[tuple[int, int], int] = {}  # customer and keeper: it has nothing until then

    def update(self, listed: Mapping[str, Any] | None, now: int) -> bool:
        """The lists that are now held; True where something of them is new. `settled`: the core has held them
        for so long that whoever kept anything by earlier ones has stopped."""
        listed = listed or {}
        term, settled = (int(listed.get("term", 0)), bool(listed.get("settled")))
        since = now - self.fence() if settled else now
        if self.memberships and self.term == term:
            at, held = self.memberships[-1]
            self.memberships[-1] = min(at, since), held
            return since < at
        places = (listed.get("places") or {}).items()
        new = {place: tuple(stations) for place, stations in sorted(places) if stations}
        if term != self.term + 1:
            # By a membership that was skipped here, another gatekeeper may have owned a share owned here now.
            self.memberships.clear()
        self.term = term
        past = [at for at, _ in self.memberships if now - at > self.takeover_delay_ns()]
        if past:  # of those that are over, one must be known: who kept it then still waits for nobody
            self.memberships = [one for one in self.memberships if one[0] >= past[-1]]
        self.memberships.append((since, new))
        self.owner_cache.clear()
        return True

    def takeover_delay_ns(self) -> int:
        """How long after it learnt that a part is its own a gatekeeper begins with it, ns."""
        return self.fence() + GRANT_TTL_NS

    @property
    def domains(self) -> Domains:
        """The newest list; empty where quotas are not kept so."""
        return self.memberships[-1][1] if self.memberships else {}

    def owners_by_domain(self, customer: int) -> dict[str, str]:
        """By place who keeps a tenant's part."""
        if customer not in self.owner_cache:
            self.owner_cache[customer] = {
                place: max(stations, key=lambda one: rendezvous_weight(customer, one))
                for place, stations in self.domains.items()
            }
        return self.owner_cache[customer]

    def share_starts_at(self, customer: int) -> int | None:
        """From when on a part of this tenant's quota is spent here, ns; None: it is another's."""
        begins, places = None, self.domains
        if self.me not in self.owners_by_domain(customer).values():
            return None
        for at, held in reversed(self.memberships):
            own = next((place for place, stations in held.items() if self.me in stations), None)
            if own is None or len(held) != len(places):
                break
            if max(held[own], key=lambda one: rendezvous_weight(customer, one)) != self.me:
                break
            begins = at
        return None if begins is None else begins + self.takeover_delay_ns()

    def assign(self, account: ShareAccount, now: int) -> float:
        """Whom an account asks, nearest first, and this gatekeeper's part of the hard bound."""
        places = self.domains
        account.peers.clear()
        if not places or account.plan.ceiling_rate <= 0:
            return 0.0  # it has no quota
        kept = self.owners_by_domain(account.customer)
        own = next((name for name in self.own_domains if name in kept), "")
        order = sorted(kept, key=lambda place: (place != own, rendezvous_weight(account.customer, place)))
        account.owners.extend(self.peer_number(kept[place]) for place in order)
        begins = self.share_starts_at(account.customer)
        before, account.hard_limit_starts_at = account.hard_limit_starts_at, begins or 0
        if begins is None:
            account.hard_limit.level = 0.0
            return 0.0
        # What goes on stays as it is; that the list it began by is forgotten meanwhile changes nothing.
        if not before or begins > before and begins > now or begins < before and now < before:
            account.hard_limit.level, account.hard_limit.at = 0.0, begins
        return 1 / len(places)

    # Asking.

    def choose_owner(
        self, account: ShareAccount, missed: Mapping[int, tuple[int, int]], lost: Container[int], now: int
    ) -> int | None:
        """The first keeper that is there, answers and may have something."""
        for keeper in account.owners:
            if keeper == ABSENT or keeper in lost:
                continue
            if now - missed.get(keeper, (0, now - UNANSWERED_BACKOFF_NS))[1] < UNANSWERED_BACKOFF_NS:
                continue
            if self.empty_until.get((account.customer, keeper), now) <= now:
                return keeper
        return None

    def mark_empty(self, account: ShareAccount, keeper: int, wait: int, now: int) -> None:
        """A keeper has nothing for so long, ns."""
        if len(self.empty_until) >= MAX_EMPTY_ENTRIES:
            self.empty_until = {key: at for key, at in self.empty_until.items() if at > now}
        self.empty_until[account.customer, keeper] = now + min(wait, EMPTY_TTL_NS)

    def earliest_refill(self, account: ShareAccount, now: int) -> int:
        """When one of the keepers may have something again; 0 where none has said that it is empty."""
        told = [self.empty_until.get((account.customer, keeper), 0) for keeper in account.owners]
        return min((at for at in told if at > now), default=0)

    # Granting.

    def handle_request(
        self, quotas: AccountTable, peer: int, ask: gossip.UnitRequest, now: int
    ) -> gossip.UnitResponse:
        """To a peer's ask. Plans are numbered otherwise there: the tenant tells it."""
        plan = self.plans.get(ask.customer)
        if plan is None:
            return gossip.UnitResponse(
                ask.customer, ask.request, 0.0, NOT_OWNER_RETRY_NS // 1_000_000, False, False
            )
        account = quotas.accounts.get(ask.customer)
        if account is None:
            known = replace(ask, plan=plan, first=0, spread=quotas.settings.gateways)
            account = quotas.accounts[ask.customer] = quotas.create_account(known, now)
        account.last_seen_at = now
        return self.grant(quotas, account, ask.request, ask.units, now)

    def grant(
        self, quotas: AccountTable, account: ShareAccount, request: int, units: float, now: int
    ) -> gossip.UnitResponse:
        """Units of the store and of this gatekeeper's part of the hard bound, or how long to stay away."""
        wait, plan, settings = 0, account.plan, quotas.settings
        account.recent_requests.add(1.0, now)
        if 0 not in account.owners or not self.is_fresh(now, self.fence()):
            wait = NOT_OWNER_RETRY_NS
        else:
            for bucket in (account.global_bucket, account.hard_limit):
                if bucket.fill(now) < units:
                    lacks = int((units - bucket.level) / max(bucket.rate, 1e-9) * SECOND)
                    wait = max(wait, 1_000_000, lacks, bucket.at - now)
            most = min(settings.peer_message_rate * INTAKE_RATIO, 2 * plan.rate / max(units, 0.1))
            if wait and account.recent_requests.value > max(OVERLOAD_MIN_REQUESTS, 1.4 * most):
                # Far more is asked for than there is: each asks so seldom that the intake takes it.
                wait = max(wait, int(settings.gateways / most * SECOND))
        if not wait:
            account.global_bucket.level -= units
            account.hard_limit.level -= units
        given = 0.0 if wait else units
        return gossip.UnitResponse(
            account.customer, request, given, min(60_000, wait // 1_000_000), False, False
        )
