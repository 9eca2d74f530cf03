"""Plots of what the experiments found."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  (the backend is chosen first)


def idle_plot(found: dict[str, Any], path: Path) -> None:
    """Four panels over the number of silent connections: times, memory, CPU while silent, lateness."""
    steps = found["steps"]
    counts = [step["connections"] for step in steps]
    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7), sharex=True)
    times, memory, cpu, late = axes.flat
    for load, colour in (("steady", "tab:blue"), ("burst", "tab:orange")):
        for where, style in (("without", ":"), ("beside", "-")):
            values = [step[where][load]["p99_ms"] for step in steps]
            times.plot(counts, values, style, color=colour, marker="o", label=f"{load}, {where}")
    times.set(ylabel="confirmations' p99, ms", ylim=(0, None))
    times.legend(fontsize="small")
    memory.plot(counts, [max(1.0, step["user_bytes_each"]) for step in steps], marker="o", label="program")
    memory.plot(
        counts,
        [step["kernel_bytes_each_both_ends"] / 2 for step in steps],
        marker="o",
        label="kernel, an end",
    )
    memory.set(ylabel="bytes a connection", yscale="log")
    memory.legend(fontsize="small")
    cpu.plot(counts, [step["silent_cpu_ms_a_second"] for step in steps], marker="o")
    cpu.set(ylabel="CPU while all are silent, ms a second", ylim=(0, None), xlabel="silent connections")
    for part in ("p50_ms", "p99_ms"):
        late.plot(counts, [step["due_together"][part] for step in steps], marker="o", label=part[:3])
    late.plot(
        counts,
        [step["due_together"]["probe_most_ms"] for step in steps],
        marker="o",
        label="stall of the loop",
    )
    late.set(ylabel="all due at once: ms", yscale="log", xlabel="silent connections")
    late.legend(fontsize="small")
    for axis in axes.flat:
        axis.set_xscale("log")
        axis.grid(alpha=0.3)
    figure.suptitle("Silent connections of one gatekeeper")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
