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
    """Requests units for pending requests and acts on the owners' responses; `Gateway` does the rest."""

    settings: Settings
    quotas: Quotas
    rng: random.Random
    gate: Gate | None
    pending: dict[int, PendingRequest]

    def _admit(self, request: PendingRequest) -> None:
        raise NotImplementedError

    def _refuse(self, request: PendingRequest, wait_s: float, over_quota: bool = False) -> None:
        raise NotImplementedError

    def _fail_or_refuse(self, request: PendingRequest) -> None:
        raise NotImplementedError

    def _request_units(self, request: PendingRequest) -> None:
        """Request units from the customer's owners in turn; if none responds, the local bucket decides."""
        account, me = request.account, self.settings.me
        if request.asked_at and self.now + request.service.fleet.expected_ns(request) > request.target_at:
            self._fail_or_refuse(request)
            return
        if self.quotas.quota_owners is not None:
            self._request_from_quota_owners(request, self.quotas.quota_owners)
            return
        # All owners absent: nobody to request units from.
        all_absent = self.quotas.membership_status.absent.issuperset(account.owners)
        if (all_absent or request.asks >= MAX_UNIT_REQUESTS) and account.plan.ceiling_rate <= 0:
            if account.low_balance_reported or account.local_bucket.fill(self.now) < min(
                request.units, account.local_bucket.depth
            ):
                self._refuse(request, 0.0)
                return
            account.local_bucket.level -= request.units
            account.owed += request.units
            self._admit(request)
            return
        owner = self.quotas.unit_grants.owner_of(account, self.now)
        request.asks, request.asked_at, request.asking = request.asks + 1, self.now, True
        if owner == me:
            self._on_unit_response(
                self.quotas.unit_grants.grant(account, me, request.id, request.units, self.now), me
            )
            return
        self._send_unit_request(request, owner)

    def _request_from_quota_owners(self, request: PendingRequest, quota_owners: QuotaOwners) -> None:
        """Request units from the next owner that may have some; if none has, the request is over quota."""
        account, unanswered, absent = (
            request.account,
            self.quotas.unit_grants.unanswered,
            self.quotas.membership_status.absent,
        )
        wait = self.gate.wait_ns(request.gate_context, self.now) if self.gate is not None else 0
        owner = quota_owners.choose_owner(account, unanswered, absent, self.now)
        if wait or owner is None:
            retry_at = quota_owners.earliest_refill(account, self.now)
            if retry_at and not wait:
                account.rejected_until = retry_at
                wait = int((retry_at - self.now) * (1 + self.rng.random()))
            self._refuse(request, wait / SECOND, owner is None and retry_at > 0)
            return
        request.asks, request.asked_at, request.asking = request.asks + 1, self.now, True
        if owner == self.settings.me:
            self._on_unit_response(
                quota_owners.grant(self.quotas, account, request.id, request.units, self.now), owner
            )
        else:
            self._send_unit_request(request, owner)

    def _send_unit_request(self, request: PendingRequest, owner: int) -> None:
        account = request.account
        self.quotas.unit_grants.request_units(account, owner, request.id, request.units)
        request_count = request.asks

        def on_timeout() -> None:
            if request.asking and request.asks == request_count:
                unanswered = self.quotas.unit_grants.unanswered
                unanswered[owner] = (unanswered.get(owner, (0, 0))[0] + 1, self.now)
                self._request_units(request)

        deadline = self.now + request.target_ns // RESPONSE_TIMEOUT_DIVISOR
        self.timers.add(deadline, on_timeout, lambda: not request.asking or request.asks != request_count)

    def _on_unit_response(self, response: gossip.UnitResponse, owner: int) -> None:
        """Act on an owner's response: granted units queue the request, units that come too late go back."""
        request, account = self.pending.get(response.request), self.quotas.accounts.get(response.customer)
        if request is None or not request.asking or request.account is not account:
            if account is not None and response.units > 0:
                account.owed -= response.units
            return
        account.low_balance_reported = response.low_balance
        wait = max(response.wait_ms * SECOND // 1000, self.settings.tick_ns)
        if response.units >= gossip.quantize_units(request.units):
            self._admit(request)
        elif self.quotas.quota_owners is not None:
            self.quotas.quota_owners.mark_empty(account, owner, wait, self.now)
            self._request_units(request)
        elif response.over_quota:
            account.rejected_until = self.now + int(wait * self.rng.random())
            self._refuse(request, wait / SECOND, True)
        else:
            # The owner responded: the request asks again when units may be there.
            request.asks, request.asked_at = 0, self.now
            retry_at = self.now + wait
            self.timers.add(
                retry_at,
                lambda: self._request_units(request) if request.asking and not request.asks else None,
            )

    def _grant_expired(self, request: PendingRequest) -> bool:
        """Return whether the request's grant is too old to use.

        All gateways together may exceed a hard limit by no more than the plan's slack. Units that are granted
        but not used while the owner's bucket is full exceed the limit. So a grant is valid for the slack
        divided by the hard limit's rate.
        """
        plan, granted = request.account.plan, request.account.owners and not request.attempts
        max_age_s = (
            plan.ceiling_slack / plan.ceiling_rate if granted and plan.ceiling_rate > 0 else float("inf")
        )
        return bool(self.now - request.asked_at > max_age_s * SECOND)
