"""Accepts client connections within a limit, looks after slow and idle ones, and drains them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pepperrun.config import Address
from pepperrun.core.clock import SECOND
from pepperrun.log import say
from pepperrun.net.hangup import HangupWatch

SWEEP_S = 0.25
PAUSE_S = 0.05  # between looks for room while there is none
RETRY_S = 1.0  # when the system has no descriptor or memory for a connection
CROWD = 3  # past this part of all connections, idle ones end sooner
PART = 4  # this part gives way at a time: looking at them all for each new one takes long
BACKLOG = 512
ACCEPT_S = 0.5  # after SIGTERM new connections keep coming for up to 0.4 s
SHARED_S = 2.5  # of the 3.7 s that a planned restart has at the least
LINGER_S = 0.15  # and the last of them may still send their request this much later


SILENT_NS = 2 * SECOND  # a connection on which nothing has been asked
WHOLE_NS = 5 * SECOND // 2  # for the first request, from connecting on; for others, from their first byte on
IDLE_NS = 2 * SECOND  # clients keep no more than a part of the descriptors open, some for nothing
CROWDED_NS = SECOND // 5  # the same where many are open


@dataclass(slots=True, frozen=True)
class Times:
    """How long clients' connections last, in nanoseconds; the platform's where no file says more."""

    silent_ns: int = SILENT_NS
    whole_ns: int = WHOLE_NS
    idle_ns: int = IDLE_NS
    crowded_ns: int = CROWDED_NS
    whole_from_made: bool = True  # the first request's time counts from connecting on


PLATFORM_TIMES = Times()


# What outlasts a connection's object: answers, exchanges, last use, a part of a request and when it began.
Snapshot = tuple[int, int, int, bytes, int]


class Client(Protocol):
    """A client's connection, as the listener sees it.

    `due` is when it ends if nothing more happens on it, `spare` how readily it gives way to a new one: the
    smallest first, below 1 for one that nobody misses.
    """

    def busy(self) -> bool: ...

    def fresh(self) -> bool: ...

    def due(self, crowded: bool) -> int | None: ...

    def spare(self, now: int) -> tuple[int, int] | None: ...

    def expire(self) -> None: ...

    def hold(self, on: bool) -> None: ...

    def give(self, most_held: int) -> tuple[Snapshot, int] | None: ...

    def close(self) -> None: ...


class Listener:
    """Owns the listening socket and the connections that came through it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        most: int,
        make: Callable[[Listener], asyncio.BufferedProtocol],
    ) -> None:
        self.loop, self.clock, self.most, self.make = loop, clock, most, make
        self.clients: set[Client] = set()
        self.leaving: set[Client] = set()  # closed to give way, and not yet gone
        self.accepting = 0
        self.draining = False
        self.passing: Callable[[Client], None] | None = None  # told of each that has had an answer
        self.shared = False  # the platform holds the listening socket, and may give it to others
        self.held = False  # another process of this gatekeeper accepts
        self.socket: socket.socket | None = None
        self.backlog = BACKLOG
        self.on = False  # connections are being accepted
        self.address: Address = ("", 0)
        self.hangups = HangupWatch(loop)  # of clients that are not read now
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweeper: asyncio.TimerHandle | None = None
        self._changed: asyncio.Future[None] | None = None

    @property
    def times(self) -> Times:
        """How long connections last."""
        return PLATFORM_TIMES

    def count(self) -> int:
        """Connections that are up."""
        return len(self.clients)

    def open(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Listens at an address, or by a socket that does so already and may be another process's too."""
        if inherited is not None:
            inherited.setblocking(False)
            self.shared = True
            self.socket, self.address = inherited, inherited.getsockname()[:2]
            self._resume()
            self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
            return
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(address)
            sock.listen(self.backlog)
        except OSError:
            sock.close()
            raise
        self.address = sock.getsockname()[:2]
        self._resume()
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def _resume(self) -> None:
        if self.socket is not None and not self.on and not self.held:
            self.on = True
            self.loop.add_reader(self.socket, self._accept)

    def _pause(self) -> None:
        if self.socket is not None and self.on:
            self.on = False
            self.loop.remove_reader(self.socket)

    def hold(self) -> None:
        """Accepts no more until `go_on`: what connects waits for whoever else has the socket."""
        self.held = True
        self._pause()

    def go_on(self) -> None:
        """Accepts again."""
        self.held = False
        self._resume()

    def taking(self) -> bool:
        """Does it take clients?"""
        return self.socket is not None and not self.draining and not self.held

    async def adopt(self, sock: socket.socket, given: Snapshot) -> None:
        """Takes a connection from another process of this gatekeeper, as it was there."""
        try:
            _, client = await self.loop.connect_accepted_socket(lambda: self._adopted(given), sock)
        except OSError:
            sock.close()
            return
        client.go_on()  # type: ignore[attr-defined]

    def _adopted(self, given: Snapshot) -> asyncio.BufferedProtocol:
        client = self.make(self)
        client.revive(given, 0)  # type: ignore[attr-defined]
        return client

    def _accept(self) -> None:
        assert self.socket is not None
        for _ in range(BACKLOG):
            if not self._room():
                self._pause()
                self.loop.call_later(PAUSE_S, self.free)
                return
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor or memory for it now
                say("accept", f"accept: {error}")
                self._pause()
                self.loop.call_later(RETRY_S, self._resume)
                return
            sock.setblocking(False)
            self.accepting += 1
            task = self.loop.create_task(self._take(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _take(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: self.make(self), sock)
        except OSError:
            sock.close()
        finally:
            self.accepting -= 1

    def _room(self) -> bool:
        """Is there room for one more? At the limit some give way: it comes once they are closed.

        Clients that connect by the hundred and say nothing, or ask once and stay, must not keep others out.
        """
        if len(self.clients) + self.accepting < self.most:
            return True
        if self.leaving:
            return False
        now = self.clock()
        ranked = [(rank, client) for client in self.clients if (rank := client.spare(now)) is not None]
        ranked.sort(key=lambda pair: pair[0])
        unmissed = sum(rank[0] < 1 for rank, _ in ranked)
        for _, client in ranked[: max(1, min(unmissed, self.most // PART))]:
            self.leaving.add(client)
            client.close()
        if not ranked:
            say("limit", f"all {self.most} client connections are in use; accepting later")
        return False

    def add(self, client: Client) -> None:
        """A connection is up."""
        self.clients.add(client)

    def remove(self, client: Client) -> None:
        """A connection has ended."""
        self.let_go(client)
        self.free()

    def let_go(self, client: Client) -> None:
        """A connection is no longer this listener's to look after."""
        self.clients.discard(client)
        self.leaving.discard(client)
        self.wake()

    def wake(self) -> None:
        """Whoever waits for a change is to look again."""
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def answered(self, client: Client) -> None:
        """A connection has had an answer and may be idle: it could give way."""
        if self.passing is not None:  # before its next request is read
            self.loop.call_soon(self.passing, client)
        self.free()

    def free(self) -> None:
        """A connection has ended or become idle: accepting may go on."""
        if not self.on and self.socket is not None and self._room():
            self._resume()

    async def changed(self) -> None:
        """Until a connection ends."""
        self._changed = self.loop.create_future()
        await self._changed

    def _sweep(self) -> None:
        now, crowded = self.clock(), len(self.clients) > self.most // CROWD
        for client in list(self.clients):
            due = client.due(crowded)
            if due is not None and now >= due:
                client.expire()
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    async def drain(self, accept_s: float = ACCEPT_S, linger_s: float = LINGER_S) -> None:
        """Goes on accepting for a while; from now on each connection closes after its next answer.

        Connections that have served and wait for nothing close at once: a request that crosses the closing
        comes again on a new connection, and new ones are still taken.
        """
        self.draining = True
        if self.shared:
            # Whoever else has the socket accepts. A closing that crosses a request is to be avoided: each
            # connection ends with its next answer, and those that say nothing at the end.
            self.shut()
            try:
                async with asyncio.timeout(SHARED_S):
                    while self.clients:
                        await self.changed()
            except TimeoutError:
                pass
        else:
            for client in list(self.clients):
                if not client.busy() and not client.fresh():
                    client.close()
            await asyncio.sleep(accept_s)
        self.shut()
        await asyncio.sleep(linger_s)
        for client in list(self.clients):
            if not client.busy():
                client.close()

    def shut(self) -> None:
        """Takes what has connected so far, and listens no more."""
        if self.socket is not None:
            if not self.shared:
                self._accept()
            self._pause()
            self.socket.close()
            self.socket = None

    def close(self) -> None:
        """Ends it all."""
        self.hangups.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self.socket is not None:
            self._pause()
            self.socket.close()
            self.socket = None
        for client in list(self.clients):
            client.close()
