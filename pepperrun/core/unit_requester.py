"""A request while its customer's keepers are asked for units: where peers are too many to tell them all."""

from __future__ import annotations

import random

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND
from pepperrun.core.fair_scheduler import PendingRequest
from pepperrun.core.interface import Gate, Settings
from pepperrun.core.quota_owners import QuotaOwners
from pepperrun.core.quotas import Quotas
from pepperrun.core.state import EventDispatcher

MAX_UNIT_REQUESTS = 3  # two to a keeper, as one may be lost, and one to the next
RESPONSE_TIMEOUT_DIVISOR = (
    6  # an ask is unanswered after this part of the aim: it leaves half of it to serve in
)


class UnitRequester(EventDispatcher):
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

    def _request_units(self, held: PendingRequest) -> None:
        """Asks the customer's keepers in turn; where none answers, the slice of this gateway decides."""
        account, me = held.account, self.settings.me
        if held.asked_at and self.now + held.service.fleet.expected_ns(held) > held.target_at:
            self._fail_or_refuse(held)
            return
        if self.quotas.quota_owners is not None:
            self._request_from_quota_owners(held, self.quotas.quota_owners)
            return
        none = self.quotas.membership_status.absent.issuperset(
            account.owners
        )  # no keeper is there to be asked
        if (none or held.asks >= MAX_UNIT_REQUESTS) and account.plan.ceiling_rate <= 0:
            if account.low_balance_reported or account.local_bucket.fill(self.now) < min(
                held.units, account.local_bucket.depth
            ):
                self._refuse(held, 0.0)
                return
            account.local_bucket.level -= held.units
            account.owed += held.units
            self._admit(held)
            return
        keeper = self.quotas.unit_grants.owner_of(account, self.now)
        held.asks, held.asked_at, held.asking = held.asks + 1, self.now, True
        if keeper == me:
            self._on_unit_response(
                self.quotas.unit_grants.grant(account, me, held.id, held.units, self.now), me
            )
            return
        self._send_unit_request(held, keeper)

    def _request_from_quota_owners(self, held: PendingRequest, quota_keepers: QuotaOwners) -> None:
        """Asks the next keeper that may have something; where none has, it is beyond the quota."""
        account, missed, lost = (
            held.account,
            self.quotas.unit_grants.unanswered,
            self.quotas.membership_status.absent,
        )
        wait = self.gate.wait_ns(held.gate_context, self.now) if self.gate is not None else 0
        keeper = quota_keepers.choose_owner(account, missed, lost, self.now)
        if wait or keeper is None:
            again = quota_keepers.earliest_refill(account, self.now)
            if again and not wait:
                account.rejected_until = again
                wait = int((again - self.now) * (1 + self.rng.random()))
            self._refuse(held, wait / SECOND, keeper is None and again > 0)
            return
        held.asks, held.asked_at, held.asking = held.asks + 1, self.now, True
        if keeper == self.settings.me:
            self._on_unit_response(
                quota_keepers.grant(self.quotas, account, held.id, held.units, self.now), keeper
            )
        else:
            self._send_unit_request(held, keeper)

    def _send_unit_request(self, held: PendingRequest, keeper: int) -> None:
        account = held.account
        self.quotas.unit_grants.request_units(account, keeper, held.id, held.units)
        asks = held.asks

        def unanswered() -> None:
            if held.asking and held.asks == asks:
                missed = self.quotas.unit_grants.unanswered
                missed[keeper] = (missed.get(keeper, (0, 0))[0] + 1, self.now)
                self._request_units(held)

        due = self.now + held.target_ns // RESPONSE_TIMEOUT_DIVISOR
        self.agenda.add(due, unanswered, lambda: not held.asking or held.asks != asks)

    def _on_unit_response(self, answer: gossip.UnitResponse, keeper: int) -> None:
        """What a keeper says: units let the request go to its queue; units that come too late go back."""
        held, account = self.pending.get(answer.request), self.quotas.accounts.get(answer.customer)
        if held is None or not held.asking or held.account is not account:
            if account is not None and answer.units > 0:
                account.owed -= answer.units
            return
        account.low_balance_reported = answer.low_balance
        wait = max(answer.wait_ms * SECOND // 1000, self.settings.tick_ns)
        if answer.units >= gossip.quantize_units(held.units):
            self._admit(held)
        elif self.quotas.quota_owners is not None:
            self.quotas.quota_owners.mark_empty(account, keeper, wait, self.now)
            self._request_units(held)
        elif answer.over_quota:
            account.rejected_until = self.now + int(wait * self.rng.random())
            self._refuse(held, wait / SECOND, True)
        else:
            held.asks, held.asked_at = 0, self.now  # answered: asked anew when it may be let go
            again = self.now + wait
            self.agenda.add(
                again, lambda: self._request_units(held) if held.asking and not held.asks else None
            )

    def _grant_expired(self, held: PendingRequest) -> bool:
        """Rule 5: granted units under way while the true store is full are beyond it: slack bounds them."""
        plan, asked = held.account.plan, held.account.owners and not held.attempts
        over = plan.ceiling_slack / plan.ceiling_rate if asked and plan.ceiling_rate > 0 else float("inf")
        return bool(self.now - held.asked_at > over * SECOND)
