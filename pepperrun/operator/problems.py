"""All that is wrong with a settings file or a configuration, each in one sentence that names the item.

The core stops at the first problem; whoever writes a file wants to know them all. The sentences are those of
`control.order_codec`, so what passes here is refused by the core only for what it builds on.
"""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Callable
from typing import Any

from pepperrun.control.item_conversion import ITEM_TYPES, Items
from pepperrun.control.order_codec import read_replace
from pepperrun.control.table_codec import decode_table
from pepperrun.control.validation import check_items, check_keys_distinct, check_services_known
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Settings, parse, parse_address


def configuration_problems(body: bytes) -> list[str]:
    """Of a whole configuration; empty where it would be taken on top of a lower edition."""
    try:
        read_replace(body, 0)
        return []
    except PepperrunError as error:
        first = error.detail
    try:
        data: Any = json.loads(body)
    except ValueError:
        return [first]
    if not isinstance(data, dict):
        return [first]
    found: list[str] = []
    held: dict[str, Items] = {kind: _rows(found, kind, data.get(kind)) for kind in ITEM_TYPES}
    whole = {kind: all(isinstance(item, dict) for item in rows.values()) for kind, rows in held.items()}
    for kind, rows in held.items():
        for name, item in list(rows.items()):
            if not _good(found, check_items, kind, {name: item}):
                del held[kind][name]
    if whole["carrier_lines"] and isinstance(data.get("carrier_lines"), dict):
        for item in held["routes"].values():
            _good(found, check_services_known, [item], _names(data["carrier_lines"]))
    _shared(found, held["senders"])
    return list(dict.fromkeys(found if first in found else [first, *found]))


def _good(found: list[str], check: Callable[..., object], *what: Any) -> bool:
    """Does it pass? Else the sentence is noted."""
    try:
        check(*what)
        return True
    except PepperrunError as error:
        found.append(error.detail)
        return False


def _rows(found: list[str], kind: str, table: Any) -> Items:
    """The items of a table that can be read, each row for itself."""
    if not isinstance(table, dict):
        return {}
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(rows, list) or not _good(found, decode_table, kind, {"columns": columns, "rows": []}):
        return {}
    out: Items = {}
    for row in rows:
        try:
            one = decode_table(kind, {"columns": columns, "rows": [row]})
        except PepperrunError as error:
            found.append(error.detail)
            continue
        for name in one:
            if name in out:
                _good(found, decode_table, kind, {"columns": columns, "rows": [row, row]})
        out |= one
    return out


def _names(table: dict[str, Any]) -> set[str]:
    """Names of a table's rows, also of those that are no good: one sentence is enough for these."""
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list) or "name" not in columns:
        return set()
    at = columns.index("name")
    return {row[at] for row in rows if isinstance(row, list) and len(row) > at and isinstance(row[at], str)}


def _shared(found: list[str], senders: Items) -> None:
    """Each pair of senders that share a key."""
    names = list(senders)
    for at, name in enumerate(names):
        for other in names[:at]:
            if set(senders[other].get("stamps", ())) & set(senders[name].get("stamps", ())):
                _good(found, check_keys_distinct, {other: senders[other], name: senders[name]})


def settings_problems(data: Any) -> list[str]:
    """Of a settings file's tables; empty where a process can run by them."""
    try:
        settings = parse(data)
    except PepperrunError as error:
        return [f"{error.detail.rstrip('.')}."]
    return _of_machine(settings) + _of_network(settings) + _of_bounds(settings)


def _of_machine(settings: Settings) -> list[str]:
    me, zones, found = settings.me, settings.network.zones, []
    try:
        ipaddress.IPv4Address(me.ip)
    except ValueError:
        found.append(f"self.ip is no IPv4 address: {me.ip!r}.")
    if not me.station:
        found.append("self.station is empty.")
    if zones and me.zone not in zones:
        found.append(f"self.zone {me.zone!r} is not among network.zones.")
    elif zones and zones[me.zone] != me.region:
        found.append(f"self.region is {me.region!r}, network.zones says {zones[me.zone]!r} for {me.zone}.")
    serves_core = "control_port" in settings.network.postboxes
    if serves_core and me.store_dir is None:
        found.append(
            "self.store_dir is missing: what a core machine agreed to would not outlive its process."
        )
    return found


def _of_network(settings: Settings) -> list[str]:
    network, found = settings.network, []
    first, last = network.sidings
    if not 0 < first <= last < 65536:
        found.append(f"network.sidings is no range of ports: {first} to {last}.")
    if not network.first_contacts:
        found.append("network.first_contacts is empty: no core machine can be found.")
    if not network.postboxes:
        found.append("network.postboxes is empty: the process would serve nobody.")
    ports: dict[int, str] = {}
    for name, text in network.postboxes.items():
        host, port = parse_address(text)
        if host != settings.me.ip:
            found.append(f"network.postboxes.{name} is at {host}, not at self.ip {settings.me.ip}.")
        if port in ports:
            found.append(f"network.postboxes.{name} has the port of {ports[port]}, {port}.")
        elif first <= port <= last:
            found.append(f"network.postboxes.{name} has port {port}, which is one of network.sidings.")
        ports[port] = name
    return found


def _of_bounds(settings: Settings) -> list[str]:
    bounds, found = settings.tariffs.bounds, []
    for name, value in vars(bounds).items():
        if not isinstance(value, bool) and value < 0:
            found.append(f"tariffs.bounds.{name} is {value:g}, below 0.")
    if settings.carrier.beat_ms <= 0:
        found.append(f"carrier.beat_ms is {settings.carrier.beat_ms:g}, not above 0.")
    return found
