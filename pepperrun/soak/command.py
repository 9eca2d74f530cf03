"""The operator's command `soak`: its options, the run, the report and the exit code."""

from __future__ import annotations

import argparse
from dataclasses import fields
from typing import Any

from pepperrun.soak.run import Options, soak

GOOD, FOUND = 0, 1
MEANINGS = {
    "seed": "what the run follows from",
    "seconds": "for which the series go on",
    "cores": "control nodes",
    "gateways": "gatekeepers",
    "workers": "toy workers of each service",
    "clients": "clients, each with a connection",
    "at_once": "gatekeepers that are stopped in one step of a roll",
    "gap_s": "seconds between two steps",
    "grace_s": "seconds from SIGTERM on",
    "leave_share": "of the requests, whose clients leave before the answer",
}


def play(given: argparse.Namespace) -> int:
    """Play one run and print its report."""
    options = Options(**{one.name: getattr(given, one.name) for one in fields(Options)})
    report = soak(options, given.keep)
    print(report.text())
    return GOOD if report.is_good else FOUND


def register(commands: Any) -> None:
    """Add the command to those of `operatorctl`."""
    text = "run a small system under planned work in series, and judge each request"
    part = commands.add_parser("soak", help=text, description=text)
    part.set_defaults(does=play)
    for one in fields(Options):
        flag = "--" + one.name.removesuffix("_s").replace("_", "-")
        said = f"{MEANINGS[one.name]} ({one.default})"
        part.add_argument(flag, dest=one.name, type=type(one.default), default=one.default, help=said)
    part.add_argument(
        "--keep", metavar="DIR", help="settings, logs, records and report go there (else a new one)"
    )
