"""Ill workers: found by outcomes that a zone shares, tried again, bounded; a full one is not ill."""

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
    """Gatekeepers of one zone that send to the same workers of one service, in one seeded run of time.

    `fails(worker, now)`: does it fail the request that comes now? `tells`: how many of them share.
    """

    def __init__(self, gateways: int, workers: int, seed: int, tells: bool = True) -> None:
        self.rng, self.tells, self.now = random.Random(seed), tells, 0
        self.workers = range(1, workers + 1)
        self.out_at: list[tuple[int, int]] = []
        self.ejections = [
            OutlierEjection(
                lambda one: self.workers, self.rng.random, lambda one, _: self.out_at.append((self.now, one))
            )
            for _ in range(gateways)
        ]
        for ejection in self.ejections:
            ejection.zone_size = gateways
        self.sent = [0] * (workers + 1)
        self.failed = self.stuck = 0

    def play(self, until: int, each: float, fails: Callable[[int, int], bool]) -> None:
        """`each`: requests a second of one gatekeeper."""
        step, rate = 10 * MS, each / 100
        while self.now < until:
            self.now += step
            for source, ejection in enumerate(self.ejections, 1):
                if self.rng.random() < rate:
                    self._send(ejection, fails)
                if self.tells and not self.now % (50 * MS) and ejection.unreported:
                    counts = ejection.take_unreported()
                    for other in self.ejections:
                        if other is not ejection:
                            other.record_reported(source, counts, self.now)

    def _send(self, ejection: OutlierEjection, fails: Callable[[int, int], bool]) -> None:
        some = [one for one in self.workers if ejection.may_send(one, self.now)]
        if not some:
            self.stuck += 1
            return
        worker = self.rng.choice(some)
        ejection.on_sent(worker, self.now)
        self.sent[worker] += 1
        bad = fails(worker, self.now)
        self.failed += bad
        ejection.record_own(worker, not bad, self.now)


def played(share: float, seed: int, tells: bool) -> Zone:
    """Nine gatekeepers with 2.2 requests a second each for eight workers, of which two fail for 6.5 s."""
    zone = Zone(9, 8, seed, tells)
    zone.play(
        20 * SECOND,
        2.2,
        lambda one, now: one <= 2 and 2 * SECOND < now < 8.5 * SECOND and zone.rng.random() < share,
    )
    return zone


