"""The planner's plots."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  (the backend is chosen first)


def plan_plot(found: dict[str, Any], path: Path) -> None:
    """Service against nodes; what is exhausted as load grows; times by class against load."""
    figure, (nodes, load, times) = pyplot.subplots(1, 3, figsize=(15, 4.5))
    tried = {int(count): one["service"] for count, one in found.get("fewest", {}).get("tried", {}).items()}
    counts = sorted(tried)
    means = [tried[count]["mean"] for count in counts]
    errors = [
        [tried[count]["mean"] - tried[count]["low"] for count in counts],
        [tried[count]["high"] - tried[count]["mean"] for count in counts],
    ]
    nodes.errorbar(counts, means, errors, marker="o", capsize=3)
    nodes.axhline(found["goal"], linestyle=":", color="grey")
    nodes.set(xlabel="nodes", ylabel="service (95% over seeds)", ylim=(0, 1.02))
    for name in ("node_work", "node_held", "turned_away", "gatekeeper_cpu"):
        steps = found.get("breaks", {}).get("steps", [])
        load.plot(
            [step["load"] for step in steps],
            [step["busiest"][name] for step in steps],
            marker=".",
            label=name,
        )
    steps = found.get("breaks", {}).get("steps", [])
    load.plot(
        [step["load"] for step in steps],
        [step["service"]["mean"] for step in steps],
        color="black",
        marker="o",
        label="service",
    )
    load.set(xlabel="times the load", ylim=(0, 1.1))
    load.legend(fontsize="small")
    for name in found["today"]["times_ms"]:
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
    if found["today"]["times_ms"] and steps:
        times.legend(fontsize="small")
    for axis in (nodes, load, times):
        axis.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
