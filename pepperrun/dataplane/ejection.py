"""Outlier ejection: takes workers out of use by the outcomes of requests, not by what the workers say.

Decides without I/O. A single gatekeeper sees an unhealthy worker too seldom: with 12 requests a second over
three services and eight workers each, a worker that fails half of them would be told from chance only after
most of a fault's duration. So the gatekeepers of a zone combine what they see. A gatekeeper that has seen a
failure reports the counts of that worker to the others of its zone, and while the worker is suspected so do
they; of workers that do well nothing is reported. Each gatekeeper judges for itself from the same counts. So
an ejection holds for the callers of this zone and depends on no machine that might be down, and a worker that
fails the callers of one zone is ejected by those only.

A failure adds FAILURE_SCORE to a worker's score, a success subtracts SUCCESS_SCORE, down to 0. So the score
of a worker that fails fewer than one in nine requests falls (occasional lost or invalid responses do not make
it unhealthy), three failures in a row reach EJECTION_SCORE, and a worker that fails 45% is found after about
eight responses. A worker's own Not-Run or 421 counts for nothing: the worker is full, or it is another one.
No worker is ejected on the report of one other gatekeeper alone: the links of that gatekeeper may be bad.

An ejected worker gets no requests for EJECTION_NS, twice as long each time it is found to fail again, at most
MAX_EJECTION_NS. Then the gatekeepers of the zone together try it with some requests a second, safe ones where
its service has any: one failure ends the trial, some successes end the ejection. Of the workers of one
service in one region that take load, at most a third are ejected. Where more than half look bad the fault is
not theirs, and none is ejected.

`core.fleet` ejects backends too, in each gatekeeper for itself and for one class of requests. It knows only
the outcomes that this gatekeeper saw, because `Numbering.settings` turns `share_backend_reports` off. There
three failures in a row suffice, and the score halves every 8 s. A worker gets a request only where both allow
it: `core.fleet` calls `Gate.may_send`, which asks this module, for each backend that it would choose.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import NamedTuple

SECOND = 1_000_000_000
FAILURE_SCORE, SUCCESS_SCORE, EJECTION_SCORE = 4.0, 0.5, 12.0  # the module text explains them
TRIAL_SUCCESS_SCORE = 2.0  # subtracted by a success on trial: four in a row end the trial
EJECTION_NS = 2 * SECOND  # the first time
MAX_EJECTION_NS = 8 * SECOND  # limits an undeserved ejection
TRIAL_INTERVAL_NS = SECOND // 2  # between two trials by all gatekeepers of a zone
FORGET_NS = 10 * SECOND  # a score without an update for so long is dropped
SELF = 0  # as a source: this gatekeeper itself; the others have numbers above 0
MAX_COUNT = 255  # of a count in a datagram


class OutcomeCount(NamedTuple):
    """The outcomes that one gatekeeper saw at a worker since its last report."""

    worker: int
    good: int
    bad: int


@dataclass(slots=True)
class FailureRecord:
    """What is known of one worker that has failed recently. Times are monotonic ns."""

    updated_at: int
    score: float = 0.0
    reporters: set[int] = field(default_factory=set)  # the gatekeepers that saw it fail
    ejected_until: int = 0
    ejected_ns: int = 0  # duration of the last ejection; 0: never ejected
    on_trial: bool = False  # it was ejected, and gets few requests now
    next_trial_at: int = 0  # when this gatekeeper may send the next request of the trial


class OutlierEjection:
    """Failure records of workers, and which workers are ejected by them.

    Parameters
    ----------
    alternatives
        Returns the workers that take the same load in the same region as a worker, itself included.
    draw
        Returns a random number from 0 to 1.
    on_ejected
        Called with each ejection.
    """

    def __init__(
        self,
        alternatives: Callable[[int], Collection[int]],
        draw: Callable[[], float],
        on_ejected: Callable[[int, FailureRecord], None] = lambda worker, record: None,
    ) -> None:
        self.alternatives, self.draw, self.on_ejected = alternatives, draw, on_ejected
        self.records: dict[int, FailureRecord] = {}
        self.unreported: dict[int, list[int]] = {}  # successes and failures not yet reported, by worker
        self.zone_size = 1  # gatekeepers of this zone

    # Evidence.

    def record_own(self, worker: int, good: bool, now: int) -> None:
        """Records an outcome that this gatekeeper saw."""
        if good and worker not in self.records:
            return
        count = self.unreported.setdefault(worker, [0, 0])
        count[not good] += 1
        self._add(worker, SELF, int(good), int(not good), now)

    def record_reported(self, source: int, counts: Collection[OutcomeCount], now: int) -> None:
        """Records the report of another gatekeeper of this zone; `source` is above 0."""
        for worker, good, bad in counts:
            if bad or worker in self.records:
                self._add(worker, source, good, bad, now)

    def take_unreported(self) -> list[OutcomeCount]:
        """Returns and clears the counts that the other gatekeepers have not been sent."""
        out = [
            OutcomeCount(worker, min(good, MAX_COUNT), min(bad, MAX_COUNT))
            for worker, (good, bad) in self.unreported.items()
        ]
        self.unreported.clear()
        return out

    def _add(self, worker: int, source: int, good: int, bad: int, now: int) -> None:
        record = self.records.get(worker)
        if record is None or now - max(record.updated_at, record.ejected_until) > FORGET_NS:
            record = self.records[worker] = FailureRecord(now)
        record.updated_at = now
        if record.ejected_until > now:
            return  # late outcomes of requests sent before the ejection
        if bad:
            record.reporters.add(source)
        success = TRIAL_SUCCESS_SCORE if record.on_trial else SUCCESS_SCORE
        record.score += FAILURE_SCORE * bad - success * good
        if record.score <= 0:
            del self.records[worker]
        elif record.score >= EJECTION_SCORE and (SELF in record.reporters or len(record.reporters) > 1):
            self._eject(worker, record, now)

    def _eject(self, worker: int, record: FailureRecord, now: int) -> None:
        record.score = EJECTION_SCORE
        alternatives = self.alternatives(worker)
        known = [self.records[one] for one in alternatives if one in self.records]
        ejected = [one for one in known if one.ejected_until > now]
        looking_bad = [one for one in known if one.score >= EJECTION_SCORE or one.ejected_until > now]
        if 2 * len(looking_bad) > len(alternatives):
            for one in ejected:
                one.ejected_until, one.on_trial = 0, False
        elif len(ejected) < len(alternatives) // 3:
            record.ejected_ns = min(MAX_EJECTION_NS, 2 * record.ejected_ns) or EJECTION_NS
            record.ejected_until, record.on_trial = now + record.ejected_ns, True
            record.score = EJECTION_SCORE - FAILURE_SCORE  # one failure ends the trial
            spread_ns = int(self.draw() * TRIAL_INTERVAL_NS * self.zone_size)
            record.next_trial_at = record.ejected_until + spread_ns
            self.on_ejected(worker, record)

    # Effects.

    def is_ejected(self, worker: int, now: int) -> bool:
        """Returns whether the worker is ejected now."""
        record = self.records.get(worker)
        return record is not None and record.ejected_until > now

    def may_send(self, worker: int, now: int, safe: bool = True) -> bool:
        """Returns whether a request may go to the worker.

        `safe`: the request may be retried, or its service has no requests that may.
        """
        record = self.records.get(worker)
        if record is None or not record.on_trial:
            return True
        return safe and now >= max(record.ejected_until, record.next_trial_at)

    def on_sent(self, worker: int, now: int) -> None:
        """Notes that a request was sent to the worker."""
        record = self.records.get(worker)
        if record is not None and record.on_trial:
            record.next_trial_at = now + TRIAL_INTERVAL_NS * self.zone_size

    def retain(self, known: Collection[int]) -> None:
        """Forgets all workers except these."""
        for table in (self.records, self.unreported):
            for worker in [one for one in table if one not in known]:
                del table[worker]
