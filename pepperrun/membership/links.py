"""How long each other member takes to answer, and whether it answers this one itself. Does no I/O."""

from __future__ import annotations

from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import Row

LEAST_NS = 40_000_000  # an answer may wait so long for its turn on a busy core
UNKNOWN_NS = 100_000_000  # until a delay was seen
VERSIONS = 2**16


class Delay:
    """A round trip's mean and deviation, as TCP learns them (RFC 6298)."""

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0

    def saw(self, took: int) -> None:
        """A round trip, ns."""
        if self.mean == 0:
            self.mean, self.deviation = float(max(1, took)), took / 2
            return
        self.deviation += (abs(took - self.mean) - self.deviation) / 4
        self.mean += (took - self.mean) / 8

    def patience(self, most: int) -> int:
        """How long to wait for an answer, ns."""
        if self.mean == 0:
            return min(most, UNKNOWN_NS)
        return min(most, max(LEAST_NS, int(self.mean + 4 * self.deviation)))


class Links:
    """This member's row, the delays, and the rows that the others tell."""

    def __init__(self, roster: Roster) -> None:
        self.me, self.roster = roster.me, roster
        self.delays: dict[int, Delay] = {}
        self.failed: set[int] = set()  # did not answer this one's own last probe
        self.tried: dict[int, int] = {}  # when a probe last came back
        self.version = 0
        self.rows: dict[int, Row] = {}

    def delay(self, member: int) -> Delay:
        """Of the way to a member."""
        return self.delays.setdefault(member, Delay())

    def answered(self, member: int, took: int, now: int) -> None:
        """It answered a probe of this one's own, after `took` ns."""
        self.delay(member).saw(took)
        self.tried[member] = now
        if member in self.failed:
            self.failed.discard(member)
            self.version = (self.version + 1) % VERSIONS

    def silent(self, member: int) -> None:
        """It did not."""
        if member not in self.failed:
            self.failed.add(member)
            self.version = (self.version + 1) % VERSIONS

    def row(self) -> Row:
        """Whom this one reaches, as far as it has tried."""
        bits = self.roster.bits
        for member in self.failed:
            bits &= ~(1 << member)
        return Row(self.me, self.version, bits)

    def note(self, row: Row) -> None:
        """Another's row; an older version changes nothing."""
        known = self.rows.get(row.member)
        if row.member != self.me and (
            known is None or 0 < (row.version - known.version) % VERSIONS < VERSIONS // 2
        ):
            self.rows[row.member] = row

    def forget(self, member: int) -> None:
        """A new life begins anew."""
        self.rows.pop(member, None)
        self.delays.pop(member, None)
        self.failed.discard(member)

    def reaches(self, one: int, other: int) -> bool:
        """Does `one` say that it reaches the other? True while it says nothing."""
        row = self.row() if one == self.me else self.rows.get(one)
        return row is None or one == other or bool(row.bits >> other & 1)

    def cuts(self, members: list[int]) -> list[tuple[int, int]]:
        """The pairs in which the first does not reach the second itself."""
        pairs = []
        for one in members:
            row = self.row() if one == self.me else self.rows.get(one)
            if row is not None:
                pairs += [(one, other) for other in members if one != other and not row.bits >> other & 1]
        return pairs
