"""Parses the configuration of the stand-alone sidecar, `python -m pepperrun`.

An error names the key at fault. `control_node` and `gateway_node` read their settings with
`pepperrun.foundation.settings`.
"""

from __future__ import annotations

import json
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pepperrun.core import interface as io

Address = tuple[str, int]


class UnusableError(ValueError):
    """A configured resource, such as an address or a socket, can't be used; the text names the key."""


_REPEAT_MODES = {
    "read_like": io.Repeat.SAFE,
    "idempotency_key": io.Repeat.KEYED,
    "non_idempotent": io.Repeat.UNSAFE,
}


def get(table: Mapping[str, Any], key: str, kind: type, default: Any = None, required: bool = False) -> Any:
    """Returns the key's value, or the default if it is missing or null.

    Raises ValueError, which names the key, if the value is not of the type, is infinite or NaN, or is missing
    though required.
    """
    value = table.get(key)
    if value is None:
        if required:
            raise ValueError(f"{key}: missing")
        return default
    if kind is bool:
        valid = isinstance(value, bool)
    elif kind in (int, float):
        valid = isinstance(value, int | float) and not isinstance(value, bool) and value == value
        valid = valid and abs(value) != float("inf")
    else:
        valid = isinstance(value, kind)
    if not valid:
        raise ValueError(f"{key}: not a {kind.__name__}")
    return kind(value) if kind in (int, float) else value


def _choice(table: Mapping[str, Any], key: str, choices: Mapping[str, Any], default: Any = None) -> Any:
    """Returns the choice that the key's value names; without a default the key is required."""
    value = get(table, key, str, default=default, required=default is None)
    if value in choices:
        return choices[value]
    raise ValueError(f"{key}: {value!r} is not one of {', '.join(choices)}")


def read_settings(text: str) -> io.Settings:
    """Returns the settings in the platform's JSON, without unknown keys; ValueError names an invalid one."""
    try:
        params = json.loads(text)
    except ValueError as error:
        raise ValueError(f"Params: not JSON: {error}") from None
    if not isinstance(params, dict):
        raise ValueError("Params: not an object")
    return settings_of(params)


