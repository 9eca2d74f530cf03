"""The platform's front with a complete gatekeeper, on real sockets with simulated workers."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
from standins import (
    MS,
    SECOND,
    SETTINGS,
    Client,
    Front,
    StandIn,
    answer,
    going,
    line,
    ok,
    reset,
    stall,
    wait_then,
)

from pepperrun.core.interface import Repeat, Request
from pepperrun.exchange import End
from pepperrun.fronts import client_connection
from pepperrun.fronts.http_connection import HttpConnection
from pepperrun.net import listener as listener_module
from pepperrun.net.http1 import REQUEST_BUFFER_SIZE


def connections(front: Front) -> list[HttpConnection]:
    """Returns the client connections of a front."""
    return [client for client in front.listener.clients if isinstance(client, HttpConnection)]


def test_request_is_forwarded_unchanged_and_answered_with_the_workers_body():
    async def test():
        front, worker = Front(), await StandIn(ok(b"\0body\r\n", b"Content-Type: a/b")).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask("confirm", Connection="keep-alive, x-hop", X_Hop="1", X_Kept="2")
        status, fields, body = await client.answer()
        assert (status, fields["content-type"], body) == (200, "a/b", b"\0body\r\n")
        head, _, sent = (await worker.arrived.get()).partition(b"\r\n\r\n")
        assert head.startswith(b"POST /confirm?customer=0000000000000007 HTTP/1.1\r\n") and sent == b"hello"
        assert b"X-Call-Id: 1" in head and b"Idempotency-Key: k" in head and b"X-Kept: 2" in head
        assert b"X-Plan" not in head and b"X-Hop" not in head and head.count(b"X-Budget") == 1
        client.ask()  # the same connection
        assert (await client.answer())[0] == 200

    going(test)


@pytest.mark.parametrize(
    ("step", "status"),
    [
        (ok(b"done"), 200),
        (reset, 502),  # it may have run
        (answer(500), 502),
        (answer(503, b"", b"X-Rejected: 1"), 429),  # it has not
    ],
)
def test_request_of_a_class_that_may_not_repeat_needs_no_key_and_runs_once(step, status):
    # Guards against a class that was answered 400 throughout: its requests come as POST without a key.
    async def test():
        unsafe = dataclasses.replace(SETTINGS.classes[1], repeat=Repeat.UNSAFE)
        front = Front(dataclasses.replace(SETTINGS, classes=(SETTINGS.classes[0], unsafe)))
        worker = await StandIn(step).start()
        front.list(line("w", worker.port))
        client = await front.client()
        head = b"POST /confirm?customer=7 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 1\r\nX-Plan: wide\r\n"
        client.writer.write(head + b"Content-Length: 2\r\n\r\nhi")
        assert (await client.answer())[0] == status
        assert len(worker.heads) == 1

    going(test)


def test_rejection_over_quota_is_immediate_with_retry_after():
    async def test():
        front, worker = (
            Front(dataclasses.replace(SETTINGS, max_retry_after_ns=SECOND)),
            await StandIn(ok()).start(),
        )
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask(plan="tight")
        assert (await client.answer())[0] == 200
        client.ask(plan="tight")
        status, fields, _ = await client.answer()
        assert status == 429 and 0 < float(fields["retry-after"]) <= 1.0
        assert len(worker.heads) == 1

    going(test)


@pytest.mark.parametrize(("step", "status"), [(answer(500), 502), (reset, 502)])
def test_request_that_may_have_run_fails_and_is_not_rejected(step, status):
    async def test():
        front, worker = Front(dataclasses.replace(SETTINGS, max_attempts=1)), await StandIn(step).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask("confirm")
        assert (await client.answer())[0] == status
        assert len(worker.heads) == 1

    going(test)


def test_budget_counts_from_the_last_byte_and_its_end_is_answered():
    async def test():
        front, worker = Front(), await StandIn(stall).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.writer.write(b"POST /confirm?customer=7 HT")
        while not any(len(c.buffer) for c in connections(front)):
            await asyncio.sleep(0)
        first = front.clock()
        client.writer.write(b"TP/1.1\r\nHost: h\r\nX-Plan: wide\r\nX-Call-Id: 1\r\n")
        client.writer.write(b"X-Budget: 60m\r\nIdempotency-Key: k\r\n\r\n")
        await worker.arrived.get()
        (exchange,) = front.gatekeeper.exchanges.values()
        # The time in which a client sends its request does not count (PROTOCOL, "Figures").
        assert first + 60 * MS <= exchange.deadline <= front.clock() + 60 * MS
        assert (await client.answer())[0] == 504
        assert exchange.end is End.TIMED_OUT

    going(test)


def test_disconnect_of_a_waiting_client_is_recorded_and_leaks_nothing():
    async def test():
        front, worker = Front(), await StandIn(wait_then(ok())).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask(budget="300m")
        await worker.arrived.get()
        (exchange,) = front.gatekeeper.exchanges.values()
        client.writer.close()
        while exchange.end is None:
            await asyncio.sleep(0)
        assert exchange.end is End.CLIENT_LEFT
        worker.go.set()  # the late response has no client
        while front.gatekeeper.exchanges:
            await asyncio.sleep(0)
        assert not front.side.attempts and front.gatekeeper.counts[End.SERVED] == 0
        while front.gatekeeper.gateway.pending:
            await asyncio.sleep(0)

    going(test)


def test_hedged_requests_that_both_succeed_give_one_response():
    async def test():
        settings = dataclasses.replace(SETTINGS, hedging=True, max_attempts=2)
        front = Front(settings)
        workers = [await StandIn(wait_then(ok(b"slow")), wait_then(ok(b"slow"))).start() for _ in range(2)]
        # An attempt is overdue soon, and a hedged request is sent.
        front.gatekeeper.gateway.fleet.unit_latency_ns = [MS * 5.0, MS * 5.0]
        front.list(*(line(f"w{n}", worker.port) for n, worker in enumerate(workers)))
        client = await front.client()
        client.ask()
        for worker in workers:
            await worker.arrived.get()
        for worker in workers:
            worker.go.set()
        assert (await client.answer())[2] == b"slow"
        while front.gatekeeper.exchanges or front.side.attempts:
            await asyncio.sleep(0)
        client.ask()
        assert (await client.answer())[0] == 200
        assert front.gatekeeper.counts[End.SERVED] == 2

    going(test)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"garbage\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST /confirm HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 20_000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: br\r\n\r\n", 501),
        (b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400),
    ],
)
def test_malformed_http_is_answered_and_closes_the_connection(data, status):
    async def test():
        front = Front()
        client = await front.client()
        client.writer.write(data)
        got, fields, _ = await client.answer()
        assert (got, fields["connection"]) == (status, "close")
        assert await client.ended()

    going(test)


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"budget": "3s"}, 400),
        ({"plan": "nobody"}, 400),
        *[({"X_Quota": f"units={units}"}, 400) for units in ("-1", "0", "2", "1e12", "nan", "", "9" * 20)],
        *[
            ({"X_Quota": quota}, 400)
            for quota in ("spread=0", "spread=2", "spread=1.5", "first=1", "first=-1")
        ],
        ({"X_Call_Id": ""}, 400),
        ({"budget": "99999999999999999999m"}, 400),
        ({"cls": "nothing"}, 404),
    ],
)
def test_invalid_request_is_answered_and_not_submitted(change, status):
    async def test():
        front = Front()
        client = await front.client()
        client.ask(**change)
        client.ask()  # on the same connection: nothing is served after an invalid request
        assert (await client.answer())[0] == status and await client.ended()
        assert not front.gatekeeper.exchanges

    going(test)


def test_readiness_does_not_depend_on_discovery_and_ends_with_the_drain():
    async def test():
        front = Front()
        client = await front.client()
        client.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await client.answer())[0] == 200
        front.listener.draining = True
        client.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await client.answer())[0] == 503

    going(test)


def test_pipelined_requests_are_answered_in_order_and_bounded():
    async def test():
        front, worker = Front(), await StandIn(wait_then(ok(b"1")), ok(b"2")).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask()
        client.ask()
        await worker.arrived.get()
        client.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n" * 10_000)
        (connection,) = connections(front)
        while not connection.reading_paused:
            await asyncio.sleep(0)
        assert len(connection.buffer) <= REQUEST_BUFFER_SIZE  # pipelined requests do not fill the memory
        worker.go.set()
        assert [(await client.answer())[2] for _ in range(2)] == [b"1", b"2"]
        for _ in range(10_000):
            assert (await client.answer())[0] == 200

    going(test)


def test_connections_stay_within_the_limit_and_a_served_idle_one_is_evicted():
    async def test():
        front, worker = Front(most=2), await StandIn(stall).start()
        front.list(line("w", worker.port))
        idle, busy = await front.client(), await front.client()
        idle.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        await idle.answer()
        busy.ask()
        await worker.arrived.get()
        third = await front.client()
        third.ask()
        await worker.arrived.get()
        assert await idle.ended()
        fourth = await front.client()  # connected, and waits to be accepted
        fourth.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        busy.writer.close()
        assert (await fourth.answer())[0] == 200
        assert len(front.listener.clients) <= 2

    going(test)


def test_slow_requests_and_unread_responses_time_out(monkeypatch):
    monkeypatch.setattr(client_connection, "WRITE_TIMEOUT_NS", 10 * MS)
    times = listener_module.ClientTimeouts(first_byte_ns=10 * MS, request_ns=10 * MS)
    monkeypatch.setattr(listener_module, "PLATFORM_TIMEOUTS", times)
    monkeypatch.setattr(listener_module, "SWEEP_S", 0.01)

    async def test():
        front = Front()
        client = await front.client()
        client.writer.write(b"GET /search HTTP/1.1\r\nHost: h\r\nX-")
        assert (await client.answer())[0] == 408 and await client.ended()
        assert await (await front.client()).ended()  # it has sent nothing at all
        non_reading = await front.client()
        non_reading.writer.transport.pause_reading()  # type: ignore[attr-defined]
        non_reading.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n" * 200_000)
        while not front.listener.clients:
            await asyncio.sleep(0)
        while front.listener.clients:
            await asyncio.sleep(0.01)
        assert not front.gatekeeper.exchanges

    going(test)


def test_silent_connections_do_not_block_others(monkeypatch):
    # Guards against new connections that are never evicted: hundreds of silent ones took all capacity for
    # 75 s.
    monkeypatch.setattr(client_connection, "NEW_CONNECTION_GRACE_NS", 20 * MS)

    async def test():
        front, worker = Front(most=4), await StandIn(ok()).start()
        front.list(line("w", worker.port))
        regular = await front.client()
        regular.ask()
        assert (await regular.answer())[0] == 200
        silent = [await front.client() for _ in range(40)]
        late = await front.client()  # connects after all of them
        late.ask()
        assert (await late.answer())[0] == 200
        assert len(front.listener.clients) <= 4 and await silent[0].ended()

    going(test)


def test_idle_connections_end_after_2_s_and_sooner_where_many_are_open(monkeypatch):
    # Guards against clients that send one request and stay connected: they used up the limit, for 15 s each.
    monkeypatch.setattr(listener_module, "SWEEP_S", 0.01)

    async def test():
        front, worker = Front(most=9), await StandIn(ok()).start()
        front.list(line("w", worker.port))
        later = 0
        front.listener.clock = lambda: front.clock() + later

        async def open_ones(count: int) -> list[Client]:
            clients = [await front.client() for _ in range(count)]
            for client in clients:
                client.ask()
                assert (await client.answer())[0] == 200
            return clients

        few = await open_ones(2)
        later = listener_module.CROWDED_IDLE_TIMEOUT_NS
        await asyncio.sleep(0.05)
        assert len(front.listener.clients) == 2
        later = listener_module.IDLE_TIMEOUT_NS
        assert [await client.ended() for client in few] == [True, True]
        later = 0
        many = await open_ones(5)
        later = listener_module.CROWDED_IDLE_TIMEOUT_NS
        assert all([await client.ended() for client in many])

    going(test)


def test_connections_with_only_readiness_checks_are_evicted_first():
    # Thousands of clients sent one GET /ready and stayed connected. At the limit, all connections with one
    # request ranked alike, so those of regular clients were evicted with them.
    async def test():
        front, worker = Front(most=8), await StandIn(ok()).start()
        front.list(line("w", worker.port))
        regular = await front.client()
        regular.ask()
        assert (await regular.answer())[0] == 200
        for _ in range(30):
            other = await front.client()
            other.writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await other.answer())[0] == 200
        regular.ask()
        assert (await regular.answer())[0] == 200
        assert len(front.listener.clients) <= 8

    going(test)


def test_no_more_connections_are_evicted_than_needed():
    # While evicted connections were still closing, each check for capacity evicted as many more.
    class Idle:
        closed = 0

        def eviction_rank(self, now):
            return None if self.closed else (0, 0)

        def close(self):
            self.closed += 1

    async def test():
        listener = listener_module.Listener(asyncio.get_running_loop(), lambda: 0, 32, lambda listener: None)
        clients = [Idle() for _ in range(32)]
        for client in clients:
            listener.add(client)
        for _ in range(10):
            assert not listener._has_capacity()
        evicted = [client for client in clients if client.closed]
        assert len(evicted) == 8 and all(client.closed == 1 for client in evicted)
        for client in evicted:
            listener.remove(client)
        assert listener._has_capacity()

    going(test)


def test_connection_with_an_unread_request_is_not_evicted(monkeypatch):
    # A late event loop finds new connections past their grace period before it has read from them.
    monkeypatch.setattr(client_connection, "NEW_CONNECTION_GRACE_NS", 0)

    async def test():
        front = Front(most=1)
        client = await front.client()
        while not front.listener.clients:
            await asyncio.sleep(0)
        (connection,) = connections(front)
        assert connection.eviction_rank(front.clock()) is not None
        connection.transport.pause_reading()
        client.ask()
        await asyncio.sleep(0)
        assert connection.eviction_rank(front.clock()) is None
        connection.transport.resume_reading()
        assert (await client.answer())[
            0
        ] == 429  # no worker is listed: rejected, but it was read and submitted

    going(test)


def test_client_that_sends_60_mb_reads_the_rejection():
    # Guards against a close with unread bytes after a second: it reset the connection and lost the response.
    async def test():
        front = Front()
        client = await front.client()
        client.writer.write(b"POST /confirm HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
        for _ in range(60):
            client.writer.write(bytes(1_000_000))
            await client.writer.drain()
        (connection,) = connections(front)
        assert len(connection.buffer.data) == 0
        assert (await client.answer())[0] == 413 and await client.ended()

    going(test)


def test_drain_answers_accepted_requests_and_closes_each_connection():
    async def test():
        front, worker = Front(), await StandIn(wait_then(ok(b"done"))).start()
        front.list(line("w", worker.port))
        waiting, idle = await front.client(), await front.client()
        idle.writer.write(b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n")
        await idle.answer()
        waiting.ask()
        await worker.arrived.get()
        drain = asyncio.get_running_loop().create_task(front.listener.drain(0.05, 0.01))
        assert await idle.ended()  # between requests a connection may be closed
        late = await front.client()  # still accepted
        late.ask()
        await worker.arrived.get()
        await drain
        with pytest.raises(OSError):
            await Client.to(front.listener.address[1])
        worker.go.set()
        for client in (waiting, late):
            status, fields, body = await client.answer()
            assert (status, fields["connection"], body) == (200, "close", b"done")
            assert await client.ended()
        assert not front.listener.clients

    going(test)


def test_gateway_failure_leaves_no_request_without_an_answer(capsys):
    # If `Gateway.handle` raises, the new requests of the call fail at once, and the gateway's timer is set
    # again.
    async def test():
        front, worker = Front(), await StandIn(ok()).start()
        front.list(line("w", worker.port))
        client = await front.client()
        gateway, handle = front.gatekeeper.gateway, front.gatekeeper.gateway.handle

        def broken(now, events):
            if not any(isinstance(event, Request) for event in events):
                return handle(now, events)
            gateway.handle = handle
            raise KeyError("a bug")

        gateway.handle = broken
        client.ask()
        assert (await client.answer())[0] == 502
        front.list(line("w", worker.port))
        client.ask()
        assert (await client.answer())[0] == 200

    going(test)
    assert "a bug" in capsys.readouterr().err
