"""State that a gateway keeps for each service."""

from __future__ import annotations

import random
from collections.abc import Callable

from pepperrun.core.concurrency_limiter import ConcurrencyLimiter
from pepperrun.core.fair_scheduler import FairScheduler
from pepperrun.core.fleet import Fleet
from pepperrun.core.interface import Gate, Settings


class ServiceState:
    """One service: its backends, its concurrency limit and its queues of waiting requests."""

    def __init__(
        self, settings: Settings, rng: random.Random, log: Callable[[str, str], None], gate: Gate | None
    ):
        self.scheduler = FairScheduler(rng)
        self.limiter = ConcurrencyLimiter(settings.gateways, settings.adaptive_latency_goal)
        self.fleet = Fleet(settings, rng, log, gate)
