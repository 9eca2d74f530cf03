"""Plays a day through real gatekeepers against stand-in nodes, and measures service."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import numpy

from pepperrun.bench.rig import HOST, ROOT, Child, RigError, pin
from pepperrun.capture.format import Class, Plan
from pepperrun.model.day import Fault, Request, gatekeeper_settings
from pepperrun.model.fleet import Fleet, draw_speeds
from pepperrun.model.service_level import RequestResult, service_level

START_TIMEOUT_S = 20.0  # for a gatekeeper to listen
LEAD_S = 1.0  # between the last process's start and the day's
BUSY_MS = 250.0  # the players were so late at worst: the machine was too busy, and the day says little
CPU_SETS = ((0, 1, 2, 3), (4, 5, 6, 7))
Say = Callable[[str], None]


def configuration(
    number: int,
    fleet: Fleet,
    classes: Sequence[Class],
    plans: Sequence[Plan],
    known: dict[str, Any],
    discovery: int,
    peer_ports: Sequence[int],
) -> dict[str, Any]:
    """What one gatekeeper is told: the same settings as the model's."""
    zones = fleet.zones()
    own = gatekeeper_settings(number, fleet, classes, plans, zones, zones[number % len(zones)])
    repeats = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
    settings = {
        "Me": own.me,
        "ReplicasOfMe": own.gateways,
        "Az": own.zone,
        "Dcs": zones,
        "PeriodNs": own.tick_ns,
        "Classes": [
            {
                "Name": kind.name,
                "OnTimeNs": kind.target_ns,
                "DeadlineNs": kind.deadline_ns,
                "Semantics": repeats[kind.repeat.value],
                "Group": kind.group.value,
                "WindowNs": kind.window_ns,
                "Worth": kind.value,
                "LateWorth": kind.late_value,
            }
            for kind in own.classes
        ],
        "Tariffs": [
            {
                "Name": plan.name,
                "Refill": plan.rate,
                "StoreSize": plan.burst,
                "CapRate": plan.ceiling_rate,
                "NeverOverDepth": plan.ceiling_depth,
                "CeilingSlack": plan.ceiling_slack,
                "WorthFactor": plan.price,
                "ExtraWorth": plan.over_quota_value,
                "BeyondCosts": plan.over_quota_cost,
            }
            for plan in own.plans
        ],
        "Limits": {
            "MostTries": own.max_attempts,
            "MayDuplicate": own.hedging,
            "MayCancel": own.may_cancel,
            "PeerMessages": own.peer_messages,
            "RetryAfter": own.retry_after,
            "MaxRetryAfterNs": own.max_retry_after_ns,
            "KeepaliveNs": 15_000_000_000,
        },
        "Domain": {
            "PeerIntake": own.peer_message_rate,
            "PostPaid": own.reconciles_units,
            "MostUnits": own.max_units,
        },
        "Rules": {
            "ColdFrom": own.slow_start_min_capacity,
            "ColdNs": own.slow_start_ns,
            "TipMultiple": own.overload_multiple,
            "OverloadForNs": own.overload_for_ns,
        },
    }
    peers = [f"{HOST}:{port}" for port in peer_ports]
    return {
        "name": f"n{number}",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:{discovery}",
        "limits": {"sockets": fleet.gatekeepers.descriptors},
        "known": known,
        "settings": settings,
    } | ({"peer_listen": peers[number], "peers": peers} if len(peers) > 1 else {})


def udp_ports(count: int) -> list[int]:
    """Ports that are free now."""
    import socket

    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in held:
        sock.bind((HOST, 0))
    ports = [int(sock.getsockname()[1]) for sock in held]
    for sock in held:
        sock.close()
    return ports


