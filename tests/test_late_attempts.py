"""Attempts that are late: who may call them so, by what measure, and what becomes of the request.

The incident LOST (`docs/incidents/LOST-2026-12.md`): a request was given up while its worker was at work.
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


def begun_at(cluster: Cluster) -> int:
    """When the attempts that are out began: the earliest of them, steady ns."""
    return min(
        attempt.exchange.attempt_times[attempt.number] for attempt in cluster.plane.upstream.attempts.values()
    )


def answers_taken(cluster: Cluster, count: int, elapsed_ns: int) -> None:
    """So many answers of the class of what is out have taken so long."""
    (cls,) = {attempt.exchange.cls for attempt in cluster.plane.upstream.attempts.values()}
    for _ in range(count):
        cluster.plane.outcome_sharing.answer_times[cls].add(elapsed_ns)


def check_at(cluster: Cluster, now: int) -> OutcomeSharing:
    """Checks for late attempts as if it were `now`."""
    shared = cluster.plane.outcome_sharing
    shared.checked_at, shared.clock = now, lambda: now
    shared.check_late_attempts()
    return shared


async def sent_to(worker: StandIn, cluster: Cluster, count: int) -> list[Client]:
    """So many requests, each at work at this worker, from clients of their own."""
    clients = []
    for number in range(count):
        clients.append(await cluster.ask(Attempt_Id=f"i{number}", Deadline_Ms="12000"))
        await worker.arrived.get()
    return clients


def answering(count: int) -> list[Any]:
    return [wait_then(ok(b"fine", b"i%d" % number)) for number in range(count)]


async def at_work(count: int, **more: Any) -> tuple[Cluster, StandIn, list[Client]]:
    """A cluster with one worker, which is at work on so many requests until `go` is set."""
    cluster = Cluster(route("r", "/p/", **{"target_ms": 3000, "deadline_ms": 12000} | more))
    worker = await StandIn(*answering(count)).start()
    cluster.work("w1", worker.port)
    return cluster, worker, await sent_to(worker, cluster, count)


async def all_served(worker: StandIn, clients: list[Client]) -> bool:
    """The worker ends its work: does each client get its answer?"""
    worker.go.set()
    return [(await client.answer())[::2] for client in clients] == [(200, b"fine")] * len(clients)


def test_what_runs_at_an_ejected_worker_is_answered_by_it_where_nothing_can_take_its_place():
    """The incident: three are late at one worker after SIGTERM, and the aim leaves no time for another."""

    async def test():
        cluster, worker, clients = await at_work(3)
        cluster.plane.listener.draining = True
        answers_taken(cluster, 100, 300 * MS)  # so that what runs counts for little: they are late
        begun, number = begun_at(cluster), cluster.plane.workers.number_by_id["w1"]
        for after_ms in (1500, 1750, 2000):
            shared = check_at(cluster, begun + after_ms * MS)
        shared.ejection.records.setdefault(number, _ejected(shared, number)).ejected_until = (
            begun + 9 * SECOND
        )
        check_at(cluster, begun + 2250 * MS)
        assert shared.ejection.is_ejected(number, begun + 2250 * MS)
        assert await all_served(worker, clients)
        assert cluster.plane.gatekeeper.outcomes[Outcome.CANCELLED] == 0

    going(test)


def _ejected(shared: OutcomeSharing, worker: int) -> Any:
    """The record of a worker that other gatekeepers of the zone have found to fail."""
    for source in (7, 8):
        shared.ejection.record_reported(source, [(worker, 0, 2)], shared.clock())
    return shared.ejection.records[worker]


def test_attempts_that_are_late_since_this_process_stood_still_count_as_nobodys_failure():
    """After a pause the answers may lie unread; the check after the next one counts what is late still."""

    async def test():
        cluster, worker, clients = await at_work(3)
        answers_taken(cluster, 100, 300 * MS)
        begun, number = begun_at(cluster), cluster.plane.workers.number_by_id["w1"]
        shared = check_at(cluster, begun)
        shared.clock = lambda: begun + 2500 * MS
        shared.check_late_attempts()
        assert not shared.late and number not in shared.ejection.records
        shared.clock = lambda: begun + 2750 * MS
        shared.check_late_attempts()
        assert len(shared.late) == 3 and number in shared.ejection.records
        assert await all_served(worker, clients)

    going(test)


def test_a_changed_aim_keeps_the_class_of_its_route_and_goes_with_each_request():
    """Work takes as long as before; tries and time are asked of the route, not of the class."""

    async def test():
        worker = await StandIn(*answering(2)).start()
        cluster = Cluster(route("r", "/p/", target_ms=3000, tries=1))
        cluster.work("w1", worker.port)
        clients = await sent_to(worker, cluster, 1)
        cluster.agree(route("r", "/p/", target_ms=500, tries=3))
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


def test_a_changed_time_out_does_not_begin_the_measure_of_lateness_anew():
    """A change of a time-out or of tries changes no worker's speed, and must not cost a class each."""
    numbering, before = Numbering(Bounds()), None
    long, short = set(), set()
    for change in range(400):
        fields = {"deadline_ms": 12000 + change, "tries": 2 + change % 2}
        routes = [
            route("history", "/h/", target_ms=3000, **fields),
            route("lookup", "/l/", target_ms=800, **fields),
        ]
        before = RoutingTable(change + 1, state(*routes), numbering, before)
        long.update(before.routes["history"].classes)
        short.update(before.routes["lookup"].classes)
    assert len(long) == 1 and len(short) == 1 and not long & short
    assert len(numbering.request_classes) <= 4


