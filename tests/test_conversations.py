"""No response reaches another client, no unsafe request runs twice: drawn and exhaustive conversations."""

from __future__ import annotations

import random
from itertools import islice

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from standins import Client, StandIn, answer, going, wait_then
from test_dataplane import Cluster, ok, route

from pepperrun.simulation.conversations.bugs import BUGS, injected_bug
from pepperrun.simulation.conversations.client import parse_responses
from pepperrun.simulation.conversations.conversation import Conversation, draw_conversation
from pepperrun.simulation.conversations.interruptions import (
    client_disconnects,
    client_interruptions,
    request,
    request_interruptions,
    response_interruptions,
)
from pepperrun.simulation.conversations.scripts import (
    ClientStep,
    ReplySpec,
    Script,
    ScriptedEvent,
    draw_event,
    draw_reply,
    draw_step,
)

DRAWN = 240  # conversations
RANDOMS = st.integers(0, 2**32).map(random.Random)
# Seed of the first drawn conversation that shows each bug.
FOUND_AT = {
    "ids-not-compared": 9,
    "reused-after-surplus": 17,
    "sent-again-after-reset": 46,
    "promise-after-run": 18,
    "short-looks-whole": 8,
    "encoded-passes": 11,
    "next-inside-answer": 652,
    "any-no-is-believed": 610,
    "same-connection-again": 565,
    "per-hop-takes-all": 4,
    "late-counts-as-refused": 1,
}
# Drawn clients hardly ever disconnect after the last byte of a request, so these bugs show only in
# `client_disconnects`: the number of its scripts in which each shows.
FOUND_IN_CLIENT_DISCONNECTS = {"runs-outlive-clients": 36, "closes-unheard": 12}


@pytest.mark.parametrize("first", range(1, DRAWN, 40))
def test_drawn_conversations_violate_no_rule(first):
    for seed in range(first, first + 40):
        assert draw_conversation(seed).run() == [], f"seed {seed}"


class ConversationMachine(RuleBasedStateMachine):
    """Adds requests, replies and events step by step; the conversation is run and checked at the end."""

    def __init__(self):
        super().__init__()
        self.script = Script(1, [[], [], []], [], [])
        self.number = 0

    @rule(client=st.integers(0, 2), rng=RANDOMS)
    def add_request(self, client, rng):
        self.script.clients[client].append(draw_step(rng, 1, self.number))
        self.number += 1

    @rule(rng=RANDOMS)
    def add_reply(self, rng):
        self.script.replies.append(draw_reply(rng))

    @rule(rng=RANDOMS)
    def add_event(self, rng):
        if len(self.script.events) < 3:
            self.script.events.append(draw_event(rng))

    def teardown(self):
        if self.number:
            assert Conversation(self.script).run() == []


def test_conversations_built_step_by_step_violate_no_rule():
    bounds = settings(max_examples=120, stateful_step_count=16, deadline=None, derandomize=True)
    run_state_machine_as_test(ConversationMachine, settings=bounds)


@pytest.mark.parametrize("bug", sorted(set(BUGS) - set(FOUND_IN_CLIENT_DISCONNECTS)))
def test_judge_finds_each_bug(bug):
    with injected_bug(bug):
        assert draw_conversation(FOUND_AT[bug]).run()
    assert draw_conversation(FOUND_AT[bug]).run() == []


@pytest.mark.parametrize(
    "interruptions", [client_interruptions, request_interruptions, response_interruptions]
)
def test_an_interruption_after_each_byte_violates_no_rule(interruptions):
    """Runs every third script on an unsafe route; `--cuts` runs them all, on both kinds of route."""
    for script in islice(interruptions(b"/once/"), 0, None, 3):
        assert Conversation(script).run() == []


@pytest.mark.parametrize("route", [b"/once/", b"/safe/"])
def test_clients_that_disconnect_while_their_requests_run_violate_no_rule(route):
    for number, script in enumerate(client_disconnects(route)):
        assert Conversation(script).run() == [], f"script {number}"


@pytest.mark.parametrize("bug", sorted(FOUND_IN_CLIENT_DISCONNECTS))
def test_judge_finds_each_bug_that_shows_when_clients_disconnect(bug):
    with injected_bug(bug):
        found = [Conversation(script).run() for script in client_disconnects(b"/safe/")]
    assert sum(any("GONE" in text for text in broken) for broken in found) == FOUND_IN_CLIENT_DISCONNECTS[bug]


def test_parse_responses_is_strict():
    complete = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
    assert parse_responses(complete * 2 + b"x", [b"GET", b"GET"], False)[1] == b"x"
    for cut in range(1, len(complete)):
        (response,), leftover = parse_responses(complete[:cut], [b"GET"], True)
        assert not response.complete and not leftover
    assert parse_responses(complete, [b"HEAD"], False)[1] == b"hi"


def test_a_frozen_gateway_runs_nothing_twice():
    """The gateway resumes long after the clients' deadlines, and after a worker stopped answering."""
    for at_s in (0.0, 0.0015, 0.005, 0.3):
        steps = [ClientStep(request(b"c%d" % number, b"/once/"), pipelined=True) for number in range(3)]
        replies = [ReplySpec(delay_s=0.3), ReplySpec(kind="silence"), ReplySpec()]
        conversation = Conversation(Script(1, [steps], [ScriptedEvent(at_s, "freeze", 20.0)], replies))
        assert conversation.run() == []


