"""Histories: calls of operators on the control port and what was answered, as typed records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

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
    """Empties a zone, or takes that back."""

    zone: str
    begin: bool


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
    """The calls that one zone answers for."""
    return [
        call
        for call in calls
        if isinstance(call.operation, Read)
        or (isinstance(call.operation, Evacuate) and call.operation.zone == zone)
    ]
