"""Which route, service and tenant a request has: one configuration, made ready for look-ups."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, TypeVar

from pepperrun.control.configuration import SAFE, Limits, Route, ServiceConfig, TenantConfig
from pepperrun.control.item_conversion import conforms, convert, convert_conforming
from pepperrun.core.interface import RequestLimits
from pepperrun.dataplane.numbering import MS, Numbering, name_hash
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.hosts import host_of
from pepperrun.foundation.logs import log_error

Item = dict[str, Any]
Converted = TypeVar("Converted")
Entry = TypeVar("Entry", "Way", "Tenant")


def read_item(kind: type[Converted], item: Item) -> Converted:
    """An item of the agreed state, read as the core read it before it was taken: the same columns may be
    missing, whole numbers may be written as 3.0. PepperrunError where it can't be meant."""
    given = {key: value for key, value in item.items() if value is not None}
    return convert_conforming(kind, given) if conforms(kind, given) else convert(kind, given, kind.__name__)


def convert_or_log(item: Item, make: Callable[[Item], Converted]) -> Converted | None:
    """An item ready for use; None, with a line in the log, where it can't be meant: the rest goes on."""
    try:
        return make(item)
    except (PepperrunError, ValueError, TypeError, AttributeError) as error:
        log_error(PepperrunError("bad-item", "configuration", f"{item!r}: {error}"))
        return None


def _reuse_or_convert(
    items: dict[str, Item] | None, before: dict[str, Entry], make: Callable[[Entry | None, Item], Entry]
) -> dict[str, Entry]:
    """Items ready for use; those that are as they were are taken over, others made anew from both."""
    out = {}
    for name, item in (items or {}).items():
        one = before.get(name)
        if one is None or (one.item is not item and one.item != item):
            one = convert_or_log(item, partial(make, one))
        if one is not None:
            out[name] = one
    return out


def region_set(regions: list[str]) -> frozenset[str] | None:
    """The regions in which something may be served; None for all."""
    return frozenset(regions) if regions else None


def intersect_regions(one: frozenset[str] | None, other: frozenset[str] | None) -> frozenset[str] | None:
    """Where both homes allow it."""
    if one is None or other is None:
        return one if other is None else other
    return one & other


class Way:
    """A route, ready for use. `services` and `classes`: numbers of its services and of its requests there."""

    __slots__ = (
        *(
            "classes",
            "config",
            "deadline_ns",
            "item",
            "keyless",
            "limits",
            "name",
            "safe",
            "services",
            "weights",
        ),
        "home_regions",
    )

    def __init__(self, item: Item, numbering: Numbering, before: Way | None = None) -> None:
        self.item = item
        self.config: Route = read_item(Route, item)
        config = self.config
        self.name, self.safe, self.keyless = config.name, config.route_kind == SAFE, config.unstamped
        self.deadline_ns = max(1, int(config.deadline_ms * MS))
        self.home_regions = region_set(config.home_regions)
        parts = [(split.line, split.share) for split in config.splits or () if split.share > 0]
        if not parts and config.line is not None:
            parts = [(config.line, 1.0)]
        if not parts:
            raise ValueError("it names no service")
        self.services = [numbering.service_number(name) for name, _ in parts]
        self.weights = [share for _, share in parts]
        aim_ns = max(1, int(config.target_ms * MS))
        self.limits = RequestLimits(aim_ns, max(1, config.tries))
        numbering.allow_attempts(self.limits.max_attempts)
        # What it asks of a service takes as long as before, whatever time it is now given.
        known: dict[int, int] = {}
        if before is not None and before.safe == self.safe:
            known = dict(zip(before.services, before.classes, strict=True))
        self.classes: list[int] = [
            known[service] if service in known else numbering.class_number(service, self.safe, aim_ns)
            for service in self.services
        ]

    def limits_for(self, remaining_ns: int) -> RequestLimits:
        """What it allows a request whose client has so much time left."""
        if remaining_ns > self.limits.initial_ns:
            self.limits = replace(self.limits, initial_ns=remaining_ns)
        return self.limits

    def choose_service(self, rng: random.Random) -> int:
        """The place among `services` of the service that one request goes to."""
        if len(self.services) == 1:
            return 0
        return rng.choices(range(len(self.services)), self.weights)[0]


