"""A day's load drawn from a description of customers: for trying fleets before there is a capture."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

from pepperrun.capture.format import Class, Entry, Plan

US = 1_000_000


@dataclass(slots=True, frozen=True)
class LoadSpec:
    """A day. `inside`: units a second asked inside quotas, over all customers; shares are of customers.

    Most customers use a part of their quota; `full` of them nearly all, `heavy` of them `heavy_times` as much
    for the whole day. The rate swings by `swing` around its mean, once in the day.
    """

    seconds: float
    inside: float
    full: float = 0.2
    heavy: float = 0.1
    heavy_times: float = 3.0
    swing: float = 0.15
    gatekeepers: int = 2
    mean_units: float = 1.5
    most_units: int = 6


def draw(
    spec: LoadSpec, classes: Sequence[Class], shares: Sequence[float], plans: Sequence[Plan], seed: int
) -> list[Entry]:
    """The day's requests, each plan taking as many units inside the quotas as the next."""
    random = numpy.random.default_rng([seed, 4])
    entries: list[Entry] = []
    customer = 0
    for number, plan in enumerate(plans):
        wanted = spec.inside / len(plans)
        while wanted > 0:
            customer += 1
            kind = random.random()
            use = 0.95 if kind < spec.full else float(random.uniform(0.15, 0.6))
            rate = min(plan.rate * use, wanted)
            wanted -= rate
            if spec.full <= kind < spec.full + spec.heavy:
                rate = plan.rate * spec.heavy_times
            weights = random.dirichlet([2.0] * spec.gatekeepers)
            count = int(random.poisson(rate / spec.mean_units * spec.seconds))
            base = random.random(count)
            # The swing: times are moved so that the middle of the day is denser.
            times = base - spec.swing / (2 * numpy.pi) * numpy.sin(2 * numpy.pi * base) * -1.0
            kinds = random.choice(len(classes), size=count, p=shares)
            units = numpy.clip(random.geometric(1 / spec.mean_units, count), 1, spec.most_units)
            gatekeepers = random.choice(spec.gatekeepers, size=count, p=weights)
            for at, cls, unit, gatekeeper in zip(times, kinds, units, gatekeepers, strict=True):
                entries.append(
                    Entry(
                        int(min(max(at, 0.0), 1.0) * spec.seconds * US),
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
