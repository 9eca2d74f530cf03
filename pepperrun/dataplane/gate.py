"""The gate: decides at the moment of sending whether a request may go out, and to which workers.

A request may have been queued since its configuration was looked up, or this process may have been paused. So
the present configuration, its age, zones and home regions are checked again for each attempt.
"""

from __future__ import annotations

from collections.abc import Callable

from pepperrun.dataplane.ejection import OutlierEjection
from pepperrun.dataplane.numbering import MS
from pepperrun.dataplane.routes import GateContext, RoutingTable
from pepperrun.dataplane.slow_start import SlowStartShares
from pepperrun.dataplane.workers import WorkerTable
from pepperrun.foundation.settings import Bounds

# A revoked key must be out of use after `revoke_ms`. A gatekeeper that may have missed a revocation stops
# sending requests with a key this long before that: when its state was last confirmed `revoke_ms` minus this
# margin ago.
REVOCATION_MARGIN_MS = 500
SAFE_TIMEOUT_NS = 5000 * MS  # a service without a safe request for so long is tried with unsafe ones
RETRY_NS = 500 * MS  # until the state may be fresh again
RECORDS_TIMEOUT_MS = 4000  # without updates for so long any worker may be warming up
# Without updates for so long, which is more than two missed heartbeats of a control node, requests to each
# worker are limited, as it may have turned cold since.
RECORDS_UNCONFIRMED_MS = 1000


class Gate:
    """Decides at the moment of sending whether a request may go out, and to which workers.

    Implements `core.interface.Gate`. `confirmed_at` and `records_confirmed_at` return when the replicated
    state and the records were last known to be the newest, in monotonic ns.
    """

    def __init__(
        self,
        bounds: Bounds,
        workers: WorkerTable,
        slow_start: SlowStartShares,
        confirmed_at: Callable[[], int],
        records_confirmed_at: Callable[[], int],
    ) -> None:
        self.workers, self.slow_start, self.confirmed_at, self.records_confirmed_at = (
            workers,
            slow_start,
            confirmed_at,
            records_confirmed_at,
        )
        self.table: RoutingTable | None = None
        self.ejection: OutlierEjection | None = None
        self.safe_at: dict[int, int] = {}  # by service: when a safe request was last sent
        self.update_bounds(bounds)

    def update_bounds(self, bounds: Bounds) -> None:
        """Applies the present bounds of the settings."""
        # A gatekeeper spends its quota shares without a call to an owner for each request. A partitioned one
        # must stop after a limited time, because the others will have divided its shares among themselves.
        self.tenants_need_fresh_state = bounds.revocation_total or bounds.quota_window_s > 0
        self.fence_ns = int(max(0.0, bounds.revoke_ms - REVOCATION_MARGIN_MS) * MS)

    def is_fresh(self, now: int, max_age_ns: int) -> bool:
        """Returns whether the state is known to have been the newest at most `max_age_ns` ago."""
        at = self.confirmed_at()
        return at > 0 and now - at <= max_age_ns

    def wait_ns(self, context: object, now: int) -> int:
        """Returns 0 if the request may be sent, else the ns after which it may be tried again."""
        table = self.table
        assert isinstance(context, GateContext)
        if table is None or not context.revalidate(table):
            return RETRY_NS
        if (
            context.tenant is not None
            and self.tenants_need_fresh_state
            and not self.is_fresh(now, self.fence_ns)
        ):
            return RETRY_NS
        return 0

    def may_send(self, context: object, backend: int, now: int) -> bool:
        """Returns whether the request may go to this worker now."""
        assert isinstance(context, GateContext)
        workers = self.workers
        known = workers.by_number.get(backend)
        if known is None or known.service != context.service or workers.address(backend) is None:
            return False
        if context.home_regions is not None and known.region not in context.home_regions:
            return False
        if self.ejection is not None:
            safe = (
                context.safe or now - self.safe_at.get(context.service, -SAFE_TIMEOUT_NS) >= SAFE_TIMEOUT_NS
            )
            if not self.ejection.may_send(backend, now, safe):
                return False
        if not self._is_warming_up(backend, now):
            self.slow_start.on_warm(backend)
            return (
                not self._is_unconfirmed(now)
                or self._slow_start_rate(known.service) is None
                or self.slow_start.may_send_unconfirmed(backend, now)
            )
        rate = self._slow_start_rate(known.service)
        return rate is None or self.slow_start.may_send(
            backend, known.record.id, known.record.zone, rate, now
        )

    def on_sent(self, context: object, backend: int, now: int) -> None:
        """Notes that the request was sent to this worker."""
        assert isinstance(context, GateContext)
        if context.safe:
            self.safe_at[context.service] = now
        if self.ejection is not None:
            self.ejection.on_sent(backend, now)
        known = self.workers.by_number.get(backend)
        rate = self._slow_start_rate(known.service) if known is not None else None
        if rate is None:
            return
        if self._is_warming_up(backend, now):
            self.slow_start.on_sent(backend, rate, now)
        elif self._is_unconfirmed(now):
            self.slow_start.on_sent_unconfirmed(backend, rate, now)

    def may_write(self, context: GateContext, backend: int, now: int) -> bool:
        """Returns whether an attempt at this worker may still be written after waiting for a connection."""
        if self.wait_ns(context, now):
            return False
        known = self.workers.by_number.get(backend)
        if known is None or self.workers.address(backend) is None:
            return False
        return context.home_regions is None or known.region in context.home_regions

    def _is_warming_up(self, backend: int, now: int) -> bool:
        if now - self.records_confirmed_at() > RECORDS_TIMEOUT_MS * MS:
            return True
        return self.workers.is_warming_up(self.workers.by_number[backend], now)

    def _is_unconfirmed(self, now: int) -> bool:
        return now - self.records_confirmed_at() > RECORDS_UNCONFIRMED_MS * MS

    def _slow_start_rate(self, service: int) -> float | None:
        """Returns the requests per second that a worker takes while it warms up; None without slow start."""
        known = self.table.services.get(service) if self.table is not None else None
        if known is None:
            return 0.0
        return None if known.cold_per_s <= 0 and known.cold_s <= 0 else known.cold_per_s
