"""The state of a running control node as one JSON object for operators; its keys are part of the protocol."""

from __future__ import annotations

from collections import Counter
from typing import Any, Protocol

from pepperrun.consensus.replica import Replica
from pepperrun.control.endpoint_registry import EndpointRegistry
from pepperrun.control.peer_links import CONTROL_CLASS, PeerLinks
from pepperrun.distribution.publisher import Publisher
from pepperrun.foundation.netstring import Message
from pepperrun.foundation.settings import Settings

MS = 1_000_000  # ns


class InspectedNode(Protocol):
    """What `inspect_node` reads of a control node; implemented by `control.node.ControlNode`."""

    settings: Settings
    incarnation: int
    replica: Replica
    registry: EndpointRegistry
    peer_links: PeerLinks
    publisher: Publisher
    is_stopping: bool

    def age_ms(self, now: int) -> float | None:
        """Return the maximum age of the known state, ms; None if no state is confirmed."""


def inspect_node(node: InspectedNode, now: int) -> Message:
    """Return the reply to `show`: ages in ms, addresses as in the settings. It contains no secrets."""
    me = node.settings.me
    replica = node.replica
    body = replica.body
    value = replica.value
    outgoing = [voter for voter in value.outgoing_voters if voter not in value.voters] if value else []
    age_ms = node.age_ms(now)
    return {
        "k": "shown",
        "class": CONTROL_CLASS,
        "station": me.station,
        "ip": me.ip,
        "zone": me.zone,
        "region": me.region,
        "starts": node.incarnation,
        "life": replica.register.state.disk_id,
        "votes": replica.is_voter,
        "number": replica.version,
        "edition": body.get("edition", 0),
        "seats": body.get("seats", 0),
        "age_ms": None if age_ms is None else round(age_ms),
        "majority": not replica.lacks_quorum,
        "voters": [list(voter) for voter in value.voters] if value else [],
        "leaving_voters": [list(voter) for voter in outgoing],
        "keeper": replica.coordinator,
        "stopping": node.is_stopping,
        "peers": node.peer_links.linked_nodes(),
        "evacuated": sorted(body.get("evacuated", ())),
        "cells": _endpoints_by_zone(node, now),
        "children": [
            {"station": port.name, "number": peer.version}
            for port, peer in node.publisher.peers.items()
            if peer.is_attached
        ],
    }


def _endpoints_by_zone(node: InspectedNode, now: int) -> dict[str, Any]:
    """Return by zone the workers by service and state, and the gatekeepers with their state and silence."""
    registry = node.registry
    zones: dict[str, dict[str, Any]] = {zone: _empty_zone() for zone in sorted(node.settings.network.zones)}
    counts = Counter(
        (worker.zone, worker.service, worker.state)
        for worker in registry.workers.values()
        if not worker.is_tombstone
    )
    for (zone, service, state), count in sorted(counts.items()):
        workers = zones.setdefault(zone, _empty_zone())["workers"]
        workers.setdefault(service, {})[state] = count
    for gateway in sorted(registry.gateways.values(), key=lambda gateway: gateway.name):
        row: dict[str, Any] = {
            "station": gateway.name,
            "state": gateway.state,
            "counter": gateway.client_address,
        }
        if not gateway.is_gone:
            row["heard_ms"] = registry.gateway_silent_ns(gateway.name, now) // MS
        zones.setdefault(gateway.zone, _empty_zone())["guards"].append(row)
    return zones


def _empty_zone() -> dict[str, Any]:
    return {"workers": {}, "guards": []}
