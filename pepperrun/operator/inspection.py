"""Looking at a running process: asks it over one of its own links what it holds, and says that as text."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import Any

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.link import OPERATOR_CLASS, Link
from pepperrun.foundation.netstring import Message
from pepperrun.foundation.settings import Address

STEP = "asking what it holds"
TIMEOUT_S = 3.0


class Asker:
    """The user of one link: says what it wants to know once the other has said hello."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()

    def opened(self, link: Link, hello: Message) -> None:
        link.send({"k": "show"})

    def received(self, link: Link, message: Message) -> None:
        if message["k"] == "shown" and not self.answer.done():
            self.answer.set_result(message)

    def closed(self, link: Link) -> None:
        if not self.answer.done():
            error = PepperrunError("no-answer", STEP, "the link has ended", link.name)
            self.answer.set_exception(error)


async def query_process(where: Address, patience_s: float = TIMEOUT_S) -> Message:
    """What the process at that internal_port address holds; PepperrunError where it does not say."""
    peer, asker = f"{where[0]}:{where[1]}", Asker()
    hello = {
        "station": f"operator-{secrets.token_hex(4)}",
        "ip": "",
        "zone": "",
        "class": OPERATOR_CLASS,
        "life": 0,
    }
    try:
        async with asyncio.timeout(patience_s):
            loop = asyncio.get_running_loop()
            _, link = await loop.create_connection(lambda: Link(asker, lambda: hello), *where)
            try:
                return await asker.answer
            finally:
                link.close()
    except TimeoutError:
        detail = "no answer: it is of an earlier version, or busy"
        raise PepperrunError("no-answer", STEP, detail, peer) from None
    except OSError as error:
        raise PepperrunError("no-answer", STEP, str(error), peer) from None


def format_reply(shown: Message) -> str:
    """As lines. What is not known here is told as JSON, so that a later version's fields are seen, too."""
    lines = [f"{shown.get('station', '?')} ({shown.get('class', '?')}, zone {shown.get('zone', '?')})"]
    for name, value in shown.items():
        if name in ("k", "station", "class", "zone"):
            continue
        if name == "cells" and isinstance(value, dict):
            lines += _cells(value)
        elif name == "workers" and isinstance(value, dict):
            lines += [f"workers of {line}: {_counts(counts)}" for line, counts in value.items()]
        elif name == "shares" and isinstance(value, list):
            lines += [_share(one) for one in value]
        else:
            lines.append(f"{name.replace('_', ' ')}: {_short(value)}")
    return "\n".join(lines)


def _short(value: Any) -> str:
    if value is None:
        return "not known"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict) and not any(isinstance(one, dict | list) for one in value.values()):
        return _counts(value)
    if isinstance(value, list):
        return ", ".join(_item(one) for one in value) or "none"
    return value if isinstance(value, str) else json.dumps(value)


def _item(one: Any) -> str:
    if isinstance(one, list):
        return " ".join(map(str, one))
    return "(" + _counts(one) + ")" if isinstance(one, dict) else str(one)


def _counts(counts: dict[str, Any]) -> str:
    parts = [f"{name.replace('_', ' ')} {_short(value)}" for name, value in counts.items()]
    return ", ".join(parts) or "none"


def _cells(zones: dict[str, Any]) -> list[str]:
    lines = []
    for zone, held in zones.items():
        lines.append(f"zone {zone}:")
        lines += [f"  workers of {line}: {_counts(counts)}" for line, counts in held["workers"].items()]
        lines += [f"  gatekeeper {_counts(row)}" for row in held["guards"]]
        if not held["workers"] and not held["guards"]:
            lines.append("  nobody")
    return lines


def _share(one: dict[str, Any]) -> str:
    if one["rate"] is None:
        return f"share of {one['tenant']}: no quota"
    level = "unused" if one["level"] is None else f"{one['level']:g} there"
    return f"share of {one['tenant']}: {one['rate']:.3g}/s, {one['depth']:.3g} at most, {level}"
