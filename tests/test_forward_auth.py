"""Forward authentication on real sockets: a simulated server that stalls, resets and restarts."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import Counter
from typing import Any

import pytest
from standins import (
    HOST,
    SECOND,
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

from pepperrun.assembly import start_auth
from pepperrun.config import read_auth
from pepperrun.exchange import End
from pepperrun.gatekeeper import Clock

FORWARDED_HEADERS = {
    "X-Forwarded-Method": "POST",
    "X-Forwarded-Proto": "https",
    "X-Forwarded-Host": "desk.example",
    "X-Forwarded-Uri": "/book?id=1",
    "X-Forwarded-For": "10.9.8.7",
}
SLOW_CLASS = {"name": "identity", "prefix": "/", "wanted_ms": 60_000, "deadline_ms": 120_000}
GRANT = ok(b"", b"X-Auth-User: nurse", b"X-Secret: s", b"Set-Cookie: no")


def auth_file(*ports: int, **changes: Any) -> str:
    table = {
        "listen": f"{HOST}:0",
        "servers": [{"address": f"{HOST}:{port}"} for port in ports],
        "path": "/verify",
        "host": "identity.example",
        "identity_headers": ["X-Auth-User", "X-Auth-Groups"],
        "asking_classes": ["confirm"],
        "classes": [{"name": "identity", "prefix": "/", "wanted_ms": 400, "deadline_ms": 800}],
        "plans": [{"name": "desk", "rate": 1000, "burst": 1000}],
    }
    return json.dumps(table | changes)


class Proxy(Client):
    """Another proxy that sends authentication requests."""

    def verify(self, method: str = "GET", **fields: str) -> None:
        both = FORWARDED_HEADERS | {name.replace("_", "-"): value for name, value in fields.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in both.items() if value)
        self.writer.write(f"{method} /auth HTTP/1.1\r\nHost: gate\r\n{head}\r\n".encode())


async def start_auth_server(server: StandIn, **changes: Any) -> tuple[Any, Any, Proxy]:
    _, service, listener = await start_auth(read_auth(auth_file(server.port, **changes)), Clock(), 1)
    return service, listener, await Proxy.to(listener.address[1])


def test_grant_forwards_the_configured_headers_and_none_that_a_client_claims():
    async def test():
        server = await StandIn(GRANT).start()
        _, _, proxy = await start_auth_server(server)
        proxy.verify(
            Cookie="session=1", X_Auth_User="admin", X_Forwarded_Port="1", Connection="x-gone", X_Gone="1"
        )
        status, fields, _ = await proxy.answer()
        assert status == 200 and fields["x-auth-user"] == "nurse"
        assert "x-secret" not in fields and "set-cookie" not in fields
        sent = (await server.arrived.get()).decode()
        assert sent.startswith("GET /verify HTTP/1.1\r\nHost: identity.example\r\n")
        assert "Cookie: session=1" in sent and "admin" not in sent and "X-Gone" not in sent
        for name, value in FORWARDED_HEADERS.items():
            assert f"{name.lower()}: {value}" in sent

    going(test)


@pytest.mark.parametrize(
    ("status", "more"),
    [
        (401, "WWW-Authenticate: Basic"),
        (403, "X-Why: no"),
        (302, "Location: /login"),
        (307, "Set-Cookie: a=b"),
    ],
)
def test_denial_is_forwarded_at_once(status, more):
    async def test():
        server = await StandIn(answer(status, b"page", more.encode(), b"Connection: close")).start()
        _, _, proxy = await start_auth_server(server)
        proxy.verify()
        got, fields, body = await proxy.answer()
        name, value = more.lower().split(": ")
        assert (got, fields[name], body, len(server.heads)) == (status, value, b"page", 1)

    going(test)


@pytest.mark.parametrize(
    ("step", "status"),
    [
        (answer(500), 502),
        (answer(404), 502),
        (answer(503), 502),
        (reset, 502),
        (b"nonsense\r\n\r\n", 502),
        (stall, 504),
    ],
)
def test_unclear_response_is_no_grant(step, status):
    async def test():
        server = await StandIn(step).start()
        # A failure after the latency target is reported as such; one before it as safe to retry.
        classes = [{"name": "identity", "wanted_ms": 1, "deadline_ms": 100}]
        service, _, proxy = await start_auth_server(server, classes=classes)
        start = service.clock()
        proxy.verify()
        assert (await proxy.answer())[0] == status
        assert service.clock() - start < SECOND
        proxy.verify()  # the connection can still be used
        assert (await proxy.answer())[0] in (status, 502)

    going(test)


def test_failed_attempt_is_retried_at_another_server_within_the_budget():
    async def test():
        bad, good = await StandIn(reset).start(), await StandIn(GRANT).start()
        _, service, listener = await start_auth(read_auth(auth_file(bad.port, good.port)), Clock(), 1)
        proxies = [await Proxy.to(listener.address[1]) for _ in range(6)]
        for proxy in proxies:  # concurrently: each server gets some
            proxy.verify()  # type: ignore[attr-defined]
        assert [(await proxy.answer())[0] for proxy in proxies] == [200] * 6
        assert bad.heads and service.gatekeeper.counts[End.SERVED] == 6

    going(test)


def test_quota_rejects_with_retry_after_for_each_customer_separately():
    async def test():
        server = await StandIn(GRANT).start()
        plans = [
            {"name": "desk", "rate": 0.1, "burst": 1},
            {"name": "big", "rate": 100, "customers": ["hub.example"]},
        ]
        _, _, proxy = await start_auth_server(server, plans=plans)
        proxy.verify()
        assert (await proxy.answer())[0] == 200
        proxy.verify()
        status, fields, _ = await proxy.answer()
        assert status == 429 and int(fields["retry-after"]) >= 1
        for host in ("other.example", "hub.example", "hub.example", "hub.example"):
            proxy.verify(X_Forwarded_Host=host)
            assert (await proxy.answer())[0] == 200
        assert len(server.heads) == 5

    going(test)


@pytest.mark.parametrize(
    ("fields", "status"),
    [({"X_Forwarded_Uri": ""}, 400), ({"X_Forwarded_Method": ""}, 400), ({"X_Forwarded_Host": ""}, 400)]
    + [({"method": "POST"}, 405), ({"X_Forwarded_Uri": "/open/x"}, 403)],
)
def test_invalid_authentication_request_is_no_grant(fields, status):
    async def test():
        server = await StandIn(GRANT).start()
        classes = [{"name": "identity", "prefix": "/book", "wanted_ms": 400, "deadline_ms": 800}]
        _, _, proxy = await start_auth_server(server, classes=classes)
        proxy.verify(**fields)
        assert (await proxy.answer())[0] == status and not server.heads

    going(test)


def test_quota_holds_across_two_gatekeepers_that_exchange_messages():
    async def test():
        server = await StandIn(GRANT).start()
        plans = [{"name": "desk", "rate": 0.1, "burst": 6}]
        sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for one in sockets:
            one.bind((HOST, 0))
        peers = [f"{HOST}:{one.getsockname()[1]}" for one in sockets]
        proxies = []
        for me, one in enumerate(sockets):
            one.close()
            changes = {"me": me, "peers": peers, "peer_listen": peers[me], "plans": plans}
            text = auth_file(server.port, **changes)
            _, _, listener = await start_auth(read_auth(text), Clock(), me)
            proxies.append(await Proxy.to(listener.address[1]))
        granted = 0
        for _ in range(12):
            for proxy in proxies:
                proxy.verify()  # type: ignore[attr-defined]
                granted += (await proxy.answer())[0] == 200
        assert 4 <= granted <= 7 and len(server.heads) == granted

    going(test)


async def start_auth_and_front(auth: StandIn, worker: StandIn, **changes: Any) -> tuple[Any, Front]:
    _, service, _ = await start_auth(read_auth(auth_file(auth.port, listen=None, **changes)), Clock(), 1)
    front = Front(auth=service)
    front.list(line("w", worker.port))
    return service, front


def test_request_is_forwarded_only_after_a_grant_in_configured_classes():
    async def test():
        auth, worker = (
            await StandIn(GRANT, answer(401, b"who"), GRANT).start(),
            await StandIn(ok(b"booked")).start(),
        )
        service, front = await start_auth_and_front(auth, worker)
        client = await front.client()
        client.ask("confirm", X_Auth_User="admin", Authorization="t")
        assert (await client.answer())[::2] == (200, b"booked")
        forwarded, auth_request = (await worker.arrived.get()).decode(), (await auth.arrived.get()).decode()
        assert "X-Auth-User: nurse" in forwarded and "admin" not in forwarded + auth_request
        assert "x-forwarded-method: POST" in auth_request and "x-forwarded-for: 127.0.0.1" in auth_request
        assert (
            "x-forwarded-uri: /confirm?customer=0000000000000007" in auth_request
            and "Authorization: t" in auth_request
        )
        client.ask("confirm")
        assert (await client.answer())[::2] == (401, b"who")
        assert len(worker.heads) == 1
        # A class without authentication; the claimed header is dropped all the same.
        client.ask("search", X_Auth_User="admin")
        assert (await client.answer())[0] == 200
        await worker.arrived.get()
        assert len(auth.heads) == 2 and b"admin" not in worker.heads[-1]
        # Both steps are counted as served.
        assert front.gatekeeper.counts[End.SERVED] == 2 and service.gatekeeper.counts[End.SERVED] == 2

    going(test)


def test_one_time_budget_covers_both_steps():
    async def test():
        auth, worker = await StandIn(wait_then(GRANT)).start(), await StandIn(ok()).start()
        service, front = await start_auth_and_front(auth, worker)
        client = await front.client()
        client.ask("confirm", budget="600m")
        await auth.arrived.get()
        (auth_request,) = service.gatekeeper.exchanges.values()
        auth.go.set()
        await worker.arrived.get()
        (forwarded,) = front.gatekeeper.exchanges.values()
        assert forwarded.deadline == auth_request.deadline == auth_request.started + 600_000_000
        assert (await client.answer())[0] == 200

    going(test)


def test_disconnects_during_a_server_stall_leak_nothing():
    async def test():
        auth, worker = await StandIn(wait_then(GRANT)).start(), await StandIn(ok()).start()
        service, front = await start_auth_and_front(auth, worker)
        clients = [await front.client() for _ in range(8)]
        for client in clients:
            client.ask("confirm")
        await auth.arrived.get()
        for client in clients:
            client.writer.close()
        while service.gatekeeper.counts[End.CLIENT_LEFT] < len(clients):
            await asyncio.sleep(0)
        auth.go.set()  # it responds after they have disconnected
        while service.gatekeeper.exchanges or service.gatekeeper.gateway.pending:
            await asyncio.sleep(0)
        assert not worker.heads and not front.gatekeeper.exchanges and not front.listener.clients

    going(test)


def test_authentication_request_ends_when_its_proxy_disconnects():
    """No client waits for the server's response, so the attempt is cancelled long before its deadline."""

    async def test():
        server = await StandIn(stall).start()
        _, _, proxy = await start_auth_server(server, classes=[SLOW_CLASS])
        proxy.verify()
        await server.arrived.get()
        proxy.writer.close()
        await server.closed.get()

    going(test)


