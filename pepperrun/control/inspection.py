"""Showing: what a running core machine holds, as one JSON object for whoever operates it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from pepperrun.control.records import GONE
from pepperrun.foundation.netstring import Message

if TYPE_CHECKING:
    from pepperrun.control.hub import Hub

MS = 1_000_000


def shown(hub: Hub, now: int) -> Message:
    """The answer to `show`: ages in ms, addresses as the settings have them. Nothing secret is in it."""
    me, replica, body = hub.settings.me, hub.replica, hub.replica.body
    value, memory, age = replica.value, replica.register.memory, hub.age_ms(now)
    return {
        **{"k": "shown", "class": "sorting", "station": me.station, "ip": me.ip, "zone": me.zone},
        **{"region": me.region, "starts": hub.life, "life": memory.life, "votes": replica.votes},
        **{"number": replica.number, "edition": body.get("edition", 0), "seats": body.get("seats", 0)},
        **{"age_ms": None if age is None else round(age), "majority": not replica.minority},
        "voters": [list(one) for one in value.voters] if value else [],
        "leaving_voters": [list(one) for one in value.was if one not in value.voters] if value else [],
        **{"keeper": replica.keeper, "stopping": hub.retiring, "peers": hub.mesh.cores()},
        **{"evacuated": sorted(body.get("evacuated", ())), "cells": _cells(hub, now)},
        "children": [
            {"station": port.name, "number": peer.number}
            for port, peer in hub.publisher.peers.items()
            if peer.pushed
        ],
    }


def _cells(hub: Hub, now: int) -> dict[str, Any]:
    """By zone: workers by line and state, gatekeepers with their states and when they were last heard."""
    cells = hub.cells
    out: dict[str, dict[str, Any]]
    out = {zone: {"workers": {}, "guards": []} for zone in sorted(hub.settings.network.zones)}
    counted = Counter((one.zone, one.line, one.state) for one in cells.workers.values())
    for (zone, line, state), count in sorted(counted.items()):
        held = out.setdefault(zone, {"workers": {}, "guards": []})
        held["workers"].setdefault(line, {})[state] = count
    for one in sorted(cells.gateways.values(), key=lambda gateway: gateway.station):
        held = out.setdefault(one.zone, {"workers": {}, "guards": []})
        row: dict[str, Any] = {"station": one.station, "state": one.state, "counter": one.counter}
        if one.state != GONE:
            row["heard_ms"] = (now - cells.vouching.last("g:" + one.station, now)) // MS
        held["guards"].append(row)
    return out
