"""What the features play: each protocol of the system's own processes in virtual time, with fixed names.

`features/record.py` writes down what a version says here; the features play that against the version at hand.
"""

from __future__ import annotations

import asyncio
import base64
import heapq
import json
import zlib
from dataclasses import replace
from itertools import count
from pathlib import Path

from pepperrun.consensus.replica import Replica
from pepperrun.consensus.state import (
    FIRST_DISK_ID,
    Ballot,
    DurableState,
    InMemoryStore,
    Proposal,
    digest_of,
    initial_proposal,
)
from pepperrun.control import changes
from pepperrun.control.configuration import TenantConfig
from pepperrun.control.endpoint_registry import EndpointRegistry, WorkerHeartbeat
from pepperrun.control.node import ControlNode
from pepperrun.control.order_codec import read_amend, read_replace
from pepperrun.control.records import GatewayRecord, GatewayState, Worker, WorkerState
from pepperrun.control.replication_waits import VoterQuorum
from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import (
    AttemptEnded,
    Backend,
    BackendList,
    ListKind,
    Outcome,
    PeerMessage,
    Request,
    Send,
    SendPeerMessage,
    TimerFired,
)
from pepperrun.dataplane.numbering import Numbering, name_hash
from pepperrun.dataplane.peer_messages import PeerMessages, Peers
from pepperrun.distribution.follower import Follower
from pepperrun.distribution.publisher import Publisher
from pepperrun.distribution.replicated_state import ReplicatedState
from pepperrun.distribution.service import DownlinkHandler
from pepperrun.foundation.link import Link
from pepperrun.foundation.netstring import Decoder, encode
from pepperrun.foundation.settings import Bounds, parse
from pepperrun.gateway_node import GatewayNode
from pepperrun.membership.gateway_prober import GatewayProber
from pepperrun.storage.store import DiskStore

MS = 1_000_000
START = 1_000_000 * MS
ZONES = {"a": "r1", "b": "r2", "c": "r3"}
CORES = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
BOTH = VoterQuorum((frozenset(CORES[:2]),))
SIDING = 7600
TENANT = TenantConfig("ann", ["k1"], rate_per_s=5.0, surge=10.0)


def configuration(edition=5, **more):
    """A valid one, as an operator sends it."""
    routes = {
        "columns": ["name", "depot", "prefix", "route_kind", "deadline_ms", "target_ms", "splits", "line"],
        "rows": [
            ["r-one", "h.example", "/one/", "safe", 1500, 400, None, "ant"],
            ["r-two", "h.example", "/two/", "unsafe", 2000, 500, [{"line": "ant", "share": 9}], None],
        ],
    }
    lines = {"columns": ["name", "berth_cap"], "rows": [["ant", 110]]}
    senders = {"columns": ["name", "stamps"], "rows": [["ann", ["k1", "k2"]], ["bob", ["k3"]]]}
    tables = {"routes": routes, "carrier_lines": lines, "senders": senders, "limits": {"dwell_ms": 9000}}
    return {"edition": edition} | tables | more


def body(data):
    return json.dumps(data).encode()


def gateway_record(name, zone="a"):
    return GatewayRecord(
        name,
        zone,
        ZONES[zone],
        f"10.1.0.{name[-1]}:80",
        f"10.1.0.{name[-1]}:{SIDING}",
        7,
        1,
        GatewayState.READY,
    )


def worker(name, serial=4, **more):
    return replace(Worker(name, "ant", "10.2.0.9:80", "a", "v1", 2, serial), **more)


class RecordingLink:
    """The sending side of a link; keeps the messages."""

    def __init__(self, name=""):
        self.name, self.messages, self.closed = name, [], False
        self.send = lambda message: self.write(encode(message))  # as a link does
        self.decoder = Decoder()

    def write(self, frame):
        self.messages += self.decoder.feed(frame)

    def close(self):
        self.closed = True

    def unsent(self):
        return 0

    def take(self):
        messages, self.messages = self.messages, []
        return messages


