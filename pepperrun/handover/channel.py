"""Ordered messages, some with a file descriptor, over a Unix socket between two processes of a gatekeeper."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from pathlib import Path

from pepperrun.handover.wire import MAX_MESSAGE_BYTES

MAX_READS_PER_WAKEUP = 64  # messages read before the event loop runs other callbacks
MAX_PATH_BYTES = 100  # of a Unix socket; the system's limit is 107
_CREDENTIALS = struct.Struct("3i")

MessageCallback = Callable[[bytes, int | None], None]


class Channel:
    """Sends and receives messages; each may carry a descriptor.

    `on_message` gets each received message and owns its descriptor. `on_closed` is called once, when the
    connection has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: MessageCallback,
        on_closed: Callable[[], None],
    ) -> None:
        self.loop, self.on_message, self.on_closed = loop, on_message, on_closed
        self.sock: socket.socket | None = sock
        self.queue: deque[tuple[bytes, int | None]] = deque()  # not yet sent; owns the descriptors
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    def send(self, data: bytes, fd: int | None = None) -> None:
        """Queues a message. Closes the descriptor once it has been sent, or if it can't be sent."""
        if self.sock is None:
            if fd is not None:
                os.close(fd)
            return
        self.queue.append((data, fd))
        if len(self.queue) == 1:
            self._write()

    def _write(self) -> None:
        while self.sock is not None and self.queue:
            data, fd = self.queue[0]
            try:
                if fd is None:
                    self.sock.send(data)
                else:
                    socket.send_fds(self.sock, [data], [fd])
            except (BlockingIOError, InterruptedError):
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError:
                self.close()
                return
            self.queue.popleft()
            if fd is not None:
                os.close(fd)
        if self.sock is not None:
            self.loop.remove_writer(self.sock)

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            if self.sock is None:
                return
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, 4)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.close()
                return
            for extra in fds[1:]:
                os.close(extra)
            self.on_message(data, fds[0] if fds else None)

    def close(self) -> None:
        """Closes the connection, drops messages that were not sent and calls `on_closed`."""
        sock, self.sock = self.sock, None
        if sock is None:
            return
        self.loop.remove_reader(sock)
        self.loop.remove_writer(sock)
        sock.close()
        for _, fd in self.queue:
            if fd is not None:
                os.close(fd)
        self.queue.clear()
        self.on_closed()

    async def wait_until_sent(self) -> None:
        """Waits until all messages are sent or the connection has ended."""
        while self.sock is not None and self.queue:
            await asyncio.sleep(0.005)


def socket_path(folder: str, name: str) -> Path:
    """Returns the path of a gatekeeper's handover socket.

    Raises ValueError if the path is too long for a Unix socket.
    """
    safe_name = "".join(char if char.isalnum() and char.isascii() or char in "._-" else "_" for char in name)
    path = Path(folder) / f"pepperrun-{safe_name}.sock"
    if len(os.fsencode(path)) + 12 > MAX_PATH_BYTES:
        raise ValueError(f"{path}: too long for a Unix socket")
    return path


def bind_socket(path: Path) -> socket.socket:
    """Returns a socket that listens at a path, for processes of this user only.

    Binds to a temporary path and renames it, which replaces another process's socket at the path: at any time
    some process can be reached there.
    """
    temporary_path = path.with_name(f"{path.name}.{os.getpid()}")
    temporary_path.unlink(missing_ok=True)  # left by an ended process that had this process id
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        old_umask = os.umask(0o177)
        try:
            sock.bind(str(temporary_path))
        finally:
            os.umask(old_umask)
        sock.listen(4)
        sock.setblocking(False)
        os.rename(temporary_path, path)
    except OSError:
        sock.close()
        raise
    return sock


def is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end runs as this user."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return int(_CREDENTIALS.unpack(raw)[1]) == os.geteuid()


def connect(path: Path) -> socket.socket | None:
    """Returns a connection to the process that listens at a path; None if there is none of this user."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.settimeout(0.5)
        sock.connect(str(path))
        if is_same_user(sock):
            return sock
    except OSError:
        pass
    sock.close()
    return None
