"""Lines (log reading): events of log files, in the order of their times.

Lines of different machines are put side by side by their time of day, which differs and may jump: spans
below the clocks' difference say nothing, and a negative one is told as it is. A file that holds the lines of
several processes, each after a time in seconds and the process's name, goes by that time, one for all.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from pepperrun.foundation.errors import PepperrunError

# absl's head: letter, month and day, time, process, place in the source.
_HEAD = re.compile(r"[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\S+ [^\]]*\] (event=.*)")
_GATHERED = re.compile(r"\s*(-?\d+\.\d+)\s+(\S+)\s+$")  # before the head: seconds by one clock, whose line
_PAIR = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')
LEAP_YEAR = 2000  # absl's head names no year


class LogEvent(NamedTuple):
    """One event: when (s, by the writer's time of day), whose log, and its pairs."""

    time_s: float
    source: str
    pairs: dict[str, str]


def parse_pairs(text: str) -> dict[str, str]:
    """The pairs of one line, as `foundation.logs.format_event` writes them."""
    out = {}
    for name, value in _PAIR.findall(text):
        try:
            out[name] = str(json.loads(value)) if value.startswith('"') else value
        except ValueError:
            out[name] = value
    return out


def read_events(paths: Iterable[Path]) -> list[LogEvent]:
    """All events of these logs in the order of their times; other lines are passed over. Raises `no-file`.

    A log is its process's: named by the station that a line of it tells, else by the file. In a gathered one
    each line names its process and its time.
    """
    lines: list[LogEvent] = []
    for path in paths:
        try:
            texts = path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise PepperrunError("no-file", "explaining", f"{path}: {error.strerror or error}") from None
        source, mine = path.stem, list[tuple[float, str, dict[str, str]]]()
        for text in texts:
            match = _HEAD.search(text)
            if match is None:
                continue
            try:
                when = datetime.strptime(f"{LEAP_YEAR} {match[1]}", "%Y %m%d %H:%M:%S.%f")
            except ValueError:
                continue
            pairs = parse_pairs(match[2])
            gathered = _GATHERED.match(text[: match.start()])
            if gathered is not None:
                lines.append(LogEvent(float(gathered[1]), gathered[2], pairs))
                continue
            if "station" in pairs and pairs["event"] in ("starting", "gateway", "agreed"):
                source = pairs["station"]
            mine.append(((when - datetime(LEAP_YEAR, 1, 1)).total_seconds(), source, pairs))
        lines += [LogEvent(at, source, pairs) for at, _, pairs in mine]
    return sorted(lines, key=lambda one: one.time_s)
