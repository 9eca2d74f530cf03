"""Results of experiments: means with intervals, variants compared seed by seed, a page with plots.

Intervals are percentile bootstraps (95%) over seeds, drawn from a seed of their own: the same rows give the
same page.
"""

from __future__ import annotations

import base64
import html
import io
import json
import sqlite3
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import numpy

SHOWN = {
    "worth": "worth",
    "refused": "refused share",
    "attempts": "attempts",
    "between_mb": "MB between regions",
    "own_between_mb": "of it the system's own",
    "all_p50_ms": "ms until all have an edition, p50",
    "all_p99_ms": "p99",
    "all_worst_ms": "worst",
    "took_s": "s a day",
}
RESAMPLED = 2000


@dataclass
class Interval:
    """A mean and its 95% interval."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.4g} [{self.low:.4g}, {self.high:.4g}]"


def interval(values: Iterable[float]) -> Interval:
    """By bootstrap; one value alone has none."""
    array = numpy.array(list(values), dtype=float)
    if len(array) < 2:
        mean = float(array.mean()) if len(array) else float("nan")
        return Interval(mean, float("nan"), float("nan"), len(array))
    draws = numpy.random.default_rng(1).integers(0, len(array), (RESAMPLED, len(array)))
    low, high = numpy.percentile(array[draws].mean(axis=1), [2.5, 97.5])
    return Interval(float(array.mean()), float(low), float(high), len(array))


@dataclass
class Pair:
    """A variant less the first one, over the seeds that both have."""

    difference: Interval
    more: int
    less: int
    same: int

    def __str__(self) -> str:
        return f"{self.difference} +{self.more} -{self.less} ={self.same}"


def paired(one: dict[int, float], two: dict[int, float]) -> Pair:
    """Seed by seed: how much more the second has."""
    differences = [two[seed] - one[seed] for seed in sorted(one.keys() & two.keys())]
    signs = Counter((gap > 0) - (gap < 0) for gap in differences)
    return Pair(interval(differences), signs[1], signs[-1], signs[0])


Key = tuple[str, str]  # point, variant


@dataclass
class Table:
    """Rows of one experiment by point and variant, the newest sources of each."""

    name: str
    variants: list[str]
    points: list[str]
    figures: dict[Key, dict[str, dict[int, float]]]  # figure, seed
    causes: dict[Key, Counter[str]]
    sizes: dict[Key, Counter[str]]
    findings: list[str]


def tables(base: sqlite3.Connection) -> list[Table]:
    """All experiments of a file."""
    base.row_factory = sqlite3.Row
    rows = base.execute("select rowid, * from days order by rowid").fetchall()
    sources = {(row["experiment"], row["variant"]): row["source"] for row in rows}
    by: dict[str, list[Any]] = defaultdict(list)
    for row in rows:
        if row["source"] == sources[row["experiment"], row["variant"]]:
            by[row["experiment"]].append(row)
    return [_table(name, some) for name, some in by.items()]


def _table(name: str, rows: list[Any]) -> Table:
    order = dict.fromkeys
    variants, points = list(order(row["variant"] for row in rows)), list(order(row["point"] for row in rows))
    table = Table(name, variants, points, {}, defaultdict(Counter), defaultdict(Counter), [])
    for row in rows:
        key = row["point"], row["variant"]
        figures = table.figures.setdefault(key, {name: {} for name in SHOWN})
        for figure in SHOWN:
            if row[figure] is not None:
                figures[figure][row["seed"]] = row[figure]
        table.causes[key].update(json.loads(row["causes"]))
        table.sizes[key].update(json.loads(row["bytes"]))
        for rule, text in json.loads(row["findings"]).items():
            table.findings.append(f"{row['variant']} {row['point']} seed {row['seed']}: {rule}: {text}")
    return table


def lines(table: Table) -> list[str]:
    """As text."""
    out = [f"experiment={table.name} findings={len(table.findings)}", *table.findings]
    for point in table.points:
        for variant in table.variants:
            figures = table.figures.get((point, variant))
            if figures is None:
                continue
            count = len(figures["worth"])
            out.append(f"point={point} variant={variant} days={count}")
            for figure in SHOWN:
                line = f"  {figure}: {interval(figures[figure].values())}"
                first = table.figures.get((point, table.variants[0]))
                if variant != table.variants[0] and first is not None:
                    line += f"  less {table.variants[0]}: {paired(first[figure], figures[figure])}"
                out.append(line)
            for what, some in (("refused", table.causes), ("bytes", table.sizes)):
                counts = some[point, variant]
                each = ", ".join(
                    f"{name} {value / max(1, count):.0f}" for name, value in counts.most_common()
                )
                out.append(f"  {what} a day: {each}")
    return out


def page(some: list[Table]) -> str:
    """As HTML, with plots where matplotlib is there."""
    parts = ["<!doctype html><meta charset=utf-8><title>simulation</title>", STYLE]
    for table in some:
        parts.append(f"<h1>{html.escape(table.name)}</h1>{_plots(table)}")
        parts += [f"<p class=bad>{html.escape(text)}</p>" for text in table.findings] or [
            "<p>No findings.</p>"
        ]
        parts.append(f"<pre>{html.escape(chr(10).join(lines(table)))}</pre>")
    return "\n".join(parts)


STYLE = "<style>body{font:14px sans-serif;margin:2em}pre{line-height:1.35}.bad{color:#a00}</style>"


def _plots(table: Table) -> str:
    try:
        import matplotlib
    except ImportError:
        return "<p>matplotlib is not installed: no plots.</p>"
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 4, figsize=(18, 4))
    names = ("worth", "refused", "own_between_mb", "all_p99_ms")
    for axis, name in zip(axes, names, strict=True):
        for at, variant in enumerate(table.variants):
            spots, means = [], []
            for place, point in enumerate(table.points):
                if (point, variant) in table.figures:
                    spots.append(place + 0.12 * at)
                    means.append(interval(table.figures[point, variant][name].values()))
            errors = numpy.nan_to_num(
                [[one.mean - one.low for one in means], [one.high - one.mean for one in means]]
            )
            axis.errorbar(spots, [one.mean for one in means], errors, marker="o", capsize=3, label=variant)
        axis.set(title=SHOWN[name], xticks=range(len(table.points)))
        axis.set_xticklabels([point.strip("{}") for point in table.points], fontsize=6, rotation=20)
        axis.legend(fontsize="small")
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90)
    pyplot.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'
