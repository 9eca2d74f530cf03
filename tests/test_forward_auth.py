"""Forward authentication on real sockets: a stand-in server that stalls, resets and restarts."""

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

ASK = {
    "X-Forwarded-Method": "POST",
    "X-Forwarded-Proto": "https",
    "X-Forwarded-Host": "desk.example",
    "X-Forwarded-Uri": "/book?id=1",
    "X-Forwarded-For": "10.9.8.7",
}
IDLE = {"name": "identity", "prefix": "/", "wanted_ms": 60_000, "deadline_ms": 120_000}
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
    """Another proxy that asks."""

    def verify(self, method: str = "GET", **fields: str) -> None:
        both = ASK | {name.replace("_", "-"): value for name, value in fields.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in both.items() if value)
        self.writer.write(f"{method} /auth HTTP/1.1\r\nHost: gate\r\n{head}\r\n".encode())


async def answering(server: StandIn, **changes: Any) -> tuple[Any, Any, Proxy]:
    _, service, listener = await start_auth(read_auth(auth_file(server.port, **changes)), Clock(), 1)
    return service, listener, await Proxy.to(listener.address[1])


def test_a_grant_passes_the_configured_headers_and_nothing_a_client_claims():
    async def test():
        server = await StandIn(GRANT).start()
        _, _, proxy = await answering(server)
        proxy.verify(
            Cookie="session=1", X_Auth_User="admin", X_Forwarded_Port="1", Connection="x-gone", X_Gone="1"
        )
        status, fields, _ = await proxy.answer()
        assert status == 200 and fields["x-auth-user"] == "nurse"
        assert "x-secret" not in fields and "set-cookie" not in fields
        asked = (await server.arrived.get()).decode()
        assert asked.startswith("GET /verify HTTP/1.1\r\nHost: identity.example\r\n")
        assert "Cookie: session=1" in asked and "admin" not in asked and "X-Gone" not in asked
        for name, value in ASK.items():
            assert f"{name.lower()}: {value}" in asked

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
def test_a_definite_no_is_passed_on_at_once(status, more):
    async def test():
        server = await StandIn(answer(status, b"page", more.encode(), b"Connection: close")).start()
        _, _, proxy = await answering(server)
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
def test_what_is_no_clear_answer_is_no_grant(step, status):
    async def test():
        server = await StandIn(step).start()
        # Beyond the wanted time a failure is told as one; before it, trying again is said to be harmless.
        classes = [{"name": "identity", "wanted_ms": 1, "deadline_ms": 100}]
        service, _, proxy = await answering(server, classes=classes)
        start = service.clock()
        proxy.verify()
        assert (await proxy.answer())[0] == status
        assert service.clock() - start < SECOND
        proxy.verify()  # the connection still serves
        assert (await proxy.answer())[0] in (status, 502)

    going(test)


def test_an_attempt_that_fails_is_made_again_elsewhere_within_the_budget():
    async def test():
        bad, good = await StandIn(reset).start(), await StandIn(GRANT).start()
        _, service, listener = await start_auth(read_auth(auth_file(bad.port, good.port)), Clock(), 1)
        proxies = [await Proxy.to(listener.address[1]) for _ in range(6)]
        for proxy in proxies:  # together: each server gets some
            proxy.verify()  # type: ignore[attr-defined]
        assert [(await proxy.answer())[0] for proxy in proxies] == [200] * 6
        assert bad.heads and service.gatekeeper.counts[End.SERVED] == 6

    going(test)


def test_a_quota_refuses_with_retry_after_and_customers_do_not_share_it():
    async def test():
        server = await StandIn(GRANT).start()
        plans = [
            {"name": "desk", "rate": 0.1, "burst": 1},
            {"name": "big", "rate": 100, "customers": ["hub.example"]},
        ]
        _, _, proxy = await answering(server, plans=plans)
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
def test_a_question_that_is_none_is_no_grant(fields, status):
    async def test():
        server = await StandIn(GRANT).start()
        classes = [{"name": "identity", "prefix": "/book", "wanted_ms": 400, "deadline_ms": 800}]
        _, _, proxy = await answering(server, classes=classes)
        proxy.verify(**fields)
        assert (await proxy.answer())[0] == status and not server.heads

    going(test)


def test_a_quota_holds_over_two_gatekeepers_that_tell_each_other():
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


async def asking(auth: StandIn, worker: StandIn, **changes: Any) -> tuple[Any, Front]:
    _, service, _ = await start_auth(read_auth(auth_file(auth.port, listen=None, **changes)), Clock(), 1)
    front = Front(auth=service)
    front.list(line("w", worker.port))
    return service, front


