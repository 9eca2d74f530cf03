"""What a gateway must know to go on where another process of the same gatekeeper stopped. Does no I/O.

Stores are split, never copied: the predecessor keeps what the requests that it has taken need, the successor
has the rest and all of the rate. What is read is checked whole before any of it counts: a state that is no
good leaves the gateway as it was after a start from nothing.
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
MAX_AGE_NS = 3 * SECOND  # an older state is another time's
MAX_BACKENDS = 100_000
MAX_ACCOUNTS = 1_000_000
_BUCKETS = ("global_bucket", "local_bucket", "hard_limit")


@dataclass(slots=True)
class RetainedAccount:
    """What a predecessor still has of an account."""

    account: Account
    total: float  # counted when the state was written
    rates: tuple[float, ...] = field(default=())


def _pending_units(gateway: Gateway) -> dict[int, float]:
    """Units by customer that requests taken and not sent on will use."""
    need: dict[int, float] = {}
    for request in gateway.pending.values():
        if (request.waiting or request.asking) and not request.attempts:
            need[request.account.customer] = need.get(request.account.customer, 0.0) + request.units
    return need


def _peer_reports(account: Account) -> list[list[Any]]:
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
    account: Account, need: float, spare: float, now: int
) -> tuple[dict[str, Any], RetainedAccount]:
    """An account's part of the state; what is kept here is taken out of it."""
    buckets = [getattr(account, name) for name in _BUCKETS]
    exported = []
    for bucket in buckets:
        level = bucket.fill(now)
        keep = max(0.0, min(level, need + spare))
        exported.append(level - keep)
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
    """The state, and what is kept back: from now on this gateway fills no store and tells no peer."""
    quotas, fleet, bound = gateway.quotas, gateway.fleet, gateway.limiter
    need, spare = _pending_units(gateway), gateway.settings.max_units
    accounts, kept = [], []
    for account in quotas.accounts.values():
        table, retained = _split_account(account, need.get(account.customer, 0.0), spare, now)
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
        "depth": bound.depth,
        "latency": bound.latency,
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
    """The successor is gone: stores fill again from what was kept; what it was exported may be spent."""
    for retained in kept:
        for name, rate in zip(_BUCKETS, retained.rates, strict=True):
            bucket = getattr(retained.account, name)
            bucket.fill(now)
            bucket.rate = rate
    quotas = gateway.quotas
    quotas.handed_over = False
    # Peers have heard the successor under this incarnation: a new one, or they would take this for old.
    quotas.outbox.incarnation = max(
        quotas.outbox.incarnation + 1, now // gossip.INCARNATION_TICK_NS % (2**32 - 1) + 1
    )


def export_remainder(kept: list[RetainedAccount], now: int) -> list[list[float]]:
    """What the predecessor did not use, and what it counted since: customer, stores, units, owed."""
    return [
        [retained.account.customer, *(getattr(retained.account, name).fill(now) for name in _BUCKETS)]
        + [retained.account.total_units - retained.total, retained.account.owed]
        for retained in kept
    ]


class _Validator:
    """Checks figures as they are check."""

    def __init__(self, now: int) -> None:
        self.now = now

    def finite(self, value: Any, minimum: float = -1e15, maximum: float = 1e15) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{value!r} is no number")
        if not minimum <= value <= maximum:
            raise ValueError(f"{value!r} is out of range")
        return float(value)

    def integer(self, value: Any, minimum: int = 0, maximum: int = 2**63) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise ValueError(f"{value!r} is no such whole number")
        return int(value)

    def timestamp(self, value: Any) -> int:
        """A time that is past, or not far ahead: clocks of two processes differ by less than this."""
        return self.integer(value, -(2**62), self.now + 60 * SECOND)

    def rows(self, value: Any, maximum: int, width: int) -> list[list[Any]]:
        if not isinstance(value, list) or len(value) > maximum:
            raise ValueError("a list is missing or too long")
        if not all(isinstance(row, list) and len(row) == width for row in value):
            raise ValueError("a row is garbled")
        return value


def _restore_account(row: Any, gateway: Gateway, check: _Validator) -> Account:
    settings, now = gateway.settings, check.now
    plan = check.integer(row["plan"], 0, len(settings.plans) - 1)
    spread = check.integer(row["spread"], 1, settings.gateways)
    first = check.integer(row["first"], 0, settings.gateways - 1)
    customer = check.integer(row["customer"], 0, 2**33 - 1)
    account = Account(gossip.UnitRequest(customer, 0, 0.0, 0.0, plan, first, spread), now, gateway.quotas)
    levels = row["stores"]
    if not isinstance(levels, list) or len(levels) != len(_BUCKETS):
        raise ValueError("stores are missing")
    for name, level in zip(_BUCKETS, levels, strict=True):
        bucket = getattr(account, name)
        bucket.level, bucket.at = min(bucket.depth, check.finite(level)), now
    account.owed = check.finite(row["owed"])
    account.low_balance_reported = row["near"] is True
    # A figure out of all range must not shut a customer out for long.
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
    for peer, incarnation, at, used, used_at, total, debt, ceiling, out in check.rows(
        row["told"], settings.gateways, 9
    ):
        lately = DecayingSum(gossip.USE_HALF_LIFE_NS, check.timestamp(used_at))
        lately.value = check.finite(used, 0)
        far = gossip.NOT_LOW if ceiling is None else check.finite(ceiling)
        entry = gossip.UsageEntry(
            customer, check.finite(total, 0), check.finite(debt), far, 0.0, check.integer(out)
        )
        account.peer_reports.by_peer[check.integer(peer, 0, settings.gateways - 1)] = gossip.PeerReport(
            check.integer(incarnation), entry, check.timestamp(at), lately
        )
    return account


