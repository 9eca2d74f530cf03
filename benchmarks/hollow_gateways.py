"""Hollow gatekeepers: hundreds in one process speak the real protocol with one real core machine, on
loopback.

    python3 benchmarks/hollow_gateways.py [--gates 100 300 600] [--zones 3] [--workers 0] [--routes 100]

The core machine is `python3 -m pepperrun.control_node` in a process of its own, with a disk; each gatekeeper
is a real `distribution.service.Subscriber` with its links, book and relay at an address of its own of
127.0.0.0/8, without traffic. `--workers` beat each 1.5 s by HTTP on connections that they keep. A row:
processor time of the core machine and of one gatekeeper at rest (ms a second of a whole processor), messages
and bytes a second, then ms from an operator's call until a small change is held, by p50, p99 and worst of all
gatekeepers, and what one change costs the core machine. As many zones as gatekeepers: no tree, the core
machine pushes to each.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import resource
import tempfile
import time
from collections import Counter
from typing import Any

from capacity_common import process_cpu, resident, routes, services, tenants
from capacity_process import BEAT_S, CORE, SIDING, beats, call, machine_settings, process_mb, started_core

from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.control.table_codec import encode_table
from pepperrun.distribution.service import DistributionService
from pepperrun.foundation.link import Link
from pepperrun.foundation.settings import parse
from pepperrun.operator.local_cluster import free_ports

RAMP, RAMP_S = 25, 0.1  # gatekeepers that start together, and the pause before the next
CHANGE_GAP_S = 0.6
RISE_MOST_S = 90.0  # until all hold what the core holds


class Traffic:
    """Counts messages and bytes of the links in this process, by whether the core is at the other end."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        write, received = Link.write, Link.data_received
        traffic = self

        def counted_write(link: Link, frame: bytes) -> None:
            traffic.note(link, "out", len(frame))
            write(link, frame)

        def counted_received(link: Link, data: bytes) -> None:
            traffic.note(link, "in", len(data))
            received(link, data)

        Link.write, Link.data_received = counted_write, counted_received  # type: ignore[method-assign]

    def note(self, link: Link, way: str, size: int) -> None:
        """Bytes of one call on a link."""
        other = "core" if link.name == "core" else "peer"
        self.counts[f"{other}_{way}_bytes"] += size
        self.counts[f"{other}_{way}_calls"] += 1


class Hollow:
    """A gatekeeper without traffic."""

    def __init__(self, at: int, port: int, zones: dict[str, str]) -> None:
        names = list(zones)
        self.ip = f"127.{1 + at // 60000}.{at // 250 % 250 + 1}.{at % 250 + 1}"
        settings = parse(machine_settings(f"gate-{at}", self.ip, names[at % len(names)], port, zones))
        me = settings.me
        where = f"{self.ip}:{port + 1}", f"{self.ip}:{port + SIDING}"
        row = GatewayRecord(
            me.station, me.zone, me.region, *where, time.time_ns() // 1_000_000, 1, GatewayState.READY
        )
        self.subscriber = DistributionService(settings, row.incarnation, lambda: row)
        self.held_at: dict[int, float] = {}
        self.subscriber.replicated.on_state.append(self.holds)

    def holds(self, number: int, state: dict[str, Any], change: object) -> None:
        """A newer configuration is held now."""
        self.held_at[int(state["edition"])] = time.monotonic()


def spread(times: list[float]) -> str:
    """Three figures of a list of ms."""
    times = sorted(times)
    return f"p50={times[len(times) // 2]:.1f} p99={times[int(len(times) * 0.99)]:.1f} worst={times[-1]:.1f}"


async def changed(
    hollows: list[Hollow], port: int, count: int, first: int
) -> tuple[list[float], list[float], int]:
    """So many changes of one route: ms until held, of each gatekeeper, ms until acknowledged, and misses."""
    held, acknowledged, missed = [], [], 0
    for edition in range(first, first + count):
        item = {"name": "r-new", "depot": "new.example", "prefix": f"/p{edition}/", "route_kind": "safe"}
        item |= {"deadline_ms": 1500, "target_ms": 400, "precedence": 2, "tries": 2, "line": "service0"}
        body = {"edition": edition, "upsert": {"routes": encode_table({"r-new": item})}}
        began = time.monotonic()
        status = await call(port, "/timetable/amend", body, edition - 1)
        acknowledged.append((time.monotonic() - began) * 1000)
        if status != 200:
            raise SystemExit(f"a change got {status}")
        await asyncio.sleep(CHANGE_GAP_S)
        some = [(hollow.held_at[edition] - began) * 1000 for hollow in hollows if edition in hollow.held_at]
        missed += len(hollows) - len(some)
        held += some
    return held, acknowledged, missed


