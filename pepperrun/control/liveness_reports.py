"""Liveness reports: which control node receives the heartbeats of which workers and gatekeepers. No I/O.

A control node counts as receiving the heartbeats of an endpoint from its report of it until it reports the
end. One short message per second replaces forwarding all heartbeats of that second.
"""

from __future__ import annotations

from pepperrun.control.peer_messages import LivenessReport, ReportedEndpoint
from pepperrun.distribution.digests import GATEWAY_PREFIX

MS = 1_000_000  # ns
GATEWAY_QUIET_NS = 900 * MS  # shorter than for workers, as a gatekeeper sends far more often
NEVER = -1 << 62  # ns: before any time of the clock


class LivenessReports:
    """The heartbeats that one control node receives, and those that the others report.

    Endpoints are named by their record ids (`distribution.digests.record_id`).

    Parameters
    ----------
    worker_quiet_ns : int
        A worker that is silent for longer is no longer reported as received here.

    Attributes
    ----------
    received_at : dict of str to int
        When this node received the last heartbeat of an endpoint.
    seen_at : dict of str to int
        When any node received the last heartbeat of an endpoint, as far as this node knows.
    reported_by : dict of str to set of str
        Endpoints whose heartbeats other nodes receive, by the node's ip.
    unreported : list of str
        Endpoints whose first heartbeat arrived here after the last report.
    """

    def __init__(self, worker_quiet_ns: int, now: int) -> None:
        self.worker_quiet_ns = worker_quiet_ns
        self.received_at: dict[str, int] = {}
        self.seen_at: dict[str, int] = {}
        self.reported_by: dict[str, set[str]] = {}
        self.unreported: list[str] = []

    # Heartbeats received by this node.

    def record_heartbeat(self, record_id: str, now: int) -> None:
        """Record a heartbeat that this node received."""
        if record_id not in self.received_at:
            self.unreported.append(record_id)
        self.received_at[record_id] = now
        self.seen_at[record_id] = now

    def record_update(self, record_id: str, *, is_present: bool, now: int) -> None:
        """Handle a newer record: a present endpoint counts as seen now.

        The node that made the record has received the endpoint lately, or will find it silent.
        """
        self.seen_at[record_id] = now if is_present else self.seen_at.get(record_id, now)

    def receives(self, record_id: str, now: int) -> bool:
        """Return whether this node receives the heartbeats of an endpoint."""
        return now - self.received_at.get(record_id, NEVER) < self._quiet_ns(record_id)

    def _quiet_ns(self, record_id: str) -> int:
        return GATEWAY_QUIET_NS if record_id.startswith(GATEWAY_PREFIX) else self.worker_quiet_ns

    def last_seen(self, record_id: str, now: int) -> int:
        """Return when any node received the last heartbeat, as far as known here; `now` if unknown."""
        return self.seen_at.get(record_id, now)

    def forget(self, record_id: str) -> None:
        """Drop an endpoint whose record was removed."""
        self.seen_at.pop(record_id, None)

    # Reports.

    def full_report(self, now: int) -> LivenessReport:
        """Return the report for a newly linked node: all endpoints, with the time since each heartbeat."""
        endpoints = [ReportedEndpoint(name, (now - at) // MS) for name, at in self.received_at.items()]
        return LivenessReport(full=endpoints)

    def periodic_report(self, now: int) -> LivenessReport:
        """Return the report of each second: the endpoints no longer received, and those newly received."""
        silent = [name for name, at in self.received_at.items() if now - at > self._quiet_ns(name)]
        removed = [ReportedEndpoint(name, (now - self.received_at.pop(name)) // MS) for name in silent]
        return LivenessReport(removed=removed or None, added=self._take_unreported() or None)

    def added_report(self) -> LivenessReport:
        """Return a report of the endpoints newly received since the last report; it may be empty."""
        return LivenessReport(added=self._take_unreported() or None)

    def _take_unreported(self) -> list[str]:
        unreported = [name for name in self.unreported if name in self.received_at]
        self.unreported = []
        return unreported

    # Reports of other nodes.

    def on_report(self, ip: str, report: LivenessReport, now: int) -> None:
        """Handle the report of another control node."""
        reported = self.reported_by.setdefault(ip, set())
        if report.full is not None:
            reported.clear()
            for endpoint in report.full:
                reported.add(endpoint.record_id)
                self._record_seen(endpoint.record_id, now - endpoint.age_ms * MS)
        reported.update(report.added or ())
        for endpoint in report.removed or ():
            reported.discard(endpoint.record_id)
            if not self._is_reported(endpoint.record_id):
                # Since the last heartbeat the endpoint was wrongly counted as seen: set the time back.
                received_at = self.received_at.get(endpoint.record_id, 0)
                self.seen_at[endpoint.record_id] = max(received_at, now - endpoint.age_ms * MS)
        for record_id in reported:
            self._record_seen(record_id, now)

    def _is_reported(self, record_id: str) -> bool:
        return any(record_id in reported for reported in self.reported_by.values())

    def _record_seen(self, record_id: str, at: int) -> None:
        self.seen_at[record_id] = max(self.seen_at.get(record_id, 0), at)

    def disconnected(self, ip: str) -> None:
        """Drop the reports of a node that is no longer linked."""
        self.reported_by.pop(ip, None)