def test_a_request_is_booked_only_when_granted_and_only_where_configured():
    async def test():
        auth, worker = (
            await StandIn(GRANT, answer(401, b"who"), GRANT).start(),
            await StandIn(ok(b"booked")).start(),
        )
        service, front = await asking(auth, worker)
        client = await front.client()
        client.ask("confirm", X_Auth_User="admin", Authorization="t")
        assert (await client.answer())[::2] == (200, b"booked")
        booking, question = (await worker.arrived.get()).decode(), (await auth.arrived.get()).decode()
        assert "X-Auth-User: nurse" in booking and "admin" not in booking + question
        assert "x-forwarded-method: POST" in question and "x-forwarded-for: 127.0.0.1" in question
        assert (
            "x-forwarded-uri: /confirm?customer=0000000000000007" in question
            and "Authorization: t" in question
        )
        client.ask("confirm")
        assert (await client.answer())[::2] == (401, b"who")
        assert len(worker.heads) == 1
        client.ask(
            "search", X_Auth_User="admin"
        )  # a class that does not ask; the claim is dropped all the same
        assert (await client.answer())[0] == 200
        await worker.arrived.get()
        assert len(auth.heads) == 2 and b"admin" not in worker.heads[-1]
        # Both steps count as taken.
        assert front.gatekeeper.counts[End.SERVED] == 2 and service.gatekeeper.counts[End.SERVED] == 2

    going(test)


def test_one_budget_holds_for_both_steps():
    async def test():
        auth, worker = await StandIn(wait_then(GRANT)).start(), await StandIn(ok()).start()
        service, front = await asking(auth, worker)
        client = await front.client()
        client.ask("confirm", budget="600m")
        await auth.arrived.get()
        (question,) = service.gatekeeper.exchanges.values()
        auth.go.set()
        await worker.arrived.get()
        (booking,) = front.gatekeeper.exchanges.values()
        assert booking.deadline == question.deadline == question.started + 600_000_000
        assert (await client.answer())[0] == 200

    going(test)


def test_clients_that_give_up_while_the_server_stalls_leave_nothing_behind():
    async def test():
        auth, worker = await StandIn(wait_then(GRANT)).start(), await StandIn(ok()).start()
        service, front = await asking(auth, worker)
        clients = [await front.client() for _ in range(8)]
        for client in clients:
            client.ask("confirm")
        await auth.arrived.get()
        for client in clients:
            client.writer.close()
        while service.gatekeeper.counts[End.CLIENT_LEFT] < len(clients):
            await asyncio.sleep(0)
        auth.go.set()  # it answers after they have given up
        while service.gatekeeper.exchanges or service.gatekeeper.gateway.pending:
            await asyncio.sleep(0)
        assert not worker.heads and not front.gatekeeper.exchanges and not front.listener.clients

    going(test)


def test_a_question_ends_with_the_proxy_that_asked_it():
    """Nobody waits for the server's word: its work ends, long before the time is up."""

    async def test():
        server = await StandIn(stall).start()
        _, _, proxy = await answering(server, classes=[IDLE])
        proxy.verify()
        await server.arrived.get()
        proxy.writer.close()
        await server.closed.get()

    going(test)


def test_through_stalls_resets_and_a_restart_each_request_gets_exactly_one_answer():
    async def test():
        auth = await StandIn(GRANT, reset, stall, answer(500), GRANT, reset, GRANT).start()
        worker = await StandIn(ok(b"booked")).start()
        service, front = await asking(auth, worker)
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
        # Whoever was told 200 was booked; nobody was booked without a grant.
        assert counts[200] <= len(worker.heads) <= service.gatekeeper.counts[End.SERVED]
        while service.gatekeeper.exchanges or front.gatekeeper.exchanges or front.listener.clients:
            await asyncio.sleep(0)

    going(test)


def test_a_drain_waits_for_both_steps():
    async def test():
        auth, worker = (
            await StandIn(wait_then(GRANT)).start(),
            await StandIn(wait_then(ok(b"booked"))).start(),
        )
        _, front = await asking(auth, worker)
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
        ({"identity_header": ["X-Auth-User"]}, "identity_header"),  # a slip that would trust a client's claim
        ({"classes": [{"name": "c", "wanted_ms": 1, "deadline_ms": 5, "path": "/"}]}, "classes.path"),
        ({"me": 2, "peers": [f"{HOST}:1", f"{HOST}:2"]}, "me"),
    ],
)
def test_a_bad_file_names_its_key(changes, key):
    with pytest.raises(ValueError, match=f"^{key}: "):
        read_auth(auth_file(1, **changes))
