"""JSON messages in netstrings: the framing on links between the processes of the system.

A frame is the length in decimal digits, a colon, that many bytes, and a comma (Bernstein's netstring). The
bytes are one JSON object with a kind `k`. Later versions only add fields; receivers ignore unknown kinds.
Long frames are compressed (zlib) for peers whose hello lists that format in `packs`: the link of a gateway
may take four seconds for a megabyte, and traffic between regions is expensive.
"""

from __future__ import annotations

import json
import zlib
from functools import lru_cache
from typing import Any

from pepperrun.foundation.errors import PepperrunError

MAX_FRAME_BYTES = 8 * 1024 * 1024  # a configuration of thousands of routes is under 2 MB
MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))
DEFLATE = "deflate"  # name of the compression format in a hello
COMPRESS_ABOVE_BYTES = 1400  # a frame that fits in one packet gains little from compression
# Level 1 compresses a configuration of 1,600 routes from 373 KB to 44 KB in 2.7 ms. Level 6 takes three times
# as long to get to 42 KB.
COMPRESSION_LEVEL = 1

Message = dict[str, Any]

_dump_json = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode


def encode(message: Message) -> bytes:
    """Return the frame of a message.

    Raises
    ------
    PepperrunError
        The frame would be longer than `MAX_FRAME_BYTES`.
    """
    body = _dump_json(message).encode()
    if len(body) > MAX_FRAME_BYTES:
        raise PepperrunError(
            "frame-too-long", "encode", f"{len(body)} bytes, the limit is {MAX_FRAME_BYTES} bytes"
        )
    return b"%d:%b," % (len(body), body)


@lru_cache(maxsize=8)
def compress(frame: bytes) -> bytes:
    """Return a frame compressed, or unchanged if compression does not make it shorter.

    The cache lets a frame that goes to many links be compressed once.
    """
    body = zlib.compress(frame[frame.index(b":") + 1 : -1], COMPRESSION_LEVEL)
    return b"%d:%b," % (len(body), body) if len(body) < len(frame) else frame


def wire_length(frame: bytes) -> int:
    """Return the number of bytes that a frame takes on a link that accepts compressed frames."""
    return len(compress(frame)) if len(frame) > COMPRESS_ABOVE_BYTES else len(frame)


def _decompress(body: bytes, max_bytes: int) -> bytes:
    """Return the content of a compressed frame; ValueError if it is incomplete or longer than `max_bytes`."""
    inflate = zlib.decompressobj()
    content = inflate.decompress(body, max_bytes)
    if not inflate.eof or inflate.unused_data:
        raise ValueError("compressed data is incomplete or too long")
    return content


class Decoder:
    """Splits a stream of bytes into messages."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.buffer, self.max_bytes = bytearray(), max_bytes

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that `data` completes.

        Raises
        ------
        PepperrunError
            The bytes are not frames of messages, or a frame is longer than `max_bytes`.
        """
        self.buffer += data
        messages: list[Message] = []
        start = 0
        while True:
            colon = self.buffer.find(b":", start, start + MAX_LENGTH_DIGITS + 1)
            if colon < 0:
                if len(self.buffer) - start > MAX_LENGTH_DIGITS:
                    raise PepperrunError("bad-frame", "decode", "the frame does not begin with a length")
                break
            digits = bytes(self.buffer[start:colon])
            if not digits.isdigit() or int(digits) > self.max_bytes:
                raise PepperrunError("bad-frame", "decode", "the length is not a number or is over the limit")
            end = colon + 1 + int(digits)
            if len(self.buffer) <= end:
                break
            if self.buffer[end] != 0x2C:
                raise PepperrunError("bad-frame", "decode", "the frame does not end with a comma")
            try:
                body: bytes | bytearray = self.buffer[colon + 1 : end]
                if body[:1] != b"{":
                    body = _decompress(bytes(body), self.max_bytes)
                message = json.loads(body)
            except (ValueError, zlib.error):
                raise PepperrunError("bad-frame", "decode", "the content cannot be decoded as JSON") from None
            if not isinstance(message, dict) or not isinstance(message.get("k"), str):
                raise PepperrunError("bad-frame", "decode", "the message is not an object with a kind")
            messages.append(message)
            start = end + 1
        del self.buffer[:start]
        return messages
