"""Builds a member's datagrams, with piggybacked updates and reachability rows. Does no I/O."""

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

MIN_REPEAT_NS = SECOND // 5  # between two datagrams of `post_limited` of one kind to one member


class Outbox:
    """Encodes datagrams and queues them until `take_outgoing`."""

    def __init__(
        self,
        config: MemberConfig,
        own: OwnRecord,
        table: MemberTable,
        links: Links,
        views: Views,
        rng: random.Random,
        counters: dict[str, int],
        local_health: Callable[[], int],
    ) -> None:
        self.own = own
        self.codec = config.codec or SignedCodec(config.count, config.keys)
        self.table, self.links, self.views, self.rng, self.counters = table, links, views, rng, counters
        self.outgoing: list[tuple[int, bytes]] = []
        self.last_posted_at: dict[tuple[int, Kind], int] = {}  # times of `post_limited`
        self.sequence = 0
        self.local_health = local_health  # score of this member's own faults, sent to the others

    def post_limited(self, member: int, kind: Kind, now: int, **fields: Any) -> None:
        """Like `post`, at most once in `MIN_REPEAT_NS`: for replies that any datagram may cause."""
        if not self.posted_recently(member, kind, now):
            self.last_posted_at[member, kind] = now
            self.post(member, kind, **fields)

    def posted_recently(self, member: int, kind: Kind, now: int) -> bool:
        """Whether `post_limited` sent this kind to the member within `MIN_REPEAT_NS`."""
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
        explicit = updates is not None
        sent_updates = updates if updates is not None else []
        if not explicit and self.own.state in (OwnState.MEMBER, OwnState.LEFT):
            # An update about the receiver comes first, so that the receiver can refute it.
            if record is not None and record.state is not State.ALIVE:
                sent_updates = [record.as_update()]
            sent_updates = sent_updates + [
                update
                for update in self.table.take_updates(self.codec.update_capacity(1) - 1, member)
                if update not in sent_updates
            ]
        rows = [self.links.own_row()] if self.own.state is OwnState.MEMBER else []
        if rows and not explicit:
            free_rows = self.codec.row_capacity(len(sent_updates)) - 1
            others = [row for row in self.links.rows.values() if row.member != member]
            rows += self.rng.sample(others, max(0, min(len(others), free_rows, 2)))
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
        """Sends all records in as many SYNC_REPLY datagrams as needed."""
        updates = [record.as_update() for record in self.table.records.values()] or [
            Update(self.own.member, self.own.generation, self.own.incarnation, State.ALIVE, self.own.member)
        ]
        page_size = self.codec.update_capacity(1)
        for start in range(0, len(updates), page_size):
            self.post(
                member,
                Kind.SYNC_REPLY,
                updates=updates[start : start + page_size],
                receiver_generation=generation,
            )

    def take_outgoing(self) -> list[tuple[int, bytes]]:
        """Returns the queued datagrams with their receivers and empties the queue."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing
