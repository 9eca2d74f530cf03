"""Handover between two processes of a gatekeeper: state, quotas, connections and failures of either one."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest
from helpers import CEILED, FREE, MS, RATE, SECOND, Driver, only
from hypothesis import given
from hypothesis import strategies as st
from standins import HOST, Client, StandIn, going, line, ok, wait_then
from test_main import ROOT, SETTINGS, built, config

from pepperrun.core.interface import Outcome, Refuse, Send
from pepperrun.handover import state, wire
from pepperrun.handover.channel import Channel, bind_socket, connect, socket_path

__all__ = ["built"]  # the fixture that runs the deploy file's build

# The state, without I/O.


def driver_pair(**changes: Any) -> tuple[Driver, Driver]:
    return Driver(**changes), Driver(seed=2, **changes)


def hand_over(old: Driver, new: Driver) -> list[state.RetainedAccount]:
    """Hands the state over, encoded and decoded as on the wire; returns the retained accounts."""
    new.now = old.now
    table, kept = state.export(old.gateway, old.now)
    state.restore(new.gateway, wire.unpack(wire.pack(table)), new.now)
    return kept


def count_sent(driver: Driver, count: int, **more: Any) -> int:
    """Returns how many of `count` requests at the same moment are sent; each is answered at once."""
    sent_count = 0
    for _ in range(count):
        for send in only(driver.ask(**more), Send):
            sent_count += 1
            driver.end(send, Outcome.OK)
    return sent_count


@pytest.mark.parametrize("spread", [1, 3])
def test_spent_quota_units_stay_spent_after_a_handover(spread):
    # If buckets were copied or started full, both processes together would send twice the burst.
    old, new = driver_pair(peer_message_rate=1000.0)
    alone = Driver(peer_message_rate=1000.0)
    most = count_sent(alone, 40, plan=RATE, spread=spread)
    first = count_sent(old, 5, plan=RATE, spread=spread)
    kept = hand_over(old, new)
    assert kept
    rest = count_sent(new, 40, plan=RATE, spread=spread) + count_sent(old, 40, plan=RATE, spread=spread)
    assert 0 < first + rest <= most


def test_the_hard_rate_limit_holds_over_both_processes_and_afterwards():
    old, new = driver_pair(gateways=1, peer_messages=False)
    old.run(10 * SECOND)
    first = count_sent(old, 3, plan=CEILED)
    hand_over(old, new)
    sent_count = first + count_sent(new, 60, plan=CEILED) + count_sent(old, 60, plan=CEILED)
    plan = old.settings.plans[CEILED]
    assert sent_count <= plan.ceiling_depth
    new.run(2 * SECOND)
    old.run(2 * SECOND)
    more = count_sent(new, 60, plan=CEILED) + count_sent(old, 60, plan=CEILED)
    assert sent_count + more <= plan.ceiling_depth + 2.1 * plan.ceiling_rate + plan.ceiling_slack


def test_retained_units_that_were_not_used_are_returned_once():
    old, new = driver_pair(gateways=1, peer_messages=False)
    old.ask(plan=RATE)
    kept = hand_over(old, new)
    before = new.gateway.quotas.accounts[1].global_bucket.fill(new.now)
    state.add_remainder(new.gateway, json.loads(json.dumps(state.export_remainder(kept, old.now))), new.now)
    account = new.gateway.quotas.accounts[1]
    assert account.global_bucket.level == pytest.approx(old.settings.plans[RATE].burst - 1)
    assert account.global_bucket.level > before


def test_the_successor_continues_the_incarnation_and_the_sequence():
    old, new = driver_pair()
    old.run(3 * SECOND)
    hand_over(old, new)
    assert new.gateway.quotas.outbox.incarnation == old.gateway.quotas.outbox.incarnation
    assert new.gateway.quotas.outbox.sequence >= old.gateway.quotas.outbox.sequence > 0
    old_rates = [a.global_bucket.rate for a in old.gateway.quotas.accounts.values()]
    assert not any(old_rates)


def test_requests_waiting_in_the_predecessor_are_still_sent():
    old, new = driver_pair(backends=1, gateways=1, peer_messages=False)
    actions = [action for _ in range(20) for action in old.ask(plan=FREE)]
    sends = only(actions, Send)
    assert len(sends) < 20
    hand_over(old, new)
    while sends:
        sends = only(old.end(sends.pop(0), Outcome.OK) + old.run(5 * MS), Send) + sends
    assert not old.gateway.scheduler.waiting and not only(old.actions, Refuse)


def test_after_the_successor_ended_buckets_refill_under_a_new_incarnation():
    old, new = driver_pair(gateways=1, peer_messages=False)
    count_sent(old, 40, plan=RATE)
    kept = hand_over(old, new)
    old.run(2 * SECOND)
    assert count_sent(old, 5, plan=RATE) == 0  # buckets do not refill while the successor decides
    state.resume(old.gateway, kept, old.now)
    old.run(SECOND)
    assert 1 <= count_sent(old, 40, plan=RATE) <= 11
    assert old.gateway.quotas.outbox.incarnation > new.gateway.quotas.outbox.incarnation


def count_sent_to(driver: Driver, count: int, backend: int) -> int:
    """Returns how many of `count` requests, each answered at once, are sent to one backend."""
    sent_count = 0
    for _ in range(count):
        for send in only(driver.ask(), Send):
            sent_count += send.backend == backend
            driver.end(send, Outcome.OK)
    return sent_count


def test_a_restarted_worker_stays_in_slow_start_for_the_successor():
    # The endpoint list does not show the restart yet: only the predecessor has observed it.
    old, new = driver_pair(backends=3, gateways=1, peer_messages=False)
    send = only(old.ask(), Send)[0]
    old.end(send, Outcome.CONNECT_FAILED)
    restarted = send.backend
    old.run(9 * SECOND)  # its failure score decays, and it gets requests again
    for _ in range(200):
        for one in only(old.ask(), Send):
            old.end(one, Outcome.OK)
    assert old.gateway.fleet.capacity_share(old.gateway.fleet.servers[restarted], old.now) < 1
    kept = hand_over(old, new)
    assert kept and new.gateway.fleet.capacity_share(new.gateway.fleet.servers[restarted], new.now) < 1
    fresh = Driver(seed=2, backends=3, gateways=1, peer_messages=False)
    assert count_sent_to(new, 300, restarted) < 0.9 * count_sent_to(fresh, 300, restarted)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("form", 2),
        ("at", 0),
        ("at", "now"),
        ("start", True),
        ("counted", float("nan")),
        ("typical", [1.0]),
        ("tail", 0.1),
        ("depth", 1e9),
        ("accounts", [{}]),
        ("accounts", {"1": 1}),
        ("backends", [[1, 2]]),
        ("news", [[1, 99, 0.5, 0]]),
        ("incarnation", -1),
        ("peers", [[77, 1, 1, 0]]),
    ],
)
def test_an_invalid_state_changes_nothing(key, value):
    old, new = driver_pair()
    old.ask(plan=RATE)
    new.now = old.now
    table, _ = state.export(old.gateway, old.now)
    before = (new.gateway.quotas.started_at, new.gateway.limiter.depth, new.gateway.quotas.outbox.incarnation)
    with pytest.raises(ValueError):
        state.restore(new.gateway, table | {key: value}, new.now)
    with pytest.raises(ValueError):
        state.restore(new.gateway, {name: part for name, part in table.items() if name != key}, new.now)
    after = (new.gateway.quotas.started_at, new.gateway.limiter.depth, new.gateway.quotas.outbox.incarnation)
    assert before == after and not new.gateway.quotas.accounts


def test_a_state_with_excessive_levels_grants_no_more_than_full_buckets():
    old, new = driver_pair(gateways=1, peer_messages=False)
    old.ask(plan=CEILED)
    table, _ = state.export(old.gateway, old.now)
    table["accounts"][0]["stores"] = [1e9, 1e9, 1e9]
    new.now = old.now
    state.restore(new.gateway, table, new.now)
    assert count_sent(new, 60, plan=CEILED) <= old.settings.plans[CEILED].ceiling_depth


# Messages.


@given(st.binary(max_size=200))
def test_each_decoder_rejects_malformed_data(data):
    for reader in (wire.decode, wire.decode_client, wire.unpack):
        try:
            reader(data)
        except ValueError:
            continue
        assert reader is not wire.unpack


@given(st.integers(0, 2**40), st.binary(max_size=500))
def test_a_connection_snapshot_survives_encoding_and_decoding(since, held):
    kind, body = wire.decode(wire.encode_client((3, 2, since, held, since if held else 0)))
    assert kind is wire.MessageKind.CLIENT_CONNECTION
    assert wire.decode_client(body) == (3, 2, since, held, since if held else 0)


@given(st.integers(0, 200_000), st.integers(0, 2**32))
def test_a_state_is_assembled_completely_or_not_at_all(size, seed):
    table = {"text": random.Random(seed).randbytes(size).hex()}
    messages = [wire.decode(message) for message in wire.state_messages(table)]
    assembler = wire.StateAssembler()
    for _, body in messages[:-1]:
        assembler.add(body)
    assert assembler.finish(messages[-1][1]) == table
    incomplete = wire.StateAssembler()
    for _, body in messages[:-2]:
        incomplete.add(body)
    with pytest.raises(ValueError):
        incomplete.finish(messages[-1][1])


def test_a_channel_carries_descriptors_and_closes_those_it_can_not_send(tmp_path):
    async def test():
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        received: asyncio.Queue[tuple[bytes, int | None]] = asyncio.Queue()
        lost = asyncio.Event()
        one = Channel(loop, near, lambda *what: None, lambda: None)
        other = Channel(loop, far, lambda data, fd: received.put_nowait((data, fd)), lost.set)
        reader, writer = os.pipe()
        one.send(b"here", os.dup(writer))
        data, fd = await received.get()
        assert data == b"here" and fd is not None
        os.write(fd, b"x")
        assert os.read(reader, 1) == b"x"
        os.close(fd)
        one.close()
        await lost.wait()
        spare = os.dup(writer)
        one.send(b"late", spare)
        with pytest.raises(OSError):
            os.fstat(spare)
        other.close()
        os.close(reader)
        os.close(writer)

    going(test)


def test_a_socket_file_left_by_a_killed_process_is_replaced(tmp_path):
    path = socket_path(str(tmp_path), "n/../0")
    assert path.parent == tmp_path
    bind_socket(path).close()  # the socket file stays, as after SIGKILL
    assert connect(path) is None
    sock = bind_socket(path)
    link = connect(path)
    assert link is not None and (path.stat().st_mode & 0o777) == 0o600
    link.close()
    sock.close()
    with pytest.raises(ValueError, match="too long"):
        socket_path("/" + "x" * 100, "n0")


# Real processes.

SMALL_QUOTA = SETTINGS | {"Tariffs": [{"Name": "wide", "Refill": 0.001, "StoreSize": 10.0}]}
LARGE_QUOTA = SETTINGS | {"Tariffs": [{"Name": "wide", "Refill": 1e6, "StoreSize": 1e6}]}


class Node:
    """Processes of one gatekeeper that share the clients' listening socket and the handover folder."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.folder, self.changes = folder, changes
        self.sock = socket.create_server((HOST, 0), backlog=128)
        self.port = self.sock.getsockname()[1]
        peers = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peers.bind((HOST, 0))
        self.peers = f"{HOST}:{peers.getsockname()[1]}"
        peers.close()
        self.count = 0
        self.logs: dict[int, list[str]] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, fd: str | None = None) -> tuple[asyncio.subprocess.Process, int]:
        """Starts another process; returns the process and the port of its admin address."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.count += 1
        path = self.folder / f"{self.count}.json"
        mine = {"listen": f"{HOST}:{self.port}", "admin": f"{HOST}:0", "peer_listen": self.peers}
        path.write_text(json.dumps(config(**(mine | {"peers": [self.peers]} | self.changes))))
        number = self.sock.fileno()
        env = os.environ | {"NODE_CONFIG": str(path), "TMPDIR": str(self.folder)}
        env["NODE_INHERITED_FD"] = str(number) if fd is None else fd
        process = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", run), cwd=ROOT, env=env, stderr=subprocess.PIPE, pass_fds=[number]
        )
        lines = self.logs[process.pid] = []
        found: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        async def read() -> None:
            assert process.stderr is not None
            while text := (await process.stderr.readline()).decode():
                lines.append(text)
                if "accepting operator commands at" in text and not found.done():
                    found.set_result(int(text.rsplit(":", 1)[1]))
            if not found.done():
                found.set_result(0)

        self.tasks.append(asyncio.create_task(read()))
        return process, await found

    def has_logged(self, process: asyncio.subprocess.Process, text: str) -> bool:
        return any(text in one for one in self.logs[process.pid])

    async def wait_for_log(self, process: asyncio.subprocess.Process, text: str) -> None:
        while not self.has_logged(process, text):
            await asyncio.sleep(0.01)


async def start_worker_and_node(folder: Path, step: Any, **changes: Any) -> tuple[StandIn, Node]:
    """Returns a stand-in worker and a gatekeeper whose endpoint list has only this worker."""
    worker = await StandIn(step).start()
    known = {"version": 3, "full": True, "servers": [line("w", worker.port)]}
    return worker, Node(folder, known=known, **changes)


async def readyz(port: int) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b"readyz\n")
    answer = await reader.read()
    writer.close()
    return answer


def echo_call_id(count: dict[bytes, int]) -> Any:
    """Returns a worker's handler that counts how often each call id arrives and answers with the id."""

    async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = server.heads[-1]
        name = next(x for x in head.split(b"\r\n") if x.lower().startswith(b"x-call-id")).split(b": ")[1]
        count[name] = count.get(name, 0) + 1
        await asyncio.sleep(0.002)
        writer.write(ok(name))

    return step


