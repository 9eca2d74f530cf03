"""Questions asked of the model: each is many days, played on all cores."""

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

LIMITS = {  # from where on a resource counts as exhausted
    "node_work": 0.92,
    "node_held": 0.999,
    "turned_away": 0.02,
    "gatekeeper_cpu": 0.9,
    "gatekeeper_descriptors": 0.9,
}
WHAT = {
    "node_work": "the nodes' cores",
    "node_held": "a node's slots and waiting room",
    "turned_away": "nodes turn requests away",
    "gatekeeper_cpu": "a gatekeeper's core",
    "gatekeeper_descriptors": "a gatekeeper's descriptors",
    "quotas": "use inside quotas against the nodes' capacity",
}
T95 = {2: 12.71, 3: 4.30, 4: 3.18, 5: 2.78, 6: 2.57, 7: 2.45, 8: 2.36, 9: 2.31, 10: 2.26}
Say = Callable[[str], None]


@dataclass(slots=True, frozen=True)
class SimulationTask:
    """One day to play."""

    capture: bytes  # a packed capture: sent to the processes once a question
    fleet: Fleet
    seed: int
    faults: tuple[Fault, ...] = ()


def simulate_task(question: SimulationTask) -> dict[str, Any]:
    """One day's summary."""
    from pepperrun.capture.format import read

    capture = read(question.capture)
    header = capture.header
    load = requests_from_entries(capture.entries, header.classes, question.fleet, question.seed)
    run = Simulation(load, header.classes, header.plans, question.fleet, question.seed, question.faults)
    return run.run().summary()


def confidence_interval(values: Sequence[float]) -> dict[str, float]:
    """Mean and 95% interval (Student's t) over seeds."""
    mean = statistics.fmean(values)
    half = 0.0
    if len(values) > 1:
        half = T95.get(len(values), 2.1) * statistics.stdev(values) / math.sqrt(len(values))
    return {"mean": round(mean, 4), "low": round(mean - half, 4), "high": round(mean + half, 4)}


