"""Reading and checking a configuration as operators send it: tables of columns and rows, then items by name.

Every item keeps each column that was sent with a value, known or not, so that it reads back as it was sent.
What dacite reads here decides whether it is taken. A refusal is a PepperrunError: its code names the kind,
its detail is one sentence that names the item.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import MISSING, fields
from hashlib import blake2b
from typing import Any, TypeVar

import dacite

from pepperrun.control.configuration import UNSAFE, CarrierLine, Limits, Route, Sender, Split, Timetable
from pepperrun.foundation.errors import PepperrunError

Item = dict[str, Any]
Items = dict[str, Item]
Op = dict[str, Any]

STEP = "reading the configuration"
LONGEST_MS = 600_000
KINDS: dict[str, type] = {"routes": Route, "carrier_lines": CarrierLine, "senders": Sender}
ONE = {"routes": "route", "carrier_lines": "service", "senders": "sender"}  # how sentences call an item
T = TypeVar("T")


def refusal(code: str, sentence: str) -> PepperrunError:
    """Return the error that says why a configuration is not taken."""
    whole = sentence[:1].upper() + sentence[1:].rstrip()
    return PepperrunError(code, STEP, whole if whole.endswith(".") else whole + ".")


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise TypeError(f"{value!r:.40} is no number")
    return float(value)


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or int(value) != value:
        raise TypeError(f"{value!r:.40} is no whole number")
    return int(value)


CONFIG = dacite.Config(type_hooks={float: _number, int: _whole})
EXACT = 1 << 53  # whole numbers below it are the same as floats


def _texts(value: Any) -> bool:
    return type(value) is list and all(type(one) is str for one in value)


def _figure(value: Any) -> bool:
    return (type(value) is float and math.isfinite(value)) or (type(value) is int and abs(value) < EXACT)


def _shares(value: Any) -> bool:
    return type(value) is list and all(type(one) is dict and plain(Split, one) for one in value)


# Only what dacite takes as it is: by the type that a column is declared with.
PLAIN: dict[Any, Callable[[Any], bool]] = {
    "str": lambda value: type(value) is str,
    "str | None": lambda value: type(value) is str,
    "int": lambda value: type(value) is int,
    "int | None": lambda value: type(value) is int,
    "float": _figure,
    "bool": lambda value: type(value) is bool,
    "list[str]": _texts,
    "list[Split] | None": _shares,
}
DECLARED: dict[type, dict[str, Callable[[Any], bool]]] = {
    kind: {one.name: PLAIN[one.type] for one in fields(kind)}
    for kind in (Route, CarrierLine, Limits, Sender, Split)
}
NEEDED: dict[type, list[str]] = {
    kind: [one.name for one in fields(kind) if one.default is MISSING and one.default_factory is MISSING]
    for kind in (Route, CarrierLine, Limits, Sender, Split)
}
GIVEN = ("route_kind", "target_ms")  # these a route may leave out


def plain(kind: type, item: Item) -> bool:
    """Return whether dacite would surely read this item. Of the rest dacite tells what is wrong.

    dacite takes 0.1 ms for a route: for 1,400 of them half a second of a small core machine, in which it
    answers nobody.
    """
    columns = DECLARED[kind]
    for name, value in item.items():
        sure = columns.get(name)
        if sure is not None and not sure(value):
            return False
    return all(name in item or name in GIVEN for name in NEEDED[kind])


def typed(kind: type[T], item: Item, called: str) -> T:
    """Return the item as the planes read it: unknown columns passed over, defaults for missing ones."""
    if kind is Route:
        item = {"route_kind": UNSAFE, "target_ms": item.get("deadline_ms")} | item
    try:
        return dacite.from_dict(kind, item, CONFIG)
    except (dacite.DaciteError, TypeError, ValueError, OverflowError) as error:
        raise refusal("bad-type", f"{called}: {error}") from None


def _no_constant(text: str) -> Any:
    raise ValueError(f"{text} is no JSON")


def parse(data: bytes) -> dict[str, Any]:
    """Return the body of a call; raise a `cut-short` refusal where it is incomplete."""
    try:
        body = json.loads(data, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise refusal("cut-short", f"The body can't be read whole: {error}.") from None
    if not isinstance(body, dict):
        raise refusal("cut-short", "The body is no JSON object.")
    return body


def _edition(body: dict[str, Any]) -> int:
    edition = body.get("edition")
    if isinstance(edition, bool) or not isinstance(edition, int) or edition < 1:
        raise refusal("bad-type", f"The edition is no whole number above 0: {edition!r:.40}.")
    return edition


def items(kind: str, table: Any) -> Items:
    """Return a table's items by name; columns without a value (null) are left out."""
    if not isinstance(table, dict):
        raise refusal("cut-short", f"{kind} is no table.")
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise refusal("cut-short", f"{kind} has no columns and rows.")
    if not all(isinstance(one, str) for one in columns) or len(set(columns)) != len(columns):
        raise refusal("bad-type", f"{kind}: the columns are not distinct names.")
    out: Items = {}
    for row in rows:
        if not isinstance(row, list) or len(row) != len(columns):
            raise refusal("cut-short", f"{kind}: a row does not have {len(columns)} values: {row!r:.80}.")
        item = {column: value for column, value in zip(columns, row, strict=True) if value is not None}
        name = item.get("name")
        if not isinstance(name, str) or not name:
            raise refusal("bad-type", f"{kind}: a row has no name: {row!r:.80}.")
        if name in out:
            raise refusal("twice-named", f"{ONE[kind]} {name} is there twice.")
        out[name] = item
    return out


