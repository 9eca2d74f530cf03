"""Keepers: where peers are too many to tell all, two of a customer's gateways keep its store and grant units.

The parts of a hard ceiling are theirs too. What a request does while it is asked for is in `gateway`.
"""

from __future__ import annotations

from typing import Any, Protocol

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, DecayingSum
from pepperrun.core.interface import Plan, Settings
from pepperrun.core.quota_keepers import QuotaKeepers
from pepperrun.core.standing import Standing

NEAR = 0.75  # a customer is near its slice once less than this part of the slice is left
INTAKE_USED = 0.6  # part of a receiver's intake that all its peers together fill: room for bursts
HEARD_FOR = 5 * SECOND  # what a peer told of a customer stands this long; a restart takes a few seconds
PARTS = (0.75, 0.25)  # of a hard ceiling: a customer's first keeper grants, the next while it is away
HASH = 2654435761  # spreads customers over their sets; golden ratio of 32 bits
RUSH = 4.0  # fewer asks than this in about a second say nothing of how much is asked


def period_of(settings: Settings) -> int:
    """How often a gateway may tell each of its peers, in nanoseconds: all together fill no intake."""
    intake = max(settings.peer_message_rate, 0.1) * INTAKE_USED
    return max(2 * settings.tick_ns, int(max(1, settings.gateways - 1) / intake * SECOND))


class Holding(Protocol):
    """An account, as keepers see it."""

    customer: int
    number: int
    first: int
    spread: int
    plan: Plan
    whole: Bucket
    ceiling: Bucket
    asked: DecayingSum
    granted: dict[tuple[int, int], int]
    keepers: list[int]
    owed: float
    seen: int


class Books(Protocol):
    """The accounts of this gateway, and what it knows."""

    settings: Settings
    standing: Standing
    outbox: gossip.Outbox
    unit_ns: float
    period: int
    accounts: dict[int, Any]
    quota_keepers: QuotaKeepers | None

    def account(self, event: gossip.Ask, now: int) -> Any: ...


def keepers_of(customer: int, first: int, spread: int, count: int, me: int) -> tuple[list[int], float]:
    """Which two keep it, and this gateway's part of its hard ceiling."""
    at = customer * HASH % 2**32 * spread >> 32
    keepers = [(first + step % spread) % count for step in (at, at + (spread + 1) // 2)]
    return keepers, PARTS[keepers.index(me)] if me in keepers else 0.0


class Keepers:
    """Asks keepers for units, and grants them where this gateway is one."""

    def __init__(self, quotas: Books) -> None:
        self.quotas = quotas
        self.missed: dict[int, tuple[int, int]] = {}  # keeper: asks unanswered in a row, the last one at

    def of(self, account: Holding, now: int) -> int:
        """The first keeper that is there and has not let two asks go unanswered within the last second."""
        missed, lost = (
            [self.missed.get(keeper, (0, 0)) for keeper in account.keepers],
            self.quotas.standing.lost,
        )
        heard = [count < 2 or now - at > SECOND for count, at in missed]
        heard = [here and keeper not in lost for here, keeper in zip(heard, account.keepers, strict=True)]
        return account.keepers[heard.index(True) if True in heard else 0]

    def ask(self, account: Holding, keeper: int, request: int, units: float) -> None:
        """Asks a keeper for units, and settles what is owed."""
        owed = gossip.owed_on_wire(account.owed)
        account.owed -= owed
        where = (account.number, account.first, account.spread)
        ask = gossip.Ask(account.customer, request, units, owed, *where)
        self.quotas.outbox.to(keeper).asks.append(ask)

    def grant(self, account: Holding, peer: int, request: int, units: float, now: int) -> gossip.Answer:
        """As a keeper: units of the store and of this keeper's part of the ceiling, or how long to wait."""
        plan, ceiling = account.plan, account.ceiling
        most = min(self.quotas.settings.peer_message_rate * INTAKE_USED, 2 * plan.rate / max(units, 0.1))
        level, took = account.whole.fill(now), self.quotas.unit_ns * units
        account.asked.add(1.0, now)
        account.granted = {key: at for key, at in account.granted.items() if now - at < SECOND}
        wait_s, beyond = 0.0, False
        if plan.ceiling_rate <= 0 and (peer, request) in account.granted:
            pass  # the answer was lost; the units are charged already
        elif not self.quotas.standing.grants:
            wait_s = (
                self.quotas.period / SECOND
            )  # it stood still, or nobody hears it: another may keep the store
        elif plan.rate > 0 and level < units:
            beyond, wait_s = True, max(0.001, (1 - level) / plan.rate)
            if account.asked.value > max(RUSH, 1.4 * most):
                # Far more is asked than the store can give, or than the intake takes beside other customers.
                wait_s = max(wait_s, min(HEARD_FOR / SECOND, account.spread / most))
        elif plan.ceiling_rate > 0 and ceiling.fill(now) < units:
            wait_s = (units - ceiling.level) / max(ceiling.rate, 1e-9)
        elif 0 < plan.open_limit <= sum(now - at < took for at in account.granted.values()):
            wait_s = max(0.001, took / SECOND)
        else:
            account.whole.level -= units
            ceiling.level -= units
            account.granted[peer, request] = now
        near, given = level < NEAR * plan.burst, 0.0 if wait_s else units
        return gossip.Answer(account.customer, request, given, int(min(wait_s, 60.0) * 1000), near, beyond)

    def hear(self, peer: int, message: gossip.Message, now: int) -> None:
        """Grants, as a keeper, what a peer asks for."""
        count = self.quotas.settings.gateways
        for ask in message.asks:
            if self.quotas.quota_keepers is not None:
                told = self.quotas.quota_keepers.answer(self.quotas, peer, ask, now)
                self.quotas.outbox.to(peer).answers.append(told)
                continue
            if (
                ask.plan >= len(self.quotas.settings.plans)
                or not 0 < ask.spread <= count
                or ask.first >= count
            ):
                continue
            account = self.quotas.accounts.get(ask.customer) or self.quotas.account(ask, now)
            if self.quotas.settings.me in account.keepers and (peer - account.first) % count < account.spread:
                self.quotas.accounts[ask.customer] = account
                account.seen = now
                level = min(account.whole.depth, account.whole.fill(now) - ask.owed)
                # A figure out of all range must not shut a customer out for long.
                account.whole.level = max(level, min(account.whole.level, -account.whole.depth))
                if ask.units > 0:
                    answers = self.quotas.outbox.to(peer).answers
                    answers.append(self.grant(account, peer, ask.request, ask.units, now))
