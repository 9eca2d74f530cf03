"""Numbered views of who is there, and the side of a cut on which this member stands. Does no I/O.

A view is a set of members with their lives. It changes only once what is known has settled: while somebody
is suspected, or words still come in, the old one stands, so that many failures together make one change.
There is no vote: who has heard the same words holds the same set, and its number is the largest that
anybody gave it. Nothing waits for a view but what is written in `steps`.
"""

from __future__ import annotations

import enum
import hashlib
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

SETTLE_NS = 150_000_000  # without a further word: one takes about so long to reach all
RECHECK_NS = 50_000_000
MAX_UNSETTLED_NS = 3_000_000_000  # an unsettled view stands so long at most: two of the longest suspicions

MemberSet = frozenset[tuple[int, int]]  # members with their lives


def digest_of(members: MemberSet, ids: Mapping[int, int] | None = None) -> int:
    """32 bits that two different sets hardly ever share; `ids` where each member has its own numbers."""
    if ids is None:
        data = b"".join(struct.pack("<HI", *one) for one in sorted(members))
    else:
        known = sorted((ids.get(member, 0), generation) for member, generation in members)
        data = b"".join(struct.pack("<II", *one) for one in known)
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "little")


@dataclass(frozen=True)
class View:
    """A numbered set of members, and when it was installed."""

    number: int
    members: MemberSet
    digest: int
    installed_at: int

    @cached_property
    def _member_numbers(self) -> frozenset[int]:
        return frozenset(member for member, _ in self.members)

    def member_numbers(self) -> frozenset[int]:
        """The members without their lives."""
        return self._member_numbers


class Views:
    """The view in force and what the others hold."""

    def __init__(self, now: int, ids: Mapping[int, int] | None = None) -> None:
        self.wire_ids = ids
        self.view = View(0, frozenset(), digest_of(frozenset()), now)
        self.reported: dict[int, tuple[int, int]] = {}  # member: number and digest of its view
        self.highest_number = 0  # the largest number heard
        self.candidate: MemberSet = frozenset()
        self.changed_at = self.differs_since = now
        self.installed_count = 0  # views installed so far

    def record_reported(self, member: int, number: int, digest: int) -> None:
        """Another member's view; one that is the same brings its number along."""
        self.reported[member] = number, digest
        if digest == self.view.digest and number > self.view.number:
            self.view = View(number, self.view.members, digest, self.view.installed_at)
        self.highest_number = max(self.highest_number, number)

    def set_candidate(self, candidate: MemberSet, now: int) -> None:
        """What the records say now."""
        if candidate != self.candidate:
            if self.candidate == self.view.members:
                self.differs_since = now
            self.candidate, self.changed_at = candidate, now

    def install_if_settled(self, candidate: MemberSet, unsettled: bool, now: int) -> View | None:
        """The new view where it is time to install one."""
        self.set_candidate(candidate, now)
        if candidate == self.view.members:
            return None
        settled = not unsettled and now - self.changed_at >= SETTLE_NS
        if not settled and now - self.differs_since < MAX_UNSETTLED_NS:
            return None
        digest = digest_of(candidate, self.wire_ids)
        same = [number for number, other in self.reported.values() if other == digest]
        number = max(same) if same else self.highest_number + 1
        self.view = View(max(number, self.view.number + 1), candidate, digest, now)
        self.highest_number = max(self.highest_number, self.view.number)
        self.differs_since, self.installed_count = now, self.installed_count + 1
        return self.view

    def next_check_at(self, now: int) -> int | None:
        """When to look again; None where nothing is to be installed."""
        if self.candidate == self.view.members:
            return None
        settles = self.changed_at + SETTLE_NS
        # Past it something else holds the view up: looked at now and then, and whenever anything is heard.
        return max(
            now + 1,
            min(settles if settles > now else now + RECHECK_NS, self.differs_since + MAX_UNSETTLED_NS),
        )

    def differing(self, members: list[int]) -> list[int]:
        """Those of the members who hold another view than this one."""
        return [m for m in members if m in self.reported and self.reported[m][1] != self.view.digest]


class Side(enum.Enum):
    """Where a member stands, by the set that was configured less those who left in order."""

    COMPLETE = "whole"  # all are there
    MAJORITY = "majority"  # more than half, or just half with the lowest number among them
    MINORITY = "minority"
    ISOLATED = "alone"  # nobody else is there


def side_of(
    present: frozenset[int], configured: frozenset[int], me: int, ids: Mapping[int, int] | None = None
) -> Side:
    """By count alone: the dead and those behind a cut look the same from here."""
    here = present & configured
    if here >= configured:
        return Side.COMPLETE
    if here <= {me}:
        return Side.ISOLATED
    first = min(configured, key=lambda member: ids.get(member, 0) if ids is not None else member)
    half = 2 * len(here) == len(configured) and first in here
    return Side.MAJORITY if 2 * len(here) > len(configured) or half else Side.MINORITY
