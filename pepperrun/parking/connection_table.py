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
from pepperrun.parking.linked_lists import LinkedLists
from pepperrun.parking.timer_wheel import TimerWheel

GROWTH = 1024
CHECK_INTERVAL_NS = 1_000_000_000  # between looks at a connection that is being served
RECENT_NS = 5_000_000_000  # a connection used within this time is in use, and goes before those long silent
LONG_SILENT_EVERY = 4  # of so many turns one goes to those long silent, whoever else waits
RESERVED_DIVISOR = 8  # this part of `most_asking` is kept for connections in use


class State(IntEnum):
    """Where a descriptor stands."""

    FREE = 0
    PARKED = 1  # silent: a record and nothing else
    WAITING = 2  # has spoken, and is to be taken up
    ACTIVE = 3  # has transport, protocol and buffer


class EvictionRank(IntEnum):
    """Who gives way first: the lowest, and of one rank who has been silent longest."""

    NEVER_ANSWERED = 0  # has never sent a byte
    NO_EXCHANGE = 1  # has had answers, none of which took an exchange: asked whether this gatekeeper is ready
    ONE_EXCHANGE = 2
    MORE_EXCHANGES = 3


PARTIAL_LIST = len(
    EvictionRank
)  # the ring of those that have sent a part of a request: their time is short as it is


@dataclass(slots=True, frozen=True)
class Record:
    """A connection between two requests, as it passes from one holder to the next."""

    listener_index: int  # the number of the front that it came through
    rank: EvictionRank
    last_used_at: int  # when it was last used, in nanoseconds; for one that never was, when it was made
    buffered: bytes = b""  # a part of a request
    first_byte_at: int = 0  # when its first byte came