@pytest.mark.parametrize(("share", "most_s", "part"), [(1.0, 1.6, 0.35), (0.45, 4.0, 0.65)])
def test_a_zone_that_shares_finds_ill_workers_soon_and_lets_them_back(share, most_s, part):
    alone = shared = 0
    first: list[float] = []
    for seed in range(12):
        zone, lone = played(share, seed, True), played(share, seed, False)
        shared, alone = shared + zone.failed, alone + lone.failed
        assert {one for _, one in zone.out_at} <= {1, 2} and not zone.stuck
        for ill in (1, 2):
            first.append(min((at for at, one in zone.out_at if one == ill), default=99 * SECOND) / SECOND - 2)
        before = list(zone.sent)
        zone.play(40 * SECOND, 2.2, lambda one, now: False)
        of = [now - then for now, then in zip(zone.sent, before, strict=True)][1:]
        assert min(of[:2]) > sum(of) / 8 / 2, of  # in use again 11 s after they were well
    assert sorted(first)[len(first) // 2] < most_s, first
    assert shared < part * alone, (shared, alone)


def test_lost_answers_here_and_there_put_nobody_out_for_long():
    zone = Zone(9, 8, 3)
    zone.play(60 * SECOND, 8.0, lambda one, now: one % 2 == 0 and zone.rng.random() < 0.05)
    assert len({(at // SECOND, one) for at, one in zone.out_at}) < 8 and min(zone.sent[1:]) > 400


def test_of_a_service_at_most_a_third_is_out_and_nobody_where_most_look_ill():
    def out(ejection: OutlierEjection, now: int) -> int:
        return sum(ejection.is_ejected(one, now) for one in range(1, 10))

    ejection = OutlierEjection(lambda one: range(1, 10), lambda: 0.5)
    for one in range(1, 6):
        for turn in range(3):
            ejection.record_own(one, False, one * MS + turn)
        assert out(ejection, 6 * MS) == (min(one, 3) if one < 5 else 0)
    assert all(ejection.may_send(one, 6 * MS) for one in range(1, 10))


def test_one_other_gatekeepers_word_puts_nobody_out_and_a_trial_is_one_request():
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
    ejection.record_own(1, False, back + 1)  # one failure on trial is enough, for twice as long
    assert ejection.is_ejected(1, back + 1 + 2 * EJECTION_NS - 1)
    for _ in range(int((EJECTION_SCORE - FAILURE_SCORE) / 2)):
        ejection.record_reported(8, [OutcomeCount(1, 1, 0)], back + 2 * EJECTION_NS + 2)
    assert ejection.may_send(1, back + 2 * EJECTION_NS + 3, safe=False) and not ejection.records


def test_a_later_versions_datagram_is_read_and_a_cut_one_is_none():
    report = OutcomeReport(5, 6, [OutcomeCount(2**32 - 1, 255, 1)], [4, 9])
    data = encode(report)
    assert decode(data + b"more of a later version") == report
    assert data[0] == TAG and all(decode(data[:size]) is None for size in range(HEADER.size, len(data)))


def test_a_rest_that_was_not_safe_elsewhere_is_not_trusted_with_what_may_not_repeat():
    told: list[int] = []
    here, there = SharedStaleRates(told.append), SharedStaleRates(lambda step: None)
    here.record_reuse(400 * MS, True)
    there.merge_reported(*told)
    for wear in (here, there):
        assert (
            not wear.is_trusted(400 * MS, 0.03)
            and wear.is_trusted(400 * MS, 0.2)
            and wear.is_trusted(100 * MS, 0.0)
        )
    for _ in range(12):
        there.record_reuse(400 * MS, False)
    assert there.is_trusted(400 * MS, 0.03)


def test_what_is_full_is_not_ill_and_what_fails_is():
    async def test():
        full, failing = StandIn(answer(503, b"", b"Not-Run: 1")), StandIn(reset)
        cluster = Cluster(route("r", "/p/"))
        for name, worker in (("full", full), ("ill", failing)):
            await worker.start()
            cluster.work(name, worker.port)
        for _ in range(4):
            cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
            assert (await (await cluster.ask()).answer())[0] in (502, 503)
        assert full.heads and failing.heads
        charts, ids = cluster.plane.outcome_sharing.ejection.records, cluster.plane.workers.number_by_id
        assert ids["full"] not in charts and charts[ids["ill"]].score >= FAILURE_SCORE

    going(test)


def test_what_one_gatekeeper_meets_the_others_of_its_zone_hear_and_no_others(monkeypatch):
    async def test():
        clusters, gateways = [], []
        for station, zone in (("g1", "a"), ("g2", "a"), ("g3", "b")):
            told = test_dataplane.settings()
            own = replace(told, me=replace(told.me, station=station, zone=zone))
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
            cluster.work("w1", 1)
            clusters.append(cluster)
        for cluster in clusters:
            cluster.plane.on_gateways(gateways)
        one, two, three = (cluster.plane.outcome_sharing for cluster in clusters)
        assert one.ejection.zone_size == 2 and len(one.receivers) == 1 and not three.receivers
        heard = asyncio.Event()
        two.peer_messages.handlers[TAG] = lambda data, addr: (two.on_report(data, addr), heard.set())
        worker = clusters[0].plane.workers.number_by_id["w1"]
        one._record(worker, False, one.clock())
        one.stale_rates.record_reuse(400 * MS, True)
        one.send_report()
        await heard.wait()
        assert two.ejection.records[worker].score == FAILURE_SCORE and two.ejection.records[
            worker
        ].reporters == {clusters[1].plane.peers.present["g1"][1]}
        assert (
            not two.stale_rates.is_trusted(400 * MS, 0.03)
            and not three.ejection.records
            and not two.ejection.unreported
        )
        of_no_life = OutcomeReport(one.peer_messages.own_hash, 99, [OutcomeCount(worker, 0, 9)], [])
        two.on_report(encode(of_no_life), (HOST, 1))
        assert two.ejection.records[worker].score == FAILURE_SCORE

    going(test)


def test_an_attempt_that_is_out_for_too_long_counts_before_its_end():
    """Once, and its worker may all the same be at work: nothing ends it, however ill that is held to be."""

    async def test():
        worker = await StandIn(stall).start()  # takes the request and says nothing
        cluster = Cluster(route("r", "/p/"))
        cluster.work("mute", worker.port)
        shared, number = cluster.plane.outcome_sharing, cluster.plane.workers.number_by_id["mute"]
        client = await cluster.ask()
        await worker.arrived.get()
        ((key, attempt),) = cluster.plane.upstream.attempts.items()
        for _ in range(8):
            shared.answer_times[attempt.exchange.cls].add(40 * MS)
        begun = attempt.exchange.attempt_times[0]
        # Late past two and a half times the mean, with an eighth of the time that it is out added to that.
        for out_ms, score in ((145, 0.0), (146, FAILURE_SCORE), (147, FAILURE_SCORE)):
            shared.clock = lambda out_ms=out_ms: begun + out_ms * MS
            shared.checked_at = shared.clock()
            shared.check_late_attempts()
            assert shared.ejection.records.get(number, FailureRecord(0)).score == score
        assert cluster.plane.reports.counts == {LATE: 1}
        shared.ejection.records[number].ejected_until = begun + SECOND
        shared.check_late_attempts()
        assert cluster.plane.upstream.attempts == {key: attempt} and worker.closed.empty()
        await worker.stop()
        assert (await client.answer())[0] in (502, 503)
        assert cluster.plane.gatekeeper.outcomes[Outcome.CANCELLED] == 0 and not shared.late

    going(test)
