"""Operators of drawn days: each sends one call after the other, and again what got no clear answer."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from pepperrun.control.matchers import Answer, Call
from pepperrun.simulation.histories import (
    Amend,
    CallRecord,
    Evacuate,
    Observation,
    Operation,
    Read,
    Replace,
    Rows,
)

NAMES = ("t1", "t2", "t3", "t4")
MOST_TRIES = 5
REPEAT_MS = (20, 300)  # pause before an order is sent again
REST_MS = (20, 900)  # pause before the next
EVACUATION_REST_MS = 2500  # orders of one kind for a zone that come closer are taken for one


class Site(Protocol):
    """Where operators work."""

    rng: Random
    records: list[CallRecord]
    working: bool

    def later(self, ms: float, what: Callable[[], None]) -> None: ...

    def targets(self) -> list[str]:
        """Control nodes, the ones most likely to be in trouble first or last."""
        ...

    def call(self, record: CallRecord, call: Call, done: Callable[[], None]) -> None:
        """Sends a call; `done` once the record is complete or the operator stops waiting."""
        ...


def request(operation: Operation) -> Call:
    """The HTTP call of an operation."""
    if isinstance(operation, Read):
        return Call("GET", ["timetable", "read"])
    if isinstance(operation, Evacuate):
        return Call("POST", ["evacuate", operation.zone, "begin" if operation.begin else "finish"])
    based_on = {"based-on": str(operation.on)}
    if isinstance(operation, Amend):
        upsert = {"senders": _table(operation.upsert)} if operation.upsert else {}
        withdraw = {"senders": sorted(operation.withdraw)} if operation.withdraw else {}
        body = {"edition": operation.edition, "upsert": upsert, "withdraw": withdraw}
        return Call("POST", ["timetable", "amend"], headers=based_on, body=json.dumps(body).encode())
    tables = {"routes": _table(frozenset()), "carrier_lines": _table(frozenset())}
    body = {"edition": operation.edition, "senders": _table(operation.rows), **tables, "limits": {}}
    if not operation.valid:
        del body["carrier_lines"]
    return Call("POST", ["timetable", "replace"], headers=based_on, body=json.dumps(body).encode())


def _table(rows: Rows) -> dict[str, Any]:
    return {"columns": ["name", "rate_per_s"], "rows": [list(row) for row in sorted(rows)]}


def observed(answer: Answer, evacuated: list[str]) -> Observation:
    """What the answer to a read says."""
    body = json.loads(answer.body)
    table = body["senders"]
    rows = [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]
    named = frozenset((row["name"], row.get("rate_per_s", 0.0)) for row in rows)
    return Observation(body["edition"], named, frozenset(evacuated))


class Operator:
    """One of them. `zone` is emptied by no other."""

    def __init__(self, number: int, site: Site, zone: str) -> None:
        self.number, self.site, self.zone = number, site, zone
        self.edition, self.evacuated, self.serial = 0, False, 0

    def work(self) -> None:
        """The next order."""
        if self.site.working:
            self._send(self._next(), 1)

    def _next(self) -> Operation:
        rng = self.site.rng
        kind = rng.choices(("read", "replace", "amend", "invalid", "evacuate"), (35, 25, 22, 6, 12))[0]
        if kind == "read":
            return Read()
        if kind == "evacuate":
            self.evacuated = not self.evacuated
            return Evacuate(self.zone, self.evacuated)
        on = max(0, self.edition - (rng.random() < 0.2))
        edition = on + rng.randint(1, 2)
        # Rates tell the orders of all operators apart: no two are the same unless one is sent again.
        self.serial += 1
        rate = float(self.number * 10_000 + self.serial)
        rows = frozenset((name, rate) for name in rng.sample(NAMES, rng.randint(1, 3)))
        if kind == "amend":
            gone = frozenset(set(rng.sample(NAMES, 1)) - {name for name, _ in rows})
            return Amend(on, edition, rows, gone)
        return Replace(on, edition, rows, valid=kind == "replace")

    def _send(self, operation: Operation, tries: int) -> None:
        site = self.site
        record = CallRecord(self.number, site.rng.choice(site.targets()), operation, 0)
        site.records.append(record)
        site.call(record, request(operation), lambda: self._answered(record, tries))

    def _answered(self, record: CallRecord, tries: int) -> None:
        rng, operation = self.site.rng, record.operation
        self._learn(record)
        must = isinstance(operation, Evacuate)  # the zone's other order would not wait for it otherwise
        if not record.clear and self.site.working and (must or tries < MOST_TRIES):
            self.site.later(rng.uniform(*REPEAT_MS), lambda: self._send(operation, tries + 1))
            return
        rest = EVACUATION_REST_MS if must else rng.uniform(*REST_MS)
        self.site.later(rest, self.work)

    def _learn(self, record: CallRecord) -> None:
        if record.observed is not None:
            self.edition = max(self.edition, record.observed.edition)
        elif record.status == 200 and isinstance(record.operation, Replace | Amend):
            self.edition = max(self.edition, record.operation.edition)
