"""Asks a running process for its state over one of its internal links, and formats the reply as text."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import Any

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.link import OPERATOR_CLASS, Link
from pepperrun.foundation.netstring import Message
from pepperrun.foundation.settings import Address

STEP = "asking for the state of a process"
TIMEOUT_S = 3.0


class ShowRequest:
    """Handler of one link: sends `show` after the peer's hello and waits for `shown`."""

    def __init__(self) -> None:
        self.reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()

    def opened(self, link: Link, hello: Message) -> None:
        """Sends the request."""
        link.send({"k": "show"})

    def received(self, link: Link, message: Message) -> None:
        """Keeps the first reply; ignores all other messages of the peer."""
        if message["k"] == "shown" and not self.reply.done():
            self.reply.set_result(message)

    def closed(self, link: Link) -> None:
        """Fails the request if no reply has been received."""
        if not self.reply.done():
            error = PepperrunError("no-answer", STEP, "the link was closed before the reply", link.name)
            self.reply.set_exception(error)


async def query_process(address: Address, timeout_s: float = TIMEOUT_S) -> Message:
    """Returns the state of the process with this internal address.

    Raises PepperrunError `no-answer` if the process can't be reached or does not reply within `timeout_s`.
    """
    peer, request = f"{address[0]}:{address[1]}", ShowRequest()
    hello = {
        "station": f"operator-{secrets.token_hex(4)}",
        "ip": "",
        "zone": "",
        "class": OPERATOR_CLASS,
        "life": 0,
    }
    try:
        async with asyncio.timeout(timeout_s):
            loop = asyncio.get_running_loop()
            _, link = await loop.create_connection(lambda: Link(request, lambda: hello), *address)
            try:
                return await request.reply
            finally:
                link.close()
    except TimeoutError:
        detail = "no reply: the process is busy, or of a version that does not know `show`"
        raise PepperrunError("no-answer", STEP, detail, peer) from None
    except OSError as error:
        raise PepperrunError("no-answer", STEP, str(error), peer) from None


def format_reply(shown: Message) -> str:
    """Returns the state as lines of text.

    Fields unknown to this version are printed as JSON, so that fields of later versions are visible.
    """
    lines = [f"{shown.get('station', '?')} ({shown.get('class', '?')}, zone {shown.get('zone', '?')})"]
    for name, value in shown.items():
        if name in ("k", "station", "class", "zone"):
            continue
        if name == "cells" and isinstance(value, dict):
            lines += _format_zones(value)
        elif name == "workers" and isinstance(value, dict):
            lines += [f"workers of {service}: {_format_pairs(counts)}" for service, counts in value.items()]
        elif name == "shares" and isinstance(value, list):
            lines += [_format_quota_share(share) for share in value]
        else:
            lines.append(f"{name.replace('_', ' ')}: {_format_value(value)}")
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    if value is None:
        return "not known"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict) and not any(isinstance(one, dict | list) for one in value.values()):
        return _format_pairs(value)
    if isinstance(value, list):
        return ", ".join(_format_item(item) for item in value) or "none"
    return value if isinstance(value, str) else json.dumps(value)


def _format_item(item: Any) -> str:
    if isinstance(item, list):
        return " ".join(map(str, item))
    return "(" + _format_pairs(item) + ")" if isinstance(item, dict) else str(item)


def _format_pairs(pairs: dict[str, Any]) -> str:
    texts = [f"{name.replace('_', ' ')} {_format_value(value)}" for name, value in pairs.items()]
    return ", ".join(texts) or "none"


def _format_zones(zones: dict[str, Any]) -> list[str]:
    lines = []
    for zone, endpoints in zones.items():
        lines.append(f"zone {zone}:")
        lines += [
            f"  workers of {service}: {_format_pairs(counts)}"
            for service, counts in endpoints["workers"].items()
        ]
        lines += [f"  gatekeeper {_format_pairs(row)}" for row in endpoints["guards"]]
        if not endpoints["workers"] and not endpoints["guards"]:
            lines.append("  nobody")
    return lines


def _format_quota_share(share: dict[str, Any]) -> str:
    if share["rate"] is None:
        return f"share of {share['tenant']}: no quota"
    level = "unused" if share["level"] is None else f"{share['level']:g} there"
    return f"share of {share['tenant']}: {share['rate']:.3g}/s, {share['depth']:.3g} at most, {level}"
