"""Which route, service and tenant a request has: one configuration, made ready for look-ups."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, TypeVar

from pepperrun.control.configuration import SAFE, CarrierLine, Limits, Route, Sender
from pepperrun.control.item_conversion import conforms, convert, convert_conforming
from pepperrun.core.interface import RequestLimits
from pepperrun.dataplane.numbering import MS, Numbering, number_of
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.hosts import host_of
from pepperrun.foundation.logs import trouble

Item = dict[str, Any]
Made = TypeVar("Made")
Ready = TypeVar("Ready", "Way", "Tenant")


def read_item(kind: type[Made], item: Item) -> Made:
    """An item of the agreed state, read as the core read it before it was taken: the same columns may be
    missing, whole numbers may be written as 3.0. PepperrunError where it can't be meant."""
    given = {key: value for key, value in item.items() if value is not None}
    return convert_conforming(kind, given) if conforms(kind, given) else convert(kind, given, kind.__name__)


def made(item: Item, make: Callable[[Item], Made]) -> Made | None:
    """An item ready for use; None, with a line in the log, where it can't be meant: the rest goes on."""
    try:
        return make(item)
    except (PepperrunError, ValueError, TypeError, AttributeError) as error:
        trouble(PepperrunError("bad-item", "configuration", f"{item!r}: {error}"))
        return None


def _taken(
    items: dict[str, Item] | None, before: dict[str, Ready], make: Callable[[Ready | None, Item], Ready]
) -> dict[str, Ready]:
    """Items ready for use; those that are as they were are taken over, others made anew from both."""
    out = {}
    for name, item in (items or {}).items():
        one = before.get(name)
        if one is None or (one.item is not item and one.item != item):
            one = made(item, partial(make, one))
        if one is not None:
            out[name] = one
    return out


def homes_of(regions: list[str]) -> frozenset[str] | None:
    """The regions in which something may be served; None for all."""
    return frozenset(regions) if regions else None


def bound(one: frozenset[str] | None, other: frozenset[str] | None) -> frozenset[str] | None:
    """Where both homes allow it."""
    if one is None or other is None:
        return one if other is None else other
    return one & other


class Way:
    """A route, ready for use. `services` and `classes`: numbers of its services and of its requests there."""

    __slots__ = (
        *("classes", "deadline_ns", "homes", "item", "limits", "name", "route", "safe", "services", "shares"),
        "unstamped",
    )

    def __init__(self, item: Item, numbering: Numbering, before: Way | None = None) -> None:
        self.item = item
        self.route: Route = read_item(Route, item)
        route = self.route
        self.name, self.safe, self.unstamped = route.name, route.route_kind == SAFE, route.unstamped
        self.deadline_ns = max(1, int(route.deadline_ms * MS))
        self.homes = homes_of(route.home_regions)
        parts = [(split.line, split.share) for split in route.splits or () if split.share > 0]
        if not parts and route.line is not None:
            parts = [(route.line, 1.0)]
        if not parts:
            raise ValueError("it names no service")
        self.services = [numbering.service(name) for name, _ in parts]
        self.shares = [share for _, share in parts]
        aim_ns = max(1, int(route.target_ms * MS))
        self.limits = RequestLimits(aim_ns, max(1, route.tries))
        numbering.allow_tries(self.limits.max_attempts)
        # What it asks of a service takes as long as before, whatever time it is now given.
        known: dict[int, int] = {}
        if before is not None and before.safe == self.safe:
            known = dict(zip(before.services, before.classes, strict=True))
        self.classes: list[int] = [
            known[service] if service in known else numbering.kind(service, self.safe, aim_ns)
            for service in self.services
        ]

    def allow(self, left_ns: int) -> RequestLimits:
        """What it allows a request whose client has so much time left."""
        if left_ns > self.limits.initial_ns:
            self.limits = replace(self.limits, initial_ns=left_ns)
        return self.limits

    def draw(self, rng: random.Random) -> int:
        """The place among `services` of the service that one request goes to."""
        if len(self.services) == 1:
            return 0
        return rng.choices(range(len(self.services)), self.shares)[0]


