"""The process that serves: it waits for a successor, gives it what it knows and the connections, and ends.

What it had taken it answers itself. If the successor goes away first, it serves on with what it kept back.
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

PASS_INTERVAL_S = 0.02  # between looks for connections that have come to owe nothing
READY_TIMEOUT_S = 0.7  # for the successor to say yes once it has the state: clients wait meanwhile
MAX_QUEUED_MESSAGES = 64  # messages to the successor that wait; it may be slow to take them


class Phase(enum.Enum):
    """Who decides."""

    SERVING = "serving"
    STATE_SENT = "giving"  # the successor has the state and has not said yes
    HANDED_OVER = "given"  # it takes clients


class Predecessor:
    """Waits at the door for the process that is to take this one's place."""

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
        """Listens for a successor; where that can't be, a line: a replacement then starts from nothing."""
        try:
            self.listen_socket = bind_socket(self.path)
        except OSError as error:
            log_message("hand-over", f"no hand-over: {self.path}: {error.strerror or error}")
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
            os.close(fd)  # a successor has none to give
        try:
            kind, body = wire.decode(data)
        except ValueError as error:
            log_message("hand-over", f"a successor that can't be understood: {error}")
            self._end_channel()
            return
        if kind is MessageKind.REQUEST_STATE and self.phase is Phase.SERVING:
            self._send_state()
        elif kind is MessageKind.READY and self.phase is not Phase.HANDED_OVER:
            if self.phase is Phase.SERVING:  # it was late, and what it has been connection is old
                self._send_state()
            self._complete_handover()
        elif kind is MessageKind.PEER_MESSAGE and self.phase is not Phase.SERVING and len(body) > 4:
            self.gatekeeper.peer_message_received(int.from_bytes(body[:4], "little"), body[4:])

    def _send_state(self) -> None:
        """From here on the successor decides, once it can."""
        assert self.channel is not None
        self.phase = Phase.STATE_SENT
        self.listener.suspend()
        self.listener.on_client_answered = self._pass_connection
        for client in list(self.listener.clients):
            client.pause_requests(True)
        self.gatekeeper.flush_events()  # what has been taken needs its part of the stores
        peers, now = self.peers(), self.gatekeeper.clock()
        gateway_state, self.retained_accounts = state.export(self.gatekeeper.gateway, now)
        self.gatekeeper.sends_to_peers = False
        for message in wire.state_messages({"gateway": gateway_state} | self.export_process_state()):
            self.channel.send(message)
        if peers is not None and (fd := peers.hand_over_socket()) is not None:
            self.channel.send(
                wire.encode(MessageKind.PEER_SOCKET), fd
            )  # one that it has already is closed there
        log_message(
            "hand-over: given", f"gave the state to a successor: {len(self.retained_accounts)} customers"
        )
        self._timer = self.loop.call_later(READY_TIMEOUT_S, self._on_ready_timeout)

    def _on_ready_timeout(self) -> None:
        self._timer = None
        if self.phase is Phase.STATE_SENT:
            log_message("hand-over", "the successor has not said yes yet: serving on until it does")
            self._resume_serving()

    def _complete_handover(self) -> None:
        self.phase = Phase.HANDED_OVER
        if self._timer is not None:
            self._timer.cancel()
        self._close_listen_socket()  # the successor has its own at the same path
        log_message(
            "hand-over: yes", f"the successor serves; {len(self.listener.clients)} connections are passed on"
        )
        self.upstream.retire(True)
        self._pass_connections()

    def _pass_connections(self) -> None:
        """Passes on the connections that owe nothing; the others once they have their answer."""
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
        """The successor is gone. While this process is not told to end, it serves on."""
        self.channel = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.phase is Phase.SERVING or self.stopping:
            self.phase = Phase.SERVING
            self.listener.notify_change()  # `finish` need not wait for it any longer
            return
        log_message("hand-over: gone", "the successor is gone: serving on")
        self._resume_serving()
        self._close_listen_socket()  # at its path there may be the successor's
        self.listen()

    def _resume_serving(self) -> None:
        """Decides again, with what it kept back."""
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
        """At SIGTERM: until what was taken has its answer and the connections are passed on.

        False where nobody has taken over: the caller drains as at any planned stop.
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
            log_message("hand-over", "connections could not be passed on in time")
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
        log_message("hand-over: passed on", f"passed on {self.passed_count} connections")
        self._end_channel()
        return True

    def close(self) -> None:
        """Takes no successor any more."""
        self._close_listen_socket()
        self._end_channel()

    def _close_listen_socket(self) -> None:
        if self.listen_socket is not None:
            self.loop.remove_reader(self.listen_socket)
            self.listen_socket.close()
            self.listen_socket = None
