"""A simple worker of a service for trials, run as `python3 -m pepperrun.operator.toy_workers`.

It sends heartbeats to a control node, answers its health path, and answers each request with its own id. A
request for another worker gets 421. It shuts down gracefully: it reports that it is draining, serves for
`--drain` ms, then reports that it has ended.
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
from pepperrun.operator.control_client import ControlClient, parse_addresses

HEARTBEAT_TIMEOUT_S = 1.5  # for one heartbeat, over all addresses of a list
MAX_HEAD_BYTES = 64 * 1024
KEEP_ALIVE_S = 20  # for an idle connection
WORK_SIGMA = 0.9  # of the logarithm of work times: a few percent take several times the mean

Head = tuple[str, str, dict[str, str]]  # method, target, header fields by lower-case name


class Worker:
    """One incarnation of a worker, with a new id at each start."""

    def __init__(
        self,
        service: str,
        zone: str,
        address: Address,
        concurrency_limit: int,
        control_addresses: list[Address],
        work_ms: float = 0.0,
        record: TextIO | None = None,
    ) -> None:
        self.service, self.zone, self.address, self.concurrency_limit, self.control_addresses = (
            service,
            zone,
            address,
            concurrency_limit,
            control_addresses,
        )
        self.id = f"{service}-{secrets.token_hex(4)}"
        self.serial, self.is_draining = 0, False
        # The control node that a response named for further heartbeats; empty after a failed call.
        self.preferred_addresses: list[Address] = []
        self.slots = asyncio.Semaphore(concurrency_limit)
        self.work_ms, self.record = work_ms, record

    # Calls to control nodes.

    def _call(self, path: str, body: bytes) -> bool:
        """Calls a control node; returns whether it accepted the call. Blocks, so use a thread of its own."""
        for addresses in filter(None, (self.preferred_addresses, self.control_addresses)):
            try:
                response = ControlClient(addresses, HEARTBEAT_TIMEOUT_S).call("POST", path, body)
            except PepperrunError:
                self.preferred_addresses = []
                continue
            if 200 <= response.status < 300:
                preferred = json.loads(response.body or b"{}").get("forward_to")
                self.preferred_addresses = (
                    [parse_address(preferred)] if preferred else self.preferred_addresses
                )
                return True
        return False

    async def send_heartbeat(self) -> bool:
        """Reports the address and state of the worker. Returns whether a control node accepted the report."""
        self.serial += 1
        host, port = self.address
        state = "unloading" if self.is_draining else "boarding"
        body = {
            "address": f"{host}:{port}",
            "notice": {
                "line": self.service,
                "edition": "toy",
                "zone": self.zone,
                "berths": self.concurrency_limit,
            },
            "tracking": {"state": state, "serial": self.serial, "cold_ms": 0},
        }
        return await asyncio.to_thread(self._call, f"/crew/{self.id}/beat", json.dumps(body).encode())

    async def shut_down(self, drain_s: float) -> None:
        """Reports that the worker is draining, waits for `drain_s`, and reports its end.

        Skips the wait if no control node accepted the first report.
        """
        self.is_draining = True
        if await self.send_heartbeat():
            await asyncio.sleep(drain_s)
        await asyncio.to_thread(self._call, f"/crew/{self.id}/leave", b"")

    # Requests.

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves the requests of one connection, one after the other."""
        try:
            while True:
                async with asyncio.timeout(KEEP_ALIVE_S):
                    head = read_head(await reader.readuntil(b"\r\n\r\n"))
                    body = await read_body(reader, head[2])
                async with self.slots:
                    if reader.at_eof() or reader.exception() is not None:
                        break  # the client closed the connection while its request waited for a slot
                    answer = self.answer(head, body)
                    if self.runs_request(head) and not await self._run_request(head[2]["attempt-id"], reader):
                        break
                    writer.write(answer)
                    await writer.drain()
                if self.is_draining or head[2].get("connection", "").lower() == "close":
                    break
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            pass  # the client closed the connection, was idle for too long, or did not send valid HTTP
        finally:
            writer.close()

    def runs_request(self, head: Head) -> bool:
        """Returns whether the worker runs this request, unlike a health check or a rejected request."""
        fields = head[2]
        path, expected = head[1].partition("?")[0], fields.get("expect-worker", self.id)
        return path != "/health" and expected == self.id and bool(fields.get("attempt-id"))

    async def _run_request(self, id: str, reader: asyncio.StreamReader) -> bool:
        """Waits for a random work time. Stops and returns False if the connection is closed meanwhile."""
        began_ns, work_s = time.monotonic_ns(), self._draw_work_s()
        self._write_record(id, began_ns, work_ns=int(work_s * 1e9))
        if not work_s:
            self._write_record(id, began_ns, "answered")
            return True
        # Completes only if the connection is closed: clients send nothing before the response.
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({closed}, timeout=work_s)
        was_closed = closed.done()
        closed.cancel()
        self._write_record(id, began_ns, "cut" if was_closed else "answered")
        return not was_closed

    def _draw_work_s(self) -> float:
        if self.work_ms <= 0:
            return 0.0
        return random.lognormvariate(math.log(self.work_ms) - WORK_SIGMA**2 / 2, WORK_SIGMA) / 1000

    def _write_record(self, id: str, began_ns: int, end: str = "", work_ns: int = 0) -> None:
        if self.record is None:
            return
        row: dict[str, object] = {"id": id, "worker": self.id, "began": began_ns}
        row |= {"ended": time.monotonic_ns(), "end": end} if end else {"takes": work_ns}
        self.record.write(json.dumps(row) + "\n")
        self.record.flush()

    def answer(self, head: Head, body: bytes) -> bytes:
        """Returns the encoded response to a request."""
        method, target, fields = head
        id, expected = fields.get("attempt-id"), fields.get("expect-worker", self.id)
        path = target.partition("?")[0]
        if path == "/health":
            return self._encode_response("503 Leaving" if self.is_draining else "200 OK", b"", [])
        if expected != self.id:
            return self._encode_response(
                "421 Misdirected Request", b"another worker is here\n", ["Not-Run: 1"]
            )
        if not id:
            return self._encode_response("400 Bad Request", b"no Attempt-Id\n", ["Not-Run: 1"])
        sender = fields.get("sender", "anybody")
        text = (
            f"{self.id} in {self.zone} ran {method} {target} with {len(body)} bytes for {sender}\n".encode()
        )
        digest = hashlib.blake2s(id.encode() + text, digest_size=8).hexdigest()
        return self._encode_response("200 OK", text, [f"Attempt-Id: {id}", f"Postmark: {digest}"])

    def _encode_response(self, status: str, body: bytes, extra_fields: Iterable[str]) -> bytes:
        fields = [
            f"Worker-Id: {self.id}",
            f"Content-Length: {len(body)}",
            f"Keep-Alive: timeout={KEEP_ALIVE_S}",
        ]
        fields += ["Content-Type: text/plain", *extra_fields] + (
            ["Connection: close"] if self.is_draining else []
        )
        return "\r\n".join([f"HTTP/1.1 {status}", *fields, "", ""]).encode() + body