def test_a_handover_under_load_rejects_resets_and_repeats_no_request(tmp_path):
    # Persistent connections are handed over with the bytes read; who accepted a request answers it.
    async def test():
        count: dict[bytes, int] = {}
        _, node = await start_worker_and_node(tmp_path, echo_call_id(count), settings=LARGE_QUOTA)
        old, admin = await node.start()
        assert await readyz(admin) == b"done\n"
        stop, asked = asyncio.Event(), [0]

        async def client(number: int) -> None:
            link = await Client.to(node.port)
            turn = 0
            while not stop.is_set():
                turn += 1
                name = f"{number}-{turn}"
                link.ask(X_Call_Id=name)
                if turn % 5 == 0:  # a request in two parts, the first of which may arrive before the handover
                    await asyncio.sleep(0.001)
                status, fields, body = await link.answer()
                assert (status, body) == (200, name.encode())
                asked[0] += 1
                if fields.get("connection") == "close":
                    link = await Client.to(node.port)

        clients = [asyncio.create_task(client(number)) for number in range(12)]
        for _ in range(3):
            await asyncio.sleep(0.3)
            new, admin = await node.start()
            assert await readyz(admin) == b"done\n"
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            assert node.has_logged(new, "took over")
            old = new
        stop.set()
        await asyncio.gather(*clients)
        assert len(count) == asked[0] and set(count.values()) == {1}
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0

    going(test)


