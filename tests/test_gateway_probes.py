"""GatewayProber in virtual time: groups learned from records detect deaths, partitions and returns."""

import heapq
import random
from itertools import count

import pytest

from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.membership.gateway_probe_wire import ALL_REACHABLE, GatewayProbeCodec
from pepperrun.membership.gateway_prober import GatewayProber
from pepperrun.membership.wire import MAX_DATAGRAM_BYTES, Datagram, Kind, ReachabilityRow, State, Update

MS = 1_000_000
REGIONS = ("a", "b", "c")


class SimulatedGroup:
    """Simulated gatekeepers with their network and its faults. Each gets the records in another order."""

    def __init__(self, per_region, seed, loss=0.0):
        self.random, self.now, self.order, self.events, self.loss = (
            random.Random(seed),
            10**9,
            count(),
            [],
            loss,
        )
        self.gateways, self.probes, self.cuts, self.starts = {}, {}, set(), count(1)
        self.sent, self.cross_region = 0, 0
        for index in range(per_region * len(REGIONS)):
            self.add(f"front-{index}", REGIONS[index % len(REGIONS)])

    def add(self, name, region):
        internal_port = f"10.0.0.{len(self.gateways) + 1}:7600"
        self.gateways[name] = GatewayRecord(
            name, region + "1", region, "10.0.0.1:80", internal_port, 1, 0, GatewayState.READY
        )
        self.start(name)
        for other in self.probes.values():
            other.update_gateways([self.gateways[name]])

    def start(self, name):
        generation = 1_700_000_000_000 + 1000 * next(self.starts)
        prober = GatewayProber(
            name, self.gateways[name].region, generation, self.random.randrange(10**9), self.now
        )
        rows = list(self.gateways.values())
        self.random.shuffle(rows)
        prober.update_gateways(rows)
        self.probes[name] = prober
        self.schedule(self.now, lambda: self.run_due(name, prober))

    def schedule(self, when, what):
        heapq.heappush(self.events, (when, next(self.order), what))

    def run_due(self, name, prober):
        if self.probes.get(name) is prober:
            prober.tick(self.now)
            self.flush(name)
            self.schedule(max(self.now + MS, prober.due()), lambda: self.run_due(name, prober))

    def flush(self, name):
        own = self.gateways[name]
        for address, data in self.probes[name].take_outgoing():
            assert len(data) <= MAX_DATAGRAM_BYTES
            other = next(
                g for g in self.gateways.values() if g.internal_address == f"{address[0]}:{address[1]}"
            )
            self.sent += 1
            self.cross_region += own.region != other.region
            if frozenset((name, other.name)) in self.cuts or self.random.random() < self.loss:
                continue
            delay = (1 if own.region == other.region else 15) * MS
            self.schedule(
                self.now + delay, lambda o=other.name, d=data: self.arrive(o, d, own.internal_address)
            )

    def arrive(self, name, data, internal_port):
        if name in self.probes:
            host, _, port = internal_port.rpartition(":")
            self.probes[name].receive(data, (host, int(port)), self.now)
            self.flush(name)

    def run(self, seconds, until=lambda: False):
        end = self.now + int(seconds * 1000) * MS
        while self.events and self.events[0][0] <= end and not until():
            self.now, _, what = heapq.heappop(self.events)
            what()
        if not until():
            self.now = end
        return until()

    def agreed(self):
        """Whether all running gatekeepers hold one view, of exactly themselves."""
        views = [prober.member.views.view for prober in self.probes.values()]
        return len({view.digest for view in views}) == 1 and len(views[0].members) == len(self.probes)

    def all_find_absent(self, *stations):
        return all(prober.absent_gateways() >= set(stations) for prober in self.probes.values())


@pytest.mark.parametrize(("per_region", "loss"), [(1, 0.0), (4, 0.0), (4, 0.05), (16, 0.0)])
def test_all_gatekeepers_detect_a_death_and_a_return_with_few_datagrams(per_region, loss):
    group = SimulatedGroup(per_region, 3, loss)
    assert group.run(10, group.agreed)
    group.run(5)
    group.sent = group.cross_region = 0
    group.run(20)
    assert not any(prober.absent_gateways() for prober in group.probes.values())
    per_s = group.sent / 20 / len(group.probes)
    assert per_s < (6 if not loss else 9) and (per_region == 1 or group.cross_region < 0.5 * group.sent)
    dead = "front-1"
    del group.probes[dead]
    assert group.run(5, lambda: group.all_find_absent(dead))
    assert not next(iter(group.probes.values())).is_present(dead)
    assert group.run(5, group.agreed)
    group.start(dead)
    assert group.run(
        5, lambda: group.agreed() and not any(s.absent_gateways() for s in group.probes.values())
    )


