"""A request while its customer's keepers are asked for units: where peers are too many to tell them all."""

from __future__ import annotations

import random

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND
from pepperrun.core.fair_scheduler import PendingRequest
from pepperrun.core.interface import Gate, Settings
from pepperrun.core.quota_keepers import QuotaKeepers
from pepperrun.core.quotas import Quotas
from pepperrun.core.state import EventDispatcher

ASKS = 3  # two to a keeper, as one may be lost, and one to the next
ASK_PART = 6  # an ask is unanswered after this part of the aim: it leaves half of it to serve in


class Asker(EventDispatcher):
    """Asks, and goes by what keepers answer; the rest of a request's way is the gateway's."""

    settings: Settings
    quotas: Quotas
    rng: random.Random
    gate: Gate | None
    pending: dict[int, PendingRequest]

    def _admit(self, held: PendingRequest) -> None:
        raise NotImplementedError

    def _refuse(self, held: PendingRequest, wait_s: float, over_quota: bool = False) -> None:
        raise NotImplementedError

    def _fail_or_refuse(self, held: PendingRequest) -> None:
        raise NotImplementedError

    def _ask(self, held: PendingRequest) -> None:
        """Asks the customer's keepers in turn; where none answers, the slice of this gateway decides."""
        account, me = held.account, self.settings.me
        if held.asked_at and self.now + held.service.fleet.expected_ns(held) > held.target_at:
            self._fail_or_refuse(held)
            return
        if self.quotas.quota_keepers is not None:
            self._ask_quota_keepers(held, self.quotas.quota_keepers)
            return
        none = self.quotas.standing.lost.issuperset(account.keepers)  # no keeper is there to be asked
        if (none or held.asks >= ASKS) and account.plan.ceiling_rate <= 0:
            if account.near_told or account.slice.fill(self.now) < min(held.units, account.slice.depth):
                self._refuse(held, 0.0)
                return
            account.slice.level -= held.units
            account.owed += held.units
            self._admit(held)
            return
        keeper = self.quotas.keepers.of(account, self.now)
        held.asks, held.asked_at, held.asking = held.asks + 1, self.now, True
        if keeper == me:
            self._answered(self.quotas.keepers.grant(account, me, held.id, held.units, self.now), me)
            return
        self._ask_peer(held, keeper)

    def _ask_quota_keepers(self, held: PendingRequest, quota_keepers: QuotaKeepers) -> None:
        """Asks the next keeper that may have something; where none has, it is beyond the quota."""
        account, missed, lost = held.account, self.quotas.keepers.missed, self.quotas.standing.lost
        wait = self.gate.wait_ns(held.gate_context, self.now) if self.gate is not None else 0
        keeper = quota_keepers.choose(account, missed, lost, self.now)
        if wait or keeper is None:
            again = quota_keepers.returns(account, self.now)
            if again and not wait:
                account.closed_until = again
                wait = int((again - self.now) * (1 + self.rng.random()))
            self._refuse(held, wait / SECOND, keeper is None and again > 0)
            return
        held.asks, held.asked_at, held.asking = held.asks + 1, self.now, True
        if keeper == self.settings.me:
            self._answered(quota_keepers.grant(self.quotas, account, held.id, held.units, self.now), keeper)
        else:
            self._ask_peer(held, keeper)

    def _ask_peer(self, held: PendingRequest, keeper: int) -> None:
        account = held.account
        self.quotas.keepers.ask(account, keeper, held.id, held.units)
        asks = held.asks

        def unanswered() -> None:
            if held.asking and held.asks == asks:
                missed = self.quotas.keepers.missed
                missed[keeper] = (missed.get(keeper, (0, 0))[0] + 1, self.now)
                self._ask(held)

        due = self.now + held.target_ns // ASK_PART
        self.agenda.add(due, unanswered, lambda: not held.asking or held.asks != asks)

    def _answered(self, answer: gossip.Answer, keeper: int) -> None:
        """What a keeper says: units let the request go to its queue; units that come too late go back."""
        held, account = self.pending.get(answer.request), self.quotas.accounts.get(answer.customer)
        if held is None or not held.asking or held.account is not account:
            if account is not None and answer.units > 0:
                account.owed -= answer.units
            return
        account.near_told = answer.near
        wait = max(answer.wait_ms * SECOND // 1000, self.settings.tick_ns)
        if answer.units >= gossip.to_wire(held.units):
            self._admit(held)
        elif self.quotas.quota_keepers is not None:
            self.quotas.quota_keepers.emptied(account, keeper, wait, self.now)
            self._ask(held)
        elif answer.beyond:
            account.closed_until = self.now + int(wait * self.rng.random())
            self._refuse(held, wait / SECOND, True)
        else:
            held.asks, held.asked_at = 0, self.now  # answered: asked anew when it may be let go
            again = self.now + wait
            self.agenda.add(again, lambda: self._ask(held) if held.asking and not held.asks else None)

    def _void(self, held: PendingRequest) -> bool:
        """Rule 5: granted units under way while the true store is full are beyond it: slack bounds them."""
        plan, asked = held.account.plan, held.account.keepers and not held.attempts
        over = plan.ceiling_slack / plan.ceiling_rate if asked and plan.ceiling_rate > 0 else float("inf")
        return bool(self.now - held.asked_at > over * SECOND)
