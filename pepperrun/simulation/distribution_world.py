"""A seeded world for distribution: core machines, gatekeepers and links in virtual time, no I/O.

The core machines share what is acknowledged as an agreement would let them: one that is cut off keeps the
number that it had, and knows for how long. A checker knows when each number was acknowledged.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Mapping
from itertools import count
from typing import Any

from pepperrun.consensus.state import Evaluation
from pepperrun.control.records import GatewayRecord, GatewayState, Worker, WorkerState
from pepperrun.distribution.follower import Follower
from pepperrun.distribution.publisher import Publisher
from pepperrun.distribution.relay import ReplicatedSource, create_publisher, create_relay
from pepperrun.distribution.replicated_state import AppliedChange, ReplicatedState
from pepperrun.foundation.netstring import Decoder, Message
from pepperrun.foundation.settings import Address

MS = 1_000_000
PORT = 7600
SAME_MS, ZONE_MS, REGION_MS = 0.3, 1.4, 12.0  # one way, within a zone, between zones, between regions
SHARE_MS = 50  # between two rounds of the core
PART = 100 * MS  # between parts of what comes in slowly


def apply(state: dict[str, Any] | None, op: dict[str, Any]) -> Evaluation:
    """Evaluate an operation, which here is what it changes."""
    return Evaluation((state or {}) | op, None)


class Port:
    """One end of a link; what is written comes out at the other end in order, unless the link is cut.

    `address`: what was dialled, None at the other end.
    """

    def __init__(self, world: World, mine: Node, other: Node, address: Address | None) -> None:
        self.world, self.mine, self.other, self.name = world, mine, other, other.station
        self.address, self.up, self.last = address, True, 0
        self.peer = self
        self.out: list[tuple[int, int]] = []  # what is on its way out: until when, how many bytes

    def unsent(self) -> int:
        """Bytes that have not gone out."""
        self.out = [one for one in self.out if one[0] > self.world.now]
        return sum(size for _, size in self.out)

    def write(self, frame: bytes) -> None:
        self.world.send(self, frame)

    def close(self) -> None:
        self.world.break_link(self)


class Node:
    """A process. `alive` False: it stands still or is gone."""

    def __init__(self, world: World, station: str, ip: str, zone: str) -> None:
        self.world, self.station, self.ip, self.zone = world, station, ip, zone
        self.alive, self.skew = True, world.random.randrange(10**6) * MS
        self.busy = 0  # until when its own link is
        self.publisher: Publisher
        self.room = 0

    def clock(self) -> int:
        """Its own steady clock: another beginning on each."""
        return self.world.now + self.skew

    def flush_at(self, due: int) -> None:
        self.world.at(due - self.skew, self, lambda: self.publisher.tick(self.clock()))

    def joined(self, port: Port) -> None:
        self.publisher.opened(port, {"k": "hello", "room": port.other.room}, self.clock())

    def left(self, port: Port) -> None:
        self.publisher.closed(port, self.clock())

    def take(self, port: Port, message: Message) -> None:
        self.publisher.received(port, message, self.clock())


class ControlNode(Node, ReplicatedSource):
    """A core machine: the source of a publisher."""

    def __init__(self, world: World, station: str, ip: str, zone: str) -> None:
        super().__init__(world, station, ip, zone)
        self.replicated = ReplicatedState()
        self.control_nodes = world.cores
        self.known_at: int | None = None
        self.publisher = create_publisher(self, self.replicated, self.flush_at, self.clock)

    def age_ms(self, now: int) -> float | None:
        return None if self.known_at is None else (self.world.now - self.known_at) / MS

    def gateway_heartbeat(self, gateway: GatewayRecord, now: int) -> None:
        self.replicated.update_records([], [gateway])

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> None:
        self.replicated.update_records(workers, gateways)


class Gate(Node):
    """A gatekeeper: a follower, and a publisher for those under it."""

    def __init__(self, world: World, station: str, ip: str, zone: str, life: int) -> None:
        super().__init__(world, station, ip, zone)
        row = GatewayRecord(
            station, zone, world.zones[zone], f"{ip}:80", f"{ip}:{PORT}", life, 0, GatewayState.READY
        )
        contacts = [(core, PORT) for core, _ in world.cores[:3]]
        self.follower = Follower(
            station, zone, PORT, world.zones, contacts, own_record=lambda: row, apply=apply, now=self.clock()
        )
        self.publisher = create_relay(self.follower, self.flush_at, self.clock)
        self.replicated = self.follower.replicated
        self.alarm = 0
        self.up: dict[Address, Port] = {}
        self.dialing: set[Address] = set()
        self.numbers: list[int] = []
        self.replicated.on_state.append(lambda number, state, change: self.numbers.append(number))
        self.settle()

    def settle(self) -> None:
        """Links as they are wanted, and one alarm."""
        if not self.alive:
            return
        wanted = self.follower.wanted()
        for address in [one for one in self.up if one not in wanted]:
            self.up[address].close()
        for address in wanted - self.up.keys() - self.dialing:
            self.dialing.add(address)
            self.world.dial(self, address)
        due = max(self.world.now, self.follower.next_tick_at(self.clock()) - self.skew)
        if not self.alarm or due < self.alarm:
            self.alarm = due
            self.world.at(due, self, lambda: self.turn(due))

    def turn(self, due: int) -> None:
        if due == self.alarm:  # else it was set anew
            self.wake()

    def wake(self) -> None:
        """Its turn now; after a standstill too."""
        self.alarm = 0
        self.follower.tick(self.clock())
        self.settle()

    def opened(self, address: Address, port: Port) -> None:
        """What was dialled is up, unless it ended or is not wanted any more."""
        self.dialing.discard(address)
        if address not in self.follower.wanted():
            port.close()
        elif port.up:
            self.up[address] = port
            self.follower.opened(address, port, {"k": "hello", "zone": port.other.zone}, self.clock())
        self.settle()

    def left(self, port: Port) -> None:
        if port.address is None:
            super().left(port)
            return
        if self.up.get(port.address) is port:
            del self.up[port.address]
        self.follower.closed(port.address, port, self.clock())
        self.settle()

    def take(self, port: Port, message: Message) -> None:
        if port.address is None:
            super().take(port, message)
        else:
            self.follower.received(port, message, self.clock())
            self.settle()

    def age_ms(self) -> float:
        """How old its news is; never: endlessly."""
        age = self.replicated.age_ms(self.clock())
        return float("inf") if age is None else age


class World:
    """`zones`: zone to region; `control_nodes`: the zones of the core machines."""

    def __init__(self, seed: int, zones: Mapping[str, str], control_nodes: list[str]) -> None:
        self.random, self.now, self.order = random.Random(seed), 10**9, count()
        self.events: list[tuple[int, int, Node | None, Callable[[], object]]] = []
        self.zones = zones
        self.cores: list[list[str]] = []
        self.nodes: dict[str, Node] = {}  # by ip
        self.cuts: set[frozenset[str]] = set()  # pairs of ips
        self.rate = 0.0  # bytes a ms that one machine can send; 0: as many as come
        self.padding: dict[str, Any] = {}  # routes that are in each configuration, for its length
        self.sent: Counter[str] = Counter()  # messages, by kind
        self.frames: Counter[tuple[str, str]] = Counter()  # by sender and kind
        self.acked = {0: 0}  # when each number was acknowledged
        self.control_nodes: list[ControlNode] = []
        self.gates: list[Gate] = []
        for index, zone in enumerate(control_nodes):
            control_node = ControlNode(self, f"core-{index}", f"10.0.0.{index}", zone)
            self.nodes[control_node.ip] = control_node
            self.control_nodes.append(control_node)
            self.cores.append([control_node.ip, zone])
        self._share()

    def gate(self, index: int, zone: str) -> Gate:
        """Another gatekeeper starts."""
        gate = Gate(self, f"front-{index}", f"10.1.{index // 200}.{index % 200}", zone, 1)
        self.nodes[gate.ip] = gate
        self.gates.append(gate)
        return gate

    def restart(self, gate: Gate, life: int) -> Gate:
        """Its process ends and the next one starts; by its clock this may be an earlier life."""
        gate.alive = False
        for port in [*gate.up.values(), *gate.publisher.peers]:
            port.close()
        new = Gate(self, gate.station, gate.ip, gate.zone, life)
        self.nodes[gate.ip] = new
        self.gates[self.gates.index(gate)] = new
        return new

    # Time and links.

    def at(self, when: int, node: Node | None, what: Callable[[], object]) -> None:
        """Does something then, if that process runs."""
        heapq.heappush(self.events, (max(when, self.now), next(self.order), node, what))

    def run(self, ms: float) -> None:
        """Goes on for so long."""
        end = self.now + int(ms * MS)
        while self.events and self.events[0][0] <= end:
            self.now, _, node, what = heapq.heappop(self.events)
            if node is None or node.alive:
                what()
        self.now = end

    def cut(self, one: Node, other: Node) -> bool:
        """Does nothing go between them?"""
        return frozenset((one.ip, other.ip)) in self.cuts

    def cut_off(self, one: Node, others: list[Node]) -> None:
        """From now on nothing does."""
        self.cuts |= {frozenset((one.ip, other.ip)) for other in others if other is not one}

    def _delay(self, one: Node, other: Node) -> int:
        far = ZONE_MS if self.zones[one.zone] == self.zones[other.zone] else REGION_MS
        return int((SAME_MS if one.zone == other.zone else far) * self.random.uniform(1, 1.5) * MS)

    def dial(self, gate: Gate, address: Address) -> None:
        """A link comes up, or is tried again by whoever still wants it."""
        other = self.nodes.get(address[0])
        if other is None or self.cut(gate, other) or not other.alive:

            def again() -> None:
                gate.dialing.discard(address)
                gate.settle()

            self.at(self.now + 500 * MS, gate, again)
            return
        mine, theirs = Port(self, gate, other, address), Port(self, other, gate, None)
        mine.peer, theirs.peer = theirs, mine
        wait = self._delay(gate, other)
        self.at(self.now + wait, other, lambda: other.joined(theirs))
        self.at(self.now + 2 * wait, gate, lambda: gate.opened(address, mine))

    def send(self, port: Port, frame: bytes) -> None:
        """What is written while a link is cut, or to who stands still, is lost."""
        if not port.up:
            return
        for message in Decoder().feed(frame):
            self.sent[message["k"]] += 1
            self.frames[port.mine.station, message["k"]] += 1
        if self.cut(port.mine, port.other) or not port.other.alive:
            return
        there, one = port.peer, port.mine
        begun = max(self.now, one.busy)
        one.busy = begun + (int(len(frame) / self.rate * MS) if self.rate else 0)
        delay = self._delay(one, port.other)
        port.last = max(port.last, one.busy + delay)
        if self.rate:
            port.out.append((one.busy, len(frame)))
            for part in range(begun + delay + PART, port.last, PART):
                self.at(part, port.other, lambda: self._stir(there))

        def arrive() -> None:
            for message in Decoder().feed(frame):
                if there.up and not self.cut(port.mine, port.other):
                    there.mine.take(there, message)

        self.at(port.last, port.other, arrive)

    def _stir(self, port: Port) -> None:
        """A part of a long frame has come in there."""
        if port.up and isinstance(port.mine, Gate) and port.address is not None:
            port.mine.follower.partial_message(port, port.mine.clock())

    def break_link(self, port: Port) -> None:
        """It ends at both ends; the other one does not learn of it across a cut."""
        for end in (port, port.peer):
            if end.up:
                end.up = False
                if end.mine.alive and (end is port or not self.cut(port.mine, port.other)):
                    self.at(self.now, end.mine, lambda end=end: end.mine.left(end))  # type: ignore[misc]

    # What the core knows.

    def reached(self, control_node: ControlNode) -> list[ControlNode]:
        """The core machines that this one reaches, itself too, of those that run."""
        return [
            one
            for one in self.control_nodes
            if one.alive and (one is control_node or not self.cut(one, control_node))
        ]

    def majority(self, control_node: ControlNode) -> bool:
        """Is it one of those that can acknowledge?"""
        return control_node.alive and 2 * len(self.reached(control_node)) > len(self.control_nodes)

    def _share(self) -> None:
        """Those who reach most of the core know the newest number now, and share their cells."""
        for control_node in filter(self.majority, self.control_nodes):
            control_node.known_at = self.now
            best = max(self.control_nodes, key=lambda one: one.replicated.version)
            control_node.replicated.update_state(best.replicated.version, best.replicated.state or {})
            for other in self.reached(control_node):
                if other.replicated.digests.total != control_node.replicated.digests.total:
                    control_node.replicated.update_records(
                        list(other.replicated.workers.values()), list(other.replicated.gateways.values())
                    )
        self.at(self.now + SHARE_MS * MS, None, self._share)

    def change(self, whole: bool = False) -> int:
        """The side with a majority acknowledges another number now."""
        number = max(self.acked) + 1
        routes = self.padding | {f"r{number}": {}}
        state = {"edition": number, "routes": routes, "taken": [[number, f"d{number}"]]}
        for control_node in filter(self.majority, self.control_nodes):
            control_node.replicated.update_state(
                number, state, None if whole else AppliedChange(number - 1, state)
            )
            control_node.known_at = self.now
        self.acked[number] = self.now
        return number

    def worker(
        self,
        id: str,
        zone: str,
        serial: int = 1,
        state: WorkerState = WorkerState.SERVING,
        at: ControlNode | None = None,
    ) -> None:
        """A beat; at one core machine, or at all."""
        worker = Worker(id, "line", "10.9.0.1:80", zone, "v1", 2, serial, state)
        for one in [at] if at else [one for one in self.control_nodes if one.alive]:
            one.replicated.update_records([worker], [])

    def lags(self, number: int) -> list[Gate]:
        """Gatekeepers that lack a number."""
        return [gate for gate in self.gates if gate.alive and gate.replicated.version < number]

    def stop(self, node: Node, ms: float = 0) -> None:
        """It stands still for so long, 0 for ever; what comes meanwhile is lost."""
        node.alive = False
        if ms:
            self.at(self.now + int(ms * MS), None, lambda: self.wake(node))

    def wake(self, node: Node) -> None:
        """It goes on, unless another process has taken its place."""
        if not node.alive and self.nodes[node.ip] is node:
            node.alive = True
            if isinstance(node, Gate):
                node.wake()

    def check(self) -> None:
        """Nobody claims to know of all acknowledged before a moment and lacks some; no number goes back."""
        for gate in self.gates:
            if gate.alive and gate.replicated.confirmed_at:
                claimed = gate.replicated.confirmed_at - gate.skew
                newest = max(number for number, when in self.acked.items() if when <= claimed)
                assert gate.replicated.version >= newest, (gate.station, gate.replicated.version, newest)
            assert gate.numbers == sorted(set(gate.numbers)), gate.station
