"""The commands `explain` and `report`, which evaluate log files and print text or write a page."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from pepperrun.operator import explain, loss_accounting, report
from pepperrun.operator.event_log import read_events


def _explain(options: argparse.Namespace) -> int:
    events = read_events(options.logs)
    if options.kind == "attempt":
        lines = explain.explain_attempt(options.id, events)
    else:
        lines = explain.explain_change(options.number, events)
    print("\n".join(lines))
    return 0


def _report(options: argparse.Namespace) -> int:
    events = read_events(options.logs)
    report.write_report(events, options.out)
    print("\n".join(loss_accounting.format_table(events)))
    print(options.out)
    return 0


def register(commands: Any) -> None:
    """Adds `explain` and `report` to a command's subparsers."""
    text = "explain from log files what happened to a request or a change"
    explain_parser = commands.add_parser("explain", help=text, description=text)
    kinds = explain_parser.add_subparsers(dest="kind", required=True, metavar="WHAT")
    attempt = kinds.add_parser("attempt", help="one request, from logs of gatekeepers that run with --trace")
    attempt.add_argument("id", metavar="ID", help="its Attempt-Id")
    change = kinds.add_parser("change", help="one number of the agreed state: when each process had it")
    change.add_argument("number", type=int, metavar="N", help="as in `show` and in the log lines `agreed`")
    report_parser = commands.add_parser("report", help="write a page with plots from log files")
    report_parser.add_argument("--out", type=Path, required=True, metavar="FILE", help="the HTML file")
    for command, handler in ((attempt, _explain), (change, _explain), (report_parser, _report)):
        command.add_argument("logs", nargs="+", type=Path, metavar="LOGFILE", help="one for each process")
        command.set_defaults(does=handler)
