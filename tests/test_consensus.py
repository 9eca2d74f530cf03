"""The agreement of the core: what was acknowledged outlives power, disks, cuts and replacements."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from pepperrun.consensus import codec
from pepperrun.consensus.messages import Rejected
from pepperrun.consensus.register import FailureReason, Register
from pepperrun.consensus.state import (
    DurableState,
    Incarnation,
    InMemoryStore,
    Proposal,
    Value,
    digest_of,
    initial_proposal,
)
from pepperrun.consensus.timeouts import MS
from pepperrun.consensus.voter_selection import FailureDomain, select_voters
from pepperrun.foundation.errors import DiskUnavailableError, PepperrunError
from pepperrun.simulation.consensus_days import Day, readmitted
from pepperrun.simulation.consensus_world import Try, World, judge
from pepperrun.simulation.orders import Rules, search, walk

SEEDS = range(4)


def calm(seed: int, count: int = 5, **how: Any) -> World:
    """All vote, and nothing has happened yet."""
    world = World(count, seed, **how)
    world.run(3000)
    assert not world.settled()
    assert all(one.replica and one.replica.is_voter for one in list(world.machines.values())[:5])
    return world


def until(world: World, one: Try, most_ms: int = 5000) -> Any:
    """Goes on just until that is answered."""
    end = world.now + most_ms * MS
    while one.answer is None and world.now < end and not world.wrong:
        world.run(0.2)
    return one.answer


def ends_well(world: World, ms: int = 6000) -> None:
    world.run(ms)
    assert not world.settled(), world.settled()


def first(world: World) -> str:
    """The keeper, which is the first of the first contacts in a calm world."""
    return sorted(world.machines)[0]


@pytest.mark.parametrize("fault", ["power", "wipe", "dark", "dark and wipe", "killed"])
@pytest.mark.parametrize("seed", SEEDS)
def test_what_was_acknowledged_outlives_whoever_acknowledged_it(seed: int, fault: str) -> None:
    world = calm(seed)
    ips = sorted(world.machines)
    for edition in (1, 2, 3):
        one = world.change(edition - 1, edition, [ips[seed]])
        assert until(world, one) == 200
    for ip in ips:
        if "dark" in fault or ip == ips[seed] or fault == "killed":
            world.kill(ip, power=fault != "killed")
    if "wipe" in fault:
        world.wipe(ips[seed])
    world.run(1000)
    for ip in ips:
        if world.machines[ip].replica is None:
            world.start(ip)
    if fault == "dark":  # a majority that has taken the same knows that it was chosen, without a round
        world.run(800)
        assert {
            one.replica.register.chosen_ballot.proposer.split("/")[0]
            for one in world.machines.values()
            if one.replica
        } == {ips[seed]}
        assert not world.settled()
    ends_well(world)
    assert all(one.replica and one.replica.is_voter for one in world.machines.values())


@pytest.mark.parametrize("fault", ["two disks, all dark", "region"])
@pytest.mark.parametrize("seed", SEEDS)
def test_seven_of_twelve_vote_and_bear_two_lost_disks_or_a_region(seed: int, fault: str) -> None:
    world = World(12, seed, most=7)
    world.run(4000)
    assert not world.settled()
    replica = world.machines[first(world)].replica
    assert replica is not None
    voters = sorted(replica.voter_ips)
    region = {ip: world.regions[one.zone] for ip, one in world.machines.items()}
    shares = Counter(region[ip] for ip in voters)
    assert len(voters) == 7 and max(shares.values()) == 3
    if fault == "region":
        lost = [ip for ip in region if region[ip] == f"r{seed % 3}"]
        for ip in lost:
            world.kill(ip, power=True)
        assert until(world, world.change(0, 1, [ip for ip in region if ip not in lost])) == 200
    else:
        lost = [voters[seed], voters[seed + 3]]
        assert until(world, world.change(0, 1, lost[:1])) == 200
        for ip in region:
            world.kill(ip, power=True)
        for ip in lost:
            world.wipe(ip)
        world.run(1000)
    for ip in region:
        if world.machines[ip].replica is None:
            world.start(ip)
    ends_well(world, 8000)
    newest = world.machines[voters[1]].replica
    assert newest is not None and newest.version == 1 and len(newest.voter_ips) == 7


def test_a_roll_of_the_whole_core_holds_up_no_change_and_moves_no_vote() -> None:
    """For good: while a machine is down a spare has its vote, in the end the same machines vote."""
    world = World(12, 5, most=7)
    world.run(4000)
    ips = sorted(world.machines)
    replica = world.machines[ips[-1]].replica
    assert replica is not None and replica.value is not None
    voters = replica.value.voters
    for edition, ip in enumerate(ips):
        others = [one for one in ips if one != ip]
        world.retire(ip)
        assert until(world, world.change(edition, edition + 1, others), 500) == 200
        world.run(200)  # it has not ended yet, and its duty is another's
        held = [
            one.replica.coordinator for other, one in world.machines.items() if one.replica and other != ip
        ]
        assert ip not in held and len(set(held)) == 1
        world.run(1000)
        assert world.machines[ip].replica is None and ip not in world.newest.voter_ips  # a spare has its vote
        world.start(ip)
        world.run(500)
    ends_well(world)
    last = world.machines[ips[0]].replica
    assert last is not None and last.value is not None and last.value.voters == voters


def test_a_disk_that_syncs_too_late_is_found_out() -> None:
    """The same fault loses what was acknowledged where answers go out before the sync."""
    wrongs = []
    for seed in SEEDS:
        world = calm(seed, late_disks=True)
        until(world, world.change(0, 1, sorted(world.machines)[:1]))
        for ip in world.machines:
            world.kill(ip, power=True)
        for ip in world.machines:
            world.start(ip)
        world.run(5000)
        wrongs.append(world.settled())
    assert any("lost" in wrong or "without" in wrong for wrong in wrongs)


@pytest.mark.parametrize("seed", SEEDS)
def test_frozen_through_two_versions_and_thawed(seed: int) -> None:
    world = calm(seed)
    frozen, other = sorted(world.machines)[1:3]
    world.freeze(frozen)
    for edition in (1, 2):
        assert until(world, world.change(edition - 1, edition, [other])) == 200
    world.run(3000)
    replica = world.machines[frozen].replica
    assert replica is not None
    old = replica.confirmed_at
    world.thaw(frozen)
    # It has heard nobody for seconds, and lays that to nobody's charge.
    assert replica.confirmed_at == old and not replica.lacks_quorum
    ends_well(world, 1500)
    assert replica.version == 2 and world.machines[other].replica.coordinator == first(world)  # type: ignore[union-attr]


@pytest.mark.parametrize("seed", range(8))
def test_two_operators_race_on_both_sides_of_a_cut(seed: int) -> None:
    world = calm(seed)
    ips = sorted(world.machines)
    side, most = ips[:2], ips[2:]
    world.cut(side)
    tries = [world.change(0, 1, side), world.change(0, 2, most)]
    if seed % 2:  # on both sides, and joined while they race
        tries = [world.change(0, 3, ips), world.change(0, 4, ips[::-1])]
        world.run(20 * (seed + 1))
    world.run(2500)
    world.heal()
    ends_well(world)
    assert sorted(one.answer for one in tries) == [200, 412]


def test_a_minority_says_so_at_once_and_still_knows_what_it_knew() -> None:
    world = calm(1)
    ips = sorted(world.machines)
    assert until(world, world.change(0, 1, ips[:1])) == 200
    world.run(100)
    world.cut(ips[:2])
    world.run(2500)
    replica = world.machines[ips[0]].replica
    assert replica is not None and replica.lacks_quorum and replica.version == 1
    token = replica.propose({"mark": "x", "on": 1, "edition": 2, "fill": ""}, world.now)
    assert [(one.token, one.verdict, one.failure) for one in replica.take_results()] == [
        (token, None, FailureReason.NO_QUORUM)
    ]
    assert replica.confirmed_at is not None and world.now - replica.confirmed_at > 2000 * MS
    # The others have a new keeper by then, and go on.
    assert world.machines[ips[2]].replica.coordinator in ips[2:]  # type: ignore[union-attr]
    assert until(world, world.change(1, 3, ips[2:])) == 200
    world.heal()
    ends_well(world)


def test_what_a_minority_reads_is_never_what_loses() -> None:
    """A change is cut off at each moment of its round; what a side tells meanwhile is chosen."""
    ended = set()
    for moment in range(0, 120, 6):
        world = calm(3)
        ips = sorted(world.machines)
        mine = world.change(0, 1, ips[:2])
        world.run(moment)
        world.cut(ips[:2])
        world.run(300)
        rival = world.change(0, 2, ips[2:])
        world.run(2500)
        read = {ip: world.machines[ip].replica.body.get("taken", []) for ip in ips}  # type: ignore[union-attr]
        world.heal()
        ends_well(world)
        chosen = world.machines[ips[0]].replica.body["taken"]  # type: ignore[union-attr]
        assert all(chosen[: len(taken)] == taken for taken in read.values()), (moment, read, chosen)
        assert sorted([mine.answer, rival.answer]) == [200, 412]
        ended.add(mine.answer)
    assert ended == {200, 412}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_call_repeated_unchanged_elsewhere_after_ten_seconds_gets_the_answer_of_then(seed: int) -> None:
    """Whoever took it lost power with the answer on its way, and others have gone on, or raced, meanwhile."""
    ended = set()
    for moment in range(0, 90, 9):
        world = calm(seed)
        ips = sorted(world.machines)
        lost = world.change(0, 1, ips[:1], mark="call")
        world.run(moment)
        world.kill(ips[0], power=True)
        world.run(2500)
        rival = world.change(0, 2, ips[1:])
        world.run(2000)
        on = rival.op["edition"] if rival.answer == 200 else 1
        later = world.change(on, 7, ips[2:])
        world.run(6000)
        lost.to = ips[1:]  # until now it has called the lost one only
        again = world.change(0, 1, ips[seed:][1:], mark="call")
        world.run(3000)
        assert later.answer == 200 and sorted([again.answer, rival.answer]) == [200, 412]
        assert lost.answer == again.answer
        taken = world.machines[ips[2]].replica.body["taken"]  # type: ignore[union-attr]
        assert taken.count("call") == (again.answer == 200)
        ended.add(again.answer)
    assert ended == {200, 412}


@pytest.mark.parametrize("contacts", [1, 2])
@pytest.mark.parametrize("seed", SEEDS)
def test_fewer_than_three_first_contacts_begin_and_others_join_them(seed: int, contacts: int) -> None:
    world = World(5, seed, contacts=contacts)
    one = world.change(0, 1, sorted(world.machines))  # sent before anybody has met
    world.run(3000)
    assert one.answer == 200 and len(world.newest.voters) == 5 and not world.settled()
    for ip in sorted(world.machines)[:contacts]:
        world.wipe(ip)
    assert until(world, world.change(1, 2, sorted(world.machines)[contacts:])) == 200
    ends_well(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_start_with_a_dark_first_contact_takes_changes_and_lets_it_in_later(seed: int) -> None:
    world = World(5, seed)
    dark = sorted(world.machines)[seed % 3]
    world.cut([dark])
    one = world.change(0, 1, [ip for ip in sorted(world.machines) if ip != dark])
    assert until(world, one) == 200
    world.heal()
    ends_well(world)
    assert readmitted(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_first_contacts_are_replaced_one_by_one(seed: int) -> None:
    world = calm(seed)
    began = sorted(world.machines)
    for edition, ip in enumerate(began[:3]):
        new = world.add()
        world.start(new)
        world.run(1500)
        world.wipe(ip)
        one = world.change(edition, edition + 1, began[3:])  # while it is missing
        world.run(7000)
        assert one.answer == 200 and readmitted(world)
        assert new in world.machines[began[4]].replica.voter_ips  # type: ignore[union-attr]
    ends_well(world)
    for ip in world.machines:  # and all go dark: the new ones have it on their disks
        world.kill(ip, power=True)
    for ip in world.machines:
        if ip not in began[:3]:
            world.start(ip)
    ends_well(world)


def test_a_lost_disk_is_let_in_while_operators_race() -> None:
    for seed in SEEDS:
        world = calm(seed)
        ips = sorted(world.machines)
        world.wipe(ips[4])
        world.run(50)
        world.start(ips[4])
        tries = [world.change(0, 1, ips), world.change(0, 2, ips[::-1])]
        ends_well(world)
        assert sorted(one.answer for one in tries) == [200, 412]
        replica = world.machines[ips[4]].replica
        assert (
            replica is not None
            and replica.is_voter
            and replica.register.state.disk_id != Incarnation(ips[4], "first").disk_id
        )


def test_the_keeper_names_its_successor_or_a_majority_finds_it_silent() -> None:
    world = calm(2)
    ips = sorted(world.machines)
    world.retire(ips[0])
    world.run(400)
    assert {one.replica.coordinator for one in world.machines.values() if one.replica} == {ips[1]}
    world.run(1000)
    world.cut([ips[1]], [ips[2], ips[3]])  # two do not hear it: the others do
    world.run(5000)
    assert world.machines[ips[4]].replica.coordinator == ips[1]  # type: ignore[union-attr]
    world.heal()
    world.run(1000)
    world.freeze(ips[1])
    world.run(3500)
    assert world.machines[ips[2]].replica.coordinator == ips[2]  # type: ignore[union-attr]
    world.thaw(ips[1])
    world.start(ips[0])
    ends_well(world)
    assert world.machines[ips[1]].replica.coordinator == ips[2]  # type: ignore[union-attr]


def test_a_change_costs_its_own_length_not_the_configurations() -> None:
    world = calm(3, 6)
    ips = sorted(world.machines)
    assert until(world, world.change(0, 1, ips, fill="x" * 100_000)) == 200
    world.run(1000)
    saved = [one.disk.saves for one in world.machines.values()]
    before = world.bytes
    assert until(world, world.change(1, 2, ips)) == 200
    world.run(1000)
    assert not world.settled() and world.bytes - before < 30_000
    replica = world.machines[ips[5]].replica  # it votes not, and got the change as well
    assert replica is not None and not replica.is_voter and replica.body["fill"]
    # One sync for the promise and one for the value at each voter, none where nothing is said.
    assert [one.disk.saves - was for one, was in zip(world.machines.values(), saved, strict=True)] == [
        2
    ] * 5 + [0]


def test_changes_are_told_in_order_with_what_made_them() -> None:
    world = calm(4)
    ips = sorted(world.machines)
    replica = world.machines[ips[1]].replica
    assert replica is not None
    told: list[Any] = []
    take = replica.take_changes
    replica.take_changes = lambda: told.extend(take()) or []  # type: ignore[method-assign,func-returns-value]
    for edition in (1, 2):
        assert until(world, world.change(edition - 1, edition, ips[3:4])) == 200
    world.run(500)
    world.freeze(ips[1])
    assert until(world, world.change(2, 3, ips[3:4])) == 200
    world.run(6000)
    world.thaw(ips[1])
    world.run(1500)
    assert [(one.base_version, one.version) for one in told] == [(0, 1), (1, 2), (2, 3)]
    assert [one.operation["edition"] for one in told[:2] if one.operation] == [1, 2]


def test_a_round_that_died_halfway_is_brought_to_an_end() -> None:
    world = calm(6)
    ips = sorted(world.machines)
    value = world.machines[ips[0]].replica.value  # type: ignore[union-attr]
    assert value is not None
    world.kill(ips[4])  # not the keeper, whose successor would begin a round anyhow
    op = {"mark": "half", "on": 0, "edition": 1, "fill": ""}
    body = {"edition": 1, "taken": ["half"], "fill": ""}
    new = codec.encode_value(replace(value, version=1, digest=digest_of(body)))
    put = {"t": "put", "b": [50, f"{ips[4]}/first/1"], "v": new, "f": value.digest, "o": [op]}
    for ip in ips[1:3]:  # two of the four that are left: of these no majority has taken nothing later
        world.machines[ip].replica.receive(ips[4], put, world.now)  # type: ignore[union-attr]
    world.run(3000)
    assert not world.settled() and world.machines[ips[0]].replica.version == 1  # type: ignore[union-attr]


def test_who_stood_still_calls_nobody_lost() -> None:
    world = calm(7, 6)
    ips = sorted(world.machines)
    keeper = world.machines[ips[0]].replica
    assert keeper is not None and keeper.coordinator == ips[0]
    later = world.now + 10_000 * MS
    for ip in (ips[5], ips[1], ips[2]):  # first come those of a majority, and of one that could vote instead
        life = world.machines[ip].replica.register.state.disk_id  # type: ignore[union-attr]
        read = {"t": "read", "s": 9, "c": list(keeper.register.chosen_ballot), "l": life}
        keeper.receive(ip, read, later)
    keeper.tick(later)
    assert {one["t"] for _, one in keeper.take_messages()} == {"seen", "read"}


def test_those_before_leave_only_when_that_is_known_as_chosen() -> None:
    world = calm(8)
    replica = world.machines[first(world)].replica
    assert replica is not None and replica.value is not None
    joint = replace(replica.value, outgoing_voters=replica.value.voters[:3])
    assert replica.register.plan_voters(joint, False) == joint
    assert replica.register.plan_voters(joint, True) == replica.value


def test_what_is_learnt_is_promised_and_no_ballot_is_used_twice() -> None:
    held = initial_proposal(["a", "b", "c"])
    made = [
        Register(
            "b", DurableState("x", starts, accepted=held, chosen=held), InMemoryStore(), judge, seed=1, now=0
        )
        for starts in (1, 2)
    ]
    one = made[0]
    later = {
        "t": "chosen",
        "b": [5, "a/first/1"],
        "v": codec.encode_value(replace(held.value, coordinator="c")),
    }
    one.receive("a", codec.decode(later), 0)
    stale = {"t": "put", "b": [3, "c/first/1"], "v": codec.encode_value(held.value)}
    one.receive("c", codec.decode(stale | {"v": [0, [["b", "x"]], [], "a", held.value.digest]}), 0)
    assert [type(message) for _, message in one.outbox] == [Rejected] and one.accepted_ballot.round == 5
    for two in made:  # not a voter: its disk does not know of its own rounds
        two.state.promised = held.ballot
        two.highest_ballot = held.ballot
        two.start_round(0)
    assert made[0].round.ballot != made[1].round.ballot


def test_drawn_days() -> None:
    broken = {seed: wrong for seed in range(30) if (wrong := Day(seed).play(6))}
    assert not broken


def test_orders_of_messages_restarts_and_lost_disks() -> None:
    rules = Rules(rounds=3, restarts=1, wipes=1, spares=1)
    for found in (search(rules, most=2_000, settle_each=200), walk(rules, 300)):
        assert not found.broken, found
    assert search(Rules(rounds=1, wipes=0), most=5_000).whole


@pytest.mark.parametrize(
    "rules",
    [
        Rules(rounds=4, restarts=1, spares=1, bug="empty-votes", counts=False),
        Rules(rounds=4, wipes=0, spares=1, bug="hasty", counts=False),
        Rules(rounds=4, wipes=0, spares=1, bug="one-step", counts=False),
        Rules(rounds=3, restarts=2, bug="late-sync", counts=False),
    ],
)
def test_bugs_put_in_on_purpose_are_found(rules: Rules) -> None:
    """By what comes out alone; `test_voter_changes` finds them by the count of copies, too."""
    found = (seed for seed in range(1, 13) if "was chosen after" in walk(rules, 100, seed=seed).broken)
    assert not walk(replace(rules, bug=""), 100, seed=next(found)).broken


def test_voters_are_spread_and_never_fewer() -> None:
    places = {f"{at}": FailureDomain(f"r{at % 2}", f"z{at % 4}") for at in range(8)}
    value = Value(0, tuple(Incarnation(str(at), "x") for at in (0, 2, 4)), (), "0", "")
    up = {str(at): "x" for at in range(8)}
    got = select_voters(value, up, set(), places, 5)
    assert len(got) == 5 and sum(int(one.ip) % 2 for one in got) == 2
    assert select_voters(replace(value, voters=got), up, set(), places, 5) == got  # and so it stays
    # No region holds a majority where that can be had.
    assert sum(int(one.ip) % 2 for one in select_voters(value, up, set(), places, 3)) == 1
    # Lost and nobody there instead: it stays named. A new life comes in for the one before.
    few = {"0": "x", "2": "y"}
    assert select_voters(value, few, {"4"}, places, 5) == (
        Incarnation("0", "x"),
        Incarnation("2", "y"),
        Incarnation("4", "x"),
    )
    not_told = few | {"5": ""}  # its disk id is not known yet
    assert select_voters(value, not_told, {"4"}, places, 5)[2] == Incarnation("4", "x")


def test_messages_that_cant_be_meant() -> None:
    good = {"t": "put", "b": [3, "a"], "v": [1, [["a", "first"]], [], "a", "d"], "f": "e", "o": [{}]}
    assert json.loads(json.dumps(codec.encode(codec.decode(good)))) == good
    for bad in (
        *({"t": "put", "b": [3, "a"]}, {"t": "ask", "b": [True, "a"]}, {"t": "ask", "b": [1 << 60, "a"]}),
        *([], {"t": "x"}, good | {"v": [1, [], [], "a", "d"]}, good | {"o": [3]}, good | {"w": []}),
        *({"t": "promise", "b": [1, "a"], "l": "x", "a": [1, "a"]}, {"t": "seen", "s": "1", "l": "x"}),
    ):
        with pytest.raises(PepperrunError):
            codec.decode(json.loads(json.dumps(bad)))


def test_a_machine_whose_disk_fails_says_nothing_that_rests_on_it() -> None:
    world = calm(5)
    ips = sorted(world.machines)
    machine = world.machines[ips[1]]
    replica, save = machine.replica, machine.disk.save
    assert replica is not None

    def fail(memory: DurableState) -> None:
        raise DiskUnavailableError("saving", "refused")

    machine.disk.save = fail  # type: ignore[method-assign]
    replica.receive(ips[2], {"t": "ask", "b": [99, ips[2]]}, world.now)
    assert not [one for _, one in replica.take_messages() if one["t"] == "promise"]
    replica.receive(ips[2], {"t": "ask", "b": [100, ips[2]]}, world.now)
    world.run(1000)
    assert replica.register.disk_failed and machine.disk.synced and machine.disk.synced.promised.round < 99
    assert until(world, world.change(0, 1, [ips[1]])) == 200  # the others decide
    asked = replace(replica.register.catch_up)
    for edition in (2, 3):  # and in quick succession it follows them, without asking for the whole each time
        assert until(world, world.change(edition - 1, edition, [ips[2]])) == 200
    world.run(50)
    assert replica.body["edition"] == 3 and replica.register.catch_up == asked
    machine.disk.save = save  # type: ignore[method-assign]
    ends_well(world)
    assert not replica.register.disk_failed and machine.disk.synced.promised.round >= 99
    assert machine.disk.synced.accepted and machine.disk.synced.accepted.value.version == 3


def test_the_first_value_is_the_same_wherever_it_is_made() -> None:
    assert initial_proposal(["b", "a"]) == initial_proposal(["a", "b", "a"])
    held = initial_proposal(["a"])
    assert held == Proposal(
        held.ballot, replace(held.value, version=0), {}
    ) and held.value.digest == digest_of({})
