"""Distribution in virtual time: news goes through dead relays and cuts, freshness is never overstated."""

import asyncio
import json
import random
import zlib
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import pytest

from pepperrun.control import changes
from pepperrun.control.records import GatewayRecord, GatewayState, Worker, WorkerState
from pepperrun.distribution import messages, repair
from pepperrun.distribution.digests import RangeDigests
from pepperrun.distribution.follower import Follower
from pepperrun.distribution.publisher import Publisher, state_checksum
from pepperrun.distribution.replicated_state import ReplicatedState
from pepperrun.distribution.tree import FAN_OUT, order_key
from pepperrun.foundation.link import Link
from pepperrun.foundation.netstring import MAX_FRAME_BYTES, Decoder, encode
from pepperrun.simulation.distribution_days import CORES, ZONES, Day
from pepperrun.simulation.distribution_world import MS, World
from pepperrun.simulation.narrow_links import ZONES as NARROW
from pepperrun.simulation.narrow_links import Narrow, told


def fleet(seed, counts, zones=ZONES, cores=CORES, start_ms=3000):
    world = World(seed, zones, cores)
    index = 0
    for zone, number in counts.items():
        for _ in range(number):
            world.gate(index, zone)
            index += 1
    world.change()
    world.run(start_ms)
    assert world.sent["agreed"] + world.sent["change"] <= 2 * len(world.gates)  # no change without its base
    return world


def children(world, gate):
    return [
        one for one in world.gates if one.follower.parent and one.follower.parent.parent_name == gate.station
    ]


def under(world, gate):
    direct = children(world, gate)
    return direct + [far for one in direct for far in under(world, one)]


