"""What is known of each connection that holds no request, and what is to become of it. Does no I/O.

The key of a record is the connection's descriptor: the system gives the lowest free ones, so arrays by
descriptor are dense and no table leads from one to the other. A number that is closed and used again at once
is told apart by its generation wherever it may have been written down in between.
"""

from __future__ import annotations

from array import array
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from pepperrun.parking.config import ClientsConfig
from pepperrun.parking.rings import Rings
from pepperrun.parking.wheel import Wheel

GROW = 1024
LATER_NS = 1_000_000_000  # between looks at a connection that is being served
RECENT_NS = 5_000_000_000  # a connection used within this time is in use, and goes before those long silent
TURNS = 4  # of so many turns one goes to those long silent, whoever else waits
KEPT = 8  # this part of `most_asking` is kept for connections in use


class State(IntEnum):
    """Where a descriptor stands."""

    FREE = 0
    PARKED = 1  # silent: a record and nothing else
    WAITING = 2  # has spoken, and is to be taken up
    TAKEN = 3  # has transport, protocol and buffer


class Rank(IntEnum):
    """Who gives way first: the lowest, and of one rank who has been silent longest."""

    SILENT = 0  # has never sent a byte
    UNASKED = 1  # has had answers, none of which took an exchange: asked whether this gatekeeper is ready
    ONCE = 2
    OFTEN = 3


PARTIAL = len(Rank)  # the ring of those that have sent a part of a request: their time is short as it is


@dataclass(slots=True, frozen=True)
class Record:
    """A connection between two requests, as it passes from one holder to the next."""

    front: int  # the number of the front that it came through
    rank: Rank
    since: int  # when it was last used, in nanoseconds; for one that never was, when it was made
    held: bytes = b""  # a part of a request
    held_at: int = 0  # when its first byte came


