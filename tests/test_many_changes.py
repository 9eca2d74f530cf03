"""Machines that were away for many changes: what they are sent, and that nothing older comes back."""

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

Hold = Callable[[str, str, WireMessage], bool]


class Trio:
    """Three registers; messages go over except where they are held up."""

    def __init__(self) -> None:
        first = initial_proposal("abc")
        self.all: dict[str, Register] = {}
        self.waiting: list[tuple[str, str, WireMessage]] = []
        for ip in "abc":
            memory = DurableState("first", 1, accepted=first, chosen=first)
            self.all[ip] = Register(ip, memory, InMemoryStore(), mark, seed=1, now=0)

    def settle(self, held_up: Hold = lambda *_: False) -> None:
        """All that may goes over, until nothing moves."""
        moved = True
        while moved:
            for ip, one in self.all.items():
                one.flush()
                self.waiting += [
                    (ip, to, json.loads(json.dumps(codec.encode(message)))) for to, message in one.outbox
                ]
                one.outbox.clear()
            moved = False
            for sent in [sent for sent in self.waiting if not held_up(*sent)]:
                self.waiting.remove(sent)
                moved = True
                self.all[sent[1]].receive(sent[0], codec.decode(sent[2]), 0)

    def change(self, ip: str, name: str, held_up: Hold = lambda *_: False) -> None:
        """One machine brings a change to its end, as far as messages go over."""
        one = self.all[ip]
        one.highest_ballot = max(other.highest_ballot for other in self.all.values())
        one.submit({"m": name}, 1 << 60)
        one.start_round(0)
        self.settle(held_up)


def test_late_answers_to_an_own_round_bring_back_nothing_older() -> None:
    trio = Trio()
    trio.change("a", "1", held := lambda _, to, message: message["t"] == "taken" and to == "a")
    trio.change("b", "2", held)
    one = trio.all["a"]
    newest = one.state.chosen
    assert newest is not None and newest.body == {"m": ["1", "2"]}
    trio.settle()  # now they come, and say that the first change was chosen, too
    assert one.state.chosen == newest and one.results and one.results[0].verdict == 200


def test_the_same_as_a_bug_put_in_on_purpose_is_found_by_walks() -> None:
    assert "went back" in walk(Rules(rounds=4, wipes=0, bug="older-chosen"), 100, seed=2).broken
    assert not walk(Rules(rounds=4, wipes=0), 100, seed=2).broken


def test_a_change_chosen_earlier_or_of_another_digest_is_not_taken_over() -> None:
    trio = Trio()
    for name in "123":
        trio.change("b", name)
    one, newest = trio.all["a"], trio.all["a"].state.chosen
    assert newest is not None
    first = initial_proposal("abc")
    late = {"t": "chosen", "b": first.ballot, "v": codec.encode_value(first.value), "w": {}}
    one.receive("c", codec.decode(json.loads(json.dumps(late))), 1)
    assert one.state.chosen == newest
    later = replace(newest.value, version=4, digest=digest_of({"m": ["1", "2", "3", "4"]}))
    torn = {"t": "chosen", "b": [99, "x"], "v": codec.encode_value(later), "w": {"m": ["1", "2"]}}
    with pytest.raises(PepperrunError, match="wrong-body"):
        one.receive("c", codec.decode(json.loads(json.dumps(torn))), 1)
    assert one.state.chosen == newest


def test_recent_changes_are_few_short_and_unbroken() -> None:
    recent = RecentChanges()
    for at in range(500):
        recent.add(f"d{at}", [{"at": at}], f"d{at + 1}")
        assert recent.operation_count <= codec.MAX_OPERATIONS and recent.size <= MAX_TOTAL_SIZE
    way = recent.delta(["d1", "d480"], "d500")
    assert way is not None and way.base_digest == "d480"
    assert [op["at"] for op in way.operations] == [*range(480, 500)]
    assert recent.delta(["d1"], "d500") is None and recent.delta(["d490"], "d499") is None
    recent.add("d500", [{"fill": "x" * MAX_TOTAL_SIZE}], "d501")
    assert not recent.changes and recent.size == recent.operation_count == 0  # too long to be sent again
    recent.add("d501", [{}], "d502")
    recent.add("elsewhere", [{}], "d503")
    assert recent.delta(["d501"], "d503") is None and recent.delta(["elsewhere"], "d503") is not None
    assert json_size(["x" * 100] * 1_000_000, 1000) < 1200  # ends early


