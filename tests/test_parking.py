"""Parked connections on real sockets: what is lost, doubled, early or stuck when things go wrong."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import resource
import signal
import socket
import struct
from collections.abc import AsyncIterator

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
    """The gatekeeper of the other tests with its connections in a lot."""

    def __init__(self, here: int = 1000, **changes: object) -> None:
        super().__init__()
        self.listener.close()
        self.later = 0
        given = {"idle_s": 100, "park_after_s": 0.02, "most": 1000} | changes
        loop = asyncio.get_running_loop()
        self.parking = ParkingManager(loop, self.now, read_clients(json.dumps(given)), here)
        self.platform.clock = self.gatekeeper.clock = self.side.clock = self.now
        self.listener: Listener = ParkingListener(loop, self.now, self.parking, self.platform.new_connection)
        self.listener.open((HOST, 0))

    def now(self) -> int:
        return self.clock() + self.later

    async def until(self, parked: int | None = None, total: int | None = None) -> None:
        while parked not in (None, self.parking.table.parked_count) or total not in (
            None,
            self.parking.total(),
        ):
            await asyncio.sleep(0.001)

    def advance(self, span: int) -> None:
        """Lets the front's clock jump; the loop's own timer would come after as long in real time."""
        self.later += span
        self.parking._on_timer()


@contextlib.asynccontextmanager
async def parking(**changes: object) -> AsyncIterator[ParkingFront]:
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


def test_a_connection_parks_between_requests_and_is_the_same_when_taken_up_again():
    async def test():
        async with parking() as front:
            client = await front.client()
            await front.until(parked=1)
            assert not front.listener.clients  # neither transport nor protocol
            for rank in (EvictionRank.ONE_EXCHANGE, EvictionRank.MORE_EXCHANGES, EvictionRank.MORE_EXCHANGES):
                await served(client)
                await front.until(parked=1)
                (fd,) = front.parking.table.eviction_order.members(rank)
                assert not front.listener.clients and not front.parking.clients
            client.ask("confirm")
            while not front.listener.clients:
                await asyncio.sleep(0)
            (taken,) = front.listener.clients
            assert isinstance(taken, HttpConnection)
            assert taken.peer_address() == HOST.encode() and not taken.never_answered()
            assert (await client.answer())[0] == 200

    going(test)


def test_bytes_between_the_last_look_and_the_parking_are_served_in_order():
    async def test():
        async with parking(park_after_s=10) as front:
            client = await front.client()
            await served(client)
            ((fd, taken),) = front.parking.clients.items()
            # Written to the socket now, read by nobody: the loop has not turned since.
            sock = client.writer.get_extra_info("socket")
            os.write(sock.fileno(), HEALTH + HEALTH.replace(b"/ready", b"/nowhere") + HEALTH[:9])
            assert front.parking._park(fd, taken)
            assert not front.listener.clients
            assert [(await client.answer())[0] for _ in range(2)] == [200, 404]

    going(test)


def test_pipelined_requests_are_answered_in_order_and_nothing_parks_over_them():
    async def test():
        async with parking(park_after_s=0) as front:
            client = await front.client()
            await front.until(parked=1)
            for _ in range(5):
                client.ask()
                client.writer.write(HEALTH)
            for _ in range(5):
                assert (await client.answer())[2] == b"fine"
                assert (await client.answer())[2] == b"ready\n"

    going(test)


def test_half_a_request_parks_with_its_bytes_and_its_time_counts_from_the_first():
    async def test():
        async with parking(request_s=5) as front:
            client, slow = await front.client(), await front.client()
            for one in (client, slow):
                one.writer.write(HEALTH[:7])
            ledger = front.parking.table
            while [held for held, _ in ledger.partial_requests.values()] != [HEALTH[:7]] * 2:
                await asyncio.sleep(0.001)
            client.writer.write(HEALTH[7:12])
            while HEALTH[:12] not in [
                held for held, _ in ledger.partial_requests.values()
            ]:  # parked again with more
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


def test_who_closes_or_resets_while_parked_is_gone_and_the_number_means_the_next():
    async def test():
        async with parking() as front:
            clients = [await front.client() for _ in range(6)]
            await served(clients[0])
            await front.until(parked=6)
            for client in clients[1:4]:
                client.writer.close()
            reset(clients[4])
            await front.until(total=2)
            assert front.parking.sockets.closed_by_client == 4
            more = [await front.client() for _ in range(4)]  # the same numbers again
            await front.until(parked=6)
            for client in [clients[0], clients[5], *more]:
                await served(client)

    going(test)


def test_a_waiting_connections_number_that_is_closed_and_used_again_is_not_taken_for_it():
    async def test():
        async with parking() as front:
            first, late = await front.client(), socket.socket()
            late.setblocking(False)
            await front.until(parked=1)
            (fd,) = front.parking.table.eviction_order.members(EvictionRank.NEVER_ANSWERED)
            front.parking.sockets.on_readable(
                fd, front.now()
            )  # waits to be taken up, and ends before its turn
            front.parking.sockets.close(fd)
            assert late.connect_ex(front.listener.address) in (0, errno.EINPROGRESS)
            second = Client(*await asyncio.open_connection(sock=late))
            await front.until(parked=1)
            assert list(front.parking.table.eviction_order.members(EvictionRank.NEVER_ANSWERED)) == [fd]
            assert front.parking.table.resume_next() is None  # what was queued was the first one
            await served(second)
            assert await first.ended()

    going(test)


def test_hundreds_that_wake_in_one_instant_are_all_served_a_few_at_a_time():
    async def test():
        async with parking(most_asking=8, park_after_s=10) as front:
            clients = [await front.client() for _ in range(300)]
            await front.until(parked=300)
            most = 0
            for client in clients:
                client.ask()
            answers = asyncio.gather(*(client.answer() for client in clients))
            while not answers.done():
                most = max(most, front.parking.table.active_count)
                await asyncio.sleep(0)
            assert {status for status, _, _ in await answers} == {200} and most == 8

    going(test)


def test_a_waiting_requests_time_runs_from_its_waking():
    async def test():
        front = ParkingFront(most_asking=1)
        worker = await StandIn(wait_then(ok())).start()
        front.list(line("w", worker.port))
        first, second = await front.client(), await front.client()
        first.ask()
        await worker.arrived.get()
        second.ask(budget="500m")
        while not front.parking.table.woken_at:
            await asyncio.sleep(0)
        front.later += 600 * MS  # the first one is still out
        worker.go.set()
        assert (await first.answer())[0] == 200
        assert (await second.answer())[0] == 504 and len(worker.heads) == 1  # out of time, and not sent on
        front.listener.close()
        front.parking.close()

    going(test)


def test_timers_due_together_fire_in_bounded_turns_and_a_clock_that_steps_back_is_waited_for():
    async def test():
        async with parking(idle_s=50, first_byte_s=10) as front:
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


def test_at_the_limit_silent_ones_give_way_first_and_those_that_ask_often_last():
    async def test():
        async with parking(most=8, most_asking=4, give_way_after_s=0) as front:
            often, once, health = [await front.client() for _ in range(3)]
            for client in (often, often, once):
                await served(client)
            health.writer.write(HEALTH)
            assert (await health.answer())[0] == 200
            await front.until(parked=3)
            silent = [await front.client() for _ in range(5)]
            await front.until(parked=8)
            flood = [await front.client() for _ in range(6)]
            assert all(await asyncio.gather(*(client.ended() for client in silent)))
            for client in (flood[-1], health, once, often):
                await served(client)
            assert front.parking.total() <= 8

    going(test)


def test_without_descriptors_what_is_taken_has_its_answer_and_accepting_goes_on(monkeypatch):
    async def test():
        front = ParkingFront(give_way_after_s=0)
        worker = await StandIn(wait_then(ok())).start()
        front.list(line("w", worker.port))
        taken = [await front.client() for _ in range(3)]
        for client in taken:
            client.ask()
            await worker.arrived.get()
        idle = [await front.client() for _ in range(20)]
        await front.until(total=23)
        # The client's end is made with the limit as it was; the accept then finds no descriptor free.
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
            await front.until(total=4)  # the idle ones gave way, and the new one is in
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for fd in spare:
                os.close(fd)
        worker.go.set()
        assert [(await client.answer())[0] for client in taken] == [200] * 3
        assert all(await asyncio.gather(*(client.ended() for client in idle)))
        late.close()
        front.listener.close()
        front.parking.close()

    going(test)


def test_a_drain_with_all_parked_closes_them_and_answers_who_speaks_meanwhile():
    async def test():
        async with parking() as front:
            done = [await front.client() for _ in range(100)]
            for client in done:
                await served(client)
            fresh = [await front.client() for _ in range(50)]
            await front.until(parked=150)
            drain = asyncio.create_task(front.listener.drain(0.2, 0.1))
            assert all(await asyncio.gather(*(client.ended() for client in done)))
            assert front.parking.table.parked_count == 50  # they may be about to ask
            new = await front.client()  # it still accepts
            for client in (*fresh[:25], new):
                client.ask()
            answers = await asyncio.gather(*(client.answer() for client in (*fresh[:25], new)))
            assert {(status, fields["connection"]) for status, fields, _ in answers} == {(200, "close")}
            await drain
            assert all(await asyncio.gather(*(client.ended() for client in fresh)))
            await front.until(total=0)

    going(test)


def test_holders_keep_what_is_silent_and_give_back_who_speaks():
    async def test():
        async with parking(here=40, holders=2, give_way_after_s=0) as front:
            clients = [await front.client() for _ in range(200)]
            await front.until(total=200)
            assert front.parking.holders is not None
            while len(front.parking.table) > 30:
                await asyncio.sleep(0.001)
            assert front.parking.holders.connection_count() == 200 - len(front.parking.table)
            for client in clients[::3]:  # some of each are served, and go back to a holder
                await served(client)
            clients[0].writer.write(HEALTH[:5])  # half a request comes back, and the rest later
            await asyncio.sleep(0.05)
            clients[0].writer.write(HEALTH[5:])
            assert (await clients[0].answer())[0] == 200
            clients[1].writer.close()
            reset(clients[2])
            await front.until(total=198)
            # One dies: its connections end, nobody else's, and another takes its place.
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
            # A drain with connections in holders: all end, those that speak are answered.
            fresh = [await front.client() for _ in range(60)]
            drain = asyncio.create_task(front.listener.drain(0.3, 0.1))
            for client in fresh:
                client.writer.write(HEALTH)
            answers = await asyncio.gather(*(client.answer() for client in fresh))
            assert {status for status, _, _ in answers} == {503}  # /ready says that it drains
            await drain
            await front.until(total=0)

    going(test)


def test_at_the_limit_holders_ask_theirs_to_give_way():
    async def test():
        async with parking(here=40, holders=1, most=120, most_asking=10, give_way_after_s=0) as front:
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
            assert not any(ended[-20:])  # the longest silent, not the last to come

    going(test)


def test_two_fronts_share_a_lot_and_each_connection_keeps_its_own(monkeypatch):
    async def test():
        async with parking() as front:
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
        (told,) = (await bad.stderr.read()).decode().splitlines()
        assert "clients.json: idle_s:" in told
        process = await start({"idle_s": 3600, "first_byte_s": 3600, "holders": 1, "most_here": 30})
        port = int((await line_with(process, "listens at")).rsplit(":", 1)[1])
        clients = [await Client.to(port) for _ in range(60)]
        clients[0].writer.write(HEALTH)
        assert (await clients[0].answer())[0] == 200
        # A file that is no good changes nothing; another one holds for those parked here and in the holder.
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


def test_states_are_told_apart():
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
