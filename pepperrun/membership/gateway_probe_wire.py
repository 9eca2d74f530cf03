"""The datagrams of probes: those of `membership`, with stations by hash instead of by listed number.

Little-endian, 256 bytes at most:

    u8 mark and version (0xB3), u8 kind, u8 health, u8 rumours, u8 rows
    u32 sender, u32 subject (0: none), u32 sender's life, u32 receiver's life (0: not known), u32 sequence
    u16 probe, u16 its incarnation, u32 view's number, u32 view's digest
    rumours, each: u32 station, u32 life, u16 incarnation, u32 witness (0: none), u8 state
    rows, each: u32 station, u16 version, u8 stations, and those that it does not reach, u32 each
    4 bytes: BLAKE2 of all before, against what is garbled or meant for others

Each process gives the others numbers of its own. What names a station that is not known here yet is passed
over: it comes again.
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
MAX_UNREACHABLE_PER_ROW = 6  # stations in a row: who fails to reach more has other troubles
ALL_REACHABLE = (1 << 4096) - 1  # a row reaches whom it does not name, also those that are met later
_HEADER = struct.Struct("<BBBBBIIIIIHHII")
_UPDATE = struct.Struct("<IIHIB")
_ROW = struct.Struct("<IHB")
_KINDS = {int(kind): kind for kind in Kind}
_STATES = {int(state): state for state in State}


def wire_id(station: str) -> int:
    """A station as the wire has it; never 0."""
    return int.from_bytes(hashlib.blake2b(station.encode(), digest_size=4).digest(), "little") or 1


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).digest()


class GatewayProbeCodec:
    """The format of a group whose members are learnt."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.number_by_wire_id: dict[int, int] = {}  # by id

    def _wire_id(self, member: int) -> int:
        return self.roster.wire_ids.get(member, 0)

    def update_capacity(self, rows: int) -> int:
        """How many rumours fit beside so many rows."""
        return (
            MAX_DATAGRAM_BYTES
            - _HEADER.size
            - CHECKSUM_BYTES
            - rows * (_ROW.size + 4 * MAX_UNREACHABLE_PER_ROW)
        ) // _UPDATE.size

    def row_capacity(self, updates: int) -> int:
        """How many rows fit beside so many rumours."""
        taken = _HEADER.size + CHECKSUM_BYTES + updates * _UPDATE.size
        return max(0, (MAX_DATAGRAM_BYTES - taken) // (_ROW.size + 4 * MAX_UNREACHABLE_PER_ROW))

    def pack(self, datagram: Datagram) -> bytes:
        """The bytes. Rows that have never missed anybody go without saying."""
        rows = [row for row in datagram.rows if row.version and row.member in self.roster.wire_ids]
        updates = [one for one in datagram.updates if one.member in self.roster.wire_ids]
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
        for one in updates:
            who, reporter = self._wire_id(one.member), self._wire_id(one.reporter)
            parts.append(_UPDATE.pack(who, one.generation, one.incarnation, reporter, one.state))
        for row in rows:
            missed = [id for member, id in self.roster.wire_ids.items() if not row.bitmap >> member & 1]
            missed = missed[:MAX_UNREACHABLE_PER_ROW]
            parts.append(_ROW.pack(self._wire_id(row.member), row.version, len(missed)))
            parts.append(struct.pack(f"<{len(missed)}I", *missed))
        body = b"".join(parts)
        return body + _checksum(body)

    def unpack(self, data: bytes) -> Datagram | None:
        """The datagram; None where it is garbled, of another version, or from a station not known here."""
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
        about = self.number_by_wire_id.get(subject, NO_MEMBER)
        datagram = Datagram(
            *(_KINDS[kind], number, generation, receiver_generation, sequence, about, probe, incarnation),
            *(sender, view, digest, health),
        )
        try:
            self._unpack_body(datagram, body, updates, rows)
        except (struct.error, KeyError):
            return None
        return datagram

    def _unpack_body(self, datagram: Datagram, body: bytes, updates: int, rows: int) -> None:
        at = _HEADER.size
        for _ in range(updates):
            id, generation, incarnation, by, state = _UPDATE.unpack_from(body, at)
            at += _UPDATE.size
            member, reporter = self.number_by_wire_id.get(id), self.number_by_wire_id.get(by, NO_MEMBER)
            if member is not None:
                datagram.updates.append(Update(member, generation, incarnation, _STATES[state], reporter))
        for _ in range(rows):
            id, version, missed = _ROW.unpack_from(body, at)
            at += _ROW.size
            bits, member = ALL_REACHABLE, self.number_by_wire_id.get(id)
            for far in struct.unpack_from(f"<{missed}I", body, at):
                if far in self.number_by_wire_id:
                    bits &= ~(1 << self.number_by_wire_id[far])
            at += 4 * missed
            if member is not None:
                datagram.rows.append(ReachabilityRow(member, version, bits))
        if at != len(body):
            raise KeyError("length")
