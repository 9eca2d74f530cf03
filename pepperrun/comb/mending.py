"""Repair among core machines: ranges of records are compared by their digests, and where few are left to
differ, each side lists what it has and the newer copies go over.

    A asks B         {"k": "ask", "digests": {range: digest}, "of": [the ranges that these are parts of]}
    B, where many    {"k": "ask", ...} for the parts of those that differ; roles change
    B, where few     {"k": "cells", "list": {"of": [range], "rows": [[id, rank, weight]]}}
    A                {"k": "cells", "w": [..], "g": [..], "want": [id]}: what is newer at A; what is at B
    B                {"k": "cells", "w": [..], "g": [..]}

Ranges are those of `waggle.digests`: zones, and parts of large ones. Without `of` the digests are of all
zones. Records that are gone are in no digest and no list; they go over only to whom still has them alive.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from itertools import chain
from typing import Any

from pepperrun.comb.records import GONE, Guard, Worker
from pepperrun.foundation.netstring import Message
from pepperrun.waggle.digests import Record, Sums, differing, place, record_id, weight

FEW = 24  # records in a range that are listed rather than split once more

Mark = tuple[list[int], int]  # rank and weight: of two copies the one with the greater is newer


def mark(record: Record) -> Mark:
    """Where a copy stands among others of the same record; agrees with `waggle.digests.newer`."""
    return list(record.rank), (1 << 64) if record.state == GONE else weight(record)


class Mending:
    """One machine's side of it, without I/O. What is returned is to be sent; `records` in it become rows."""

    def __init__(
        self,
        workers: Mapping[str, Worker],
        guards: Mapping[str, Guard],
        held: Callable[[str], Record | None],
        sums: Sums,
    ) -> None:
        self.workers, self.guards, self.held, self.sums = workers, guards, held, sums

    def ask(self) -> Message:
        """To begin a comparison of everything."""
        return {"k": "ask", "digests": self.sums.zones()}

    def asked(self, message: Message) -> Message | None:
        """The answer to one, None where nothing differs."""
        theirs: dict[str, str] = message["digests"]
        parents: list[str] | None = message.get("of")
        if parents is None:
            mine = self.sums.zones()
        else:
            mine = {key: digest for parent in parents for key, digest in self.sums.parts(parent).items()}
        keys = differing(mine, theirs)
        if not keys:
            return None
        large = [key for key in keys if self.sums.counts.get(key, 0) > FEW and len(key.partition("/")[2]) < 2]
        if large and len(large) == len(keys):
            parts = {key: digest for one in large for key, digest in self.sums.parts(one).items()}
            return {"k": "ask", "digests": parts, "of": large}
        # Those with few records are listed now, the large ones are met again at the next comparison.
        small = [key for key in keys if key not in large]
        rows = [[record_id(one), *mark(one)] for one in self._within(small) if one.state != GONE]
        return {"k": "cells", "list": {"of": small, "rows": rows}}

    def listed(self, listing: Message) -> Message | None:
        """The answer to a list: what is newer here, and the ids of what is newer there."""
        theirs: dict[str, Mark] = {id: (list(rank), int(size)) for id, rank, size in listing["rows"]}
        newer: list[Record] = []
        for one in self._within(listing["of"]):
            id = record_id(one)
            if id not in theirs and one.state != GONE:
                newer.append(one)
        want: list[str] = []
        for id, there in theirs.items():
            held = self.held(id)
            if held is None or mark(held) < there:
                want.append(id)
            elif mark(held) > there:
                newer.append(held)
        if not newer and not want:
            return None
        return {"k": "cells", "records": newer} | ({"want": want} if want else {})

    def wanted(self, ids: Iterable[str]) -> Message:
        """The answer to such ids."""
        return {"k": "cells", "records": [one for one in map(self.held, ids) if one is not None]}

    def _within(self, keys: Iterable[str]) -> list[Record]:
        zones: dict[str, tuple[str, ...]] = {}
        for key in keys:
            zone, _, part = key.partition("/")
            zones[zone] = (*zones.get(zone, ()), part)
        both: Iterable[Any] = chain(self.workers.values(), self.guards.values())
        return [
            one for one in both if one.zone in zones and place(record_id(one)).startswith(zones[one.zone])
        ]
