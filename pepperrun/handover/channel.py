"""A Unix socket between the two processes of a gatekeeper: messages in order, some with a descriptor."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from pathlib import Path

from pepperrun.handover.wire import MOST_MESSAGE

BATCH = 64  # messages read before others have a turn
LONGEST_PATH = 100  # of a Unix socket; the system's bound is 107
_CREDENTIALS = struct.Struct("3i")

Heard = Callable[[bytes, int | None], None]


class Channel:
    """Messages both ways. `heard` is given each and owns its descriptor; `lost` is called once at the end."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, heard: Heard, lost: Callable[[], None]
    ) -> None:
        self.loop, self.heard, self.lost = loop, heard, lost
        self.sock: socket.socket | None = sock
        self.queue: deque[tuple[bytes, int | None]] = deque()  # not yet sent, with descriptors owned here
        sock.setblocking(False)
        loop.add_reader(sock, self._read)

    def send(self, data: bytes, fd: int | None = None) -> None:
        """Sends a message in its turn; the descriptor is closed here once it has gone, or can't go."""
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
        for _ in range(BATCH):
            if self.sock is None:
                return
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, MOST_MESSAGE, 4)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.close()
                return
            for extra in fds[1:]:
                os.close(extra)
            self.heard(data, fds[0] if fds else None)

    def close(self) -> None:
        """Ends it; what was not sent is dropped."""
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
        self.lost()

    async def flushed(self) -> None:
        """Until all is sent, or can't be."""
        while self.sock is not None and self.queue:
            await asyncio.sleep(0.005)


def path_of(folder: str, name: str) -> Path:
    """Where a gatekeeper's processes meet; ValueError where the system takes no such path."""
    safe = "".join(char if char.isalnum() and char.isascii() or char in "._-" else "_" for char in name)
    path = Path(folder) / f"pepperrun-{safe}.sock"
    if len(os.fsencode(path)) + 12 > LONGEST_PATH:
        raise ValueError(f"{path}: too long for a Unix socket")
    return path


def door(path: Path) -> socket.socket:
    """Listens at a path; another process's socket there is replaced, so that one can always be reached."""
    own = path.with_name(f"{path.name}.{os.getpid()}")
    own.unlink(missing_ok=True)  # of a process long gone that had this id
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        before = os.umask(0o177)
        try:
            sock.bind(str(own))
        finally:
            os.umask(before)
        sock.listen(4)
        sock.setblocking(False)
        os.rename(own, path)
    except OSError:
        sock.close()
        raise
    return sock


def same_user(sock: socket.socket) -> bool:
    """Is the other end a process of this user?"""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return int(_CREDENTIALS.unpack(raw)[1]) == os.geteuid()


def knock(path: Path) -> socket.socket | None:
    """A connection to the process that listens there; None where there is none."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.settimeout(0.5)
        sock.connect(str(path))
        if same_user(sock):
            return sock
    except OSError:
        pass
    sock.close()
    return None
