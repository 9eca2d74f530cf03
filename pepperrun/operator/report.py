"""Writes plots and tables from log files as one HTML file."""

from __future__ import annotations

import base64
import html
import io
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from pepperrun.foundation.errors import PepperrunError
from pepperrun.operator import loss_accounting
from pepperrun.operator.event_log import LogEvent
from pepperrun.operator.explain import explain_change, find_changes

STYLE = "body{font:15px sans-serif;max-width:60em;margin:2em auto}pre{background:#f4f4f4}"


def change_delays(events: list[LogEvent]) -> list[tuple[float, int, float]]:
    """Returns the start (s), the version and the delay (ms) of each change at each gatekeeper.

    The start is the time of the operator's call; if that is not logged, of the first event of the version.
    """
    out = []
    for version, change in find_changes(events).items():
        start_s = change.first_time_s
        if change.order is not None and "ms" in change.order.pairs:
            start_s = change.order.time_s - float(change.order.pairs["ms"]) / 1000
        out += [(start_s, version, (time_s - start_s) * 1000) for time_s in change.gateway_times_s.values()]
    return out


def failures_by_second(events: list[LogEvent]) -> dict[str, Counter[int]]:
    """Returns by cause the number of requests in each second that no first attempt served in time."""
    start_s, out = events[0].time_s, defaultdict[str, Counter[int]](Counter)
    for loss in loss_accounting.find_losses(events):
        out[loss.cause][int(loss.time_s - start_s)] += loss.requests
    return out


def _plot_causes(axis: Any, causes: dict[str, Counter[int]], scale: float = 1.0) -> None:
    for cause, counts in sorted(causes.items()):
        if counts.total():
            seconds = range(min(counts), max(counts) + 1)
            axis.plot(seconds, [counts[second] * scale for second in seconds], marker=".", label=cause)
    if any(counts.total() for counts in causes.values()):
        axis.legend(fontsize="small")


def _figures(events: list[LogEvent]) -> list[tuple[str, Any]]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    start_s, figures = events[0].time_s, []

    def add_plot(title: str, label: str) -> Any:
        figure, axis = pyplot.subplots(figsize=(9, 3.5))
        axis.set(xlabel="s", ylabel=label)
        figures.append((title, figure))
        return axis

    axis = add_plot("Each change at each gatekeeper", "ms until in force")
    delays = change_delays(events)
    axis.plot(
        [at_s - start_s for at_s, _, _ in delays], [ms for _, _, ms in delays], "o", markersize=4, alpha=0.6
    )
    axis = add_plot("Depth of the distribution tree", "links from a control node")
    depths = [
        (event.time_s - start_s, int(event.pairs["depth"]))
        for event in events
        if event.pairs.get("depth", "").isdigit()
    ]
    axis.plot([at_s for at_s, _ in depths], [depth for _, depth in depths], "o", markersize=4)
    axis = add_plot("Requests not served in time by the first attempt, by cause", "requests per second")
    _plot_causes(axis, failures_by_second(events))
    axis = add_plot("Worth lost, by cause (estimated)", "worth of requests per second")
    _plot_causes(axis, loss_accounting.lost_by_second(loss_accounting.find_losses(events), start_s), 0.01)
    for _, figure in figures:
        figure.axes[0].set_ylim(0, None)
    return figures


def write_report(events: list[LogEvent], out: Path) -> None:
    """Writes the page to `out`. Raises PepperrunError `no-lines` or `no-matplotlib`."""
    if not events:
        raise PepperrunError("no-lines", "report", "the logs contain no events")
    parts = [f"<!doctype html><meta charset=utf-8><title>pepperrun</title><style>{STYLE}</style>"]
    try:
        figures = _figures(events)
    except ImportError:
        raise PepperrunError("no-matplotlib", "report", "plots need matplotlib") from None
    for title, figure in figures:
        data = io.BytesIO()
        figure.tight_layout()
        figure.savefig(data, format="png", dpi=100)
        figure.clear()
        text = base64.b64encode(data.getvalue()).decode()
        parts.append(f"<h2>{html.escape(title)}</h2><img alt='' src='data:image/png;base64,{text}'>")
    parts.append(f"<pre>{html.escape(chr(10).join(loss_accounting.format_table(events)))}</pre>")
    for version in find_changes(events):
        parts.append(f"<pre>{html.escape(chr(10).join(explain_change(version, events)))}</pre>")
    out.write_text("\n".join(parts))
