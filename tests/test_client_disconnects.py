"""Clients that disconnect while their request runs, waits, uploads or is answered.

The incident GONE (`docs/incidents/GONE-2026-12.md`): idempotent requests ran to completion at their workers
after their clients had closed, 5 of 5, at a healthy gatekeeper. The front noticed the close and the gateway
closed the request, but nothing ended the attempt, so that its response was discarded. Besides, no close was
noticed while the reading of a client's connection was paused.
"""

from __future__ import annotations

import asyncio
import random
import select
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import pytest
from helpers import MS, Driver, only
from standins import HOST, Client, StandIn, going, stall, wait_then
from test_dataplane import Cluster, ok, route

from pepperrun.core.gateway import ABANDONED_GRACE_NS
from pepperrun.core.interface import (
    AttemptEnded,
    AttemptSuspected,
    Cancel,
    ClientLeft,
    Outcome,
    Request,
    RequestExpired,
    Send,
)
from pepperrun.dataplane.answer_times import AnswerTime
from pepperrun.dataplane.attempt_reports import (
    ABANDONED,
    CLIENT_LEFT,
    OUTLIVED,
    OUTLIVED_NS,
    AttemptReports,
)
from pepperrun.dataplane.draining import drain
from pepperrun.exchange import End, Exchange
from pepperrun.fronts.client_connection import ClientConnection
from pepperrun.fronts.http_connection import MAX_PIPELINED_BYTES
from pepperrun.net.connection import AbandonReason, Attempt
from pepperrun.net.hangup import HangupWatch
from pepperrun.net.http1 import LAST_CHUNK, encode_chunk
from pepperrun.net.http1 import Request as HttpRequest

SAFE, UNSAFE = 0, 3  # request classes of `Driver`
LONG = 1 << 20  # bytes, more than any buffer of a gatekeeper


def close(client: Client) -> None:
    client.writer.close()


def reset(client: Client) -> None:
    """Resets the connection: bytes that were sent and not yet read are lost too."""
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


def half_close(client: Client) -> None:
    """Closes the writing side only, which looks like a close to the peer."""
    client.writer.write_eof()


DISCONNECT_KINDS = pytest.mark.parametrize("disconnect", [close, reset, half_close])


async def until(condition: Callable[[], object]) -> None:
    """Runs the loop until the condition is true; the time limit of the test ends a wait without success."""
    while not condition():
        await asyncio.sleep(0)


class DisconnectCluster(Cluster):
    """A data plane, with checks of how it reacts to disconnects of its clients."""

    def __init__(self, kind: str = "safe", **more: Any) -> None:
        super().__init__(route("r", "/p/", route_kind=kind, target_ms=3000, deadline_ms=12000, **more))
        self.gatekeeper, self.servers = self.plane.gatekeeper, self.plane.upstream

    async def ask_with_long_deadline(self, id: str = "i1", **more: Any) -> Client:
        """Sends a request with a deadline of 12 s."""
        client: Client = await self.ask(Attempt_Id=id, Deadline_Ms="12000", **more)
        return client

    def connections(self) -> list[ClientConnection]:
        """Returns the open client connections."""
        return cast(list[ClientConnection], list(self.plane.listener.clients))

    def has_noticed_disconnects(self, count: int = 1) -> bool:
        """Whether the gatekeeper has noticed this number of disconnects."""
        return self.gatekeeper.counts[End.CLIENT_LEFT] == count

    def is_idle(self) -> bool:
        """Whether neither a request nor an attempt is left."""
        return not (self.gatekeeper.exchanges or self.gatekeeper.gateway.pending or self.servers.attempts)

    def blames_no_worker(self) -> bool:
        """Whether no failure of a worker is recorded and the concurrency limit counts nothing in flight."""
        gateway, sharing = self.gatekeeper.gateway, self.plane.outcome_sharing
        fleets = [lane.fleet for lane in gateway.services]
        marks = [bad for fleet in fleets for bad, _ in fleet.backend_reports.known.values()]
        blamed = sharing.ejection.records or any(marks) or sharing.late
        return not blamed and not any(fleet.in_flight for fleet in fleets)


def request_reached(worker: StandIn) -> Any:
    return worker.arrived.get()


