"""A real core machine in a process of its own, with a disk, and what callers say to it.

For `hollow_gateways`; not a program of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import yaml

ROOT = Path(__file__).resolve().parent.parent
CORE = "127.0.0.2"
CONTROL, SIDING = 0, 2  # ports, counted from the first
BEAT_S = 1.5


def machine_settings(
    station: str, ip: str, zone: str, port: int, zones: dict[str, str], folder: str = ""
) -> dict[str, Any]:
    """The settings file of one machine."""
    core = bool(folder)
    me: dict[str, Any] = {
        "station": station,
        "role": "sorting" if core else "counter",
        "ip": ip,
        "zone": zone,
    }
    me |= {"region": zones[zone], "first_run": core} | (
        {"class": "sorting", "store_dir": folder} if core else {}
    )
    boxes = {"control_port": f"{ip}:{port}"} if core else {"counter": f"{ip}:{port + 1}"}
    network = {"postboxes": boxes, "sidings": [port + SIDING, port + SIDING], "zones": zones}
    network["first_contacts"] = [f"{CORE}:{port + CONTROL}"]
    return {
        "self": me,
        "network": network,
        "carrier": {"beat_ms": BEAT_S * 1000},
        "tariffs": {"withstand": {"vehicles": 1}},
    }


def started_core(port: int, zones: dict[str, str], folder: str) -> subprocess.Popen[bytes]:
    """The only core machine; its files lie in the folder. Whoever starts it ends it."""
    file, log = Path(folder, "core.yaml"), Path(folder, "log")
    file.write_text(yaml.safe_dump(machine_settings("core", CORE, "zone-0", port, zones, f"{folder}/disk")))
    command = [sys.executable, "-m", "pepperrun.control_node", "--settings", str(file)]
    with open(log, "wb") as out:
        return subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out)


async def call(port: int, path: str, body: dict[str, Any], based_on: int) -> int:
    """A control call on a connection of its own; its status."""
    reader, writer = await asyncio.open_connection(CORE, port + CONTROL)
    data = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: core\r\nBased-On: {based_on}\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer.write(head.encode() + data)
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


async def beats(at: int, port: int, zones: list[str], counts: Counter[str]) -> None:
    """One worker: a beat each 1.5 s on one connection."""
    await asyncio.sleep(random.uniform(0, BEAT_S))
    reader = writer = None
    notice = {"line": f"service{at % 3}", "zone": zones[at % len(zones)], "edition": "v1", "berths": 6}
    for serial in range(1, 1 << 30):
        tracking = {"state": "boarding", "serial": serial, "cold_ms": 0}
        address = f"10.128.{at // 250}.{at % 250 + 1}:8080"
        data = json.dumps({"address": address, "notice": notice, "tracking": tracking}).encode()
        head = f"POST /crew/i-{at:08x}/beat HTTP/1.1\r\nHost: core\r\nContent-Length: {len(data)}\r\n\r\n"
        try:
            if writer is None or reader is None:
                reader, writer = await asyncio.open_connection(CORE, port + CONTROL)
            writer.write(head.encode() + data)
            answer = (await reader.readuntil(b"\r\n\r\n")).lower()
            counts["beats"] += b" 200 " in answer.split(b"\r\n")[0]
            await reader.readexactly(int(answer.partition(b"content-length:")[2].split()[0]))
        except (OSError, asyncio.IncompleteReadError, IndexError, ValueError):
            counts["failed"] += 1
            reader = writer = None
        await asyncio.sleep(BEAT_S)


def process_mb(pid: int) -> float:
    """MB of memory of a process that are resident."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
