"""Messages between the gatekeeper and its holder processes, which hold idle connections. Does no I/O.

Each message is one datagram of a Unix SOCK_SEQPACKET pair. A batch of records is sent with the same number
of descriptors (SCM_RIGHTS) in the same order. Both ends run the same files, so there is only one version.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from pepperrun.parking.connection_table import EvictionRank, Record

MAX_BATCH = 64  # descriptors in a message; the system allows 253
_HEADER = struct.Struct("<BB")
_RECORD = struct.Struct("<BBq")
_TIMES = struct.Struct("<5q")
_COUNT = struct.Struct("<i")
_REPORT = struct.Struct("<4i3q")
MAX_MESSAGE_BYTES = _HEADER.size + MAX_BATCH * _RECORD.size


class Kind(IntEnum):
    """Kind of a message."""

    KEEP = 1  # to the holder: records with descriptors to hold
    RETURN = 2  # from the holder: records with descriptors that have input
    TIMES = 3  # to the holder: new time-outs
    EVICT = 4  # to the holder: a number of connections to close
    DRAIN = 5  # to the holder: close idle connections that have had a response
    FINISH = 6  # to the holder: close all idle connections, return the others, and exit
    REPORT = 7  # from the holder: connections that it holds and that have ended
    DONE = 8  # from the holder: no connection is left


@dataclass(slots=True, frozen=True)
class Report:
    """The number of connections of a holder by rank, and of those that ended since its start."""

    never_answered: int
    no_exchange: int
    one_exchange: int
    more_exchanges: int
    expired: int
    closed: int  # closed by their clients, evicted, or lost for want of resources
    evictions_handled: int  # EVICT messages

    def by_rank(self) -> tuple[int, int, int, int]:
        """Returns the numbers of connections in the order of their ranks."""
        return self.never_answered, self.no_exchange, self.one_exchange, self.more_exchanges


@dataclass(slots=True, frozen=True)
class Times:
    """The settings that a holder needs of the operators' file, and its limit on connections."""

    idle_ns: int
    first_byte_ns: int
    give_way_ns: int
    turn_ns: int
    most: int


Message = tuple[Kind, list[Record] | Times | Report | int | None]


def encode_records(kind: Kind, batch: list[Record]) -> bytes:
    """Encodes a batch of records. Raises ValueError if it is too long or has partial requests."""
    if len(batch) > MAX_BATCH or any(record.buffered for record in batch):
        raise ValueError("batch is too long or has a partial request")
    header = _HEADER.pack(kind, len(batch))
    return header + b"".join(
        [_RECORD.pack(record.listener_index, record.rank, record.last_used_at) for record in batch]
    )


def encode_times(settings: Times) -> bytes:
    """Encodes new time-outs."""
    fields = settings.idle_ns, settings.first_byte_ns, settings.give_way_ns, settings.turn_ns, settings.most
    return _HEADER.pack(Kind.TIMES, 0) + _TIMES.pack(*fields)


def encode_eviction(count: int) -> bytes:
    """Encodes the request to close `count` connections."""
    return _HEADER.pack(Kind.EVICT, 0) + _COUNT.pack(count)


def encode_plain(kind: Kind) -> bytes:
    """Encodes a message without content."""
    return _HEADER.pack(kind, 0)


def encode_report(current: Report) -> bytes:
    """Encodes a holder's report."""
    fields = *current.by_rank(), current.expired, current.closed, current.evictions_handled
    return _HEADER.pack(Kind.REPORT, 0) + _REPORT.pack(*fields)


def decode(data: bytes) -> Message:
    """Decodes a message. Raises ValueError if it is invalid."""
    try:
        number, count = _HEADER.unpack_from(data)
        kind, rest = Kind(number), data[_HEADER.size :]
        if kind in (Kind.KEEP, Kind.RETURN):
            if len(rest) != count * _RECORD.size or count > MAX_BATCH:
                raise ValueError("the records do not have the announced length")
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
        raise ValueError("a message of this kind has no content")
    return kind, None
