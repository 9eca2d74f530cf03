"""Repair (anti-entropy) of two replicas of the records: compares digests by range and exchanges rows.

| `k` | fields | what it does |
| --- | --- | --- |
| ask | digests by range, parts | requests what differs; `parts`: the ranges are partitions |
| cells | w, g rows of workers and gateways, of, a | records; those of the ranges `of` are complete |
| digests | digests of partitions by range | ranges that differ and hold too many records |

One side sends its digests by zone. The other answers with its records of the small ranges that differ, and
with the digests of the partitions of the large ones. The first side compares those and requests the
partitions that differ. The receiver of the records `of` a range sends back its own records of that range that
are newer or that the sender lacks, so both sides end with the newest of each. `a` requests an acknowledgement
that the records are stored (`control.peer_messages`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution.digests import (
    EMPTY_DIGEST,
    Digests,
    RangeDigests,
    Record,
    differing,
    newer,
    partition_of,
    record_id,
)
from pepperrun.foundation.netstring import Message

REQUEST = "ask"
RECORDS = "cells"
PARTITION_DIGESTS = "digests"
KINDS = (REQUEST, RECORDS, PARTITION_DIGESTS)
TOKEN = "a"  # field of `cells` that requests an acknowledgement

MAX_RANGE_RECORDS = 48  # a range with no more is sent complete; splitting it costs a round trip
MAX_DEPTH = 2  # hexadecimal digits of a partition


class RecordCopy(Protocol):
    """One replica of the records."""

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Workers by id."""

    @property
    def gateways(self) -> Mapping[str, GatewayRecord]:
        """Gateways by name."""

    @property
    def digests(self) -> RangeDigests:
        """Digests of all ranges."""


class Records(NamedTuple):
    """Lists of worker records and gateway records."""

    workers: list[Worker]
    gateways: list[GatewayRecord]


Merge = Callable[[list[Worker], list[GatewayRecord], int], object]


def is_repair_message(message: Message) -> bool:
    """Return whether `handle` accepts messages of this kind."""
    return message["k"] in KINDS


# Records on the wire.


def encode_records(records: Iterable[Record], now: int) -> Message:
    """Return the message that carries these records."""
    workers: list[Any] = []
    gateways: list[Any] = []
    for record in records:
        if isinstance(record, Worker):
            workers.append(record.to_row(now))
        else:
            gateways.append(record.to_row())
    message: Message = {"k": RECORDS}
    if workers:
        message["w"] = workers
    if gateways:
        message["g"] = gateways
    return message


def decode_records(message: Message, now: int) -> Records:
    """Return the records in a message.

    Raises
    ------
    ValueError, TypeError
        A row is not a valid worker or gateway.
    """
    workers = [Worker.from_row(row, now) for row in message.get("w", ())]
    gateways = [GatewayRecord.from_row(row) for row in message.get("g", ())]
    return Records(workers, gateways)


def with_replication_token(message: Message, token: int) -> Message:
    """Return a message of records with a request to acknowledge that they are stored."""
    return message | {TOKEN: token}


def replication_token(message: Message) -> int | None:
    """Return the token of the request to acknowledge; None if the message has no such request."""
    return message.get(TOKEN)


# Comparing and replying.


def request(copy: RecordCopy) -> Message:
    """Return the first message of a comparison: the digests of all zones."""
    return {"k": REQUEST, "digests": copy.digests.by_zone()}


def handle(copy: RecordCopy, merge: Merge, message: Message, now: int) -> list[Message]:
    """Handle a repair message and return the answers to it.

    Raises
    ------
    KeyError, TypeError, ValueError
        The message is invalid.
    """
    match message["k"]:
        case "ask":
            return _answer_request(copy, message["digests"], bool(message.get("parts")), now)
        case "digests":
            return _compare_partitions(copy, message["digests"])
        case _:
            return _merge_records(copy, merge, message, now)


def _answer_request(copy: RecordCopy, digests: Digests, is_partitions: bool, now: int) -> list[Message]:
    """Return the records of the small ranges that differ, and the partition digests of the large ones."""
    if is_partitions:
        keys = [key for key, digest in digests.items() if copy.digests.of(key) != digest]
    else:
        keys = differing(copy.digests.by_zone(), digests)
    small: list[str] = []
    partitions: dict[str, Digests] = {}
    for key in keys:
        depth = len(key.partition("/")[2])
        if depth >= MAX_DEPTH or copy.digests.counts.get(key, 0) <= MAX_RANGE_RECORDS:
            small.append(key)
        else:
            partitions[key] = copy.digests.by_partition(key)
    answers: list[Message] = []
    if small:
        answers.append(encode_records(_records_in(copy, small), now) | {"of": small})
    if partitions:
        answers.append({"k": PARTITION_DIGESTS, "digests": partitions})
    return answers


def _compare_partitions(copy: RecordCopy, ranges: Mapping[str, Digests]) -> list[Message]:
    """Return a request for the partitions that differ."""
    differ: Digests = {}
    for key, digests in ranges.items():
        own = copy.digests.by_partition(key)
        differ |= {partition: own.get(partition, EMPTY_DIGEST) for partition in differing(own, digests)}
    return [{"k": REQUEST, "digests": differ, "parts": True}] if differ else []


def _merge_records(copy: RecordCopy, merge: Merge, message: Message, now: int) -> list[Message]:
    """Merge records, and return those that are newer here or missing there in the ranges of the message."""
    records = decode_records(message, now)
    replies: list[Record] = []
    if message.get("of"):
        received: dict[str, Record] = {record_id(worker): worker for worker in records.workers}
        received |= {record_id(gateway): gateway for gateway in records.gateways}
        for record in _records_in(copy, message["of"]):
            other = received.get(record_id(record))
            if (not record.is_gone) if other is None else newer(other, record):
                replies.append(record)
    merge(records.workers, records.gateways, now)
    return [encode_records(replies, now)] if replies else []


def _records_in(copy: RecordCopy, keys: Iterable[str]) -> list[Record]:
    """Return the records of these ranges, including those that are gone."""
    wanted = set(keys)
    zones = {key.partition("/")[0] for key in wanted}
    records: list[Record] = [*copy.workers.values(), *copy.gateways.values()]
    return [record for record in records if record.zone in zones and _is_in(record, wanted)]


def _is_in(record: Record, wanted: set[str]) -> bool:
    if record.zone in wanted:
        return True
    partition = partition_of(record_id(record))
    return f"{record.zone}/{partition[0]}" in wanted or f"{record.zone}/{partition}" in wanted
