"""Compound faults drawn by a seed, and a failing script made small. Plays through what it is given."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from pepperrun.lab.scenario import Fault, Fleet, Load, Must, Scenario, check, names_of, workers_of

MOST_FAULTS = 6
SECONDS = 10.0
LAST = 6.0  # faults begin before
AGREE_S = 6.0  # views have settled so long after the last fault
Fails = Callable[[Scenario], bool]


def _groups(rng: random.Random, fleet: Fleet) -> tuple[list[str], list[str]]:
    names = names_of(fleet)
    rng.shuffle(names)
    at = rng.randrange(1, len(names))
    return sorted(names[:at]), sorted(names[at:])


def draw_fault(rng: random.Random, fleet: Fleet) -> Fault:
    """One fault. All end, so that the fleet has to come back to one view."""
    names, at = names_of(fleet), round(rng.uniform(0.5, LAST), 2)
    span = round(rng.choice([0.2, 0.5, 1.0, 2.0, 3.0]) * rng.uniform(0.7, 1.3), 2)
    what = rng.choice(
        ["kill", "kill", "stop", "pause", "pause", "cut", "cut", "cut", "path", "path", "starve", "clock"]
        + ["worker_kill", "worker_slow", "lists_late", "rotate"]
    )
    some = sorted(rng.sample(names, rng.choice([1, 1, 1, 2, max(1, len(names) // 2)])))
    if what == "cut":
        left, right = _groups(rng, fleet)
        if rng.random() < 0.3:  # some of the pairs only
            left, right = left[:1], right[: max(1, len(right) // 2)]
        to_workers = rng.random() < 0.2
        right = [*right, *rng.sample(workers_of(fleet), 1)] if to_workers else right
        return Fault("cut", at, None, span, from_=left, to=right, both=rng.random() < 0.7)
    if what == "path":
        left, right = _groups(rng, fleet)
        left, right = (["all"], ["all"]) if rng.random() < 0.5 else (left, right)
        kind = rng.choice(["loss", "twice", "reorder", "garble", "replay", "delay"])
        if kind == "delay":
            return Fault("path", at, None, span, from_=left, to=right, delay_ms=80.0, jitter_ms=80.0)
        part = round(rng.uniform(0.05, 0.35), 2)
        fault = Fault("path", at, None, span, from_=left, to=right)
        return msgspec.structs.replace(fault, **{kind: part})
    if what in ("worker_kill", "worker_slow"):
        one = rng.sample(workers_of(fleet), 1)
        return Fault(what, at, None, max(0.5, span), names=one, share=0.5)  # type: ignore[arg-type]
    if what == "lists_late":
        return Fault("lists_late", at, None, 2.0)
    if what == "rotate":
        return Fault("rotate", at)
    if what == "starve":
        return Fault("starve", at, None, span, names=some[:1], share=round(rng.uniform(0.3, 0.7), 2))
    if what == "clock":
        return Fault("clock", at, None, 0.5, names=some[:1], offset_s=rng.choice([-600.0, -5.0, 5.0, 600.0]))
    return Fault(what, at, None, max(0.3, span), names=some)  # type: ignore[arg-type]


def draw(seed: int) -> Scenario:
    """A scenario of some faults at the same time or one after the other."""
    rng = random.Random(seed)
    fleet = Fleet(
        gatekeepers=rng.choice([3, 3, 4, 5, 6, 8]),
        workers=4,
        zones=rng.choice([["a"], ["a", "b"]]),
        intake=rng.choice([100.0, 8.0]),  # with the small one customers have keepers
    )
    faults = [draw_fault(rng, fleet) for _ in range(rng.randrange(1, MOST_FAULTS + 1))]
    rotations = [one for one in faults if one.what == "rotate"]
    faults = sorted((one for one in faults if one not in rotations[1:]), key=lambda one: one.at)
    load = Load(customers=8, heavy=0.3)
    must = Must(agree_s=AGREE_S, quota_error=False)
    scenario = Scenario(
        f"fuzz-{seed}", "Drawn by `pepperrun lab fuzz`.", SECONDS + 4, fleet, load, fault=faults, must=must
    )
    check(scenario)
    return scenario


def shrink(scenario: Scenario, fails: Fails, most: int = 40) -> tuple[Scenario, int]:
    """The smallest script found that still fails, and the plays that it took.

    Whole faults go first, then gatekeepers and load, then what a fault says beyond the least.
    """
    plays = 0

    def still(one: Scenario) -> bool:
        nonlocal plays
        if plays >= most:
            return False
        try:
            check(one)
        except ValueError:
            return False
        plays += 1
        return fails(one)

    changed = True
    while changed and plays < most:
        changed = False
        for at in range(len(scenario.fault)):
            less = msgspec.structs.replace(scenario, fault=scenario.fault[:at] + scenario.fault[at + 1 :])
            if still(less):
                scenario, changed = less, True
                break
        else:
            for less in _smaller(scenario):
                if still(less):
                    scenario, changed = less, True
                    break
    return scenario, plays


def _smaller(scenario: Scenario) -> list[Scenario]:
    out, fleet, load = [], scenario.fleet, scenario.load
    if fleet.gatekeepers > 3:
        fewer = msgspec.structs.replace(fleet, gatekeepers=fleet.gatekeepers - 1)
        kept = set(names_of(fewer)) | set(workers_of(fewer))
        faults = []
        for one in scenario.fault:
            parts = {
                k: [n for n in getattr(one, k) if n[0] not in "nw" or n in kept]
                for k in ("names", "from_", "to")
            }
            faults.append(msgspec.structs.replace(one, **parts))
        out.append(msgspec.structs.replace(scenario, fleet=fewer, fault=faults))
    if load.customers > 0:
        out.append(
            msgspec.structs.replace(
                scenario, load=msgspec.structs.replace(load, customers=load.customers // 2)
            )
        )
    if len(fleet.zones) > 1:
        out.append(
            msgspec.structs.replace(scenario, fleet=msgspec.structs.replace(fleet, zones=fleet.zones[:1]))
        )
    for at, one in enumerate(scenario.fault):
        if len(one.names) > 1:
            less = msgspec.structs.replace(one, names=one.names[:-1])
            out.append(
                msgspec.structs.replace(
                    scenario, fault=[*scenario.fault[:at], less, *scenario.fault[at + 1 :]]
                )
            )
    return out
