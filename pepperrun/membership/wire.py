"""Encoding of the membership datagrams: at most 256 bytes, versioned and signed.

Little-endian:

    u8 magic and version (0xB1; ordinary messages begin with another byte), u8 key ID, u8 kind
    u8 local health score, u16 sender, u16 subject, u32 sender's generation
    u32 receiver's generation (0: unknown), u32 sequence
    u16 probe ID, u16 sender's incarnation, u32 name hash, u32 view number, u32 view digest
    u8 number of updates, u8 number of rows, u8 bytes in a row
    each update: u16 member, u32 generation, u16 incarnation, u16 reporter, u8 state
    each row: u16 member, u16 version, bitmap of the members that it reaches
    12 bytes: keyed BLAKE2b of all before

A generation is one start of a process; a later start has a larger number. An incarnation grows within a
generation each time that the member refutes an update about itself. `sequence` grows with each datagram of a
generation: a datagram with a used number, or for another generation of the receiver, is a replay.
"""

from __future__ import annotations

import enum
import hashlib
import struct
from dataclasses import dataclass, field
from typing import Protocol

from pepperrun.membership.keys import TAG_BYTES, KeyRing

MAGIC = 0xB1
MAX_DATAGRAM_BYTES = 256
NO_MEMBER = 0xFFFF  # no subject or reporter
MAX_MEMBERS = 1024  # with more, a row and an update no longer fit into a datagram
_HEADER = struct.Struct("<BBBBHHIIIHHIIIBBB")
_UPDATE = struct.Struct("<HIHHB")
_ROW = struct.Struct("<HH")
GENERATION_LIMIT = 2**32
INCARNATION_LIMIT = 2**16


class Kind(enum.IntEnum):
    """Type of a datagram; most types also carry piggybacked updates and rows."""

    PING = 1  # asks for an ACK with the same probe ID
    ACK = 2
    PING_REQ = 3  # asks a helper to ping `subject`
    NACK = 4  # a helper got no reply from `subject` in time; its link to the requester works
    SYNC_REQUEST = 5  # asks for the complete state
    SYNC_REPLY = 6  # a part of the complete state
    GOSSIP = 7  # updates and rows only
    NAME_CONFLICT = 8  # `subject` already has the receiver's name or number


class State(enum.IntEnum):
    """State of a member. Of two updates for one generation and incarnation, the larger state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


STATE_NAMES = {State.ALIVE: "there", State.SUSPECT: "suspected", State.DEAD: "dead", State.LEFT: "left"}
_KINDS = {int(kind): kind for kind in Kind}
_STATES = {int(state): state for state in State}


@dataclass(slots=True, frozen=True)
class Update:
    """A gossiped statement of `reporter` about a member's state."""

    member: int
    generation: int
    incarnation: int
    state: State
    reporter: int = NO_MEMBER


@dataclass(slots=True, frozen=True)
class ReachabilityRow:
    """The members that a member reaches, bit j for member j. A later version replaces an earlier one."""

    member: int
    version: int
    bitmap: int


@dataclass(slots=True)
class Datagram:
    """A decoded datagram."""

    kind: Kind
    sender: int
    generation: int
    receiver_generation: int = 0
    sequence: int = 0
    subject: int = NO_MEMBER
    probe_id: int = 0
    incarnation: int = 0
    name_hash: int = 0
    view_number: int = 0
    view_digest: int = 0
    local_health: int = 0
    updates: list[Update] = field(default_factory=list)
    rows: list[ReachabilityRow] = field(default_factory=list)


class Codec(Protocol):
    """Encodes a group's datagrams, with member numbers (static group) or wire IDs (learned group)."""

    def pack(self, datagram: Datagram) -> bytes: ...

    def unpack(self, data: bytes) -> Datagram | None: ...

    def update_capacity(self, rows: int) -> int: ...

    def row_capacity(self, updates: int) -> int: ...


