"""Cells among core machines in virtual time: beats, silence, doubt, repair; the directory."""

from __future__ import annotations

import itertools
from dataclasses import replace

from clusters import A, B, C, World, beat, gateway, put, whole

from pepperrun.control.changes import apply
from pepperrun.control.directory import DirectoryAnswer, HostHomeRegions, choose_gateways
from pepperrun.control.endpoint_registry import GATEWAY_GONE_NS, GATEWAY_SILENT_NS
from pepperrun.control.gateway_count import GatewayCount
from pepperrun.control.records import GatewayRecord, Worker, WorkerState

MS = 1_000_000
SECOND = 1000 * MS


def test_beats_are_known_everywhere_and_late_ones_change_nothing() -> None:
    world = World(3)
    world.cells[A].heartbeat(beat("w1", 4, cold=3 * SECOND), 0, world.now)
    world.settle()  # a new one is pushed at once
    assert world.cells[C].workers["w1"].warming_until == world.now + 3 * SECOND
    world.run(1.4)
    before = len([one for one in world.sent if one[2]["k"] == "cells"])
    world.cells[A].heartbeat(beat("w1", 5, cold=1600 * MS), 0, world.now)
    world.run(1)
    held = world.cells[A].workers["w1"]
    assert held.serial == 4 and len([one for one in world.sent if one[2]["k"] == "cells"]) == before
    assert world.cells[B].heartbeat(beat("w1", 6, "unloading"), 1, world.now) is not None
    world.cells[A].heartbeat(beat("w1", 3), 0, world.now)  # late
    world.settle()
    assert world.states("w1") == {"unloading"}
    world.cells[A].worker_ended("w1", 1, world.now)
    world.cells[B].heartbeat(beat("w1", 9), 0, world.now)
    world.settle()
    assert world.states("w1") == {"gone"}


def test_a_silent_worker_is_lost_only_to_a_majority_and_a_later_beat_undoes_it() -> None:
    world, serial = World(3), itertools.count(1)

    def hear() -> None:
        if world.now // (100 * MS) % 15 == 0:
            world.cells[B].heartbeat(beat("w1", next(serial)), 0, world.now)

    world.cells[A].heartbeat(beat("w2", 1), 0, world.now)
    world.run(5, hear)
    assert world.states("w2") == {"boarding"}
    world.part(C)
    world.run(2, hear)  # nobody has heard w2 for over 5.5 s
    assert [one.workers["w2"].state for one in world.cells.values()] == ["lost", "lost", "boarding"]
    world.run(5, hear)
    assert world.cells[C].workers["w1"].state == "boarding"  # C hears nobody, and concludes nothing
    world.join(C)
    assert world.states("w2") == {"lost"} and world.states("w1") == {"boarding"}
    world.run(3, hear)
    assert world.states("w1") == {"boarding"}
    world.cells[C].heartbeat(beat("w2", 1), 0, world.now)  # held up on its way
    world.settle()
    assert world.states("w2") == {"lost"}
    world.cells[C].heartbeat(beat("w2", 2), 0, world.now)
    world.run(1.2)  # whoever learns of it does not go by the silence before
    assert world.states("w2") == {"boarding"}


def test_who_hears_a_worker_contradicts_who_took_it_for_lost() -> None:
    world = World(3)
    for serial in (1, 2, 3):
        world.cells[A].heartbeat(beat("w1", serial), 0, world.now)
        world.run(1.5)
    lost = Worker("w1", "x", "10.9.0.1:80", "z0", "v1", 2, 1, WorkerState.LOST)
    world.cells[B].merge([lost], [], world.now)
    world.cells[A].merge([lost], [], world.now)
    world.settle()
    assert world.states("w1") == {"boarding"} and world.cells[B].workers["w1"].serial == 3


def test_unloading_and_leaving_are_acknowledged_once_enough_hold_it() -> None:
    world = World(3)
    world.cells[A].heartbeat(beat("w1", 1), 0, world.now)
    world.settle()
    world.part(B)
    token = world.cells[A].heartbeat(beat("w1", 2, "unloading"), 2, world.now)
    world.settle()
    assert token is not None and world.cells[A].waits.take_completed() == []  # one of two
    world.join(B)
    token = world.cells[A].heartbeat(beat("w1", 3, "unloading"), 2, world.now)
    world.settle()
    assert world.cells[A].waits.take_completed() == [token]
    assert world.cells[B].worker_ended("w1", 2, world.now) is not None
    world.settle()
    assert len(world.cells[B].waits.take_completed()) == 1 and world.states("w1") == {"gone"}