def test_each_request_gets_one_response_through_stalls_resets_and_a_restart():
    async def test():
        auth = await StandIn(GRANT, reset, stall, answer(500), GRANT, reset, GRANT).start()
        worker = await StandIn(ok(b"booked")).start()
        service, front = await start_auth_and_front(auth, worker)
        counts: Counter[int] = Counter()

        async def desk(number: int) -> None:
            client = await front.client()
            for _ in range(6):
                client.ask("confirm", budget="400m")
                counts[(await client.answer())[0]] += 1
            assert not client.reader._buffer  # type: ignore[attr-defined]  # nothing after the one answer
            client.writer.close()

        async def restart() -> None:
            for _ in range(12):
                await auth.arrived.get()
            await auth.stop()
            for _ in range(20):
                await asyncio.sleep(0)
            await auth.start(auth.port)

        await asyncio.gather(restart(), *(desk(number) for number in range(10)))
        assert sum(counts.values()) == 60 and counts[200] > 0
        assert set(counts) <= {200, 429, 502, 503, 504}
        # Each request with status 200 has been forwarded; none was forwarded without a grant.
        assert counts[200] <= len(worker.heads) <= service.gatekeeper.counts[End.SERVED]
        while service.gatekeeper.exchanges or front.gatekeeper.exchanges or front.listener.clients:
            await asyncio.sleep(0)

    going(test)


