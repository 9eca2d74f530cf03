"""Results of runs in SQLite: one row a run with its figures, and what was broken."""

from __future__ import annotations

import json
import sqlite3
import time
from collections.abc import Sequence
from contextlib import closing
from pathlib import Path
from typing import Any

from pepperrun.lab.checkers import Broken

VERSION = 1
TABLES = """
create table if not exists run (
  id integer primary key, at text not null, build text not null,
  scenario text not null, seed integer not null,
  variant text not null, busy integer not null, figures text not null, unique (build, scenario, seed, variant)
);
create table if not exists broken (
  run integer not null references run (id) on delete cascade, rule text not null, at_ns integer not null,
  text text not null
);
"""


class Results:
    """A file of results. ValueError where it is another program's or a later version's."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            with closing(self._open()) as base, base:
                version = base.execute("pragma user_version").fetchone()[0]
                if version not in (0, VERSION):
                    raise ValueError(f"{path}: results of version {version}, not {VERSION}")
                base.executescript(TABLES)
                base.execute(f"pragma user_version = {VERSION}")
        except sqlite3.DatabaseError as error:
            raise ValueError(f"{path}: {error}") from None

    def _open(self) -> sqlite3.Connection:
        base = sqlite3.connect(self.path)
        base.execute("pragma foreign_keys = on")
        return base

    def add(
        self,
        build: str,
        scenario: str,
        seed: int,
        variant: str,
        figures: dict[str, Any],
        broken: Sequence[Broken],
    ) -> None:
        """Keeps a run; one of the same build, scenario, seed and variant is replaced."""
        with closing(self._open()) as base, base:
            base.execute(
                "delete from run where build = ? and scenario = ? and seed = ? and variant = ?",
                (build, scenario, seed, variant),
            )
            row = base.execute(
                "insert into run (at, build, scenario, seed, variant, busy, figures)"
                " values (?, ?, ?, ?, ?, ?, ?)",
                (
                    time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
                    *(build, scenario, seed, variant),
                    *(int(figures["busy"]), json.dumps(figures)),
                ),
            )
            base.executemany(
                "insert into broken values (?, ?, ?, ?)",
                [(row.lastrowid, b.rule, b.at, b.text) for b in broken],
            )

    def rows(self, build: str | None = None) -> list[dict[str, Any]]:
        """All runs, or those of a build."""
        with closing(self._open()) as base:
            found = base.execute(
                "select id, build, scenario, seed, variant, figures from run"
                " where ? is null or build = ? order by id",
                (build, build),
            ).fetchall()
            out = []
            for number, of, scenario, seed, variant, figures in found:
                broken = base.execute(
                    "select rule, at_ns, text from broken where run = ?", (number,)
                ).fetchall()
                row = {"build": of, "scenario": scenario, "seed": seed, "variant": variant}
                out.append(row | {"figures": json.loads(figures), "broken": [list(one) for one in broken]})
        return out


def paired(ours: list[dict[str, Any]], others: list[dict[str, Any]]) -> dict[str, list[tuple[Any, Any]]]:
    """Runs of the same scenario, seed and variant, one of each side, by scenario."""
    known = {(row["scenario"], row["seed"], row["variant"]): row for row in others}
    out: dict[str, list[tuple[Any, Any]]] = {}
    for row in ours:
        other = known.get((row["scenario"], row["seed"], row["variant"]))
        if other is not None:
            out.setdefault(row["scenario"], []).append((row["figures"], other["figures"]))
    return out
