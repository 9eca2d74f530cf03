"""Beside the cases: answers that are never read on a connection whose last answer had a slow reader.

A client reads a long answer slowly. When its last bytes arrive the gatekeeper has paused reading from the
worker, and the kept connection stays paused. The next request on it runs, and its answer is never read: the
client gets 504 at its deadline. Run: `python3 review/paused_connection.py`; exit code 1 if that was seen.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from stand_ins import (
    HOST,
    KEY,
    Deployment,
    Record,
    Worker,
    end_in_order,
    open_deployment,
    send,
)

SIZE, ROUNDS, AT_ONCE, SLOW_S, RECEIVE_BUFFER = 8 << 20, 40, 8, 0.002, 1 << 16


class LongWorker(Worker):
    """A worker whose answers to `/big` are long."""

    async def answer(
        self, method: str, target: str, fields: dict[str, str], body: bytes, reached: float
    ) -> bytes:
        """Run a request and return the answer."""
        if "/big" not in target:
            return await super().answer(method, target, fields, body, reached)
        more = [f"Attempt-Id: {fields.get('attempt-id', '')}", f"Postmark: {secrets.token_hex(8)}"]
        return self.encode("200 OK", bytes(SIZE + random.randrange(1 << 16)), more)


async def read_slowly(address: tuple[str, int]) -> None:
    """Read a long answer whole, a little at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)  # a client's window is small
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 16)
    lines = ["GET /huvo11a/read/big HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {secrets.token_hex(8)}"]
    lines += ["Deadline-Ms: 3000", f"Authorization: Token {KEY}"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    left = int(head.partition(b"content-length:")[2].partition(b"\r")[0])
    while left:
        left -= len(await reader.read(min(left, 1 << 16)))
        await asyncio.sleep(SLOW_S)
    writer.close()


async def play(record: Record, deployment: Deployment) -> int:
    """Alternate slow readers and unsafe requests; return 1 if a request that ran was not answered."""
    workers = await open_deployment(deployment, record, "huvo11a", 1, LongWorker)
    address = deployment.gateways[0].ip, deployment.ports["counter"]
    lost = 0
    for _ in range(ROUNDS):
        await asyncio.gather(*(read_slowly(address) for _ in range(AT_ONCE)))
        path = "/huvo11a/write/booking"
        sent = await asyncio.gather(*(send(record, address, "POST", path, b"tally") for _ in range(AT_ONCE)))
        ran = {attempt for _, attempt, _ in workers[0].runs}
        for one in sent:
            if one.attempt in ran and one.status != 200:
                lost += 1
                record.say(
                    f"booking {one.attempt} ran, answered {one.status} after {one.ended - one.at:.2f} s"
                )
    for worker in workers:
        await worker.close()
    record.say(f"{lost} of {ROUNDS * AT_ONCE} bookings ran and were not answered with the worker's answer")
    return 1 if lost else 0


def main() -> int:
    """Play once."""
    end_in_order()
    record = Record(Path(__file__).resolve().parent / "record.txt")
    deployment = None
    try:
        deployment = Deployment(record, cores=3, gateways=1, workers=1)
        return asyncio.run(play(record, deployment))
    except Exception as error:  # noqa: BLE001 (exit code 1 is for an answer that was never read)
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        if deployment is not None:
            deployment.close()


if __name__ == "__main__":
    sys.exit(main())