def read_head(data: bytes) -> Head:
    """Returns method, target and header fields by lower-case names. Raises ValueError if it is no request."""
    first, *lines = data.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    return method, target, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Returns a body with a Content-Length or in chunks, without its trailers."""
    if "chunked" not in fields.get("transfer-encoding", "").lower():
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    while (await reader.readline()).strip():
        pass
    return body


async def run(worker: Worker, heartbeat_s: float, drain_s: float) -> None:
    """Serves and sends heartbeats until SIGTERM or SIGINT, then drains."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = await asyncio.start_server(worker.serve, *worker.address, limit=MAX_HEAD_BYTES)
    while not stop.is_set():
        await worker.send_heartbeat()
        try:
            async with asyncio.timeout(heartbeat_s):
                await stop.wait()
        except TimeoutError:
            pass
    await worker.shut_down(drain_s)
    server.close()


def main(arguments: list[str] | None = None) -> int:
    """Parses the command line and runs the worker. Returns the exit code; 2 for an invalid address."""
    parser = argparse.ArgumentParser(prog="python3 -m pepperrun.operator.toy_workers", description=__doc__)
    parser.add_argument("--listen", required=True, metavar="HOST:PORT")
    parser.add_argument("--line", required=True, metavar="NAME", help="the service")
    parser.add_argument("--zone", required=True, metavar="NAME")
    parser.add_argument(
        "--control", required=True, metavar="HOST:PORT[,...]", help="addresses of control nodes"
    )
    parser.add_argument("--berths", type=int, default=4, metavar="N", help="limit on concurrent requests (4)")
    parser.add_argument("--beat", type=float, default=1500, metavar="MS", help="heartbeat interval (1500)")
    parser.add_argument("--work", type=float, default=0, metavar="MS", help="mean work time, long-tailed (0)")
    parser.add_argument(
        "--record", type=Path, metavar="FILE", help="write a line at the start and the end of each run"
    )
    parser.add_argument(
        "--drain", type=float, default=500, metavar="MS", help="time to keep serving at shutdown (500)"
    )
    options = parser.parse_args(arguments)
    try:
        address, control = parse_address(options.listen), parse_addresses(options.control)
    except PepperrunError as error:
        print(error, file=sys.stderr)
        return 2

    async def run_worker() -> None:
        record = options.record.open("a") if options.record else None
        worker = Worker(options.line, options.zone, address, options.berths, control, options.work, record)
        await run(worker, options.beat / 1000, options.drain / 1000)

    asyncio.run(run_worker())
    return 0


if __name__ == "__main__":
    sys.exit(main())
