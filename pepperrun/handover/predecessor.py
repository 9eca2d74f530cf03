"""The serving process's side of a handover: it sends its state and its connections to a successor, then ends.

It answers the requests it has accepted itself. If the successor ends first, it resumes serving with the units
that it retained.
"""

from __future__ import annotations

import asyncio
import enum
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperrun.handover import state, wire
from pepperrun.handover.channel import Channel, bind_socket, is_same_user
from pepperrun.handover.wire import MessageKind
from pepperrun.log import log_message

if TYPE_CHECKING:
    from pepperrun.gatekeeper import Gatekeeper
    from pepperrun.net.listener import Client, Listener
    from pepperrun.net.peers import Peers
    from pepperrun.net.upstream import UpstreamClient

PASS_INTERVAL_S = 0.02  # between checks for connections without pending responses
READY_TIMEOUT_S = 0.7  # from the state until the successor reports ready; clients wait meanwhile
MAX_QUEUED_MESSAGES = 64  # unsent messages to the successor, which may be slow to receive them


class Phase(enum.Enum):
    """Which of the two processes decides."""

    SERVING = "serving"
    STATE_SENT = "giving"  # the successor has the state and has not reported ready
    HANDED_OVER = "given"  # the successor accepts clients


class Predecessor:
    """Listens for a successor and hands state, sockets and client connections over to it."""

    def __init__(
        self,
        path: Path,
        gatekeeper: Gatekeeper,
        upstream: UpstreamClient,
        listener: Listener,
        peers: Callable[[], Peers | None],
        export_process_state: Callable[[], dict[str, Any]],
    ) -> None:
        self.path, self.gatekeeper, self.upstream, self.listener = path, gatekeeper, upstream, listener
        self.peers, self.export_process_state = peers, export_process_state
        self.loop = gatekeeper.loop
        self.phase = Phase.SERVING
        self.channel: Channel | None = None
        self.retained_accounts: list[state.RetainedAccount] = []
        self.passed_count = 0
        self.stopping = False
        self.listen_socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.listen()

    def listen(self) -> None:
        """Listens for a successor; if that fails, logs it: a successor then starts without state."""
        try:
            self.listen_socket = bind_socket(self.path)
        except OSError as error:
            log_message(
                "hand-over", f"handover is off: can't listen at {self.path}: {error.strerror or error}"
            )
            return
        self.loop.add_reader(self.listen_socket, self._on_connect)

    def _on_connect(self) -> None:
        assert self.listen_socket is not None
        try:
            sock, _ = self.listen_socket.accept()
        except OSError:
            return
        if self.channel is not None or self.stopping or not is_same_user(sock):
            sock.close()
            return
        self.channel = Channel(self.loop, sock, self._on_message, self._on_channel_closed)

    def _on_message(self, data: bytes, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # a successor sends no descriptors
        try:
            kind, body = wire.decode(data)
        except ValueError as error:
            log_message("hand-over", f"dropping a successor that sent an invalid message: {error}")
            self._end_channel()
            return
        if kind is MessageKind.REQUEST_STATE and self.phase is Phase.SERVING:
            self._send_state()
        elif kind is MessageKind.READY and self.phase is not Phase.HANDED_OVER:
            if self.phase is Phase.SERVING:  # ready after the time-out: the state it has is out of date
                self._send_state()
            self._complete_handover()
        elif kind is MessageKind.PEER_MESSAGE and self.phase is not Phase.SERVING and len(body) > 4:
            self.gatekeeper.peer_message_received(int.from_bytes(body[:4], "little"), body[4:])

    def _send_state(self) -> None:
        """Stops deciding and sends the state: the successor decides once it is ready."""
        assert self.channel is not None
        self.phase = Phase.STATE_SENT
        self.listener.suspend()
        self.listener.on_client_answered = self._pass_connection
        for client in list(self.listener.clients):
            client.pause_requests(True)
        self.gatekeeper.flush_events()  # requests already accepted need their units of the buckets
        peers, now = self.peers(), self.gatekeeper.clock()
        gateway_state, self.retained_accounts = state.export(self.gatekeeper.gateway, now)
        self.gatekeeper.sends_to_peers = False
        for message in wire.state_messages({"gateway": gateway_state} | self.export_process_state()):
            self.channel.send(message)
        if peers is not None and (fd := peers.hand_over_socket()) is not None:
            # A successor that already has the socket closes this copy.
            self.channel.send(wire.encode(MessageKind.PEER_SOCKET), fd)
        log_message(
            "hand-over: given", f"sent the state of {len(self.retained_accounts)} customers to a successor"
        )
        self._timer = self.loop.call_later(READY_TIMEOUT_S, self._on_ready_timeout)

    def _on_ready_timeout(self) -> None:
        self._timer = None
        if self.phase is Phase.STATE_SENT:
            log_message("hand-over", "the successor is not ready yet; resumed serving until it is")
            self._resume_serving()

    def _complete_handover(self) -> None:
        self.phase = Phase.HANDED_OVER
        if self._timer is not None:
            self._timer.cancel()
        self._close_listen_socket()  # the successor listens at the same path
        log_message(
            "hand-over: yes",
            f"the successor is ready; passing {len(self.listener.clients)} connections to it",
        )
        self.upstream.retire(True)
        self._pass_connections()

    def _pass_connections(self) -> None:
        """Passes connections without pending responses now, the others once they have their response."""
        self._timer = None
        if self.phase is not Phase.HANDED_OVER or self.channel is None:
            return
        for client in list(self.listener.clients):
            self._pass_connection(client)
        self._timer = self.loop.call_later(PASS_INTERVAL_S, self._pass_connections)

    def _pass_connection(self, client: Client) -> None:
        if self.phase is Phase.STATE_SENT:
            client.pause_requests(True)
        if (
            self.phase is not Phase.HANDED_OVER
            or self.channel is None
            or len(self.channel.queue) >= MAX_QUEUED_MESSAGES
        ):
            return
        connection = client.hand_over(wire.MAX_PARTIAL_BYTES)
        if connection is not None:
            self.passed_count += 1
            self.channel.send(wire.encode_client(connection[0]), connection[1])

    def _end_channel(self) -> None:
        if self.channel is not None:
            self.channel.close()

    def _on_channel_closed(self) -> None:
        """The successor has ended: resumes serving unless this process is stopping."""
        self.channel = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.phase is Phase.SERVING or self.stopping:
            self.phase = Phase.SERVING
            self.listener.notify_change()  # `finish` stops waiting for the successor
            return
        log_message("hand-over: gone", "the successor has ended; resumed serving")
        self._resume_serving()
        self._close_listen_socket()  # the path may hold the successor's socket
        self.listen()

    def _resume_serving(self) -> None:
        """Decides again, with the units it retained."""
        self.phase = Phase.SERVING
        state.resume(self.gatekeeper.gateway, self.retained_accounts, self.gatekeeper.clock())
        self.retained_accounts = []
        self.gatekeeper.sends_to_peers = True
        if (peers := self.peers()) is not None:
            peers.reclaim_socket()
        self.upstream.retire(False)
        self.listener.on_client_answered = None
        for client in list(self.listener.clients):
            client.pause_requests(False)
        self.listener.end_suspension()

    async def finish(self, timeout_s: float) -> bool:
        """Waits until accepted requests have their response and all connections are passed on.

        Called at SIGTERM. Returns False if no successor has taken over: the caller then drains as at any
        graceful shutdown.
        """
        self.stopping = True
        if self.phase is not Phase.HANDED_OVER:
            self.close()
            return False
        try:
            async with asyncio.timeout(timeout_s):
                while self.listener.clients and self.channel is not None:
                    await self.listener.wait_for_change()
        except TimeoutError:
            log_message("hand-over", "not all connections were passed to the successor in time")
        if self.channel is None:
            return not self.listener.clients
        rows = state.export_remainder(self.retained_accounts, self.gatekeeper.clock())
        for at in range(0, len(rows), 200):
            self.channel.send(wire.encode(MessageKind.REMAINDER, wire.pack(rows[at : at + 200])))
        try:
            async with asyncio.timeout(0.2):
                await self.channel.wait_until_sent()
        except TimeoutError:
            pass
        log_message("hand-over: passed on", f"passed {self.passed_count} connections to the successor")
        self._end_channel()
        return True

    def close(self) -> None:
        """Accepts no more successors and closes the connection to the current one."""
        self._close_listen_socket()
        self._end_channel()

    def _close_listen_socket(self) -> None:
        if self.listen_socket is not None:
            self.loop.remove_reader(self.listen_socket)
            self.listen_socket.close()
            self.listen_socket = None
