"""Parked connections on real sockets: nothing is lost, duplicated, early or stuck when things go wrong."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import random
import resource
import signal
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator

import pytest
from standins import HOST, MS, SECOND, Client, Front, StandIn, going, line, ok, wait_then
from test_main import config as main_config
from test_main import line_with

from pepperrun.fronts.http_connection import HttpConnection
from pepperrun.net.listener import Listener
from pepperrun.parking import manager as manager_module
from pepperrun.parking.config import read_clients
from pepperrun.parking.connection_table import EvictionRank, State
from pepperrun.parking.listener import ParkingListener
from pepperrun.parking.manager import ParkingManager

HEALTH = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"


class ParkingFront(Front):
    """The gatekeeper of the other tests with a parking manager for its connections."""

    def __init__(self, here: int = 1000, **changes: object) -> None:
        super().__init__()
        self.listener.close()
        self.clock_offset = 0
        given = {"idle_s": 100, "park_after_s": 0.02, "most": 1000} | changes
        loop = asyncio.get_running_loop()
        self.parking = ParkingManager(loop, self.now, read_clients(json.dumps(given)), here)
        self.platform.clock = self.gatekeeper.clock = self.side.clock = self.now
        self.listener: Listener = ParkingListener(loop, self.now, self.parking, self.platform.new_connection)
        self.listener.open((HOST, 0))

    def now(self) -> int:
        return self.clock() + self.clock_offset

    async def until(self, parked: int | None = None, total: int | None = None) -> None:
        while parked not in (None, self.parking.table.parked_count) or total not in (
            None,
            self.parking.total(),
        ):
            await asyncio.sleep(0.001)

    def advance(self, span: int) -> None:
        """Moves the front's clock and runs the due timers; the loop's own timer would wait for real time."""
        self.clock_offset += span
        self.parking._on_timer()


@contextlib.asynccontextmanager
async def parking_front(**changes: object) -> AsyncIterator[ParkingFront]:
    front = ParkingFront(**changes)
    worker = await StandIn(ok()).start()
    front.list(line("w", worker.port))
    try:
        yield front
    finally:
        front.listener.close()
        front.parking.close()
        await worker.stop()


async def served(client: Client, **more: str) -> None:
    client.ask(**more)
    assert (await client.answer())[0] == 200


def reset(client: Client) -> None:
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


def test_a_connection_parks_between_requests_and_has_the_same_state_when_resumed():
    async def test():
        async with parking_front() as front:
            client = await front.client()
            await front.until(parked=1)
            assert not front.listener.clients  # neither transport nor protocol is left
            for rank in (EvictionRank.ONE_EXCHANGE, EvictionRank.MORE_EXCHANGES, EvictionRank.MORE_EXCHANGES):
                await served(client)
                await front.until(parked=1)
                (fd,) = front.parking.table.eviction_order.members(rank)
                assert not front.listener.clients and not front.parking.clients
            client.ask("confirm")
            while not front.listener.clients:
                await asyncio.sleep(0)
            (resumed,) = front.listener.clients
            assert isinstance(resumed, HttpConnection)
            assert resumed.peer_address() == HOST.encode() and not resumed.never_answered()
            assert (await client.answer())[0] == 200

    going(test)


def test_input_between_the_last_read_and_parking_is_served_in_order():
    async def test():
        async with parking_front(park_after_s=10) as front:
            client = await front.client()
            await served(client)
            ((fd, active),) = front.parking.clients.items()
            # The gatekeeper has not read this input: the loop has not run since it was written.
            sock = client.writer.get_extra_info("socket")
            os.write(sock.fileno(), HEALTH + HEALTH.replace(b"/ready", b"/nowhere") + HEALTH[:9])
            assert front.parking._park(fd, active)
            assert not front.listener.clients
            assert [(await client.answer())[0] for _ in range(2)] == [200, 404]

    going(test)


def test_pipelined_requests_are_answered_in_order_and_not_lost_by_parking():
    async def test():
        async with parking_front(park_after_s=0) as front:
            client = await front.client()
            await front.until(parked=1)
            for _ in range(5):
                client.ask()
                client.writer.write(HEALTH)
            for _ in range(5):
                assert (await client.answer())[2] == b"fine"
                assert (await client.answer())[2] == b"ready\n"

    going(test)


def test_a_partial_request_parks_with_its_bytes_and_times_out_from_its_first_byte():
    async def test():
        async with parking_front(request_s=5) as front:
            client, slow = await front.client(), await front.client()
            for one in (client, slow):
                one.writer.write(HEALTH[:7])
            table = front.parking.table
            while [buffered for buffered, _ in table.partial_requests.values()] != [HEALTH[:7]] * 2:
                await asyncio.sleep(0.001)
            client.writer.write(HEALTH[7:12])
            # Parked again with more.
            while HEALTH[:12] not in [buffered for buffered, _ in table.partial_requests.values()]:
                await asyncio.sleep(0.001)
            began = min(at for _, at in front.parking.table.partial_requests.values())
            client.writer.write(HEALTH[12:])
            assert (await client.answer())[0] == 200
            await front.until(parked=2)
            front.advance(began + 5 * SECOND - front.now() - 2 * MS)
            assert front.parking.table.parked_count == 2  # not early
            front.advance(25 * MS)
            assert (await slow.answer())[0] == 408 and await slow.ended()
            assert front.parking.table.parked_count == 1

    going(test)


def test_a_parked_connection_that_closes_or_resets_is_removed_and_its_descriptor_reused():
    async def test():
        async with parking_front() as front:
            clients = [await front.client() for _ in range(6)]
            await served(clients[0])
            await front.until(parked=6)
            for client in clients[1:4]:
                client.writer.close()
            reset(clients[4])
            await front.until(total=2)
            assert front.parking.sockets.closed_by_client == 4
            more = [await front.client() for _ in range(4)]  # the same descriptor numbers again
            await front.until(parked=6)
            for client in [clients[0], clients[5], *more]:
                await served(client)

    going(test)


def test_a_reused_descriptor_is_not_taken_for_the_waiting_connection_that_had_it():
    async def test():
        async with parking_front() as front:
            first, late = await front.client(), socket.socket()
            late.setblocking(False)
            await front.until(parked=1)
            (fd,) = front.parking.table.eviction_order.members(EvictionRank.NEVER_ANSWERED)
            # The connection waits to be resumed, and ends before its turn.
            front.parking.sockets.on_readable(fd, front.now())
            front.parking.sockets.close(fd)
            assert late.connect_ex(front.listener.address) in (0, errno.EINPROGRESS)
            second = Client(*await asyncio.open_connection(sock=late))
            await front.until(parked=1)
            assert list(front.parking.table.eviction_order.members(EvictionRank.NEVER_ANSWERED)) == [fd]
            assert front.parking.table.resume_next() is None  # the queue entry was of the first connection
            await served(second)
            assert await first.ended()

    going(test)


def test_hundreds_of_connections_that_wake_at_once_are_served_a_few_at_a_time():
    async def test():
        async with parking_front(most_asking=8, park_after_s=10) as front:
            clients = [await front.client() for _ in range(300)]
            await front.until(parked=300)
            max_active = 0
            for client in clients:
                client.ask()
            answers = asyncio.gather(*(client.answer() for client in clients))
            while not answers.done():
                max_active = max(max_active, front.parking.table.active_count)
                await asyncio.sleep(0)
            assert {status for status, _, _ in await answers} == {200} and max_active == 8

    going(test)


def test_the_budget_of_a_waiting_request_starts_when_its_connection_wakes():
    async def test():
        front = ParkingFront(most_asking=1)
        worker = await StandIn(wait_then(ok())).start()
        front.list(line("w", worker.port))
        first, second = await front.client(), await front.client()
        first.ask()
        await worker.arrived.get()
        second.ask(budget="500m")
        while not front.parking.table.readable_at:
            await asyncio.sleep(0)
        front.clock_offset += 600 * MS  # the first request is still in flight
        worker.go.set()
        assert (await first.answer())[0] == 200
        assert (await second.answer())[0] == 504 and len(worker.heads) == 1  # timed out, and not forwarded
        front.listener.close()
        front.parking.close()

    going(test)


def test_timers_due_together_fire_in_bounded_turns_also_after_the_clock_steps_back():
    async def test():
        async with parking_front(idle_s=50, first_byte_s=10) as front:
            clients = [await front.client() for _ in range(200)]
            await front.until(parked=200)
            newest = max(front.parking.table.last_used_at)
            front.parking.sockets.budget.max_items = 16
            front.advance(-5 * SECOND)
            front.advance(newest + 9 * SECOND - front.now())
            assert front.parking.table.parked_count == 200
            front.advance(newest + 10 * SECOND + 20 * MS - front.now())
            assert front.parking.table.parked_count == 200 - 16
            assert all(await asyncio.gather(*(client.ended() for client in clients)))
            assert front.parking.sockets.expired == 200 and front.parking.total() == 0

    going(test)


def test_at_the_limit_unused_connections_are_evicted_first_and_frequent_users_last():
    async def test():
        async with parking_front(most=8, most_asking=4, give_way_after_s=0) as front:
            often, once, health = [await front.client() for _ in range(3)]
            for client in (often, often, once):
                await served(client)
            health.writer.write(HEALTH)
            assert (await health.answer())[0] == 200
            await front.until(parked=3)
            unused = [await front.client() for _ in range(5)]
            await front.until(parked=8)
            flood = [await front.client() for _ in range(6)]
            assert all(await asyncio.gather(*(client.ended() for client in unused)))
            for client in (flood[-1], health, once, often):
                await served(client)
            assert front.parking.total() <= 8

    going(test)


def test_without_descriptors_active_requests_are_answered_and_accepting_goes_on(monkeypatch):
    async def test():
        front = ParkingFront(give_way_after_s=0)
        worker = await StandIn(wait_then(ok())).start()
        front.list(line("w", worker.port))
        active = [await front.client() for _ in range(3)]
        for client in active:
            client.ask()
            await worker.arrived.get()
        idle = [await front.client() for _ in range(20)]
        await front.until(total=23)
        # The client's end is made before the limit is lowered; then accept finds no free descriptor.
        late = socket.socket()
        late.setblocking(False)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        errors: list[str] = []
        monkeypatch.setattr("pepperrun.parking.listener.log_message", lambda kind, text: errors.append(text))
        resource.setrlimit(resource.RLIMIT_NOFILE, (late.fileno() + 1, hard))
        try:
            spare = []
            with contextlib.suppress(OSError):
                while True:
                    spare.append(os.dup(0))
            late.connect_ex(front.listener.address)
            while not errors:
                await asyncio.sleep(0.001)
            assert os.strerror(errno.EMFILE) in errors[0]
            await front.until(total=4)  # the idle ones were evicted, and the new one was accepted
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for fd in spare:
                os.close(fd)
        worker.go.set()
        assert [(await client.answer())[0] for client in active] == [200] * 3
        assert all(await asyncio.gather(*(client.ended() for client in idle)))
        late.close()
        front.listener.close()
        front.parking.close()

    going(test)


def test_a_drain_closes_parked_connections_and_answers_requests_that_still_come():
    async def test():
        async with parking_front() as front:
            done = [await front.client() for _ in range(100)]
            for client in done:
                await served(client)
            fresh = [await front.client() for _ in range(50)]
            await front.until(parked=150)
            drain = asyncio.create_task(front.listener.drain(0.2, 0.1))
            assert all(await asyncio.gather(*(client.ended() for client in done)))
            assert front.parking.table.parked_count == 50  # they may be about to send a request
            new = await front.client()  # connections are still accepted
            for client in (*fresh[:25], new):
                client.ask()
            answers = await asyncio.gather(*(client.answer() for client in (*fresh[:25], new)))
            assert {(status, fields["connection"]) for status, fields, _ in answers} == {(200, "close")}
            await drain
            assert all(await asyncio.gather(*(client.ended() for client in fresh)))
            await front.until(total=0)

    going(test)


def test_holders_hold_idle_connections_and_return_those_with_input():
    async def test():
        async with parking_front(here=40, holders=2, give_way_after_s=0) as front:
            clients = [await front.client() for _ in range(200)]
            await front.until(total=200)
            assert front.parking.holders is not None
            while len(front.parking.table) > 30:
                await asyncio.sleep(0.001)
            assert front.parking.holders.connection_count() == 200 - len(front.parking.table)
            for client in clients[
                ::3
            ]:  # some here and some in each holder are served, and go back to a holder
                await served(client)
            clients[0].writer.write(HEALTH[:5])  # a partial request is returned, and its rest comes later
            await asyncio.sleep(0.05)
            clients[0].writer.write(HEALTH[5:])
            assert (await clients[0].answer())[0] == 200
            clients[1].writer.close()
            reset(clients[2])
            await front.until(total=198)
            # A holder dies: only its connections end, and another holder replaces it.
            victim = front.parking.holders.holders[0]
            lost = victim.connection_count()
            victim.process.kill()
            while front.parking.holders.lost_count == 0:
                await asyncio.sleep(0.001)
            assert 0 < lost == front.parking.holders.lost_count and front.parking.total() == 198 - lost
            while len(front.parking.holders.holders) < 2:
                await asyncio.sleep(0.01)
            alive = 0
            for client in clients[3:]:
                client.writer.write(HEALTH)
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    alive += (await client.answer())[0] == 200
            assert 0 < alive <= 197 - lost + 1
            # A drain with connections in holders: requests are answered, all connections end.
            fresh = [await front.client() for _ in range(60)]
            drain = asyncio.create_task(front.listener.drain(0.3, 0.1))
            for client in fresh:
                client.writer.write(HEALTH)
            answers = await asyncio.gather(*(client.answer() for client in fresh))
            assert {status for status, _, _ in answers} == {503}  # /ready reports that the gatekeeper drains
            await drain
            await front.until(total=0)

    going(test)


def test_at_the_limit_holders_evict_their_connections():
    async def test():
        async with parking_front(here=40, holders=1, most=120, most_asking=10, give_way_after_s=0) as front:
            clients = [await front.client() for _ in range(120)]
            more: list[Client] = []
            await front.until(total=120)
            while len(front.parking.table) > 30:
                await asyncio.sleep(0.001)
            while front.parking.holders.lowest_rank() is None:
                await asyncio.sleep(0.001)
            for _ in range(40):
                more.append(await front.client())
                await served(more[-1])
            assert front.parking.total() <= 120 and front.parking.sockets.evicted == 0
            while sum(ended := [client.reader.at_eof() for client in clients]) < 40:
                await asyncio.sleep(0.001)
            assert not any(ended[-20:])  # the longest idle connections were evicted, not the newest

    going(test)


def test_two_listeners_share_a_parking_manager_and_each_connection_keeps_its_own(monkeypatch):
    async def test():
        async with parking_front() as front:
            loop, made = asyncio.get_running_loop(), []

            def make(listener: Listener) -> asyncio.BufferedProtocol:
                made.append(listener)
                return front.platform.new_connection(listener)

            other = ParkingListener(loop, front.now, front.parking, make)
            other.open((HOST, 0))
            here, there = await front.client(), await Client.to(other.address[1])
            await front.until(parked=2)
            await served(here)
            assert made == []
            await served(there)
            await front.until(parked=2)
            await served(there)
            assert made == [other, other]
            other.close()

    going(test)


def test_the_program_parks_reloads_and_drains(tmp_path):
    async def start(clients: object, *arguments: str) -> asyncio.subprocess.Process:
        (tmp_path / "config.json").write_text(json.dumps(main_config(discovery=None)))
        (tmp_path / "clients.json").write_text(json.dumps(clients))
        return await asyncio.create_subprocess_exec(
            *("python3", "-S", "-B", "-m", "pepperrun", "--clients", str(tmp_path / "clients.json")),
            env=os.environ | {"NODE_CONFIG": str(tmp_path / "config.json")},
            stderr=asyncio.subprocess.PIPE,
        )

    async def test():
        bad = await start({"idle_s": 0})
        assert await bad.wait() == 2
        (error_line,) = (await bad.stderr.read()).decode().splitlines()
        assert "clients.json: idle_s:" in error_line
        process = await start({"idle_s": 3600, "first_byte_s": 3600, "holders": 1, "most_here": 30})
        port = int((await line_with(process, "listens at")).rsplit(":", 1)[1])
        clients = [await Client.to(port) for _ in range(60)]
        clients[0].writer.write(HEALTH)
        assert (await clients[0].answer())[0] == 200
        # An invalid file changes nothing; a valid one applies to connections parked here and in the holder.
        (tmp_path / "clients.json").write_text('{"idle_s": -3}')
        process.send_signal(signal.SIGHUP)
        assert "idle_s" in await line_with(process, "configuration is invalid")
        (tmp_path / "clients.json").write_text('{"first_byte_s": 0.05, "idle_s": 3600, "holders": 1}')
        process.send_signal(signal.SIGHUP)
        assert "clients most_here" in await line_with(process, "applied the new")
        assert all(await asyncio.gather(*(client.ended() for client in clients[1:])))
        clients[0].writer.write(HEALTH)
        assert (await clients[0].answer())[0] == 200
        process.send_signal(signal.SIGTERM)
        assert await clients[0].ended() and await process.wait() == 0

    going(test)


def test_states_and_snapshots_of_records():
    assert [state.name for state in State] == ["FREE", "PARKED", "WAITING", "ACTIVE"]
    assert manager_module.snapshot_from_record(
        manager_module.record_from_snapshot(0, (3, 5, 7, b"x", 9))
    ) == (1, 2, 7, b"x", 9)
    assert manager_module.snapshot_from_record(manager_module.record_from_snapshot(0, (0, 0, 7, b"", 0))) == (
        0,
        0,
        7,
        b"",
        0,
    )


@pytest.mark.parametrize("seed", range(4))
def test_connections_that_end_from_several_sides_at_once_end_once(seed, monkeypatch):
    # Guards against a descriptor that is closed twice: the second close may hit another connection's.
    closed: list[int] = []
    close = os.close

    def close_open_one(fd: int) -> None:
        os.fstat(fd)  # OSError where it has been closed
        closed.append(fd)
        close(fd)

    monkeypatch.setattr(os, "close", close_open_one)
    rng = random.Random(seed)
    answers = Counter[str]()

    async def play(front: ParkingFront) -> None:
        client = await front.client()
        try:
            for _ in range(rng.randrange(1, 6)):
                match rng.randrange(8):
                    case 0:
                        client.writer.close()
                        return
                    case 1:
                        reset(client)
                        return
                    case 2:
                        client.writer.write_eof()
                        return
                    case 3:
                        client.writer.write(HEALTH[: rng.randrange(len(HEALTH))])
                        reset(client)
                        return
                    case 4:
                        front.advance(rng.randrange(200) * MS)
                    case _:
                        client.writer.write(HEALTH)
                        if rng.random() < 0.3:
                            reset(client)  # while it is resumed
                            return
                        assert (await client.answer())[::2] == (200, b"ready\n")
                        answers["ready"] += 1
                for _ in range(rng.randrange(30)):
                    await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            answers["ended"] += 1  # given up in favour of another, or timed out
        finally:
            client.writer.close()

    async def test():
        async with parking_front(park_after_s=0, most=40, idle_s=1) as front:
            before = len(os.listdir("/proc/self/fd"))
            for _ in range(4):
                await asyncio.gather(*(play(front) for _ in range(60)))
            await front.until(total=0)
            assert not front.parking.clients and not front.parking.table.parked_count
            while len(os.listdir("/proc/self/fd")) > before:
                await asyncio.sleep(0)

    going(test)
    assert closed and answers["ready"]
