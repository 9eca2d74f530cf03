"""A seeded world for distribution: core machines, gatekeepers and links in virtual time, no I/O.

The core machines share what is acknowledged as an agreement would let them: one that is cut off keeps the
number that it had, and knows for how long. A checker knows when each number was acknowledged.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from itertools import count

from pepperrun.comb.records import READY, Guard, Worker
from pepperrun.foundation.netstring import Decoder
from pepperrun.waggle.book import NewsBook
from pepperrun.waggle.follower import Follower
from pepperrun.waggle.publisher import Publisher
from pepperrun.waggle.relay import relay

MS = 1_000_000
PORT = 7600


def apply(state, op):
    return {**(state or {}), **op}, "done"


class Port:
    """One end of a link; what is written comes out at the other end in order, unless the link is cut."""

    def __init__(self, world, mine, other):
        self.world, self.mine, self.other, self.name = world, mine, other, other.station
        self.peer, self.up, self.last = None, True, 0

    def write(self, frame):
        self.world.send(self, frame)

    def close(self):
        self.world.break_link(self)


class Node:
    def __init__(self, world, station, ip, zone):
        self.world, self.station, self.ip, self.zone = world, station, ip, zone
        self.alive, self.skew = True, world.random.randrange(10**6) * MS

    def clock(self):
        """Its own steady clock: another beginning on each."""
        return self.world.now + self.skew


class Skep(Node):
    """A core machine: the source of a publisher."""

    def __init__(self, world, station, ip, zone):
        super().__init__(world, station, ip, zone)
        self.book, self.known_at, self.cores = NewsBook(), None, world.cores
        self.publisher = Publisher(self, lambda due: world.at(due - self.skew, self, self.flush))
        self.book.on_agreed.append(lambda number, state, change: self.publisher.agreed(change, self.clock()))
        self.book.on_workers.append(lambda changed: self.publisher.changed(changed, self.clock()))
        self.book.on_guards.append(lambda changed: self.publisher.changed(changed, self.clock()))

    def flush(self):
        self.publisher.turn(self.clock())

    def __getattr__(self, name):  # number, state, workers, guards, sums
        return getattr(self.book, name)

    def age_ms(self, now):
        return None if self.known_at is None else (self.world.now - self.known_at) / MS

    def beat(self, guard, now):
        self.merge([], [guard], now)

    def merge(self, workers, guards, now):
        self.book.take_cells(workers, guards)

    def joined(self, port, hello):
        self.publisher.joined(port, hello, self.clock())

    def left(self, port):
        self.publisher.left(port, self.clock())

    def take(self, port, message):
        self.publisher.heard(port, message, self.clock())


class Gate(Node):
    """A gatekeeper: a follower, and a publisher for those under it."""

    def __init__(self, world, station, ip, zone, contacts):
        super().__init__(world, station, ip, zone)
        row = Guard(station, zone, world.zones[zone], f"{ip}:80", f"{ip}:{PORT}", 1, 0, READY)
        own, now = (station, zone, (ip, PORT)), self.clock()
        self.follower = Follower(own, world.zones, contacts, lambda: row, apply, now)
        self.publisher = relay(
            self.follower, lambda due: world.at(due - self.skew, self, self.flush), self.clock
        )
        self.alarm = 0
        self.book, self.up, self.dialing, self.numbers = self.follower.book, {}, set(), []
        self.book.on_agreed.append(lambda number, state, change: self.numbers.append(number))
        self.settle()

    def flush(self):
        self.publisher.turn(self.clock())

    def settle(self):
        if not self.alive:
            return
        wanted = self.follower.wanted()
        for address in [one for one in self.up if one not in wanted]:
            self.up[address].close()
        for address in wanted - self.up.keys() - self.dialing:
            self.dialing.add(address)
            self.world.dial(self, address)
        due = max(self.world.now, self.follower.due(self.clock()) - self.skew)
        if not self.alarm or due < self.alarm:
            self.alarm = due
            self.world.at(due, self, lambda: self.turn(due))

    def turn(self, due=None):
        if due is not None and due != self.alarm:
            return  # one alarm, the earliest
        self.alarm = 0
        self.follower.turn(self.clock())
        self.settle()

    def joined(self, port, hello):
        self.publisher.joined(port, hello, self.clock())

    def left(self, port):
        if port.address is None:
            self.publisher.left(port, self.clock())
        else:
            if self.up.get(port.address) is port:
                del self.up[port.address]
            self.follower.closed(port.address, port, self.clock())
            self.settle()

    def take(self, port, message):
        if port.address is None:
            self.publisher.heard(port, message, self.clock())
        else:
            self.follower.heard(port, message, self.clock())
            self.settle()


class World:
    def __init__(self, seed, zones, skeps):
        """`zones`: zone to region; `skeps`: the zones of the core machines."""
        self.random, self.now, self.order, self.events = random.Random(seed), 10**9, count(), []
        self.zones, self.cores, self.nodes, self.cuts = zones, [], {}, set()
        self.sent, self.frames, self.acked = Counter(), Counter(), {0: 0}
        for index, zone in enumerate(skeps):
            skep = Skep(self, f"core-{index}", f"10.0.0.{index}", zone)
            self.nodes[skep.ip] = skep
            self.cores.append([skep.ip, zone])
        self.skeps = list(self.nodes.values())
        self.gates = []
        self.every(50, self.agree)

    def gate(self, index, zone):
        ip = f"10.1.{index // 200}.{index % 200}"
        contacts = [(ip, PORT) for ip, _ in self.cores[:3]]
        gate = Gate(self, f"front-{index}", ip, zone, contacts)
        self.nodes[ip] = gate
        self.gates.append(gate)
        return gate

    # Time, links.

    def at(self, when, node, what):
        heapq.heappush(self.events, (max(when, self.now), next(self.order), node, what))

    def every(self, ms, what):
        def again():
            what()
            self.at(self.now + ms * MS, None, again)

        self.at(self.now, None, again)

    def run(self, ms):
        end = self.now + ms * MS
        while self.events and self.events[0][0] <= end:
            self.now, _, node, what = heapq.heappop(self.events)
            if node is None or node.alive:
                what()
        self.now = end

    def cut(self, one, other):
        return frozenset((one.ip, other.ip)) in self.cuts

    def delay(self, one, other):
        far = 1.4 if self.zones[one.zone] == self.zones[other.zone] else 12
        ms = 0.3 if one.zone == other.zone else far
        return int(ms * self.random.uniform(1, 1.5) * MS)

    def dial(self, gate, address):
        other = self.nodes.get(address[0])
        if other is None or self.cut(gate, other) or not other.alive:
            self.at(self.now + 500 * MS, gate, lambda: self.redial(gate, address))
            return
        mine, theirs = Port(self, gate, other), Port(self, other, gate)
        mine.peer, theirs.peer, mine.address, theirs.address = theirs, mine, address, None

        def open_there():
            other.joined(theirs, {"k": "hello"})

        def open_here():
            gate.dialing.discard(address)
            if address not in gate.follower.wanted():
                mine.close()
            elif mine.up:
                gate.up[address] = mine
                gate.follower.opened(address, mine, {"k": "hello", "zone": other.zone}, gate.clock())
            gate.settle()

        wait = self.delay(gate, other)
        self.at(self.now + wait, other, open_there)
        self.at(self.now + 2 * wait, gate, open_here)

    def redial(self, gate, address):
        gate.dialing.discard(address)
        gate.settle()

    def send(self, port, frame):
        if not port.up:
            return
        for message in Decoder().feed(frame):
            self.sent[message["k"]] += 1
            self.frames[port.mine.station, message["k"]] += 1
        if self.cut(port.mine, port.other) or not port.other.alive:
            return
        port.last = max(port.last, self.now + self.delay(port.mine, port.other))
        there = port.peer

        def arrive():
            for message in Decoder().feed(frame):
                if there.up and not self.cut(port.mine, port.other):
                    there.mine.take(there, message)

        self.at(port.last, port.other, arrive)

    def break_link(self, port):
        for end in (port, port.peer):
            if end.up:
                end.up = False
                if end.mine.alive and not (end is port.peer and self.cut(port.mine, port.other)):
                    self.at(self.now, end.mine, lambda end=end: end.mine.left(end))

    # What the core knows.

    def reached(self, skep):
        """The core machines that this one reaches, itself too; alive ones."""
        return [one for one in self.skeps if one.alive and (one is skep or not self.cut(one, skep))]

    def agree(self):
        """Those who reach most of the core know the newest number now, and share their cells."""
        for skep in self.skeps:
            near = self.reached(skep)
            if not skep.alive or 2 * len(near) <= len(self.skeps):
                continue
            skep.known_at = self.now
            best = max((one for one in self.skeps), key=lambda one: one.book.number)
            skep.book.take_agreed(best.book.number, best.book.state or {})
            for other in near:
                if other is not skep and other.book.sums.total != skep.book.sums.total:
                    skep.book.take_cells(list(other.book.workers.values()), list(other.book.guards.values()))

    def change(self, whole=False):
        """A majority side acknowledges another number now."""
        number = max(self.acked) + 1
        state = {"edition": number, "routes": {f"r{number}": {}}, "taken": [[number, f"d{number}"]]}
        for skep in self.skeps:
            near = self.reached(skep)
            if skep.alive and 2 * len(near) > len(self.skeps):
                change = None if whole else (number - 1, state)
                skep.book.take_agreed(number, state, change)
                skep.known_at = self.now
        self.acked[number] = self.now
        return number

    def worker(self, id, zone, serial=1, state="boarding", skep=None):
        worker = Worker(id, "line", "10.9.0.1:80", zone, "v1", 2, serial, state)
        for one in [skep] if skep else [one for one in self.skeps if one.alive]:
            one.book.take_cells([worker], [])

    def lags(self, number):
        """Gatekeepers that lack a number."""
        return [gate for gate in self.gates if gate.alive and gate.book.number < number]

    def kill(self, node):
        node.alive = False

    def check_fresh(self):
        """Nobody claims to know of all that was acknowledged before a moment and lacks some of it."""
        for gate in self.gates:
            if gate.alive and gate.book.fresh_at:
                claimed = gate.book.fresh_at - gate.skew
                newest = max(number for number, when in self.acked.items() if when <= claimed)
                assert gate.book.number >= newest, (gate.station, gate.book.number, newest)
            assert gate.numbers == sorted(set(gate.numbers))
