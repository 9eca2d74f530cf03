"""Datagrams between gateway probers: the format of `wire`, with hashes of names instead of member numbers.

Little-endian, 256 bytes at most:

    u8 magic and version (0xB3), u8 kind, u8 local health score, u8 number of updates, u8 number of rows
    u32 sender, u32 subject (0: none), u32 sender's generation, u32 receiver's generation (0: unknown)
    u32 sequence, u16 probe ID, u16 sender's incarnation, u32 view number, u32 view digest
    each update: u32 gatekeeper, u32 generation, u16 incarnation, u32 reporter (0: none), u8 state
    each row: u32 gatekeeper, u16 version, u8 count, and as many gatekeepers that it does not reach, u32 each
    4 bytes: BLAKE2 of all before, against corruption and datagrams meant for others

Each process numbers the other gatekeepers on its own. Updates and rows about a gatekeeper that is not known
here yet are skipped: they are sent again.
"""

from __future__ import annotations

import hashlib
import struct

from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import (
    GENERATION_LIMIT,
    MAX_DATAGRAM_BYTES,
    NO_MEMBER,
    Datagram,
    Kind,
    ReachabilityRow,
    State,
    Update,
)

MAGIC = 0xB3
CHECKSUM_BYTES = 4
MAX_UNREACHABLE_PER_ROW = 6  # a gatekeeper that does not reach more than these has another fault
ALL_REACHABLE = (1 << 4096) - 1  # a row reaches every gatekeeper not named in it, also ones added later
_HEADER = struct.Struct("<BBBBBIIIIIHHII")
_UPDATE = struct.Struct("<IIHIB")
_ROW = struct.Struct("<IHB")
_KINDS = {int(kind): kind for kind in Kind}
_STATES = {int(state): state for state in State}


def wire_id(name: str) -> int:
    """The hash of a gatekeeper's name in datagrams; never 0."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "little") or 1


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).digest()


class GatewayProbeCodec:
    """The datagram format of a group whose members are learned from gatekeeper records."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.number_by_wire_id: dict[int, int] = {}

    def _wire_id(self, member: int) -> int:
        return self.roster.wire_ids.get(member, 0)

    def update_capacity(self, rows: int) -> int:
        """How many updates fit into a datagram with that many rows."""
        return (
            MAX_DATAGRAM_BYTES
            - _HEADER.size
            - CHECKSUM_BYTES
            - rows * (_ROW.size + 4 * MAX_UNREACHABLE_PER_ROW)
        ) // _UPDATE.size

    def row_capacity(self, updates: int) -> int:
        """How many rows fit into a datagram with that many updates."""
        used = _HEADER.size + CHECKSUM_BYTES + updates * _UPDATE.size
        return max(0, (MAX_DATAGRAM_BYTES - used) // (_ROW.size + 4 * MAX_UNREACHABLE_PER_ROW))

    def pack(self, datagram: Datagram) -> bytes:
        """Encodes a datagram. Rows of version 0, which have always reached everyone, are left out."""
        rows = [row for row in datagram.rows if row.version and row.member in self.roster.wire_ids]
        updates = [update for update in datagram.updates if update.member in self.roster.wire_ids]
        parts = [
            _HEADER.pack(
                *(MAGIC, datagram.kind, min(255, datagram.local_health), len(updates), len(rows)),
                *(
                    self._wire_id(datagram.sender),
                    self._wire_id(datagram.subject),
                    datagram.generation,
                    datagram.receiver_generation,
                ),
                *(datagram.sequence % GENERATION_LIMIT, datagram.probe_id, datagram.incarnation),
                *(datagram.view_number % GENERATION_LIMIT, datagram.view_digest),
            )
        ]
        for update in updates:
            member_id, reporter = self._wire_id(update.member), self._wire_id(update.reporter)
            parts.append(
                _UPDATE.pack(member_id, update.generation, update.incarnation, reporter, update.state)
            )
        for row in rows:
            unreachable = [
                hashed_id
                for member, hashed_id in self.roster.wire_ids.items()
                if not row.bitmap >> member & 1
            ]
            unreachable = unreachable[:MAX_UNREACHABLE_PER_ROW]
            parts.append(_ROW.pack(self._wire_id(row.member), row.version, len(unreachable)))
            parts.append(struct.pack(f"<{len(unreachable)}I", *unreachable))
        body = b"".join(parts)
        return body + _checksum(body)

    def unpack(self, data: bytes) -> Datagram | None:
        """Decodes a datagram; None if it is corrupt, of another version, or from an unknown gatekeeper."""
        if not _HEADER.size + CHECKSUM_BYTES <= len(data) <= MAX_DATAGRAM_BYTES or data[0] != MAGIC:
            return None
        body = data[:-CHECKSUM_BYTES]
        if _checksum(body) != data[-CHECKSUM_BYTES:]:
            return None
        (_, kind, health, updates, rows, sender, subject, *rest) = _HEADER.unpack_from(body)
        generation, receiver_generation, sequence, probe, incarnation, view, digest = rest
        number = self.number_by_wire_id.get(sender)
        if number is None or kind not in _KINDS:
            return None
        subject_number = self.number_by_wire_id.get(subject, NO_MEMBER)
        datagram = Datagram(
            *(
                _KINDS[kind],
                number,
                generation,
                receiver_generation,
                sequence,
                subject_number,
                probe,
                incarnation,
            ),
            *(sender, view, digest, health),
        )
        try:
            self._unpack_body(datagram, body, updates, rows)
        except (struct.error, KeyError):
            return None
        return datagram

    def _unpack_body(self, datagram: Datagram, body: bytes, updates: int, rows: int) -> None:
        offset = _HEADER.size
        for _ in range(updates):
            hashed_id, generation, incarnation, reporter_id, state = _UPDATE.unpack_from(body, offset)
            offset += _UPDATE.size
            member, reporter = (
                self.number_by_wire_id.get(hashed_id),
                self.number_by_wire_id.get(reporter_id, NO_MEMBER),
            )
            if member is not None:
                datagram.updates.append(Update(member, generation, incarnation, _STATES[state], reporter))
        for _ in range(rows):
            hashed_id, version, unreachable = _ROW.unpack_from(body, offset)
            offset += _ROW.size
            bits, member = ALL_REACHABLE, self.number_by_wire_id.get(hashed_id)
            for target_id in struct.unpack_from(f"<{unreachable}I", body, offset):
                if target_id in self.number_by_wire_id:
                    bits &= ~(1 << self.number_by_wire_id[target_id])
            offset += 4 * unreachable
            if member is not None:
                datagram.rows.append(ReachabilityRow(member, version, bits))
        if offset != len(body):
            raise KeyError("datagram has trailing bytes")
