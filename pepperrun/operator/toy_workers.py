"""Toy workers: one worker of a service for trying things out, as `python3 -m pepperrun.operator.toy_workers`.

It tells the core of itself, answers its health path and each request with who it is, says 421 to what is
meant for another worker, and leaves as told: unloading first, the end after `--drain` ms.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import math
import random
import secrets
import signal
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import TextIO

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.settings import Address, parse_address
from pepperrun.operator.core_client import CoreClient, parse_addresses

BEAT_PATIENCE_S = 1.5  # for one beat, over all addresses
MOST_HEAD = 64 * 1024
KEPT_S = 20  # an idle connection
SPREAD = 0.9  # sigma of the logarithm of work times: a few in a hundred take several times the mean

Head = tuple[str, str, dict[str, str]]


class Worker:
    """One life of a worker: a new id at each start."""

    def __init__(
        self,
        line: str,
        zone: str,
        where: Address,
        berths: int,
        control: list[Address],
        work_ms: float = 0.0,
        record: TextIO | None = None,
    ) -> None:
        self.line, self.zone, self.where, self.berths, self.control = line, zone, where, berths, control
        self.id = f"{line}-{secrets.token_hex(4)}"
        self.serial, self.leaving = 0, False
        self.nearest: list[Address] = []  # where the core wants the beats, until one fails there
        self.slots = asyncio.Semaphore(berths)
        self.work_ms, self.record = work_ms, record

    # Telling the core.

    def _call(self, path: str, body: bytes) -> bool:
        """One call, repeated for a moment; in a thread of its own."""
        for at in filter(None, (self.nearest, self.control)):
            try:
                told = CoreClient(at, BEAT_PATIENCE_S).call("POST", path, body)
            except PepperrunError:
                self.nearest = []
                continue
            if 200 <= told.status < 300:
                forward = json.loads(told.body or b"{}").get("forward_to")
                self.nearest = [parse_address(forward)] if forward else self.nearest
                return True
        return False

    async def beat(self) -> bool:
        """Says that it is there, or that it is leaving; whether somebody has heard it."""
        self.serial += 1
        host, port = self.where
        state = "unloading" if self.leaving else "boarding"
        body = {
            "address": f"{host}:{port}",
            "notice": {"line": self.line, "edition": "toy", "zone": self.zone, "berths": self.berths},
            "tracking": {"state": state, "serial": self.serial, "cold_ms": 0},
        }
        return await asyncio.to_thread(self._call, f"/crew/{self.id}/beat", json.dumps(body).encode())

    async def leave(self, drain_s: float) -> None:
        """The planned end."""
        self.leaving = True
        if await self.beat():
            await asyncio.sleep(drain_s)
        await asyncio.to_thread(self._call, f"/crew/{self.id}/leave", b"")

    # Requests.

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, one request after the other."""
        try:
            while True:
                async with asyncio.timeout(KEPT_S):
                    head = read_head(await reader.readuntil(b"\r\n\r\n"))
                    body = await read_body(reader, head[2])
                async with self.slots:
                    if reader.at_eof() or reader.exception() is not None:
                        break  # whoever asked has gone while it waited for a slot
                    answer = self.answer(head, body)
                    if self.runs(head) and not await self._work(head[2]["attempt-id"], reader):
                        break
                    writer.write(answer)
                    await writer.drain()
                if self.leaving or head[2].get("connection", "").lower() == "close":
                    break
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            pass  # it has gone, or spoke no HTTP
        finally:
            writer.close()

    def runs(self, head: Head) -> bool:
        """Is it a request that this worker runs, and not one that it answers by itself?"""
        fields = head[2]
        path, expected = head[1].partition("?")[0], fields.get("expect-worker", self.id)
        return path != "/health" and expected == self.id and bool(fields.get("attempt-id"))

    async def _work(self, id: str, reader: asyncio.StreamReader) -> bool:
        """Takes its time; False, and it stops, where the connection closes meanwhile."""
        began, work_s = time.monotonic_ns(), self._draw_work_s()
        self._write(id, began, takes=int(work_s * 1e9))
        if not work_s:
            self._write(id, began, "answered")
            return True
        closed = asyncio.ensure_future(reader.read(1))  # nothing is sent ahead of an answer
        await asyncio.wait({closed}, timeout=work_s)
        was_cut = closed.done()
        closed.cancel()
        self._write(id, began, "cut" if was_cut else "answered")
        return not was_cut

    def _draw_work_s(self) -> float:
        if self.work_ms <= 0:
            return 0.0
        return random.lognormvariate(math.log(self.work_ms) - SPREAD**2 / 2, SPREAD) / 1000

    def _write(self, id: str, began: int, end: str = "", takes: int = 0) -> None:
        if self.record is None:
            return
        row: dict[str, object] = {"id": id, "worker": self.id, "began": began}
        row |= {"ended": time.monotonic_ns(), "end": end} if end else {"takes": takes}
        self.record.write(json.dumps(row) + "\n")
        self.record.flush()

    def answer(self, head: Head, body: bytes) -> bytes:
        """What this worker answers to a request."""
        method, target, fields = head
        id, expected = fields.get("attempt-id"), fields.get("expect-worker", self.id)
        path = target.partition("?")[0]
        if path == "/health":
            return self._written("503 Leaving" if self.leaving else "200 OK", b"", [])
        if expected != self.id:
            return self._written("421 Misdirected Request", b"another worker is here\n", ["Not-Run: 1"])
        if not id:
            return self._written("400 Bad Request", b"no Attempt-Id\n", ["Not-Run: 1"])
        who = fields.get("sender", "anybody")
        text = f"{self.id} in {self.zone} ran {method} {target} with {len(body)} bytes for {who}\n".encode()
        mark = hashlib.blake2s(id.encode() + text, digest_size=8).hexdigest()
        return self._written("200 OK", text, [f"Attempt-Id: {id}", f"Postmark: {mark}"])

    def _written(self, status: str, body: bytes, more: Iterable[str]) -> bytes:
        fields = [f"Worker-Id: {self.id}", f"Content-Length: {len(body)}", f"Keep-Alive: timeout={KEPT_S}"]
        fields += ["Content-Type: text/plain", *more] + (["Connection: close"] if self.leaving else [])
        return "\r\n".join([f"HTTP/1.1 {status}", *fields, "", ""]).encode() + body


