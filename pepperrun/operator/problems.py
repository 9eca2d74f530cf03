"""Lists all problems of a settings file or a configuration, each in one sentence that names the item.

A control node reports only the first problem; the author of a file needs all of them. The checks and
sentences are those of `control.order_codec`, so a control node rejects a configuration that passes here only
because of the edition that the configuration is based on.
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
    """Returns the problems of a complete configuration; empty if it is valid on top of a lower edition."""
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
    items_by_kind: dict[str, Items] = {kind: _decode_rows(found, kind, data.get(kind)) for kind in ITEM_TYPES}
    well_formed = {
        kind: all(isinstance(item, dict) for item in rows.values()) for kind, rows in items_by_kind.items()
    }
    for kind, rows in items_by_kind.items():
        for name, item in list(rows.items()):
            if not _passes(found, check_items, kind, {name: item}):
                del items_by_kind[kind][name]
    if well_formed["carrier_lines"] and isinstance(data.get("carrier_lines"), dict):
        for item in items_by_kind["routes"].values():
            _passes(found, check_services_known, [item], _row_names(data["carrier_lines"]))
    _check_shared_keys(found, items_by_kind["senders"])
    return list(dict.fromkeys(found if first in found else [first, *found]))


def _passes(found: list[str], check: Callable[..., object], *arguments: Any) -> bool:
    """Returns whether a check passes; otherwise appends its sentence to `found`."""
    try:
        check(*arguments)
        return True
    except PepperrunError as error:
        found.append(error.detail)
        return False


def _decode_rows(found: list[str], kind: str, table: Any) -> Items:
    """Returns the items of a table that can be decoded, each row by itself."""
    if not isinstance(table, dict):
        return {}
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(rows, list) or not _passes(found, decode_table, kind, {"columns": columns, "rows": []}):
        return {}
    items: Items = {}
    for row in rows:
        try:
            decoded_row = decode_table(kind, {"columns": columns, "rows": [row]})
        except PepperrunError as error:
            found.append(error.detail)
            continue
        for name in decoded_row:
            if name in items:
                _passes(found, decode_table, kind, {"columns": columns, "rows": [row, row]})
        items |= decoded_row
    return items


def _row_names(table: dict[str, Any]) -> set[str]:
    """Returns the names of all rows of a table.

    Invalid rows are included: their own sentence is enough, so references to them are not reported, too.
    """
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list) or "name" not in columns:
        return set()
    index = columns.index("name")
    return {
        row[index]
        for row in rows
        if isinstance(row, list) and len(row) > index and isinstance(row[index], str)
    }


def _check_shared_keys(found: list[str], senders: Items) -> None:
    """Reports each pair of senders that share a key."""
    names = list(senders)
    for index, name in enumerate(names):
        for other in names[:index]:
            if set(senders[other].get("stamps", ())) & set(senders[name].get("stamps", ())):
                _passes(found, check_keys_distinct, {other: senders[other], name: senders[name]})


def settings_problems(data: Any) -> list[str]:
    """Returns the problems of a settings file's content; empty if a process can run with it."""
    try:
        settings = parse(data)
    except PepperrunError as error:
        return [f"{error.detail.rstrip('.')}."]
    return _node_problems(settings) + _network_problems(settings) + _bounds_problems(settings)


def _node_problems(settings: Settings) -> list[str]:
    me, zones, found = settings.me, settings.network.zones, []
    try:
        ipaddress.IPv4Address(me.ip)
    except ValueError:
        found.append(f"self.ip is not an IPv4 address: {me.ip!r}.")
    if not me.station:
        found.append("self.station is empty.")
    if zones and me.zone not in zones:
        found.append(f"self.zone {me.zone!r} is not among network.zones.")
    elif zones and zones[me.zone] != me.region:
        found.append(f"self.region is {me.region!r}, network.zones says {zones[me.zone]!r} for {me.zone}.")
    serves_control = "control_port" in settings.network.postboxes
    if serves_control and me.store_dir is None:
        found.append(
            "self.store_dir is missing: the state of a control node would be lost when its process ends."
        )
    return found


def _network_problems(settings: Settings) -> list[str]:
    network, found = settings.network, []
    first, last = network.sidings
    if not 0 < first <= last < 65536:
        found.append(f"network.sidings is not a valid range of ports: {first} to {last}.")
    if not network.first_contacts:
        found.append("network.first_contacts is empty: no control node can be found.")
    if not network.postboxes:
        found.append("network.postboxes is empty: the process would serve no requests.")
    ports: dict[int, str] = {}
    for name, text in network.postboxes.items():
        host, port = parse_address(text)
        if host != settings.me.ip:
            found.append(f"network.postboxes.{name} is at {host}, not at self.ip {settings.me.ip}.")
        if port in ports:
            found.append(f"network.postboxes.{name} has the same port as {ports[port]}: {port}.")
        elif first <= port <= last:
            found.append(f"network.postboxes.{name} has port {port}, which is in network.sidings.")
        ports[port] = name
    return found


def _bounds_problems(settings: Settings) -> list[str]:
    bounds, found = settings.tariffs.bounds, []
    for name, value in vars(bounds).items():
        if not isinstance(value, bool) and value < 0:
            found.append(f"tariffs.bounds.{name} is {value:g}; it must not be below 0.")
    if settings.carrier.beat_ms <= 0:
        found.append(f"carrier.beat_ms is {settings.carrier.beat_ms:g}; it must be above 0.")
    return found
