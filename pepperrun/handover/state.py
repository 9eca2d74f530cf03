"""Exports and restores the state with which a gateway continues for another process. Does no I/O.

The units in token buckets are split, never copied: the predecessor retains what its accepted requests need,
the successor gets the rest and the whole fill rate. A state is validated completely before any of it is
applied: an invalid one leaves the gateway as after a start without state.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, DecayingSum
from pepperrun.core.gateway import Gateway
from pepperrun.core.quotas import Account

FORMAT_VERSION = 1
MAX_AGE_NS = 3 * SECOND  # an older state is out of date
MAX_BACKENDS = 100_000
MAX_ACCOUNTS = 1_000_000
_BUCKETS = ("global_bucket", "local_bucket", "hard_limit")


@dataclass(slots=True)
class RetainedAccount:
    """An account of which the predecessor retained units."""

    account: Account
    total: float  # the account's total units when the state was exported
    rates: tuple[float, ...] = field(default=())  # of its buckets before the export, units/s


def _pending_units(gateway: Gateway) -> dict[int, float]:
    """Returns by customer the units that accepted requests need which were not sent to a backend yet."""
    need: dict[int, float] = {}
    for request in gateway.pending.values():
        if (request.waiting or request.asking) and not request.attempts:
            need[request.account.customer] = need.get(request.account.customer, 0.0) + request.units
    return need


def _peer_reports(account: Account) -> list[list[Any]]:
    """Returns a row per peer: what it last reported about the customer."""
    return [
        [
            peer,
            report.incarnation,
            report.received_at,
            report.recent_use.value,
            report.recent_use.at,
            report.entry.total_units,
            report.entry.local_used_units,
        ]
        + [
            None if report.entry.hard_limit_level == gossip.NOT_LOW else report.entry.hard_limit_level,
            report.entry.attempts_in_flight,
        ]
        for peer, report in account.peer_reports.by_peer.items()
    ]


def _split_account(
    account: Account, need: float, reserve: float, now: int
) -> tuple[dict[str, Any], RetainedAccount]:
    """Returns an account's state without the units retained here, and removes the exported ones here."""
    buckets = [getattr(account, name) for name in _BUCKETS]
    exported = []
    for bucket in buckets:
        level = bucket.fill(now)
        retained_units = max(0.0, min(level, need + reserve))
        exported.append(level - retained_units)
    table = {
        "customer": account.customer,
        "plan": account.plan_number,
        "first": account.first,
        "spread": account.spread,
        "stores": exported,
        "owed": account.owed,
        "near": account.low_balance_reported,
        "closed_until": account.rejected_until,
        "total": account.total_units,
        "untold": account.unreported_units,
        "told_at": account.reported_at,
        "asked_at": account.reporting_since,
        "seen": account.last_seen_at,
        "used": account.recent_use.read(now),
        "asked": account.recent_requests.read(now),
        "granted": [[*key, at] for key, at in account.granted_at.items()],
        "told": _peer_reports(account),
    }
    kept = RetainedAccount(account, account.total_units, tuple(bucket.rate for bucket in buckets))
    for bucket, removed in zip(buckets, exported, strict=True):
        bucket.level -= removed
        bucket.rate = 0.0
    account.owed = 0.0
    return table, kept


def export(gateway: Gateway, now: int) -> tuple[dict[str, Any], list[RetainedAccount]]:
    """Returns the state and the retained accounts.

    From now on this gateway neither refills buckets nor reports to peers.
    """
    quotas, fleet, limiter = gateway.quotas, gateway.fleet, gateway.limiter
    need, reserve = _pending_units(gateway), gateway.settings.max_units
    accounts, kept = [], []
    for account in quotas.accounts.values():
        table, retained = _split_account(account, need.get(account.customer, 0.0), reserve, now)
        accounts.append(table)
        kept.append(retained)
    quotas.handed_over = True
    return {
        "form": FORMAT_VERSION,
        "at": now,
        "start": quotas.started_at,
        "counted": quotas.max_dropped_total,
        "incarnation": quotas.outbox.incarnation,
        "sequence": quotas.outbox.sequence,
        "peers": [[peer, *known] for peer, known in quotas.inbox.peers.items()],
        "accounts": accounts,
        "depth": limiter.depth,
        "latency": limiter.latency,
        "typical": fleet.unit_latency_ns,
        "seen": fleet.answer_counts,
        "tail": fleet.tail_ratio,
        "further": gateway.retry_budget.level,
        "most_left": gateway.max_remaining_ns,
        "backends": [
            [s.id, s.slowdown, s.sampled_at, s.started_at, s.unreachable_at] for s in fleet.servers.values()
        ],
        "news": [[*key, *seen] for key, seen in fleet.backend_reports.known.items()],
    }, kept


