"""Is a history of calls linearizable? Wing and Gong's search with Lowe's memoization.

A history is linearizable if each call can be given one moment between its begin and its answer so that the
calls, done one after another at these moments, give the answers that were seen. A call without a clear answer
may have any moment after its begin, or none. Linearizability is local (Herlihy and Wing): a history over
several objects is judged one object at a time.

The sequential specifications here are written from the users' pages. They share no code with the control
plane, which they judge.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from pepperrun.simulation.histories import (
    Amend,
    CallRecord,
    Evacuate,
    Operation,
    Read,
    Replace,
    Rows,
    configuration_calls,
    evacuation_calls,
)

MOST_STATES = 200_000  # of one search; beyond it the history is undecided
OK, INVALID, STALE = 200, 400, 412
NEVER = 1 << 62


class Specification(Protocol):
    """A sequential object. States are immutable and hashable."""

    def after(self, operation: Operation) -> Specification:
        """The state once the operation is done."""
        ...

    def permits(self, call: CallRecord) -> bool:
        """May the call be answered as it was, done on this state?"""
        ...


@dataclass(frozen=True, slots=True)
class ConfigurationObject:
    """The configuration: one edition after another, each order in force once."""

    edition: int = 0
    rows: Rows = frozenset()
    taken: frozenset[Replace | Amend] = frozenset()

    def _statuses(self, order: Replace | Amend) -> tuple[int, ...]:
        """What an order may be answered now: it is in force already, or builds on another, or is invalid."""
        if order in self.taken:
            return (OK,)
        invalid = order.edition <= self.edition or (isinstance(order, Replace) and not order.valid)
        stale = order.on != self.edition
        if invalid and isinstance(order, Replace) and not order.valid:
            return (INVALID, STALE) if stale else (INVALID,)
        if stale:
            return (STALE, INVALID) if invalid else (STALE,)
        return (INVALID,) if invalid else (OK,)

    def after(self, operation: Operation) -> ConfigurationObject:
        """The state once the operation is done."""
        if not isinstance(operation, Replace | Amend) or operation in self.taken:
            return self
        if self._statuses(operation) != (OK,):
            return self
        if isinstance(operation, Replace):
            rows = operation.rows
        else:
            changed = operation.withdraw | {name for name, _ in operation.upsert}
            rows = frozenset(row for row in self.rows if row[0] not in changed) | operation.upsert
        return replace(self, edition=operation.edition, rows=rows, taken=self.taken | {operation})

    def permits(self, call: CallRecord) -> bool:
        """May the call be answered as it was, done on this state?"""
        operation, observed = call.operation, call.observed
        if isinstance(operation, Replace | Amend):
            return call.status in self._statuses(operation)
        return (
            call.status == OK
            and observed is not None
            and (observed.edition, observed.rows) == (self.edition, self.rows)
        )


@dataclass(frozen=True, slots=True)
class ZoneObject:
    """A zone that one operator empties and takes back: how many orders to empty it stand, from least to most.

    An order that is sent again is the same order, or another one if it comes late: either is permitted here.
    So one that takes an order back and may be a repeat may leave it standing (how long is not judged).
    """

    zone: str
    least: int = 0
    most: int = 0

    def after(self, operation: Operation) -> ZoneObject:
        """The state once the operation is done."""
        if not isinstance(operation, Evacuate):
            return self
        if operation.begin:
            return replace(self, least=max(1, self.least), most=self.most + 1)
        most = self.most if operation.may_repeat else max(0, self.most - 1)
        return replace(self, least=max(0, self.least - 1), most=most)

    def permits(self, call: CallRecord) -> bool:
        """May the call be answered as it was, done on this state?"""
        if isinstance(call.operation, Read):
            observed = call.observed
            return (
                observed is not None
                and (self.most if self.zone in observed.evacuated else not self.least) > 0
            )
        return call.status == OK


S = TypeVar("S", bound=Specification)


@dataclass(frozen=True, slots=True)
class Judgement:
    """Of one history. `stuck`: calls of which none could come next, where most of the others were done."""

    linearizable: bool
    decided: bool
    states: int
    stuck: tuple[CallRecord, ...] = ()


class Search(Generic[S]):
    """One search. Sets of calls are bit masks over their places in the history."""

    def __init__(self, calls: Iterable[CallRecord], most: int = MOST_STATES) -> None:
        useful = [call for call in calls if call.clear or not isinstance(call.operation, Read)]
        self.calls: Sequence[CallRecord] = sorted(useful, key=_end)
        self.most = most
        self.must = sum(1 << place for place, call in enumerate(self.calls) if call.clear)
        self.seen: set[tuple[int, Specification]] = set()
        self.best, self.stuck = -1, tuple[CallRecord, ...]()

    def run(self, first: Specification) -> Judgement:
        """Depth first from the object's first state."""
        stack: list[tuple[int, Specification]] = [(0, first)]
        while stack:
            done, state = stack.pop()
            if done & self.must == self.must:
                return Judgement(True, True, len(self.seen))
            if (done, state) in self.seen:
                continue
            if len(self.seen) >= self.most:
                return Judgement(False, False, len(self.seen), self.stuck)
            self.seen.add((done, state))
            stack += self._next(done, state)
        return Judgement(False, True, len(self.seen), self.stuck)

    def _next(self, done: int, state: Specification) -> list[tuple[int, Specification]]:
        """The states that one more call may lead to, the likeliest last."""
        candidates = self._minimal(done)
        if (count := done.bit_count()) > self.best:
            self.best, self.stuck = count, tuple(self.calls[place] for place in candidates)
        following: list[tuple[int, Specification]] = []
        for place in candidates:
            call, bit = self.calls[place], 1 << place
            if call.clear and not state.permits(call):
                continue
            after = state.after(call.operation)
            if after != state:
                following.append((done | bit, after))
            elif call.clear:
                return [(done | bit, state)]  # it changes nothing and fits now: no need to try it later
        return following[::-1]

    def _minimal(self, done: int) -> list[int]:
        """Calls not done yet that began before each other one of these was answered."""
        left = [place for place in range(len(self.calls)) if not done >> place & 1]
        first_end = min(_end(self.calls[place]) for place in left)
        return [place for place in left if self.calls[place].called_at <= first_end]


def _end(call: CallRecord) -> int:
    return call.answered_at if call.clear and call.answered_at is not None else NEVER


def judge(
    calls: Sequence[CallRecord], zones: Iterable[str] = (), most: int = MOST_STATES
) -> tuple[Judgement, ...]:
    """The history of the configuration, then that of each zone."""
    configuration = Search[ConfigurationObject](configuration_calls(calls), most).run(ConfigurationObject())
    return (
        configuration,
        *(Search[ZoneObject](evacuation_calls(calls, zone), most).run(ZoneObject(zone)) for zone in zones),
    )


def worded(calls: Iterable[CallRecord], show: Callable[[int], float] = lambda at: at / 1e6) -> str:
    """Calls for people, one a line."""
    return "\n".join(
        f"  op{call.operator} at {call.machine} {show(call.called_at):.1f}"
        f"..{show(call.answered_at) if call.answered_at is not None else float('inf'):.1f} ms"
        f" {call.operation} -> {call.status} {call.code} {call.observed or ''}"
        for call in calls
    )
