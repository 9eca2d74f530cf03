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
CHUNK_BYTES = 32 * 1024
MAX_STATE_BYTES = 32 * 1024 * 1024  # of the state in JSON
MAX_PARTIAL_BYTES = 32 * 1024  # bytes of a request that has begun, which travel with its connection
MAX_MESSAGE_BYTES = MAX_PARTIAL_BYTES + 256
_CLIENT = struct.Struct("<qqqqI")
# Answers, exchanges, last use, a part of a request and when it began, as listeners have it.
ConnectionSnapshot = tuple[int, int, int, bytes, int]


class MessageKind(IntEnum):
    """What a message says."""

    REQUEST_STATE = 1  # to the predecessor: decide no more, give what you know
    STATE_CHUNK = 2  # from it: a part of the state, packed
    STATE_END = 3  # from it: the state is whole, and its checksum
    PEER_SOCKET = 4  # from it: the peers' socket
    READY = 5  # to it: the successor takes clients
    CLIENT_CONNECTION = 6  # from it: a connection that owes nothing
    PEER_MESSAGE = 7  # to it: what a peer said
    REMAINDER = 8  # from it: what is left of what it held back, as packed JSON
    REJECTED = 9  # from it: not now


def encode(kind: MessageKind, body: bytes = b"") -> bytes:
    """A message of a kind and its bytes."""
    return bytes((kind, VERSION)) + body


def encode_client(snapshot: ConnectionSnapshot) -> bytes:
    """A connection's message."""
    response_count, request_count, last_used_at, partial, partial_started_at = snapshot
    return encode(
        MessageKind.CLIENT_CONNECTION,
        _CLIENT.pack(response_count, request_count, last_used_at, partial_started_at, len(partial)) + partial,
    )


def decode(data: bytes) -> tuple[MessageKind, bytes]:
    """A message's kind and bytes; ValueError where it can't be one, or is of another version."""
    if len(data) < 2:
        raise ValueError("half a message")
    if data[1] != VERSION:
        raise ValueError(f"version {data[1]}, {VERSION} is known")
    return MessageKind(data[0]), data[2:]


def decode_client(body: bytes) -> ConnectionSnapshot:
    """A connection's state; ValueError where it can't be one."""
    try:
        response_count, request_count, last_used_at, partial_started_at, length = _CLIENT.unpack_from(body)
    except struct.error as error:
        raise ValueError(str(error)) from None
    partial = body[_CLIENT.size :]
    if (
        len(partial) != length
        or length > MAX_PARTIAL_BYTES
        or min(response_count, request_count, last_used_at, partial_started_at) < 0
    ):
        raise ValueError("a connection's state is garbled")
    return response_count, request_count, last_used_at, partial, partial_started_at


def pack(table: Any) -> bytes:
    """JSON, compressed."""
    return zlib.compress(json.dumps(table, separators=(",", ":")).encode(), 1)


def unpack(data: bytes) -> Any:
    """What `pack` made; ValueError where it can't be that, or would take too much memory."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MAX_STATE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof or inflater.unused_data:
        raise ValueError("not whole, or too large")
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def state_messages(table: Any) -> Iterator[bytes]:
    """The messages that carry a state."""
    data = pack(table)
    for at in range(0, len(data), CHUNK_BYTES):
        yield encode(MessageKind.STATE_CHUNK, data[at : at + CHUNK_BYTES])
    yield encode(MessageKind.STATE_END, hashlib.sha256(data).digest())


class StateAssembler:
    """Puts a state together again."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.size = 0

    def add(self, body: bytes) -> None:
        """A part; ValueError past all bounds."""
        self.size += len(body)
        if self.size > MAX_STATE_BYTES:
            raise ValueError("the state is too large")
        self.chunks.append(body)

    def finish(self, digest: bytes) -> Any:
        """The state; ValueError where the checksum or the form is wrong."""
        data, self.chunks = b"".join(self.chunks), []
        if hashlib.sha256(data).digest() != digest:
            raise ValueError("the checksum is wrong")
        return unpack(data)