class Planner:
    """Asks the model about one capture and one fleet."""

    def __init__(self, capture: Capture, fleet: Fleet, seeds: Sequence[int], jobs: int, say: Say) -> None:
        from pepperrun.capture.format import write

        if not capture.entries:
            raise ValueError("the capture holds no request")
        self.capture, self.packed = capture, write(capture)
        self.fleet, self.seeds, self.say = fleet, tuple(seeds), say
        for kind in capture.header.classes:
            if kind.name not in fleet.work and any(
                capture.header.classes[entry.cls].name == kind.name for entry in capture.entries
            ):
                raise ValueError(f"work.{kind.name}: missing (`pepperrun plan fit` estimates it)")
        self.pool = ProcessPoolExecutor(jobs)
        self.days = 0

    def close(self) -> None:
        """Ends the processes."""
        self.pool.shutdown(cancel_futures=True)

    def run_variants(
        self, variants: Sequence[tuple[bytes, Fleet, tuple[Fault, ...]]]
    ) -> list[list[dict[str, Any]]]:
        """Each variant with each seed; the summaries by variant."""
        questions = [
            SimulationTask(packed, fleet, seed, faults)
            for packed, fleet, faults in variants
            for seed in self.seeds
        ]
        self.days += len(questions)
        answers = list(self.pool.map(simulate_task, questions))
        each = len(self.seeds)
        return [answers[at : at + each] for at in range(0, len(answers), each)]

    def today(self) -> dict[str, Any]:
        """The fleet as it is, under the load as it is."""
        (days,) = self.run_variants([(self.packed, self.fleet, ())])
        return aggregate(days)

    def scaled_capture(self, factor: float) -> bytes:
        """The load times a factor, packed."""
        from pepperrun.capture.format import write

        return self.packed if factor == 1.0 else write(scale(self.capture, factor, seed=1))

    def find_bottleneck(self, goal: float, factors: Sequence[float]) -> dict[str, Any]:
        """The load at which service falls below the goal, and what was exhausted first on the way."""
        self.say("what breaks first")
        answers = self.run_variants([(self.scaled_capture(factor), self.fleet, ()) for factor in factors])
        steps: list[dict[str, Any]] = []
        first, broken = None, None
        for factor, days in zip(factors, answers, strict=True):
            step = {"load": factor, **aggregate(days)}
            worn = [name for name, limit in LIMITS.items() if step["busiest"][name] >= limit]
            if self.work_share(factor) >= 1.0:
                worn.append("quotas")
            step["exhausted"] = worn
            steps.append(step)
            if first is None and worn:
                first = {"load": factor, "what": worn[0], "text": WHAT[worn[0]]}
            if broken is None and step["service"]["mean"] < goal:
                broken = factor
        return {"steps": steps, "first": first, "misses_goal_at": broken}

    def work_share(self, factor: float = 1.0) -> float:
        """What is asked, as a share of the work that the nodes can do."""
        entries, header = self.capture.entries, self.capture.header
        if len(entries) < 2:
            return 0.0
        seconds = max(1e-6, (entries[-1].at_us - entries[0].at_us) / 1e6)
        work = 0.0
        for entry in entries:
            one = self.fleet.work[header.classes[entry.cls].name]
            work += one.mean_ms * (entry.true_units or entry.units) ** one.by_units / 1000
        kinds = self.fleet.kind
        cores = sum(
            group.count * kinds[group.kind].cores * kinds[group.kind].speed for group in self.fleet.nodes
        )
        return factor * work / seconds / cores

    def fewest_nodes(self, goal: float, most: int, faults: tuple[Fault, ...] = ()) -> dict[str, Any]:
        """The fewest nodes whose service meets the goal in the low end of its interval, by halving."""
        low, high = 0, most
        tried: dict[int, dict[str, Any]] = {}

        def meets(count: int) -> bool:
            if count not in tried:
                self.say(f"{count} nodes")
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
        likely = [count for count, one in sorted(tried.items()) if one["service"]["high"] >= goal]
        return {
            "goal": goal,
            "nodes": high,
            "interval": [min(likely, default=high), high],
            "most": most,
            "tried": {str(count): tried[count] for count in sorted(tried)},
        }

    def busiest_window_start(self, window_s: float = 5.0) -> float:
        """When the most work is asked for within a window, in seconds."""
        entries = self.capture.entries
        end = entries[-1].at_us / 1e6
        cells: dict[int, float] = {}
        for entry in entries:
            cell = int(entry.at_us / 1e6 / window_s)
            cells[cell] = cells.get(cell, 0.0) + (entry.true_units or entry.units)
        busiest = max(cells, key=lambda cell: (cells[cell], -cell))
        return min(busiest * window_s, max(0.0, end - 2 * window_s))

    def losses(self) -> dict[str, Any]:
        """The loss of each zone at its worst moment, and all nodes cold at once."""
        self.say("losses")
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
        answers = self.run_variants([(self.packed, self.fleet, faults) for _, faults in variants])
        return {
            "at_s": at,
            "losses": {name: aggregate(days) for (name, _), days in zip(variants, answers, strict=True)},
        }

    def sensitivity(self) -> dict[str, Any]:
        """Service where load, work or the mix are a tenth off."""
        self.say("sensitivity")
        variants: dict[str, tuple[bytes, Fleet]] = {}
        for name, factor in (("load -10%", 0.9), ("load +10%", 1.1)):
            variants[name] = self.scaled_capture(factor), self.fleet
        for name, factor in (("work -10%", 0.9), ("work +10%", 1.1)):
            work = {
                kind: Work(mean_ms=one.mean_ms * factor, cv=one.cv, by_units=one.by_units)
                for kind, one in self.fleet.work.items()
            }
            variants[name] = self.packed, msgspec.structs.replace(self.fleet, work=work)
        from pepperrun.capture.format import write

        for kind in self.capture.header.classes:
            variants[f"{kind.name} +20%"] = (
                write(scale(self.capture, 1.0, {kind.name: 1.2}, seed=1)),
                self.fleet,
            )
        answers = self.run_variants([(packed, fleet, ()) for packed, fleet in variants.values()])
        return {name: aggregate(days)["service"] for name, days in zip(variants, answers, strict=True)}


def aggregate(days: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Several seeds' days as one."""
    names = days[0]["busiest"]
    parts = ("service", "whole", "worst_10_s", "worst_plan")
    return {part: confidence_interval([day[part] for day in days]) for part in parts} | {
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
                part: round(statistics.fmean(day["times_ms"].get(name, one)[part] for day in days), 2)
                for part in one
            }
            for name, one in days[0]["times_ms"].items()
        },
    }
