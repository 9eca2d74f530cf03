"""Assigns the numbers by which the core knows services, request classes and tenants' plans.

A number keeps its meaning for the life of the process. So pending requests and the counts that peers report
stay right while configurations change.
"""

from __future__ import annotations

import hashlib
from dataclasses import replace

from pepperrun.control.configuration import TenantConfig
from pepperrun.core.interface import Plan, Repeat, RequestClass, Settings
from pepperrun.core.quota_owners import GRANT_TTL_NS
from pepperrun.foundation.settings import Bounds

MS = 1_000_000
SECOND = 1000 * MS
TICK_NS = MS
MAX_CLASSES = 240  # gatekeepers send each other classes in eight bits
MAX_RETRY_AFTER_NS = 5_000_000_000  # a longer wait is of no use to a client
PEER_MESSAGES_PER_S = 100.0  # handling them is little work beside the requests that they are about
RETRY_RATIO_FRACTION = 0.75  # of the ratio of retries that the bounds allow
RETRY_SLACK_FRACTION = 0.6  # of the number of retries that the bounds allow, split over all gatekeepers
MIN_GRANT_DELAY_S = 0.1  # from an owner's grant to its use: network and scheduling take less
MIN_GATEWAYS = 4  # assumed by a gatekeeper that does not know of others yet


def name_hash(name: str) -> int:
    """Returns a hash of 32 bits that is the same at all gatekeepers and after each start."""
    return int.from_bytes(hashlib.blake2s(name.encode(), digest_size=4).digest(), "little")


