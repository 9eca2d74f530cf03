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

FORM = 1
FRESH_NS = 3 * SECOND  # an older state is another time's
MOST_BACKENDS = 100_000
MOST_ACCOUNTS = 1_000_000
_STORES = ("global_bucket", "local_bucket", "hard_limit")


@dataclass(slots=True)
class Kept:
    """What a predecessor still has of an account."""

    account: Account
    total: float  # counted when the state was written
    rates: tuple[float, ...] = field(default=())


def _need(gateway: Gateway) -> dict[int, float]:
    """Units by customer that requests taken and not sent on will use."""
    need: dict[int, float] = {}
    for held in gateway.pending.values():
        if (held.waiting or held.asking) and not held.attempts:
            need[held.account.customer] = need.get(held.account.customer, 0.0) + held.units
    return need


def _told(account: Account) -> list[list[Any]]:
    return [
        [
            peer,
            told.incarnation,
            told.received_at,
            told.recent_use.value,
            told.recent_use.at,
            told.entry.total_units,
            told.entry.local_used_units,
        ]
        + [
            None if told.entry.hard_limit_level == gossip.NOT_LOW else told.entry.hard_limit_level,
            told.entry.attempts_in_flight,
        ]
        for peer, told in account.peer_reports.by_peer.items()
    ]


def _account(account: Account, need: float, spare: float, now: int) -> tuple[dict[str, Any], Kept]:
    """An account's part of the state; what is kept here is taken out of it."""
    stores = [getattr(account, name) for name in _STORES]
    given = []
    for store in stores:
        level = store.fill(now)
        keep = max(0.0, min(level, need + spare))
        given.append(level - keep)
    table = {
        "customer": account.customer,
        "plan": account.plan_number,
        "first": account.first,
        "spread": account.spread,
        "stores": given,
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
        "told": _told(account),
    }
    kept = Kept(account, account.total_units, tuple(store.rate for store in stores))
    for store, gone in zip(stores, given, strict=True):
        store.level -= gone
        store.rate = 0.0
    account.owed = 0.0
    return table, kept


def export(gateway: Gateway, now: int) -> tuple[dict[str, Any], list[Kept]]:
    """The state, and what is kept back: from now on this gateway fills no store and tells no peer."""
    quotas, fleet, bound = gateway.quotas, gateway.fleet, gateway.limiter
    need, spare = _need(gateway), gateway.settings.max_units
    accounts, kept = [], []
    for account in quotas.accounts.values():
        table, rest = _account(account, need.get(account.customer, 0.0), spare, now)
        accounts.append(table)
        kept.append(rest)
    quotas.handed_over = True
    return {
        "form": FORM,
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


def take_back(gateway: Gateway, kept: list[Kept], now: int) -> None:
    """The successor is gone: stores fill again from what was kept; what it was given may be spent."""
    for one in kept:
        for name, rate in zip(_STORES, one.rates, strict=True):
            store = getattr(one.account, name)
            store.fill(now)
            store.rate = rate
    quotas = gateway.quotas
    quotas.handed_over = False
    # Peers have heard the successor under this incarnation: a new one, or they would take this for old.
    quotas.outbox.incarnation = max(
        quotas.outbox.incarnation + 1, now // gossip.INCARNATION_TICK_NS % (2**32 - 1) + 1
    )


def left(kept: list[Kept], now: int) -> list[list[float]]:
    """What the predecessor did not use, and what it counted since: customer, stores, units, owed."""
    return [
        [one.account.customer, *(getattr(one.account, name).fill(now) for name in _STORES)]
        + [one.account.total_units - one.total, one.account.owed]
        for one in kept
    ]


class _Reader:
    """Checks figures as they are read."""

    def __init__(self, now: int) -> None:
        self.now = now

    def number(self, value: Any, least: float = -1e15, most: float = 1e15) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"{value!r} is no number")
        if not least <= value <= most:
            raise ValueError(f"{value!r} is out of range")
        return float(value)

    def whole(self, value: Any, least: int = 0, most: int = 2**63) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
            raise ValueError(f"{value!r} is no such whole number")
        return int(value)

    def moment(self, value: Any) -> int:
        """A time that is past, or not far ahead: clocks of two processes differ by less than this."""
        return self.whole(value, -(2**62), self.now + 60 * SECOND)

    def rows(self, value: Any, most: int, width: int) -> list[list[Any]]:
        if not isinstance(value, list) or len(value) > most:
            raise ValueError("a list is missing or too long")
        if not all(isinstance(row, list) and len(row) == width for row in value):
            raise ValueError("a row is garbled")
        return value


