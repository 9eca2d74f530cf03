"""Random load drawn from a description of customers, for planning a fleet before a capture exists."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

from pepperrun.capture.format import Class, Entry, Plan

US_PER_S = 1_000_000


@dataclass(slots=True, frozen=True)
class LoadSpec:
    """Description of the load of a simulated day.

    `inside_rate`: units per second requested inside the quotas, summed over all customers. The shares count
    customers: most use a part of their quota, `full_share` of them nearly all of it, and `heavy_share` of
    them `heavy_factor` times their quota for the whole day. The rate varies by `rate_swing` around its mean,
    with one period per day.
    """

    seconds: float
    inside_rate: float
    full_share: float = 0.2
    heavy_share: float = 0.1
    heavy_factor: float = 3.0
    rate_swing: float = 0.15
    gatekeepers: int = 2
    mean_units: float = 1.5
    max_units: int = 6


def draw_load(
    spec: LoadSpec, classes: Sequence[Class], shares: Sequence[float], plans: Sequence[Plan], seed: int
) -> list[Entry]:
    """Draws the requests of a day. Each plan gets the same rate of units inside the quotas."""
    random = numpy.random.default_rng([seed, 4])
    entries: list[Entry] = []
    customer = 0
    for number, plan in enumerate(plans):
        remaining_rate = spec.inside_rate / len(plans)
        while remaining_rate > 0:
            customer += 1
            category = random.random()
            use = 0.95 if category < spec.full_share else float(random.uniform(0.15, 0.6))
            rate = min(plan.rate * use, remaining_rate)
            remaining_rate -= rate
            if spec.full_share <= category < spec.full_share + spec.heavy_share:
                rate = plan.rate * spec.heavy_factor
            weights = random.dirichlet([2.0] * spec.gatekeepers)
            count = int(random.poisson(rate / spec.mean_units * spec.seconds))
            uniform = random.random(count)
            # Shifts the times so that the rate is highest in the middle of the day.
            times = uniform - spec.rate_swing / (2 * numpy.pi) * numpy.sin(2 * numpy.pi * uniform) * -1.0
            request_classes = random.choice(len(classes), size=count, p=shares)
            units = numpy.clip(random.geometric(1 / spec.mean_units, count), 1, spec.max_units)
            gatekeepers = random.choice(spec.gatekeepers, size=count, p=weights)
            for at, cls, unit, gatekeeper in zip(times, request_classes, units, gatekeepers, strict=True):
                entries.append(
                    Entry(
                        int(min(max(at, 0.0), 1.0) * spec.seconds * US_PER_S),
                        int(cls),
                        number,
                        customer,
                        float(unit),
                        float(unit),
                        int(classes[int(cls)].deadline_ms * 1000),
                        "served",
                        0,
                        spec.gatekeepers,
                        0,
                        (),
                        int(gatekeeper),
                    )
                )
    entries.sort(key=lambda entry: (entry.at_us, entry.customer))
    return entries
