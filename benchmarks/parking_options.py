"""Prototypes of the ways to hold a silent connection, measured one against the other.

    python3 benchmarks/parking_options.py [COUNT]

Each runs in a process of its own and takes COUNT connections (4000), then 2000 of them speak one by one and
go silent again. What is printed: resident bytes a connection, microseconds of CPU to take one in, and to go
from silent to a transport and back.
"""

import array
import asyncio
import os
import select
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from pepperrun.bench.rig import usage  # noqa: E402
from pepperrun.net.buffer import Buffer  # noqa: E402
from pepperrun.net.http1 import REQUEST_BUFFER_SIZE, RequestParser  # noqa: E402

WAKES = 2000


class AsToday(asyncio.BufferedProtocol):
    """A transport, a protocol, a parser and a buffer each."""

    def __init__(self) -> None:
        self.buffer = Buffer(REQUEST_BUFFER_SIZE)
        self.parser = RequestParser(self.buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.drop(len(self.buffer))
        self.transport.write(b"x")  # type: ignore[attr-defined]  # type: ignore[attr-defined]


class Lean(asyncio.BufferedProtocol):
    """A transport, and a protocol that shares one buffer with all that hold nothing."""

    __slots__ = ("transport",)
    shared = bytearray(65536)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return memoryview(self.shared)

    def buffer_updated(self, nbytes: int) -> None:
        self.transport.write(b"x")  # type: ignore[attr-defined]


def transports(kind: type) -> None:
    async def run(listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        kept = []

        async def accept() -> None:
            while True:
                sock, _ = await loop.sock_accept(listening)
                kept.append((await loop.connect_accepted_socket(kind, sock))[1])

        await accept()

    listening = socket.socket(fileno=int(sys.argv[3]))
    listening.setblocking(False)
    asyncio.run(run(listening))


def nested(holder: bool) -> None:
    """Silent ones in an epoll instance; one that speaks gets a transport, and gives it up again.

    With a holder the descriptors are kept by another process and come and go over a Unix socket.
    """
    listening = socket.socket(fileno=int(sys.argv[3]))
    listening.setblocking(False)
    pair = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET) if holder else None
    if pair is not None and os.fork() == 0:
        hold(pair[1])
        os._exit(0)

    async def run() -> None:
        loop, silent = asyncio.get_running_loop(), select.epoll()
        dues = array.array("q", [0]) * 65536

        class Taken(Lean):
            def buffer_updated(self, nbytes: int) -> None:
                super().buffer_updated(nbytes)
                fd = os.dup(self.transport.get_extra_info("socket").fileno())
                self.transport.abort()  # type: ignore[attr-defined]
                park(fd)

        def park(fd: int) -> None:
            if pair is not None:
                pair[0].sendmsg([b"k"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))])
                os.close(fd)
            else:
                dues[fd] = time.monotonic_ns()
                silent.register(fd, select.EPOLLIN)

        def take(fd: int) -> None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
            sock.setblocking(False)
            task = loop.create_task(loop.connect_accepted_socket(Taken, sock))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        def accept() -> None:
            for _ in range(100):
                try:
                    fd = listening.accept()[0].detach()
                except BlockingIOError:
                    return
                os.set_blocking(fd, False)
                park(fd)

        def look() -> None:
            for fd, _ in silent.poll(0, 64):
                silent.unregister(fd)
                take(fd)

        def back() -> None:
            assert pair is not None
            _, ancillary, _, _ = pair[0].recvmsg(1, socket.CMSG_SPACE(4))
            take(array.array("i", ancillary[0][2])[0])

        tasks: set = set()
        loop.add_reader(listening, accept)
        loop.add_reader(silent.fileno(), look)
        if pair is not None:
            loop.add_reader(pair[0], back)
        await asyncio.Event().wait()

    asyncio.run(run())


def hold(control: socket.socket) -> None:
    silent = select.epoll()
    silent.register(control, select.EPOLLIN)
    while True:
        for fd, _ in silent.poll():
            if fd == control.fileno():
                data, ancillary, _, _ = control.recvmsg(1, socket.CMSG_SPACE(4))
                if not data:
                    return
                silent.register(array.array("i", ancillary[0][2])[0], select.EPOLLIN)
            else:
                silent.unregister(fd)
                control.sendmsg([b"b"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))])
                os.close(fd)


OPTIONS = {
    "transport, parser and buffer each (as today)": lambda: transports(AsToday),
    "lean transports, one buffer for all silent": lambda: transports(Lean),
    "nested epoll, arrays by descriptor": lambda: nested(False),
    "holder process, descriptors passed (SCM_RIGHTS)": lambda: nested(True),
}


def family(pid: int) -> list:
    with open(f"/proc/{pid}/task/{pid}/children") as file:
        return [usage(one) for one in [pid, *map(int, file.read().split())]]


def measure(name: str, count: int) -> None:
    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen(4096)
    process = subprocess.Popen(
        [sys.executable, __file__, "--option", name, str(listening.fileno())],
        pass_fds=[listening.fileno()],
        start_new_session=True,
    )
    address = listening.getsockname()
    listening.close()
    time.sleep(1.0)
    before, clients = family(process.pid), []
    for number in range(count):
        client = socket.create_connection(address)
        clients.append(client)
        if number % 256 == 0:
            time.sleep(0.02)
    time.sleep(1.0)
    opened = family(process.pid)
    for client in clients[:WAKES]:
        client.send(b"?")
        assert client.recv(1) == b"x"
    time.sleep(0.5)
    after = family(process.pid)

    def cpu(a: list, b: list) -> float:
        return sum(two.cpu_s - one.cpu_s for one, two in zip(a, b, strict=True)) * 1e6

    bytes_each = sum(two.anonymous - one.anonymous for one, two in zip(before, opened, strict=True)) / count
    print(
        f"{name:50} {bytes_each:7.0f} bytes  {cpu(before, opened) / count:6.1f} us in"
        f"  {cpu(opened, after) / WAKES:6.1f} us a wake  {opened[0].descriptors:6} descriptors here"
    )
    os.killpg(process.pid, signal.SIGKILL)  # with the holder process that it forked
    process.wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["--option"]:
        OPTIONS[sys.argv[2]]()
    else:
        for option in OPTIONS:
            measure(option, int(sys.argv[1]) if len(sys.argv) > 1 else 4000)
