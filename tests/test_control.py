"""Control state: configurations and their changes, cells among core machines, control calls. Virtual time."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable
from typing import Any

import pytest
from clusters import LINES, ROUTES, SENDERS, A, World, amend, beat, cell, gateway, put, whole

from pepperrun.consensus.state import Operation, digest_of
from pepperrun.control import item_conversion
from pepperrun.control.changes import apply, compact, encode_configuration, evacuation_operation
from pepperrun.control.endpoint_registry import BATCH_NS, ROUND_NS, EndpointRegistry
from pepperrun.control.handlers import ControlApi, read_heartbeat
from pepperrun.control.item_conversion import ITEM_TYPES
from pepperrun.control.matchers import Answer, Call, dispatch, parse_target
from pepperrun.control.node import tolerated_losses
from pepperrun.control.order_codec import read_replace
from pepperrun.control.peer_links import FORGET_NS, PeerLinks
from pepperrun.control.server import ClientConnection, Server
from pepperrun.control.table_codec import decode_table
from pepperrun.control.verdict import Verdict
from pepperrun.dataplane.numbering import Numbering
from pepperrun.dataplane.routes import RoutingTable
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Bounds, parse

MS = 1_000_000
SECOND = 1000 * MS


def test_a_configuration_reads_back_as_it_was_sent_and_planes_read_the_same() -> None:
    state, verdict = apply(None, put(whole()))
    assert verdict[0] == 200 and state is not None
    back = encode_configuration(state)
    for kind in ("routes", "carrier_lines", "senders"):
        sent, told = ((set(t["columns"]), t) for t in (whole()[kind], back[kind]))
        items = [
            [{c: v for c, v in zip(t["columns"], row, strict=True) if v is not None} for row in t["rows"]]
            for _, t in (sent, told)
        ]
        assert items[0] == items[1]  # the column that nobody knows is there too
    assert back["limits"] == {"dwell_ms": 15000} and back["edition"] == 3
    assert apply({}, put(back))[0] == apply(None, put(whole()))[0] | {"taken": [[3, put(back)["digest"]]]}
    numbering = Numbering(Bounds())
    read = RoutingTable(1, state, numbering)
    splits = read.routes["a"].config.splits
    assert splits and splits[0].line == "x" and read.routes["b"].config.line == "y"
    assert (
        read.services[numbering.service_number("y")].cold_s == 0 and read.tenants["s"].config.rate_per_s == 70
    )
    after = apply(state, amend({"edition": 4, "withdraw": {"senders": ["t"]}}, 3))[0]
    assert after is not None
    again = RoutingTable(2, after, numbering, read)
    assert again.routes["a"] is read.routes["a"] and set(again.tenants) == {
        "s"
    }  # what is the same is not reread


Spoil = Callable[[dict[str, Any]], Any]
SPOILT: dict[str, Spoil] = {
    "unknown-service": lambda body: cell(body, "routes", 0, "splits", [{"line": "z", "share": 1}]),
    "no-weight": lambda body: cell(body, "routes", 0, "splits", [{"line": "x", "share": 0}]),
    "no-timeout": lambda body: cell(body, "routes", 1, "deadline_ms", 0),
    "long-timeout": lambda body: cell(body, "routes", 1, "deadline_ms", 600_001),
    "bare-prefix": lambda body: cell(body, "routes", 0, "prefix", "a/"),
    "no-host": lambda body: cell(body, "routes", 0, "depot", ""),
    "shared-key": lambda body: cell(body, "senders", 1, "stamps", ["k9", "k2"]),
    "no-service": lambda body: cell(body, "routes", 1, "line", None),
    "twice-named": lambda body: cell(body, "routes", 1, "name", "a"),
    "bad-type": lambda body: cell(body, "routes", 1, "deadline_ms", "2000"),
    "cut-short": lambda body: body["routes"]["rows"][1].pop() or body,
}


@pytest.mark.parametrize("kind", SPOILT)
def test_an_invalid_configuration_is_refused_with_its_kind_and_a_sentence(kind: str) -> None:
    with pytest.raises(PepperrunError) as refused:
        put(SPOILT[kind](whole()))
    assert refused.value.code == kind and len(refused.value.detail) > 20


def test_a_body_cut_anywhere_is_refused_and_valid_rarities_are_not() -> None:
    data = json.dumps(whole()).encode()
    for end in range(0, len(data), 7):
        with pytest.raises(PepperrunError):
            read_replace(data[:end], 0)
    cell(body := whole(), "routes", 0, "deadline_ms", 600_000)
    cell(body, "routes", 1, "splits", [])
    cell(body, "routes", 0, "prefix", "/")
    cell(body, "routes", 0, "splits", [{"line": "x", "share": 0}, {"line": "y", "share": 0.5}])
    cell(body, "senders", 0, "stamps", ["k1", "k1"])
    cell(body, "senders", 1, "stamps", [])
    del body["limits"]
    put(body | {"senders": None, "remark": "anything"})
    put(body)


def test_orders_on_the_same_edition_race_and_repeats_get_their_answer() -> None:
    first, other = put(whole(3)), put(whole(3, limits={"dwell_ms": 9}))
    state, _ = apply(None, first)
    assert state is not None and apply(state, other)[1][0] == 412
    assert apply(state, first) == (None, Verdict(200, "Edition 3 has been taken already."))
    assert apply(state, put(whole(3), on=3))[1][2] == "old-edition"  # the same, but meant as a new one
    frozen = copy.deepcopy(state)
    new, verdict = apply(state, up := amend({"edition": 9, "upsert": {"routes": ROUTES}}, 3))
    assert verdict[0] == 200 and new is not None and apply(new, first)[1][0] == 200  # also later
    assert apply(new, amend({"edition": 12, "withdraw": {"routes": ["a"]}}, 3))[1][0] == 412
    # Edition 9 on top of 3 as a whole, too: neither goes for the other, whichever was first.
    over = put(whole(9, routes=ROUTES), on=3)
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
def test_what_counts_of_an_amend_is_what_results(code: str, change: dict[str, Any]) -> None:
    state, _ = apply(None, put(whole()))
    new, verdict = apply(state, amend({"edition": 4} | change, 3))
    assert new is None and verdict[0] == 400 and verdict[2] == code
    moved = {"upsert": {"senders": {"columns": ["name", "stamps"], "rows": [["u", ["k3"]]]}}}
    assert apply(state, amend({"edition": 4, "withdraw": {"senders": ["t"]}} | moved, 3))[1][0] == 200


def test_a_zone_is_emptied_and_taken_back_once_however_often_it_is_asked() -> None:
    state, _ = apply(None, put(whole()))
    begun, verdict = apply(state, evacuation_operation("z1", True))
    assert begun and begun["evacuated"] == ["z1"] and verdict[0] == 200
    assert apply(begun, evacuation_operation("z1", True)) == (
        None,
        Verdict(200, "Zone z1 is evacuated already."),
    )
    kept, _ = apply(begun, put(whole(5), on=3))
    assert kept and kept["evacuated"] == ["z1"]
    done, _ = apply(kept, evacuation_operation("z1", False))
    assert done and done["evacuated"] == [] and apply(done, evacuation_operation("z1", False))[0] is None


class Core:
    """What the control calls need, played."""

    def __init__(self) -> None:
        self.registry = EndpointRegistry(A, 1500, SECOND)
        self.alone = False
        self.verdict: Verdict | None = Verdict(200, "Taken.")
        self.retiring, self.orders, self.held_now, self.time = False, [], True, SECOND  # type: ignore[var-annotated]
        self.emptied: dict[str, Any] = {}
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
        return self.alone

    @property
    def voter_count(self) -> int:
        return 3

    def replicated(self, token: int) -> asyncio.Future[None]:
        return self._future(None) if self.held_now else asyncio.get_running_loop().create_future()

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
        state, _ = apply(None, put(whole()))
        return None if state is None else state | self.emptied

    def other_node(self) -> str | None:
        return "10.0.0.9:81"

    def control_address(self, ip: str) -> str:
        return ip + ":81"

    @staticmethod
    def _future(value: Any) -> asyncio.Future[Any]:
        future = asyncio.get_running_loop().create_future()
        future.set_result(value)
        return future


def call(core: Core, method: str, target: str, body: Any = None, **headers: str) -> Answer:
    async def ask() -> Answer:
        path, query = parse_target(target.encode())
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        tree = (
            ControlApi(core).control_tree()
            if not target.startswith("/resolve")
            else ControlApi(core).directory_tree()
        )
        answer = dispatch(tree, Call(method, path, query, headers, data))
        return answer if isinstance(answer, Answer) else await answer

    return asyncio.run(ask())


BEAT = {
    "address": "10.9.0.1:80",
    "notice": {"line": "x", "edition": "v1", "zone": "z0", "berths": 2},
    "tracking": {"state": "boarding", "serial": 4, "cold_ms": 1500.0},
}


def test_the_tree_of_matchers_finds_who_answers_or_says_what_is_missing() -> None:
    core = Core()
    based = {"based-on": "0"}
    assert (
        call(core, "POST", "/crew/i-7/beat", BEAT).status == 200 and core.registry.workers["i-7"].slots == 2
    )
    assert (
        call(core, "POST", "/crew/i%2D7/leave").status == 200 and core.registry.workers["i-7"].state == "gone"
    )
    assert call(core, "POST", "/timetable/replace", whole(), **based).status == 200
    assert call(core, "POST", "/timetable/replace", whole()).status == 400  # no Based-On
    assert call(core, "POST", "/timetable/amend", b'{"edition":', **based).status == 400
    assert call(core, "POST", "/evacuate/z9/begin").status == 404
    assert call(core, "POST", "/evacuate/z1/begin").status == 200
    assert [one["do"] for one in core.orders] == ["replace", "evacuate"]
    assert json.loads(call(core, "GET", "/timetable/read").body)["edition"] == 3
    refused = call(core, "GET", "/crew/i-7/beat")
    assert refused.status == 405 and refused.headers == (("Allow", "POST"),)
    for target in ("/", "/crew", "/crew//beat", "/crew/i-7/beat/", "/timetable/read/x", "/resolve"):
        assert call(core, "POST", target).status in (404, 405)


def test_a_minority_takes_nothing_and_who_stops_names_another() -> None:
    core = Core()
    core.alone = True
    for target in ("/crew/i-7/beat", "/crew/i-7/leave", "/evacuate/z1/begin"):
        assert call(core, "POST", target, BEAT).status == 503
    assert not core.orders and not core.registry.workers
    core.alone, core.retiring = False, True
    moved = call(core, "POST", "/evacuate/z1/begin")
    assert moved.status == 307 and moved.headers == (("Location", "http://10.0.0.9:81/evacuate/z1/begin"),)
    core.retiring, core.verdict = False, None  # type: ignore[assignment]
    assert call(core, "POST", "/evacuate/z1/begin").status == 503
    core.verdict = Verdict(503, "Too long ago to be known.", "too-old")
    unclear = call(core, "POST", "/timetable/replace", whole(), **{"based-on": "0"})
    assert unclear.status == 503 and unclear.headers and json.loads(unclear.body)["code"] == "too-old"
    core.emptied = {"evacuations": {"z7": {"begun": 1}}}  # a zone of other settings, which was emptied
    core.verdict = Verdict(200, "Taken.")
    assert call(core, "POST", "/evacuate/z7/finish").status == 200
    assert call(core, "GET", "/resolve?name=n&region=r0&zone=z0").status == 503
    core.registry.gateway_heartbeat(gateway("g1"), SECOND)
    told = json.loads(call(core, "GET", "/resolve?name=n&region=r0&zone=z0").body)
    assert told == {"addresses": ["g1:80"], "ttl_s": 2.0}


@pytest.mark.parametrize("field", ["address", "notice", "tracking"])
def test_a_beat_that_can_not_be_meant_is_refused(field: str) -> None:
    for value in (None, {}, "x", 7, []):
        with pytest.raises(PepperrunError):
            read_heartbeat("i-7", json.dumps(BEAT | {field: value}).encode())


class Wire(asyncio.Transport):
    """A transport that keeps what is written."""

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


def test_the_server_answers_calls_in_order_chunked_or_not_and_ends_on_garbage() -> None:
    async def play(data: bytes, size: int) -> Wire:
        server = Server(ControlApi(Core()).control_tree())
        caller, wire = ClientConnection(server), Wire()
        caller.connection_made(wire)
        while data:
            view = caller.get_buffer(-1)
            some, data = data[: min(size, len(view))], data[min(size, len(view)) :]
            view[: len(some)] = some
            caller.buffer_updated(len(some))
            await asyncio.sleep(0)
        for _ in range(29):
            await asyncio.sleep(0)
        return wire

    text = json.dumps(whole(pad="x" * 90_000)).encode()
    head = b"POST /timetable/replace HTTP/1.1\r\nHost: h\r\nBased-On: 0\r\n"
    long = head + b"Content-Length: %d\r\n\r\n" % len(text) + text
    chunks = head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(text), text)
    read = b"GET /timetable/read HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    for size in (100, 4000):
        wire = asyncio.run(play(long + chunks + read, size))
        assert wire.out.count(b"HTTP/1.1 200 OK") == 3 and wire.closed
    for garbage, status in ((b"BLAH\r\n\r\n", b"400"), (head + b"Content-Length: 99999999\r\n\r\n", b"413")):
        wire = asyncio.run(play(garbage, 500))
        assert wire.out.startswith(b"HTTP/1.1 " + status) and wire.closed


class Dial:
    """A dialler that does nothing."""

    def __init__(self, where: Any, user: Any, hello: Any) -> None:
        self.where, self.link, self.open = where, None, True

    def close(self) -> None:
        self.open = False


class Plug:
    """A link's place in the mesh."""

    def close(self) -> None: ...

    def write(self, frame: bytes) -> None: ...


