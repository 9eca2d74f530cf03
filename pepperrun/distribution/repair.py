"""Mending of two copies of records: digests are compared range by range, rows go both ways where they differ.

One side asks with its digests by zone. The other answers with its rows of the small ranges that differ
(`cells`, which names these ranges in `of`) and with the digests of the parts of the large ones (`digests`),
which the first compares and asks about. Whoever gets rows `of` a range sends back what it holds there that is
newer or that the other lacks, so both end up with the newest of each.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution.digests import EMPTY, Record, Sums, differing, newer, place, record_id
from pepperrun.foundation.netstring import Message

FEW = 48  # records: a range with no more is sent whole; splitting it further takes another round trip
DEEPEST = 2  # digits


class Copy(Protocol):
    """One copy of the records."""

    @property
    def workers(self) -> Mapping[str, Worker]: ...

    @property
    def gateways(self) -> Mapping[str, GatewayRecord]: ...

    @property
    def sums(self) -> Sums: ...


Merge = Callable[[list[Worker], list[GatewayRecord], int], object]


REPAIR_KINDS = ("cells", "ask", "digests")
TOKEN = "a"  # field of `cells` that asks for an acknowledgement


def is_repair_message(message: Message) -> bool:
    """Whether `heard` takes messages of this kind."""
    return message["k"] in REPAIR_KINDS


def with_replication_token(message: Message, token: int) -> Message:
    """Return `cells` with a request to acknowledge that the records are held."""
    return message | {TOKEN: token}


def replication_token(message: Message) -> int | None:
    """The token of that request, where there is one."""
    return message.get(TOKEN)


def rows(records: Iterable[Record], now: int) -> Message:
    """`cells` with these records."""
    workers: list[Any] = []
    gateways: list[Any] = []
    for record in records:
        if isinstance(record, Worker):
            workers.append(record.to_row(now))
        else:
            gateways.append(record.to_row())
    message: Message = {"k": "cells"}
    if workers:
        message["w"] = workers
    if gateways:
        message["g"] = gateways
    return message


def read(message: Message, now: int) -> tuple[list[Worker], list[GatewayRecord]]:
    """The records of `cells`; ValueError or TypeError where they can't be meant."""
    workers = [Worker.from_row(row, now) for row in message.get("w", ())]
    return workers, [GatewayRecord.from_row(row) for row in message.get("g", ())]


def ask(copy: Copy) -> Message:
    """The first question: all zones' digests."""
    return {"k": "ask", "digests": copy.sums.zones()}


def inside(copy: Copy, keys: Iterable[str]) -> list[Record]:
    """The records of these ranges, those that are gone too."""
    wanted = set(keys)
    zones = {key.partition("/")[0] for key in wanted}
    out: list[Record] = []
    records: list[Record] = [*copy.workers.values()]
    for record in records + [*copy.gateways.values()]:
        if record.zone not in zones:
            continue
        where = place(record_id(record)) if record.zone not in wanted else ""
        if not where or f"{record.zone}/{where[0]}" in wanted or f"{record.zone}/{where}" in wanted:
            out.append(record)
    return out


def answer(copy: Copy, message: Message, now: int) -> list[Message]:
    """What an `ask` gets."""
    theirs: dict[str, str] = message["digests"]
    if message.get("parts"):
        keys = [key for key, digest in theirs.items() if copy.sums.of(key) != digest]
    else:
        keys = differing(copy.sums.zones(), theirs)
    small: list[str] = []
    parts: dict[str, dict[str, str]] = {}
    for key in keys:
        deep = len(key.partition("/")[2])
        if deep >= DEEPEST or copy.sums.counts.get(key, 0) <= FEW:
            small.append(key)
        else:
            parts[key] = copy.sums.parts(key)
    out: list[Message] = []
    if small:
        out.append(rows(inside(copy, small), now) | {"of": small})
    if parts:
        out.append({"k": "digests", "digests": parts})
    return out


def heard(copy: Copy, merge: Merge, message: Message, now: int) -> list[Message]:
    """Takes `ask`, `cells` and `digests`; returns what to answer."""
    kind = message["k"]
    if kind == "ask":
        return answer(copy, message, now)
    if kind == "digests":
        differ: dict[str, str] = {}
        for key, theirs in message["digests"].items():
            mine = copy.sums.parts(key)
            differ |= {part: mine.get(part, EMPTY) for part in differing(mine, theirs)}
        return [{"k": "ask", "digests": differ, "parts": True}] if differ else []
    workers, gateways = read(message, now)
    back: list[Record] = []
    if message.get("of"):
        told: dict[str, Record] = {record_id(one): one for one in workers}
        told |= {record_id(one): one for one in gateways}
        for record in inside(copy, message["of"]):
            other = told.get(record_id(record))
            if not record.is_gone if other is None else newer(other, record):
                back.append(record)
    merge(workers, gateways, now)
    return [rows(back, now)] if back else []