def test_the_first_answers_are_the_quick_ones_and_make_nothing_late():
    """After a start: eight quick answers are in, three requests of the same kind still run."""

    async def test():
        cluster, worker, clients = await at_work(3)
        answers_taken(cluster, 8, 340 * MS)
        shared = check_at(cluster, begun_at(cluster) + 1150 * MS)
        assert not shared.ejection.records and not shared.late
        assert await all_served(worker, clients)

    going(test)


def test_a_hung_worker_is_found_all_the_same_and_its_request_goes_to_another_beside():
    """What hangs gets another attempt while the first stays out, and the one that is not needed is ended."""

    async def test():
        cluster = Cluster(route("r", "/p/", target_ms=3000, deadline_ms=12000))
        hung, well = await StandIn(stall).start(), await StandIn(ok(b"fine", b"i0")).start()
        cluster.work("hung", hung.port)
        (client,) = await sent_to(hung, cluster, 1)
        cluster.work("well", well.port)
        cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
        answers_taken(cluster, 40, 20 * MS)
        begun, number = begun_at(cluster), cluster.plane.workers.number_by_id["hung"]
        shared = check_at(cluster, begun + 500 * MS)
        assert shared.late and shared.ejection.records[number].score > 0
        shared.ejection.records[number].ejected_until = begun + 9 * SECOND
        check_at(cluster, begun + 750 * MS)
        await well.arrived.get()
        assert hung.closed.empty()  # it stays out until the other has answered
        assert (await client.answer())[::2] == (200, b"fine")
        await hung.closed.get()

    going(test)


def test_who_drains_judges_no_worker_by_what_is_left():
    """After SIGTERM only the long ones are left, and no good answer of a short one offsets them."""

    async def test():
        cluster, worker, clients = await at_work(3)
        cluster.plane.listener.draining = True
        answers_taken(cluster, 40, 300 * MS)
        shared = check_at(cluster, begun_at(cluster) + 2000 * MS)
        assert not shared.ejection.records and not shared.ejection.unreported
        assert await all_served(worker, clients)

    going(test)


def pausing(data: bytes, first: int) -> Any:
    """Answers with so many bytes, and with the rest once `go` is set."""

    async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(data[:first])
        await server.go.wait()
        writer.write(data[first:])

    return step


