"""Consensus of the control nodes: acknowledged changes survive power failures, lost disks and partitions."""

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


def started_world(seed: int, count: int = 5, **how: Any) -> World:
    """Return a world in which all nodes vote, before any change or fault."""
    world = World(count, seed, **how)
    world.run(3000)
    assert not world.settled()
    assert all(one.replica and one.replica.is_voter for one in list(world.machines.values())[:5])
    return world


def run_until_answered(world: World, change: Try, most_ms: int = 5000) -> Any:
    """Run until the change is answered, for at most `most_ms`; return the answer, None without one."""
    end = world.now + most_ms * MS
    while change.answer is None and world.now < end and not world.wrong:
        world.run(0.2)
    return change.answer


def assert_settles(world: World, ms: int = 6000) -> None:
    """Run for `ms`, and check that all nodes then agree and no rule was broken."""
    world.run(ms)
    assert not world.settled(), world.settled()


def initial_coordinator(world: World) -> str:
    """Return the ip of the coordinator, which at the start is the first of the first contacts."""
    return sorted(world.machines)[0]


@pytest.mark.parametrize("fault", ["power failure", "wipe", "outage", "outage and wipe", "killed"])
@pytest.mark.parametrize("seed", SEEDS)
def test_acknowledged_changes_survive_faults_of_the_nodes_that_acknowledged_them(
    seed: int, fault: str
) -> None:
    world = started_world(seed)
    ips = sorted(world.machines)
    for edition in (1, 2, 3):
        change = world.change(edition - 1, edition, [ips[seed]])
        assert run_until_answered(world, change) == 200
    for ip in ips:
        if "outage" in fault or ip == ips[seed] or fault == "killed":
            world.kill(ip, power=fault != "killed")
    if "wipe" in fault:
        world.wipe(ips[seed])
    world.run(1000)
    for ip in ips:
        if world.machines[ip].replica is None:
            world.start(ip)
    if fault == "outage":  # a majority that accepted the same ballot knows without a round that it is chosen
        world.run(800)
        assert {
            one.replica.register.chosen_ballot.proposer.split("/")[0]
            for one in world.machines.values()
            if one.replica
        } == {ips[seed]}
        assert not world.settled()
    assert_settles(world)
    assert all(one.replica and one.replica.is_voter for one in world.machines.values())


@pytest.mark.parametrize("fault", ["outage and two lost disks", "region"])
@pytest.mark.parametrize("seed", SEEDS)
def test_seven_of_twelve_nodes_vote_and_tolerate_two_lost_disks_or_a_lost_region(
    seed: int, fault: str
) -> None:
    world = World(12, seed, most=7)
    world.run(4000)
    assert not world.settled()
    replica = world.machines[initial_coordinator(world)].replica
    assert replica is not None
    voters = sorted(replica.voter_ips)
    region = {ip: world.regions[one.zone] for ip, one in world.machines.items()}
    shares = Counter(region[ip] for ip in voters)
    assert len(voters) == 7 and max(shares.values()) == 3
    if fault == "region":
        lost = [ip for ip in region if region[ip] == f"r{seed % 3}"]
        for ip in lost:
            world.kill(ip, power=True)
        assert run_until_answered(world, world.change(0, 1, [ip for ip in region if ip not in lost])) == 200
    else:
        lost = [voters[seed], voters[seed + 3]]
        assert run_until_answered(world, world.change(0, 1, lost[:1])) == 200
        for ip in region:
            world.kill(ip, power=True)
        for ip in lost:
            world.wipe(ip)
        world.run(1000)
    for ip in region:
        if world.machines[ip].replica is None:
            world.start(ip)
    assert_settles(world, 8000)
    newest = world.machines[voters[1]].replica
    assert newest is not None and newest.version == 1 and len(newest.voter_ips) == 7


def test_a_rolling_restart_delays_no_change_and_ends_with_the_same_voters() -> None:
    """While a node is down, a spare votes in its place; in the end the same nodes vote as before."""
    world = World(12, 5, most=7)
    world.run(4000)
    ips = sorted(world.machines)
    replica = world.machines[ips[-1]].replica
    assert replica is not None and replica.value is not None
    voters = replica.value.voters
    for edition, ip in enumerate(ips):
        others = [one for one in ips if one != ip]
        world.retire(ip)
        assert run_until_answered(world, world.change(edition, edition + 1, others), 500) == 200
        world.run(200)  # the node has not exited yet, but another one is the coordinator
        coordinators = [
            one.replica.coordinator for other, one in world.machines.items() if one.replica and other != ip
        ]
        assert ip not in coordinators and len(set(coordinators)) == 1
        world.run(1000)
        # A spare votes instead.
        assert world.machines[ip].replica is None and ip not in world.newest.voter_ips
        world.start(ip)
        world.run(500)
    assert_settles(world)
    last = world.machines[ips[0]].replica
    assert last is not None and last.value is not None and last.value.voters == voters


