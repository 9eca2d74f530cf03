"""The datagram in which gatekeepers of a zone report the outcomes of their attempts to each other.

It holds a tag, the hash of the sender's name and the sender's incarnation, in the same form as the quota
counts (`peer_messages`); two numbers, of rows and of idle-time buckets; rows of a worker's number with its
successes and failures; and one byte for each idle-time bucket (`net.stale_rates`) in which a reused
connection was reset without a response. Bytes after that are ignored. The datagram stays within a zone and is
sent only if there is something to report. Losing one does no harm.
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
    """What one gatekeeper saw since its last report.

    `sender_hash`: the `name_hash` of its name. `stale_buckets`: buckets of `net.stale_rates.StaleRates`.
    """

    sender_hash: int
    incarnation: int
    counts: list[OutcomeCount]
    stale_buckets: list[int]


def encode(report: OutcomeReport) -> bytes:
    """Returns the bytes of a datagram."""
    rows = b"".join(_ROW.pack(*count) for count in report.counts)
    head = HEADER.pack(TAG, report.sender_hash, report.incarnation)
    return (
        head
        + _NUMBERS.pack(len(report.counts), len(report.stale_buckets))
        + rows
        + bytes(report.stale_buckets)
    )


def decode(data: bytes) -> OutcomeReport | None:
    """Returns the report in a datagram; None where the datagram is truncated."""
    at = HEADER.size + _NUMBERS.size
    if len(data) < at:
        return None
    _, sender_hash, incarnation = HEADER.unpack_from(data)
    rows, buckets = _NUMBERS.unpack_from(data, HEADER.size)
    end = at + rows * _ROW.size
    if len(data) < end + buckets:
        return None
    counts = [OutcomeCount(*row) for row in _ROW.iter_unpack(data[at:end])]
    return OutcomeReport(sender_hash, incarnation, counts, list(data[end : end + buckets]))