def settings_of(params: Mapping[str, Any]) -> io.Settings:
    """Returns the settings in the object that the platform provides."""
    limits = get(params, "Limits", dict, {})
    rules = get(params, "Rules", dict, {})
    domain = get(params, "Domain", dict, {})
    report = get(params, "Report", dict, {})
    fees = get(params, "Fees", dict, {})
    groups = {group.value: group for group in io.Group}
    classes = tuple(
        io.RequestClass(
            name=get(item, "Name", str, ""),
            target_ns=get(item, "OnTimeNs", int, required=True),
            deadline_ns=get(item, "DeadlineNs", int, required=True),
            repeat=_choice(item, "Semantics", _REPEAT_MODES),
            group=_choice(item, "Group", groups, "all"),
            window_ns=get(item, "WindowNs", int, 0),
            value=get(item, "Worth", float, 1.0),
            late_value=get(item, "LateWorth", float, 0.0),
        )
        for item in get(params, "Classes", list, required=True)
    )
    plans = tuple(
        io.Plan(
            name=get(item, "Name", str, ""),
            rate=get(item, "Refill", float, 0.0),
            burst=get(item, "StoreSize", float, 0.0),
            open_limit=get(item, "Open", int, 0),
            ceiling_rate=get(item, "CapRate", float, 0.0),
            ceiling_depth=get(item, "NeverOverDepth", float, 0.0),
            ceiling_slack=get(item, "CeilingSlack", float, 0.0),
            price=get(item, "WorthFactor", float, 1.0),
            over_quota_value=get(item, "ExtraWorth", float, 0.0),
            over_quota_cost=get(item, "BeyondCosts", float, 0.0),
        )
        for item in get(params, "Tariffs", list, required=True)
    )
    return io.Settings(
        me=get(params, "Me", int, required=True),
        gateways=get(params, "ReplicasOfMe", int, required=True),
        zone=get(params, "Az", int, 0),
        classes=classes,
        plans=plans,
        tick_ns=get(params, "PeriodNs", int, 1_000_000),
        max_attempts=get(limits, "MostTries", int, 1),
        hedging=get(limits, "MayDuplicate", bool, False),
        may_cancel=get(limits, "MayCancel", bool, False),
        may_probe=get(limits, "MayProbe", bool, False),
        peer_messages=get(limits, "PeerMessages", bool, False),
        peer_message_rate=get(domain, "PeerIntake", float, 0.0),
        retry_after=get(limits, "RetryAfter", bool, False),
        max_retry_after_ns=get(limits, "MaxRetryAfterNs", int, 0),
        must_ask_for_list=get(params, "MembershipMode", str, "pushed") == "on_request",
        answer_grace_ns=get(rules, "GraceToAnswerNs", int, 0),
        drain_grace_ns=get(rules, "StopSendingWithinNs", int, 0),
        slow_start_min_capacity=get(rules, "ColdFrom", float, 1.0),
        slow_start_ns=get(rules, "ColdNs", int, 0),
        overload_multiple=get(rules, "TipMultiple", float, 1.0),
        overload_for_ns=get(rules, "OverloadForNs", int, 1_000_000_000),
        reconciles_units=get(domain, "PostPaid", bool, False),
        max_units=get(domain, "MostUnits", float, 1.0),
        report_columns=tuple(str(name) for name in get(report, "Columns", list, [])),
        cross_zone_price=get(fees, "CrossZone", float, 0.0),
    )


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A worker in the endpoint list, with its names for worker and zone."""

    name: str
    addr: Address | None
    zone: str
    cell: int
    state: io.BackendState
    started_ms: int


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A list from discovery: the complete one (`full`) or the entries that changed."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]


_STATE_BY_NAME = {
    "Ready": io.BackendState.READY,
    "Terminating": io.BackendState.DRAINING,
    "Gone": io.BackendState.GONE,
}
STATE_NAMES = {state: name for name, state in _STATE_BY_NAME.items()}


def read_endpoint_list(table: Mapping[str, Any]) -> EndpointList:
    """Returns the list in an object of discovery's format; raises ValueError, which names the fault."""
    endpoints = []
    for item in get(table, "servers", list, required=True):
        if not isinstance(item, dict):
            raise ValueError("servers: not a list of objects")
        state = _choice(item, "state", _STATE_BY_NAME)
        gone = state is io.BackendState.GONE
        endpoints.append(
            Endpoint(
                name=get(item, "id", str, required=True),
                addr=None if gone and not item.get("addr") else address(item, "addr"),
                zone=get(item, "zone", str, ""),
                cell=max(0, get(item, "cell", int, 0)),
                state=state,
                started_ms=max(0, get(item, "started_ms", int, 0)),
            )
        )
    return EndpointList(
        get(table, "version", int, required=True), get(table, "full", bool, True), tuple(endpoints)
    )


def address(table: Mapping[str, Any], key: str, default: str | None = None) -> Address:
    """Returns the key's `host:port`; the host is an IP address, an IPv6 one in brackets."""
    return parse_address(get(table, key, str, default=default, required=default is None), key)


def parse_address(text: str, key: str) -> Address:
    """Returns the host and port in `host:port`; raises ValueError, which names the key."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{key}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a gatekeeper.

    Operators see the field names: a reload logs the changed fields that take effect only at the next start,
    by these names (`changed_keys` in `pepperrun.serve`).
    """

    name: str
    listen: Address
    discovery: Address | None
    seed: int
    sockets: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    known: EndpointList
    settings: io.Settings
    zones: tuple[str, ...]
    keepalive_ns: int
    connect_timeout_ns: int
    admin: Address | None = None  # the address for operators' commands
    memory_mb: float = 192.0  # memory limit of the process
    members: Mapping[str, Any] | None = None  # parsed by `pepperrun.membership.config`


