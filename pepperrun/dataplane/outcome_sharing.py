"""Sharing of outcomes: feeds outlier ejection with own attempts and with reports from the same zone.

`outcome_report` has the message between gatekeepers, `answer_times` decides when an attempt is late, and
`ejection` which workers are ejected. This module only ever suspects that a worker hangs: it ends no attempt
except those whose request has been answered by another attempt.
"""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from pepperrun.control.records import GatewayRecord, GatewayState, WorkerState
from pepperrun.core.interface import Outcome
from pepperrun.dataplane.answer_times import AnswerTime
from pepperrun.dataplane.attempt_reports import AttemptReports
from pepperrun.dataplane.ejection import FailureRecord, OutlierEjection
from pepperrun.dataplane.numbering import MS, name_hash
from pepperrun.dataplane.outcome_report import MAX_ROWS, TAG, OutcomeReport, decode, encode
from pepperrun.dataplane.peer_messages import PeerMessages
from pepperrun.dataplane.workers import WorkerTable
from pepperrun.exchange import End, Exchange
from pepperrun.foundation.logs import event
from pepperrun.foundation.settings import Address
from pepperrun.net.connection import AbandonReason, Attempt
from pepperrun.net.stale_rates import StaleRates
from pepperrun.net.upstream import OnAttemptEnded, UpstreamClient

SECOND = 1_000_000_000
MAX_RECEIVERS = 16  # gatekeepers that one reports to; in larger zones those next to it by hash
# Outcomes within this time share a report: short against the time between two of a gatekeeper's requests.
REPORT_S = 0.05
CHECK_S = 0.25  # between checks for late attempts
FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)


class SharedStaleRates(StaleRates):
    """Stale rates of idle connections, from this gatekeeper and the others of its zone."""

    def __init__(self, report: Callable[[int], None]) -> None:
        super().__init__()
        self.report = report

    def record_reuse(self, idle_ns: int, stale: bool) -> None:
        """Records the reuse of an idle connection; a stale one is reported."""
        super().record_reuse(idle_ns, stale)
        if stale:
            self.report(self._bucket(idle_ns))

    def merge_reported(self, bucket: int) -> None:
        """Counts another gatekeeper's stale connection as if it were the first here.

        A higher rate of this gatekeeper stays, as it rests on more connections.
        """
        if bucket < len(self.rates):
            self.rates[bucket] = max(self.rates[bucket], self.SAMPLE_WEIGHT)


