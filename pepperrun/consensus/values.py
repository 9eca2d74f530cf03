"""What the register holds: ballots, values, the lives that vote, and the record of it that a disk keeps."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from pepperrun.consensus.canonical_json import Texts

Body = dict[str, Any]
Op = dict[str, Any]


class Ballot(NamedTuple):
    """The order of rounds: a later one, then by who began it. `by`: one start of one process, no other."""

    round: int
    by: str


NONE = Ballot(-1, "")  # before anything
BEGIN = Ballot(0, "")  # of the first value, which no round chose
FIRST_LIFE = "first"  # of the first contacts, at the very first start


class Life(NamedTuple):
    """A voter: a machine with what one disk of it remembers. An empty disk is another life."""

    ip: str
    life: str


@dataclass(frozen=True, slots=True)
class Value:
    """What is agreed on. `number` grows by one with each change of the body; `digest` is the body's.

    A majority of `voters` decides. While these are being changed a majority of `was`, those before, has to
    decide the same; whoever is in `was` only is on the way out. `keeper`: who sees to the voters (an ip).
    """

    number: int
    voters: tuple[Life, ...]
    was: tuple[Life, ...]
    keeper: str
    digest: str

    @property
    def sets(self) -> tuple[tuple[Life, ...], ...]:
        """Of each of these a majority has to agree."""
        return (self.voters, self.was) if self.was else (self.voters,)

    @property
    def ips(self) -> set[str]:
        """The machines of all that have a vote."""
        return {one.ip for group in self.sets for one in group}

    def quorum(self, lives: Iterable[Life]) -> bool:
        """Do these lives decide?"""
        have = set(lives)
        return all(2 * len(have.intersection(group)) > len(group) for group in self.sets)


class Held(NamedTuple):
    """A value, whole, and the ballot under which it was taken."""

    ballot: Ballot
    value: Value
    body: Body


@dataclass(slots=True)
class Memory:
    """What a disk keeps. `starts` counts the starts of the process on this disk, this one included."""

    life: str
    starts: int = 1
    promised: Ballot = NONE
    accepted: Held | None = None
    chosen: Held | None = None


class Store(Protocol):
    """Keeps the memory."""

    def save(self, memory: Memory) -> None:
        """Returns when all of it is synced; PepperrunError where that can't be had."""


@dataclass(slots=True)
class RamStore:
    """Keeps it as long as the process lives: for models and tests."""

    saves: int = field(default=0)

    def save(self, memory: Memory) -> None:
        """Counts."""
        self.saves += 1


SORTED = Texts(sort=True)


def digest_of(body: Body) -> str:
    """The same for bodies that are equal, whatever the order of their names."""
    return hashlib.blake2b(SORTED.of(body).encode(), digest_size=12).hexdigest()


def beginning(contacts: Iterable[str]) -> Held:
    """The value before all others: the first contacts (ips) vote, the body is empty."""
    voters = tuple(Life(ip, FIRST_LIFE) for ip in sorted(set(contacts)))
    return Held(BEGIN, Value(0, voters, (), voters[0].ip, digest_of({})), {})
