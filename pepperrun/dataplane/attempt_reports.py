"""Log lines and counts of attempts that this gatekeeper abandoned or judged late while their worker may be at
work, and of attempts whose client has left.

They show afterwards who ended an attempt and on what evidence, when a client's disconnect was noticed, and
how long work went on after it. Lines are limited to so many per second; the counts, which `show` prints, are
complete.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from pepperrun.core.interface import Outcome
from pepperrun.dataplane.answer_times import AnswerTime
from pepperrun.dataplane.numbering import MS
from pepperrun.dataplane.trace import LogRateLimit
from pepperrun.exchange import End, Exchange
from pepperrun.foundation.logs import event as log_event
from pepperrun.net.connection import AbandonReason, Attempt

ABANDONED, LATE, ANSWERED_WITH_OPEN_ATTEMPTS = "attempt-abandoned", "attempt-late", "answered-over-attempt"
CLIENT_LEFT, OUTLIVED = "client-left", "attempt-outlived-client"
OUTLIVED_NS = 500 * MS  # work that goes on for so long after its client has left is reported as wasted
LINES_PER_S = 20.0
MAX_ID_LENGTH = 64  # characters of a logged Attempt-Id


class AttemptReports:
    """Logs and counts the abandoned and late attempts of one gatekeeper.

    Parameters
    ----------
    clock
        Returns the monotonic clock in nanoseconds.
    worker_name
        Returns the id of the worker with this number.
    is_draining
        Returns True once this gatekeeper is draining.
    log
        Writes one event.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        worker_name: Callable[[int], str],
        is_draining: Callable[[], bool],
        log: Callable[..., None] = log_event,
    ) -> None:
        self.clock, self.worker_name, self.is_draining, self.log = clock, worker_name, is_draining, log
        self.abandoned_by_reason: Counter[AbandonReason] = Counter()
        self.counts: Counter[str] = Counter()  # by event
        self._limit = LogRateLimit(LINES_PER_S, clock())
        # When the client left, by request and attempt, while the attempt is in flight.
        self._left_at: dict[tuple[int, int], int] = {}

    def abandoned(self, attempt: Attempt, reason: AbandonReason) -> None:
        """Records that this side ends an attempt that has been written to its worker."""
        self.abandoned_by_reason[reason] += 1
        self._write(ABANDONED, attempt.exchange, attempt.number, attempt.backend, reason=reason)

    def late(self, attempt: Attempt, known: AnswerTime, limit_ns: float) -> None:
        """Records that an attempt counts as a failure of its worker before its end, and by which measure."""
        measure = {"mean_ms": known.mean_ns / MS, "limit_ms": limit_ns / MS, "answers": known.answers}
        self._write(LATE, attempt.exchange, attempt.number, attempt.backend, **measure)

    def answered_with_open_attempts(self, exchange: Exchange[Any, Any], end: End) -> None:
        """Records a final answer of this gatekeeper itself while a worker may be at work on the request."""
        number = max(exchange.open_attempts)
        self._write(ANSWERED_WITH_OPEN_ATTEMPTS, exchange, number, None, end=end.value.replace(" ", "-"))

    def client_left(self, attempts: list[Attempt]) -> None:
        """Records that the client of these attempts has left while they are in flight."""
        for attempt in attempts:
            self._left_at[attempt.exchange.id, attempt.number] = self.clock()
            written = attempt.connection is not None
            self._write(CLIENT_LEFT, attempt.exchange, attempt.number, attempt.backend, written=written)

    def ended(self, exchange: Exchange[Any, Any], number: int, worker: int, outcome: Outcome) -> None:
        """Records an attempt if it ended long after its client had left."""
        left_at = self._left_at.pop((exchange.id, number), None)
        if left_at is not None and (after_ns := self.clock() - left_at) > OUTLIVED_NS:
            ended = {"after_ms": after_ns // MS, "outcome": outcome.value}
            self._write(OUTLIVED, exchange, number, worker, **ended)

    def _write(
        self, event: str, exchange: Exchange[Any, Any], number: int, worker: int | None, **more: object
    ) -> None:
        now = self.clock()
        self.counts[event] += 1
        if not self._limit.allow(now):
            return
        name = self.worker_name(worker) if worker is not None else "-"
        self.log(
            event,
            id=exchange.request.headers.get(b"attempt-id", b"-").decode("latin-1")[:MAX_ID_LENGTH],
            worker=name,
            out_ms=(now - exchange.attempt_times[number]) // MS,
            left_ms=(exchange.deadline - now) // MS,
            attempts=len(exchange.attempt_times),
            draining=self.is_draining(),
            **more,
        )
