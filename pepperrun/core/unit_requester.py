"""Requests units from the owners of a customer's quota, where peers are too many to report use to all."""

from __future__ import annotations

import random

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND
from pepperrun.core.fair_scheduler import PendingRequest
from pepperrun.core.interface import Gate, Settings
from pepperrun.core.quota_owners import QuotaOwners
from pepperrun.core.quotas import Quotas
from pepperrun.core.state import EventDispatcher

MAX_UNIT_REQUESTS = 3  # two to one owner, as a message may be lost, and one to the next owner
# A unit request times out after this fraction of the latency target: three leave half of it to serve in.
RESPONSE_TIMEOUT_DIVISOR = 6


class UnitRequester(EventDispatcher):
    """Requests units for held requests and acts on the owners' responses; `Gateway` does the rest."""

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
        """Requests units from the customer's owners in turn; if none responds, the local bucket decides."""
        account, me = held.account, self.settings.me
        if held.asked_at and self.now + held.service.fleet.expected_ns(held) > held.target_at:
            self._fail_or_refuse(held)
            return
        if self.quotas.quota_owners is not None:
            self._request_from_quota_owners(held, self.quotas.quota_owners)
            return
        # All owners absent: nobody to request units from.
        all_absent = self.quotas.membership_status.absent.issuperset(account.owners)
        if (all_absent or held.asks >= MAX_UNIT_REQUESTS) and account.plan.ceiling_rate <= 0:
            if account.low_balance_reported or account.local_bucket.fill(self.now) < min(
                held.units, account.local_bucket.depth
            ):
                self._refuse(held, 0.0)
                return
            account.local_bucket.level -= held.units
            account.owed += held.units
            self._admit(held)
            return
        owner = self.quotas.unit_grants.owner_of(account, self.now)
        held.asks, held.asked_at, held.asking = held.asks + 1, self.now, True
        if owner == me:
            self._on_unit_response(
                self.quotas.unit_grants.grant(account, me, held.id, held.units, self.now), me
            )
            return
        self._send_unit_request(held, owner)

    def _request_from_quota_owners(self, held: PendingRequest, quota_owners: QuotaOwners) -> None:
        """Requests units from the next owner that may have some; if none has, the request is over quota."""
        account, unanswered, absent = (
            held.account,
            self.quotas.unit_grants.unanswered,
            self.quotas.membership_status.absent,
        )
        wait = self.gate.wait_ns(held.gate_context, self.now) if self.gate is not None else 0
        owner = quota_owners.choose_owner(account, unanswered, absent, self.now)
        if wait or owner is None:
            retry_at = quota_owners.earliest_refill(account, self.now)
            if retry_at and not wait:
                account.rejected_until = retry_at
                wait = int((retry_at - self.now) * (1 + self.rng.random()))
            self._refuse(held, wait / SECOND, owner is None and retry_at > 0)
            return
        held.asks, held.asked_at, held.asking = held.asks + 1, self.now, True
        if owner == self.settings.me:
            self._on_unit_response(
                quota_owners.grant(self.quotas, account, held.id, held.units, self.now), owner
            )
        else:
            self._send_unit_request(held, owner)

    def _send_unit_request(self, held: PendingRequest, owner: int) -> None:
        account = held.account
        self.quotas.unit_grants.request_units(account, owner, held.id, held.units)
        request_count = held.asks

        def on_timeout() -> None:
            if held.asking and held.asks == request_count:
                unanswered = self.quotas.unit_grants.unanswered
                unanswered[owner] = (unanswered.get(owner, (0, 0))[0] + 1, self.now)
                self._request_units(held)

        deadline = self.now + held.target_ns // RESPONSE_TIMEOUT_DIVISOR
        self.agenda.add(deadline, on_timeout, lambda: not held.asking or held.asks != request_count)

    def _on_unit_response(self, response: gossip.UnitResponse, owner: int) -> None:
        """Acts on an owner's response: granted units queue the request, units that come too late go back."""
        held, account = self.pending.get(response.request), self.quotas.accounts.get(response.customer)
        if held is None or not held.asking or held.account is not account:
            if account is not None and response.units > 0:
                account.owed -= response.units
            return
        account.low_balance_reported = response.low_balance
        wait = max(response.wait_ms * SECOND // 1000, self.settings.tick_ns)
        if response.units >= gossip.quantize_units(held.units):
            self._admit(held)
        elif self.quotas.quota_owners is not None:
            self.quotas.quota_owners.mark_empty(account, owner, wait, self.now)
            self._request_units(held)
        elif response.over_quota:
            account.rejected_until = self.now + int(wait * self.rng.random())
            self._refuse(held, wait / SECOND, True)
        else:
            held.asks, held.asked_at = 0, self.now  # the owner responded: asks again when units may be there
            retry_at = self.now + wait
            self.agenda.add(
                retry_at, lambda: self._request_units(held) if held.asking and not held.asks else None
            )

    def _grant_expired(self, held: PendingRequest) -> bool:
        """Reports whether the request's grant is too old to use.

        Rule 5: units that are granted but not used while the owner's bucket is full exceed the hard limit.
        The plan's slack bounds them, so a grant is valid for the slack divided by the hard limit's rate.
        """
        plan, granted = held.account.plan, held.account.owners and not held.attempts
        max_age_s = (
            plan.ceiling_slack / plan.ceiling_rate if granted and plan.ceiling_rate > 0 else float("inf")
        )
        return bool(self.now - held.asked_at > max_age_s * SECOND)
