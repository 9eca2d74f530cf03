"""Nodes that were absent for many changes: what they are sent, and that no older value is restored."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from pepperrun.consensus import codec
from pepperrun.consensus.codec import WireMessage
from pepperrun.consensus.messages import Chosen
from pepperrun.consensus.recent_changes import MAX_TOTAL_SIZE, RecentChanges, json_size
from pepperrun.consensus.register import Register
from pepperrun.consensus.state import DurableState, InMemoryStore, Proposal, digest_of, initial_proposal
from pepperrun.consensus.timeouts import MS
from pepperrun.foundation.errors import PepperrunError
from pepperrun.simulation.consensus_world import World
from pepperrun.simulation.order_plans import mark
from pepperrun.simulation.orders import Rules, walk

Blocks = Callable[[str, str, WireMessage], bool]


class ThreeRegisters:
    """Three registers that vote; messages are delivered unless they are blocked."""

    def __init__(self) -> None:
        first = initial_proposal("abc")
        self.all: dict[str, Register] = {}
        self.waiting: list[tuple[str, str, WireMessage]] = []
        for ip in "abc":
            state = DurableState("first", 1, accepted=first, chosen=first)
            self.all[ip] = Register(ip, state, InMemoryStore(), mark, seed=1, now=0)

    def deliver(self, is_blocked: Blocks = lambda *_: False) -> None:
        """Deliver all messages that are not blocked, until none is left."""
        moved = True
        while moved:
            for ip, one in self.all.items():
                one.flush()
                self.waiting += [
                    (ip, to, json.loads(json.dumps(codec.encode(message)))) for to, message in one.outbox
                ]
                one.outbox.clear()
            moved = False
            for sent in [sent for sent in self.waiting if not is_blocked(*sent)]:
                self.waiting.remove(sent)
                moved = True
                self.all[sent[1]].receive(sent[0], codec.decode(sent[2]), 0)

    def change(self, ip: str, name: str, is_blocked: Blocks = lambda *_: False) -> None:
        """Submit a change at one register and run its round as far as messages are delivered."""
        one = self.all[ip]
        one.highest_ballot = max(other.highest_ballot for other in self.all.values())
        one.submit({"m": name}, 1 << 60)
        one.start_round(0)
        self.deliver(is_blocked)


def test_late_replies_to_an_own_round_restore_no_older_value() -> None:
    registers = ThreeRegisters()
    registers.change("a", "1", is_blocked := lambda _, to, message: message["t"] == "taken" and to == "a")
    registers.change("b", "2", is_blocked)
    one = registers.all["a"]
    newest = one.state.chosen
    assert newest is not None and newest.body == {"m": ["1", "2"]}
    registers.deliver()  # the late replies show that the first change was chosen, too
    assert one.state.chosen == newest and one.results and one.results[0].verdict == 200


def test_the_same_fault_as_an_injected_bug_is_found_by_random_walks() -> None:
    assert "went back" in walk(Rules(rounds=4, wipes=0, bug="older-chosen"), 100, seed=2).broken
    assert not walk(Rules(rounds=4, wipes=0), 100, seed=2).broken


def test_an_older_chosen_value_or_a_body_of_another_digest_is_rejected() -> None:
    registers = ThreeRegisters()
    for name in "123":
        registers.change("b", name)
    one, newest = registers.all["a"], registers.all["a"].state.chosen
    assert newest is not None
    first = initial_proposal("abc")
    older = {"t": "chosen", "b": first.ballot, "v": codec.encode_value(first.value), "w": {}}
    one.receive("c", codec.decode(json.loads(json.dumps(older))), 1)
    assert one.state.chosen == newest
    later = replace(newest.value, version=4, digest=digest_of({"m": ["1", "2", "3", "4"]}))
    mismatched = {"t": "chosen", "b": [99, "x"], "v": codec.encode_value(later), "w": {"m": ["1", "2"]}}
    with pytest.raises(PepperrunError, match="wrong-body"):
        one.receive("c", codec.decode(json.loads(json.dumps(mismatched))), 1)
    assert one.state.chosen == newest


def test_recent_changes_are_limited_and_without_gaps() -> None:
    recent = RecentChanges()
    for at in range(500):
        recent.add(f"d{at}", [{"at": at}], f"d{at + 1}")
        assert recent.operation_count <= codec.MAX_OPERATIONS and recent.size <= MAX_TOTAL_SIZE
    delta = recent.delta(["d1", "d480"], "d500")
    assert delta is not None and delta.base_digest == "d480"
    assert [op["at"] for op in delta.operations] == [*range(480, 500)]
    assert recent.delta(["d1"], "d500") is None and recent.delta(["d490"], "d499") is None
    recent.add("d500", [{"fill": "x" * MAX_TOTAL_SIZE}], "d501")
    assert not recent.changes and recent.size == recent.operation_count == 0  # too long to be kept
    recent.add("d501", [{}], "d502")
    recent.add("elsewhere", [{}], "d503")
    assert recent.delta(["d501"], "d503") is None and recent.delta(["elsewhere"], "d503") is not None
    assert json_size(["x" * 100] * 1_000_000, 1000) < 1200  # counting stops early


def test_a_delta_that_cannot_be_applied_is_followed_by_the_full_body() -> None:
    """A node of another version may get another result from an operation.

    It notices by the digest, and requests the value again.
    """
    registers = ThreeRegisters()
    for name in "12":
        registers.change("b", name)
    sender, chosen = registers.all["b"], registers.all["b"].state.chosen
    assert chosen is not None
    for expects_delta in (True, False):
        sender.receive("z", codec.decode({"t": "news", "c": [0, ""], "h": [digest_of({})]}), 1)
        sender.flush()
        ((_, answer),) = sender.outbox
        sender.outbox.clear()
        assert isinstance(answer, Chosen)
        assert (answer.delta is not None) == expects_delta and (answer.full_body is None) == expects_delta
    assert answer.full_body == chosen.body


class AbsentNode:
    """Five nodes with a body of `fill` characters, of which one is down while changes are made."""

    def __init__(self, seed: int, changes: int, wiped: bool, fill: int = 20_000) -> None:
        self.world = world = World(5, seed)
        world.run(3000)
        self.ips, self.edition = sorted(world.machines), 0
        self.ip = self.ips[4]
        self.change("x" * fill)
        world.run(800)
        world.kill(self.ip, power=True)
        if wiped:
            world.wipe(self.ip)
        for _ in range(changes):
            self.change()
            world.run(120)
        world.run(1000)
        self.kinds: Counter[str] = Counter()

    def change(self, fill: str = "") -> None:
        """Submit one more change, at the first three nodes in turn."""
        self.edition += 1
        self.world.change(self.edition - 1, self.edition, [self.ips[self.edition % 3]], fill=fill)

    def start(self) -> Any:
        """Start the absent node, and count the messages that it receives, by kind."""
        self.world.start(self.ip)
        replica: Any = self.world.machines[self.ip].replica
        receive = replica.receive

        def count(ip: str, message: WireMessage, now: int) -> None:
            self.kinds[message["t"] + (" full" if "w" in message else "")] += 1
            receive(ip, message, now)

        replica.receive = count
        return replica


@pytest.mark.parametrize(("changes", "wiped", "full_bodies"), [(30, False, 0), (80, False, 1), (30, True, 1)])
def test_a_returning_node_is_sent_each_missing_change_once(
    changes: int, wiped: bool, full_bodies: int
) -> None:
    absent = AbsentNode(3, changes, wiped)
    replica = absent.start()
    absent.world.run(1000)
    assert replica.version == changes + 1 and replica.confirmed_at is not None
    assert absent.kinds["chosen full"] == full_bodies and not absent.kinds["put full"]
    absent.world.run(2000)
    assert replica.is_voter and not absent.world.settled()


@pytest.mark.parametrize("wiped", [False, True])
def test_changes_faster_than_the_transfer_of_a_full_body_leave_no_node_behind(wiped: bool) -> None:
    absent = AbsentNode(3, 70, wiped, fill=200_000)
    world = absent.world
    world.rate = 300.0  # bytes per ms: a full body takes 0.7 s, and a change is made every 0.1 s
    replica = absent.start()
    end = world.now + 4000 * MS
    while world.now < end:
        absent.change()
        world.run(100)
    behind = max(one.replica.version for one in world.machines.values() if one.replica) - replica.version
    assert behind <= 1 and replica.confirmed_at is not None and world.now - replica.confirmed_at < 1000 * MS
    assert absent.kinds["chosen full"] + absent.kinds["put full"] <= 6
    world.rate = 0.0
    world.run(4000)
    assert not world.settled()


def test_a_node_with_an_empty_disk_that_learns_from_a_lagging_peer_does_not_vote() -> None:
    absent = AbsentNode(5, 6, wiped=True)
    world, lagging = absent.world, absent.ips[3]
    world.cut([lagging])
    for _ in range(6):
        absent.change()
        world.run(120)
    old: Proposal = world.machines[lagging].replica.register.state.chosen  # type: ignore[union-attr]
    world.cut([absent.ip], [ip for ip in absent.ips if ip not in (lagging, absent.ip)])
    world.cuts.discard(frozenset((lagging, absent.ip)))
    replica = absent.start()
    world.run(3000)
    assert replica.version == old.value.version < absent.edition
    assert replica.confirmed_at is None and not replica.is_voter and replica.lacks_quorum
    world.heal()
    world.run(4000)
    assert replica.version == absent.edition and replica.is_voter and not world.settled()
