"""Records by clients, workers and the planned work. Times are of the machine's monotonic clock, in ns."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path


class RunEnd(enum.StrEnum):
    """How a worker's run of a request ended."""

    ANSWERED = "answered"
    CUT = "cut"  # the connection closed while the worker ran the request
    WORKING = "working"  # still running at the end of the record


@dataclass(frozen=True)
class Run:
    """One run of a request, as its worker recorded it."""

    id: str
    worker: str
    started_ns: int
    ended_ns: int
    end: RunEnd
    duration_ns: int = 0  # intended duration of the work, if nothing cuts the run


@dataclass
class SentRequest:
    """One request, as its client observed it.

    Attributes
    ----------
    gateway : str
        Address of the gateway that received the request.
    status : int
        Of the response; 0 if the connection ended without a complete one.
    is_from_worker : bool
        Whether the response has a worker's `Postmark`.
    problem : str
        What is wrong with a success: the response of another request, or a changed body.
    disconnected_ns : int
        When the client disconnected without the response; 0 if it stayed.
    disconnect_kind : str
        How the client disconnected.
    """

    id: str
    gateway: str
    is_safe: bool
    sent_ns: int
    deadline_ns: int
    ended_ns: int = 0
    status: int = 0
    is_from_worker: bool = False
    problem: str = ""
    disconnected_ns: int = 0
    disconnect_kind: str = ""


@dataclass
class Stop:
    """A SIGTERM to a gateway; `ended_ns` is 0 while the process runs."""

    gateway: str
    signalled_ns: int
    ended_ns: int = 0


def read_runs(files: Iterable[Path]) -> list[Run]:
    """Return the runs that workers recorded; a truncated last line is skipped."""
    unfinished: dict[tuple[str, str, int], int] = {}
    runs: list[Run] = []
    for file in files:
        for line in file.read_text().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            key = (row["id"], row["worker"], row["began"])
            if "ended" not in row:
                unfinished[key] = row.get("takes", 0)
                continue
            duration_ns = unfinished.pop(key, 0)
            runs.append(Run(*key, row["ended"], RunEnd(row["end"]), duration_ns))
    return runs + [Run(*key, 0, RunEnd.WORKING, duration_ns) for key, duration_ns in unfinished.items()]
