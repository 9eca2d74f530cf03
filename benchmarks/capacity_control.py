"""Processor time and bytes of each step of the control side, by the size of what it works on.

    python3 benchmarks/capacity_control.py [--sizes 1000 3000 10000] [--only NAME ...]

Steps of a core machine and of a gatekeeper, on the real parts without sockets: microseconds of a whole
processor of the machine it runs on, so compare ratios. `sizes` are workers (tick, beat, vouch), routes or
tenants (change, disk) and gatekeepers (keepers).
"""

from __future__ import annotations

import argparse
import gc
import json
import tempfile
import time
from collections.abc import Callable
from typing import Any

from capacity_common import (
    best_ms,
    each_us,
    gateway_rows,
    in_child,
    law,
    routes,
    services,
    state,
    tenants,
    worker_rows,
)

from pepperrun.consensus.canonical_json import CachedJsonEncoder
from pepperrun.consensus.state import INITIAL_BALLOT, Incarnation, Proposal, Value, digest_of
from pepperrun.control import changes
from pepperrun.control.endpoint_registry import EndpointRegistry, WorkerHeartbeat
from pepperrun.control.handlers import read_heartbeat
from pepperrun.control.liveness_reports import LivenessReports
from pepperrun.control.order_codec import read_amend
from pepperrun.control.peer_messages import LivenessReport, encode_report
from pepperrun.control.records import GatewayRecord, Worker, WorkerState
from pepperrun.control.table_codec import encode_table
from pepperrun.dataplane.numbering import Numbering
from pepperrun.dataplane.routes import RoutingTable
from pepperrun.distribution import repair
from pepperrun.distribution.publisher import Publisher, state_checksum
from pepperrun.distribution.replicated_state import ReplicatedState
from pepperrun.foundation.netstring import Decoder, encode, wire_length
from pepperrun.foundation.settings import Bounds
from pepperrun.storage.store import DiskStore

SECOND = 1_000_000_000
Row = dict[str, float]


class Port:
    """A link that only counts."""

    name = "gate"

    def __init__(self) -> None:
        self.sent = 0

    def write(self, frame: bytes) -> None:
        self.sent += len(frame)

    def unsent(self) -> int:
        return 0

    def close(self) -> None:
        pass


class Source(ReplicatedState):
    """A replicated state that a publisher serves."""

    def gateway_heartbeat(self, gateway: GatewayRecord, now: int) -> None:
        self.update_records([], [gateway])

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> None:
        self.update_records(workers, gateways)


def tick_costs(size: int) -> Row:
    """One tick and its tock, at the core machine, with so many records; the answer to one `ask`."""
    source, port = Source(), Port()
    repair.handle(source, source.merge, {"k": "cells", "w": worker_rows(size)}, 1)
    source.update_state(1, state(10, 10))
    source.confirmed_at = 1
    publisher = Publisher(source, lambda due: None)
    publisher.opened(port, {"room": 0}, 1)
    first_tick = {"k": "tick", "t": 1, "n": 1, "g": gateway_rows(1)[0]}
    publisher.received(port, first_tick, 1)
    frame, decoder = encode({"k": "tick", "t": time.monotonic_ns(), "n": 1}), Decoder()
    port.sent = 0
    publisher.received(port, decoder.feed(frame)[0], SECOND)
    bytes_tock = port.sent
    asked = repair.request(source)
    return {
        "core_tick_us": each_us(lambda: publisher.received(port, decoder.feed(frame)[0], SECOND)),
        "tick_bytes": len(frame),
        "tock_bytes": bytes_tock,
        "ask_bytes": len(encode(asked)),
        "ask_answered_us": each_us(lambda: repair.handle(source, source.merge, asked, SECOND), 200),
        "row_bytes": len(json.dumps(worker_rows(1)[0], separators=(",", ":"))) + 1,
    }


def beat_costs(size: int) -> Row:
    """One beat that changes nothing, one that does, and the second's look at everybody."""
    cells = EndpointRegistry("10.9.0.1", 1500, 0)
    cells.connected("10.9.0.2", "zone-1", 0)
    cells.quorum_changed(has_quorum=True, now=0)
    rows = worker_rows(size)
    for id, line, address, zone, edition, berths, *_ in rows:
        cells.heartbeat(
            WorkerHeartbeat(id, line, address, zone, edition, berths, WorkerState.SERVING, 0, 1), None, SECOND
        )
    cells.take_messages(SECOND), cells.take_changed()
    id, line, address, zone, edition, berths, *_ = rows[0]
    notice = {"line": line, "zone": zone, "edition": edition, "berths": berths}
    body = json.dumps(
        {"address": address, "notice": notice, "tracking": {"state": "boarding", "serial": 2}}
    ).encode()
    regions = {f"zone-{at}": f"region-{at // 3}" for at in range(59)}
    cells.peers = {f"10.9.0.{at}": f"zone-{at}" for at in range(32)}

    def beat() -> None:
        cells.heartbeat(read_heartbeat(id, body), None, SECOND)
        cells.other_preferred_node(id, zone, "zone-0", regions)

    now = [SECOND]

    def look() -> None:
        now[0] += SECOND
        for one in cells.liveness.seen_at:
            cells.liveness.seen_at[one] = now[0]
        cells.tick(now[0])

    looked = best_ms(look)
    marking = best_ms(
        lambda: [cells.liveness.seen_at.__setitem__(one, now[0]) for one in cells.liveness.seen_at]
    )
    return {"beat_us": each_us(beat), "look_ms": max(0.0, looked - marking)}


