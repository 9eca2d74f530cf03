"""The data plane: routes, keys, home regions, responses of workers, draining, freshness, slow start."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import replace
from typing import Any

import pytest
from standins import HOST, MS, SECOND, Client, StandIn, answer, cut_short, going, reset, wait_then

from pepperrun.control.configuration import TenantConfig
from pepperrun.control.handlers import DIRECTORY_TTL_S
from pepperrun.control.order_codec import read_replace
from pepperrun.control.records import GatewayRecord, GatewayState, Worker
from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import Backend, BackendList, ListKind, Refuse, Send, SetTimer, TimerFired
from pepperrun.core.interface import Request as CoreRequest
from pepperrun.dataplane.draining import DRAIN_ACCEPT_FRACTION, DRAIN_ACCEPT_S, DRAIN_IDLE_FRACTION, drain
from pepperrun.dataplane.numbering import Numbering
from pepperrun.dataplane.peer_messages import Peers
from pepperrun.dataplane.plane import DataPlane
from pepperrun.dataplane.routes import GateContext, RoutingTable
from pepperrun.dataplane.slow_start import SlowStartShares, assigned_gateways, send_interval_ns
from pepperrun.foundation.hosts import host_of
from pepperrun.foundation.settings import Bounds, Settings, parse
from pepperrun.fronts.client_connection import ClientConnection
from pepperrun.gateway_node import main

ZONES = {"a": "r1", "b": "r2"}


def settings() -> Settings:
    me = {"station": "g1", "role": "gateway", "ip": HOST, "zone": "a", "region": "r1"}
    bounds = {
        "revocation_total": True,
        "revoke_ms": 5000,
        "retry_slack": 60,
        "cold_excess": 1.5,
        "cold_slack": 5,
    }
    network = {"sidings": [7600, 7615], "first_contacts": [], "zones": ZONES}
    return parse({"self": me, "network": network, "tariffs": {"bounds": bounds}})


def route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    fields = {"name": name, "depot": "H.example", "prefix": prefix, "route_kind": "safe", "line": "one"}
    return fields | {"deadline_ms": 3000, "target_ms": 1000, "precedence": 0, "tries": 3} | more


def state(*routes: dict[str, Any], **more: Any) -> dict[str, Any]:
    lines = {
        name: {"name": name, "cold_s": 3.0, "cold_per_s": 5.3, "berth_cap": 100} for name in ("one", "two")
    }
    senders = {"ann": {"name": "ann", "stamps": ["k1", "k2"]}, "bob": {"name": "bob", "stamps": ["k3"]}}
    items = {"edition": 1, "routes": {item["name"]: item for item in routes}, "carrier_lines": lines}
    return items | {"senders": senders, "limits": {}, "evacuated": []} | more


def ok(body: bytes = b"fine", id: bytes = b"i1", *more: bytes) -> bytes:
    return answer(200, body, b"Attempt-Id: " + id, b"Postmark: p", *more)


class Cluster:
    """A complete data plane with its listener, updated by the test."""

    def __init__(self, *routes: dict[str, Any], **more: Any) -> None:
        self.fresh = self.cells = time.monotonic_ns() + 3600 * SECOND
        self.plane = DataPlane(
            settings(), 1, time.monotonic_ns, lambda: 1, lambda: self.fresh, lambda: self.cells
        )
        self.number = 0
        self.configure(*routes, **more)
        self.plane.listener.open((HOST, 0))

    def configure(self, *routes: dict[str, Any], **more: Any) -> None:
        self.number += 1
        self.plane.on_agreed_state(self.number, state(*routes, **more))

    def add_worker(self, id: str, port: int, **more: Any) -> None:
        self.plane.on_workers(
            [Worker(id, more.pop("line", "one"), f"{HOST}:{port}", more.pop("zone", "a"), **more)]
        )

    async def ask(
        self, path: str = "/p/x", key: str | None = "k1", client: Client | None = None, **more: Any
    ) -> Any:
        client = client or await Client.to(self.plane.listener.address[1])
        fields = {"Host": "h.EXAMPLE:80", "Attempt-Id": "i1", "Deadline-Ms": "2000", "Sender": "eve"}
        fields |= {"Authorization": f"Token {key}"} if key else {}
        method, body = more.pop("method", "GET"), more.pop("body", b"")
        fields |= {name.replace("_", "-"): value for name, value in more.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value is not None)
        client.writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        return client


def table(*routes: dict[str, Any], **more: Any) -> RoutingTable:
    return RoutingTable(1, state(*routes, **more), Numbering(Bounds()))


def test_longest_prefix_of_the_host_wins_and_splits_follow_their_weights():
    split = [{"line": "one", "share": 90}, {"line": "two", "share": 10}, {"line": "off", "share": 0}]
    found = table(route("r", "/"), route("s", "/p/", line=None, splits=split), route("t", "/p/q/"))
    names = [
        entry and entry.name
        for entry in (found.find(b"h.example", p) for p in (b"/", b"/p", b"/p/q", b"/p/q/r"))
    ]
    assert names == ["r", "r", "s", "t"] and found.find(b"other", b"/") is None
    assert host_of(b"H.Example:8080") == b"h.example"
    entry, rng = found.routes["s"], random.Random(1)
    drawn = sum(entry.choose_service(rng) for _ in range(2000))
    assert len(entry.services) == 2 and 120 < drawn < 290


def test_items_that_the_core_accepts_are_routed():
    """Missing optional columns, and whole numbers written as fractions, must not lead to a 404."""
    body = {"edition": 1, "limits": {"parcel_bytes": 5.0}, "senders": None}
    columns = ["name", "depot", "prefix", "deadline_ms", "line", "precedence", "tries"]
    body["routes"] = {"columns": columns, "rows": [["r", "h.example", "/", 900, "one", 1.0, 2.0]]}
    body["carrier_lines"] = {"columns": ["name", "berth_cap"], "rows": [["one", 9.0]]}
    held = read_replace(json.dumps(body).encode(), 0) | {"evacuated": []}
    entry = RoutingTable(1, held, Numbering(Bounds())).find(b"h.example", b"/x")
    assert (
        entry is not None
        and not entry.safe
        and (entry.limits.max_attempts, entry.config.target_ms) == (2, 900)
    )


def test_forwarded_request_has_the_tenants_name_and_not_its_key():
    async def test():
        cluster, worker = Cluster(route("r", "/p/", route_kind="unsafe")), await StandIn(ok()).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask(
            method="POST", body=b"5\r\nhello\r\n0\r\n\r\n", Transfer_Encoding="chunked", X="y"
        )
        status, fields, body = await client.answer()
        assert (status, body, fields["postmark"], fields["attempt-id"]) == (200, b"fine", "p", "i1")
        head, _, sent = (await worker.arrived.get()).partition(b"\r\n\r\n")
        assert head.startswith(b"POST /p/x HTTP/1.1\r\n") and sent == b"hello"
        assert b"Sender: ann\r\n" in head and b"eve" not in head and b"k1" not in head and b"X: y" in head
        assert b"Expect-Worker: w1\r\n" in head and b"Attempt-Id: i1" in head
        assert 0 < int(head.partition(b"Deadline-Ms: ")[2].partition(b"\r\n")[0]) <= 2000

    going(test)


def test_requests_not_allowed_by_the_configuration_reach_no_worker():
    async def test():
        cluster, worker = (
            Cluster(route("r", "/p/"), route("u", "/u/", unstamped=True)),
            await StandIn(ok()).start(),
        )
        cluster.add_worker("w1", worker.port)
        asked = (
            ({"path": "/q/"}, 404),
            ({"key": None}, 401),
            ({"key": "k9"}, 401),
            ({"Attempt_Id": None}, 400),
            ({"Attempt_Id": "a,b"}, 400),
            ({"path": "/u/", "key": None}, 200),
        )
        for more, status in asked:
            assert (await (await cluster.ask(**more)).answer())[0] == status
        assert len(worker.heads) == 1 and b"Sender" not in worker.heads[0]
        cluster.fresh = time.monotonic_ns() - 10 * SECOND  # a newer configuration may have the route or key
        for more in ({"path": "/q/"}, {"key": "k9"}):
            status, fields, _ = await (await cluster.ask(**more)).answer()
            assert status == 503 and float(fields["retry-after"]) > 0

    going(test)


@pytest.mark.parametrize(
    ("homes", "sender", "to"), [(["r2"], [], b"w2"), ([], ["r2"], b"w2"), (["r1"], ["r2"], None)]
)
def test_home_regions_of_route_and_tenant_both_apply(homes, sender, to):
    async def test():
        cluster = Cluster(
            route("r", "/p/", home_regions=homes),
            senders={"ann": {"name": "ann", "stamps": ["k1"], "home_regions": sender}},
        )
        worker = await StandIn(ok()).start()
        cluster.add_worker("w1", worker.port, zone="a")
        cluster.add_worker("w2", worker.port, zone="b")
        status, _, _ = await (await cluster.ask(Deadline_Ms="300")).answer()
        heads = b"".join(worker.heads)
        assert (status, heads.count(b"Expect-Worker")) == ((200, 1) if to else (503, 0))
        assert to is None or b"Expect-Worker: " + to in heads
        # Home regions with none in common: rejected at once, without a wait for a worker that can't exist.
        assert to or not cluster.plane.gatekeeper.gateway.quotas.accounts

    going(test)


def test_body_of_a_rejected_request_is_not_parsed_as_the_next_request():
    async def test():
        cluster, worker = Cluster(route("r", "/p/")), await StandIn(ok()).start()
        cluster.add_worker("w1", worker.port)
        inner = b"GET /p/in HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: i2\r\nAuthorization: Token k1\r\n\r\n"
        client = await cluster.ask(key="k9", method="POST", Content_Length="300000")
        client.writer.write(b"x" * 70_000)
        assert (await client.answer())[0] == 401
        client.writer.write(inner)
        assert await client.ended() and not worker.heads

    going(test)


def test_time_outs_of_clients_follow_the_configuration():
    async def test():
        cluster = Cluster(route("r", "/p/"), limits={"dwell_ms": 2500, "envelope_ms": 700})
        times = cluster.plane.listener.timeouts
        assert times.idle_ns >= 2500 * MS and times.first_byte_ns >= 2500 * MS
        assert times.request_ns >= 700 * MS
        cluster.configure(route("r", "/p/"), limits={"dwell_ms": 9000, "envelope_ms": 700})
        assert cluster.plane.listener.timeouts.idle_ns >= 9000 * MS  # also for open connections
        cluster.plane.close()

    going(test)


def test_late_second_response_is_recognised_by_its_id():
    """It arrives on the same connection instead of the next response, whose client must not get it."""

    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe"))
        worker = await StandIn(
            ok(b"first", b"i1"), ok(b"first", b"i1") + ok(b"second", b"i2"), ok(b"3", b"i3")
        ).start()
        cluster.add_worker("w1", worker.port)
        for id, body in ((b"i1", b"first"), (b"i2", b"second"), (b"i3", b"3")):
            client = await cluster.ask(Attempt_Id=id.decode())
            assert (await client.answer())[::2] == (200, body)
        assert worker.connections == 2  # a connection with surplus input is not reused

    going(test)


@pytest.mark.parametrize(
    "bad",
    [
        ok(b"x", b"other"),
        answer(200, b"x", b"Attempt-Id: i1"),
        ok(b"x", b"i1", b"Content-Encoding: gzip"),
        cut_short(b"HTTP/1.1 200 OK\r\nAttempt-Id: i1\r\nPostmark: p\r\n\r\nuntil the end"),
        cut_short(b"HTTP/1.1 200 OK\r\nAttempt-Id: i1\r\nPostmark: p\r\nContent-Length: 9\r\n\r\nshort"),
        answer(503, b"", b"Attempt-Id: i1"),
        reset,
    ],
)
def test_request_that_may_have_run_is_neither_retried_nor_promised(bad):
    async def test():
        cluster, worker, other = (
            Cluster(route("r", "/p/", route_kind="unsafe")),
            await StandIn(bad).start(),
            StandIn(ok()),
        )
        await other.start()
        cluster.add_worker("w1", worker.port, zone="a")
        cluster.add_worker("w2", other.port, zone="b")
        assert (await (await cluster.ask()).answer())[0] == 502
        assert len(worker.heads) == 1 and not other.heads

    going(test)


@pytest.mark.parametrize("no", [answer(421, b"", b"Worker-Id: w9"), answer(503, b"", b"Not-Run: 1")])
def test_request_that_a_worker_has_not_run_is_retried_elsewhere(no):
    async def test():
        cluster, worker, other = Cluster(route("r", "/p/", route_kind="unsafe")), StandIn(no), StandIn(ok())
        cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0  # saved up for retries
        await worker.start()
        await other.start()
        cluster.add_worker("w1", worker.port, zone="a")
        cluster.add_worker("w2", other.port, zone="b")
        assert (await (await cluster.ask()).answer())[0] == 200
        assert len(worker.heads) == len(other.heads) == 1

    going(test)


def test_error_response_of_a_worker_reaches_the_client():
    async def test():
        cluster, worker = (
            Cluster(route("r", "/p/", tries=1)),
            await StandIn(answer(500, b"why", b"Attempt-Id: i1")).start(),
        )
        cluster.add_worker("w1", worker.port)
        assert (await (await cluster.ask()).answer())[::2] == (500, b"why")

    going(test)


def test_draining_during_a_chunked_body_ends_no_request():
    async def test():
        cluster, worker = (
            Cluster(route("r", "/p/", route_kind="unsafe")),
            await StandIn(wait_then(ok())).start(),
        )
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask(method="POST", body=b"5\r\nhello\r\n", Transfer_Encoding="chunked")
        idle = await Client.to(cluster.plane.listener.address[1])
        while not any(
            isinstance(one, ClientConnection) and one.has_partial_request()
            for one in cluster.plane.listener.clients
        ):
            await asyncio.sleep(0)
        plane = cluster.plane
        ending = asyncio.ensure_future(
            drain(plane.listener, 2.0, plane.has_pending_requests, plane.expire_all)
        )
        while cluster.plane.listener.socket is not None:
            await asyncio.sleep(0)
        assert not cluster.plane.ready()
        client.writer.write(b"0\r\n\r\n")
        await worker.arrived.get()
        worker.go.set()
        status, fields, body = await client.answer()
        assert (status, body, fields["connection"]) == (200, b"fine", "close")
        assert await idle.ended()
        await ending

    going(test)


def test_draining_gatekeeper_accepts_connections_while_the_directory_lists_it():
    # Work that starts later than in 3 s may not end in time, and would be lost.
    assert DIRECTORY_TTL_S < DRAIN_ACCEPT_S < 3.0
    assert DRAIN_ACCEPT_FRACTION < DRAIN_IDLE_FRACTION and 6.0 * DRAIN_ACCEPT_FRACTION > DRAIN_ACCEPT_S

    async def test():
        cluster, worker = Cluster(route("r", "/p/")), await StandIn(ok()).start()
        cluster.add_worker("w1", worker.port)
        loop = asyncio.get_running_loop()
        waits, loop.call_later = loop.call_later, lambda *given: at.append(given[0]) or waits(*given)
        at: list[float] = []
        plane = cluster.plane
        ending = asyncio.ensure_future(
            drain(plane.listener, 6.0, plane.has_pending_requests, plane.expire_all)
        )
        await asyncio.sleep(0)
        assert at == [DRAIN_ACCEPT_S]
        status, fields, _ = await (await cluster.ask()).answer()
        assert (status, fields["connection"]) == (200, "close") and not cluster.plane.ready()
        ending.cancel()

    going(test)


def context_of(routing: RoutingTable, key: bytes = b"k1", path: bytes = b"/p/") -> GateContext:
    entry, tenant = routing.find(b"h.example", path), routing.keys.get(key)
    assert entry is not None
    return GateContext(routing, entry, b"h.example", path, key, tenant, entry.services[0])


def test_stale_state_blocks_requests_with_a_key_and_no_others():
    async def test():
        cluster = Cluster(route("r", "/p/"), route("u", "/u/", unstamped=True))
        gate, keyed = cluster.plane.gate, context_of(cluster.plane.table)
        without_key = GateContext(
            cluster.plane.table, cluster.plane.table.routes["u"], b"h.example", b"/u/", None, None, 0
        )
        cluster.fresh = 100 * SECOND
        assert gate.wait_ns(keyed, 104 * SECOND) == 0 and gate.wait_ns(without_key, 200 * SECOND) == 0
        assert gate.wait_ns(keyed, 105 * SECOND) > 0

    going(test)


def test_queued_request_follows_the_newest_configuration():
    """Key, service and zone are checked again at the moment of sending."""

    async def test():
        cluster = Cluster(route("r", "/p/"))
        cluster.add_worker("w1", 1, zone="a")
        gate, number = cluster.plane.gate, cluster.plane.workers.number_by_id["w1"]
        queued = context_of(cluster.plane.table)
        now = time.monotonic_ns()
        assert (
            gate.wait_ns(queued, now) == 0
            and gate.may_send(queued, number, now)
            and gate.may_write(queued, number, now)
        )
        cluster.configure(route("r", "/p/"), evacuated=["a"])
        assert (
            gate.wait_ns(queued, now) == 0
            and not gate.may_send(queued, number, now)
            and not gate.may_write(queued, number, now)
        )
        cluster.configure(route("r", "/p/", home_regions=["r2"]))
        assert gate.wait_ns(queued, now) == 0 and not gate.may_send(queued, number, now)
        cluster.configure(route("r", "/p/"), senders={"ann": {"name": "ann", "stamps": ["k2"]}})
        assert gate.wait_ns(queued, now) > 0
        queued = context_of(cluster.plane.table, b"k2")
        cluster.configure(route("r", "/p/", line="two"), senders={"ann": {"name": "ann", "stamps": ["k2"]}})
        assert gate.wait_ns(queued, now) > 0

    going(test)


def test_key_that_moves_between_tenants_changes_name_and_quota_at_once():
    """Within one edition. A request queued for the old tenant is rejected and runs for neither tenant."""

    def owners(tight: str = "", **stamps: list[str]) -> dict[str, Any]:
        rate = {name: {"rate_per_s": 0.01, "surge": 1.0} if name == tight else {} for name in stamps}
        return {name: {"name": name, "stamps": keys} | rate[name] for name, keys in stamps.items()}

    async def test():
        item = route("r", "/p/", route_kind="unsafe")
        cluster = Cluster(item, senders=owners(ann=["k1", "k2"], bob=["k3"]))
        queued_client = await cluster.ask()  # no worker is listed yet
        other_client = await cluster.ask(key="k2", Attempt_Id="i2")
        while len(cluster.plane.gatekeeper.exchanges) < 2:
            await asyncio.sleep(0)
        cluster.configure(item, senders=owners(ann=["k2"], bob=["k1", "k3"]))
        worker = await StandIn(*(ok(b"fine", b"i%d" % number) for number in (2, 3, 4, 5))).start()
        cluster.add_worker("w1", worker.port)

        async def ask(key: str, number: int) -> Any:
            return await (await cluster.ask(key=key, Attempt_Id=f"i{number}")).answer()

        status, fields, _ = await queued_client.answer()
        assert status == 503 and float(fields["retry-after"]) > 0
        assert (await other_client.answer())[0] == (await ask("k1", 3))[0] == 200
        assert [b"Sender: ann\r\n" in head for head in worker.heads] == [True, False]
        assert b"Sender: bob\r\n" in worker.heads[1]
        cluster.configure(item, senders=owners("bob", ann=["k2"], bob=["k1", "k3"]))
        assert (await ask("k1", 9))[0] == 429 and (await ask("k2", 4))[0] == 200
        cluster.configure(item, senders=owners("bob", ann=["k1"], bob=["k2", "k3"]))
        assert (await ask("k2", 9))[0] == 429 and (await ask("k1", 5))[0] == 200
        assert b"Sender: ann\r\n" in worker.heads[-1] and len(worker.heads) == 4
        # Moved and then removed: a request read for one tenant is valid for no other.
        queued = context_of(cluster.plane.table)
        cluster.configure(item, senders=owners(ann=["k2"], bob=["k1", "k3"]))
        moved, now = context_of(cluster.plane.table), time.monotonic_ns()
        assert cluster.plane.gate.wait_ns(queued, now) > 0 and cluster.plane.gate.wait_ns(moved, now) == 0
        cluster.configure(item, senders=owners(ann=["k2"], bob=["k3"]))
        assert cluster.plane.gate.wait_ns(queued, now) > 0 and cluster.plane.gate.wait_ns(moved, now) > 0
        assert (await ask("k1", 9))[0] == 401

    going(test)


def gateways(count: int) -> list[GatewayRecord]:
    zones = list(ZONES)
    return [
        GatewayRecord(
            f"g{n}", zones[n % 2], ZONES[zones[n % 2]], "c", f"{HOST}:{n + 1}", 1, 0, GatewayState.READY
        )
        for n in range(count)
    ]


def test_slow_start_limit_holds_over_gatekeepers_with_different_views():
    """Half of eleven gateways have an old view of the others; all send to one worker whenever they may."""
    all_gateways = gateways(11)
    shares = [SlowStartShares(gateway.name, ZONES, 1.5, 5) for gateway in all_gateways]
    for number, one in enumerate(shares):
        one.update(all_gateways if number % 2 else all_gateways[6:] + all_gateways[number : number + 1])
    sent: list[int] = []
    for now in range(0, 20 * SECOND, 10 * MS):
        for one in shares:
            if one.may_send(7, "w", "a", 5.3, now):
                one.on_sent(7, 5.3, now)
                sent.append(now)
    most = max(sum(at <= other < at + SECOND for other in sent) for at in sent)
    assert 4 <= most <= 5.3 * 1.5 + 5
    assert len(assigned_gateways("w", "a", all_gateways, ZONES)) == 3
    # Gatekeepers of its own zone first.
    assert all(int(name[1:]) % 2 == 0 for name in assigned_gateways("w", "a", all_gateways, ZONES))
    assert send_interval_ns(50.0, 1.0, 0.0) > SECOND // 8  # each of six sends at most 8 a second


def test_gatekeepers_that_are_cut_off_keep_the_bound_of_a_worker_that_turns_cold_unheard():
    """Three gatekeepers without news send one worker as much as they may (review case 3)."""

    async def test():
        clusters = [Cluster(route("r", "/p/")) for _ in range(3)]
        start, sent = time.monotonic_ns(), []
        for cluster in clusters:
            cluster.add_worker("w1", 1, zone="a")
            cluster.add_worker("w2", 2, zone="a")
            cluster.cells = start
        for now in range(start, start + 3900 * MS, 5 * MS):
            for cluster in clusters:
                plane = cluster.plane
                context, number = context_of(plane.table), plane.workers.number_by_id["w1"]
                if plane.gate.may_send(context, number, now):
                    plane.gate.on_sent(context, number, now)
                    sent.append(now - start)
        assert sum(at <= SECOND for at in sent) == 3 * 201  # nothing is limited while the news is fresh
        cold = [at for at in sent if at > SECOND]
        most = max(sum(at <= other < at + SECOND for other in cold) for at in cold)
        bounds, service = clusters[0].plane.settings.tariffs.bounds, clusters[0].plane.table.services
        rate = next(iter(service.values())).cold_per_s
        assert 3 <= most <= rate * bounds.cold_excess + bounds.cold_slack
        other = clusters[0].plane.workers.number_by_id["w2"]
        at = start + 3900 * MS
        assert clusters[0].plane.gate.may_send(context_of(clusters[0].plane.table), other, at)

    going(test)


def test_reopened_zone_and_unknown_worker_count_as_warming_up():
    async def test():
        cluster = Cluster(route("r", "/p/"))
        cluster.add_worker("w1", 1, zone="a")
        cluster.add_worker("w2", 1, zone="b", maybe_cold=True)
        workers, now = cluster.plane.workers, time.monotonic_ns()
        one, two = (workers.by_number[workers.number_by_id[name]] for name in ("w1", "w2"))
        assert not workers.is_warming_up(one, now) and workers.is_warming_up(two, now)
        cluster.configure(route("r", "/p/"), evacuated=["a"])
        assert workers.address(one.number) is None
        cluster.configure(route("r", "/p/"))
        now = time.monotonic_ns()
        assert workers.address(one.number) and workers.is_warming_up(one, now)
        assert not workers.is_warming_up(one, now + 10 * SECOND)
        # No gatekeeper has a share of a worker that warms up until the membership is known.
        assert not cluster.plane.gate.may_send(context_of(cluster.plane.table), two.number, now + 60 * SECOND)
        cluster.cells = now - 10 * SECOND  # no updates: any worker may be warming up
        assert not cluster.plane.gate.may_send(context_of(cluster.plane.table), one.number, now + 60 * SECOND)

    going(test)


def test_each_incarnation_of_a_peer_has_its_own_number():
    peers, (first, *_) = Peers("me"), gateways(1)
    assert peers.update([first]) and peers.members == (1,)
    later = replace(first, incarnation=2, serial=0, state=GatewayState.READY)
    assert peers.update([later]) and peers.members == (2,)
    assert not peers.update([first]) and peers.members == (2,)


def test_unchanged_items_are_reused():
    numbering = Numbering(Bounds())
    before = RoutingTable(1, state(route("r", "/p/"), route("s", "/s/")), numbering)
    after = RoutingTable(2, state(route("r", "/p/"), route("s", "/s/", tries=1)), numbering, before)
    assert after.routes["r"] is before.routes["r"] and after.routes["s"] is not before.routes["s"]


def core_with_one_worker() -> tuple[Gateway, Numbering, int]:
    """The core with one ready worker and one class."""
    numbering = Numbering(Bounds())
    line = numbering.service_number("one")
    cls = numbering.class_number(line, True, 1000 * MS)
    gateway = Gateway(numbering.settings(), 1)
    gateway.handle(SECOND, [BackendList(ListKind.DELTA, (Backend(7, 0, service=line),))])
    return gateway, numbering, cls


def test_request_with_little_time_left_is_sent_if_none_is_queued():
    """Its client lost a second at a dead directory; work alone takes half of the latency target."""
    gateway, _, cls = core_with_one_worker()
    first = gateway.handle(SECOND, [CoreRequest(1, 5, 0, cls, 3000 * MS)])
    gateway.services[0].limiter.latency = 0.5
    late = gateway.handle(SECOND + MS, [CoreRequest(2, 5, 0, cls, 1500 * MS)])
    for actions in (first, late):
        assert [type(action) for action in actions if not isinstance(action, SetTimer)] == [Send]


def test_request_waits_a_part_of_its_latency_target_for_its_quota():
    gateway, numbering, cls = core_with_one_worker()
    plan = numbering.plan_number(TenantConfig("ann", ["k"], rate_per_s=100.0, surge=10.0))
    gateway.update_settings(numbering.settings())
    # Time kept free for slow responses: nearly all of the latency target.
    gateway.services[0].fleet.tail_ratio = 9.0
    started = gateway.handle(SECOND, [CoreRequest(1, 5, plan, cls, 3000 * MS)])
    assert not any(
        isinstance(action, Refuse) for action in started + gateway.handle(SECOND + MS, [TimerFired(0)])
    )
    late = [a for at in range(20, 400, 20) for a in gateway.handle(SECOND + at * MS, [TimerFired(0)])]
    assert any(isinstance(action, Send) for action in late)


def test_check_option_validates_the_settings(tmp_path, capsys):
    me = {"station": "g1", "role": "gateway", "ip": HOST, "zone": "a", "region": "r1"}
    network = {"sidings": [7600, 7615], "first_contacts": [], "postboxes": {"counter": f"{HOST}:1"}}
    path = tmp_path / "node.yaml"
    for text, code in (
        ({"self": me, "network": network}, 0),
        ({"self": me, "network": network | {"postboxes": {}}}, 2),
    ):
        path.write_text(json.dumps(text))
        assert main(["--settings", str(path), "--check"]) == code
    assert "postboxes.counter" in capsys.readouterr().err


def test_idle_connection_is_reused_no_longer_than_its_worker_announces():
    async def test():
        cluster, worker = (
            Cluster(route("r", "/p/")),
            await StandIn(ok(b"x", b"i1", b"Keep-Alive: timeout=3")).start(),
        )
        cluster.add_worker("w1", worker.port)
        assert (await (await cluster.ask()).answer())[0] == 200
        (kept,) = cluster.plane.upstream.connections
        now = time.monotonic_ns()
        assert cluster.plane.upstream._is_reusable(
            kept, now + 2 * SECOND
        ) and not cluster.plane.upstream._is_reusable(kept, now + 3 * SECOND)

    going(test)


def test_tenant_with_quota_owners_gets_its_units_from_one_of_them():
    async def test():
        cluster, worker = Cluster(route("r", "/p/")), await StandIn(ok()).start()
        cluster.add_worker("w1", worker.port)
        senders = {name: {"name": name, "stamps": [key]} for name, key in (("ann", "k1"), ("bob", "k3"))}
        senders["ann"] |= {"rate_per_s": 100.0, "surge": 50.0}
        lists = {"term": 3, "places": {"r1": ["g1"], "r2": ["g2"]}, "settled": True}
        cluster.configure(route("r", "/p/"), senders=senders, keepers=lists)
        status, fields, _ = await (await cluster.ask()).answer()
        # The share of this owner has not begun, and g2 is absent.
        assert status == 429 and 0 < float(fields["retry-after"]) <= 2
        assert (await (await cluster.ask(key="k3")).answer())[0] == 200  # no quota, no owner is asked
        quota_owners, quotas = cluster.plane.quota_owners, cluster.plane.gatekeeper.gateway.quotas
        (account,) = [one for one in quotas.accounts.values() if one.plan.rate]
        begins = quota_owners.share_starts_at(account.customer)
        assert begins is not None and 0 < begins - time.monotonic_ns() <= SECOND
        account.hard_limit.at = begins - 2 * SECOND  # as if the share had begun long ago
        account.rejected_until, quota_owners.empty_until = 0, {}
        assert (await (await cluster.ask()).answer())[0] == 200
        assert account.hard_limit.depth == pytest.approx((50 * 1.1) / 2) and account.owners == [0, -1]

    going(test)
