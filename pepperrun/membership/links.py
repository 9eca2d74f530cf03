"""How long each other member takes to answer, and whether it answers this one itself. Does no I/O."""

from __future__ import annotations

from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import ReachabilityRow

MIN_TIMEOUT_NS = 40_000_000  # an answer may wait so long for its turn on a busy core
DEFAULT_TIMEOUT_NS = 100_000_000  # until a delay was seen
VERSION_LIMIT = 2**16


class RoundTripEstimate:
    """A round trip's mean and deviation, as TCP learns them (RFC 6298)."""

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0

    def record(self, round_trip_ns: int) -> None:
        """A round trip, ns."""
        if self.mean == 0:
            self.mean, self.deviation = float(max(1, round_trip_ns)), round_trip_ns / 2
            return
        self.deviation += (abs(round_trip_ns - self.mean) - self.deviation) / 4
        self.mean += (round_trip_ns - self.mean) / 8

    def timeout(self, limit: int) -> int:
        """How long to wait for an answer, ns."""
        if self.mean == 0:
            return min(limit, DEFAULT_TIMEOUT_NS)
        return min(limit, max(MIN_TIMEOUT_NS, int(self.mean + 4 * self.deviation)))


class Links:
    """This member's row, the delays, and the rows that the others tell."""

    def __init__(self, roster: Roster) -> None:
        self.me, self.roster = roster.me, roster
        self.round_trips: dict[int, RoundTripEstimate] = {}
        self.unreachable: set[int] = set()  # did not answer this one's own last probe
        self.last_success_at: dict[int, int] = {}  # when a probe last came back
        self.version = 0
        self.rows: dict[int, ReachabilityRow] = {}

    def round_trip(self, member: int) -> RoundTripEstimate:
        """Of the way to a member."""
        return self.round_trips.setdefault(member, RoundTripEstimate())

    def record_reply(self, member: int, round_trip_ns: int, now: int) -> None:
        """It answered a probe of this one's own, after `took` ns."""
        self.round_trip(member).record(round_trip_ns)
        self.last_success_at[member] = now
        if member in self.unreachable:
            self.unreachable.discard(member)
            self.version = (self.version + 1) % VERSION_LIMIT

    def record_no_reply(self, member: int) -> None:
        """It did not."""
        if member not in self.unreachable:
            self.unreachable.add(member)
            self.version = (self.version + 1) % VERSION_LIMIT

    def own_row(self) -> ReachabilityRow:
        """Whom this one reaches, as far as it has tried."""
        bits = self.roster.bitmap
        for member in self.unreachable:
            bits &= ~(1 << member)
        return ReachabilityRow(self.me, self.version, bits)

    def apply_row(self, row: ReachabilityRow) -> None:
        """Another's row; an older version changes nothing."""
        current = self.rows.get(row.member)
        if row.member != self.me and (
            current is None or 0 < (row.version - current.version) % VERSION_LIMIT < VERSION_LIMIT // 2
        ):
            self.rows[row.member] = row

    def forget(self, member: int) -> None:
        """A new life begins anew."""
        self.rows.pop(member, None)
        self.round_trips.pop(member, None)
        self.unreachable.discard(member)

    def reports_reachable(self, one: int, other: int) -> bool:
        """Does `one` say that it reaches the other? True while it says nothing."""
        row = self.own_row() if one == self.me else self.rows.get(one)
        return row is None or one == other or bool(row.bitmap >> other & 1)

    def unreachable_pairs(self, members: list[int]) -> list[tuple[int, int]]:
        """The pairs in which the first does not reach the second itself."""
        pairs = []
        for one in members:
            row = self.own_row() if one == self.me else self.rows.get(one)
            if row is not None:
                pairs += [(one, other) for other in members if one != other and not row.bitmap >> other & 1]
        return pairs