class Tenant:
    """A tenant, ready for use."""

    __slots__ = ("config", "customer", "home_regions", "item", "keys", "name", "plan")

    def __init__(self, item: Item, numbering: Numbering) -> None:
        self.item = item
        self.config: TenantConfig = read_item(TenantConfig, item)
        self.name = self.config.name.encode()
        self.customer = name_hash(self.config.name)
        self.home_regions = region_set(self.config.home_regions)
        self.plan = numbering.plan_number(self.config)
        self.keys = [key.encode() for key in self.config.stamps]


class RoutingTable:
    """One number of the agreed state. What is as it was in the one before is taken from there."""

    def __init__(
        self, version: int, state: Item, numbering: Numbering, before: RoutingTable | None = None
    ) -> None:
        self.version, self.edition = version, int(state.get("edition") or 0)
        self.limits: Limits = read_item(Limits, state.get("limits") or {})
        self.evacuated = frozenset(state.get("evacuated") or ())
        self.keys_required = bool(state.get("senders"))  # are keys asked for at all?
        self.services: dict[int, ServiceConfig] = {}
        for item in (state.get("carrier_lines") or {}).values():
            service = convert_or_log(item, lambda one: read_item(ServiceConfig, one))
            if service is not None:
                self.services[numbering.service_number(service.name)] = service
        self.routes: dict[str, Way] = _reuse_or_convert(
            state.get("routes"),
            before.routes if before else {},
            lambda former, one: Way(one, numbering, former),
        )
        self.hosts: dict[bytes, dict[bytes, Way]] = {}
        for route in self.routes.values():
            prefixes = self.hosts.setdefault(host_of(route.config.depot.encode()), {})
            prefixes.setdefault(route.config.prefix.encode(), route)
        tenants: dict[str, Tenant] = before.tenants if before else {}
        self.tenants: dict[str, Tenant] = _reuse_or_convert(
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
            route = prefixes.get(path[: at + 1])
            if route is not None:
                return route
            end = at
        return None

    def requires_key(self, route: Way) -> bool:
        """Does a request on this route need a key?"""
        return self.keys_required and not route.keyless


ROUTE_RANKS = 1000  # of routes, within one of a tenant


class GateContext:
    """What decides where one request may go; read again when the configuration has moved on."""

    __slots__ = (
        "home_regions",
        "host",
        "key",
        "path",
        "rank",
        "route",
        "safe",
        "service",
        "tenant",
        "version",
    )

    def __init__(
        self,
        table: RoutingTable,
        route: Way,
        host: bytes,
        path: bytes,
        key: bytes | None,
        tenant: Tenant | None,
        service: int,
    ) -> None:
        self.version, self.route, self.service, self.safe = table.version, route, service, route.safe
        self.host, self.path, self.key = host, path, key
        # A tenant's precedence goes before that of the route.
        precedence = tenant.config.precedence if tenant is not None else None
        self.rank = (precedence or 0) * ROUTE_RANKS + min(ROUTE_RANKS - 1, route.config.precedence)
        self.tenant = tenant.name if tenant is not None else None
        self.home_regions = intersect_regions(
            route.home_regions, tenant.home_regions if tenant is not None else None
        )

    def revalidate(self, table: RoutingTable) -> bool:
        """Does this configuration, too, send the request there, under this name?"""
        if self.version == table.version:
            return True
        route = table.find(self.host, self.path)
        if route is None or self.service not in route.services or route.safe != self.safe:
            return False
        tenant = None
        if table.requires_key(route) != (self.tenant is not None):
            return False
        if self.tenant is not None:
            tenant = table.keys.get(self.key or b"")
            if tenant is None or tenant.name != self.tenant:
                return False
        self.version, self.route = table.version, route
        self.home_regions = intersect_regions(
            route.home_regions, tenant.home_regions if tenant is not None else None
        )
        return True
