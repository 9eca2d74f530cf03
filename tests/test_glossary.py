"""Each name of the glossary's code column exists."""

from __future__ import annotations

import importlib
import re
from pathlib import Path
from typing import Any

import pytest

GLOSSARY = Path(__file__).resolve().parent.parent / "docs" / "GLOSSARY.md"
ROW = re.compile(r"^\|[^|]*\|[^|]*\| `([\w.]+)` \|[^|]+\|$")
NAMES = [match[1] for line in GLOSSARY.read_text().splitlines() if (match := ROW.match(line))]


def resolve(name: str) -> Any:
    """The object that a dotted name below the package names; AttributeError where there is none."""
    parts = name.split(".")
    for count in range(len(parts), 0, -1):
        try:
            found: Any = importlib.import_module(".".join(["pepperrun", *parts[:count]]))
        except ModuleNotFoundError:
            continue
        for part in parts[count:]:
            declared = getattr(found, "__annotations__", {})
            found = declared[part] if part in declared else getattr(found, part)
        return found
    raise AttributeError(name)


def test_every_row_of_the_tables_is_checked() -> None:
    rows = [line for line in GLOSSARY.read_text().splitlines() if line.startswith("| ")]
    heads = [line for line in rows if line.startswith(("| ---", "| users' word"))]
    assert len(NAMES) == len(rows) - len(heads) > 30


@pytest.mark.parametrize("name", NAMES)
def test_a_name_of_the_glossary_exists(name: str) -> None:
    assert resolve(name) is not None


def test_a_name_that_is_gone_is_found() -> None:
    with pytest.raises(AttributeError):
        resolve("control.node.Hub")