async def unsafe_request_without_client(
    disconnect: Callable[[Client], None] = close,
) -> tuple[DisconnectCluster, StandIn]:
    """Returns a cluster and its worker, at work until `go` is set on a request whose client has left."""
    cluster, worker = DisconnectCluster("unsafe"), await StandIn(wait_then(ok())).start()
    cluster.add_worker("w1", worker.port)
    client = await cluster.ask_with_long_deadline()
    await request_reached(worker)
    disconnect(client)
    await until(cluster.has_noticed_disconnects)
    return cluster, worker


# Requests that run at a worker.


@DISCONNECT_KINDS
@pytest.mark.parametrize("draining", [False, True])
def test_idempotent_request_is_cancelled_when_its_client_disconnects(
    disconnect: Callable[[Client], None], draining: bool
) -> None:
    """The incident: the client of an idempotent request disconnects while the worker runs it."""

    async def test() -> None:
        cluster, worker = DisconnectCluster(), await StandIn(stall).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask_with_long_deadline()
        await request_reached(worker)
        cluster.plane.listener.draining = draining
        disconnect(client)
        await worker.closed.get()  # the connection closes long before the deadline of 12 s
        await until(cluster.is_idle)
        assert cluster.gatekeeper.counts[End.CLIENT_LEFT] == 1 and len(worker.heads) == 1
        assert cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 1 and cluster.blames_no_worker()
        assert not any(known.answers for known in cluster.plane.outcome_sharing.answer_times.values())
        reports = cluster.plane.reports
        assert reports.counts == {CLIENT_LEFT: 1, ABANDONED: 1}
        assert reports.abandoned_by_reason == {AbandonReason.CLIENT_LEFT: 1}

    going(test)


@DISCONNECT_KINDS
def test_unsafe_request_continues_without_its_client(disconnect: Callable[[Client], None]) -> None:
    """An unsafe request may have run in part: after a cancel its result would be unknown."""

    async def test() -> None:
        cluster, worker = await unsafe_request_without_client(disconnect)
        worker.go.set()
        await until(cluster.is_idle)
        assert cluster.gatekeeper.outcomes[Outcome.OK] == 1 and cluster.blames_no_worker()
        assert worker.closed.empty() and cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 0

    going(test)


def test_shutdown_waits_for_unsafe_requests_without_clients() -> None:
    """Without clients nothing else keeps the process running; its exit would abort the unsafe request."""

    async def test() -> None:
        cluster, worker = await unsafe_request_without_client()
        plane = cluster.plane
        stop = asyncio.ensure_future(
            drain(plane.listener, 100.0, plane.has_pending_requests, plane.expire_all)
        )
        await until(lambda: plane.listener.socket is None)
        for _ in range(20):
            await asyncio.sleep(0)
        assert not stop.done() and worker.closed.empty()
        worker.go.set()
        await stop
        assert cluster.gatekeeper.outcomes[Outcome.OK] == 1 and cluster.is_idle()

    going(test)


def test_shutdown_expires_requests_and_does_not_take_their_clients_for_gone() -> None:
    """Guards against a planned stop that cancels what runs: the gateway gets the wrong event then."""

    async def test() -> None:
        cluster, worker = DisconnectCluster(), await StandIn(wait_then(ok())).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask_with_long_deadline()
        await request_reached(worker)
        gateway, events = cluster.gatekeeper.gateway, list[Any]()
        handle = gateway.handle

        def record(now: int, batch: Any) -> Any:
            events.extend(batch)
            return handle(now, batch)

        gateway.handle = record  # type: ignore[method-assign]
        cluster.plane.expire_all()
        assert (await client.answer())[0] == 504
        await until(lambda: events)
        assert [type(event) for event in events if isinstance(event, (ClientLeft, RequestExpired))] == [
            RequestExpired
        ]
        worker.go.set()

    going(test)


def test_end_of_an_attempt_that_outlived_its_client_reaches_the_reports() -> None:
    """Guards against a count that stays at zero: the data plane has to pass on the end of each attempt."""

    async def test() -> None:
        cluster, worker = await unsafe_request_without_client()
        reports = cluster.plane.outcome_sharing.reports
        clock = reports.clock
        reports.clock = lambda: clock() + OUTLIVED_NS + MS
        worker.go.set()
        await until(cluster.is_idle)
        assert reports.counts[CLIENT_LEFT] == 1 and reports.counts[OUTLIVED] == 1

    going(test)


