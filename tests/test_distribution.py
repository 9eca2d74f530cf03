"""Distribution in virtual time: changes pass failed relays and partitions, freshness is never overstated."""

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
    # Every change is sent on top of its base version.
    assert world.sent["agreed"] + world.sent["change"] <= 2 * len(world.gates)
    return world


def children(world, gate):
    return [
        one for one in world.gates if one.follower.parent and one.follower.parent.parent_name == gate.station
    ]


def descendants(world, gate):
    direct = children(world, gate)
    return direct + [far for one in direct for far in descendants(world, one)]


def test_a_hundred_gateways_form_trees_and_a_change_costs_the_control_nodes_one_message_per_zone():
    world = fleet(1, {"a1": 60, "b1": 30, "c2": 10})
    roots = [gate for gate in world.gates if gate.follower.is_root]
    assert [gate.zone for gate in roots] == ["a1", "b1", "c2"]
    for gate in world.gates:
        ordered = sorted(
            (one for one in world.gates if one.zone == gate.zone), key=lambda one: order_key(one.station)
        )
        rank = ordered.index(gate)
        if rank:
            assert gate.follower.parent.parent_name == ordered[(rank - 1) // FAN_OUT].station
        assert gate.follower.control_node.address[0] in {
            ip for ip, zone in world.cores if zone[0] == gate.zone[0]
        }
    world.run(100)
    world.sent.clear(), world.frames.clear()
    started_at = world.now
    version = world.change()
    while world.lags(version):
        world.run(1)
    # 4 levels within the zone, and 12 ms to the farthest control node.
    assert world.now - started_at < 60 * MS
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
    # Records that change together are sent in one message.
    assert world.sent["cells"] < 1.3 * len(world.gates)
    world.check()


@pytest.mark.parametrize("seed", range(3))
def test_the_failure_of_a_relay_with_many_descendants_delays_no_gateway_by_a_second(seed):
    world = fleet(seed, {"a1": 40})
    best = max(
        world.gates, key=lambda gate: len(descendants(world, gate)) if not gate.follower.is_root else 0
    )
    world.stop(best)
    root = next(gate for gate in world.gates if gate.follower.is_root)
    if seed:
        world.stop(root)
    version = world.change()
    world.worker("w1", "a1")
    world.run(1000)
    assert not world.lags(version)
    assert all("w1" in gate.replicated.workers for gate in world.gates if gate.alive)
    lost = [
        replace(one.follower.local_record.own_record(), state=GatewayState.LOST)
        for one in world.gates
        if not one.alive
    ]
    world.control_nodes[0].replicated.update_records([], lost)  # the control nodes detect the failures
    world.run(6000)
    roots = [gate for gate in world.gates if gate.alive and gate.follower.is_root]
    assert len(roots) == 1  # the gateways form a single tree again
    world.check()


def test_a_partitioned_relay_does_not_roll_back_its_children():
    world = fleet(4, {"a1": 12})
    stale_relay = next(gate for gate in world.gates if children(world, gate) and not gate.follower.is_root)
    old_children = children(world, stale_relay)
    world.cut_off(
        stale_relay, [*world.control_nodes, *(one for one in world.gates if one not in old_children)]
    )
    world.worker("w1", "a1", 5)
    versions = [world.change() for _ in range(3)]
    world.run(1500)
    assert stale_relay.replicated.version < versions[0] and all(
        child.replicated.version == versions[-1] for child in old_children
    )
    stale_worker = Worker("w1", "line", "10.9.0.1:80", "a1", "v1", 2, 1)
    for child in old_children:  # late messages of the partitioned relay
        port = next(iter(child.up.values()))
        child.follower.received(
            port, {"k": "agreed", "n": versions[0], "state": {"edition": 0}}, child.clock()
        )
        child.follower.received(port, repair.encode_records([stale_worker], 1), child.clock())
        assert child.replicated.version == versions[-1] and child.replicated.workers["w1"].serial == 5
    world.cuts.clear()
    world.run(2500)
    assert stale_relay.replicated.version == versions[-1] and stale_relay.replicated.workers["w1"].serial == 5
    world.check()


def test_gateways_leave_a_partitioned_control_node_and_return_to_the_nearer_one_later():
    world = fleet(5, {"a1": 3, "b2": 3})
    isolated = world.control_nodes[0]
    world.cut_off(isolated, world.control_nodes)
    followed = [gate for gate in world.gates if gate.follower.control_node.address[0] == isolated.ip]
    assert len(followed) == 3
    for _ in range(8):
        version = world.change()
        world.run(500)
    assert all(gate.follower.control_node.address[0] != isolated.ip for gate in world.gates)
    assert not world.lags(version - 1)
    for gate in world.gates:
        assert gate.age_ms() < 1000
    world.cuts.clear()
    world.run(20000)
    assert all(gate.follower.control_node.address[0] == isolated.ip for gate in followed)
    world.check()


def test_a_gateway_without_control_nodes_proves_freshness_through_its_parent():
    world = fleet(6, {"a1": 6})
    gate = next(one for one in world.gates if not one.follower.is_root)
    world.cut_off(gate, world.control_nodes)
    world.run(3000)
    version = world.change()
    world.worker("w1", "a1")
    world.run(1000)
    assert gate.replicated.version == version and "w1" in gate.replicated.workers
    assert gate.age_ms() < 1500
    world.check()


@pytest.mark.parametrize("seed", range(12))
def test_no_gateway_overstates_freshness_and_all_converge(seed):
    assert not Day(seed).play()


def test_another_control_node_is_tried_before_the_current_one_is_left():
    world = World(10, ZONES, CORES)
    world.stop(world.control_nodes[0])  # one of the first contacts of all gateways is down at the start
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
    # The heartbeat interval, the time until an answer counts as slow, and the connection to another node.
    assert oldest < 1150


@pytest.mark.parametrize("phase", range(0, 400, 100))
def test_a_started_gateway_sends_heartbeats_often_until_its_state_is_confirmed(phase):
    world = World(12, ZONES, CORES)
    world.change()
    for control_node in world.control_nodes:  # the control nodes have not connected to each other yet
        world.cut_off(control_node, [one for one in world.control_nodes if one is not control_node])
        control_node.known_at = None
    for index in range(6):
        world.gate(index, "a1")
    world.run(2700 + phase)
    assert not any(gate.replicated.confirmed_at for gate in world.gates)
    world.cuts.clear()
    while not all(control_node.known_at for control_node in world.control_nodes):
        world.run(1)
    world.run(160)  # a quarter of a heartbeat interval, and a round trip
    assert all(gate.replicated.confirmed_at for gate in world.gates)
    world.sent.clear()
    world.run(4000)
    # Heartbeats to a control node and a parent, at the normal interval again.
    assert world.sent["tick"] <= 2.1 * 11 * len(world.gates)
    world.check()


def test_a_suspended_gateway_does_not_time_out_its_peers():
    world = fleet(8, {"a1": 4})
    gate = next(one for one in world.gates if not one.follower.is_root)
    followed = gate.follower.control_node.connection, gate.follower.parent.connection
    gate.alive = False
    world.run(1700)
    world.wake(gate)
    assert gate.age_ms() > 1500  # its state may be old by now, and it reports that
    world.run(1000)
    assert (gate.follower.control_node.connection, gate.follower.parent.connection) == followed
    assert gate.age_ms() < 1000


def test_unsolicited_answers_are_ignored_and_a_checksum_mismatch_requests_the_full_state():
    world = fleet(11, {"a1": 1})
    (gate,) = world.gates
    port, confirmed_at = gate.follower.control_node.connection, gate.replicated.confirmed_at
    answer = {
        "k": "tock",
        "age": 0,
        "n": gate.replicated.version,
        "d": gate.replicated.digests.total_digest(),
    }
    for t in (gate.clock() + 10**12, confirmed_at + 1):  # answers of an earlier boot and of an earlier link
        gate.follower.received(port, answer | {"t": t}, gate.clock())
    assert gate.replicated.confirmed_at == confirmed_at
    version = gate.replicated.version
    change = {"k": "change", "base": version, "n": version + 1, "op": {"edition": 9}, "seal": "of another"}
    world.sent.clear()
    gate.follower.received(port, change, gate.clock())
    assert gate.replicated.version == version and world.sent["want"] == 1


def test_changes_in_flight_are_not_sent_again():
    world = fleet(9, {"a1": 1})
    (gate,), control_node = world.gates, world.control_nodes[0]
    version = world.change()
    port = next(one for one in control_node.publisher.peers if one.other is gate)
    world.sent.clear()
    for ms in (1, 300, 600):  # the peer has not read it yet
        control_node.publisher.received(port, {"k": "want", "n": version - 1}, control_node.clock() + ms * MS)
    assert not world.sent["agreed"] + world.sent["change"]
    control_node.publisher.received(
        port, {"k": "want", "n": version - 1, "whole": True}, control_node.clock()
    )
    assert world.sent["agreed"] == 1


def test_replicas_that_differ_in_few_records_converge_with_little_traffic():
    rng = random.Random(9)
    workers = [Worker(f"w{n}", "line", f"10.0.0.{n}:80", rng.choice("xy"), "v", 2, 1) for n in range(4000)]
    one, other = ReplicatedState(), ReplicatedState()
    one.update_records(workers, []), other.update_records(workers[:-1], [])
    for replica, picked in ((one, workers[:3]), (other, workers[5:8])):
        replica.update_records(
            [replace(worker, serial=2, state=WorkerState.DRAINING) for worker in picked], []
        )
    gateway = GatewayRecord("front-1", "x", "r", "10.1.0.1:80", "10.1.0.1:7600", 1)
    other.update_records([], [gateway])
    gone = Worker("w9999", "line", "10.0.0.1:80", "x", "v", 2, 1, WorkerState.GONE)
    one.update_records([gone], [])
    assert one.digests.total_digest() != other.digests.total_digest()
    rows, pending = 0, [(other, one, repair.request(one))]
    while pending:
        receiver, sender, message = pending.pop()
        rows += len(message.get("w", ()))
        answers = repair.handle(
            receiver, lambda w, g, now, receiver=receiver: receiver.update_records(w, g), message, 1
        )
        pending += [(sender, receiver, answer) for answer in answers]
    assert one.digests.total_digest() == other.digests.total_digest() and rows < 400
    assert one.workers["w5"].state == other.workers["w0"].state == "unloading" and "front-1" in one.gateways
    assert "w9999" not in other.workers or other.workers["w9999"].state == "gone"


def test_a_configuration_of_thousands_of_routes_reaches_all_over_saturated_links():
    """One full state occupies a link for over two seconds; its sender must not time out meanwhile."""
    world = fleet(12, {"a1": 5, "b1": 3})
    world.padding = {f"p{n}": {"name": f"p{n}", "prefix": f"/{n:0200}/"} for n in range(3000)}
    world.rate = 375.0  # bytes per ms
    version, started_at = world.change(whole=True), world.now
    while world.lags(version) and world.now - started_at < 25_000 * MS:
        world.run(50)
    assert not world.lags(version)
    world.run(15_000)
    assert max(gate.age_ms() for gate in world.gates) < 1500
    world.check()


def test_the_first_change_applies_to_an_empty_state():
    """Without state the first change could not be applied; endless requests for it then filled the links."""
    written = []
    port = SimpleNamespace(name="s", write=written.append, close=lambda: None)
    record = GatewayRecord("g", "z", "r", "1.1.1.1:1", "1.1.1.1:7600", 1)
    core = ("1.1.1.2", 7600)
    follower = Follower(
        "g", "z", 7600, {"z": "r"}, [core], own_record=lambda: record, apply=changes.apply, now=0
    )
    follower.opened(core, port, {"k": "hello", "station": "s", "class": "sorting", "cores": []}, 1)
    op = changes.evacuation_operation("z", True)
    state, _ = changes.apply(None, op)
    written_before = len(written)
    follower.received(port, {"k": "change", "base": 0, "n": 1, "op": op, "seal": state_checksum(state)}, 2)
    assert (
        follower.replicated.version == 1
        and follower.replicated.state["evacuated"] == ["z"]
        and len(written) == written_before
    )


class Wire(asyncio.Transport):
    """A transport that stores the written bytes."""

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


def test_long_frames_are_compressed_on_request_and_a_decompression_bomb_ends_the_link():
    received = []
    user = SimpleNamespace(
        opened=lambda link, hello: None, received=lambda link, message: received.append(message)
    )
    user.closed = lambda link: None
    rows = [[f"r{at}", f"host-{at % 7}.example", f"/p{at}/", "safe", 1500] for at in range(1400)]
    frame = encode({"k": "agreed", "n": 3, "state": rows})
    sent = {}
    for kind, hello_fields in (("old", {}), ("new", {"packs": ["later", "deflate"]})):
        link = Link(user, lambda: {"station": "s"})
        link.connection_made(Wire())
        link.data_received(encode({"k": "hello", "station": "o"} | hello_fields))
        link.transport.data = b""
        link.write(frame), link.write(encode({"k": "tick"}))
        sent[kind] = link.transport.data
        link.data_received(sent[kind])
    assert received[0] == received[2] and [one["k"] for one in received] == ["agreed", "tick"] * 2
    assert sent["old"].startswith(frame) and len(sent["new"]) < len(frame) / 4
    bomb = zlib.compress(b'{"k":"x","y":"' + b" " * (MAX_FRAME_BYTES + 1))
    link.data_received(b"%d:%b," % (len(bomb), bomb))
    assert len(received) == 4 and link.transport.data is None


def test_each_missing_change_is_sent_in_its_own_frame():
    frames, port = [], Wire()
    source = SimpleNamespace(
        version=0, state={"edition": 0}, digests=RangeDigests(), control_nodes=[], age_ms=lambda now: 1.0
    )
    publisher = Publisher(source, lambda due: None)
    port.write = frames.append
    publisher.opened(port, {}, 0)
    publisher.received(port, {"k": "tick", "t": 1, "n": 1, "root": False}, 0)
    for version in range(1, 4):
        source.version, source.state = version, {"edition": version}
        publisher.state_changed((version - 1, {"edition": version}), 0)
    frames.clear()
    publisher.received(port, {"k": "want", "n": 1}, 0)
    assert [[one["k"] for one in Decoder().feed(frame)] for frame in frames] == [["change"], ["change"]]


def test_a_change_that_takes_seconds_on_a_slow_link_causes_no_timeout():
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


def test_a_long_change_is_sent_by_the_control_nodes_and_relayed_around_a_partition():
    world = Narrow(3, 2.0)
    for at in range(27):
        world.gate(at, list(NARROW)[at % 3])
    world.change()
    world.run(4000)
    isolated = next(gate for gate in world.gates if gate.follower.parent and not children(world, gate))
    world.cut_off(isolated, world.control_nodes)
    world.run(3000)
    relay = next(gate for gate in world.gates if gate.station == isolated.follower.parent.parent_name)
    world.sizes.clear()
    times = told(world, 1400, 3)
    assert len(times) == 27 and times[-2] < 200 and times[-1] < 1200
    length = world.sizes[isolated.station]  # sent once: 0.13 s of its link
    assert all(world.sizes[gate.station] < 1.2 * length for gate in world.gates if gate is not relay)
    world.check()
    world.sizes.clear()
    assert len(told(world, 1, 3)) == 27  # a short change goes down the tree
    assert sum(world.sizes[control_node.station] for control_node in world.control_nodes) < 10_000


def test_typed_messages_encode_to_fixed_bytes_and_decode_back():
    record = GatewayRecord("s", "z", "r", "10.0.0.1:80", "10.0.0.1:90", 3)
    encoded_record = '["s","z","r","10.0.0.1:80","10.0.0.1:90",3,0,"starting"]'
    for message, text in (
        (
            messages.Heartbeat(5, 7, True, record),
            '{"k":"tick","t":5,"n":7,"g":' + encoded_record + ',"root":true}',
        ),
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