class Ledger:
    """The records, their timers and their order. Times are nanoseconds on one clock."""

    def __init__(self, config: ClientsConfig, now: int) -> None:
        self.config = config
        self.wheel = Wheel(now)
        self.order = Rings(len(Rank) + 1)
        self.state = bytearray()
        self.front = bytearray()
        self.rank = bytearray()
        self.generation = array("H")
        self.since = array("q")
        self.held: dict[int, tuple[bytes, int]] = {}
        self.woken: dict[int, int] = {}  # waiting, and since when
        # Key and generation in the order of waking: connections in use, and those that were long silent.
        self.queues: tuple[deque[tuple[int, int]], deque[tuple[int, int]]] = deque(), deque()
        self.turn = 0
        self.parked = self.taken = 0
        self.ranks = [0] * (len(Rank) + 1)  # parked ones by ring

    def __len__(self) -> int:
        return self.parked + self.taken + len(self.woken)

    def _room(self, key: int) -> None:
        have = len(self.state)
        if key < have:
            return
        more = key + 1 - have + GROW
        self.state.extend(bytes(more))
        self.front.extend(bytes(more))
        self.rank.extend(bytes(more))
        self.generation.extend(array("H", [0]) * more)
        self.since.extend(array("q", [0]) * more)
        self.wheel.grow(have + more)
        self.order.grow(have + more)

    # Parked.

    def park(self, key: int, record: Record) -> None:
        """A descriptor that had no record, or was taken up, is silent from now on."""
        self._room(key)
        if self.state[key] != State.FREE:
            self.drop(key)
        self.state[key] = State.PARKED
        self.front[key], self.rank[key], self.since[key] = record.front, record.rank, record.since
        if record.held:
            self.held[key] = record.held, record.held_at
        ring = self._ring(key)
        self.order.append(ring, key)
        self.ranks[ring] += 1
        self.parked += 1
        self.wheel.insert(key, self._due(key))

    def _ring(self, key: int) -> int:
        return PARTIAL if key in self.held else self.rank[key]

    def _due(self, key: int) -> int:
        if key in self.held:
            return self.held[key][1] + self.config.request_ns
        silent = self.rank[key] == Rank.SILENT
        return self.since[key] + (self.config.first_byte_ns if silent else self.config.idle_ns)

    def record(self, key: int) -> Record:
        """What is known of a parked or waiting connection."""
        held, held_at = self.held.get(key, (b"", 0))
        return Record(self.front[key], Rank(self.rank[key]), self.since[key], held, held_at)

    def due(self, key: int) -> int | None:
        """When its time is up."""
        return self.wheel.due(key) if key < len(self.state) else None

    def drop(self, key: int) -> None:
        """The descriptor is closed or passed on: its number may mean another connection from now on."""
        match self.state[key] if key < len(self.state) else State.FREE:
            case State.PARKED:
                self._unpark(key)
            case State.WAITING:
                del self.woken[key]
            case State.TAKEN:
                self.taken -= 1
            case _:
                return
        self.wheel.cancel(key)
        self.held.pop(key, None)
        self.state[key] = State.FREE
        self.generation[key] = (self.generation[key] + 1) & 0xFFFF

    def _unpark(self, key: int) -> None:
        self.order.remove(key)
        self.ranks[self._ring(key)] -= 1
        self.parked -= 1

    # Waking.

    def wake(self, key: int, now: int) -> bool:
        """A parked connection has spoken; False for one that is not parked (an event that came too late)."""
        if key >= len(self.state) or self.state[key] != State.PARKED:
            return False
        self._unpark(key)
        self.wheel.cancel(key)
        self.state[key] = State.WAITING
        self.woken[key] = now
        long_silent = now - self.since[key] >= RECENT_NS
        self.queues[long_silent].append((key, self.generation[key]))
        return True

    def next_up(self) -> tuple[int, Record, int] | None:
        """Who is next, its record and when it woke, if it may be taken up now; it then is.

        Ten thousand that wake at once must not delay a client that is in the middle of its work, whose
        connection happened to be parked: connections in use go first, and have some places to themselves.
        """
        in_use, silent = self.queues
        most = self.config.most_asking
        if self.taken >= most:
            return None
        for queue in self.queues:
            while queue and not self._waits(*queue[0]):
                queue.popleft()
        self.turn += 1
        may = bool(silent) and self.taken < most - most // KEPT
        if may and (not in_use or self.turn % TURNS == 0):
            return self._up(silent.popleft()[0])
        return self._up(in_use.popleft()[0]) if in_use else None

    def _waits(self, key: int, generation: int) -> bool:
        return self.state[key] == State.WAITING and self.generation[key] == generation

    def _up(self, key: int) -> tuple[int, Record, int]:
        record, woken = self.record(key), self.woken.pop(key)
        self.held.pop(key, None)
        self.state[key] = State.TAKEN
        self.taken += 1
        return key, record, woken

    def crowded(self) -> bool:
        """Do some wait because as many as may ask have been taken up?"""
        most = self.config.most_asking
        return bool(self.woken) and self.taken >= most - most // KEPT

    # Taken up.

    def watch(self, key: int, due: int) -> None:
        """When to look again at a connection that is taken up."""
        if self.state[key] == State.TAKEN:
            self.wheel.insert(key, due)

    # Time.

    def fire(self, now: int, most: int) -> list[tuple[int, State]]:
        """Whose time is up, at most so many looked at. Parked ones still are parked, and have no timer."""
        self.wheel.advance(now)
        fired = []
        for key in self.wheel.take(now, most):
            state = State(self.state[key])
            if state is State.PARKED and (due := self._due(key)) > now:  # counted by other times since
                self.wheel.insert(key, due)
                continue
            fired.append((key, state))
        return fired

    def follow(self, config: ClientsConfig) -> None:
        """Other times and limits hold from now on, for those that are parked too."""
        self.config = config
        self.wheel.restart()

    # At the limit.

    def giving_way(self, count: int, now: int) -> list[int]:
        """Parked connections that are missed least, at most `count`."""
        chosen: list[int] = []
        for rank in Rank:
            for key in self.order.members(rank):
                if len(chosen) >= count:
                    return chosen
                if rank is Rank.SILENT and now - self.since[key] < self.config.give_way_ns:
                    break  # it has only just come, and those behind it later still
                chosen.append(key)
        return chosen

    def longest_silent(self, count: int, now: int) -> list[int]:
        """Whom to hand to another process: those least likely to speak soon, at most `count`.

        First whoever has been silent for long, whatever the rank; then those who ask seldom. One with a part
        of a request is about to speak, and stays.
        """
        chosen: list[int] = []
        for rank in Rank:
            for key in self.order.members(rank):
                if len(chosen) >= count:
                    return chosen
                if now - self.since[key] < RECENT_NS:
                    break
                chosen.append(key)
        if chosen:
            return chosen
        for rank in (Rank.UNASKED, Rank.ONCE, Rank.OFTEN, Rank.SILENT):
            for key in self.order.members(rank):
                if len(chosen) >= count:
                    return chosen
                chosen.append(key)
        return chosen
