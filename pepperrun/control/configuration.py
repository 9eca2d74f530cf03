"""The configuration as all planes read it: routes, services, senders (tenants) and limits of one edition."""

from __future__ import annotations

from dataclasses import dataclass, field

SAFE, UNSAFE = "safe", "unsafe"


@dataclass(frozen=True)
class Split:
    """A service's part of a route."""

    line: str
    share: float


@dataclass(frozen=True)
class Route:
    """Requests of a host whose path begins with a prefix. `line` or `splits` names the service(s)."""

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
    """A service."""

    name: str
    health_path: str = "/health"
    berth_cap: int = 0
    protocol: str = "h1"
    sealed: bool = False
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class Limits:
    """What a client may send, in bytes, and how long it may take or stay idle, in milliseconds."""

    envelope_bytes: int = 16384
    parcel_bytes: int = 67108864
    envelope_ms: float = 3000
    dwell_ms: float = 15000


@dataclass(frozen=True)
class TenantConfig:
    """A tenant: its keys, its quota over all gatekeepers (0: none), its homes."""

    name: str
    stamps: list[str] = field(default_factory=list)
    precedence: int | None = None
    rate_per_s: float = 0.0
    surge: float = 0.0
    home_regions: list[str] = field(default_factory=list)
