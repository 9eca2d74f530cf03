"""The process that takes the place of one that serves: it asks for the state, then for connections."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperrun.config import EndpointList, read_endpoint_list
from pepperrun.handover import state, wire
from pepperrun.handover.channel import Channel, knock
from pepperrun.handover.wire import Kind
from pepperrun.log import log_message

if TYPE_CHECKING:
    from pepperrun.gatekeeper import Gatekeeper
    from pepperrun.net.listener import Listener
    from pepperrun.net.peers import Peers

STATE_S = 2.0  # for the state: the platform gives a start 6 s


class Successor:
    """The link to the process that served until now."""

    def __init__(self) -> None:
        self.channel: Channel | None = None
        self.assembly = wire.Assembly()
        self.table: dict[str, Any] | None = None
        self.peers_fd: int | None = None
        self.whole = asyncio.Event()
        self.gatekeeper: Gatekeeper | None = None
        self.listener: Listener | None = None
        self.taken = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def ask(self, path: Path) -> None:
        """Asks whoever serves for what it knows; no good answer in time means a start from nothing."""
        sock = knock(path)
        if sock is None:
            return
        self.channel = Channel(asyncio.get_running_loop(), sock, self._heard, self.whole.set)
        self.channel.send(wire.plain(Kind.TAKE))
        try:
            async with asyncio.timeout(STATE_S):
                await self.whole.wait()
        except TimeoutError:
            log_message("hand-over", f"the process that serves gave no state within {STATE_S:.0f} s")
        # The peers' socket follows the state at once.
        for _ in range(20):
            if self.table is None or self.peers_fd is not None or not self.table.get("peers"):
                break
            await asyncio.sleep(0.01)

    def _heard(self, data: bytes, fd: int | None) -> None:
        try:
            kind, body = wire.read(data)
            if kind is Kind.CLIENT and fd is not None:
                given, fd = fd, None
                self._client(wire.read_client(body), given)
            elif kind is Kind.STATE:
                self.assembly.add(body)
            elif kind is Kind.WHOLE:
                assembly, self.assembly = self.assembly, wire.Assembly()
                table = assembly.whole(body)
                if not isinstance(table, dict):
                    raise ValueError("the state is no object")
                self.table = table
                self.whole.set()
                if self.gatekeeper is not None:  # the yes was late, and the first one is old by now
                    self.take_in(self.gatekeeper)
            elif kind is Kind.PEERS and fd is not None and self.peers_fd is None:
                self.peers_fd, fd = fd, None
            elif kind is Kind.LEFT and self.gatekeeper is not None:
                now = self.gatekeeper.clock()
                state.take_left(self.gatekeeper.gateway, wire.unpacked(body), now)
        except (ValueError, TypeError) as error:
            log_message("hand-over", f"a message of the hand-over is no good: {error}")
            self.whole.set()
        finally:
            if fd is not None:
                os.close(fd)

    def listing(self) -> EndpointList | None:
        """The list of workers that the predecessor had; None where there is no good one."""
        if self.table is None:
            return None
        try:
            return read_endpoint_list(self.table["list"])
        except (KeyError, TypeError, ValueError) as error:
            log_message("hand-over", f"the list is no good: {error}")
            return None

    def version(self) -> int | None:
        """The list's version as discovery told it; None where it is to be asked for whole."""
        listing = self.listing()
        if listing is None or self.table is None or self.table.get("known") is not True:
            return None
        return listing.version

    def take_in(self, gatekeeper: Gatekeeper) -> bool:
        """Goes on from the state, if there is a good one."""
        self.gatekeeper = gatekeeper
        if self.table is None:
            return False
        try:
            state.take_in(gatekeeper.gateway, self.table.get("gateway"), gatekeeper.clock())
        except ValueError as error:
            log_message("hand-over", f"the state is no good, starting without it: {error}")
            return False
        log_message("hand-over", f"took over {len(gatekeeper.gateway.quotas.accounts)} customers")
        return True

    def yes(self, listener: Listener, peers: Peers | None) -> None:
        """Clients are taken here now."""
        self.listener = listener
        if self.channel is None:
            return
        if self.channel.sock is None:
            if self.table is not None and self.gatekeeper is not None:
                log_message("hand-over", "the process that served decides again: going on without its state")
                state.forget(self.gatekeeper.gateway, self.gatekeeper.clock())
            return
        self.channel.send(wire.plain(Kind.YES))
        if peers is not None:
            peers.on_message_copy = self._also

    def _also(self, peer: int, data: bytes) -> None:
        """What peers answer may be for a request that the predecessor has taken."""
        if self.channel is not None and self.channel.sock is not None:
            self.channel.send(wire.plain(Kind.HEARD, peer.to_bytes(4, "little") + data))

    def _client(self, given: wire.ClientState, fd: int) -> None:
        try:
            sock = socket.socket(fileno=fd)
        except OSError:
            os.close(fd)
            return
        if self.listener is None or sock.type != socket.SOCK_STREAM:
            sock.close()
            return
        sock.setblocking(False)
        self.taken += 1
        task = asyncio.get_running_loop().create_task(self.listener.adopt(sock, given))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Ends the link."""
        if self.channel is not None:
            self.channel.close()
