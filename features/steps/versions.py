"""Pairs of versions: recorded frames against the code at hand, and that against changes of its own."""

import json
from pathlib import Path

import playing
from behave import given, then, when
from playing import CORES, MS, SIDING, START

from pepperrun.consensus import codec
from pepperrun.consensus.state import Ballot
from pepperrun.core import gossip
from pepperrun.dataplane import peer_messages
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.netstring import Decoder, encode
from pepperrun.operator import inspection
from pepperrun.storage import formats, store

OPTIONAL = {"tick": ("g",), "tock": ("cores",), "ask": ("parts", "of"), "cells": ("of",)}


@given('what version "{name}" said')
def recorded(context, name):
    file = Path(__file__).resolve().parents[1] / "recorded" / f"{name}.json"
    context.said = json.loads(file.read_text())


# Links.


@when("its hello comes on a link")
def hello_comes(context):
    context.user = playing.LinkUser()
    context.links = [playing.link(context.user)]
    context.links[0].data_received(context.said["hello"].encode())


@when("a hello comes of a later version with fields that are not known")
def later_hello(context):
    hello = Decoder().feed(context.said["hello"].encode())[0]
    context.links.append(playing.link(context.user))
    context.links[1].data_received(encode(hello | {"v": 9, "station": "s9", "speaks": ["smoke"]}))


@then("both are told as greeted")
def greeted(context):
    assert [one and one["station"] for one in context.user.hellos] == ["s1", "s9"]
    assert all(one.hello_received and one.transport.up for one in context.links)


@then("this version's hello has every field that the other reads")
def hello_fields(context):
    before, now = (
        Decoder().feed(text)[0]
        for text in (context.said["hello"].encode(), context.links[0].transport.written)
    )
    assert before.keys() <= now.keys() and all(type(now[name]) is type(before[name]) for name in before)


@when("a kind that is not known comes to a gatekeeper, to a publisher, to cells and to the agreement")
def unknown_kinds(context):
    exchange, (registries, _), cluster = (
        playing.FollowerExchange(),
        playing.registry_exchange(),
        playing.ConsensusCluster(),
    )
    odd = {"k": "smoke", "of": "pine"}
    exchange.follower.received(exchange.up, odd, START)
    exchange.core.publisher.received(exchange.down, odd, START)
    registry = registries[CORES[0]]
    registry.take_messages(START)
    registry.receive(CORES[1], odd, START)
    replica = cluster.replicas[CORES[0]]
    replica.take_messages()
    replica.receive(CORES[1], {"t": "smoke"}, cluster.now)
    context.recording_links = [exchange.up, exchange.down]
    context.answers = [
        exchange.up.take(),
        exchange.down.take(),
        registry.take_messages(START),
        replica.take_messages(),
    ]


@then("nobody is told anything and no link ends")
def nothing_told(context):
    assert context.answers == [[], [], [], []] and not any(link.closed for link in context.recording_links)


# News.


@when("its ticks, questions and rows come to a core machine")
def old_follower(context):
    core, recording_link = playing.ControlNodeSource(), playing.RecordingLink("g1")
    core.publisher.opened(recording_link, {"station": "g1", "class": "counter"}, START)
    context.answers = []
    for way, message in context.said["news"]:
        if way == "up":
            assert core.publisher.received(recording_link, message, START)
            context.answers += recording_link.take()
        elif message["k"] == "change":
            core.amend()
            context.answers += recording_link.take()
        elif message["k"] == "cells" and "of" not in message:
            core.release()
            context.answers += recording_link.take()


@then("each is answered, with every field that it was answered before")
def answered(context):
    before = [message for way, message in context.said["news"] if way == "down"]
    for kind in ("agreed", "change", "cells", "tock"):
        olds = [one for one in before if one["k"] == kind]
        news = [one for one in context.answers if one["k"] == kind]
        assert len(news) >= len(olds) > 0, (kind, olds, news)
        for old in olds:
            assert any(
                old.keys() <= new.keys() and all(type(new[name]) is type(old[name]) for name in old)
                for new in news
            ), (old, news)


@when("it is told what the core machine of that version says")
def old_core(context):
    context.follower, recording_link = playing.follower(), playing.RecordingLink("core")
    context.now = START + 30 * MS
    hello = {"k": "hello", "station": "s1", "ip": CORES[0], "zone": "a", "class": "sorting", "life": 1}
    context.follower.opened((CORES[0], SIDING), recording_link, hello, START)
    for way, message in context.said["news"]:
        if way == "down":
            if message["k"] == "tock" and message["t"] > START:
                context.follower.tick(message["t"])
            context.follower.received(recording_link, message, context.now)
    assert not recording_link.closed


