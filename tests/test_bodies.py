"""Bodies far larger than memory: streaming, back-pressure, breaks, retries, and the program's memory use."""

from __future__ import annotations

import asyncio
import hashlib
import os
import signal
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from standins import HOST, SECOND, Backends, Client, Front, StandIn, answer, going, line, ok
from test_http1 import CUTS, chunked
from test_main import SETTINGS, built, start

from pepperrun.core.interface import Outcome
from pepperrun.exchange import End
from pepperrun.net import connection, upstream
from pepperrun.net.buffer import Buffer
from pepperrun.net.connection import Pool
from pepperrun.net.http1 import (
    REQUEST_BUFFER_SIZE,
    HttpError,
    RequestParser,
    ResponseParser,
)
from pepperrun.net.stream import MAX_BUFFER_BYTES, MIN_BUFFER_BYTES, BodyStream, MemoryBudget

__all__ = ["built"]  # the fixture that runs the deploy file's build
MB = 1024 * 1024
RESET = struct.pack("ii", 1, 0)
HEAD = (
    b"POST /confirm?customer=7 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 1\r\nX-Plan: wide\r\nIdempotency-Key: k\r\n"
)


# Parsers: the same body, buffered or streamed, for any chunking of the input.


def parse_streamed(
    parser: RequestParser | ResponseParser, data: bytes, cuts: list[int]
) -> tuple[bytes, bool]:
    """Returns the body parsed from the data, added in chunks that end at the cuts, and if it is complete."""
    body, message, at = b"", None, 0
    for cut in [*sorted({cut % (len(data) + 1) for cut in cuts}), len(data)]:
        part, at = data[at:cut], cut
        while part:
            count = min(len(part), len(parser.buffer.free_space()))
            assert count, "the buffer is full and the parser takes nothing from it"
            parser.buffer.add(part[:count])
            part = part[count:]
            if message is None:
                message = parser.next()
                body += message.body if message is not None else b""
            while message is not None and (more := parser.read_body()):
                body += more
    return body, message is not None and parser.body_complete()


@given(st.integers(0, 300_000), st.integers(0, 50_000), st.integers(0, 99), CUTS, st.booleans())
def test_streamed_body_is_the_same_for_any_chunking_of_input(size, chunk, seed, cuts, answers):
    body = hashlib.sha256(bytes([seed])).digest() * (size // 32)
    framed = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    if chunk:
        framed = b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, chunk)
    if answers:
        parser: Any = ResponseParser(Buffer(REQUEST_BUFFER_SIZE), 1 << 30, 64 * 1024)
        data = b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n" + framed
    else:
        parser, data = RequestParser(Buffer(REQUEST_BUFFER_SIZE), 1 << 30, 64 * 1024), HEAD + framed
    assert parse_streamed(parser, data, cuts) == (body, True)


