"""The register of zones: normal operation, faults, and the search over the orders of its messages."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pepperrun.lab.ballots import MUTANTS, Make, Register, World, act, begun, mark, search, settle
from pepperrun.zones.register import FIRST_VERSION, NO_BALLOT, Ballot, Kind, Message, Phase, Value


def run(world: World, seconds: float, minority_side: frozenset[int] = frozenset()) -> None:
    """Lets time pass. Messages arrive at once; those between the two sides of the partition are lost."""
    until = world.now + int(seconds * 1e9)
    while world.now < until:
        while world.sent:
            sent = min(world.sent, key=repr)
            if (sent[0] in minority_side) == (sent[1] in minority_side):
                assert act(world, ("deliver", sent), Register) == ""
            else:
                world.sent.discard(sent)
        tick_times = [due for voter in world.voters if (due := voter.next_tick_at()) is not None]
        world.now = min([until, *(max(world.now + 1, due) for due in tick_times)])
        for one in world.voters:
            one.tick(world.now)
        assert world.collect() == ""


def submit(world: World, *voters: int) -> None:
    """Submits a different change at each of the voters."""
    for number in voters:
        world.voters[number].submit(mark(number, 1), world.now)
    assert world.collect() == ""


def chosen_values(world: World) -> list[Value]:
    return [one.chosen_value for one in world.voters]


@pytest.mark.parametrize("count", [3, 5, 7])
def test_voters_that_start_together_bootstrap_and_each_change_is_chosen_once(count: int) -> None:
    world = World([Register(number, count, 10 + number, number, 0) for number in range(count)])
    run(world, 10)
    assert all(one.is_voter for one in world.voters) and len(set(chosen_values(world))) == 1
    submit(world, *range(count))
    run(world, 10)
    assert len(set(chosen_values(world))) == 1
    assert sorted(chosen_values(world)[0].body) == [(number, 1) for number in range(count)]
    assert all(one.phase is Phase.IDLE for one in world.voters)


def test_a_minority_side_of_a_partition_chooses_nothing_and_later_learns_what_was_chosen() -> None:
    world = begun(5)
    submit(world, 0, 4)
    run(world, 3, frozenset({3, 4}))
    assert [one.body for one in chosen_values(world)] == [((0, 1),)] * 3 + [()] * 2
    run(world, 3)  # after the partition: the minority's own change is still pending
    assert set(chosen_values(world)) == {chosen_values(world)[0]} and set(chosen_values(world)[0].body) == {
        (0, 1),
        (4, 1),
    }


def test_a_restarted_voter_votes_again_only_once_a_round_has_let_it_join() -> None:
    world = begun(3)
    assert act(world, ("restart", 2), Register) == ""
    assert not world.voters[2].is_voter
    run(world, 3, frozenset({2}))
    assert not world.voters[2].is_voter and world.voters[2].chosen_value.version == 0
    run(world, 3)
    assert world.voters[2].is_voter and chosen_values(world)[0].incarnations == (1, 1, 2)
    assert act(world, ("restart", 0), Register) == "" and act(world, ("restart", 1), Register) == ""
    run(world, 12)  # a majority has no state: the voter that has it is asked, and may not decide alone
    assert len(set(chosen_values(world))) == 1 or not any(one.is_voter for one in world.voters[:2])


def test_a_majority_without_state_bootstraps_and_the_others_follow() -> None:
    world = begun(3)
    submit(world, 0)
    run(world, 1)
    for number in (0, 1, 2):
        assert act(world, ("restart", number), Register) == ""
    world.chosen.clear()  # the previous value is void: the next one need not contain it
    run(world, 12)
    assert all(one.is_voter for one in world.voters) and len(set(chosen_values(world))) == 1
    assert world.voters[0].chosen_ballot.epoch > 1 and chosen_values(world)[0].version >= FIRST_VERSION


def test_invalid_messages_are_dropped() -> None:
    world = begun(3)
    one, before = world.voters[0], world.key()
    ballot = Ballot(1, 9, 1)
    for sender, message in (
        (0, Message(Kind.ASK_PROMISE, ballot, 1)),
        (7, Message(Kind.ASK_PROMISE, ballot, 1)),
        (1, Message(Kind.PROPOSE, ballot, 1)),
        (1, Message(Kind.CHOSEN, ballot, 1, NO_BALLOT, Value(3, (1, 1), ()))),
        (1, Message(Kind.VALUE_ACCEPTED, NO_BALLOT, 1)),
        (1, Message(Kind.JOIN, NO_BALLOT, 1)),
    ):
        one.receive(sender, message, 0)
        one.outgoing.clear()
        one.highest_ballot = Ballot(1, 1, 0)
    assert world.key() == before


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6))
def test_any_order_of_events_gives_one_sequence_of_values_and_agreement_in_the_end(seed: int) -> None:
    from pepperrun.lab.ballots import actions

    rng, world = random.Random(seed), begun(3)
    for _ in range(rng.randrange(60)):
        action = rng.choice(sorted(actions(world, 4, 1), key=repr) or [("begin", 0)])
        assert act(world, action, Register) == ""
    assert settle(world, Register, rng) == ""


# Two different values are chosen if an incarnation counts in the round that lets it join: it accepts one
# value while a late answer of its previous incarnation counts for the other.
TRAP = """begin 0; ASK_PROMISE 0 1; begin 1; ASK_PROMISE 0 2; ASK_PROMISE 1 2; restart 2; JOIN 2 0;
PROMISE 2 1; PROMISE 1 0; PROPOSE 1 0; PROPOSE 0 2; VALUE_ACCEPTED 0 1; VALUE_ACCEPTED 2 0"""


def replay_trap(make: Make) -> str:
    world = begun(3, make)
    for step in TRAP.split(";"):
        what, *numbers = step.split()
        if what in ("begin", "restart"):
            assert act(world, (what, int(numbers[0])), make) == ""
            continue
        by, to = map(int, numbers)
        for sent in sorted(world.sent, key=repr):
            if (
                sent[:2] == (by, to)
                and sent[2].kind is Kind[what]
                and (wrong := act(world, ("deliver", sent), make))
            ):
                return wrong
    return ""


def test_an_incarnation_does_not_count_in_the_round_that_lets_it_join() -> None:
    assert "has not all of it" in replay_trap(MUTANTS["hasty"])
    assert replay_trap(Register) == ""


def test_the_search_finds_both_injected_bugs_and_none_without_them() -> None:
    deaf = search(3, 2, 0, 60, MUTANTS["deaf"], most=5_000, seed=1)
    assert "has not all of it" in deaf.broken and deaf.trace
    hasty = search(3, 2, 1, 13, MUTANTS["hasty"], most=40_000, seed=3)
    assert hasty.broken and ("restart", 0) in hasty.trace
    found = search(3, 2, 1, 60, most=3_000, settle_each=100, seed=1)
    assert not found.broken and found.states == 3_000 and found.settled == 30