class Numbering:
    """The numbers assigned so far, and the settings of the core that follow from them."""

    def __init__(self, bounds: Bounds, zone: int = 0) -> None:
        self.bounds, self.zone = bounds, zone
        self.service_numbers: dict[str, int] = {}
        self.class_numbers: dict[tuple[int, bool, int], int] = {}
        self.max_attempts = 1
        self.request_classes = [RequestClass("none", 1000 * MS, 10_000 * MS, Repeat.UNSAFE)]
        self.plan_numbers = {"": 0}  # by tenant
        self.plans = [Plan("none")]
        self.gateways = 2  # a gatekeeper that knows of no other leaves a share for one
        self.agreed_gateways = 0  # from the agreed state: each quota is split among at least so many
        self.has_quota_owners = False  # one gatekeeper of each domain owns a share of a tenant's quota
        self.changed = True

    def service_number(self, name: str) -> int:
        """Returns the number of a service, which is assigned at the first call."""
        if name not in self.service_numbers:
            self.service_numbers[name] = len(self.service_numbers)
            self.changed = True
        return self.service_numbers[name]

    def class_number(self, service: int, safe: bool, target_ns: int) -> int:
        """Returns the class of such requests: the kind of work, for which response times are measured.

        What a route allows (time-outs, attempts, a changed latency target) goes with each request
        (`RequestLimits`) and needs no class. Beyond `MAX_CLASSES` new kinds share an existing class, of the
        same service where there is one.
        """
        key = service, safe, target_ns
        if key not in self.class_numbers:
            if len(self.request_classes) >= MAX_CLASSES:
                same_kind = [known for known in self.class_numbers if known[1] == safe]
                same_service = [known for known in same_kind if known[0] == service]
                if same_kind:
                    return self.class_numbers[(same_service or same_kind)[-1]]
            self.class_numbers[key] = len(self.request_classes)
            repeat = Repeat.SAFE if safe else Repeat.UNSAFE
            name = f"{'safe' if safe else 'unsafe'}-{len(self.request_classes)}"
            target = max(1, target_ns)
            self.request_classes.append(RequestClass(name, target, target, repeat))
            self.changed = True
        return self.class_numbers[key]

    def allow_attempts(self, attempts: int) -> None:
        """Raises the limit on attempts to that of a route."""
        if attempts > self.max_attempts:
            self.max_attempts, self.changed = attempts, True

    def plan_number(self, tenant: TenantConfig) -> int:
        """Returns the plan of a tenant, updated to its quota."""
        at = self.plan_numbers.get(tenant.name)
        if at is None:
            at = self.plan_numbers[tenant.name] = len(self.plans)
        # The bucket holds at least one request, so that a tenant with a rate and no surge gets its rate.
        burst = max(tenant.surge, 1.0) if tenant.rate_per_s > 0 else 0.0
        row = Plan(tenant.name, rate=max(0.0, tenant.rate_per_s), burst=burst)
        if at == len(self.plans):
            self.plans.append(row)
            self.changed = True
        elif self.plans[at] != row:
            self.plans[at] = row
            self.changed = True
        return at

    @property
    def quota_shares(self) -> int:
        """The number of shares into which quotas and the retry budget of all gatekeepers are split."""
        return max(MIN_GATEWAYS, self.gateways, self.agreed_gateways)

    def _with_hard_limit(self, plan: Plan) -> Plan:
        """Returns a plan with the hard limit on what all gatekeepers together let through when partitioned.

        In a window of W seconds a tenant with rate r and surge s may have (r W + s)(1 + e) + q requests run,
        where e is `quota_excess` and q is `quota_slack`. Each of n gatekeepers has its own bucket, which
        fills at r (1 + e / 2) / n, is at most D / n deep and starts empty. Units move between buckets: the
        tenant gives them up first. So all together spend at most r (1 + e / 2) W + D. D is s (1 + e) + q / 2,
        or n where that is more (a bucket must hold one request), but never above s (1 + e) + q. So e r W / 2
        is always left for moments in which gatekeepers assume different values of n, and mostly q / 2 too.
        """
        if plan.rate <= 0:
            return plan
        excess, slack = self.bounds.quota_excess, self.bounds.quota_slack
        least, most = plan.burst * (1 + excess) + slack / 2, plan.burst * (1 + excess) + slack
        depth = max(least, min(most, float(self.quota_shares)))
        rate = plan.rate * (1 + excess / 2)
        if self.has_quota_owners:
            # All shares together are D deep. A granted unit may be used a little later, and so in the next
            # window: within the time in which the bucket fills by what the excess of the rate and a quarter
            # of the slack leave.
            late = excess * plan.rate * self.bounds.quota_window_s / 2 + slack / 4
            late = min(max(late, MIN_GRANT_DELAY_S * rate), rate * GRANT_TTL_NS / SECOND)
            return replace(
                plan, ceiling_rate=rate, ceiling_depth=least, ceiling_slack=late, over_quota_cost=1.0
            )
        return replace(
            plan, ceiling_rate=rate, ceiling_depth=depth, ceiling_slack=2 * depth, over_quota_cost=1.0
        )

    def set_agreed_gateways(self, gateways: int) -> None:
        """Applies the number of gatekeepers of the agreed state."""
        if gateways != self.agreed_gateways:
            self.agreed_gateways, self.changed = gateways, True

    def set_quota_owners(self, has_owners: bool) -> None:
        """Sets whether some gatekeepers own each tenant's quota for all."""
        if has_owners != self.has_quota_owners:
            self.has_quota_owners, self.changed = has_owners, True

    def settings(self) -> Settings:
        """Returns the present settings of the core."""
        self.changed = False
        bounds = self.bounds
        return Settings(
            me=0,
            gateways=self.gateways,
            zone=self.zone,
            classes=tuple(self.request_classes),
            plans=tuple(self._with_hard_limit(plan) for plan in self.plans),
            tick_ns=TICK_NS,
            max_attempts=self.max_attempts,
            peer_messages=True,
            peer_message_rate=PEER_MESSAGES_PER_S,
            retry_after=True,
            max_retry_after_ns=MAX_RETRY_AFTER_NS,
            services=max(1, len(self.service_numbers)),
            retry_budget_ratio=bounds.retry_ratio * RETRY_RATIO_FRACTION,
            retry_budget_burst=bounds.retry_slack * RETRY_SLACK_FRACTION / self.quota_shares,
            min_quota_shares=self.quota_shares,
            strict_retry_budget=True,
            cancel_when_client_left=True,
            adaptive_latency_goal=True,
            share_backend_reports=False,
            local_plan_numbers=True,
        )

    def set_gateways(self, gateways: int) -> None:
        """Sets the number of gatekeepers present, this one included."""
        if max(2, gateways) != self.gateways:
            self.gateways, self.changed = max(2, gateways), True