@then("it holds edition {edition:d} with {routes:d} route and {workers:d} workers")
def holds(context, edition, routes, workers):
    book = context.follower.replicated
    assert (book.version, book.state["edition"], len(book.state["routes"])) == (2, edition, routes)
    assert len(book.workers) == workers and book.workers["w1"].state == "unloading"


@then("what it holds is known to be fresh")
def is_fresh(context):
    assert context.follower.replicated.confirmed_at >= START - 12 * MS


def _more(message):
    """As a later version might say it."""
    out = {name: value for name, value in message.items()} | {"smoke": ["pine"], "level": 3}
    for name in ("w", "g"):
        if isinstance(out.get(name), list) and message["k"] == "cells":
            out[name] = [[*row, "smoke"] for row in out[name]]
    if message["k"] == "tick" and "g" in out:
        out["g"] = [*out["g"], "smoke"]
    return out


def _less(message):
    """As an earlier version may have said it."""
    return {name: value for name, value in message.items() if name not in OPTIONAL.get(message["k"], ())}


def _strange(message):
    """A change that only a later version can make."""
    return message | {"op": {"do": "smoke"}} if message["k"] == "change" else message


TRANSFORMS = {
    "every message and row has more fields": _more,
    "what may be left out is left out": _less,
    "a change is of a kind that is not known": _strange,
}


@when("a gatekeeper and a core machine talk while {what}")
def talk(context, what):
    exchange = playing.FollowerExchange(TRANSFORMS[what])
    context.follower = exchange.follower
    assert not exchange.up.closed and not exchange.down.closed


# Cells.


@when("its messages come to another core machine's cells")
def old_cells(context):
    context.registry = playing.EndpointRegistry(CORES[2], 1500, START)
    context.registry.connected(CORES[0], "a", START)
    for message in context.said["cells"]:
        assert context.registry.receive(CORES[0], message, START), message


@then('worker "{worker}" is unloading and gatekeeper "{gateway}" is ready there')
def records(context, worker, gateway):
    assert context.registry.workers[worker].state == "unloading"
    assert context.registry.gateways[gateway].state == "ready"


@then("the rows of this version begin with the columns of that one")
def rows_begin(context):
    for name, now in (
        ("w", context.registry.workers["w1"].to_row(START)),
        ("g", playing.gateway_record("g1").to_row()),
    ):
        old = next(one[name][0] for one in context.said["cells"] if name in one)
        assert [type(value) for value in now[: len(old)]] == [type(value) for value in old]
    assert playing.gateway_record("g1").to_row()[: len(old)] == old


# Agreement.


@given("three core machines of which one {how}")
def trio_of(context, how):
    def adds(sender, message):
        return message | {"smoke": ["pine"], "y": 3} if sender == CORES[1] else message

    def leaves_out(sender, message):
        return {name: value for name, value in message.items() if name != "q" or sender != CORES[1]}

    context.cluster = playing.ConsensusCluster(adds if how.startswith("adds") else leaves_out)
    if how.startswith("adds"):
        for ip in (CORES[0], CORES[2]):
            context.cluster.replicas[ip].receive(CORES[1], {"t": "smoke", "s": 1}, context.cluster.now)


@when("an operator puts edition 5 at each in turn")
def puts(context):
    op = playing.read_replace(playing.body(playing.configuration()), 0)
    for ip in (CORES[1], CORES[0], CORES[2]):
        token = context.cluster.propose(ip, op)
        context.cluster.run(1000)
        assert context.cluster.verdicts[token][0] == 200, context.cluster.verdicts


@then("all three hold edition 5")
def all_hold(context):
    assert [replica.body["edition"] for replica in context.cluster.replicas.values()] == [5, 5, 5]
    assert all(
        context.cluster.now - replica.confirmed_at < 1000 * MS
        for replica in context.cluster.replicas.values()
    )


