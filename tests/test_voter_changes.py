"""Changes of voters: copies at each step, leavers, and how soon another loss can be borne."""

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


def settled(count: int, seed: int = 3, most: int = 5) -> World:
    world = World(count, seed, most=most)
    world.run(4000)
    assert not world.settled() and len(world.newest.voters) == most and not world.newest.outgoing_voters
    return world


def drawn(kind: Kind, step: Step, loss: Loss, seed: int) -> Day:
    day = Day(seed)
    day.kind, day.step, day.loss = kind, step, loss
    return day


@pytest.mark.parametrize("loss", Loss)
@pytest.mark.parametrize("step", Step)
def test_another_loss_is_borne_at_each_step_of_a_planned_replacement(step: Step, loss: Loss) -> None:
    for seed in range(2):
        day = drawn(Kind.PLANNED, step, loss, seed)
        assert not day.play(), (seed, day.name)


@pytest.mark.parametrize("kind", [Kind.KILLED_MIDWAY, Kind.UNPLANNED, Kind.EMPTY, Kind.TWO])
@pytest.mark.parametrize("loss", Loss)
def test_another_loss_is_borne_once_a_successor_had_its_time(kind: Kind, loss: Loss) -> None:
    for seed in range(2):
        day = drawn(kind, Step.CAUGHT_UP, loss, seed)
        assert not day.play(), (seed, day.name)
        assert max(day.times.bearable, default=0) < 0.7 * SMALL.catch_up_ms


def test_a_drawn_day_of_a_grown_site() -> None:
    day = Day(1, GROWN)
    assert not day.play(), day.name


@pytest.mark.parametrize(
    ("bugs", "kind", "wrong"),
    [
        (Bugs(lost_ms=4000), Kind.UNPLANNED, "can be borne only"),
        (Bugs(lost_ms=4000), Kind.KILLED_MIDWAY, "and no majority of"),
        (Bugs(stays_named=True), Kind.PLANNED, "and no majority of"),
    ],
)
def test_who_keeps_its_place_too_long_is_found(bugs: Bugs, kind: Kind, wrong: str) -> None:
    found = []
    for seed in range(8):
        day = Day(seed, bugs=bugs)
        day.kind, day.step = kind, Step.CAUGHT_UP
        found.append(day.play())
    assert any(wrong in one for one in found), found


def test_who_is_told_to_stop_ends_with_no_vote_and_no_duty_where_a_spare_is_there() -> None:
    world = settled(6)
    keeper = world.newest.coordinator
    replica = world.machines[keeper].replica
    assert replica is not None
    world.retire(keeper)
    assert not replica.safe_to_stop
    world.run(500)
    assert replica.safe_to_stop and world.machines[keeper].replica is None
    assert keeper not in world.newest.voter_ips and world.newest.coordinator != keeper
    assert len(world.newest.voters) == 5 and not world.newest.outgoing_voters


def test_who_knows_an_old_value_that_names_it_not_is_not_released_by_that() -> None:
    world = settled(6)
    spare = next(ip for ip in sorted(world.machines) if ip not in world.newest.voter_ips)
    replica = world.machines[spare].replica
    assert replica is not None and replica.confirmed_at is not None
    replica.request_stop(world.now)
    assert not replica.safe_to_stop  # a newer value may name it
    world.run(600)  # a read round later
    assert replica.safe_to_stop and replica.confirmed_at >= replica.stop_requested_at


def test_where_nobody_is_there_instead_it_stays_named_and_ends_without_waiting() -> None:
    world = settled(5)
    voters = world.newest.voters
    told = world.now
    ip = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    replica = world.machines[ip].replica
    assert replica is not None
    world.retire(ip)
    assert replica.safe_to_stop  # at once
    world.run(600)
    assert world.machines[ip].replica is None and world.now - told < 700_000_000
    world.run(5000)
    assert world.newest.voters == voters
    world.start(ip)
    world.run(3000)
    assert not world.settled() and world.newest.voters == voters


def test_a_leaver_that_is_cut_off_ends_when_its_time_is_over() -> None:
    world = settled(6)
    ip = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    world.cut([ip])
    world.run(300)
    world.retire(ip)
    world.run(3200)
    assert world.machines[ip].replica is None
    world.run(1500)
    assert ip not in world.newest.voter_ips  # it was lost, so the spare votes


def test_two_that_leave_at_once_don_t_name_each_other() -> None:
    world = settled(7)
    order = sorted(world.newest.voter_ips)
    keeper = world.newest.coordinator
    follows = order[(order.index(keeper) + 1) % len(order)]
    world.retire(follows)
    world.retire(keeper)
    world.run(1500)
    assert not {keeper, follows} & world.newest.voter_ips
    assert world.newest.coordinator not in (keeper, follows)
    world.run(2000)
    assert not world.settled()


def test_all_told_to_stop_at_once_end_at_once_and_keep_their_votes() -> None:
    world = settled(7)
    voters = world.newest.voters
    for ip in world.machines:
        world.retire(ip)
    world.run(1200)
    assert not any(one.replica for one in world.machines.values())
    for ip in world.machines:
        world.start(ip)
    world.run(5000)
    assert not world.settled() and len(world.newest.voters) == len(voters)


def test_who_was_told_to_stop_and_is_back_may_vote_again() -> None:
    world = settled(6)
    ip = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    world.retire(ip)
    world.run(1500)
    world.start(ip)
    world.run(1000)
    assert ip not in world.newest.voter_ips  # a spare
    for machine in world.machines.values():
        assert machine.replica is not None and ip not in machine.replica.stopping_peers
    lost = sorted(world.newest.voter_ips - {world.newest.coordinator})[0]
    world.remove(lost)
    world.run(3000)
    assert ip in world.newest.voter_ips and lost not in world.newest.voter_ips


