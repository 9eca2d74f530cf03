"""The command: a sub-command, or without one a gatekeeper."""

from __future__ import annotations

import sys

from pepperrun.serve import serve

HELP = ("-h", "--help", "--version")


def main(arguments: list[str]) -> int:
    """A sub-command, or without one a gatekeeper; the exit code."""
    if not arguments or arguments[0].startswith("-") and arguments[0] not in HELP:
        return serve(arguments)
    try:
        from pepperrun.cli.main import main as command
    except ImportError as error:
        print(f"pepperrun: {arguments[0]}: {error} (pip install 'pepperrun[tools]')", file=sys.stderr)
        return 2
    return command(arguments)


def entry() -> None:
    """The installed command."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    entry()
