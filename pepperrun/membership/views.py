"""Numbered views of the present members, and the side of a partition that a member is on. Does no I/O.

A view is a set of members with their generations. A new one is installed only after the records have settled:
while a member is suspected or updates still arrive, the old view stays, so that many simultaneous failures
make one change. There is no vote: members with the same records hold the same set, and its number is the
highest that any of them gave it. Only the rules in `steps` depend on views.
"""

from __future__ import annotations

import enum
import hashlib
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

SETTLE_NS = 150_000_000  # without a further change; about the time that an update takes to reach all
RECHECK_NS = 50_000_000
MAX_UNSETTLED_NS = 3_000_000_000  # a new view is not delayed longer: twice the longest suspicion

MemberSet = frozenset[tuple[int, int]]  # members with their generations


def digest_of(members: MemberSet, wire_ids: Mapping[int, int] | None = None) -> int:
    """A 32-bit hash of a set; `wire_ids` maps numbers to common IDs if each process has its own numbers."""
    if wire_ids is None:
        data = b"".join(struct.pack("<HI", *one) for one in sorted(members))
    else:
        known = sorted((wire_ids.get(member, 0), generation) for member, generation in members)
        data = b"".join(struct.pack("<II", *one) for one in known)
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "little")


@dataclass(frozen=True)
class View:
    """A numbered set of members, its digest, and when it was installed, in ns."""

    number: int
    members: MemberSet
    digest: int
    installed_at: int

    @cached_property
    def _member_numbers(self) -> frozenset[int]:
        return frozenset(member for member, _ in self.members)

    def member_numbers(self) -> frozenset[int]:
        """The members without their generations."""
        return self._member_numbers


class Views:
    """The view in force, the candidate for the next one, and the views that the others report."""

    def __init__(self, now: int, wire_ids: Mapping[int, int] | None = None) -> None:
        self.wire_ids = wire_ids
        self.view = View(0, frozenset(), digest_of(frozenset()), now)
        self.reported: dict[int, tuple[int, int]] = {}  # member: number and digest of its view
        self.highest_number = 0  # of any view that this member knows
        self.candidate: MemberSet = frozenset()
        self.changed_at = self.differs_since = now
        self.installed_count = 0

    def record_reported(self, member: int, number: int, digest: int) -> None:
        """Notes another member's view. A higher number of the same set of members is adopted."""
        self.reported[member] = number, digest
        if digest == self.view.digest and number > self.view.number:
            self.view = View(number, self.view.members, digest, self.view.installed_at)
        self.highest_number = max(self.highest_number, number)

    def set_candidate(self, candidate: MemberSet, now: int) -> None:
        """Sets the candidate: the members that are present by the records."""
        if candidate != self.candidate:
            if self.candidate == self.view.members:
                self.differs_since = now
            self.candidate, self.changed_at = candidate, now

    def install_if_settled(self, candidate: MemberSet, unsettled: bool, now: int) -> View | None:
        """Installs and returns a new view, or returns None if it is not time for one."""
        self.set_candidate(candidate, now)
        if candidate == self.view.members:
            return None
        settled = not unsettled and now - self.changed_at >= SETTLE_NS
        if not settled and now - self.differs_since < MAX_UNSETTLED_NS:
            return None
        digest = digest_of(candidate, self.wire_ids)
        matching_numbers = [number for number, other in self.reported.values() if other == digest]
        number = max(matching_numbers) if matching_numbers else self.highest_number + 1
        self.view = View(max(number, self.view.number + 1), candidate, digest, now)
        self.highest_number = max(self.highest_number, self.view.number)
        self.differs_since, self.installed_count = now, self.installed_count + 1
        return self.view

    def next_check_at(self, now: int) -> int | None:
        """When to check again, in ns; None if the candidate is the view in force."""
        if self.candidate == self.view.members:
            return None
        settles = self.changed_at + SETTLE_NS
        # After that time a suspicion delays the view: checked at intervals, and with each datagram.
        return max(
            now + 1,
            min(settles if settles > now else now + RECHECK_NS, self.differs_since + MAX_UNSETTLED_NS),
        )

    def differing(self, members: list[int]) -> list[int]:
        """Those of the members that report another view than this member's."""
        return [m for m in members if m in self.reported and self.reported[m][1] != self.view.digest]


class Side(enum.Enum):
    """Partition side of a member, among all members of the roster that have not left gracefully."""

    COMPLETE = "whole"  # all are present
    # More than half are present, or exactly half including the first of all these members: the one with the
    # lowest wire ID, or with the lowest number if there are no wire IDs.
    MAJORITY = "majority"
    MINORITY = "minority"
    ISOLATED = "alone"  # no other member is present


def side_of(
    present: frozenset[int], expected: frozenset[int], me: int, wire_ids: Mapping[int, int] | None = None
) -> Side:
    """The side by count alone: dead members and those behind a partition cannot be told apart."""
    present_members = present & expected
    if present_members >= expected:
        return Side.COMPLETE
    if present_members <= {me}:
        return Side.ISOLATED
    first = min(expected, key=lambda member: wire_ids.get(member, 0) if wire_ids is not None else member)
    exact_half = 2 * len(present_members) == len(expected) and first in present_members
    return Side.MAJORITY if 2 * len(present_members) > len(expected) or exact_half else Side.MINORITY