def test_a_worker_that_beats_to_both_sides_of_a_cut_ends_as_its_last_word_said() -> None:
    """Each beat reaches the other side; neither takes it for lost, and no word is undone."""
    world = World(3)
    world.cells[A].heartbeat(beat("w1", 1), 0, world.now)
    world.cells[A].heartbeat(beat("w2", 1), 0, world.now)
    world.settle()
    world.part(C)
    for serial in range(2, 10):  # three seconds between two beats on one side
        world.cells[C if serial % 2 else A].heartbeat(beat("w1", serial), 0, world.now)
        world.cells[A if serial % 2 else C].heartbeat(beat("w2", serial), 0, world.now)
        world.run(1.5)
        assert world.states("w1") == world.states("w2") == {"boarding"}
    assert (
        world.cells[B].heartbeat(beat("w1", 10, "unloading"), 1, world.now) is not None
    )  # the majority's side
    world.cells[C].heartbeat(beat("w2", 10, cold=3 * SECOND), 0, world.now)  # the other one's
    world.run(0.3)
    world.cells[C].heartbeat(beat("w1", 9), 0, world.now)  # late
    assert world.cells[C].workers["w1"].state == "boarding"
    world.join(C)
    world.run(1.2)
    assert world.states("w1") == {"unloading"} and world.states("w2") == {"boarding"}
    assert {cells.workers["w2"].warming_until > world.now for cells in world.cells.values()} == {True}
    assert len({cells.digests.total_digest() for cells in world.cells.values()}) == 1


def test_a_gatekeeper_that_comes_back_before_its_death_is_known_is_one_and_is_there() -> None:
    world, seats = World(3), GatewayCount()
    state, _ = apply(None, put(whole()))
    state = (state or {}) | {"seats": 2}
    row, late = gateway("g1"), []

    def tick() -> None:
        for at, one in ((A, row), (B, gateway("g2", "z1"))):
            world.cells[at].gateway_heartbeat(one, world.now)
        for old in late:
            world.cells[C].merge([], [old], world.now)  # the earlier life's, from a copy that was cut off
        for cells in world.cells.values():
            assert seats.next_operation(cells.gateways.values(), state, world.now) is None

    world.run(2, tick)
    row, late = replace(row, incarnation=2, client_address="g1:81"), [row]
    world.run(GATEWAY_SILENT_NS / SECOND + 1, tick)
    for cells in world.cells.values():
        assert {one.client_address for one in cells.ready_gateways(world.now)} == {"g1:81", "g2:80"}
        assert cells.gateways["g1"].incarnation == 2
    world.run(GATEWAY_GONE_NS / SECOND + 3, tick)  # of the silence of the life before nothing follows
    assert {one.state for cells in world.cells.values() for one in cells.gateways.values()} == {"ready"}


def test_an_address_belongs_to_its_newest_life() -> None:
    world = World(2)
    world.cells[A].heartbeat(beat("w1", 7, address="10.9.0.9:80"), 0, world.now)
    world.settle()
    world.cells[B].heartbeat(beat("w2", 1, address="10.9.0.9:80"), 0, world.now)
    world.settle()
    assert world.states("w1") == {"lost"} and world.states("w2") == {"boarding"}


def test_a_zone_taken_back_is_in_doubt_until_each_worker_speaks() -> None:
    world = World(2)
    for serial in (1, 2, 3):
        world.cells[A].heartbeat(beat("w1", serial), 0, world.now)
        world.cells[A].heartbeat(beat("w2", serial, zone="z1"), 0, world.now)
    world.settle()
    world.cells[A].mark_zone_maybe_cold(
        "z0", world.now
    )  # which hears the worker; B has not learnt yet that it is taken back
    world.run(1.2)  # and what it holds must not undo the doubt
    assert [one.workers["w1"].maybe_cold for one in world.cells.values()] == [True, True]
    assert not world.cells[A].workers["w2"].maybe_cold
    world.cells[B].heartbeat(beat("w1", 4, cold=2 * SECOND), 0, world.now)
    at = world.now
    world.run(0.1)
    sure = [one.workers["w1"] for one in world.cells.values()]
    assert [(one.maybe_cold, one.warming_until) for one in sure] == [
        (False, at + 2 * SECOND),
        (False, at + 2 * SECOND),
    ]


def test_copies_that_differ_are_mended_by_the_records_that_differ_only() -> None:
    world = World(2)
    for n in range(300):
        row = Worker(f"w{n}", "x", f"10.9.1.{n}:80", f"z{n % 2}", serial=5)
        for cells in world.cells.values():
            cells.merge([row], [], world.now)
    world.cells[A].merge(
        [Worker("w7", "x", "10.9.1.7:80", "z1", serial=6, state=WorkerState.DRAINING)], [], world.now
    )
    world.cells[B].merge([Worker("w500", "x", "10.9.2.2:80", "z0", serial=1)], [], world.now)
    world.sent.clear()
    world.run(4)
    assert world.states("w7") == {"unloading"} and world.states("w500") == {"boarding"}
    rows = sum(len(message.get("w", ())) for _, _, message in world.sent if message["k"] == "cells")
    assert rows < 100  # of 301
    assert world.cells[A].digests.total_digest() == world.cells[B].digests.total_digest()


