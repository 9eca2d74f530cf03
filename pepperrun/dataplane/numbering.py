"""Numbers for the decisions: services, kinds of requests and tenants, as the configuration brings them.

The decisions know services, classes and plans by number. A number, once given, keeps its meaning for the life
of the process, so that requests under way and counts told by peers stay right while configurations change.
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
MOST_CLASSES = 240  # the decisions tell each other of classes in eight bits
MOST_WAIT_NS = 5_000_000_000  # advice to come back later than that is of no use to a client
PEER_MESSAGES_PER_S = 100.0  # messages a second: little work beside what they are about
RATIO_PART = 0.75  # of the share of further attempts that the rules allow
SLACK_PART = 0.6  # of their number, split over all gatekeepers
LEAST_LATE_S = 0.1  # between a keeper's grant and its use: transit and a turn take less
FEWEST = 4  # gatekeepers that there are at the least, for one that does not know of others yet


def name_hash(name: str) -> int:
    """32 bits, the same at all gatekeepers and after each start."""
    return int.from_bytes(hashlib.blake2s(name.encode(), digest_size=4).digest(), "little")


class Numbering:
    """The numbers given so far, and the settings that follow from them."""

    def __init__(self, bounds: Bounds, zone: int = 0) -> None:
        self.bounds, self.zone = bounds, zone
        self.service_numbers: dict[str, int] = {}
        self.class_numbers: dict[tuple[int, bool, int], int] = {}
        self.max_attempts = 1
        self.request_classes = [RequestClass("none", 1000 * MS, 10_000 * MS, Repeat.UNSAFE)]
        self.plan_numbers = {"": 0}  # by tenant
        self.plans = [Plan("none")]
        self.gateways = 2  # one that knows of no other leaves room for one
        self.agreed_gateways = 0  # among so many each quota is split at the least, as agreed on
        self.has_quota_owners = False  # one gatekeeper of each place keeps a tenant's part
        self.changed = True

    def service_number(self, name: str) -> int:
        """The number of a service."""
        if name not in self.service_numbers:
            self.service_numbers[name] = len(self.service_numbers)
            self.changed = True
        return self.service_numbers[name]

    def class_number(self, service: int, safe: bool, target_ns: int) -> int:
        """Return the class of such requests: the kind of work, by which answers' times are learnt.

        What a route allows (time-outs, tries, a changed aim) goes with each request (`RequestLimits`) and
        makes no class. Of too many kinds the last ones share one, of the same service where there is one.
        """
        key = service, safe, target_ns
        if key not in self.class_numbers:
            if len(self.request_classes) >= MOST_CLASSES:
                alike = [known for known in self.class_numbers if known[1] == safe]
                of_service = [known for known in alike if known[0] == service]
                if alike:
                    return self.class_numbers[(of_service or alike)[-1]]
            self.class_numbers[key] = len(self.request_classes)
            repeat = Repeat.SAFE if safe else Repeat.UNSAFE
            name = f"{'safe' if safe else 'unsafe'}-{len(self.request_classes)}"
            aim_ns = max(1, target_ns)
            self.request_classes.append(RequestClass(name, aim_ns, aim_ns, repeat))
            self.changed = True
        return self.class_numbers[key]

    def allow_attempts(self, attempts: int) -> None:
        """A route allows so many attempts."""
        if attempts > self.max_attempts:
            self.max_attempts, self.changed = attempts, True

    def plan_number(self, sender: TenantConfig) -> int:
        """The plan of a tenant, with its quota as it is now."""
        at = self.plan_numbers.get(sender.name)
        if at is None:
            at = self.plan_numbers[sender.name] = len(self.plans)
        # The store holds a request at the least: a tenant with a rate and no surge is allowed its rate.
        burst = max(sender.surge, 1.0) if sender.rate_per_s > 0 else 0.0
        row = Plan(sender.name, rate=max(0.0, sender.rate_per_s), burst=burst)
        if at == len(self.plans):
            self.plans.append(row)
            self.changed = True
        elif self.plans[at] != row:
            self.plans[at] = row
            self.changed = True
        return at

    @property
    def quota_shares(self) -> int:
        """Among how many gatekeepers what all may spend together is split."""
        return max(FEWEST, self.gateways, self.agreed_gateways)

    def _bounded(self, plan: Plan) -> Plan:
        """With the hard bound on what all gatekeepers together let through, whoever hears whom.

        In a window of W seconds a tenant with rate r and surge s may have (r W + s)(1 + e) + q requests run,
        e being `quota_excess` and q `quota_slack`. Each of n gatekeepers has a bucket of its own that fills
        at r (1 + e / 2) / n, at most D / n deep and empty at its start; units move between buckets by being
        given up first. So all together spend r (1 + e / 2) W + D at most. D is s (1 + e) + q / 2, or n where
        that is more (a bucket has to hold one request), but never above s (1 + e) + q: e r W / 2 is always
        left for moments in which two numbers of gatekeepers are held, mostly q / 2 too.
        """
        if plan.rate <= 0:
            return plan
        excess, slack = self.bounds.quota_excess, self.bounds.quota_slack
        least, most = plan.burst * (1 + excess) + slack / 2, plan.burst * (1 + excess) + slack
        deep = max(least, min(most, float(self.quota_shares)))
        rate = plan.rate * (1 + excess / 2)
        if self.has_quota_owners:
            # All parts hold D together. What is granted may go out a little later, and so in the next window:
            # within as long as fills what the rate's excess and a quarter of the slack leave room for.
            late = excess * plan.rate * self.bounds.quota_window_s / 2 + slack / 4
            late = min(max(late, LEAST_LATE_S * rate), rate * GRANT_TTL_NS / SECOND)
            return replace(
                plan, ceiling_rate=rate, ceiling_depth=least, ceiling_slack=late, over_quota_cost=1.0
            )
        return replace(
            plan, ceiling_rate=rate, ceiling_depth=deep, ceiling_slack=2 * deep, over_quota_cost=1.0
        )

    def set_agreed_gateways(self, gateways: int) -> None:
        """The number of gatekeepers that is agreed on."""
        if gateways != self.agreed_gateways:
            self.agreed_gateways, self.changed = gateways, True

    def set_quota_owners(self, has_owners: bool) -> None:
        """Is each tenant's quota kept by some gatekeepers for all?"""
        if has_owners != self.has_quota_owners:
            self.has_quota_owners, self.changed = has_owners, True

    def settings(self) -> Settings:
        """What the decisions are told now."""
        self.changed = False
        bounds = self.bounds
        return Settings(
            me=0,
            gateways=self.gateways,
            zone=self.zone,
            classes=tuple(self.request_classes),
            plans=tuple(self._bounded(plan) for plan in self.plans),
            tick_ns=TICK_NS,
            max_attempts=self.max_attempts,
            peer_messages=True,
            peer_message_rate=PEER_MESSAGES_PER_S,
            retry_after=True,
            max_retry_after_ns=MOST_WAIT_NS,
            services=max(1, len(self.service_numbers)),
            retry_budget_ratio=bounds.retry_ratio * RATIO_PART,
            retry_budget_burst=bounds.retry_slack * SLACK_PART / self.quota_shares,
            min_quota_shares=self.quota_shares,
            strict_retry_budget=True,
            cancel_when_client_left=True,
            adaptive_latency_goal=True,
            share_backend_reports=False,
            local_plan_numbers=True,
        )

    def set_gateways(self, gateways: int) -> None:
        """So many gatekeepers there are, this one included."""
        if max(2, gateways) != self.gateways:
            self.gateways, self.changed = max(2, gateways), True
