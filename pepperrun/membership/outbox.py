"""What a member sends: each datagram with its header, news and rows as there is room. Does no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from pepperrun.core.clock import SECOND
from pepperrun.membership.links import Links
from pepperrun.membership.records import MemberTable
from pepperrun.membership.states import MemberConfig, OwnRecord, OwnState
from pepperrun.membership.views import Views
from pepperrun.membership.wire import NO_MEMBER, Datagram, Kind, SignedCodec, State, Update

MIN_REPEAT_NS = SECOND // 5  # to one member the same remark


class Outbox:
    """Packs what is to be said and holds it until it is taken."""

    def __init__(
        self,
        config: MemberConfig,
        own: OwnRecord,
        table: MemberTable,
        links: Links,
        views: Views,
        rng: random.Random,
        counts: dict[str, int],
        health: Callable[[], int],
    ) -> None:
        self.own = own
        self.codec = config.codec or SignedCodec(config.count, config.keys)
        self.table, self.links, self.views, self.rng, self.counters = table, links, views, rng, counts
        self.outgoing: list[tuple[int, bytes]] = []
        self.last_posted_at: dict[tuple[int, Kind], int] = {}  # when the same was last said to a member
        self.sequence = 0
        self.local_health = health  # this one's own trouble, as its probes show it: the others are told

    def post_limited(self, member: int, kind: Kind, now: int, **fields: Any) -> None:
        """Says something to a member that it may ask for with each datagram, once in a while."""
        if not self.posted_recently(member, kind, now):
            self.last_posted_at[member, kind] = now
            self.post(member, kind, **fields)

    def posted_recently(self, member: int, kind: Kind, now: int) -> bool:
        """Was such a remark made to that member a moment ago?"""
        return now - self.last_posted_at.get((member, kind), -MIN_REPEAT_NS) < MIN_REPEAT_NS

    def post(
        self,
        member: int,
        kind: Kind,
        *,
        probe_id: int = 0,
        subject: int = NO_MEMBER,
        updates: list[Update] | None = None,
        receiver_generation: int | None = None,
    ) -> None:
        record = self.table.get(member)
        if receiver_generation is None:
            receiver_generation = (
                record.generation if record is not None and kind is not Kind.SYNC_REQUEST else 0
            )
        given = updates is not None
        sent_updates = updates if updates is not None else []
        if not given and self.own.state in (OwnState.MEMBER, OwnState.LEFT):
            # What is said of the receiver comes first: if it is untrue, it has to know.
            if record is not None and record.state is not State.ALIVE:
                sent_updates = [record.as_update()]
            sent_updates = sent_updates + [
                one
                for one in self.table.take_updates(self.codec.update_capacity(1) - 1, member)
                if one not in sent_updates
            ]
        rows = [self.links.own_row()] if self.own.state is OwnState.MEMBER else []
        if rows and not given:
            spare = self.codec.row_capacity(len(sent_updates)) - 1
            others = [row for row in self.links.rows.values() if row.member != member]
            rows += self.rng.sample(others, max(0, min(len(others), spare, 2)))
        self.sequence += 1
        data = self.codec.pack(
            Datagram(
                *(
                    kind,
                    self.own.member,
                    self.own.generation,
                    receiver_generation,
                    self.sequence,
                    subject,
                    probe_id,
                    self.own.incarnation,
                    self.own.name_hash,
                ),
                *(self.views.view.number, self.views.view.digest, self.local_health(), sent_updates, rows),
            )
        )
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)
        self.outgoing.append((member, data))

    def send_full_state(self, member: int, generation: int) -> None:
        """All records, in as many datagrams as it takes."""
        every = [record.as_update() for record in self.table.records.values()] or [
            Update(self.own.member, self.own.generation, self.own.incarnation, State.ALIVE, self.own.member)
        ]
        page = self.codec.update_capacity(1)
        for at in range(0, len(every), page):
            self.post(member, Kind.SYNC_REPLY, updates=every[at : at + page], receiver_generation=generation)

    def take_outgoing(self) -> list[tuple[int, bytes]]:
        """What is to be sent, with the receivers."""
        out, self.outgoing = self.outgoing, []
        return out