def test_machines_are_learnt_from_others_linked_once_and_forgotten_when_long_gone() -> None:
    told: list[tuple[str, str]] = []

    class Told:
        def peer_up(self, ip: str, zone: str) -> None:
            told.append(("up", ip))

        def peer_down(self, ip: str) -> None:
            told.append(("down", ip))

        def link_lost(self, ip: str) -> None:
            told.append(("lost", ip))

    mesh = PeerLinks("10.0.0.5", 7600, None, Told(), dict, Dial)  # type: ignore[arg-type]
    mesh.set_wanted(["10.0.0.1", "10.0.0.5"], SECOND)
    assert [one.where for one in mesh._dialers.values()] == [("10.0.0.1", 7600)]
    own, theirs = Plug(), Plug()
    mesh._dialers["10.0.0.1"].link = own
    hello = {"ip": "10.0.0.1", "zone": "z1", "cores": [["10.0.0.1", "z1"], ["10.0.0.7", "z2"]]}
    mesh.opened(own, hello, SECOND)  # type: ignore[arg-type]
    mesh.opened(theirs, hello, SECOND)  # type: ignore[arg-type]
    assert told == [("up", "10.0.0.1")] and set(mesh._dialers) == {"10.0.0.1", "10.0.0.7"}
    dialer = mesh._dialers["10.0.0.1"]
    mesh.maintain(2 * SECOND)
    assert dialer.open
    mesh.maintain(2 * SECOND, prune=True)  # the lower one dialled too: its link stays
    assert not dialer.open and "10.0.0.1" not in mesh._dialers
    mesh.closed(own, 2 * SECOND)  # type: ignore[arg-type]
    assert told[1:] == [("lost", "10.0.0.1")]
    mesh.closed(theirs, 3 * SECOND)  # type: ignore[arg-type]
    assert told[-1] == ("down", "10.0.0.1") and "10.0.0.1" in mesh._dialers
    mesh.maintain(FORGET_NS + 4 * SECOND, prune=True)
    assert set(mesh._dialers) == {"10.0.0.1"}  # which is wanted; the other was only hearsay


