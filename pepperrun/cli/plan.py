"""`pepperrun plan`: how many nodes a goal needs, and what breaks first."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

import click

from pepperrun.cli.bench import keep, with_progress
from pepperrun.cli.capture import PATH, load

FACTORS = (0.8, 1.0, 1.2, 1.4, 1.7, 2.0)


@click.group()
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True)
def plan(log_format: str) -> None:
    """Plan a fleet from captured load."""
    from pepperrun.cli.logs import configure

    configure(log_format)


@plan.command()
@click.argument("capture", type=PATH)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def fit(capture: Path, as_json: bool) -> int:
    """Estimate work, speeds and what a node holds from a CAPTURE, with intervals."""
    from pepperrun.planner.fit import fit_capture

    try:
        found = fit_capture(load(capture))
    except ValueError as error:
        raise click.ClickException(f"{capture}: {error}") from None
    if as_json:
        click.echo(json.dumps(found))
        return 0
    for name, work in found["work"].items():
        mean, cv = work["mean_ms"], work["cv"]
        click.echo(
            f"[work.{name}]\nmean_ms = {mean['value']:.2f}  # {mean['low']:.2f} to {mean['high']:.2f},"
            f" from {mean['from']}\ncv = {cv['value']:.3f}  # {cv['low']:.3f} to {cv['high']:.3f}\n"
            f"by_units = {work['by_units']}\n"
        )
    click.echo(f"# speed_cv = {found['speed_cv']}, at one node at most {found['most_held']} at a time")
    if found["holds"] is not None:
        click.echo(f"# a node turns away from about {found['holds']} (slots + queue)")
    return 0


@plan.command()
@click.argument("capture", type=PATH)
@click.option("--fleet", "fleet_path", type=PATH, required=True, help="The fleet's description (TOML).")
@click.option("--goal", type=click.FloatRange(0, 1), default=0.9, show_default=True, help="Service.")
@click.option("--most", type=click.IntRange(1, 1000), help="Nodes tried at most; else twice the fleet.")
@click.option("--seeds", type=click.IntRange(2, 10), default=5, show_default=True)
@click.option("--jobs", type=click.IntRange(1, 256), help="Processes; else all cores.")
@click.option("--only", type=click.Choice(["today", "nodes"]), default=None, help="Answer only that.")
@click.option("--json", "json_path", type=click.Path(path_type=Path, dir_okay=False), help="Write all here.")
@click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), help="PNG or SVG.")
def nodes(
    capture: Path,
    fleet_path: Path,
    goal: float,
    most: int | None,
    seeds: int,
    jobs: int | None,
    only: str | None,
    json_path: Path | None,
    plot: Path | None,
) -> int:
    """What breaks first, the fewest nodes for a goal, losses, sensitivity.

    Exits with 1 if the fleet as it is misses the goal.
    """
    from pepperrun.model.fleet import parse_fleet
    from pepperrun.planner.plan import Planner

    captured = load(capture)
    try:
        fleet = parse_fleet(fleet_path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{fleet_path}: {error}") from None

    def answer(say: Any) -> dict[str, Any]:
        start = time.monotonic()
        planner = Planner(captured, fleet, range(1, seeds + 1), jobs or len(os.sched_getaffinity(0)), say)
        try:
            found: dict[str, Any] = {
                "nodes": fleet.size(),
                "goal": goal,
                "work_share": round(planner.work_share(), 4),
                "today": planner.today(),
            }
            if only != "today":
                found["fewest"] = planner.fewest_nodes(goal, most or 2 * fleet.size())
            if only is None:
                found["breaks"] = planner.find_bottleneck(goal, FACTORS)
                found["losses"] = planner.losses()
                found["sensitivity"] = planner.sensitivity()
            found["days"], found["seconds"] = planner.simulated_days, round(time.monotonic() - start, 1)
        finally:
            planner.close()
        return found

    try:
        found = with_progress(answer)
        keep(found, json_path)
        if plot is not None:
            from pepperrun.planner.plots import plan_plot

            plan_plot(found, plot)
    except (ValueError, OSError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(text(found))
    return 0 if found["today"]["service"]["mean"] >= goal else 1


@plan.command()
def schema() -> int:
    """Print the JSON Schema of what `plan nodes --json` writes."""
    import msgspec

    from pepperrun.planner.result import PlanResult

    click.echo(json.dumps(msgspec.json.schema(PlanResult), indent=1))
    return 0


def text(found: dict[str, Any]) -> str:
    """For people."""

    def share(one: dict[str, float]) -> str:
        return f"{one['mean']:.3f} ({one['low']:.3f} to {one['high']:.3f})"

    today = found["today"]
    lines = [
        f"{found['nodes']} nodes, asked for {found['work_share']:.0%} of what they can do",
        f"service {share(today['service'])}; whole day {share(today['whole'])}, worst 10 s"
        f" {share(today['worst_10_s'])}, worst plan {share(today['worst_plan'])}",
    ]
    if "fewest" in found:
        fewest = found["fewest"]
        if fewest["nodes"] is None:
            lines.append(f"no fleet of up to {fewest['most']} nodes meets {found['goal']}")
        else:
            low, high = fewest["interval"]
            lines.append(f"fewest nodes for {found['goal']}: {fewest['nodes']} (interval {low} to {high})")
        for count, one in sorted(fewest["tried"].items(), key=lambda pair: int(pair[0])):
            lines.append(f"  {count:>4} nodes: {share(one['service'])}")
    if "breaks" in found:
        lines.append("load    service                 exhausted")
        for step in found["breaks"]["steps"]:
            worn = ", ".join(step["exhausted"]) or "-"
            lines.append(f"{step['load']:4.1f}x   {share(step['service']):22}  {worn}")
        first = found["breaks"]["first"]
        lines.append(
            f"breaks first: {first['text']}, at {first['load']} times the load" if first else "nothing breaks"
        )
        for name, one in found["losses"]["losses"].items():
            lines.append(f"{name} at {found['losses']['at_s']:.0f} s: service {share(one['service'])}")
        for name, one in found["sensitivity"].items():
            lines.append(f"{name}: service {share(one)}")
    lines.append(f"{found['days']} days played in {found['seconds']} s")
    return "\n".join(lines)
