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
from pepperrun.membership.wire import LIVES, MOST, NOBODY, Datagram, Kind, Row, Rumour, State

MARK = 0xB3
TAG = 4
MOST_FAILED = 6  # stations in a row: who fails to reach more has other troubles
ALL = (1 << 4096) - 1  # a row reaches whom it does not name, also those that are met later
_HEADER = struct.Struct("<BBBBBIIIIIHHII")
_RUMOUR = struct.Struct("<IIHIB")
_ROW = struct.Struct("<IHB")
_KINDS = {int(kind): kind for kind in Kind}
_STATES = {int(state): state for state in State}


def id_of(station: str) -> int:
    """A station as the wire has it; never 0."""
    return int.from_bytes(hashlib.blake2b(station.encode(), digest_size=4).digest(), "little") or 1


def _tag(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG).digest()


class Learnt:
    """The format of a group whose members are learnt."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.number_of: dict[int, int] = {}  # by id

    def _id(self, member: int) -> int:
        return self.roster.ids.get(member, 0)

    def room(self, rows: int) -> int:
        """How many rumours fit beside so many rows."""
        return (MOST - _HEADER.size - TAG - rows * (_ROW.size + 4 * MOST_FAILED)) // _RUMOUR.size

    def rows_room(self, rumours: int) -> int:
        """How many rows fit beside so many rumours."""
        taken = _HEADER.size + TAG + rumours * _RUMOUR.size
        return max(0, (MOST - taken) // (_ROW.size + 4 * MOST_FAILED))

    def pack(self, datagram: Datagram) -> bytes:
        """The bytes. Rows that have never missed anybody go without saying."""
        rows = [row for row in datagram.rows if row.version and row.member in self.roster.ids]
        rumours = [one for one in datagram.rumours if one.member in self.roster.ids]
        parts = [
            _HEADER.pack(
                *(MARK, datagram.kind, min(255, datagram.health), len(rumours), len(rows)),
                *(self._id(datagram.sender), self._id(datagram.subject), datagram.life, datagram.to_life),
                *(datagram.sequence % LIVES, datagram.probe, datagram.incarnation),
                *(datagram.view % LIVES, datagram.digest),
            )
        ]
        for one in rumours:
            who, witness = self._id(one.member), self._id(one.witness)
            parts.append(_RUMOUR.pack(who, one.life, one.incarnation, witness, one.state))
        for row in rows:
            missed = [id for member, id in self.roster.ids.items() if not row.bits >> member & 1]
            missed = missed[:MOST_FAILED]
            parts.append(_ROW.pack(self._id(row.member), row.version, len(missed)))
            parts.append(struct.pack(f"<{len(missed)}I", *missed))
        body = b"".join(parts)
        return body + _tag(body)

    def unpack(self, data: bytes) -> Datagram | None:
        """The datagram; None where it is garbled, of another version, or from a station not known here."""
        if not _HEADER.size + TAG <= len(data) <= MOST or data[0] != MARK:
            return None
        body = data[:-TAG]
        if _tag(body) != data[-TAG:]:
            return None
        (_, kind, health, rumours, rows, sender, subject, *rest) = _HEADER.unpack_from(body)
        life, to_life, sequence, probe, incarnation, view, digest = rest
        number = self.number_of.get(sender)
        if number is None or kind not in _KINDS:
            return None
        about = self.number_of.get(subject, NOBODY)
        datagram = Datagram(
            *(_KINDS[kind], number, life, to_life, sequence, about, probe, incarnation),
            *(sender, view, digest, health),
        )
        try:
            self._more(datagram, body, rumours, rows)
        except (struct.error, KeyError):
            return None
        return datagram

    def _more(self, datagram: Datagram, body: bytes, rumours: int, rows: int) -> None:
        at = _HEADER.size
        for _ in range(rumours):
            id, life, incarnation, by, state = _RUMOUR.unpack_from(body, at)
            at += _RUMOUR.size
            member, witness = self.number_of.get(id), self.number_of.get(by, NOBODY)
            if member is not None:
                datagram.rumours.append(Rumour(member, life, incarnation, _STATES[state], witness))
        for _ in range(rows):
            id, version, missed = _ROW.unpack_from(body, at)
            at += _ROW.size
            bits, member = ALL, self.number_of.get(id)
            for far in struct.unpack_from(f"<{missed}I", body, at):
                if far in self.number_of:
                    bits &= ~(1 << self.number_of[far])
            at += 4 * missed
            if member is not None:
                datagram.rows.append(Row(member, version, bits))
        if at != len(body):
            raise KeyError("length")