def test_the_directory_names_near_gatekeepers_that_were_heard_lately() -> None:
    world, alive = World(2), [gateway("g1"), gateway("g2", "z1"), gateway("g3", "z2", "r1")]

    def tick() -> None:
        for row in alive:
            world.cells[A].gateway_heartbeat(row, world.now)

    world.run(2.3, tick)
    for cells in world.cells.values():
        assert {one.name for one in cells.ready_gateways(world.now)} == {"g1", "g2", "g3"}
    del alive[0]
    world.run(GATEWAY_SILENT_NS / SECOND + 0.3, tick)
    for cells in world.cells.values():  # also where its silence is known only from the other
        assert {one.name for one in cells.ready_gateways(world.now)} == {"g2", "g3"}
    alive.append(gateway("g1", serial=2, state="leaving"))
    world.run(0.2, tick)
    assert {one.name for one in world.cells[B].ready_gateways(world.now)} == {"g2", "g3"}
    del alive[2]
    world.run(GATEWAY_GONE_NS / SECOND + 3, tick)
    assert world.cells[B].gateways["g1"].state == "gone"
    alive.append(gateway("g1", serial=2))  # only cut off, as it turns out, and as before
    world.run(0.2, tick)
    assert world.cells[B].gateways["g1"].state == "ready"
    regions = {"z0": "r0", "z1": "r0", "z2": "r1"}
    several = [gateway(f"g{n}", f"z{n % 3}", regions[f"z{n % 3}"]) for n in range(90)]
    told = [choose_gateways(several, "z0", "r0", regions, seed).addresses for seed in range(40)]
    assert all(len(one) == 60 and len(set(one)) == 60 for one in told)
    assert len({one[0] for one in told}) > 10  # load spreads
    assert choose_gateways(several[2:3], "z0", "", regions, 1).addresses == [
        "g2:80"
    ]  # a far one rather than none


def test_in_a_roll_the_directory_leads_nobody_out_of_a_hosts_homes() -> None:
    """A region of two is down to one ready gatekeeper, or none, by planned work alone."""
    regions = {"z0": "r0", "z1": "r1", "z2": "r2"}
    near, home, far = (gateway(f"g{n}", f"z{n}", f"r{n}") for n in range(3))
    routes = {
        "a": {"depot": "H.example", "home_regions": ["r0", "r1"]},
        "b": {"depot": "h.example:80", "home_regions": []},
        "c": {"depot": "other.example", "home_regions": []},
    }
    homes = HostHomeRegions()

    def told(ready: list[GatewayRecord], host: str) -> DirectoryAnswer:
        return choose_gateways(ready, "z0", "r0", regions, 1, lambda: homes.of({"routes": routes}, host))

    assert told([near, home, far], "h.EXAMPLE") == DirectoryAnswer(["g0:80", "g1:80"])
    assert told([near, far], "h.example") == DirectoryAnswer(["g0:80"])
    assert told([home, far], "h.example") == DirectoryAnswer(["g1:80"])
    assert told([far], "h.example") == DirectoryAnswer(["g2:80"], is_fallback=True)
    assert set(told([near, home, far], "other.example").addresses) == {"g0:80", "g1:80", "g2:80"}


def test_beats_are_sent_on_to_a_linked_machine_of_the_workers_zone_evenly_and_stay() -> None:
    world, regions = World(4), {"z0": "r0", "z1": "r0", "z2": "r0", "z3": "r1", "z4": "r0"}
    go = world.cells[A].forward_to
    assert go("w1", "z1", "z0", regions) == B and go("w1", "z0", "z0", regions) is None
    spread = [go(f"w{n}", "z4", "z0", regions) for n in range(300)]  # its zone has none, its region three
    assert {one: spread.count(one) > 60 for one in spread} == {None: True, B: True, C: True}
    world.cells[A].disconnected(B, world.now)
    after = [go(f"w{n}", "z4", "z0", regions) for n in range(300)]
    assert B not in after and all(was in (B, now) for was, now in zip(spread, after, strict=True))


def test_a_report_that_a_closed_second_link_took_with_it_is_sent_again() -> None:
    world = World(3)
    world.cells[A].gateway_heartbeat(gateway("g1"), world.now)
    world.cut = {frozenset((A, C))}  # the link on which A's first report goes to C is being closed
    world.run(0.2)
    world.cut = set()
    assert not world.cells[C].liveness.reported_by.get(A)
    world.cells[A].link_lost(C, world.now)  # another link to C is left
    world.run(4, lambda: world.cells[A].gateway_heartbeat(gateway("g1"), world.now))
    assert [one.name for one in world.cells[C].ready_gateways(world.now)] == ["g1"]
