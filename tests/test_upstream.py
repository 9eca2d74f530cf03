"""Attempts on real sockets against stand-in workers: the table of outcomes, pools, limits."""

from __future__ import annotations

import asyncio

import pytest
from standins import (
    MS,
    SECOND,
    Backends,
    StandIn,
    answer,
    cut_short,
    going,
    line,
    ok,
    reset,
    stall,
    wait_then,
)

from pepperrun.core.interface import Outcome
from pepperrun.net.buffer import MAX_IDLE_SIZE, has_unread_input
from pepperrun.net.stale_rates import StaleRates


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (ok(b"x"), Outcome.OK),
        (answer(500), Outcome.ERROR),
        (answer(503, b"", b"X-Rejected: 1"), Outcome.FULL),
        (answer(504, b"", b"X-Rejected: 1"), Outcome.FULL),
        # Without the mark nothing proves that the request did not run.
        (answer(503), Outcome.ERROR),
        (answer(504, b"", b"X-Rejected: 0"), Outcome.ERROR),
        (answer(302), Outcome.ERROR),
        (reset, Outcome.RESET),
        (cut_short(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), Outcome.RESET),
        (cut_short(b""), Outcome.RESET),
        (b"no HTTP at all\r\n\r\n", Outcome.ERROR),
        (cut_short(b"HTTP/1.0 200 OK\r\n\r\nuntil the end"), Outcome.OK),
    ],
)
def test_what_comes_back_is_the_outcome_of_the_table(step, outcome):
    async def test():
        backends, worker = Backends(), await StandIn(step).start()
        backends.list(line("w", worker.port))
        backends.send()
        assert await backends.outcome() is outcome
        assert len(worker.heads) == 1 and not backends.side.attempts  # never sent again from here

    going(test)


HEAD = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


@pytest.mark.parametrize(
    "spoilt",
    [
        HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
        HEAD + b"Content-Length: 9\r\n\r\nshort",  # nothing but the client's patience ended this one
        HEAD + b"X: " + b"y" * 20_000,
        HEAD + b"X",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\ntoo long\r\n",
        INTERIM * 500 + ok(),
    ],
)
def test_a_spoilt_answer_may_have_run_and_its_connection_is_not_used_again(spoilt):
    async def test():
        backends, worker = Backends(connect_ns=50 * MS), await StandIn(spoilt, ok(b"own")).start()
        backends.list(line("w", worker.port))
        backends.send()
        assert await backends.outcome() is Outcome.ERROR
        backends.send()
        assert (await backends.outcomes.get())[2].body == b"own"
        assert worker.connections == 2

    going(test)


@pytest.mark.parametrize("more", [ok(b"first"), b"noise"])
def test_what_comes_behind_an_answer_is_not_taken_for_the_next_one(more):
    async def late(server, reader, writer):
        writer.write(ok(b"first"))
        await server.go.wait()
        writer.write(more)

    async def test():
        for step in (INTERIM + ok(b"first") + more, late):
            backends, worker = Backends(), await StandIn(step, ok(b"own")).start()
            backends.list(line("w", worker.port))
            backends.send()
            assert (await backends.outcomes.get())[2].body == b"first"
            if step is late:  # it has come, and the loop has not read it yet
                (connection,) = backends.side.connections
                connection.transport.pause_reading()
                worker.go.set()
                while not has_unread_input(connection.transport):
                    await asyncio.sleep(0)
            backends.send()
            assert (await backends.outcomes.get())[2].body == b"own"
            assert worker.connections == 2

    going(test)


@pytest.mark.parametrize("units", [b"x", b"nan", b"-3", b"1e3", b"6.5", b"1_0", b"2, 3", b""])
def test_a_figure_on_use_that_cannot_be_true_is_not_known(units):
    async def test():
        backends, worker = Backends(), await StandIn(ok(b"", b"X-Units-Charged: " + units)).start()
        backends.list(line("w", worker.port))
        backends.send()
        _, outcome, _, charged = await backends.outcomes.get()
        assert (outcome, charged) == (Outcome.OK, 0.0)

    going(test)


