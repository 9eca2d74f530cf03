"""Routing: one version of the configuration, prepared to look up route, service and tenant of a request."""

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
Entry = TypeVar("Entry", "RouteEntry", "Tenant")


def read_item(kind: type[Converted], item: Item) -> Converted:
    """Returns an item of the agreed state, converted as the control nodes converted it when it was accepted.

    The same columns may be missing, and whole numbers may be written as 3.0. Raises PepperrunError for an
    item that is not valid.
    """
    given = {key: value for key, value in item.items() if value is not None}
    return convert_conforming(kind, given) if conforms(kind, given) else convert(kind, given, kind.__name__)


def convert_or_log(item: Item, make: Callable[[Item], Converted]) -> Converted | None:
    """Returns an item ready for use. An invalid one is logged and gives None, so that the rest works."""
    try:
        return make(item)
    except (PepperrunError, ValueError, TypeError, AttributeError) as error:
        log_error(PepperrunError("bad-item", "configuration", f"{item!r}: {error}"))
        return None


def _reuse_or_convert(
    items: dict[str, Item] | None, before: dict[str, Entry], make: Callable[[Entry | None, Item], Entry]
) -> dict[str, Entry]:
    """Returns items ready for use; unchanged ones are reused, others are made from both versions."""
    out = {}
    for name, item in (items or {}).items():
        one = before.get(name)
        if one is None or (one.item is not item and one.item != item):
            one = convert_or_log(item, partial(make, one))
        if one is not None:
            out[name] = one
    return out


def region_set(regions: list[str]) -> frozenset[str] | None:
    """Returns the regions in which a request may be served; None for all."""
    return frozenset(regions) if regions else None


def intersect_regions(one: frozenset[str] | None, other: frozenset[str] | None) -> frozenset[str] | None:
    """Returns the regions that both sets allow; None for all."""
    if one is None or other is None:
        return one if other is None else other
    return one & other


class RouteEntry:
    """A route, ready for use. `services` has the numbers of its services, `classes` its class at each."""

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

    def __init__(self, item: Item, numbering: Numbering, before: RouteEntry | None = None) -> None:
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
            raise ValueError("the route names no service")
        self.services = [numbering.service_number(name) for name, _ in parts]
        self.weights = [share for _, share in parts]
        target_ns = max(1, int(config.target_ms * MS))
        self.limits = RequestLimits(target_ns, max(1, config.tries))
        numbering.allow_attempts(self.limits.max_attempts)
        # The class stays when the latency target changes: the work at the service takes as long as before.
        known: dict[int, int] = {}
        if before is not None and before.safe == self.safe:
            known = dict(zip(before.services, before.classes, strict=True))
        self.classes: list[int] = [
            known[service] if service in known else numbering.class_number(service, self.safe, target_ns)
            for service in self.services
        ]

    def limits_for(self, remaining_ns: int) -> RequestLimits:
        """Returns the limits for a request with this time left; remembers the route's longest one so far.

        The longest is `initial_ns`: what a request has less than that counts as time it has waited already.
        """
        if remaining_ns > self.limits.initial_ns:
            self.limits = replace(self.limits, initial_ns=remaining_ns)
        return self.limits

    def choose_service(self, rng: random.Random) -> int:
        """Returns the index in `services` of a random service for one request, by weight."""
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
    """One version of the agreed state, ready for look-ups. Unchanged items of an older one are reused."""

    def __init__(
        self, version: int, state: Item, numbering: Numbering, before: RoutingTable | None = None
    ) -> None:
        self.version, self.edition = version, int(state.get("edition") or 0)
        self.limits: Limits = read_item(Limits, state.get("limits") or {})
        self.evacuated = frozenset(state.get("evacuated") or ())
        self.keys_required = bool(state.get("senders"))  # on all routes that are not keyless
        self.services: dict[int, ServiceConfig] = {}
        for item in (state.get("carrier_lines") or {}).values():
            service = convert_or_log(item, lambda one: read_item(ServiceConfig, one))
            if service is not None:
                self.services[numbering.service_number(service.name)] = service
        self.routes: dict[str, RouteEntry] = _reuse_or_convert(
            state.get("routes"),
            before.routes if before else {},
            lambda former, one: RouteEntry(one, numbering, former),
        )
        self.hosts: dict[bytes, dict[bytes, RouteEntry]] = {}
        for route in self.routes.values():
            prefixes = self.hosts.setdefault(host_of(route.config.depot.encode()), {})
            prefixes.setdefault(route.config.prefix.encode(), route)
        tenants: dict[str, Tenant] = before.tenants if before else {}
        self.tenants: dict[str, Tenant] = _reuse_or_convert(
            state.get("senders"), tenants, lambda _, one: Tenant(one, numbering)
        )
        self.keys = {key: tenant for tenant in self.tenants.values() for key in tenant.keys}

    def find(self, host: bytes, path: bytes) -> RouteEntry | None:
        """Returns the route of a host with the longest prefix of the path; None where there is none."""
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

    def requires_key(self, route: RouteEntry) -> bool:
        """Returns whether a request on this route needs a key."""
        return self.keys_required and not route.keyless


ROUTE_RANKS = 1000  # ranks of routes within one rank of a tenant


class GateContext:
    """What decides where one request may be sent. It is checked again when the configuration changes."""

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
        route: RouteEntry,
        host: bytes,
        path: bytes,
        key: bytes | None,
        tenant: Tenant | None,
        service: int,
    ) -> None:
        self.version, self.route, self.service, self.safe = table.version, route, service, route.safe
        self.host, self.path, self.key = host, path, key
        # The precedence of the tenant counts before that of the route.
        precedence = tenant.config.precedence if tenant is not None else None
        self.rank = (precedence or 0) * ROUTE_RANKS + min(ROUTE_RANKS - 1, route.config.precedence)
        self.tenant = tenant.name if tenant is not None else None
        self.home_regions = intersect_regions(
            route.home_regions, tenant.home_regions if tenant is not None else None
        )

    def revalidate(self, table: RoutingTable) -> bool:
        """Returns whether this version, too, sends the request to the same service for the same tenant.

        If so, the context takes over the route and regions of this version.
        """
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