def name_hash(name: str) -> int:
    """The hash of a member's name in datagrams."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "little")


def row_bytes(members: int) -> int:
    """Bytes of the bitmap of a row for that many members."""
    return (members + 7) // 8


def update_capacity(members: int, rows: int) -> int:
    """How many updates fit into a datagram with that many rows."""
    used = _HEADER.size + TAG_BYTES + rows * (_ROW.size + row_bytes(members))
    return max(0, (MAX_DATAGRAM_BYTES - used) // _UPDATE.size)


def row_capacity(members: int, updates: int) -> int:
    """How many rows fit into a datagram with that many updates."""
    used = _HEADER.size + TAG_BYTES + updates * _UPDATE.size
    return max(0, (MAX_DATAGRAM_BYTES - used) // (_ROW.size + row_bytes(members)))


def pack(datagram: Datagram, members: int, keys: KeyRing) -> bytes:
    """Encodes and signs a datagram; ValueError if it is longer than `MAX_DATAGRAM_BYTES`."""
    width = row_bytes(members)
    parts = [
        _HEADER.pack(
            *(MAGIC, keys.signing_id, datagram.kind, min(255, datagram.local_health)),
            *(
                datagram.sender,
                datagram.subject,
                datagram.generation,
                datagram.receiver_generation,
                datagram.sequence % GENERATION_LIMIT,
            ),
            *(
                datagram.probe_id,
                datagram.incarnation,
                datagram.name_hash,
                datagram.view_number % GENERATION_LIMIT,
                datagram.view_digest,
            ),
            *(len(datagram.updates), len(datagram.rows), width),
        )
    ]
    parts += [
        _UPDATE.pack(update.member, update.generation, update.incarnation, update.reporter, update.state)
        for update in datagram.updates
    ]
    for row in datagram.rows:
        parts.append(_ROW.pack(row.member, row.version) + row.bitmap.to_bytes(width, "little"))
    data = b"".join(parts)
    if len(data) + TAG_BYTES > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a datagram of {len(data) + TAG_BYTES} bytes is too long")
    return data + keys.tag(data, keys.signing_id)


def unpack(data: bytes, members: int, keys: KeyRing) -> Datagram | None:
    """Decodes a datagram; None if it is corrupt, forged, of another version, or has invalid values."""
    if not _HEADER.size + TAG_BYTES <= len(data) <= MAX_DATAGRAM_BYTES or data[0] != MAGIC:
        return None
    body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
    if not keys.verify(body, data[1], tag):
        return None
    (
        _,
        _,
        kind,
        health,
        sender,
        subject,
        generation,
        receiver_generation,
        sequence,
        probe,
        incarnation,
        name,
        view,
        digest,
        *counts,
    ) = _HEADER.unpack_from(body)
    updates, rows, width = counts
    rows_at = _HEADER.size + updates * _UPDATE.size
    width_matches = width == row_bytes(members)
    if (
        not width_matches
        or len(body) != rows_at + rows * (_ROW.size + width)
        or kind not in _KINDS
        or sender >= members
    ):
        return None
    datagram = Datagram(
        *(
            _KINDS[kind],
            sender,
            generation,
            receiver_generation,
            sequence,
            subject,
            probe,
            incarnation,
            name,
            view,
            digest,
            health,
        )
    )
    for member, its_generation, its_incarnation, reporter, state in _UPDATE.iter_unpack(
        body[_HEADER.size : rows_at]
    ):
        if member >= members or state not in _STATES or not (reporter < members or reporter == NO_MEMBER):
            return None
        datagram.updates.append(Update(member, its_generation, its_incarnation, _STATES[state], reporter))
    for offset in range(rows_at, len(body), _ROW.size + width):
        member, version = _ROW.unpack_from(body, offset)
        if member >= members:
            return None
        bits = int.from_bytes(body[offset + _ROW.size : offset + _ROW.size + width], "little")
        datagram.rows.append(ReachabilityRow(member, version, bits & ((1 << members) - 1)))
    return datagram


@dataclass(slots=True, frozen=True)
class SignedCodec:
    """The signed datagram format of a static group."""

    member_count: int
    keys: KeyRing

    def pack(self, datagram: Datagram) -> bytes:
        return pack(datagram, self.member_count, self.keys)

    def unpack(self, data: bytes) -> Datagram | None:
        return unpack(data, self.member_count, self.keys)

    def update_capacity(self, rows: int) -> int:
        return update_capacity(self.member_count, rows)

    def row_capacity(self, updates: int) -> int:
        return row_capacity(self.member_count, updates)