def test_true_units_and_body_come_with_a_good_answer():
    async def test():
        backends, worker = Backends(), await StandIn(ok(b"body", b"X-Units-Charged: 3.5")).start()
        backends.list(line("w", worker.port))
        backends.send(body=b"asked", method=b"POST")
        _, outcome, given, units = await backends.outcomes.get()
        assert (outcome, given.body, units) == (Outcome.OK, b"body", 3.5)
        arrived = await worker.arrived.get()
        assert arrived.startswith(b"POST /search?c HTTP/1.1\r\nHost: h\r\nX-Call-Id: 1\r\n")
        assert b"X-Budget: " in arrived and arrived.endswith(b"\r\n\r\nasked")

    going(test)


def test_a_large_answer_comes_whole_and_leaves_no_large_buffer_behind():
    # Workers answer with more than 64 KiB now and then: each such answer was five failed attempts.
    async def test():
        backends, worker = Backends(), await StandIn(ok(b"x" * 400_000)).start()
        backends.list(line("w", worker.port))
        backends.send()
        _, outcome, given, _ = await backends.outcomes.get()
        assert outcome is Outcome.OK and len(given.body) == 400_000
        (connection,) = backends.side.connections
        assert len(connection.buffer.data) <= MAX_IDLE_SIZE

    going(test)


def test_a_refused_connection_and_a_worker_that_is_not_listed_never_ran():
    async def test():
        backends, worker = Backends(), await StandIn(stall).start()
        await worker.stop()
        backends.list(line("w", worker.port))
        backends.send()
        backends.send("unknown")
        assert [await backends.outcome(), await backends.outcome()] == [Outcome.CONNECT_FAILED] * 2

    going(test)


def test_a_timeout_is_never_early_and_closes_the_connection():
    async def test():
        backends, worker = Backends(), await StandIn(stall).start()
        backends.list(line("w", worker.port))
        for _ in range(3):
            start = backends.clock()
            backends.send(timeout_ns=20 * MS)
            assert await backends.outcome() is Outcome.TIMEOUT
            assert backends.clock() - start >= 20 * MS
            await worker.closed.get()

    going(test)


def test_a_cancel_closes_the_connection():
    async def test():
        backends, worker = Backends(), await StandIn(stall).start()
        backends.list(line("w", worker.port))
        exchange = backends.send()
        await worker.arrived.get()
        backends.side.cancel(exchange, 0)
        assert await backends.outcome() is Outcome.CANCELLED
        await worker.closed.get()
        assert not backends.side.attempts

    going(test)


def test_connections_are_kept_and_used_one_request_at_a_time():
    async def test():
        backends, worker = Backends(), await StandIn(wait_then(ok()), ok()).start()
        backends.list(line("w", worker.port))
        backends.send()
        await worker.arrived.get()
        backends.send()  # the first one is in use: a second connection
        assert await backends.outcome() is Outcome.OK
        worker.go.set()
        assert await backends.outcome() is Outcome.OK
        for _ in range(4):
            backends.send()
            assert await backends.outcome() is Outcome.OK
        assert worker.connections == 2

    going(test)


def test_a_stale_kept_connection_ends_as_it_must_and_nothing_is_sent_again():
    async def test():
        backends, worker = Backends(), await StandIn(ok(), reset).start()
        backends.list(line("w", worker.port))
        backends.send()
        assert await backends.outcome() is Outcome.OK
        backends.send()  # the worker resets the kept connection: it may have run, and tells of no bad worker
        assert await backends.outcome() is Outcome.STALE
        assert len(worker.heads) == 2
        backends.send()  # a new one: nothing stale about it
        assert await backends.outcome() is Outcome.RESET

    going(test)


