"""`pepperrun members`: what a running gatekeeper knows of the others."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from pepperrun.admin.client import query_json
from pepperrun.config import parse_address


def worded(table: dict[str, Any]) -> str:
    """The answer for people."""
    view = table["view"]
    place = "".join(f" ({table[key]})" for key in ("region", "zone") if table.get(key))
    names = {row["member"]: row["name"] or str(row["member"]) for row in table["members"]}
    lines = [
        f"{names[table['me']]}{place}: {table['state']}, step {table['step']}, side {table['side']}"
        + (", doubts itself" if table["doubt"] else ""),
        f"view {view['number']} {view['digest']}, {len(view['members'])} of {len(table['members'])} members,"
        f" for {view['for_ms'] / 1000:.1f} s",
    ]
    if table["other_views"]:
        lines.append("other views are held by " + ", ".join(names[one] for one in table["other_views"]))
    for one, other in table["cuts"]:
        lines.append(f"cut: {names[one]} does not reach {names[other]}")
    for row in table["members"]:
        text = f"  {names[row['member']]:16} {row['state']:10}"
        if "for_ms" in row:
            text += f" for {row['for_ms'] / 1000:8.1f} s"
        if row.get("by") is not None:
            text += f", by {names[row['by']]}"
        if row.get("witnesses"):
            text += f" and {row['witnesses'] - 1} more"
        if row.get("reached") is False:
            text += ", not reached from here"
        lines.append(text)
    return "\n".join(lines)


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
@click.option("--watch", is_flag=True, help="Ask again each second until stopped.")
@click.option("--times", type=click.IntRange(1), default=None, help="With --watch: so many times.")
def members(address: str, as_json: bool, watch: bool, times: int | None) -> int:
    """Ask the gatekeeper whose second (admin) ADDRESS this is who is there.

    Exits with 1 where not all configured members are there, or they hold different views.
    """
    try:
        where = parse_address(address, "ADDRESS")
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    left = times if watch else 1
    while True:
        try:
            table = query_json(where)
        except (OSError, ValueError) as error:
            raise click.ClickException(f"{address}: {error}") from None
        click.echo(json.dumps(table) if as_json else worded(table))
        left = left - 1 if left is not None else None
        if left == 0:
            return 0 if table["side"] == "whole" and not table["other_views"] else 1
        time.sleep(1.0)
