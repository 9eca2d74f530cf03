"""The operators' file on clients' connections, read as JSON: the serving path starts lean."""

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
    """Times of clients' connections in nanoseconds, and how many there may be."""

    idle_ns: int  # silent between requests
    first_byte_ns: int  # silent after connecting
    request_ns: int  # from a request's first byte until it is whole
    park_after_ns: int  # silent for this long, a connection gives up all but its record
    give_way_ns: int  # a new connection has this long to ask before it gives way to others
    most: int
    most_asking: int
    most_here: int  # descriptors of connections in the serving process; 0: what its limit leaves
    holders: int  # processes that keep silent connections beyond that
    turn_ns: int  # of the loop's time for each kind of upkeep at a time
    backlog: int


def _number(
    table: Mapping[str, Any], key: str, kind: type, default: float, least: float, most: float
) -> int | float:
    value: int | float = get(table, key, kind, default)
    if kind is int and isinstance(table.get(key), float) and table[key] != value:
        raise ValueError(f"{key}: not a whole number")
    if not least <= value <= most:
        raise ValueError(f"{key}: must be from {least:g} to {most:g}")
    return value


def read_clients(text: str) -> ClientsConfig:
    """The clients file; ValueError names a bad key."""
    table = json_object(text, "clients: ")
    known_keys(table, KEYS)

    def ns(key: str, default: float, least: float, most: float) -> int:
        return int(_number(table, key, float, default, least, most) * SECOND)

    most = int(_number(table, "most", int, 4096, 1, 10_000_000))
    config = ClientsConfig(
        idle_ns=ns("idle_s", 3600, 0.05, 7 * 86400),
        first_byte_ns=ns("first_byte_s", 30, 0.05, 7 * 86400),
        request_ns=ns("request_s", 10, 0.05, 3600),
        park_after_ns=ns("park_after_s", 1, 0, 3600),
        give_way_ns=ns("give_way_after_s", 0.25, 0, 60),
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
