"""The datagram by which the gatekeepers of a zone tell each other what became of their attempts.

A tag, the hash of the sender's station and its incarnation, as the counts of the quotas have them; two
numbers, of rows and of rests; rows of a worker's number and what was seen of it, good and bad; a byte for
each length of rest after which a kept connection was reset unanswered (`net.stale_rates`). What follows is
passed over. It stays within a zone, goes out only where there is something to report, and is lost without
harm.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from pepperrun.dataplane.ejection import OutcomeCount
from pepperrun.dataplane.peer_messages import HEADER

TAG = 0xB4
MAX_ROWS = 32  # in a datagram
_NUMBERS = struct.Struct("<BB")
_ROW = struct.Struct("<IBB")


@dataclass(frozen=True)
class OutcomeReport:
    """What one gatekeeper saw since its last report. `rests`: steps of `net.stale_rates.StaleRates`."""

    station: int
    incarnation: int
    counts: list[OutcomeCount]
    rests: list[int]


def encode(report: OutcomeReport) -> bytes:
    """Return the bytes of a datagram."""
    rows = b"".join(_ROW.pack(*count) for count in report.counts)
    head = HEADER.pack(TAG, report.station, report.incarnation)
    return head + _NUMBERS.pack(len(report.counts), len(report.rests)) + rows + bytes(report.rests)


def decode(data: bytes) -> OutcomeReport | None:
    """Return what a datagram says; None where it is cut short."""
    at = HEADER.size + _NUMBERS.size
    if len(data) < at:
        return None
    _, station, incarnation = HEADER.unpack_from(data)
    rows, rests = _NUMBERS.unpack_from(data, HEADER.size)
    end = at + rows * _ROW.size
    if len(data) < end + rests:
        return None
    counts = [OutcomeCount(*row) for row in _ROW.iter_unpack(data[at:end])]
    return OutcomeReport(station, incarnation, counts, list(data[end : end + rests]))
