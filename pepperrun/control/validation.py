"""Validation of a configuration: of each item by itself, and of references between items.

A failed check raises a PepperrunError: its code is the kind of error, its detail a sentence that names the
item.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from pepperrun.control.configuration import Route
from pepperrun.control.item_conversion import ITEM_NAMES, ITEM_TYPES, Item, Items, conforms, convert
from pepperrun.control.verdict import configuration_error

MAX_DEADLINE_MS = 600_000


def check_items(kind: str, items: Items) -> None:
    """Check each item of a table by itself.

    Raises
    ------
    PepperrunError
        `bad-type`, or for a route the errors of `check_route`.
    """
    for name, item in items.items():
        if kind == "routes":
            check_route(item)
        elif not conforms(ITEM_TYPES[kind], item):
            convert(ITEM_TYPES[kind], item, f"{ITEM_NAMES[kind]} {name}")


def check_route(item: Item) -> None:
    """Check a route by itself.

    Raises
    ------
    PepperrunError
        `no-timeout`, `long-timeout`, `no-host`, `bare-prefix`, `no-service`, `no-weight` or `bad-type`.
    """
    name = item["name"]
    if "deadline_ms" not in item:
        raise configuration_error("no-timeout", f"Route {name} has no deadline_ms.")
    if "prefix" not in item or "depot" not in item:
        code = "no-host" if "depot" not in item else "bare-prefix"
        raise configuration_error(code, f"Route {name} has no host or prefix.")
    if conforms(Route, item):
        splits = item.get("splits")
        shares = None if splits is None else [split["share"] for split in splits]
        _check_match(name, item["deadline_ms"], item["prefix"], item["depot"])
        _check_destination(name, item.get("line"), shares)
    else:
        route = convert(Route, item, f"route {name}")
        shares = None if route.splits is None else [split.share for split in route.splits]
        _check_match(name, route.deadline_ms, route.prefix, route.depot)
        _check_destination(name, route.line, shares)


def _check_match(name: str, deadline_ms: float, prefix: str, host: str) -> None:
    """Check a route's deadline, path prefix and host."""
    if not deadline_ms > 0:
        raise configuration_error(
            "no-timeout", f"Route {name} has a deadline_ms of {deadline_ms:g}, not above 0."
        )
    if deadline_ms > MAX_DEADLINE_MS:
        raise configuration_error(
            "long-timeout", f"Route {name} has a deadline_ms of {deadline_ms:g}, over ten minutes."
        )
    if not prefix.startswith("/"):
        raise configuration_error(
            "bare-prefix", f"Route {name} has the prefix {prefix!r}, which begins with no slash."
        )
    if not host.strip():
        raise configuration_error("no-host", f"Route {name} has an empty depot.")


def _check_destination(name: str, service: str | None, shares: list[float] | None) -> None:
    """Check that a route has one service, or several services with their shares."""
    if shares:
        if service is not None:
            raise configuration_error("no-service", f"Route {name} has both a line and splits.")
        if any(share < 0 for share in shares) or not sum(shares) > 0:
            raise configuration_error(
                "no-weight", f"Route {name} has splits whose shares don't add up to more than 0."
            )
    elif service is None:
        code = "no-service" if shares is None else "no-weight"
        raise configuration_error(code, f"Route {name} goes to no service.")


def check_services_known(routes: Iterable[Item], services: Mapping[str, Any] | set[str]) -> None:
    """Check that each route, which is valid by itself, refers only to known services.

    Raises
    ------
    PepperrunError
        `unknown-service`: a route refers to a service that does not exist.
    """
    for route in routes:
        for service in _services_of(route):
            if service not in services:
                raise configuration_error(
                    "unknown-service", f"Route {route['name']} names the unknown service {service!r}."
                )


def _services_of(route: Item) -> list[str]:
    splits = route.get("splits")
    return [split["line"] for split in splits] if splits else [route["line"]]


def check_keys_distinct(senders: Items) -> None:
    """Check that no two tenants share a key.

    Raises
    ------
    PepperrunError
        `shared-key`: two tenants have the same key.
    """
    owners: dict[str, str] = {}
    for name, sender in senders.items():
        for key in sender.get("stamps", ()):
            if owners.setdefault(key, name) != name:
                raise configuration_error("shared-key", f"Senders {owners[key]} and {name} share a key.")