class ControlNodeSource:
    """A control node as publishers see it: has a configuration and records."""

    def __init__(self):
        self.replicated = ReplicatedState()
        self.control_nodes = [[ip, zone] for ip, zone in zip(CORES, ZONES, strict=True)]
        self.first, _ = changes.apply(None, read_replace(body(configuration()), 0))
        self.replicated.update_state(1, self.first)
        self.replicated.update_records(
            [worker("w1"), worker("w2", warming_until=START + 2000 * MS)], [gateway_record("g2")]
        )
        self.publisher = Publisher(self, lambda due: None)

    def __getattr__(self, name):
        return getattr(self.replicated, name)

    def age_ms(self, now):
        return 12.0

    def gateway_heartbeat(self, gateway_row, now):
        self.replicated.update_records([], [gateway_row])

    def merge(self, workers, gateway_rows, now):
        self.replicated.update_records(workers, gateway_rows)

    def amend(self):
        change = {"edition": 7, "withdraw": {"routes": ["r-two"]}}
        op = read_amend(body(change), 5)
        state, _ = changes.apply(self.replicated.state, op)
        self.replicated.update_state(2, state)
        self.publisher.state_changed((1, op), START)

    def release(self):
        fresh = worker("w1", 9, state=WorkerState.DRAINING)
        self.replicated.update_records([fresh], [])
        self.publisher.records_changed([fresh], START)
        self.publisher.tick(START + 20 * MS)


def follower():
    contacts = [(CORES[0], SIDING)]
    return Follower(
        "g1",
        "a",
        SIDING,
        ZONES,
        contacts,
        own_record=lambda: gateway_record("g1"),
        apply=changes.apply,
        now=START,
    )


class FollowerExchange:
    """A gatekeeper that follows a control node. `transform` returns what arrives of a message."""

    def __init__(self, transform=lambda message: message):
        self.core, self.follower, self.transform = ControlNodeSource(), follower(), transform
        self.up, self.down, self.log = RecordingLink("core"), RecordingLink("g1"), []
        hello = {"station": "g1", "ip": "10.1.0.1", "zone": "a", "class": "counter", "life": 7}
        self.core.publisher.opened(self.down, hello, START)
        hello = {"station": "s1", "ip": CORES[0], "zone": "a", "class": "sorting", "life": 1}
        self.follower.opened((CORES[0], SIDING), self.up, hello, START)
        self.run()
        self.core.amend()
        self.run()
        self.core.release()
        self.run()
        self.follower.tick(START + 400 * MS)
        self.run()

    def run(self):
        for _ in range(40):
            ups, downs = self.up.take(), self.down.take()
            if not ups and not downs:
                return
            self.log += [["up", one] for one in ups] + [["down", one] for one in downs]
            for one in ups:
                self.core.publisher.received(self.down, self.transform(one), START)
            for one in downs:
                self.follower.received(self.up, self.transform(one), START + 30 * MS)
        raise AssertionError("the exchange does not end")


def registry_exchange():
    """Two control nodes' registries: links, heartbeats, a drain that waits, two comparisons."""
    registries = {ip: EndpointRegistry(ip, 1500, START) for ip in CORES[:2]}
    one, two = CORES[:2]
    registries[one].heartbeat(
        WorkerHeartbeat("w1", "ant", "10.2.0.9:80", "a", "v1", 2, WorkerState.SERVING, 0, 4), None, START
    )
    registries[one].gateway_heartbeat(gateway_record("g1"), START)
    log, now = [], START
    for step in range(4):
        if step == 1:
            for ip, other in ((one, two), (two, one)):
                registries[ip].quorum_changed(has_quorum=True, now=now)
                registries[ip].connected(other, "b", now)
        if step == 2:
            registries[one].heartbeat(
                WorkerHeartbeat("w2", "ant", "10.2.0.8:80", "a", "v1", 2, WorkerState.SERVING, 0, 1),
                None,
                now,
            )
            registries[one].heartbeat(
                WorkerHeartbeat("w1", "ant", "10.2.0.9:80", "a", "v1", 2, WorkerState.DRAINING, 0, 5),
                BOTH,
                now,
            )
        for _ in range(12):
            now += 100 * MS
            for ip in (one, two):
                registries[ip].tick(now)
                for to, message in registries[ip].take_messages(now):
                    log.append([ip, message])
                    registries[to].receive(ip, json.loads(json.dumps(message)), now)
    return registries, log