def test_a_disk_that_syncs_too_late_is_detected() -> None:
    """An outage loses an acknowledged change if the answers are sent before the sync."""
    failures = []
    for seed in SEEDS:
        world = started_world(seed, late_disks=True)
        run_until_answered(world, world.change(0, 1, sorted(world.machines)[:1]))
        for ip in world.machines:
            world.kill(ip, power=True)
        for ip in world.machines:
            world.start(ip)
        world.run(5000)
        failures.append(world.settled())
    assert any("lost" in failure or "without" in failure for failure in failures)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_node_suspended_during_two_changes_catches_up(seed: int) -> None:
    world = started_world(seed)
    suspended, other = sorted(world.machines)[1:3]
    world.freeze(suspended)
    for edition in (1, 2):
        assert run_until_answered(world, world.change(edition - 1, edition, [other])) == 200
    world.run(3000)
    replica = world.machines[suspended].replica
    assert replica is not None
    confirmed_at = replica.confirmed_at
    world.thaw(suspended)
    # It has received nothing for seconds, but does not suspect its peers because of that.
    assert replica.confirmed_at == confirmed_at and not replica.lacks_quorum
    assert_settles(world, 1500)
    assert replica.version == 2 and world.machines[other].replica.coordinator == initial_coordinator(world)  # type: ignore[union-attr]


@pytest.mark.parametrize("seed", range(8))
def test_of_two_concurrent_changes_on_both_sides_of_a_partition_one_succeeds(seed: int) -> None:
    world = started_world(seed)
    ips = sorted(world.machines)
    minority, majority = ips[:2], ips[2:]
    world.cut(minority)
    changes = [world.change(0, 1, minority), world.change(0, 2, majority)]
    if seed % 2:  # clients may use both sides, and the partition heals during the race
        changes = [world.change(0, 3, ips), world.change(0, 4, ips[::-1])]
        world.run(20 * (seed + 1))
    world.run(2500)
    world.heal()
    assert_settles(world)
    assert sorted(one.answer for one in changes) == [200, 412]


def test_a_minority_rejects_changes_at_once_and_keeps_its_last_value() -> None:
    world = started_world(1)
    ips = sorted(world.machines)
    assert run_until_answered(world, world.change(0, 1, ips[:1])) == 200
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
    # The majority has a new coordinator by then, and still makes changes.
    assert world.machines[ips[2]].replica.coordinator in ips[2:]  # type: ignore[union-attr]
    assert run_until_answered(world, world.change(1, 3, ips[2:])) == 200
    world.heal()
    assert_settles(world)


def test_a_minority_never_reads_a_value_that_is_not_chosen() -> None:
    """A partition starts at each moment of a change's round; each side reads only chosen changes."""
    answers = set()
    for moment in range(0, 120, 6):
        world = started_world(3)
        ips = sorted(world.machines)
        minority_change = world.change(0, 1, ips[:2])
        world.run(moment)
        world.cut(ips[:2])
        world.run(300)
        rival = world.change(0, 2, ips[2:])
        world.run(2500)
        read = {ip: world.machines[ip].replica.body.get("taken", []) for ip in ips}  # type: ignore[union-attr]
        world.heal()
        assert_settles(world)
        chosen = world.machines[ips[0]].replica.body["taken"]  # type: ignore[union-attr]
        assert all(chosen[: len(taken)] == taken for taken in read.values()), (moment, read, chosen)
        assert sorted([minority_change.answer, rival.answer]) == [200, 412]
        answers.add(minority_change.answer)
    assert answers == {200, 412}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_call_retried_at_another_node_after_ten_seconds_gets_the_original_answer(seed: int) -> None:
    """The first node lost power before its answer arrived, and others made changes or raced meanwhile."""
    answers = set()
    for moment in range(0, 90, 9):
        world = started_world(seed)
        ips = sorted(world.machines)
        unanswered = world.change(0, 1, ips[:1], mark="call")
        world.run(moment)
        world.kill(ips[0], power=True)
        world.run(2500)
        rival = world.change(0, 2, ips[1:])
        world.run(2000)
        base_edition = rival.op["edition"] if rival.answer == 200 else 1
        later = world.change(base_edition, 7, ips[2:])
        world.run(6000)
        unanswered.to = ips[1:]  # until now the client has called only the lost node
        retry = world.change(0, 1, ips[seed:][1:], mark="call")
        world.run(3000)
        assert later.answer == 200 and sorted([retry.answer, rival.answer]) == [200, 412]
        assert unanswered.answer == retry.answer
        taken = world.machines[ips[2]].replica.body["taken"]  # type: ignore[union-attr]
        assert taken.count("call") == (retry.answer == 200)
        answers.add(retry.answer)
    assert answers == {200, 412}


