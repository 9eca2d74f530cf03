"""Configurations and their changes, the HTTP handlers and server, and the links between control nodes."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from clusters import (
    ROUTES,
    SERVICES,
    TENANTS,
    A,
    B,
    C,
    World,
    amend_op,
    configuration,
    gateway,
    heartbeat,
    majority_of,
    replace_op,
    with_value,
)

from pepperrun.consensus.state import Operation, digest_of
from pepperrun.control import item_conversion
from pepperrun.control.changes import apply, compact, encode_configuration, evacuation_operation
from pepperrun.control.endpoint_registry import BATCH_NS, ROUND_NS, EndpointRegistry
from pepperrun.control.handlers import ControlApi, read_heartbeat
from pepperrun.control.item_conversion import ITEM_TYPES
from pepperrun.control.matchers import Answer, Call, any_of, dispatch, endpoint, parse_target, segment
from pepperrun.control.node import tolerated_losses
from pepperrun.control.order_codec import read_replace
from pepperrun.control.peer_links import FORGET_NS, PeerLinks
from pepperrun.control.replication_waits import VoterQuorum
from pepperrun.control.server import ClientConnection, Server
from pepperrun.control.table_codec import decode_table
from pepperrun.control.verdict import Verdict
from pepperrun.dataplane.numbering import Numbering
from pepperrun.dataplane.routes import RoutingTable
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.netstring import encode
from pepperrun.foundation.settings import Bounds, parse

MS = 1_000_000
SECOND = 1000 * MS


def test_a_configuration_reads_back_as_sent_and_the_data_plane_reads_it() -> None:
    state, verdict = apply(None, replace_op(configuration()))
    assert verdict[0] == 200 and state is not None
    back = encode_configuration(state)
    for kind in ("routes", "carrier_lines", "senders"):
        sent, returned = ((set(t["columns"]), t) for t in (configuration()[kind], back[kind]))
        items = [
            [{c: v for c, v in zip(t["columns"], row, strict=True) if v is not None} for row in t["rows"]]
            for _, t in (sent, returned)
        ]
        assert items[0] == items[1]  # includes the column that is unknown to the code
    assert back["limits"] == {"dwell_ms": 15000} and back["edition"] == 3
    assert apply({}, replace_op(back))[0] == apply(None, replace_op(configuration()))[0] | {
        "taken": [[3, replace_op(back)["digest"]]]
    }
    numbering = Numbering(Bounds())
    read = RoutingTable(1, state, numbering)
    splits = read.routes["a"].config.splits
    assert splits and splits[0].line == "x" and read.routes["b"].config.line == "y"
    assert (
        read.services[numbering.service_number("y")].cold_s == 0 and read.tenants["s"].config.rate_per_s == 70
    )
    after = apply(state, amend_op({"edition": 4, "withdraw": {"senders": ["t"]}}, 3))[0]
    assert after is not None
    again = RoutingTable(2, after, numbering, read)
    assert again.routes["a"] is read.routes["a"] and set(again.tenants) == {"s"}  # unchanged items are reused


Corruption = Callable[[dict[str, Any]], Any]
INVALID: dict[str, Corruption] = {  # by the expected error code
    "unknown-service": lambda body: with_value(body, "routes", 0, "splits", [{"line": "z", "share": 1}]),
    "no-weight": lambda body: with_value(body, "routes", 0, "splits", [{"line": "x", "share": 0}]),
    "no-timeout": lambda body: with_value(body, "routes", 1, "deadline_ms", 0),
    "long-timeout": lambda body: with_value(body, "routes", 1, "deadline_ms", 600_001),
    "bare-prefix": lambda body: with_value(body, "routes", 0, "prefix", "a/"),
    "no-host": lambda body: with_value(body, "routes", 0, "depot", ""),
    "shared-key": lambda body: with_value(body, "senders", 1, "stamps", ["k9", "k2"]),
    "no-service": lambda body: with_value(body, "routes", 1, "line", None),
    "twice-named": lambda body: with_value(body, "routes", 1, "name", "a"),
    "bad-type": lambda body: with_value(body, "routes", 1, "deadline_ms", "2000"),
    "cut-short": lambda body: body["routes"]["rows"][1].pop() or body,
}


@pytest.mark.parametrize("kind", INVALID)
def test_an_invalid_configuration_is_refused_with_a_code_and_a_sentence(kind: str) -> None:
    with pytest.raises(PepperrunError) as refused:
        replace_op(INVALID[kind](configuration()))
    assert refused.value.code == kind and len(refused.value.detail) > 20


def test_a_truncated_body_is_refused_and_unusual_valid_values_are_accepted() -> None:
    data = json.dumps(configuration()).encode()
    for end in range(0, len(data), 7):
        with pytest.raises(PepperrunError):
            read_replace(data[:end], 0)
    with_value(body := configuration(), "routes", 0, "deadline_ms", 600_000)
    with_value(body, "routes", 1, "splits", [])
    with_value(body, "routes", 0, "prefix", "/")
    with_value(body, "routes", 0, "splits", [{"line": "x", "share": 0}, {"line": "y", "share": 0.5}])
    with_value(body, "senders", 0, "stamps", ["k1", "k1"])
    with_value(body, "senders", 1, "stamps", [])
    del body["limits"]
    replace_op(body | {"senders": None, "remark": "anything"})
    replace_op(body)


def test_of_orders_on_the_same_edition_one_is_applied_and_repeats_get_their_answer() -> None:
    first, other = (
        replace_op(configuration(3)),
        replace_op(configuration(3, limits={"dwell_ms": 9})),
    )
    state, _ = apply(None, first)
    assert state is not None and apply(state, other)[1][0] == 412
    assert apply(state, first) == (None, Verdict(200, "Edition 3 has been taken already."))
    # The same configuration on top of edition 3 is a new order.
    assert apply(state, replace_op(configuration(3), on=3))[1][2] == "old-edition"
    frozen = copy.deepcopy(state)
    new, verdict = apply(state, up := amend_op({"edition": 9, "upsert": {"routes": ROUTES}}, 3))
    # A repeat of the first order is recognized also after a later change.
    assert verdict[0] == 200 and new is not None and apply(new, first)[1][0] == 200
    assert apply(new, amend_op({"edition": 12, "withdraw": {"routes": ["a"]}}, 3))[1][0] == 412
    # Edition 9 as a complete configuration on top of 3 is another order, whichever of the two is first.
    over = replace_op(configuration(9, routes=ROUTES), on=3)
    assert apply(new, over)[1][0] == 412 and apply(new, up)[1][0] == 200
    other_way, _ = apply(state, over)
    assert apply(other_way, up)[1][0] == 412 and apply(other_way, over)[1][0] == 200
    assert state == frozen and new["carrier_lines"] is state["carrier_lines"] and apply(new, up)[0] is None


@pytest.mark.parametrize(
    ("code", "change"),
    [
        ("unknown-service", {"withdraw": {"carrier_lines": ["y"]}}),
        (
            "unknown-service",
            {"upsert": {"routes": {**ROUTES, "rows": [["c", *ROUTES["rows"][1][1:11], "z", 0]]}}},
        ),
        ("shared-key", {"upsert": {"senders": {"columns": ["name", "stamps"], "rows": [["u", ["k3"]]]}}}),
        ("old-edition", {"edition": 3}),
    ],
)
def test_an_amendment_is_validated_by_the_resulting_configuration(code: str, change: dict[str, Any]) -> None:
    state, _ = apply(None, replace_op(configuration()))
    new, verdict = apply(state, amend_op({"edition": 4} | change, 3))
    assert new is None and verdict[0] == 400 and verdict[2] == code
    moved = {"upsert": {"senders": {"columns": ["name", "stamps"], "rows": [["u", ["k3"]]]}}}
    assert apply(state, amend_op({"edition": 4, "withdraw": {"senders": ["t"]}} | moved, 3))[1][0] == 200


def test_repeated_orders_to_begin_or_end_an_evacuation_take_effect_once() -> None:
    state, _ = apply(None, replace_op(configuration()))
    begun, verdict = apply(state, evacuation_operation("z1", True))
    assert begun and begun["evacuated"] == ["z1"] and verdict[0] == 200
    assert apply(begun, evacuation_operation("z1", True)) == (
        None,
        Verdict(200, "Zone z1 is evacuated already."),
    )
    kept, _ = apply(begun, replace_op(configuration(5), on=3))
    assert kept and kept["evacuated"] == ["z1"]
    done, _ = apply(kept, evacuation_operation("z1", False))
    assert done and done["evacuated"] == [] and apply(done, evacuation_operation("z1", False))[0] is None


class FakeNode:
    """A `NodeInterface` whose results the test sets."""

    def __init__(self) -> None:
        self.registry = EndpointRegistry(A, 1500, SECOND)
        self.is_partitioned = False
        self.verdict: Verdict | None = Verdict(200, "Taken.")
        self.is_stopping, self.orders, self.replicates, self.time = False, [], True, SECOND  # type: ignore[var-annotated]
        self.evacuation_state: dict[str, Any] = {}
        zones = {"z0": "r0", "z1": "r1"}
        me = {"station": "s", "role": "r", "ip": A, "zone": "z0", "region": "r0"}
        self.settings = parse(
            {"self": me, "network": {"sidings": [1, 2], "first_contacts": [], "zones": zones}}
        )

    def now(self) -> int:
        return self.time

    def process_pending(self) -> None: ...

    @property
    def lacks_quorum(self) -> bool:
        return self.is_partitioned

    @property
    def voter_quorum(self) -> VoterQuorum:
        return majority_of(A, B, C)

    def replicated(self, token: int) -> asyncio.Future[None]:
        return self._future(None) if self.replicates else asyncio.get_running_loop().create_future()

    def order(self, op: Operation, timeout_ns: int) -> asyncio.Future[Any]:
        async def decide() -> Any:
            for _ in range(5):
                await asyncio.sleep(0)
            return self.verdict

        self.orders.append(op)
        return asyncio.ensure_future(decide())

    def confirmed(self) -> asyncio.Future[None]:
        return self._future(None)

    @property
    def state(self) -> dict[str, Any] | None:
        state, _ = apply(None, replace_op(configuration()))
        return None if state is None else state | self.evacuation_state

    def linked_node(self) -> str | None:
        return "10.0.0.9:81"

    def control_address(self, ip: str) -> str:
        return ip + ":81"

    @staticmethod
    def _future(value: Any) -> asyncio.Future[Any]:
        future = asyncio.get_running_loop().create_future()
        future.set_result(value)
        return future


def call(node: FakeNode, method: str, target: str, body: Any = None, **headers: str) -> Answer:
    async def ask() -> Answer:
        path, query = parse_target(target.encode())
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        tree = (
            ControlApi(node).control_tree()
            if not target.startswith("/resolve")
            else ControlApi(node).directory_tree()
        )
        answer = dispatch(tree, Call(method, path, query, headers, data))
        return answer if isinstance(answer, Answer) else await answer

    return asyncio.run(ask())


HEARTBEAT = {
    "address": "10.9.0.1:80",
    "notice": {"line": "x", "edition": "v1", "zone": "z0", "berths": 2},
    "tracking": {"state": "boarding", "serial": 4, "cold_ms": 1500.0},
}


def test_calls_are_routed_to_their_handlers_or_get_an_error_status() -> None:
    node = FakeNode()
    based = {"based-on": "0"}
    assert (
        call(node, "POST", "/crew/i-7/beat", HEARTBEAT).status == 200
        and node.registry.workers["i-7"].slots == 2
    )
    assert (
        call(node, "POST", "/crew/i%2D7/leave").status == 200 and node.registry.workers["i-7"].state == "gone"
    )
    assert call(node, "POST", "/timetable/replace", configuration(), **based).status == 200
    assert call(node, "POST", "/timetable/replace", configuration()).status == 400  # no Based-On
    assert call(node, "POST", "/timetable/amend", b'{"edition":', **based).status == 400
    assert call(node, "POST", "/evacuate/z9/begin").status == 404
    assert call(node, "POST", "/evacuate/z1/begin").status == 200
    assert [one["do"] for one in node.orders] == ["replace", "evacuate"]
    assert json.loads(call(node, "GET", "/timetable/read").body)["edition"] == 3
    refused = call(node, "GET", "/crew/i-7/beat")
    assert refused.status == 405 and refused.headers == (("Allow", "POST"),)
    for target in ("/", "/crew", "/crew//beat", "/crew/i-7/beat/", "/timetable/read/x", "/resolve"):
        assert call(node, "POST", target).status in (404, 405)


def test_a_node_without_a_quorum_refuses_calls_and_a_stopping_node_redirects_them() -> None:
    node = FakeNode()
    node.is_partitioned = True
    for target in ("/crew/i-7/beat", "/crew/i-7/leave", "/evacuate/z1/begin"):
        assert call(node, "POST", target, HEARTBEAT).status == 503
    assert not node.orders and not node.registry.workers
    node.is_partitioned, node.is_stopping = False, True
    redirect = call(node, "POST", "/evacuate/z1/begin")
    assert redirect.status == 307 and redirect.headers == (
        ("Location", "http://10.0.0.9:81/evacuate/z1/begin"),
    )
    node.is_stopping, node.verdict = False, None  # type: ignore[assignment]
    assert call(node, "POST", "/evacuate/z1/begin").status == 503
    node.verdict = Verdict(503, "Too long ago to be known.", "too-old")
    unknown = call(node, "POST", "/timetable/replace", configuration(), **{"based-on": "0"})
    assert unknown.status == 503 and unknown.headers and json.loads(unknown.body)["code"] == "too-old"
    node.evacuation_state = {"evacuations": {"z7": {"begun": 1}}}  # a zone of former settings
    node.verdict = Verdict(200, "Taken.")
    assert call(node, "POST", "/evacuate/z7/finish").status == 200
    assert call(node, "GET", "/resolve?name=n&region=r0&zone=z0").status == 503
    node.registry.gateway_heartbeat(gateway("g1"), SECOND)
    answer = json.loads(call(node, "GET", "/resolve?name=n&region=r0&zone=z0").body)
    assert answer == {"addresses": ["g1:80"], "ttl_s": 2.0}


@pytest.mark.parametrize("field", ["address", "notice", "tracking"])
def test_a_malformed_heartbeat_is_refused(field: str) -> None:
    for value in (None, {}, "x", 7, []):
        with pytest.raises(PepperrunError):
            read_heartbeat("i-7", json.dumps(HEARTBEAT | {field: value}).encode())


@pytest.mark.parametrize("unsendable", ["v\ud800", "\udfffv"])
@pytest.mark.parametrize("raw", [False, True])
def test_text_that_no_message_can_carry_is_refused_with_its_call(unsendable: str, raw: bool) -> None:
    # Guards against an order with half a surrogate pair, which cut the proposing node off from all others.
    def encode(body: dict[str, Any]) -> bytes:
        return json.dumps(body, ensure_ascii=not raw).encode("utf-8", "surrogatepass")

    tenants = {"columns": ["name", "stamps", "rate_per_s"], "rows": [[unsendable, ["k9"], 5]]}
    orders = {
        "replace": configuration(senders=tenants),
        "amend": {"edition": 4, "upsert": {"senders": tenants}},
    }
    for kind, order in orders.items():
        node = FakeNode()
        answer = call(node, "POST", f"/timetable/{kind}", encode(order), **{"based-on": "3"})
        assert answer.status == 400 and not node.orders
    beat = HEARTBEAT | {"notice": {"line": "x", "edition": unsendable, "zone": "z0", "berths": 2}}
    assert call(FakeNode(), "POST", "/crew/i-7/beat", encode(beat)).status == 400


@pytest.mark.parametrize("number", [b"1e400", b"-1e400"])
def test_a_number_beyond_all_floats_is_refused(number: bytes) -> None:
    # Guards against a configuration that reads back as `Infinity`, which is no JSON.
    body = json.dumps(configuration()).encode().replace(b"null, 7]", b"null, %b]" % number)  # a later column
    assert number in body
    node = FakeNode()
    assert call(node, "POST", "/timetable/replace", body, **{"based-on": "0"}).status == 400
    assert not node.orders


@pytest.mark.parametrize(
    "address", ["a..b:80", "\0:80", "x" * 300 + ":80", ":80", "10.9.0.1:0", "10.9.0.1:65536"]
)
def test_a_heartbeat_whose_address_nobody_can_connect_to_is_refused(address: str) -> None:
    # Guards against a worker that is admitted, and whose requests wait for their whole deadline.
    node = FakeNode()
    answer = call(node, "POST", "/crew/i-7/beat", HEARTBEAT | {"address": address})
    assert answer.status == 400 and not node.registry.workers


DAMAGE = [
    *(None, True, 0, -1, 1.5, 1e308, 10**400, "", "x", "v\ud800", "\udfff", "\0", "a" * 300, "10.0.0.1:80"),
    *([], {}, [[]], [None], {"a": 1}, "a..b:80"),
]
TRUNCATED = [
    b"",
    b"{",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"\xff\xfe",
    b"9" * 5000,
    b"null",
    b'{"edition":1e400}',
]
DAMAGED_CALLS: dict[str, Any] = {
    "/timetable/replace": configuration(),
    "/timetable/amend": {"edition": 4, "upsert": {"routes": ROUTES, "senders": TENANTS}, "withdraw": {}},
    "/crew/i-7/beat": HEARTBEAT,
    "/crew/i-7/leave": {},
}


def places(value: Any) -> list[tuple[Any, Any]]:
    """Returns each container with each of its keys or indices, at any depth."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [place for key, one in inner for place in [(value, key), *places(one)]]


