"""`python3 -m pepperrun.simulation run|fuzz|explore|experiment|report|speed`: days in virtual time."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pepperrun.foundation.errors import PepperrunError
from pepperrun.simulation import experiments, orders
from pepperrun.simulation.bugs import BUGS
from pepperrun.simulation.days import Day
from pepperrun.simulation.plans import (
    CORE_TROUBLES,
    TROUBLES,
    Plan,
    Shape,
    drawn_plan,
    planned_work_shape,
)
from pepperrun.simulation.shrinking import keep, load, shrunk


def run(given: argparse.Namespace) -> int:
    """One day."""
    shape = planned_work_shape() if given.planned else None
    drawn = drawn_plan(given.seed, given.gates, given.bug, given.rate, shape)
    day = Day(load(given.plan) if given.plan else drawn)
    broken = day.play()
    if given.log:
        Path(given.log).write_text("\n".join(day.lines) + "\n")
    for rule, text in broken.items():
        print(f"broken rule={rule} seen={json.dumps(text)}")
    print(
        f"day seed={day.plan.seed} gates={day.plan.gates} broken={len(broken)} "
        f"log={day.digest()} {day.figures()}"
    )
    if given.row:
        print(json.dumps(day.row()))
    return 1 if broken else 0


def _days(plans: list[Plan], processes: int) -> Iterator[tuple[Plan, dict[str, str]]]:
    """Each plan and what it broke, in order."""
    if processes < 2:
        for plan in plans:
            yield plan, Day(plan).play()
        return
    with ThreadPoolExecutor(processes) as pool:
        rows = pool.map(experiments.play, plans)
        yield from ((plan, row["findings"]) for plan, row in zip(plans, rows, strict=True))


def fuzz(given: argparse.Namespace) -> int:
    """Many days; each that breaks a rule is shrunk and kept."""
    shape = planned_work_shape() if given.planned else Shape(kinds=dict.fromkeys(given.only or (), 1.0))
    plans = [
        drawn_plan(seed, given.gates, given.bug, given.rate, shape) for seed in experiments.seeds(given.seeds)
    ]
    began, count, wrong = time.monotonic(), 0, 0
    for plan, broken in _days(plans, given.processes):
        count += 1
        if broken:
            wrong += 1
            found_s, size = time.monotonic() - began, len(plan.troubles)
            if not given.whole:
                plan = shrunk(plan, next(iter(broken)))
                broken = Day(plan).play()
            path = keep(plan, broken)
            for rule, text in broken.items():
                print(
                    f"seed={plan.seed} rule={rule} seen={json.dumps(text)} day={count} after_s={found_s:.1f} "
                    f"troubles={size} shrunk={len(plan.troubles)} gates={plan.gates} "
                    f"shrinking_s={time.monotonic() - began - found_s:.1f} kept={path}",
                    flush=True,
                )
            if given.first:
                break
        if count % 100 == 0:
            print(f"days={count} broken={wrong}", flush=True)
    took = time.monotonic() - began
    print(f"days={count} broken={wrong} took_s={took:.1f} days_a_minute={60 * count / max(took, 1e-9):.1f}")
    return 1 if wrong else 0


def experiment(given: argparse.Namespace) -> int:
    """Plays what a file's grid has and the results lack; exits with 1 where a day had a finding."""
    path = Path(given.file)
    wanted = experiments.load(path)
    wanted.processes = given.processes or wanted.processes
    base = experiments.opened(Path(given.out))

    def say(text: str) -> None:
        print(text, flush=True)

    return 1 if experiments.run(wanted, path.parent, base, say) else 0


def report(given: argparse.Namespace) -> int:
    """What experiments came to, as text and as a page. Needs numpy, for plots matplotlib."""
    try:
        from pepperrun.simulation import results
    except ImportError as error:
        raise PepperrunError("no-numpy", "report", f"{error}: see requirements-dev.txt") from None
    some = results.tables(experiments.opened(Path(given.file)))
    for table in some:
        print("\n".join(results.lines(table)))
    if given.out:
        Path(given.out).write_text(results.page(some))
    return 0