@given(st.integers(70_000, 200_000), CUTS, st.binary(max_size=300), st.booleans())
def test_garbage_within_a_long_body_never_completes_it(size, cuts, garbage, answers):
    kind: Any = ResponseParser if answers else RequestParser
    parser = kind(Buffer(REQUEST_BUFFER_SIZE), 1 << 30, 64 * 1024)
    head = b"HTTP/1.1 200 OK\r\n" if answers else HEAD
    data = head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % size + b"x" * (size // 2)
    try:
        body, is_complete = parse_streamed(parser, data + garbage, cuts)
    except HttpError:
        return
    assert not is_complete and len(body) <= size // 2 + len(garbage)


def test_body_over_the_limit_is_rejected_before_and_while_it_arrives():
    with pytest.raises(HttpError, match="too long"):
        parse_streamed(
            RequestParser(Buffer(REQUEST_BUFFER_SIZE), MB, 1000),
            HEAD + b"Content-Length: 1048577\r\n\r\n",
            [],
        )
    data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(bytes(2 * MB), 100_000)
    with pytest.raises(HttpError, match="too long"):
        parse_streamed(RequestParser(Buffer(REQUEST_BUFFER_SIZE), MB, 1000), data, [])


# Streams.


class Sink:
    def __init__(self) -> None:
        self.got: list[bytes] = []
        self.end = ""

    def write_body(self, data: bytes) -> None:
        self.got.append(data)

    def finish_body(self) -> None:
        self.end += "complete"

    def abort_body(self) -> None:
        self.end += "broken"


@given(
    st.lists(st.sampled_from(["feed", "finish", "fail", "attach", "pause", "resume", "abandon"]), max_size=12)
)
def test_a_stream_ends_once_and_gives_its_memory_back(steps):
    budget, paused, dropped, sink = MemoryBudget(MB), [], [], Sink()
    stream = BodyStream(budget, paused.append, lambda: dropped.append(1))
    fed = 0
    for step in steps:
        if step == "feed" and stream.ended_complete is None:
            stream.feed(b"x")
            fed += 1
        elif step == "attach" and not stream.attached:
            stream.attach(sink)
        elif step in ("finish", "fail", "abandon"):
            getattr(stream, step)()
        elif step in ("pause", "resume"):
            stream.pause(step == "pause")
    stream.abandon()
    assert budget.bodies == 0 and stream.closed
    assert sink.end in ("", "complete", "broken") and len(dropped) <= 1
    if sink.end == "complete":
        assert len(sink.got) == fed or "abandon" in steps


def test_memory_of_all_bodies_stays_within_the_budget():
    budget = MemoryBudget.from_memory_limit(40)
    assert budget.buffer_limit() == MAX_BUFFER_BYTES
    for bodies in (1, 10, 100, 600):
        budget.bodies = bodies
        assert (
            MIN_BUFFER_BYTES <= budget.buffer_limit() <= MAX_BUFFER_BYTES
            and 3 * bodies * budget.buffer_limit() <= max(budget.total, 12 * bodies * 1024)
        )


# A complete gatekeeper in this process.


def long_front() -> Front:
    return Front(budget=MemoryBudget(4 * MB))


def test_long_response_is_streamed_and_counts_once_complete():
    # The client reads the beginning while the worker still writes.
    async def test():
        body = os.urandom(300_000)

        async def slowly(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body[:100_000])
            await server.go.wait()
            writer.write(body[100_000:])

        front, worker = long_front(), await StandIn(slowly).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask()
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert b"Content-Length: 300000" in head
        first = await client.reader.readexactly(90_000)
        assert front.gatekeeper.pending_count() == 1 and front.gatekeeper.counts[End.SERVED] == 0
        worker.go.set()
        assert first + await client.reader.readexactly(210_000) == body
        client.ask()  # both connections can be reused
        assert (await client.answer())[0] == 200
        assert worker.connections == 1 and front.gatekeeper.counts[End.SERVED] >= 1
        assert front.gatekeeper.pending_count() <= 1

    going(test)


@pytest.mark.parametrize("framing", ["length", "chunks", "end"])
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_long_responses_of_every_framing_reach_clients_of_both_versions(framing, version):
    async def test():
        body = os.urandom(200_000)
        data = {
            "length": b"Content-Length: 200000\r\n\r\n" + body,
            "chunks": b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 7001),
            "end": b"\r\n" + body,
        }[framing]

        async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + data)
            await writer.drain()
            if framing == "end":
                writer.close()

        front, worker = long_front(), await StandIn(step).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.writer.write(
            b"GET /search?customer=7 HTTP/%b\r\nHost: h\r\nX-Call-Id: 1\r\nX-Plan: wide\r\n" % version
            + b"Connection: close\r\n\r\n"
        )
        answered = await client.reader.read()
        head, _, rest = answered.partition(b"\r\n\r\n")
        if b"chunked" in head:
            parser = ResponseParser(Buffer(MB))
            parser.buffer.add(answered)
            got = parser.next()
            assert got is not None and got.complete
            rest = got.body
        assert rest == body and (version == b"1.1" or b"chunked" not in head)

    going(test)


@pytest.mark.parametrize("framing", ["length", "chunks", "end"])
def test_broken_long_response_aborts_the_client_and_is_not_retried(framing):
    async def test():
        heads = {
            "length": b"Content-Length: 200000\r\n",
            "chunks": b"Transfer-Encoding: chunked\r\n",
            "end": b"",
        }
        part = b"%x\r\n" % 150_000 if framing == "chunks" else b""

        async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + heads.get(framing, b"") + b"\r\n" + part + bytes(100_000))
            await writer.drain()
            await server.go.wait()
            # A reset: without a length, an orderly close would be the end of the body.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

        front, worker = long_front(), await StandIn(step).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask()
        head = await client.reader.readuntil(b"\r\n\r\n")
        worker.go.set()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await client.reader.readexactly(400_000)
        assert b"200" in head and worker.connections == 1 and len(worker.heads) == 1
        assert front.gatekeeper.counts[End.FAILED] == 1 and front.gatekeeper.counts[End.SERVED] == 0
        assert front.gatekeeper.pending_count() == 0

    going(test)


