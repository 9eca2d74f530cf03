"""The store that refuses use beyond a customer's quota, fed by peers, and its parts of hard ceilings."""

from __future__ import annotations

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, DecayingSum
from pepperrun.core.interface import Request, Settings
from pepperrun.core.membership_status import NO_MEMBERSHIP
from pepperrun.core.quota_owners import QuotaOwners
from pepperrun.core.unit_grants import (
    LOW_BALANCE_RATIO,
    REPORT_VALID_NS,
    UnitGrants,
    message_interval_of,
    owners_of,
)
from pepperrun.core.unit_transfers import MIN_UNITS, is_exhausted, transfer_units

USE_HALF_LIFE_NS = 2 * SECOND  # U_i: long against a request, short against a spell of load
REPORT_INTERVAL_NS = (
    SECOND  # heartbeats, answers to peers that ask, and how long use that grew counts as active
)
IN_FLIGHT_VALID_NS = SECOND // 4  # told attempts out are old after about the time that an attempt takes
PROMPT_REPORT_RATIO = 1 / 8  # of the room left: use below it is told within TELL_EACH, not at once
DIRECT_MAX_INTERVAL_NS = (
    SECOND // 2
)  # peers tell each other directly if their messages fit the intake this often


class Account:
    """A customer's quota as this gateway sees it, and its queue."""

    def __init__(self, event: Request | gossip.UnitRequest, now: int, quotas: Quotas) -> None:
        self.customer, self.plan_number, self.first, self.quotas = (
            event.customer,
            event.plan,
            event.first,
            quotas,
        )
        self.spread, self.configured_spread, self.hard_limit_starts_at = (
            event.spread,
            event.spread,
            quotas.started_at,
        )
        # Full: most use a part of their quota. One that does not know the others yet has its part of that.
        self.global_bucket, self.local_bucket = Bucket(0.0, 0.0, 0.0, now), Bucket(0.0, 0.0, 0.0, now)
        self.hard_limit = Bucket(0.0, 0.0, 0.0, now)
        self.update_shares(now)
        # The hard slice starts empty when this gateway starts: the one before it may have spent it (rule 5).
        self.hard_limit.at = self.hard_limit_starts_at
        self.global_bucket.level = self.global_bucket.depth / (
            self.spread if quotas.membership_status.local_share_only else 1
        )
        self.local_bucket.level = self.local_bucket.depth
        self.owed = 0.0  # units used without asking a keeper, less those given back
        self.low_balance_reported, self.rejected_until = False, now  # what a keeper last told of it
        self.recent_requests = DecayingSum(SECOND, now)  # asks, where this gateway is keeper
        self.granted_at: dict[tuple[int, int], int] = {}  # as keeper: peer and request, when granted
        # Not from 0: peers remember the count of an account that was dropped, and a lower one gives back.
        self.total_units, self.unreported_units = quotas.max_dropped_total, 0.0
        self.attempts_in_flight, self.last_seen_at, self.message_interval_ns, self.last_unit_at = (
            0,
            now,
            quotas.message_interval_ns,
            now,
        )
        self.reported_at = self.reporting_since = quotas.started_at - REPORT_VALID_NS
        self.peer_reports, self.requesting_peers = (
            gossip.PeerReports(),
            set[int](),
        )  # and peers that are short of units
        self.recent_use = DecayingSum(USE_HALF_LIFE_NS, now)

    def update_shares(self, now: int) -> None:
        """Its parts among the gateways that it comes through, anew where their number has changed."""
        quotas, plan = self.quotas, self.quotas.settings.plans[self.plan_number]
        count, me = quotas.settings.gateways, quotas.settings.me
        self.plan, self.spread = plan, min(self.configured_spread, count) if quotas.members is None else count
        self.weight = plan.rate or plan.open_limit or 1.0  # no rate: the open limit stands in, else one
        self.peers, self.owners, hard = (
            list[int](),
            list[int](),
            1 / max(self.spread, quotas.settings.min_quota_shares),
        )
        if quotas.members is not None:
            self.peers = list(quotas.members)
            hard = quotas.quota_owners.assign(self, now) if quotas.quota_owners else hard
        elif quotas.reports_directly:
            members = [(self.first + step) % count for step in range(self.spread)]
            self.peers = [peer for peer in members if peer != me]
        elif self.spread > 1:
            self.owners, hard = owners_of(self.customer, self.first, self.spread, count, me)
        # The second keeper's store stays small: no change of keepers grants another burst.
        small = max(plan.rate, quotas.settings.max_units) if me in self.owners[1:] else plan.burst
        part = 1 / self.spread
        for bucket, rate, depth in (
            (self.global_bucket, plan.rate, min(plan.burst, small)),
            (self.local_bucket, plan.rate * part, plan.burst * part),
            (self.hard_limit, plan.ceiling_rate * hard, plan.ceiling_depth * hard),
        ):
            bucket.fill(now)
            bucket.rate, bucket.depth, bucket.level = rate, depth, min(depth, bucket.level)

    def is_low(self, now: int) -> bool:
        if (
            self.plan.ceiling_rate > 0
            and self.hard_limit.fill(now) < LOW_BALANCE_RATIO * self.hard_limit.depth
        ):
            return True
        return (
            self.local_bucket.fill(now) < LOW_BALANCE_RATIO * self.local_bucket.depth
            or self.plan.open_limit > 0
            and self.attempts_in_flight > 0
        )

    def available_units(self, now: int) -> float:
        """Units that this gateway may send on before it hears more."""
        answered = (
            self.reporting_since + 2 * self.message_interval_ns <= now
            and now - self.reported_at < REPORT_VALID_NS
        )
        heard = self.peer_reports.received_since(now - REPORT_VALID_NS)
        if self.spread > 1 and (self.quotas.membership_status.local_share_only or not answered and not heard):
            # A full slice may be smaller than one request; it pays for one all the same and owes the rest.
            return (
                self.local_bucket.fill(now)
                if self.local_bucket.level < self.local_bucket.depth
                else self.plan.burst
            )
        room = self.global_bucket.fill(now)
        if self.plan.over_quota_cost <= 0:
            return room  # what two let go at once costs nothing
        # The rest is split by use: each leaves the others what they will use before it hears of it.
        return room - sum(told.estimated_unreported(now, 2 * self.message_interval_ns) for told in heard)

    def within_quota(self, units: float, now: int) -> bool:
        return self.plan.rate <= 0 or self.available_units(now) >= units

    def within_limits(self, units: float, now: int) -> bool:
        """Do the ceiling and the limit on attempts out let it go? Own part unheard, else less the told."""
        if self.owners:
            return True  # they let it go
        fresh = [
            told.entry.attempts_in_flight
            for told in self.peer_reports.received_since(now - IN_FLIGHT_VALID_NS)
        ]
        most = self.plan.open_limit - sum(fresh) if fresh else self.plan.open_limit // self.spread
        if self.plan.open_limit > 0 and self.attempts_in_flight >= max(1, most):
            return False
        return self.plan.ceiling_rate <= 0 or self.hard_limit.fill(now) >= units

    def charge(self, units: float, now: int) -> None:
        for bucket in (
            self.global_bucket,
            self.local_bucket,
        ):  # what is given back does not fill it beyond its depth
            bucket.level = min(bucket.depth, bucket.fill(now) - units)
        self.total_units += units
        self.unreported_units += units


