"""The data plane put together: news in, requests through the decisions, answers out."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable, Iterable
from typing import Any

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.core.interface import BackendList
from pepperrun.core.membership_status import MembershipStatus
from pepperrun.core.quota_owners import ABSENT, QuotaOwners
from pepperrun.dataplane.attempt_reports import AttemptReports
from pepperrun.dataplane.front import Front, FrontListener
from pepperrun.dataplane.gate import Gate
from pepperrun.dataplane.numbering import MS, Numbering
from pepperrun.dataplane.outcome_sharing import OutcomeSharing
from pepperrun.dataplane.peer_messages import PeerMessages, Peers
from pepperrun.dataplane.routes import RoutingTable
from pepperrun.dataplane.slow_start import SlowStartShares
from pepperrun.dataplane.trace import RequestTrace
from pepperrun.dataplane.wire import WorkerWire
from pepperrun.dataplane.workers import WorkerTable
from pepperrun.exchange import Exchange
from pepperrun.foundation.logs import event
from pepperrun.foundation.settings import Settings
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.net.stream import MemoryBudget
from pepperrun.net.upstream import UpstreamClient

SECOND = 1_000_000_000
BASE_MB = 90  # of the limit on memory: the program itself with its connections
KEPT_FILES = 264  # of the descriptors: for files, links and the loop
KEEPALIVE_NS = 5 * SECOND  # idle connections, where a worker does not say more
CONNECT_NS = SECOND
LEAST_EACH = 2  # connections of this gatekeeper to one worker at the least
CAP_PART = 0.9  # of a worker's connections, as others may count gatekeepers otherwise
RESTORE_S = 4.0  # after a 421, once the worker's address may be its own again
ANSWER_NS = 500 * MS  # before an edition must be known a word on what there is not is held for sure


class DataPlane:
    """The traffic of one gatekeeper.

    `confirmed_at` and `records_confirmed_at` return the fields of the same name of the replicated state.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        life: Callable[[], int],
        confirmed_at: Callable[[], int],
        records_confirmed_at: Callable[[], int],
    ) -> None:
        me, bounds = settings.me, settings.tariffs.bounds
        loop = asyncio.get_running_loop()
        self.settings, self.clock, self.confirmed_at, self.records_confirmed_at = (
            settings,
            clock,
            confirmed_at,
            records_confirmed_at,
        )
        self.numbering = Numbering(bounds)
        zones = {me.zone: me.region} | settings.network.zones
        self.workers = WorkerTable(self.numbering, zones, me.zone, me.region)
        self.numbering.zone = self.workers.zone_number(me.zone)
        self.slow_start = SlowStartShares(me.station, zones, bounds.cold_excess, bounds.cold_slack)
        self.gate = Gate(bounds, self.workers, self.slow_start, confirmed_at, records_confirmed_at)
        self.peers = Peers(me.station)
        near = me.zone, me.region
        self.quota_owners = QuotaOwners(
            me.station, near, lambda: self.gate.fence_ns, self.gate.is_fresh, self._number
        )
        self.gatekeeper = Gatekeeper(
            self.numbering.settings(), seed, clock, loop, self._tell, log=self._log, gate=self.gate
        )
        self.gatekeeper.gateway.quotas.members = ()
        self.gatekeeper.gateway.retry_budget.level = 1.0  # the life before may have spent what was saved up
        self.peer_messages = PeerMessages(self.peers, life, self.gatekeeper.peer_message_received)
        self.reports = AttemptReports(
            clock, lambda worker: self.workers.id_by_number.get(worker, "?"), lambda: self.listener.draining
        )
        self.gatekeeper.on_answered_with_open_attempts = self.reports.answered_over
        self.outcome_sharing = OutcomeSharing(
            loop,
            clock,
            self.workers,
            self.peer_messages,
            self.gatekeeper.attempt_ended,
            self.gatekeeper.attempt_suspected,
            random.Random(seed).random,
            self.reports,
        )
        self.gate.ejection = self.outcome_sharing.ejection
        limits = me.limits
        budget = MemoryBudget(max(4, int((limits.memory_mb - BASE_MB) / 2) if limits.memory_mb else 64) << 20)
        sockets = max(64, (limits.file_handles or 2048) - KEPT_FILES)
        wire = WorkerWire(self.workers, self.gate, clock, self._on_misdirected)
        self.upstream = UpstreamClient(
            loop,
            clock,
            self.workers,
            self.outcome_sharing.ended,
            wire,
            sockets // 2,
            KEEPALIVE_NS,
            CONNECT_NS,
            budget,
        )
        self.upstream.on_abandon = self.reports.abandoned
        self.gatekeeper.on_client_left = self._on_client_left
        self.outcome_sharing.start(self.upstream)
        self.gatekeeper.backends = self.upstream
        sure_ns = int(max(bounds.edition_ms - ANSWER_NS / MS, bounds.edition_ms / 2) * MS)
        self.front = Front(self.numbering, self.gate, self.gatekeeper, clock, budget, seed, sure_ns)
        self.listener = FrontListener(loop, clock, sockets // 2, self.front.make_client)
        self.listener.limits_of = self.front.timeouts_of
        self.gatekeeper.on_exchange_closed = self.listener.notify_change
        self.table: RoutingTable | None = None

    def log_requests(self, most: float) -> None:
        """A line for each request that was not served at the first try, `most` a second."""
        if most > 0:
            self.front.trace = RequestTrace(self.front, most)
            self.gatekeeper.observer = self.front.trace.finished

    # News.

    def on_agreed_state(self, number: int, state: dict[str, Any], change: object = None) -> None:
        """A newer agreed state; an older one changes nothing."""
        if self.table is not None and number <= self.table.version:
            return
        table = RoutingTable(number, state, self.numbering, self.table)
        self.numbering.set_agreed_gateways(int(state.get("seats", 0)))
        self._keep(state.get("keepers"), table)
        self._settle()
        moved = self.workers.evacuate(table.evacuated, self.clock())
        self.table = self.gate.table = table
        self.front.update_table(table)
        self._listed(moved)
        self._bound_connections()

    def _keep(self, listed: dict[str, Any] | None, table: RoutingTable) -> None:
        """Who keeps quotas, as agreed on."""
        quota_owners, quotas = self.quota_owners, self.gatekeeper.gateway.quotas
        quota_owners.plans = {tenant.customer: tenant.plan for tenant in table.tenants.values()}
        if quota_owners.update(listed, self.clock()):
            quotas.quota_owners = quota_owners if quota_owners.domains else None
            self.numbering.set_quota_owners(bool(quota_owners.domains))
            self.numbering.changed = True

    def _number(self, station: str) -> int:
        """The number by which the decisions know a gatekeeper."""
        if station == self.settings.me.station:
            return 0
        return self.peers.present.get(station, (0, ABSENT))[1]

    def on_workers(self, changed: Iterable[Worker]) -> None:
        """Records of workers that are new or have changed."""
        listing = self.workers.update(changed)
        self._settle()
        self._listed(listing)
        self.slow_start.retain(self.workers.by_number)
        self.outcome_sharing.ejection.retain(self.workers.by_number)

    def on_gateways(self, changed: Iterable[GatewayRecord]) -> None:
        """Records of gatekeepers that are new or have changed."""
        changed = list(changed)
        self.slow_start.update(changed)
        others = self.peers.update(changed)
        self.outcome_sharing.on_gateways(
            self.slow_start.gateways.values(), self.settings.me.station, self.settings.me.zone
        )
        if others:
            members = self.peers.members
            self.gatekeeper.flush_events()
            self.gatekeeper.gateway.quotas.members = members
            self.numbering.set_gateways(len(members) + 1)
            self.numbering.changed = True
            self._settle()
            self._bound_connections()

    def update_membership_status(self, absent: frozenset[str], doubt: bool) -> None:
        """These gatekeepers are thought to be absent: they keep no store. Who doubts itself grants nothing.

        Quotas go by when each peer was last heard, as before: the part of one that is only out of reach is
        not given to others.
        """
        lives, quotas = self.peers.present, self.gatekeeper.gateway.quotas
        lost = frozenset(lives[station][1] for station in absent if station in lives)
        standing = MembershipStatus(False, lost, frozenset(), doubt, not doubt)
        if standing != quotas.membership_status:
            quotas.membership_status = standing

    def _settle(self) -> None:
        if self.numbering.changed:
            self.gatekeeper.update_settings(self.numbering.settings())

    def _listed(self, listing: BackendList | None) -> None:
        if listing is not None and listing.backends:
            self.gatekeeper.backend_list_received(listing)
            self.upstream.on_endpoints_changed()

    def _bound_connections(self) -> None:
        """This gatekeeper's part of the connections that one worker takes from all."""
        services = self.table.services.values() if self.table else ()
        caps = [service.berth_cap for service in services if service.berth_cap > 0]
        each = int(min(caps) * CAP_PART) // self.numbering.gateways if caps else 0
        self.upstream.max_per_backend = max(LEAST_EACH, each) if caps else 0

    def _on_misdirected(self, backend: int) -> None:
        now = self.clock()
        event("misdirected", worker=self.workers.id_by_number.get(backend, "?"))
        self._listed(self.workers.mark_misdirected(backend, now))
        asyncio.get_running_loop().call_later(RESTORE_S, self._restore_misdirected)

    def _restore_misdirected(self) -> None:
        self._listed(self.workers.restore_misdirected(self.clock()))

    def _on_client_left(self, exchange: Exchange[Any, Any]) -> None:
        self.reports.client_left(self.upstream.attempts_of(exchange))

    def _tell(self, peer: int, data: bytes) -> None:
        self.peer_messages.send_to_peer(peer, data)

    def _log(self, text: str) -> None:
        """A line of the decisions, with the worker's id in place of its number."""
        names = self.workers.id_by_number
        text = re.sub(r"backend (\d+)", lambda match: f"worker {names.get(int(match[1]), match[1])}", text)
        event("decisions", text=text)

    def ready(self) -> bool:
        """Does it hold a configuration and fresh news, and take clients?"""
        fresh = self.gate.is_fresh(self.clock(), int(self.settings.tariffs.bounds.edition_ms * MS))
        return self.table is not None and fresh and self.listener.accepts_clients()

    def has_pending_requests(self) -> bool:
        """Is an attempt out, be it for a client who has left? What may not be repeated goes on then."""
        return bool(self.gatekeeper.exchanges)

    def expire_all(self) -> None:
        """What is still out gets its final answer now."""
        for exchange in list(self.gatekeeper.exchanges.values()):
            self.gatekeeper.expire(exchange)

    def reload_settings(self, settings: Settings) -> None:
        """The settings file has changed."""
        me, bounds = settings.me, settings.tariffs.bounds
        self.settings = settings
        zones = {me.zone: me.region} | settings.network.zones
        self.slow_start.zones, self.slow_start.excess, self.slow_start.slack = (
            zones,
            bounds.cold_excess,
            bounds.cold_slack,
        )
        self.numbering.bounds, self.numbering.changed = bounds, True
        self.gate.bind(bounds)
        self._settle()
        self._listed(self.workers.rezone(zones))

    def close(self) -> None:
        """Ends it all."""
        self.listener.close()
        self.upstream.close()
        self.outcome_sharing.close()
        self.peer_messages.close()
