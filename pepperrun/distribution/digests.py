"""Digests over ranges of records, by which two copies find where they differ and mend from the newer.

A range is a key: a zone, or `zone/7` and `zone/7f` for the parts of a zone by the first digits of the hash of
a record's id. Its digest is the sum of the hashes of its records, so that it is kept up by differences.
Records that are gone count for nothing: copies may forget them at different times.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Any

from pepperrun.control.records import GatewayRecord, Worker

Record = Worker | GatewayRecord
Digests = dict[str, str]  # range: digest

MASK = (1 << 64) - 1
EMPTY = "0"  # of a range without records


def record_id(record: Record) -> str:
    """A worker's id or a gatekeeper's station; the two don't meet."""
    return "w:" + record.id if isinstance(record, Worker) else "g:" + record.name


def place(id: str) -> str:
    """Two hexadecimal digits: in which parts of its zone a record lies."""
    return blake2b(id.encode(), digest_size=1).hexdigest()


def weight(record: Record) -> int:
    """What a record adds to its ranges' digests."""
    if record.is_gone:
        return 0
    row: list[Any] = record.to_row(0) if isinstance(record, Worker) else record.to_row()
    body = json.dumps(row, separators=(",", ":"), ensure_ascii=False)
    return int.from_bytes(blake2b(body.encode(), digest_size=8).digest(), "big")


def newer(one: Record | None, other: Record) -> bool:
    """Whether `other` goes before `one`; among equal ranks all copies choose the same."""
    if one is None:
        return True
    if one.rank != other.rank:
        return one.rank < other.rank
    if one == other:
        return False  # as most that are told again
    return not one.is_gone and (other.is_gone or weight(one) < weight(other))


class Sums:
    """Digests of all ranges, kept up record by record."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.total = 0
        self.sums: dict[str, int] = {}  # by range, all three levels
        self.counts: dict[str, int] = {}  # live records, likewise
        for record in records:
            self.swap(None, record)

    def swap(self, old: Record | None, new: Record | None) -> None:
        """A record has taken the place of another of its id; None for none."""
        for record, sign in ((old, -1), (new, 1)):
            if record is None or record.is_gone:
                continue
            size, where = weight(record), place(record_id(record))
            self.total = (self.total + sign * size) & MASK
            for key in (record.zone, f"{record.zone}/{where[0]}", f"{record.zone}/{where}"):
                total = (self.sums.get(key, 0) + sign * size) & MASK
                count = self.counts.get(key, 0) + sign
                if count:
                    self.sums[key], self.counts[key] = total, count
                else:
                    self.sums.pop(key, None)
                    self.counts.pop(key, None)

    def whole(self) -> str:
        """Of all records."""
        return f"{self.total:x}"

    def zones(self) -> Digests:
        """By zone."""
        return {key: f"{total:x}" for key, total in self.sums.items() if "/" not in key}

    def of(self, key: str) -> str:
        """Of one range."""
        return f"{self.sums.get(key, 0):x}"

    def parts(self, key: str) -> Digests:
        """Of the parts of a range that hold anything."""
        joint = key if "/" in key else key + "/"
        keys = (f"{joint}{digit:x}" for digit in range(16))
        return {part: f"{self.sums[part]:x}" for part in keys if part in self.sums}


def within(record: Record, key: str) -> bool:
    """Whether a record lies in a range."""
    zone, _, part = key.partition("/")
    return record.zone == zone and (not part or place(record_id(record)).startswith(part))


def differing(mine: Mapping[str, str], theirs: Mapping[str, str]) -> list[str]:
    """The ranges of either whose digests differ; one that is missing is empty."""
    keys = [*mine, *(key for key in theirs if key not in mine)]
    return [key for key in keys if mine.get(key, EMPTY) != theirs.get(key, EMPTY)]
