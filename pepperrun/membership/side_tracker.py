"""Installs the views of this member and determines its partition side by them. Does no I/O."""

from __future__ import annotations

from pepperrun.core.clock import SECOND
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable
from pepperrun.membership.roster import Roster
from pepperrun.membership.views import Side, View, Views, side_of
from pepperrun.membership.wire import State

MAX_CONCURRENT_PROBES = 4  # to confirm the remaining members after several are gone


class SideTracker:
    """Turns the records into views, and keeps which members were missing on a minority side."""

    def __init__(
        self, member: int, roster: Roster, table: MemberTable, views: Views, prober: Prober, now: int
    ) -> None:
        self.member, self.roster, self.table, self.views, self.prober = member, roster, table, views, prober
        self.table_version = -1  # version of the table that `candidate` was computed from
        self.candidate = frozenset[tuple[int, int]]()
        self.has_suspects = False
        self.previously_missing = frozenset[int]()  # members missing when last on a minority side
        self.in_minority = False  # whether this member is on a minority side now
        # When this member last returned from a minority side or recovered from a stall.
        self.rejoined_at = now - 60 * SECOND

    def update_view(self, now: int) -> View | None:
        """Follows the records; returns the new view if one is installed now."""
        if self.table.version != self.table_version:
            self.table_version = self.table.version
            records = self.table.records
            self.candidate = frozenset(
                (member, record.generation) for member, record in records.items() if record.present
            )
            self.has_suspects = any(record.state is State.SUSPECT for record in records.values())
            self.views.set_candidate(self.candidate, now)
        unsettled = self.has_suspects or bool(self._probe_unconfirmed(now))
        view = self.views.install_if_settled(self.candidate, unsettled, now)
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
        """Notes that another member replied while this one suspected itself."""
        self.rejoined_at = now
        if not self.in_minority:
            self.previously_missing = frozenset()

    def _probe_unconfirmed(self, now: int) -> list[int]:
        """Returns the remaining members not heard from since several others went missing, and probes them.

        When several members are gone, more may be gone undetected: the view waits for a message of each.
        """
        if self.candidate is self.views.view.members or self.candidate == self.views.view.members:
            return []
        missing = self.views.view.member_numbers() - {member for member, _ in self.candidate}
        if len(missing) < 2:
            return []
        since, last_contact = self.views.differs_since, self.prober.last_contact
        others = [member for member, _ in self.candidate if member != self.member]
        unconfirmed = [member for member in others if last_contact.get(member, 0) < since]
        free_probes = MAX_CONCURRENT_PROBES - len(self.prober.probes)
        for member in unconfirmed:
            if free_probes <= 0:
                break
            if not self.prober.is_probing(member):
                self.prober.start_probe(member, now)
                free_probes -= 1
        return unconfirmed

    def expected_members(self) -> frozenset[int]:
        """All members except those that left gracefully."""
        left = self.table.others_in(State.LEFT)
        return self.roster.members - set(left) if left else self.roster.members

    def side(self) -> Side:
        """The partition side of this member, by its view."""
        here = self.views.view.member_numbers() | {self.member}
        return side_of(here, self.expected_members(), self.member, self.views.wire_ids)
