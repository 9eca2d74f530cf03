"""Membership in virtual time: failures, partitions, names, keys, and the effect on quotas."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import RATE, Driver, only
from helpers import make_settings as gateway_settings
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from pepperrun.core.clock import SECOND
from pepperrun.core.interface import Plan, Request, Send
from pepperrun.core.membership_status import MembershipStatus
from pepperrun.core.quotas import Account, Quotas
from pepperrun.lab.virtual import KEYS, MS, Members, Path
from pepperrun.membership.keys import KeyRing, generate_key_file, parse_keys
from pepperrun.membership.resume import export_state, restore_state
from pepperrun.membership.states import OwnState, ReplayWindow
from pepperrun.membership.steps import (
    Quota,
    Step,
    membership_status_of,
    quota_error_bound,
    restart_error_bound,
    step_of,
)
from pepperrun.membership.views import MAX_UNSETTLED_NS, RECHECK_NS, SETTLE_NS, Side, Views, side_of
from pepperrun.membership.wire import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    Kind,
    ReachabilityRow,
    State,
    Update,
    pack,
    row_capacity,
    unpack,
    update_capacity,
)


def group(count: int, seed: int = 1, loss: float = 0.0) -> Members:
    """A group whose members have all joined and hold one view."""
    world = Members(count, seed, Path(loss=loss))
    world.start_all()
    assert world.run(15, world.settled)
    world.run(2)
    return world


def events(world: Members, what: str, since: int = 0) -> list[tuple[int, int]]:
    """(observer, member) of each event of a kind since a time."""
    return [(at, one.member) for at, one in world.happened if one.what == what and one.at >= since]


# Datagrams.


def test_largest_datagram_fits_and_round_trips() -> None:
    for count in (2, 48, 256, 1024):
        rows = row_capacity(count, 2)
        capacity = update_capacity(count, 1)
        assert capacity >= 4 and rows >= 1
        datagram = Datagram(Kind.GOSSIP, count - 1, 7, 8, 9, 1, 2, 3, 4, 5, 6, 1)
        datagram.updates = [
            Update(k % count, 2**32 - 1, 65535, State.DEAD, k % count) for k in range(capacity)
        ]
        datagram.rows = [ReachabilityRow(count - 1, 65535, (1 << count) - 1)]
        data = pack(datagram, count, KEYS)
        assert len(data) <= MAX_DATAGRAM_BYTES and unpack(data, count, KEYS) == datagram
        with pytest.raises(ValueError, match="bytes"):
            datagram.updates *= 2
            pack(datagram, count, KEYS)


@hypothesis_settings(max_examples=200, deadline=None)
@given(strategies.binary(max_size=300), strategies.integers(0, 255), strategies.integers(1, 255))
def test_corrupt_datagrams_are_dropped(noise: bytes, where: int, flip: int) -> None:
    good = pack(Datagram(Kind.PING, 3, 7, updates=[Update(1, 2, 3, State.SUSPECT, 4)]), 8, KEYS)
    assert unpack(noise, 8, KEYS) is None
    bad = bytearray(good)
    bad[where % len(good)] ^= flip
    assert unpack(bytes(bad), 8, KEYS) is None
    assert unpack(good[: where % len(good)], 8, KEYS) is None and unpack(good + noise[:1], 8, KEYS) in (
        None,
        unpack(good, 8, KEYS),
    )
    # Correctly signed, but about a member that does not exist.
    assert (
        unpack(pack(Datagram(Kind.PING, 3, 7, updates=[Update(9, 2, 3, State.DEAD)]), 8, KEYS), 8, KEYS)
        is None
    )


def test_keys_are_rotated_and_invalid_key_files_are_rejected() -> None:
    old, new = bytes(range(32)), bytes(range(1, 33))
    text = f"1 {old.hex()}\n# next\n2 {new.hex()}  # signs soon\n"
    keys = parse_keys(text)
    assert keys.signing_id == 1
    datagram = Datagram(Kind.PING, 0, 5)
    assert unpack(pack(datagram, 4, KeyRing({2: new})), 4, keys) == datagram
    assert unpack(pack(datagram, 4, KeyRing({2: old})), 4, keys) is None
    assert unpack(pack(datagram, 4, KeyRing({3: new})), 4, keys) is None
    assert parse_keys(generate_key_file()).signing_id == 1
    for bad in ("", "1 zz", "1 aabb", f"300 {old.hex()}", f"1 {old.hex()}\n1 {new.hex()}", "x " + old.hex()):
        with pytest.raises(ValueError) as raised:
            parse_keys(bad)
        assert old.hex() not in str(raised.value)
    with pytest.raises(ValueError, match="3 keys"):
        parse_keys("\n".join(f"{n} {old.hex()}" for n in range(3)))


def test_each_sequence_number_is_accepted_once() -> None:
    window = ReplayWindow()
    order = list(range(1, 200))
    rng = random.Random(1)
    for at in range(0, 199, 20):  # reordering, within the window
        part = order[at : at + 20]
        rng.shuffle(part)
        order[at : at + 20] = part
    assert all(window.accept(one) for one in order)
    assert not any(window.accept(one) for one in order)
    assert window.accept(2**32 - 1) and not window.accept(5)


# Failures.


@pytest.mark.parametrize(("count", "loss"), [(2, 0.0), (3, 0.0), (8, 0.05), (24, 0.0), (24, 0.2)])
def test_all_members_detect_a_death_and_a_return(count: int, loss: float) -> None:
    world = group(count, 3, loss)
    start = world.now
    world.kill(1)
    assert world.run(3, lambda: world.all_know(1))
    assert world.run(3, world.settled)
    world.start(1)
    assert world.run(3, world.settled)
    if not loss:  # one view change for the death and one for the return
        assert max(world.member(n).views.installed_count for n in world.up() if n != 1) <= 2 + 2
        assert {dead for _, dead in events(world, "dead", start)} == {1}


def test_simultaneous_death_of_seven_in_ten_makes_one_view_change() -> None:
    for seed in range(3):
        world = group(20, seed)
        dead = world.random.sample(range(20), 14)
        before = {n: world.member(n).views.installed_count for n in world.up()}
        for number in dead:
            world.kill(number)
        assert world.run(5, world.settled)
        assert max(world.member(n).views.installed_count - before[n] for n in world.up()) == 1
        assert all(world.member(n).side() is Side.MINORITY for n in world.up())
        for number in dead:
            world.start(number)
        assert world.run(5, world.settled)
        world.run(1.5)
        assert {step_of(world.member(n), world.now) for n in world.up()} == {Step.COMPLETE}


def test_datagram_loss_alone_declares_no_member_dead() -> None:
    world = group(8, 5, 0.05)
    start = world.now
    world.run(300)
    assert events(world, "dead", start) == []


@pytest.mark.parametrize("seconds", [0.3, 1.0, 3.0, 10.0])
def test_a_stalled_member_suspects_itself_and_recovers(seconds: float) -> None:
    world = group(6, 2)
    start = world.now
    world.pause(2, seconds)
    world.run(seconds + 0.002)
    member = world.member(2)
    if seconds >= 0.5:
        assert step_of(member, world.now) is Step.SELF_SUSPECT
        assert not membership_status_of(member, world.now).may_grant
        assert [one for at, one in events(world, "dead", start) if at == 2] == []  # it declares nobody dead
    assert world.run(3, world.settled)
    assert member.own.generation == world.member(2).own.generation and member.own.state is OwnState.MEMBER
    if seconds > 1:  # it had been declared dead: for a while it uses its own local bucket only
        assert (
            step_of(member, world.now) is Step.JOINED_RECENTLY
            and membership_status_of(member, world.now).local_share_only
        )
    world.run(1.1)
    assert step_of(member, world.now) is Step.COMPLETE


def test_partition_sides_are_determined_and_heal() -> None:
    for count in (6, 7):
        world = group(count, 4)
        first_side, second_side = list(range(count // 2)), list(range(count // 2, count))
        world.cut(first_side, second_side)
        assert world.run(4, lambda: world.agreed(first_side) and world.agreed(second_side))  # noqa: B023
        sides = [world.member(0).side(), world.member(count - 1).side()]
        # Of two equal halves the one with the lowest number is the majority side.
        expected = [Side.MAJORITY, Side.MINORITY] if count == 6 else [Side.MINORITY, Side.MAJORITY]
        assert sides == expected
        returned = world.member(count - 1 if count == 6 else 0)
        assert membership_status_of(returned, world.now).unreachable == frozenset(
            first_side if count == 6 else second_side
        )
        world.cut(first_side, second_side, on=False)
        assert world.run(3, world.settled)
        # For a while it continues as on the minority side; the majority side always had the global quota.
        assert (
            step_of(returned, world.now) is Step.JOINED_RECENTLY
            and not membership_status_of(returned, world.now).local_share_only
        )
        assert membership_status_of(returned, world.now).unreachable == frozenset(
            first_side if count == 6 else second_side
        )
        assert step_of(world.member(0 if count == 6 else count - 1), world.now) is Step.COMPLETE
        world.run(1.1)
        assert membership_status_of(returned, world.now).unreachable == frozenset()
        world.cut(first_side, second_side)  # a second partition right after the first
        assert world.run(4, lambda: world.agreed(first_side) and world.agreed(second_side))  # noqa: B023
        world.cut(first_side, second_side, on=False)
        assert world.run(3, world.settled)


def test_one_way_partition_makes_the_unreachable_member_suspect_itself() -> None:
    world = group(5, 1)
    others = [0, 1, 2, 4]
    world.cut([3], others, both=False)  # it receives from all, and nobody receives from it
    assert world.run(4, lambda: world.agreed(others))
    assert world.run(
        4, lambda: step_of(world.member(3), world.now) in (Step.SELF_SUSPECT, Step.LOCAL_BUCKETS)
    )
    world.cut([3], others, on=False, both=False)
    assert world.run(4, world.settled)


def test_partial_partition_declares_nobody_dead_and_is_seen_by_a_third_member() -> None:
    world = group(4, 1)
    start = world.now
    world.cut([0], [1])
    world.run(20)
    assert events(world, "dead", start) == []
    assert set(world.member(2).links.unreachable_pairs([0, 1, 2, 3])) == {(0, 1), (1, 0)}


def test_flapping_link_settles() -> None:
    world = group(5, 9)
    for turn in range(12):
        world.cut([0, 1], [2, 3, 4], on=turn % 2 == 0)
        world.run(0.7)
    assert world.run(4, world.settled)


# Names, generations, replays.


def test_a_name_in_use_is_rejected_and_reported() -> None:
    world = group(4, 1)
    world.kill(3)
    assert world.run(4, world.settled)
    world.start(3, name="n1")  # another machine with a copied configuration
    world.run(3)
    assert world.member(3).own.state is not OwnState.MEMBER
    assert (3, 3) in events(world, "refused")
    assert (
        world.member(1).own.state is OwnState.MEMBER and 3 not in world.member(0).views.view.member_numbers()
    )
    world.start(3)  # with its own name again
    assert world.run(4, world.settled)


def test_a_second_process_of_a_live_member_is_rejected() -> None:
    world = group(4, 1)
    alive = world.member(1)
    twin = replace(alive.config)
    second = type(alive)(twin, alive.own.generation + 50, 7, world.now)
    # Its SYNC_REQUEST reaches member 0; the current process is alive and still replies.
    second.tick(second.join_retry_at)
    for _, data in second.outbox.take_outgoing():
        world.member(0).receive(1, data, world.now)
    world._after(0)
    world.run(1)
    refusals = [one for at, one in world.happened if one.what == "refused a name" and at == 0]
    assert refusals and world.member(0).table.records[1].generation == alive.own.generation
    assert world.settled()


def test_a_restart_with_a_clock_that_is_behind_joins() -> None:
    world = group(3, 1)
    old = world.member(2).own.generation
    world.kill(2)
    world.start(2, life=max(1, old - 10_000))
    assert world.run(5, world.settled)
    assert world.member(2).own.generation > old


def test_replayed_and_foreign_datagrams_change_nothing() -> None:
    world = group(3, 1)
    sent: list[tuple[int, int, bytes]] = []
    send = world._send

    def recorded(sender: int, receiver: int, data: bytes) -> None:
        sent.append((sender, receiver, data))
        send(sender, receiver, data)

    world._send = recorded  # type: ignore[method-assign]
    world.kill(2)
    assert world.run(5, world.settled)
    world.start(2)
    assert world.run(5, world.settled)
    old = list(sent)
    before = [(world.member(n).views.view.digest, world.member(n).counters["replayed"]) for n in range(3)]
    for sender, receiver, data in old:
        world.member(receiver).receive(sender, data, world.now)
        world.member(receiver).receive((sender + 1) % 3, data, world.now)  # from another member's address
    world.run(2)
    assert world.settled()
    for number, (digest, replayed) in enumerate(before):
        assert world.member(number).views.view.digest == digest
        assert world.member(number).counters["replayed"] > replayed


def test_graceful_leave_causes_no_suspicion() -> None:
    world = group(5, 1)
    start = world.now
    world.member(4).leave(world.now)
    world._after(4)
    world.kill(4)
    assert world.run(1.0, world.settled)
    assert events(world, "dead", start) == [] == events(world, "suspected", start)
    assert {world.member(n).side() for n in range(4)} == {Side.COMPLETE}


def test_runs_with_one_seed_are_identical() -> None:
    runs = []
    for seed in (1, 1, 2):
        world = Members(6, seed, Path(loss=0.1, twice=0.1))
        world.start_all()
        world.run(5)
        world.kill(2)
        world.run(5)
        runs.append((world.datagrams, world.bytes, [(n, one.at, one.what) for n, one in world.happened]))
    assert runs[0] == runs[1] != runs[2]


def test_handover_continues_the_same_member() -> None:
    world = group(3, 1)
    table, old = export_state(world.member(1)), world.member(1)
    host = world.hosts[1]
    host.member = type(old)(old.config, old.own.generation + 9, 3, world.now)
    restore_state(host.member, table, world.now)
    start = world.now
    world._wake(1)
    world.run(5)
    assert world.settled() and world.member(1).own.generation == old.own.generation
    assert events(world, "dead", start) == [] == events(world, "suspected", start)
    fresh = type(old)(old.config, old.own.generation + 9, 3, world.now)
    for bad in (
        None,
        {},
        table | {"life": -1},
        table | {"records": [[9, 1, 1, 0, 0]]},
        table | {"view": [1]},
    ):
        with pytest.raises((KeyError, TypeError, ValueError)):
            restore_state(fresh, bad, world.now)
        assert fresh.own.state is OwnState.JOINING


# Effect on quotas.


def quotas_of(status: MembershipStatus, me: int = 0, gateways: int = 4, intake: float = 100.0) -> Quotas:
    plan = Plan("p", 10.0, 20.0, 0, 20.0, 40.0, 4.0, over_quota_cost=1.0)
    quotas = Quotas(
        replace(
            gateway_settings(),
            me=me,
            gateways=gateways,
            plans=(plan,),
            peer_messages=True,
            peer_message_rate=intake,
        )
    )
    quotas.membership_status = status
    return quotas


def test_minority_side_has_local_buckets_and_majority_side_the_global_quota() -> None:
    asked = Request(1, 5, 0, 0, SECOND, 1.0, 4, 0)
    alone = Account(
        asked, 0, quotas_of(MembershipStatus(True, frozenset({1, 2, 3}), frozenset({1, 2, 3}), True))
    )
    alone.local_bucket.level = 3.0
    assert alone.available_units(0) == 3.0 and alone.local_bucket.rate == 2.5
    # A bucket that is created meanwhile starts with this gatekeeper's share.
    assert alone.global_bucket.level == pytest.approx(5.0)
    larger = quotas_of(MembershipStatus(True, frozenset({3})))
    account = larger.accounts[5] = Account(asked, 0, larger)
    larger.inbox.peers = {3: (1, 1, -100 * SECOND)}
    larger.refresh(SECOND)
    assert account.global_bucket.rate == 10.0  # without membership a silent peer keeps its share
    # On a minority side of two gatekeepers.
    larger.membership_status = MembershipStatus(True, frozenset({2, 3}), frozenset({2, 3}))
    larger.refresh(SECOND)
    assert account.global_bucket.rate == 5.0 and account.available_units(SECOND) == 20.0
    larger.membership_status = MembershipStatus()
    account.last_seen_at = account.attempts_in_flight = 1
    larger.refresh(SECOND)
    assert account.global_bucket.rate == 7.5


def test_lost_owners_are_replaced_in_one_order_and_self_suspicion_grants_nothing() -> None:
    asked = Request(1, 77, 0, 0, SECOND, 1.0, 8, 0)
    members = [quotas_of(MembershipStatus(True), me, 8, 1.0) for me in range(8)]
    accounts = [Account(asked, 0, one) for one in members]
    first, second = accounts[0].owners
    assert {one.unit_grants.owner_of(account, 0) for one, account in zip(members, accounts, strict=True)} == {
        first
    }
    for one in members:
        one.membership_status = MembershipStatus(True, frozenset({first}))
    assert {one.unit_grants.owner_of(account, 0) for one, account in zip(members, accounts, strict=True)} == {
        second
    }
    owner = members[first]
    granted = owner.unit_grants.grant(accounts[first], second, 1, 1.0, 4 * SECOND)
    assert granted.units == 1.0
    owner.membership_status = MembershipStatus(True, may_grant=False)
    assert owner.unit_grants.grant(accounts[first], second, 2, 1.0, 4 * SECOND).units == 0.0


def test_partition_sides_and_quota_error_bounds() -> None:
    every = frozenset(range(4))
    assert side_of(every, every, 0) is Side.COMPLETE
    assert side_of(frozenset({0, 1}), every, 1) is Side.MAJORITY
    assert side_of(frozenset({2, 3}), every, 2) is Side.MINORITY
    assert side_of(frozenset({2}), every, 2) is Side.ISOLATED
    quota = Quota(10.0, 20.0, 4)
    assert quota_error_bound(quota, 0, 5.0, 1.0) == 0.0
    assert quota_error_bound(quota, 2, 5.0, 1.0) == 20.0 + 10.0 + 5.0 * 4.0
    assert quota_error_bound(quota, 2, 0.5, 1.0) == 25.0
    assert restart_error_bound(quota, 8) == 20.0


def test_absent_owners_are_not_waited_for() -> None:
    for lost, at_once in ((frozenset[int](), False), (frozenset(range(1, 8)), True)):
        driver = Driver(gateways=8, peer_message_rate=1.0)
        driver.gateway.quotas.membership_status = MembershipStatus(True, lost)
        # A customer whose owners are other gatekeepers.
        asked = [Request(1, c, RATE, 0, 1, 1.0, 8, 0) for c in range(1, 99)]
        customer = next(a.customer for a in asked if 0 not in Account(a, 0, driver.gateway.quotas).owners)
        sent = only(driver.ask(RATE, customer=customer, spread=8), Send)
        assert bool(sent) is at_once
        # Otherwise its local bucket decides after the owners did not reply.
        assert at_once or only(driver.run(SECOND), Send)


def test_a_delayed_view_causes_no_busy_polling() -> None:
    views = Views(0)
    views.set_candidate(frozenset({(1, 1)}), SECOND)
    assert views.next_check_at(SECOND) == SECOND + SETTLE_NS
    for later in range(2, 30):  # a member is suspected all the time
        now = SECOND + later * SETTLE_NS // 2
        assert (
            views.install_if_settled(frozenset({(1, 1)}), True, now) is None
            or now >= SECOND + MAX_UNSETTLED_NS
        )
        assert (due := views.next_check_at(now)) is None or due >= min(
            now + RECHECK_NS, SECOND + MAX_UNSETTLED_NS
        )


def test_a_suspected_member_that_is_heard_from_causes_no_busy_polling() -> None:
    world = group(3, 1)
    member = world.member(0)
    record = member.table.records[1]
    member._apply_update(Update(1, record.generation, record.incarnation, State.SUSPECT, 2), world.now)
    for step in range(1, 40):
        now = world.now + step * SECOND // 50
        member.record_contact(1, now)
        member.tick(now)
        if member.table.records[1].state is State.DEAD:
            break
        assert member.due() > now
    assert member.table.records[1].state is State.SUSPECT
    # A member that is heard from but never refutes receives nothing: it is declared dead later.
    member.record_contact(1, world.now + 4 * SECOND)
    member.last_run_at = world.now + 4 * SECOND  # this member did not stall
    member.tick(world.now + 4 * SECOND)
    assert member.table.records[1].state is State.DEAD


def test_time_outs_adapt_to_a_slow_link_and_not_to_a_stall() -> None:
    world = group(4, 1)
    world.pause(2, 3.0)
    world.run(3.5)
    assert world.run(3, world.settled)
    world.run(2)
    assert max(world.member(n).prober.timeout(2) for n in (0, 1, 3)) <= 100 * MS
    for other in (0, 1, 3):  # round trips of up to 280 ms: longer than the probe period
        for pair in ((2, other), (other, 2)):
            world.way(*pair).delay, world.way(*pair).jitter = 120 * MS, 20 * MS
    start = world.now
    world.run(20)
    assert events(world, "dead", start) == []
    assert min(world.member(n).prober.timeout(2) for n in (0, 1, 3)) > 200 * MS


def test_degraded_local_health_lengthens_a_suspicion_once() -> None:
    member = group(4, 1).member(0)
    member.prober.local_health = 8
    record = member.table.records[1]
    record.state, record.since, record.suspicion_reporters, record.reported_dead = (
        State.SUSPECT,
        10 * SECOND,
        {0},
        True,
    )
    min_suspicion, base_timeout = member.config.min_suspicion_ns, member.prober.base_timeout(1)
    assert base_timeout < SECOND // 10
    assert member.suspicions.expires_at(record) == record.since + min_suspicion + base_timeout
    record.reported_dead = False
    assert member.suspicions.expires_at(record) == record.since + 6 * 9 * min_suspicion + base_timeout
    record.suspicion_reporters = {0, 2, 3}  # all remaining members confirm: the minimum time applies
    assert member.suspicions.expires_at(record) == record.since + min_suspicion + base_timeout


def test_a_generation_without_free_incarnations_is_followed_by_another() -> None:
    world = group(3, 1)
    member = world.member(1)
    generation = member.own.generation
    for reporter in (0, 2):  # about its last possible incarnation
        world.member(reporter)._apply_update(Update(1, generation, 65535, State.DEAD, reporter), world.now)
    world._wake(0)

    def generation_changed() -> bool:
        generations = {world.member(0).table.records[1].generation, world.member(1).own.generation}
        return len(generations) == 1 and generation not in generations

    assert world.run(8, generation_changed) and world.run(3, world.settled)
