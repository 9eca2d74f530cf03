"""`pepperrun config`: writes and checks configurations."""

from __future__ import annotations

from pathlib import Path

import click

from pepperrun.tool import commands


@click.group()
def config() -> None:
    """Write and check an application's configuration."""


@config.command()
@click.argument("application", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), default=Path("config"), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def write(application: Path, out: Path, as_json: bool) -> int:
    """Write each gatekeeper's configuration from an APPLICATION's file (TOML)."""
    return commands.write_files(application, out, as_json)


@config.command()
@click.argument("files", type=click.Path(path_type=Path), nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def check(files: tuple[Path, ...], as_json: bool) -> int:
    """Check application, gatekeeper, forward-auth, metrics and clients FILES."""
    return commands.check_files(files, as_json)
