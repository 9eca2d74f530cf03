"""The gate: what must not go out, or not there, asked at the moment of sending.

A request may have waited since its configuration was looked up, or this process may have stood still. So the
configuration held now, the age of what is held, zones and homes are asked again for each attempt.
"""

from __future__ import annotations

from collections.abc import Callable

from pepperrun.dataplane.cold import ColdShares
from pepperrun.dataplane.ejection import OutlierEjection
from pepperrun.dataplane.numbering import MS
from pepperrun.dataplane.routes import Lot, Table
from pepperrun.dataplane.workers import WorkerTable
from pepperrun.foundation.settings import Bounds

SPARE_MS = 500  # before a removed key's time is over nothing is sent with a key
SAFE_NS = 5000 * MS  # a service that had no repeatable request for so long is tried with others
AGAIN_NS = 500 * MS  # until what is held may be fresh again
UNHEARD_MS = 4000  # of workers of which nothing has been heard for so long any may have turned cold


class Gate:
    """`core.interface.Gate` for the system. `fresh_at`, `cells_at`: as the news book has them."""

    def __init__(
        self,
        bounds: Bounds,
        workers: WorkerTable,
        shares: ColdShares,
        fresh_at: Callable[[], int],
        cells_at: Callable[[], int],
    ) -> None:
        self.workers, self.shares, self.fresh_at, self.cells_at = workers, shares, fresh_at, cells_at
        self.table: Table | None = None
        self.ejection: OutlierEjection | None = None
        self.safe_at: dict[int, int] = {}  # by service: when a repeatable request last went out
        self.bind(bounds)

    def bind(self, bounds: Bounds) -> None:
        """The rules' figures as they are now."""
        # What is spent of a quota without asking has an end too: others split anew without who is cut off.
        self.total = bounds.revocation_total or bounds.quota_window_s > 0
        self.fence_ns = int(max(0.0, bounds.revoke_ms - SPARE_MS) * MS)

    def fresh(self, now: int, most_ns: int) -> bool:
        """Is what is held known to have been the newest so short a time ago?"""
        at = self.fresh_at()
        return at > 0 and now - at <= most_ns

    def wait_ns(self, lot: object, now: int) -> int:
        """0, or the nanoseconds after which it may be tried again."""
        table = self.table
        assert isinstance(lot, Lot)
        if table is None or not lot.stands(table):
            return AGAIN_NS
        if lot.tenant is not None and self.total and not self.fresh(now, self.fence_ns):
            return AGAIN_NS
        return 0

    def may_send(self, lot: object, backend: int, now: int) -> bool:
        """May it go to this worker now?"""
        assert isinstance(lot, Lot)
        workers = self.workers
        known = workers.by_number.get(backend)
        if known is None or known.service != lot.service or workers.address(backend) is None:
            return False
        if lot.homes is not None and known.region not in lot.homes:
            return False
        if self.ejection is not None:
            safe = lot.safe or now - self.safe_at.get(lot.service, -SAFE_NS) >= SAFE_NS
            if not self.ejection.may_send(backend, now, safe):
                return False
        if not self._cold(backend, now):
            self.shares.warm(backend)
            return True
        rate = self._cold_per_s(known.service)
        return rate is None or self.shares.may(backend, known.record.id, known.record.zone, rate, now)

    def on_sent(self, lot: object, backend: int, now: int) -> None:
        """It goes there."""
        assert isinstance(lot, Lot)
        if lot.safe:
            self.safe_at[lot.service] = now
        if self.ejection is not None:
            self.ejection.on_sent(backend, now)
        known = self.workers.by_number.get(backend)
        if known is not None and self._cold(backend, now):
            rate = self._cold_per_s(known.service)
            if rate is not None:
                self.shares.sent(backend, rate, now)

    def still(self, lot: Lot, backend: int, now: int) -> bool:
        """May what was sent off to this worker still be written now? It may have waited for a connection."""
        if self.wait_ns(lot, now):
            return False
        known = self.workers.by_number.get(backend)
        if known is None or self.workers.address(backend) is None:
            return False
        return lot.homes is None or known.region in lot.homes

    def _cold(self, backend: int, now: int) -> bool:
        if now - self.cells_at() > UNHEARD_MS * MS:
            return True
        return self.workers.cold(self.workers.by_number[backend], now)

    def _cold_per_s(self, service: int) -> float | None:
        """What a cold worker of a service bears; None where its service knows no cold."""
        known = self.table.services.get(service) if self.table is not None else None
        if known is None:
            return 0.0
        return None if known.cold_per_s <= 0 and known.cold_s <= 0 else known.cold_per_s