def table(rows: Items) -> dict[str, Any]:
    """Return items as a table again: the columns that any of them has, in the order in which they are met."""
    columns = list(dict.fromkeys(column for item in rows.values() for column in item)) or ["name"]
    return {"columns": columns, "rows": [[item.get(column) for column in columns] for item in rows.values()]}


def check_route(item: Item) -> None:
    """Raise a refusal where a route is not valid for itself."""
    name = item["name"]
    if "deadline_ms" not in item:
        raise refusal("no-timeout", f"Route {name} has no deadline_ms.")
    if "prefix" not in item or "depot" not in item:
        code = "no-host" if "depot" not in item else "bare-prefix"
        raise refusal(code, f"Route {name} has no host or prefix.")
    if plain(Route, item):
        splits = item.get("splits")
        shares = None if splits is None else [split["share"] for split in splits]
        _check_match(name, item["deadline_ms"], item["prefix"], item["depot"])
        _check_destination(name, item.get("line"), shares)
    else:
        route = typed(Route, item, f"route {name}")
        shares = None if route.splits is None else [split.share for split in route.splits]
        _check_match(name, route.deadline_ms, route.prefix, route.depot)
        _check_destination(name, route.line, shares)


def _check_match(name: str, deadline_ms: float, prefix: str, depot: str) -> None:
    """Check which requests a route takes, and for how long."""
    if not deadline_ms > 0:
        raise refusal("no-timeout", f"Route {name} has a deadline_ms of {deadline_ms:g}, not above 0.")
    if deadline_ms > LONGEST_MS:
        raise refusal("long-timeout", f"Route {name} has a deadline_ms of {deadline_ms:g}, over ten minutes.")
    if not prefix.startswith("/"):
        raise refusal("bare-prefix", f"Route {name} has the prefix {prefix!r}, which begins with no slash.")
    if not depot.strip():
        raise refusal("no-host", f"Route {name} has an empty depot.")


def _check_destination(name: str, service: str | None, shares: list[float] | None) -> None:
    """Check that a route goes to one service, or to several by their shares."""
    if shares:
        if service is not None:
            raise refusal("no-service", f"Route {name} has both a line and splits.")
        if any(share < 0 for share in shares) or not sum(shares) > 0:
            raise refusal("no-weight", f"Route {name} has splits whose shares don't add up to more than 0.")
    elif service is None:
        code = "no-service" if shares is None else "no-weight"
        raise refusal(code, f"Route {name} goes to no service.")


def check_items(kind: str, rows: Items) -> None:
    """Raise a refusal where an item is not valid for itself."""
    for name, item in rows.items():
        if kind == "routes":
            check_route(item)
        elif not plain(KINDS[kind], item):
            typed(KINDS[kind], item, f"{ONE[kind]} {name}")


def lines_of(item: Item) -> list[str]:
    """Return the services that a checked route names."""
    splits = item.get("splits")
    return [split["line"] for split in splits] if splits else [item["line"]]


def check_lines(routes: Iterable[Item], lines: Mapping[str, Any]) -> None:
    """Raise a refusal where a route names an unknown service."""
    for item in routes:
        for line in lines_of(item):
            if line not in lines:
                raise refusal("unknown-service", f"Route {item['name']} names the unknown service {line!r}.")