def restore(gateway: Gateway, table: Any, now: int) -> None:
    """Goes on from a state; ValueError, and nothing changed, where it is no good. The list comes before."""
    try:
        apply = _validated(gateway, table, now)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"a part is missing or garbled: {error}") from None
    apply()


def _validated(gateway: Gateway, table: Any, now: int) -> Callable[[], None]:
    settings, quotas, fleet = gateway.settings, gateway.quotas, gateway.fleet
    check = _Validator(now)
    if table["form"] != FORMAT_VERSION:
        raise ValueError(f"form {table['form']!r}, {FORMAT_VERSION} is known")
    age = now - check.integer(table["at"])
    if abs(age) > MAX_AGE_NS:
        raise ValueError(f"it is {age / SECOND:.1f} s old")
    start = min(check.timestamp(table["start"]), now)
    counted, classes = check.finite(table["counted"], 0), len(settings.classes)
    incarnation = check.integer(table["incarnation"], 1, 2**32)
    sequence = check.integer(table["sequence"], 0, 2**32)
    peers = {
        check.integer(peer, 0, settings.gateways - 1): (
            check.integer(one),
            check.integer(two),
            check.timestamp(at),
        )
        for peer, one, two, at in check.rows(table["peers"], settings.gateways, 4)
    }
    depth, latency = check.finite(table["depth"], 0.01, 1e6), check.finite(table["latency"], 0, 2)
    typical = [check.finite(value, 1, 1e12) for value in table["typical"]]
    seen = [check.integer(value) for value in table["seen"]]
    most_left = [check.integer(value) for value in table["most_left"]]
    if not len(typical) == len(seen) == len(most_left) == classes:
        raise ValueError("other classes")
    tail, further = check.finite(table["tail"], 1.0, 1e6), check.finite(table["further"], -1e6)
    backends = {
        check.integer(number): (
            check.finite(slow, 0, 1e6),
            [check.timestamp(at) for at in (sampled, born, down)],
        )
        for number, slow, sampled, born, down in check.rows(table["backends"], MAX_BACKENDS, 5)
    }
    news = [
        (
            check.integer(number),
            check.integer(cls, 0, classes - 1),
            check.finite(bad, 0, 1),
            check.timestamp(at),
        )
        for number, cls, bad, at in check.rows(table["news"], MAX_BACKENDS * classes, 4)
    ]
    if not isinstance(table["accounts"], list) or len(table["accounts"]) > MAX_ACCOUNTS:
        raise ValueError("accounts are missing")
    before = quotas.started_at
    quotas.started_at = start  # an account's ceiling fills from there
    try:
        accounts = [_restore_account(row, gateway, check) for row in table["accounts"]]
    finally:
        quotas.started_at = before

    def apply() -> None:
        quotas.started_at, quotas.max_dropped_total = start, counted
        quotas.outbox.incarnation, quotas.outbox.sequence = incarnation, sequence
        quotas.inbox.peers = peers
        quotas.accounts = {account.customer: account for account in accounts}
        gateway.limiter.depth, gateway.limiter.latency = depth, latency
        fleet.unit_latency_ns, fleet.answer_counts, fleet.tail_ratio = typical, seen, tail
        gateway.retry_budget.level = min(gateway.retry_budget.depth, further)
        gateway.max_remaining_ns = most_left
        for number, (slow, (sampled, born, down)) in backends.items():
            if (server := fleet.servers.get(number)) is not None:
                server.slowdown, server.sampled_at, server.unreachable_at = slow, sampled, down
                server.started_at = max(server.started_at, born)
        for number, cls, bad, at in news:
            if number in fleet.servers:
                fleet.backend_reports.record(number, cls, bad, at, False)

    return apply


def reset(gateway: Gateway, now: int) -> None:
    """As after a start from nothing: whoever gave the state decides again."""
    gateway.quotas.accounts.clear()
    gateway.quotas.started_at = now
    gateway.quotas.outbox.incarnation = now // gossip.INCARNATION_TICK_NS % (2**32 - 1) + 1


def add_remainder(gateway: Gateway, rows: Any, now: int) -> None:
    """What the predecessor gives back at its end; ValueError where that is no good."""
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