def test_a_partitioned_region_is_detected_from_both_sides_and_nobody_else_is():
    group = SimulatedGroup(3, 5)
    assert group.run(10, group.agreed)
    inside = {name for name, gateway in group.gateways.items() if gateway.region == "c"}
    outside = set(group.gateways) - inside
    group.cuts = {frozenset((one, other)) for one in inside for other in outside}
    sides = ((inside, outside), (outside, inside))
    assert group.run(
        12, lambda: all(group.probes[one].absent_gateways() == lost for here, lost in sides for one in here)
    )
    group.cuts.clear()
    assert group.run(8, group.agreed)


def test_a_broken_link_between_two_declares_nobody_dead():
    group = SimulatedGroup(3, 6)
    assert group.run(10, group.agreed)
    group.cuts = {frozenset(("front-0", "front-3"))}  # both in one region
    declared_dead = []
    for prober in group.probes.values():
        prober.member.on_event = lambda what: declared_dead.append(what) if what.what == "dead" else None
    group.run(30)
    assert not declared_dead


def test_the_group_follows_the_gatekeeper_records():
    group = SimulatedGroup(2, 7)
    assert group.run(10, group.agreed)
    group.add("front-new", "b")
    assert group.run(5, group.agreed)
    removed = "front-2"
    del group.probes[removed]
    for prober in group.probes.values():
        prober.update_gateways(
            [
                GatewayRecord(
                    removed, "c1", "c", "", group.gateways[removed].internal_address, 1, 0, GatewayState.GONE
                )
            ]
        )
    assert group.run(1, group.agreed)  # the record is enough: no probe has to fail first
    assert not any(prober.absent_gateways() for prober in group.probes.values())
    for prober in group.probes.values():
        prober.update_gateways([group.gateways[removed]])
    group.start(removed)
    assert group.run(8, group.agreed)


def test_unknown_senders_and_corrupt_datagrams_change_nothing():
    group = SimulatedGroup(2, 8)
    assert group.run(10, group.agreed)
    other = group.probes["front-1"]
    other.leave(group.now)
    (to, data), *_ = other.take_outgoing()
    prober = group.probes[other.name_by_number[other.number_by_address[to]]]
    address = prober.address_by_number[prober.number_by_name["front-1"]]
    changes = prober.member.table.version
    prober.receive(data, ("10.9.9.9", 7600), group.now)
    for at in range(len(data)):
        prober.receive(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], address, group.now)
        prober.receive(data[:at], address, group.now)
    assert prober.member.table.version == changes
    prober.receive(data, address, group.now)
    assert prober.absent_gateways() == {"front-1"}


def test_the_largest_datagram_fits_and_is_decoded_with_the_receivers_numbers():
    group = SimulatedGroup(20, 9)
    one, other = group.probes["front-0"], group.probes["front-7"]
    own_codec, other_codec = one.codec, other.codec
    assert isinstance(own_codec, GatewayProbeCodec)
    updates = [Update(n + 1, 2**32 - 1, 65535, State.DEAD, n) for n in range(own_codec.update_capacity(2))]
    rows = [ReachabilityRow(n, 65535, ALL_REACHABLE & ~(0b111111 << 10)) for n in (0, 1)]
    sent = Datagram(Kind.GOSSIP, 0, 7, 8, 9, 5, 3, 4, 0, 5, 6, 1, updates, rows)
    data = own_codec.pack(sent)
    read = other_codec.unpack(data)
    assert (
        len(data) <= MAX_DATAGRAM_BYTES
        and read is not None
        and read.sender == other.number_by_name["front-0"]
    )

    def names(prober, datagram):
        missed = [
            {prober.name_by_number[m] for m in prober.name_by_number if not row.bitmap >> m & 1}
            for row in datagram.rows
        ]
        return (
            [prober.name_by_number[r.member] for r in datagram.updates],
            missed,
            prober.name_by_number[datagram.subject],
        )

    assert names(one, sent) == names(other, read)