def test_a_hundred_gatekeepers_form_a_tree_and_news_costs_the_core_one_message_a_zone():
    world = fleet(1, {"a1": 60, "b1": 30, "c2": 10})
    roots = [gate for gate in world.gates if gate.follower.is_root]
    assert [gate.zone for gate in roots] == ["a1", "b1", "c2"]
    for gate in world.gates:
        ranks = sorted(
            (one for one in world.gates if one.zone == gate.zone), key=lambda one: order_key(one.station)
        )
        place = ranks.index(gate)
        if place:
            assert gate.follower.parent.parent_name == ranks[(place - 1) // FAN_OUT].station
        assert gate.follower.control_node.address[0] in {
            ip for ip, zone in world.cores if zone[0] == gate.zone[0]
        }
    world.run(100)
    world.sent.clear(), world.frames.clear()
    began = world.now
    number = world.change()
    while world.lags(number):
        world.run(1)
    assert world.now - began < 60 * MS  # 4 steps of one zone, 12 ms to the farthest core machine
    world.run(1000)
    assert world.sent["change"] == len(world.gates) and not world.sent["agreed"] + world.sent["want"]
    pushed = Counter({who: n for (who, kind), n in world.frames.items() if kind == "change"})
    assert sum(n for who, n in pushed.items() if who.startswith("core")) == 3
    assert max(pushed.values()) <= FAN_OUT
    world.sent.clear()
    for each in range(20):
        world.worker(f"w{each}", "b2", at=world.control_nodes[0])
    world.run(1000)
    assert all(len(gate.replicated.workers) == 20 for gate in world.gates)
    assert world.sent["cells"] < 1.3 * len(world.gates)  # records that change together go together
    world.check()


@pytest.mark.parametrize("seed", range(3))
def test_a_dead_relay_with_half_of_the_fleet_under_it_holds_nobody_up_for_a_second(seed):
    world = fleet(seed, {"a1": 40})
    best = max(world.gates, key=lambda gate: len(under(world, gate)) if not gate.follower.is_root else 0)
    world.stop(best)
    root = next(gate for gate in world.gates if gate.follower.is_root)
    if seed:
        world.stop(root)
    number = world.change()
    world.worker("w1", "a1")
    world.run(1000)
    assert not world.lags(number)
    assert all("w1" in gate.replicated.workers for gate in world.gates if gate.alive)
    lost = [
        replace(one.follower.local_record.own_record(), state=GatewayState.LOST)
        for one in world.gates
        if not one.alive
    ]
    world.control_nodes[0].replicated.update_records([], lost)  # what the core concludes from their silence
    world.run(6000)
    whole = [gate for gate in world.gates if gate.alive and gate.follower.is_root]
    assert len(whole) == 1  # and a tree has formed again
    world.check()


def test_a_relay_that_wakes_behind_a_cut_brings_nobody_back():
    world = fleet(4, {"a1": 12})
    old = next(gate for gate in world.gates if children(world, gate) and not gate.follower.is_root)
    kids = children(world, old)
    world.cut_off(old, [*world.control_nodes, *(one for one in world.gates if one not in kids)])
    world.worker("w1", "a1", 5)
    numbers = [world.change() for _ in range(3)]
    world.run(1500)
    assert old.replicated.version < numbers[0] and all(kid.replicated.version == numbers[-1] for kid in kids)
    stale = Worker("w1", "line", "10.9.0.1:80", "a1", "v1", 2, 1)
    for kid in kids:  # the old relay's word, as late as can be
        port = next(iter(kid.up.values()))
        kid.follower.received(port, {"k": "agreed", "n": numbers[0], "state": {"edition": 0}}, kid.clock())
        kid.follower.received(port, repair.encode_records([stale], 1), kid.clock())
        assert kid.replicated.version == numbers[-1] and kid.replicated.workers["w1"].serial == 5
    world.cuts.clear()
    world.run(2500)
    assert old.replicated.version == numbers[-1] and old.replicated.workers["w1"].serial == 5
    world.check()


def test_gatekeepers_leave_a_core_machine_that_is_cut_off_and_move_back_to_the_nearer_one():
    world = fleet(5, {"a1": 3, "b2": 3})
    lone = world.control_nodes[0]
    world.cut_off(lone, world.control_nodes)
    followed = [gate for gate in world.gates if gate.follower.control_node.address[0] == lone.ip]
    assert len(followed) == 3
    for _ in range(8):
        number = world.change()
        world.run(500)
    assert all(gate.follower.control_node.address[0] != lone.ip for gate in world.gates)
    assert not world.lags(number - 1)
    for gate in world.gates:
        assert gate.age_ms() < 1000
    world.cuts.clear()
    world.run(20000)
    assert all(gate.follower.control_node.address[0] == lone.ip for gate in followed)
    world.check()


def test_who_reaches_no_core_machine_learns_from_its_parent_how_fresh_it_is():
    world = fleet(6, {"a1": 6})
    gate = next(one for one in world.gates if not one.follower.is_root)
    world.cut_off(gate, world.control_nodes)
    world.run(3000)
    number = world.change()
    world.worker("w1", "a1")
    world.run(1000)
    assert gate.replicated.version == number and "w1" in gate.replicated.workers
    assert gate.age_ms() < 1500
    world.check()


@pytest.mark.parametrize("seed", range(12))
def test_nobody_claims_to_be_fresher_than_it_is_and_all_agree_in_the_end(seed):
    assert not Day(seed).play()


def test_another_core_machine_is_tried_before_the_present_one_is_given_up():
    world = World(10, ZONES, CORES)
    world.stop(world.control_nodes[0])  # a first contact of all is down at the start
    for index in range(12):
        world.gate(index, "a1")
    world.change()
    world.run(700)
    assert all(gate.age_ms() < 700 for gate in world.gates)
    world.run(3000)
    followed = world.gates[0].follower.control_node.address[0]
    world.stop(world.nodes[followed])
    oldest = 0.0
    for _ in range(40):
        world.run(50)
        oldest = max(oldest, *(gate.age_ms() for gate in world.gates))
    assert oldest < 1150  # a tick, what is quiet, the way to another


@pytest.mark.parametrize("phase", range(0, 400, 100))
def test_who_has_just_started_asks_often_until_the_core_knows_that_it_is_the_newest(phase):
    world = World(12, ZONES, CORES)
    world.change()
    for control_node in world.control_nodes:  # those of the core have not met
        world.cut_off(control_node, [one for one in world.control_nodes if one is not control_node])
        control_node.known_at = None
    for index in range(6):
        world.gate(index, "a1")
    world.run(2700 + phase)
    assert not any(gate.replicated.confirmed_at for gate in world.gates)
    world.cuts.clear()
    while not all(control_node.known_at for control_node in world.control_nodes):
        world.run(1)
    world.run(160)  # a quarter of a tick, and there and back
    assert all(gate.replicated.confirmed_at for gate in world.gates)
    world.sent.clear()
    world.run(4000)
    assert world.sent["tick"] <= 2.1 * 11 * len(world.gates)  # to a core machine and a parent, as before
    world.check()


def test_who_stood_still_takes_nobody_else_for_silent():
    world = fleet(8, {"a1": 4})
    gate = next(one for one in world.gates if not one.follower.is_root)
    followed = gate.follower.control_node.connection, gate.follower.parent.connection
    gate.alive = False
    world.run(1700)
    world.wake(gate)
    assert gate.age_ms() > 1500  # what it held may be old by now, and it says so
    world.run(1000)
    assert (gate.follower.control_node.connection, gate.follower.parent.connection) == followed
    assert gate.age_ms() < 1000


def test_only_an_echo_of_what_was_asked_here_counts_and_a_change_misread_is_asked_for_whole():
    world = fleet(11, {"a1": 1})
    (gate,) = world.gates
    port, held = gate.follower.control_node.connection, gate.replicated.confirmed_at
    word = {"k": "tock", "age": 0, "n": gate.replicated.version, "d": gate.replicated.digests.total_digest()}
    for t in (gate.clock() + 10**12, held + 1):  # of an earlier start of the machine, of an earlier link
        gate.follower.received(port, word | {"t": t}, gate.clock())
    assert gate.replicated.confirmed_at == held
    number = gate.replicated.version
    change = {"k": "change", "base": number, "n": number + 1, "op": {"edition": 9}, "seal": "of another"}
    world.sent.clear()
    gate.follower.received(port, change, gate.clock())
    assert gate.replicated.version == number and world.sent["want"] == 1


def test_what_is_under_way_is_not_sent_again():
    world = fleet(9, {"a1": 1})
    (gate,), control_node = world.gates, world.control_nodes[0]
    number = world.change()
    port = next(one for one in control_node.publisher.peers if one.other is gate)
    world.sent.clear()
    for ms in (1, 300, 600):  # it has not been read yet
        control_node.publisher.received(port, {"k": "want", "n": number - 1}, control_node.clock() + ms * MS)
    assert not world.sent["agreed"] + world.sent["change"]
    control_node.publisher.received(port, {"k": "want", "n": number - 1, "whole": True}, control_node.clock())
    assert world.sent["agreed"] == 1


def test_copies_that_differ_in_a_few_of_many_records_exchange_little_and_end_alike():
    dice = random.Random(9)
    workers = [Worker(f"w{n}", "line", f"10.0.0.{n}:80", dice.choice("xy"), "v", 2, 1) for n in range(4000)]
    one, other = ReplicatedState(), ReplicatedState()
    one.update_records(workers, []), other.update_records(workers[:-1], [])
    for book, picked in ((one, workers[:3]), (other, workers[5:8])):
        book.update_records([replace(worker, serial=2, state=WorkerState.DRAINING) for worker in picked], [])
    gateway = GatewayRecord("front-1", "x", "r", "10.1.0.1:80", "10.1.0.1:7600", 1)
    other.update_records([], [gateway])
    gone = Worker("w9999", "line", "10.0.0.1:80", "x", "v", 2, 1, WorkerState.GONE)
    one.update_records([gone], [])
    assert one.digests.total_digest() != other.digests.total_digest()
    rows, ways = 0, [(other, one, repair.request(one))]
    while ways:
        to, back, message = ways.pop()
        rows += len(message.get("w", ()))
        answers = repair.handle(to, lambda w, g, now, to=to: to.update_records(w, g), message, 1)
        ways += [(back, to, answer) for answer in answers]
    assert one.digests.total_digest() == other.digests.total_digest() and rows < 400
    assert one.workers["w5"].state == other.workers["w0"].state == "unloading" and "front-1" in one.gateways
    assert "w9999" not in other.workers or other.workers["w9999"].state == "gone"


def test_thousands_of_routes_reach_all_over_links_at_their_limit():
    """One copy takes a machine's link over two seconds: who sends it is not silent meanwhile."""
    world = fleet(12, {"a1": 5, "b1": 3})
    world.padding = {f"p{n}": {"name": f"p{n}", "prefix": f"/{n:0200}/"} for n in range(3000)}
    world.rate = 375.0  # bytes a ms
    number, began = world.change(whole=True), world.now
    while world.lags(number) and world.now - began < 25_000 * MS:
        world.run(50)
    assert not world.lags(number)
    world.run(15_000)
    assert max(gate.age_ms() for gate in world.gates) < 1500
    world.check()


def test_the_first_change_builds_on_nothing():
    """Asked for again and again, as who holds no state could not take it, it filled the links."""
    written = []
    port = SimpleNamespace(name="s", write=written.append, close=lambda: None)
    row = GatewayRecord("g", "z", "r", "1.1.1.1:1", "1.1.1.1:7600", 1)
    core = ("1.1.1.2", 7600)
    follower = Follower(
        "g", "z", 7600, {"z": "r"}, [core], own_record=lambda: row, apply=changes.apply, now=0
    )
    follower.opened(core, port, {"k": "hello", "station": "s", "class": "sorting", "cores": []}, 1)
    op = changes.evacuation_operation("z", True)
    state, _ = changes.apply(None, op)
    told = len(written)
    follower.received(port, {"k": "change", "base": 0, "n": 1, "op": op, "seal": state_checksum(state)}, 2)
    assert (
        follower.replicated.version == 1
        and follower.replicated.state["evacuated"] == ["z"]
        and len(written) == told
    )


class Wire(asyncio.Transport):
    """A transport that keeps what is written."""

    def __init__(self):
        super().__init__()
        self.data = b""

    def write(self, data):
        self.data += data

    def get_extra_info(self, name, default=None):
        return None

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def abort(self):
        self.data = None


def test_long_frames_are_deflated_for_those_who_read_that_and_a_bomb_ends_the_link():
    received = []
    user = SimpleNamespace(
        opened=lambda link, hello: None, received=lambda link, message: received.append(message)
    )
    user.closed = lambda link: None
    rows = [[f"r{at}", f"host-{at % 7}.example", f"/p{at}/", "safe", 1500] for at in range(1400)]
    frame = encode({"k": "agreed", "n": 3, "state": rows})
    sent = {}
    for what, packs in (("old", {}), ("new", {"packs": ["later", "deflate"]})):
        link = Link(user, lambda: {"station": "s"})
        link.connection_made(Wire())
        link.data_received(encode({"k": "hello", "station": "o"} | packs))
        link.transport.data = b""
        link.write(frame), link.write(encode({"k": "tick"}))
        sent[what] = link.transport.data
        link.data_received(sent[what])
    assert received[0] == received[2] and [one["k"] for one in received] == ["agreed", "tick"] * 2
    assert sent["old"].startswith(frame) and len(sent["new"]) < len(frame) / 4
    bomb = zlib.compress(b'{"k":"x","y":"' + b" " * (MAX_FRAME_BYTES + 1))
    link.data_received(b"%d:%b," % (len(bomb), bomb))
    assert len(received) == 4 and link.transport.data is None


def test_a_joiner_gets_each_change_that_it_lacks_as_a_frame_of_its_own():
    frames, port = [], Wire()
    source = SimpleNamespace(
        version=0, state={"edition": 0}, digests=RangeDigests(), control_nodes=[], age_ms=lambda now: 1.0
    )
    publisher = Publisher(source, lambda due: None)
    port.write = frames.append
    publisher.opened(port, {}, 0)
    publisher.received(port, {"k": "tick", "t": 1, "n": 1, "root": False}, 0)
    for number in range(1, 4):
        source.version, source.state = number, {"edition": number}
        publisher.state_changed((number - 1, {"edition": number}), 0)
    frames.clear()
    publisher.received(port, {"k": "want", "n": 1}, 0)
    assert [[one["k"] for one in Decoder().feed(frame)] for frame in frames] == [["change"], ["change"]]


def test_a_change_that_takes_seconds_of_a_narrow_link_is_no_silence():
    world = Narrow(2, 1.0, packs=False)
    for at in range(12):
        world.gate(at, list(NARROW)[at % 3])
    world.change()
    world.run(3000)
    times = told(world, 1400, 12)
    assert len(times) == 12 and times[-1] < 9000
    world.run(3000)
    world.check()
    assert all(gate.age_ms() < 1500 for gate in world.gates)


def test_a_long_change_goes_straight_from_the_core_and_round_a_cut_by_the_relay():
    world = Narrow(3, 2.0)
    for at in range(27):
        world.gate(at, list(NARROW)[at % 3])
    world.change()
    world.run(4000)
    lone = next(gate for gate in world.gates if gate.follower.parent and not children(world, gate))
    world.cut_off(lone, world.control_nodes)
    world.run(3000)
    relay = next(gate for gate in world.gates if gate.station == lone.follower.parent.parent_name)
    world.sizes.clear()
    times = told(world, 1400, 3)
    assert len(times) == 27 and times[-2] < 200 and times[-1] < 1200
    length = world.sizes[lone.station]  # 0.13 s of its link, once
    assert all(world.sizes[gate.station] < 1.2 * length for gate in world.gates if gate is not relay)
    world.check()
    world.sizes.clear()
    assert len(told(world, 1, 3)) == 27  # a short one goes down the tree
    assert sum(world.sizes[control_node.station] for control_node in world.control_nodes) < 10_000


def test_typed_messages_keep_their_bytes_and_read_back():
    row = GatewayRecord("s", "z", "r", "10.0.0.1:80", "10.0.0.1:90", 3)
    listed = '["s","z","r","10.0.0.1:80","10.0.0.1:90",3,0,"starting"]'
    for message, text in (
        (messages.Heartbeat(5, 7, True, row), '{"k":"tick","t":5,"n":7,"g":' + listed + ',"root":true}'),
        (messages.Heartbeat(5, 7, False), '{"k":"tick","t":5,"n":7,"root":false}'),
        (messages.HeartbeatAck(5, None, 7, "d"), '{"k":"tock","t":5,"age":null,"n":7,"d":"d"}'),
        (
            messages.HeartbeatAck(5, 12, 7, "d", [["10.0.0.1", "z"]]),
            '{"k":"tock","t":5,"age":12,"n":7,"d":"d","cores":[["10.0.0.1","z"]]}',
        ),
        (messages.CatchUpRequest(7), '{"k":"want","n":7}'),
        (messages.CatchUpRequest(7, full=True), '{"k":"want","n":7,"whole":true}'),
        (
            messages.StateChange(6, 7, {"do": 1}, "s"),
            '{"k":"change","base":6,"n":7,"op":{"do":1},"seal":"s"}',
        ),
        (messages.FullState(7, {"edition": 1}), '{"k":"agreed","n":7,"state":{"edition":1}}'),
    ):
        assert encode(message.to_wire()) == b"%d:%b," % (len(text), text.encode())
        assert type(message).from_wire(json.loads(text)) == message