def speed(given: argparse.Namespace) -> int:
    """How fast days are. A day that is shorter than the usual 62 s has its troubles nearer to each other."""
    shape = Shape()
    if given.seconds:
        if given.seconds < 25:
            raise PepperrunError(
                "bad-length", "speed", "--seconds: 25 at the least, as troubles begin after 8"
            )
        shape.end_s, shape.tail_s, shape.mended_s = given.seconds, given.seconds - 6, given.seconds - 8
    for gates in given.sizes:
        began, used, days = time.monotonic(), time.process_time(), 0
        while days < given.days:
            days += 1
            broken = Day(drawn_plan(days, gates, rate=given.rate, shape=shape)).play()
            if broken:
                print(f"seed={days} gates={gates} broken={json.dumps(broken)}")
        took, used = time.monotonic() - began, time.process_time() - used
        print(
            f"gates={gates} rate={given.rate:g} seconds={shape.end_s:g} days={days} took_s={took:.1f} "
            f"days_a_minute={60 * days / took:.2f} cpu_s={used:.1f} days_a_cpu_minute={60 * days / used:.2f}",
            flush=True,
        )
    return 0


def parsed() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.simulation", description=__doc__)
    parts = parser.add_subparsers(required=True)
    of = {}
    for what in (run, fuzz, orders.explore, experiment, report, speed):
        of[what.__name__] = part = parts.add_parser(
            what.__name__, help=(what.__doc__ or "").partition("\n")[0]
        )
        part.set_defaults(what=what)
    for name in ("run", "fuzz"):
        of[name].add_argument("--gates", type=int, default=8, help="gatekeepers")
        of[name].add_argument("--rate", type=float, default=60.0, help="requests a second")
        of[name].add_argument("--bug", choices=BUGS, default="", help="put in on purpose")
        said = "no fault: gatekeepers are stopped in series while time-outs change, with long requests"
        of[name].add_argument("--planned", action="store_true", help=said)
    of["run"].add_argument("--seed", type=int, default=1)
    of["run"].add_argument("--plan", help="a file of found/ instead of a seed")
    of["run"].add_argument("--log", help="where to write what happened")
    of["run"].add_argument("--row", action="store_true", help="its measures, as experiments keep them")
    of["fuzz"].add_argument("--seeds", default="1-20", metavar="A-B")
    of["fuzz"].add_argument("--whole", action="store_true", help="keep what is found as it is")
    of["fuzz"].add_argument("--first", action="store_true", help="stop at the first find")
    kinds = sorted({*TROUBLES, *CORE_TROUBLES})
    of["fuzz"].add_argument("--only", nargs="+", choices=kinds, help="kinds of trouble, equally often")
    of["fuzz"].add_argument("--processes", type=int, default=1)
    orders.arguments(of["explore"])
    of["experiment"].add_argument("file", help="TOML; see pepperrun/simulation/experiments.py")
    of["experiment"].add_argument(
        "--out", required=True, help="SQLite; what stands in it is not played again"
    )
    of["experiment"].add_argument("--processes", type=int, default=0, help="instead of the file's")
    of["report"].add_argument("file", help="SQLite of experiments")
    of["report"].add_argument("--out", help="a page to write")
    of["speed"].add_argument("--sizes", type=int, nargs="+", default=[16, 96, 400])
    of["speed"].add_argument("--days", type=int, default=1, help="of each size")
    of["speed"].add_argument("--rate", type=float, default=60.0, help="requests a second")
    of["speed"].add_argument("--seconds", type=float, default=0.0, help="of a day, 25 at the least")
    return parser.parse_args()


def main() -> int:
    """Runs a command."""
    if os.environ.get("PYTHONHASHSEED") != "0":  # sets of names are walked in the same order each time
        os.execve(
            sys.executable,
            [sys.executable, "-m", "pepperrun.simulation", *sys.argv[1:]],
            os.environ | {"PYTHONHASHSEED": "0"},
        )
    given = parsed()
    try:
        return int(given.what(given))
    except PepperrunError as error:
        print(error, file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
