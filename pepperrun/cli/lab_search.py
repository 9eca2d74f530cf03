"""`pepperrun lab explore`, `ballots` and `fuzz`: searches for what breaks a rule."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from pepperrun.cli.bench import with_progress
from pepperrun.cli.lab_options import seeds_of

if TYPE_CHECKING:
    from pepperrun.lab.scenario import Scenario


@click.command()
@click.option("--members", "count", default=3, show_default=True, type=click.IntRange(2, 5))
@click.option(
    "--depth", default=2, show_default=True, type=click.IntRange(1, 5), help="Deviations in a schedule."
)
@click.option(
    "--window", default=30, show_default=True, type=click.IntRange(1, 400), help="Steps that may deviate."
)
@click.option("--only", multiple=True, help="Kinds of deviation; all where none is named.")
@click.option("--mutant", default="", help="meek or proud: a bug put in on purpose, which is to be found.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def explore(count: int, depth: int, window: int, only: tuple[str, ...], mutant: str, as_json: bool) -> int:
    """Search every schedule of a small group up to a depth, with the members' own code.

    Exits with 1 where an invariant is broken, and tells the schedule.
    """
    from concurrent.futures import ProcessPoolExecutor

    from pepperrun.lab import explore as of

    kinds = only or of.KINDS
    if unknown := [kind for kind in kinds if kind not in of.KINDS]:
        raise click.ClickException(f"--only: {unknown[0]!r} is not one of {', '.join(of.KINDS)}")
    if mutant not in of.MUTANTS:
        raise click.ClickException(f"--mutant: {mutant!r} is not one of {', '.join(of.MUTANTS)}")
    make = of.MUTANTS[mutant]
    total = of.Found()

    def all_of(say: Any) -> None:
        firsts = of.split(count, window, kinds)
        with ProcessPoolExecutor() as pool:
            parts = [pool.submit(of.search, count, depth, window, kinds, make, [one]) for one in firsts]
            for number, part in enumerate(parts, 1):
                one = part.result()
                total.schedules += one.schedules
                total.steps += one.steps
                total.states += one.states
                total.merged += one.merged
                total.broken += one.broken
                if number % 20 == 0:
                    say(f"{number} of {len(parts)} first deviations, {total.schedules} schedules")

    with_progress(all_of)
    if as_json:
        found = {"schedules": total.schedules, "steps": total.steps, "states": total.states}
        click.echo(json.dumps(found | {"merged": total.merged, "broken": total.broken}))
    else:
        click.echo(
            f"{count} members, up to {depth} deviations in {window} steps: {total.schedules} schedules,"
            f" {total.steps} steps, {total.states} states ({total.merged} reached again),"
            f" {len(total.broken)} broken"
        )
        for text, schedule in total.broken[:3]:
            click.echo(f"  {text}\n    " + "\n    ".join(schedule))
    return 1 if total.broken else 0


@click.command()
@click.option("--rounds", default=2, show_default=True, type=click.IntRange(1, 6), help="Begun in all.")
@click.option("--restarts", default=1, show_default=True, type=click.IntRange(0, 4), help="In all.")
@click.option("--depth", default=60, show_default=True, type=click.IntRange(1, 200), help="Steps at most.")
@click.option("--most", default=100_000, show_default=True, type=click.IntRange(1), help="States, a seed.")
@click.option("--seed", "seeds", default="1-4", show_default=True, callback=seeds_of, help="Of the order.")
@click.option("--mutant", default="", help="hasty or deaf: a bug put in on purpose, which is to be found.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def ballots(
    rounds: int, restarts: int, depth: int, most: int, seeds: list[int], mutant: str, as_json: bool
) -> int:
    """Search all that can befall three voters of a decision: orders of messages, late rounds, restarts.

    Exits with 1 where two decisions were in force, or a state leads to no agreement, and tells how.
    """
    from concurrent.futures import ProcessPoolExecutor

    from pepperrun.lab import ballots as of

    if mutant not in of.MUTANTS:
        raise click.ClickException(f"--mutant: {mutant!r} is not one of {', '.join(of.MUTANTS)}")
    make = of.MUTANTS[mutant]
    with ProcessPoolExecutor() as pool:
        parts = [pool.submit(of.search, 3, rounds, restarts, depth, make, most, 500, seed) for seed in seeds]
        found = [part.result() for part in parts]
    if as_json:
        click.echo(json.dumps([one.row(seed) for seed, one in zip(seeds, found, strict=True)]))
    else:
        for seed, one in zip(seeds, found, strict=True):
            click.echo(", ".join(f"{what} {value}" for what, value in one.row(seed).items()))
            click.echo("".join(f"  {of.worded(action)}\n" for action in one.trace), nl=False)
    return 1 if any(one.broken for one in found) else 0


@click.command()
@click.option("--minutes", default=5.0, show_default=True, type=click.FloatRange(0.1, 600))
@click.option(
    "--seed", default=1, show_default=True, type=int, help="Of the first scenario; the others follow."
)
@click.option("--lanes", default=4, show_default=True, type=click.IntRange(1, 16), help="Runs at once.")
@click.option(
    "--found", type=click.Path(path_type=Path, file_okay=False), default=Path("found"), show_default=True
)
def fuzz(minutes: float, seed: int, lanes: int, found: Path) -> int:
    """Draw compound faults, play them, make what fails small, and keep that as a scenario in a folder.

    Exits with 1 where something failed twice: once may be the machine's doing.
    """
    import time

    from pepperrun.bench.rig import ROOT, RigError
    from pepperrun.lab import fuzz as of
    from pepperrun.lab.checkers import Broken
    from pepperrun.lab.lanes import play
    from pepperrun.lab.run import Run, Seen
    from pepperrun.lab.scenario import write_scenario
    from pepperrun.lab.verdict import figures, verdict

    def _play(batch: list[tuple[Scenario, int]], lanes: int, done: Any, say: Any) -> None:
        play(batch, ROOT, None, lanes, say, done)

    limit, played = time.monotonic() + 60 * minutes, 0
    failed: list[tuple[Scenario, int, list[Broken]]] = []

    def judge(seen: Seen) -> list[Broken]:
        return [] if seen.busy else verdict(seen, figures(seen))

    def done(seen: Seen) -> None:
        nonlocal played
        played += 1
        if broken := judge(seen):
            click.echo(f"{seen.scenario.name}: {broken[0].rule}: {broken[0].text}")
            failed.append((seen.scenario, seen.seed, broken))

    kept = 0
    try:
        while time.monotonic() < limit:
            batch = [(of.draw(number), number) for number in range(seed, seed + 4 * lanes)]
            seed += 4 * lanes
            with_progress(partial(_play, batch, lanes, done))
        for scenario, number, broken in failed:
            rules = {one.rule for one in broken}

            def fails(one: Scenario, number: int = number, rules: set[str] = rules) -> bool:
                return bool(rules & {found.rule for found in judge(Run(one, number).run())})

            if not fails(scenario):
                click.echo(f"{scenario.name}: not a second time")
                continue
            small, plays = of.shrink(scenario, fails, 12)
            found.mkdir(parents=True, exist_ok=True)
            path = found / f"{scenario.name}.toml"
            path.write_text(f"# {', '.join(sorted(rules))}; seed {number}\n" + write_scenario(small))
            kept += 1
            click.echo(f"{scenario.name}: {len(small.fault)} faults left after {plays} plays: {path}")
    except (RigError, OSError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{played} runs, {len(failed)} failed, {kept} of them again")
    return 1 if kept else 0
