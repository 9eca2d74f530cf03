"""What a gateway has of each service. Nothing here decides anything."""

from __future__ import annotations

import random
from collections.abc import Callable

from pepperrun.core.bound import Bound
from pepperrun.core.fleet import Fleet
from pepperrun.core.interface import Gate, Settings
from pepperrun.core.turns import Turns


class Lane:
    """One service: its backends, the bound on attempts at them, and the queues before it."""

    def __init__(
        self, settings: Settings, rng: random.Random, log: Callable[[str, str], None], gate: Gate | None
    ):
        self.turns = Turns(rng)
        self.bound = Bound(settings.gateways, settings.follows_best)
        self.fleet = Fleet(settings, rng, log, gate)