@pytest.mark.parametrize("contacts", [1, 2])
@pytest.mark.parametrize("seed", SEEDS)
def test_one_or_two_first_contacts_start_the_system_and_others_join(seed: int, contacts: int) -> None:
    world = World(5, seed, contacts=contacts)
    change = world.change(0, 1, sorted(world.machines))  # sent before any two nodes are connected
    world.run(3000)
    assert change.answer == 200 and len(world.newest.voters) == 5 and not world.settled()
    for ip in sorted(world.machines)[:contacts]:
        world.wipe(ip)
    assert run_until_answered(world, world.change(1, 2, sorted(world.machines)[contacts:])) == 200
    assert_settles(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_first_start_without_one_first_contact_accepts_changes_and_admits_it_later(seed: int) -> None:
    world = World(5, seed)
    unreachable = sorted(world.machines)[seed % 3]
    world.cut([unreachable])
    change = world.change(0, 1, [ip for ip in sorted(world.machines) if ip != unreachable])
    assert run_until_answered(world, change) == 200
    world.heal()
    assert_settles(world)
    assert readmitted(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_first_contacts_are_replaced_one_by_one(seed: int) -> None:
    world = started_world(seed)
    initial_ips = sorted(world.machines)
    for edition, ip in enumerate(initial_ips[:3]):
        new = world.add()
        world.start(new)
        world.run(1500)
        world.wipe(ip)
        change = world.change(edition, edition + 1, initial_ips[3:])  # while the replaced node is missing
        world.run(7000)
        assert change.answer == 200 and readmitted(world)
        assert new in world.machines[initial_ips[4]].replica.voter_ips  # type: ignore[union-attr]
    assert_settles(world)
    for ip in world.machines:  # a total outage: the new nodes have the value on their disks
        world.kill(ip, power=True)
    for ip in world.machines:
        if ip not in initial_ips[:3]:
            world.start(ip)
    assert_settles(world)


def test_a_node_with_a_lost_disk_is_readmitted_during_concurrent_changes() -> None:
    for seed in SEEDS:
        world = started_world(seed)
        ips = sorted(world.machines)
        world.wipe(ips[4])
        world.run(50)
        world.start(ips[4])
        changes = [world.change(0, 1, ips), world.change(0, 2, ips[::-1])]
        assert_settles(world)
        assert sorted(one.answer for one in changes) == [200, 412]
        replica = world.machines[ips[4]].replica
        assert (
            replica is not None
            and replica.is_voter
            and replica.register.state.disk_id != Incarnation(ips[4], "first").disk_id
        )


def test_a_coordinator_names_its_successor_or_is_replaced_once_a_majority_suspects_it() -> None:
    world = started_world(2)
    ips = sorted(world.machines)
    world.retire(ips[0])
    world.run(400)
    assert {one.replica.coordinator for one in world.machines.values() if one.replica} == {ips[1]}
    world.run(1000)
    world.cut([ips[1]], [ips[2], ips[3]])  # only two nodes are cut off from it: no majority suspects it
    world.run(5000)
    assert world.machines[ips[4]].replica.coordinator == ips[1]  # type: ignore[union-attr]
    world.heal()
    world.run(1000)
    world.freeze(ips[1])
    world.run(3500)
    assert world.machines[ips[2]].replica.coordinator == ips[2]  # type: ignore[union-attr]
    world.thaw(ips[1])
    world.start(ips[0])
    assert_settles(world)
    assert world.machines[ips[1]].replica.coordinator == ips[2]  # type: ignore[union-attr]


def test_the_cost_of_a_change_depends_on_its_own_size_not_the_configurations() -> None:
    world = started_world(3, 6)
    ips = sorted(world.machines)
    assert run_until_answered(world, world.change(0, 1, ips, fill="x" * 100_000)) == 200
    world.run(1000)
    saves_before = [one.disk.saves for one in world.machines.values()]
    bytes_before = world.bytes
    assert run_until_answered(world, world.change(1, 2, ips)) == 200
    world.run(1000)
    assert not world.settled() and world.bytes - bytes_before < 30_000
    replica = world.machines[ips[5]].replica  # not a voter, but it receives the change as well
    assert replica is not None and not replica.is_voter and replica.body["fill"]
    # Each voter syncs once for the promise and once for the value; a non-voter, which answers nothing, never.
    assert [
        one.disk.saves - before for one, before in zip(world.machines.values(), saves_before, strict=True)
    ] == [2] * 5 + [0]


def test_changes_are_reported_in_order_with_their_operations() -> None:
    world = started_world(4)
    ips = sorted(world.machines)
    replica = world.machines[ips[1]].replica
    assert replica is not None
    changes: list[Any] = []
    take = replica.take_changes
    replica.take_changes = lambda: changes.extend(take()) or []  # type: ignore[method-assign,func-returns-value]
    for edition in (1, 2):
        assert run_until_answered(world, world.change(edition - 1, edition, ips[3:4])) == 200
    world.run(500)
    world.freeze(ips[1])
    assert run_until_answered(world, world.change(2, 3, ips[3:4])) == 200
    world.run(6000)
    world.thaw(ips[1])
    world.run(1500)
    assert [(one.base_version, one.version) for one in changes] == [(0, 1), (1, 2), (2, 3)]
    assert [one.operation["edition"] for one in changes[:2] if one.operation] == [1, 2]


def test_a_round_whose_proposer_died_is_completed_by_others() -> None:
    world = started_world(6)
    ips = sorted(world.machines)
    value = world.machines[ips[0]].replica.value  # type: ignore[union-attr]
    assert value is not None
    world.kill(ips[4])  # not the coordinator, whose successor would start a round anyway
    op = {"mark": "half", "on": 0, "edition": 1, "fill": ""}
    body = {"edition": 1, "taken": ["half"], "fill": ""}
    new = codec.encode_value(replace(value, version=1, digest=digest_of(body)))
    put = {"t": "put", "b": [50, f"{ips[4]}/first/1"], "v": new, "f": value.digest, "o": [op]}
    # Two of the four nodes left accept it: so no majority can confirm the value before it.
    for ip in ips[1:3]:
        world.machines[ip].replica.receive(ips[4], put, world.now)  # type: ignore[union-attr]
    world.run(3000)
    assert not world.settled() and world.machines[ips[0]].replica.version == 1  # type: ignore[union-attr]


def test_a_node_that_was_suspended_suspects_no_peer() -> None:
    world = started_world(7, 6)
    ips = sorted(world.machines)
    replica = world.machines[ips[0]].replica
    assert replica is not None and replica.coordinator == ips[0]
    later = world.now + 10_000 * MS
    # After the suspension the first messages are of a spare that could vote, and of a majority.
    for ip in (ips[5], ips[1], ips[2]):
        disk_id = world.machines[ip].replica.register.state.disk_id  # type: ignore[union-attr]
        read = {"t": "read", "s": 9, "c": list(replica.register.chosen_ballot), "l": disk_id}
        replica.receive(ip, read, later)
    replica.tick(later)
    assert {one["t"] for _, one in replica.take_messages()} == {"seen", "read"}


def test_outgoing_voters_are_dropped_only_after_the_joint_value_is_known_as_chosen() -> None:
    world = started_world(8)
    replica = world.machines[initial_coordinator(world)].replica
    assert replica is not None and replica.value is not None
    joint = replace(replica.value, outgoing_voters=replica.value.voters[:3])
    assert replica.register.plan_voters(joint, False) == joint
    assert replica.register.plan_voters(joint, True) == replica.value


def test_a_learned_ballot_counts_as_promised_and_no_ballot_is_reused() -> None:
    initial = initial_proposal(["a", "b", "c"])
    registers = [
        Register(
            "b",
            DurableState("x", starts, accepted=initial, chosen=initial),
            InMemoryStore(),
            judge,
            seed=1,
            now=0,
        )
        for starts in (1, 2)
    ]
    one = registers[0]
    later = {
        "t": "chosen",
        "b": [5, "a/first/1"],
        "v": codec.encode_value(replace(initial.value, coordinator="c")),
    }
    one.receive("a", codec.decode(later), 0)
    stale = {"t": "put", "b": [3, "c/first/1"], "v": codec.encode_value(initial.value)}
    one.receive("c", codec.decode(stale | {"v": [0, [["b", "x"]], [], "a", initial.value.digest]}), 0)
    assert [type(message) for _, message in one.outbox] == [Rejected] and one.accepted_ballot.round == 5
    for register in registers:  # a non-voter, whose disk does not record its own rounds
        register.state.promised = initial.ballot
        register.highest_ballot = initial.ballot
        register.start_round(0)
    assert registers[0].round.ballot != registers[1].round.ballot


def test_random_fault_schedules() -> None:
    broken = {seed: wrong for seed in range(30) if (wrong := Day(seed).play(6))}
    assert not broken


def test_interleavings_of_messages_restarts_and_lost_disks() -> None:
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
def test_injected_bugs_are_found(rules: Rules) -> None:
    """They are found by their effects alone; `test_voter_changes` finds them by the count of copies, too."""
    found = (seed for seed in range(1, 13) if "was chosen after" in walk(rules, 100, seed=seed).broken)
    assert not walk(replace(rules, bug=""), 100, seed=next(found)).broken


def test_voters_are_spread_over_regions_and_never_become_fewer() -> None:
    domains = {f"{at}": FailureDomain(f"r{at % 2}", f"z{at % 4}") for at in range(8)}
    value = Value(0, tuple(Incarnation(str(at), "x") for at in (0, 2, 4)), (), "0", "")
    alive = {str(at): "x" for at in range(8)}
    selected = select_voters(value, alive, set(), domains, 5)
    assert len(selected) == 5 and sum(int(one.ip) % 2 for one in selected) == 2
    # The selection is stable.
    assert select_voters(replace(value, voters=selected), alive, set(), domains, 5) == selected
    # No region has a majority if that can be avoided.
    assert sum(int(one.ip) % 2 for one in select_voters(value, alive, set(), domains, 3)) == 1
    # A lost voter stays if no machine can replace it. A new incarnation replaces the previous one.
    few = {"0": "x", "2": "y"}
    assert select_voters(value, few, {"4"}, domains, 5) == (
        Incarnation("0", "x"),
        Incarnation("2", "y"),
        Incarnation("4", "x"),
    )
    without_disk_id = few | {"5": ""}  # a machine whose disk id is not known yet can't vote
    assert select_voters(value, without_disk_id, {"4"}, domains, 5)[2] == Incarnation("4", "x")


def test_invalid_messages_are_rejected() -> None:
    valid = {"t": "put", "b": [3, "a"], "v": [1, [["a", "first"]], [], "a", "d"], "f": "e", "o": [{}]}
    assert json.loads(json.dumps(codec.encode(codec.decode(valid)))) == valid
    for invalid in (
        *({"t": "put", "b": [3, "a"]}, {"t": "ask", "b": [True, "a"]}, {"t": "ask", "b": [1 << 60, "a"]}),
        *([], {"t": "x"}, valid | {"v": [1, [], [], "a", "d"]}, valid | {"o": [3]}, valid | {"w": []}),
        *({"t": "promise", "b": [1, "a"], "l": "x", "a": [1, "a"]}, {"t": "seen", "s": "1", "l": "x"}),
    ):
        with pytest.raises(PepperrunError):
            codec.decode(json.loads(json.dumps(invalid)))


def test_a_node_whose_disk_fails_sends_no_promise_or_acceptance() -> None:
    world = started_world(5)
    ips = sorted(world.machines)
    machine = world.machines[ips[1]]
    replica, save = machine.replica, machine.disk.save
    assert replica is not None

    def fail(state: DurableState) -> None:
        raise DiskUnavailableError("saving", "refused")

    machine.disk.save = fail  # type: ignore[method-assign]
    replica.receive(ips[2], {"t": "ask", "b": [99, ips[2]]}, world.now)
    assert not [one for _, one in replica.take_messages() if one["t"] == "promise"]
    replica.receive(ips[2], {"t": "ask", "b": [100, ips[2]]}, world.now)
    world.run(1000)
    assert replica.register.disk_failed and machine.disk.synced and machine.disk.synced.promised.round < 99
    assert run_until_answered(world, world.change(0, 1, [ips[1]])) == 200  # the other nodes decide
    catch_up_before = replace(replica.register.catch_up)
    # The node follows changes in quick succession, and does not request the full body each time.
    for edition in (2, 3):
        assert run_until_answered(world, world.change(edition - 1, edition, [ips[2]])) == 200
    world.run(50)
    assert replica.body["edition"] == 3 and replica.register.catch_up == catch_up_before
    machine.disk.save = save  # type: ignore[method-assign]
    assert_settles(world)
    assert not replica.register.disk_failed and machine.disk.synced.promised.round >= 99
    assert machine.disk.synced.accepted and machine.disk.synced.accepted.value.version == 3


def test_the_initial_value_is_the_same_on_every_node() -> None:
    assert initial_proposal(["b", "a"]) == initial_proposal(["a", "b", "a"])
    initial = initial_proposal(["a"])
    assert initial == Proposal(
        initial.ballot, replace(initial.value, version=0), {}
    ) and initial.value.digest == digest_of({})
