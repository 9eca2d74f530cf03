"""Ports for what the lab starts, in blocks that one lab holds: others that run beside it take none of them.

All are below the system's ephemeral ones: a gatekeeper that comes back needs its port again, and another
program's outgoing connection may have it then.
"""

from __future__ import annotations

import random
import socket
import threading
from collections import deque
from collections.abc import Iterable

from pepperrun.bench.rig import HOST, RigError

FIRST, LAST, BLOCK = 12_000, 32_000, 200


class Ports:
    """Those of this process. A socket at its first port holds each block while the process lives."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.guards: list[socket.socket] = []
        self.free: deque[int] = deque()

    def take(self, count: int, kind: socket.SocketKind) -> list[int]:
        """So many on which nobody listens now. RigError where there are none."""
        found: list[int] = []
        with self.lock:
            tried = 0
            while len(found) < count:
                if tried >= len(self.free):
                    self._more()
                    tried = 0
                port = self.free.popleft()
                if _is_free(port, kind):
                    found.append(port)
                else:
                    self.free.append(port)
                    tried += 1
        return found

    def give_back(self, ports: Iterable[int]) -> None:
        """They may be given to others, the longest unused first."""
        with self.lock:
            self.free += ports

    def _more(self) -> None:
        blocks = list(range(FIRST, LAST, BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                guard.bind((HOST, first))
            except OSError:  # another lab has this block, or anybody its first port
                guard.close()
                continue
            self.guards.append(guard)
            self.free += range(first + 1, first + BLOCK)
            return
        raise RigError("no free ports")


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


ports = Ports()
free_ports = ports.take
