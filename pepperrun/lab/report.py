"""What is shown of runs: a table, JSON by a published schema, a comparison in pairs, and a time line plot."""

from __future__ import annotations

import math
import statistics
from pathlib import Path
from typing import Any

import msgspec

from pepperrun.lab import checkers
from pepperrun.lab.checkers import Broken, S
from pepperrun.lab.run import Seen
from pepperrun.lab.verdict import by_second

COLUMNS = {
    "service": "service",
    "less_than_calm": "less",
    "beyond": "beyond",
    "overshoot": "overshoot",
    "added_overshoot": "added",
    "its_stated_error": "stated",
    "agree_s": "agree s",
    "views": "views",
    "false_burials": "false",
    "member_datagrams_a_second": "msg/s",
}
# Two-sided 95% of Student's t by degrees of freedom; beyond the table the normal's.
STUDENT = [
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
    2.12,
    2.11,
]


class BrokenRow(msgspec.Struct):
    """A rule that was broken."""

    rule: str
    at_s: float
    text: str
    before: list[str]


class Result(msgspec.Struct):
    """One run, as `--json` gives it."""

    scenario: str
    seed: int
    build: str
    variant: str
    figures: dict[str, float | int | bool | None | dict[str, int]]
    broken: list[BrokenRow]


class Document(msgspec.Struct):
    """What `--json` gives."""

    version: int
    runs: list[Result]


def schema() -> dict[str, Any]:
    """The published schema of `--json`."""
    return msgspec.json.schema(Document)


def result(seen: Seen, build: str, variant: str, figures: dict[str, Any], broken: list[Broken]) -> Result:
    """One run for `--json`, with the events that led to what was broken."""
    rows = [
        BrokenRow(one.rule, round(one.at / S, 3), one.text, checkers.before(seen, one.at) if at < 3 else [])
        for at, one in enumerate(broken)
    ]
    return Result(seen.scenario.name, seen.seed, build, variant, figures, rows)


def table(results: list[Result]) -> str:
    """For people, a line a run."""
    width = max([len("scenario"), *(len(one.scenario) for one in results)])
    lines = [f"{'scenario':{width}} {'seed':>5} " + " ".join(f"{name:>10}" for name in COLUMNS.values())]
    for one in results:
        cells = []
        for key in COLUMNS:
            value = one.figures[key]
            cells.append(f"{'-' if value is None else value:>10}")
        what = "  busy" if one.figures["busy"] else ""
        rules = ", ".join(sorted({row.rule for row in one.broken}))
        what += f"  BROKEN {rules}" if rules else ""
        lines.append(f"{one.scenario:{width}} {one.seed:5} {' '.join(cells)}{what}")
    return "\n".join(lines)


def interval(differences: list[float]) -> tuple[float, float, float]:
    """Mean of paired differences and its 95% interval; one pair has none."""
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return mean, -math.inf, math.inf
    t = STUDENT[len(differences) - 2] if len(differences) - 2 < len(STUDENT) else 1.96
    half = t * statistics.stdev(differences) / math.sqrt(len(differences))
    return mean, mean - half, mean + half


def comparison(pairs: dict[str, list[tuple[Any, Any]]], keys: tuple[str, ...]) -> str:
    """Ours less the other's, by scenario, with intervals."""
    lines = []
    width = max([len("scenario"), *map(len, pairs)])
    for key in keys:
        lines.append(f"{key}: this less the other, mean [95% interval] of pairs by seed")
        for scenario, figures in pairs.items():
            both = [(a[key], b[key]) for a, b in figures if a[key] is not None and b[key] is not None]
            if not both:
                continue
            mean, low, high = interval([a - b for a, b in both])
            ours, theirs = statistics.fmean(a for a, _ in both), statistics.fmean(b for _, b in both)
            span = f"[{low:+.3f}, {high:+.3f}]" if math.isfinite(low) else "[one pair]"
            lines.append(f"  {scenario:{width}} {ours:8.3f} {theirs:8.3f}  {mean:+.3f} {span} of {len(both)}")
    return "\n".join(lines)


def timeline(seen: Seen, path: Path) -> None:
    """Faults, views and service by zone over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    count, end = seen.scenario.fleet.gatekeepers, seen.ends_at / S
    figure, (top, bottom) = pyplot.subplots(
        2, 1, sharex=True, figsize=(11, 3 + 0.22 * count + 2.5), height_ratios=[max(2.0, 0.22 * count), 2.0]
    )
    colours = pyplot.get_cmap("tab20")
    digests: dict[str, int] = {}
    for number in range(count):
        views = [event for event in seen.events if event["who"] == f"n{number}" and event["what"] == "view"]
        for event, following in zip(views, [*views[1:], None], strict=True):
            digest = event["detail"].split()[1]
            shade = colours(digests.setdefault(digest, len(digests)) % 20)
            until = following["at"] / S if following is not None else end
            top.barh(
                number,
                until - max(0.0, event["at"] / S),
                left=max(0.0, event["at"] / S),
                color=shade,
                height=0.8,
            )
        for since, until, how in checkers.downs_of(seen, number):
            colour = "black" if how != "pause" else "grey"
            top.barh(number, (until - since) / S, left=since / S, color=colour, height=0.5)
        for event in seen.events:
            if event["who"] == f"n{number}" and event["what"] in ("stood still", "denied", "refused"):
                top.plot(event["at"] / S, number, marker="v", color="red", markersize=5)
    for since, until, _, _ in {(a, b, 0, 0) for a, b, _, _ in checkers.cut_pairs(seen)}:
        for axis in (top, bottom):
            axis.axvspan(since / S, until / S, color="orange", alpha=0.15)
    top.set_yticks(range(count), [f"n{number}" for number in range(count)])
    top.set_title(
        f"{seen.scenario.name}, seed {seen.seed}: views by colour, black down, grey stopped, shade: a cut"
    )
    for zone, parts in by_second(seen).items():
        bottom.plot([at + 0.5 for at in range(len(parts))], parts, marker=".", label=f"zone {zone}")
    bottom.set_ylim(0, 1.05)
    bottom.set_ylabel("served in time")
    bottom.set_xlabel("seconds")
    bottom.legend(loc="lower right")
    bottom.set_xlim(0, end)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
