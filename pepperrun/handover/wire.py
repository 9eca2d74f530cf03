"""Messages between the serving process and its successor. Does no I/O.

Each message is one datagram of a Unix SOCK_SEQPACKET connection, with at most one descriptor. The two
processes may run different versions of the program: each message and the state carry a version number.
"""

from __future__ import annotations

import hashlib
import json
import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import Any

VERSION = 1  # of these messages and of the state's content
CHUNK_BYTES = 32 * 1024
MAX_STATE_BYTES = 32 * 1024 * 1024  # of the state as JSON
MAX_PARTIAL_BYTES = 32 * 1024  # of a partly received request, which is sent along with its connection
MAX_MESSAGE_BYTES = MAX_PARTIAL_BYTES + 256
_CLIENT = struct.Struct("<qqqqI")
# Counts of responses and of exchanges, time of the last use, a partial request and when that began, in ns:
# as `pepperrun.net.listener` defines it.
ConnectionSnapshot = tuple[int, int, int, bytes, int]


class MessageKind(IntEnum):
    """Kind of a message; the number is sent."""

    REQUEST_STATE = 1  # to the predecessor: stop deciding and send the state
    STATE_CHUNK = 2  # from the predecessor: a chunk of the compressed state
    STATE_END = 3  # from the predecessor: the state is complete; its checksum
    PEER_SOCKET = 4  # from the predecessor: the socket for messages of peers
    READY = 5  # to the predecessor: the successor accepts clients
    CLIENT_CONNECTION = 6  # from the predecessor: a client connection without pending responses
    PEER_MESSAGE = 7  # to the predecessor: a copy of a peer's message
    REMAINDER = 8  # from the predecessor: the unused rest of what it retained, as compressed JSON
    REJECTED = 9  # from the predecessor: no handover now


def encode(kind: MessageKind, body: bytes = b"") -> bytes:
    """Returns a message: one byte each for kind and version, then the body."""
    return bytes((kind, VERSION)) + body


def encode_client(snapshot: ConnectionSnapshot) -> bytes:
    """Returns the message that describes a client connection; its descriptor is sent along."""
    response_count, request_count, last_used_at, partial, partial_started_at = snapshot
    return encode(
        MessageKind.CLIENT_CONNECTION,
        _CLIENT.pack(response_count, request_count, last_used_at, partial_started_at, len(partial)) + partial,
    )


def decode(data: bytes) -> tuple[MessageKind, bytes]:
    """Returns a message's kind and body; raises ValueError if it is malformed or of another version."""
    if len(data) < 2:
        raise ValueError("the message has no kind and version")
    if data[1] != VERSION:
        raise ValueError(f"the message has version {data[1]}, but {VERSION} is expected")
    return MessageKind(data[0]), data[2:]


def decode_client(body: bytes) -> ConnectionSnapshot:
    """Returns a client connection's snapshot; raises ValueError if it is malformed."""
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
        raise ValueError("a connection's snapshot is malformed")
    return response_count, request_count, last_used_at, partial, partial_started_at


def pack(table: Any) -> bytes:
    """Returns a value as JSON, compressed with zlib."""
    return zlib.compress(json.dumps(table, separators=(",", ":")).encode(), 1)


def unpack(data: bytes) -> Any:
    """Returns the value that `pack` encoded; raises ValueError if it is malformed or too large."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MAX_STATE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof or inflater.unused_data:
        raise ValueError("the data is incomplete, too large or followed by other data")
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("the JSON is nested too deeply") from None


def state_messages(table: Any) -> Iterator[bytes]:
    """Yields the messages that carry a state: its chunks, then their SHA-256 digest."""
    data = pack(table)
    for at in range(0, len(data), CHUNK_BYTES):
        yield encode(MessageKind.STATE_CHUNK, data[at : at + CHUNK_BYTES])
    yield encode(MessageKind.STATE_END, hashlib.sha256(data).digest())


class StateAssembler:
    """Collects the chunks of a state."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.size = 0

    def add(self, body: bytes) -> None:
        """Adds a chunk; raises ValueError once the chunks exceed `MAX_STATE_BYTES`."""
        self.size += len(body)
        if self.size > MAX_STATE_BYTES:
            raise ValueError("the state is too large")
        self.chunks.append(body)

    def finish(self, digest: bytes) -> Any:
        """Returns the state; raises ValueError if the checksum is wrong or the data is malformed."""
        data, self.chunks = b"".join(self.chunks), []
        if hashlib.sha256(data).digest() != digest:
            raise ValueError("the checksum is wrong")
        return unpack(data)
