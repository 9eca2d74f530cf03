"""`pepperrun lab`: many real processes on loopback, broken on purpose, and what came of it."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pepperrun.cli.bench import with_progress
from pepperrun.cli.lab_groups import agree, measure
from pepperrun.cli.lab_options import seeds_of
from pepperrun.cli.lab_search import ballots, explore, fuzz

if TYPE_CHECKING:
    from pepperrun.lab.report import Result
    from pepperrun.lab.scenario import Must, Scenario

SHIPPED = Path(__file__).resolve().parent.parent / "lab" / "scenarios"


def scenario_at(name: str) -> Scenario:
    """A file, or one of those that ship by its name; ClickException names file and key."""
    from pepperrun.lab.scenario import read_scenario

    path = Path(name) if name.endswith(".toml") else SHIPPED / f"{name}.toml"
    try:
        return read_scenario(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        why = error.strerror if isinstance(error, OSError) else error
        raise click.ClickException(f"{path}: {why}") from None


def build_of(root: Path) -> str:
    """The checkout's commit, marked where its program was changed since."""
    try:
        commit = subprocess.run(
            ["git", "-C", str(root), "rev-parse", "--short", "HEAD"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        changed = subprocess.run(
            ["git", "-C", str(root), "status", "--short", "pepperrun"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return commit + ("+" if changed else "")


def calm(must: Must) -> Must:
    """What must hold where nothing fails: nobody can be refused, and there is nothing to agree on anew."""
    import msgspec

    return msgspec.structs.replace(must, refused=[], service=None, agree_s=None)


@click.group()
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True)
def lab(log_format: str) -> None:
    """Start many real gatekeepers, break what is between them, and check what clients and workers saw."""
    from pepperrun.cli.logs import configure

    configure(log_format)


@lab.command("list")
def list_() -> int:
    """The scenarios that ship, each with what it is for."""
    for path in sorted(SHIPPED.glob("*.toml")):
        scenario = scenario_at(str(path))
        click.echo(f"{scenario.name:18} {scenario.what}")
    return 0


@lab.command()
def schema() -> int:
    """The schema of --json."""
    from pepperrun.lab.report import schema as of

    click.echo(json.dumps(of(), indent=1))
    return 0


@lab.command()
@click.argument("scenarios", nargs=-1)
@click.option("--all", "every", is_flag=True, help="All that ship.")
@click.option("--seed", "seeds", default="1", show_default=True, callback=seeds_of, help="1, 1,4 or 1-20.")
@click.option("--members/--no-members", "members", default=None, help="In place of what the scenario says.")
@click.option(
    "--program", type=click.Path(path_type=Path, file_okay=False, exists=True), help="Another checkout."
)
@click.option(
    "--results", type=click.Path(path_type=Path, dir_okay=False), help="Keep the results there (SQLite)."
)
@click.option(
    "--plot", type=click.Path(path_type=Path, file_okay=False), help="A time line of each, in this folder."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
@click.option("--lanes", default=1, show_default=True, type=click.IntRange(1, 16), help="Runs at once.")
@click.option("--undisturbed", is_flag=True, help="With no fault: what others are compared with.")
@click.option("--paired", is_flag=True, help="Each beside the same without faults: errors and service less.")
@click.option(
    "--keep", "folder", type=click.Path(path_type=Path, file_okay=False), help="Keep logs and what was seen."
)
def run(
    scenarios: tuple[str, ...],
    every: bool,
    seeds: list[int],
    members: bool | None,
    program: Path | None,
    results: Path | None,
    plot: Path | None,
    as_json: bool,
    lanes: int,
    undisturbed: bool,
    paired: bool,
    folder: Path | None,
) -> int:
    """Play SCENARIOS (names or files). Exits with 1 where a rule was broken or a goal not met."""
    import msgspec

    from pepperrun.bench.rig import ROOT, RigError
    from pepperrun.lab import report
    from pepperrun.lab.lanes import play
    from pepperrun.lab.run import Seen, save
    from pepperrun.lab.store import Results
    from pepperrun.lab.verdict import figures, verdict

    names = [path.stem for path in sorted(SHIPPED.glob("*.toml"))] if every else list(scenarios)
    if not names:
        raise click.ClickException("no scenario: name some, or --all")
    played = [scenario_at(name) for name in names]
    if members is not None:
        fleets = [msgspec.structs.replace(one.fleet, members=members) for one in played]
        played = [
            msgspec.structs.replace(one, fleet=fleet) for one, fleet in zip(played, fleets, strict=True)
        ]
    if undisturbed:
        played = [msgspec.structs.replace(one, fault=[], must=calm(one.must)) for one in played]
    root = program.resolve() if program is not None else ROOT
    build = build_of(root)
    variant = {None: "", True: "members", False: "no members"}[members] + " undisturbed" * undisturbed
    found: list[Result] = []
    calms: dict[tuple[str, int], Seen] = {}
    broken_ones = {one.name for one in played if one.fault}

    def done(seen: Seen) -> None:
        scenario, seed = seen.scenario, seen.seed
        if paired and scenario.name in broken_ones and (scenario.name, seed) not in calms:
            calms[scenario.name, seed] = seen
            return
        table = figures(seen, calms.get((scenario.name, seed)))
        broken = verdict(seen, table)
        found.append(report.result(seen, build, variant, table, broken))
        if folder is not None:
            (kept := folder / f"{scenario.name}-{seed}").mkdir(parents=True, exist_ok=True)
            save(seen, kept / "seen.json")
        if store is not None:
            store.add(build, scenario.name, seed, variant, table, broken)
        if plot is not None:
            plot.mkdir(parents=True, exist_ok=True)
            report.timeline(seen, plot / f"{scenario.name}-{seed}.png")
        if not as_json:
            lines = report.table(found[-1:]).split("\n")
            click.echo("\n".join(lines if len(found) == 1 else lines[1:]))
            for row in found[-1].broken[:3]:
                click.echo(f"  {row.rule}, seed {seed}, {row.at_s:.3f} s: {row.text}")
                click.echo("\n".join(f"    {line}" for line in row.before))

    try:
        store = Results(results) if results is not None else None
        plays = [(one, seed) for one in played for seed in seeds]
        if paired:
            plays = []
            for one in played:
                without = msgspec.structs.replace(one, fault=[], must=calm(one.must))
                both = [without, one] if one.fault else [one]
                plays += [(each, seed) for seed in seeds for each in both]
        with_progress(lambda say: play(plays, root, folder, lanes, say, done))
    except (RigError, OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(report.Document(1, found))))
    return 1 if any(one.broken for one in found) else 0


@lab.command()
@click.argument("results", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option(
    "--compare", "other", type=click.Path(path_type=Path, dir_okay=False, exists=True), required=True
)
def compare(results: Path, other: Path) -> int:
    """Two files of results paired by scenario and seed, with intervals."""
    from pepperrun.lab.report import comparison
    from pepperrun.lab.store import Results, paired

    try:
        ours, others = Results(results).rows(), Results(other).rows()
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    for row in [*ours, *others]:
        row["variant"] = ""
    pairs = paired(ours, others)
    if not pairs:
        raise click.ClickException("no run of one file has its pair in the other")
    click.echo(comparison(pairs, ("service", "worst_10_s", "beyond", "overshoot")))
    return 0


for command in (measure, explore, ballots, fuzz, agree):
    lab.add_command(command)