def test_client_that_reconnects_at_once_is_served() -> None:
    async def test() -> None:
        cluster, worker = DisconnectCluster(), await StandIn(stall, ok()).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask_with_long_deadline()
        await request_reached(worker)
        client.writer.close()
        again = await cluster.ask_with_long_deadline()
        assert (await again.answer())[::2] == (200, b"fine")
        await worker.closed.get()
        await until(lambda: cluster.has_noticed_disconnects() and cluster.is_idle())
        assert cluster.blames_no_worker() and len(worker.heads) == 2

    going(test)


def test_mass_disconnect_blames_no_worker_and_frees_capacity() -> None:
    """The clients of a region disconnect at once: each of their requests ends, and others are served."""

    async def test() -> None:
        count = 60
        cluster, worker = DisconnectCluster(), await StandIn(*[stall] * count, ok()).start()
        cluster.add_worker("w1", worker.port)
        clients = [await cluster.ask_with_long_deadline(f"i{number}") for number in range(count)]
        (cls,) = {exchange.cls for exchange in cluster.gatekeeper.exchanges.values()} or {0}
        known = cluster.plane.outcome_sharing.answer_times[cls]
        for _ in range(8):
            known.add(1000 * MS)
        await until(lambda: len(cluster.servers.attempts) + count_waiting(cluster) == count)
        for client in clients:
            client.writer.close()
        await until(lambda: cluster.has_noticed_disconnects(count) and cluster.is_idle())
        assert cluster.blames_no_worker() and known.mean_ns > 1000 * MS
        worker.plan[:] = [ok()]
        assert (await (await cluster.ask_with_long_deadline()).answer())[0] == 200

    going(test)


def count_waiting(cluster: DisconnectCluster) -> int:
    """Returns how many requests are queued."""
    return sum(request.waiting for request in cluster.gatekeeper.gateway.pending.values())


# Requests that have not reached a worker.


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_request_of_a_disconnected_client_is_never_sent(kind: str) -> None:
    async def test() -> None:
        cluster, worker = DisconnectCluster(kind), await StandIn(ok()).start()
        client = await cluster.ask_with_long_deadline("gone")
        await until(lambda: cluster.gatekeeper.exchanges)
        client.writer.close()
        await until(lambda: cluster.has_noticed_disconnects() and not cluster.gatekeeper.gateway.pending)
        cluster.add_worker("w1", worker.port)
        assert (await (await cluster.ask_with_long_deadline()).answer())[0] == 200
        assert len(worker.heads) == 1 and b"gone" not in worker.heads[0]

    going(test)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_attempt_waiting_for_a_connection_ends_with_its_client(kind: str) -> None:
    """The attempt has reached no worker, so it ends at once on any route; others get the connection."""

    async def test() -> None:
        cluster, worker = DisconnectCluster(kind), await StandIn(wait_then(ok(id=b"first")), ok()).start()
        cluster.servers.max_per_backend = 1
        cluster.add_worker("w1", worker.port)
        first = await cluster.ask_with_long_deadline("first")
        await request_reached(worker)
        second = await cluster.ask_with_long_deadline("gone")
        await until(lambda: len(cluster.servers.attempts) == 2)
        second.writer.close()
        await until(lambda: len(cluster.servers.attempts) == 1)
        worker.go.set()
        assert (await first.answer())[0] == 200
        assert (await (await cluster.ask_with_long_deadline()).answer())[0] == 200
        await until(cluster.is_idle)
        assert cluster.gatekeeper.outcomes[Outcome.MOOT] == 1 and cluster.blames_no_worker()
        assert not any(b"gone" in head for head in worker.heads) and worker.connections == 1

    going(test)


# A close behind unread bytes.


