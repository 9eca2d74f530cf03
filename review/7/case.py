"""A worker's `leave` is acknowledged by a machine that does not know it, just after the core was killed."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support_2 import standins
from support_2.deployment import Deployment, Record

ZONES = {"north-a": "north", "south-a": "south", "east-a": "east"}
DOWN_S = 0.6  # "They may then be back within a second."
WORKERS, LEAVING = 20, 3  # 0.15 of them, as `scale_in` has it
LEAVES_AFTER_S = (0.3, 0.9)  # after the kill: each on its own
WORK_S = 0.15  # of a request
SERVES_ON_S = 8.0  # after its acknowledgement: `drain_ms` "and a little longer (at times many seconds)"


async def case(record: Record, trouble: bool) -> list[str]:
    """Play the case; return what broke the rule."""
    system = Deployment(record, ZONES, list(ZONES), list(ZONES), workers=WORKERS)
    places = [list(ZONES)[number % len(ZONES)] for number in range(WORKERS)]
    workers = [
        standins.Worker(record, system, f"w-{number}", "atlas", zone, host)
        for number, (zone, host) in enumerate(zip(places, system.worker_hosts, strict=True))
    ]
    clients = standins.Clients(record, system, "atlas", per_s=40)
    try:
        system.launch_all()
        for worker in workers:
            worker.work_s = WORK_S
            await worker.start()
        await standins.wait_until_serving(record, system, "atlas", workers)
        clients.start()
        async with asyncio.timeout(80):
            return await _play(record, system, workers[:LEAVING], clients, trouble)
    finally:
        await clients.stop()
        for worker in workers:
            await worker.stop()
        system.stop()


async def _play(
    record: Record,
    system: Deployment,
    workers: list[standins.Worker],
    clients: standins.Clients,
    trouble: bool,
) -> list[str]:
    await asyncio.sleep(6)
    if trouble:
        for machine in system.control:
            system.signal(machine, signal.SIGKILL)
    leaving = [asyncio.create_task(_leave(record, worker)) for worker in workers]
    await asyncio.sleep(DOWN_S)
    if trouble:
        for machine in system.control:
            system.launch(machine)
    started_at = record.now()
    in_touch_at = started_at + system.bounds["contact_ms"] / 1000
    ends = await asyncio.gather(*leaving)
    ends_at = max(acknowledged_at for acknowledged_at, _ in ends)
    served = clients.served(in_touch_at, ends_at + SERVES_ON_S)
    broken = []
    for worker, (acknowledged_at, ended_at) in zip(workers, ends, strict=True):
        bound_at = acknowledged_at + system.bounds["drain_ms"] / 1000
        late = standins.count_between(worker.runs, max(bound_at, in_touch_at), ended_at)
        record.write("sum", worker=worker.name, acknowledged=f"{acknowledged_at:.3f}", late=len(late))
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests reached {worker.name} up to"
                f" {late[-1][0] - acknowledged_at:.1f} s after its leave was acknowledged"
                f" (bound {system.bounds['drain_ms'] / 1000:.0f} s), counted"
                f" from {in_touch_at - started_at:.0f} s after the core was back"
            )
    record.write("served", of=served)
    return broken


async def _leave(record: Record, worker: standins.Worker) -> tuple[float, float]:
    """Say `leave`, serve on, and end; return when it was acknowledged and when the worker ended."""
    worker.stop_beating()  # it has nothing more to say
    await asyncio.sleep(random.uniform(*LEAVES_AFTER_S))
    reply, acknowledged_at = await standins.call_until_taken(
        record, worker.control, f"/crew/{worker.id}/leave", b"", None, 20.0
    )
    if reply.status // 100 != 2:
        raise standins.CannotRunError(f"leave got {reply.status}")
    await asyncio.sleep(SERVES_ON_S)
    await worker.stop()
    return acknowledged_at, record.now()


if __name__ == "__main__":
    sys.exit(standins.play(case, str(Path(__file__).parent)))
