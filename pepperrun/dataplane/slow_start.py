"""Slow start: how many requests each gatekeeper may send to a worker that is warming up.

The gatekeepers follow these rules without asking each other. All gatekeepers together, connected or
partitioned, may send a worker that is warming up at most B = cold_per_s * cold_excess + cold_slack requests
in any second. Each gatekeeper ranks the gatekeepers that it knows for each worker: those of the worker's zone
first, then those of its region, then by a hash of both names. The first K = 3 serve the worker while it warms
up. Each of them sends at most one request in S = K / (CAPACITY_FRACTION * cold_per_s) seconds, and the first
one no sooner than S after it learned that it is assigned. So one gatekeeper sends at most 1 + floor(1 / S)
requests in any second, and V different views of the membership lead to at most V * K * (1 + floor(1 / S)):
with cold_per_s 5.3 that is 6 for one view and 12 for two, below B = 12.95. Where two views could exceed B, S
grows until they do not.

A gatekeeper that has lost contact with the control nodes does not learn that a worker has turned cold. Until
it treats all workers as warming up it sends none more than B / K requests in any second, so that K
gatekeepers that are cut off together keep the bound as well.

`core.fleet` has a slow start of its own: a share of load that grows with the time since a backend's start.
That one is off in the data plane, as `Numbering.settings` leaves `slow_start_ns` at 0. It is for gatekeepers
without control nodes (`pepperrun.serve`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

from pepperrun.control.records import GatewayRecord, GatewayState

SECOND = 1_000_000_000
ASSIGNED_GATEWAYS = 3  # gatekeepers that serve one worker while it warms up
CAPACITY_FRACTION = 0.8  # of what the worker can handle
MAX_VIEWS = 2  # views of the membership that may exist at the same time
MIN_REQUESTS_PER_S = 0.2  # to a worker that is warming up, where its service states no rate


def send_interval_ns(cold_per_s: float, excess: float, slack: float) -> int:
    """Returns the ns between two requests of one gatekeeper to one worker; the module text has the rule."""
    most = cold_per_s * excess + slack
    rate = max(MIN_REQUESTS_PER_S, cold_per_s) * CAPACITY_FRACTION / ASSIGNED_GATEWAYS
    # Requests of one gatekeeper in a second: 1 + floor(1 / S) must not exceed this.
    each = int(most / (MAX_VIEWS * ASSIGNED_GATEWAYS))
    if each >= 1 and 1 + int(rate) > each:
        rate = each - 1e-6 if each > 1 else 1 - 1e-6
    return int(SECOND / rate) + 1


def unconfirmed_interval_ns(cold_per_s: float, excess: float, slack: float) -> int:
    """Returns the ns between two requests to a worker that may have turned cold without being reported."""
    most = cold_per_s * excess + slack
    return SECOND // max(1, int(most / ASSIGNED_GATEWAYS)) + 1


def assigned_gateways(
    worker: str, zone: str, gateways: Iterable[GatewayRecord], zones: Mapping[str, str]
) -> list[str]:
    """Returns the names of the gatekeepers that serve a worker of this zone while it warms up."""

    def rank(gateway: GatewayRecord) -> tuple[bool, bool, bytes]:
        digest = hashlib.blake2s(f"{worker} {gateway.name}".encode(), digest_size=8).digest()
        return gateway.zone != zone, gateway.region != zones.get(zone), digest

    present = [
        gateway for gateway in gateways if gateway.state in (GatewayState.READY, GatewayState.STARTING)
    ]
    return [gateway.name for gateway in sorted(present, key=rank)[:ASSIGNED_GATEWAYS]]


class SlowStartShares:
    """The share of this gatekeeper in the requests to workers that are warming up."""

    def __init__(self, name: str, zones: Mapping[str, str], excess: float, slack: float) -> None:
        self.name, self.zones, self.excess, self.slack = name, zones, excess, slack
        self.gateways: dict[str, GatewayRecord] = {}
        self.view = 0  # incremented with each change of the membership
        # By worker: the view it was computed for, and whether this gatekeeper is assigned to the worker.
        self.assigned: dict[int, tuple[int, bool]] = {}
        self.next_at: dict[int, int] = {}  # by worker: when the next request may go there
        self.next_unconfirmed_at: dict[int, int] = {}  # the same while its record is unconfirmed

    def update(self, gateways: Iterable[GatewayRecord]) -> None:
        """Applies records of gatekeepers that are new or have changed."""
        for gateway in gateways:
            old = self.gateways.get(gateway.name)
            self.gateways[gateway.name] = gateway
            if old is None or (old.state, old.zone) != (gateway.state, gateway.zone):
                self.view += 1

    def _is_assigned(self, number: int, worker: str, zone: str) -> bool:
        view, assigned = self.assigned.get(number, (-1, False))
        if view != self.view:
            assigned = self.name in assigned_gateways(worker, zone, self.gateways.values(), self.zones)
            self.assigned[number] = self.view, assigned
            if not assigned:
                self.next_at.pop(number, None)
        return assigned

    def may_send(self, number: int, worker: str, zone: str, cold_per_s: float, now: int) -> bool:
        """Returns whether a request may go to this worker, which is warming up, now."""
        if not self._is_assigned(number, worker, zone):
            return False
        at = self.next_at.get(number)
        if at is None:
            self.next_at[number] = now + send_interval_ns(cold_per_s, self.excess, self.slack)
            return False
        return now >= at

    def on_sent(self, number: int, cold_per_s: float, now: int) -> None:
        """Notes that a request was sent to a worker that is warming up."""
        self.next_at[number] = now + send_interval_ns(cold_per_s, self.excess, self.slack)

    def may_send_unconfirmed(self, number: int, now: int) -> bool:
        """Returns whether a request may go to this worker now, whose record has not been confirmed lately."""
        return now >= self.next_unconfirmed_at.get(number, 0)

    def on_sent_unconfirmed(self, number: int, cold_per_s: float, now: int) -> None:
        """Notes that a request was sent to a worker whose record has not been confirmed lately."""
        self.next_unconfirmed_at[number] = now + unconfirmed_interval_ns(cold_per_s, self.excess, self.slack)

    def on_warm(self, number: int) -> None:
        """Notes that a worker is not warming up now."""
        self.next_at.pop(number, None)

    def retain(self, known: Iterable[int]) -> None:
        """Forgets all workers except these."""
        kept = set(known)
        self.assigned = {number: mine for number, mine in self.assigned.items() if number in kept}
        self.next_at = {number: at for number, at in self.next_at.items() if number in kept}
        self.next_unconfirmed_at = {
            number: at for number, at in self.next_unconfirmed_at.items() if number in kept
        }
