"""Clients who leave while their request is at work, waits, uploads or is answered.

The incident GONE (`docs/incidents/GONE-2026-12.md`). Seen: repeatable requests ran to their end at their
workers after their clients had closed, 5 of 5, at a gatekeeper that was in no trouble. How it came about: the
front heard the close and the decisions closed the request, but nobody ended the attempt, so that its run was
answered into nothing. Beside it, no close was heard while a client's connection was not read.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
from standins import HOST, Client, StandIn, going, stall, wait_then
from test_dataplane import Cluster, ok, route

from pepperrun.core.interface import (
    Outcome,
)
from pepperrun.exchange import End
from pepperrun.fronts.http_client import AHEAD

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

    def heard_leaving(self, count: int = 1) -> bool:
        """Has it been heard that so many clients have left?"""
        return self.gatekeeper.counts[End.LEFT] == count

    def blames_nobody(self) -> bool:
        """No failure of a worker, no retry, no place in the bound that is still taken, nothing left over."""
        gateway, sharing = self.gatekeeper.gateway, self.plane.outcome_sharing
        fleets = [lane.fleet for lane in gateway.lanes]
        marks = [bad for fleet in fleets for bad, _ in fleet.news.known.values()]
        blamed = sharing.ejection.records or any(marks) or sharing.late
        places = [fleet.out for fleet in fleets]
        taken = any(places) or gateway.held or self.gatekeeper.exchanges or self.servers.attempts
        return not blamed and not taken


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
        await until(lambda: not cluster.gatekeeper.exchanges)
        assert cluster.gatekeeper.counts[End.LEFT] == 1 and len(worker.heads) == 1
        assert cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 1 and cluster.blames_nobody()
        assert cluster.plane.outcome_sharing.answer_times == {}  # no sample of how long work takes

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
        await until(lambda: not cluster.gatekeeper.exchanges)
        assert cluster.gatekeeper.outcomes[Outcome.OK] == 1 and cluster.blames_nobody()
        assert worker.closed.empty() and cluster.gatekeeper.outcomes[Outcome.CANCELLED] == 0

    going(test)


# Not yet at work.


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_who_left_before_a_worker_was_there_is_not_sent_to_one(kind: str) -> None:
    async def test() -> None:
        cluster, worker = Leavers(kind), await StandIn(ok()).start()
        client = await cluster.ask_long("gone")
        await until(lambda: cluster.gatekeeper.exchanges)
        client.writer.close()
        await until(lambda: cluster.heard_leaving() and not cluster.gatekeeper.gateway.held)
        cluster.work("w1", worker.port)
        assert (await (await cluster.ask_long()).answer())[0] == 200
        assert len(worker.heads) == 1 and b"gone" not in worker.heads[0]

    going(test)


# A close that stands behind bytes which are not read.


async def sends_ahead(cluster: Leavers, client: Client) -> None:
    """Sends requests behind the first until the gatekeeper reads no more of them."""
    behind = b"GET /p/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: gone\r\nAuthorization: Token k1\r\n\r\n"
    client.writer.write(behind * (4 * AHEAD // len(behind)))
    await until(lambda: any(kept.paused for kept in cluster.plane.listener.clients))


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
        await until(lambda: not cluster.gatekeeper.exchanges)
        assert len(worker.heads) == 1 and cluster.blames_nobody()

    going(test)


def shut_down(client: Client) -> None:
    """As a process that ends: what it has not handed to the system is gone."""
    client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)


class DeafWorker(asyncio.Protocol):
    """A worker that reads the head of a request and no more of its body."""

    def __init__(self) -> None:
        self.heads = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.heads += 1
        self.transport.pause_reading()


async def stuck(cluster: Leavers, client: Client) -> None:
    """Until nothing moves any more: the worker reads no more, so neither does the gatekeeper."""
    unsent, still = 0, 0
    while still < 500 or not any(kept.paused for kept in cluster.plane.listener.clients):
        before, unsent = unsent, client.writer.transport.get_write_buffer_size()
        still = still + 1 if unsent == before else 0
        await asyncio.sleep(0)


@pytest.mark.parametrize("leave", [reset, shut_down])
def test_a_close_during_an_upload_that_waits_for_its_worker_is_heard(leave: Callable[[Client], None]) -> None:
    """Its request will never be whole, which is no failure of the worker's."""

    async def test() -> None:
        cluster, worker = Leavers(), DeafWorker()
        server = await asyncio.get_running_loop().create_server(lambda: worker, HOST, 0)
        cluster.work("w1", server.sockets[0].getsockname()[1])
        client = await cluster.ask_long(method="POST", Content_Length=str(64 * LONG))
        client.writer.write(b"x" * (48 * LONG))
        await stuck(cluster, client)
        leave(client)
        await until(lambda: not cluster.servers.attempts and not cluster.gatekeeper.exchanges)
        assert cluster.heard_leaving() and cluster.blames_nobody()
        server.close()

    going(test)
