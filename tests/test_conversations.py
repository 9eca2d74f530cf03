"""No answer reaches another caller, nothing unrepeatable runs twice: drawn and exhaustive conversations."""

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
# The first drawn conversation in which each bug shows.
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
# Drawn clients hardly ever leave after the last byte of a request; in how many of `leaves` each bug shows.
FOUND_IN_LEAVES = {"runs-outlive-clients": 36, "closes-unheard": 12}


@pytest.mark.parametrize("first", range(1, DRAWN, 40))
def test_drawn_conversations_break_no_rule(first):
    for seed in range(first, first + 40):
        assert draw_conversation(seed).run() == [], f"seed {seed}"


class Conversing(RuleBasedStateMachine):
    """Requests, workers' doings and what else happens, step by step; played and judged at the end."""

    def __init__(self):
        super().__init__()
        self.script = Script(1, [[], [], []], [], [])
        self.number = 0

    @rule(client=st.integers(0, 2), rng=RANDOMS)
    def ask(self, client, rng):
        self.script.clients[client].append(draw_step(rng, 1, self.number))
        self.number += 1

    @rule(rng=RANDOMS)
    def work(self, rng):
        self.script.replies.append(draw_reply(rng))

    @rule(rng=RANDOMS)
    def happen(self, rng):
        if len(self.script.events) < 3:
            self.script.events.append(draw_event(rng))

    def teardown(self):
        if self.number:
            assert Conversation(self.script).run() == []


def test_conversations_made_step_by_step_break_no_rule():
    bounds = settings(max_examples=120, stateful_step_count=16, deadline=None, derandomize=True)
    run_state_machine_as_test(Conversing, settings=bounds)


@pytest.mark.parametrize("bug", sorted(set(BUGS) - set(FOUND_IN_LEAVES)))
def test_the_judge_finds_each_bug(bug):
    with injected_bug(bug):
        assert draw_conversation(FOUND_AT[bug]).run()
    assert draw_conversation(FOUND_AT[bug]).run() == []


@pytest.mark.parametrize(
    "interruptions", [client_interruptions, request_interruptions, response_interruptions]
)
def test_a_break_after_each_byte_breaks_no_rule(interruptions):
    """Every third on an unsafe route here; `--cuts` plays them all, on both kinds of route."""
    for script in islice(interruptions(b"/once/"), 0, None, 3):
        assert Conversation(script).run() == []


@pytest.mark.parametrize("route", [b"/once/", b"/safe/"])
def test_clients_who_leave_while_their_requests_are_at_work_break_no_rule(route):
    for number, script in enumerate(client_disconnects(route)):
        assert Conversation(script).run() == [], f"script {number}"


@pytest.mark.parametrize("bug", sorted(FOUND_IN_LEAVES))
def test_the_judge_finds_each_bug_that_shows_when_clients_leave(bug):
    with injected_bug(bug):
        found = [Conversation(script).run() for script in client_disconnects(b"/safe/")]
    assert sum(any("GONE" in text for text in broken) for broken in found) == FOUND_IN_LEAVES[bug]


def test_the_judge_reads_answers_strictly():
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
    assert parse_responses(whole * 2 + b"x", [b"GET", b"GET"], False)[1] == b"x"
    for cut in range(1, len(whole)):
        (got,), left = parse_responses(whole[:cut], [b"GET"], True)
        assert not got.complete and not left
    assert parse_responses(whole, [b"HEAD"], False)[1] == b"hi"


def test_the_gatekeeper_frozen_in_the_middle_runs_nothing_twice():
    """It wakes long after the clients' time is up, and after the worker has fallen silent."""
    for at_s in (0.0, 0.0015, 0.005, 0.3):
        steps = [ClientStep(request(b"c%d" % number, b"/once/"), pipelined=True) for number in range(3)]
        replies = [ReplySpec(delay_s=0.3), ReplySpec(kind="silence"), ReplySpec()]
        conversation = Conversation(Script(1, [steps], [ScriptedEvent(at_s, "freeze", 20.0)], replies))
        assert conversation.run() == []


# What was found with them, each by itself.


