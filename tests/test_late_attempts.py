"""Late attempts: which gatekeeper judges them, by which measure, and what happens to the request.

Guards against the incident LOST (`docs/incidents/LOST-2026-12.md`): a request was given up while its worker
was at work.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from standins import Client, StandIn, going, stall, wait_then
from test_dataplane import Cluster, ok, route, state

from pepperrun.control.records import WorkerState
from pepperrun.core.interface import Outcome
from pepperrun.dataplane.numbering import Numbering
from pepperrun.dataplane.outcome_sharing import OutcomeSharing
from pepperrun.dataplane.routes import RoutingTable
from pepperrun.foundation.settings import Bounds
from pepperrun.net.connection import BODY_STALL_NS, AbandonReason

MS = 1_000_000
SECOND = 1000 * MS


def earliest_start(cluster: Cluster) -> int:
    """Returns when the earliest attempt in flight was sent, in steady ns."""
    return min(
        attempt.exchange.attempt_times[attempt.number] for attempt in cluster.plane.upstream.attempts.values()
    )


def add_response_times(cluster: Cluster, count: int, elapsed_ns: int) -> None:
    """Adds so many responses with this time to the class of the attempts in flight."""
    (cls,) = {attempt.exchange.cls for attempt in cluster.plane.upstream.attempts.values()}
    for _ in range(count):
        cluster.plane.outcome_sharing.answer_times[cls].add(elapsed_ns)


def check_at(cluster: Cluster, now: int) -> OutcomeSharing:
    """Checks for late attempts with the clock at `now`."""
    shared = cluster.plane.outcome_sharing
    shared.checked_at, shared.clock = now, lambda: now
    shared.check_late_attempts()
    return shared


async def send_requests(worker: StandIn, cluster: Cluster, count: int) -> list[Client]:
    """Sends so many requests, each from its own client, until the worker has read them."""
    clients = []
    for number in range(count):
        clients.append(await cluster.ask(Attempt_Id=f"i{number}", Deadline_Ms="12000"))
        await worker.arrived.get()
    return clients


def held_responses(count: int) -> list[Any]:
    return [wait_then(ok(b"fine", b"i%d" % number)) for number in range(count)]


async def cluster_at_work(count: int, **more: Any) -> tuple[Cluster, StandIn, list[Client]]:
    """Returns a cluster with one worker that works on so many requests until `go` is set."""
    cluster = Cluster(route("r", "/p/", **{"target_ms": 3000, "deadline_ms": 12000} | more))
    worker = await StandIn(*held_responses(count)).start()
    cluster.add_worker("w1", worker.port)
    return cluster, worker, await send_requests(worker, cluster, count)


async def finish_and_check(worker: StandIn, clients: list[Client]) -> bool:
    """Lets the worker finish; returns whether each client gets its response."""
    worker.go.set()
    return [(await client.answer())[::2] for client in clients] == [(200, b"fine")] * len(clients)


def test_ejected_worker_still_answers_requests_that_cannot_be_retried():
    """The incident: three attempts are late at one worker after SIGTERM, too late for a retry in time."""

    async def test():
        cluster, worker, clients = await cluster_at_work(3)
        cluster.plane.listener.draining = True
        # So many responses that the running time weighs little, and the attempts are late.
        add_response_times(cluster, 100, 300 * MS)
        started_at, number = earliest_start(cluster), cluster.plane.workers.number_by_id["w1"]
        for after_ms in (1500, 1750, 2000):
            shared = check_at(cluster, started_at + after_ms * MS)
        shared.ejection.records.setdefault(number, _ejected(shared, number)).ejected_until = (
            started_at + 9 * SECOND
        )
        check_at(cluster, started_at + 2250 * MS)
        assert shared.ejection.is_ejected(number, started_at + 2250 * MS)
        assert await finish_and_check(worker, clients)
        assert cluster.plane.gatekeeper.outcomes[Outcome.CANCELLED] == 0

    going(test)


def _ejected(shared: OutcomeSharing, worker: int) -> Any:
    """Returns the record of a worker that other gatekeepers of the zone report as failing."""
    for source in (7, 8):
        shared.ejection.record_reported(source, [(worker, 0, 2)], shared.clock())
    return shared.ejection.records[worker]


def test_attempts_late_after_a_pause_of_this_process_are_no_failures():
    """After a pause, responses may be unread; only the next check counts attempts that are still late."""

    async def test():
        cluster, worker, clients = await cluster_at_work(3)
        add_response_times(cluster, 100, 300 * MS)
        started_at, number = earliest_start(cluster), cluster.plane.workers.number_by_id["w1"]
        shared = check_at(cluster, started_at)
        shared.clock = lambda: started_at + 2500 * MS
        shared.check_late_attempts()
        assert not shared.late and number not in shared.ejection.records
        shared.clock = lambda: started_at + 2750 * MS
        shared.check_late_attempts()
        assert len(shared.late) == 3 and number in shared.ejection.records
        assert await finish_and_check(worker, clients)

    going(test)


def test_changed_latency_target_keeps_the_class_and_goes_with_each_request():
    """Work takes as long as before; attempts and time-outs come from the route, not from the class."""

    async def test():
        worker = await StandIn(*held_responses(2)).start()
        cluster = Cluster(route("r", "/p/", target_ms=3000, tries=1))
        cluster.add_worker("w1", worker.port)
        clients = await send_requests(worker, cluster, 1)
        cluster.configure(route("r", "/p/", target_ms=500, tries=3))
        clients += [await cluster.ask(Attempt_Id="i1", Deadline_Ms="1500")]
        await worker.arrived.get()
        first, second = (
            cluster.plane.gatekeeper.gateway.pending[one] for one in cluster.plane.gatekeeper.exchanges
        )
        assert first.cls == second.cls and len(cluster.plane.numbering.request_classes) == 2
        assert (first.target_ns, first.max_attempts, second.target_ns, second.max_attempts) == (
            3000 * MS,
            1,
            500 * MS,
            3,
        )
        assert cluster.plane.gatekeeper.settings.max_attempts == 3

    going(test)


def test_changed_time_out_does_not_reset_the_response_times():
    """A change of time-out or attempts changes no worker's speed and must not use up a class each time."""
    numbering, before = Numbering(Bounds()), None
    long_classes, short_classes = set(), set()
    for change in range(400):
        fields = {"deadline_ms": 12000 + change, "tries": 2 + change % 2}
        routes = [
            route("history", "/h/", target_ms=3000, **fields),
            route("lookup", "/l/", target_ms=800, **fields),
        ]
        before = RoutingTable(change + 1, state(*routes), numbering, before)
        long_classes.update(before.routes["history"].classes)
        short_classes.update(before.routes["lookup"].classes)
    assert len(long_classes) == 1 and len(short_classes) == 1 and not long_classes & short_classes
    assert len(numbering.request_classes) <= 4


