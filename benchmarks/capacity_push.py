"""What one pushed record takes a gatekeeper that holds many already, and what tenants add to that.

    python3 benchmarks/capacity_push.py [--sizes 300 1000 3000 10000] [--only NAME ...]

`worker`: one worker's row that has changed, by workers held. `gateway`: one that leaves and comes back, by
gatekeepers. `parent`: the choice of a parent that each change in the own zone brings (a 59th of all are
there). `tenants`: as `gateway`, with 300 gatekeepers, by tenants. `start`: ms to take in all gatekeepers'
rows in messages of 48, the size of a range that is sent whole. `event`: a turn of the
decisions in which next to nothing happens, by services. Ms of processor time.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from capacity_common import each_us, gateway_rows, in_child, law, state, worker_rows
from capacity_memory import book_with, plane_for

from pepperrun.control.records import GatewayRecord, GatewayState, Worker
from pepperrun.distribution import tree
from pepperrun.distribution.repair import MAX_RANGE_RECORDS
from pepperrun.distribution.replicated_state import ReplicatedState

TIMES = 6


def on_loop(work: Callable[[], float]) -> float:
    """A plane wants a loop."""

    async def run() -> float:
        return work()

    return asyncio.run(run())


def each_ms(work: Callable[[int], Any]) -> float:
    """The median of some calls, ms of processor time."""
    took = []
    for at in range(TIMES):
        began = time.process_time()
        work(at + 2)
        took.append((time.process_time() - began) * 1000)
    return sorted(took)[TIMES // 2]


def worker_pushed(size: int) -> float:
    """One changed row of a worker."""
    book = ReplicatedState()
    _plane = plane_for(book)  # it follows the book
    book_with(worker_rows(size), "w", book)
    one: Worker = next(iter(book.workers.values()))
    return each_ms(lambda serial: book.update_records([replace(one, serial=serial, slots=serial)], []))


def gateway_pushed(size: int, tenant_count: int = 0) -> float:
    """One gatekeeper that goes, then comes back with another life."""
    book = ReplicatedState()
    _plane = plane_for(book)  # it follows the book
    if tenant_count:
        book.update_state(1, state(10, tenant_count))
    book_with(gateway_rows(size), "g", book)
    one: GatewayRecord = next(iter(book.gateways.values()))

    def push(serial: int) -> None:
        gone = serial % 2 == 0
        life = one.incarnation + (serial + 1) // 2
        book.update_records(
            [],
            [
                replace(
                    one,
                    incarnation=life,
                    serial=serial,
                    state=GatewayState.GONE if gone else GatewayState.READY,
                )
            ],
        )

    return each_ms(push)


def parent_chosen(size: int) -> float:
    """The order of the own zone's gatekeepers, among all."""
    gateways = [GatewayRecord.from_row(row) for row in gateway_rows(size)]
    own = gateways[-1]
    return each_ms(lambda _: tree.parents(own.name, own.zone, gateways))


def started(size: int) -> float:
    """All rows come in messages of so many, as after a start."""
    book = ReplicatedState()
    _plane = plane_for(book)  # it follows the book
    records = [GatewayRecord.from_row(row) for row in gateway_rows(size)]
    began = time.process_time()
    for at in range(0, size, MAX_RANGE_RECORDS):
        book.update_records([], records[at : at + MAX_RANGE_RECORDS])
    return (time.process_time() - began) * 1000


def event_handled(size: int) -> float:
    """One turn of the decisions with a message that says nothing: what any event brings, by services."""
    book = ReplicatedState()
    plane = plane_for(book)
    book.update_state(1, state(size, 0, size))

    def turn() -> None:
        plane.gatekeeper.peer_message_received(1, b"-")
        plane.gatekeeper.flush_events()

    return each_us(turn, 50) / 1000


MEASURES: dict[str, Callable[[int], float]] = {
    "worker": worker_pushed,
    "gateway": gateway_pushed,
    "parent": parent_chosen,
    "tenants": lambda size: gateway_pushed(300, size),
    "start": started,
    "event": event_handled,
}


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=[300, 1000, 3000, 10000])
    parser.add_argument("--only", nargs="+", choices=list(MEASURES), default=list(MEASURES))
    given = parser.parse_args()
    for name in given.only:
        measure = MEASURES[name]
        took = [
            in_child(lambda size=size, measure=measure: on_loop(lambda: measure(size)))
            for size in given.sizes
        ]
        law(f"push {name}", given.sizes, took, "ms")


if __name__ == "__main__":
    main()
