"""Reads the operators' file on client connections. It is JSON, which needs few imports at the start."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pepperrun.config import get, json_object, known_keys
from pepperrun.core.clock import SECOND

KEYS = (
    "idle_s first_byte_s request_s most most_asking park_after_s give_way_after_s holders most_here turn_ms"
    " backlog"
)
MAX_HOLDERS = 64


@dataclass(slots=True, frozen=True)
class ClientsConfig:
    """Time-outs of client connections in nanoseconds, and limits on their number."""

    idle_ns: int  # time-out of a connection that is idle between requests
    first_byte_ns: int  # time-out of a connection that has sent nothing since it was made
    request_ns: int  # time-out from the first byte of a request until the request is complete
    park_after_ns: int  # a connection that is idle for this long is parked: only its record is kept
    give_way_ns: int  # one without a response is evicted no sooner than so long after its accept or last use
    most: int  # limit on all client connections, in this process and in holders
    most_asking: int  # limit on active connections; others with input wait for one to be parked or closed
    most_here: int  # limit on connections in this process, without holders; 0: what descriptors allow
    holders: int  # processes that hold idle connections beyond that limit
    turn_ns: int  # time for each kind of upkeep in one turn of the event loop
    backlog: int  # of the listening sockets


def _number(
    table: Mapping[str, Any], key: str, value_type: type, default: float, minimum: float, maximum: float
) -> int | float:
    value: int | float = get(table, key, value_type, default)
    if value_type is int and isinstance(table.get(key), float) and table[key] != value:
        raise ValueError(f"{key}: not an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"{key}: must be from {minimum:g} to {maximum:g}")
    return value


def read_clients(text: str) -> ClientsConfig:
    """Returns the settings of a clients file. Raises ValueError, which names the key, if one is invalid."""
    table = json_object(text, "clients: ")
    known_keys(table, KEYS)

    def nanoseconds(key: str, default: float, minimum: float, maximum: float) -> int:
        return int(_number(table, key, float, default, minimum, maximum) * SECOND)

    most = int(_number(table, "most", int, 4096, 1, 10_000_000))
    config = ClientsConfig(
        idle_ns=nanoseconds("idle_s", 3600, 0.05, 7 * 86400),
        first_byte_ns=nanoseconds("first_byte_s", 30, 0.05, 7 * 86400),
        request_ns=nanoseconds("request_s", 10, 0.05, 3600),
        park_after_ns=nanoseconds("park_after_s", 1, 0, 3600),
        give_way_ns=nanoseconds("give_way_after_s", 0.25, 0, 60),
        most=most,
        most_asking=int(_number(table, "most_asking", int, min(512, most), 1, 100_000)),
        most_here=int(_number(table, "most_here", int, 0, 0, 10_000_000)),
        holders=int(_number(table, "holders", int, 0, 0, MAX_HOLDERS)),
        turn_ns=int(_number(table, "turn_ms", float, 2.0, 0.1, 1000) * 1_000_000),
        backlog=int(_number(table, "backlog", int, 4096, 1, 65535)),
    )
    if config.most_asking > config.most:
        raise ValueError("most_asking: must be no more than most")
    if config.park_after_ns >= config.idle_ns:
        raise ValueError("park_after_s: must be less than idle_s")
    return config
