"""Decoder of operators' orders: from the body of a call to a validated operation on the agreed state.

An operation is validated as far as that is possible without the state; `control.changes` checks the rest.
"""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import Any

from pepperrun.consensus.state import Operation
from pepperrun.control.configuration import Limits
from pepperrun.control.item_conversion import ITEM_NAMES, ITEM_TYPES, Item, Items, conforms, convert
from pepperrun.control.table_codec import decode_table, parse_body
from pepperrun.control.validation import check_items, check_keys_distinct, check_services_known
from pepperrun.control.verdict import configuration_error

DIGEST_BYTES = 12
# Keys of a complete configuration that the system interprets; the others are stored as they are.
KNOWN_KEYS = (*ITEM_TYPES, "edition", "limits")


def digest(op: Operation) -> str:
    """Return the digest of an order; the formatting of its JSON does not matter."""
    text = json.dumps(op, sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def read_replace(data: bytes, base_edition: int) -> Operation:
    """Return the operation that replaces the configuration of an edition by a complete one.

    Raises
    ------
    PepperrunError
        The body is not valid; the error's code and sentence are sent to the operator.
    """
    body = parse_body(data)
    op: Operation = {"do": "replace", "on": base_edition, "edition": _edition(body)}
    for kind in ITEM_TYPES:
        op[kind] = _complete_table(kind, body)
    check_services_known(op["routes"].values(), op["carrier_lines"])
    check_keys_distinct(op["senders"])
    op["limits"] = _limits(body)
    more = {key: value for key, value in body.items() if key not in KNOWN_KEYS}
    if more:
        op["more"] = more
    op["digest"] = digest(op)
    return op


def _complete_table(kind: str, body: dict[str, Any]) -> Items:
    if kind not in body and kind != "senders":
        raise configuration_error("cut-short", f"The configuration has no {kind}.")
    if body.get(kind) is None:
        return {}
    items = decode_table(kind, body[kind])
    check_items(kind, items)
    return items


def read_amend(data: bytes, base_edition: int) -> Operation:
    """Return the operation that changes the named items of an edition.

    Raises
    ------
    PepperrunError
        The body is not valid; the error's code and sentence are sent to the operator.
    """
    body = parse_body(data)
    op: Operation = {"do": "amend", "on": base_edition, "edition": _edition(body)}
    op |= {"upsert": {}, "withdraw": {}}
    upsert = body.get("upsert") or {}
    withdraw = body.get("withdraw") or {}
    if not isinstance(upsert, dict) or not isinstance(withdraw, dict):
        raise configuration_error("bad-type", "upsert and withdraw are no objects.")
    for kind in ITEM_TYPES:
        if upsert.get(kind) is not None:
            op["upsert"][kind] = decode_table(kind, upsert[kind])
            check_items(kind, op["upsert"][kind])
        if withdraw.get(kind) is not None:
            op["withdraw"][kind] = _names_to_withdraw(kind, withdraw[kind], op["upsert"].get(kind, {}))
    limits = _limits(body) or _limits(upsert)
    if limits:
        op["limits"] = limits
    op["digest"] = digest(op)
    return op


def _names_to_withdraw(kind: str, names: Any, upserted: Items) -> list[str]:
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise configuration_error("bad-type", f"withdraw: {kind} is no list of names.")
    for name in names:
        if name in upserted:
            raise configuration_error(
                "twice-named", f"{ITEM_NAMES[kind]} {name} is to be both put and withdrawn."
            )
    return names


def _edition(body: dict[str, Any]) -> int:
    edition = body.get("edition")
    if isinstance(edition, bool) or not isinstance(edition, int) or edition < 1:
        raise configuration_error("bad-type", f"The edition is no whole number above 0: {edition!r:.40}.")
    return edition


def _limits(body: dict[str, Any]) -> Item:
    limits = body.get("limits") or {}
    if not isinstance(limits, dict):
        raise configuration_error("bad-type", "limits is no object.")
    limits = {key: value for key, value in limits.items() if value is not None}
    if not conforms(Limits, limits):
        convert(Limits, limits, "limits")
    return limits