def test_a_connection_is_handed_over_with_a_partial_request(tmp_path):
    async def test():
        _, node = await start_worker_and_node(tmp_path, ok(b"answer"))
        old, _ = await node.start()
        half = await Client.to(node.port)
        half.writer.write(b"GET /search?customer=0000000000000007 HTTP/1.1\r\nHost: h\r\nX-Call-")
        idle = await Client.to(node.port)
        idle.ask()
        assert (await idle.answer())[0] == 200
        new, _ = await node.start()
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        half.writer.write(b"Id: 7\r\nX-Plan: wide\r\n\r\n")
        idle.ask()
        for one in (half, idle):
            assert (await one.answer())[::2] == (200, b"answer")
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0

    going(test)


def test_a_customers_quota_is_not_exceeded_over_the_two_processes(tmp_path):
    async def test():
        _, node = await start_worker_and_node(tmp_path, ok(b"answer"), settings=SMALL_QUOTA)
        old, _ = await node.start()
        statuses = []

        async def ask(times: int) -> None:
            for _ in range(times):
                client = await Client.to(node.port)
                client.ask()
                statuses.append((await client.answer())[0])

        await ask(6)
        new, _ = await node.start()
        await ask(8)
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        await ask(8)
        assert statuses[:6] == [200] * 6 and 9 <= statuses.count(200) <= 10
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0

    going(test)