def resume(gateway: Gateway, kept: list[RetainedAccount], now: int) -> None:
    """Decides again after the successor has ended: buckets refill from the retained units.

    Units that were exported may have been spent and stay with the successor.
    """
    for retained in kept:
        for name, rate in zip(_BUCKETS, retained.rates, strict=True):
            bucket = getattr(retained.account, name)
            bucket.fill(now)
            bucket.rate = rate
    quotas = gateway.quotas
    quotas.handed_over = False
    # Peers may have received messages of the successor with this incarnation: without a new one they would
    # drop this process's messages as old.
    quotas.outbox.incarnation = max(
        quotas.outbox.incarnation + 1, now // gossip.INCARNATION_TICK_NS % (2**32 - 1) + 1
    )


def export_remainder(kept: list[RetainedAccount], now: int) -> list[list[float]]:
    """Returns a row per account: customer, unused units per bucket, units used since the export, and owed."""
    return [
        [retained.account.customer, *(getattr(retained.account, name).fill(now) for name in _BUCKETS)]
        + [retained.account.total_units - retained.total, retained.account.owed]
        for retained in kept
    ]


class _Validator:
    """Checks values of a received state; each method raises ValueError for an invalid one."""

    def __init__(self, now: int) -> None:
        self.now = now

    def finite(self, value: Any, minimum: float = -1e15, maximum: float = 1e15) -> float:
        """Returns a finite number within bounds."""
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{value!r} is not a finite number")
        if not minimum <= value <= maximum:
            raise ValueError(f"{value!r} is out of range")
        return float(value)

    def integer(self, value: Any, minimum: int = 0, maximum: int = 2**63) -> int:
        """Returns an integer within bounds."""
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise ValueError(f"{value!r} is not an integer in the permitted range")
        return int(value)

    def timestamp(self, value: Any) -> int:
        """Returns a time that is past or at most 60 s ahead: two processes' clocks differ by less."""
        return self.integer(value, -(2**62), self.now + 60 * SECOND)

    def rows(self, value: Any, maximum: int, width: int) -> list[list[Any]]:
        """Returns a list of at most `maximum` rows, each of `width` columns."""
        if not isinstance(value, list) or len(value) > maximum:
            raise ValueError("a list of rows is missing or too long")
        if not all(isinstance(row, list) and len(row) == width for row in value):
            raise ValueError("a row has the wrong number of columns")
        return value


def _restore_account(row: Any, gateway: Gateway, check: _Validator) -> Account:
    """Returns the account that a row describes; bucket levels are limited to the buckets' depths."""
    settings, now = gateway.settings, check.now
    plan = check.integer(row["plan"], 0, len(settings.plans) - 1)
    spread = check.integer(row["spread"], 1, settings.gateways)
    first = check.integer(row["first"], 0, settings.gateways - 1)
    customer = check.integer(row["customer"], 0, 2**33 - 1)
    account = Account(gossip.UnitRequest(customer, 0, 0.0, 0.0, plan, first, spread), now, gateway.quotas)
    levels = row["stores"]
    if not isinstance(levels, list) or len(levels) != len(_BUCKETS):
        raise ValueError("the bucket levels are missing or incomplete")
    for name, level in zip(_BUCKETS, levels, strict=True):
        bucket = getattr(account, name)
        bucket.level, bucket.at = min(bucket.depth, check.finite(level)), now
    account.owed = check.finite(row["owed"])
    account.low_balance_reported = row["near"] is True
    # An implausible time must not lock a customer out for long.
    account.rejected_until = min(check.timestamp(row["closed_until"]), now + 5 * SECOND)
    account.total_units, account.unreported_units = check.finite(row["total"], 0), check.finite(row["untold"])
    account.reported_at, account.reporting_since = (
        check.timestamp(row["told_at"]),
        check.timestamp(row["asked_at"]),
    )
    account.last_seen_at = check.timestamp(row["seen"])
    account.recent_use.value, account.recent_use.at = check.finite(row["used"], 0), now
    account.recent_requests.value, account.recent_requests.at = check.finite(row["asked"], 0), now
    for peer, request, at in check.rows(row["granted"], MAX_ACCOUNTS, 3):
        account.granted_at[check.integer(peer), check.integer(request)] = check.timestamp(at)
    for peer, incarnation, at, used, used_at, total, local_used, level, in_flight in check.rows(
        row["told"], settings.gateways, 9
    ):
        recent_use = DecayingSum(gossip.USE_HALF_LIFE_NS, check.timestamp(used_at))
        recent_use.value = check.finite(used, 0)
        hard_limit_level = gossip.NOT_LOW if level is None else check.finite(level)
        entry = gossip.UsageEntry(
            customer,
            check.finite(total, 0),
            check.finite(local_used),
            hard_limit_level,
            0.0,
            check.integer(in_flight),
        )
        account.peer_reports.by_peer[check.integer(peer, 0, settings.gateways - 1)] = gossip.PeerReport(
            check.integer(incarnation), entry, check.timestamp(at), recent_use
        )
    return account


def restore(gateway: Gateway, table: Any, now: int) -> None:
    """Restores the gateway from a state. The backend list must have been applied before.

    Raises ValueError, without any change, if the state is invalid.
    """
    try:
        apply = _validated(gateway, table, now)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"a key is missing or its value is malformed: {error}") from None
    apply()


