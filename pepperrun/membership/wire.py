"""The datagrams of membership: at most 256 bytes, versioned and signed. Nothing here decides anything.

Little-endian:

    u8 mark and version (0xB1: ordinary messages begin with another byte), u8 key, u8 kind, u8 health
    u16 sender, u16 subject, u32 sender's life, u32 receiver's life (0: not known), u32 sequence
    u16 probe, u16 its incarnation, u32 name, u32 view's number, u32 view's digest
    u8 rumours, u8 rows, u8 bytes in a row
    rumours, each: u16 member, u32 life, u16 incarnation, u16 witness, u8 state
    rows, each: u16 member, u16 version, the bits of those whom it reaches
    12 bytes: BLAKE2b of all before, keyed

A life is one start of a process: later ones have larger numbers. An incarnation grows within a life each time
that the member denies what is said of it. `sequence` grows with each datagram of a life: an older one, or one
for another life of the receiver, is a replay.
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
NO_MEMBER = 0xFFFF  # a subject or witness that is none
MAX_MEMBERS = 1024  # a row and a rumour then still fit
_HEADER = struct.Struct("<BBBBHHIIIHHIIIBBB")
_UPDATE = struct.Struct("<HIHHB")
_ROW = struct.Struct("<HH")
GENERATION_LIMIT = 2**32
INCARNATION_LIMIT = 2**16


class Kind(enum.IntEnum):
    """What a datagram is for."""

    PING = 1  # answer with an ACK of this probe
    ACK = 2
    PING_REQ = 3  # ping `subject` for me
    NACK = 4  # `subject` did not answer me in time either: the asker's own path is fine
    SYNC_REQUEST = 5  # tell me all that you know
    SYNC_REPLY = 6  # a part of that
    GOSSIP = 7  # rumours only
    NAME_CONFLICT = 8  # `subject` has this name or number already


class State(enum.IntEnum):
    """What is said of a member. Of two words on one life and incarnation the larger one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


STATE_NAMES = {State.ALIVE: "there", State.SUSPECT: "suspected", State.DEAD: "dead", State.LEFT: "left"}
_KINDS = {int(kind): kind for kind in Kind}
_STATES = {int(state): state for state in State}


@dataclass(slots=True, frozen=True)
class Update:
    """What `witness` says of a member."""

    member: int
    generation: int
    incarnation: int
    state: State
    reporter: int = NO_MEMBER


@dataclass(slots=True, frozen=True)
class ReachabilityRow:
    """Whom a member reaches: bit j for member j. Later versions hold."""

    member: int
    version: int
    bitmap: int


@dataclass(slots=True)
class Datagram:
    """One datagram, unsigned."""

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
    """How a group's datagrams are written: of listed members by their numbers, or of learnt ones."""

    def pack(self, datagram: Datagram) -> bytes: ...

    def unpack(self, data: bytes) -> Datagram | None: ...

    def update_capacity(self, rows: int) -> int: ...

    def row_capacity(self, updates: int) -> int: ...


def name_hash(name: str) -> int:
    """A name as the wire has it."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "little")


def row_bytes(members: int) -> int:
    """Bytes of a row for so many members."""
    return (members + 7) // 8


def update_capacity(members: int, rows: int) -> int:
    """How many rumours fit beside so many rows."""
    taken = _HEADER.size + TAG_BYTES + rows * (_ROW.size + row_bytes(members))
    return max(0, (MAX_DATAGRAM_BYTES - taken) // _UPDATE.size)


def row_capacity(members: int, updates: int) -> int:
    """How many rows fit beside so many rumours."""
    taken = _HEADER.size + TAG_BYTES + updates * _UPDATE.size
    return max(0, (MAX_DATAGRAM_BYTES - taken) // (_ROW.size + row_bytes(members)))


def pack(datagram: Datagram, members: int, keys: KeyRing) -> bytes:
    """The signed bytes; ValueError where they would be too many."""
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
        _UPDATE.pack(one.member, one.generation, one.incarnation, one.reporter, one.state)
        for one in datagram.updates
    ]
    for row in datagram.rows:
        parts.append(_ROW.pack(row.member, row.version) + row.bitmap.to_bytes(width, "little"))
    data = b"".join(parts)
    if len(data) + TAG_BYTES > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a datagram of {len(data) + TAG_BYTES} bytes")
    return data + keys.tag(data, keys.signing_id)


def unpack(data: bytes, members: int, keys: KeyRing) -> Datagram | None:
    """The datagram in these bytes; None where it is garbled, forged, of another version or says nonsense."""
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
    wide = width == row_bytes(members)
    if (
        not wide
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
    for at in range(rows_at, len(body), _ROW.size + width):
        member, version = _ROW.unpack_from(body, at)
        if member >= members:
            return None
        bits = int.from_bytes(body[at + _ROW.size : at + _ROW.size + width], "little")
        datagram.rows.append(ReachabilityRow(member, version, bits & ((1 << members) - 1)))
    return datagram


@dataclass(slots=True, frozen=True)
class SignedCodec:
    """The format of a listed group, signed."""

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
