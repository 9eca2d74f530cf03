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

MAX_FRAME_BYTES = 8 * 1024 * 1024  # bytes of one frame: a configuration of thousands of routes is under 2 MB
MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))
DEFLATE = "deflate"  # how a hello says that deflated frames are read
COMPRESS_ABOVE_BYTES = 1400  # bytes: what goes in one packet anyway gains little
# A configuration of 1,600 routes shrinks from 373 KB to 44 KB in 2.7 ms; level 6 takes three times as long
# for 42 KB.
COMPRESSION_LEVEL = 1

Message = dict[str, Any]

_dump = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


def encode(message: Message) -> bytes:
    """One frame."""
    body = _dump(message).encode()
    if len(body) > MAX_FRAME_BYTES:
        raise PepperrunError("frame-too-long", "encode", f"{len(body)} bytes, {MAX_FRAME_BYTES} at most")
    return b"%d:%b," % (len(body), body)


@lru_cache(maxsize=8)
def compress(frame: bytes) -> bytes:
    """A frame deflated, once for all links it goes to; itself where that makes it no shorter."""
    body = zlib.compress(frame[frame.index(b":") + 1 : -1], COMPRESSION_LEVEL)
    return b"%d:%b," % (len(body), body) if len(body) < len(frame) else frame


def wire_length(frame: bytes) -> int:
    """Bytes of a frame on a link."""
    return len(compress(frame)) if len(frame) > COMPRESS_ABOVE_BYTES else len(frame)


def _decompress(body: bytes, max_bytes: int) -> bytes:
    """What is in a deflated frame; it may grow to `max_bytes` bytes."""
    inflate = zlib.decompressobj()
    out = inflate.decompress(body, max_bytes)
    if not inflate.eof or inflate.unused_data:
        raise ValueError("not whole, or too long")
    return out


class Decoder:
    """Takes bytes as they come and gives whole messages; PepperrunError where they are no frames."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.buffer, self.max_bytes = bytearray(), max_bytes

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now."""
        self.buffer += data
        out: list[Message] = []
        at = 0
        while True:
            colon = self.buffer.find(b":", at, at + MAX_LENGTH_DIGITS + 1)
            if colon < 0:
                if len(self.buffer) - at > MAX_LENGTH_DIGITS:
                    raise PepperrunError("bad-frame", "decode", "no length")
                break
            digits = bytes(self.buffer[at:colon])
            if not digits.isdigit() or int(digits) > self.max_bytes:
                raise PepperrunError("bad-frame", "decode", "bad length")
            end = colon + 1 + int(digits)
            if len(self.buffer) <= end:
                break
            if self.buffer[end] != 0x2C:
                raise PepperrunError("bad-frame", "decode", "no comma")
            try:
                body: bytes | bytearray = self.buffer[colon + 1 : end]
                if body[:1] != b"{":
                    body = _decompress(bytes(body), self.max_bytes)
                message = json.loads(body)
            except (ValueError, zlib.error):
                raise PepperrunError("bad-frame", "decode", "no JSON") from None
            if not isinstance(message, dict) or not isinstance(message.get("k"), str):
                raise PepperrunError("bad-frame", "decode", "no object with a kind")
            out.append(message)
            at = end + 1
        del self.buffer[:at]
        return out