# Regression tests of faults that the drawn conversations found.


def test_a_pipelined_request_is_not_answered_inside_a_long_response():
    async def test():
        cluster = Cluster(route("r", "/p/"))
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: i1\r\nPostmark: p\r\nContent-Length: 200000\r\n\r\n"

        async def long_response(server, reader, writer):
            writer.write(head + b"x" * 100_000)
            await wait_then(b"y" * 100_000)(server, reader, writer)

        worker = await StandIn(long_response, ok(b"second", b"i2")).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask()
        await client.reader.readuntil(b"\r\n\r\n")
        # Needs no worker, so the gateway could answer at once.
        await cluster.ask("/none", client=client, Attempt_Id="i2")
        await cluster.ask(client=client, Attempt_Id="i3")
        assert await client.reader.readexactly(100_000) == b"x" * 100_000
        worker.go.set()
        assert await client.reader.readexactly(100_000) == b"y" * 100_000
        assert (await client.answer())[0] == 404

    going(test)


def test_a_rejection_without_an_id_is_accepted_only_as_first_response_of_a_connection():
    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe"))
        cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
        # The worker's own response to the second request is late; the rejection in its place
        # belongs to no request.
        late_response = wait_then(b"")
        rejection = answer(503, b"", b"Not-Run: 1")

        async def reject_late(server, reader, writer):
            writer.write(rejection)
            await late_response(server, reader, writer)

        worker, other = await StandIn(ok(), reject_late).start(), await StandIn(ok(b"twice", b"i2")).start()
        cluster.add_worker("w1", worker.port)
        assert (await (await cluster.ask()).answer())[0] == 200
        cluster.add_worker("w2", other.port, zone="b")
        client = await cluster.ask(Attempt_Id="i2")
        assert (await client.answer())[0] == 502 and not other.heads

    going(test)


def test_a_rejected_request_is_not_retried_on_the_same_connection():
    """There a late duplicate of the first rejection would be read as the response to the retry."""

    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe"))
        retry_budget = cluster.plane.gatekeeper.gateway.retry_budget
        retry_budget.depth = retry_budget.level = 10.0
        rejection = answer(503, b"", b"Not-Run: 1", b"Attempt-Id: i1")
        workers = [await StandIn(rejection, rejection + ok()).start() for _ in range(2)]
        for number, worker in enumerate(workers):
            cluster.add_worker(f"w{number}", worker.port)
        await (await cluster.ask()).answer()
        assert sum(len(worker.heads) for worker in workers) == 3
        assert all(worker.connections == len(worker.heads) for worker in workers)

    going(test)


def test_connection_header_does_not_remove_end_to_end_fields():
    async def test():
        cluster = Cluster(route("r", "/p/"))
        connection_field = b"Connection: Postmark, attempt-id, x-own"
        worker = await StandIn(ok(b"fine", b"i1", connection_field, b"X-Own: 1")).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask(Connection="Host, Attempt-Id, x-own", X_Own="1")
        status, fields, _ = await client.answer()
        assert status == 200 and fields["postmark"] == "p" and "x-own" not in fields
        head = worker.heads[0]
        assert b"Host: " in head and b"Attempt-Id: i1" in head and b"X-Own" not in head

    going(test)


@pytest.mark.parametrize(
    "authorization", ["Token k1\r\nAuthorization: Token k1", "Basic x, token k1", "Token gone 2"]
)
def test_a_key_among_other_credentials_does_not_reach_a_worker(authorization):
    async def test():
        cluster, worker = Cluster(route("r", "/p/", unstamped=True)), await StandIn(ok()).start()
        cluster.add_worker("w1", worker.port)
        assert (await (await cluster.ask(key=None, Authorization=authorization)).answer())[0] == 200
        assert b"uthorization" not in worker.heads[0]

    going(test)


def test_a_response_to_head_has_no_body_even_for_a_malformed_request():
    async def test():
        cluster = Cluster(route("r", "/p/"))
        for bad in (b"Content-Length: x", b"Transfer-Encoding: y", b"Bad Name: 1"):
            client = await Client.to(cluster.plane.listener.address[1])
            client.writer.write(b"HEAD /p/x HTTP/1.1\r\nHost: h.example\r\n" + bad + b"\r\n\r\n")
            head, _, rest = (await client.reader.read()).partition(b"\r\n\r\n")
            assert head.startswith((b"HTTP/1.1 4", b"HTTP/1.1 501")) and not rest

    going(test)


def test_bytes_behind_the_last_request_do_not_lose_its_response():
    """Closing a socket with unread bytes sends a reset, which may overtake the end of the response."""

    async def test():
        cluster = Cluster(route("r", "/p/"))
        worker = await StandIn(ok(b"z" * 3_000_000)).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask(Connection="close")
        client.writer.write(b"POST /p/x HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + b"b" * 900_000)
        got = await client.reader.read()
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"z" * 1000) and len(got) > 3_000_000

    going(test)