def test_the_predecessor_resumes_when_the_successor_is_killed_after_reporting_ready(tmp_path):
    async def test():
        _, node = await start_worker_and_node(tmp_path, ok(b"answer"))
        old, admin = await node.start()
        new, second = await node.start()
        assert await readyz(second) == b"done\n" and (await readyz(admin)).startswith(b"error")
        new.kill()
        await new.wait()
        await node.wait_for_log(old, "resumed serving")
        assert await readyz(admin) == b"done\n"
        client = await Client.to(node.port)
        client.ask()
        assert (await client.answer())[0] == 200
        third, _ = await node.start()  # the predecessor can be replaced again
        await node.wait_for_log(third, "took over")
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        third.send_signal(signal.SIGTERM)
        assert await third.wait() == 0

    going(test)


def test_the_predecessor_resumes_when_the_successor_ends_before_reporting_ready(tmp_path):
    async def test():
        _, node = await start_worker_and_node(tmp_path, ok(b"answer"))
        old, admin = await node.start()
        link = connect(socket_path(str(tmp_path), "n0"))
        assert link is not None
        link.send(wire.encode(wire.MessageKind.REQUEST_STATE))
        await node.wait_for_log(old, "sent the state")
        assert (await readyz(admin)).startswith(b"error")
        client = await Client.to(node.port)  # waits in the backlog of the shared socket
        client.ask()
        link.close()
        assert (await client.answer())[0] == 200
        assert await readyz(admin) == b"done\n"
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0

    going(test)


