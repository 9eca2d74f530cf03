"""The agreement of one core machine. No I/O: messages, links and the time come in, messages are taken out.

First version: the signatures stand, the bodies follow.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from pepperrun.queen.values import Body, Memory, Op, Store

MS = 1_000_000
Message = dict[str, Any]
# Judges an operator's change on a body: the new body, or None for no change, and what to tell the operator (any
# JSON). Pure and the same on all machines; never changes the body it is given; an op that the body has taken
# already gives (None, the same verdict as then).
Apply = Callable[[Body, Op], tuple[Body | None, Any]]


@dataclass(frozen=True)
class Pace:
    """Lengths of time, ns."""

    read: int = 400 * MS  # between two read rounds
    round: int = 300 * MS  # for each half of a round
    wait: int = 40 * MS  # at least, after a refusal; doubled each time
    patience: int = 1500 * MS  # for a change, unless told otherwise
    up: int = 1200 * MS  # who was heard within it is up
    silent: int = 1500 * MS  # a keeper not heard for so long gets a successor
    lost: int = 4000 * MS  # a voter not heard for so long gives its place to a machine that is up


class Result(NamedTuple):
    """What became of a change. `verdict` None: nothing is certain (`why`: "minority" or "patience")."""

    token: int
    verdict: Any
    number: int
    why: str = ""


class Change(NamedTuple):
    """The chosen body went from one number to a later. `op` None: not by one known op, take the whole body."""

    base: int
    number: int
    op: Op | None


class Queen:
    """One core machine, `me` by its ip. After each call take out what is there: messages, results, changes.

    `memory` comes from the disk (`wax.Wax.begin`) and `store.save` syncs it before messages are given out.
    `regions`: the region of each zone. `most`: voters at most (odd).
    """

    def __init__(
        self,
        me: str,
        memory: Memory,
        store: Store,
        apply: Apply,
        *,
        zone: str,
        regions: Mapping[str, str],
        most: int,
        seed: int,
        now: int,
        pace: Pace | None = None,
    ) -> None:
        self.me, self.memory, self.store, self.apply = me, memory, store, apply

    # What is held.

    @property
    def number(self) -> int:
        """Of the newest body known as chosen; -1 while none is known."""
        return self.memory.chosen.value.number if self.memory.chosen else -1

    @property
    def body(self) -> Body:
        """The newest body known as chosen (not to be changed); empty while none is known."""
        return self.memory.chosen.body if self.memory.chosen else {}

    @property
    def fresh_at(self) -> int | None:
        """Steady ns at which `body` was surely the newest; None: not known in this life of the process."""
        return None

    @property
    def voters(self) -> set[str]:
        """Ips of the machines that vote: links to them are wanted."""
        return self.memory.chosen.value.ips if self.memory.chosen else set()

    @property
    def votes(self) -> bool:
        """Does this life of this machine vote?"""
        return False

    @property
    def keeper(self) -> str:
        """Ip of the machine that sees to the voters; empty while not known."""
        return self.memory.chosen.value.keeper if self.memory.chosen else ""

    @property
    def minority(self) -> bool:
        """Are fewer up than decide? Then changes fail at once."""
        return True

    # Events.

    def connected(self, ip: str, zone: str, now: int) -> None:
        """A link to another core machine is up (after its hello)."""

    def disconnected(self, ip: str, now: int) -> None:
        """The last link to it is gone."""

    def receive(self, ip: str, message: Message, now: int) -> None:
        """A message (`m`) of another core machine; HiveError, and nothing done, where it can't be meant."""

    def propose(self, op: Op, now: int, patience: int | None = None) -> int:
        """An operator's change; the token under which its result will be told. `patience`: ns."""
        return 0

    def retire(self, now: int) -> None:
        """This process is to stop: if it is the keeper it names another. Goes on otherwise until it ends."""

    def due(self) -> int:
        """When `tick` is to be called at the latest (steady ns)."""
        return 0

    def tick(self, now: int) -> None:
        """Does what is due."""

    # What is to be done. Each syncs first what it rests on; HiveError from the disk ends this life's vote.

    def take_out(self) -> list[tuple[str, Message]]:
        """Messages with the ips they go to."""
        return []

    def take_results(self) -> list[Result]:
        """What became of changes."""
        return []

    def take_changes(self) -> list[Change]:
        """How `body` went on, in order."""
        return []