def test_who_leaves_is_a_leaver_between_two_words_of_it_and_until_it_says_so_no_more() -> None:
    world = settled(6)
    keeper, other = sorted(world.newest.voter_ips)[:2]
    replica = world.machines[keeper].replica
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


def test_a_keeper_killed_while_it_hands_over_is_followed_within_the_time_to_be_in_touch() -> None:
    for after_ms in (0, 20, 40, 60, 90, 150, 300):
        world = settled(6, seed=after_ms)
        keeper = world.newest.coordinator
        world.retire(keeper)
        world.run(after_ms)
        world.remove(keeper)
        world.run(3200)
        value = world.newest
        assert keeper not in value.voter_ips and value.coordinator != keeper and not value.outgoing_voters, (
            after_ms
        )


def test_a_keeper_lets_in_no_life_that_it_heard_on_an_older_link() -> None:
    world = settled(5)
    replica = world.machines[world.newest.coordinator].replica
    assert replica is not None
    ip = sorted(world.newest.voter_ips - {replica.own_ip})[0]
    voters = tuple(Incarnation(one.ip, "later") if one.ip == ip else one for one in world.newest.voters)
    known = replace(world.newest, voters=voters)  # another keeper has let it in with an empty disk
    replica.disconnected(ip, world.now)
    replica.connected(ip, world.machines[ip].zone, world.now)
    assert replica.register.plan_voters(known, True) == known


def test_copies_are_counted_on_disks() -> None:
    first = initial_proposal(["a", "b", "c"])
    later = first._replace(ballot=first.ballot._replace(round=1))
    copies = Copies()
    copies.began(first)
    assert not copies.chose(first) and copies.fewest == 3
    memory = DurableState("first", accepted=later)
    assert not copies.saved("a", memory)
    assert "with 1 copies among 3" in copies.chose(later)
    assert not copies.lacking(
        {Incarnation("a", "first"), Incarnation("b", "first")}
    )  # they are of two minds: no decision
    assert "without a copy" in copies.lacking({Incarnation("b", "first"), Incarnation("c", "first")})
    body = {"m": 1}
    wrong = later._replace(value=replace(later.value, digest=digest_of(body)))
    assert "without its body" in Copies().saved("a", DurableState("first", accepted=wrong))
    present = {Incarnation(ip, "first") for ip in "abc"}
    some, most = frozenset("a"), frozenset("ab")
    assert deciding(first.value, present, [some, most]) == [most]


def test_a_disk_that_syncs_too_late_has_too_few_copies() -> None:
    world = World(5, 1, late_disks=True)
    world.counts_copies = True
    world.run(3000)
    assert "is known as chosen with" in world.wrong


def test_the_word_of_a_leaver_is_checked_and_passed_over_by_who_does_not_know_it() -> None:
    assert codec.decode({"t": "leave", "l": "first"}) == StoppingNotice("first")
    assert codec.encode(StoppingNotice("first")) == {"t": "leave", "l": "first"}
    assert codec.is_known({"t": "leave"})


class Leaver:
    """A hub whose replica is released after so many looks."""

    def __init__(self, looks: int) -> None:
        self.looks, self.seen = looks, 0

    @property
    def replica(self) -> Leaver:
        return self

    @property
    def safe_to_stop(self) -> bool:
        self.seen += 1
        return self.seen > self.looks


@pytest.mark.parametrize(("looks", "slept"), [(0, 0.0), (5, 0.25), (1000, control_node.HANDOVER_TIMEOUT_S)])
def test_the_program_waits_until_it_is_released_but_not_for_ever(
    monkeypatch: pytest.MonkeyPatch, looks: int, slept: float
) -> None:
    sleeps: list[float] = []

    async def sleep(time_s: float) -> None:
        sleeps.append(time_s)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    node = object.__new__(control_node.ControlProgram)
    node.node = Leaver(looks)  # type: ignore[assignment]
    node.settings = SimpleNamespace(me=SimpleNamespace(station="s1"))  # type: ignore[assignment]
    asyncio.run(node.wait_for_handover())
    assert sum(sleeps) == pytest.approx(slept)


CHANGING = Rules(rounds=6, restarts=1, wipes=1, spares=1, leaves=1)


def test_orders_of_leavers_and_lost_disks_leave_enough_copies() -> None:
    assert not walk(CHANGING, 150, 120).broken
    two = replace(CHANGING, voters=5, wipes=2, at_once=2, restarts=0)
    assert not walk(two, 20, 160).broken
    assert not search(replace(CHANGING, rounds=3), depth=90, most=1_500, settle_each=300).broken


@pytest.mark.parametrize(
    ("bug", "wrong"),
    [
        ("leaves-early", "are left"),
        ("leaves-named", "are left"),
        ("bodiless", "without its body"),
        ("late-sync", "is known as chosen with"),
        ("empty-votes", "are there without a copy"),
    ],
)
def test_bugs_are_found_by_the_count_of_copies(bug: str, wrong: str) -> None:
    found = walk(replace(CHANGING, bug=bug), 400, 120)
    assert wrong in found.broken and found.states < 10_000


def test_who_is_told_to_stop_is_not_named_anew_by_a_plan_under_way() -> None:
    value = initial_proposal(["a", "b", "c"]).value
    goal = (Incarnation("b", "first"), Incarnation("c", "first"), Incarnation("d", "d1"))
    assert change_but(change, frozenset({Incarnation("a", "first")}), goal, value, True).voters == goal
    assert change_but(change, frozenset({Incarnation("d", "d1")}), goal, value, True) == value