class ConsensusCluster:
    """Three voters; each message takes 5 ms. `transform` returns what arrives of a message."""

    def __init__(self, transform=lambda sender, message: message):
        self.now, self.events, self.turn, self.transform, self.log = START, [], count(), transform, []
        self.replicas, self.verdicts = {}, {}
        for at, (ip, zone) in enumerate(zip(CORES, ZONES, strict=True)):
            memory = DurableState(FIRST_DISK_ID)
            memory.accepted = memory.chosen = initial_proposal(CORES)
            how = {"zone": zone, "regions": ZONES, "max_voters": 3, "seed": at, "now": self.now}
            self.replicas[ip] = Replica(ip, memory, InMemoryStore(), changes.apply, **how)
        for ip, replica in self.replicas.items():
            for other, zone in zip(CORES, ZONES, strict=True):
                if other != ip:
                    replica.connected(other, zone, self.now)
        self.run(1000)

    def propose(self, ip, op):
        return ip, self.replicas[ip].propose(op, self.now)

    def flush(self):
        for ip, replica in self.replicas.items():
            for to, message in replica.take_messages():
                self.log.append(message)
                wire = json.loads(json.dumps(message))
                heapq.heappush(self.events, (self.now + 5 * MS, next(self.turn), ip, to, wire))
            for result in replica.take_results():
                self.verdicts[ip, result.token] = result.verdict
            replica.take_changes()

    def run(self, ms):
        end = self.now + int(ms * MS)
        while True:
            self.flush()
            due = min(replica.next_tick_at() for replica in self.replicas.values())
            at = min(due, self.events[0][0]) if self.events else due
            if at > end:
                self.now = end
                return
            self.now = max(self.now, at)
            if self.events and self.events[0][0] <= self.now:
                _, _, sender, to, message = heapq.heappop(self.events)
                self.replicas[to].receive(sender, self.transform(sender, message), self.now)
            for replica in self.replicas.values():
                if replica.next_tick_at() <= self.now:
                    replica.tick(self.now)


def probe_exchange(recorded=None):
    """Two probers for three seconds. With `recorded` the first one's datagrams are these, not its own."""
    addresses = {name: (f"10.1.0.{name[-1]}", SIDING) for name in ("g1", "g2")}
    probes = {name: GatewayProber(name, "r1", 5000, at, START) for at, name in enumerate(addresses)}
    for prober in probes.values():
        prober.update_gateways([gateway_record("g1"), gateway_record("g2")])
    log = []
    for step in range(300):
        now = START + step * 10 * MS
        for name, prober in probes.items():
            prober.tick(now)
            datagrams = [data for _, data in prober.take_outgoing()]
            if name == "g1" and recorded is not None:
                datagrams = [
                    bytes.fromhex(data) for at, speaker, data in recorded if (at, speaker) == (step, "g1")
                ]
            log += [[step, name, data.hex()] for data in datagrams]
            for data in datagrams:
                probes["g2" if name == "g1" else "g1"].receive(data, addresses[name], now)
    return probes, log