def test_small_changes_wait_a_moment_to_go_together() -> None:
    world = World(2)
    for n in range(20):
        world.cells[A].heartbeat(beat(f"w{n}", 1), 0, world.now)
    world.settle()
    world.sent.clear()
    for n in range(20):
        world.cells[A].heartbeat(beat(f"w{n}", 2, cold=3 * SECOND), 0, world.now)
        world.settle()
    assert not world.sent and world.cells[A].next_tick_at() == min(
        world.now + BATCH_NS, world.cells[A].next_round_at
    )
    world.now += BATCH_NS
    world.cells[A].tick(world.now)
    world.settle()
    assert [len(message["w"]) for _, _, message in world.sent if "w" in message] == [20]
    assert ROUND_NS > BATCH_NS


def many(count: int, edition: int = 3) -> dict[str, Any]:
    """A whole configuration with so many routes more."""
    body = whole(edition)
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


def test_thousands_of_routes_are_read_without_dacite_and_rarities_with_it(monkeypatch: Any) -> None:
    asked: list[Any] = []
    real = item_conversion.dacite.from_dict
    monkeypatch.setattr(item_conversion.dacite, "from_dict", lambda *args: asked.append(args) or real(*args))
    put(many(1400))
    assert not asked  # a fifth of a second of a core, in which a core machine answers nobody
    odd: list[Any] = [
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
    for kind, table in (("routes", ROUTES), ("carrier_lines", LINES), ("senders", SENDERS)):
        for column in table["columns"][1:]:
            for value in odd:
                body = cell(whole(), kind, 0, column, value)
                item = decode_table(kind, body[kind])[body[kind]["rows"][0][0]]
                if item_conversion.conforms(ITEM_TYPES[kind], item):
                    item_conversion.convert(
                        ITEM_TYPES[kind], item, "item"
                    )  # dacite converts all that conforms


def test_a_whole_configuration_goes_on_as_what_differs_and_means_the_same() -> None:
    state, _ = apply(None, put(many(300)))
    assert state is not None
    body = many(300, 7)
    cell(body, "routes", 5, "target_ms", 77)
    del body["routes"]["rows"][9:12]
    body["routes"]["rows"].append(["new", *body["routes"]["rows"][4][1:]])
    body["limits"] = {"dwell_ms": 9, "parcel_bytes": 5}
    sent = put(body, 3)
    less = compact(state, sent)
    (new, verdict), (other, same) = apply(state, sent), apply(state, less)
    assert new is not None and other is not None and verdict == same
    assert digest_of(new) == digest_of(other) and other["routes"]["r20"] is state["routes"]["r20"]
    assert len(json.dumps(less)) < len(json.dumps(sent)) / 20
    assert apply(other, less)[1] == apply(new, sent)[1] == Verdict(200, "Edition 7 has been taken already.")
    assert compact(other, sent) is sent and compact(None, put(body)) == put(
        body
    )  # on another edition: nothing to spare
    gone = put(whole(7, limits={}), 3)
    assert compact(state, gone) is gone  # what an amendment can't take away


def test_as_many_vote_as_bear_the_losses_that_are_told() -> None:
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
