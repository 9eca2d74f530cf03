"""`pepperrun lab`: many real processes on loopback, broken on purpose, and what came of it."""

from __future__ import annotations

import json
import subprocess
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from pepperrun.cli.bench import keep, with_progress

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


def seeds_of(context: click.Context, parameter: click.Parameter, value: str) -> list[int]:
    """`1`, `1,4` or `1-20`."""
    out: list[int] = []
    try:
        for part in value.split(","):
            first, _, last = part.partition("-")
            out += range(int(first), int(last or first) + 1)
    except ValueError:
        raise click.BadParameter(f"{value!r} is neither seeds nor a range") from None
    if not out or len(out) > 10_000:
        raise click.BadParameter("one to 10000 seeds")
    return out


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


def numbers(context: click.Context, parameter: click.Parameter, value: str) -> list[float]:
    """Numbers with commas between them."""
    try:
        found = [float(part) for part in value.split(",") if part]
    except ValueError:
        raise click.BadParameter(f"{value!r} is not a list of numbers") from None
    if any(one < 0 or one > 1024 for one in found):
        raise click.BadParameter("each must be from 0 to 1024")
    return found


@lab.command()
@click.option(
    "--members", "sizes", default="3,8,24,48", show_default=True, callback=numbers, help="Real groups."
)
@click.option(
    "--virtual", "modelled", default="3,8,24,48", show_default=True, callback=numbers, help="Virtual."
)
@click.option("--loss", "losses", default="0,0.05,0.2", show_default=True, callback=numbers)
@click.option("--faults", default=50, show_default=True, type=click.IntRange(1, 10_000), help="Of each kind.")
@click.option("--virtual-faults", default=50, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--seed", default=1, show_default=True, type=int)
@click.option("--lanes", default=4, show_default=True, type=click.IntRange(1, 16), help="Groups at once.")
@click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), help="PNG or SVG, by its ending.")
@click.option("--json", "json_path", type=click.Path(path_type=Path, dir_okay=False), help="Write all here.")
@click.option("--also", multiple=True, type=click.File(), help="Rows that --json wrote before, beside these.")
def measure(
    sizes: list[float],
    modelled: list[float],
    losses: list[float],
    faults: int,
    virtual_faults: int,
    seed: int,
    lanes: int,
    plot: Path | None,
    json_path: Path | None,
    also: list[Any],
) -> int:
    """How soon killed, stopped and cut-off members are known to all, with real processes and in virtual time.

    Exits with 1 where somebody was buried for nothing at a loss of up to 5%.
    """
    from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor

    from pepperrun.bench.rig import RigError
    from pepperrun.lab import measure as of

    def all_of(say: Any) -> list[dict[str, Any]]:
        rows = []
        with ThreadPoolExecutor(lanes) as pool:
            real = [
                (n, loss, pool.submit(of.Real(int(n), loss, seed).measure, faults, of.KINDS, say))
                for n in sorted(sizes, reverse=True)
                for loss in losses
            ]
            rows += [{"where": "real"} | future.result() for _, _, future in real]
        with ProcessPoolExecutor() as pool:
            shapes = [(int(n), loss) for n in sorted(modelled, reverse=True) for loss in losses]
            virtual = [pool.submit(of.virtual, n, loss, seed, virtual_faults) for n, loss in shapes]
            rows += [{"where": "virtual"} | future.result() for future in virtual]
        return rows

    try:
        before = [row for file in also for row in of.rows_of(file.read(), file.name)]
        rows = of.ordered([*before, *with_progress(all_of)])
    except (RigError, OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    keep({"rows": rows}, json_path)
    if plot is not None:
        of.plot(rows, str(plot))
    click.echo(of.table(rows))
    return 1 if any(row["false_burials"] and row["loss"] <= 0.05 for row in rows) else 0


@lab.command()
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


@lab.command()
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


@lab.command()
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


@lab.command()
@click.option("--members", "sizes", default="8,24", show_default=True, callback=numbers)
@click.option("--seed", "seeds", default="1-20", show_default=True, callback=seeds_of, help="1, 1,4 or 1-20.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def agree(sizes: list[float], seeds: list[int], as_json: bool) -> int:
    """How soon all hold one view after a mass kill, a cut, a heal and a rolling restart, in virtual time."""
    from concurrent.futures import ProcessPoolExecutor

    from pepperrun.bench.rig import RigError
    from pepperrun.lab.measure import agreement

    rows: list[dict[str, Any]] = []
    try:
        with ProcessPoolExecutor() as pool:
            for count in map(int, sizes):
                found = list(pool.map(agreement, [count] * len(seeds), seeds))
                for what in found[0]:
                    times = sorted(one[what][0] for one in found)
                    views = max(one[what][1] for one in found)
                    row = {"members": count, "after": what, "median_s": times[len(times) // 2]}
                    rows.append(row | {"worst_s": times[-1], "most_views": views, "seeds": len(seeds)})
    except RigError as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps({"rows": rows}))
        return 0
    click.echo(f"{'n':>4} {'after':16} {'median s':>9} {'worst s':>8} {'views':>6}  of {len(seeds)} seeds")
    for row in rows:
        figures = f"{row['median_s']:9.2f} {row['worst_s']:8.2f} {row['most_views']:6}"
        click.echo(f"{row['members']:4} {row['after']:16} {figures}")
    return 0
