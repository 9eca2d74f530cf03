"""The page: plots and tables of log files, as one HTML file."""

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


def change_delays(lines: list[LogEvent]) -> list[tuple[float, int, float]]:
    """Of each change at each gatekeeper: when it was called (s; else first told of), its number, ms."""
    out = []
    for number, one in find_changes(lines).items():
        begun = one.first_time_s
        if one.order is not None and "ms" in one.order.pairs:
            begun = one.order.time_s - float(one.order.pairs["ms"]) / 1000
        out += [(begun, number, (at - begun) * 1000) for at in one.gateway_times_s.values()]
    return out


def failures_by_second(lines: list[LogEvent]) -> dict[str, Counter[int]]:
    """By cause: requests of each second that were not served at the first try, in time."""
    start, out = lines[0].time_s, defaultdict[str, Counter[int]](Counter)
    for loss in loss_accounting.find_losses(lines):
        out[loss.cause][int(loss.time_s - start)] += loss.requests
    return out


def _over_time(axis: Any, causes: dict[str, Counter[int]], part: float = 1.0) -> None:
    for cause, counted in sorted(causes.items()):
        if counted.total():
            seconds = range(min(counted), max(counted) + 1)
            axis.plot(seconds, [counted[second] * part for second in seconds], marker=".", label=cause)
    if any(counted.total() for counted in causes.values()):
        axis.legend(fontsize="small")


def _figures(lines: list[LogEvent]) -> list[tuple[str, Any]]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    start, found = lines[0].time_s, []

    def plot(title: str, label: str) -> Any:
        figure, axis = pyplot.subplots(figsize=(9, 3.5))
        axis.set(xlabel="s", ylabel=label)
        found.append((title, figure))
        return axis

    axis = plot("Each change at each gatekeeper", "ms until in force")
    spans = change_delays(lines)
    axis.plot([at - start for at, _, _ in spans], [ms for _, _, ms in spans], "o", markersize=4, alpha=0.6)
    axis = plot("Depth of the tree of relays", "links from the core")
    depths = [
        (line.time_s - start, int(line.pairs["depth"]))
        for line in lines
        if line.pairs.get("depth", "").isdigit()
    ]
    axis.plot([at for at, _ in depths], [depth for _, depth in depths], "o", markersize=4)
    axis = plot("Requests not served at the first try in time, by cause", "requests a second")
    _over_time(axis, failures_by_second(lines))
    axis = plot("Worth lost, by cause (estimated)", "requests' worth a second")
    _over_time(axis, loss_accounting.lost_by_second(loss_accounting.find_losses(lines), start), 0.01)
    for _, figure in found:
        figure.axes[0].set_ylim(0, None)
    return found


def write_report(lines: list[LogEvent], out: Path) -> None:
    """Writes the page. PepperrunError `no-lines`, `no-matplotlib`."""
    if not lines:
        raise PepperrunError("no-lines", "report", "the logs hold no events")
    parts = [f"<!doctype html><meta charset=utf-8><title>pepperrun</title><style>{STYLE}</style>"]
    try:
        figures = _figures(lines)
    except ImportError:
        raise PepperrunError("no-matplotlib", "report", "plots need matplotlib") from None
    for title, figure in figures:
        data = io.BytesIO()
        figure.tight_layout()
        figure.savefig(data, format="png", dpi=100)
        figure.clear()
        text = base64.b64encode(data.getvalue()).decode()
        parts.append(f"<h2>{html.escape(title)}</h2><img alt='' src='data:image/png;base64,{text}'>")
    parts.append(f"<pre>{html.escape(chr(10).join(loss_accounting.format_table(lines)))}</pre>")
    for number in find_changes(lines):
        parts.append(f"<pre>{html.escape(chr(10).join(explain_change(number, lines)))}</pre>")
    out.write_text("\n".join(parts))
