"""The lab's network: `python3 -m pepperrun.lab.relay`, a process of its own, JSON lines on its input.

Each pair of gatekeepers has two UDP sockets here, each gatekeeper and worker a TCP listener, so that a pair's
two directions can be broken apart: loss, delay, jitter, twice, reordering, garbling, replay, a rate, a cut. A
connection over a cut stays up and silent, and none comes up: the listener's queue is kept full.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import sys
import time
from collections import deque
from typing import Any

HOST = "127.0.0.1"
SLOTS = 64  # datagrams remembered of a pair, to be replayed
PIECE = 65536
BACKLOG = 256


class Path:
    """One direction of a pair."""

    __slots__ = ("cut", "delay_ms", "garble", "jitter_ms", "loss", "rate", "reorder", "replay", "twice")

    def __init__(self) -> None:
        self.cut = False
        self.loss = self.twice = self.reorder = self.garble = self.replay = 0.0
        self.delay_ms = self.jitter_ms = self.rate = 0.0

    def set(self, **what: float) -> None:
        """Sets what is named."""
        for key, value in what.items():
            setattr(self, key, bool(value) if key == "cut" else float(value))


class Datagrams(asyncio.DatagramProtocol):
    """The socket that gatekeeper `one` takes for gatekeeper `other`."""

    def __init__(self, relay: Relay, one: int, other: int) -> None:
        self.relay, self.one, self.other = relay, one, other
        self.transport: asyncio.DatagramTransport | None = None
        self.old: deque[bytes] = deque(maxlen=SLOTS)
        self.free_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.relay.passed(self, data)

    def error_received(self, exc: Exception) -> None:
        pass  # who is down refuses


class Pump(asyncio.Protocol):
    """One end of a TCP connection; `other` is the opposite one."""

    def __init__(self, link: Link, towards: Path, first: bool) -> None:
        self.link, self.towards, self.first = link, towards, first
        self.other: Pump | None = None
        self.transport: asyncio.Transport | None = None
        self.held: deque[bytes] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.ready_at = 0.0
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.link.pumps.add(self)
        if self.first:
            task = asyncio.get_running_loop().create_task(self.link.upstream(self))
            self.link.relay.keep(task)
        self.pump()

    def data_received(self, data: bytes) -> None:
        self.held.append(data)
        if len(self.held) > 64 and self.transport is not None:
            self.transport.pause_reading()
        self.pump()

    def eof_received(self) -> bool:
        self.ended = True
        self.pump()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.ended = True
        self.link.pumps.discard(self)
        # A reset does not cross a cut either.
        self.pump()

    def pump(self) -> None:
        """Passes on what is due."""
        other, path, now = self.other, self.towards, time.monotonic()
        if other is None or path.cut or self.timer is not None:
            return
        if self.held and other.transport is not None:
            if self.ready_at == 0.0:
                extra = path.jitter_ms * self.link.relay.random.random()
                # What is lost of a stream comes once it is sent again.
                extra += 200 if self.link.relay.random.random() < path.loss else 0
                self.ready_at = now + (path.delay_ms + extra) / 1000
                if path.rate > 0:
                    self.ready_at += len(self.held[0]) / path.rate
            if now < self.ready_at:
                self.timer = asyncio.get_running_loop().call_later(self.ready_at - now, self._due)
                return
            self.ready_at = 0.0
            other.transport.write(self.held.popleft())
            if self.transport is not None:
                self.transport.resume_reading()
            if self.held:
                self.pump()
                return
        if self.ended and not self.held and other.transport is not None:
            if self.transport is None:
                other.transport.abort() if not self.link.relay.gentle else other.transport.close()
            else:
                other.transport.close()

    def _due(self) -> None:
        self.timer = None
        self.pump()


class Link:
    """A gatekeeper's way to a worker: a listener and the connections through it."""

    def __init__(self, relay: Relay, one: int, worker: int, port: int) -> None:
        self.relay, self.one, self.worker, self.to_port = relay, one, worker, port
        self.there, self.back = Path(), Path()
        self.pumps: set[Pump] = set()
        self.fill: list[socket.socket] = []
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.bind((HOST, 0))
        self.port = int(self.sock.getsockname()[1])
        self.sock.listen(BACKLOG)
        self.closed = False
        asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def _accept(self) -> None:
        for _ in range(32):
            try:
                sock, addr = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            make = lambda: Pump(self, self.there, True)  # noqa: E731
            self.relay.keep(loop.create_task(loop.connect_accepted_socket(make, sock)))

    async def upstream(self, pump: Pump) -> None:
        """Connects to the worker, from an address that says which gatekeeper it is."""
        loop = asyncio.get_running_loop()
        try:
            _, other = await loop.create_connection(
                lambda: Pump(self, self.back, False),
                HOST,
                self.to_port,
                local_addr=(source_of(self.one), 0),
            )
        except OSError:
            if pump.transport is not None:
                pump.transport.abort()
            return
        pump.other, other.other = other, pump
        pump.pump()
        other.pump()

    def changed(self) -> None:
        """A path was set: a cut keeps the listener's queue full, its end lets all go on."""
        cut = self.there.cut or self.back.cut
        loop = asyncio.get_running_loop()
        if cut and not self.closed:
            self.closed = True
            loop.remove_reader(self.sock)
            self.sock.listen(0)
            for _ in range(3):
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                with contextlib.suppress(OSError):
                    sock.connect((HOST, self.port))
                self.fill.append(sock)
        elif not cut and self.closed:
            self.closed = False
            for sock in self.fill:
                sock.close()
            self.fill = []
            self.sock.listen(BACKLOG)
            loop.add_reader(self.sock, self._accept)
        for pump in list(self.pumps):
            pump.pump()


