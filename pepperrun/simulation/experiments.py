"""Experiments (designed comparisons): a grid over settings and seeds, variants paired by seed, in SQLite.

A TOML file says what is played:

    name = "ticks"
    seeds = "1-20"              # each point of the grid is played with each of them, by each variant
    processes = 2
    [plan]                      # as a plan's JSON, without the seed; a list `troubles` is taken as it is
    gates = 4
    [grid]                      # any field, by its path
    rate = [12.0, 24.0]
    "shape.loss" = [0.0, 0.02]
    [variants.now]              # the first is what the others are compared with
    [variants.slow]
    set = { "shape.constants" = { "distribution.follower:HEARTBEAT_NS" = 800000000 } }
    [variants.before]
    checkout = "../before"      # another tree of the project, by path from this file

Where the plan has no `troubles` the seed draws them. A row that stands is not played again, unless the
sources of its tree have changed since.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import sqlite3
import subprocess
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dacite

from pepperrun.foundation.errors import PepperrunError
from pepperrun.simulation import player
from pepperrun.simulation.plans import Plan, Shape, drawn_plan, read

ROOT = Path(__file__).resolve().parents[2]
LONGEST_S = 1800.0  # of real time for one day
FIGURES = (
    *("worth", "refused", "requests", "attempts", "all_p50_ms", "all_p99_ms", "all_worst_ms", "editions"),
    *("between_mb", "own_between_mb", "took_s"),
)
TABLE = f"""create table if not exists days (
    experiment text, variant text, point text, seed integer, source text, plan text, digest text,
    {", ".join(f"{name} real" for name in FIGURES)}, causes text, bytes text, findings text,
    primary key (experiment, variant, point, seed, source, plan))"""


@dataclass
class Variant:
    """`set`: fields by path; `checkout`: the tree of the system that is played."""

    set: dict[str, Any] = field(default_factory=dict)
    checkout: str = ""


@dataclass
class Experiment:
    """What the file says."""

    name: str
    seeds: str
    plan: dict[str, Any] = field(default_factory=dict)
    grid: dict[str, list[Any]] = field(default_factory=dict)
    variants: dict[str, Variant] = field(default_factory=lambda: {"now": Variant()})
    processes: int = 1


@dataclass
class Cell:
    """A day that is wanted."""

    variant: str
    point: str
    seed: int
    plan: Plan
    tree: Path
    source: str


def load(path: Path) -> Experiment:
    """Reads a file; PepperrunError says what is no good."""
    try:
        data = tomllib.loads(path.read_text())
        return dacite.from_dict(Experiment, data, dacite.Config(strict=True))
    except (OSError, tomllib.TOMLDecodeError, dacite.DaciteError) as error:
        raise PepperrunError("bad-experiment", "experiment", f"{path}: {error}") from None


def seeds(text: str) -> list[int]:
    """`3`, `1-20` or both, with commas."""
    out = list[int]()
    for part in text.split(","):
        first, _, last = part.partition("-")
        out += range(int(first), int(last or first) + 1)
    return out


def put(data: dict[str, Any], path: str, value: Any) -> None:
    """Sets a field; the names of its tables stand before it, with dots."""
    *tables, name = path.split(".")
    for table in tables:
        data = data.setdefault(table, {})
    data[name] = value


def planned(data: dict[str, Any], seed: int) -> Plan:
    """A plan of a file's tables; routes and lines that are given replace all of the usual ones."""
    if "troubles" in data:
        draw = itertools.count(seed * 1000)  # whom they meet, where that is not said
        troubles = [{"who": next(draw)} | one for one in data["troubles"]]
        return read(data | {"seed": seed, "troubles": troubles})
    whole = read(data | {"seed": seed})
    drawn = drawn_plan(seed, whole.gates, whole.bug, whole.rate, whole.shape)
    drawn.cores = data.get("cores", drawn.cores)
    return drawn


