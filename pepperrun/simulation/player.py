"""Player: plays one plan in a process of its own. JSON comes on the standard input, its row goes out.

`python3 -B player.py [TREE]`: this model on the other packages of another tree of the project, so that two
versions are judged and measured by the same days.
"""

from __future__ import annotations

import importlib.util
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent


def of_tree(tree: Path) -> None:
    """The project's packages come from that tree from now on, the model from here."""
    sys.path.insert(0, str(tree))
    spec = importlib.util.spec_from_file_location(
        "pepperrun.simulation", HERE / "__init__.py", submodule_search_locations=[str(HERE)]
    )
    assert spec is not None and spec.loader is not None
    package = importlib.util.module_from_spec(spec)
    sys.modules["pepperrun.simulation"] = package
    spec.loader.exec_module(package)


def played(data: dict[str, Any]) -> dict[str, Any]:
    """The row of a plan. A day that the model can't play is a finding: that of another version, say."""
    from pepperrun.simulation.days import Day
    from pepperrun.simulation.plans import read

    began, day = time.monotonic(), Day(read(data))
    day.play()
    return day.row() | {"took_s": time.monotonic() - began}


def command(tree: Path) -> tuple[list[str], dict[str, str]]:
    """How a day of a tree is played: words and environment."""
    environment = os.environ | {"PYTHONHASHSEED": "0"}  # sets of names are walked in the same order each time
    environment.pop("PYTHONPATH", None)
    return [sys.executable, str(HERE / "player.py"), str(tree)], environment


if __name__ == "__main__":
    sys.path[:] = [one for one in sys.path if Path(one or ".").resolve() != HERE]
    of_tree(Path(sys.argv[1] if len(sys.argv) > 1 else HERE.parents[1]).resolve())
    print(json.dumps(played(json.load(sys.stdin))))
