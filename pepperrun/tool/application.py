"""An application's file (TOML) and what its gatekeepers read (JSON), one for each."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pepperrun.config import get, parse_address, read_config
from pepperrun.membership.config import membership_from_table

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|us)\Z")
_UNITS = {"s": 1_000_000_000, "ms": 1_000_000, "us": 1_000}
_REPEATS = {"safe": "read_like", "keyed": "idempotency_key", "never": "non_idempotent"}
KEY_FILE = "members.key"  # beside the gatekeepers' files; made where it is not there
KEYS = {
    "": {"name", "discovery", "gatekeeper", "class", "plan", "worker", "limits", "rules", "cold", "zones"}
    | {"members"},
    "gatekeeper": {"name", "listen", "admin", "peer_listen", "zone"},
    "class": {"name", "wanted", "deadline", "repeat", "group", "window", "worth", "late_worth"},
    "plan": {"name", "rate", "burst", "open", "price", "over_worth", "over_cost"}
    | {"ceiling_rate", "ceiling_burst", "ceiling_slack"},
    "worker": {"name", "address", "zone", "cell", "weight"},
    "members": {"key_file", "region", "zone", "period", "suspect"},
    "limits": {"attempts", "second_copies", "cancel", "retry_after", "max_retry_after", "keepalive"}
    | {"connect_timeout", "tick", "sockets", "memory_mb", "most_units", "settled", "messages_per_s"},
    "rules": {"answer_grace", "drain_grace"},
    "cold": {"from", "time", "tip_multiple", "tip_for"},
}


def time_ns(table: Mapping[str, Any], key: str, default: str | None = None) -> int:
    """A time such as `250ms` or `1.5s`."""
    text = get(table, key, str, default, required=default is None)
    match = _TIME.match(text)
    if match is None:
        raise ValueError(f"{key}: {text!r} is not a time such as '250ms' or '1.5s'")
    return round(float(match[1]) * _UNITS[match[2]])


def _known(table: Mapping[str, Any], kind: str) -> None:
    """A key that nothing reads is most often a slip of the pen."""
    unknown = sorted(table.keys() - KEYS[kind])
    if unknown:
        raise ValueError(f"{kind + '.' if kind else ''}{unknown[0]}: no such key")


def _tables(table: Mapping[str, Any], key: str, required: bool = True) -> list[dict[str, Any]]:
    items: list[dict[str, Any]] = get(table, key, list, [], required=False)
    if required and not items:
        raise ValueError(f"{key}: at least one [[{key}]] is needed")
    for item in items:
        if not isinstance(item, dict):
            raise ValueError(f"{key}: not a table")
        _known(item, key)
        get(item, "name", str, required=True)
    names = [item["name"] for item in items]
    if len(set(names)) < len(names):
        raise ValueError(f"{key}.name: two have the same")
    return items


def _class(item: Mapping[str, Any]) -> dict[str, Any]:
    repeat = get(item, "repeat", str, required=True)
    if repeat not in _REPEATS:
        raise ValueError(f"repeat: {repeat!r} is not one of {', '.join(_REPEATS)}")
    wanted, deadline = time_ns(item, "wanted"), time_ns(item, "deadline")
    if wanted > deadline:
        raise ValueError("wanted: longer than the deadline")
    return {
        "Name": item["name"],
        "OnTimeNs": wanted,
        "DeadlineNs": deadline,
        "Semantics": _REPEATS[repeat],
        "Group": get(item, "group", str, "all"),
        "WindowNs": time_ns(item, "window", "0s"),
        "Worth": get(item, "worth", float, 1.0),
        "LateWorth": get(item, "late_worth", float, 0.0),
        "Stream": False,
    }


def _plan(item: Mapping[str, Any], most_units: float) -> dict[str, Any]:
    rate = get(item, "rate", float, 0.0)
    burst = get(item, "burst", float, max(rate, most_units))
    if rate > 0 and burst < most_units:
        raise ValueError(
            f"burst: below limits.most_units ({most_units:g}), so the largest request never fits"
        )
    return {
        "Name": item["name"],
        "Refill": rate,
        "StoreSize": burst,
        "Open": get(item, "open", int, 0),
        "WorthFactor": get(item, "price", float, 1.0),
        "ExtraWorth": get(item, "over_worth", float, 0.0),
        "BeyondCosts": get(item, "over_cost", float, 0.0),
        "CapRate": get(item, "ceiling_rate", float, 0.0),
        "NeverOverDepth": get(item, "ceiling_burst", float, 0.0),
        "CeilingSlack": get(item, "ceiling_slack", float, 0.0),
    }


def _each(kind: str, items: list[dict[str, Any]], read: Any) -> list[dict[str, Any]]:
    out = []
    for item in items:
        try:
            out.append(read(item))
        except ValueError as error:
            raise ValueError(f"{kind}.{item['name']}.{error}") from None
    return out


def configurations(text: str) -> dict[str, dict[str, Any]]:
    """By its name, the configuration of each gatekeeper; ValueError names a bad key."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ValueError(f"not TOML: {error}") from None
    _known(table, "")
    parts = {key: get(table, key, dict, {}) for key in ("limits", "rules", "cold")}
    for key, part in parts.items():
        _known(part, key)
    limits, rules, cold = parts["limits"], parts["rules"], parts["cold"]
    gatekeepers = _tables(table, "gatekeeper")
    workers = _tables(table, "worker", required=False)
    zones = [str(zone) for zone in get(table, "zones", list, ["here"])]
    talking = [item for item in gatekeepers if item.get("peer_listen")]
    if talking and len(talking) < len(gatekeepers):
        raise ValueError("gatekeeper.peer_listen: given for some and not for all")
    if len(gatekeepers) > 1 and not talking:
        raise ValueError("gatekeeper.peer_listen: missing; several hold a quota together only by messages")
    most_units = get(limits, "most_units", float, 1.0)
    settings = {
        "Classes": _each("class", _tables(table, "class"), _class),
        "Tariffs": _each("plan", _tables(table, "plan"), lambda item: _plan(item, most_units)),
        "Dcs": zones,
        "PeriodNs": time_ns(limits, "tick", "4ms"),
        "ReplicasOfMe": len(gatekeepers),
        "MembershipMode": "pushed",
        "Domain": {
            "MostUnits": most_units,
            "PostPaid": get(limits, "settled", bool, False),
            "PeerIntake": get(limits, "messages_per_s", float, 100.0),
        },
        "Limits": {
            "MostTries": get(limits, "attempts", int, 3),
            "MayDuplicate": get(limits, "second_copies", bool, False),
            "MayCancel": get(limits, "cancel", bool, True),
            "RetryAfter": get(limits, "retry_after", bool, True),
            "MaxRetryAfterNs": time_ns(limits, "max_retry_after", "30s"),
            "KeepaliveNs": time_ns(limits, "keepalive", "15s"),
            "ConnectTimeoutNs": time_ns(limits, "connect_timeout", "250ms"),
            "PeerMessages": bool(talking),
        },
        "Rules": {
            "GraceToAnswerNs": time_ns(rules, "answer_grace", "16ms"),
            "StopSendingWithinNs": time_ns(rules, "drain_grace", "250ms"),
            "ColdFrom": get(cold, "from", float, 1.0),
            "ColdNs": time_ns(cold, "time", "0s"),
            "TipMultiple": get(cold, "tip_multiple", float, 1.0),
            "OverloadForNs": time_ns(cold, "tip_for", "1s"),
        },
    }
    members = _members(table, [item["name"] for item in gatekeepers]) if "members" in table else None
    if members is not None and not talking:
        raise ValueError("members: gatekeeper.peer_listen is missing; members talk over these addresses")
    known = {"version": 0, "full": True, "servers": [_worker(item, zones) for item in workers]}
    out = {}
    for number, item in enumerate(gatekeepers):
        zone = get(item, "zone", str, zones[0])
        if zone not in zones:
            raise ValueError(f"gatekeeper.{item['name']}.zone: {zone!r} is not one of zones")
        out[item["name"]] = {
            "name": item["name"],
            "listen": get(item, "listen", str, required=True),
            "limits": {
                "cores": 1.0,
                "memory_mb": get(limits, "memory_mb", int, 192),
                "sockets": get(limits, "sockets", int, 1024),
            },
            "known": known,
            "settings": settings | {"Me": number, "Az": zones.index(zone)},
        }
        if table.get("discovery"):
            out[item["name"]]["discovery"] = table["discovery"]
        if item.get("admin"):
            parse_address(get(item, "admin", str), f"gatekeeper.{item['name']}.admin")
            out[item["name"]]["admin"] = item["admin"]
        if talking:
            out[item["name"]] |= {
                "peer_listen": item["peer_listen"],
                "peers": [other["peer_listen"] for other in gatekeepers],
            }
        if members is not None:
            out[item["name"]]["members"] = members | {"zone": members["zone"] or zone}
    return out