class Tenant:
    """A tenant, ready for use."""

    __slots__ = ("customer", "homes", "item", "keys", "name", "plan", "sender")

    def __init__(self, item: Item, numbering: Numbering) -> None:
        self.item = item
        self.sender: Sender = read_item(Sender, item)
        self.name = self.sender.name.encode()
        self.customer = number_of(self.sender.name)
        self.homes = homes_of(self.sender.home_regions)
        self.plan = numbering.plan(self.sender)
        self.keys = [key.encode() for key in self.sender.stamps]


class Table:
    """One number of the agreed state. What is as it was in the one before is taken from there."""

    def __init__(self, number: int, state: Item, numbering: Numbering, before: Table | None = None) -> None:
        self.number, self.edition = number, int(state.get("edition") or 0)
        self.limits: Limits = read_item(Limits, state.get("limits") or {})
        self.evacuated = frozenset(state.get("evacuated") or ())
        self.asks_keys = bool(state.get("senders"))  # are keys asked for at all?
        self.services: dict[int, CarrierLine] = {}
        for item in (state.get("carrier_lines") or {}).values():
            service = made(item, lambda one: read_item(CarrierLine, one))
            if service is not None:
                self.services[numbering.service(service.name)] = service
        self.ways: dict[str, Way] = _taken(
            state.get("routes"),
            before.ways if before else {},
            lambda former, one: Way(one, numbering, former),
        )
        self.hosts: dict[bytes, dict[bytes, Way]] = {}
        for way in self.ways.values():
            prefixes = self.hosts.setdefault(host_of(way.route.depot.encode()), {})
            prefixes.setdefault(way.route.prefix.encode(), way)
        tenants: dict[str, Tenant] = before.tenants if before else {}
        self.tenants: dict[str, Tenant] = _taken(
            state.get("senders"), tenants, lambda _, one: Tenant(one, numbering)
        )
        self.keys = {key: tenant for tenant in self.tenants.values() for key in tenant.keys}

    def find(self, host: bytes, path: bytes) -> Way | None:
        """Among the routes of a host the one with the longest prefix that begins the path."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (at := path.rfind(b"/", 0, end)) >= 0:
            way = prefixes.get(path[: at + 1])
            if way is not None:
                return way
            end = at
        return None

    def keyed(self, way: Way) -> bool:
        """Does a request on this route need a key?"""
        return self.asks_keys and not way.unstamped


RANKS = 1000  # of routes, within one of a tenant


class Lot:
    """What decides where one request may go; read again when the configuration has moved on."""

    __slots__ = ("homes", "host", "key", "number", "path", "rank", "safe", "service", "tenant", "way")

    def __init__(
        self,
        table: Table,
        way: Way,
        host: bytes,
        path: bytes,
        key: bytes | None,
        tenant: Tenant | None,
        service: int,
    ) -> None:
        self.number, self.way, self.service, self.safe = table.number, way, service, way.safe
        self.host, self.path, self.key = host, path, key
        # A tenant's precedence goes before that of the route.
        precedence = tenant.sender.precedence if tenant is not None else None
        self.rank = (precedence or 0) * RANKS + min(RANKS - 1, way.route.precedence)
        self.tenant = tenant.name if tenant is not None else None
        self.homes = bound(way.homes, tenant.homes if tenant is not None else None)

    def stands(self, table: Table) -> bool:
        """Does this configuration, too, send the request there, under this name?"""
        if self.number == table.number:
            return True
        way = table.find(self.host, self.path)
        if way is None or self.service not in way.services or way.safe != self.safe:
            return False
        tenant = None
        if table.keyed(way) != (self.tenant is not None):
            return False
        if self.tenant is not None:
            tenant = table.keys.get(self.key or b"")
            if tenant is None or tenant.name != self.tenant:
                return False
        self.number, self.way = table.number, way
        self.homes = bound(way.homes, tenant.homes if tenant is not None else None)
        return True
