"""Shrinking (delta debugging): a plan that breaks a rule, without what the break does not need."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from pepperrun.simulation.days import Day
from pepperrun.simulation.plans import Plan, read

FOUND = Path("found")


def breaks(plan: Plan, rule: str) -> bool:
    """Does the day break this rule? It is played to there, or to its end."""
    return rule in Day(plan).play(until=rule)


def shrunk(plan: Plan, rule: str, broken: Callable[[Plan, str], bool] = breaks) -> Plan:
    """Without the troubles that the break does not need: halves first, then ever smaller parts.

    Then with fewer gatekeepers, where fewer will do.
    """
    size = max(1, len(plan.troubles) // 2)
    while plan.troubles:
        at, before = 0, len(plan.troubles)
        while at < len(plan.troubles):
            less = replace(plan, troubles=plan.troubles[:at] + plan.troubles[at + size :])
            if broken(less, rule):
                plan = less
            else:
                at += size
        if size == 1 and len(plan.troubles) == before:
            break
        size = max(1, size // 2)
    for gates in (1, 2, 4, 8, 16):
        if gates < plan.gates and broken(replace(plan, gates=gates), rule):
            return replace(plan, gates=gates)
    return plan


def keep(plan: Plan, broken: dict[str, str], folder: Path = FOUND) -> Path:
    """Writes a plan with the command that plays it again."""
    folder.mkdir(exist_ok=True)
    path = folder / f"simulation-{plan.bug or 'day'}-{plan.seed}-{plan.gates}.json"
    command = f"python3 -m pepperrun.simulation run --plan {path}"
    path.write_text(json.dumps({"command": command, "broken": broken, "plan": plan.written()}, indent=1))
    return path


def load(path: str) -> Plan:
    """A plan that was kept."""
    return read(json.loads(Path(path).read_text())["plan"])
