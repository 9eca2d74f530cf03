"""GatewayProber in virtual time: gatekeepers learnt from records find deaths, cuts and returns cheaply."""

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


class Field:
    """Gatekeepers, their datagrams and faults. Each learns the records in another order."""

    def __init__(self, each, seed, loss=0.0):
        self.random, self.now, self.order, self.events, self.loss = (
            random.Random(seed),
            10**9,
            count(),
            [],
            loss,
        )
        self.gateways, self.probes, self.cuts, self.starts = {}, {}, set(), count(1)
        self.sent, self.far = 0, 0
        for index in range(each * len(REGIONS)):
            self.add(f"front-{index}", REGIONS[index % len(REGIONS)])

    def add(self, station, region):
        internal_port = f"10.0.0.{len(self.gateways) + 1}:7600"
        self.gateways[station] = GatewayRecord(
            station, region + "1", region, "10.0.0.1:80", internal_port, 1, 0, GatewayState.READY
        )
        self.start(station)
        for other in self.probes.values():
            other.update_gateways([self.gateways[station]])

    def start(self, station):
        life = 1_700_000_000_000 + 1000 * next(self.starts)
        prober = GatewayProber(
            station, self.gateways[station].region, life, self.random.randrange(10**9), self.now
        )
        rows = list(self.gateways.values())
        self.random.shuffle(rows)
        prober.update_gateways(rows)
        self.probes[station] = prober
        self.at(self.now, lambda: self.turn(station, prober))

    def at(self, when, what):
        heapq.heappush(self.events, (when, next(self.order), what))

    def turn(self, station, prober):
        if self.probes.get(station) is prober:
            prober.tick(self.now)
            self.flush(station)
            self.at(max(self.now + MS, prober.due()), lambda: self.turn(station, prober))

    def flush(self, station):
        mine = self.gateways[station]
        for where, data in self.probes[station].take_outgoing():
            assert len(data) <= MAX_DATAGRAM_BYTES
            other = next(g for g in self.gateways.values() if g.internal_address == f"{where[0]}:{where[1]}")
            self.sent += 1
            self.far += mine.region != other.region
            if frozenset((station, other.name)) in self.cuts or self.random.random() < self.loss:
                continue
            late = (1 if mine.region == other.region else 15) * MS
            self.at(self.now + late, lambda o=other.name, d=data: self.arrive(o, d, mine.internal_address))

    def arrive(self, station, data, internal_port):
        if station in self.probes:
            host, _, port = internal_port.rpartition(":")
            self.probes[station].receive(data, (host, int(port)), self.now)
            self.flush(station)

    def run(self, seconds, until=lambda: False):
        end = self.now + int(seconds * 1000) * MS
        while self.events and self.events[0][0] <= end and not until():
            self.now, _, what = heapq.heappop(self.events)
            what()
        if not until():
            self.now = end
        return until()

    def agreed(self):
        """All that run hold one view, of just them."""
        views = [prober.member.views.view for prober in self.probes.values()]
        return len({view.digest for view in views}) == 1 and len(views[0].members) == len(self.probes)

    def all_miss(self, *stations):
        return all(prober.absent_gateways() >= set(stations) for prober in self.probes.values())


@pytest.mark.parametrize(("each", "loss"), [(1, 0.0), (4, 0.0), (4, 0.05), (16, 0.0)])
def test_a_death_is_known_to_all_and_a_return_too_at_a_small_price(each, loss):
    field = Field(each, 3, loss)
    assert field.run(10, field.agreed)
    field.run(5)
    field.sent = field.far = 0
    field.run(20)
    assert not any(prober.absent_gateways() for prober in field.probes.values())
    per_s = field.sent / 20 / len(field.probes)
    assert per_s < (6 if not loss else 9) and (each == 1 or field.far < 0.5 * field.sent)
    dead = "front-1"
    del field.probes[dead]
    assert field.run(5, lambda: field.all_miss(dead))
    assert not next(iter(field.probes.values())).is_present(dead)
    assert field.run(5, field.agreed)
    field.start(dead)
    assert field.run(
        5, lambda: field.agreed() and not any(s.absent_gateways() for s in field.probes.values())
    )


def test_a_region_that_is_cut_off_is_found_from_both_sides_and_nobody_else():
    field = Field(3, 5)
    assert field.run(10, field.agreed)
    inside = {station for station, gateway in field.gateways.items() if gateway.region == "c"}
    outside = set(field.gateways) - inside
    field.cuts = {frozenset((one, other)) for one in inside for other in outside}
    sides = ((inside, outside), (outside, inside))
    assert field.run(
        12, lambda: all(field.probes[one].absent_gateways() == lost for here, lost in sides for one in here)
    )
    field.cuts.clear()
    assert field.run(8, field.agreed)


def test_a_bad_way_between_two_buries_nobody():
    field = Field(3, 6)
    assert field.run(10, field.agreed)
    field.cuts = {frozenset(("front-0", "front-3"))}  # of one region
    buried = []
    for prober in field.probes.values():
        prober.member.on_event = lambda what: buried.append(what) if what.what == "dead" else None
    field.run(30)
    assert not buried


def test_the_group_grows_and_shrinks_by_the_records():
    field = Field(2, 7)
    assert field.run(10, field.agreed)
    field.add("front-new", "b")
    assert field.run(5, field.agreed)
    gone = "front-2"
    del field.probes[gone]
    for prober in field.probes.values():
        prober.update_gateways(
            [
                GatewayRecord(
                    gone, "c1", "c", "", field.gateways[gone].internal_address, 1, 0, GatewayState.GONE
                )
            ]
        )
    assert field.run(1, field.agreed)  # no probe is needed: the records say it
    assert not any(prober.absent_gateways() for prober in field.probes.values())
    for prober in field.probes.values():
        prober.update_gateways([field.gateways[gone]])
    field.start(gone)
    assert field.run(8, field.agreed)


def test_a_stranger_and_a_garbled_word_change_nothing():
    field = Field(2, 8)
    assert field.run(10, field.agreed)
    other = field.probes["front-1"]
    other.leave(field.now)
    (to, data), *_ = other.take_outgoing()
    prober = field.probes[other.name_by_number[other.number_by_address[to]]]
    where = prober.address_by_number[prober.number_by_name["front-1"]]
    changes = prober.member.table.version
    prober.receive(data, ("10.9.9.9", 7600), field.now)
    for at in range(len(data)):
        prober.receive(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], where, field.now)
        prober.receive(data[:at], where, field.now)
    assert prober.member.table.version == changes
    prober.receive(data, where, field.now)
    assert prober.absent_gateways() == {"front-1"}


def test_the_largest_datagram_fits_and_each_reads_it_by_its_own_numbers():
    field = Field(20, 9)
    one, other = field.probes["front-0"], field.probes["front-7"]
    mine, theirs = one.codec, other.codec
    assert isinstance(mine, GatewayProbeCodec)
    rumours = [Update(n + 1, 2**32 - 1, 65535, State.DEAD, n) for n in range(mine.update_capacity(2))]
    rows = [ReachabilityRow(n, 65535, ALL_REACHABLE & ~(0b111111 << 10)) for n in (0, 1)]
    sent = Datagram(Kind.GOSSIP, 0, 7, 8, 9, 5, 3, 4, 0, 5, 6, 1, rumours, rows)
    data = mine.pack(sent)
    read = theirs.unpack(data)
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
