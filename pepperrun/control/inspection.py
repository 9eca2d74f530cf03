"""Showing: what a running core machine holds, as one JSON object for whoever operates it."""

from __future__ import annotations

from collections import Counter
from typing import Any, Protocol

from pepperrun.consensus.replica import Replica
from pepperrun.control.cells import Cells
from pepperrun.control.mesh import Mesh
from pepperrun.control.records import GONE
from pepperrun.distribution.publisher import Publisher
from pepperrun.foundation.netstring import Message
from pepperrun.foundation.settings import Settings

MS = 1_000_000


class CoreMachine(Protocol):
    """What `show` reads of a running core machine; `control.hub.Hub` is one."""

    settings: Settings
    life: int
    replica: Replica
    cells: Cells
    mesh: Mesh
    publisher: Publisher
    retiring: bool

    def age_ms(self, now: int) -> float | None:
        """How old what this machine knows may be; None where nothing is known."""


def shown(core: CoreMachine, now: int) -> Message:
    """The answer to `show`: ages in ms, addresses as the settings have them. Nothing secret is in it."""
    me, replica, body = core.settings.me, core.replica, core.replica.body
    value, memory, age = replica.value, replica.register.state, core.age_ms(now)
    return {
        **{"k": "shown", "class": "sorting", "station": me.station, "ip": me.ip, "zone": me.zone},
        **{"region": me.region, "starts": core.life, "life": memory.disk_id, "votes": replica.is_voter},
        **{"number": replica.version, "edition": body.get("edition", 0), "seats": body.get("seats", 0)},
        **{"age_ms": None if age is None else round(age), "majority": not replica.lacks_quorum},
        "voters": [list(one) for one in value.voters] if value else [],
        "leaving_voters": [list(one) for one in value.outgoing_voters if one not in value.voters]
        if value
        else [],
        **{"keeper": replica.coordinator, "stopping": core.retiring, "peers": core.mesh.cores()},
        **{"evacuated": sorted(body.get("evacuated", ())), "cells": _cells(core, now)},
        "children": [
            {"station": port.name, "number": peer.number}
            for port, peer in core.publisher.peers.items()
            if peer.pushed
        ],
    }


def _cells(core: CoreMachine, now: int) -> dict[str, Any]:
    """By zone: workers by service and state, gatekeepers with their states and when they were last heard."""
    cells = core.cells
    out: dict[str, dict[str, Any]]
    out = {zone: {"workers": {}, "guards": []} for zone in sorted(core.settings.network.zones)}
    counted = Counter((one.zone, one.service, one.state) for one in cells.workers.values())
    for (zone, service, state), count in sorted(counted.items()):
        held = out.setdefault(zone, {"workers": {}, "guards": []})
        held["workers"].setdefault(service, {})[state] = count
    for one in sorted(cells.gateways.values(), key=lambda gateway: gateway.station):
        held = out.setdefault(one.zone, {"workers": {}, "guards": []})
        row: dict[str, Any] = {"station": one.station, "state": one.state, "counter": one.counter}
        if one.state != GONE:
            row["heard_ms"] = (now - cells.vouching.last("g:" + one.station, now)) // MS
        held["guards"].append(row)
    return out
