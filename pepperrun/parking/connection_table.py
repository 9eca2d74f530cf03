"""The state of each connection by descriptor: its record, timers, eviction order and resume queues. No I/O.

The key of a record is the connection's descriptor. The system assigns the lowest free numbers, so arrays
indexed by descriptor are dense, and no mapping from connection to index is needed. A descriptor number that
is closed and used again is told apart by its generation, which the resume queues store with the number.
"""

from __future__ import annotations

from array import array
from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from pepperrun.parking.config import ClientsConfig
from pepperrun.parking.linked_lists import LinkedLists
from pepperrun.parking.timer_wheel import TimerWheel

GROWTH = 1024  # entries that the arrays gain beyond the number needed
CHECK_INTERVAL_NS = 1_000_000_000  # between checks of an active connection
RECENT_NS = (
    5_000_000_000  # a connection used within this time counts as in use and is resumed before long idle ones
)
LONG_IDLE_EVERY = 4  # one of this many resumes goes to a long idle connection, whatever else waits
RESERVED_DIVISOR = 8  # the fraction 1/8 of `most_asking` is reserved for connections in use


class State(IntEnum):
    """State of a descriptor."""

    FREE = 0
    PARKED = 1  # idle: only a record is kept
    WAITING = 2  # has unread input and waits to be resumed
    ACTIVE = 3  # resumed: has transport, protocol and buffer


class EvictionRank(IntEnum):
    """Eviction order: the lowest rank first, and within a rank the longest idle connection first."""

    NEVER_ANSWERED = 0  # has had no response
    NO_EXCHANGE = 1  # has had responses but no exchange: has only asked whether this gatekeeper is ready
    ONE_EXCHANGE = 2
    MORE_EXCHANGES = 3


# The list of connections with a partial request. They are not evicted: their time-out is short anyway.
PARTIAL_LIST = len(EvictionRank)


@dataclass(slots=True, frozen=True)
class Record:
    """State of a parked connection, as it is passed from one process to another."""

    listener_index: int  # index of the listener that accepted the connection
    rank: EvictionRank
    last_used_at: int  # time of the last use in ns; of the accept if there was none
    buffered: bytes = b""  # a partial request
    first_byte_at: int = 0  # when the first byte of the partial request arrived, in ns


