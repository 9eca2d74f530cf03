"""`pepperrun capture`: looks at captures and makes them into others."""

from __future__ import annotations

import json
import os
import secrets
from pathlib import Path
from typing import Any

import click

PATH = click.Path(path_type=Path)


def load(path: Path) -> Any:
    """A capture file; one line and exit 2 where it can't be read."""
    from pepperrun.capture.format import decode_capture

    try:
        return decode_capture(path.read_bytes())
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def save(capture: Any, path: Path) -> int:
    """Writes a capture, all or nothing; 1 where it comes with remarks."""
    from pepperrun.capture.format import encode_capture

    new = path.with_name(path.name + ".new")
    try:
        new.write_bytes(encode_capture(capture))
        os.replace(new, path)
    except OSError as error:
        raise click.ClickException(f"{path}: {error}") from None
    for remark in capture.remarks:
        click.echo(f"{path}: {remark}", err=True)
    click.echo(f"{path}: {len(capture.entries)} requests")
    return 1 if capture.remarks else 0


def factors(context: click.Context, parameter: click.Parameter, values: tuple[str, ...]) -> dict[str, float]:
    """NAME=FACTOR, several times."""
    found = {}
    for value in values:
        name, _, number = value.partition("=")
        try:
            found[name] = float(number)
        except ValueError:
            raise click.BadParameter(f"{value!r} is not NAME=FACTOR") from None
    return found


@click.group()
def capture() -> None:
    """Show, merge, cut, scale and anonymise captured load."""


@capture.command()
@click.argument("file", type=PATH)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def show(file: Path, as_json: bool) -> int:
    """What a capture holds. Exits with 1 where something of it is missing."""
    from pepperrun.capture.edit import summarize

    what = summarize(load(file))
    if as_json:
        click.echo(json.dumps(what))
    else:
        for name, value in what.items():
            click.echo(f"{name:14} {json.dumps(value) if isinstance(value, dict | list) else value}")
    return 1 if what["remarks"] else 0


@capture.command()
@click.argument("files", type=PATH, nargs=-1, required=True)
@click.option("--out", type=PATH, required=True)
def merge(files: tuple[Path, ...], out: Path) -> int:
    """Several gatekeepers' FILES as one, in the order of time."""
    from pepperrun.capture.edit import merge as merged

    try:
        return save(merged([load(file) for file in files]), out)
    except ValueError as error:
        raise click.ClickException(str(error)) from None


@capture.command()
@click.argument("file", type=PATH)
@click.option("--from", "start", type=float, default=0.0, show_default=True, help="Seconds.")
@click.option("--to", "end", type=float, required=True, help="Seconds.")
@click.option("--out", type=PATH, required=True)
def cut(file: Path, start: float, end: float, out: Path) -> int:
    """A spell of a capture."""
    from pepperrun.capture.edit import cut as spell

    try:
        return save(spell(load(file), start, end), out)
    except ValueError as error:
        raise click.ClickException(str(error)) from None


@capture.command()
@click.argument("file", type=PATH)
@click.option("--by", "factor", type=float, default=1.0, show_default=True)
@click.option("--class", "classes", multiple=True, callback=factors, help="NAME=FACTOR")
@click.option("--plan", "plans", multiple=True, callback=factors, help="NAME=FACTOR")
@click.option("--seed", type=int, default=0, show_default=True)
@click.option("--out", type=PATH, required=True)
def scale(
    file: Path, factor: float, classes: dict[str, float], plans: dict[str, float], seed: int, out: Path
) -> int:
    """More or less load, in all or of a class or plan."""
    from pepperrun.capture.edit import scale as scaled

    try:
        return save(scaled(load(file), factor, classes, plans, seed), out)
    except ValueError as error:
        raise click.ClickException(str(error)) from None


@capture.command()
@click.argument("file", type=PATH)
@click.option("--out", type=PATH, required=True)
def anonymise(file: Path, out: Path) -> int:
    """Customers hashed anew with a key that nobody keeps; workers and gatekeepers only numbered."""
    from pepperrun.capture.edit import anonymise as anonymous

    return save(anonymous(load(file), secrets.token_bytes(32)), out)
