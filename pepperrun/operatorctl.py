"""The operators' command: checks files, changes the configuration, and inspects running processes."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Callable

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import parse_address
from pepperrun.operator import files, inspection, local_cluster, log_commands, problems, state
from pepperrun.operator.control_client import TIMEOUT_S, ControlClient, ControlResponse, parse_addresses
from pepperrun.soak import command as soak

EXIT_OK, EXIT_REJECTED, EXIT_INVALID, EXIT_UNCERTAIN = 0, 1, 2, 3
EXIT_CODES_HELP = "exit codes: 0 good, 1 rejected or problems found, 2 invalid file, address or command, "
EXIT_CODES_HELP += "3 no final response: a change may be applied or not, repeat it unchanged"


def check(options: argparse.Namespace) -> int:
    """Prints each problem of each file. Returns the highest exit code."""
    exit_code = EXIT_OK
    for path in options.files:
        try:
            if options.what == "timetable":
                found = problems.configuration_problems(files.read_as_json(path))
            else:
                found = problems.settings_problems(files.load_yaml(path))
        except PepperrunError as error:
            print(error.detail, file=sys.stderr)
            exit_code = EXIT_INVALID
            continue
        for problem in found:
            print(f"{path}: {problem}")
        if not found:
            print(f"{path}: good")
        exit_code = max(exit_code, EXIT_REJECTED if found else EXIT_OK)
    return exit_code


def _client(options: argparse.Namespace) -> ControlClient:
    return ControlClient(parse_addresses(options.at), options.patience)


def _print_response(response: ControlResponse) -> int:
    """Prints the status and the sentence of a response. Returns the exit code."""
    try:
        data = json.loads(response.body) if response.body else {}
        detail = data.get("detail") or data.get("code") or ""
    except (ValueError, AttributeError):
        detail = response.body[:200].decode("utf-8", "replace")
    is_success = 200 <= response.status < 300
    print(f"{response.status} {detail}".strip(), file=sys.stdout if is_success else sys.stderr)
    return EXIT_OK if is_success else EXIT_REJECTED


def change(options: argparse.Namespace) -> int:
    """Puts a complete configuration, or changes named items of the current one."""
    body, client = files.read_as_json(options.file), _client(options)
    base_edition = options.based_on
    if base_edition is None:
        current = client.call("GET", "/timetable/read")
        if current.status != 200:
            return _print_response(current)
        base_edition = int(json.loads(current.body)["edition"])
        print(f"based on edition {base_edition}")
    path = "/timetable/replace" if options.command == "put" else "/timetable/amend"
    return _print_response(client.call("POST", path, body, {"Based-On": str(base_edition)}))


def read(options: argparse.Namespace) -> int:
    """Prints the newest configuration as JSON."""
    response = _client(options).call("GET", "/timetable/read")
    if response.status != 200:
        return _print_response(response)
    print(json.dumps(json.loads(response.body), indent=None if options.compact else 1, ensure_ascii=False))
    return EXIT_OK


def evacuate(options: argparse.Namespace) -> int:
    """Begins or finishes the evacuation of a zone."""
    action = "begin" if options.command == "evacuate" else "finish"
    return _print_response(_client(options).call("POST", f"/evacuate/{options.zone}/{action}"))


def show(options: argparse.Namespace) -> int:
    """Prints the state of one running process."""
    shown = asyncio.run(inspection.query_process(parse_address(options.where), options.patience))
    print(json.dumps(shown, indent=1) if options.json else inspection.format_reply(shown))
    return EXIT_OK


def start_local_cluster(options: argparse.Namespace) -> int:
    """Runs a small system on this machine until Ctrl-C or for a duration."""
    sizes = local_cluster.Sizes(options.cores, options.gateways, options.workers, tuple(options.services))
    return local_cluster.run(sizes, options.folder, options.duration)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line, with the handler of each command as `does`."""
    top = argparse.ArgumentParser(
        prog="python3 -m pepperrun.operatorctl", description=__doc__, epilog=EXIT_CODES_HELP
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add_command(
        name: str, handler: Callable[[argparse.Namespace], int], text: str
    ) -> argparse.ArgumentParser:
        parser = commands.add_parser(name, help=text, description=text, epilog=EXIT_CODES_HELP)
        parser.set_defaults(does=handler)
        return parser

    parser = add_command("check", check, "print all problems of settings files or complete configurations")
    parser.add_argument("what", choices=("settings", "timetable"))
    parser.add_argument("files", nargs="+", metavar="FILE", help="JSON or YAML")
    for name, text in (("put", "put a complete configuration"), ("amend", "change named items of it")):
        parser = add_command(name, change, text)
        parser.add_argument("file", metavar="FILE", help="JSON or YAML, in the form that the core reads")
        parser.add_argument(
            "--based-on",
            type=int,
            metavar="EDITION",
            help="the edition that the change is based on (default: the current one)",
        )
        _add_core_options(parser)
    parser = add_command("read", read, "print the newest configuration")
    parser.add_argument("--compact", action="store_true", help="on one line")
    _add_core_options(parser)
    for name, text in (("evacuate", "send no more requests to a zone"), ("restore", "use a zone again")):
        parser = add_command(name, evacuate, text)
        parser.add_argument("zone", metavar="ZONE")
        _add_core_options(parser)
    parser = add_command("show", show, "show the state of a running process")
    parser.add_argument(
        "where",
        metavar="HOST:PORT",
        help="its internal address: its ip and the first port of network.sidings",
    )
    parser.add_argument("--json", action="store_true", help="as JSON, with all fields")
    parser.add_argument("--patience", type=float, default=inspection.TIMEOUT_S, metavar="SECONDS")
    parser = add_command(
        "local-cluster", start_local_cluster, "run a small system on this machine until Ctrl-C"
    )
    parser.add_argument("--cores", type=int, default=3, metavar="N", help="control nodes (3)")
    parser.add_argument("--gateways", type=int, default=3, metavar="N", help="gatekeepers (3)")
    parser.add_argument("--workers", type=int, default=2, metavar="N", help="toy workers of each service (2)")
    parser.add_argument(
        "--services", nargs="+", default=["search", "booking"], metavar="NAME", help="(search booking)"
    )
    parser.add_argument(
        "--folder", metavar="DIR", help="for settings, disks and logs (default: a new temporary folder)"
    )
    parser.add_argument("--for", dest="duration", type=float, metavar="SECONDS", help="stop after this time")
    state.register(commands)
    log_commands.register(commands)
    soak.register(commands)
    return top


def _add_core_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--at", required=True, metavar="HOST:PORT[,...]", help="control addresses of control nodes"
    )
    parser.add_argument(
        "--patience",
        type=float,
        default=TIMEOUT_S,
        metavar="SECONDS",
        help=f"time-out for a final response ({TIMEOUT_S:g})",
    )


def main(arguments: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    options = build_parser().parse_args(arguments)
    handler: Callable[[argparse.Namespace], int] = options.does
    try:
        return handler(options)
    except PepperrunError as error:
        print(f"{options.command}: {error}", file=sys.stderr)
        return EXIT_UNCERTAIN if error.code == "no-answer" else EXIT_INVALID


if __name__ == "__main__":
    sys.exit(main())