def test_malformed_messages_at_the_handover_socket_change_nothing(tmp_path):
    async def test():
        node = Node(tmp_path)
        old, admin = await node.start()
        for message in (b"\x01", b"\x01\x63", b"\xff\x01", b"\x05\x01", b"\x07\x01abcdefgh"):
            link = connect(socket_path(str(tmp_path), "n0"))
            assert link is not None
            link.send(message)
            link.close()
            assert await readyz(admin) == b"done\n"
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0

    going(test)


@pytest.mark.parametrize("answer", [None, b"\x03\x01" + bytes(32), b"\x02\x01garbage", b"\x02\x63x"])
def test_a_predecessor_that_hangs_or_sends_invalid_messages_does_not_prevent_the_start(tmp_path, answer):
    async def test():
        path = socket_path(str(tmp_path), "n0")
        sock = bind_socket(path)
        node = Node(tmp_path)
        loop = asyncio.get_running_loop()
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)  # still has the peers' address in use
        other.bind((HOST, int(node.peers.rsplit(":", 1)[1])))
        task = asyncio.create_task(node.start())
        link, _ = await loop.sock_accept(sock)
        if answer is not None:
            link.send(answer)
        new, admin = await task
        assert await readyz(admin) == b"done\n"
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0
        link.close()
        sock.close()
        other.close()

    going(test)


