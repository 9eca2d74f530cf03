"""`pepperrun bench`: experiments on this machine's loopback."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

Found = TypeVar("Found")


def numbers(context: click.Context, parameter: click.Parameter, value: str) -> tuple[int, ...]:
    """Whole numbers with commas between them."""
    try:
        found = tuple(int(part) for part in value.split(","))
    except ValueError:
        raise click.BadParameter(f"{value!r} is not a list of whole numbers") from None
    if not found or min(found) < 1 or max(found) > 1_000_000:
        raise click.BadParameter("each must be from 1 to 1000000")
    return found


@click.group()
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True)
def bench(log_format: str) -> None:
    """Measure gatekeepers on this machine's loopback."""
    from pepperrun.cli.logs import configure

    configure(log_format)


def with_progress(what: Callable[[Callable[[str], None]], Found]) -> Found:
    """Runs an experiment; what it is at is shown on a terminal, and logged elsewhere."""
    if sys.stderr.isatty():
        from rich.console import Console

        with Console(stderr=True).status("starting") as status:
            return what(status.update)
    import structlog

    log = structlog.get_logger()
    return what(lambda text: log.info("bench", at=text))


def keep(found: dict[str, Any], path: Path | None) -> None:
    """Writes what was found, all or nothing."""
    if path is None:
        return
    new = path.with_name(path.name + ".new")
    new.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
    new.replace(path)


