"""Capacity questions answered by simulation. Each runs many days, in parallel processes."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import msgspec

from pepperrun.capture.edit import scale
from pepperrun.capture.format import Capture
from pepperrun.model.day import Fault, requests_from_entries
from pepperrun.model.fleet import Fleet, Work, resized
from pepperrun.model.simulate import Simulation

EXHAUSTED_FROM = {  # usage from which a resource counts as exhausted
    "node_work": 0.92,
    "node_held": 0.999,
    "turned_away": 0.02,
    "gatekeeper_cpu": 0.9,
    "gatekeeper_descriptors": 0.9,
}
RESOURCE_TEXTS = {
    "node_work": "the nodes' cores",
    "node_held": "a node's slots and waiting room",
    "turned_away": "nodes turn requests away",
    "gatekeeper_cpu": "a gatekeeper's core",
    "gatekeeper_descriptors": "a gatekeeper's descriptors",
    "quotas": "use inside quotas against the nodes' capacity",
}
# Two-sided 95% quantiles of Student's t distribution, by the number of values.
STUDENT_T_95 = {2: 12.71, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 7: 2.45, 8: 2.36, 9: 2.31, 10: 2.26}
Progress = Callable[[str], None]


@dataclass(slots=True, frozen=True)
class SimulationTask:
    """One day to simulate, in a process of the pool."""

    capture: bytes  # an encoded capture, pickled to the process with each task
    fleet: Fleet
    seed: int
    faults: tuple[Fault, ...] = ()


def simulate_task(task: SimulationTask) -> dict[str, Any]:
    """Simulates the day of a task; returns its summary."""
    from pepperrun.capture.format import decode_capture

    capture = decode_capture(task.capture)
    header = capture.header
    load = requests_from_entries(capture.entries, header.classes, task.fleet, task.seed)
    simulation = Simulation(load, header.classes, header.plans, task.fleet, task.seed, task.faults)
    return simulation.run().summary()


def confidence_interval(values: Sequence[float]) -> dict[str, float]:
    """Returns the mean over seeds and its 95% interval (Student's t)."""
    mean = statistics.fmean(values)
    half = 0.0
    if len(values) > 1:
        half = STUDENT_T_95.get(len(values), 2.1) * statistics.stdev(values) / math.sqrt(len(values))
    return {"mean": round(mean, 4), "low": round(mean - half, 4), "high": round(mean + half, 4)}


class Planner:
    """Answers capacity questions about one capture and one fleet.

    Raises ValueError for a capture without requests, or a fleet without work for a class of the capture.
    """

    def __init__(
        self, capture: Capture, fleet: Fleet, seeds: Sequence[int], jobs: int, report_progress: Progress
    ) -> None:
        from pepperrun.capture.format import encode_capture

        if not capture.entries:
            raise ValueError("the capture contains no requests")
        self.capture, self.packed = capture, encode_capture(capture)
        self.fleet, self.seeds, self.report_progress = fleet, tuple(seeds), report_progress
        for cls in capture.header.classes:
            if cls.name not in fleet.work and any(
                capture.header.classes[entry.cls].name == cls.name for entry in capture.entries
            ):
                raise ValueError(f"work.{cls.name}: missing (`pepperrun plan fit` estimates it)")
        self.pool = ProcessPoolExecutor(jobs)
        self.simulated_days = 0

    def close(self) -> None:
        """Ends the processes of the pool."""
        self.pool.shutdown(cancel_futures=True)

    def run_variants(
        self, variants: Sequence[tuple[bytes, Fleet, tuple[Fault, ...]]]
    ) -> list[list[dict[str, Any]]]:
        """Simulates each variant with each seed; returns the summaries by variant."""
        tasks = [
            SimulationTask(packed, fleet, seed, faults)
            for packed, fleet, faults in variants
            for seed in self.seeds
        ]
        self.simulated_days += len(tasks)
        summaries = list(self.pool.map(simulate_task, tasks))
        per_variant = len(self.seeds)
        return [summaries[at : at + per_variant] for at in range(0, len(summaries), per_variant)]

    def today(self) -> dict[str, Any]:
        """Simulates the current fleet under the captured load."""
        (days,) = self.run_variants([(self.packed, self.fleet, ())])
        return aggregate(days)

    def scaled_capture(self, factor: float) -> bytes:
        """Returns the encoded capture with the load multiplied by a factor."""
        from pepperrun.capture.format import encode_capture

        return self.packed if factor == 1.0 else encode_capture(scale(self.capture, factor, seed=1))

    def find_bottleneck(self, goal: float, factors: Sequence[float]) -> dict[str, Any]:
        """Finds the first load factor at which service misses the goal, and the first exhausted resource."""
        self.report_progress("what breaks first")
        summaries = self.run_variants([(self.scaled_capture(factor), self.fleet, ()) for factor in factors])
        steps: list[dict[str, Any]] = []
        first, missed_at = None, None
        for factor, days in zip(factors, summaries, strict=True):
            step = {"load": factor, **aggregate(days)}
            exhausted = [name for name, limit in EXHAUSTED_FROM.items() if step["busiest"][name] >= limit]
            if self.work_share(factor) >= 1.0:
                exhausted.append("quotas")
            step["exhausted"] = exhausted
            steps.append(step)
            if first is None and exhausted:
                first = {"load": factor, "what": exhausted[0], "text": RESOURCE_TEXTS[exhausted[0]]}
            if missed_at is None and step["service"]["mean"] < goal:
                missed_at = factor
        return {"steps": steps, "first": first, "misses_goal_at": missed_at}

    def work_share(self, factor: float = 1.0) -> float:
        """Returns the requested work as a share of the work that the nodes can do."""
        entries, header = self.capture.entries, self.capture.header
        if len(entries) < 2:
            return 0.0
        seconds = max(1e-6, (entries[-1].at_us - entries[0].at_us) / 1e6)
        work = 0.0
        for entry in entries:
            per_request = self.fleet.work[header.classes[entry.cls].name]
            work += per_request.mean_ms * (entry.true_units or entry.units) ** per_request.by_units / 1000
        kinds = self.fleet.kind
        cores = sum(
            group.count * kinds[group.kind].cores * kinds[group.kind].speed for group in self.fleet.nodes
        )
        return factor * work / seconds / cores

    def fewest_nodes(self, goal: float, most: int, faults: tuple[Fault, ...] = ()) -> dict[str, Any]:
        """Finds the fewest nodes for which the low end of the service interval meets the goal, by bisection.

        Also simulates the two counts on each side. The reported interval starts at the lowest count for which
        the high end meets the goal. `nodes` is None if `most` nodes miss the goal.
        """
        low, high = 0, most
        tried: dict[int, dict[str, Any]] = {}

        def meets(count: int) -> bool:
            if count not in tried:
                self.report_progress(f"{count} nodes")
                (days,) = self.run_variants([(self.packed, resized(self.fleet, count), faults)])
                tried[count] = aggregate(days)
            return bool(tried[count]["service"]["low"] >= goal)

        if not meets(most):
            return {"goal": goal, "nodes": None, "most": most, "tried": {str(most): tried[most]}}
        while high - low > 1:
            middle = (low + high) // 2
            if meets(middle):
                high = middle
            else:
                low = middle
        for count in (high - 2, high - 1, high + 1, high + 2):
            if 0 < count <= most:
                meets(count)
        likely = [count for count, digest in sorted(tried.items()) if digest["service"]["high"] >= goal]
        return {
            "goal": goal,
            "nodes": high,
            "interval": [min(likely, default=high), high],
            "most": most,
            "tried": {str(count): tried[count] for count in sorted(tried)},
        }

    def busiest_window_start(self, window_s: float = 5.0) -> float:
        """Returns the start of the window with the most requested units, in seconds.

        At the latest two windows before the end of the capture.
        """
        entries = self.capture.entries
        end = entries[-1].at_us / 1e6
        units_by_window: dict[int, float] = {}
        for entry in entries:
            window = int(entry.at_us / 1e6 / window_s)
            units_by_window[window] = units_by_window.get(window, 0.0) + (entry.true_units or entry.units)
        busiest = max(units_by_window, key=lambda window: (units_by_window[window], -window))
        return min(busiest * window_s, max(0.0, end - 2 * window_s))

    def losses(self) -> dict[str, Any]:
        """Simulates faults at the busiest moment: the loss of each zone, and a restart of all nodes."""
        self.report_progress("losses")
        at = self.busiest_window_start()
        zones = self.fleet.zones()
        variants: list[tuple[str, tuple[Fault, ...]]] = [
            (f"zone {zone} lost", (Fault("lost", at, 0.0, zone),)) for zone in zones if len(zones) > 1
        ]
        variants.append(("all restarted cold", (Fault("restart", at),)))
        if len(zones) > 1:
            variants.append(
                (
                    f"zone {zones[0]} lost while {zones[1]} is cold",
                    (Fault("restart", at, 0.0, zones[1]), Fault("lost", at + 1.0, 0.0, zones[0])),
                )
            )
        summaries = self.run_variants([(self.packed, self.fleet, faults) for _, faults in variants])
        return {
            "at_s": at,
            "losses": {name: aggregate(days) for (name, _), days in zip(variants, summaries, strict=True)},
        }

    def sensitivity(self) -> dict[str, Any]:
        """Simulates deviations: load or work 10% lower or higher, and each class with 20% more load."""
        self.report_progress("sensitivity")
        variants: dict[str, tuple[bytes, Fleet]] = {}
        for name, factor in (("load -10%", 0.9), ("load +10%", 1.1)):
            variants[name] = self.scaled_capture(factor), self.fleet
        for name, factor in (("work -10%", 0.9), ("work +10%", 1.1)):
            work = {
                cls: Work(mean_ms=old.mean_ms * factor, cv=old.cv, by_units=old.by_units)
                for cls, old in self.fleet.work.items()
            }
            variants[name] = self.packed, msgspec.structs.replace(self.fleet, work=work)
        from pepperrun.capture.format import encode_capture

        for cls in self.capture.header.classes:
            variants[f"{cls.name} +20%"] = (
                encode_capture(scale(self.capture, 1.0, {cls.name: 1.2}, seed=1)),
                self.fleet,
            )
        summaries = self.run_variants([(packed, fleet, ()) for packed, fleet in variants.values()])
        return {name: aggregate(days)["service"] for name, days in zip(variants, summaries, strict=True)}


def aggregate(days: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Combines the summaries of several seeds: intervals for service, means for the rest."""
    names = days[0]["busiest"]
    levels = ("service", "whole", "worst_10_s", "worst_plan")
    return {level: confidence_interval([day[level] for day in days]) for level in levels} | {
        "busiest": {name: round(statistics.fmean(day["busiest"][name] for day in days), 4) for name in names},
        "by_plan": {
            name: round(statistics.fmean(day["by_plan"].get(name, 1.0) for day in days), 4)
            for name in days[0]["by_plan"]
        },
        "by_class": {
            name: round(statistics.fmean(day["by_class"].get(name, 1.0) for day in days), 4)
            for name in days[0]["by_class"]
        },
        "times_ms": {
            name: {
                percentile: round(
                    statistics.fmean(day["times_ms"].get(name, times)[percentile] for day in days), 2
                )
                for percentile in times
            }
            for name, times in days[0]["times_ms"].items()
        },
    }