def test_broken_response_within_the_buffer_limit_is_retried_elsewhere():
    async def test():
        async def short(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"x" * 900)
            writer.close()

        front, worker = long_front(), await StandIn(short, ok(b"whole")).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask()
        assert (await client.answer())[::2] == (200, b"whole")

    going(test)


def test_client_disconnect_during_a_response_frees_worker_and_budget():
    async def test():
        async def endless(
            server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            for _ in range(300):
                writer.write(bytes(100_000))
                await writer.drain()

        front, worker = long_front(), await StandIn(endless).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.ask()
        await client.reader.readexactly(200_000)
        client.writer.transport.abort()
        await worker.closed.get()
        while front.gatekeeper.pending_count():
            await asyncio.sleep(0.01)
        budget = front.side.budget
        assert budget is not None and budget.bodies == 0
        assert front.gatekeeper.counts[End.SERVED] == 0

    going(test)


async def upload(client: Client, body: bytes, chunk: int = 0, pause: Callable[[], Any] | None = None) -> None:
    framing = b"Transfer-Encoding: chunked\r\n\r\n" if chunk else b"Content-Length: %d\r\n\r\n" % len(body)
    client.writer.write(HEAD + framing)
    data = chunked(body, chunk) if chunk else body
    for at in range(0, len(data), 50_000):
        client.writer.write(data[at : at + 50_000])
        await client.writer.drain()
        if pause is not None:
            await pause()


def receiving(got: list[bytes]) -> Any:
    """A worker that reads a request body of any framing and responds with its digest."""

    async def step(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        body = server.bodies if hasattr(server, "bodies") else b""
        if b"chunked" in server.heads[-1].lower():
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        got.append(body)
        writer.write(ok(hashlib.sha256(body).hexdigest().encode()))

    return step


@pytest.mark.parametrize("chunk", [0, 9000])
def test_long_request_is_streamed_and_its_time_counts_from_its_last_byte(chunk):
    async def test():
        got: list[bytes] = []
        front, worker = long_front(), await StandIn(receiving(got)).start()
        front.list(line("w", worker.port))
        client = await front.client()
        body = os.urandom(300_000)
        await upload(client, body, chunk, lambda: asyncio.sleep(0.01))
        status, _, digest = await client.answer()
        whole = got[0] if chunk else worker.arrived.get_nowait().split(b"\r\n\r\n", 1)[1]
        assert status == 200 and whole == body
        assert not chunk or digest.decode() == hashlib.sha256(body).hexdigest()
        assert front.side.requests_written == 1

    going(test)


def test_long_request_is_sent_once_only():
    # The body has been sent and is not kept for another attempt.
    async def test():
        async def breaks(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        front = long_front()
        workers = [await StandIn(breaks).start() for _ in range(3)]
        front.list(*(line(f"w{number}", worker.port) for number, worker in enumerate(workers)))
        client = await front.client()
        await upload(client, bytes(200_000))
        assert (await client.answer())[0] in (429, 502)
        assert sum(len(worker.heads) for worker in workers) == 1

    going(test)


def test_refused_connection_does_not_spend_a_long_request():
    async def test():
        dead = await StandIn(ok()).start()
        await dead.stop()
        got: list[bytes] = []
        front, worker = long_front(), await StandIn(receiving(got)).start()
        front.list(line("d", dead.port), line("w", worker.port))
        for _ in range(4):
            client = await front.client()
            await upload(client, bytes(100_000))
            assert (await client.answer())[0] == 200
        assert worker.arrived.qsize() == 4

    going(test)


def test_garbage_in_a_long_request_gets_400_and_no_attempt_is_written():
    async def test():
        got: list[bytes] = []
        front, worker = long_front(), await StandIn(receiving(got)).start()
        front.list(line("w", worker.port))
        client = await front.client()
        client.writer.write(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"18000\r\n" + bytes(0x18000) + b"\r\nzz\r\n"
        )
        assert (await client.answer())[0] == 400
        assert not got and front.side.requests_written == 0

    going(test)


@pytest.mark.parametrize("ending", ["deadline", "client leaves"])
def test_complete_body_that_no_attempt_took_gives_its_memory_back(ending):
    # Guards against bodies that count for the memory limit for ever: each makes all later ones slower.
    async def test():
        front, worker = long_front(), await StandIn(ok()).start()
        front.list(line("w", worker.port))
        budget, connecting = front.side.budget, asyncio.Event()
        assert budget is not None

        async def never_connects(pool: Pool) -> None:
            connecting.set()
            await asyncio.Future()

        front.side._connect = never_connects  # type: ignore[method-assign]
        client = await front.client()
        head = HEAD + b"X-Budget: 50m\r\n" if ending == "deadline" else HEAD
        client.writer.write(head + b"Content-Length: 100000\r\n\r\n" + bytes(100_000))
        await connecting.wait()
        if ending == "deadline":
            assert (await client.answer())[0] in (429, 504)
        else:
            client.writer.transport.abort()
        while front.gatekeeper.pending_count():
            await asyncio.sleep(0)
        assert budget.bodies == 0 and not worker.heads

    going(test)


def test_upload_that_is_rejected_at_its_head_gives_its_memory_back():
    # Guards against the same for each long request of an unknown class or with a field that can't be read.
    async def test():
        front = long_front()
        assert front.side.budget is not None
        client = await front.client()
        head = HEAD.replace(b"/confirm", b"/nosuch")
        client.writer.write(head + b"Content-Length: 200000\r\n\r\n" + bytes(100_000))
        assert (await client.answer())[0] == 404
        client.writer.transport.abort()
        while front.listener.clients:
            await asyncio.sleep(0)
        assert front.side.budget.bodies == 0

    going(test)


@pytest.mark.parametrize("state", ["taken", "abandoned", "broken off"])
def test_body_that_can_not_be_sent_reaches_no_worker(state):
    # Guards against a request whose body was taken or given up going out in part, or as if it were complete.
    async def test():
        backends, worker = Backends(), await StandIn(ok()).start()
        backends.list(line("w", worker.port))
        budget, first = MemoryBudget(MB), Sink()
        stream = BodyStream(budget, lambda on: None, lambda: None)
        stream.feed(b"x" * 70_000)
        if state == "taken":
            stream.attach(first)
            stream.finish()
        elif state == "abandoned":
            stream.abandon()
        else:
            stream.fail()
        for reused in (False, True):  # on a new connection, then on an idle one
            if reused:
                backends.send()
                assert await backends.outcome() is Outcome.OK
            backends.send(stream=stream)
            assert await backends.outcome() is Outcome.MOOT
        assert len(worker.heads) == 1 and budget.bodies == 0
        assert first.end == ("complete" if state == "taken" else "")

    going(test)


def test_rejection_neither_waits_for_a_long_request_nor_closes_the_connection():
    async def test():
        front, worker = long_front(), await StandIn(ok(b"fine")).start()
        front.list(line("w", worker.port))
        client = await front.client()
        head = HEAD.replace(b"wide", b"tight")
        statuses = []
        for _ in range(3):  # the plan allows one request
            client.writer.write(head + b"Content-Length: 200000\r\n\r\n" + bytes(100_000))
            if statuses:
                statuses.append((await client.answer())[0])
                client.writer.write(bytes(100_000))
            else:
                client.writer.write(bytes(100_000))
                statuses.append((await client.answer())[0])
        assert statuses == [200, 429, 429]
        client.ask(plan="tight")
        assert (await client.answer())[0] == 429

    going(test)


def test_client_that_reads_nothing_does_not_block_others():
    async def test():
        big = answer(200, bytes(8 * MB))
        front, worker = long_front(), await StandIn(big, big, ok(b"small")).start()
        front.list(line("w", worker.port))
        slow = [await front.client() for _ in range(2)]
        for one in slow:
            one.ask()
            await one.reader.readexactly(1000)
        client = await front.client()
        for _ in range(5):
            client.ask()
            assert (await client.answer())[::2] == (200, b"small")
        for one in slow:
            one.writer.transport.abort()

    going(test)


def test_slow_upload_is_not_cut_off_and_stalled_one_is():
    async def test():
        front, worker = long_front(), await StandIn(ok(b"fine")).start()
        front.list(line("w", worker.port))
        moving, still = await front.client(), await front.client()
        still.writer.write(HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(70_000))
        moving.writer.write(HEAD + b"Content-Length: 250000\r\n\r\n")
        for _ in range(25):
            moving.writer.write(bytes(10_000))
            # About 80 kB a second, for longer than the request timeout without progress.
            await asyncio.sleep(0.12)
        assert (await moving.answer())[0] == 200
        assert (await still.answer())[0] == 408

    going(test)


@pytest.mark.parametrize("way", ["answer", "request"])
def test_stalled_worker_ends_a_long_body(monkeypatch, way):
    # The worker's machine may have vanished, which nothing else would reveal.
    monkeypatch.setattr(connection, "BODY_STALL_NS", SECOND // 5)
    monkeypatch.setattr(upstream, "SWEEP_S", 0.05)

    async def test():
        async def still(server: StandIn, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if way == "answer":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
            await server.go.wait()

        front = long_front()
        if way == "answer":
            worker = await StandIn(still).start()
            port = worker.port
        else:  # the worker reads the head and nothing after that

            async def never_reads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.transport.pause_reading()  # type: ignore[attr-defined]

            silent = await asyncio.start_server(never_reads, HOST, 0, limit=1024)
            port = silent.sockets[0].getsockname()[1]
        front.list(line("w", port))
        client = await front.client()
        if way == "answer":
            client.ask()
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await client.reader.readexactly(300_000)
            assert front.gatekeeper.counts[End.FAILED] == 1
        else:
            sending = asyncio.create_task(upload(client, bytes(30 * MB)))
            assert (await client.answer())[0] in (429, 502)
            client.writer.transport.abort()
            await asyncio.gather(sending, return_exceptions=True)

    going(test)


# The real program.


def peak_kb(pid: int) -> int:
    with open(f"/proc/{pid}/status") as file:
        return next(int(text.split()[1]) for text in file if text.startswith("VmHWM"))


BOTH = SETTINGS | {
    "Classes": [
        SETTINGS["Classes"][0] | {"DeadlineNs": 15 * SECOND},  # type: ignore[index]
        {"Name": "confirm", "OnTimeNs": 2 * SECOND, "DeadlineNs": 15 * SECOND, "Semantics": "idempotency_key"}
        | {"Group": "cell", "WindowNs": SECOND},
    ],
}
SIZE = 32 * MB


def test_32_megabytes_both_ways_stay_within_the_memory_limit(tmp_path):
    # Six responses and three requests of 32 MB at once are 288 MB, against a limit of 40 MB.
    async def test():
        block = os.urandom(MB)
        want = hashlib.sha256(block * 32).hexdigest()

        async def respond(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if head.startswith(b"POST"):
                digest, left = hashlib.sha256(), SIZE
                while left:
                    some = await reader.read(min(left, 100_003))
                    digest.update(some)
                    left -= len(some)
                writer.write(ok(digest.hexdigest().encode()))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
                for _ in range(32):
                    writer.write(block)
                    await writer.drain()
            await writer.drain()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:  # a kept connection brings the next request
                    await respond(await reader.readuntil(b"\r\n\r\n"), reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        worker = await asyncio.start_server(serve, HOST, 0, limit=1 << 18)
        port = worker.sockets[0].getsockname()[1]
        limit_mb = 40
        process, front = await start(
            tmp_path / "c.json",
            known={"version": 3, "full": True, "servers": [line("w", port)]},
            settings=BOTH,
            limits={"cores": 1.0, "memory_mb": limit_mb, "sockets": 256},
        )
        before = peak_kb(process.pid)

        async def read(pace: float) -> None:
            client = await Client.to(front)
            client.ask(X_Budget="15000m")
            await client.reader.readuntil(b"\r\n\r\n")
            digest, left = hashlib.sha256(), SIZE
            while left:
                some = await client.reader.read(min(left, 77_777))
                digest.update(some)
                left -= len(some)
                await asyncio.sleep(pace)
            assert digest.hexdigest() == want

        async def write() -> None:
            client = await Client.to(front)
            client.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % SIZE)
            for _ in range(32):
                client.writer.write(block)
                await client.writer.drain()
            status, _, digest = await client.answer()
            assert (status, digest.decode()) == (200, want)

        async with asyncio.timeout(60):
            await asyncio.gather(
                *(read(0.001 * (number % 2)) for number in range(6)), *(write() for _ in range(3))
            )
        peak = peak_kb(process.pid)
        assert peak < limit_mb * 1024 and peak - before < 10 * 1024, (before, peak)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        worker.close()

    asyncio.run(test())