@pytest.mark.parametrize("fd", ["four", "-1", "99", "0x4", "2"])
def test_an_invalid_inherited_descriptor_ends_the_start_with_exit_code_2(tmp_path, fd):
    async def test():
        node = Node(tmp_path)
        process, _ = await node.start(fd)
        assert await process.wait() == 2
        await asyncio.gather(*node.tasks)
        assert node.logs[process.pid][-1].startswith("pepperrun: NODE_INHERITED_FD:")

    going(test)


def test_a_successor_that_reports_ready_late_takes_over_with_a_new_state(tmp_path):
    # A successor may be short of processor time at its start. Meanwhile clients are served and no connection
    # is closed.
    async def test():
        _, node = await start_worker_and_node(tmp_path, ok(b"answer"), settings=SMALL_QUOTA)
        old, admin = await node.start()
        idle = await Client.to(node.port)
        idle.ask()
        assert (await idle.answer())[0] == 200
        loop = asyncio.get_running_loop()
        link = connect(socket_path(str(tmp_path), "n0"))
        assert link is not None
        received: asyncio.Queue[tuple[bytes, int | None]] = asyncio.Queue()
        lost = asyncio.Event()
        late = Channel(loop, link, lambda data, fd: received.put_nowait((data, fd)), lost.set)

        async def receive_state() -> list[float]:
            assembler = wire.StateAssembler()
            while True:
                data, fd = await received.get()
                if fd is not None:
                    os.close(fd)
                kind, body = wire.decode(data)
                if kind is wire.MessageKind.STATE_CHUNK:
                    assembler.add(body)
                elif kind is wire.MessageKind.STATE_END:
                    return assembler.finish(body)["gateway"]["accounts"][0]["stores"]

        late.send(wire.encode(wire.MessageKind.REQUEST_STATE))
        first = await receive_state()
        await node.wait_for_log(old, "resumed serving until it is")
        assert await readyz(admin) == b"done\n"
        idle.ask()  # on the connection that was paused
        assert (await idle.answer())[0] == 200
        late.send(wire.encode(wire.MessageKind.READY))
        second = await receive_state()
        assert sum(first) > 0 and second[0] < first[0]
        while wire.decode((message := await received.get())[0])[0] is not wire.MessageKind.CLIENT_CONNECTION:
            if message[1] is not None:
                os.close(message[1])
        assert message[1] is not None
        os.close(message[1])
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        late.close()

    going(test)


def test_without_a_successor_a_connection_closes_only_after_its_next_response(tmp_path):
    async def test():
        _, node = await start_worker_and_node(tmp_path, ok(b"answer"))
        old, _ = await node.start()
        kept = await Client.to(node.port)
        kept.ask()
        assert (await kept.answer())[0] == 200
        old.send_signal(signal.SIGTERM)
        await node.wait_for_log(old, "draining")
        kept.ask()
        status, fields, _ = await kept.answer()
        assert (status, fields["connection"]) == (200, "close")
        assert await old.wait() == 0

    going(test)


def test_the_predecessor_ends_when_the_successor_dies_during_the_handover(tmp_path):
    async def test():
        worker, node = await start_worker_and_node(tmp_path, wait_then(ok(b"answer")))
        old, _ = await node.start()
        client = await Client.to(node.port)
        client.ask()
        await worker.arrived.get()
        new, _ = await node.start()
        await node.wait_for_log(old, "the successor is ready")
        old.send_signal(signal.SIGTERM)
        await node.wait_for_log(old, "draining")
        new.kill()
        await new.wait()
        worker.go.set()
        status, _, body = await client.answer()  # the predecessor answers the request it had accepted
        assert (status, body) == (200, b"answer")
        assert await old.wait() == 0

    going(test)
