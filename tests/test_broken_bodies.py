"""Random breaks of long bodies on real sockets: at clients, at workers and by moves of workers, all at once.

More seeds by hand, with the counts of what was reached:

    BROKEN_BODIES_SEEDS=30 python3 -m pytest -q -s tests/test_broken_bodies.py
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import random
from collections import Counter
from collections.abc import AsyncIterator, Iterator

import pytest
from standins import HOST, Client, Front, answer, going, line, ok
from test_http1 import chunked

from pepperrun.fronts.http_connection import HttpConnection
from pepperrun.net.connection import Connection
from pepperrun.net.stream import BodySink, BodyStream, MemoryBudget

SEEDS = range(int(os.environ.get("BROKEN_BODIES_SEEDS", "2")))
CLIENTS = 25
BLOCK = 20  # bytes: an answer's body repeats its request's id in blocks of this length
LONG_BLOCKS = 8000  # of a long answer, more than any buffer
PASSING = {"answers": 6, "answers long": 1}
EARLY = {"answers early": 1, "answers early and closes": 1, "rejects": 1, "resets at the head": 1}
LATER = {"resets midway": 1, "resets at the end": 1, "fails": 1, "breaks its answer": 1}
LEAVING = {"stays": 5, "closes": 1, "resets": 1, "half-closes": 1, "sends garbage": 1, "leaves at the end": 1}


@pytest.fixture
def reached(monkeypatch: pytest.MonkeyPatch) -> Iterator[Counter[str]]:
    """Counts attaches and aborts; `wrong: ...` are those that would hit another request, or come twice."""
    counts = Counter[str]()
    attach, abort_upload, abort_download = (
        BodyStream.attach,
        Connection.abort_body,
        HttpConnection.abort_body,
    )

    def counted_attach(stream: BodyStream, sink: BodySink) -> None:
        counts["attach" if stream.available else "wrong: attach after the end"] += 1
        attach(stream, sink)

    def counted_abort_upload(connection: Connection) -> None:
        carries_body = connection.attempt is not None and connection.upload is not None
        counts["upload aborted" if carries_body else "wrong: abort of another request"] += 1
        abort_upload(connection)

    def counted_abort_download(client: HttpConnection) -> None:
        counts["download aborted" if client.download is not None else "wrong: abort of another answer"] += 1
        abort_download(client)

    monkeypatch.setattr(BodyStream, "attach", counted_attach)
    monkeypatch.setattr(Connection, "abort_body", counted_abort_upload)
    monkeypatch.setattr(HttpConnection, "abort_body", counted_abort_download)
    yield counts
    print(dict(counts))


def draw(rng: random.Random, weights: dict[str, int]) -> str:
    return rng.choices(list(weights), list(weights.values()))[0]


async def turns(rng: random.Random) -> None:
    """Lets the others go on for some turns of the loop."""
    for _ in range(rng.randrange(12)):
        await asyncio.sleep(0)


async def parts_of_body(head: bytes, reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yields the parts of a request body of either framing."""
    fields = dict(row.lower().split(b": ", 1) for row in head.split(b"\r\n")[1:] if row)
    if b"transfer-encoding" in fields:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            yield (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return
    left = int(fields.get(b"content-length", b"0"))
    while left:
        part = await reader.read(min(left, 20_000))
        if not part:
            raise ConnectionResetError
        left -= len(part)
        yield part


class Worker:
    """Reads requests and answers, rejects, fails or breaks off as drawn; records each complete body."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.digests: list[tuple[bytes, str]] = []  # of complete requests: id and digest of the body
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Worker:
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 17)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def reset_all(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        id = head.lower().partition(b"x-call-id: ")[2].partition(b"\r\n")[0]
        what = draw(self.rng, PASSING | EARLY | LATER)
        if what in EARLY:
            if what != "resets at the head":
                writer.write(answer(503, b"", b"X-Rejected: 1") if what == "rejects" else ok(id))
            if what != "answers early":
                await writer.drain()
                return False
        digest = hashlib.sha256()
        async for part in parts_of_body(head, reader):
            digest.update(part)
            if what == "resets midway":
                return False
        self.digests.append((id, digest.hexdigest()))
        if what == "resets at the end":
            return False
        if what == "fails":
            writer.write(answer(500))
        elif what == "answers":
            writer.write(ok(id))
        elif what in ("answers long", "breaks its answer"):
            data = ok(id.ljust(BLOCK) * LONG_BLOCKS)
            writer.write(data if what == "answers long" else data[: self.rng.choice([5000, 70_000, 150_000])])
            await writer.drain()
            return what == "answers long"
        return True


class Play:
    """One seed: clients, workers and a directory that all change their minds."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.front = Front(budget=MemoryBudget(4 << 20))
        self.sent: dict[bytes, str] = {}  # digest of each request's body
        self.wrong: list[object] = []

    async def run(self) -> None:
        workers = [await Worker(self.rng).start() for _ in range(3)]
        moving = asyncio.create_task(self._move(workers))
        await asyncio.gather(*(self._client(b"c%d" % number) for number in range(CLIENTS)))
        moving.cancel()
        front, budget = self.front, self.front.side.budget
        assert budget is not None
        while front.gatekeeper.pending_count() or front.side.attempts or front.listener.clients:
            await asyncio.sleep(0)
        self.wrong += [
            (id, "another body")
            for worker in workers
            for id, digest in worker.digests
            if self.sent[id] != digest
        ]
        assert not self.wrong
        assert budget.bodies == 0 and front.gatekeeper.streaming_count == 0
        front.side.close()
        for worker in workers:
            worker.reset_all()

    async def _move(self, workers: list[Worker]) -> None:
        """Lists workers at each other's addresses, as draining and as ready, and resets connections."""
        while True:
            ports = [worker.port for worker in workers]
            match self.rng.randrange(6):
                case 0:
                    self.rng.shuffle(ports)
                    self._list(ports)
                case 1:
                    self._list(ports, "Terminating")
                case 2:
                    self.rng.choice(workers).reset_all()
                case _:
                    self._list(ports)
            for _ in range(self.rng.randrange(300)):
                await asyncio.sleep(0)

    def _list(self, ports: list[int], first_state: str = "Ready") -> None:
        self.front.list(
            *(line(f"w{at}", port, first_state if at == 0 else "Ready") for at, port in enumerate(ports))
        )

    async def _client(self, name: bytes) -> None:
        client = await self.front.client()
        try:
            for number in range(self.rng.choice([1, 1, 2, 3])):
                if not await self._ask(client, b"%b-%d" % (name, number)):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass  # an answer that began and broke off has to end its connection
        finally:
            client.writer.transport.abort()

    async def _ask(self, client: Client, id: bytes) -> bool:
        """Sends a request and checks its answer; returns whether the connection goes on."""
        body = hashlib.sha256(id).digest() * self.rng.choice([0, 1, 2200, 3200, 9400])
        self.sent[id] = hashlib.sha256(body).hexdigest()
        known = self.rng.random() > 0.1
        is_chunked = self.rng.random() < 0.4
        head = (b"POST /%b" % (b"confirm" if known else b"nosuch")) if body else b"GET /search"
        head += b"?customer=7 HTTP/1.1\r\nHost: h\r\nX-Plan: wide\r\nX-Call-Id: %b\r\n" % id
        head += b"X-Budget: 40m\r\n" if self.rng.random() < 0.1 else b""
        if body:
            head += b"Idempotency-Key: k\r\n"
            framing = (
                b"Transfer-Encoding: chunked\r\n" if is_chunked else b"Content-Length: %d\r\n" % len(body)
            )
            head += framing
        data = chunked(body, self.rng.choice([3000, 50_000])) if body and is_chunked else body
        leaving = draw(self.rng, LEAVING)
        client.writer.write(head + b"\r\n")
        if not await self._send(client, data, leaving, is_chunked):
            return False
        status, fields, given = await client.answer()
        if status == 200 and given not in (id, id.ljust(BLOCK) * LONG_BLOCKS):
            self.wrong.append((id, status, given[:BLOCK]))
        return leaving == "stays" and fields.get("connection") != "close"

    async def _send(self, client: Client, data: bytes, leaving: str, is_chunked: bool) -> bool:
        """Sends a body, or leaves within it or after it; returns whether an answer is awaited."""
        writer, at = client.writer, 0
        breaks_at = self.rng.randrange(len(data) + 1)
        while at < len(data):
            if at >= breaks_at and leaving in ("closes", "resets"):
                writer.close() if leaving == "closes" else writer.transport.abort()
                return False
            if at >= breaks_at and leaving == "half-closes":
                writer.write_eof()
                return True
            if at >= breaks_at and leaving == "sends garbage" and is_chunked:
                writer.write(b"zz\r\n" * 2)
                return True
            step = self.rng.choice([1000, 20_000, 60_000])
            writer.write(data[at : at + step])
            at += step
            await writer.drain()
            await turns(self.rng)
        await turns(self.rng)
        return leaving != "leaves at the end"


@pytest.mark.parametrize("seed", SEEDS)
def test_broken_bodies_end_once_reach_only_their_request_and_leave_nothing_behind(
    seed: int, reached: Counter[str]
) -> None:
    # Guards against bodies that count for the memory limit for ever, and ends that hit another request.
    going(lambda: Play(seed).run())
    assert not [what for what in reached if what.startswith("wrong")] and reached["attach"]