@pytest.mark.parametrize(("up_ms", "outcome"), [(0, Outcome.RESET), (40, Outcome.STALE)])
def test_a_reset_that_takes_the_way_there_and_back_is_at_once(up_ms, outcome):
    # Between regions each reset of a rested connection took more than 10 ms: nothing was learnt of it.
    async def reset_then(worker, reader, writer):
        await worker.go.wait()
        writer.transport.abort()

    async def test():
        backends, worker = Backends(), await StandIn(ok(), reset_then).start()
        backends.list(line("w", worker.port))
        backends.send()
        assert await backends.outcome() is Outcome.OK
        (kept,) = backends.side.connections
        kept.connect_ns = up_ms * MS
        backends.send()
        await worker.arrived.get()
        await worker.arrived.get()
        clock = backends.side.clock
        backends.side.clock = lambda: clock() + 30 * MS
        worker.go.set()
        assert await backends.outcome() is outcome
        assert any(backends.side.stale_rates.rates) is (outcome is Outcome.STALE)

    going(test)


def test_connections_that_wear_out_early_are_not_used_for_what_is_not_safe_to_repeat():
    # Workers closed idle connections long before the settings' time and reset what was written to them then:
    # kept ones served on, and requests that may not simply be sent anew failed.
    async def test():
        backends, worker = Backends(), await StandIn(ok(), reset, ok()).start()
        backends.list(line("w", worker.port))
        for outcome in (Outcome.OK, Outcome.STALE, Outcome.OK):
            backends.send()
            assert await backends.outcome() is outcome
        assert worker.connections == 2
        backends.send(method=b"POST")
        assert await backends.outcome() is Outcome.OK
        assert worker.connections == 3
        backends.send()  # a safe one takes the risk, for a while
        assert await backends.outcome() is Outcome.OK
        assert worker.connections == 3
        for _ in range(5):
            backends.side.stale_rates.record_reuse(0, True)
        backends.send()
        assert await backends.outcome() is Outcome.OK
        assert worker.connections == 4
        for _ in range(300):  # in time the risk is taken again
            backends.side.stale_rates.decay()
        assert backends.side.stale_rates.is_trusted(0, 0.0 + 1e-3)

    going(test)


def test_what_is_learnt_of_short_idleness_holds_for_longer():
    wear = StaleRates()
    for _ in range(9):
        wear.record_reuse(100 * MS, True)
        wear.record_reuse(3 * SECOND, False)
    assert wear.is_trusted(10 * MS, 0.01)
    assert not wear.is_trusted(100 * MS, 0.5) and not wear.is_trusted(3 * SECOND, 0.5)
    for _ in range(30):
        wear.record_first_use(True)  # new ones break as well: nothing is gained by opening them
    assert wear.is_trusted(3 * SECOND, 0.5)


def test_a_connection_that_is_accepted_and_reset_is_tried_again_with_the_same_attempt(monkeypatch):
    # A process that is down refuses; this one was left out, and taken for one that had restarted.
    async def test():
        backends, worker = Backends(), await StandIn(ok()).start()
        backends.list(line("w", worker.port))
        connect, fails = backends.side.loop.create_connection, [2, 9]

        async def flaky(make, *address):
            if fails[0]:
                fails[0] -= 1
                raise ConnectionResetError
            return await connect(make, *address)

        monkeypatch.setattr(backends.side.loop, "create_connection", flaky)
        backends.send()
        assert await backends.outcome() is Outcome.OK
        backends.side.close_idle(backends.directory.id_of("w"))
        fails[0] = 9
        backends.send()
        assert await backends.outcome() is Outcome.CONNECT_FAILED
        assert fails[0] == 6 and len(worker.heads) == 1

    going(test)


