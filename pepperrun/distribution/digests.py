"""Digests over ranges of records, by which two replicas find where they differ.

A range is named by a key: a zone, or `zone/7` and `zone/7f` for the partitions of a zone by the first digits
of the hash of the record id. Its digest is the sum of the hashes of its records, so it can be updated record
by record. Records that are gone are left out, because replicas may forget them at different times.
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
EMPTY_DIGEST = "0"  # digest of a range without records
FAN_OUT = 16  # partitions of a range: one for each hexadecimal digit
WORKER_PREFIX = "w:"
GATEWAY_PREFIX = "g:"


def worker_record_id(worker_id: str) -> str:
    """Return the record id of a worker; the prefix separates it from gateways."""
    return WORKER_PREFIX + worker_id


def gateway_record_id(name: str) -> str:
    """Return the record id of a gateway; the prefix separates it from workers."""
    return GATEWAY_PREFIX + name


def record_id(record: Record) -> str:
    """Return the id of a record, which tells workers and gateways apart."""
    if isinstance(record, Worker):
        return worker_record_id(record.id)
    return gateway_record_id(record.name)


def partition_of(id_: str) -> str:
    """Return the two hexadecimal digits that name the partitions of a record within its zone."""
    return blake2b(id_.encode(), digest_size=1).hexdigest()


def record_hash(record: Record) -> int:
    """Return the hash that a record adds to the digests of its ranges; 0 if it is gone."""
    if record.is_gone:
        return 0
    row: list[Any] = record.to_row(0) if isinstance(record, Worker) else record.to_row()
    text = json.dumps(row, separators=(",", ":"), ensure_ascii=False)
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


def newer(known: Record | None, candidate: Record) -> bool:
    """Return whether `candidate` supersedes `known`; all replicas decide alike, also between equal ranks."""
    if known is None:
        return True
    if known.rank != candidate.rank:
        return known.rank < candidate.rank
    if known == candidate:
        return False  # the usual case: most repeated records are unchanged
    return not known.is_gone and (candidate.is_gone or record_hash(known) < record_hash(candidate))


class RangeDigests:
    """Digests of all ranges of one replica, updated record by record.

    Attributes
    ----------
    sums : dict of str to int
        Digest of each range: of zones and of both levels of partitions.
    counts : dict of str to int
        Number of records of each range that are not gone.
    """

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.total = 0
        self.sums: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        for record in records:
            self.replace(None, record)

    def replace(self, old: Record | None, new: Record | None) -> None:
        """Replace the record `old` by `new`, which has the same id; None stands for no record."""
        for record, sign in ((old, -1), (new, 1)):
            if record is not None and not record.is_gone:
                self._count(record, sign)

    def _count(self, record: Record, sign: int) -> None:
        difference = sign * record_hash(record)
        partition = partition_of(record_id(record))
        self.total = (self.total + difference) & HASH_MASK
        for key in (record.zone, f"{record.zone}/{partition[0]}", f"{record.zone}/{partition}"):
            count = self.counts.get(key, 0) + sign
            if count:
                self.sums[key] = (self.sums.get(key, 0) + difference) & HASH_MASK
                self.counts[key] = count
            else:
                self.sums.pop(key, None)
                self.counts.pop(key, None)

    def total_digest(self) -> str:
        """Return the digest of all records."""
        return f"{self.total:x}"

    def by_zone(self) -> Digests:
        """Return the digests of all zones that have records."""
        return {key: f"{total:x}" for key, total in self.sums.items() if "/" not in key}

    def of(self, key: str) -> str:
        """Return the digest of one range; `EMPTY_DIGEST` if it has no records."""
        return f"{self.sums.get(key, 0):x}"

    def by_partition(self, key: str) -> Digests:
        """Return the digests of the partitions of a range that have records."""
        prefix = key if "/" in key else key + "/"
        keys = (f"{prefix}{digit:x}" for digit in range(FAN_OUT))
        return {partition: f"{self.sums[partition]:x}" for partition in keys if partition in self.sums}


def differing(own: Mapping[str, str], others: Mapping[str, str]) -> list[str]:
    """Return the ranges of either side whose digests differ; a missing range counts as empty."""
    keys = [*own, *(key for key in others if key not in own)]
    return [key for key in keys if own.get(key, EMPTY_DIGEST) != others.get(key, EMPTY_DIGEST)]