def test_first_fast_responses_after_a_start_make_no_attempt_late():
    """After a start, eight fast responses have arrived and three requests of the same class still run."""

    async def test():
        cluster, worker, clients = await cluster_at_work(3)
        add_response_times(cluster, 8, 340 * MS)
        shared = check_at(cluster, earliest_start(cluster) + 1150 * MS)
        assert not shared.ejection.records and not shared.late
        assert await finish_and_check(worker, clients)

    going(test)


def test_hung_worker_is_found_and_its_request_is_hedged():
    """The request gets a second attempt while the first stays in flight; the superseded one is cancelled."""

    async def test():
        cluster = Cluster(route("r", "/p/", target_ms=3000, deadline_ms=12000))
        hung, healthy = await StandIn(stall).start(), await StandIn(ok(b"fine", b"i0")).start()
        cluster.add_worker("hung", hung.port)
        (client,) = await send_requests(hung, cluster, 1)
        cluster.add_worker("healthy", healthy.port)
        cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
        add_response_times(cluster, 40, 20 * MS)
        started_at, number = earliest_start(cluster), cluster.plane.workers.number_by_id["hung"]
        shared = check_at(cluster, started_at + 500 * MS)
        assert shared.late and shared.ejection.records[number].score > 0
        shared.ejection.records[number].ejected_until = started_at + 9 * SECOND
        check_at(cluster, started_at + 750 * MS)
        await healthy.arrived.get()
        assert hung.closed.empty()  # it stays in flight until the other worker has responded
        assert (await client.answer())[::2] == (200, b"fine")
        await hung.closed.get()

    going(test)


def test_draining_gatekeeper_judges_no_worker_by_remaining_attempts():
    """After SIGTERM only long attempts are left, and no success of a short one offsets them."""

    async def test():
        cluster, worker, clients = await cluster_at_work(3)
        cluster.plane.listener.draining = True
        add_response_times(cluster, 40, 300 * MS)
        shared = check_at(cluster, earliest_start(cluster) + 2000 * MS)
        assert not shared.ejection.records and not shared.ejection.unreported
        assert await finish_and_check(worker, clients)

    going(test)


def paused_response(data: bytes, first: int) -> Any:
    """Returns a step that sends so many bytes, and the rest once `go` is set."""

    async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(data[:first])
        await server.go.wait()
        writer.write(data[first:])

    return step


def test_paused_response_is_waited_for():
    """A worker's silence does not end a response early, even after it has begun."""

    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe", deadline_ms=12000))
        complete = ok(b"fine", b"i0")
        worker = await StandIn(paused_response(complete, len(complete) - 2)).start()
        cluster.add_worker("w1", worker.port)
        upstream, stalled = cluster.plane.upstream, asyncio.Event()
        ends, upstream.wire.stall_timeout_s = upstream.ends_stalled, 0.01
        upstream.ends_stalled = lambda attempt: (stalled.set(), ends(attempt))[1]
        (client,) = await send_requests(worker, cluster, 1)
        await stalled.wait()
        worker.go.set()
        assert (await client.answer())[::2] == (200, b"fine")

    going(test)