def _members(table: Mapping[str, Any], names: list[str]) -> dict[str, Any]:
    """What switches membership on; an empty table is enough."""
    part = get(table, "members", dict, {})
    _known(part, "members")
    try:
        found = {
            "key_file": get(part, "key_file", str, KEY_FILE),
            "region": get(part, "region", str, ""),
            "zone": get(part, "zone", str, ""),
            "period_ms": time_ns(part, "period", "200ms") / 1e6,
            "suspect_ms": time_ns(part, "suspect", "250ms") / 1e6,
            "names": names,
        }
        membership_from_table(found, Path())
    except ValueError as error:
        text = str(error)
        raise ValueError(text if text.startswith("members.") else f"members.{text}") from None
    return found


def _worker(item: Mapping[str, Any], zones: list[str]) -> dict[str, Any]:
    addr, zone = get(item, "address", str, required=True), get(item, "zone", str, zones[0])
    parse_address(addr, f"worker.{item['name']}.address")
    if zone not in zones:
        raise ValueError(f"worker.{item['name']}.zone: {zone!r} is not one of zones")
    cell, weight = get(item, "cell", int, 0), get(item, "weight", float, 1.0)
    place = {"id": item["name"], "addr": addr, "zone": zone, "cell": cell, "weight": weight}
    return place | {"kind": "any", "state": "Ready", "started_ms": 0}


def remarks(text: str) -> list[str]:
    """What a configuration that can be read may still have wrong; ValueError where it can't be read."""
    config = read_config(text, {})
    settings, out = config.settings, []
    if config.admin is not None and config.admin == config.listen:
        raise ValueError("admin: the same address as listen")
    if config.discovery is None and not config.known.endpoints:
        out.append("known.servers: empty, and without discovery no worker will ever be known")
    if settings.gateways > 1 and not (settings.peer_messages and config.peer_listen):
        out.append("peer_listen: without messages each of several gatekeepers holds its part of a quota only")
    if settings.gateways > 1 and config.peers and len(config.peers) != settings.gateways:
        out.append(f"peers: {len(config.peers)} addresses for {settings.gateways} gatekeepers")
    for plan in settings.plans:
        if plan.rate > 0 and plan.burst < settings.max_units:
            out.append(f"settings.Tariffs.{plan.name}: the largest request is above the burst")
        if 0 < plan.ceiling_rate < plan.rate:
            out.append(f"settings.Tariffs.{plan.name}: the ceiling's rate is below the quota's")
    for kind in settings.classes:
        if kind.target_ns > kind.deadline_ns:
            out.append(f"settings.Classes.{kind.name}: wanted later than its deadline")
    return out
