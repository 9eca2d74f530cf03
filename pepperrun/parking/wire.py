"""Messages between the gatekeeper and the processes that keep silent connections for it. Does no I/O.

Each is one datagram of a Unix SOCK_SEQPACKET pair. A batch of records travels with as many descriptors
(SCM_RIGHTS), in the same order. Both ends are started from the same files, so there is one version.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from pepperrun.parking.connection_table import EvictionRank, Record

MAX_BATCH = 64  # descriptors in a message; the system's bound is 253
_HEAD = struct.Struct("<BB")
_RECORD = struct.Struct("<BBq")
_TIMES = struct.Struct("<5q")
_COUNT = struct.Struct("<i")
_REPORT = struct.Struct("<4i3q")
MAX_MESSAGE_BYTES = _HEAD.size + MAX_BATCH * _RECORD.size


class Kind(IntEnum):
    """What a message says."""

    KEEP = 1  # to the holder: records with descriptors
    RETURN = 2  # from the holder: records with descriptors; they have spoken
    TIMES = 3  # to the holder: other times
    EVICT = 4  # to the holder: so many are to give way
    DRAIN = 5  # to the holder: close what has been served and says nothing
    FINISH = 6  # to the holder: close all that says nothing, give back the rest, and end
    REPORT = 7  # from the holder: what it holds and what has ended
    DONE = 8  # from the holder: nothing is left


@dataclass(slots=True, frozen=True)
class Report:
    """What a holder holds, by rank, and what it has closed or seen end since its start."""

    never_answered: int
    no_exchange: int
    one_exchange: int
    more_exchanges: int
    expired: int
    closed: int
    evictions_handled: int  # messages that asked to give way

    def by_rank(self) -> tuple[int, int, int, int]:
        """Connections by rank."""
        return self.never_answered, self.no_exchange, self.one_exchange, self.more_exchanges


@dataclass(slots=True, frozen=True)
class Times:
    """What a holder needs of the operators' file, and its limit."""

    idle_ns: int
    first_byte_ns: int
    give_way_ns: int
    turn_ns: int
    most: int


Message = tuple[Kind, list[Record] | Times | Report | int | None]


def encode_records(kind: Kind, batch: list[Record]) -> bytes:
    """A batch of records that hold no part of a request."""
    if len(batch) > MAX_BATCH or any(record.buffered for record in batch):
        raise ValueError("no such batch")
    head = _HEAD.pack(kind, len(batch))
    return head + b"".join([_RECORD.pack(one.listener_index, one.rank, one.last_used_at) for one in batch])


def encode_times(what: Times) -> bytes:
    """Times that hold from now on."""
    fields = what.idle_ns, what.first_byte_ns, what.give_way_ns, what.turn_ns, what.most
    return _HEAD.pack(Kind.TIMES, 0) + _TIMES.pack(*fields)


def encode_eviction(count: int) -> bytes:
    """So many are to give way."""
    return _HEAD.pack(Kind.EVICT, 0) + _COUNT.pack(count)


def encode_plain(kind: Kind) -> bytes:
    """A message that says no more than its kind."""
    return _HEAD.pack(kind, 0)


def encode_report(what: Report) -> bytes:
    """What a holder holds."""
    fields = *what.by_rank(), what.expired, what.closed, what.evictions_handled
    return _HEAD.pack(Kind.REPORT, 0) + _REPORT.pack(*fields)


def decode(data: bytes) -> Message:
    """A message; ValueError where it can't be one."""
    try:
        number, count = _HEAD.unpack_from(data)
        kind, rest = Kind(number), data[_HEAD.size :]
        if kind in (Kind.KEEP, Kind.RETURN):
            if len(rest) != count * _RECORD.size or count > MAX_BATCH:
                raise ValueError("records are missing")
            return kind, [
                Record(listener_index, EvictionRank(rank), last_used_at)
                for listener_index, rank, last_used_at in _RECORD.iter_unpack(rest)
            ]
        if kind is Kind.TIMES:
            return kind, Times(*_TIMES.unpack(rest))
        if kind is Kind.EVICT:
            return kind, int(_COUNT.unpack(rest)[0])
        if kind is Kind.REPORT:
            return kind, Report(*_REPORT.unpack(rest))
    except struct.error as error:
        raise ValueError(str(error)) from None
    if rest:
        raise ValueError("more than belongs to it")
    return kind, None