async def pipeline_requests(cluster: DisconnectCluster, client: Client) -> None:
    """Pipelines requests behind the first until the gatekeeper pauses reading."""
    pipelined = b"GET /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: gone\r\nAuthorization: Token k1\r\n\r\n"
    client.writer.write(pipelined * (4 * MAX_PIPELINED_BYTES // len(pipelined)))
    await until(lambda: any(kept.reading_paused for kept in cluster.connections()))


def close_has_reached_socket(cluster: DisconnectCluster) -> bool:
    """Whether each client's close has reached its socket, behind any unread bytes."""
    poll = select.poll()
    for kept in cluster.connections():
        poll.register(kept.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return len(poll.poll(0)) == len(cluster.connections())


@DISCONNECT_KINDS
def test_close_behind_pipelined_requests_is_noticed(disconnect: Callable[[Client], None]) -> None:
    """More is pipelined than is read before the response: the end of stream is behind unread bytes."""

    async def test() -> None:
        cluster, worker = DisconnectCluster(), await StandIn(stall).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask_with_long_deadline()
        await request_reached(worker)
        await pipeline_requests(cluster, client)
        disconnect(client)
        await worker.closed.get()
        await until(cluster.is_idle)
        assert len(worker.heads) == 1 and cluster.blames_no_worker()

    going(test)


@DISCONNECT_KINDS
def test_pipelined_requests_of_a_disconnected_client_never_run(
    disconnect: Callable[[Client], None],
) -> None:
    """The first request continues; the pipelined ones reach no worker."""

    async def test() -> None:
        cluster, worker = DisconnectCluster("unsafe"), await StandIn(wait_then(ok()), ok()).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask_with_long_deadline()
        await request_reached(worker)
        await pipeline_requests(cluster, client)
        disconnect(client)
        await until(lambda: close_has_reached_socket(cluster))
        worker.go.set()
        await until(
            lambda: cluster.gatekeeper.outcomes[Outcome.OK] == 1 and not cluster.plane.listener.clients
        )
        assert len(worker.heads) == 1 and cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 0

    going(test)


def test_each_paused_connection_is_watched_separately() -> None:
    """Descriptors are reused: the state of one must not outlive its connection."""

    async def test() -> None:
        cluster, worker = DisconnectCluster(), await StandIn(stall).start()
        cluster.add_worker("w1", worker.port)
        for _ in range(3):
            client = await cluster.ask_with_long_deadline()
            await request_reached(worker)
            await pipeline_requests(cluster, client)
            reset(client)
            await until(lambda: cluster.is_idle() and not cluster.connections())
        assert cluster.has_noticed_disconnects(3)

    going(test)


def test_half_close_and_later_break_are_both_reported() -> None:
    async def test() -> None:
        loop, reports = asyncio.get_running_loop(), list[bool]()
        watch, (ours, peers) = HangupWatch(loop), socket.socketpair()
        peers.send(b"unread")
        watch.watch(ours.fileno(), reports.append)
        peers.shutdown(socket.SHUT_WR)
        await until(lambda: reports == [False])
        peers.close()
        await until(lambda: reports == [False, True])
        watch.unwatch(ours.fileno())
        watch.close()
        ours.close()

    going(test)


class PausedWorker(asyncio.Protocol):
    """A worker that reads the head of a request and pauses before the body."""

    def __init__(self) -> None:
        self.count = 0  # bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if not self.count:
            self.transport.pause_reading()
        self.count += len(data)


async def upload_until_blocked(
    cluster: DisconnectCluster, client: Client, encode: Callable[[bytes], bytes] = bytes
) -> int:
    """Sends until the worker's back-pressure has paused the gatekeeper's reading for 500 loop iterations.

    Returns the number of body bytes sent.
    """
    unread = size = 0
    while unread < 500:
        if not unread:
            client.writer.write(encode(b"x" * MAX_PIPELINED_BYTES))
            size += MAX_PIPELINED_BYTES
            await client.writer.drain()
        unread = unread + 1 if any(kept.reading_paused for kept in cluster.connections()) else 0
        await asyncio.sleep(0)
    return size


@pytest.mark.parametrize("disconnect", [reset, half_close])
def test_close_during_a_blocked_upload_is_noticed(disconnect: Callable[[Client], None]) -> None:
    """The request will never be complete, which is no failure of the worker."""

    async def test() -> None:
        cluster, worker = DisconnectCluster(), PausedWorker()
        server = await asyncio.get_running_loop().create_server(lambda: worker, HOST, 0)
        cluster.add_worker("w1", server.sockets[0].getsockname()[1])
        client = await cluster.ask_with_long_deadline(method="POST", Content_Length=str(64 * LONG))
        await upload_until_blocked(cluster, client)
        disconnect(client)
        await until(cluster.is_idle)
        assert cluster.has_noticed_disconnects() and cluster.blames_no_worker()
        server.close()

    going(test)


def test_unsafe_upload_that_has_arrived_completely_continues() -> None:
    """The client has sent the last byte and closed; the worker reads the rest and runs the request."""

    async def test() -> None:
        cluster, worker, size = DisconnectCluster("unsafe"), PausedWorker(), 0
        server = await asyncio.get_running_loop().create_server(lambda: worker, HOST, 0)
        cluster.add_worker("w1", server.sockets[0].getsockname()[1])
        client = await cluster.ask_with_long_deadline(method="POST", Transfer_Encoding="chunked")
        size = await upload_until_blocked(cluster, client, encode_chunk)
        client.writer.write(LAST_CHUNK)
        client.writer.write_eof()
        await until(lambda: close_has_reached_socket(cluster))
        for _ in range(20):
            await asyncio.sleep(0)
        assert cluster.servers.attempts and not cluster.has_noticed_disconnects()
        worker.transport.resume_reading()
        await until(lambda: worker.count > size and cluster.has_noticed_disconnects())
        worker.transport.write(ok())
        await until(cluster.is_idle)
        assert cluster.gatekeeper.outcomes[Outcome.OK] == 1
        server.close()

    going(test)


@DISCONNECT_KINDS
def test_long_response_ends_with_its_client(disconnect: Callable[[Client], None]) -> None:
    """A client that does not read its response pipelines requests and disconnects: the worker is freed."""

    async def test() -> None:
        cluster, worker = DisconnectCluster(), await StandIn(ok(b"x" * (64 * LONG))).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask_with_long_deadline()
        await until(lambda: any(kept.write_blocked_at is not None for kept in cluster.connections()))
        await pipeline_requests(cluster, client)
        disconnect(client)
        await worker.closed.get()
        await until(lambda: not cluster.connections())
        assert cluster.blames_no_worker()

    going(test)


def test_adopted_connection_notices_that_its_client_disconnects() -> None:
    async def test() -> None:
        before, after = DisconnectCluster(), DisconnectCluster()
        worker = await StandIn(ok(), stall).start()
        before.add_worker("w1", worker.port)
        after.add_worker("w1", worker.port)
        client = await before.ask_with_long_deadline()
        assert (await client.answer())[0] == 200
        (kept,) = before.connections()
        given = kept.hand_over(2048)
        assert given is not None
        snapshot, descriptor = given
        await after.plane.listener.adopt(socket.socket(fileno=descriptor), snapshot)
        await after.ask_with_long_deadline(client=client)
        await until(lambda: len(worker.heads) == 2)
        client.writer.close()
        await until(lambda: after.has_noticed_disconnects() and after.is_idle())
        assert after.gatekeeper.outcomes[Outcome.CANCELLED] == 1 and after.blames_no_worker()

    going(test)


# The gateway alone, with several events in one turn.


def cancelling_driver(**more: Any) -> Driver:
    return Driver(cancel_when_client_left=True, **more)


def sent(actions: list[Any]) -> Send:
    (send,) = only(actions, Send)
    return send


def test_gateway_cancels_only_idempotent_attempts_of_disconnected_clients() -> None:
    driver = cancelling_driver()
    kept = sent(driver.ask(cls=SAFE))
    both = sent(driver.ask(cls=SAFE))
    assert sent(driver.feed(AttemptSuspected(both.request, 0))).request == both.request
    unsafe = sent(driver.ask(cls=UNSAFE))
    driver.feed(ClientLeft(both.request), ClientLeft(unsafe.request))
    assert only(driver.run(ABANDONED_GRACE_NS), Cancel) == [Cancel(both.request, 0), Cancel(both.request, 1)]
    cancelled = [AttemptEnded(both.request, number, 0, Outcome.CANCELLED, 50 * MS, True) for number in (0, 1)]
    assert only(driver.feed(*cancelled), Send) == []
    assert set(driver.gateway.pending) == {kept.request, unsafe.request}
    assert not any(bad for bad, _ in driver.gateway.fleet.backend_reports.known.values())


def test_attempt_that_ends_right_after_the_disconnect_keeps_its_connection() -> None:
    """Clients disconnect by the hundreds, and each cancel costs a connection to a worker."""
    driver = cancelling_driver()
    send = sent(driver.ask(cls=SAFE))
    assert only(driver.feed(ClientLeft(send.request)), Cancel) == []
    driver.run(ABANDONED_GRACE_NS // 2)
    driver.end(send, Outcome.OK)
    assert only(driver.run(2 * ABANDONED_GRACE_NS), Cancel) == [] and not driver.gateway.pending


def test_many_disconnects_do_not_bias_response_times() -> None:
    """Work is exponential with a mean of 1 s; clients disconnect after 0.5 s."""
    driver, times, rng = cancelling_driver(), AnswerTime(), random.Random(1)
    for _ in range(4000):
        send = sent(driver.ask(cls=SAFE))
        work_ms = round(1000 * rng.expovariate(1))
        if work_ms <= 500:
            driver.end(send, Outcome.OK, elapsed=work_ms * MS)
            times.add(work_ms * MS)
            continue
        driver.feed(ClientLeft(send.request))
        driver.run(ABANDONED_GRACE_NS)
        driver.feed(AttemptEnded(send.request, 0, send.backend, Outcome.CANCELLED, 500 * MS, True))
        times.add_cancelled(500 * MS)
    (expected, *_) = driver.gateway.fleet.unit_latency_ns
    assert 700 * MS < expected < 1400 * MS and 600 * MS < times.mean_ns < 1500 * MS


def test_expired_request_cancels_nothing() -> None:
    """The attempts end at their own deadline, or with the process at the end of the drain grace."""
    driver = cancelling_driver()
    send = sent(driver.ask(cls=SAFE))
    driver.feed(RequestExpired(send.request))
    assert only(driver.run(2 * ABANDONED_GRACE_NS), Cancel) == [] and list(driver.gateway.pending) == [
        send.request
    ]


def test_work_that_outlives_its_client_is_reported() -> None:
    now, lines = [0], list[tuple[str, dict[str, object]]]()
    reports = AttemptReports(
        lambda: now[0],
        lambda worker: f"w{worker}",
        lambda: False,
        lambda name, **more: lines.append((name, more)),
    )
    asked = HttpRequest([], {b"attempt-id": b"i1"}, True)
    exchange: Any = Exchange(asked, print, cls=0, plan=0, customer=1, started=0, deadline=12000 * MS)
    for number, after_ms in ((0, 400), (1, 600)):
        exchange.begin_attempt(now[0])
        reports.client_left([Attempt(exchange, number, 7, 12000 * MS)])
        now[0] += after_ms * MS
        reports.ended(exchange, number, 7, Outcome.OK)
    assert [name for name, _ in lines] == [CLIENT_LEFT, CLIENT_LEFT, OUTLIVED]
    assert (lines[2][1]["after_ms"], lines[2][1]["worker"]) == (600, "w7")


def test_disconnect_in_the_turn_of_a_response_or_request_has_no_effect() -> None:
    driver = cancelling_driver()
    send = sent(driver.ask(cls=SAFE))
    answered = AttemptEnded(send.request, 0, send.backend, Outcome.OK, 50 * MS, True)
    driver.feed(answered, ClientLeft(send.request))
    assert only(driver.run(2 * ABANDONED_GRACE_NS), Cancel) == []
    asked = Request(99, 1, 0, SAFE, left_ns=3000 * MS, units=1.0, spread=1, first=0)
    assert only(driver.feed(asked, ClientLeft(99)), Send) == [] and not driver.gateway.pending


def test_attempts_continue_where_responses_determine_the_charge() -> None:
    """The sidecar charges plans by the true units, which only a response reports."""
    driver = Driver()
    send = sent(driver.ask(cls=SAFE))
    driver.feed(ClientLeft(send.request))
    assert only(driver.run(2 * ABANDONED_GRACE_NS), Cancel) == [] and list(driver.gateway.pending) == [
        send.request
    ]
