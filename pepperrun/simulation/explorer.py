"""Explorer (bounded model checking): the walk over all that may happen to a world, whatever it is made of.

A world forks, has a key of all that makes a difference to what may still happen, and actions: the caller says
which there are and does them. `act` and `settle` give what is wrong after it, or nothing.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, Self, TypeVar

Action = tuple[Any, ...]


class Forks(Protocol):
    """What a world has to have."""

    def fork(self) -> Self: ...
    def key(self) -> Hashable: ...


W = TypeVar("W", bound=Forks)


@dataclass(slots=True)
class Found:
    """What the search came to. `broken`: what was wrong, after which actions."""

    states: int = 0
    again: int = 0
    deepest: int = 0
    settled: int = 0
    broken: str = ""
    trace: list[Action] = field(default_factory=list)
    whole: bool = True

    def row(self, seed: int) -> dict[str, Any]:
        """For tables."""
        row = {"seed": seed, "states": self.states, "reached again": self.again, "deepest": self.deepest}
        return row | {"whole": self.whole, "settled": self.settled, "broken": self.broken}


@dataclass(slots=True)
class Game(Generic[W]):
    """What is searched. `settle` is a run without faults from a world, which it may use up."""

    begun: Callable[[], W]
    actions: Callable[[W], Iterable[Action]]
    act: Callable[[W, Action], str]
    settle: Callable[[W, random.Random], str]

    def search(self, depth: int, most: int, settle_each: int = 0, seed: int = 1) -> Found:
        """Depth first over all that may happen, each state once. `most`: states to look at; then not whole.

        With a `seed` the order is drawn: searches that are not whole look at other parts. Every
        `settle_each`-th state is settled.
        """
        found, seen, rng = Found(), dict[Hashable, int](), random.Random(seed)
        stack: list[tuple[W, list[Action]]] = [(self.begun(), [])]
        while stack:
            world, trace = stack.pop()
            key = world.key()
            if seen.get(key, depth + 1) <= len(trace):
                found.again += 1
                continue
            seen[key] = len(trace)
            found.states += 1
            found.deepest = max(found.deepest, len(trace))
            if settle_each and found.states % settle_each == 0:
                found.settled += 1
                if wrong := self.settle(world.fork(), rng):
                    found.broken, found.trace = wrong, trace
                    return found
            if found.states >= most or len(trace) >= depth:
                found.whole = False
                if found.states >= most:
                    return found
                continue
            possible = sorted(self.actions(world), key=repr)
            if seed:
                rng.shuffle(possible)
            for action in possible:
                follows = world.fork()
                if wrong := self.act(follows, action):
                    found.broken, found.trace = wrong, [*trace, action]
                    return found
                stack.append((follows, [*trace, action]))
        return found
