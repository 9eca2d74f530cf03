"""The judge of histories: what it accepts, what it finds, and that it agrees with trying all orders."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence

import pytest

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
from pepperrun.simulation.linearizability import ConfigurationObject, Search, Specification, ZoneObject, judge


def rows(**rates: float) -> Rows:
    return frozenset(rates.items())


ONE, TWO = Replace(0, 1, rows(a=1)), Replace(0, 2, rows(a=2))
MORE = Amend(1, 3, rows(b=3), frozenset("a"))
Span = tuple[int, int | None]


def call(
    operation: Operation, span: Span, status: int | None = None, edition: int = 0, *seen: Rows
) -> CallRecord:
    observed = Observation(edition, seen[0] if seen else rows(), frozenset()) if status == 200 else None
    return CallRecord(0, "m", operation, span[0], span[1], status, "", observed)


def linear(*calls: CallRecord) -> bool:
    found = judge(calls)[0]
    assert found.decided
    return found.linearizable


def test_histories_that_one_copy_could_have_given() -> None:
    assert linear()
    assert linear(call(ONE, (0, 1), 200), call(Read(), (2, 3), 200, 1, rows(a=1)))
    assert linear(call(ONE, (0, 9), 200), call(Read(), (2, 3), 200), call(Read(), (4, 5), 200, 1, rows(a=1)))
    assert linear(call(ONE, (0, 9), 200), call(TWO, (0, 9), 412))
    assert linear(call(ONE, (0, 1), 200), call(MORE, (2, 3), 200), call(Read(), (4, 5), 200, 3, rows(b=3)))
    assert linear(call(ONE, (0, 1), 200), call(MORE, (2, 3), 200), call(ONE, (4, 5), 200))  # sent again
    assert linear(call(Replace(0, 1, rows(), False), (0, 1), 400), call(TWO, (2, 3), 200))


def test_an_unclear_call_may_take_effect_late_or_never_and_once() -> None:
    unclear = call(ONE, (0, None))
    assert linear(unclear, call(Read(), (2, 3), 200))
    assert linear(unclear, call(Read(), (2, 3), 200), call(Read(), (4, 5), 200, 1, rows(a=1)))
    assert linear(call(ONE, (0, 1), 503), call(TWO, (2, 3), 412))
    assert not linear(unclear, call(Read(), (2, 3), 200, 1, rows(a=1)), call(Read(), (4, 5), 200))
    # Seen before it was sent.
    assert not linear(call(Read(), (2, 3), 200, 1, rows(a=1)), call(ONE, (4, None)))


@pytest.mark.parametrize(
    "calls",
    [
        (call(ONE, (0, 1), 200), call(Read(), (2, 3), 200)),  # an old configuration as the newest
        (call(ONE, (0, 1), 200), call(TWO, (2, 3), 200)),  # two on top of one
        (call(ONE, (0, 1), 200), call(ONE, (2, 3), 412)),  # refused though in force
        (call(TWO, (0, 1), 412),),  # refused on top of the newest
        (call(ONE, (0, 1), 200), call(MORE, (2, 3), 412)),
        (call(ONE, (0, 1), 412), call(Read(), (2, 3), 200, 1, rows(a=1))),  # refused and in force
        (call(ONE, (0, 1), 200), call(Read(), (2, 3), 200, 1, rows(a=2))),  # another content
        (call(Replace(0, 1, rows(), False), (0, 1), 200),),  # an invalid one confirmed
        (call(ONE, (0, 1), 200), call(Replace(1, 1, rows(c=1)), (2, 3), 200)),  # no higher number
    ],
)
def test_what_no_single_copy_could_have_given_is_found(calls: Sequence[CallRecord]) -> None:
    assert not linear(*calls)


def test_a_zone_stays_empty_until_it_is_taken_back() -> None:
    def history(*steps: tuple[Operation, bool]) -> bool:
        calls = []
        for at, (operation, empty) in enumerate(steps):
            observed = Observation(0, rows(), frozenset(["z"] if empty else []))
            seen = observed if isinstance(operation, Read) else None
            calls.append(CallRecord(0, "m", operation, 2 * at, 2 * at + 1, 200, "", seen))
        return judge(calls, ["z"])[1].linearizable

    begin, finish, read = Evacuate("z", True), Evacuate("z", False), Read()
    assert history((read, False), (begin, False), (read, True), (finish, False), (read, False))
    assert history((begin, False), (begin, False), (finish, False), (read, True))  # two orders stood
    assert not history((begin, False), (read, False))
    assert not history((begin, False), (finish, False), (read, True))
    assert not history((read, True))


def brute(calls: Sequence[CallRecord], first: Specification) -> bool:
    """Tries all orders of all sets of calls that hold the clear ones."""
    clear = [one for one in calls if one.clear]
    unclear = [one for one in calls if not one.clear]
    for count in range(len(unclear) + 1):
        for some in itertools.combinations(unclear, count):
            for order in itertools.permutations([*clear, *some]):
                if _possible(order, first):
                    return True
    return False


def _possible(order: Sequence[CallRecord], state: Specification) -> bool:
    for at, one in enumerate(order):
        ended = [two for two in order[at + 1 :] if two.clear and (two.answered_at or 0) < one.called_at]
        if ended or (one.clear and not state.permits(one)):
            return False
        state = state.after(one.operation)
    return True


@pytest.mark.parametrize("seed", range(4))
def test_the_search_agrees_with_trying_all_orders(seed: int) -> None:
    rng, verdicts = random.Random(seed), set()
    orders = [ONE, TWO, MORE, Amend(2, 3, rows(b=1), frozenset()), Replace(0, 1, rows(), False)]
    for _ in range(150):
        calls = []
        for _ in range(rng.randint(2, 5)):
            begun = rng.randint(0, 12)
            span = begun, begun + rng.randint(0, 8)
            operation = rng.choice([Read(), *orders])
            status = 200 if operation == Read() else rng.choice([200, 200, 412, 400, 503, None])
            seen = rng.choice([(0, rows()), (1, rows(a=1)), (2, rows(a=2)), (3, rows(b=3))])
            calls.append(call(operation, span, status, *seen))
        found = Search[ConfigurationObject](calls).run(ConfigurationObject())
        assert found.linearizable == brute(calls, ConfigurationObject())
        verdicts.add(found.linearizable)
    assert verdicts == {True, False}


def test_a_search_that_is_too_long_is_said_to_be_undecided() -> None:
    calls = [call(Replace(0, at, rows()), (0, None)) for at in range(1, 9)]
    calls.append(call(Read(), (0, 9), 200, 99, rows()))
    found = Search[ConfigurationObject](calls, most=5).run(ConfigurationObject())
    assert not found.linearizable and not found.decided and found.states == 5
    assert Search[ZoneObject]([], most=5).run(ZoneObject("z")).linearizable