def _read_account(row: Any, gateway: Gateway, read: _Reader) -> Account:
    settings, now = gateway.settings, read.now
    plan = read.whole(row["plan"], 0, len(settings.plans) - 1)
    spread = read.whole(row["spread"], 1, settings.gateways)
    first = read.whole(row["first"], 0, settings.gateways - 1)
    customer = read.whole(row["customer"], 0, 2**33 - 1)
    account = Account(gossip.UnitRequest(customer, 0, 0.0, 0.0, plan, first, spread), now, gateway.quotas)
    levels = row["stores"]
    if not isinstance(levels, list) or len(levels) != len(_STORES):
        raise ValueError("stores are missing")
    for name, level in zip(_STORES, levels, strict=True):
        store = getattr(account, name)
        store.level, store.at = min(store.depth, read.number(level)), now
    account.owed = read.number(row["owed"])
    account.low_balance_reported = row["near"] is True
    # A figure out of all range must not shut a customer out for long.
    account.rejected_until = min(read.moment(row["closed_until"]), now + 5 * SECOND)
    account.total_units, account.unreported_units = read.number(row["total"], 0), read.number(row["untold"])
    account.reported_at, account.reporting_since = read.moment(row["told_at"]), read.moment(row["asked_at"])
    account.last_seen_at = read.moment(row["seen"])
    account.recent_use.value, account.recent_use.at = read.number(row["used"], 0), now
    account.recent_requests.value, account.recent_requests.at = read.number(row["asked"], 0), now
    for peer, request, at in read.rows(row["granted"], MOST_ACCOUNTS, 3):
        account.granted_at[read.whole(peer), read.whole(request)] = read.moment(at)
    for peer, incarnation, at, used, used_at, total, debt, ceiling, out in read.rows(
        row["told"], settings.gateways, 9
    ):
        lately = DecayingSum(gossip.USE_HALF_LIFE_NS, read.moment(used_at))
        lately.value = read.number(used, 0)
        far = gossip.NOT_LOW if ceiling is None else read.number(ceiling)
        entry = gossip.UsageEntry(
            customer, read.number(total, 0), read.number(debt), far, 0.0, read.whole(out)
        )
        account.peer_reports.by_peer[read.whole(peer, 0, settings.gateways - 1)] = gossip.PeerReport(
            read.whole(incarnation), entry, read.moment(at), lately
        )
    return account


def take_in(gateway: Gateway, table: Any, now: int) -> None:
    """Goes on from a state; ValueError, and nothing changed, where it is no good. The list comes before."""
    try:
        apply = _checked(gateway, table, now)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"a part is missing or garbled: {error}") from None
    apply()


def _checked(gateway: Gateway, table: Any, now: int) -> Callable[[], None]:
    settings, quotas, fleet = gateway.settings, gateway.quotas, gateway.fleet
    read = _Reader(now)
    if table["form"] != FORM:
        raise ValueError(f"form {table['form']!r}, {FORM} is known")
    age = now - read.whole(table["at"])
    if abs(age) > FRESH_NS:
        raise ValueError(f"it is {age / SECOND:.1f} s old")
    start = min(read.moment(table["start"]), now)
    counted, classes = read.number(table["counted"], 0), len(settings.classes)
    incarnation = read.whole(table["incarnation"], 1, 2**32)
    sequence = read.whole(table["sequence"], 0, 2**32)
    peers = {
        read.whole(peer, 0, settings.gateways - 1): (read.whole(one), read.whole(two), read.moment(at))
        for peer, one, two, at in read.rows(table["peers"], settings.gateways, 4)
    }
    depth, latency = read.number(table["depth"], 0.01, 1e6), read.number(table["latency"], 0, 2)
    typical = [read.number(value, 1, 1e12) for value in table["typical"]]
    seen = [read.whole(value) for value in table["seen"]]
    most_left = [read.whole(value) for value in table["most_left"]]
    if not len(typical) == len(seen) == len(most_left) == classes:
        raise ValueError("other classes")
    tail, further = read.number(table["tail"], 1.0, 1e6), read.number(table["further"], -1e6)
    backends = {
        read.whole(number): (read.number(slow, 0, 1e6), [read.moment(at) for at in (sampled, born, down)])
        for number, slow, sampled, born, down in read.rows(table["backends"], MOST_BACKENDS, 5)
    }
    news = [
        (read.whole(number), read.whole(cls, 0, classes - 1), read.number(bad, 0, 1), read.moment(at))
        for number, cls, bad, at in read.rows(table["news"], MOST_BACKENDS * classes, 4)
    ]
    if not isinstance(table["accounts"], list) or len(table["accounts"]) > MOST_ACCOUNTS:
        raise ValueError("accounts are missing")
    before = quotas.started_at
    quotas.started_at = start  # an account's ceiling fills from there
    try:
        accounts = [_read_account(row, gateway, read) for row in table["accounts"]]
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


def forget(gateway: Gateway, now: int) -> None:
    """As after a start from nothing: whoever gave the state decides again."""
    gateway.quotas.accounts.clear()
    gateway.quotas.started_at = now
    gateway.quotas.outbox.incarnation = now // gossip.INCARNATION_TICK_NS % (2**32 - 1) + 1


def take_left(gateway: Gateway, rows: Any, now: int) -> None:
    """What the predecessor gives back at its end; ValueError where that is no good."""
    read, accounts = _Reader(now), gateway.quotas.accounts
    for row in read.rows(rows, MOST_ACCOUNTS, 3 + len(_STORES)):
        customer, used, owed = read.whole(row[0]), read.number(row[4]), read.number(row[5])
        levels = [read.number(level) for level in row[1:4]]
        if (account := accounts.get(customer)) is None:
            continue
        for name, level in zip(_STORES, levels, strict=True):
            store = getattr(account, name)
            store.level = min(store.depth, store.fill(now) + level)
        account.total_units += max(0.0, used)
        account.unreported_units += max(0.0, used)
        account.owed += owed
