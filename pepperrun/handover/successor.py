"""The new process's side of a handover: it requests the state, then adopts the client connections."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperrun.config import EndpointList, read_endpoint_list
from pepperrun.handover import state, wire
from pepperrun.handover.channel import Channel, connect
from pepperrun.handover.wire import MessageKind
from pepperrun.log import log_message

if TYPE_CHECKING:
    from pepperrun.gatekeeper import Gatekeeper
    from pepperrun.net.listener import Listener
    from pepperrun.net.peers import Peers

STATE_TIMEOUT_S = 2.0  # for the state; the platform allows 6 s for a start


class Successor:
    """The connection to the predecessor, and what was received on it."""

    def __init__(self) -> None:
        self.channel: Channel | None = None
        self.assembler = wire.StateAssembler()
        self.process_state: dict[str, Any] | None = None
        self.peer_socket_fd: int | None = None
        self.state_done = asyncio.Event()
        self.gatekeeper: Gatekeeper | None = None
        self.listener: Listener | None = None
        self.adopted_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def request_state(self, path: Path) -> None:
        """Requests the serving process's state; this process starts without it if none arrives in time."""
        sock = connect(path)
        if sock is None:
            return
        self.channel = Channel(asyncio.get_running_loop(), sock, self._on_message, self.state_done.set)
        self.channel.send(wire.encode(MessageKind.REQUEST_STATE))
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                await self.state_done.wait()
        except TimeoutError:
            log_message("hand-over", f"the serving process sent no state within {STATE_TIMEOUT_S:.0f} s")
        # The peers' socket is sent right after the state.
        for _ in range(20):
            if (
                self.process_state is None
                or self.peer_socket_fd is not None
                or not self.process_state.get("peers")
            ):
                break
            await asyncio.sleep(0.01)

    def _on_message(self, data: bytes, fd: int | None) -> None:
        try:
            kind, body = wire.decode(data)
            if kind is MessageKind.CLIENT_CONNECTION and fd is not None:
                client_fd, fd = fd, None
                self._adopt_client(wire.decode_client(body), client_fd)
            elif kind is MessageKind.STATE_CHUNK:
                self.assembler.add(body)
            elif kind is MessageKind.STATE_END:
                assembler, self.assembler = self.assembler, wire.StateAssembler()
                received_state = assembler.finish(body)
                if not isinstance(received_state, dict):
                    raise ValueError("the state is not a JSON object")
                self.process_state = received_state
                self.state_done.set()
                if self.gatekeeper is not None:  # reported ready late: the earlier state is out of date
                    self.restore(self.gatekeeper)
            elif kind is MessageKind.PEER_SOCKET and fd is not None and self.peer_socket_fd is None:
                self.peer_socket_fd, fd = fd, None
            elif kind is MessageKind.REMAINDER and self.gatekeeper is not None:
                now = self.gatekeeper.clock()
                state.add_remainder(self.gatekeeper.gateway, wire.unpack(body), now)
        except (ValueError, TypeError) as error:
            log_message("hand-over", f"invalid handover message: {error}")
            self.state_done.set()
        finally:
            if fd is not None:
                os.close(fd)

    def endpoint_list(self) -> EndpointList | None:
        """Returns the predecessor's endpoint list; None if it is missing or invalid."""
        if self.process_state is None:
            return None
        try:
            return read_endpoint_list(self.process_state["list"])
        except (KeyError, TypeError, ValueError) as error:
            log_message("hand-over", f"the predecessor's endpoint list is invalid: {error}")
            return None

    def list_version(self) -> int | None:
        """Returns discovery's version of the list; None if the complete list must be requested."""
        endpoint_list = self.endpoint_list()
        if endpoint_list is None or self.process_state is None or self.process_state.get("known") is not True:
            return None
        return endpoint_list.version

    def restore(self, gatekeeper: Gatekeeper) -> bool:
        """Restores the gateway from the state; returns whether there is a valid one."""
        self.gatekeeper = gatekeeper
        if self.process_state is None:
            return False
        try:
            state.restore(gatekeeper.gateway, self.process_state.get("gateway"), gatekeeper.clock())
        except ValueError as error:
            log_message("hand-over", f"starting without the predecessor's state, which is invalid: {error}")
            return False
        log_message(
            "hand-over", f"took over the state of {len(gatekeeper.gateway.quotas.accounts)} customers"
        )
        return True

    def announce_ready(self, listener: Listener, peers: Peers | None) -> None:
        """Reports that this process accepts clients; peers' messages are copied to the predecessor now."""
        self.listener = listener
        if self.channel is None:
            return
        if self.channel.sock is None:
            if self.process_state is not None and self.gatekeeper is not None:
                log_message("hand-over", "the predecessor resumed serving; dropping its state")
                state.reset(self.gatekeeper.gateway, self.gatekeeper.clock())
            return
        self.channel.send(wire.encode(MessageKind.READY))
        if peers is not None:
            peers.on_message_copy = self._forward_peer_message

    def _forward_peer_message(self, peer: int, data: bytes) -> None:
        """Copies a peer's message to the predecessor: the message may answer a request accepted there."""
        if self.channel is not None and self.channel.sock is not None:
            self.channel.send(wire.encode(MessageKind.PEER_MESSAGE, peer.to_bytes(4, "little") + data))

    def _adopt_client(self, snapshot: wire.ConnectionSnapshot, fd: int) -> None:
        try:
            sock = socket.socket(fileno=fd)
        except OSError:
            os.close(fd)
            return
        if self.listener is None or sock.type != socket.SOCK_STREAM:
            sock.close()
            return
        sock.setblocking(False)
        self.adopted_count += 1
        task = asyncio.get_running_loop().create_task(self.listener.adopt(sock, snapshot))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Closes the connection to the predecessor."""
        if self.channel is not None:
            self.channel.close()
