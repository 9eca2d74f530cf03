"""Changes of the voters: copies on disks at each step, graceful shutdown, and tolerance of a further loss."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from pepperrun import control_node
from pepperrun.consensus import codec
from pepperrun.consensus.messages import StoppingNotice
from pepperrun.consensus.state import DurableState, Incarnation, digest_of, initial_proposal
from pepperrun.simulation.consensus_world import World
from pepperrun.simulation.copies import Copies, deciding
from pepperrun.simulation.order_plans import change, change_but
from pepperrun.simulation.orders import Rules, search, walk
from pepperrun.simulation.replacement_days import GROWN, SMALL, Bugs, Day, Kind, Loss, Step


def settled_world(count: int, seed: int = 3, most: int = 5) -> World:
    """Return a world of `count` nodes in which `most` vote and no change of the voters is in progress."""
    world = World(count, seed, most=most)
    world.run(4000)
    assert not world.settled() and len(world.newest.voters) == most and not world.newest.outgoing_voters
    return world


def day_with(kind: Kind, step: Step, loss: Loss, seed: int) -> Day:
    """Return a random fault schedule with the given replacement, and a further loss at `step`."""
    day = Day(seed)
    day.kind, day.step, day.loss = kind, step, loss
    return day


@pytest.mark.parametrize("loss", Loss)
@pytest.mark.parametrize("step", Step)
def test_another_loss_is_tolerated_at_each_step_of_a_planned_replacement(step: Step, loss: Loss) -> None:
    for seed in range(2):
        day = day_with(Kind.PLANNED, step, loss, seed)
        assert not day.play(), (seed, day.name)


@pytest.mark.parametrize("kind", [Kind.KILLED_MIDWAY, Kind.UNPLANNED, Kind.EMPTY, Kind.TWO])
@pytest.mark.parametrize("loss", Loss)
def test_another_loss_is_tolerated_once_a_successor_had_time_to_catch_up(kind: Kind, loss: Loss) -> None:
    for seed in range(2):
        day = day_with(kind, Step.CAUGHT_UP, loss, seed)
        assert not day.play(), (seed, day.name)
        assert max(day.times.bearable, default=0) < 0.7 * SMALL.catch_up_ms


def test_a_random_fault_schedule_of_a_large_site() -> None:
    day = Day(1, GROWN)
    assert not day.play(), day.name


@pytest.mark.parametrize(
    ("bugs", "kind", "failure"),
    [
        (Bugs(lost_ms=4000), Kind.UNPLANNED, "can be borne only"),
        (Bugs(lost_ms=4000), Kind.KILLED_MIDWAY, "and no majority of"),
        (Bugs(stays_named=True), Kind.PLANNED, "and no majority of"),
    ],
)
def test_a_voter_that_is_replaced_too_late_is_detected(bugs: Bugs, kind: Kind, failure: str) -> None:
    failures = []
    for seed in range(8):
        day = Day(seed, bugs=bugs)
        day.kind, day.step = kind, Step.CAUGHT_UP
        failures.append(day.play())
    assert any(failure in one for one in failures), failures


def test_a_stopping_node_exits_without_vote_or_role_if_a_spare_can_take_over() -> None:
    world = settled_world(6)
    coordinator = world.newest.coordinator
    replica = world.machines[coordinator].replica
    assert replica is not None
    world.retire(coordinator)
    assert not replica.safe_to_stop
    world.run(500)
    assert replica.safe_to_stop and world.machines[coordinator].replica is None
    assert coordinator not in world.newest.voter_ips and world.newest.coordinator != coordinator
    assert len(world.newest.voters) == 5 and not world.newest.outgoing_voters


def test_a_stopping_node_does_not_exit_on_an_old_value_that_does_not_name_it() -> None:
    world = settled_world(6)
    spare = next(ip for ip in sorted(world.machines) if ip not in world.newest.voter_ips)
    replica = world.machines[spare].replica
    assert replica is not None and replica.confirmed_at is not None
    replica.request_stop(world.now)
    assert not replica.safe_to_stop  # a newer value may name it as a voter
    world.run(600)  # time for another quorum read
    assert replica.safe_to_stop and replica.confirmed_at >= replica.stop_requested_at


def test_without_a_spare_a_stopping_voter_stays_named_and_exits_without_waiting() -> None:
    world = settled_world(5)
    voters = world.newest.voters
    stop_requested_at = world.now
    ip = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    replica = world.machines[ip].replica
    assert replica is not None
    world.retire(ip)
    assert replica.safe_to_stop  # without any wait
    world.run(600)
    assert world.machines[ip].replica is None and world.now - stop_requested_at < 700_000_000
    world.run(5000)
    assert world.newest.voters == voters
    world.start(ip)
    world.run(3000)
    assert not world.settled() and world.newest.voters == voters


def test_a_stopping_node_that_is_partitioned_exits_at_its_time_out() -> None:
    world = settled_world(6)
    ip = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    world.cut([ip])
    world.run(300)
    world.retire(ip)
    world.run(3200)
    assert world.machines[ip].replica is None
    world.run(1500)
    assert ip not in world.newest.voter_ips  # the node timed out, so the spare replaced it


def test_two_nodes_that_stop_at_once_do_not_name_each_other() -> None:
    world = settled_world(7)
    order = sorted(world.newest.voter_ips)
    coordinator = world.newest.coordinator
    successor = order[(order.index(coordinator) + 1) % len(order)]
    world.retire(successor)
    world.retire(coordinator)
    world.run(1500)
    assert not {coordinator, successor} & world.newest.voter_ips
    assert world.newest.coordinator not in (coordinator, successor)
    world.run(2000)
    assert not world.settled()


def test_nodes_that_all_stop_at_once_exit_at_once_and_keep_their_votes() -> None:
    world = settled_world(7)
    voters = world.newest.voters
    for ip in world.machines:
        world.retire(ip)
    world.run(1200)
    assert not any(one.replica for one in world.machines.values())
    for ip in world.machines:
        world.start(ip)
    world.run(5000)
    assert not world.settled() and len(world.newest.voters) == len(voters)


def test_a_node_that_stopped_and_restarted_may_vote_again() -> None:
    world = settled_world(6)
    ip = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    world.retire(ip)
    world.run(1500)
    world.start(ip)
    world.run(1000)
    assert ip not in world.newest.voter_ips  # the node is a spare now
    for machine in world.machines.values():
        assert machine.replica is not None and ip not in machine.replica.stopping_peers
    lost = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    world.remove(lost)
    world.run(3000)
    assert ip in world.newest.voter_ips and lost not in world.newest.voter_ips


def test_a_peer_counts_as_stopping_until_its_reads_come_without_a_notice_or_it_reconnects() -> None:
    world = settled_world(6)
    coordinator, other = sorted(world.newest.voter_ips)[:2]
    replica = world.machines[coordinator].replica
    assert replica is not None
    replica.receive(other, {"t": "leave", "l": "first"}, world.now)
    read = {"t": "read", "s": 1, "c": [0, ""], "l": "first"}
    replica.receive(other, read, world.now)
    assert other in replica.stopping_peers
    replica.receive(other, read, world.now + 2 * replica.timeouts.liveness_ns)
    assert other not in replica.stopping_peers
    replica.receive(other, {"t": "leave", "l": "first"}, world.now)
    replica.connected(other, "z1", world.now)
    assert not replica.stopping_peers


def test_a_coordinator_killed_during_its_handover_is_replaced_within_3200_ms() -> None:
    for after_ms in (0, 20, 40, 60, 90, 150, 300):
        world = settled_world(6, seed=after_ms)
        coordinator = world.newest.coordinator
        world.retire(coordinator)
        world.run(after_ms)
        world.remove(coordinator)
        world.run(3200)
        value = world.newest
        assert (
            coordinator not in value.voter_ips
            and value.coordinator != coordinator
            and not value.outgoing_voters
        ), after_ms


def test_a_coordinator_admits_no_incarnation_reported_on_an_older_link() -> None:
    world = settled_world(5)
    replica = world.machines[world.newest.coordinator].replica
    assert replica is not None
    ip = sorted(world.newest.voter_ips - {replica.own_ip})[0]
    voters = tuple(Incarnation(one.ip, "later") if one.ip == ip else one for one in world.newest.voters)
    known = replace(world.newest, voters=voters)  # another coordinator admitted it with a new disk
    replica.disconnected(ip, world.now)
    replica.connected(ip, world.machines[ip].zone, world.now)
    assert replica.register.plan_voters(known, True) == known


def test_copies_are_counted_on_disks() -> None:
    first = initial_proposal(["a", "b", "c"])
    later = first._replace(ballot=first.ballot._replace(round=1))
    copies = Copies()
    copies.began(first)
    assert not copies.chose(first) and copies.fewest == 3
    state = DurableState("first", accepted=later)
    assert not copies.saved("a", state)
    assert "with 1 copies among 3" in copies.chose(later)
    # The two disks disagree, so they decide nothing.
    assert not copies.lacking({Incarnation("a", "first"), Incarnation("b", "first")})
    assert "without a copy" in copies.lacking({Incarnation("b", "first"), Incarnation("c", "first")})
    body = {"m": 1}
    mismatched = later._replace(value=replace(later.value, digest=digest_of(body)))
    assert "without its body" in Copies().saved("a", DurableState("first", accepted=mismatched))
    present = {Incarnation(ip, "first") for ip in "abc"}
    minority, majority = frozenset("a"), frozenset("ab")
    assert deciding(first.value, present, [minority, majority]) == [majority]


def test_a_disk_that_syncs_too_late_has_too_few_copies() -> None:
    world = World(5, 1, late_disks=True)
    world.counts_copies = True
    world.run(3000)
    assert "is known as chosen with" in world.wrong


def test_a_stopping_notice_is_encoded_and_decoded() -> None:
    assert codec.decode({"t": "leave", "l": "first"}) == StoppingNotice("first")
    assert codec.encode(StoppingNotice("first")) == {"t": "leave", "l": "first"}
    assert codec.is_known({"t": "leave"})


class StoppingNode:
    """Stands in for a control node whose replica is safe to stop after `checks` checks."""

    def __init__(self, checks: int) -> None:
        self.checks, self.done = checks, 0

    @property
    def replica(self) -> StoppingNode:
        return self

    @property
    def safe_to_stop(self) -> bool:
        self.done += 1
        return self.done > self.checks


@pytest.mark.parametrize(("checks", "slept"), [(0, 0.0), (5, 0.25), (1000, control_node.HANDOVER_TIMEOUT_S)])
def test_the_program_waits_until_it_is_safe_to_stop_but_not_for_ever(
    monkeypatch: pytest.MonkeyPatch, checks: int, slept: float
) -> None:
    sleeps: list[float] = []

    async def sleep(time_s: float) -> None:
        sleeps.append(time_s)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    node = object.__new__(control_node.ControlProgram)
    node.node = StoppingNode(checks)  # type: ignore[assignment]
    node.settings = SimpleNamespace(me=SimpleNamespace(station="s1"))  # type: ignore[assignment]
    asyncio.run(node.wait_for_handover())
    assert sum(sleeps) == pytest.approx(slept)


CHANGING = Rules(rounds=6, restarts=1, wipes=1, spares=1, leaves=1)


def test_interleavings_of_stopping_nodes_and_lost_disks_leave_enough_copies() -> None:
    assert not walk(CHANGING, 150, 120).broken
    two_at_once = replace(CHANGING, voters=5, wipes=2, at_once=2, restarts=0)
    assert not walk(two_at_once, 20, 160).broken
    assert not search(replace(CHANGING, rounds=3), depth=90, most=1_500, settle_each=300).broken


@pytest.mark.parametrize(
    ("bug", "failure"),
    [
        ("leaves-early", "are left"),
        ("leaves-named", "are left"),
        ("bodiless", "without its body"),
        ("late-sync", "is known as chosen with"),
        ("empty-votes", "are there without a copy"),
    ],
)
def test_injected_bugs_are_found_by_the_count_of_copies(bug: str, failure: str) -> None:
    found = walk(replace(CHANGING, bug=bug), 400, 120)
    assert failure in found.broken and found.states < 10_000


def test_a_stopping_node_is_not_named_again_by_a_change_in_progress() -> None:
    value = initial_proposal(["a", "b", "c"]).value
    new_voters = (Incarnation("b", "first"), Incarnation("c", "first"), Incarnation("d", "d1"))
    assert (
        change_but(change, frozenset({Incarnation("a", "first")}), new_voters, value, True).voters
        == new_voters
    )
    assert change_but(change, frozenset({Incarnation("d", "d1")}), new_voters, value, True) == value