class ConnectionTable:
    """Records, timers and eviction order of all connections. Times are in ns on one clock."""

    def __init__(self, config: ClientsConfig, now: int) -> None:
        self.config = config
        self.timers = TimerWheel(now)
        self.eviction_order = LinkedLists(len(EvictionRank) + 1)
        self.states = bytearray()
        self.listener_indices = bytearray()
        self.ranks = bytearray()
        self.generations = array("H")
        self.last_used_at = array("q")
        self.partial_requests: dict[int, tuple[bytes, int]] = {}
        self.readable_at: dict[int, int] = {}  # of waiting connections, when their input arrived
        # Key and generation in the order in which input arrived: connections in use, and long idle ones.
        self.resume_queues: tuple[deque[tuple[int, int]], deque[tuple[int, int]]] = deque(), deque()
        self.resume_count = 0
        self.parked_count = self.active_count = 0
        self.rank_counts = [0] * (len(EvictionRank) + 1)  # parked connections by list

    def __len__(self) -> int:
        return self.parked_count + self.active_count + len(self.readable_at)

    def _reserve(self, key: int) -> None:
        capacity = len(self.states)
        if key < capacity:
            return
        missing = key + 1 - capacity + GROWTH
        self.states.extend(bytes(missing))
        self.listener_indices.extend(bytes(missing))
        self.ranks.extend(bytes(missing))
        self.generations.extend(array("H", [0]) * missing)
        self.last_used_at.extend(array("q", [0]) * missing)
        self.timers.grow(capacity + missing)
        self.eviction_order.grow(capacity + missing)

    # Parking.

    def park(self, key: int, record: Record) -> None:
        """Parks a connection; a previous record of the descriptor is removed."""
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
        never_answered = self.ranks[key] == EvictionRank.NEVER_ANSWERED
        return self.last_used_at[key] + (self.config.first_byte_ns if never_answered else self.config.idle_ns)

    def record(self, key: int) -> Record:
        """Returns the record of a parked or waiting connection."""
        buffered, first_byte_at = self.partial_requests.get(key, (b"", 0))
        return Record(
            self.listener_indices[key],
            EvictionRank(self.ranks[key]),
            self.last_used_at[key],
            buffered,
            first_byte_at,
        )

    def expires_at(self, key: int) -> int | None:
        """Returns when the timer of a connection is due, in ns; None if it has none."""
        return self.timers.due_at(key) if key < len(self.states) else None

    def remove(self, key: int) -> None:
        """Removes a connection that is closed or passed on; its number may now be used for another one."""
        match self.states[key] if key < len(self.states) else State.FREE:
            case State.PARKED:
                self._unpark(key)
            case State.WAITING:
                del self.readable_at[key]
            case State.ACTIVE:
                self.active_count -= 1
            case _:
                return
        self.timers.cancel(key)
        self.partial_requests.pop(key, None)
        self.states[key] = State.FREE
        self.generations[key] = (self.generations[key] + 1) & 0xFFFF

    def _unpark(self, key: int) -> None:
        self.eviction_order.remove(key)
        self.rank_counts[self._list_of(key)] -= 1
        self.parked_count -= 1

    # Queueing and resuming.

    def queue_readable(self, key: int, now: int) -> bool:
        """Queues a parked connection that has input; False if it is not parked (the event came too late)."""
        if key >= len(self.states) or self.states[key] != State.PARKED:
            return False
        self._unpark(key)
        self.timers.cancel(key)
        self.states[key] = State.WAITING
        self.readable_at[key] = now
        long_idle = now - self.last_used_at[key] >= RECENT_NS
        self.resume_queues[long_idle].append((key, self.generations[key]))
        return True

    def resume_next(self) -> tuple[int, Record, int] | None:
        """Makes the next waiting connection active; returns its key, its record and when its input arrived.

        Returns None if no connection waits or the limit on active ones is reached. Connections in use go
        first and have some capacity reserved: 10,000 connections that get input at once must not delay a
        client that is in the middle of its work and whose connection happened to be parked.
        """
        in_use, idle = self.resume_queues
        limit = self.config.most_asking
        if self.active_count >= limit:
            return None
        for queue in self.resume_queues:
            while queue and not self._is_waiting(*queue[0]):
                queue.popleft()
        self.resume_count += 1
        may_resume_idle = bool(idle) and self.active_count < limit - limit // RESERVED_DIVISOR
        if may_resume_idle and (not in_use or self.resume_count % LONG_IDLE_EVERY == 0):
            return self._resume(idle.popleft()[0])
        return self._resume(in_use.popleft()[0]) if in_use else None

    def _is_waiting(self, key: int, generation: int) -> bool:
        return self.states[key] == State.WAITING and self.generations[key] == generation

    def _resume(self, key: int) -> tuple[int, Record, int]:
        record, readable_at = self.record(key), self.readable_at.pop(key)
        self.partial_requests.pop(key, None)
        self.states[key] = State.ACTIVE
        self.active_count += 1
        return key, record, readable_at

    def is_crowded(self) -> bool:
        """Whether connections wait while only the reserved capacity for active ones, or none, is left."""
        limit = self.config.most_asking
        return bool(self.readable_at) and self.active_count >= limit - limit // RESERVED_DIVISOR

    # Active connections.

    def schedule_check(self, key: int, check_at: int) -> None:
        """Sets when an active connection is to be checked next."""
        if self.states[key] == State.ACTIVE:
            self.timers.insert(key, check_at)

    # Timers.

    def expire_due(self, now: int, limit: int) -> list[tuple[int, State]]:
        """Returns the connections whose timer is due, after looking at no more than `limit` timers.

        Parked ones among them stay parked, without a timer.
        """
        self.timers.advance(now)
        expired = []
        for key in self.timers.take_due(now, limit):
            state = State(self.states[key])
            # The time-outs have changed since the timer was set.
            if state is State.PARKED and (expires_at := self._expires_at(key)) > now:
                self.timers.insert(key, expires_at)
                continue
            expired.append((key, state))
        return expired

    def apply_config(self, config: ClientsConfig) -> None:
        """Applies new time-outs and limits, also to connections that are parked already."""
        self.config = config
        self.timers.hand_out_all()

    # At the limit.

    def eviction_candidates(self, count: int, now: int) -> list[int]:
        """Returns up to `count` parked connections, those whose loss matters least first."""
        chosen: list[int] = []
        for rank in EvictionRank:
            for key in self.eviction_order.members(rank):
                if len(chosen) >= count:
                    return chosen
                if (
                    rank is EvictionRank.NEVER_ANSWERED
                    and now - self.last_used_at[key] < self.config.give_way_ns
                ):
                    break  # too new to be evicted, and those behind it are newer
                chosen.append(key)
        return chosen

    def hand_over_candidates(self, count: int, now: int) -> list[int]:
        """Returns up to `count` parked connections to hand over, those least likely to get input soon.

        Long idle ones are chosen first, whatever their rank. If there are none, those with fewer exchanges
        come first and those without a response last. A connection with a partial request stays: its client
        is about to send the rest.
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
