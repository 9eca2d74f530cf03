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
from pepperrun.handover.channel import Channel, door, same_user
from pepperrun.handover.wire import Kind
from pepperrun.log import log_message

if TYPE_CHECKING:
    from pepperrun.gatekeeper import Gatekeeper
    from pepperrun.net.listener import Client, Listener
    from pepperrun.net.peers import Peers
    from pepperrun.net.upstream import UpstreamClient

PASS_S = 0.02  # between looks for connections that have come to owe nothing
YES_S = 0.7  # for the successor to say yes once it has the state: clients wait meanwhile
AHEAD = 64  # messages to the successor that wait; it may be slow to take them


class Phase(enum.Enum):
    """Who decides."""

    SERVING = "serving"
    GIVING = "giving"  # the successor has the state and has not said yes
    GIVEN = "given"  # it takes clients


class Predecessor:
    """Waits at the door for the process that is to take this one's place."""

    def __init__(
        self,
        path: Path,
        gatekeeper: Gatekeeper,
        servers: UpstreamClient,
        listener: Listener,
        peers: Callable[[], Peers | None],
        table: Callable[[], dict[str, Any]],
    ) -> None:
        self.path, self.gatekeeper, self.servers, self.listener = path, gatekeeper, servers, listener
        self.peers, self.table = peers, table
        self.loop = gatekeeper.loop
        self.phase = Phase.SERVING
        self.channel: Channel | None = None
        self.kept: list[state.Kept] = []
        self.passed = 0
        self.ending = False
        self.door: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.open()

    def open(self) -> None:
        """Listens for a successor; where that can't be, a line: a replacement then starts from nothing."""
        try:
            self.door = door(self.path)
        except OSError as error:
            log_message("hand-over", f"no hand-over: {self.path}: {error.strerror or error}")
            return
        self.loop.add_reader(self.door, self._knock)

    def _knock(self) -> None:
        assert self.door is not None
        try:
            sock, _ = self.door.accept()
        except OSError:
            return
        if self.channel is not None or self.ending or not same_user(sock):
            sock.close()
            return
        self.channel = Channel(self.loop, sock, self._heard, self._lost)

    def _heard(self, data: bytes, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # a successor has none to give
        try:
            kind, body = wire.read(data)
        except ValueError as error:
            log_message("hand-over", f"a successor that can't be understood: {error}")
            self._end_channel()
            return
        if kind is Kind.TAKE and self.phase is Phase.SERVING:
            self._give()
        elif kind is Kind.YES and self.phase is not Phase.GIVEN:
            if self.phase is Phase.SERVING:  # it was late, and what it has been given is old
                self._give()
            self._given()
        elif kind is Kind.HEARD and self.phase is not Phase.SERVING and len(body) > 4:
            self.gatekeeper.heard(int.from_bytes(body[:4], "little"), body[4:])

    def _give(self) -> None:
        """From here on the successor decides, once it can."""
        assert self.channel is not None
        self.phase = Phase.GIVING
        self.listener.suspend()
        self.listener.on_client_answered = self._pass_one
        for client in list(self.listener.clients):
            client.pause_requests(True)
        self.gatekeeper.catch_up()  # what has been taken needs its part of the stores
        peers, now = self.peers(), self.gatekeeper.clock()
        table, self.kept = state.export(self.gatekeeper.gateway, now)
        self.gatekeeper.telling = False
        for message in wire.state({"gateway": table} | self.table()):
            self.channel.send(message)
        if peers is not None and (fd := peers.hand_over_socket()) is not None:
            self.channel.send(wire.plain(Kind.PEERS), fd)  # one that it has already is closed there
        log_message("hand-over: given", f"gave the state to a successor: {len(self.kept)} customers")
        self._timer = self.loop.call_later(YES_S, self._no_yes)

    def _no_yes(self) -> None:
        self._timer = None
        if self.phase is Phase.GIVING:
            log_message("hand-over", "the successor has not said yes yet: serving on until it does")
            self._serve_on()

    def _given(self) -> None:
        self.phase = Phase.GIVEN
        if self._timer is not None:
            self._timer.cancel()
        self._shut_door()  # the successor has its own at the same path
        log_message(
            "hand-over: yes", f"the successor serves; {len(self.listener.clients)} connections are passed on"
        )
        self.servers.retire(True)
        self._pass()

    def _pass(self) -> None:
        """Passes on the connections that owe nothing; the others once they have their answer."""
        self._timer = None
        if self.phase is not Phase.GIVEN or self.channel is None:
            return
        for client in list(self.listener.clients):
            self._pass_one(client)
        self._timer = self.loop.call_later(PASS_S, self._pass)

    def _pass_one(self, client: Client) -> None:
        if self.phase is Phase.GIVING:
            client.pause_requests(True)
        if self.phase is not Phase.GIVEN or self.channel is None or len(self.channel.queue) >= AHEAD:
            return
        given = client.hand_over(wire.MOST_HELD)
        if given is not None:
            self.passed += 1
            self.channel.send(wire.client(given[0]), given[1])

    def _end_channel(self) -> None:
        if self.channel is not None:
            self.channel.close()

    def _lost(self) -> None:
        """The successor is gone. While this process is not told to end, it serves on."""
        self.channel = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.phase is Phase.SERVING or self.ending:
            self.phase = Phase.SERVING
            self.listener.notify_change()  # `finish` need not wait for it any longer
            return
        log_message("hand-over: gone", "the successor is gone: serving on")
        self._serve_on()
        self._shut_door()  # at its path there may be the successor's
        self.open()

    def _serve_on(self) -> None:
        """Decides again, with what it kept back."""
        self.phase = Phase.SERVING
        state.take_back(self.gatekeeper.gateway, self.kept, self.gatekeeper.clock())
        self.kept = []
        self.gatekeeper.telling = True
        if (peers := self.peers()) is not None:
            peers.reclaim_socket()
        self.servers.retire(False)
        self.listener.on_client_answered = None
        for client in list(self.listener.clients):
            client.pause_requests(False)
        self.listener.end_suspension()

    async def finish(self, longest_s: float) -> bool:
        """At SIGTERM: until what was taken has its answer and the connections are passed on.

        False where nobody has taken over: the caller drains as at any planned stop.
        """
        self.ending = True
        if self.phase is not Phase.GIVEN:
            self.close()
            return False
        try:
            async with asyncio.timeout(longest_s):
                while self.listener.clients and self.channel is not None:
                    await self.listener.wait_for_change()
        except TimeoutError:
            log_message("hand-over", "connections could not be passed on in time")
        if self.channel is None:
            return not self.listener.clients
        rows = state.left(self.kept, self.gatekeeper.clock())
        for at in range(0, len(rows), 200):
            self.channel.send(wire.plain(Kind.LEFT, wire.packed(rows[at : at + 200])))
        try:
            async with asyncio.timeout(0.2):
                await self.channel.flushed()
        except TimeoutError:
            pass
        log_message("hand-over: passed on", f"passed on {self.passed} connections")
        self._end_channel()
        return True

    def close(self) -> None:
        """Takes no successor any more."""
        self._shut_door()
        self._end_channel()

    def _shut_door(self) -> None:
        if self.door is not None:
            self.loop.remove_reader(self.door)
            self.door.close()
            self.door = None
