"""Types of a configuration: the routes, services, tenants ("senders") and client limits of one edition.

Operators send the fields under the keys of this file. Where the code uses another name for one:

| key | name in the code |
|---|---|
| `senders` | tenants (`TenantConfig`) |
| `stamps`, `unstamped` | keys of a tenant; `keyless`: no key is needed |
| `carrier_lines`, `line` | services (`ServiceConfig`); the service of a route or split |
| `depot` | host |
| `berth_cap` | limit on connections to one worker |
| `surge` | burst of a quota |
| `tries` | attempts (`max_attempts`) |
"""

from __future__ import annotations

from dataclasses import dataclass, field

SAFE, UNSAFE = "safe", "unsafe"


@dataclass(frozen=True)
class Split:
    """A service (`line`) to which a route sends its requests, and its share of them."""

    line: str
    share: float


@dataclass(frozen=True)
class Route:
    """A route for the requests to a host (`depot`) whose paths begin with a prefix.

    `line` names the service, or `splits` several services. `route_kind` tells whether its requests are safe
    to repeat, `target_ms` is the latency target, `tries` the number of attempts that a request may have, and
    `unstamped` allows requests without a key.
    """

    name: str
    depot: str
    prefix: str
    route_kind: str
    deadline_ms: float
    target_ms: float
    precedence: int = 0
    splits: list[Split] | None = None
    tries: int = 1
    unstamped: bool = False
    home_regions: list[str] = field(default_factory=list)
    line: str | None = None


@dataclass(frozen=True)
class ServiceConfig:
    """A service: the health check path, protocol, connection limit and slow start of its workers.

    `berth_cap` limits the connections of all gatekeepers to one worker (0: no limit). `cold_s` is the length
    of the slow start in seconds, `cold_per_s` the requests per second that a cold worker can take.
    """

    name: str
    health_path: str = "/health"
    berth_cap: int = 0
    protocol: str = "h1"
    sealed: bool = False
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class Limits:
    """Limits for clients.

    Bytes of a request's head (`envelope_bytes`) and body (`parcel_bytes`), milliseconds to send a request
    (`envelope_ms`), and milliseconds that a connection may be idle (`dwell_ms`).
    """

    envelope_bytes: int = 16384
    parcel_bytes: int = 67108864
    envelope_ms: float = 3000
    dwell_ms: float = 15000


@dataclass(frozen=True)
class TenantConfig:
    """A tenant: its keys (`stamps`), its quota over all gatekeepers, and its home regions.

    The quota is `rate_per_s` requests per second (0: no quota) with a burst of `surge`. A `precedence` is
    compared before that of the route.
    """

    name: str
    stamps: list[str] = field(default_factory=list)
    precedence: int | None = None
    rate_per_s: float = 0.0
    surge: float = 0.0
    home_regions: list[str] = field(default_factory=list)
