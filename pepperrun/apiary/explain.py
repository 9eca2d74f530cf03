"""Explaining (log analysis): what became of one request or one change, and a page with plots, from log files.

Lines of different machines are put side by side by their time of day, which differs and may jump: spans below
the clocks' difference say nothing, and a negative one is told as it is.
"""

from __future__ import annotations

import argparse
import base64
import html
import io
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from pepperrun.foundation.errors import HiveError

# absl's head: letter, month and day, time, process, place in the source.
_HEAD = re.compile(r"[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\S+ [^\]]*\] (event=.*)")
_PAIR = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')
LEAP_YEAR = 2000  # absl's head names no year


class Line(NamedTuple):
    """One event: when (s, by the writer's time of day), whose log, and its pairs."""

    at: float
    source: str
    pairs: dict[str, str]


def pairs_of(text: str) -> dict[str, str]:
    """The pairs of one line, as `foundation.logs.line` writes them."""
    out = {}
    for name, value in _PAIR.findall(text):
        try:
            out[name] = str(json.loads(value)) if value.startswith('"') else value
        except ValueError:
            out[name] = value
    return out


def read(paths: Iterable[Path]) -> list[Line]:
    """All events of these logs in the order of their times; HiveError `no-file`. Other lines are passed over.

    A log is its process's: named by the station that a line of it tells, else by the file.
    """
    lines: list[Line] = []
    for path in paths:
        try:
            texts = path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise HiveError("no-file", "explaining", f"{path}: {error.strerror or error}") from None
        source, mine = path.stem, []
        for text in texts:
            match = _HEAD.search(text)
            if match is None:
                continue
            try:
                when = datetime.strptime(f"{LEAP_YEAR} {match[1]}", "%Y %m%d %H:%M:%S.%f")
            except ValueError:
                continue
            pairs = pairs_of(match[2])
            if "station" in pairs and pairs["event"] in ("starting", "guard", "agreed"):
                source = pairs["station"]
            mine.append(((when - datetime(LEAP_YEAR, 1, 1)).total_seconds(), pairs))
        lines += [Line(at, source, pairs) for at, pairs in mine]
    return sorted(lines, key=lambda one: one.at)


WORDS = {
    "bad": "the request itself is no good",
    "budget": "a worker did not take it, and the budget for further tries was spent",
    "cold": "all workers of the service were cold, and their share of requests was spent",
    "fence": "the configuration had moved on or was not surely fresh enough to send it",
    "full": "the workers had no room for it in time",
    "key": "no such key in the configuration",
    "left": "the client went away",
    "may-have-run": "a worker had it and gave no whole answer, so it was not sent again",
    "no-configuration": "this gatekeeper held no configuration yet",
    "no-worker": "no worker of the service could be used",
    "out-of-time": "its time was up",
    "quota": "its tenant's quota was used up",
    "route": "no such route in the configuration",
    "served-later": "a further try served it",
    "stale": "what was held was not surely the newest, so nothing was said of what there is not",
    "tries": "no worker took it in as many tries as its route allows",
    "worker-failed": "a worker answered with a failure of its own",
}


def attempt(id: str, lines: list[Line]) -> list[str]:
    """What became of one attempt id."""
    out = []
    for line in lines:
        pairs = line.pairs
        if pairs["event"] != "request" or pairs.get("id") != id:
            continue
        status = pairs.get("status", "0")
        reason = pairs.get("reason", "-")
        why = WORDS.get(reason, reason)
        answer = f"answered {status}" if status != "0" else "not answered"
        out.append(f"{line.source}: {answer} after {pairs.get('ms')} ms: {why}")
        told = ("route", "tenant", "kind", "edition")
        out.append("  " + ", ".join(f"{name} {pairs.get(name, '-')}" for name in told))
        for part in filter(lambda one: one != "-", pairs.get("tries", "-").split(",")):
            worker, at, how, took = part.rsplit("/", 3)
            out.append(f"  at {at} ms to {worker}: {how}" + (f" after {took} ms" if took != "-" else ""))
    if out:
        return out
    left = sum(
        int(line.pairs.get("count", 0)) for line in lines if line.pairs["event"] == "requests-left-out"
    )
    text = (
        f"No line tells of {id}: served at the first try, not seen here, or its gatekeeper logs no requests."
    )
    return [text + (f" {left} requests were left out for the bound on lines." if left else "")]


class Change(NamedTuple):
    """One number of the agreed state. `called`: the core's order line, where there is one."""

    number: int
    edition: int
    called: Line | None
    first: float
    core: dict[str, float]
    guards: dict[str, float]


def changes(lines: list[Line]) -> dict[int, Change]:
    """By number: who held it when for the first time."""
    core: dict[int, dict[str, float]] = defaultdict(dict)
    guards: dict[int, dict[str, float]] = defaultdict(dict)
    editions: dict[int, int] = {}
    orders: dict[int, Line] = {}
    for line in lines:
        pairs = line.pairs
        if pairs["event"] == "agreed" and pairs.get("number", "").isdigit():
            number = int(pairs["number"])
            editions.setdefault(number, int(pairs.get("edition", 0)))
            (guards if "station" in pairs else core)[number].setdefault(line.source, line.at)
        elif pairs["event"] == "order" and pairs.get("status") == "200":
            orders.setdefault(int(pairs.get("edition", 0)), line)
    out, before = {}, 0
    for number, edition in sorted(editions.items()):
        called = orders.get(edition) if edition > before else None
        before = max(before, edition)
        seen = [*core[number].values(), *guards[number].values()]
        out[number] = Change(number, edition, called, min(seen), core[number], guards[number])
    return out


