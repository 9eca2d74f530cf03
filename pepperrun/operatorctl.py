"""The operator's command that checks files, changes the configuration, and looks at what runs."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Callable

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import parse_address
from pepperrun.operator import files, inspection, local_cluster, log_commands, problems, state
from pepperrun.operator.core_client import TIMEOUT_S, CoreClient, CoreResponse, parse_addresses
from pepperrun.soak import command as soak

GOOD, REFUSED, BAD, UNCERTAIN = 0, 1, 2, 3
EXITS = "exit codes: 0 good, 1 refused or problems found, 2 a file, an address or the command is no good, "
EXITS += "3 no clear answer: a change may be taken or not, repeat it unchanged"


def check(options: argparse.Namespace) -> int:
    """Tells each problem of each file."""
    worst = GOOD
    for path in options.files:
        try:
            if options.what == "timetable":
                found = problems.configuration_problems(files.read_as_json(path))
            else:
                found = problems.settings_problems(files.load_yaml(path))
        except PepperrunError as error:
            print(error.detail, file=sys.stderr)
            worst = BAD
            continue
        for sentence in found:
            print(f"{path}: {sentence}")
        if not found:
            print(f"{path}: good")
        worst = max(worst, REFUSED if found else GOOD)
    return worst


def _caller(options: argparse.Namespace) -> CoreClient:
    return CoreClient(parse_addresses(options.at), options.patience)


def _tell(told: CoreResponse) -> int:
    """The core's sentence; the exit code."""
    try:
        data = json.loads(told.body) if told.body else {}
        said = data.get("detail") or data.get("code") or ""
    except (ValueError, AttributeError):
        said = told.body[:200].decode("utf-8", "replace")
    good = 200 <= told.status < 300
    print(f"{told.status} {said}".strip(), file=sys.stdout if good else sys.stderr)
    return GOOD if good else REFUSED


def change(options: argparse.Namespace) -> int:
    """Puts a whole configuration, or changes named items."""
    body, caller = files.read_as_json(options.file), _caller(options)
    on = options.based_on
    if on is None:
        now = caller.call("GET", "/timetable/read")
        if now.status != 200:
            return _tell(now)
        on = int(json.loads(now.body)["edition"])
        print(f"based on edition {on}")
    path = "/timetable/replace" if options.command == "put" else "/timetable/amend"
    return _tell(caller.call("POST", path, body, {"Based-On": str(on)}))


def read(options: argparse.Namespace) -> int:
    """Prints the newest configuration."""
    told = _caller(options).call("GET", "/timetable/read")
    if told.status != 200:
        return _tell(told)
    print(json.dumps(json.loads(told.body), indent=None if options.compact else 1, ensure_ascii=False))
    return GOOD


def evacuate(options: argparse.Namespace) -> int:
    """Empties a zone, or takes it back."""
    word = "begin" if options.command == "evacuate" else "finish"
    return _tell(_caller(options).call("POST", f"/evacuate/{options.zone}/{word}"))


def show(options: argparse.Namespace) -> int:
    """What one process holds."""
    shown = asyncio.run(inspection.query_process(parse_address(options.where), options.patience))
    print(json.dumps(shown, indent=1) if options.json else inspection.format_reply(shown))
    return GOOD


def start_local_cluster(options: argparse.Namespace) -> int:
    """A small system on this machine."""
    sizes = local_cluster.Sizes(options.cores, options.gateways, options.workers, tuple(options.services))
    return local_cluster.run(sizes, options.folder, options.duration)


def parser() -> argparse.ArgumentParser:
    """The command line."""
    top = argparse.ArgumentParser(prog="python3 -m pepperrun.operatorctl", description=__doc__, epilog=EXITS)
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def command(name: str, does: Callable[[argparse.Namespace], int], text: str) -> argparse.ArgumentParser:
        one = commands.add_parser(name, help=text, description=text, epilog=EXITS)
        one.set_defaults(does=does)
        return one

    one = command("check", check, "tell all that is wrong with settings files or whole configurations")
    one.add_argument("what", choices=("settings", "timetable"))
    one.add_argument("files", nargs="+", metavar="FILE", help="JSON or YAML")
    for name, text in (("put", "put a whole configuration"), ("amend", "change named items of it")):
        one = command(name, change, text)
        one.add_argument("file", metavar="FILE", help="JSON or YAML, as the core reads it")
        one.add_argument(
            "--based-on",
            type=int,
            metavar="EDITION",
            help="what it builds on (else the edition that is read)",
        )
        _core(one)
    one = command("read", read, "print the newest configuration")
    one.add_argument("--compact", action="store_true", help="on one line")
    _core(one)
    for name, text in (("evacuate", "send nothing more to a zone"), ("restore", "use a zone again")):
        one = command(name, evacuate, text)
        one.add_argument("zone", metavar="ZONE")
        _core(one)
    one = command("show", show, "show what a running process holds")
    one.add_argument(
        "where", metavar="HOST:PORT", help="its own address: its ip and the first of the sidings"
    )
    one.add_argument("--json", action="store_true", help="as JSON, with all fields")
    one.add_argument("--patience", type=float, default=inspection.TIMEOUT_S, metavar="SECONDS")
    one = command("local-cluster", start_local_cluster, "start a small system on this machine, until Ctrl-C")
    one.add_argument("--cores", type=int, default=3, metavar="N", help="core machines (3)")
    one.add_argument("--gateways", type=int, default=3, metavar="N", help="gatekeepers (3)")
    one.add_argument("--workers", type=int, default=2, metavar="N", help="toy workers of each service (2)")
    one.add_argument(
        "--services", nargs="+", default=["search", "booking"], metavar="NAME", help="(search booking)"
    )
    one.add_argument("--folder", metavar="DIR", help="settings, disks and logs go there (else a new one)")
    one.add_argument("--for", dest="duration", type=float, metavar="SECONDS", help="end by itself")
    state.register(commands)
    log_commands.register(commands)
    soak.register(commands)
    return top


def _core(one: argparse.ArgumentParser) -> None:
    one.add_argument(
        "--at", required=True, metavar="HOST:PORT[,...]", help="control addresses of core machines"
    )
    one.add_argument(
        "--patience",
        type=float,
        default=TIMEOUT_S,
        metavar="SECONDS",
        help=f"for an answer ({TIMEOUT_S:g})",
    )


def main(arguments: list[str] | None = None) -> int:
    """The command; its exit code."""
    options = parser().parse_args(arguments)
    does: Callable[[argparse.Namespace], int] = options.does
    try:
        return does(options)
    except PepperrunError as error:
        print(f"{options.command}: {error}", file=sys.stderr)
        return UNCERTAIN if error.code == "no-answer" else BAD


if __name__ == "__main__":
    sys.exit(main())
