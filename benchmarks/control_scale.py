"""How long a change takes to be everywhere, and what it costs, by the number of gatekeepers, in the model.

    python3 benchmarks/control_scale.py --gates 84 400 1000 [--routes 1400] [--mbps 2] [--plot FILE.svg]

Gatekeepers in nine zones and three regions, twelve core machines; links of gatekeepers carry so many Mbit/s
each way, those of core machines sixty times that; frames are deflated as real links do. Processor time is
not modelled; `docs/SCALE.md` has what one process takes. A row: a change of one route, then one of so many
(`--routes`), each to all gatekeepers, ms from its acknowledgement.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pepperrun.simulation.distribution_world import MS
from pepperrun.simulation.narrow_links import ZONES, Narrow, told


def measure(gates: int, routes: int, mbps: float, seed: int) -> dict[str, float]:
    """One row."""
    world = Narrow(seed, mbps)
    zones = list(ZONES)
    for at in range(gates):
        world.gate(at, zones[at % len(zones)])
    world.change()
    began = world.now
    while world.lags(1) and world.now - began < 60_000 * MS:
        world.run(100)
    row = {"gates": float(gates), "start_s": (world.now - began) / 1e9}
    world.run(15_000)
    world.heard.clear(), world.sizes.clear()
    world.run(5000)
    row["core_msgs_s"] = max(world.heard[one.station] for one in world.control_nodes) / 5
    row["gate_bytes_s"] = max(world.sizes[one.station] for one in world.gates) / 5
    for name, count in (("one", 1), ("many", routes)):
        world.sizes.clear()
        times = told(world, count)
        row |= {f"{name}_p50": times[len(times) // 2], f"{name}_p99": times[int(len(times) * 0.99)]}
        row |= {f"{name}_worst": times[-1], f"{name}_held": float(len(times))}
        row[f"{name}_kb"] = max(world.sizes[one.station] for one in world.gates) / 1000
        world.run(3000)
    return row


def plot(rows: list[dict[str, float]], path: Path) -> None:
    """Times and messages against size."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4))
    sizes = [row["gates"] for row in rows]
    for name, label in (("one", "one route"), ("many", "many routes")):
        for part, style in (("p50", "--"), ("worst", "-")):
            times = [row[f"{name}_{part}"] for row in rows]
            left.plot(sizes, times, style, marker="o", label=f"{label}, {part}")
    left.set(xscale="log", yscale="log", xlabel="gatekeepers", ylabel="ms until held")
    left.legend(fontsize=7)
    right.plot(
        sizes, [row["core_msgs_s"] for row in rows], marker="o", label="messages a second, busiest core"
    )
    right.plot(
        sizes, [row["gate_bytes_s"] for row in rows], marker="o", label="bytes a second, busiest gatekeeper"
    )
    right.set(xscale="log", yscale="log", xlabel="gatekeepers")
    right.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gates", type=int, nargs="+", default=[84, 400, 1000])
    parser.add_argument("--routes", type=int, default=1400)
    parser.add_argument("--mbps", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", type=Path)
    given = parser.parse_args()
    rows = []
    for gates in given.gates:
        rows.append(measure(gates, given.routes, given.mbps, given.seed))
        print(" ".join(f"{name}={value:g}" for name, value in rows[-1].items()), flush=True)
    if given.plot:
        plot(rows, given.plot)


if __name__ == "__main__":
    main()
