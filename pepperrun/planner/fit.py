"""What a capture tells of the fleet that served it: work by class, speeds, how much a node holds. No I/O."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import numpy

from pepperrun.capture.format import Capture

ALONE = 1  # other attempts at the worker while one began: up to so many hardly slow it
LEAST = 30  # attempts from which something is estimated
DRAWS = 200  # of the bootstrap


@dataclass(slots=True, frozen=True)
class Estimate:
    """A figure with the interval in which it lies with 95%."""

    value: float
    low: float
    high: float
    count: int

    def table(self) -> dict[str, Any]:
        """For JSON."""
        return {
            "value": round(self.value, 4),
            "low": round(self.low, 4),
            "high": round(self.high, 4),
            "from": self.count,
        }


def bootstrap(values: numpy.ndarray[Any, Any], what: Any, seed: int) -> Estimate:
    """An estimate and its interval by drawing anew."""
    random = numpy.random.default_rng(seed)
    drawn = [what(random.choice(values, len(values))) for _ in range(DRAWS)]
    low, high = numpy.percentile(drawn, [2.5, 97.5])
    return Estimate(float(what(values)), float(low), float(high), len(values))


def _cv(values: numpy.ndarray[Any, Any]) -> float:
    # By the logarithms: a few that waited unseen would move the plain one by far more.
    return math.sqrt(math.expm1(float(numpy.var(numpy.log(values)))))


def fit_capture(capture: Capture, network_ms: float = 0.2, seed: int = 0) -> dict[str, Any]:
    """Estimates with their intervals. ValueError where the capture holds too little to tell.

    Work is in ms of a core at the mean speed of the nodes: the capture can't tell a slow node with little
    work from a fast one with much. Only attempts that had a worker almost to themselves tell of work; what a
    worker holds shows in what it turned away.
    """
    spans: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for entry in capture.entries:
        for attempt in entry.attempts:
            if attempt.ended_us >= 0:
                spans[attempt.worker].append((entry.at_us + attempt.sent_us, entry.at_us + attempt.ended_us))
    starts = {worker: sorted(start for start, _ in held) for worker, held in spans.items()}
    ends = {worker: sorted(end for _, end in held) for worker, held in spans.items()}

    def others(worker: int, at: int) -> int:
        return bisect_right(starts[worker], at) - bisect_right(ends[worker], at) - 1

    times: dict[int, list[tuple[int, float, float]]] = defaultdict(list)
    most_held: dict[int, int] = defaultdict(int)
    full_at: list[int] = []
    for entry in capture.entries:
        for attempt in entry.attempts:
            if attempt.ended_us < 0:
                continue
            beside = others(attempt.worker, entry.at_us + attempt.sent_us)
            if attempt.outcome == "full":
                full_at.append(beside)
            if attempt.outcome != "ok":
                continue
            most_held[attempt.worker] = max(most_held[attempt.worker], beside + 1)
            took = (attempt.ended_us - attempt.sent_us) / 1000 - 2 * network_ms
            if beside <= ALONE and took > 0:
                times[entry.cls].append((attempt.worker, took, entry.true_units or entry.units))
    if sum(map(len, times.values())) < LEAST:
        raise ValueError("too few attempts had a worker to themselves: a quieter spell is needed")
    speeds = _speeds(times)
    work = {}
    for cls, name in enumerate(kind.name for kind in capture.header.classes):
        if len(times[cls]) < LEAST:
            continue
        scaled = numpy.array([took * speeds[worker] for worker, took, _ in times[cls]])
        units = numpy.array([unit for _, _, unit in times[cls]])
        power = 0.0
        if len(set(units.tolist())) > 1:
            power = max(0.0, min(1.0, float(numpy.polyfit(numpy.log(units), numpy.log(scaled), 1)[0])))
        plain = scaled / units**power
        work[name] = {
            "mean_ms": bootstrap(plain, lambda some: float(numpy.mean(some)), seed).table(),
            "cv": bootstrap(plain, _cv, seed).table(),
            "by_units": round(power, 3),
        }
    names = capture.workers
    return {
        "work": work,
        "speeds": {names[worker].name: round(speed, 4) for worker, speed in sorted(speeds.items())},
        "speed_cv": round(float(numpy.std(list(speeds.values()))), 4) if len(speeds) > 1 else 0.0,
        "most_held": max(most_held.values(), default=0),
        "holds": int(numpy.median(full_at)) if len(full_at) >= 5 else None,
        "zones": {
            zone: sum(one.zone == zone for one in names.values())
            for zone in sorted({one.zone for one in names.values()})
        },
    }


def _speeds(times: dict[int, list[tuple[int, float, float]]]) -> dict[int, float]:
    """Of each worker, around 1: how fast it was on the same classes, in the mean of logarithms."""
    offsets: dict[int, list[float]] = defaultdict(list)
    for items in times.values():
        if len(items) >= LEAST:
            mean = float(numpy.mean([math.log(took) for _, took, _ in items]))
            for worker, took, _ in items:
                offsets[worker].append(mean - math.log(took))
    # Shrunk towards 1 where a worker has few: its mean is then mostly chance.
    raw = {worker: float(numpy.mean(some)) * len(some) / (len(some) + 20) for worker, some in offsets.items()}
    centre = float(numpy.mean(list(raw.values()))) if raw else 0.0
    speeds: dict[int, float] = defaultdict(lambda: 1.0)
    speeds.update({worker: math.exp(value - centre) for worker, value in raw.items()})
    return speeds
