"""Processors to which the processes of an experiment may be pinned: those that other programs leave idle.

A process that is pinned to a processor on which others run all the time may wait for its turn for minutes.
"""

from __future__ import annotations

import functools
import os
import time
from collections.abc import Iterable, Mapping
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SAMPLE_S = 0.2
IDLE_COLUMN = 4  # of a processor's line in /proc/stat
IDLE_SHARE = 0.5  # of the sample; a processor that was idle for less is in use


def idle_ticks(stat: str) -> dict[int, int]:
    """Return by processor for how many clock ticks it has been idle, from the text of /proc/stat."""
    ticks = {}
    for line in stat.splitlines():
        columns = line.split()
        if columns and columns[0].startswith("cpu") and columns[0] != "cpu":
            ticks[int(columns[0].removeprefix("cpu"))] = int(columns[IDLE_COLUMN])
    return ticks


def idle_cpus(allowed: Iterable[int], before: Mapping[int, int], after: Mapping[int, int]) -> list[int]:
    """Return the allowed processors that were idle for `IDLE_SHARE` of a sample, in order."""
    needed = IDLE_SHARE * SAMPLE_S * TICKS_PER_S
    return [cpu for cpu in sorted(allowed) if after.get(cpu, 0) - before.get(cpu, 0) >= needed]


@functools.cache
def spare_cpus() -> list[int]:
    """Return the idle processors that this process may use; measured once for a process."""
    stat = Path("/proc/stat")
    before = idle_ticks(stat.read_text())
    time.sleep(SAMPLE_S)
    return idle_cpus(os.sched_getaffinity(0), before, idle_ticks(stat.read_text()))
