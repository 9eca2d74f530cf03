"""Messages between gatekeepers: UDP datagrams, whose sender is identified by its address."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from typing import cast

from pepperrun.config import Address
from pepperrun.log import log_message

MAX_DATAGRAM_BYTES = 256
MEMBERSHIP_TAG = b"\xb1"  # first byte of a membership datagram (`pepperrun/membership/wire.py`)


class Peers(asyncio.DatagramProtocol):
    """Sends from `peer_listen` and accepts datagrams that come from a configured peer address."""

    def __init__(
        self, peers: tuple[Address, ...], own_number: int, on_message: Callable[[int, bytes], None]
    ) -> None:
        self.peers, self.own_number, self.on_message = peers, own_number, on_message
        self.numbers_by_address = {
            address: number for number, address in enumerate(peers) if number != own_number
        }
        self.transport: asyncio.DatagramTransport | None = None
        self.on_message_copy: Callable[[int, bytes], None] | None = None  # set while another process drains
        self.on_membership: Callable[[int, bytes], None] | None = None  # receives membership datagrams
        self._handed_over: socket.socket | None = None  # a copy, while another process has the socket
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # No isinstance check: CPython 3.11's datagram transport does not derive from DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        number = self.numbers_by_address.get(addr[:2])
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            log_message("peers", f"dropped a datagram of {len(data)} bytes from {addr[0]}:{addr[1]}")
            return
        if data[:1] == MEMBERSHIP_TAG:
            if self.on_membership is not None:
                self.on_membership(number, data)
            return
        self.on_message(number, data)
        if self.on_message_copy is not None:
            self.on_message_copy(number, data)

    def hand_over_socket(self) -> int | None:
        """Returns a copy of the socket's descriptor for the process that sends and receives from now on."""
        if self.transport is None:
            return None
        sock = self.transport.get_extra_info("socket")
        self._handed_over = socket.socket(sock.family, sock.type, fileno=os.dup(sock.fileno()))
        self.transport.close()
        return os.dup(self._handed_over.fileno())

    def reclaim_socket(self) -> None:
        """Sends and receives again on the socket that was handed over."""
        handed_over, self._handed_over = self._handed_over, None
        if handed_over is None:
            return

        async def reopen() -> None:
            await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=handed_over)

        task = asyncio.get_running_loop().create_task(reopen())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def error_received(self, exc: Exception) -> None:
        pass  # a peer that is down refuses datagrams; the gossip tolerates their loss

    def send(self, peer: int, data: bytes) -> None:
        """Sends a message; drops and logs one that is too long or whose peer does not exist."""
        if (
            self.transport is None
            or peer == self.own_number
            or not 0 <= peer < len(self.peers)
            or len(data) > MAX_DATAGRAM_BYTES
        ):
            log_message("peers", f"can't send {len(data)} bytes to gatekeeper {peer}")
            return
        self.transport.sendto(data, self.peers[peer])


async def open_peers(
    listen: Address,
    peers: tuple[Address, ...],
    own_number: int,
    on_message: Callable[[int, bytes], None],
    fd: int | None = None,
) -> Peers:
    """Listens at `listen`, or on the socket `fd` that another process of this gatekeeper handed over."""
    loop = asyncio.get_running_loop()
    if fd is not None:
        sock = socket.socket(fileno=fd)
        sock.setblocking(False)
        _, adopted = await loop.create_datagram_endpoint(
            lambda: Peers(peers, own_number, on_message), sock=sock
        )
        return adopted
    _, protocol = await loop.create_datagram_endpoint(
        lambda: Peers(peers, own_number, on_message), local_addr=listen
    )
    return protocol
