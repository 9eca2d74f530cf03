"""Files that an earlier build wrote are read, served and upgraded by this one.

`recorded/landing-8` was written by the build of commit 15347d6: the disk of a control node after 101
configurations and an evacuation, with a value accepted and not yet chosen and a later promise; a gatekeeper's
state as it is handed to the next process; a capture.
"""

from __future__ import annotations

import json
import zlib
from pathlib import Path

import pytest
from helpers import FREE, RATE, Driver, Outcome, Send, only

from pepperrun.capture.format import decode_capture
from pepperrun.consensus.register import ChangeResult
from pepperrun.consensus.replica import Replica
from pepperrun.consensus.state import Ballot
from pepperrun.control import order_deduplication
from pepperrun.control.changes import apply, encode_configuration
from pepperrun.control.order_codec import read_amend
from pepperrun.control.order_deduplication import RECENT_ORDERS, SeenOrder
from pepperrun.handover import state as handover_state
from pepperrun.handover import wire as handover_wire
from pepperrun.storage import records
from pepperrun.storage.store import DATA_FILE, DiskStore

RECORDED = Path(__file__).resolve().parent / "recorded" / "landing-8"
NODES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
ZONES = {"z0": "r0", "z1": "r1"}
EDITION = 101
SECOND = 1_000_000_000


@pytest.fixture
def disk_folder(tmp_path: Path) -> Path:
    """The recorded disk of the first control node."""
    content = (RECORDED / "control-disk.mdb.zlib").read_bytes()
    (tmp_path / DATA_FILE).write_bytes(zlib.decompress(content))
    return tmp_path


def limits(edition: int, dwell_ms: int, on: int) -> dict[str, object]:
    """An order that the recorded build was given, or a new one."""
    return read_amend(json.dumps({"edition": edition, "limits": {"dwell_ms": dwell_ms}}).encode(), on)


def test_a_disk_is_opened_with_its_promise_its_proposals_and_one_start_more(disk_folder: Path) -> None:
    state = DiskStore(str(disk_folder), 4).load_or_create("s1", NODES[0], [])
    assert (state.disk_id, state.starts) == ("first", 2)
    assert state.promised == Ballot(44, "10.0.0.2/first/1")
    assert state.accepted is not None and state.chosen is not None
    assert state.accepted.ballot == Ballot(41, "10.0.0.3/first/2")
    assert (state.chosen.ballot.round, state.chosen.value.version) == (40, EDITION + 1)
    assert encode_configuration(state.chosen.body)["edition"] == EDITION
    assert state.chosen.body["evacuated"] == ["z1"]
    assert state.accepted.body["edition"] == EDITION + 1


def test_orders_of_the_recorded_build_are_repeats(disk_folder: Path) -> None:
    state = DiskStore(str(disk_folder), 4).load_or_create("s1", NODES[0], [])
    assert state.chosen is not None
    body = state.chosen.body
    for edition in (2, 30, EDITION - RECENT_ORDERS, EDITION):
        again = limits(edition, 9000 + edition, edition - 1)
        assert order_deduplication.lookup(body, again) is SeenOrder.APPLIED
        assert apply(body, again).verdict.status == 200
    rival = limits(30, 1, 29)
    assert order_deduplication.lookup(body, rival) is SeenOrder.NOT_APPLIED
    assert apply(body, rival).verdict.status == 412


def test_a_node_on_the_recorded_disk_serves_and_saves_what_is_read_again(disk_folder: Path) -> None:
    replicas = {}
    stores = {}
    for number, ip in enumerate(NODES):
        folder = disk_folder if ip == NODES[0] else disk_folder / ip  # the others begin on empty disks
        stores[ip] = DiskStore(str(folder), 4)
        state = stores[ip].load_or_create(ip, ip, NODES)
        replicas[ip] = Replica(
            ip, state, stores[ip], apply, zone="z0", regions=ZONES, max_voters=3, seed=number, now=0
        )
    for ip, replica in replicas.items():
        for other in NODES:
            if other != ip:
                replica.connected(other, "z0", 0)
    results: list[ChangeResult] = []
    token = None
    for now in range(0, 4 * SECOND, SECOND // 100):
        for ip, replica in replicas.items():
            if now >= replica.next_tick_at():
                replica.tick(now)
            for to, message in replica.take_messages():
                replicas[to].receive(ip, json.loads(json.dumps(message)), now)
        if now == SECOND:  # what was accepted before is chosen by now
            token = replicas[NODES[0]].propose(limits(200, 5, EDITION + 1), now)
        results += replicas[NODES[0]].take_results()
    assert [(result.token, result.verdict.status) for result in results] == [(token, 200)]
    assert all(replica.body["edition"] == 200 for replica in replicas.values())
    stores[NODES[0]].close()
    again = DiskStore(str(disk_folder), 4).load_or_create("s1", NODES[0], [])
    assert again.starts == 3 and again.chosen is not None
    assert again.chosen.body["edition"] in (EDITION, EDITION + 1, 200)
    assert again.accepted is not None and again.accepted.body["edition"] == 200


def test_the_recorded_disk_has_no_problem_by_the_tools(disk_folder: Path) -> None:
    from pepperrun.operator.state import raw_records

    assert records.find_problems(raw_records(disk_folder)) == []


def test_a_handed_over_state_is_taken_over_with_what_was_spent() -> None:
    driver = Driver(seed=9)
    driver.now = int((RECORDED / "handover-now.txt").read_text())
    table = handover_wire.unpack((RECORDED / "handover-state.bin").read_bytes())
    handover_state.restore(driver.gateway, table, driver.now)
    fresh = Driver(seed=9, start=driver.now)

    def sent(one: Driver) -> int:
        count = 0
        for _ in range(30):
            for send in only(one.ask(plan=RATE, customer=1), Send):
                count += 1
                one.end(send, Outcome.OK)
        return count

    assert 0 < sent(driver) < sent(fresh)
    assert only(driver.ask(plan=FREE, customer=9), Send)


def test_a_recorded_capture_is_read_complete() -> None:
    capture = decode_capture((RECORDED / "day.prcap").read_bytes())
    assert capture.complete and not capture.remarks and len(capture.entries) == 25
