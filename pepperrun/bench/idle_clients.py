"""A process that holds silent connections: `python3 -m pepperrun.bench.idle_clients NUMBER HOST PORT PIDS`.

Reads a command a line (JSON) and answers each with a line. Source addresses are spread over 127.0.0.0/8, as
one address has ports for 28,000 connections only. Opening is paced by the descriptors of the gatekeeper's
processes (PIDS): connections that wait to be accepted never fill the backlog, whose overflow would be
measured as the network's second-long retry and not as the gatekeeper's pace.
"""

from __future__ import annotations

import json
import os
import select
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

READY = b"GET /ready HTTP/1.1\r\nHost: bench\r\n\r\n"
WINDOW = 256  # opened and not yet accepted, of all processes together
EACH = 250  # connections from one source address
IP_BIND_ADDRESS_NO_PORT = 24
PATIENCE_S = 120.0


def descriptors(pids: list[int]) -> int:
    """How many descriptors some processes hold; those that have ended hold none."""
    count = 0
    for pid in pids:
        try:
            size = os.stat(f"/proc/{pid}/fd").st_size  # since Linux 6.2; 0 before
            count += size or len(os.listdir(f"/proc/{pid}/fd"))
        except OSError:
            continue
    return count


class IdleClients:
    """Connections that say nothing, or ask once, and what became of them."""

    def __init__(self, number: int, address: tuple[str, int], pids: list[int]) -> None:
        self.number, self.address, self.pids = number, address, pids
        self.sockets: dict[int, socket.socket] = {}
        self.opened_at: dict[int, int] = {}  # monotonic ns, before the connection was asked for
        self.closed: list[tuple[int, int]] = []  # opened at, closed at
        self.epoll = select.epoll()
        self.failed = 0

    def _connect(self, index: int) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        block = index // EACH
        source = f"127.{10 + self.number}.{1 + block // 200}.{1 + block % 200}"
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((source, 0))
        at = time.monotonic_ns()
        try:
            sock.connect(self.address)
        except OSError:
            self.failed += 1
            sock.close()
            return
        sock.setblocking(False)
        self.sockets[sock.fileno()], self.opened_at[sock.fileno()] = sock, at
        self.epoll.register(sock, select.EPOLLIN | select.EPOLLRDHUP)

    def open(self, count: int, processes: int, base: int) -> dict[str, Any]:
        """Opens connections as fast as they are accepted; `base`: descriptors before any were opened."""
        start = time.monotonic_ns()
        first, have = len(self.opened_at), len(self.sockets)
        for index in range(count):
            while True:
                if index % 16 == 0:
                    waiting = (have + index) * processes - (descriptors(self.pids) - base)
                    if waiting > WINDOW and time.monotonic_ns() - start < PATIENCE_S * 1e9:
                        time.sleep(0.0002)
                        continue
                break
            self._connect(first + index)
        return {"start": start, "end": time.monotonic_ns(), "open": len(self.sockets), "failed": self.failed}

    def ask(self, part: float, data: bytes) -> dict[str, Any]:
        """That part of the connections speaks at once; until each has its answer."""
        chosen = list(self.sockets)[: int(len(self.sockets) * part)]
        start, waiting, late = time.monotonic_ns(), set(), []
        for fd in chosen:
            try:
                self.sockets[fd].send(data)
                waiting.add(fd)
            except OSError:
                self.failed += 1
        sent, good = time.monotonic_ns(), 0
        limit = start + int(PATIENCE_S * 1e9)
        while waiting and time.monotonic_ns() < limit:
            for fd, _ in self.epoll.poll(1.0, 512):
                try:
                    got = self.sockets[fd].recv(4096)
                except OSError:
                    got = b""
                if not got:
                    self._ended(fd)
                elif fd in waiting:
                    good += got.startswith(b"HTTP/1.1 200")
                    late.append(time.monotonic_ns() - start)
                waiting.discard(fd)
        late.sort()
        return {
            "asked": len(chosen),
            "good": good,
            "sent_ms": (sent - start) / 1e6,
            "p50_ms": late[len(late) // 2] / 1e6 if late else None,
            "last_ms": late[-1] / 1e6 if late else None,
        }

    def _ended(self, fd: int) -> None:
        sock = self.sockets.pop(fd, None)
        if sock is not None:
            self.epoll.unregister(fd)
            sock.close()
            self.closed.append((self.opened_at[fd], time.monotonic_ns()))

    def watch(self, until_left: int, seconds: float) -> dict[str, Any]:
        """Until no more than so many are open; when each was opened and seen to close."""
        limit = time.monotonic() + seconds
        self.closed.clear()
        while len(self.sockets) > until_left and time.monotonic() < limit:
            for fd, _ in self.epoll.poll(0.2, 512):
                self._ended(fd)
        return {"open": len(self.sockets), "closed": self.closed}

    def close(self) -> dict[str, Any]:
        """Closes all."""
        for fd in list(self.sockets):
            self._ended(fd)
        self.closed.clear()
        return {}


def main(arguments: list[str]) -> None:
    """Obeys the commands on standard input until it ends."""
    number, host, port, pids = arguments
    clients = IdleClients(int(number), (host, int(port)), [int(pid) for pid in pids.split(",")])
    commands: dict[str, Callable[..., dict[str, Any]]] = {
        "open": clients.open,
        "ask": lambda part: clients.ask(part, READY),
        "watch": clients.watch,
        "close": clients.close,
    }
    for line in sys.stdin:
        what = json.loads(line)
        print(json.dumps(commands[what.pop("do")](**what)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
