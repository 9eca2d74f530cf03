"""Outlier ejection: a zone finds unhealthy workers by shared outcomes, retries them, and ejects few."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
import test_dataplane
from standins import HOST, SECOND, StandIn, answer, going, reset, stall
from test_dataplane import Cluster, route

from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.core.interface import Outcome
from pepperrun.dataplane.attempt_reports import LATE
from pepperrun.dataplane.ejection import (
    EJECTION_NS,
    EJECTION_SCORE,
    FAILURE_SCORE,
    FailureRecord,
    OutcomeCount,
    OutlierEjection,
)
from pepperrun.dataplane.outcome_report import TAG, OutcomeReport, decode, encode
from pepperrun.dataplane.outcome_sharing import SharedStaleRates
from pepperrun.dataplane.peer_messages import HEADER

MS = 1_000_000


class Zone:
    """Gatekeepers of one zone that send to the same workers of one service, in simulated time.

    `fails(worker, now)`: whether the worker fails a request now. `shares`: whether they share outcomes.
    """

    def __init__(self, gateways: int, workers: int, seed: int, shares: bool = True) -> None:
        self.rng, self.shares, self.now = random.Random(seed), shares, 0
        self.workers = range(1, workers + 1)
        self.ejected_at: list[tuple[int, int]] = []
        self.ejections = [
            OutlierEjection(
                lambda one: self.workers,
                self.rng.random,
                lambda one, _: self.ejected_at.append((self.now, one)),
            )
            for _ in range(gateways)
        ]
        for ejection in self.ejections:
            ejection.zone_size = gateways
        self.sent = [0] * (workers + 1)
        self.failed = self.unsendable = 0

    def run(self, until: int, rate: float, fails: Callable[[int, int], bool]) -> None:
        """Runs until then, with `rate` requests a second of each gatekeeper."""
        step, probability = 10 * MS, rate / 100
        while self.now < until:
            self.now += step
            for source, ejection in enumerate(self.ejections, 1):
                if self.rng.random() < probability:
                    self._send(ejection, fails)
                if self.shares and not self.now % (50 * MS) and ejection.unreported:
                    counts = ejection.take_unreported()
                    for other in self.ejections:
                        if other is not ejection:
                            other.record_reported(source, counts, self.now)

    def _send(self, ejection: OutlierEjection, fails: Callable[[int, int], bool]) -> None:
        some = [one for one in self.workers if ejection.may_send(one, self.now)]
        if not some:
            self.unsendable += 1
            return
        worker = self.rng.choice(some)
        ejection.on_sent(worker, self.now)
        self.sent[worker] += 1
        bad = fails(worker, self.now)
        self.failed += bad
        ejection.record_own(worker, not bad, self.now)


def run_zone(share: float, seed: int, shares: bool) -> Zone:
    """Runs nine gatekeepers with 2.2 requests a second each and eight workers; two fail for 6.5 s."""
    zone = Zone(9, 8, seed, shares)
    zone.run(
        20 * SECOND,
        2.2,
        lambda one, now: one <= 2 and 2 * SECOND < now < 8.5 * SECOND and zone.rng.random() < share,
    )
    return zone


@pytest.mark.parametrize(("share", "most_s", "part"), [(1.0, 1.6, 0.35), (0.45, 4.0, 0.65)])
def test_shared_outcomes_find_unhealthy_workers_soon_and_readmit_them(share, most_s, part):
    unshared_failures = shared_failures = 0
    first: list[float] = []
    for seed in range(12):
        zone, unshared = run_zone(share, seed, True), run_zone(share, seed, False)
        shared_failures, unshared_failures = (
            shared_failures + zone.failed,
            unshared_failures + unshared.failed,
        )
        assert {one for _, one in zone.ejected_at} <= {1, 2} and not zone.unsendable
        for unhealthy in (1, 2):
            first.append(
                min((at for at, one in zone.ejected_at if one == unhealthy), default=99 * SECOND) / SECOND - 2
            )
        before = list(zone.sent)
        zone.run(40 * SECOND, 2.2, lambda one, now: False)
        of = [now - then for now, then in zip(zone.sent, before, strict=True)][1:]
        assert min(of[:2]) > sum(of) / 8 / 2, of  # in use again 11 s after they recovered
    assert sorted(first)[len(first) // 2] < most_s, first
    assert shared_failures < part * unshared_failures, (shared_failures, unshared_failures)


def test_occasional_lost_responses_eject_no_worker_for_long():
    zone = Zone(9, 8, 3)
    zone.run(60 * SECOND, 8.0, lambda one, now: one % 2 == 0 and zone.rng.random() < 0.05)
    assert len({(at // SECOND, one) for at, one in zone.ejected_at}) < 8 and min(zone.sent[1:]) > 400


def test_at_most_a_third_is_ejected_and_none_if_most_look_unhealthy():
    def out(ejection: OutlierEjection, now: int) -> int:
        return sum(ejection.is_ejected(one, now) for one in range(1, 10))

    ejection = OutlierEjection(lambda one: range(1, 10), lambda: 0.5)
    for one in range(1, 6):
        for turn in range(3):
            ejection.record_own(one, False, one * MS + turn)
        assert out(ejection, 6 * MS) == (min(one, 3) if one < 5 else 0)
    assert all(ejection.may_send(one, 6 * MS) for one in range(1, 10))


def test_report_of_one_gatekeeper_ejects_no_worker_and_a_trial_is_one_request():
    ejection = OutlierEjection(lambda one: range(1, 10), lambda: 0.0)
    ejection.zone_size = 4
    ejection.record_reported(7, [OutcomeCount(1, 0, 9)], 1)
    assert ejection.may_send(1, 2)
    ejection.record_reported(8, [OutcomeCount(1, 0, 1)], 2)
    assert not ejection.may_send(1, 3)
    back = 2 + EJECTION_NS
    assert ejection.may_send(1, back) and not ejection.may_send(1, back, safe=False)
    ejection.on_sent(1, back)
    assert not ejection.may_send(1, back + 1) and ejection.may_send(1, back + 2 * SECOND)
    ejection.record_own(1, False, back + 1)  # one failure on trial ejects for twice as long
    assert ejection.is_ejected(1, back + 1 + 2 * EJECTION_NS - 1)
    for _ in range(int((EJECTION_SCORE - FAILURE_SCORE) / 2)):
        ejection.record_reported(8, [OutcomeCount(1, 1, 0)], back + 2 * EJECTION_NS + 2)
    assert ejection.may_send(1, back + 2 * EJECTION_NS + 3, safe=False) and not ejection.records


def test_datagram_of_a_later_version_is_read_and_a_truncated_one_is_not():
    report = OutcomeReport(5, 6, [OutcomeCount(2**32 - 1, 255, 1)], [4, 9])
    data = encode(report)
    assert decode(data + b"more of a later version") == report
    assert data[0] == TAG and all(decode(data[:size]) is None for size in range(HEADER.size, len(data)))


def test_idle_time_reported_stale_is_not_trusted_for_unsafe_requests():
    reported: list[int] = []
    here, there = SharedStaleRates(reported.append), SharedStaleRates(lambda step: None)
    here.record_reuse(400 * MS, True)
    there.merge_reported(*reported)
    for wear in (here, there):
        assert (
            not wear.is_trusted(400 * MS, 0.03)
            and wear.is_trusted(400 * MS, 0.2)
            and wear.is_trusted(100 * MS, 0.0)
        )
    for _ in range(12):
        there.record_reuse(400 * MS, False)
    assert there.is_trusted(400 * MS, 0.03)


def test_full_worker_is_not_unhealthy_and_failing_one_is():
    async def test():
        full, failing = StandIn(answer(503, b"", b"Not-Run: 1")), StandIn(reset)
        cluster = Cluster(route("r", "/p/"))
        for name, worker in (("full", full), ("unhealthy", failing)):
            await worker.start()
            cluster.add_worker(name, worker.port)
        for _ in range(4):
            cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
            assert (await (await cluster.ask()).answer())[0] in (502, 503)
        assert full.heads and failing.heads
        records, ids = cluster.plane.outcome_sharing.ejection.records, cluster.plane.workers.number_by_id
        assert ids["full"] not in records and records[ids["unhealthy"]].score >= FAILURE_SCORE

    going(test)


def test_outcomes_are_reported_within_the_zone_only(monkeypatch):
    async def test():
        clusters, gateways = [], []
        for station, zone in (("g1", "a"), ("g2", "a"), ("g3", "b")):
            settings = test_dataplane.settings()
            own = replace(settings, me=replace(settings.me, station=station, zone=zone))
            monkeypatch.setattr(test_dataplane, "settings", lambda own=own: own)
            cluster = Cluster(route("r", "/p/"))
            monkeypatch.undo()
            loop, peer_messages = asyncio.get_running_loop(), cluster.plane.peer_messages
            transport, _ = await loop.create_datagram_endpoint(
                lambda peer_messages=peer_messages: peer_messages, (HOST, 0)
            )
            internal_port = f"{HOST}:{transport.get_extra_info('sockname')[1]}"
            gateways.append(
                GatewayRecord(station, zone, "r1", f"{HOST}:1", internal_port, 1, state=GatewayState.READY)
            )
            cluster.add_worker("w1", 1)
            clusters.append(cluster)
        for cluster in clusters:
            cluster.plane.on_gateways(gateways)
        one, two, three = (cluster.plane.outcome_sharing for cluster in clusters)
        assert one.ejection.zone_size == 2 and len(one.receivers) == 1 and not three.receivers
        received = asyncio.Event()
        two.peer_messages.handlers[TAG] = lambda data, addr: (two.on_report(data, addr), received.set())
        worker = clusters[0].plane.workers.number_by_id["w1"]
        one._record(worker, False, one.clock())
        one.stale_rates.record_reuse(400 * MS, True)
        one.send_report()
        await received.wait()
        assert two.ejection.records[worker].score == FAILURE_SCORE and two.ejection.records[
            worker
        ].reporters == {clusters[1].plane.peers.present["g1"][1]}
        assert (
            not two.stale_rates.is_trusted(400 * MS, 0.03)
            and not three.ejection.records
            and not two.ejection.unreported
        )
        of_unknown_incarnation = OutcomeReport(
            one.peer_messages.own_hash, 99, [OutcomeCount(worker, 0, 9)], []
        )
        two.on_report(encode(of_unknown_incarnation), (HOST, 1))
        assert two.ejection.records[worker].score == FAILURE_SCORE

    going(test)


def test_late_attempt_counts_as_failure_before_its_end():
    """Only once. Its worker may still be at work, so nothing ends the attempt, even at an ejected worker."""

    async def test():
        worker = await StandIn(stall).start()  # reads the request and never responds
        cluster = Cluster(route("r", "/p/"))
        cluster.add_worker("mute", worker.port)
        shared, number = cluster.plane.outcome_sharing, cluster.plane.workers.number_by_id["mute"]
        client = await cluster.ask()
        await worker.arrived.get()
        ((key, attempt),) = cluster.plane.upstream.attempts.items()
        for _ in range(8):
            shared.answer_times[attempt.exchange.cls].add(40 * MS)
        started_at = attempt.exchange.attempt_times[0]
        # Late after 2.5 times the mean, to which an eighth of the running time is added.
        for out_ms, score in ((145, 0.0), (146, FAILURE_SCORE), (147, FAILURE_SCORE)):
            shared.clock = lambda out_ms=out_ms: started_at + out_ms * MS
            shared.checked_at = shared.clock()
            shared.check_late_attempts()
            assert shared.ejection.records.get(number, FailureRecord(0)).score == score
        assert cluster.plane.reports.counts == {LATE: 1}
        shared.ejection.records[number].ejected_until = started_at + SECOND
        shared.check_late_attempts()
        assert cluster.plane.upstream.attempts == {key: attempt} and worker.closed.empty()
        await worker.stop()
        assert (await client.answer())[0] in (502, 503)
        assert cluster.plane.gatekeeper.outcomes[Outcome.CANCELLED] == 0 and not shared.late

    going(test)
