"""Reads the events of log files, in the order of their times.

Events of different machines are ordered by each machine's wall clock. These clocks differ and may jump, so
a time span below the difference of two clocks has no meaning; a negative span is reported as it is. In a file
with the lines of several processes, where each line starts with a time in seconds and the process's name,
that time is used instead: it comes from one clock for all processes.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from pepperrun.foundation.errors import PepperrunError

# The line prefix of absl: severity letter, month and day, time, process, position in the source.
_LOG_PREFIX = re.compile(r"[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6}) +\S+ [^\]]*\] (event=.*)")
# Precedes it in a file of several processes: time in s on one common clock, name of the process.
_COMBINED_PREFIX = re.compile(r"\s*(-?\d+\.\d+)\s+(\S+)\s+$")
_PAIR = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')
LEAP_YEAR = 2000  # absl's prefix has no year; in a leap year February 29 is valid


class LogEvent(NamedTuple):
    """One event: its time (s, on the writer's wall clock), the process that logged it, and its pairs."""

    time_s: float
    source: str
    pairs: dict[str, str]


def parse_pairs(text: str) -> dict[str, str]:
    """Returns the pairs of one line as written by `foundation.logs.format_event`."""
    pairs = {}
    for name, value in _PAIR.findall(text):
        try:
            pairs[name] = str(json.loads(value)) if value.startswith('"') else value
        except ValueError:
            pairs[name] = value
    return pairs


def read_events(paths: Iterable[Path]) -> list[LogEvent]:
    """Returns all events of these logs in the order of their times. Skips other lines. Raises `no-file`.

    All events of a file are attributed to one process. Its name is the station that one of its lines reports,
    otherwise the file's name. In a file of several processes each line has its own process name and time.
    """
    events: list[LogEvent] = []
    for path in paths:
        try:
            lines = path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise PepperrunError("no-file", "explaining", f"{path}: {error.strerror or error}") from None
        source, file_events = path.stem, list[tuple[float, str, dict[str, str]]]()
        for line in lines:
            match = _LOG_PREFIX.search(line)
            if match is None:
                continue
            try:
                when = datetime.strptime(f"{LEAP_YEAR} {match[1]}", "%Y %m%d %H:%M:%S.%f")
            except ValueError:
                continue
            pairs = parse_pairs(match[2])
            combined = _COMBINED_PREFIX.match(line[: match.start()])
            if combined is not None:
                events.append(LogEvent(float(combined[1]), combined[2], pairs))
                continue
            if "station" in pairs and pairs["event"] in ("starting", "gateway", "agreed"):
                source = pairs["station"]
            file_events.append(((when - datetime(LEAP_YEAR, 1, 1)).total_seconds(), source, pairs))
        events += [LogEvent(time_s, source, pairs) for time_s, _, pairs in file_events]
    return sorted(events, key=lambda event: event.time_s)
