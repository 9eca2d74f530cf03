"""Which view this member holds, and on which side of a cut it stands by that. Does no I/O."""

from __future__ import annotations

from pepperrun.core.clock import SECOND
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import Book
from pepperrun.membership.roster import Roster
from pepperrun.membership.views import Side, View, Views, side_of
from pepperrun.membership.wire import State

MOST_ASKED = 4  # at the same time, of those that remain when several are gone


class OwnSide:
    """Follows the records to views, and remembers who was missing on a smaller side."""

    def __init__(
        self, member: int, roster: Roster, book: Book, views: Views, prober: Prober, now: int
    ) -> None:
        self.member, self.roster, self.book, self.views, self.prober = member, roster, book, views, prober
        self.considered = -1  # changes of the book that `candidate` follows from
        self.candidate = frozenset[tuple[int, int]]()
        self.suspected = False  # somebody is
        self.apart = frozenset[int]()  # who was missing when it last stood on a smaller side
        self.smaller = False  # it stands on one
        self.returned_at = now - 60 * SECOND  # when it last came back, from a smaller side or a standstill

    def consider(self, now: int) -> View | None:
        """The view that begins now, if one does."""
        if self.book.changes != self.considered:
            self.considered = self.book.changes
            records = self.book.records
            self.candidate = frozenset(
                (member, known.life) for member, known in records.items() if known.there
            )
            self.suspected = any(known.state is State.SUSPECT for known in records.values())
            self.views.note(self.candidate, now)
        unsure = self.suspected or bool(self._unheard(now))
        view = self.views.consider(self.candidate, unsure, now)
        if view is None:
            return None
        smaller = self.side() in (Side.MINORITY, Side.ALONE)
        if smaller:
            self.apart = self.configured() - view.numbers()
        elif self.smaller:
            self.returned_at = now
        self.smaller = smaller
        return view

    def answered(self, now: int) -> None:
        """It doubted itself, and is heard."""
        self.returned_at = now
        if not self.smaller:
            self.apart = frozenset()

    def _unheard(self, now: int) -> list[int]:
        """Where several are gone others may be too: each that remains is heard first, and asked for that."""
        if self.candidate is self.views.view.members or self.candidate == self.views.view.members:
            return []
        gone = self.views.view.numbers() - {member for member, _ in self.candidate}
        if len(gone) < 2:
            return []
        since, heard = self.views.differs_since, self.prober.heard
        others = [member for member, _ in self.candidate if member != self.member]
        unheard = [member for member in others if heard.get(member, 0) < since]
        free = MOST_ASKED - len(self.prober.probes)
        for member in unheard:
            if free <= 0:
                break
            if not self.prober.asking(member):
                self.prober.ask(member, now)
                free -= 1
        return unheard

    def configured(self) -> frozenset[int]:
        """All members but those that left in order."""
        left = self.book.others(State.LEFT)
        return self.roster.every - set(left) if left else self.roster.every

    def side(self) -> Side:
        """Where this one stands, by its view."""
        here = self.views.view.numbers() | {self.member}
        return side_of(here, self.configured(), self.member, self.views.ids)
