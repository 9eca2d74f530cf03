"""Discovery and the directory: long polls, deltas, complete lists, dead agents and invalid responses."""

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

from pepperrun.assembly import discovery_backoff
from pepperrun.config import parse_address, read_endpoint_list
from pepperrun.core.interface import BackendState, ListKind
from pepperrun.net import discovery
from pepperrun.net.backoff import MAX_MEAN_DELAY_S, Backoff
from pepperrun.net.directory import Directory
from pepperrun.net.discovery import Discovery


def list_response(version: int, *lines: dict, full: bool = False) -> bytes:
    return ok(json.dumps({"version": version, "full": full, "servers": list(lines)}).encode())


class NoDelay(Backoff):
    """Almost no delays: the order of the calls is tested."""

    def delay_after_move(self) -> float:
        return 0.0

    def delay_after_failure(self) -> float:
        super().delay_after_failure()
        return 0.001


class Watching:
    """A running `Discovery` with a stand-in agent."""

    def __init__(self, agent: StandIn, known: int | None = None) -> None:
        self.agent = agent
        self.lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), self.lists.put_nowait, NoDelay(1, random.Random(1)), known)
        self.task = asyncio.get_running_loop().create_task(watch.run())

    async def target(self) -> str:
        return (await self.agent.arrived.get()).split()[1].decode()


def test_complete_list_comes_first_then_its_changes_on_one_connection():
    async def test():
        agent = await StandIn(
            list_response(41, line("a", 1), full=True), list_response(43, line("a", 1, "Terminating")), stall
        ).start()
        watching = Watching(agent)
        first, second = await watching.lists.get(), await watching.lists.get()
        assert (first.full, second.full) == (True, False)
        assert second.endpoints[0].state is BackendState.DRAINING
        targets = [await watching.target() for _ in range(3)]
        wait = discovery.LONG_POLL_MS
        assert targets == [
            "/v1/endpoints",
            f"/v1/endpoints?index=41&wait={wait}",
            f"/v1/endpoints?index=43&wait={wait}",
        ]
        assert agent.connections == 1

    going(test)


def test_next_long_poll_is_sent_within_200_ms():
    async def test():
        agent = await StandIn(list_response(1, full=True), list_response(1), list_response(1), stall).start()
        watching, loop = Watching(agent), asyncio.get_running_loop()
        await watching.target()
        last = loop.time()
        for _ in range(3):
            await watching.target()
            assert loop.time() - last < 0.2
            last = loop.time()

    going(test)


@pytest.mark.parametrize(
    "invalid",
    [
        ok(b"{not json"),
        ok(b"[]"),
        ok(b"[" * 60_000),
        ok(b'{"version": 2}'),
        ok(b'{"version": 2, "full": false, "servers": [{"id": 7}]}'),
        ok(b'{"version": 2, "full": false, "servers": [{"id": "a", "addr": "nowhere", "state": "Ready"}]}'),
        list_response(0, line("a", 1)),  # changes to an older list than the current one
        list_response(6, full=True),  # a fleet does not disappear at once
    ],
)
def test_invalid_response_keeps_the_last_list_and_restarts_the_watch(invalid):
    async def test():
        agent = await StandIn(
            list_response(5, line("a", 1), full=True),
            invalid,
            list_response(9, line("b", 2), full=True),
            stall,
        ).start()
        watching = Watching(agent)
        assert [(await watching.lists.get()).version for _ in range(2)] == [5, 9]
        targets = [await watching.target() for _ in range(3)]
        assert targets[0] == targets[2] == "/v1/endpoints" and "index=5" in targets[1]

    going(test)


def test_silent_agent_is_abandoned_and_a_dead_one_retried(monkeypatch):
    monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", 0.02)
    monkeypatch.setattr(discovery, "LONG_POLL_MS", 10)

    async def test():
        agent = await StandIn(
            list_response(5, full=True), stall, list_response(6, line("a", 1)), stall
        ).start()
        watching = Watching(agent)
        assert [(await watching.lists.get()).version for _ in range(2)] == [5, 6]
        await agent.stop()
        agent.plan = [list_response(7, line("b", 2), full=True), stall]
        await agent.start(agent.port)
        assert (await watching.lists.get()).version == 7

    going(test)