def test_an_answer_that_pauses_is_waited_for():
    """A worker's silence is no reason to end an answer sooner, also once it has begun."""

    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe", deadline_ms=12000))
        whole = ok(b"fine", b"i0")
        worker = await StandIn(pausing(whole, len(whole) - 2)).start()
        cluster.work("w1", worker.port)
        servers, stalled = cluster.plane.upstream, asyncio.Event()
        ends, servers.wire.stall_timeout_s = servers.ends_stalled, 0.01
        servers.ends_stalled = lambda attempt: (stalled.set(), ends(attempt))[1]
        (client,) = await sent_to(worker, cluster, 1)
        await stalled.wait()
        worker.go.set()
        assert (await client.answer())[::2] == (200, b"fine")

    going(test)


def test_a_repeatable_request_whose_answer_pauses_gets_another_attempt_beside():
    async def test():
        cluster = Cluster(route("r", "/p/", target_ms=3000, deadline_ms=12000))
        whole = ok(b"fine", b"i0")
        worker, other = await StandIn(pausing(whole, len(whole) - 2)).start(), await StandIn(whole).start()
        cluster.work("w1", worker.port)
        cluster.plane.upstream.wire.stall_timeout_s = 0.01
        cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
        (client,) = await sent_to(worker, cluster, 1)
        cluster.work("w2", other.port)
        await other.arrived.get()
        assert (await client.answer())[::2] == (200, b"fine")
        assert cluster.plane.reports.abandoned_by_reason == {AbandonReason.SUPERSEDED: 1}
        worker.go.set()

    going(test)


@pytest.mark.parametrize("body", [b"", b"u" * 200_000], ids=["asked", "uploaded"])
def test_a_long_answer_that_pauses_goes_on_until_the_clients_time_is_over(body):
    """The time of one that uploads begins with its last byte, and is as long."""

    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe", deadline_ms=12000))
        whole = ok(b"x" * 100_000, b"i0")
        worker = await StandIn(pausing(whole, 50_000)).start()
        cluster.work("w1", worker.port)
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
    cluster.work("w1", port, state=WorkerState.DRAINING)


def remove_worker(cluster: Cluster, port: int) -> None:
    cluster.work("w1", port, state=WorkerState.GONE)


def evacuate(cluster: Cluster, port: int) -> None:
    cluster.agree(route("r", "/p/"), evacuated=["a"])


def remove_route(cluster: Cluster, port: int) -> None:
    cluster.agree(route("other", "/o/"))


def lower_time_out(cluster: Cluster, port: int) -> None:
    cluster.agree(route("r", "/p/", deadline_ms=100, target_ms=50, tries=1))


def read_settings_again(cluster: Cluster, port: int) -> None:
    """SIGHUP, with settings that no longer name the worker's zone."""
    settings = cluster.plane.settings
    network = replace(settings.network, zones={})
    cluster.plane.reload_settings(replace(settings, network=network))


def misdirect(cluster: Cluster, port: int) -> None:
    """Another request got 421 at the address."""
    cluster.plane._on_misdirected(cluster.plane.workers.number_by_id["w1"])


def move_worker(cluster: Cluster, port: int) -> None:
    """The worker is known at another address, so that its connections are of no further use."""
    cluster.work("w1", 1)


def stop(cluster: Cluster, port: int) -> None:
    """Idle connections of clients, and to workers, end; those in use do not."""
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
    [drain_worker, remove_worker, evacuate, remove_route, lower_time_out, read_settings_again, misdirect]
    + [move_worker, stop],
)
def test_no_change_ends_what_a_worker_is_at(change: Callable[[Cluster, int], None], kind: str) -> None:
    """The places that were ruled out for the incident: lists, evacuations, changes, SIGHUP, 421, the stop."""

    async def test() -> None:
        cluster, worker, clients = await at_work(2, route_kind=kind)
        change(cluster, worker.port)
        cluster.plane.upstream._sweep()
        check_at(cluster, begun_at(cluster) + 2 * SECOND)
        assert await all_served(worker, clients)
        assert not cluster.plane.reports.counts
        cluster.plane.close()

    going(test)
