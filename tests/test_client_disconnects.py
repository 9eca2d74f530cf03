"""Clients who leave while their request is at work, waits, uploads or is answered.

The incident GONE (`docs/incidents/GONE-2026-12.md`). Seen: repeatable requests ran to their end at their
workers after their clients had closed, 5 of 5, at a gatekeeper that was in no trouble. How it came about: the
front heard the close and the decisions closed the request, but nobody ended the attempt, so that its run was
answered into nothing. Beside it, no close was heard while a client's connection was not read.
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
from pepperrun.dataplane.attempt_reports import ABANDONED, CLIENT_LEFT, OUTLIVED, AttemptReports
from pepperrun.dataplane.draining import drain
from pepperrun.exchange import End, Exchange
from pepperrun.fronts.http_client import AHEAD
from pepperrun.fronts.kept import KeptClient
from pepperrun.net.connection import AbandonReason, Attempt
from pepperrun.net.hangup import HangupWatch
from pepperrun.net.http1 import LAST_CHUNK, encode_chunk
from pepperrun.net.http1 import Request as HttpRequest

SAFE, UNSAFE = 0, 3  # classes of `Driver`
LONG = 1 << 20  # bytes: more than any buffer of a gatekeeper holds


def close(client: Client) -> None:
    client.writer.close()


def reset(client: Client) -> None:
    """The connection is torn down: what was sent and not yet read is gone too."""
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


def half_close(client: Client) -> None:
    """Ends its writing side only, which the wire shows as it shows a close."""
    client.writer.write_eof()


WAYS = pytest.mark.parametrize("leave", [close, reset, half_close])


async def until(condition: Callable[[], object]) -> None:
    """Until it holds; the loop runs on meanwhile, and the test's own limit ends it."""
    while not condition():
        await asyncio.sleep(0)


class Leavers(Cluster):
    """A data plane, and what its clients' leaving does to it."""

    def __init__(self, kind: str = "safe", **more: Any) -> None:
        super().__init__(route("r", "/p/", route_kind=kind, target_ms=3000, deadline_ms=12000, **more))
        self.gatekeeper, self.servers = self.plane.gatekeeper, self.plane.servers

    async def ask_long(self, id: str = "i1", **more: Any) -> Client:
        """A request whose client would wait for long."""
        client: Client = await self.ask(Attempt_Id=id, Deadline_Ms="12000", **more)
        return client

    def connections(self) -> list[KeptClient]:
        """Clients' connections that are up."""
        return cast(list[KeptClient], list(self.plane.listener.clients))

    def heard_leaving(self, count: int = 1) -> bool:
        """Has it been heard that so many clients have left?"""
        return self.gatekeeper.counts[End.LEFT] == count

    def at_rest(self) -> bool:
        """Is nothing of any request left, neither of its client's side nor of its attempts'?"""
        return not (self.gatekeeper.exchanges or self.gatekeeper.gateway.pending or self.servers.attempts)

    def blames_nobody(self) -> bool:
        """Is there no failure of a worker, and no place in the bound that is still taken?"""
        gateway, sharing = self.gatekeeper.gateway, self.plane.outcome_sharing
        fleets = [lane.fleet for lane in gateway.services]
        marks = [bad for fleet in fleets for bad, _ in fleet.backend_reports.known.values()]
        blamed = sharing.ejection.records or any(marks) or sharing.late
        return not blamed and not any(fleet.in_flight for fleet in fleets)


def run_at(worker: StandIn) -> Any:
    return worker.arrived.get()


# At work.


