"""Values of the options of `pepperrun lab`."""

from __future__ import annotations

import click


def seeds_of(context: click.Context, parameter: click.Parameter, value: str) -> list[int]:
    """`1`, `1,4` or `1-20`."""
    out: list[int] = []
    try:
        for part in value.split(","):
            first, _, last = part.partition("-")
            out += range(int(first), int(last or first) + 1)
    except ValueError:
        raise click.BadParameter(f"{value!r} is neither seeds nor a range") from None
    if not out or len(out) > 10_000:
        raise click.BadParameter("one to 10000 seeds")
    return out


def numbers(context: click.Context, parameter: click.Parameter, value: str) -> list[float]:
    """Numbers with commas between them."""
    try:
        found = [float(part) for part in value.split(",") if part]
    except ValueError:
        raise click.BadParameter(f"{value!r} is not a list of numbers") from None
    if any(one < 0 or one > 1024 for one in found):
        raise click.BadParameter("each must be from 0 to 1024")
    return found
