"""What a member sends: each datagram with its header, news and rows as there is room. Does no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from pepperrun.core.clock import SECOND
from pepperrun.membership.links import Links
from pepperrun.membership.records import Book
from pepperrun.membership.states import Config, Me, Own
from pepperrun.membership.views import Views
from pepperrun.membership.wire import NOBODY, Datagram, Kind, Listed, Rumour, State

REPEAT_EACH = SECOND // 5  # to one member the same remark


class Outbox:
    """Packs what is to be said and holds it until it is taken."""

    def __init__(
        self,
        config: Config,
        own: Own,
        book: Book,
        links: Links,
        views: Views,
        rng: random.Random,
        counts: dict[str, int],
        health: Callable[[], int],
    ) -> None:
        self.own = own
        self.wire = config.wire or Listed(config.count, config.keys)
        self.book, self.links, self.views, self.rng, self.counts = book, links, views, rng, counts
        self.out: list[tuple[int, bytes]] = []
        self.remarks: dict[tuple[int, Kind], int] = {}  # when the same was last said to a member
        self.sequence = 0
        self.health = health  # this one's own trouble, as its probes show it: the others are told

    def remark(self, member: int, kind: Kind, now: int, **fields: Any) -> None:
        """Says something to a member that it may ask for with each datagram, once in a while."""
        if not self.lately(member, kind, now):
            self.remarks[member, kind] = now
            self.post(member, kind, **fields)

    def lately(self, member: int, kind: Kind, now: int) -> bool:
        """Was such a remark made to that member a moment ago?"""
        return now - self.remarks.get((member, kind), -REPEAT_EACH) < REPEAT_EACH

    def post(
        self,
        member: int,
        kind: Kind,
        *,
        probe: int = 0,
        subject: int = NOBODY,
        rumours: list[Rumour] | None = None,
        to_life: int | None = None,
    ) -> None:
        known = self.book.get(member)
        if to_life is None:
            to_life = known.life if known is not None and kind is not Kind.HELLO else 0
        given = rumours is not None
        told = rumours if rumours is not None else []
        if not given and self.own.state in (Me.MEMBER, Me.LEFT):
            # What is said of the receiver comes first: if it is untrue, it has to know.
            if known is not None and known.state is not State.ALIVE:
                told = [known.rumour()]
            told = told + [one for one in self.book.some(self.wire.room(1) - 1, member) if one not in told]
        rows = [self.links.row()] if self.own.state is Me.MEMBER else []
        if rows and not given:
            spare = self.wire.rows_room(len(told)) - 1
            others = [row for row in self.links.rows.values() if row.member != member]
            rows += self.rng.sample(others, max(0, min(len(others), spare, 2)))
        self.sequence += 1
        data = self.wire.pack(
            Datagram(
                *(
                    kind,
                    self.own.member,
                    self.own.life,
                    to_life,
                    self.sequence,
                    subject,
                    probe,
                    self.own.incarnation,
                    self.own.name,
                ),
                *(self.views.view.number, self.views.view.digest, self.health(), told, rows),
            )
        )
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self.out.append((member, data))

    def tell_all(self, member: int, life: int) -> None:
        """All records, in as many datagrams as it takes."""
        every = [known.rumour() for known in self.book.records.values()] or [
            Rumour(self.own.member, self.own.life, self.own.incarnation, State.ALIVE, self.own.member)
        ]
        page = self.wire.room(1)
        for at in range(0, len(every), page):
            self.post(member, Kind.WELCOME, rumours=every[at : at + page], to_life=life)

    def take_out(self) -> list[tuple[int, bytes]]:
        """What is to be sent, with the receivers."""
        out, self.out = self.out, []
        return out
