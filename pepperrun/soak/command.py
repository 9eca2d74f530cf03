"""The operator's command `soak`: its options, the run, the report and the exit code."""

from __future__ import annotations

import argparse
from dataclasses import fields
from typing import Any

from pepperrun.soak.run import Options, run_soak

EXIT_OK, EXIT_FINDINGS = 0, 1
OPTION_HELP = {
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


def run_command(arguments: argparse.Namespace) -> int:
    """Play one run and print its report."""
    options = Options(**{option.name: getattr(arguments, option.name) for option in fields(Options)})
    report = run_soak(options, arguments.keep)
    print(report.text())
    return EXIT_OK if report.is_good else EXIT_FINDINGS


def register(commands: Any) -> None:
    """Add the command to those of `operatorctl`."""
    text = "run a small system under planned work in series, and judge each request"
    parser = commands.add_parser("soak", help=text, description=text)
    parser.set_defaults(does=run_command)
    for option in fields(Options):
        flag = "--" + option.name.removesuffix("_s").replace("_", "-")
        help_text = f"{OPTION_HELP[option.name]} ({option.default})"
        parser.add_argument(
            flag, dest=option.name, type=type(option.default), default=option.default, help=help_text
        )
    parser.add_argument(
        "--keep", metavar="DIR", help="settings, logs, records and report go there (else a new one)"
    )