def test_worker_id_is_the_same_at_all_gatekeepers():
    # Messages between gatekeepers identify workers by these integers, in four bytes each.
    one, other = Directory(("a",), int), Directory(("a",), int)
    one.apply(listing(line("s-1", 1), line("s-2", 2)), ListKind.FULL)
    other.apply(listing(line("s-2", 2), line("s-1", 9)), ListKind.FULL)
    assert [one.id_of("s-1"), one.id_of("s-2")] == [other.id_of("s-1"), other.id_of("s-2")]
    assert one.id_of("s-1") == 2365212299 and 0 <= one.id_of("s-2") < 2**32


def test_list_is_translated_to_ids_times_and_addresses():
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


def test_worker_start_time_is_converted_to_the_monotonic_clock():
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
def test_garbage_list_raises_only_value_errors(table):
    try:
        Directory(("a",), int).apply(read_endpoint_list(table), ListKind.FULL)
    except ValueError as error:
        assert str(error)


@given(st.text(max_size=20))
def test_address_is_host_and_port_or_a_value_error(text):
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
def test_caller_with_a_list_requests_only_changes_also_after_failures(bad):
    # A service rejects calls when it is overloaded, and a complete list costs it the most.
    async def test():
        agent = await StandIn(bad, list_response(42, line("a", 1, "Terminating")), bad, bad, stall).start()
        watching = Watching(agent, known=41)
        assert (await watching.lists.get()).version == 42
        targets = [(await watching.target()).split("&")[0] for _ in range(5)]
        assert targets == ["/v1/endpoints?index=41"] * 2 + ["/v1/endpoints?index=42"] * 3

    going(test)


@pytest.mark.parametrize(
    ("callers", "in_the_first", "in_each_later", "in_100_ms"),
    [(2, 10, 2.5, 3), (4, 16, 3.5, 5), (40, 48, 6, 8), (64, 50, 9, 9), (360, 200, 50, 30)],
)
def test_calls_of_all_gatekeepers_stay_few_and_unsynchronised(
    callers: int, in_the_first: int, in_each_later: float, in_100_ms: int
) -> None:
    # The service rejects every call: no 100 ms and no second may see a burst of calls.
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


def test_backoff_lets_all_callers_reach_a_service_of_fixed_capacity() -> None:
    # The service takes 12 calls a second and queues four; each of 40 callers needs one call. Callers that
    # stay synchronised would never all succeed.
    waiting = [(Backoff(40, random.Random(number)), number) for number in range(40)]
    due = [(backoff.delay_after_move(), number) for backoff, number in waiting]
    served, free_at, rejected = set(), 0.0, 0
    while due:
        at, number = min(due)
        due.remove((at, number))
        if free_at - at > 4 / 12:
            rejected += 1
            due.append((at + waiting[number][0].delay_after_failure(), number))
            continue
        free_at = max(free_at, at) + 1 / 12
        served.add(number)
        assert at < 30
    assert len(served) == 40 and rejected < 120


def test_moved_watch_delays_its_first_call_and_rejects_an_empty_list():
    # All gatekeepers learn the new address at the same moment.
    class CountsMoves(NoDelay):
        moves = 0

        def delay_after_move(self) -> float:
            self.moves += 1
            return 0.0

    async def test():
        agent = await StandIn(
            list_response(3, full=True), list_response(4, line("a", 1), full=True), stall
        ).start()
        backoff: CountsMoves = CountsMoves(40, random.Random(1))
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), lists.put_nowait, backoff, moved=True)
        task = asyncio.get_running_loop().create_task(watch.run())
        assert (await lists.get()).version == 4 and backoff.moves == 1
        task.cancel()

    going(test)


@pytest.mark.parametrize("callers", [4, 200])
def test_start_calls_at_once_and_move_within_the_maximum_delay(callers):
    # What the agent has counts as received from the start on. Of 200 gatekeepers that delayed their first
    # call after a restart by up to 5 s, as after a move, dozens sent requests to workers that were draining.
    async def test():
        agent = await StandIn(list_response(42, line("a", 1, "Terminating")), stall).start()
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery(
            (HOST, agent.port), lists.put_nowait, Backoff(callers, random.Random(1)), known_version=41
        )
        loop = asyncio.get_running_loop()
        begun, task = loop.time(), loop.create_task(watch.run())
        assert not watch.first_call_done.is_set()
        await agent.arrived.get()
        assert loop.time() - begun < 0.25  # a drain takes effect 250 ms after its notification
        await watch.first_call_done.wait()
        assert (await lists.get()).version == 42
        task.cancel()

    going(test)
    moves = [Backoff(callers, random.Random(seed)).delay_after_move() for seed in range(200)]
    assert max(moves) <= 2.0 and len(set(moves)) > 100