def test_drain_waits_for_both_steps():
    async def test():
        auth, worker = (
            await StandIn(wait_then(GRANT)).start(),
            await StandIn(wait_then(ok(b"booked"))).start(),
        )
        _, front = await start_auth_and_front(auth, worker)
        client = await front.client()
        client.ask("confirm")
        await auth.arrived.get()
        await front.listener.drain(0.01, 0.01)
        assert len(front.listener.clients) == 1
        auth.go.set()
        await worker.arrived.get()
        worker.go.set()
        status, fields, body = await client.answer()
        assert (status, fields["connection"], body) == (200, "close", b"booked")
        assert await client.ended()

    going(test)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"servers": []}, "servers"),
        ({"servers": [{"address": "x"}]}, "servers.address"),
        ({"listen": "x"}, "listen"),
        ({"path": "verify"}, "path"),
        ({"identity_headers": ["a b"]}, "identity_headers"),
        ({"classes": [{"name": "c", "wanted_ms": 0, "deadline_ms": 5}]}, "wanted_ms"),
        ({"plans": [{"name": "p", "customers": []}]}, "plans"),
        # A typing error that would trust a client's claim.
        (
            {"identity_header": ["X-Auth-User"]},
            "identity_header",
        ),
        ({"classes": [{"name": "c", "wanted_ms": 1, "deadline_ms": 5, "path": "/"}]}, "classes.path"),
        ({"me": 2, "peers": [f"{HOST}:1", f"{HOST}:2"]}, "me"),
    ],
)
def test_error_of_an_invalid_file_names_the_key(changes, key):
    with pytest.raises(ValueError, match=f"^{key}: "):
        read_auth(auth_file(1, **changes))
