"""Judges (invariant checkers) of a drawn day: fed by what clients, workers and operators saw, nothing else.

They know the rules' figures and the orders as operators sent them; no part of the program is asked. Times are
the world's, ns. A time is calm where no trouble was under way in the `contact_ms` before it: rules that hold
only for machines in touch are judged there, a little less strictly than the rules are.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from pepperrun.foundation.settings import Bounds

MS = 1_000_000
SECOND = 1000 * MS
NEVER = 1 << 62


@dataclass
class Edition:
    """A configuration as an operator sent it. `acked` 0: not known whether it is in force."""

    number: int
    on: int
    sent: int
    keys: dict[str, str]  # key: tenant
    rates: dict[str, tuple[float, float]]  # tenant: rate, surge
    lines: dict[str, str]  # route: its service
    homes: dict[str, list[str]]  # route: its regions
    acked: int = 0
    refused: bool = False


@dataclass
class Asked:
    """One request of a client."""

    id: str
    gate: str
    life: int
    sent: int
    route: str
    key: str
    tenant: str
    safe: bool
    deadline: int = NEVER
    status: int = 0
    answered: int = 0
    runs: list[tuple[int, str]] = field(default_factory=list)  # when, worker
    given_up: list[tuple[int, str]] = field(default_factory=list)  # when, worker that was at work


@dataclass
class Seen:
    """What a worker knows of itself."""

    id: str
    service: str
    zone: str
    region: str
    cold: list[list[int]] = field(default_factory=list)  # spans
    unloading_acked: int = 0


class Judges:
    """Takes what was seen; `broken` holds a line for each rule that was broken."""

    def __init__(self, bounds: Bounds, cold_per_s: float) -> None:
        self.bounds, self.cold_per_s = bounds, cold_per_s
        self.editions: dict[int, Edition] = {}
        self.asked: dict[str, Asked] = {}
        self.workers: dict[str, Seen] = {}
        self.evacuations: list[list[Any]] = []  # zone, acknowledged, taken back (sent)
        self.troubles: list[list[int]] = []  # spans
        self.broken: dict[str, str] = {}
        self.newest: dict[tuple[str, int], tuple[int, int]] = {}  # gatekeeper's life: edition, seen at
        self.arrivals: dict[str, list[tuple[int, bool]]] = defaultdict(list)  # service: when, a repeat

    def wrong(self, rule: str, text: str) -> None:
        """A rule is broken; the first of each is kept."""
        self.broken.setdefault(rule, text)

    # Trouble.

    def trouble(self, begin: int) -> list[int]:
        """Something is wrong from now on, until the second figure is set."""
        span = [begin, NEVER]
        self.troubles.append(span)
        return span

    def calm(self, since: int, until: int) -> bool:
        """Nothing was wrong from `contact_ms` before the first to the second."""
        since -= int((self.bounds.contact_ms + self.bounds.stretch_ms) * MS)
        return all(end < since or begin > until for begin, end in self.troubles)

    # Operators.

    def acknowledged(self, edition: Edition, now: int) -> None:
        """200 for a configuration."""
        edition.acked = edition.acked or now
        rivals = [one.number for one in self.editions.values() if one.acked and one.on == edition.on]
        if len(rivals) > 1:
            self.wrong("CONFIG-race", f"{rivals} were both acknowledged on top of {edition.on}")

    def read(self, asked_at: int, number: int, now: int) -> None:
        """A read answered 200 with this edition."""
        least = max((one.number for one in self.editions.values() if 0 < one.acked < asked_at), default=0)
        if number < least:
            self.wrong("LOST-config", f"{number} was read at {now / SECOND:.3f} s, {least} was acknowledged")
        if number and number not in self.editions:
            self.wrong("CONFIG-unsent", f"{number} was read, nobody sent it")

    def _might_hold(self) -> list[Edition]:
        return [one for one in self.editions.values() if not one.refused]

    # Workers.

    def ran(self, id: str, worker: str, now: int) -> None:
        """A worker began a request."""
        one, at, bounds = self.asked[id], self.workers[worker], self.bounds
        if not one.safe and one.runs:
            self.wrong("TWICE", f"{id} ran at {one.runs[0][1]} and at {worker}")
        if not one.safe and one.status in (429, 503):
            self.wrong("REFUSED", f"{id} was refused with {one.status} and ran later")
        self.arrivals[at.service].append((now, bool(one.runs)))
        one.runs.append((now, worker))
        may = [edition for edition in self._might_hold() if edition.lines.get(one.route) == at.service]
        if not may:
            self.wrong("ROUTE", f"{id} on {one.route} ran at {worker} of {at.service}")
            return
        homes = may[-1].homes.get(one.route)
        if homes and at.region not in homes:
            self.wrong("HOME", f"{id} on {one.route} ran in {at.region}")
        self._key(one)
        self._edition(one, [edition.number for edition in may], now)
        since = at.unloading_acked
        if since and now > since + int(bounds.drain_ms * MS) and self.calm(since, now):
            self.wrong("DRAIN", f"{id} reached {worker} {(now - since) / MS:.0f} ms after it said unloading")
        for zone, acked, back in self.evacuations:
            late = acked and acked + int(bounds.evacuation_ms * MS) < now < back
            if zone == at.zone and late and self.calm(acked, now):
                self.wrong("EVAC", f"{id} ran in {zone} {(now - acked) / MS:.0f} ms after its evacuation")

    def given_up(self, id: str, worker: str, now: int) -> None:
        """A gatekeeper closed the connection of a request that this worker is at."""
        self.asked[id].given_up.append((now, worker))

    def _key(self, one: Asked) -> None:
        if not one.key:
            return
        holding = [edition for edition in self._might_hold() if one.key in edition.keys]
        if not any(edition.keys[one.key] == one.tenant for edition in holding):
            self.wrong("ROUTE-key", f"{one.id} ran with the key {one.key} of nobody")
            return
        last = max(edition.number for edition in holding)
        gone = [one.acked for one in self.editions.values() if one.number > last and one.acked]
        if gone and one.sent > min(gone) + int(self.bounds.revoke_ms * MS):
            late = (one.sent - min(gone)) / MS
            self.wrong("CONFIG-revoke", f"{one.id} at {one.gate}: sent {late:.0f} ms after its key went")

    def _edition(self, one: Asked, may: list[int], now: int) -> None:
        """`may`: the editions that allow what was seen. Only one route tells editions apart.

        The gatekeeper holds the oldest of them that is not older than what it held: a later one of the same
        service may be on its way and be refused yet.
        """
        if one.route != "version":
            return
        newest, at = self.newest.get((one.gate, one.life), (0, 0))
        slack = int(self.bounds.revert_slack_ms * MS)
        edition = max(may)
        if edition < newest and one.sent > at + slack:
            self.wrong("CONFIG-back", f"{one.gate} served {edition} at {now / SECOND:.3f} s, {newest} before")
        held = min((number for number in may if number >= newest), default=newest)
        if held > newest:
            self.newest[one.gate, one.life] = held, now
        later = [e.acked for e in self.editions.values() if e.acked and e.number > edition]
        if later and one.sent > min(later) + int(self.bounds.edition_ms * MS) and self.calm(min(later), now):
            self.wrong("CONFIG-late", f"{one.id} at {one.gate} was served by {edition}, which is old")

    # Clients.

    def answered(self, id: str, status: int, now: int) -> None:
        """A client has its answer."""
        one = self.asked[id]
        one.status, one.answered = status, now
        if one.given_up and status != 200 and now < one.deadline and self.calm(one.sent, now):
            at, worker = one.given_up[-1]
            text = f"{id} was given up at {at / SECOND:.3f} s, {worker} was at work, its client got {status}"
            self.wrong("LOST-request", text)
        if status in (429, 503) and not one.safe and one.runs:
            self.wrong("REFUSED", f"{id} ran and was refused with {status}")
        if status in (401, 403, 404) and self.calm(one.sent, now):
            settled = [e for e in self._might_hold() if e.sent < one.sent]
            if settled and all(one.route in e.lines and one.key in e.keys for e in settled):
                self.wrong("DENIED", f"{id} got {status}")

    # The end of the day.

    def end(self, tail: int, now: int) -> None:
        """What only the whole day tells. `tail`: since when all troubles had been over for long."""
        self._quota()
        self._cold()
        self._budget()
        last = [one for one in self.asked.values() if one.sent >= tail and one.answered]
        served = sum(one.status == 200 for one in last)
        owed = [one for one in last if one.status != 429]
        if not owed or served * 4 < len(owed):
            self.wrong("RECOVER", f"{served} of {len(owed)} were served after {tail / SECOND:.1f} s")

    def _released(self, acked: int) -> int:
        """When a lower limit binds: `edition_ms` past its acknowledgement, all in touch, a window more."""
        bounds = self.bounds
        at = acked + int(bounds.edition_ms * MS)
        still = int((bounds.contact_ms + bounds.stretch_ms) * MS)
        for begin, end in sorted(self.troubles):
            if begin < at and end + still > at:
                at = NEVER if end == NEVER else end + still
        return at + int(bounds.quota_window_s * SECOND)

    def _quota(self) -> None:
        bounds, window = self.bounds, int(self.bounds.quota_window_s * SECOND)
        by: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for one in self.asked.values():
            if one.runs and one.tenant:
                by[one.tenant].append((one.sent, one.runs[0][0]))
        editions = sorted(self._might_hold(), key=lambda one: one.number)
        for tenant, runs in by.items():
            spans: list[tuple[int, int, float]] = []
            for at, edition in enumerate(editions):
                rate, surge = edition.rates.get(tenant, (0.0, 0.0))
                acked = [one.acked for one in editions[at + 1 :] if one.acked]
                most = (rate * bounds.quota_window_s + surge) * (1 + bounds.quota_excess) + bounds.quota_slack
                end = self._released(min(acked)) if acked else NEVER
                spans.append((edition.sent, end, most if rate else float("inf")))
            runs.sort()
            for sent, _ in runs:
                most = max(
                    (most for begin, end, most in spans if begin <= sent + window and sent < end), default=0
                )
                hit = runs[bisect_left(runs, (sent, 0)) : bisect_right(runs, (sent + window, NEVER))]
                count = sum(ran <= sent + window for _, ran in hit)
                if count > most:
                    text = f"{tenant}: {count} in the window from {sent / SECOND:.3f} s, {most:.1f} at most"
                    self.wrong("QUOTA", text)

    def _cold(self) -> None:
        most = self.cold_per_s * self.bounds.cold_excess + self.bounds.cold_slack
        by: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for one in self.asked.values():
            for ran, worker in one.runs:
                if any(begin <= ran < end for begin, end in self.workers[worker].cold):
                    by[worker].append((one.sent, ran))
        for worker, runs in by.items():
            runs.sort()
            for at, (sent, _) in enumerate(runs):
                count = sum(ran <= sent + SECOND for later, ran in runs[at:] if later <= sent + SECOND)
                if count > most:
                    self.wrong("FAILBACK", f"{worker}: {count} in the second from {sent / SECOND:.3f} s")

    def _budget(self) -> None:
        bounds, window = self.bounds, int(self.bounds.retry_window_s * SECOND)
        sent: dict[str, list[int]] = defaultdict(list)
        for one in self.asked.values():
            for line in {
                edition.lines[one.route] for edition in self._might_hold() if one.route in edition.lines
            }:
                sent[line].append(one.sent)
        for line, arrivals in self.arrivals.items():
            repeats = sorted(at for at, repeat in arrivals if repeat)
            asked = sorted(sent[line])

            def within(begin: int, times: list[int]) -> int:
                return bisect_right(times, begin + window) - bisect_left(times, begin)

            for at in repeats:
                most = max(within(at - back, asked) for back in (0, window // 2, window))
                count = within(at, repeats)
                if count > bounds.retry_ratio * most + bounds.retry_slack:
                    self.wrong("BUDGET", f"{line}: {count} repeats from {at / SECOND:.3f} s, {most} requests")
