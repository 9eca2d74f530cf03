"""Round-trip times to the other members, and the reachability matrix of the group. Does no I/O."""

from __future__ import annotations

from pepperrun.membership.roster import Roster
from pepperrun.membership.wire import ReachabilityRow

MIN_TIMEOUT_NS = 40_000_000  # a reply may be delayed this long by a busy core
DEFAULT_TIMEOUT_NS = 100_000_000  # before the first round trip was measured
VERSION_LIMIT = 2**16


class RoundTripEstimate:
    """Smoothed mean and deviation of a round-trip time, as for TCP (RFC 6298), in ns."""

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0

    def record(self, round_trip_ns: int) -> None:
        """Adds a measured round trip, in ns."""
        if self.mean == 0:
            self.mean, self.deviation = float(max(1, round_trip_ns)), round_trip_ns / 2
            return
        self.deviation += (abs(round_trip_ns - self.mean) - self.deviation) / 4
        self.mean += (round_trip_ns - self.mean) / 8

    def timeout(self, limit: int) -> int:
        """How long to wait for a reply, in ns, at most `limit`."""
        if self.mean == 0:
            return min(limit, DEFAULT_TIMEOUT_NS)
        return min(limit, max(MIN_TIMEOUT_NS, int(self.mean + 4 * self.deviation)))


class Links:
    """This member's row of the reachability matrix, its round-trip times, and the rows of the others."""

    def __init__(self, roster: Roster) -> None:
        self.me, self.roster = roster.me, roster
        self.round_trips: dict[int, RoundTripEstimate] = {}
        self.unreachable: set[int] = set()  # members that did not reply to this one's last direct probe
        self.last_success_at: dict[int, int] = {}  # when a direct probe last got a reply
        self.version = 0
        self.rows: dict[int, ReachabilityRow] = {}

    def round_trip(self, member: int) -> RoundTripEstimate:
        """The round-trip estimate of a member, created on first use."""
        return self.round_trips.setdefault(member, RoundTripEstimate())

    def record_reply(self, member: int, round_trip_ns: int, now: int) -> None:
        """Notes a reply to a direct probe, after `round_trip_ns`."""
        self.round_trip(member).record(round_trip_ns)
        self.last_success_at[member] = now
        if member in self.unreachable:
            self.unreachable.discard(member)
            self.version = (self.version + 1) % VERSION_LIMIT

    def record_no_reply(self, member: int) -> None:
        """Notes that a direct probe got no reply in time."""
        if member not in self.unreachable:
            self.unreachable.add(member)
            self.version = (self.version + 1) % VERSION_LIMIT

    def own_row(self) -> ReachabilityRow:
        """This member's row: all members except those whose last direct probe failed."""
        bits = self.roster.bitmap
        for member in self.unreachable:
            bits &= ~(1 << member)
        return ReachabilityRow(self.me, self.version, bits)

    def apply_row(self, row: ReachabilityRow) -> None:
        """Stores another member's row; an older version is ignored."""
        current = self.rows.get(row.member)
        if row.member != self.me and (
            current is None or 0 < (row.version - current.version) % VERSION_LIMIT < VERSION_LIMIT // 2
        ):
            self.rows[row.member] = row

    def forget(self, member: int) -> None:
        """Drops what is known of a member that restarted or was removed."""
        self.rows.pop(member, None)
        self.round_trips.pop(member, None)
        self.unreachable.discard(member)

    def reports_reachable(self, one: int, other: int) -> bool:
        """Whether `one` reports that it reaches `other`; True without a row from it."""
        row = self.own_row() if one == self.me else self.rows.get(one)
        return row is None or one == other or bool(row.bitmap >> other & 1)

    def unreachable_pairs(self, members: list[int]) -> list[tuple[int, int]]:
        """The pairs of these members whose first does not reach the second directly."""
        pairs = []
        for one in members:
            row = self.own_row() if one == self.me else self.rows.get(one)
            if row is not None:
                pairs += [(one, other) for other in members if one != other and not row.bitmap >> other & 1]
        return pairs