def vouch_costs(size: int) -> Row:
    """Another core machine's word, each second, on the workers that it hears; all of them on a new link."""
    vouching = LivenessReports(2 * SECOND, 0)
    ids = ["w:" + row[0] for row in worker_rows(size)]
    vouching.on_report("10.9.0.2", LivenessReport(added=ids), SECOND)
    other = LivenessReports(2 * SECOND, 0)
    for id in ids:
        other.record_heartbeat(id, SECOND)
    nothing = LivenessReport()
    return {
        "vouch_ms": best_ms(lambda: vouching.on_report("10.9.0.2", nothing, SECOND)),
        "vouch_round_ms": best_ms(lambda: other.periodic_report(SECOND)),
        "vouch_all_bytes": len(encode(encode_report(other.full_report(SECOND)))),
    }


def change_costs(size: int, kind: str) -> Row:
    """A change of one route on top of so many routes or tenants: at voters, and at each gatekeeper."""
    items = {"routes": routes(size if kind == "routes" else 10), "carrier_lines": services()}
    items |= {"senders": tenants(size if kind == "senders" else 0)}
    held: dict[str, Any] = {"edition": 1, **items, "limits": {}, "evacuated": [], "taken": [[1, "digest"]]}
    name = next(iter(held[kind]))
    item = dict(held[kind][name], precedence=3)
    amend = {"edition": 2, "upsert": {kind: encode_table({name: item})}}
    op = read_amend(json.dumps(amend).encode(), 1)
    new, verdict = changes.apply(held, op)
    assert new is not None, verdict
    digest_of(held)
    numbering = Numbering(Bounds())
    before = RoutingTable(1, held, numbering, None)
    numbering.settings()

    def taken() -> None:
        RoutingTable(2, new, numbering, before)

    texts = CachedJsonEncoder(sort_keys=True)
    gc.collect()
    whole_ms = best_ms(lambda: texts.encode(held), 1)
    gc.collect()
    frame = encode({"k": "change", "base": 1, "n": 2, "op": op, "seal": state_checksum(new)})
    body = len(json.dumps(held, separators=(",", ":")))
    return {
        "apply_ms": best_ms(lambda: changes.apply(held, op)),
        "digest_ms": best_ms(lambda: (digest_of(new), digest_of(held))) / 2,
        "digest_whole_ms": whole_ms,
        "table_ms": best_ms(taken),
        "plans_ms": best_ms(numbering.settings),
        "change_bytes": len(frame),
        "body_bytes": body,
        "body_deflated": wire_length(encode({"k": "agreed", "n": 2, "state": new}))
        if body < 7_000_000
        else 0,
    }


def disk_costs(size: int, kind: str) -> Row:
    """A voter saves a change of one item: processor and wall time, bytes that the disk takes."""
    held = {
        "routes": routes(size if kind == "routes" else 10),
        "senders": tenants(size if kind == "senders" else 0),
    }
    voters = (Incarnation("10.9.0.1", "first"),)
    with tempfile.TemporaryDirectory() as folder:
        disk = DiskStore(folder)
        memory = disk.load_or_create("core", "10.9.0.1", ["10.9.0.1"])
        took, wall = [], []
        for number in range(1, 6):
            held = held | {"routes": held["routes"] | {"new": {"name": "new", "line": f"service{number}"}}}
            value = Value(number, voters, (), "10.9.0.1", digest_of(held))
            memory.accepted = memory.chosen = Proposal(INITIAL_BALLOT, value, held)
            began, began_wall = time.process_time(), time.monotonic()
            disk.save(memory)
            took.append((time.process_time() - began) * 1000)
            wall.append((time.monotonic() - began_wall) * 1000)
        disk.close()
    return {"save_cpu_ms": min(took), "save_wall_ms": min(wall)}


MEASURES: dict[str, list[tuple[str, Callable[[int], Row]]]] = {
    "tick": [("tick by workers", tick_costs)],
    "beat": [("beat by workers", beat_costs)],
    "vouch": [("vouch by workers", vouch_costs)],
    "change": [
        ("change by routes", lambda size: change_costs(size, "routes")),
        ("change by tenants", lambda size: change_costs(size, "senders")),
    ],
    "disk": [
        ("disk by routes", lambda size: disk_costs(size, "routes")),
        ("disk by tenants", lambda size: disk_costs(size, "senders")),
    ],
}


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=[1000, 3000, 10000])
    parser.add_argument("--only", nargs="+", choices=list(MEASURES), default=list(MEASURES))
    given = parser.parse_args()
    for group in given.only:
        for title, measure in MEASURES[group]:
            rows = [in_child(lambda size=size, measure=measure: measure(size)) for size in given.sizes]
            for name in rows[0]:
                law(f"{title}: {name}", given.sizes, [row[name] for row in rows], name.rpartition("_")[2])


if __name__ == "__main__":
    main()