def test_safe_request_with_a_paused_response_is_hedged():
    async def test():
        cluster = Cluster(route("r", "/p/", target_ms=3000, deadline_ms=12000))
        complete = ok(b"fine", b"i0")
        worker, other = (
            await StandIn(paused_response(complete, len(complete) - 2)).start(),
            await StandIn(complete).start(),
        )
        cluster.add_worker("w1", worker.port)
        cluster.plane.upstream.wire.stall_timeout_s = 0.01
        cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
        (client,) = await send_requests(worker, cluster, 1)
        cluster.add_worker("w2", other.port)
        await other.arrived.get()
        assert (await client.answer())[::2] == (200, b"fine")
        assert cluster.plane.reports.abandoned_by_reason == {AbandonReason.SUPERSEDED: 1}
        worker.go.set()

    going(test)


@pytest.mark.parametrize("body", [b"", b"u" * 200_000], ids=["asked", "uploaded"])
def test_paused_long_response_continues_until_the_client_deadline(body):
    """The client's time counts from the last byte of an upload, and is as long."""

    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe", deadline_ms=12000))
        complete = ok(b"x" * 100_000, b"i0")
        worker = await StandIn(paused_response(complete, 50_000)).start()
        cluster.add_worker("w1", worker.port)
        more = {"method": "POST", "Content_Length": str(len(body)), "body": body} if body else {}
        client = await cluster.ask(Attempt_Id="i0", Deadline_Ms="12000", **more)
        await worker.arrived.get()
        await client.reader.readuntil(b"\r\n\r\n")
        (connection,) = cluster.plane.upstream.connections
        assert connection.download is not None and BODY_STALL_NS < 11 * SECOND
        assert not connection.is_stalled(connection.last_progress_at + 11 * SECOND)
        assert connection.is_stalled(connection.last_progress_at + 13 * SECOND)
        assert connection.deadline < connection.last_progress_at + 12 * SECOND
        worker.go.set()
        assert len(await client.reader.readexactly(100_000)) == 100_000

    going(test)


def drain_worker(cluster: Cluster, port: int) -> None:
    cluster.add_worker("w1", port, state=WorkerState.DRAINING)


def remove_worker(cluster: Cluster, port: int) -> None:
    cluster.add_worker("w1", port, state=WorkerState.GONE)


def evacuate(cluster: Cluster, port: int) -> None:
    cluster.configure(route("r", "/p/"), evacuated=["a"])


def remove_route(cluster: Cluster, port: int) -> None:
    cluster.configure(route("other", "/o/"))


def lower_timeout(cluster: Cluster, port: int) -> None:
    cluster.configure(route("r", "/p/", deadline_ms=100, target_ms=50, tries=1))


def reload_settings(cluster: Cluster, port: int) -> None:
    """Sends SIGHUP with settings that no longer name the worker's zone."""
    settings = cluster.plane.settings
    network = replace(settings.network, zones={})
    cluster.plane.reload_settings(replace(settings, network=network))


def misdirect(cluster: Cluster, port: int) -> None:
    """Lets another request get 421 at the address."""
    cluster.plane._on_misdirected(cluster.plane.workers.number_by_id["w1"])


def move_worker(cluster: Cluster, port: int) -> None:
    """Lists the worker at another address, so that its connections are not reused."""
    cluster.add_worker("w1", 1)


def stop(cluster: Cluster, port: int) -> None:
    """Closes idle connections of clients and to workers; those in use stay open."""
    cluster.plane.listener.draining = True
    cluster.plane.listener.stop_listening()
    for client in list(cluster.plane.listener.clients):
        if not client.is_busy():
            client.close()
    for backend in list(cluster.plane.upstream.pools):
        cluster.plane.upstream.close_idle(backend)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize(
    "change",
    [drain_worker, remove_worker, evacuate, remove_route, lower_timeout, reload_settings, misdirect]
    + [move_worker, stop],
)
def test_no_change_ends_a_running_attempt(change: Callable[[Cluster, int], None], kind: str) -> None:
    """The causes ruled out for the incident: endpoint lists, evacuation, configuration, SIGHUP, 421, stop."""

    async def test() -> None:
        cluster, worker, clients = await cluster_at_work(2, route_kind=kind)
        change(cluster, worker.port)
        cluster.plane.upstream._sweep()
        check_at(cluster, earliest_start(cluster) + 2 * SECOND)
        assert await finish_and_check(worker, clients)
        assert not cluster.plane.reports.counts
        cluster.plane.close()

    going(test)