def test_operations_that_lead_nowhere_are_followed_by_the_whole() -> None:
    """Another version may apply an operation otherwise: its digest tells it, and it asks again."""
    trio = Trio()
    for name in "12":
        trio.change("b", name)
    teller, chosen = trio.all["b"], trio.all["b"].state.chosen
    assert chosen is not None
    for expects_delta in (True, False):
        teller.receive("z", codec.decode({"t": "news", "c": [0, ""], "h": [digest_of({})]}), 1)
        teller.flush()
        ((_, answer),) = teller.outbox
        teller.outbox.clear()
        assert isinstance(answer, Chosen)
        assert (answer.delta is not None) == expects_delta and (answer.full_body is None) == expects_delta
    assert answer.full_body == chosen.body


class Away:
    """Five machines with a body of some length; one is dark while changes are made."""

    def __init__(self, seed: int, changes: int, wiped: bool, fill: int = 20_000) -> None:
        self.world = world = World(5, seed)
        world.run(3000)
        self.ips, self.edition = sorted(world.machines), 0
        self.back = self.ips[4]
        self.change("x" * fill)
        world.run(800)
        world.kill(self.back, power=True)
        if wiped:
            world.wipe(self.back)
        for _ in range(changes):
            self.change()
            world.run(120)
        world.run(1000)
        self.kinds: Counter[str] = Counter()

    def change(self, fill: str = "") -> None:
        """One more, at the machines in turn."""
        self.edition += 1
        self.world.change(self.edition - 1, self.edition, [self.ips[self.edition % 3]], fill=fill)

    def start(self) -> Any:
        """It is back; what it hears is counted."""
        self.world.start(self.back)
        replica: Any = self.world.machines[self.back].replica
        receive = replica.receive

        def count(ip: str, message: WireMessage, now: int) -> None:
            self.kinds[message["t"] + (" whole" if "w" in message else "")] += 1
            receive(ip, message, now)

        replica.receive = count
        return replica


@pytest.mark.parametrize(("changes", "wiped", "wholes"), [(30, False, 0), (80, False, 1), (30, True, 1)])
def test_a_machine_that_is_back_is_sent_what_it_lacks_once(changes: int, wiped: bool, wholes: int) -> None:
    away = Away(3, changes, wiped)
    replica = away.start()
    away.world.run(1000)
    assert replica.version == changes + 1 and replica.confirmed_at is not None
    assert away.kinds["chosen whole"] == wholes and not away.kinds["put whole"]
    away.world.run(2000)
    assert replica.is_voter and not away.world.settled()


@pytest.mark.parametrize("wiped", [False, True])
def test_changes_that_come_faster_than_a_whole_body_goes_over_a_link_keep_nobody_behind(wiped: bool) -> None:
    away = Away(3, 70, wiped, fill=200_000)
    world = away.world
    world.rate = 300.0  # bytes a ms: a whole body takes 0.7 s, and each 0.1 s there is a change
    replica = away.start()
    end = world.now + 4000 * MS
    while world.now < end:
        away.change()
        world.run(100)
    behind = max(one.replica.version for one in world.machines.values() if one.replica) - replica.version
    assert behind <= 1 and replica.confirmed_at is not None and world.now - replica.confirmed_at < 1000 * MS
    assert away.kinds["chosen whole"] + away.kinds["put whole"] <= 6
    world.rate = 0.0
    world.run(4000)
    assert not world.settled()


def test_a_lagging_peer_that_feeds_an_empty_disk_first_makes_it_neither_vote_nor_fresh() -> None:
    away = Away(5, 6, wiped=True)
    world, lagging = away.world, away.ips[3]
    world.cut([lagging])
    for _ in range(6):
        away.change()
        world.run(120)
    old: Proposal = world.machines[lagging].replica.register.state.chosen  # type: ignore[union-attr]
    world.cut([away.back], [ip for ip in away.ips if ip not in (lagging, away.back)])
    world.cuts.discard(frozenset((lagging, away.back)))
    replica = away.start()
    world.run(3000)
    assert replica.version == old.value.version < away.edition
    assert replica.confirmed_at is None and not replica.is_voter and replica.lacks_quorum
    world.heal()
    world.run(4000)
    assert replica.version == away.edition and replica.is_voter and not world.settled()