def check_stamps(senders: Mapping[str, Item]) -> None:
    """Raise a refusal where two senders share a key."""
    held: dict[str, str] = {}
    for name, item in senders.items():
        for stamp in item.get("stamps", ()):
            if held.setdefault(stamp, name) != name:
                raise refusal("shared-key", f"Senders {held[stamp]} and {name} share a key.")


def _limits(body: dict[str, Any]) -> Item:
    limits = body.get("limits") or {}
    if not isinstance(limits, dict):
        raise refusal("bad-type", "limits is no object.")
    limits = {key: value for key, value in limits.items() if value is not None}
    if not plain(Limits, limits):
        typed(Limits, limits, "limits")
    return limits


def digest(op: Op) -> str:
    """Return the same digest for the same order, whatever way its JSON was written."""
    text = json.dumps(op, sort_keys=True, separators=(",", ":"))
    return blake2b(text.encode(), digest_size=12).hexdigest()


def read_replace(data: bytes, on: int) -> Op:
    """Return the operation of a complete configuration on top of edition `on`."""
    body = parse(data)
    op: Op = {"do": "replace", "on": on, "edition": _edition(body)}
    for kind in KINDS:
        if kind not in body and kind != "senders":
            raise refusal("cut-short", f"The configuration has no {kind}.")
        op[kind] = items(kind, body[kind]) if body.get(kind) is not None else {}
        check_items(kind, op[kind])
    check_lines(op["routes"].values(), op["carrier_lines"])
    check_stamps(op["senders"])
    op["limits"] = _limits(body)
    more = {
        key: value for key, value in body.items() if key not in KINDS and key not in ("edition", "limits")
    }
    if more:
        op["more"] = more
    op["digest"] = digest(op)
    return op


def read_amend(data: bytes, on: int) -> Op:
    """Return the operation that changes named items on top of edition `on`."""
    body = parse(data)
    op: Op = {"do": "amend", "on": on, "edition": _edition(body), "upsert": {}, "withdraw": {}}
    upsert, withdraw = body.get("upsert") or {}, body.get("withdraw") or {}
    if not isinstance(upsert, dict) or not isinstance(withdraw, dict):
        raise refusal("bad-type", "upsert and withdraw are no objects.")
    for kind in KINDS:
        if upsert.get(kind) is not None:
            op["upsert"][kind] = items(kind, upsert[kind])
            check_items(kind, op["upsert"][kind])
        names = withdraw.get(kind)
        if names is None:
            continue
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise refusal("bad-type", f"withdraw: {kind} is no list of names.")
        for name in names:
            if name in op["upsert"].get(kind, ()):
                raise refusal("twice-named", f"{ONE[kind]} {name} is to be both put and withdrawn.")
        op["withdraw"][kind] = names
    limits = _limits(body) or _limits(upsert)
    if limits:
        op["limits"] = limits
    op["digest"] = digest(op)
    return op


COLUMNS: dict[type[Any], frozenset[str]] = {
    kind: frozenset(one.name for one in fields(kind)) for kind in (Route, CarrierLine, Sender, Limits)
}


def known(kind: type[T], item: Item) -> T:
    """Return what `typed` does, of an item that has been checked: many times faster."""
    columns = COLUMNS[kind]
    known = {column: value for column, value in item.items() if column in columns}
    if kind is Route:
        known = {"route_kind": UNSAFE, "target_ms": item["deadline_ms"]} | known
        if known.get("splits"):
            known["splits"] = [Split(one["line"], one["share"]) for one in known["splits"]]
    return kind(**known)


def timetable(
    state: Mapping[str, Any], before: tuple[Mapping[str, Any], Timetable] | None = None
) -> Timetable:
    """Return the agreed state, which has been checked, as the planes read it.

    `before`: an earlier state and what it read as; items that are the same object in both are not read again.
    """
    old, was = before if before is not None else ({}, Timetable())

    def read(kind: str, of: type[T], held: dict[str, T]) -> dict[str, T]:
        earlier = old.get(kind, {})
        return {
            name: held[name] if name in held and earlier.get(name) is item else known(of, item)
            for name, item in state.get(kind, {}).items()
        }

    return Timetable(
        int(state.get("edition", 0)),
        read("routes", Route, was.routes),
        read("carrier_lines", CarrierLine, was.carrier_lines),
        known(Limits, state.get("limits") or {}),
        read("senders", Sender, was.senders),
    )
