"""`pepperrun lab measure` and `agree`: how soon a group of members knows what has happened."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from pepperrun.cli.bench import keep, with_progress
from pepperrun.cli.lab_options import numbers, seeds_of


@click.command()
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


@click.command()
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