class RecordingDatagramTransport(asyncio.DatagramTransport):
    """A datagram socket that keeps what is sent."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def sendto(self, data, addr=None):
        self.sent.append(bytes(data))


class PeerMessagesPair:
    """Two gatekeepers tell each other of a tenant's requests, three seconds long; most come to the first.

    With `recorded` the datagrams of the first one are these, not what it says now. With `receives_nothing`
    no datagram arrives.
    """

    def __init__(self, recorded=None, receives_nothing=False):
        self.gateways, self.peer_messages, self.log, self.least_available = {}, {}, [], TENANT.surge
        for name in ("g1", "g2"):
            numbering = Numbering(Bounds())
            self.plan, self.line = numbering.plan_number(TENANT), numbering.service_number("ant")
            self.kind = numbering.class_number(self.line, True, 400 * MS)
            numbering.set_gateways(2)
            peers, gateway = Peers(name), Gateway(numbering.settings(), 1)
            peers.update([gateway_record("g1"), gateway_record("g2")])
            gateway.quotas.members = peers.members
            peer_messages = PeerMessages(
                peers, lambda: 7, lambda number, data, name=name: self.on_peer_message(name, number, data)
            )
            peer_messages.connection_made(RecordingDatagramTransport())
            self.gateways[name], self.peer_messages[name] = gateway, peer_messages
            gateway.handle(START, [BackendList(ListKind.DELTA, (Backend(7, 0, service=self.line),))])
        self.now, number = START, 0
        for step in range(300):
            self.now += 10 * MS
            for name in ("g1", "g2"):
                events = [TimerFired(0)]
                if step % (5 if name == "g1" else 1000) == 0:
                    number += 1
                    events.append(Request(number, name_hash(TENANT.name), self.plan, self.kind, 1500 * MS))
                self.handle(name, events)
                datagrams = [data.hex() for data in self.peer_messages[name].transport.sent]
                self.peer_messages[name].transport.sent.clear()
                if name == "g1" and recorded is not None:
                    datagrams = [data for at, speaker, data in recorded if (at, speaker) == (step, "g1")]
                self.log += [[step, name, data] for data in datagrams]
                for data in datagrams if not receives_nothing else ():
                    other = "g2" if name == "g1" else "g1"
                    self.peer_messages[other].datagram_received(bytes.fromhex(data), ("10.1.0.9", SIDING))
            if step > 100:  # what the second one would let through of the tenant's quota, at the least
                account = self.gateways["g2"].quotas.accounts[name_hash(TENANT.name)]
                self.least_available = min(self.least_available, account.available_units(self.now))

    def handle(self, name, events):
        for action in self.gateways[name].handle(self.now, events):
            if isinstance(action, SendPeerMessage):
                self.peer_messages[name].send_to_peer(action.peer, action.data)
            elif isinstance(action, Send):  # served at once
                self.handle(name, [AttemptEnded(action.request, 0, 7, Outcome.OK, MS, True)])

    def on_peer_message(self, name, number, data):
        self.handle(name, [PeerMessage(number, data)])


def settings(kind):
    """Of a core machine or a gatekeeper."""
    me = {"station": "s1" if kind == "sorting" else "g1", "role": kind, "ip": CORES[0]}
    me |= {"zone": "a", "region": "r1", "class": kind}
    boxes = {"counter": "10.0.0.1:80", "control_port": "10.0.0.1:81"}
    network = {"sidings": [SIDING, SIDING + 9], "first_contacts": [f"{CORES[0]}:81"], "zones": ZONES}
    return parse({"self": me, "network": network | {"postboxes": boxes}})


def inspection_replies():
    """What a control node and a gatekeeper answer to an operator's link: one message each."""
    state = ControlNodeSource().replicated.state
    rows = [worker("w1"), worker("w2", state=WorkerState.DRAINING)], [gateway_record("g2")]

    async def ask():
        memory = DurableState(FIRST_DISK_ID)
        memory.accepted = memory.chosen = initial_proposal(CORES[:1])
        hub = ControlNode(settings("sorting"), memory, InMemoryStore(), 1, lambda: START)
        hub.merge(*rows, START)
        program = GatewayNode(settings("counter"), None)
        program.distribution.replicated.update_state(1, state)
        program.distribution.replicated.update_records(*rows)
        links = RecordingLink("operator"), RecordingLink("operator")
        for operator_link, received in zip(
            links,
            (hub.received, DownlinkHandler(program.distribution, program.distribution.publisher).received),
            strict=True,
        ):
            received(operator_link, {"k": "show"})
        hub.close()
        return [reply for operator_link in links for reply in operator_link.take()]

    return asyncio.run(ask())


def recorded_disk(folder):
    """A core machine that has taken more than it knows as chosen; the bytes of its disk, as text."""
    disk = DiskStore(str(folder), 1)
    memory = disk.load_or_create("s1", CORES[0], CORES)
    first, _ = changes.apply(None, read_replace(body(configuration()), 0))
    value = replace(memory.chosen.value, version=1, digest=digest_of(first))
    memory.promised, memory.accepted = Ballot(3, "s1#1"), Proposal(Ballot(3, "s1#1"), value, first)
    disk.save(memory)
    disk.close()
    return base64.b64encode(zlib.compress((Path(folder) / "data.mdb").read_bytes(), 9)).decode()


def restore_disk(text, folder):
    """Writes such a disk."""
    (Path(folder) / "data.mdb").write_bytes(zlib.decompress(base64.b64decode(text)))


class FakeTransport:
    """A transport that keeps what is written."""

    def __init__(self):
        self.written, self.up = b"", True

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return not self.up

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data

    def abort(self):
        self.up = False


class LinkUser:
    """The handler of a link; keeps what it is called with."""

    def __init__(self):
        self.hellos, self.messages = [], []

    def opened(self, link, hello):
        self.hellos.append(hello)

    def received(self, link, message):
        self.messages.append(message)

    def closed(self, link):
        self.hellos.append(None)


def link(user):
    """A link that is up, without a network."""
    one = Link(user, lambda: {"station": "s1", "ip": CORES[0], "zone": "a", "class": "sorting", "life": 1})
    one.transport = FakeTransport()
    one.send({"k": "hello", "v": 1} | one.hello())
    return one
