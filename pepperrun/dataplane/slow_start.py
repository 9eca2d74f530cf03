"""Cold workers (slow start): how much of what one bears each gatekeeper may send, without asking the others.

Over all gatekeepers together, in or out of touch, a cold worker may get in any second at most
B = cold_per_s * cold_excess + cold_slack requests. Each gatekeeper ranks the gatekeepers that it knows for
each worker: those of its zone first, then of its region, then by a hash of both names; the first K = 3 serve
it while it is cold. Each of these sends at most one in S = K / (PART * cold_per_s) seconds, and the first no
sooner than S after it knew itself to be chosen. So one gatekeeper sends at most 1 + floor(1 / S) in any
second, and V different views of who is there at most V * K * (1 + floor(1 / S)): with cold_per_s 5.3 that is
6 for one view and 12 for two, below B = 12.95. Where two views could come to more than B, S grows until they
do not.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

from pepperrun.control.records import GatewayRecord, GatewayState

SECOND = 1_000_000_000
ASSIGNED_GATEWAYS = 3  # gatekeepers that serve one cold worker
PART = 0.8  # of what it bears
VIEWS = 2  # of who is there, that may differ at a time
LEAST_PER_S = 0.2  # where a service tells of no figure, a cold worker is tried this often


def send_interval_ns(cold_per_s: float, excess: float, slack: float) -> int:
    """Nanoseconds between two requests of one gatekeeper to one cold worker; see above."""
    most = cold_per_s * excess + slack
    rate = max(LEAST_PER_S, cold_per_s) * PART / ASSIGNED_GATEWAYS
    each = int(
        most / (VIEWS * ASSIGNED_GATEWAYS)
    )  # of one gatekeeper in a second: 1 + floor(1 / S) must not pass it
    if each >= 1 and 1 + int(rate) > each:
        rate = each - 1e-6 if each > 1 else 1 - 1e-6
    return int(SECOND / rate) + 1


def assigned_gateways(
    worker: str, zone: str, gateways: Iterable[GatewayRecord], zones: Mapping[str, str]
) -> list[str]:
    """The stations of the gatekeepers that serve a worker of this zone while it is cold."""

    def rank(gateway: GatewayRecord) -> tuple[bool, bool, bytes]:
        lot = hashlib.blake2s(f"{worker} {gateway.name}".encode(), digest_size=8).digest()
        return gateway.zone != zone, gateway.region != zones.get(zone), lot

    there = [gateway for gateway in gateways if gateway.state in (GatewayState.READY, GatewayState.STARTING)]
    return [gateway.name for gateway in sorted(there, key=rank)[:ASSIGNED_GATEWAYS]]


class SlowStartShares:
    """This gatekeeper's part in serving cold workers."""

    def __init__(self, station: str, zones: Mapping[str, str], excess: float, slack: float) -> None:
        self.station, self.zones, self.excess, self.slack = station, zones, excess, slack
        self.gateways: dict[str, GatewayRecord] = {}
        self.views = 0  # counts changes of who is there
        self.mine: dict[int, tuple[int, bool]] = {}  # worker: the view, and whether it is this one's to serve
        self.next_at: dict[int, int] = {}

    def update(self, gateways: Iterable[GatewayRecord]) -> None:
        """Gatekeepers have come, changed or gone."""
        for gateway in gateways:
            old = self.gateways.get(gateway.name)
            self.gateways[gateway.name] = gateway
            if old is None or (old.state, old.zone) != (gateway.state, gateway.zone):
                self.views += 1

    def _serves(self, number: int, worker: str, zone: str) -> bool:
        view, mine = self.mine.get(number, (-1, False))
        if view != self.views:
            mine = self.station in assigned_gateways(worker, zone, self.gateways.values(), self.zones)
            self.mine[number] = self.views, mine
            if not mine:
                self.next_at.pop(number, None)
        return mine

    def may_send(self, number: int, worker: str, zone: str, cold_per_s: float, now: int) -> bool:
        """May a request go to this cold worker now?"""
        if not self._serves(number, worker, zone):
            return False
        at = self.next_at.get(number)
        if at is None:
            self.next_at[number] = now + send_interval_ns(cold_per_s, self.excess, self.slack)
            return False
        return now >= at

    def on_sent(self, number: int, cold_per_s: float, now: int) -> None:
        """One has gone there."""
        self.next_at[number] = now + send_interval_ns(cold_per_s, self.excess, self.slack)

    def on_warm(self, number: int) -> None:
        """It is not cold now."""
        self.next_at.pop(number, None)

    def retain(self, known: Iterable[int]) -> None:
        """Only these workers are left."""
        kept = set(known)
        self.mine = {number: mine for number, mine in self.mine.items() if number in kept}
        self.next_at = {number: at for number, at in self.next_at.items() if number in kept}