def read_config(text: str, env: Mapping[str, str]) -> Config:
    """Returns the configuration in the text of the file that `NODE_CONFIG` names.

    `NODE_NAME`, `NODE_LISTEN`, `NODE_DISCOVERY` and `NODE_ADMIN` are the defaults of missing keys.
    """
    table = json_object(text, "NODE_CONFIG: ")
    params = get(table, "settings", dict, required=True)
    # Without discovery the list under `known` stays.
    raw_discovery = table.get("discovery") or env.get("NODE_DISCOVERY")
    raw_admin = table.get("admin") or env.get("NODE_ADMIN")
    limits = get(params, "Limits", dict, {})
    known = get(table, "known", dict, {"version": 0, "servers": []})
    peers = get(table, "peers", list, [])
    if not all(isinstance(peer, str) for peer in peers):
        raise ValueError("peers: not a list of host:port")
    sockets = get(get(table, "limits", dict, {}), "sockets", int, 1024)
    memory: float = get(get(table, "limits", dict, {}), "memory_mb", float, 192.0)
    if memory <= 0:
        raise ValueError("limits.memory_mb: must be above 0")
    if sockets < 64:
        raise ValueError("limits.sockets: must be 64 or more")
    try:
        settings, endpoint_list = (
            _with_key_prefix("settings", settings_of, params),
            _with_key_prefix("known", read_endpoint_list, known),
        )
    except RecursionError:
        raise ValueError("NODE_CONFIG: nested too deeply") from None
    return Config(
        name=get(table, "name", str, env.get("NODE_NAME", "pepperrun")),
        listen=address(table, "listen", env.get("NODE_LISTEN")),
        discovery=address(table, "discovery", env.get("NODE_DISCOVERY")) if raw_discovery else None,
        seed=_seed(get(table, "seed", str, "")),
        sockets=sockets,
        peer_listen=address(table, "peer_listen") if table.get("peer_listen") else None,
        peers=tuple(parse_address(peer, "peers") for peer in peers),
        known=endpoint_list,
        settings=settings,
        zones=tuple(str(zone) for zone in get(params, "Dcs", list, [])),
        keepalive_ns=_positive_limit(limits, "KeepaliveNs", 15_000_000_000),
        connect_timeout_ns=_positive_limit(limits, "ConnectTimeoutNs", 250_000_000),
        memory_mb=memory,
        admin=address(table, "admin", env.get("NODE_ADMIN")) if raw_admin else None,
        members=get(table, "members", dict),
    )


def _with_key_prefix(key: str, read: Any, table: Mapping[str, Any]) -> Any:
    try:
        return read(table)
    except ValueError as error:
        raise ValueError(f"{key}.{error}") from None


def _seed(text: str) -> int:
    try:
        return int(text, 16) % 2**64 if text else secrets.randbits(64)
    except ValueError:
        raise ValueError(f"seed: {text!r} is not a number in hex digits") from None


def _positive_limit(table: Mapping[str, Any], key: str, default: int) -> int:
    value: int = get(table, key, int, default)
    if value <= 0:
        raise ValueError(f"settings.Limits.{key}: must be above 0")
    return value


@dataclass(slots=True, frozen=True)
class AuthConfig:
    """The configuration of forward authentication: its address, its servers and their limits.

    Operators see the field names: a reload logs the changed fields that take effect only at the next start,
    by these names (`changed_keys` in `pepperrun.serve`).
    """

    listen: Address | None
    servers: EndpointList
    path: str
    host: str
    identity: tuple[str, ...]
    customer: str
    prefixes: tuple[tuple[str, int], ...]  # path prefix and class number, the longest prefix first
    plans: Mapping[str, int]  # customer's name: number of its plan
    default_plan: int
    asking: frozenset[str]
    settings: io.Settings
    keepalive_ns: int
    connect_timeout_ns: int
    sockets: int
    peer_listen: Address | None
    peers: tuple[Address, ...]


_NS_PER_MS = 1_000_000
_AUTH_KEYS = {
    "": "listen servers path host identity_headers customer_header asking_classes classes plans max_attempts"
    " second_copies max_retry_after_ms keepalive_ms connect_timeout_ms sockets me peers peer_listen",
    "servers": "name address",
    "classes": "name prefix wanted_ms deadline_ms",
    "plans": "name customers rate burst open",
}


def json_object(text: str, where: str = "") -> dict[str, Any]:
    """Returns the JSON object in a settings file; other content raises ValueError, prefixed with `where`."""
    try:
        table = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ValueError(f"{where}not JSON: {error}") from None
    if not isinstance(table, dict):
        raise ValueError(f"{where}not an object")
    return table


def known_keys(table: Mapping[str, Any], allowed: str, where: str = "") -> None:
    """Raises ValueError for a key that is not allowed.

    In a file of this program an unknown key is a mistake; ignoring it may leave a restriction off.
    """
    for key in table:
        if key not in allowed.split():
            raise ValueError(f"{where}{key}: no such key")


