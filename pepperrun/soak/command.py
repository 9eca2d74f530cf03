"""The operator's command `soak`: its options, its printed report and its exit code."""

from __future__ import annotations

import argparse
from dataclasses import fields
from typing import Any

from pepperrun.soak.run import Options, run_soak

EXIT_OK, EXIT_FINDINGS = 0, 1
OPTION_HELP = {
    "seed": "seed of all random draws",
    "seconds": "seconds of planned work",
    "cores": "control nodes",
    "gateways": "gateways",
    "workers": "toy workers per service",
    "clients": "clients, each with one connection",
    "at_once": "gateways restarted in one step of a rolling restart",
    "gap_s": "seconds between two steps of a rolling restart",
    "grace_s": "grace period in seconds, from SIGTERM",
    "leave_share": "share of the requests whose clients disconnect before the response",
}


def run_command(arguments: argparse.Namespace) -> int:
    """Run the soak test and print its report; return the exit code."""
    options = Options(**{option.name: getattr(arguments, option.name) for option in fields(Options)})
    report = run_soak(options, arguments.keep)
    print(report.text())
    return EXIT_OK if report.is_good else EXIT_FINDINGS


def register(commands: Any) -> None:
    """Add the command to those of `operatorctl`."""
    text = "run a small system under overlapping planned work and check each request"
    parser = commands.add_parser("soak", help=text, description=text)
    parser.set_defaults(does=run_command)
    for option in fields(Options):
        flag = "--" + option.name.removesuffix("_s").replace("_", "-")
        help_text = f"{OPTION_HELP[option.name]} ({option.default})"
        parser.add_argument(
            flag, dest=option.name, type=type(option.default), default=option.default, help=help_text
        )
    parser.add_argument(
        "--keep",
        metavar="DIR",
        help="directory for settings, logs, records and the report (default: a new temporary one)",
    )
