"""Codec between the tables of columns and rows that operators send, and items by name.

An item keeps each column that was sent with a value, even an unknown one, so that operators read back what
they sent.
"""

from __future__ import annotations

import json
import math
from typing import Any

from pepperrun.control.item_conversion import ITEM_NAMES, Item, Items
from pepperrun.control.verdict import configuration_error


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is no JSON")


def _parse_float(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise ValueError(f"{text} is out of range")
    return number


def _check_encodable(data: bytes, body: Any) -> None:
    """Raise UnicodeEncodeError for half a surrogate pair: no message, which is UTF-8, can carry it."""
    if not data.isascii() or b"\\u" in data:
        json.dumps(body, ensure_ascii=False).encode()


def parse_body(data: bytes) -> dict[str, Any]:
    """Return the JSON object in the body of a call.

    Raises
    ------
    PepperrunError
        `cut-short`: the body is incomplete, not a JSON object, or holds what can't be sent as JSON in UTF-8.
    """
    try:
        body = json.loads(data, parse_constant=_reject_constant, parse_float=_parse_float)
        _check_encodable(data, body)
    except (ValueError, RecursionError) as error:
        raise configuration_error("cut-short", f"The body can't be read whole: {error}.") from None
    if not isinstance(body, dict):
        raise configuration_error("cut-short", "The body is no JSON object.")
    return body


def decode_table(kind: str, table: Any) -> Items:
    """Return a table's items by name; columns with a null value are omitted.

    Parameters
    ----------
    kind : str
        Name of the table, a key of `ITEM_TYPES`.

    Raises
    ------
    PepperrunError
        `cut-short`: columns, rows or values are missing. `bad-type`: names are missing or not strings.
        `twice-named`: two items have the same name.
    """
    columns, rows = _columns_and_rows(kind, table)
    items: Items = {}
    for row in rows:
        item = _decode_row(kind, columns, row)
        name = item["name"]
        if name in items:
            raise configuration_error("twice-named", f"{ITEM_NAMES[kind]} {name} is there twice.")
        items[name] = item
    return items


def _columns_and_rows(kind: str, table: Any) -> tuple[list[str], list[Any]]:
    if not isinstance(table, dict):
        raise configuration_error("cut-short", f"{kind} is no table.")
    columns = table.get("columns")
    rows = table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise configuration_error("cut-short", f"{kind} has no columns and rows.")
    if not all(isinstance(column, str) for column in columns) or len(set(columns)) != len(columns):
        raise configuration_error("bad-type", f"{kind}: the columns are not distinct names.")
    return columns, rows


def _decode_row(kind: str, columns: list[str], row: Any) -> Item:
    if not isinstance(row, list) or len(row) != len(columns):
        raise configuration_error(
            "cut-short", f"{kind}: a row does not have {len(columns)} values: {row!r:.80}."
        )
    item = {column: value for column, value in zip(columns, row, strict=True) if value is not None}
    name = item.get("name")
    if not isinstance(name, str) or not name:
        raise configuration_error("bad-type", f"{kind}: a row has no name: {row!r:.80}.")
    return item


def encode_table(items: Items) -> dict[str, Any]:
    """Return items as a table with the columns of all items, in the order of their first occurrence."""
    columns = list(dict.fromkeys(column for item in items.values() for column in item)) or ["name"]
    rows = [[item.get(column) for column in columns] for item in items.values()]
    return {"columns": columns, "rows": rows}
