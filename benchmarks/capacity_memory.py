"""Memory that a gatekeeper and a core machine hold for each worker, gatekeeper, route and tenant.

    python3 benchmarks/capacity_memory.py [--sizes 1000 3000 10000 30000] [--only KIND ...]

The real NewsBook, GatewayProbeService and DataPlane, fed with messages as they come off a link, in a process
of its own for each size. A line: bytes of resident memory for one more row (least squares), the base,
the largest residual, what was measured, and the size at which 32 MB are full. `book` is the record
alone, `gateway` all that a gatekeeper makes of it. A service comes with one route; routes and tenants
are held beside 1,500 services.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import time
from typing import Any

from capacity_common import (
    SERVICES,
    gateway_rows,
    in_child,
    law,
    resident,
    settings,
    slope,
    state,
    through_json,
    worker_rows,
)

from pepperrun.control.endpoint_registry import EndpointRegistry, WorkerHeartbeat
from pepperrun.control.records import WorkerState
from pepperrun.dataplane.plane import DataPlane
from pepperrun.distribution import repair
from pepperrun.distribution.replicated_state import ReplicatedState
from pepperrun.membership.gateway_probe_service import GatewayProbeService

PART = 400  # rows of one message: a range of digests that differs
BUDGET = 32 * 1024 * 1024  # bytes that a gatekeeper may spend for control
SECOND = 1_000_000_000


def book_with(rows: list[list[Any]], key: str, book: ReplicatedState) -> None:
    """Rows come off links, so many at a time."""
    for at in range(0, len(rows), PART):
        message = through_json({"k": "cells", key: rows[at : at + PART]})
        repair.handle(book, lambda workers, gateways, now: book.update_records(workers, gateways), message, 1)


def plane_for(book: ReplicatedState) -> DataPlane:
    """All that a gatekeeper makes of its news."""
    plane = DataPlane(settings(), 1, time.monotonic_ns, lambda: 1, lambda: 1, lambda: 1)
    probes = GatewayProbeService(settings(), 1, 1, lambda data, where: None)
    probes.started = True  # it sends nothing here
    book.on_state.append(plane.on_agreed_state)
    book.on_workers.append(plane.on_workers)
    book.on_gateways += [plane.on_gateways, probes.on_gateways]
    return plane


def grown(kind: str, count: int, whole: bool) -> list[float]:
    """Resident bytes that so many rows take, and seconds of processor time until they were taken in."""

    async def measure() -> list[float]:
        book = ReplicatedState()
        _plane = plane_for(book) if whole else None  # it follows the book
        made: Any = worker_rows(count) if kind == "worker" else None
        made = gateway_rows(count) if kind == "gateway" else made
        gc.collect()
        before, began = resident(), time.process_time()
        if kind in ("route", "tenant", "service"):
            many = dict(route=0, tenant=0, service=0) | {kind: count}
            book.update_state(
                1, state(max(many["route"], many["service"]), many["tenant"], many["service"] or SERVICES)
            )
        else:
            book_with(made, kind[0], book)
        spent = time.process_time() - began
        gc.collect()
        return [resident() - before, spent]

    return asyncio.run(measure())


def core_grown(count: int) -> list[float]:
    """As `grown`, of a core machine's cells with so many workers that beat there."""
    cells = EndpointRegistry("10.9.0.1", 1500, 0)
    cells.connected("10.9.0.2", "zone-1", 0)
    rows = worker_rows(count)
    gc.collect()
    before, began = resident(), time.process_time()
    for at, (id, line, address, zone, edition, berths, *_) in enumerate(through_json(rows)):
        cells.heartbeat(
            WorkerHeartbeat(id, line, address, zone, edition, berths, WorkerState.SERVING, 0, 1),
            None,
            SECOND + at,
        )
        if at % PART == 0:
            cells.tick(SECOND + at), cells.take_messages(SECOND + at), cells.take_changed()
    spent = time.process_time() - began
    cells.tick(2 * SECOND), cells.take_messages(2 * SECOND), cells.take_changed()
    gc.collect()
    return [resident() - before, spent]


def report(name: str, sizes: list[int], measured: list[list[float]]) -> None:
    """The law of one kind."""
    held = [one[0] for one in measured]
    law(f"memory {name}", sizes, held, "bytes")
    per = slope(sizes, held)[0]
    print(f"memory {name} full_at={BUDGET / per:.0f} rows of 32 MB", flush=True)
    law(f"cpu {name}", sizes, [one[1] * 1000 for one in measured], "ms")


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    kinds = ["worker", "gateway", "route", "tenant", "service", "core"]
    parser.add_argument("--sizes", type=int, nargs="+", default=[1000, 3000, 10000, 30000])
    parser.add_argument(
        "--gateway-sizes", type=int, nargs="+", help="instead, of gatekeepers, whose cost grows faster"
    )
    parser.add_argument("--only", nargs="+", choices=kinds, default=kinds)
    given = parser.parse_args()
    for kind in given.only:
        sizes = given.gateway_sizes if kind == "gateway" and given.gateway_sizes else given.sizes
        if kind == "core":
            report("core_worker", sizes, [in_child(lambda count=count: core_grown(count)) for count in sizes])
            continue
        for whole in (False, True):
            some = [
                in_child(lambda count=count, whole=whole, kind=kind: grown(kind, count, whole))
                for count in sizes
            ]
            report(f"{'gateway' if whole else 'book'}_{kind}", sizes, some)


if __name__ == "__main__":
    main()