def source_of(tree: Path) -> str:
    """Of the sources of a tree and of the model's: what a row was played with."""
    model = sorted((ROOT / "pepperrun" / "simulation").glob("*.py"))
    rest = sorted(one for one in (tree / "pepperrun").rglob("*.py") if "simulation" not in one.parts)
    digest = hashlib.blake2b(digest_size=6)
    for path in [*rest, *model]:
        digest.update(path.read_bytes())
    return digest.hexdigest()


def cells(wanted: Experiment, beside: Path) -> Iterator[Cell]:
    """All days of an experiment, the variants of one seed next to each other."""
    trees = {name: (beside / one.checkout if one.checkout else ROOT) for name, one in wanted.variants.items()}
    sources = {name: source_of(tree) for name, tree in trees.items()}
    for values in itertools.product(*wanted.grid.values()):
        point = dict(zip(wanted.grid, values, strict=True))
        for seed in seeds(wanted.seeds):
            for name, variant in wanted.variants.items():
                data = json.loads(json.dumps(wanted.plan))
                for path, value in {**point, **variant.set}.items():
                    put(data, path, value)
                try:
                    plan = planned(data, seed)
                except (dacite.DaciteError, TypeError) as error:
                    raise PepperrunError("bad-experiment", "experiment", f"{name} {point}: {error}") from None
                yield Cell(name, json.dumps(point), seed, plan, trees[name].resolve(), sources[name])


def play(plan: Plan, tree: Path = ROOT) -> dict[str, Any]:
    """A day in a process of its own; one that ends without a row has a finding."""
    words, environment = player.command(tree)
    given = json.dumps(plan.written())
    how: dict[str, Any] = {"input": given, "env": environment, "text": True, "capture_output": True}
    try:
        done = subprocess.run(words, timeout=LONGEST_S, **how)
    except subprocess.TimeoutExpired:
        return {"findings": {"ENDLESS": f"not over after {LONGEST_S:.0f} s"}}
    if done.returncode:
        return {"findings": {"PLAYER": done.stderr.strip().rpartition("\n")[2]}}
    out: dict[str, Any] = json.loads(done.stdout)
    return out


def opened(path: Path) -> sqlite3.Connection:
    """The results' file."""
    base = sqlite3.connect(path, check_same_thread=False)
    base.execute(TABLE)
    return base


def run(wanted: Experiment, beside: Path, base: sqlite3.Connection, say: Callable[[str], None]) -> int:
    """Plays what is missing; how many days had a finding."""
    names = ("experiment", "variant", "point", "seed", "source", "plan")
    there = set(base.execute(f"select {', '.join(names)} from days"))
    missing, stand = [], 0
    for cell in cells(wanted, beside):
        key = (wanted.name, cell.variant, cell.point, cell.seed, cell.source, json.dumps(cell.plan.written()))
        if key in there:
            stand += 1
        else:
            missing.append((key, cell))
    say(f"days={len(missing)} stand={stand}")
    wrong = 0
    with ThreadPoolExecutor(wanted.processes) as pool:
        rows = pool.map(lambda one: (one[0], play(one[1].plan, one[1].tree)), missing)
        for key, row in rows:
            keep(base, dict(zip(names, key, strict=True)), row)
            wrong += bool(row["findings"])
            say(
                f"variant={key[1]} point={key[2]} seed={key[3]} worth={row.get('worth', 0):.4f} "
                f"took_s={row.get('took_s', 0):.1f} findings={json.dumps(row['findings'])}"
            )
    return wrong


def keep(base: sqlite3.Connection, key: dict[str, Any], row: dict[str, Any]) -> None:
    """Writes a day's row."""
    values = key | {"digest": row.get("digest", "")} | {name: row.get(name) for name in FIGURES}
    values |= {name: json.dumps(row.get(name, {})) for name in ("causes", "bytes", "findings")}
    marks = ", ".join(f":{name}" for name in values)
    base.execute(f"insert or replace into days ({', '.join(values)}) values ({marks})", values)
    base.commit()


__all__ = [
    "Experiment",
    "PepperrunError",
    "Shape",
    "Variant",
    "cells",
    "load",
    "opened",
    "play",
    "run",
    "seeds",
]
