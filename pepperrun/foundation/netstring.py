"""Netstrings of JSON: how the system's own processes frame what they tell each other.

A frame is the length in decimal digits, a colon, that many bytes, a comma (Bernstein's netstring). The bytes
are one JSON object with a kind `k`; its fields grow by new names only, and unknown kinds are passed over.
"""

from __future__ import annotations

import json
from typing import Any

from pepperrun.foundation.errors import HiveError

MOST = 8 * 1024 * 1024  # bytes of one frame: a configuration of thousands of routes is under 2 MB
DIGITS = len(str(MOST))

Message = dict[str, Any]

_dump = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


def encode(message: Message) -> bytes:
    """One frame."""
    body = _dump(message).encode()
    if len(body) > MOST:
        raise HiveError("frame-too-long", "encode", f"{len(body)} bytes, {MOST} at most")
    return b"%d:%b," % (len(body), body)


class Decoder:
    """Takes bytes as they come and gives whole messages; HiveError where they are no frames."""

    def __init__(self, most: int = MOST) -> None:
        self.buffer, self.most = bytearray(), most

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now."""
        self.buffer += data
        out: list[Message] = []
        at = 0
        while True:
            colon = self.buffer.find(b":", at, at + DIGITS + 1)
            if colon < 0:
                if len(self.buffer) - at > DIGITS:
                    raise HiveError("bad-frame", "decode", "no length")
                break
            digits = bytes(self.buffer[at:colon])
            if not digits.isdigit() or int(digits) > self.most:
                raise HiveError("bad-frame", "decode", "bad length")
            end = colon + 1 + int(digits)
            if len(self.buffer) <= end:
                break
            if self.buffer[end] != 0x2C:
                raise HiveError("bad-frame", "decode", "no comma")
            try:
                message = json.loads(self.buffer[colon + 1 : end])
            except ValueError:
                raise HiveError("bad-frame", "decode", "no JSON") from None
            if not isinstance(message, dict) or not isinstance(message.get("k"), str):
                raise HiveError("bad-frame", "decode", "no object with a kind")
            out.append(message)
            at = end + 1
        del self.buffer[:at]
        return out