def test_a_request_sent_ahead_of_a_long_answers_end_is_not_answered_inside_it():
    async def test():
        cluster = Cluster(route("r", "/p/"))
        begun = b"HTTP/1.1 200 OK\r\nAttempt-Id: i1\r\nPostmark: p\r\nContent-Length: 200000\r\n\r\n"

        async def long(server, reader, writer):
            writer.write(begun + b"x" * 100_000)
            await wait_then(b"y" * 100_000)(server, reader, writer)

        worker = await StandIn(long, ok(b"second", b"i2")).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask()
        await client.reader.readuntil(b"\r\n\r\n")
        await cluster.ask("/none", client=client, Attempt_Id="i2")  # would be answered at once
        await cluster.ask(client=client, Attempt_Id="i3")
        assert await client.reader.readexactly(100_000) == b"x" * 100_000
        worker.go.set()
        assert await client.reader.readexactly(100_000) == b"y" * 100_000
        assert (await client.answer())[0] == 404

    going(test)


def test_a_refusal_without_an_id_counts_only_as_a_connections_first_answer():
    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe"))
        cluster.plane.gatekeeper.gateway.retry_budget.level = 1.0
        # Its own answer to the second comes late; what stands in its place belongs to nothing.
        stray = wait_then(b"")
        no = answer(503, b"", b"Not-Run: 1")

        async def second(server, reader, writer):
            writer.write(no)
            await stray(server, reader, writer)

        worker, other = await StandIn(ok(), second).start(), await StandIn(ok(b"twice", b"i2")).start()
        cluster.add_worker("w1", worker.port)
        assert (await (await cluster.ask()).answer())[0] == 200
        cluster.add_worker("w2", other.port, zone="b")
        client = await cluster.ask(Attempt_Id="i2")
        assert (await client.answer())[0] == 502 and not other.heads

    going(test)


def test_a_refused_request_does_not_go_to_its_worker_again_on_the_same_connection():
    """There the late second refusal of the first try would be read as the answer to the second."""

    async def test():
        cluster = Cluster(route("r", "/p/", route_kind="unsafe"))
        further = cluster.plane.gatekeeper.gateway.retry_budget
        further.depth = further.level = 10.0
        no = answer(503, b"", b"Not-Run: 1", b"Attempt-Id: i1")
        workers = [await StandIn(no, no + ok()).start() for _ in range(2)]
        for number, worker in enumerate(workers):
            cluster.add_worker(f"w{number}", worker.port)
        await (await cluster.ask()).answer()
        assert sum(len(worker.heads) for worker in workers) == 3
        assert all(worker.connections == len(worker.heads) for worker in workers)

    going(test)


def test_connection_does_not_take_what_goes_from_end_to_end():
    async def test():
        cluster = Cluster(route("r", "/p/"))
        named = b"Connection: Postmark, attempt-id, x-own"
        worker = await StandIn(ok(b"fine", b"i1", named, b"X-Own: 1")).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask(Connection="Host, Attempt-Id, x-own", X_Own="1")
        status, fields, _ = await client.answer()
        assert status == 200 and fields["postmark"] == "p" and "x-own" not in fields
        head = worker.heads[0]
        assert b"Host: " in head and b"Attempt-Id: i1" in head and b"X-Own" not in head

    going(test)


@pytest.mark.parametrize("told", ["Token k1\r\nAuthorization: Token k1", "Basic x, token k1", "Token gone 2"])
def test_a_key_among_others_is_not_shown_to_a_worker(told):
    async def test():
        cluster, worker = Cluster(route("r", "/p/", unstamped=True)), await StandIn(ok()).start()
        cluster.add_worker("w1", worker.port)
        assert (await (await cluster.ask(key=None, Authorization=told)).answer())[0] == 200
        assert b"uthorization" not in worker.heads[0]

    going(test)


def test_an_answer_to_head_has_no_body_also_where_the_request_can_not_be_read():
    async def test():
        cluster = Cluster(route("r", "/p/"))
        for bad in (b"Content-Length: x", b"Transfer-Encoding: y", b"Bad Name: 1"):
            client = await Client.to(cluster.plane.listener.address[1])
            client.writer.write(b"HEAD /p/x HTTP/1.1\r\nHost: h.example\r\n" + bad + b"\r\n\r\n")
            head, _, rest = (await client.reader.read()).partition(b"\r\n\r\n")
            assert head.startswith((b"HTTP/1.1 4", b"HTTP/1.1 501")) and not rest

    going(test)


def test_what_is_sent_behind_the_last_request_does_not_cost_its_answer():
    """A close on bytes that are unread is a reset, which may overtake the answer's end."""

    async def test():
        cluster = Cluster(route("r", "/p/"))
        worker = await StandIn(ok(b"z" * 3_000_000)).start()
        cluster.add_worker("w1", worker.port)
        client = await cluster.ask(Connection="close")
        client.writer.write(b"POST /p/x HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + b"b" * 900_000)
        got = await client.reader.read()
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"z" * 1000) and len(got) > 3_000_000

    going(test)