@WAYS
@pytest.mark.parametrize("draining", [False, True])
def test_a_repeatable_run_ends_with_its_client(leave: Callable[[Client], None], draining: bool) -> None:
    """The incident: the worker is at work on a request that may be repeated, and its client leaves."""

    async def test() -> None:
        cluster, worker = Leavers(), await StandIn(stall).start()
        cluster.work("w1", worker.port)
        client = await cluster.ask_long()
        await run_at(worker)
        cluster.plane.listener.draining = draining
        leave(client)
        await worker.closed.get()  # its connection ends, long before the deadline of 12 s
        await until(cluster.at_rest)
        assert cluster.gatekeeper.counts[End.LEFT] == 1 and len(worker.heads) == 1
        assert cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 1 and cluster.blames_nobody()
        assert not any(known.answers for known in cluster.plane.outcome_sharing.answer_times.values())
        reports = cluster.plane.reports
        assert reports.counts == {CLIENT_LEFT: 1, ABANDONED: 1}
        assert reports.abandoned_by_reason == {AbandonReason.CLIENT_LEFT: 1}

    going(test)


@WAYS
def test_what_may_not_be_repeated_goes_on_without_its_client(leave: Callable[[Client], None]) -> None:
    """An unsafe request may have run in part: cutting it off would leave nobody knowing what became of it."""

    async def test() -> None:
        cluster, worker = Leavers("unsafe"), await StandIn(wait_then(ok())).start()
        cluster.work("w1", worker.port)
        client = await cluster.ask_long()
        await run_at(worker)
        leave(client)
        await until(cluster.heard_leaving)
        worker.go.set()
        await until(cluster.at_rest)
        assert cluster.gatekeeper.outcomes[Outcome.OK] == 1 and cluster.blames_nobody()
        assert worker.closed.empty() and cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 0

    going(test)


def test_a_stop_waits_for_what_goes_on_without_its_client() -> None:
    """No client is left, so nothing else keeps the process: its end would cut the unsafe run off."""

    async def test() -> None:
        cluster, worker = Leavers("unsafe"), await StandIn(wait_then(ok())).start()
        cluster.work("w1", worker.port)
        client = await cluster.ask_long()
        await run_at(worker)
        client.writer.close()
        await until(cluster.heard_leaving)
        plane = cluster.plane
        stop = asyncio.ensure_future(drain(plane.listener, 100.0, plane.is_at_work, plane.out_of_time))
        await until(lambda: plane.listener.socket is None)
        for _ in range(20):
            await asyncio.sleep(0)
        assert not stop.done() and worker.closed.empty()
        worker.go.set()
        await stop
        assert cluster.gatekeeper.outcomes[Outcome.OK] == 1 and cluster.at_rest()

    going(test)


def test_who_leaves_and_comes_back_at_once_is_served() -> None:
    async def test() -> None:
        cluster, worker = Leavers(), await StandIn(stall, ok()).start()
        cluster.work("w1", worker.port)
        client = await cluster.ask_long()
        await run_at(worker)
        client.writer.close()
        again = await cluster.ask_long()
        assert (await again.answer())[::2] == (200, b"fine")
        await worker.closed.get()
        await until(lambda: cluster.heard_leaving() and cluster.at_rest())
        assert cluster.blames_nobody() and len(worker.heads) == 2

    going(test)


def test_hundreds_who_leave_at_once_blame_no_worker_and_free_their_places() -> None:
    """A region's clients go at once; each of their runs ends, and who stayed is served."""

    async def test() -> None:
        count = 60
        cluster, worker = Leavers(), await StandIn(*[stall] * count, ok()).start()
        cluster.work("w1", worker.port)
        clients = [await cluster.ask_long(f"i{number}") for number in range(count)]
        (cls,) = {exchange.cls for exchange in cluster.gatekeeper.exchanges.values()} or {0}
        known = cluster.plane.outcome_sharing.answer_times[cls]
        for _ in range(8):
            known.add(1000 * MS)
        await until(lambda: len(cluster.servers.attempts) + waiting_in(cluster) == count)
        for client in clients:
            client.writer.close()
        await until(lambda: cluster.heard_leaving(count) and cluster.at_rest())
        assert cluster.blames_nobody() and known.mean_ns > 1000 * MS
        worker.plan[:] = [ok()]
        assert (await (await cluster.ask_long()).answer())[0] == 200

    going(test)


def waiting_in(cluster: Leavers) -> int:
    """How many requests wait for a turn."""
    return sum(held.waiting for held in cluster.gatekeeper.gateway.pending.values())