def replay(
    load: Sequence[Request],
    classes: Sequence[Class],
    plans: Sequence[Plan],
    fleet: Fleet,
    seed: int,
    faults: Sequence[Fault] = (),
    capture: Path | None = None,
    lane: int = 0,
    say: Say = lambda text: None,
) -> dict[str, Any]:
    """One day in real time. `capture`: the gatekeepers write captures there. `lane`: which processors."""
    cpus = CPU_SETS[lane % len(CPU_SETS)]
    children: list[Child] = []
    gatekeepers: list[subprocess.Popen[bytes]] = []
    random = numpy.random.default_rng([seed, 3])
    node_speeds = [
        speed
        for group in fleet.nodes
        for speed in draw_speeds(fleet.kind[group.kind].to_spec(group.kind), group.count, random)
    ]
    try:
        with tempfile.TemporaryDirectory(prefix="pepperrun-replay-") as folder:
            nodes = Child("fleet_process", cpus={cpus[0]})
            children.append(nodes)
            nodes.say(fleet=msgspec.to_builtins(fleet), speeds=node_speeds, seed=seed)
            told = nodes.answer()
            ports = []
            peer_ports = udp_ports(fleet.gatekeepers.count)
            for number in range(fleet.gatekeepers.count):
                config = configuration(
                    number, fleet, classes, plans, told["known"], told["discovery"], peer_ports
                )
                path, log = Path(folder) / f"n{number}.json", Path(folder) / f"n{number}.log"
                path.write_text(json.dumps(config))
                arguments = ["--capture", str(capture)] if capture is not None else []
                with open(log, "wb") as stream:
                    gatekeepers.append(
                        subprocess.Popen(
                            [sys.executable, "-B", "-m", "pepperrun", *arguments],
                            env=os.environ | {"NODE_CONFIG": str(path)},
                            stderr=stream,
                            cwd=ROOT,
                            preexec_fn=pin({cpus[1 + number % 2]}),
                        )
                    )
                ports.append(listening_port(log, gatekeepers[-1]))
            player = Child("players", cpus={cpus[3]})
            children.append(player)
            player.say(
                ports=ports,
                load=[
                    [
                        one.arrival_ns,
                        one.gatekeeper,
                        one.cls,
                        one.plan,
                        one.customer,
                        one.units,
                        one.true_units,
                        one.budget_ns,
                        one.spread,
                        one.first,
                        one.work_ns,
                    ]
                    for one in load
                ],
                methods=["GET" if kind.repeat == "safe" else "POST" for kind in classes],
                classes=[kind.name for kind in classes],
                plans=[plan.name for plan in plans],
                retries=fleet.clients.retries,
                backoff_ms=fleet.clients.backoff_ms,
                honour=fleet.clients.honour,
                seed=seed,
            )
            player.answer()
            start = time.monotonic_ns() + int(LEAD_S * 1e9)
            player.say(start=start)
            for fault in sorted(faults, key=lambda one: one.at_s):
                time.sleep(max(0.0, (start - time.monotonic_ns()) / 1e9 + fault.at_s))
                nodes.say(what=fault.kind, for_s=fault.duration_s, zone=fault.zone, share=fault.node_share)
            answer = player.answer()
            for gatekeeper in gatekeepers:
                gatekeeper.send_signal(signal.SIGTERM)
            for gatekeeper in gatekeepers:
                gatekeeper.wait(20)
    finally:
        for child in children:
            child.close()
        for gatekeeper in gatekeepers:
            if gatekeeper.poll() is None:
                gatekeeper.kill()
                gatekeeper.wait()
    asks = [
        RequestResult(one.arrival_ns, one.cls, one.plan, one.customer, one.true_units, took)
        for one, (took, _, _) in zip(load, answer["results"], strict=True)
    ]
    found = service_level(asks, classes, plans)
    return {
        "service": round(found.combined, 4),
        "whole": round(found.overall, 4),
        "worst_10_s": round(found.worst_window, 4),
        "worst_plan": round(found.worst_plan, 4),
        "by_plan": {name: round(value, 4) for name, value in found.by_plan.items()},
        "by_class": {name: round(value, 4) for name, value in found.by_class.items()},
        "requests": len(load),
        "statuses": dict(Counter(str(status) for _, _, status in answer["results"])),
        "late_ms": round(answer["late_ms"], 1),
        "busy": answer["late_ms"] > BUSY_MS,
        "exits": [gatekeeper.returncode for gatekeeper in gatekeepers],
    }


def listening_port(log: Path, process: subprocess.Popen[bytes], timeout_s: float = START_TIMEOUT_S) -> int:
    """Returns the port on which a gatekeeper listens, from its log.

    Raises RigError that says whether the process ended, with which code, or how long it did not listen.
    """
    limit = time.monotonic() + timeout_s
    while True:
        code = process.poll()  # before the log is read: what it wrote before its end is in there
        for line in log.read_text().splitlines():
            if "listens at" in line:
                return int(line.rsplit(":", 1)[1])
        if code is not None or time.monotonic() >= limit:
            how = f"did not listen within {timeout_s:g} s" if code is None else f"ended with code {code}"
            end_of_log = log.read_text().strip()[-300:] or "nothing"
            raise RigError(f"a gatekeeper did not start: it {how}; its log: {end_of_log}")
        time.sleep(0.01)
