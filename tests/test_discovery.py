"""Discovery and the directory: watches, gaps, whole lists, a dead agent, and answers that can't be read."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import (
    HOST,
    MS,
    SETTINGS,
    Backends,
    StandIn,
    answer,
    cut_short,
    going,
    line,
    listing,
    ok,
    reset,
    stall,
    wait_then,
)

from pepperrun.assembly import calls_of
from pepperrun.config import parse_address, read_listing
from pepperrun.core.interface import BackendState, ListKind
from pepperrun.net import discovery
from pepperrun.net.backoff import MAX_MEAN_DELAY_S, Backoff
from pepperrun.net.directory import Directory
from pepperrun.net.discovery import Discovery


def told(version: int, *lines: dict, full: bool = False) -> bytes:
    return ok(json.dumps({"version": version, "full": full, "servers": list(lines)}).encode())


class AtOnce(Backoff):
    """Hardly a pause: what is tested is the order of the calls."""

    def delay_after_move(self) -> float:
        return 0.0

    def delay_after_failure(self) -> float:
        super().delay_after_failure()
        return 0.001


class Watching:
    """A `Discovery` at work against a stand-in agent."""

    def __init__(self, agent: StandIn, known: int | None = None) -> None:
        self.agent = agent
        self.lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), self.lists.put_nowait, AtOnce(1, random.Random(1)), known)
        self.task = asyncio.get_running_loop().create_task(watch.run())

    async def target(self) -> str:
        return (await self.agent.arrived.get()).split()[1].decode()


def test_the_whole_list_comes_first_and_then_its_changes_on_one_connection():
    async def test():
        agent = await StandIn(
            told(41, line("a", 1), full=True), told(43, line("a", 1, "Terminating")), stall
        ).start()
        watching = Watching(agent)
        first, second = await watching.lists.get(), await watching.lists.get()
        assert (first.full, second.full) == (True, False)
        assert second.lines[0].state is BackendState.DRAINING
        targets = [await watching.target() for _ in range(3)]
        wait = discovery.LONG_POLL_MS
        assert targets == [
            "/v1/endpoints",
            f"/v1/endpoints?index=41&wait={wait}",
            f"/v1/endpoints?index=43&wait={wait}",
        ]
        assert agent.connections == 1

    going(test)


def test_the_next_watch_goes_out_well_within_200_ms():
    async def test():
        agent = await StandIn(told(1, full=True), told(1), told(1), stall).start()
        watching, loop = Watching(agent), asyncio.get_running_loop()
        await watching.target()
        last = loop.time()
        for _ in range(3):
            await watching.target()
            assert loop.time() - last < 0.2
            last = loop.time()

    going(test)


@pytest.mark.parametrize(
    "bad",
    [
        ok(b"{not json"),
        ok(b"[]"),
        ok(b"[" * 60_000),
        ok(b'{"version": 2}'),
        ok(b'{"version": 2, "full": false, "servers": [{"id": 7}]}'),
        ok(b'{"version": 2, "full": false, "servers": [{"id": "a", "addr": "nowhere", "state": "Ready"}]}'),
        told(0, line("a", 1)),  # changes to an older list than the one held
        told(6, full=True),  # a fleet does not end at once
    ],
)
def test_after_an_answer_that_is_no_good_the_last_list_stands_and_the_watch_starts_anew(bad):
    async def test():
        agent = await StandIn(
            told(5, line("a", 1), full=True), bad, told(9, line("b", 2), full=True), stall
        ).start()
        watching = Watching(agent)
        assert [(await watching.lists.get()).version for _ in range(2)] == [5, 9]
        targets = [await watching.target() for _ in range(3)]
        assert targets[0] == targets[2] == "/v1/endpoints" and "index=5" in targets[1]

    going(test)


def test_a_silent_agent_is_left_and_a_dead_one_tried_again(monkeypatch):
    monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", 0.02)
    monkeypatch.setattr(discovery, "LONG_POLL_MS", 10)

    async def test():
        agent = await StandIn(told(5, full=True), stall, told(6, line("a", 1)), stall).start()
        watching = Watching(agent)
        assert [(await watching.lists.get()).version for _ in range(2)] == [5, 6]
        await agent.stop()
        agent.plan = [told(7, line("b", 2), full=True), stall]
        await agent.start(agent.port)
        assert (await watching.lists.get()).version == 7

    going(test)


def test_a_workers_integer_is_the_same_everywhere_and_always():
    # Gatekeepers tell each other of workers by these integers, in messages of four bytes.
    one, other = Directory(("a",), int), Directory(("a",), int)
    one.apply(listing(line("s-1", 1), line("s-2", 2)), ListKind.FULL)
    other.apply(listing(line("s-2", 2), line("s-1", 9)), ListKind.FULL)
    assert [one.id_of("s-1"), one.id_of("s-2")] == [other.id_of("s-1"), other.id_of("s-2")]
    assert one.id_of("s-1") == 2365212299 and 0 <= one.id_of("s-2") < 2**32


def test_a_list_becomes_integers_times_and_addresses():
    directory = Directory(("a", "b"), lambda ms: ms * 1_000_000)
    full = listing(line("x", 1, zone="b", cell=3, started_ms=5), line("y", 2, "Terminating", started_ms=0))
    event = directory.apply(full, ListKind.FULL)
    x, y = directory.id_of("x"), directory.id_of("y")
    assert [(b.id, b.zone, b.cell, b.state, b.started_ns) for b in event.backends] == [
        (x, 1, 3, BackendState.READY, 5_000_000),
        (y, 0, 0, BackendState.DRAINING, 0),
    ]
    assert (directory.address(x), directory.address(y)) == ((HOST, 1), None)
    directory.apply(listing(line("x", 1, "Gone"), full=False), ListKind.DELTA)
    assert directory.address(x) is None and not directory.is_listed(x) and directory.is_listed(y)
    directory.apply(listing(), ListKind.FULL)
    assert not directory.is_listed(y)


def test_a_workers_start_is_read_on_the_programs_one_clock():
    async def test():
        backends = Backends()
        started_ms = (backends.clock() - 3_000_000_000) // 1_000_000
        (backend,) = backends.directory.apply(
            listing(line("w", 1, started_ms=started_ms)), ListKind.FULL
        ).backends
        assert 2_990_000_000 < backends.clock() - backend.started_ns < 3_500_000_000

    going(test)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8) | st.just("127.0.0.1:80"),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["version", "full", "servers", "id", "addr", "state", "cell", "started_ms", "zone"]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=20,
)


@given(st.dictionaries(st.sampled_from(["version", "full", "servers"]), JSON))
def test_a_list_that_is_garbage_raises_value_errors_only(table):
    try:
        Directory(("a",), int).apply(read_listing(table), ListKind.FULL)
    except ValueError as error:
        assert str(error)


@given(st.text(max_size=20))
def test_an_address_is_host_and_port_or_a_value_error(text):
    try:
        host, port = parse_address(text, "key")
        assert host and 0 <= port <= 65535
    except ValueError as error:
        assert str(error).startswith("key: ")


@pytest.mark.parametrize(
    "bad",
    [
        answer(503, b"", b"Connection: close"),
        answer(500),
        reset,
        cut_short(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"),
        b"nonsense\r\n\r\n",
    ],
)
def test_whoever_holds_a_list_asks_for_its_changes_only_at_a_start_and_after_failures_too(bad):
    # A service turns callers away when it can't keep up, and a whole list costs it the most.
    async def test():
        agent = await StandIn(bad, told(42, line("a", 1, "Terminating")), bad, bad, stall).start()
        watching = Watching(agent, known=41)
        assert (await watching.lists.get()).version == 42
        targets = [(await watching.target()).split("&")[0] for _ in range(5)]
        assert targets == ["/v1/endpoints?index=41"] * 2 + ["/v1/endpoints?index=42"] * 3

    going(test)


@pytest.mark.parametrize(
    ("callers", "in_the_first", "in_each_later", "in_100_ms"),
    [(2, 10, 2.5, 3), (4, 16, 3.5, 5), (40, 48, 6, 8), (64, 50, 9, 9), (360, 200, 50, 30)],
)
def test_calls_of_all_gatekeepers_together_stay_few_and_out_of_step(
    callers: int, in_the_first: int, in_each_later: float, in_100_ms: int
) -> None:
    # The service does nothing but turn away: in no 100 ms, nor in a second, a herd calls.
    calls = []
    for caller in range(callers):
        backoff = Backoff(callers, random.Random(caller))
        at = backoff.delay_after_move()
        while at < 60:
            calls.append(at)
            at += backoff.delay_after_failure()
    first = [at for at in calls if at < 1.0]
    late = [at for at in calls if 30 <= at < 60]
    assert len(first) <= in_the_first
    assert len(late) / 30 <= in_each_later
    slots = [0] * 600
    for at in calls:
        slots[int(at * 10)] += 1
    assert max(slots) <= in_100_ms
    backoff.reset()
    assert backoff.delay_after_failure() < 1.5 * MAX_MEAN_DELAY_S and backoff.failures == 1


def test_a_service_of_fixed_capacity_lets_all_in_where_calls_in_step_never_end() -> None:
    # Twelve calls a second, each of 40 callers needs one; past a line of four callers are turned away.
    waiting = [(Backoff(40, random.Random(number)), number) for number in range(40)]
    due = [(backoff.delay_after_move(), number) for backoff, number in waiting]
    served, free_at, turned_away = set(), 0.0, 0
    while due:
        at, number = min(due)
        due.remove((at, number))
        if free_at - at > 4 / 12:
            turned_away += 1
            due.append((at + waiting[number][0].delay_after_failure(), number))
            continue
        free_at = max(free_at, at) + 1 / 12
        served.add(number)
        assert at < 30
    assert len(served) == 40 and turned_away < 120


def test_a_watch_that_moves_with_a_list_in_hand_waits_its_turn_and_takes_no_list_of_nothing():
    # All gatekeepers are told of the new place at once.
    class Waits(AtOnce):
        waited = 0

        def delay_after_move(self) -> float:
            self.waited += 1
            return 0.0

    async def test():
        agent = await StandIn(told(3, full=True), told(4, line("a", 1), full=True), stall).start()
        backoff: Waits = Waits(40, random.Random(1))
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), lists.put_nowait, backoff, moved=True)
        task = asyncio.get_running_loop().create_task(watch.run())
        assert (await lists.get()).version == 4 and backoff.waited == 1
        task.cancel()

    going(test)


@pytest.mark.parametrize("callers", [4, 200])
def test_a_start_asks_at_once_and_a_move_within_the_time_after_which_all_counts_as_told(callers):
    # What the agent holds counts as told from the start on: of 200 gatekeepers that waited their turn after a
    # restart for up to 5 s, as after a move, dozens sent to workers that had begun to drain meanwhile.
    async def test():
        agent = await StandIn(told(42, line("a", 1, "Terminating")), stall).start()
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery(
            (HOST, agent.port), lists.put_nowait, Backoff(callers, random.Random(1)), known_version=41
        )
        loop = asyncio.get_running_loop()
        begun, task = loop.time(), loop.create_task(watch.run())
        assert not watch.first_call_done.is_set()
        await agent.arrived.get()
        assert loop.time() - begun < 0.25  # drains are to be kept 250 ms after they are told
        await watch.first_call_done.wait()
        assert (await lists.get()).version == 42
        task.cancel()

    going(test)
    moves = [Backoff(callers, random.Random(seed)).delay_after_move() for seed in range(200)]
    assert max(moves) <= 2.0 and len(set(moves)) > 100


def test_a_call_that_fails_ends_the_wait_for_the_first_one():
    async def test():
        agent = await StandIn(reset).start()
        watch = Discovery(
            (HOST, agent.port), lambda listing: None, Backoff(4, random.Random(1)), known_version=1
        )
        task = asyncio.get_running_loop().create_task(watch.run())
        await watch.first_call_done.wait()
        task.cancel()

    going(test)


def calls_of_220(must_ask: bool) -> Backoff:
    """As the program makes them, of a large fleet."""
    settings = replace(SETTINGS, gateways=220, drain_grace_ns=250 * MS, must_ask_for_list=must_ask)
    return calls_of(SimpleNamespace(settings=settings, seed=1))  # type: ignore[arg-type]


def test_only_who_asks_a_service_that_others_ask_too_waits_for_their_sake():
    asking, pushed = calls_of_220(True), calls_of_220(False)
    assert asking.delay_after_failure() > 2.0 and asking.retry_interval_s is None
    assert pushed.delay_after_move() == 0 and {pushed.delay_after_failure() for _ in range(9)} == {
        pushed.retry_interval_s
    }


@pytest.mark.parametrize(
    "silence",
    [
        (stall,) * 4,  # from the start on, as while discovery is down
        (told(41), stall, stall, stall, stall),  # under a watch that was open
        (reset, cut_short(b"HTTP/1.1 200 OK\r\n"), answer(503), reset),
    ],
)
def test_an_agent_of_ones_own_is_asked_again_well_within_the_grace_of_drains(silence, monkeypatch):
    # What it gets at its return counts as told in that moment: of 220 gatekeepers those that still paused for
    # each other's sake, up to 12 s, sent to workers of which they had been told that they drain.
    monkeypatch.setattr(discovery, "LONG_POLL_MS", 10)
    monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", 0.05)

    async def test():
        loop = asyncio.get_running_loop()
        agent = await StandIn(*silence, told(42, line("a", 1, "Terminating")), stall).start()
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), lists.put_nowait, calls_of_220(False), known_version=41)
        last, task = loop.time(), loop.create_task(watch.run())
        for _ in range(len(silence) + 1):
            assert b"?index=41&wait=" in await agent.arrived.get()
            assert loop.time() - last < 0.25
            last = loop.time()
        assert (await lists.get()).version == 42 and loop.time() - last < 0.25
        task.cancel()

    going(test)


def test_an_agent_that_answers_late_is_heard_and_the_calls_beside_are_given_up():
    # A call that is slow is none that has failed: the watch goes on where the first answer came.
    async def test():
        agent = await StandIn(wait_then(told(42, line("a", 1))), stall).start()
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), lists.put_nowait, calls_of_220(False), known_version=41)
        task = asyncio.get_running_loop().create_task(watch.run())
        for _ in range(4):
            await agent.arrived.get()
        agent.go.set()
        assert (await lists.get()).version == 42
        for _ in range(agent.connections - 1):
            await agent.closed.get()
        while b"?index=42&" not in await agent.arrived.get():
            pass
        assert len(agent.writers) == 1
        task.cancel()

    going(test)