# Not yet at work.


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_who_left_before_a_worker_was_there_is_not_sent_to_one(kind: str) -> None:
    async def test() -> None:
        cluster, worker = Leavers(kind), await StandIn(ok()).start()
        client = await cluster.ask_long("gone")
        await until(lambda: cluster.gatekeeper.exchanges)
        client.writer.close()
        await until(lambda: cluster.heard_leaving() and not cluster.gatekeeper.gateway.pending)
        cluster.work("w1", worker.port)
        assert (await (await cluster.ask_long()).answer())[0] == 200
        assert len(worker.heads) == 1 and b"gone" not in worker.heads[0]

    going(test)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_an_attempt_that_waits_for_a_connection_ends_with_its_client(kind: str) -> None:
    """It has reached no worker, so it ends at once, whatever its route; others get the connection."""

    async def test() -> None:
        cluster, worker = Leavers(kind), await StandIn(wait_then(ok(id=b"first")), ok()).start()
        cluster.servers.max_per_backend = 1
        cluster.work("w1", worker.port)
        first = await cluster.ask_long("first")
        await run_at(worker)
        second = await cluster.ask_long("gone")
        await until(lambda: len(cluster.servers.attempts) == 2)
        second.writer.close()
        await until(lambda: len(cluster.servers.attempts) == 1)
        worker.go.set()
        assert (await first.answer())[0] == 200
        assert (await (await cluster.ask_long()).answer())[0] == 200
        await until(cluster.at_rest)
        assert cluster.gatekeeper.outcomes[Outcome.MOOT] == 1 and cluster.blames_nobody()
        assert not any(b"gone" in head for head in worker.heads) and worker.connections == 1

    going(test)


# A close that stands behind bytes which are not read.


