"""Messages between the process that serves and the one that takes its place. Does no I/O.

Each is one datagram of a Unix SOCK_SEQPACKET connection, with at most one descriptor. The two processes may
be of different versions of the program: the first message and the state carry a version of their own.
"""

from __future__ import annotations

import hashlib
import json
import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import Any

VERSION = 1  # of these messages and of what the state holds
CHUNK = 32 * 1024
MOST_STATE = 32 * 1024 * 1024  # of the state in JSON
MOST_HELD = 32 * 1024  # bytes of a request that has begun, which travel with its connection
MOST_MESSAGE = MOST_HELD + 256
_CLIENT = struct.Struct("<qqqqI")
# Answers, exchanges, last use, a part of a request and when it began, as listeners have it.
ClientState = tuple[int, int, int, bytes, int]


class Kind(IntEnum):
    """What a message says."""

    TAKE = 1  # to the predecessor: decide no more, give what you know
    STATE = 2  # from it: a part of the state, packed
    WHOLE = 3  # from it: the state is whole, and its checksum
    PEERS = 4  # from it: the peers' socket
    YES = 5  # to it: the successor takes clients
    CLIENT = 6  # from it: a connection that owes nothing
    HEARD = 7  # to it: what a peer said
    LEFT = 8  # from it: what is left of what it held back, as packed JSON
    NO = 9  # from it: not now


def plain(kind: Kind, body: bytes = b"") -> bytes:
    """A message of a kind and its bytes."""
    return bytes((kind, VERSION)) + body


def client(state: ClientState) -> bytes:
    """A connection's message."""
    answers, asked, since, held, held_at = state
    return plain(Kind.CLIENT, _CLIENT.pack(answers, asked, since, held_at, len(held)) + held)


def read(data: bytes) -> tuple[Kind, bytes]:
    """A message's kind and bytes; ValueError where it can't be one, or is of another version."""
    if len(data) < 2:
        raise ValueError("half a message")
    if data[1] != VERSION:
        raise ValueError(f"version {data[1]}, {VERSION} is known")
    return Kind(data[0]), data[2:]


def read_client(body: bytes) -> ClientState:
    """A connection's state; ValueError where it can't be one."""
    try:
        answers, asked, since, held_at, length = _CLIENT.unpack_from(body)
    except struct.error as error:
        raise ValueError(str(error)) from None
    held = body[_CLIENT.size :]
    if len(held) != length or length > MOST_HELD or min(answers, asked, since, held_at) < 0:
        raise ValueError("a connection's state is garbled")
    return answers, asked, since, held, held_at


def packed(table: Any) -> bytes:
    """JSON, compressed."""
    return zlib.compress(json.dumps(table, separators=(",", ":")).encode(), 1)


def unpacked(data: bytes) -> Any:
    """What `packed` made; ValueError where it can't be that, or would take too much memory."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MOST_STATE)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof or inflater.unused_data:
        raise ValueError("not whole, or too large")
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def state(table: Any) -> Iterator[bytes]:
    """The messages that carry a state."""
    data = packed(table)
    for at in range(0, len(data), CHUNK):
        yield plain(Kind.STATE, data[at : at + CHUNK])
    yield plain(Kind.WHOLE, hashlib.sha256(data).digest())


class Assembly:
    """Puts a state together again."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0

    def add(self, body: bytes) -> None:
        """A part; ValueError past all bounds."""
        self.size += len(body)
        if self.size > MOST_STATE:
            raise ValueError("the state is too large")
        self.parts.append(body)

    def whole(self, digest: bytes) -> Any:
        """The state; ValueError where the checksum or the form is wrong."""
        data, self.parts = b"".join(self.parts), []
        if hashlib.sha256(data).digest() != digest:
            raise ValueError("the checksum is wrong")
        return unpacked(data)
