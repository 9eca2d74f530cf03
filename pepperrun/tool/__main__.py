"""`python3 -m pepperrun.tool write` and `check`: as `pepperrun config`, on the standard library alone."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from pepperrun.tool import commands


def main(arguments: list[str]) -> int:
    """Runs a command; 0 if all is well, 1 where there are remarks, 2 where a file is no good."""
    parser = argparse.ArgumentParser(prog="pepperrun.tool", description=__doc__)
    choices = parser.add_subparsers(dest="command", required=True)
    writer = choices.add_parser(
        "write", help="write each gatekeeper's configuration from an application's file"
    )
    writer.add_argument("application", type=Path, help="the application's file (TOML)")
    writer.add_argument(
        "--out", type=Path, default=Path("config"), help="the folder to write to (%(default)s)"
    )
    checker = choices.add_parser(
        "check", help="check application, gatekeeper, forward-auth, metrics and clients files"
    )
    checker.add_argument("files", type=Path, nargs="+")
    options = parser.parse_args(arguments)
    if options.command == "write":
        return commands.write_files(options.application, options.out)
    return commands.check_files(options.files)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
