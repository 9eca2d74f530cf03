"""Assembles the data plane: applies updates of state and records, and serves requests through the core."""

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
BASE_MB = 90  # of the memory limit: the program itself with its connections
RESERVED_FILES = 264  # of the descriptors: for files, links and the event loop
KEEPALIVE_NS = 5 * SECOND  # of idle connections, where a worker announces no other time
CONNECT_TIMEOUT_NS = SECOND
MIN_CONNECTIONS_PER_WORKER = 2  # of this gatekeeper
CONNECTION_CAP_FRACTION = 0.9  # of a worker's connections, as others may assume another number of gatekeepers
# After a 421 a worker gets no requests for this time: its address belongs to another worker. Longer than
# `workers.MISDIRECTED_NS`, so that the exclusion has ended when the timer fires.
MISDIRECTED_RESTORE_DELAY_S = 4.0
# A 404 or 401 is sent only if the state was last confirmed at most `edition_ms` minus this margin, or half of
# `edition_ms` if that is longer, before the request arrived. Otherwise the client gets a 503 and may retry.
DEFINITE_REFUSAL_MARGIN_NS = 500 * MS


class DataPlane:
    """All parts that serve the requests of one gatekeeper: front, core, gate and connections to workers.

    `confirmed_at` and `records_confirmed_at` return the fields of the same name of the replicated state.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        incarnation: Callable[[], int],
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
        own_domains = me.zone, me.region
        self.quota_owners = QuotaOwners(
            me.station, own_domains, lambda: self.gate.fence_ns, self.gate.is_fresh, self._peer_number
        )
        self.gatekeeper = Gatekeeper(
            self.numbering.settings(), seed, clock, loop, self._send_to_peer, log=self._log, gate=self.gate
        )
        self.gatekeeper.gateway.quotas.members = ()
        # The previous incarnation may have spent the saved-up retries.
        self.gatekeeper.gateway.retry_budget.level = 1.0
        self.peer_messages = PeerMessages(self.peers, incarnation, self.gatekeeper.peer_message_received)
        self.reports = AttemptReports(
            clock, lambda worker: self.workers.id_by_number.get(worker, "?"), lambda: self.listener.draining
        )
        self.gatekeeper.on_answered_with_open_attempts = self.reports.answered_with_open_attempts
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
        sockets = max(64, (limits.file_handles or 2048) - RESERVED_FILES)
        wire = WorkerWire(self.workers, self.gate, clock, self._on_misdirected)
        self.upstream = UpstreamClient(
            loop,
            clock,
            self.workers,
            self.outcome_sharing.ended,
            wire,
            sockets // 2,
            KEEPALIVE_NS,
            CONNECT_TIMEOUT_NS,
            budget,
        )
        self.upstream.on_abandon = self.reports.abandoned
        self.gatekeeper.on_client_left = self._on_client_left
        self.outcome_sharing.start(self.upstream)
        self.gatekeeper.backends = self.upstream
        max_age_ns = int(max(bounds.edition_ms - DEFINITE_REFUSAL_MARGIN_NS / MS, bounds.edition_ms / 2) * MS)
        self.front = Front(self.numbering, self.gate, self.gatekeeper, clock, budget, seed, max_age_ns)
        self.listener = FrontListener(loop, clock, sockets // 2, self.front.make_client)
        self.listener.get_timeouts = self.front.client_timeouts
        self.gatekeeper.on_exchange_closed = self.listener.notify_change
        self.table: RoutingTable | None = None

    def log_requests(self, rate: float) -> None:
        """Logs each request not served at the first attempt, at most `rate` lines a second; 0: none."""
        if rate > 0:
            self.front.trace = RequestTrace(self.front, rate)
            self.gatekeeper.observer = self.front.trace.finished

    # Updates from the distribution tree.

    def on_agreed_state(self, version: int, state: dict[str, Any], change: object = None) -> None:
        """Applies a newer agreed state; an older one changes nothing."""
        if self.table is not None and version <= self.table.version:
            return
        table = RoutingTable(version, state, self.numbering, self.table)
        self.numbering.set_agreed_gateways(int(state.get("seats", 0)))
        self._update_quota_owners(state.get("keepers"), table)
        self._apply_settings()
        changes = self.workers.evacuate(table.evacuated, self.clock())
        self.table = self.gate.table = table
        self.front.update_table(table)
        self._update_backends(changes)
        self._limit_connections()

    def _update_quota_owners(self, listed: dict[str, Any] | None, table: RoutingTable) -> None:
        """Applies the quota owners of the agreed state."""
        quota_owners, quotas = self.quota_owners, self.gatekeeper.gateway.quotas
        quota_owners.plans = {tenant.customer: tenant.plan for tenant in table.tenants.values()}
        if quota_owners.update(listed, self.clock()):
            quotas.quota_owners = quota_owners if quota_owners.domains else None
            self.numbering.set_quota_owners(bool(quota_owners.domains))
            self.numbering.changed = True

    def _peer_number(self, name: str) -> int:
        """Returns the number by which the core knows a gatekeeper; 0 for this one."""
        if name == self.settings.me.station:
            return 0
        return self.peers.present.get(name, (0, ABSENT))[1]

    def on_workers(self, changed: Iterable[Worker]) -> None:
        """Applies records of workers that are new or have changed."""
        changes = self.workers.update(changed)
        self._apply_settings()
        self._update_backends(changes)
        self.slow_start.retain(self.workers.by_number)
        self.outcome_sharing.ejection.retain(self.workers.by_number)

    def on_gateways(self, changed: Iterable[GatewayRecord]) -> None:
        """Applies records of gatekeepers that are new or have changed."""
        changed = list(changed)
        self.slow_start.update(changed)
        membership_changed = self.peers.update(changed)
        self.outcome_sharing.on_gateways(
            self.slow_start.gateways.values(), self.settings.me.station, self.settings.me.zone
        )
        if membership_changed:
            members = self.peers.members
            self.gatekeeper.flush_events()
            self.gatekeeper.gateway.quotas.members = members
            self.numbering.set_gateways(len(members) + 1)
            self.numbering.changed = True
            self._apply_settings()
            self._limit_connections()

    def update_membership_status(self, absent: frozenset[str], suspects_itself: bool) -> None:
        """Applies which gatekeepers are probably absent; these own no quota shares for now.

        A gatekeeper that suspects itself grants no units. Otherwise quotas still depend on when each peer was
        last heard from: the share of a peer that is only unreachable is not given to others.
        """
        present, quotas = self.peers.present, self.gatekeeper.gateway.quotas
        lost = frozenset(present[name][1] for name in absent if name in present)
        status = MembershipStatus(False, lost, frozenset(), suspects_itself, not suspects_itself)
        if status != quotas.membership_status:
            quotas.membership_status = status

    def _apply_settings(self) -> None:
        if self.numbering.changed:
            self.gatekeeper.update_settings(self.numbering.settings())

    def _update_backends(self, changes: BackendList | None) -> None:
        if changes is not None and changes.backends:
            self.gatekeeper.backend_list_received(changes)
            self.upstream.on_endpoints_changed()

    def _limit_connections(self) -> None:
        """Limits connections to this gatekeeper's share of those that one worker accepts from all."""
        services = self.table.services.values() if self.table else ()
        caps = [service.berth_cap for service in services if service.berth_cap > 0]
        each = int(min(caps) * CONNECTION_CAP_FRACTION) // self.numbering.gateways if caps else 0
        self.upstream.max_per_backend = max(MIN_CONNECTIONS_PER_WORKER, each) if caps else 0

    # Callbacks of the connections to workers and of the gatekeeper.

    def _on_misdirected(self, backend: int) -> None:
        now = self.clock()
        event("misdirected", worker=self.workers.id_by_number.get(backend, "?"))
        self._update_backends(self.workers.mark_misdirected(backend, now))
        asyncio.get_running_loop().call_later(MISDIRECTED_RESTORE_DELAY_S, self._restore_misdirected)

    def _restore_misdirected(self) -> None:
        self._update_backends(self.workers.restore_misdirected(self.clock()))

    def _on_client_left(self, exchange: Exchange[Any, Any]) -> None:
        self.reports.client_left(self.upstream.attempts_of(exchange))

    def _send_to_peer(self, peer: int, data: bytes) -> None:
        self.peer_messages.send_to_peer(peer, data)

    def _log(self, text: str) -> None:
        """Logs a line of the core, with the worker's id in place of its number."""
        names = self.workers.id_by_number
        text = re.sub(r"backend (\d+)", lambda match: f"worker {names.get(int(match[1]), match[1])}", text)
        event("decisions", text=text)

    # Readiness and pending requests.

    def ready(self) -> bool:
        """Whether this gatekeeper has a configuration, knows the state to be fresh, and accepts clients."""
        fresh = self.gate.is_fresh(self.clock(), int(self.settings.tariffs.bounds.edition_ms * MS))
        return self.table is not None and fresh and self.listener.accepts_clients()

    def has_pending_requests(self) -> bool:
        """Whether a request is unfinished. Unsafe ones go on at their workers after the client has left."""
        return bool(self.gatekeeper.exchanges)

    def expire_all(self) -> None:
        """Gives all pending requests their final answer now."""
        for exchange in list(self.gatekeeper.exchanges.values()):
            self.gatekeeper.expire(exchange)

    # Settings.

    def reload_settings(self, settings: Settings) -> None:
        """Applies a changed settings file."""
        me, bounds = settings.me, settings.tariffs.bounds
        self.settings = settings
        zones = {me.zone: me.region} | settings.network.zones
        self.slow_start.zones, self.slow_start.excess, self.slow_start.slack = (
            zones,
            bounds.cold_excess,
            bounds.cold_slack,
        )
        self.numbering.bounds, self.numbering.changed = bounds, True
        self.gate.update_bounds(bounds)
        self._apply_settings()
        self._update_backends(self.workers.update_zones(zones))

    # Shutdown.

    def close(self) -> None:
        """Closes all sockets and stops all timers."""
        self.listener.close()
        self.upstream.close()
        self.outcome_sharing.close()
        self.peer_messages.close()