async def play(gates: int, given: argparse.Namespace, traffic: Traffic) -> None:
    """One row."""
    zones = {f"zone-{at}": f"region-{at // 3}" for at in range(min(gates, given.zones))}
    with tempfile.TemporaryDirectory() as folder:
        core = started_core(given.port, zones, folder)
        hollows: list[Hollow] = []
        beating: list[asyncio.Task[None]] = []
        try:
            await settle(given)
            began = time.monotonic()
            for at in range(gates):
                hollows.append(Hollow(at, given.port, zones))
                await hollows[-1].subscriber.start()
                if at % RAMP == RAMP - 1:
                    await asyncio.sleep(RAMP_S)
            while not met(hollows) and time.monotonic() - began < RISE_MOST_S:
                await asyncio.sleep(0.2)
            rose = time.monotonic() - began
            counts: Counter[str] = Counter()
            beating = [
                asyncio.create_task(beats(at, given.port, list(zones), counts)) for at in range(given.workers)
            ]
            await asyncio.sleep(3.0 + 2 * BEAT_S * bool(given.workers))
            await measure(gates, given, hollows, core.pid, traffic, counts, rose)
        finally:
            for task in beating:
                task.cancel()
            for hollow in hollows:
                await hollow.subscriber.close()
            core.terminate()
            core.wait(20)


async def settle(given: argparse.Namespace) -> None:
    """The core machine's first configuration, as soon as it takes one."""
    first = {
        "edition": 1,
        "routes": encode_table(routes(given.routes)),
        "carrier_lines": encode_table(services(3)),
        "limits": {},
    }
    if given.tenants:
        first["senders"] = encode_table(tenants(given.tenants))
    for one in first["routes"]["rows"]:
        one[first["routes"]["columns"].index("line")] = "service0"
    for _ in range(100):
        try:
            if await call(given.port, "/timetable/replace", first, 0) == 200:
                return
        except (OSError, IndexError):
            pass
        await asyncio.sleep(0.2)
    raise SystemExit("the core machine takes no configuration")


def met(hollows: list[Hollow]) -> bool:
    """Do all hold a configuration, and records of all?"""
    return all(one.held_at and len(one.subscriber.replicated.gateways) == len(hollows) for one in hollows)


async def measure(
    gates: int,
    given: argparse.Namespace,
    hollows: list[Hollow],
    core: int,
    traffic: Traffic,
    counts: Counter[str],
    rose: float,
) -> None:
    """At rest, then changes."""
    traffic.counts.clear(), counts.clear()
    began, core_at, own_at = time.monotonic(), process_cpu(core), process_cpu(os.getpid())
    await asyncio.sleep(given.seconds)
    took = time.monotonic() - began
    core_ms = (process_cpu(core) - core_at) * 1000 / took
    own_ms = (process_cpu(os.getpid()) - own_at) * 1000 / took / gates
    a_second = Counter({name: round(count / took) for name, count in traffic.counts.items()})
    of_one = sum(count for name, count in a_second.items() if name.endswith("bytes")) / gates
    row = {"zones": min(gates, given.zones), "workers": given.workers, "rose_s": round(rose, 1)}
    row |= {"met": met(hollows), "core_ms_a_second": round(core_ms, 1)}
    row |= {"core_ms_per_gate": round(core_ms / gates, 3), "gate_ms_a_second": round(own_ms, 2)}
    row |= {"core_messages_in": a_second["core_out_calls"], "core_bytes_in": a_second["core_out_bytes"]}
    row |= {"core_bytes_out": a_second["core_in_bytes"], "bytes_of_one_gate": round(of_one)}
    row |= {"beats": round(counts["beats"] / took), "failed": counts["failed"]}
    row |= {"core_mb": round(process_mb(core)), "own_mb": round(resident() / 1e6)}
    print(f"gates={gates}", *(f"{name}={value}" for name, value in row.items()), flush=True)
    began, core_at = time.monotonic(), process_cpu(core)
    held, acknowledged, missed = await changed(hollows, given.port, given.changes, 2)
    spent = (process_cpu(core) - core_at) * 1000 - core_ms * (time.monotonic() - began)
    print(
        f"gates={gates} changes={given.changes} held_ms {spread(held)} acknowledged_ms {spread(acknowledged)}"
        f" missed={missed} core_ms_per_change={spent / given.changes:.1f}",
        flush=True,
    )


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gates", type=int, nargs="+", default=[100, 300, 600])
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--workers", type=int, default=0)
    parser.add_argument("--routes", type=int, default=100)
    parser.add_argument("--tenants", type=int, default=0)
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=8.0, help="at rest")
    parser.add_argument("--port", type=int, help="the first of three free ports (default: any)")
    given = parser.parse_args()
    given.port = given.port or min(free_ports([CORE]).values())
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    traffic = Traffic()
    for gates in given.gates:
        asyncio.run(play(gates, given, traffic))


if __name__ == "__main__":
    main()
