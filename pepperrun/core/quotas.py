"""Enforces customers' quotas: rejects use beyond them, exchanges use with peers, and splits hard limits.

A quota (`Plan.rate`, `Plan.burst`) is one bucket for all gateways together. Each gateway keeps its own view
of this global bucket, fed by the reports of its peers, and a local bucket with its slice of the quota (an
equal share) for times without reports. A hard limit (`Plan.ceiling_rate`, `Plan.ceiling_depth`) is a ceiling
that holds whichever messages are lost: it is split into shares, and each gateway spends only its own.
"""

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

# Half-life of recent use: much longer than a request, much shorter than a burst of load.
USE_HALF_LIFE_NS = 2 * SECOND
# Interval of heartbeats and of answers to requesting peers, and how long increased use counts as active.
REPORT_INTERVAL_NS = SECOND
IN_FLIGHT_VALID_NS = SECOND // 4  # reported attempts in flight are outdated after about one attempt's time
# Of the units left in the global bucket. With a fixed set of gateways, unreported use above it is reported to
# all peers with the next message, less use only once per `REPORT_INTERVAL_NS`.
PROMPT_REPORT_RATIO = 1 / 8
DIRECT_MAX_INTERVAL_NS = SECOND // 2  # peers report directly if their intake allows messages this often


class Account:
    """A customer's quota as this gateway sees it: its buckets, and what peers and owners reported."""

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
        # `update_shares` sets the buckets' rates and depths; their levels are set after it.
        self.global_bucket, self.local_bucket = Bucket(0.0, 0.0, 0.0, now), Bucket(0.0, 0.0, 0.0, now)
        self.hard_limit = Bucket(0.0, 0.0, 0.0, now)
        self.update_shares(now)
        # The hard limit bucket is empty at the start of this process (with quota owners: of its share) and
        # fills from then on, as the previous incarnation or owner may have spent units until then.
        self.hard_limit.at = self.hard_limit_starts_at
        # The global and the local bucket start full, as most customers use only a part of their quota. A
        # gateway that doesn't know the others yet starts the global bucket with its own share only.
        self.global_bucket.level = self.global_bucket.depth / (
            self.spread if quotas.membership_status.local_share_only else 1
        )
        self.local_bucket.level = self.local_bucket.depth
        self.owed = 0.0  # units used without a grant, less those given back
        # `low_balance_reported`: the last response of an owner reported a low balance. `rejected_until`: new
        # requests are rejected until then, as the owners had no units.
        self.low_balance_reported, self.rejected_until = False, now
        self.recent_requests = DecayingSum(SECOND, now)  # unit requests received as an owner
        self.granted_at: dict[tuple[int, int], int] = {}  # as an owner: by peer and request
        # Not from 0: peers remember the count of a dropped account, and a lower one would give units back.
        self.total_units, self.unreported_units = quotas.max_dropped_total, 0.0
        self.attempts_in_flight, self.last_seen_at, self.message_interval_ns, self.last_unit_at = (
            0,
            now,
            quotas.message_interval_ns,
            now,
        )
        self.reported_at = self.reporting_since = quotas.started_at - REPORT_VALID_NS
        # Requesting peers: those short of hard limit units.
        self.peer_reports, self.requesting_peers = gossip.PeerReports(), set[int]()
        self.recent_use = DecayingSum(USE_HALF_LIFE_NS, now)

    def update_shares(self, now: int) -> None:
        """Recompute this gateway's shares, peers and owners from the plan and the number of gateways.

        Keeps the buckets' levels, as far as the new depths allow.
        """
        quotas, plan = self.quotas, self.quotas.settings.plans[self.plan_number]
        count, me = quotas.settings.gateways, quotas.settings.me
        self.plan, self.spread = plan, min(self.configured_spread, count) if quotas.members is None else count
        self.weight = plan.rate or plan.open_limit or 1.0  # without a rate the concurrency limit, else 1
        self.peers, self.owners, hard_share = (
            list[int](),
            list[int](),
            1 / max(self.spread, quotas.settings.min_quota_shares),
        )
        if quotas.members is not None:
            self.peers = list(quotas.members)
            hard_share = quotas.quota_owners.assign(self, now) if quotas.quota_owners else hard_share
        elif quotas.reports_directly:
            members = [(self.first + step) % count for step in range(self.spread)]
            self.peers = [peer for peer in members if peer != me]
        elif self.spread > 1:
            self.owners, hard_share = owners_of(self.customer, self.first, self.spread, count, me)
        # The second owner's global bucket stays small, so that a change of owner grants no further burst.
        max_burst = max(plan.rate, quotas.settings.max_units) if me in self.owners[1:] else plan.burst
        share = 1 / self.spread
        for bucket, rate, depth in (
            (self.global_bucket, plan.rate, min(plan.burst, max_burst)),
            (self.local_bucket, plan.rate * share, plan.burst * share),
            (self.hard_limit, plan.ceiling_rate * hard_share, plan.ceiling_depth * hard_share),
        ):
            bucket.fill(now)
            bucket.rate, bucket.depth, bucket.level = rate, depth, min(depth, bucket.level)

    def needs_reporting(self, now: int) -> bool:
        """Return whether peers need reports on this account.

        They do if a bucket is low, or attempts in flight count against a concurrency limit.
        """
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
        """Return the units that this gateway may use before it receives further reports."""
        peers_had_time_to_report = (
            self.reporting_since + 2 * self.message_interval_ns <= now
            and now - self.reported_at < REPORT_VALID_NS
        )
        reports = self.peer_reports.received_since(now - REPORT_VALID_NS)
        if self.spread > 1 and (
            self.quotas.membership_status.local_share_only or not peers_had_time_to_report and not reports
        ):
            # A request may need more units than the local bucket's depth. So a full bucket admits a request
            # of up to the burst. `charge` may take the level below 0, and further requests are refused until
            # enough units are refilled.
            return (
                self.local_bucket.fill(now)
                if self.local_bucket.level < self.local_bucket.depth
                else self.plan.burst
            )
        available = self.global_bucket.fill(now)
        if self.plan.over_quota_cost <= 0:
            return available  # use beyond the quota by two gateways at once costs nothing
        # Each gateway leaves its peers the units that they will use before it receives their next reports.
        return available - sum(
            report.estimated_unreported(now, 2 * self.message_interval_ns) for report in reports
        )

    def within_quota(self, units: float, now: int) -> bool:
        """Return whether the quota has so many units left here; always True for a plan without a rate."""
        return self.plan.rate <= 0 or self.available_units(now) >= units

    def within_limits(self, units: float, now: int) -> bool:
        """Return whether the hard limit and the concurrency limit let a request of so many units go.

        Of the concurrency limit, this gateway has what its peers' recent reports leave. Without such reports
        it has its share.
        """
        if self.owners:
            return True  # the owners have granted it
        in_flight = [
            report.entry.attempts_in_flight
            for report in self.peer_reports.received_since(now - IN_FLIGHT_VALID_NS)
        ]
        limit = self.plan.open_limit - sum(in_flight) if in_flight else self.plan.open_limit // self.spread
        if self.plan.open_limit > 0 and self.attempts_in_flight >= max(1, limit):
            return False
        return self.plan.ceiling_rate <= 0 or self.hard_limit.fill(now) >= units

    def charge(self, units: float, now: int) -> None:
        """Take units out of the global and local buckets, or give them back if negative."""
        # Units given back don't fill a bucket beyond its depth.
        for bucket in (self.global_bucket, self.local_bucket):
            bucket.level = min(bucket.depth, bucket.fill(now) - units)
        self.total_units += units
        self.unreported_units += units


