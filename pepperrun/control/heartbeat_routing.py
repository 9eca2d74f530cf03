"""Heartbeat routing: chooses the control node to which a worker sends its heartbeats. Pure.

No node forwards heartbeats: the response to a heartbeat names the chosen node, which the worker then calls.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

HASH_BYTES = 8


def preferred_node(worker_id: str, zone: str, nodes: Mapping[str, str], regions: Mapping[str, str]) -> str:
    """Return the ip of the node to which a worker should send its heartbeats.

    The node is one in the worker's zone, else in its region, else any node. Rendezvous hashing chooses among
    these, so that workers are spread evenly and keep their nodes when others come or go.

    Parameters
    ----------
    nodes : mapping of str to str
        Zone by ip of the available nodes; not empty.
    regions : mapping of str to str
        Region of each zone.
    """
    candidates = [ip for ip, node_zone in nodes.items() if node_zone == zone]
    if not candidates:
        candidates = _in_region(zone, nodes, regions) or list(nodes)
    return max(candidates, key=lambda ip: _hash(ip, worker_id))


def _in_region(zone: str, nodes: Mapping[str, str], regions: Mapping[str, str]) -> list[str]:
    if zone not in regions:
        return []
    return [ip for ip, node_zone in nodes.items() if regions.get(node_zone) == regions[zone]]


def _hash(ip: str, worker_id: str) -> bytes:
    return blake2b(f"{ip} {worker_id}".encode(), digest_size=HASH_BYTES).digest()
