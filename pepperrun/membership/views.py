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
LOOK_NS = 50_000_000
HOLD_NS = 3_000_000_000  # an unsettled view stands so long at most: two of the longest suspicions

Held = frozenset[tuple[int, int]]  # members with their lives


def digest_of(members: Held, ids: Mapping[int, int] | None = None) -> int:
    """32 bits that two different sets hardly ever share; `ids` where each member has its own numbers."""
    if ids is None:
        data = b"".join(struct.pack("<HI", *one) for one in sorted(members))
    else:
        known = sorted((ids.get(member, 0), life) for member, life in members)
        data = b"".join(struct.pack("<II", *one) for one in known)
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "little")


@dataclass(frozen=True)
class View:
    """A numbered set of members, and when it was installed."""

    number: int
    members: Held
    digest: int
    at: int

    @cached_property
    def _numbers(self) -> frozenset[int]:
        return frozenset(member for member, _ in self.members)

    def numbers(self) -> frozenset[int]:
        """The members without their lives."""
        return self._numbers


class Views:
    """The view in force and what the others hold."""

    def __init__(self, now: int, ids: Mapping[int, int] | None = None) -> None:
        self.ids = ids
        self.view = View(0, frozenset(), digest_of(frozenset()), now)
        self.told: dict[int, tuple[int, int]] = {}  # member: number and digest of its view
        self.most = 0  # the largest number heard
        self.candidate: Held = frozenset()
        self.changed_at = self.differs_since = now
        self.passed = 0  # views installed so far

    def hear(self, member: int, number: int, digest: int) -> None:
        """Another member's view; one that is the same brings its number along."""
        self.told[member] = number, digest
        if digest == self.view.digest and number > self.view.number:
            self.view = View(number, self.view.members, digest, self.view.at)
        self.most = max(self.most, number)

    def note(self, candidate: Held, now: int) -> None:
        """What the records say now."""
        if candidate != self.candidate:
            if self.candidate == self.view.members:
                self.differs_since = now
            self.candidate, self.changed_at = candidate, now

    def consider(self, candidate: Held, unsettled: bool, now: int) -> View | None:
        """The new view where it is time to install one."""
        self.note(candidate, now)
        if candidate == self.view.members:
            return None
        settled = not unsettled and now - self.changed_at >= SETTLE_NS
        if not settled and now - self.differs_since < HOLD_NS:
            return None
        digest = digest_of(candidate, self.ids)
        same = [number for number, other in self.told.values() if other == digest]
        number = max(same) if same else self.most + 1
        self.view = View(max(number, self.view.number + 1), candidate, digest, now)
        self.most = max(self.most, self.view.number)
        self.differs_since, self.passed = now, self.passed + 1
        return self.view

    def due(self, now: int) -> int | None:
        """When to look again; None where nothing is to be installed."""
        if self.candidate == self.view.members:
            return None
        settles = self.changed_at + SETTLE_NS
        # Past it something else holds the view up: looked at now and then, and whenever anything is heard.
        return max(now + 1, min(settles if settles > now else now + LOOK_NS, self.differs_since + HOLD_NS))

    def apart(self, members: list[int]) -> list[int]:
        """Those of the members who hold another view than this one."""
        return [m for m in members if m in self.told and self.told[m][1] != self.view.digest]


class Side(enum.Enum):
    """Where a member stands, by the set that was configured less those who left in order."""

    WHOLE = "whole"  # all are there
    MAJORITY = "majority"  # more than half, or just half with the lowest number among them
    MINORITY = "minority"
    ALONE = "alone"  # nobody else is there


def side_of(
    there: frozenset[int], configured: frozenset[int], me: int, ids: Mapping[int, int] | None = None
) -> Side:
    """By count alone: the dead and those behind a cut look the same from here."""
    here = there & configured
    if here >= configured:
        return Side.WHOLE
    if here <= {me}:
        return Side.ALONE
    first = min(configured, key=lambda member: ids.get(member, 0) if ids is not None else member)
    half = 2 * len(here) == len(configured) and first in here
    return Side.MAJORITY if 2 * len(here) > len(configured) or half else Side.MINORITY
