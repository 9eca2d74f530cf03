"""The commands `explain` and `report`: what log files tell, as text or as a page."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from pepperrun.operator import explain, loss_accounting, report
from pepperrun.operator.event_log import read_events


def _explain(options: argparse.Namespace) -> int:
    lines = read_events(options.logs)
    if options.kind == "attempt":
        told = explain.explain_attempt(options.id, lines)
    else:
        told = explain.explain_change(options.number, lines)
    print("\n".join(told))
    return 0


def _report(options: argparse.Namespace) -> int:
    lines = read_events(options.logs)
    report.write_report(lines, options.out)
    print("\n".join(loss_accounting.format_table(lines)))
    print(options.out)
    return 0


def register(commands: Any) -> None:
    """Adds `explain` and `report` to a command's subparsers."""
    text = "tell from log files what became of a request or a change"
    top = commands.add_parser("explain", help=text, description=text)
    kinds = top.add_subparsers(dest="kind", required=True, metavar="WHAT")
    one = kinds.add_parser("attempt", help="one request, of gatekeepers with --trace")
    one.add_argument("id", metavar="ID", help="its Attempt-Id")
    two = kinds.add_parser("change", help="one number of the agreed state: when it was in force where")
    two.add_argument("number", type=int, metavar="N", help="as `show` and the lines `agreed` tell it")
    three = commands.add_parser("report", help="a page with plots from log files")
    three.add_argument("--out", type=Path, required=True, metavar="FILE", help="HTML")
    for command, does in ((one, _explain), (two, _explain), (three, _report)):
        command.add_argument("logs", nargs="+", type=Path, metavar="LOGFILE", help="one for each process")
        command.set_defaults(does=does)
