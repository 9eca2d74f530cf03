"""The `pepperrun` command: runs a gatekeeper, or the sub-command that is given."""

from __future__ import annotations

import sys

from pepperrun.serve import serve

HELP = ("-h", "--help", "--version")


def main(arguments: list[str]) -> int:
    """Runs the sub-command, or a gatekeeper without one, and returns the exit code."""
    if not arguments or arguments[0].startswith("-") and arguments[0] not in HELP:
        return serve(arguments)
    try:
        from pepperrun.cli.main import main as command
    except ImportError as error:
        print(f"pepperrun: {arguments[0]}: {error} (pip install 'pepperrun[tools]')", file=sys.stderr)
        return 2
    return command(arguments)


def entry() -> None:
    """Entry point of the installed command: exits with the code of `main`."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    entry()