def change(number: int, lines: list[Line]) -> list[str]:
    """From the operator's call until it was in force at each gatekeeper."""
    found = changes(lines).get(number)
    if found is None:
        return [f"No line tells of number {number}."]
    out = [f"number {number}, edition {found.edition}"]
    order = found.called
    if order is not None and "ms" in order.pairs:
        start = order.at - float(order.pairs["ms"]) / 1000
        out.append(
            f"called at {order.source} ({order.pairs.get('do')}), answered after {order.pairs['ms']} ms"
        )
    else:
        start = found.first
        out.append("times count from the first line that tells of it")
    for name, held in (("core", found.core), ("gatekeeper", found.guards)):
        for source, at in sorted(held.items(), key=lambda one: one[1]):
            out.append(f"  {name} {source}: {(at - start) * 1000:.0f} ms")
    known = {line.source for line in lines if line.pairs["event"] == "agreed" and "station" in line.pairs}
    for source in sorted(known - found.guards.keys()):
        out.append(f"  gatekeeper {source}: no line of it, it went on to a later one or never had it")
    if found.guards:
        source, at = max(found.guards.items(), key=lambda one: one[1])
        out.append(f"slowest: {source}, {(at - start) * 1000:.0f} ms")
    return out


# The page.


def _figures(lines: list[Line]) -> list[tuple[str, Any]]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    start = lines[0].at
    found = []
    figure, axis = pyplot.subplots(figsize=(9, 3.5))
    for one in changes(lines).values():
        begun = one.first
        spans = [(at - begun) * 1000 for at in one.guards.values()]
        axis.plot([begun - start] * len(spans), spans, "o", markersize=4, color="tab:blue", alpha=0.6)
    axis.set(xlabel="s", ylabel="ms until in force", ylim=(0, None))
    found.append(("Each change at each gatekeeper", figure))
    figure, axis = pyplot.subplots(figsize=(9, 3.5))
    depths = [
        (line.at - start, int(line.pairs["depth"])) for line in lines if line.pairs.get("depth", "").isdigit()
    ]
    axis.plot([at for at, _ in depths], [depth for _, depth in depths], "o", markersize=4)
    axis.set(xlabel="s", ylabel="links from the core", ylim=(0, None))
    found.append(("Depth of the tree of relays", figure))
    figure, axis = pyplot.subplots(figsize=(9, 3.5))
    causes: dict[str, Counter[int]] = defaultdict(Counter)
    for line in lines:
        if line.pairs["event"] == "request":
            causes[line.pairs.get("reason", "-")][int(line.at - start)] += 1
        elif line.pairs["event"] == "requests-left-out":
            causes["left out"][int(line.at - start)] += int(line.pairs.get("count", 0))
    for cause, counted in sorted(causes.items()):
        seconds = range(min(counted), max(counted) + 1)
        axis.plot(seconds, [counted[second] for second in seconds], marker=".", label=cause)
    axis.set(xlabel="s", ylabel="requests a second", ylim=(0, None))
    if causes:
        axis.legend(fontsize="small")
    found.append(("Requests not served at the first try, by cause", figure))
    return found


def report(lines: list[Line], out: Path) -> None:
    """Writes the page. HiveError `no-lines`, `no-matplotlib`."""
    if not lines:
        raise HiveError("no-lines", "report", "the logs hold no events")
    parts = ["<!doctype html><meta charset=utf-8><title>pepperrun</title>"]
    parts.append(
        "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}pre{background:#f4f4f4}</style>"
    )
    try:
        figures = _figures(lines)
    except ImportError:
        raise HiveError("no-matplotlib", "report", "plots need matplotlib") from None
    for title, figure in figures:
        data = io.BytesIO()
        figure.tight_layout()
        figure.savefig(data, format="png", dpi=100)
        figure.clear()
        text = base64.b64encode(data.getvalue()).decode()
        parts.append(f"<h2>{html.escape(title)}</h2><img alt='' src='data:image/png;base64,{text}'>")
    for number in changes(lines):
        parts.append(f"<pre>{html.escape(chr(10).join(change(number, lines)))}</pre>")
    out.write_text("\n".join(parts))


# The command.


def _explain(options: argparse.Namespace) -> int:
    lines = read(options.logs)
    print(
        "\n".join(attempt(options.id, lines) if options.kind == "attempt" else change(options.number, lines))
    )
    return 0


def _report(options: argparse.Namespace) -> int:
    report(read(options.logs), options.out)
    print(options.out)
    return 0


def register(commands: Any) -> None:
    """Adds `explain` and `report` to a command's subparsers."""
    text = "tell from log files what became of a request or a change"
    top = commands.add_parser("explain", help=text, description=text)
    kinds = top.add_subparsers(dest="kind", required=True, metavar="WHAT")
    one = kinds.add_parser("attempt", help="one request, of gatekeepers with --trace")
    one.add_argument("id", metavar="ID", help="its Attempt-Id")
    two = kinds.add_parser("change", help="one number of the agreed state: when it was in force where")
    two.add_argument("number", type=int, metavar="N", help="as `show` and the lines `agreed` tell it")
    three = commands.add_parser("report", help="a page with plots from log files")
    three.add_argument("--out", type=Path, required=True, metavar="FILE", help="HTML")
    for command, does in ((one, _explain), (two, _explain), (three, _report)):
        command.add_argument("logs", nargs="+", type=Path, metavar="LOGFILE", help="one for each process")
        command.set_defaults(does=does)
