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

from pepperrun.membership.keys import TAG, Keys

MARK = 0xB1
MOST = 256
NOBODY = 0xFFFF  # a subject or witness that is none
MOST_MEMBERS = 1024  # a row and a rumour then still fit
_HEADER = struct.Struct("<BBBBHHIIIHHIIIBBB")
_RUMOUR = struct.Struct("<HIHHB")
_ROW = struct.Struct("<HH")
LIVES = 2**32
INCARNATIONS = 2**16


class Kind(enum.IntEnum):
    """What a datagram is for."""

    PING = 1  # answer with an ACK of this probe
    ACK = 2
    ASK = 3  # ping `subject` for me
    NACK = 4  # `subject` did not answer me in time either: the asker's own path is fine
    HELLO = 5  # tell me all that you know
    WELCOME = 6  # a part of that
    NEWS = 7  # rumours only
    TAKEN = 8  # `subject` has this name or number already


class State(enum.IntEnum):
    """What is said of a member. Of two words on one life and incarnation the larger one holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


WORDS = {State.ALIVE: "there", State.SUSPECT: "suspected", State.DEAD: "dead", State.LEFT: "left"}
_KINDS = {int(kind): kind for kind in Kind}
_STATES = {int(state): state for state in State}


@dataclass(slots=True, frozen=True)
class Rumour:
    """What `witness` says of a member."""

    member: int
    life: int
    incarnation: int
    state: State
    witness: int = NOBODY


@dataclass(slots=True, frozen=True)
class Row:
    """Whom a member reaches: bit j for member j. Later versions hold."""

    member: int
    version: int
    bits: int


@dataclass(slots=True)
class Datagram:
    """One datagram, unsigned."""

    kind: Kind
    sender: int
    life: int
    to_life: int = 0
    sequence: int = 0
    subject: int = NOBODY
    probe: int = 0
    incarnation: int = 0
    name: int = 0
    view: int = 0
    digest: int = 0
    health: int = 0
    rumours: list[Rumour] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)


class Format(Protocol):
    """How a group's datagrams are written: of listed members by their numbers, or of learnt ones."""

    def pack(self, datagram: Datagram) -> bytes: ...

    def unpack(self, data: bytes) -> Datagram | None: ...

    def room(self, rows: int) -> int: ...

    def rows_room(self, rumours: int) -> int: ...


def name_hash(name: str) -> int:
    """A name as the wire has it."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "little")


def row_bytes(members: int) -> int:
    """Bytes of a row for so many members."""
    return (members + 7) // 8


def room(members: int, rows: int) -> int:
    """How many rumours fit beside so many rows."""
    taken = _HEADER.size + TAG + rows * (_ROW.size + row_bytes(members))
    return max(0, (MOST - taken) // _RUMOUR.size)


def rows_room(members: int, rumours: int) -> int:
    """How many rows fit beside so many rumours."""
    taken = _HEADER.size + TAG + rumours * _RUMOUR.size
    return max(0, (MOST - taken) // (_ROW.size + row_bytes(members)))


def pack(datagram: Datagram, members: int, keys: Keys) -> bytes:
    """The signed bytes; ValueError where they would be too many."""
    width = row_bytes(members)
    parts = [
        _HEADER.pack(
            *(MARK, keys.signing, datagram.kind, min(255, datagram.health)),
            *(datagram.sender, datagram.subject, datagram.life, datagram.to_life, datagram.sequence % LIVES),
            *(datagram.probe, datagram.incarnation, datagram.name, datagram.view % LIVES, datagram.digest),
            *(len(datagram.rumours), len(datagram.rows), width),
        )
    ]
    parts += [
        _RUMOUR.pack(one.member, one.life, one.incarnation, one.witness, one.state)
        for one in datagram.rumours
    ]
    for row in datagram.rows:
        parts.append(_ROW.pack(row.member, row.version) + row.bits.to_bytes(width, "little"))
    data = b"".join(parts)
    if len(data) + TAG > MOST:
        raise ValueError(f"a datagram of {len(data) + TAG} bytes")
    return data + keys.tag(data, keys.signing)


def unpack(data: bytes, members: int, keys: Keys) -> Datagram | None:
    """The datagram in these bytes; None where it is garbled, forged, of another version or says nonsense."""
    if not _HEADER.size + TAG <= len(data) <= MOST or data[0] != MARK:
        return None
    body, tag = data[:-TAG], data[-TAG:]
    if not keys.genuine(body, data[1], tag):
        return None
    (
        _,
        _,
        kind,
        health,
        sender,
        subject,
        life,
        to_life,
        sequence,
        probe,
        incarnation,
        name,
        view,
        digest,
        *counts,
    ) = _HEADER.unpack_from(body)
    rumours, rows, width = counts
    rows_at = _HEADER.size + rumours * _RUMOUR.size
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
            life,
            to_life,
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
    for member, its_life, its_incarnation, witness, state in _RUMOUR.iter_unpack(
        body[_HEADER.size : rows_at]
    ):
        if member >= members or state not in _STATES or not (witness < members or witness == NOBODY):
            return None
        datagram.rumours.append(Rumour(member, its_life, its_incarnation, _STATES[state], witness))
    for at in range(rows_at, len(body), _ROW.size + width):
        member, version = _ROW.unpack_from(body, at)
        if member >= members:
            return None
        bits = int.from_bytes(body[at + _ROW.size : at + _ROW.size + width], "little")
        datagram.rows.append(Row(member, version, bits & ((1 << members) - 1)))
    return datagram


@dataclass(slots=True, frozen=True)
class Listed:
    """The format of a listed group, signed."""

    members: int
    keys: Keys

    def pack(self, datagram: Datagram) -> bytes:
        return pack(datagram, self.members, self.keys)

    def unpack(self, data: bytes) -> Datagram | None:
        return unpack(data, self.members, self.keys)

    def room(self, rows: int) -> int:
        return room(self.members, rows)

    def rows_room(self, rumours: int) -> int:
        return rows_room(self.members, rumours)