def damaged(body: Any) -> Iterator[bytes]:
    """Yields the body with each value at any depth replaced by each kind of damage, and bodies cut short."""
    yield from TRUNCATED
    for at in range(len(places(body))):
        for value in DAMAGE:
            copied = copy.deepcopy(body)
            container, key = places(copied)[at]
            container[key] = value
            yield json.dumps(copied).encode()


@pytest.mark.parametrize("target", DAMAGED_CALLS)
def test_damaged_calls_are_answered_and_what_is_taken_can_be_sent_on(target: str) -> None:
    # Guards against text, numbers or nesting of a call that fail only where a message is made of them.
    async def play() -> None:
        for body in damaged(DAMAGED_CALLS[target]):
            node = FakeNode()
            path, query = parse_target(target.encode())
            damaged_call = Call("POST", path, query, {"based-on": "3"}, body)
            answer = dispatch(ControlApi(node).control_tree(), damaged_call)
            status = (answer if isinstance(answer, Answer) else await answer).status
            assert status in (200, 400), body
            workers = [worker.to_row(SECOND) for worker in node.registry.workers.values()]
            assert encode({"orders": node.orders, "workers": workers}), body

    asyncio.run(play())


class RecordingTransport(asyncio.Transport):
    """A transport that records the written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.out, self.closed = b"", False

    def write(self, data: Any) -> None:
        self.out += bytes(data)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.closed = True

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


def test_the_server_answers_calls_in_order_chunked_or_not_and_closes_on_malformed_ones() -> None:
    async def play(data: bytes, size: int) -> RecordingTransport:
        server = Server(ControlApi(FakeNode()).control_tree())
        connection, transport = ClientConnection(server), RecordingTransport()
        connection.connection_made(transport)
        while data:
            view = connection.get_buffer(-1)
            chunk, data = data[: min(size, len(view))], data[min(size, len(view)) :]
            view[: len(chunk)] = chunk
            connection.buffer_updated(len(chunk))
            await asyncio.sleep(0)
        for _ in range(29):
            await asyncio.sleep(0)
        return transport

    text = json.dumps(configuration(pad="x" * 90_000)).encode()
    head = b"POST /timetable/replace HTTP/1.1\r\nHost: h\r\nBased-On: 0\r\n"
    long = head + b"Content-Length: %d\r\n\r\n" % len(text) + text
    chunks = head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(text), text)
    read = b"GET /timetable/read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    for size in (100, 4000):
        transport = asyncio.run(play(long + chunks + read, size))
        assert transport.out.count(b"HTTP/1.1 200 OK") == 3 and transport.closed
    for malformed, status in (
        (b"BLAH\r\n\r\n", b"400"),
        (head + b"Content-Length: 99999999\r\n\r\n", b"413"),
    ):
        transport = asyncio.run(play(malformed, 500))
        assert transport.out.startswith(b"HTTP/1.1 " + status) and transport.closed


@pytest.mark.parametrize("first", [b"/early", b"/late"])
def test_a_call_whose_handler_fails_is_answered_and_so_is_the_next(first: bytes) -> None:
    # Guards against a handler's exception that reached asyncio: the caller got a reset, or waited in vain.
    async def fail_late() -> Answer:
        raise ZeroDivisionError

    def fail(call: Call) -> Answer:
        raise ZeroDivisionError

    tree = any_of(
        segment("early", endpoint(fail)),
        segment("late", endpoint(lambda call: fail_late())),
        segment("good", endpoint(lambda call: Answer(200))),
    )

    async def play() -> RecordingTransport:
        connection, transport = ClientConnection(Server(tree)), RecordingTransport()
        connection.connection_made(transport)
        for target in (first, b"/early", b"/good"):
            data = b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % target
            connection.get_buffer(-1)[: len(data)] = data
            connection.buffer_updated(len(data))
        for _ in range(9):
            await asyncio.sleep(0)
        return transport

    transport = asyncio.run(play())
    assert [line[9:12] for line in transport.out.split(b"\r\n") if line.startswith(b"HTTP")] == [
        b"503",
        b"503",
        b"200",
    ]


class FakeDialer:
    """A dialer that does nothing."""

    def __init__(self, where: Any, user: Any, hello: Any) -> None:
        self.where, self.link, self.open = where, None, True

    def close(self) -> None:
        self.open = False


class FakeLink:
    """A link that does nothing."""

    def close(self) -> None: ...

    def write(self, frame: bytes) -> None: ...


def test_control_nodes_learn_of_each_other_keep_one_link_and_forget_absent_nodes() -> None:
    events: list[tuple[str, str]] = []

    class Listener:
        def peer_up(self, ip: str, zone: str) -> None:
            events.append(("up", ip))

        def peer_down(self, ip: str) -> None:
            events.append(("down", ip))

        def link_lost(self, ip: str) -> None:
            events.append(("lost", ip))

    links = PeerLinks("10.0.0.5", 7600, None, Listener(), dict, FakeDialer)  # type: ignore[arg-type]
    links.set_wanted(["10.0.0.1", "10.0.0.5"], SECOND)
    assert [one.where for one in links._dialers.values()] == [("10.0.0.1", 7600)]
    own, theirs = FakeLink(), FakeLink()
    links._dialers["10.0.0.1"].link = own
    hello = {"ip": "10.0.0.1", "zone": "z1", "cores": [["10.0.0.1", "z1"], ["10.0.0.7", "z2"]]}
    links.opened(own, hello, SECOND)  # type: ignore[arg-type]
    links.opened(theirs, hello, SECOND)  # type: ignore[arg-type]
    assert events == [("up", "10.0.0.1")] and set(links._dialers) == {"10.0.0.1", "10.0.0.7"}
    dialer = links._dialers["10.0.0.1"]
    links.maintain(2 * SECOND)
    assert dialer.open
    links.maintain(2 * SECOND, prune=True)  # the node with the lower ip dialled too: its link stays
    assert not dialer.open and "10.0.0.1" not in links._dialers
    links.closed(own, 2 * SECOND)  # type: ignore[arg-type]
    assert events[1:] == [("lost", "10.0.0.1")]
    links.closed(theirs, 3 * SECOND)  # type: ignore[arg-type]
    assert events[-1] == ("down", "10.0.0.1") and "10.0.0.1" in links._dialers
    links.maintain(FORGET_NS + 4 * SECOND, prune=True)
    assert set(links._dialers) == {"10.0.0.1"}  # which is wanted; the other was only learned from a node


def test_non_urgent_changes_are_sent_in_one_batch() -> None:
    world = World(2)
    for n in range(20):
        world.registries[A].heartbeat(heartbeat(f"w{n}", 1), None, world.now)
    world.deliver()
    world.sent.clear()
    for n in range(20):
        world.registries[A].heartbeat(heartbeat(f"w{n}", 2, cold=3 * SECOND), None, world.now)
        world.deliver()
    assert not world.sent and world.registries[A].next_tick_at() == min(
        world.now + BATCH_NS, world.registries[A].next_round_at
    )
    world.now += BATCH_NS
    world.registries[A].tick(world.now)
    world.deliver()
    assert [len(message["w"]) for _, _, message in world.sent if "w" in message] == [20]
    assert ROUND_NS > BATCH_NS


def many_routes(count: int, edition: int = 3) -> dict[str, Any]:
    """Return a complete configuration with `count` additional routes."""
    body = configuration(edition)
    more = [
        [
            f"r{at}",
            f"h{at % 9}.example",
            f"/p{at}/",
            "safe",
            1500,
            400.5,
            at % 3,
            None,
            2,
            False,
            [],
            "x",
            None,
        ]
        for at in range(count)
    ]
    body["routes"]["rows"] += more
    return body


def test_thousands_of_routes_are_read_without_dacite_and_unusual_values_with_it(monkeypatch: Any) -> None:
    conversions: list[Any] = []
    real = item_conversion.dacite.from_dict
    monkeypatch.setattr(
        item_conversion.dacite, "from_dict", lambda *args: conversions.append(args) or real(*args)
    )
    replace_op(many_routes(1400))
    assert not conversions  # they would block a control node for a fifth of a second
    unusual: list[Any] = [
        3.0,
        -1,
        1 << 60,
        10**400,
        True,
        "3",
        None,
        [],
        ["x"],
        [3],
        {},
        [{"line": "x", "share": True}],
    ]
    for kind, table in (("routes", ROUTES), ("carrier_lines", SERVICES), ("senders", TENANTS)):
        for column in table["columns"][1:]:
            for value in unusual:
                body = with_value(configuration(), kind, 0, column, value)
                item = decode_table(kind, body[kind])[body[kind]["rows"][0][0]]
                if item_conversion.conforms(ITEM_TYPES[kind], item):
                    # Dacite converts every item that conforms.
                    item_conversion.convert(ITEM_TYPES[kind], item, "item")


def test_a_complete_configuration_is_compacted_to_an_equivalent_amendment() -> None:
    state, _ = apply(None, replace_op(many_routes(300)))
    assert state is not None
    body = many_routes(300, 7)
    with_value(body, "routes", 5, "target_ms", 77)
    del body["routes"]["rows"][9:12]
    body["routes"]["rows"].append(["new", *body["routes"]["rows"][4][1:]])
    body["limits"] = {"dwell_ms": 9, "parcel_bytes": 5}
    sent = replace_op(body, 3)
    compacted = compact(state, sent)
    (new, verdict), (other, same) = apply(state, sent), apply(state, compacted)
    assert new is not None and other is not None and verdict == same
    assert digest_of(new) == digest_of(other) and other["routes"]["r20"] is state["routes"]["r20"]
    assert len(json.dumps(compacted)) < len(json.dumps(sent)) / 20
    assert (
        apply(other, compacted)[1] == apply(new, sent)[1] == Verdict(200, "Edition 7 has been taken already.")
    )
    # On another edition there is nothing to compact.
    assert compact(other, sent) is sent and compact(None, replace_op(body)) == replace_op(body)
    gone = replace_op(configuration(7, limits={}), 3)
    assert compact(state, gone) is gone  # an amendment can't remove limits


def test_the_number_of_voters_tolerates_the_losses_in_the_settings() -> None:
    zones = {f"{region}{zone}": region for region in "abc" for zone in range(3)}
    for bear, most in (
        ({"vehicles": 2, "zones": 1, "regions": 1}, 7),
        ({"vehicles": 2}, 5),
        ({"vehicles": 1}, 3),
    ):
        me = {"station": "s", "role": "control_node", "ip": "10.0.0.1", "zone": "a0", "region": "a"}
        network = {"sidings": [7600, 7610], "first_contacts": [], "postboxes": {}, "zones": zones}
        settings = parse({"self": me, "network": network, "tariffs": {"bounds": {}, "withstand": bear}})
        assert 2 * tolerated_losses(settings) + 1 == most