@then("each of its messages of the agreement is read, and this version says the same kinds")
def all_read(context):
    cluster = playing.ConsensusCluster()
    cluster.propose(CORES[0], playing.read_replace(playing.body(playing.configuration()), 0))
    cluster.run(3000)
    cluster.replicas[CORES[0]].request_stop(cluster.now)
    cluster.run(500)
    said = {}
    for one in cluster.log:
        said.setdefault(one["t"], []).append(one)
    for old in context.said["queen"]:
        assert json.loads(json.dumps(codec.encode(codec.decode(old)))) == old
        assert any(set(old) <= set(one) for one in said.get(old["t"], ())) or "q" in old, old


# GatewayProbeService.


@when("a prober hears the datagrams of the version before")
def old_probes(context):
    context.probes, _ = playing.probe_exchange(context.said["scouts"])


@then("it takes the other for a member that is there")
def is_there(context):
    prober = context.probes["g2"]
    assert prober.joined and not prober.suspects_itself and not prober.absent_gateways()


@then("its datagrams are the same, byte by byte, when read and written again")
def same_bytes(context):
    kinds = set()
    for _, speaker, text in context.said["scouts"]:
        codec = context.probes["g2" if speaker == "g1" else "g1"].codec
        datagram = codec.unpack(bytes.fromhex(text))
        assert datagram is not None and codec.pack(datagram).hex() == text
        kinds.add(datagram.kind)
    assert len(kinds) >= 4


# Quotas.


@when("a gatekeeper hears the counts of the version before")
def old_counts(context):
    context.with_messages, context.without_messages = (
        playing.PeerMessagesPair(context.said["hum"]),
        playing.PeerMessagesPair(receives_nothing=True),
    )


@then("it leaves less of the tenant's quota than one that hears nothing")
def leaves_less(context):
    assert context.with_messages.least_available <= context.without_messages.least_available - 0.5


@then("those counts are the same, byte by byte, when read and written again")
def same_counts(context):
    told = 0
    for _, speaker, text in context.said["hum"]:
        data = bytes.fromhex(text)
        peers = context.with_messages.peer_messages["g2" if speaker == "g1" else "g1"].peers
        tag, station, life = peer_messages.HEADER.unpack_from(data)
        message = gossip.unpack(data[peer_messages.HEADER.size :])
        assert tag == peer_messages.TAG and peers.find(station, life) is not None and message is not None
        assert gossip.pack(message) == data[peer_messages.HEADER.size :]
        told += len(message.entries)
    assert told > 5


# Operators' links.


@when("an operator of this version is shown what its processes hold")
def old_shown(context):
    context.texts = [inspection.format_reply(one) for one in context.said["shown"]]


@then("the text names each process, its number and its workers")
def text_names(context):
    core, gateway = context.texts
    assert core.startswith("s1 (sorting, zone a)") and gateway.startswith("g1 (counter, zone a)")
    assert "workers of ant: boarding 1, unloading 1" in core and "number: 1" in gateway.split("\n")
    assert "workers of ant: " in gateway and "boarding 1" in gateway


@then("this version's processes show every field that those did")
def shows_all(context):
    for old, new in zip(context.said["shown"], playing.inspection_replies(), strict=True):
        assert old.keys() <= new.keys() and all(
            type(old[name]) is type(new[name]) for name in old if None not in (old[name], new[name])
        ), (old, new)


# Disk.


@when("a core machine starts on its disk")
def old_disk(context):
    playing.restore_disk(context.said["wax"], context.folder)
    context.memory = store.DiskStore(str(context.folder), 1).load_or_create("s1", CORES[0], [])


@then("it remembers its disk id, its promise and what it had taken, and counts one start more")
def remembers(context):
    memory = context.memory
    assert (memory.disk_id, memory.starts, memory.promised) == ("first", 2, Ballot(3, "s1#1"))
    assert memory.accepted.body["edition"] == 5 and memory.chosen.value.version == 0


@when("a core machine starts on a disk of a later format")
def later_disk(context):
    known, formats.CURRENT_FORMAT = formats.CURRENT_FORMAT, formats.CURRENT_FORMAT + 1
    try:
        disk = store.DiskStore(str(context.folder), 1)
        disk.load_or_create("s1", CORES[0], CORES)
        disk.close()
    finally:
        formats.CURRENT_FORMAT = known
    context.disk = (context.folder / "data.mdb").read_bytes()
    try:
        store.DiskStore(str(context.folder), 1).load_or_create("s1", CORES[0], CORES)
    except PepperrunError as error:
        context.refused = error


@then("it refuses to start, and the disk is as it was")
def refuses(context):
    assert context.refused.code == "disk-newer"
    assert (context.folder / "data.mdb").read_bytes() == context.disk