def _validated(gateway: Gateway, table: Any, now: int) -> Callable[[], None]:
    """Validates a state and returns the function that applies it."""
    settings, quotas, fleet = gateway.settings, gateway.quotas, gateway.fleet
    check = _Validator(now)
    if table["form"] != FORMAT_VERSION:
        raise ValueError(f"the state has format {table['form']!r}, but {FORMAT_VERSION} is expected")
    age = now - check.integer(table["at"])
    if abs(age) > MAX_AGE_NS:
        raise ValueError(f"the state is {age / SECOND:.1f} s old")
    start = min(check.timestamp(table["start"]), now)
    max_dropped_total, classes = check.finite(table["counted"], 0), len(settings.classes)
    incarnation = check.integer(table["incarnation"], 1, 2**32)
    sequence = check.integer(table["sequence"], 0, 2**32)
    peers = {
        check.integer(peer, 0, settings.gateways - 1): (
            check.integer(seen_incarnation),
            check.integer(seen_sequence),
            check.timestamp(at),
        )
        for peer, seen_incarnation, seen_sequence, at in check.rows(table["peers"], settings.gateways, 4)
    }
    depth, latency = check.finite(table["depth"], 0.01, 1e6), check.finite(table["latency"], 0, 2)
    unit_latency_ns = [check.finite(value, 1, 1e12) for value in table["typical"]]
    answer_counts = [check.integer(value) for value in table["seen"]]
    max_remaining_ns = [check.integer(value) for value in table["most_left"]]
    if not len(unit_latency_ns) == len(answer_counts) == len(max_remaining_ns) == classes:
        raise ValueError("the state is for other request classes")
    tail_ratio, retry_budget_level = (
        check.finite(table["tail"], 1.0, 1e6),
        check.finite(table["further"], -1e6),
    )
    backends = {
        check.integer(number): (
            check.finite(slowdown, 0, 1e6),
            [check.timestamp(at) for at in (sampled_at, started_at, unreachable_at)],
        )
        for number, slowdown, sampled_at, started_at, unreachable_at in check.rows(
            table["backends"], MAX_BACKENDS, 5
        )
    }
    backend_reports = [
        (
            check.integer(number),
            check.integer(cls, 0, classes - 1),
            check.finite(failure_score, 0, 1),
            check.timestamp(at),
        )
        for number, cls, failure_score, at in check.rows(table["news"], MAX_BACKENDS * classes, 4)
    ]
    if not isinstance(table["accounts"], list) or len(table["accounts"]) > MAX_ACCOUNTS:
        raise ValueError("the list of accounts is missing or too long")
    previous_start = quotas.started_at
    quotas.started_at = start  # the hard rate limit of an account fills from this time on
    try:
        accounts = [_restore_account(row, gateway, check) for row in table["accounts"]]
    finally:
        quotas.started_at = previous_start

    def apply() -> None:
        quotas.started_at, quotas.max_dropped_total = start, max_dropped_total
        quotas.outbox.incarnation, quotas.outbox.sequence = incarnation, sequence
        quotas.inbox.peers = peers
        quotas.accounts = {account.customer: account for account in accounts}
        gateway.limiter.depth, gateway.limiter.latency = depth, latency
        fleet.unit_latency_ns, fleet.answer_counts, fleet.tail_ratio = (
            unit_latency_ns,
            answer_counts,
            tail_ratio,
        )
        gateway.retry_budget.level = min(gateway.retry_budget.depth, retry_budget_level)
        gateway.max_remaining_ns = max_remaining_ns
        for number, (slowdown, (sampled_at, started_at, unreachable_at)) in backends.items():
            if (server := fleet.servers.get(number)) is not None:
                server.slowdown, server.sampled_at, server.unreachable_at = (
                    slowdown,
                    sampled_at,
                    unreachable_at,
                )
                server.started_at = max(server.started_at, started_at)
        for number, cls, failure_score, at in backend_reports:
            if number in fleet.servers:
                fleet.backend_reports.record(number, cls, failure_score, at, False)

    return apply


def reset(gateway: Gateway, now: int) -> None:
    """Drops the restored state, as after a start without it: the predecessor decides again."""
    gateway.quotas.accounts.clear()
    gateway.quotas.started_at = now
    gateway.quotas.outbox.incarnation = now // gossip.INCARNATION_TICK_NS % (2**32 - 1) + 1


def add_remainder(gateway: Gateway, rows: Any, now: int) -> None:
    """Adds the units that the predecessor returns at its end; raises ValueError if a row is malformed."""
    check, accounts = _Validator(now), gateway.quotas.accounts
    for row in check.rows(rows, MAX_ACCOUNTS, 3 + len(_BUCKETS)):
        customer, used, owed = check.integer(row[0]), check.finite(row[4]), check.finite(row[5])
        levels = [check.finite(level) for level in row[1:4]]
        if (account := accounts.get(customer)) is None:
            continue
        for name, level in zip(_BUCKETS, levels, strict=True):
            bucket = getattr(account, name)
            bucket.level = min(bucket.depth, bucket.fill(now) + level)
        account.total_units += max(0.0, used)
        account.unreported_units += max(0.0, used)
        account.owed += owed