async def sends_ahead(cluster: Leavers, client: Client) -> None:
    """Sends requests behind the first until the gatekeeper reads no more of them."""
    behind = b"GET /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: gone\r\nAuthorization: Token k1\r\n\r\n"
    client.writer.write(behind * (4 * AHEAD // len(behind)))
    await until(lambda: any(kept.paused for kept in cluster.connections()))


def close_has_arrived(cluster: Leavers) -> bool:
    """Has each client's close reached this machine, whatever stands before it in the socket's buffer?"""
    poll = select.poll()
    for kept in cluster.connections():
        poll.register(kept.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return len(poll.poll(0)) == len(cluster.connections())


@WAYS
def test_a_close_behind_what_was_sent_ahead_is_heard(leave: Callable[[Client], None]) -> None:
    """More was sent ahead than is read before the answer: the end stands behind it in the socket's buffer."""

    async def test() -> None:
        cluster, worker = Leavers(), await StandIn(stall).start()
        cluster.work("w1", worker.port)
        client = await cluster.ask_long()
        await run_at(worker)
        await sends_ahead(cluster, client)
        leave(client)
        await worker.closed.get()
        await until(cluster.at_rest)
        assert len(worker.heads) == 1 and cluster.blames_nobody()

    going(test)


@WAYS
def test_requests_behind_an_unsafe_one_never_run_once_their_client_has_left(
    leave: Callable[[Client], None],
) -> None:
    """The first goes on; what its client sent behind it reaches no worker."""

    async def test() -> None:
        cluster, worker = Leavers("unsafe"), await StandIn(wait_then(ok()), ok()).start()
        cluster.work("w1", worker.port)
        client = await cluster.ask_long()
        await run_at(worker)
        await sends_ahead(cluster, client)
        leave(client)
        await until(lambda: close_has_arrived(cluster))
        worker.go.set()
        await until(
            lambda: cluster.gatekeeper.outcomes[Outcome.OK] == 1 and not cluster.plane.listener.clients
        )
        assert len(worker.heads) == 1 and cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 0

    going(test)


def test_each_connection_that_is_not_read_is_watched_anew() -> None:
    """Descriptors come again: what was known of one must not outlive its connection."""

    async def test() -> None:
        cluster, worker = Leavers(), await StandIn(stall).start()
        cluster.work("w1", worker.port)
        for _ in range(3):
            client = await cluster.ask_long()
            await run_at(worker)
            await sends_ahead(cluster, client)
            reset(client)
            await until(lambda: cluster.at_rest() and not cluster.connections())
        assert cluster.heard_leaving(3)

    going(test)


def test_a_connection_that_is_half_closed_and_breaks_later_is_told_of_twice() -> None:
    async def test() -> None:
        loop, told = asyncio.get_running_loop(), list[bool]()
        watch, (ours, peers) = HangupWatch(loop), socket.socketpair()
        peers.send(b"unread")
        watch.watch(ours.fileno(), told.append)
        peers.shutdown(socket.SHUT_WR)
        await until(lambda: told == [False])
        peers.close()
        await until(lambda: told == [False, True])
        watch.unwatch(ours.fileno())
        watch.close()
        ours.close()

    going(test)


class DeafWorker(asyncio.Protocol):
    """A worker that reads the head of a request, and its body only once it is told to."""

    def __init__(self) -> None:
        self.count = 0  # bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if not self.count:
            self.transport.pause_reading()
        self.count += len(data)


async def uploads_until_nobody_reads(
    cluster: Leavers, client: Client, coded: Callable[[bytes], bytes] = bytes
) -> int:
    """Sends until the worker takes no more, so that the gatekeeper reads no more for as long as we look.

    Returns how many bytes of a body it was.
    """
    unread = size = 0
    while unread < 500:
        if not unread:
            client.writer.write(coded(b"x" * AHEAD))
            size += AHEAD
            await client.writer.drain()
        unread = unread + 1 if any(kept.paused for kept in cluster.connections()) else 0
        await asyncio.sleep(0)
    return size


@pytest.mark.parametrize("leave", [reset, half_close])
def test_a_close_during_an_upload_that_waits_for_its_worker_is_heard(leave: Callable[[Client], None]) -> None:
    """Its request will never be whole, which is no failure of the worker's."""

    async def test() -> None:
        cluster, worker = Leavers(), DeafWorker()
        server = await asyncio.get_running_loop().create_server(lambda: worker, HOST, 0)
        cluster.work("w1", server.sockets[0].getsockname()[1])
        client = await cluster.ask_long(method="POST", Content_Length=str(64 * LONG))
        await uploads_until_nobody_reads(cluster, client)
        leave(client)
        await until(cluster.at_rest)
        assert cluster.heard_leaving() and cluster.blames_nobody()
        server.close()

    going(test)


def test_an_upload_that_may_not_be_repeated_goes_on_where_all_of_it_has_arrived() -> None:
    """Its client has sent the last byte and closed; the worker reads on, and runs it."""

    async def test() -> None:
        cluster, worker, size = Leavers("unsafe"), DeafWorker(), 0
        server = await asyncio.get_running_loop().create_server(lambda: worker, HOST, 0)
        cluster.work("w1", server.sockets[0].getsockname()[1])
        client = await cluster.ask_long(method="POST", Transfer_Encoding="chunked")
        size = await uploads_until_nobody_reads(cluster, client, encode_chunk)
        client.writer.write(LAST_CHUNK)
        client.writer.write_eof()
        await until(lambda: close_has_arrived(cluster))
        for _ in range(20):
            await asyncio.sleep(0)
        assert cluster.servers.attempts and not cluster.heard_leaving()
        worker.transport.resume_reading()
        await until(lambda: worker.count > size and cluster.heard_leaving())
        worker.transport.write(ok())
        await until(cluster.at_rest)
        assert cluster.gatekeeper.outcomes[Outcome.OK] == 1
        server.close()

    going(test)


@WAYS
def test_a_long_answer_ends_with_its_client(leave: Callable[[Client], None]) -> None:
    """The client takes no more of its answer, has sent ahead, and leaves: the worker is let go."""

    async def test() -> None:
        cluster, worker = Leavers(), await StandIn(ok(b"x" * (64 * LONG))).start()
        cluster.work("w1", worker.port)
        client = await cluster.ask_long()
        await until(lambda: any(kept.stuck is not None for kept in cluster.connections()))
        await sends_ahead(cluster, client)
        leave(client)
        await worker.closed.get()
        await until(lambda: not cluster.connections())
        assert cluster.blames_nobody()

    going(test)


def test_a_connection_taken_over_from_another_process_hears_its_client_leave() -> None:
    async def test() -> None:
        before, after = Leavers(), Leavers()
        worker = await StandIn(ok(), stall).start()
        before.work("w1", worker.port)
        after.work("w1", worker.port)
        client = await before.ask_long()
        assert (await client.answer())[0] == 200
        (kept,) = before.connections()
        given = kept.hand_over(2048)
        assert given is not None
        snapshot, descriptor = given
        await after.plane.listener.adopt(socket.socket(fileno=descriptor), snapshot)
        await after.ask_long(client=client)
        await until(lambda: len(worker.heads) == 2)
        client.writer.close()
        await until(lambda: after.heard_leaving() and after.at_rest())
        assert after.gatekeeper.outcomes[Outcome.CANCELLED] == 1 and after.blames_nobody()

    going(test)


# The decisions by themselves, where two things happen in one turn.


def ending(**more: Any) -> Driver:
    return Driver(cancel_when_client_left=True, **more)


def sent(actions: list[Any]) -> Send:
    (send,) = only(actions, Send)
    return send


def test_the_decisions_end_each_repeatable_attempt_of_who_left_and_no_other() -> None:
    driver = ending()
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


def test_an_attempt_that_ends_right_after_its_client_left_keeps_its_connection() -> None:
    """Leavers come in hundreds, and each cancel costs a connection to a worker."""
    driver = ending()
    send = sent(driver.ask(cls=SAFE))
    assert only(driver.feed(ClientLeft(send.request)), Cancel) == []
    driver.run(ABANDONED_GRACE_NS // 2)
    driver.end(send, Outcome.OK)
    assert only(driver.run(2 * ABANDONED_GRACE_NS), Cancel) == [] and not driver.gateway.pending


def test_many_who_leave_do_not_make_answers_look_quick() -> None:
    """Work of 1 s on average, memoryless; whoever waits for longer than 0.5 s leaves."""
    driver, times, rng = ending(), AnswerTime(), random.Random(1)
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
        times.add_cut_short(500 * MS)
    (expected, *_) = driver.gateway.fleet.unit_latency_ns
    assert 700 * MS < expected < 1400 * MS and 600 * MS < times.mean_ns < 1500 * MS


def test_a_request_that_expires_cancels_nothing() -> None:
    """Its attempts end with their own deadline, or with the process at the end of the grace."""
    driver = ending()
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
        exchange.begin(now[0])
        reports.client_left([Attempt(exchange, number, 7, 12000 * MS)])
        now[0] += after_ms * MS
        reports.ended(exchange, number, 7, Outcome.OK)
    assert [name for name, _ in lines] == [CLIENT_LEFT, CLIENT_LEFT, OUTLIVED]
    assert (lines[2][1]["after_ms"], lines[2][1]["worker"]) == (600, "w7")


def test_who_leaves_in_the_turn_of_an_answer_or_of_a_request_causes_nothing() -> None:
    driver = ending()
    send = sent(driver.ask(cls=SAFE))
    answered = AttemptEnded(send.request, 0, send.backend, Outcome.OK, 50 * MS, True)
    driver.feed(answered, ClientLeft(send.request))
    assert only(driver.run(2 * ABANDONED_GRACE_NS), Cancel) == []
    asked = Request(99, 1, 0, SAFE, left_ns=3000 * MS, units=1.0, spread=1, first=0)
    assert only(driver.feed(asked, ClientLeft(99)), Send) == [] and not driver.gateway.pending


def test_where_answers_settle_what_was_charged_attempts_run_on() -> None:
    """The sidecar's plans are charged by the true units, which only an answer tells."""
    driver = Driver()
    send = sent(driver.ask(cls=SAFE))
    driver.feed(ClientLeft(send.request))
    assert only(driver.run(2 * ABANDONED_GRACE_NS), Cancel) == [] and list(driver.gateway.pending) == [
        send.request
    ]