@bench.command()
@click.option(
    "--steps", default="1000,4000,16000", show_default=True, callback=numbers, help="Silent connections."
)
@click.option(
    "--rate", default=150.0, show_default=True, type=click.FloatRange(1, 5000), help="Asks a second."
)
@click.option(
    "--burst", default=4.0, show_default=True, type=click.FloatRange(1, 100), help="Times the rate."
)
@click.option("--steady", default=10.0, show_default=True, type=click.FloatRange(1, 600), help="Seconds.")
@click.option("--burst-for", default=5.0, show_default=True, type=click.FloatRange(1, 600), help="Seconds.")
@click.option("--silent", default=5.0, show_default=True, type=click.FloatRange(1, 600), help="Seconds.")
@click.option("--wake", default=10_000, show_default=True, type=click.IntRange(1), help="Speak at once.")
@click.option("--seed", default=1, show_default=True, type=int)
@click.option("--holders", default=0, show_default=True, type=click.IntRange(0, 64), help="At least.")
@click.option("--json", "json_path", type=click.Path(path_type=Path, dir_okay=False), help="Write all here.")
@click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), help="PNG or SVG, by its ending.")
def idle(
    steps: tuple[int, ...],
    rate: float,
    burst: float,
    steady: float,
    burst_for: float,
    silent: float,
    wake: int,
    seed: int,
    holders: int,
    json_path: Path | None,
    plot: Path | None,
) -> int:
    """What silent connections cost, and from how many on confirmations suffer.

    Exits with 1 if they do at one of the steps.
    """
    from pepperrun.bench import idle as experiment
    from pepperrun.bench.rig import RigError

    plan = experiment.Plan(steps, rate, burst, steady, burst_for, silent, seed, wake)
    try:
        found = with_progress(lambda say: experiment.run(plan, holders, say))
        keep(found, json_path)
        if plot is not None:
            from pepperrun.bench.plots import idle_plot

            idle_plot(found, plot)
    except (RigError, OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(experiment.table(found))
    return 0 if found["suffers"] is None else 1


@bench.command()
@click.argument("capture", type=click.Path(path_type=Path))
@click.option("--fleet", "fleet_path", type=click.Path(path_type=Path), required=True)
@click.option("--seed", default=1, show_default=True, type=int)
@click.option(
    "--fault", "faults", multiple=True, help="lost|restart|drain:AT_S[:FOR_S[:ZONE[:SHARE]]], several times."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def replay(capture: Path, fleet_path: Path, seed: int, faults: tuple[str, ...], as_json: bool) -> int:
    """Play a CAPTURE through real gatekeepers against stand-in nodes, beside what the model says.

    Exits with 1 where the machine was too busy for the day to say anything.
    """
    from pepperrun.bench.replay import replay as played
    from pepperrun.bench.rig import RigError
    from pepperrun.cli.capture import load
    from pepperrun.model.day import parse_fault, requests_from_entries
    from pepperrun.model.fleet import parse_fleet
    from pepperrun.model.simulate import Simulation

    captured = load(capture)
    try:
        fleet = parse_fleet(fleet_path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{fleet_path}: {error}") from None
    classes, plans = captured.header.classes, captured.header.plans
    try:
        hits = [parse_fault(text) for text in faults]
        load_ = requests_from_entries(captured.entries, classes, fleet, seed)
        day = Simulation(load_, classes, plans, fleet, seed, hits).run().summary()
        load_ = requests_from_entries(captured.entries, classes, fleet, seed)
        found = with_progress(lambda say: played(load_, classes, plans, fleet, seed, hits, say=say))
    except (RigError, OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps({"measured": found, "model": day}))
    else:
        for name in ("service", "whole", "worst_10_s", "worst_plan"):
            click.echo(f"{name:12} measured {found[name]:.3f}  model {day[name]:.3f}")
        click.echo(f"answers by status: {found['statuses']}; latest send {found['late_ms']} ms late")
    return 1 if found["busy"] else 0


@bench.command()
@click.option("--count", default=3000, show_default=True, type=click.IntRange(100, 15_000))
@click.option("--rounds", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--json", "json_path", type=click.Path(path_type=Path, dir_okay=False), help="Write all here.")
def accepts(count: int, rounds: int, json_path: Path | None) -> int:
    """Accepts a second without and with a clients file, in turn."""
    from pepperrun.bench import idle as experiment
    from pepperrun.bench.rig import RigError

    try:
        found = with_progress(lambda say: experiment.accepts(count, rounds, say))
        keep(found, json_path)
    except (RigError, OSError) as error:
        raise click.ClickException(str(error)) from None
    medians = found["median"]
    click.echo(
        f"accepts a second: {medians['before']} before, {medians['after']} after, {found['ratio']} times"
    )
    return 0


@bench.command()
@click.option("--count", default=16_000, show_default=True, type=click.IntRange(100, 100_000))
@click.option(
    "--compare", default=8000, show_default=True, type=click.IntRange(0, 9000), help="Without a file."
)
@click.option("--json", "json_path", type=click.Path(path_type=Path, dir_okay=False), help="Write all here.")
def timeouts(count: int, compare: int, json_path: Path | None) -> int:
    """When silent connections are closed, against when they are due, and how long the loop stalls."""
    from pepperrun.bench import idle as experiment
    from pepperrun.bench.rig import RigError

    def both(say: Callable[[str], None]) -> dict[str, Any]:
        runs = [experiment.timeouts(compare, None, 2.0, say)] if compare else []
        if compare:
            runs.append(experiment.timeouts(compare, experiment.CLIENTS, 5.0, say))
        return {"runs": [*runs, experiment.timeouts(count, experiment.CLIENTS, 5.0, say)]}

    try:
        found = with_progress(both)
        keep(found, json_path)
    except (RigError, OSError) as error:
        raise click.ClickException(str(error)) from None
    early = 0
    for run in found["runs"]:
        late, early = run["lateness_ms"], early + run["early"]
        click.echo(
            f"{run['connections']} {'parked' if run['parked'] else 'as without a file'}:"
            f" {run['closed']} closed, {run['early']} early;"
            f" late by ms: p50 {late['p50']:.0f}, p99 {late['p99']:.0f},"
            f" most {late['most']:.0f}; longest stall a probe saw {run['probe_most_ms']:.0f} ms"
        )
    return 1 if early else 0