def test_an_idle_connection_is_retired_before_the_other_side_closes_it():
    # The worker's machine closes at the settings' time; a request written after that would end as a reset.
    async def test():
        backends, worker = Backends(keepalive_ns=15 * SECOND), await StandIn(ok()).start()
        backends.list(line("w", worker.port))
        backends.send()
        assert await backends.outcome() is Outcome.OK
        real, backends.side.clock = backends.clock, lambda: backends.clock() + int(12.5 * SECOND)
        backends.send()
        assert await backends.outcome() is Outcome.OK
        assert worker.connections == 2
        await worker.closed.get()
        assert real is backends.clock

    going(test)


@pytest.mark.parametrize("told", ["Terminating", "Gone", "absent"])
def test_an_attempt_waiting_for_a_connection_rechecks_the_list(told):
    # Between the decision to send and the connection being up the list may come to call the worker draining.
    async def test():
        backends, worker = Backends(), await StandIn(ok()).start()
        backends.list(line("w", worker.port))
        backends.send()
        backends.list(*([] if told == "absent" else [line("w", worker.port, told)]), full=told == "absent")
        assert await backends.outcome() is Outcome.CONNECT_FAILED
        while backends.side.connecting:
            await asyncio.gather(*backends.side.connecting)
        backends.list(line("w", worker.port))
        backends.send()
        assert await backends.outcome() is Outcome.OK
        assert len(worker.heads) == 1  # the first one's bytes never went out

    going(test)


def test_a_kept_connection_to_a_draining_worker_closes_after_its_answer():
    async def test():
        backends, worker = Backends(), await StandIn(wait_then(ok())).start()
        backends.list(line("w", worker.port))
        backends.send()
        await worker.arrived.get()
        backends.list(line("w", worker.port, "Terminating"), full=False)
        worker.go.set()
        assert await backends.outcome() is Outcome.OK  # what it has, it completes
        await worker.closed.get()

    going(test)


def test_connections_stay_within_the_limit_and_an_idle_one_gives_way():
    async def test():
        backends = Backends(most=2, connect_ns=100 * MS)
        busy, other = await StandIn(stall).start(), await StandIn(ok()).start()
        backends.list(line("w", busy.port), line("o", other.port))
        backends.send("o")
        assert await backends.outcome() is Outcome.OK
        backends.send("w")
        await busy.arrived.get()
        backends.send("w")  # the idle one to the other worker gives way
        await busy.arrived.get()
        backends.send("o")  # none is left: it never ran, and that is not the worker's fault
        assert await backends.outcome() is Outcome.MOOT
        assert len(backends.side.connections) == 2

    going(test)


def test_a_request_that_is_not_written_whole_never_ran():
    async def test():
        backends = Backends()
        taken = asyncio.Queue()

        async def deaf(reader, writer):
            writer.transport.pause_reading()
            taken.put_nowait(writer)

        server = await asyncio.start_server(deaf, "127.0.0.1", 0)
        backends.list(line("w", server.sockets[0].getsockname()[1]))
        backends.send(body=bytes(16 << 20), method=b"POST")  # more than the kernel's buffers hold
        (await taken.get()).transport.abort()
        assert await backends.outcome() is Outcome.CONNECT_FAILED
        server.close()

    going(test)


def test_a_silent_backend_is_asked_on_a_new_connection():
    # A machine that is cut off says nothing, on any of its connections; they may stay silent once it is back.
    async def test():
        held = wait_then(ok())
        backends, worker = Backends(), await StandIn(held, held, stall, ok()).start()
        backends.list(line("w", worker.port))
        for _ in range(2):
            backends.send()
            await worker.arrived.get()
        worker.go.set()
        assert [await backends.outcome() for _ in range(2)] == [Outcome.OK] * 2  # both are idle now
        shift, real = 0, backends.clock
        backends.side.clock = lambda: real() + shift
        backends.send()
        await worker.arrived.get()
        shift = 2 * SECOND
        backends.send()
        assert await backends.outcome() is Outcome.OK
        assert worker.connections == 3

    going(test)
