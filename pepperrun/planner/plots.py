"""Plots of the planner's results."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  (after the backend is chosen)


def plan_plot(result: dict[str, Any], path: Path) -> None:
    """Plots service by nodes, the use of resources by load, and latencies by class and load."""
    figure, (nodes, load, times) = pyplot.subplots(1, 3, figsize=(15, 4.5))
    tried = {
        int(count): digest["service"] for count, digest in result.get("fewest", {}).get("tried", {}).items()
    }
    counts = sorted(tried)
    means = [tried[count]["mean"] for count in counts]
    errors = [
        [tried[count]["mean"] - tried[count]["low"] for count in counts],
        [tried[count]["high"] - tried[count]["mean"] for count in counts],
    ]
    nodes.errorbar(counts, means, errors, marker="o", capsize=3)
    nodes.axhline(result["goal"], linestyle=":", color="grey")
    nodes.set(xlabel="nodes", ylabel="service (95% over seeds)", ylim=(0, 1.02))
    for name in ("node_work", "node_held", "turned_away", "gatekeeper_cpu"):
        steps = result.get("breaks", {}).get("steps", [])
        load.plot(
            [step["load"] for step in steps],
            [step["busiest"][name] for step in steps],
            marker=".",
            label=name,
        )
    steps = result.get("breaks", {}).get("steps", [])
    load.plot(
        [step["load"] for step in steps],
        [step["service"]["mean"] for step in steps],
        color="black",
        marker="o",
        label="service",
    )
    load.set(xlabel="times the load", ylim=(0, 1.1))
    load.legend(fontsize="small")
    for name in result["today"]["times_ms"]:
        shown = [step for step in steps if name in step["times_ms"]]
        (drawn,) = times.plot(
            [step["load"] for step in shown], [step["times_ms"][name]["p50"] for step in shown], ":"
        )
        times.plot(
            [step["load"] for step in shown],
            [step["times_ms"][name]["p99"] for step in shown],
            color=drawn.get_color(),
            marker=".",
            label=name,
        )
    times.set(xlabel="times the load", ylabel="ms: p50 dotted, p99", yscale="log")
    if result["today"]["times_ms"] and steps:
        times.legend(fontsize="small")
    for axis in (nodes, load, times):
        axis.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
