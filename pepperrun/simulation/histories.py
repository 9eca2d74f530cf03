"""Histories: calls of operators on the control port and what was answered, as typed records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

# Orders are repeated for 6 s at most; a machine that was cut off for 20 s learns of one so much later.
REPEATS_NS = 30 * 1_000_000_000

Rows = frozenset[tuple[str, float]]  # tenants of a configuration: name and rate


@dataclass(frozen=True, slots=True)
class Replace:
    """A whole configuration on top of another edition. `valid`: not refused for what it says itself."""

    on: int
    edition: int
    rows: Rows
    valid: bool = True


@dataclass(frozen=True, slots=True)
class Amend:
    """Changes some rows of the edition that it builds on."""

    on: int
    edition: int
    upsert: Rows
    withdraw: frozenset[str]


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Empties a zone, or takes that back. `may_repeat`: maybe an earlier order of its kind, sent again."""

    zone: str
    begin: bool
    may_repeat: bool = False


@dataclass(frozen=True, slots=True)
class Read:
    """Asks for the configuration."""


Operation = Replace | Amend | Evacuate | Read


@dataclass(frozen=True, slots=True)
class Observation:
    """What a read returned."""

    edition: int
    rows: Rows
    evacuated: frozenset[str]


@dataclass(slots=True)
class CallRecord:
    """One call. Times are of the world, ns; `answered_at` None: the caller got no answer."""

    operator: int
    machine: str
    operation: Operation
    called_at: int
    answered_at: int | None = None
    status: int | None = None
    code: str = ""
    observed: Observation | None = None

    @property
    def clear(self) -> bool:
        """Is it certain what became of it? Any other may take effect at any later time, or never."""
        return self.status in (200, 400, 412)


def configuration_calls(calls: Iterable[CallRecord]) -> list[CallRecord]:
    """The calls that the configuration answers for."""
    return [call for call in calls if not isinstance(call.operation, Evacuate)]


def evacuation_calls(calls: Iterable[CallRecord], zone: str) -> list[CallRecord]:
    """The calls that one zone answers for; orders that may repeat others are marked."""
    calls = list(calls)
    orders = [call for call in calls if isinstance(call.operation, Evacuate) and call.operation.zone == zone]
    marked = {id(call): _marked(call, orders) for call in orders}
    return [
        marked.get(id(call), call) for call in calls if isinstance(call.operation, Read) or id(call) in marked
    ]


def _marked(call: CallRecord, orders: list[CallRecord]) -> CallRecord:
    assert isinstance(call.operation, Evacuate)
    may = any(_may_repeat(call, other) for other in orders if other is not call)
    return replace(call, operation=replace(call.operation, may_repeat=may))


def _may_repeat(call: CallRecord, other: CallRecord) -> bool:
    """Did the other order, of the same kind, take effect shortly before, or may it have?"""
    assert isinstance(call.operation, Evacuate) and isinstance(other.operation, Evacuate)
    if other.operation.begin != call.operation.begin:
        return False
    if call.answered_at is not None and other.called_at >= call.answered_at:
        return False
    late = other.answered_at is None or not other.clear  # it may take effect at any later time
    return late or (other.answered_at or 0) >= call.called_at - REPEATS_NS