def read_auth(text: str) -> AuthConfig:
    """Returns the configuration in a forward authentication file; raises ValueError, which names the key."""
    table = json_object(text, "forward-auth: ")
    known_keys(table, _AUTH_KEYS[""])
    servers = _object_list(table, "servers")
    plans, classes = _object_list(table, "plans"), _object_list(table, "classes")
    peers = tuple(parse_address(str(peer), "peers") for peer in get(table, "peers", list, []))
    prefixes = [(get(item, "prefix", str, "/"), number) for number, item in enumerate(classes)]
    plan_by_customer = {
        str(name): number for number, item in enumerate(plans) for name in get(item, "customers", list, [])
    }
    defaults = [number for number, item in enumerate(plans) if "customers" not in item]
    if len(defaults) != 1:
        raise ValueError("plans: exactly one, the default, must be without customers")
    hosts = [get(item, "address", str, required=True) for item in servers]
    endpoints = tuple(
        Endpoint(
            get(item, "name", str, host),
            parse_address(host, "servers.address"),
            "",
            0,
            io.BackendState.READY,
            0,
        )
        for item, host in zip(servers, hosts, strict=True)
    )
    path = get(table, "path", str, "/")
    if not path.startswith("/") or not path.isascii() or not path.isprintable() or " " in path:
        raise ValueError(f"path: {path!r} is not a path")
    return AuthConfig(
        listen=address(table, "listen") if table.get("listen") else None,
        servers=EndpointList(0, True, endpoints),
        path=path,
        host=get(table, "host", str, hosts[0]),
        identity=tuple(
            _header_name(name, "identity_headers") for name in get(table, "identity_headers", list, [])
        ),
        customer=_header_name(get(table, "customer_header", str, "X-Forwarded-Host"), "customer_header"),
        prefixes=tuple(sorted(prefixes, key=lambda pair: -len(pair[0]))),
        plans=plan_by_customer,
        default_plan=defaults[0],
        asking=frozenset(str(name) for name in get(table, "asking_classes", list, [])),
        settings=_auth_settings(table, classes, plans, len(peers)),
        keepalive_ns=_positive(table, "keepalive_ms", 5000) * _NS_PER_MS,
        connect_timeout_ns=_positive(table, "connect_timeout_ms", 250) * _NS_PER_MS,
        sockets=_positive(table, "sockets", 200),
        peer_listen=address(table, "peer_listen") if table.get("peer_listen") else None,
        peers=peers,
    )


def _auth_settings(
    table: Mapping[str, Any], classes: list[dict[str, Any]], plans: list[dict[str, Any]], peers: int
) -> io.Settings:
    return io.Settings(
        me=get(table, "me", int, 0),
        gateways=max(1, peers),
        zone=0,
        classes=tuple(
            io.RequestClass(
                name=get(item, "name", str, required=True),
                target_ns=_positive(item, "wanted_ms") * _NS_PER_MS,
                deadline_ns=_positive(item, "deadline_ms") * _NS_PER_MS,
                repeat=io.Repeat.SAFE,
            )
            for item in classes
        ),
        plans=tuple(
            io.Plan(
                name=get(item, "name", str, required=True),
                rate=get(item, "rate", float, 0.0),
                burst=get(item, "burst", float, get(item, "rate", float, 0.0)),
                open_limit=get(item, "open", int, 0),
            )
            for item in plans
        ),
        max_attempts=_positive(table, "max_attempts", 3),
        hedging=get(table, "second_copies", bool, False),
        may_cancel=True,
        cancel_when_client_left=True,
        peer_messages=peers > 1,
        peer_message_rate=100.0,
        retry_after=True,
        max_retry_after_ns=_positive(table, "max_retry_after_ms", 60_000) * _NS_PER_MS,
    )


def _object_list(table: Mapping[str, Any], key: str) -> list[dict[str, Any]]:
    items: list[dict[str, Any]] = get(table, key, list, required=True)
    if not items or not all(isinstance(item, dict) for item in items):
        raise ValueError(f"{key}: at least one object is needed")
    for item in items:
        known_keys(item, _AUTH_KEYS[key], f"{key}.")
    return items


def _positive(table: Mapping[str, Any], key: str, default: int | None = None) -> int:
    value: int = get(table, key, int, default, required=default is None)
    if value <= 0:
        raise ValueError(f"{key}: must be above 0")
    return value


def _header_name(name: Any, key: str) -> str:
    if (
        not isinstance(name, str)
        or not name.replace("-", "").replace("_", "").isalnum()
        or not name.isascii()
    ):
        raise ValueError(f"{key}: {name!r} is not the name of a header")
    return name