class Quotas:
    """All customers' accounts of this gateway, and the exchange of reports about them with its peers."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.accounts: dict[int, Account] = {}
        self.dirty: dict[int, None] = {}
        self.started_at = self.heartbeat_at = 0
        self.members: tuple[int, ...] | None = None  # the peers present; None: a fixed set of gateways
        self.max_dropped_total = 0.0  # the largest count of any dropped account
        # Another process of this gatekeeper decides: buckets aren't refilled and peers get no reports.
        self.handed_over = False
        self.message_interval_ns = message_interval_of(settings)
        self.reports_directly = (
            self.message_interval_ns <= DIRECT_MAX_INTERVAL_NS or not settings.peer_messages
        )
        self.attempt_ns_per_unit = 0.0  # mean over the classes, as measured by the fleet
        self.inbox, self.outbox = gossip.Inbox(), gossip.Outbox()
        self.membership_status = NO_MEMBERSHIP  # set by the membership protocol, if in use
        self.unit_grants = UnitGrants(self)
        self.quota_owners: QuotaOwners | None = None  # the owners of each domain, if quotas have them

    def update_settings(self, settings: Settings, now: int) -> None:
        """Apply new plans or another number of gateways, and recompute each account's shares."""
        self.settings, self.message_interval_ns = settings, message_interval_of(settings)
        for account in self.accounts.values():
            account.update_shares(now)

    def create_account(self, event: Request | gossip.UnitRequest, now: int) -> Account:
        """Return a new account for the customer of a client's request or of a peer's unit request."""
        return Account(event, now, self)

    def reconcile(self, account: Account, units: float, now: int) -> None:
        """Charge units found used after the grant (negative: not used) here or at the owner."""
        if not account.owners:
            account.charge(units, now)
            self.dirty[account.customer] = None
        elif (owner := self.unit_grants.owner_of(account, now)) == self.settings.me:
            account.global_bucket.level = min(
                account.global_bucket.depth, account.global_bucket.fill(now) - units
            )
        else:
            account.owed += units
            if account.low_balance_reported:
                self.unit_grants.request_units(account, owner, 0, 0.0)

    def receive(self, peer: int, data: bytes, now: int) -> gossip.Message | None:
        """Process a peer's message and return it, or None if the peer or the message isn't acceptable."""
        known_peers = range(self.settings.gateways) if self.members is None else self.members
        message = (
            self.inbox.accept(peer, data, now) if peer in known_peers and peer != self.settings.me else None
        )
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
            remaining = max(account.global_bucket.level - used, min(0.0, account.global_bucket.level))
            account.global_bucket.level = min(account.global_bucket.depth, remaining)
            hard_limit = account.hard_limit
            if (
                message.receiver_incarnation == self.outbox.incarnation
                and hard_limit.fill(now) < hard_limit.depth
            ):
                hard_limit.level = min(hard_limit.depth, hard_limit.level + entry.transferred_units)
            if entry.hard_limit_level < MIN_UNITS <= hard_limit.level and self.members is not None:
                account.requesting_peers.add(peer)
            if now - account.reported_at > REPORT_INTERVAL_NS or account.requesting_peers:
                self.dirty[account.customer] = None
        return message

    def send_reports(self, now: int) -> None:
        """Queue reports on changed customers that need reporting to the peers that share them.

        Customers that peers reported lately are reported too. A heartbeat goes out if there is nothing else.
        """
        if self.handed_over:
            return
        dirty, self.dirty = self.dirty, {}
        for customer in dirty:
            account = self.accounts.get(customer)
            if account is None or not account.peers:
                continue
            if not account.needs_reporting(now) and not account.peer_reports.received_since(
                now - REPORT_VALID_NS
            ):
                continue
            # With changing members the hard limit backs the quota, so use needn't be reported at once.
            report_now = self.members is None and abs(account.unreported_units) > PROMPT_REPORT_RATIO * max(
                0.0, account.global_bucket.fill(now)
            )
            is_short = self.members is not None and is_exhausted(account, now)
            to_all = report_now or now - account.reported_at >= (
                REPORT_INTERVAL_NS // 4 if is_short else REPORT_INTERVAL_NS
            )
            if not to_all and not account.requesting_peers:
                if account.unreported_units:
                    self.dirty[customer] = None
                continue
            # A peer that requests units gets them at once.
            peers = account.peers if to_all else sorted(account.requesting_peers)
            account.requesting_peers.clear()
            if to_all:
                account.reporting_since = (
                    now if now - account.reported_at >= REPORT_VALID_NS else account.reporting_since
                )
                account.unreported_units, account.reported_at = 0.0, now
            local_used = max(0.0, account.local_bucket.depth - account.local_bucket.fill(now))
            for peer in peers:
                transferred, level = transfer_units(account, peer, now), max(0.0, account.hard_limit.level)
                if transferred <= 0 and level >= LOW_BALANCE_RATIO * account.hard_limit.depth:
                    level = gossip.NOT_LOW
                entry = gossip.UsageEntry(
                    customer, account.total_units, local_used, level, transferred, account.attempts_in_flight
                )
                self.outbox.message_for(peer).entries.append(entry)
        if now - self.heartbeat_at >= (REPORT_INTERVAL_NS if self.members is None else REPORT_VALID_NS // 2):
            self.heartbeat_at = now
            all_peers = range(self.settings.gateways) if self.members is None else self.members
            for peer in all_peers if self.quota_owners is None else ():
                if peer != self.settings.me:
                    self.outbox.message_for(peer)

    def refresh(self, now: int) -> None:
        """Set the refill rates by the peers reachable, and drop accounts that are full and unused.

        An unreachable peer's share isn't refilled here. Dropping a full account loses no state.
        """
        if self.handed_over:
            return
        timed_out = {
            p
            for p, known in self.inbox.peers.items()
            if self.reports_directly and now - known[2] > REPORT_VALID_NS
        }
        timed_out &= timed_out if self.members is None else set(self.members)
        # With a membership protocol (`tracks_unreachable`) the majority side of a partition has the whole
        # quota, and the minority side only its members' shares. Without it each side, also the larger one,
        # loses the shares of the peers from which it receives nothing.
        unreachable = (
            self.membership_status.unreachable if self.membership_status.tracks_unreachable else timed_out
        )
        for account in list(self.accounts.values()):
            if self.quota_owners is None and (unreachable or account.global_bucket.rate != account.plan.rate):
                account.global_bucket.fill(now)
                unreachable_count = sum(
                    (p - account.first) % self.settings.gateways < account.spread for p in unreachable
                )
                account.global_bucket.rate = account.plan.rate * (1 - unreachable_count / account.spread)
            buckets = [account.global_bucket, account.local_bucket] + [account.hard_limit] * (
                account.plan.ceiling_rate > 0
            )
            full = all(bucket.fill(now) >= bucket.depth for bucket in buckets)
            if full and not account.attempts_in_flight and now - account.last_seen_at > REPORT_VALID_NS:
                self.max_dropped_total = max(self.max_dropped_total, account.total_units)
                del self.accounts[account.customer]