class OutcomeSharing:
    """Receives the end of each attempt, passes it on to the core, and shares the outcomes within the zone.

    Parameters
    ----------
    on_ended
        Called next with each end.
    on_suspected
        Called with a late attempt of a safe request at an ejected worker. The worker may or may not hang.
    draw
        Returns a random number from 0 to 1.
    reports
        Where late and abandoned attempts are logged and counted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        workers: WorkerTable,
        peer_messages: PeerMessages,
        on_ended: OnAttemptEnded,
        on_suspected: Callable[[Exchange[Any, Any], int], None],
        draw: Callable[[], float],
        reports: AttemptReports,
    ) -> None:
        self.loop, self.clock, self.workers, self.peer_messages = loop, clock, workers, peer_messages
        self.on_ended, self.on_suspected, self.reports = on_ended, on_suspected, reports
        self.is_draining = reports.is_draining
        self.answer_times: defaultdict[int, AnswerTime] = defaultdict(AnswerTime)  # by class
        self.ejection = OutlierEjection(self._alternatives, draw, self._on_ejected)
        self.stale_rates = SharedStaleRates(self._on_stale_connection)
        self.upstream: UpstreamClient | None = None
        self.receivers: list[int] = []  # numbers of the peers that this gatekeeper reports to
        self.unreported_buckets: set[int] = set()
        self.late: set[tuple[int, int]] = set()  # attempts that were counted as failures before their end
        self.report_timer: asyncio.TimerHandle | None = None
        self.checked_at = clock()
        self.check_timer = loop.call_later(CHECK_S, self.check_late_attempts)
        peer_messages.handlers[TAG] = self.on_report

    def start(self, upstream: UpstreamClient) -> None:
        """Attaches the client that carries out the attempts."""
        self.upstream = upstream
        upstream.stale_rates = self.stale_rates
        upstream.ends_stalled = self.on_stalled

    # Membership.

    def on_gateways(self, gateways: Iterable[GatewayRecord], own_name: str, zone: str) -> None:
        """Applies which gatekeepers are present: those of this zone share what they see."""
        names = {own_name}
        for gateway in gateways:
            if gateway.zone == zone and gateway.state in (GatewayState.READY, GatewayState.STARTING):
                names.add(gateway.name)
        ring = sorted(names, key=name_hash)
        self.ejection.zone_size = len(ring)
        at = ring.index(own_name)
        present = self.peer_messages.peers.present
        successors = (ring[at + 1 :] + ring[:at])[:MAX_RECEIVERS]
        self.receivers = [present[name][1] for name in successors if name in present]

    def _alternatives(self, worker: int) -> list[int]:
        """Returns the workers that take the same load in the same region, itself included."""
        workers, now = self.workers, self.clock()
        known = workers.by_number.get(worker)
        if known is None:
            return []
        return [
            number
            for number, one in workers.by_number.items()
            if (one.service, one.region) == (known.service, known.region)
            and one.record.state == WorkerState.SERVING
            and not workers.is_warming_up(one, now)
            and workers.address(number) is not None
        ]

    def _on_ejected(self, worker: int, record: FailureRecord) -> None:
        name = self.workers.id_by_number.get(worker, "?")
        event("ejected", worker=name, ms=record.ejected_ns // MS, seen_by=len(record.reporters))

    # Outcomes.

    def ended(
        self,
        exchange: Exchange[Any, Any],
        attempt: int,
        backend: int,
        outcome: Outcome,
        given: object = None,
        units: float = 0.0,
    ) -> None:
        """Handles the end of an attempt. Other attempts of a request that was answered are cancelled."""
        now, key = self.clock(), (exchange.id, attempt)
        self.reports.ended(exchange, attempt, backend, outcome)
        if outcome is Outcome.OK:
            self.answer_times[exchange.cls].add(now - exchange.attempt_times[attempt])
        elif (
            outcome is Outcome.CANCELLED
            and exchange.end is End.CLIENT_LEFT
            and not exchange.wait_after_body_ns
        ):
            self.answer_times[exchange.cls].add_cancelled(now - exchange.attempt_times[attempt])
        if key in self.late:
            self.late.discard(key)
        elif (
            outcome is Outcome.OK
            or outcome in FAILURES
            and not self._is_local_failure(exchange, backend, outcome)
        ):
            self._record(backend, outcome is Outcome.OK, now)
        self.on_ended(exchange, attempt, backend, outcome, given, units)
        if outcome is Outcome.OK and self.upstream is not None:
            for other in sorted(exchange.open_attempts):
                self.upstream.cancel(exchange, other, AbandonReason.SUPERSEDED)

    def _is_local_failure(self, exchange: Exchange[Any, Any], backend: int, outcome: Outcome) -> bool:
        """Whether an attempt failed to connect for a reason that is not the worker's.

        Nothing may be sent there now, or all connections that this gatekeeper may have there were busy.
        """
        if outcome is not Outcome.CONNECT_FAILED:
            return False
        return self.workers.address(backend) is None or self.clock() >= exchange.deadline - MS

    def _record(self, backend: int, good: bool, now: int) -> None:
        self.ejection.record_own(backend, good, now)
        self._schedule_report()

    def _on_stale_connection(self, bucket: int) -> None:
        self.unreported_buckets.add(bucket)
        self._schedule_report()

    def check_late_attempts(self) -> None:
        """Counts attempts in flight for too long as failures; safe ones get another attempt beside them.

        A gatekeeper that drains judges no worker: it sends nothing new, so only its long attempts are left,
        and no success of a short one offsets them.
        """
        self.check_timer = self.loop.call_later(CHECK_S, self.check_late_attempts)
        now, upstream = self.clock(), self.upstream
        was_paused, self.checked_at = now - self.checked_at > 3 * CHECK_S * SECOND, now
        if upstream is None or was_paused:  # attempts may be late because this process was paused
            return
        waiting = [
            one
            for one in upstream.attempts.values()
            if one.connection and not one.exchange.wait_after_body_ns
        ]
        running_ns: Counter[int] = Counter()
        for attempt in waiting:
            running_ns[attempt.exchange.cls] += _running_ns(attempt, now)
        for attempt in waiting:
            cls = attempt.exchange.cls
            limit_ns = self.answer_times[cls].late_ns(running_ns[cls])
            if _running_ns(attempt, now) <= limit_ns:
                continue
            if not self.is_draining():
                self._count_late(attempt, limit_ns, now)
            if self.ejection.is_ejected(attempt.backend, now) and _is_safe(attempt):
                self.on_suspected(attempt.exchange, attempt.number)

    def _count_late(self, attempt: Attempt, limit_ns: float, now: int) -> None:
        key = (attempt.exchange.id, attempt.number)
        if key in self.late:
            return
        self.late.add(key)
        self.reports.late(attempt, self.answer_times[attempt.exchange.cls], limit_ns)
        self._record(attempt.backend, False, now)

    def on_stalled(self, attempt: Attempt) -> bool:
        """Requests another attempt beside one whose response has begun and stalls, if the request is safe.

        Returns whether the stalled attempt is to be ended. That is never so: its worker may go on.
        """
        if _is_safe(attempt):
            self.on_suspected(attempt.exchange, attempt.number)
        return False

    # Between gatekeepers.

    def _schedule_report(self) -> None:
        if self.report_timer is None and (self.ejection.unreported or self.unreported_buckets):
            self.report_timer = self.loop.call_later(REPORT_S, self.send_report)

    def send_report(self) -> None:
        """Sends the outcomes not yet reported to the other gatekeepers of the zone."""
        self.report_timer = None
        counts, buckets = self.ejection.take_unreported(), sorted(self.unreported_buckets)
        self.unreported_buckets.clear()
        own_hash, incarnation = self.peer_messages.own_hash, self.peer_messages.incarnation()
        for first in range(0, max(1, len(counts)), MAX_ROWS):
            some = counts[first : first + MAX_ROWS]
            self._send(encode(OutcomeReport(own_hash, incarnation, some, [] if first else buckets)))

    def _send(self, data: bytes) -> None:
        for number in self.receivers:
            if (address := self.peer_messages.peers.addresses.get(number)) is not None:
                self.peer_messages.send_datagram(data, address)

    def on_report(self, data: bytes, addr: Address) -> None:
        """Handles a report from another gatekeeper; ignores one that is invalid or of an unknown sender."""
        report = decode(data)
        if report is None:
            return
        source = self.peer_messages.peers.find(report.sender_hash, report.incarnation)
        if source is None:
            return
        known = [count for count in report.counts if count.worker in self.workers.by_number]
        self.ejection.record_reported(source, known, self.clock())
        for bucket in report.stale_buckets:
            self.stale_rates.merge_reported(bucket)

    def close(self) -> None:
        """Stops the timers."""
        self.check_timer.cancel()
        if self.report_timer is not None:
            self.report_timer.cancel()


def _running_ns(attempt: Attempt, now: int) -> int:
    return now - attempt.exchange.attempt_times[attempt.number]


def _is_safe(attempt: Attempt) -> bool:
    return attempt.exchange.gate_context is not None and attempt.exchange.gate_context.safe
