"""Estimates a fleet from a capture: work by class, speeds, capacity of a node. Does no I/O."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import numpy

from pepperrun.capture.format import Capture

MAX_OTHERS = 1  # this many other attempts on a worker hardly slow down an attempt
MIN_ATTEMPTS = 30  # fewer attempts give no estimate
BOOTSTRAP_DRAWS = 200


@dataclass(slots=True, frozen=True)
class Estimate:
    """An estimate with its 95% interval. `count`: number of samples."""

    value: float
    low: float
    high: float
    count: int

    def to_json(self) -> dict[str, Any]:
        """Returns the estimate as a table for JSON."""
        return {
            "value": round(self.value, 4),
            "low": round(self.low, 4),
            "high": round(self.high, 4),
            "from": self.count,
        }


def bootstrap(values: numpy.ndarray[Any, Any], statistic: Any, seed: int) -> Estimate:
    """Estimates `statistic` of the values, with a bootstrap interval."""
    random = numpy.random.default_rng(seed)
    drawn = [statistic(random.choice(values, len(values))) for _ in range(BOOTSTRAP_DRAWS)]
    low, high = numpy.percentile(drawn, [2.5, 97.5])
    return Estimate(float(statistic(values)), float(low), float(high), len(values))


def _cv(values: numpy.ndarray[Any, Any]) -> float:
    # Uses the logarithms: a few attempts that queued unnoticed would distort the plain estimate far more.
    return math.sqrt(math.expm1(float(numpy.var(numpy.log(values)))))


def fit_capture(capture: Capture, network_ms: float = 0.2, seed: int = 0) -> dict[str, Any]:
    """Returns estimates with their intervals. Raises ValueError if the capture has too few usable attempts.

    Work is in ms of a core at the mean speed of the nodes, because a capture does not distinguish a slow node
    with little work from a fast node with much. Only attempts that ran almost alone on a worker are used for
    work; the capacity of a worker is estimated from the attempts that it rejected.
    """
    spans: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for entry in capture.entries:
        for attempt in entry.attempts:
            if attempt.ended_us >= 0:
                spans[attempt.worker].append((entry.at_us + attempt.sent_us, entry.at_us + attempt.ended_us))
    starts = {worker: sorted(start for start, _ in intervals) for worker, intervals in spans.items()}
    ends = {worker: sorted(end for _, end in intervals) for worker, intervals in spans.items()}

    def others_in_flight(worker: int, at: int) -> int:
        return bisect_right(starts[worker], at) - bisect_right(ends[worker], at) - 1

    times: dict[int, list[tuple[int, float, float]]] = defaultdict(list)
    max_concurrent: dict[int, int] = defaultdict(int)
    rejected_at: list[int] = []
    for entry in capture.entries:
        for attempt in entry.attempts:
            if attempt.ended_us < 0:
                continue
            others = others_in_flight(attempt.worker, entry.at_us + attempt.sent_us)
            if attempt.outcome == "full":
                rejected_at.append(others)
            if attempt.outcome != "ok":
                continue
            max_concurrent[attempt.worker] = max(max_concurrent[attempt.worker], others + 1)
            took = (attempt.ended_us - attempt.sent_us) / 1000 - 2 * network_ms
            if others <= MAX_OTHERS and took > 0:
                times[entry.cls].append((attempt.worker, took, entry.true_units or entry.units))
    if sum(map(len, times.values())) < MIN_ATTEMPTS:
        raise ValueError("too few attempts ran almost alone on a worker: capture a period with less load")
    speeds = _speeds(times)
    work = {}
    for cls, name in enumerate(kind.name for kind in capture.header.classes):
        if len(times[cls]) < MIN_ATTEMPTS:
            continue
        scaled = numpy.array([took * speeds[worker] for worker, took, _ in times[cls]])
        units = numpy.array([count for _, _, count in times[cls]])
        exponent = 0.0
        if len(set(units.tolist())) > 1:
            exponent = max(0.0, min(1.0, float(numpy.polyfit(numpy.log(units), numpy.log(scaled), 1)[0])))
        per_unit = scaled / units**exponent
        work[name] = {
            "mean_ms": bootstrap(per_unit, lambda values: float(numpy.mean(values)), seed).to_json(),
            "cv": bootstrap(per_unit, _cv, seed).to_json(),
            "by_units": round(exponent, 3),
        }
    workers = capture.workers
    return {
        "work": work,
        "speeds": {workers[worker].name: round(speed, 4) for worker, speed in sorted(speeds.items())},
        "speed_cv": round(float(numpy.std(list(speeds.values()))), 4) if len(speeds) > 1 else 0.0,
        "most_held": max(max_concurrent.values(), default=0),
        "holds": int(numpy.median(rejected_at)) if len(rejected_at) >= 5 else None,
        "zones": {
            zone: sum(worker.zone == zone for worker in workers.values())
            for zone in sorted({worker.zone for worker in workers.values()})
        },
    }


def _speeds(times: dict[int, list[tuple[int, float, float]]]) -> dict[int, float]:
    """Returns the speed of each worker, with a geometric mean of 1, from times by class."""
    offsets: dict[int, list[float]] = defaultdict(list)
    for items in times.values():
        if len(items) >= MIN_ATTEMPTS:
            mean = float(numpy.mean([math.log(took) for _, took, _ in items]))
            for worker, took, _ in items:
                offsets[worker].append(mean - math.log(took))
    # Shrinks the speed of a worker with few attempts towards 1: its mean is then mostly random.
    raw = {
        worker: float(numpy.mean(values)) * len(values) / (len(values) + 20)
        for worker, values in offsets.items()
    }
    centre = float(numpy.mean(list(raw.values()))) if raw else 0.0
    speeds: dict[int, float] = defaultdict(lambda: 1.0)
    speeds.update({worker: math.exp(value - centre) for worker, value in raw.items()})
    return speeds