def test_failed_call_ends_the_wait_for_the_first_call():
    async def test():
        agent = await StandIn(reset).start()
        watch = Discovery(
            (HOST, agent.port), lambda listing: None, Backoff(4, random.Random(1)), known_version=1
        )
        task = asyncio.get_running_loop().create_task(watch.run())
        await watch.first_call_done.wait()
        task.cancel()

    going(test)


def backoff_of_220(must_ask: bool) -> Backoff:
    """The backoff that the program creates in a large fleet."""
    settings = replace(SETTINGS, gateways=220, drain_grace_ns=250 * MS, must_ask_for_list=must_ask)
    return discovery_backoff(SimpleNamespace(settings=settings, seed=1))  # type: ignore[arg-type]


def test_only_callers_of_a_shared_service_use_long_delays():
    polling, pushed = backoff_of_220(True), backoff_of_220(False)
    assert polling.delay_after_failure() > 2.0 and polling.retry_interval_s is None
    assert pushed.delay_after_move() == 0 and {pushed.delay_after_failure() for _ in range(9)} == {
        pushed.retry_interval_s
    }


@pytest.mark.parametrize(
    "outage",
    [
        (stall,) * 4,  # from the start on, as during an outage of discovery
        (list_response(41), stall, stall, stall, stall),  # during an open long poll
        (reset, cut_short(b"HTTP/1.1 200 OK\r\n"), answer(503), reset),
    ],
)
def test_local_agent_is_retried_within_the_drain_grace(outage, monkeypatch):
    # What the agent sends on its return counts as received at that moment. Of 220 gatekeepers, those that
    # still waited out the delays of a shared service, up to 12 s, sent requests to draining workers.
    monkeypatch.setattr(discovery, "LONG_POLL_MS", 10)
    monkeypatch.setattr(discovery, "RESPONSE_GRACE_S", 0.05)

    async def test():
        loop = asyncio.get_running_loop()
        agent = await StandIn(*outage, list_response(42, line("a", 1, "Terminating")), stall).start()
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), lists.put_nowait, backoff_of_220(False), known_version=41)
        last, task = loop.time(), loop.create_task(watch.run())
        for _ in range(len(outage) + 1):
            assert b"?index=41&wait=" in await agent.arrived.get()
            assert loop.time() - last < 0.25
            last = loop.time()
        assert (await lists.get()).version == 42 and loop.time() - last < 0.25
        task.cancel()

    going(test)


def test_late_response_of_the_agent_is_used_and_parallel_calls_are_abandoned():
    # A slow call has not failed: the watch continues on the connection that is answered first.
    async def test():
        agent = await StandIn(wait_then(list_response(42, line("a", 1))), stall).start()
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), lists.put_nowait, backoff_of_220(False), known_version=41)
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


def test_watch_of_the_local_agent_that_falls_silent_gets_a_call_beside_it_within_the_drain_grace():
    # Guards against a drain missed for up to 3 s, as an outage had left the open long poll unanswered.
    async def test():
        agent = await StandIn(
            list_response(41, line("a", 1)), stall, list_response(42, line("a", 1, "Terminating")), stall
        ).start()
        lists: asyncio.Queue = asyncio.Queue()
        backoff = backoff_of_220(False)
        watch = Discovery((HOST, agent.port), lists.put_nowait, backoff, known_version=40)
        task = asyncio.get_running_loop().create_task(watch.run())
        assert (await lists.get()).version == 41
        targets = [(await agent.arrived.get()).split()[1].decode() for _ in range(3)]
        wait_ms = int(targets[1].rpartition("=")[2])
        assert targets[1] == f"/v1/endpoints?index=41&wait={wait_ms}" and targets[2].endswith("&wait=1")
        assert backoff.retry_interval_s is not None and wait_ms + 1000 * backoff.retry_interval_s < 250
        assert (await lists.get()).version == 42
        await agent.closed.get()  # the silent connection
        task.cancel()

    going(test)


def test_watch_of_the_local_agent_stays_on_its_connection_while_it_is_answered():
    async def test():
        agent = await StandIn(*(list_response(version, line("a", 1)) for version in range(41, 60))).start()
        lists: asyncio.Queue = asyncio.Queue()
        watch = Discovery((HOST, agent.port), lists.put_nowait, backoff_of_220(False), known_version=40)
        task = asyncio.get_running_loop().create_task(watch.run())
        assert [(await lists.get()).version for _ in range(12)] == [*range(41, 53)]
        assert agent.connections == 1
        task.cancel()

    going(test)
