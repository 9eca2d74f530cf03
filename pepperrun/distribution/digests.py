"""Digests over ranges of records, by which two copies find where they differ.

A range is a key: a zone, or `zone/7` and `zone/7f` for the partitions of a zone by the first digits of the
hash of a record's id. Its digest is the sum of the hashes of its records, so that it is kept up by
differences. Records that are gone count for nothing: copies may forget them at different times.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Any

from pepperrun.control.records import GatewayRecord, Worker

Record = Worker | GatewayRecord
Digests = dict[str, str]  # digest by range

HASH_BYTES = 8
HASH_MASK = (1 << (8 * HASH_BYTES)) - 1
EMPTY_DIGEST = "0"  # of a range without records
FAN_OUT = 16  # partitions of a range: one for each hexadecimal digit
WORKER_PREFIX = "w:"
GATEWAY_PREFIX = "g:"


def worker_record_id(worker_id: str) -> str:
    """Return the id of a worker's record, which no gatekeeper's has."""
    return WORKER_PREFIX + worker_id


def gateway_record_id(name: str) -> str:
    """Return the id of a gatekeeper's record, which no worker's has."""
    return GATEWAY_PREFIX + name


def record_id(record: Record) -> str:
    """Return the id of a record."""
    if isinstance(record, Worker):
        return worker_record_id(record.id)
    return gateway_record_id(record.name)


def partition_of(id_: str) -> str:
    """Return two hexadecimal digits: in which partitions of its zone a record lies."""
    return blake2b(id_.encode(), digest_size=1).hexdigest()


def record_hash(record: Record) -> int:
    """Return what a record adds to the digests of its ranges."""
    if record.is_gone:
        return 0
    row: list[Any] = record.to_row(0) if isinstance(record, Worker) else record.to_row()
    text = json.dumps(row, separators=(",", ":"), ensure_ascii=False)
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def newer(one: Record | None, other: Record) -> bool:
    """Return whether `other` supersedes `one`; among equal ranks all copies choose the same."""
    if one is None:
        return True
    if one.rank != other.rank:
        return one.rank < other.rank
    if one == other:
        return False  # as most records that come again
    return not one.is_gone and (other.is_gone or record_hash(one) < record_hash(other))


class RangeDigests:
    """Digests of all ranges of one copy, kept up record by record.

    Attributes
    ----------
    sums : dict of str to int
        By range, on all three levels.
    counts : dict of str to int
        Records that are not gone, likewise.
    """

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.total = 0
        self.sums: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        for record in records:
            self.replace(None, record)

    def replace(self, old: Record | None, new: Record | None) -> None:
        """Count a record in place of another with its id; None for none."""
        for record, sign in ((old, -1), (new, 1)):
            if record is not None and not record.is_gone:
                self._count(record, sign)

    def _count(self, record: Record, sign: int) -> None:
        added = sign * record_hash(record)
        partition = partition_of(record_id(record))
        self.total = (self.total + added) & HASH_MASK
        for key in (record.zone, f"{record.zone}/{partition[0]}", f"{record.zone}/{partition}"):
            count = self.counts.get(key, 0) + sign
            if count:
                self.sums[key] = (self.sums.get(key, 0) + added) & HASH_MASK
                self.counts[key] = count
            else:
                self.sums.pop(key, None)
                self.counts.pop(key, None)

    def total_digest(self) -> str:
        """Return the digest of all records."""
        return f"{self.total:x}"

    def by_zone(self) -> Digests:
        """Return the digests of the zones."""
        return {key: f"{total:x}" for key, total in self.sums.items() if "/" not in key}

    def of(self, key: str) -> str:
        """Return the digest of one range."""
        return f"{self.sums.get(key, 0):x}"

    def by_partition(self, key: str) -> Digests:
        """Return the digests of the partitions of a range that hold anything."""
        prefix = key if "/" in key else key + "/"
        keys = (f"{prefix}{digit:x}" for digit in range(FAN_OUT))
        return {partition: f"{self.sums[partition]:x}" for partition in keys if partition in self.sums}


def differing(own: Mapping[str, str], others: Mapping[str, str]) -> list[str]:
    """Return the ranges of either whose digests differ; one that is missing is empty."""
    keys = [*own, *(key for key in others if key not in own)]
    return [key for key in keys if own.get(key, EMPTY_DIGEST) != others.get(key, EMPTY_DIGEST)]
