"""Liveness reports: which control node receives the heartbeats of which workers and gatekeepers. No I/O.

A control node answers for the endpoints whose heartbeats it gets until it reports that it no longer does. One
short message a second stands for all heartbeats in it.
"""

from __future__ import annotations

from pepperrun.control.peer_messages import LivenessReport, ReportedEndpoint
from pepperrun.distribution.digests import GATEWAY_PREFIX

MS = 1_000_000  # ns
GATEWAY_QUIET_NS = 900 * MS  # a gatekeeper sends far more often than a worker
NEVER = -1 << 62


class LivenessReports:
    """What one control node receives itself and what the others report.

    Endpoints are named by their record ids (`distribution.digests.record_id`).

    Parameters
    ----------
    worker_quiet_ns : int
        A worker without a heartbeat for so long is no longer reported as received here.

    Attributes
    ----------
    received_at : dict of str to int
        Endpoints whose heartbeats come to this node, and when the last one came.
    seen_at : dict of str to int
        When any node received the last heartbeat, as far as is known here.
    reported_by : dict of str to set of str
        Endpoints that other nodes receive, by the node's ip.
    unreported : list of str
        Endpoints that are received here since the last report.
    """

    def __init__(self, worker_quiet_ns: int, now: int) -> None:
        self.worker_quiet_ns = worker_quiet_ns
        self.received_at: dict[str, int] = {}
        self.seen_at: dict[str, int] = {}
        self.reported_by: dict[str, set[str]] = {}
        self.unreported: list[str] = []

    # This node's own.

    def record_heartbeat(self, record_id: str, now: int) -> None:
        """Note a heartbeat that came to this node."""
        if record_id not in self.received_at:
            self.unreported.append(record_id)
        self.received_at[record_id] = now
        self.seen_at[record_id] = now

    def record_update(self, record_id: str, *, is_present: bool, now: int) -> None:
        """Note a newer record. Who says that the endpoint is there saw it lately, or will find it silent."""
        self.seen_at[record_id] = now if is_present else self.seen_at.get(record_id, now)

    def receives(self, record_id: str, now: int) -> bool:
        """Whether its heartbeats come to this node."""
        return now - self.received_at.get(record_id, NEVER) < self._quiet_ns(record_id)

    def _quiet_ns(self, record_id: str) -> int:
        return GATEWAY_QUIET_NS if record_id.startswith(GATEWAY_PREFIX) else self.worker_quiet_ns

    def last_seen(self, record_id: str, now: int) -> int:
        """When any node received its last heartbeat, as far as is known here; `now` where nothing is."""
        return self.seen_at.get(record_id, now)

    def forget(self, record_id: str) -> None:
        """Drop an endpoint whose record is gone."""
        self.seen_at.pop(record_id, None)

    # Reports.

    def full_report(self, now: int) -> LivenessReport:
        """Report for a node that was just linked: all endpoints, with the time since each heartbeat."""
        everyone = [ReportedEndpoint(name, (now - at) // MS) for name, at in self.received_at.items()]
        return LivenessReport(full=everyone)

    def periodic_report(self, now: int) -> LivenessReport:
        """Report of each second: who is received no longer, and who is received anew."""
        silent = [name for name, at in self.received_at.items() if now - at > self._quiet_ns(name)]
        removed = [ReportedEndpoint(name, (now - self.received_at.pop(name)) // MS) for name in silent]
        return LivenessReport(removed=removed or None, added=self._take_unreported() or None)

    def added_report(self) -> LivenessReport:
        """Report of the endpoints that are received since the last one; empty where there are none."""
        return LivenessReport(added=self._take_unreported() or None)

    def _take_unreported(self) -> list[str]:
        unreported = [name for name in self.unreported if name in self.received_at]
        self.unreported = []
        return unreported

    # Other nodes'.

    def on_report(self, ip: str, report: LivenessReport, now: int) -> None:
        """Handle the report of another control node."""
        reported = self.reported_by.setdefault(ip, set())
        if report.full is not None:
            reported.clear()
            for endpoint in report.full:
                reported.add(endpoint.record_id)
                self._saw(endpoint.record_id, now - endpoint.age_ms * MS)
        reported.update(report.added or ())
        for endpoint in report.removed or ():
            reported.discard(endpoint.record_id)
            if not self._is_reported(endpoint.record_id):
                # What was reported in between was too much.
                received_at = self.received_at.get(endpoint.record_id, 0)
                self.seen_at[endpoint.record_id] = max(received_at, now - endpoint.age_ms * MS)
        for record_id in reported:
            self._saw(record_id, now)

    def _is_reported(self, record_id: str) -> bool:
        return any(record_id in reported for reported in self.reported_by.values())

    def _saw(self, record_id: str, at: int) -> None:
        self.seen_at[record_id] = max(self.seen_at.get(record_id, 0), at)

    def disconnected(self, ip: str) -> None:
        """Drop the reports of a node that is no longer linked."""
        self.reported_by.pop(ip, None)
