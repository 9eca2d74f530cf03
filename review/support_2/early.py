"""A worker that answers before it has read a long body, and clients that send such bodies."""

from __future__ import annotations

import asyncio
import collections
import secrets
import socket
from collections.abc import Sequence

from support_2.deployment import Address, Record
from support_2.standins import CUT, KEY, Worker, call, encode, require_served

SEGMENT = 1400  # bytes, as on a network of Ethernet
RECEIVE_BYTES = 2048  # of a worker's socket
PROMISES = (408, 421, 429, 503)


class EarlyWorker(Worker):
    """A worker that works and answers once the first part of a body is there, and reads on later."""

    listening: socket.socket | None = None
    tasks: Sequence[asyncio.Task[None]] = ()

    async def start(self) -> None:
        """Listen, and begin to beat."""
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        self.listening.bind(self.address)
        self.listening.listen(256)
        self.listening.setblocking(False)
        self.serving: list[asyncio.Task[None]] = []
        self.tasks = self.serving
        self.serving.append(asyncio.create_task(self._accept(self.listening)))
        self._beating = asyncio.create_task(self._beat_for_ever())

    def work_time_s(self) -> float:
        """Return how long the work on the next request takes."""
        return self.work_s

    async def stop(self) -> None:
        """End without notice."""
        self.stop_beating()
        for task in self.tasks:
            task.cancel()
        if self.listening is not None:
            self.listening.close()

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(listening)
            accepted.setblocking(False)
            self.serving.append(asyncio.create_task(self._serve_socket(accepted)))

    async def _serve_socket(self, accepted: socket.socket) -> None:
        try:
            while await self._serve_one(accepted):
                pass
        except CUT:
            pass
        finally:
            accepted.close()

    async def _serve_one(self, accepted: socket.socket) -> bool:
        """Serve one request; return whether the connection stays."""
        loop, data = asyncio.get_running_loop(), b""
        while b"\r\n\r\n" not in data:
            data += await _receive(accepted, 1024)
        head, _, data = data.partition(b"\r\n\r\n")
        first, *rows = head.decode("latin-1").split("\r\n")
        fields = {name.lower(): text.strip() for name, _, text in (row.partition(":") for row in rows)}
        id_, left = fields.get("attempt-id", ""), int(fields.get("content-length", "0")) - len(data)
        if fields.get("expect-worker", self.id) != self.id:
            marks = ["Not-Run: 1", f"Attempt-Id: {id_}"]
            await loop.sock_sendall(accepted, encode(421, marks, b"another\n"))
            return False
        self.note_run(id_, first)
        await asyncio.sleep(self.work_time_s())
        marks = [f"Attempt-Id: {id_}", f"Postmark: {self.id}.{id_}"]
        answer = encode(200, marks, b"x" * 2000)
        if self.cuts(id_):
            await loop.sock_sendall(accepted, answer[:1000])
            await asyncio.sleep(0.02)
            return False
        await loop.sock_sendall(accepted, answer)
        while left > 0:
            left -= len(await _receive(accepted, min(4096, left)))
        return True

    def cuts(self, id_: str) -> bool:
        """Return whether this answer is to be cut off."""
        return False


async def _receive(accepted: socket.socket, count: int) -> bytes:
    data = await asyncio.get_running_loop().sock_recv(accepted, count)
    if not data:
        raise EOFError
    return data


async def submit(
    record: Record, address: Address, size: int, deadline_ms: int, statuses: dict[str, int]
) -> None:
    """Send an unsafe request with a body of so many bytes."""
    id_ = secrets.token_hex(8)
    record.write("send", id=id_, gatekeeper=address[0], bytes=size)
    fields = {"Attempt-Id": id_, "Deadline-Ms": str(deadline_ms), "Authorization": f"Token {KEY}"}
    reply = await call(address, "POST", f"/u/intake/{id_[:4]}", fields, b"b" * size, deadline_ms / 1000 + 2)
    statuses[id_] = reply.status if reply is not None else 0
    record.write("answer", id=id_, gatekeeper=address[0], status=statuses[id_])


def judge(record: Record, workers: Sequence[Worker], statuses: dict[str, int]) -> list[str]:
    """Return what broke the rule TWICE; all requests were unsafe. What broke REFUSED is only recorded."""
    runs = collections.Counter(id_ for worker in workers for _, id_ in worker.runs if id_ in statuses)
    twice = [id_ for id_, count in runs.items() if count > 1]
    refused = [id_ for id_, status in statuses.items() if status in PROMISES and runs[id_]]
    kinds = dict(collections.Counter(statuses.values()))
    record.write("sum", sent=len(statuses), statuses=kinds, twice=len(twice), refused=len(refused))
    if refused:
        print(f"beside it, REFUSED: {len(refused)} requests that had run got {statuses[refused[0]]}")
    if twice:
        return [f"TWICE: {len(twice)} unsafe requests ran at two workers, such as {twice[0]}"]
    require_served(kinds.get(200, 0), len(statuses))
    return []
