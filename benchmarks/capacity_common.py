"""Shared by the `capacity_*` benchmarks: rows, tenants and routes of a given size, slopes, readings of a
process.

Not a program of its own; `docs/CAPACITY.md` has the figures that the programs beside it print.
"""

from __future__ import annotations

import gc
import json
import os
import sys
import time
import traceback
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pepperrun.control.records import GatewayRecord, GatewayState, Worker
from pepperrun.foundation.settings import Settings, parse

REGIONS, ZONES_OF_REGION, SERVICES = 20, 3, 1500
ZONES = {f"zone-{at}": f"region-{at // ZONES_OF_REGION}" for at in range(59)}
PORT = 7600
PAGE = os.sysconf("SC_PAGE_SIZE")
CPU_TICKS = os.sysconf("SC_CLK_TCK")


def slope(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float, float]:
    """Least squares: value = slope * size + base, and the largest residual as a part of the largest value."""
    mean_size, mean_value = sum(sizes) / len(sizes), sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    products = ((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True))
    per = sum(products) / spread if spread else 0.0
    base = mean_value - per * mean_size
    rest = max(abs(value - base - per * size) for size, value in zip(sizes, values, strict=True))
    return per, base, rest / max(abs(value) for value in values) if any(values) else 0.0


def law(name: str, sizes: Sequence[float], values: Sequence[float], unit: str) -> None:
    """One line with the slope of a cost."""
    per, base, rest = slope(sizes, values)
    measured = " ".join(f"{size:g}:{value:.4g}" for size, value in zip(sizes, values, strict=True))
    print(
        f"{name} per_one={per:.4g} base={base:.4g} {unit} residual={rest:.1%} measured[{measured}]",
        flush=True,
    )


def through_json(value: Any) -> Any:
    """As it comes off a link: no object is shared with the sender's."""
    return json.loads(json.dumps(value))


def address_of(at: int, net: int) -> str:
    """An address of its own for each machine."""
    return f"10.{net + at // 62500}.{at // 250 % 250}.{at % 250 + 1}"


def worker_rows(count: int) -> list[list[Any]]:
    """Rows of workers as `cells` carries them."""
    zones = list(ZONES)
    return [
        Worker(
            id=f"i-{at * 2654435761 % 2**32:08x}",
            service=f"service{at % SERVICES}",
            address=f"{address_of(at, 128)}:8080",
            zone=zones[at % len(zones)],
            edition="v1",
            slots=6,
            serial=1,
        ).to_row(0)
        for at in range(count)
    ]


def gateway_rows(count: int) -> list[list[Any]]:
    """Rows of gatekeepers as `cells` carries them."""
    zones = list(ZONES)
    rows = []
    for at in range(count):
        ip, zone = address_of(at, 10), zones[at % len(zones)]
        record = GatewayRecord(
            f"gate-{at}",
            zone,
            ZONES[zone],
            f"{ip}:80",
            f"{ip}:{PORT}",
            1_700_000_000_000 + at,
            1,
            GatewayState.READY,
        )
        rows.append(record.to_row())
    return rows


def routes(count: int) -> dict[str, dict[str, Any]]:
    """Routes as the agreed state has them."""
    return {
        f"r-{at:07d}": {
            **{"name": f"r-{at:07d}", "depot": f"host{at // 5}.example", "prefix": f"/path{at}/"},
            **{"route_kind": "safe", "deadline_ms": 1500, "target_ms": 400, "precedence": 2, "tries": 2},
            **{"unstamped": False, "home_regions": [], "line": f"service{at % SERVICES}"},
        }
        for at in range(count)
    }


def services(count: int = SERVICES) -> dict[str, dict[str, Any]]:
    """Services as the agreed state has them."""
    return {
        f"service{at}": {
            **{"name": f"service{at}", "health_path": "/health", "berth_cap": 110, "protocol": "h1"},
            **{"sealed": False, "cold_s": 3.0, "cold_per_s": 5.3},
        }
        for at in range(count)
    }


def tenants(count: int) -> dict[str, dict[str, Any]]:
    """Tenants with one key each, as the agreed state has them."""
    return {
        f"tenant{at:07d}": {
            **{"name": f"tenant{at:07d}", "stamps": [f"key{at:017d}"], "precedence": 1},
            **{"rate_per_s": 2, "surge": 4, "home_regions": []},
        }
        for at in range(count)
    }


def state(route_count: int, tenant_count: int, service_count: int = SERVICES) -> dict[str, Any]:
    """An agreed state, as it comes off a link."""
    whole = {
        "edition": 1,
        "routes": routes(route_count),
        "carrier_lines": services(service_count),
        "limits": {},
    }
    whole |= {"senders": tenants(tenant_count), "evacuated": [], "taken": [[1, "digest"]]}
    return dict(through_json(whole))


def settings(station: str = "gate-x", role: str = "counter", ip: str = "10.200.0.1") -> Settings:
    """One machine's settings at the size of the target."""
    boxes = {"counter": f"{ip}:80"} if role == "counter" else {"control_port": f"{ip}:81"}
    me = {"station": station, "role": role, "ip": ip, "zone": "zone-0", "region": "region-0"}
    network = {
        "sidings": [PORT, PORT + 9],
        "first_contacts": ["10.9.0.1:81"],
        "postboxes": boxes,
        "zones": ZONES,
    }
    return parse({"self": me, "network": network, "tariffs": {"withstand": {"vehicles": 1}}})


def resident() -> int:
    """Bytes of memory of this process that are resident."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def process_cpu(pid: int) -> float:
    """Seconds of processor time that a process took so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CPU_TICKS


def in_child(work: Callable[[], Any]) -> Any:
    """Return what `work` gives in a process of its own, so that no measure leaves anything to the next.

    Raises
    ------
    RuntimeError
        `work` failed; its traceback was printed by the child.
    """
    reading, writing = os.pipe()
    pid = os.fork()
    if not pid:
        status = 1
        try:
            os.close(reading)
            with os.fdopen(writing, "w") as pipe:
                json.dump(work(), pipe)
            status = 0
        except BaseException:
            traceback.print_exc()
        finally:
            os._exit(status)
    os.close(writing)
    with os.fdopen(reading) as pipe:
        text = pipe.read()
    _, wait_status = os.waitpid(pid, 0)
    if os.waitstatus_to_exitcode(wait_status):
        raise RuntimeError("the measure failed, see the traceback above")
    return json.loads(text)


def best_ms(work: Callable[[], Any], times: int = 5) -> float:
    """Ms of processor time, the least of so many runs."""
    least = float("inf")
    for _ in range(times):
        gc.collect()
        began = time.process_time()
        work()
        least = min(least, time.process_time() - began)
    return least * 1000


def each_us(work: Callable[[], Any], times: int = 2000) -> float:
    """Microseconds of processor time of one of many calls."""
    work()
    began = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - began) / times * 1e6