def source_of(gatekeeper: int) -> str:
    """The address from which a gatekeeper's connections reach workers."""
    return f"127.0.1.{gatekeeper + 1}"


def gatekeeper_of(address: str) -> int:
    """Whose connection comes from there; -1 where it is nobody's."""
    return int(address.rsplit(".", 1)[1]) - 1 if address.startswith("127.0.1.") else -1


class Relay:
    """All pairs."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.gentle = False
        self.udp: dict[tuple[int, int], Datagrams] = {}
        self.paths: dict[tuple[int, int], Path] = {}
        self.targets: list[list[int]] = []
        self.links: dict[tuple[int, int], Link] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.counts = {
            "passed": 0,
            "bytes": 0,
            "lost": 0,
            "garbled": 0,
            "replayed": 0,
            "members": 0,
            "members_bytes": 0,
        }

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Holds a task until it is over."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self, peers: list[int], workers: list[int]) -> dict[str, Any]:
        """Sockets for all pairs; their ports."""
        loop, count = asyncio.get_running_loop(), len(peers)
        self.targets = [[port] for port in peers]
        udp = [[0] * count for _ in peers]
        for one in range(count):
            for other in range(count):
                if one == other:
                    udp[one][other] = peers[one]
                    continue
                transport, protocol = await loop.create_datagram_endpoint(
                    lambda one=one, other=other: Datagrams(self, one, other),  # type: ignore[misc]
                    local_addr=(HOST, 0),
                )
                self.udp[one, other], self.paths[one, other] = protocol, Path()
                udp[one][other] = transport.get_extra_info("sockname")[1]
        tcp = []
        for one in range(count):
            row = []
            for number, port in enumerate(workers):
                link = self.links[one, number] = Link(self, one, number, port)
                row.append(link.port)
            tcp.append(row)
        return {"udp": udp, "tcp": tcp}

    # Datagrams.

    def passed(self, at: Datagrams, data: bytes) -> None:
        """One has come from `at.one` for `at.other`."""
        path, rng = self.paths[at.one, at.other], self.random
        self.counts["passed"] += 1
        self.counts["bytes"] += len(data)
        if data[:1] == b"\xb1":
            self.counts["members"] += 1
            self.counts["members_bytes"] += len(data)
        if path.cut or path.loss > 0 and rng.random() < path.loss:
            self.counts["lost"] += 1
            return
        if path.garble > 0 and rng.random() < path.garble:
            self.counts["garbled"] += 1
            spoilt = bytearray(data)
            spoilt[rng.randrange(len(spoilt))] ^= 1 << rng.randrange(8)
            data = bytes(spoilt[: rng.randrange(1, len(spoilt) + 1)] if rng.random() < 0.3 else spoilt)
        self._later(at, path, data)
        if path.twice > 0 and rng.random() < path.twice:
            self._later(at, path, data)
        if path.replay > 0:
            if at.old and rng.random() < path.replay:
                self.counts["replayed"] += 1
                self._later(at, path, rng.choice(at.old))
            at.old.append(data)

    def _later(self, at: Datagrams, path: Path, data: bytes) -> None:
        late = path.delay_ms + path.jitter_ms * self.random.random()
        if path.reorder > 0 and self.random.random() < path.reorder:
            late += 2 * path.delay_ms + 20
        loop = asyncio.get_running_loop()
        if path.rate > 0:
            at.free_at = max(at.free_at, loop.time()) + len(data) / path.rate
            late += (at.free_at - loop.time()) * 1000
        if late <= 0:
            self._deliver(at, data)
        else:
            loop.call_later(late / 1000, self._deliver, at, data)

    def _deliver(self, at: Datagrams, data: bytes) -> None:
        back = self.udp[at.other, at.one]  # `other` knows `one` by this address
        if back.transport is not None:
            for port in self.targets[at.other]:
                back.transport.sendto(data, (HOST, port))

    # Commands.

    def set(self, pairs: list[list[int]], links: list[list[int]], what: dict[str, float]) -> None:
        """Sets paths: pairs of gatekeepers in a direction, and gatekeeper, worker and 0 there or 1 back."""
        for one, other in pairs:
            if one != other:
                self.paths[one, other].set(**what)
        for one, worker, back in links:
            link = self.links[one, worker]
            (link.back if back else link.there).set(**what)
            link.changed()


async def main() -> None:
    """Obeys lines of JSON until the input ends; each is answered by one."""
    loop = asyncio.get_running_loop()
    first = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    relay = Relay(first["seed"])
    print(json.dumps(await relay.open(first["peers"], first["workers"])), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        command = json.loads(line)
        match command.pop("do"):
            case "set":
                relay.set(**command)
            case "target":
                relay.targets[command["one"]] = command["ports"]
        print(json.dumps(relay.counts), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
