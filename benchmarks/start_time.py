"""How long `run` takes until it serves, and its memory, with membership off: two checkouts in turn.

    python3 benchmarks/start_time.py CHECKOUT [--pairs 20]

Alone on the machine. Prints medians, and the median and range of the ratios of pairs (this over the other).
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pepperrun.bench.rig import ROOT, usage
from pepperrun.lab.processes import Processes
from pepperrun.lab.scenario import Fleet, Load, Scenario


def once(lab: Processes) -> tuple[float, int]:
    """Milliseconds until it serves, and its own memory then, in KB."""
    one = lab.gatekeepers[0]
    one.kill()
    began = time.perf_counter()
    one.start()
    assert one.ready() and one.process is not None
    took = (time.perf_counter() - began) * 1000
    return took, usage(one.process.pid).anonymous // 1024


def main() -> None:
    """Plays the pairs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("checkout", type=Path)
    parser.add_argument("--pairs", type=int, default=20)
    given = parser.parse_args()
    scenario = Scenario(
        "start", "Starts.", 60.0, Fleet(gatekeepers=2, workers=1, members=False), Load(customers=0)
    )
    with Processes(scenario, 1, ROOT) as ours, Processes(scenario, 1, given.checkout.resolve()) as theirs:
        pairs = [(once(ours), once(theirs)) for _ in range(given.pairs)]
    for what, at in (("ms until it serves", 0), ("KB of memory of its own", 1)):
        ratios = [ours[at] / theirs[at] for ours, theirs in pairs]
        medians = [statistics.median(pair[side][at] for pair in pairs) for side in (0, 1)]
        print(
            f"{what}: {medians[0]:.0f}, the other {medians[1]:.0f};"
            f" ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


if __name__ == "__main__":
    main()
