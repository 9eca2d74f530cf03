"""The parts of parking without I/O: timer wheel, connection table, budget, messages and clients file."""

from __future__ import annotations

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pepperrun.parking import wire
from pepperrun.parking.budget import Budget
from pepperrun.parking.config import ClientsConfig, read_clients
from pepperrun.parking.connection_table import ConnectionTable, EvictionRank, Record, State
from pepperrun.parking.timer_wheel import LEVELS, SLOTS_PER_LEVEL, TICK_BITS, TimerWheel

TICK = 1 << TICK_BITS
S = 1_000_000_000
KEYS = st.integers(0, 40)
SPANS = st.one_of(
    st.integers(0, 3 * TICK),
    st.integers(0, 200 * TICK),
    st.integers(0, SLOTS_PER_LEVEL**LEVELS * TICK * 2),
    st.sampled_from([SLOTS_PER_LEVEL**level * TICK + more for level in range(1, 5) for more in (-1, 0, 1)]),
)


def config(**changes: object) -> ClientsConfig:
    return read_clients(json.dumps({"idle_s": 100, "first_byte_s": 10, "request_s": 5} | changes))


class AgainstASortedReference(RuleBasedStateMachine):
    """The wheel fires what a sorted list of (due, key) would: never early, and at most a tick late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 5 * S
        self.timers = TimerWheel(self.now)
        self.timers.grow(64)
        self.due_times: dict[int, int] = {}
        self.handed_out: set[int] = set()

    @rule(key=KEYS, span=SPANS)
    def insert(self, key: int, span: int) -> None:
        self.timers.insert(key, self.now + span)
        self.due_times[key] = self.now + span
        self.handed_out.discard(key)

    @rule(key=KEYS)
    def cancel(self, key: int) -> None:
        self.timers.cancel(key)
        self.due_times.pop(key, None)
        self.handed_out.discard(key)

    @rule(span=SPANS, limit=st.integers(1, 50))
    def advance(self, span: int, limit: int) -> None:
        self.now += span
        self.timers.advance(self.now)
        fired = []
        while self.timers.has_pending():
            got = self.timers.take_due(self.now, limit)
            assert len(got) <= limit
            fired += got
        assert all(self.due_times[key] <= self.now for key in fired if key not in self.handed_out), (
            "fired early"
        )
        assert self.handed_out <= set(fired)
        self.handed_out.clear()
        # A timer must fire once its tick has begun.
        overdue = {key for key, due in self.due_times.items() if due <= (self.now >> TICK_BITS) << TICK_BITS}
        assert overdue <= set(fired) and len(set(fired)) == len(fired)
        for key in fired:
            if self.due_times[key] > self.now:
                self.timers.insert(key, self.due_times[key])
            else:
                del self.due_times[key]

    @rule(back=st.integers(1, 100 * TICK))
    def clock_steps_back(self, back: int) -> None:
        self.now = max(0, self.now - back)

    @rule()
    def hand_out_all(self) -> None:
        self.timers.hand_out_all()
        self.handed_out = set(self.due_times)

    @invariant()
    def next_advance_is_in_time(self) -> None:
        assert len(self.timers) == len(self.due_times)
        assert {key: self.timers.due_at(key) for key in self.due_times} == self.due_times
        wake_at = self.timers.next_advance_at()
        if self.due_times:
            # The next advance is no later than the tick by which the first timer must fire.
            assert wake_at is not None and wake_at <= max(
                -(-min(self.due_times.values()) >> TICK_BITS) << TICK_BITS, self.now
            )
        elif not self.timers.has_pending():
            assert wake_at is None


AgainstASortedReference.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40
)
test_the_timer_wheel_against_a_sorted_reference = AgainstASortedReference.TestCase


def test_a_hundred_thousand_timers_due_together_are_processed_in_bounded_steps():
    timers, count = TimerWheel(0), 100_000
    timers.grow(count)
    for key in range(count):
        timers.insert(key, 3600 * S)  # far off, so that they also move down the levels together
    now, fired, steps = 0, 0, 0
    while len(timers):
        now = max(now, timers.next_advance_at())
        timers.advance(now)
        while timers.has_pending():
            got = timers.take_due(now, 500)
            assert len(got) <= 500 and (not got or now >= 3600 * S)
            fired, steps = fired + len(got), steps + 1
    # Each timer is processed at most once per level.
    assert fired == count and steps <= (LEVELS + 1) * count / 500 + LEVELS


class TableAgainstADictionary(RuleBasedStateMachine):
    """The arrays agree with plain dictionaries on each descriptor, however its number is reused."""

    def __init__(self) -> None:
        super().__init__()
        self.now = S
        self.table = ConnectionTable(config(most_asking=4, most=50), self.now)
        self.parked: dict[int, Record] = {}
        self.waiting: list[tuple[int, Record, int]] = []
        self.active: set[int] = set()

    def free(self, key: int) -> bool:
        return (
            key not in self.parked and key not in self.active and key not in [k for k, _, _ in self.waiting]
        )

    @rule(key=KEYS, rank=st.sampled_from(EvictionRank), buffered=st.sampled_from([b"", b"", b"GET "]))
    def park(self, key: int, rank: EvictionRank, buffered: bytes) -> None:
        if self.free(key):
            record = Record(1, rank, self.now, buffered, self.now if buffered else 0)
            self.table.park(key, record)
            self.parked[key] = record

    @rule(key=KEYS)
    def queue_readable(self, key: int) -> None:
        assert self.table.queue_readable(key, self.now) == (key in self.parked)
        if key in self.parked:
            self.waiting.append((key, self.parked.pop(key), self.now))

    @rule()
    def resume_next(self) -> None:
        got = self.table.resume_next()
        if self.waiting and len(self.active) < 4:
            assert got == self.waiting[0]
            self.active.add(self.waiting.pop(0)[0])
        else:
            assert got is None

    @rule(key=KEYS)
    def remove(self, key: int) -> None:
        self.table.remove(key)
        self.parked.pop(key, None)
        self.active.discard(key)
        self.waiting = [one for one in self.waiting if one[0] != key]

    @rule(span=st.integers(0, 12 * S))
    def time_passes(self, span: int) -> None:
        self.now += span
        fired = self.table.expire_due(self.now, 1000)
        assert all(state is State.PARKED for _, state in fired)
        for key, _ in fired:
            record = self.parked.pop(key)
            timeout_s = 5 if record.buffered else 10 if record.rank is EvictionRank.NEVER_ANSWERED else 100
            assert record.last_used_at + timeout_s * S <= self.now
            self.table.remove(key)

    @invariant()
    def agrees(self) -> None:
        table = self.table
        assert (table.parked_count, table.active_count, len(table.readable_at)) == (
            len(self.parked),
            len(self.active),
            len(self.waiting),
        )
        assert {key: table.record(key) for key in self.parked} == self.parked
        candidates = table.eviction_candidates(100, self.now + S)
        assert sorted(candidates) == sorted(key for key, one in self.parked.items() if not one.buffered)
        ranks = [self.parked[key].rank for key in candidates]
        assert ranks == sorted(ranks)


TableAgainstADictionary.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=40
)
test_the_connection_table_against_a_dictionary = TableAgainstADictionary.TestCase


def test_a_new_connection_has_a_grace_time_before_it_may_be_evicted():
    table = ConnectionTable(config(give_way_after_s=1), 0)
    table.park(5, Record(0, EvictionRank.NEVER_ANSWERED, 0))
    table.park(6, Record(0, EvictionRank.NEVER_ANSWERED, S))
    table.park(7, Record(0, EvictionRank.MORE_EXCHANGES, 0))
    assert table.eviction_candidates(9, S + 1) == [5, 7] and table.eviction_candidates(1, S + 1) == [5]
    assert table.hand_over_candidates(9, S + 1) == [
        7,
        5,
        6,
    ]  # a connection that is new is likely to send soon
    assert table.hand_over_candidates(9, 6 * S) == [5, 6, 7] and table.hand_over_candidates(9, 6 * S - 1) == [
        5,
        7,
    ]


def test_new_timeouts_apply_to_parked_connections_at_once():
    table = ConnectionTable(config(), 0)
    for key in range(100):
        table.park(key, Record(0, EvictionRank.ONE_EXCHANGE, 0))
    table.apply_config(config(idle_s=2))
    assert table.expire_due(1 * S, 1000) == [] and len(table.timers) == 100
    assert len(table.expire_due(2 * S + TICK, 1000)) == 100


def test_a_turns_budget_follows_the_cost_of_items_and_always_allows_one():
    budget = Budget(2_000_000, max_items=500)
    assert budget.allowed_items("resume") == 100  # nothing measured yet: 20 us are assumed for each
    for _ in range(50):
        budget.record_cost("resume", 10, 10 * 500_000)
    assert budget.allowed_items("resume") == 4 and budget.allowed_items("timer") == 100
    for _ in range(50):
        budget.record_cost("resume", 1, 60 * S)  # the process was stopped meanwhile
    assert budget.allowed_items("resume") == 2
    for _ in range(100):
        budget.record_cost("resume", 100, 100)
    assert budget.allowed_items("resume") == 500


@given(
    st.binary(max_size=60)
    | st.integers(0, 9).map(lambda kind: bytes([kind]) + bytes(random.Random(kind).randbytes(17)))
)
def test_messages_of_holders_are_decoded_or_rejected(data):
    try:
        kind, _ = wire.decode(data)
    except ValueError:
        return
    assert isinstance(kind, wire.Kind)


def test_messages_of_holders_survive_encoding_and_decoding():
    batch = [Record(n % 2, EvictionRank(n % 4), n * S) for n in range(wire.MAX_BATCH)]
    assert wire.decode(wire.encode_records(wire.Kind.RETURN, batch)) == (wire.Kind.RETURN, batch)
    times, report = wire.Times(1, 2, 3, 4, 5), wire.Report(1, 2, 3, 4, 5, 6, 7)
    assert (
        wire.decode(wire.encode_times(times))[1] == times
        and wire.decode(wire.encode_report(report))[1] == report
    )
    assert wire.decode(wire.encode_eviction(7)) == (wire.Kind.EVICT, 7)
    with pytest.raises(ValueError, match="batch"):
        wire.encode_records(wire.Kind.KEEP, [Record(0, EvictionRank.ONE_EXCHANGE, 0, b"GET", 1)])


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[]", "clients"),
        ("{", "clients"),
        ('{"idle": 1}', "idle"),
        ('{"idle_s": "1"}', "idle_s"),
        ('{"idle_s": NaN}', "idle_s"),
        ('{"idle_s": -1}', "idle_s"),
        ('{"idle_s": 1e300}', "idle_s"),
        ('{"first_byte_s": 0}', "first_byte_s"),
        ('{"request_s": true}', "request_s"),
        ('{"most": 0}', "most"),
        ('{"most": 1.5}', "most"),
        ('{"most": 10, "most_asking": 11}', "most_asking"),
        ('{"park_after_s": 3600}', "park_after_s"),
        ('{"holders": 65}', "holders"),
        ('{"turn_ms": 0}', "turn_ms"),
        ('{"backlog": 0}', "backlog"),
    ],
)
def test_a_bad_clients_file_names_its_key(text, key):
    with pytest.raises(ValueError, match=rf"^{key}\b"):
        read_clients(text)
