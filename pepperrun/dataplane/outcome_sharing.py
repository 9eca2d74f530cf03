"""Sharing of outcomes: what outlier ejection learns of own attempts and from the others of the zone.

`outcome_report` has the message between gatekeepers, `answer_times` when an attempt is late, `ejection`
what follows for a worker. That a worker hangs is only ever suspected here: nothing in this module ends an
attempt but one whose request another attempt has been answered for.
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
MAX_RECEIVERS = 16  # gatekeepers that one reports to: of larger zones those next to it by hash
REPORT_S = 0.05  # what is seen within this goes together: short against the time between two of its requests
CHECK_S = 0.25  # between checks for late attempts
FAILED = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)


class SharedStaleRates(StaleRates):
    """What is learnt of rested connections, here and by the others of the zone."""

    def __init__(self, report: Callable[[int], None]) -> None:
        super().__init__()
        self.report = report

    def record_reuse(self, idle_ns: int, stale: bool) -> None:
        """A rested connection was used; one that proved stale is reported."""
        super().record_reuse(idle_ns, stale)
        if stale:
            self.report(self._bucket(idle_ns))

    def merge_reported(self, step: int) -> None:
        """Another has met one: as if it were the first here. Who has met more knows better."""
        if step < len(self.rates):
            self.rates[step] = max(self.rates[step], self.SAMPLE_WEIGHT)


class OutcomeSharing:
    """Stands between the attempts and the decisions, and sees how each ends.

    Parameters
    ----------
    passed
        Is told next of each end.
    suspected
        Is told of a late attempt of a safe request at an ejected worker. That the worker hangs is not known.
    draw
        From 0 to 1.
    reports
        Where late and abandoned attempts are logged and counted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        workers: WorkerTable,
        peer_messages: PeerMessages,
        passed: OnAttemptEnded,
        suspected: Callable[[Exchange[Any, Any], int], None],
        draw: Callable[[], float],
        reports: AttemptReports,
    ) -> None:
        self.loop, self.clock, self.workers, self.peer_messages = loop, clock, workers, peer_messages
        self.passed, self.on_suspected, self.reports = passed, suspected, reports
        self.is_draining = reports.is_draining
        self.answer_times: defaultdict[int, AnswerTime] = defaultdict(AnswerTime)  # by class
        self.ejection = OutlierEjection(self._alternatives, draw, self._on_ejected)
        self.stale_rates = SharedStaleRates(self._on_stale_rest)
        self.upstream: UpstreamClient | None = None
        self.receivers: list[int] = []  # peers' numbers: whom this one reports to
        self.unreported_rests: set[int] = set()
        self.late: set[tuple[int, int]] = set()  # attempts that were counted before their end
        self.report_timer: asyncio.TimerHandle | None = None
        self.checked_at = clock()
        self.check_timer = loop.call_later(CHECK_S, self.check_late_attempts)
        peer_messages.handlers[TAG] = self.on_report

    def start(self, servers: UpstreamClient) -> None:
        """These carry out the attempts."""
        self.upstream = servers
        servers.stale_rates = self.stale_rates
        servers.ends_stalled = self.stalled

    # Who there is.

    def on_gateways(self, gateways: Iterable[GatewayRecord], station: str, zone: str) -> None:
        """The gatekeepers that there are: those of this zone share what they see."""
        names = {station}
        for gateway in gateways:
            if gateway.zone == zone and gateway.state in (GatewayState.READY, GatewayState.STARTING):
                names.add(gateway.name)
        ring = sorted(names, key=name_hash)
        self.ejection.zone_size = len(ring)
        at = ring.index(station)
        lives = self.peer_messages.peers.present
        next_ones = (ring[at + 1 :] + ring[:at])[:MAX_RECEIVERS]
        self.receivers = [lives[name][1] for name in next_ones if name in lives]

    def _alternatives(self, worker: int) -> list[int]:
        """The workers that bear the same load in the same region, itself included."""
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

    # What is seen.

    def ended(
        self,
        exchange: Exchange[Any, Any],
        attempt: int,
        backend: int,
        outcome: Outcome,
        given: object = None,
        units: float = 0.0,
    ) -> None:
        """An attempt has ended."""
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
        elif outcome is Outcome.OK or outcome in FAILED and not self._own_doing(exchange, backend, outcome):
            self._record(backend, outcome is Outcome.OK, now)
        self.passed(exchange, attempt, backend, outcome, given, units)
        if outcome is Outcome.OK and self.upstream is not None:
            for other in sorted(exchange.open_attempts):
                self.upstream.cancel(exchange, other, AbandonReason.SUPERSEDED)

    def _own_doing(self, exchange: Exchange[Any, Any], backend: int, outcome: Outcome) -> bool:
        """It got no connection: none may go there now, or all that this gatekeeper may have were busy."""
        if outcome is not Outcome.CONNECT_FAILED:
            return False
        return self.workers.address(backend) is None or self.clock() >= exchange.deadline - MS

    def _record(self, backend: int, good: bool, now: int) -> None:
        self.ejection.record_own(backend, good, now)
        self._schedule_report()

    def _on_stale_rest(self, step: int) -> None:
        self.unreported_rests.add(step)
        self._schedule_report()

    def check_late_attempts(self) -> None:
        """Attempts that are out for too long count at once; what may run again gets another beside.

        A gatekeeper that is told to stop judges nobody: it sends nothing new, so that what it has left are
        the long ones, and no good answer to a short one offsets them.
        """
        self.check_timer = self.loop.call_later(CHECK_S, self.check_late_attempts)
        now, servers = self.clock(), self.upstream
        stood_still, self.checked_at = now - self.checked_at > 3 * CHECK_S * SECOND, now
        if servers is None or stood_still:  # that they are late is this process's own doing
            return
        waiting = [
            one for one in servers.attempts.values() if one.connection and not one.exchange.wait_after_body_ns
        ]
        running_ns: Counter[int] = Counter()
        for attempt in waiting:
            running_ns[attempt.exchange.cls] += _out_ns(attempt, now)
        for attempt in waiting:
            cls = attempt.exchange.cls
            limit_ns = self.answer_times[cls].late_ns(running_ns[cls])
            if _out_ns(attempt, now) <= limit_ns:
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

    def stalled(self, attempt: Attempt) -> bool:
        """An answer has begun and comes no further: what may run again gets another attempt beside.

        Returns whether the attempt is to end for that, which it never is: its worker may go on.
        """
        if _is_safe(attempt):
            self.on_suspected(attempt.exchange, attempt.number)
        return False

    # Between gatekeepers.

    def _schedule_report(self) -> None:
        if self.report_timer is None and (self.ejection.unreported or self.unreported_rests):
            self.report_timer = self.loop.call_later(REPORT_S, self.send_report)

    def send_report(self) -> None:
        """What is new goes to the others of the zone."""
        self.report_timer = None
        counts, rests = self.ejection.take_unreported(), sorted(self.unreported_rests)
        self.unreported_rests.clear()
        own, incarnation = self.peer_messages.own, self.peer_messages.life()
        for first in range(0, max(1, len(counts)), MAX_ROWS):
            some = counts[first : first + MAX_ROWS]
            self._send(encode(OutcomeReport(own, incarnation, some, [] if first else rests)))

    def _send(self, data: bytes) -> None:
        for number in self.receivers:
            if (where := self.peer_messages.peers.addresses.get(number)) is not None:
                self.peer_messages.send_datagram(data, where)

    def on_report(self, data: bytes, addr: Address) -> None:
        """A datagram of another gatekeeper."""
        report = decode(data)
        if report is None:
            return
        source = self.peer_messages.peers.find(report.station, report.incarnation)
        if source is None:
            return
        known = [count for count in report.counts if count.worker in self.workers.by_number]
        self.ejection.record_reported(source, known, self.clock())
        for step in report.rests:
            self.stale_rates.merge_reported(step)

    def close(self) -> None:
        """Ends it."""
        self.check_timer.cancel()
        if self.report_timer is not None:
            self.report_timer.cancel()


def _out_ns(attempt: Attempt, now: int) -> int:
    return now - attempt.exchange.attempt_times[attempt.number]


def _is_safe(attempt: Attempt) -> bool:
    return attempt.exchange.gate_context is not None and attempt.exchange.gate_context.safe
