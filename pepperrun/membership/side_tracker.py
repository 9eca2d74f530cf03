"""Which view this member holds, and on which side of a cut it stands by that. Does no I/O."""

from __future__ import annotations

from pepperrun.core.clock import SECOND
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable
from pepperrun.membership.roster import Roster
from pepperrun.membership.views import Side, View, Views, side_of
from pepperrun.membership.wire import State

MAX_CONCURRENT_PROBES = 4  # at the same time, of those that remain when several are gone


class SideTracker:
    """Follows the records to views, and remembers who was missing on a smaller side."""

    def __init__(
        self, member: int, roster: Roster, table: MemberTable, views: Views, prober: Prober, now: int
    ) -> None:
        self.member, self.roster, self.table, self.views, self.prober = member, roster, table, views, prober
        self.table_version = -1  # changes of the book that `candidate` follows from
        self.candidate = frozenset[tuple[int, int]]()
        self.has_suspects = False  # somebody is
        self.previously_missing = frozenset[int]()  # who was missing when it last stood on a smaller side
        self.in_minority = False  # it stands on one
        self.rejoined_at = now - 60 * SECOND  # when it last came back, from a smaller side or a standstill

    def update_view(self, now: int) -> View | None:
        """The view that begins now, if one does."""
        if self.table.version != self.table_version:
            self.table_version = self.table.version
            records = self.table.records
            self.candidate = frozenset(
                (member, record.generation) for member, record in records.items() if record.present
            )
            self.has_suspects = any(record.state is State.SUSPECT for record in records.values())
            self.views.set_candidate(self.candidate, now)
        unsure = self.has_suspects or bool(self._probe_unconfirmed(now))
        view = self.views.install_if_settled(self.candidate, unsure, now)
        if view is None:
            return None
        in_minority = self.side() in (Side.MINORITY, Side.ISOLATED)
        if in_minority:
            self.previously_missing = self.expected_members() - view.member_numbers()
        elif self.in_minority:
            self.rejoined_at = now
        self.in_minority = in_minority
        return view

    def on_self_suspicion_cleared(self, now: int) -> None:
        """It doubted itself, and is heard."""
        self.rejoined_at = now
        if not self.in_minority:
            self.previously_missing = frozenset()

    def _probe_unconfirmed(self, now: int) -> list[int]:
        """Where several are gone others may be too: each that remains is heard first, and asked for that."""
        if self.candidate is self.views.view.members or self.candidate == self.views.view.members:
            return []
        gone = self.views.view.member_numbers() - {member for member, _ in self.candidate}
        if len(gone) < 2:
            return []
        since, last_contact = self.views.differs_since, self.prober.last_contact
        others = [member for member, _ in self.candidate if member != self.member]
        unconfirmed = [member for member in others if last_contact.get(member, 0) < since]
        free = MAX_CONCURRENT_PROBES - len(self.prober.probes)
        for member in unconfirmed:
            if free <= 0:
                break
            if not self.prober.is_probing(member):
                self.prober.start_probe(member, now)
                free -= 1
        return unconfirmed

    def expected_members(self) -> frozenset[int]:
        """All members but those that left in order."""
        left = self.table.others_in(State.LEFT)
        return self.roster.members - set(left) if left else self.roster.members

    def side(self) -> Side:
        """Where this one stands, by its view."""
        here = self.views.view.member_numbers() | {self.member}
        return side_of(here, self.expected_members(), self.member, self.views.wire_ids)