class Quotas:
    """The store that refuses use beyond the quota, fed by peers."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.accounts: dict[int, Account] = {}
        self.dirty: dict[int, None] = {}
        self.started_at = self.heartbeat_at = 0
        self.members: tuple[int, ...] | None = None  # the peers that are there, where they come and go
        self.max_dropped_total = 0.0  # no account dropped so far had counted more
        self.handed_over = (
            False  # another process of this gatekeeper decides: no store fills, no peer is told
        )
        self.message_interval_ns = message_interval_of(settings)
        self.reports_directly = (
            self.message_interval_ns <= DIRECT_MAX_INTERVAL_NS or not settings.peer_messages
        )
        self.attempt_ns_per_unit = 0.0  # how long an attempt takes for each unit, as seen by the fleet
        self.inbox, self.outbox = gossip.Inbox(), gossip.Outbox()
        self.membership_status = NO_MEMBERSHIP  # what membership, where it is on, knows of the others
        self.unit_grants = UnitGrants(self)
        self.quota_owners: QuotaOwners | None = None  # who keeps a tenant's part in each place

    def update_settings(self, settings: Settings, now: int) -> None:
        """Plans that came to those known, another number of gateways: each account's parts follow."""
        self.settings, self.message_interval_ns = settings, message_interval_of(settings)
        for account in self.accounts.values():
            account.update_shares(now)

    def create_account(self, event: Request | gossip.UnitRequest, now: int) -> Account:
        """A new one for the customer of a request, or of a peer's ask."""
        return Account(event, now, self)

    def reconcile(self, account: Account, units: float, now: int) -> None:
        """Units found used, or with a minus not used, after the grant: to the store here or to the keeper."""
        if not account.owners:
            account.charge(units, now)
            self.dirty[account.customer] = None
        elif (keeper := self.unit_grants.owner_of(account, now)) == self.settings.me:
            account.global_bucket.level = min(
                account.global_bucket.depth, account.global_bucket.fill(now) - units
            )
        else:
            account.owed += units
            if account.low_balance_reported:
                self.unit_grants.request_units(account, keeper, 0, 0.0)

    def receive(self, peer: int, data: bytes, now: int) -> gossip.Message | None:
        """Takes in a peer's message and gives it back, or None where it is not to be taken in."""
        there = range(self.settings.gateways) if self.members is None else self.members
        message = self.inbox.accept(peer, data, now) if peer in there and peer != self.settings.me else None
        if message is None:
            return None
        self.unit_grants.unanswered.pop(peer, None)
        self.unit_grants.handle_requests(peer, message, now)
        for entry in message.entries:
            account = self.accounts.get(entry.customer)
            if account is None or peer not in account.peers:
                continue
            used = account.peer_reports.record(peer, message.incarnation, entry, now)
            account.global_bucket.fill(now)
            left = max(account.global_bucket.level - used, min(0.0, account.global_bucket.level))
            account.global_bucket.level = min(account.global_bucket.depth, left)
            ceiling = account.hard_limit
            if message.receiver_incarnation == self.outbox.incarnation and ceiling.fill(now) < ceiling.depth:
                ceiling.level = min(ceiling.depth, ceiling.level + entry.transferred_units)
            if entry.hard_limit_level < MIN_UNITS <= ceiling.level and self.members is not None:
                account.requesting_peers.add(peer)
            if now - account.reported_at > REPORT_INTERVAL_NS or account.requesting_peers:
                self.dirty[account.customer] = None
        return message

    def send_reports(self, now: int) -> None:
        """Each peer hears of the customers that it shares, when they are near and there is news."""
        if self.handed_over:
            return
        dirty, self.dirty = self.dirty, {}
        for customer in dirty:
            account = self.accounts.get(customer)
            if account is None or not account.peers:
                continue
            if not account.is_low(now) and not account.peer_reports.received_since(now - REPORT_VALID_NS):
                continue
            # Where members come and go a hard bound stands behind the store: use need not be told at once.
            news = self.members is None and abs(account.unreported_units) > PROMPT_REPORT_RATIO * max(
                0.0, account.global_bucket.fill(now)
            )
            want = self.members is not None and is_exhausted(account, now)
            wide = news or now - account.reported_at >= (
                REPORT_INTERVAL_NS // 4 if want else REPORT_INTERVAL_NS
            )
            if not wide and not account.requesting_peers:
                if account.unreported_units:
                    self.dirty[customer] = None
                continue
            peers = (
                account.peers if wide else sorted(account.requesting_peers)
            )  # who asks for units has them at once
            account.requesting_peers.clear()
            if wide:
                account.reporting_since = (
                    now if now - account.reported_at >= REPORT_VALID_NS else account.reporting_since
                )
                account.unreported_units, account.reported_at = 0.0, now
            debt = max(0.0, account.local_bucket.depth - account.local_bucket.fill(now))
            for peer in peers:
                handed, level = transfer_units(account, peer, now), max(0.0, account.hard_limit.level)
                if handed <= 0 and level >= LOW_BALANCE_RATIO * account.hard_limit.depth:
                    level = gossip.NOT_LOW
                entry = gossip.UsageEntry(
                    customer, account.total_units, debt, level, handed, account.attempts_in_flight
                )
                self.outbox.message_for(peer).entries.append(entry)
        if now - self.heartbeat_at >= (REPORT_INTERVAL_NS if self.members is None else REPORT_VALID_NS // 2):
            self.heartbeat_at = now
            everybody = range(self.settings.gateways) if self.members is None else self.members
            for peer in everybody if self.quota_owners is None else ():
                if peer != self.settings.me:
                    self.outbox.message_for(peer)

    def refresh(self, now: int) -> None:
        """Peers gone quiet count as their slice; accounts that forgetting does not change are dropped."""
        if self.handed_over:
            return
        late = {
            p
            for p, known in self.inbox.peers.items()
            if self.reports_directly and now - known[2] > REPORT_VALID_NS
        }
        late &= late if self.members is None else set(self.members)
        # The larger side has the whole, the smaller one its members' slices.
        quiet = self.membership_status.unreachable if self.membership_status.tracks_unreachable else late
        for account in list(self.accounts.values()):
            if self.quota_owners is None and (quiet or account.global_bucket.rate != account.plan.rate):
                account.global_bucket.fill(now)
                lost = sum((p - account.first) % self.settings.gateways < account.spread for p in quiet)
                account.global_bucket.rate = account.plan.rate * (1 - lost / account.spread)
            buckets = [account.global_bucket, account.local_bucket] + [account.hard_limit] * (
                account.plan.ceiling_rate > 0
            )
            full = all(bucket.fill(now) >= bucket.depth for bucket in buckets)
            if full and not account.attempts_in_flight and now - account.last_seen_at > REPORT_VALID_NS:
                self.max_dropped_total = max(self.max_dropped_total, account.total_units)
                del self.accounts[account.customer]
