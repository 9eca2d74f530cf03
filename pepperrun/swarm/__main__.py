"""`python3 -m pepperrun.swarm run|fuzz|report`: plays drawn days of the whole system in virtual time."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from dataclasses import replace
from pathlib import Path

from pepperrun.swarm.bugs import BUGS
from pepperrun.swarm.days import Day, Plan, Trouble, drawn_plan

FOUND = Path("found")


def load(path: str) -> Plan:
    """A plan that was kept."""
    data = json.loads(Path(path).read_text())["plan"]
    data["troubles"] = [Trouble(**one) for one in data["troubles"]]
    return Plan(**data)


def shrunk(plan: Plan, rule: str) -> Plan:
    """Without the troubles that the break does not need."""
    at = 0
    while at < len(plan.troubles):
        less = replace(plan, troubles=plan.troubles[:at] + plan.troubles[at + 1 :])
        if rule in Day(less).play():
            plan = less
        else:
            at += 1
    return plan


def keep(plan: Plan, broken: dict[str, str]) -> Path:
    """Writes a plan with the command that plays it again."""
    FOUND.mkdir(exist_ok=True)
    path = FOUND / f"swarm-{plan.bug or 'day'}-{plan.seed}-{plan.gates}.json"
    command = f"python3 -m pepperrun.swarm run --plan {path}"
    path.write_text(json.dumps({"command": command, "broken": broken, "plan": plan.written()}, indent=1))
    return path


def run(given: argparse.Namespace) -> int:
    """One day."""
    day = Day(load(given.plan) if given.plan else drawn_plan(given.seed, given.gates, given.bug, given.rate))
    broken = day.play()
    if given.log:
        Path(given.log).write_text("\n".join(day.lines) + "\n")
    for rule, text in broken.items():
        print(f"broken rule={rule} seen={json.dumps(text)}")
    print(
        f"day seed={day.plan.seed} gates={day.plan.gates} broken={len(broken)} "
        f"log={day.digest()} {day.figures()}"
    )
    return 1 if broken else 0


def fuzz(given: argparse.Namespace) -> int:
    """Many days; each that breaks a rule is shrunk and kept."""
    first, _, last = given.seeds.partition("-")
    began, count, wrong = time.monotonic(), 0, 0
    for seed in range(int(first), int(last or first) + 1):
        plan = drawn_plan(seed, given.gates, given.bug, given.rate)
        broken = Day(plan).play()
        count += 1
        if not broken:
            continue
        wrong += 1
        rule = next(iter(broken))
        if not given.whole:
            plan = shrunk(plan, rule)
            broken = Day(plan).play()
        path = keep(plan, broken)
        for rule, text in broken.items():
            print(
                f"seed={seed} rule={rule} seen={json.dumps(text)} troubles={len(plan.troubles)} kept={path}"
            )
    took = time.monotonic() - began
    print(f"days={count} broken={wrong} took_s={took:.1f} days_a_minute={60 * count / max(took, 1e-9):.1f}")
    return 1 if wrong else 0


def report(given: argparse.Namespace) -> int:
    """How fast days are."""
    for gates in given.sizes:
        began, days = time.monotonic(), 0
        while days < given.days:
            days += 1
            day = Day(drawn_plan(days, gates))
            broken = day.play()
            if broken:
                print(f"seed={days} gates={gates} broken={json.dumps(broken)}")
        took = time.monotonic() - began
        print(f"gates={gates} days={days} took_s={took:.1f} days_a_minute={60 * days / took:.2f}", flush=True)
    return 0


def main() -> int:
    """The command line."""
    if os.environ.get("PYTHONHASHSEED") != "0":  # sets of names are walked in the same order each time
        os.execve(
            sys.executable,
            [sys.executable, "-m", "pepperrun.swarm", *sys.argv[1:]],
            os.environ | {"PYTHONHASHSEED": "0"},
        )
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.swarm", description=__doc__)
    parts = parser.add_subparsers(required=True)
    for name, what in (("run", run), ("fuzz", fuzz), ("report", report)):
        part = parts.add_parser(name, help=(what.__doc__ or "").strip())
        part.set_defaults(what=what)
        if name != "report":
            part.add_argument("--gates", type=int, default=8, help="gatekeepers")
            part.add_argument("--rate", type=float, default=60.0, help="requests a second")
            part.add_argument("--bug", choices=BUGS, default="", help="put in on purpose")
        if name == "run":
            part.add_argument("--seed", type=int, default=1)
            part.add_argument("--plan", help="a file of found/ instead of a seed")
            part.add_argument("--log", help="where to write what happened")
        elif name == "fuzz":
            part.add_argument("--seeds", default="1-20", metavar="A-B")
            part.add_argument("--whole", action="store_true", help="keep what is found as it is")
        else:
            part.add_argument("--sizes", type=int, nargs="+", default=[16, 96, 400])
            part.add_argument("--days", type=int, default=1, help="of each size")
    given = parser.parse_args()
    return int(given.what(given))


if __name__ == "__main__":
    sys.exit(main())
