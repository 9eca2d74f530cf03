"""Netstrings of JSON: how the system's own processes frame what they tell each other.

A frame is the length in decimal digits, a colon, that many bytes, a comma (Bernstein's netstring). The bytes
are one JSON object with a kind `k`; its fields grow by new names only, and unknown kinds are passed over.
Long ones go deflated (zlib) to those who say in their hello that they read that (`packs`): a gatekeeper's
link may take four seconds for a megabyte, and bytes between regions are dear.
"""

from __future__ import annotations

import json
import zlib
from functools import lru_cache
from typing import Any

from pepperrun.foundation.errors import PepperrunError

MOST = 8 * 1024 * 1024  # bytes of one frame: a configuration of thousands of routes is under 2 MB
DIGITS = len(str(MOST))
PACKS = "deflate"  # how a hello says that deflated frames are read
LONG = 1400  # bytes: what goes in one packet anyway gains little
LEVEL = 1  # a configuration of 1,600 routes: 373 KB to 44 KB in 2.7 ms; level 6 takes three times that for 42

Message = dict[str, Any]

_dump = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


def encode(message: Message) -> bytes:
    """One frame."""
    body = _dump(message).encode()
    if len(body) > MOST:
        raise PepperrunError("frame-too-long", "encode", f"{len(body)} bytes, {MOST} at most")
    return b"%d:%b," % (len(body), body)


@lru_cache(maxsize=8)
def packed(frame: bytes) -> bytes:
    """A frame deflated, once for all links it goes to; itself where that makes it no shorter."""
    body = zlib.compress(frame[frame.index(b":") + 1 : -1], LEVEL)
    return b"%d:%b," % (len(body), body) if len(body) < len(frame) else frame


def length(frame: bytes) -> int:
    """Bytes of a frame on a link."""
    return len(packed(frame)) if len(frame) > LONG else len(frame)


def _unpacked(body: bytes, most: int) -> bytes:
    """What is in a deflated frame; it may grow to `most` bytes."""
    inflate = zlib.decompressobj()
    out = inflate.decompress(body, most)
    if not inflate.eof or inflate.unused_data:
        raise ValueError("not whole, or too long")
    return out


class Decoder:
    """Takes bytes as they come and gives whole messages; PepperrunError where they are no frames."""

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
                    raise PepperrunError("bad-frame", "decode", "no length")
                break
            digits = bytes(self.buffer[at:colon])
            if not digits.isdigit() or int(digits) > self.most:
                raise PepperrunError("bad-frame", "decode", "bad length")
            end = colon + 1 + int(digits)
            if len(self.buffer) <= end:
                break
            if self.buffer[end] != 0x2C:
                raise PepperrunError("bad-frame", "decode", "no comma")
            try:
                body: bytes | bytearray = self.buffer[colon + 1 : end]
                if body[:1] != b"{":
                    body = _unpacked(bytes(body), self.most)
                message = json.loads(body)
            except (ValueError, zlib.error):
                raise PepperrunError("bad-frame", "decode", "no JSON") from None
            if not isinstance(message, dict) or not isinstance(message.get("k"), str):
                raise PepperrunError("bad-frame", "decode", "no object with a kind")
            out.append(message)
            at = end + 1
        del self.buffer[:at]
        return out
