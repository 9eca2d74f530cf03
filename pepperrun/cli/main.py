"""The sub-commands. Exit codes: 0 fine, 1 remarks or a goal not met, 2 bad input, told in one line."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import metadata

import click

from pepperrun.cli.bench import bench
from pepperrun.cli.capture import capture
from pepperrun.cli.config import config
from pepperrun.cli.lab import lab
from pepperrun.cli.members import members
from pepperrun.cli.plan import plan


def version() -> str:
    """The installed version, or that of a checkout."""
    try:
        return metadata.version("pepperrun")
    except metadata.PackageNotFoundError:
        return "0.3.0.dev0 (checkout)"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(version(), prog_name="pepperrun")
def command() -> None:
    """A gatekeeper sidecar for a service that is sold by plan.

    Without a sub-command it runs a gatekeeper of the file named by NODE_CONFIG:
    pepperrun [--forward-auth FILE] [--metrics FILE] [--clients FILE] [--capture DIR]
    [--members FILE] [--log-format text|json].
    """


@command.command(
    context_settings={"ignore_unknown_options": True, "help_option_names": []}, add_help_option=False
)
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def run(arguments: tuple[str, ...]) -> int:
    """Run a gatekeeper, as without a sub-command."""
    from pepperrun.serve import serve

    return serve(list(arguments))


command.add_command(config)
command.add_command(bench)
command.add_command(capture)
command.add_command(lab)
command.add_command(members)
command.add_command(plan)


def main(arguments: Sequence[str]) -> int:
    """Runs a sub-command; the exit code."""
    try:
        code = command.main(list(arguments), prog_name="pepperrun", standalone_mode=False)
    except click.ClickException as error:
        # One line, whatever was wrong; click's own would be three.
        print(f"pepperrun: {' '.join(error.format_message().split())}", file=sys.stderr)
        return 2
    except (click.exceptions.Abort, KeyboardInterrupt):
        print("pepperrun: stopped", file=sys.stderr)
        return 1
    except BrokenPipeError:  # whoever read the output has seen enough
        sys.stderr.close()
        return 0
    return code if isinstance(code, int) else 0
