"""The gate: what must not go out, or not there, asked at the moment of sending.

A request may have waited since its configuration was looked up, or this process may have stood still. So the
configuration held now, the age of what is held, zones and homes are asked again for each attempt.
"""

from __future__ import annotations

from collections.abc import Callable

from pepperrun.dataplane.ejection import OutlierEjection
from pepperrun.dataplane.numbering import MS
from pepperrun.dataplane.routes import GateContext, RoutingTable
from pepperrun.dataplane.slow_start import SlowStartShares
from pepperrun.dataplane.workers import WorkerTable
from pepperrun.foundation.settings import Bounds

SPARE_MS = 500  # before a removed key's time is over nothing is sent with a key
SAFE_NS = 5000 * MS  # a service that had no repeatable request for so long is tried with others
AGAIN_NS = 500 * MS  # until what is held may be fresh again
UNHEARD_MS = 4000  # of workers of which nothing has been heard for so long any may have turned cold


class Gate:
    """Decides at the moment of sending whether a request may go out, and to which workers.

    Implements `core.interface.Gate`. `confirmed_at` and `records_confirmed_at` return when the replicated
    state and the records were last known to be the newest, in steady ns.
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
        self.safe_at: dict[int, int] = {}  # by service: when a repeatable request last went out
        self.bind(bounds)

    def bind(self, bounds: Bounds) -> None:
        """The rules' figures as they are now."""
        # What is spent of a quota without asking has an end too: others split anew without who is cut off.
        self.total = bounds.revocation_total or bounds.quota_window_s > 0
        self.fence_ns = int(max(0.0, bounds.revoke_ms - SPARE_MS) * MS)

    def is_fresh(self, now: int, most_ns: int) -> bool:
        """Is what is held known to have been the newest so short a time ago?"""
        at = self.confirmed_at()
        return at > 0 and now - at <= most_ns

    def wait_ns(self, context: object, now: int) -> int:
        """0, or the nanoseconds after which it may be tried again."""
        table = self.table
        assert isinstance(context, GateContext)
        if table is None or not context.revalidate(table):
            return AGAIN_NS
        if context.tenant is not None and self.total and not self.is_fresh(now, self.fence_ns):
            return AGAIN_NS
        return 0

    def may_send(self, context: object, backend: int, now: int) -> bool:
        """May it go to this worker now?"""
        assert isinstance(context, GateContext)
        workers = self.workers
        known = workers.by_number.get(backend)
        if known is None or known.service != context.service or workers.address(backend) is None:
            return False
        if context.home_regions is not None and known.region not in context.home_regions:
            return False
        if self.ejection is not None:
            safe = context.safe or now - self.safe_at.get(context.service, -SAFE_NS) >= SAFE_NS
            if not self.ejection.may_send(backend, now, safe):
                return False
        if not self._cold(backend, now):
            self.slow_start.on_warm(backend)
            return True
        rate = self._cold_per_s(known.service)
        return rate is None or self.slow_start.may_send(
            backend, known.record.id, known.record.zone, rate, now
        )

    def on_sent(self, context: object, backend: int, now: int) -> None:
        """It goes there."""
        assert isinstance(context, GateContext)
        if context.safe:
            self.safe_at[context.service] = now
        if self.ejection is not None:
            self.ejection.on_sent(backend, now)
        known = self.workers.by_number.get(backend)
        if known is not None and self._cold(backend, now):
            rate = self._cold_per_s(known.service)
            if rate is not None:
                self.slow_start.on_sent(backend, rate, now)

    def may_write(self, context: GateContext, backend: int, now: int) -> bool:
        """May what was sent off to this worker still be written now? It may have waited for a connection."""
        if self.wait_ns(context, now):
            return False
        known = self.workers.by_number.get(backend)
        if known is None or self.workers.address(backend) is None:
            return False
        return context.home_regions is None or known.region in context.home_regions

    def _cold(self, backend: int, now: int) -> bool:
        if now - self.records_confirmed_at() > UNHEARD_MS * MS:
            return True
        return self.workers.is_warming_up(self.workers.by_number[backend], now)

    def _cold_per_s(self, service: int) -> float | None:
        """What a cold worker of a service bears; None where its service knows no cold."""
        known = self.table.services.get(service) if self.table is not None else None
        if known is None:
            return 0.0
        return None if known.cold_per_s <= 0 and known.cold_s <= 0 else known.cold_per_s