class ConnectionTable:
    """The records, their timers and their order. Times are nanoseconds on one clock."""

    def __init__(self, config: ClientsConfig, now: int) -> None:
        self.config = config
        self.timers = TimerWheel(now)
        self.eviction_order = LinkedLists(len(EvictionRank) + 1)
        self.states = bytearray()
        self.listener_indices = bytearray()
        self.ranks = bytearray()
        self.generation = array("H")
        self.last_used_at = array("q")
        self.partial_requests: dict[int, tuple[bytes, int]] = {}
        self.woken_at: dict[int, int] = {}  # waiting, and since when
        # Key and generation in the order of waking: connections in use, and those that were long silent.
        self.wake_queues: tuple[deque[tuple[int, int]], deque[tuple[int, int]]] = deque(), deque()
        self.resume_count = 0
        self.parked_count = self.active_count = 0
        self.rank_counts = [0] * (len(EvictionRank) + 1)  # parked ones by ring

    def __len__(self) -> int:
        return self.parked_count + self.active_count + len(self.woken_at)

    def _reserve(self, key: int) -> None:
        capacity = len(self.states)
        if key < capacity:
            return
        missing = key + 1 - capacity + GROWTH
        self.states.extend(bytes(missing))
        self.listener_indices.extend(bytes(missing))
        self.ranks.extend(bytes(missing))
        self.generation.extend(array("H", [0]) * missing)
        self.last_used_at.extend(array("q", [0]) * missing)
        self.timers.grow(capacity + missing)
        self.eviction_order.grow(capacity + missing)

    # Parked.

    def park(self, key: int, record: Record) -> None:
        """A descriptor that had no record, or was taken up, is silent from now on."""
        self._reserve(key)
        if self.states[key] != State.FREE:
            self.remove(key)
        self.states[key] = State.PARKED
        self.listener_indices[key], self.ranks[key], self.last_used_at[key] = (
            record.listener_index,
            record.rank,
            record.last_used_at,
        )
        if record.buffered:
            self.partial_requests[key] = record.buffered, record.first_byte_at
        list_index = self._list_of(key)
        self.eviction_order.append(list_index, key)
        self.rank_counts[list_index] += 1
        self.parked_count += 1
        self.timers.insert(key, self._expires_at(key))

    def _list_of(self, key: int) -> int:
        return PARTIAL_LIST if key in self.partial_requests else self.ranks[key]

    def _expires_at(self, key: int) -> int:
        if key in self.partial_requests:
            return self.partial_requests[key][1] + self.config.request_ns
        silent = self.ranks[key] == EvictionRank.NEVER_ANSWERED
        return self.last_used_at[key] + (self.config.first_byte_ns if silent else self.config.idle_ns)

    def record(self, key: int) -> Record:
        """What is known of a parked or waiting connection."""
        buffered, first_byte_at = self.partial_requests.get(key, (b"", 0))
        return Record(
            self.listener_indices[key],
            EvictionRank(self.ranks[key]),
            self.last_used_at[key],
            buffered,
            first_byte_at,
        )

    def expires_at(self, key: int) -> int | None:
        """When its time is up."""
        return self.timers.due_at(key) if key < len(self.states) else None

    def remove(self, key: int) -> None:
        """The descriptor is closed or passed on: its number may mean another connection from now on."""
        match self.states[key] if key < len(self.states) else State.FREE:
            case State.PARKED:
                self._unpark(key)
            case State.WAITING:
                del self.woken_at[key]
            case State.ACTIVE:
                self.active_count -= 1
            case _:
                return
        self.timers.cancel(key)
        self.partial_requests.pop(key, None)
        self.states[key] = State.FREE
        self.generation[key] = (self.generation[key] + 1) & 0xFFFF

    def _unpark(self, key: int) -> None:
        self.eviction_order.remove(key)
        self.rank_counts[self._list_of(key)] -= 1
        self.parked_count -= 1

    # Waking.

    def wake(self, key: int, now: int) -> bool:
        """A parked connection has spoken; False for one that is not parked (an event that came too late)."""
        if key >= len(self.states) or self.states[key] != State.PARKED:
            return False
        self._unpark(key)
        self.timers.cancel(key)
        self.states[key] = State.WAITING
        self.woken_at[key] = now
        long_silent = now - self.last_used_at[key] >= RECENT_NS
        self.wake_queues[long_silent].append((key, self.generation[key]))
        return True

    def resume_next(self) -> tuple[int, Record, int] | None:
        """Who is next, its record and when it woke, if it may be taken up now; it then is.

        Ten thousand that wake at once must not delay a client that is in the middle of its work, whose
        connection happened to be parked: connections in use go first, and have some places to themselves.
        """
        in_use, silent = self.wake_queues
        limit = self.config.most_asking
        if self.active_count >= limit:
            return None
        for queue in self.wake_queues:
            while queue and not self._is_waiting(*queue[0]):
                queue.popleft()
        self.resume_count += 1
        may_resume_silent = bool(silent) and self.active_count < limit - limit // RESERVED_DIVISOR
        if may_resume_silent and (not in_use or self.resume_count % LONG_SILENT_EVERY == 0):
            return self._resume(silent.popleft()[0])
        return self._resume(in_use.popleft()[0]) if in_use else None

    def _is_waiting(self, key: int, generation: int) -> bool:
        return self.states[key] == State.WAITING and self.generation[key] == generation

    def _resume(self, key: int) -> tuple[int, Record, int]:
        record, woken_at = self.record(key), self.woken_at.pop(key)
        self.partial_requests.pop(key, None)
        self.states[key] = State.ACTIVE
        self.active_count += 1
        return key, record, woken_at

    def is_crowded(self) -> bool:
        """Do some wait because as many as may ask have been taken up?"""
        limit = self.config.most_asking
        return bool(self.woken_at) and self.active_count >= limit - limit // RESERVED_DIVISOR

    # Taken up.

    def schedule_check(self, key: int, check_at: int) -> None:
        """When to look again at a connection that is taken up."""
        if self.states[key] == State.ACTIVE:
            self.timers.insert(key, check_at)

    # Time.

    def expire_due(self, now: int, limit: int) -> list[tuple[int, State]]:
        """Whose time is up, at most so many looked at. Parked ones still are parked, and have no timer."""
        self.timers.advance(now)
        expired = []
        for key in self.timers.take_due(now, limit):
            state = State(self.states[key])
            if (
                state is State.PARKED and (expires_at := self._expires_at(key)) > now
            ):  # counted by other times since
                self.timers.insert(key, expires_at)
                continue
            expired.append((key, state))
        return expired

    def apply_config(self, config: ClientsConfig) -> None:
        """Other times and limits hold from now on, for those that are parked too."""
        self.config = config
        self.timers.hand_out_all()

    # At the limit.

    def eviction_candidates(self, count: int, now: int) -> list[int]:
        """Parked connections that are missed least, at most `count`."""
        chosen: list[int] = []
        for rank in EvictionRank:
            for key in self.eviction_order.members(rank):
                if len(chosen) >= count:
                    return chosen
                if (
                    rank is EvictionRank.NEVER_ANSWERED
                    and now - self.last_used_at[key] < self.config.give_way_ns
                ):
                    break  # it has only just come, and those behind it later still
                chosen.append(key)
        return chosen

    def hand_over_candidates(self, count: int, now: int) -> list[int]:
        """Whom to hand to another process: those least likely to speak soon, at most `count`.

        First whoever has been silent for long, whatever the rank; then those who ask seldom. One with a part
        of a request is about to speak, and stays.
        """
        chosen: list[int] = []
        for rank in EvictionRank:
            for key in self.eviction_order.members(rank):
                if len(chosen) >= count:
                    return chosen
                if now - self.last_used_at[key] < RECENT_NS:
                    break
                chosen.append(key)
        if chosen:
            return chosen
        for rank in (
            EvictionRank.NO_EXCHANGE,
            EvictionRank.ONE_EXCHANGE,
            EvictionRank.MORE_EXCHANGES,
            EvictionRank.NEVER_ANSWERED,
        ):
            for key in self.eviction_order.members(rank):
                if len(chosen) >= count:
                    return chosen
                chosen.append(key)
        return chosen
