"""The lab's load, drawn ahead by a seed, and what its settings are. Does no I/O."""

from __future__ import annotations

import random
from typing import Any

from pepperrun.lab.scenario import Scenario

CLASSES = ("search", "confirm")  # safe, and keyed within a cell


def load_of(scenario: Scenario, seed: int) -> list[list[Any]]:
    """Requests in order of time: at ns, gatekeeper, class, plan, customer, spread, first, work ns."""
    rng, load, fleet = random.Random(seed), scenario.load, scenario.fleet
    spread = load.spread or fleet.gatekeepers
    weights = [plan.weight for plan in scenario.plan]
    out: list[list[Any]] = []
    for customer in range(load.customers):
        number = rng.choices(range(len(scenario.plan)), weights)[0]
        plan = scenario.plan[number]
        part = load.heavy_x if rng.random() < load.heavy else load.calm
        first, at = rng.randrange(fleet.gatekeepers), 0.0
        skew = [rng.expovariate(1.0) + 0.2 for _ in range(spread)]
        while True:
            at += rng.expovariate(plan.rate * part)
            if at >= scenario.seconds:
                break
            gatekeeper = (first + rng.choices(range(spread), skew)[0]) % fleet.gatekeepers
            keyed = int(rng.random() < load.keyed)
            work = int(rng.lognormvariate(-0.125, 0.5) * load.work_ms * 1e6)
            out.append([int(at * 1e9), gatekeeper, keyed, number, customer + 1, spread, first, work])
    out.sort()
    return out


def application(scenario: Scenario, ports: dict[str, list[int]]) -> str:
    """The application's file (TOML), as an operator would write it."""
    fleet, load = scenario.fleet, scenario.load
    lines = ['name = "lab"', f"zones = {list(fleet.zones)!r}"]
    for number in range(fleet.gatekeepers):
        lines += [
            "[[gatekeeper]]",
            f'name = "n{number}"',
            f'zone = "{fleet.zones[number % len(fleet.zones)]}"',
            f'listen = "127.0.0.1:{ports["listen"][number]}"',
            f'admin = "127.0.0.1:{ports["admin"][number]}"',
            f'peer_listen = "127.0.0.1:{ports["peer"][number]}"',
        ]
    for name, repeat in zip(CLASSES, ("safe", "keyed"), strict=True):
        lines += [
            "[[class]]",
            f'name = "{name}"',
            f'wanted = "{load.wanted_s}s"',
            f'deadline = "{load.deadline_s}s"',
        ]
        lines += [f'repeat = "{repeat}"']
        if repeat == "keyed":
            lines += ['group = "cell"', 'window = "10s"', "worth = 5"]
    for plan in scenario.plan:
        lines += ["[[plan]]", f'name = "{plan.name}"', f"rate = {plan.rate}", f"burst = {plan.burst}"]
        lines += [f"over_cost = {plan.over_cost}"]
        if plan.ceiling_rate > 0:
            lines += [f"ceiling_rate = {plan.ceiling_rate}", f"ceiling_burst = {plan.ceiling_burst}"]
            lines += [f"ceiling_slack = {0.1 * plan.ceiling_burst}"]
    lines += [
        "[limits]",
        "attempts = 3",
        "second_copies = true",
        "most_units = 1",
        f"messages_per_s = {fleet.intake}",
    ]
    lines += ['max_retry_after = "2s"', "[rules]", 'drain_grace = "250ms"']
    lines += [
        "[cold]",
        f"from = {fleet.cold_from}",
        f'time = "{fleet.cold_s}s"',
        "tip_multiple = 2.5",
        'tip_for = "1.5s"',
    ]
    if fleet.members:
        lines += ["[members]"]
    return "\n".join(lines) + "\n"