def read_head(data: bytes) -> Head:
    """Method, target and fields by names in small letters; ValueError where it is no request."""
    first, *lines = data.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    return method, target, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """A body with a length or in chunks."""
    if "chunked" not in fields.get("transfer-encoding", "").lower():
        return await reader.readexactly(int(fields.get("content-length", "0")))
    out = b""
    while size := int((await reader.readline()).partition(b";")[0], 16):
        out += await reader.readexactly(size)
        await reader.readline()
    while (await reader.readline()).strip():
        pass
    return out


async def run(worker: Worker, beat_s: float, drain_s: float) -> None:
    """Until told to stop."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = await asyncio.start_server(worker.serve, *worker.where, limit=MOST_HEAD)
    while not stop.is_set():
        await worker.beat()
        try:
            async with asyncio.timeout(beat_s):
                await stop.wait()
        except TimeoutError:
            pass
    await worker.leave(drain_s)
    server.close()


def main(arguments: list[str] | None = None) -> int:
    """The command line."""
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.operator.toy_workers", description=__doc__)
    parser.add_argument("--listen", required=True, metavar="HOST:PORT")
    parser.add_argument("--line", required=True, metavar="NAME", help="the service")
    parser.add_argument("--zone", required=True, metavar="NAME")
    parser.add_argument("--control", required=True, metavar="HOST:PORT[,...]", help="core machines")
    parser.add_argument("--berths", type=int, default=4, metavar="N", help="requests at once (4)")
    parser.add_argument("--beat", type=float, default=1500, metavar="MS", help="between two beats (1500)")
    parser.add_argument("--work", type=float, default=0, metavar="MS", help="mean of work, long-tailed (0)")
    parser.add_argument("--record", type=Path, metavar="FILE", help="a line for each run's begin and end")
    parser.add_argument("--drain", type=float, default=500, metavar="MS", help="served on when leaving (500)")
    options = parser.parse_args(arguments)
    try:
        where, control = parse_address(options.listen), parse_addresses(options.control)
    except PepperrunError as error:
        print(error, file=sys.stderr)
        return 2

    async def begin() -> None:
        record = options.record.open("a") if options.record else None
        worker = Worker(options.line, options.zone, where, options.berths, control, options.work, record)
        await run(worker, options.beat / 1000, options.drain / 1000)

    asyncio.run(begin())
    return 0


if __name__ == "__main__":
    sys.exit(main())
