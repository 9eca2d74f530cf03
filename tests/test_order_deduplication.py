"""Repeated orders: an applied one is acknowledged again, or its result is unknown; it is never refused."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from clusters import amend_op, configuration, replace_op

from pepperrun.consensus.state import NO_BALLOT, Ballot, Evaluation, Proposal, Value, digest_of
from pepperrun.control import changes, order_deduplication
from pepperrun.control.changes import apply, apply_at_gateway, compact
from pepperrun.control.order_deduplication import MIN_REMEMBERED_ORDERS, PAGE_ORDERS, RECENT_ORDERS
from pepperrun.control.verdict import Verdict
from pepperrun.simulation.consensus_world import MS, Machine, Try, World
from pepperrun.storage.store import DiskStore

SECOND = 1000 * MS
State = dict[str, Any]


def small_change(edition: int, on: int, variant: int = 0) -> dict[str, Any]:
    """Return a small amendment; operations with other variants have other digests."""
    return amend_op({"edition": edition, "limits": {"dwell_ms": 1000 + edition + variant}}, on)


def chain(state: State, orders: int) -> tuple[State, list[dict[str, Any]]]:
    """Apply `orders` changes, each based on the one before; the editions increase by uneven steps."""
    applied = []
    for at in range(orders):
        op = small_change(state["edition"] + 1 + at % 3, state["edition"])
        new, verdict = apply(state, op)
        assert new is not None and verdict[0] == 200
        state, applied = new, [*applied, op] if orders < 200 else applied
    return state, applied


def first_state() -> State:
    state, _ = apply(None, replace_op(configuration()))
    assert state is not None
    return state


@pytest.mark.parametrize(
    "further",
    [0, 1, 62, 63, 64, 65, 500, MIN_REMEMBERED_ORDERS - 2, MIN_REMEMBERED_ORDERS + PAGE_ORDERS, 5000],
)
def test_after_further_changes_an_applied_order_is_recognized_or_its_result_is_unknown(further: int) -> None:
    state, op, rival = first_state(), small_change(9, 3), small_change(9, 3, variant=1)
    state, _ = apply(state, op)  # type: ignore[assignment]
    state, _ = chain(state, further)
    again, other = apply(state, op), apply(state, rival)
    if further < MIN_REMEMBERED_ORDERS:
        assert again == (None, Verdict(200, "Edition 9 has been taken already.")) and other[1][0] == 412
    else:
        assert again[1][0] == other[1][0] == 503  # it is never refused, and the rival is not acknowledged
    late = small_change(state["edition"] + 1, state["edition"])
    assert apply(state, late | {"edition": state["edition"]})[1][2] == "old-edition"
    assert (
        apply(state, late)[1][0] == 200 and apply(state, small_change(1, state["edition"] + 5))[1][0] == 412
    )


def test_a_repeat_is_recognized_before_its_content_is_validated() -> None:
    state = first_state()
    route = {
        "columns": ["name", "depot", "prefix", "deadline_ms", "line"],
        "rows": [["c", "h", "/c/", 9, "y"]],
    }
    complete_order = replace_op(configuration(7, limits={"dwell_ms": 1}), on=3)
    for op in (amend_op({"edition": 5, "upsert": {"routes": route}}, 3), compact(state, complete_order)):
        applied, _ = apply(state, op)
        assert applied is not None
        # The service that the order refers to is removed later: as a new order it would be invalid.
        gone = {"routes": ["b", "c"], "carrier_lines": ["y"]}
        later, verdict = apply(applied, amend_op({"edition": 9, "withdraw": gone}, op["edition"]))
        assert later is not None, verdict
        assert (
            apply(later, op)[1][0] == 200
            and compact(later, complete_order)["digest"] == complete_order["digest"]
        )
    spaced = json.dumps(dict(reversed(configuration(7, limits={"dwell_ms": 1}).items())), indent=1).encode()
    assert (
        changes.order_deduplication.lookup(later, replace_op(json.loads(spaced), on=3))
        is order_deduplication.SeenOrder.APPLIED
    )


def test_orders_are_known_after_a_restart_from_disk_and_a_change_writes_one_page(tmp_path: Path) -> None:
    state, _ = chain(first_state(), 700)
    texts = digest_of.__globals__["_sorted_encoder"]
    digest_of(state)
    before = texts.encoded_items
    state, _ = chain(state, 1)
    digest = digest_of(state)
    assert texts.encoded_items - before <= 3 and len(json.dumps(state["older"])) < 25 * 700
    disk = DiskStore(str(tmp_path), 64)
    memory = disk.load_or_create("s", "10.0.0.1", ["10.0.0.1"])
    assert memory.chosen is not None
    value: Value = memory.chosen.value.__class__(9, memory.chosen.value.voters, (), "10.0.0.1", digest)
    memory.accepted = memory.chosen = Proposal(Ballot(3, "x"), value, state)
    disk.save(memory)
    disk.close()
    again = DiskStore(str(tmp_path), 64).load_or_create("s", "10.0.0.1", [])
    assert again.chosen is not None and again.chosen.ballot > NO_BALLOT
    body = again.chosen.body
    assert (
        body == state and digest_of(body) == digest and apply(body, replace_op(configuration()))[1][0] == 200
    )


def apply_in_previous_version(state: State | None, op: dict[str, Any]) -> Evaluation:
    """Evaluate a configuration as the previous version does: it keeps 64 orders in one list, and no pages."""
    state = state or changes.EMPTY_STATE
    if [op["edition"], op["digest"]] in state["taken"]:
        return Evaluation(None, Verdict(200, "Taken already."))
    if op["on"] != state["edition"]:
        return Evaluation(None, Verdict(412, "Another is current."))
    new, verdict = apply(state, op)
    if new is not None:
        new["taken"] = [*state["taken"], [op["edition"], op["digest"]]][-64:]
        new.pop("older", None)
        if op["do"] == "amend" and "older" in state:
            new["older"] = state["older"]
    return Evaluation(new, verdict)


@pytest.mark.parametrize("seed", range(6))
def test_states_of_the_previous_version_are_accepted_and_no_applied_order_is_refused(seed: int) -> None:
    rng, state, applied = random.Random(seed), first_state(), [replace_op(configuration())]
    for step in range(600):
        evaluate: Callable[..., Any] = (
            apply_in_previous_version if step < 90 or step % 150 < 3 * seed else apply
        )
        edition, on = state["edition"] + 1, state["edition"]
        op = (
            replace_op(configuration(edition), on)
            if rng.random() < 0.1
            else small_change(edition, on, rng.randrange(9))
        )
        new, verdict = evaluate(state, op)
        assert verdict[0] == 200
        state, applied = json.loads(json.dumps(new)), [*applied, op]
        old = rng.choice(applied)
        assert apply(state, old)[1][0] in (200, 503), (step, old["edition"])
        # Until the previous version runs again, the orders that it kept last stay known.
        known = applied[91 - RECENT_ORDERS if not seed else -RECENT_ORDERS :]
        assert step < 90 or apply(state, rng.choice(known))[1][0] == 200


def test_gatekeepers_follow_the_state_without_the_older_orders() -> None:
    state = gateway_state = first_state()
    for _ in range(150):
        op = small_change(state["edition"] + 2, state["edition"])
        state, gateway_state = apply(state, op)[0], apply_at_gateway(gateway_state, op)[0]  # type: ignore[assignment]
    assert (
        "older" not in gateway_state
        and gateway_state == order_deduplication.without_older(state)
        and "older" in state
    )


class Cluster(World):
    """Voters that evaluate changes like control nodes. `wrong` describes a violation."""

    apply = staticmethod(lambda body, op: changes.apply(body, op))

    def __init__(self, count: int, seed: int) -> None:
        self.applied_orders: set[Any] = set()  # edition and digest of all applied orders
        super().__init__(count, seed)

    def order(self, op: dict[str, Any], to: list[str]) -> Try:
        one = Try(op, list(to))
        self.tries.append(one)
        self._send(one)
        return one

    def _told(self, one: Try, verdict: Any) -> None:
        if verdict is None or verdict[0] == 503:
            if verdict is None:
                self._later(300 * MS, ("send", one))
            one.token = None
            return
        one.answer, one.answered_at = verdict[0], self.now
        same = [two for two in self.tries if two.op["edition"] == one.op["edition"] and two.answer]
        if len({two.op["digest"] for two in same if two.answer == 200}) > 1:
            self.wrong = f"two orders were acknowledged as edition {one.op['edition']}"
        self._check_refused()

    def _check_refused(self) -> None:
        for one in self.tries:
            if one.answer in (400, 412) and (one.op["edition"], one.op["digest"]) in self.applied_orders:
                self.wrong = f"{one.op['edition']} was applied, and its repeat was refused"

    def _look(self, machine: Machine) -> None:
        replica = machine.replica
        value = replica.value if replica is not None else None
        if value is not None and self.bodies.setdefault(value.version, value.digest) != value.digest:
            self.wrong = f"two states of version {value.version}"
        if replica is not None and replica.body.get("taken"):
            self.applied_orders.add(tuple(replica.body["taken"][-1]))
            self._check_refused()

    def settled(self) -> str:
        return self.wrong

    def answers_to(self, ops: list[dict[str, Any]], to: list[str], ms: int = 4000) -> list[Any]:
        tries = [self.order(op, to[at % len(to) :] + to[: at % len(to)]) for at, op in enumerate(ops)]
        self.run(ms)
        assert not self.wrong, self.wrong
        return [one.answer for one in tries]

    def current(self) -> int:
        bodies = [one.replica.body for one in self.machines.values() if one.replica]
        return max(body.get("edition", 0) for body in bodies)


def test_of_eight_orders_for_one_edition_equal_ones_get_equal_answers_through_any_node() -> None:
    world = Cluster(8, 3)
    world.run(3000)
    ips = list(world.machines)
    # Each configuration is sent twice.
    ops = [replace_op(configuration(5, limits={"dwell_ms": 1 + at // 2})) for at in range(8)]
    answers = world.answers_to(ops, ips)
    assert sorted(answers) == [200, 200] + [412] * 6
    assert world.answers_to(ops, ips[3:] + ips[:3]) == answers
    more = [small_change(9, 5, at) for at in range(8)]
    assert sorted(answers := world.answers_to(more, ips)) == [200] + [412] * 7
    assert world.answers_to(more + ops[:1], ips[::-1])[:8] == answers


def test_two_first_configurations_sent_before_a_majority_is_up() -> None:
    for seed in range(4):
        world = Cluster(3, seed)
        ips = list(world.machines)
        for ip in ips[1:]:
            world.kill(ip, power=True)
        ops = [
            replace_op(configuration(5)),
            replace_op(configuration(5, limits={"dwell_ms": 2})),
            replace_op(configuration(5)),
        ]
        assert world.answers_to(ops, ips, 5000) == [None] * 3  # the results are unknown
        for ip in ips[1:]:
            world.start(ip)
        world.run(6000)
        answers = [one.answer for one in world.tries]
        assert not world.wrong and sorted(answers) in ([200, 200, 412], [200, 412, 412])
        assert answers[0] == answers[2] and world.answers_to(ops, ips[::-1]) == answers


def test_orders_stay_known_after_the_crash_of_all_a_lost_disk_and_a_replaced_machine() -> None:
    world = Cluster(5, 1)
    world.run(3000)
    ips, ops = list(world.machines), [replace_op(configuration(1))]
    for edition in range(1, RECENT_ORDERS + 12):
        ops.append(small_change(edition + 1, edition))
    for op in ops:
        world.order(op, ips)
        world.run(300)
    assert world.current() == RECENT_ORDERS + 12
    for ip in ips:
        world.kill(ip, power=True)
    world.wipe(ips[1])
    new = world.add()
    for ip in (*ips[1:], new):  # the first machine does not come back
        world.start(ip)
    world.run(15000)
    replica = world.machines[new].replica
    assert replica is not None and new in replica.voter_ips and ips[0] not in replica.voter_ips
    picked = [ops[0], ops[1], ops[10], ops[11], ops[-RECENT_ORDERS], ops[-1]]
    for ip in (new, ips[1]):
        assert world.answers_to(picked, [ip], 2000) == [200] * len(picked)


def test_nodes_of_two_versions_agree_and_recognize_each_others_orders() -> None:
    world = Cluster(3, 2)
    ips = list(world.machines)
    world.apply = apply_in_previous_version  # type: ignore[method-assign]
    world.start(ips[2])
    del world.apply
    world.run(3000)
    for edition in range(RECENT_ORDERS + 20):
        op = replace_op(configuration(1)) if not edition else small_change(edition + 1, edition)
        assert world.answers_to([op], [ips[edition % 3]], 400) == [200], edition
        if edition % 9 == 0:
            assert world.answers_to([op], [ips[0]], 400) == [200]
    sent = world.bytes
    world.run(3000)
    assert world.bytes - sent < 60_000  # no node fetches bodies in a loop
    bodies = [one.replica.body for one in world.machines.values() if one.replica]
    assert bodies[0] == bodies[1] == bodies[2] and bodies[0]["edition"] == RECENT_ORDERS + 20


def simulate(seed: int, steps: int = 60) -> str:
    """Run rival orders, repeats, crashes, lost disks and partitions on a long chain; return any violation."""
    world, rng = Cluster(5, seed), random.Random(seed)
    world.run(3000)
    ips, ops = list(world.machines), [replace_op(configuration(1))]
    world.answers_to(ops, ips, 1000)
    for _ in range(RECENT_ORDERS + 6):  # in quick succession and without faults
        on = world.current()
        ops.append(small_change(on + 1, on))
        world.order(ops[-1], [rng.choice(ips)])
        world.run(200)
    for _ in range(steps):
        choice, on = rng.random(), world.current()
        if choice < 0.35:
            ops += [
                small_change(on + rng.randint(1, 2), on, rng.randrange(3)) for _ in range(rng.randint(1, 3))
            ]
            for op in ops[-2:]:
                world.order(op, rng.sample(ips, 3))
        elif choice < 0.7:
            world.order(rng.choice(ops), rng.sample(ips, 3))
        elif choice < 0.8:
            for ip in rng.choice([ips, rng.sample(ips, 1)]):
                world.kill(ip, power=rng.random() < 0.5)
                world.start(ip)
        elif choice < 0.85:
            world.wipe(ip := rng.choice(ips))
            world.start(ip)
            world.run(6000)
        elif choice < 0.93:
            world.cut(rng.sample(ips, rng.randint(1, 2)))
        else:
            world.heal()
        world.run(rng.uniform(20, 900))
        if world.wrong:
            break
    return world.wrong


@pytest.mark.parametrize("seed", range(3))
def test_simulated_rivals_and_repeats_refuse_no_applied_order(seed: int) -> None:
    assert not simulate(seed)


def forget_older_orders(state: State, op: dict[str, Any]) -> order_deduplication.SeenOrder:
    """An injected bug: only 64 orders are known, and older ones are refused."""
    known = [op["edition"], op["digest"]] in state["taken"]
    return order_deduplication.SeenOrder.APPLIED if known else order_deduplication.SeenOrder.NOT_APPLIED


def compare_editions_only(state: State, op: dict[str, Any]) -> order_deduplication.SeenOrder:
    """An injected bug: an order is recognized by its edition alone."""
    known = any(op["edition"] == edition for edition, _ in state["taken"])
    return order_deduplication.SeenOrder.APPLIED if known else order_deduplication.SeenOrder.NOT_APPLIED


@pytest.mark.parametrize("bug", [forget_older_orders, compare_editions_only])
def test_simulations_find_injected_bugs(bug: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(order_deduplication, "lookup", bug)
    assert any(simulate(seed) for seed in range(4))
