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
CAPACITY_RETRY_S = 0.05  # between looks for room while there is none
ACCEPT_RETRY_S = 1.0  # when the system has no descriptor or memory for a connection
CROWDED_DIVISOR = 3  # past this part of all connections, idle ones end sooner
EVICTION_DIVISOR = 4  # this part gives way at a time: looking at them all for each new one takes long
BACKLOG = 512
DRAIN_ACCEPT_S = 0.5  # after SIGTERM new connections keep coming for up to 0.4 s
SHARED_DRAIN_S = 2.5  # of the 3.7 s that a planned restart has at the least
DRAIN_LINGER_S = 0.15  # and the last of them may still send their request this much later


FIRST_BYTE_TIMEOUT_NS = 2 * SECOND  # a connection on which nothing has been asked
REQUEST_TIMEOUT_NS = (
    5 * SECOND // 2
)  # for the first request, from connecting on; for others, from their first byte on
IDLE_TIMEOUT_NS = 2 * SECOND  # clients keep no more than a part of the descriptors open, some for nothing
CROWDED_IDLE_TIMEOUT_NS = SECOND // 5  # the same where many are open


@dataclass(slots=True, frozen=True)
class ClientTimeouts:
    """How long clients' connections last, in nanoseconds; the platform's where no file says more."""

    first_byte_ns: int = FIRST_BYTE_TIMEOUT_NS
    request_ns: int = REQUEST_TIMEOUT_NS
    idle_ns: int = IDLE_TIMEOUT_NS
    crowded_idle_ns: int = CROWDED_IDLE_TIMEOUT_NS
    request_from_connect: bool = True  # the first request's time counts from connecting on


PLATFORM_TIMEOUTS = ClientTimeouts()


# What outlasts a connection's object: answers, exchanges, last use, a part of a request and when it began.
ConnectionSnapshot = tuple[int, int, int, bytes, int]


class Client(Protocol):
    """A client's connection, as the listener sees it.

    `due` is when it ends if nothing more happens on it, `spare` how readily it gives way to a new one: the
    smallest first, below 1 for one that nobody misses.
    """

    def is_busy(self) -> bool: ...

    def never_answered(self) -> bool: ...

    def expires_at(self, crowded: bool) -> int | None: ...

    def eviction_rank(self, now: int) -> tuple[int, int] | None: ...

    def expire(self) -> None: ...

    def pause_requests(self, on: bool) -> None: ...

    def hand_over(self, most_held: int) -> tuple[ConnectionSnapshot, int] | None: ...

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
        self.loop, self.clock, self.max_connections, self.client_factory = loop, clock, most, make
        self.clients: set[Client] = set()
        self.evicting: set[Client] = set()  # closed to give way, and not yet gone
        self.pending_accepts = 0
        self.draining = False
        self.on_client_answered: Callable[[Client], None] | None = None  # told of each that has had an answer
        self.is_socket_shared = False  # the platform holds the listening socket, and may give it to others
        self.is_suspended = False  # another process of this gatekeeper accepts
        self.socket: socket.socket | None = None
        self.backlog = BACKLOG
        self.is_accepting = False  # connections are being accepted
        self.address: Address = ("", 0)
        self.hangups = HangupWatch(loop)  # of clients that are not read now
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._changed: asyncio.Future[None] | None = None

    @property
    def timeouts(self) -> ClientTimeouts:
        """How long connections last."""
        return PLATFORM_TIMEOUTS

    def count(self) -> int:
        """Connections that are up."""
        return len(self.clients)

    def open(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Listens at an address, or by a socket that does so already and may be another process's too."""
        if inherited is not None:
            inherited.setblocking(False)
            self.is_socket_shared = True
            self.socket, self.address = inherited, inherited.getsockname()[:2]
            self._start_accepting()
            self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)
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
        self._start_accepting()
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    def _start_accepting(self) -> None:
        if self.socket is not None and not self.is_accepting and not self.is_suspended:
            self.is_accepting = True
            self.loop.add_reader(self.socket, self._accept)

    def _stop_accepting(self) -> None:
        if self.socket is not None and self.is_accepting:
            self.is_accepting = False
            self.loop.remove_reader(self.socket)

    def suspend(self) -> None:
        """Accepts no more until `go_on`: what connects waits for whoever else has the socket."""
        self.is_suspended = True
        self._stop_accepting()

    def end_suspension(self) -> None:
        """Accepts again."""
        self.is_suspended = False
        self._start_accepting()

    def accepts_clients(self) -> bool:
        """Does it take clients?"""
        return self.socket is not None and not self.draining and not self.is_suspended

    async def adopt(self, sock: socket.socket, given: ConnectionSnapshot) -> None:
        """Takes a connection from another process of this gatekeeper, as it was there."""
        try:
            _, client = await self.loop.connect_accepted_socket(lambda: self._adopted(given), sock)
        except OSError:
            sock.close()
            return
        client.go_on()  # type: ignore[attr-defined]

    def _adopted(self, given: ConnectionSnapshot) -> asyncio.BufferedProtocol:
        client = self.client_factory(self)
        client.revive(given, 0)  # type: ignore[attr-defined]
        return client

    def _accept(self) -> None:
        assert self.socket is not None
        for _ in range(BACKLOG):
            if not self._has_capacity():
                self._stop_accepting()
                self.loop.call_later(CAPACITY_RETRY_S, self.on_capacity_freed)
                return
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # no descriptor or memory for it now
                say("accept", f"accept: {error}")
                self._stop_accepting()
                self.loop.call_later(ACCEPT_RETRY_S, self._start_accepting)
                return
            sock.setblocking(False)
            self.pending_accepts += 1
            task = self.loop.create_task(self._set_up_client(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _set_up_client(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: self.client_factory(self), sock)
        except OSError:
            sock.close()
        finally:
            self.pending_accepts -= 1

    def _has_capacity(self) -> bool:
        """Is there room for one more? At the limit some give way: it comes once they are closed.

        Clients that connect by the hundred and say nothing, or ask once and stay, must not keep others out.
        """
        if len(self.clients) + self.pending_accepts < self.max_connections:
            return True
        if self.evicting:
            return False
        now = self.clock()
        ranked = [
            (rank, client) for client in self.clients if (rank := client.eviction_rank(now)) is not None
        ]
        ranked.sort(key=lambda pair: pair[0])
        unmissed = sum(rank[0] < 1 for rank, _ in ranked)
        for _, client in ranked[: max(1, min(unmissed, self.max_connections // EVICTION_DIVISOR))]:
            self.evicting.add(client)
            client.close()
        if not ranked:
            say("limit", f"all {self.max_connections} client connections are in use; accepting later")
        return False

    def add(self, client: Client) -> None:
        """A connection is up."""
        self.clients.add(client)

    def remove(self, client: Client) -> None:
        """A connection has ended."""
        self.release(client)
        self.on_capacity_freed()

    def release(self, client: Client) -> None:
        """A connection is no longer this listener's to look after."""
        self.clients.discard(client)
        self.evicting.discard(client)
        self.notify_change()

    def notify_change(self) -> None:
        """Whoever waits for a change is to look again."""
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def client_answered(self, client: Client) -> None:
        """A connection has had an answer and may be idle: it could give way."""
        if self.on_client_answered is not None:  # before its next request is read
            self.loop.call_soon(self.on_client_answered, client)
        self.on_capacity_freed()

    def on_capacity_freed(self) -> None:
        """A connection has ended or become idle: accepting may go on."""
        if not self.is_accepting and self.socket is not None and self._has_capacity():
            self._start_accepting()

    async def wait_for_change(self) -> None:
        """Until a connection ends."""
        self._changed = self.loop.create_future()
        await self._changed

    def _sweep(self) -> None:
        now, crowded = self.clock(), len(self.clients) > self.max_connections // CROWDED_DIVISOR
        for client in list(self.clients):
            due = client.expires_at(crowded)
            if due is not None and now >= due:
                client.expire()
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    async def drain(self, accept_s: float = DRAIN_ACCEPT_S, linger_s: float = DRAIN_LINGER_S) -> None:
        """Goes on accepting for a while; from now on each connection closes after its next answer.

        Connections that have served and wait for nothing close at once: a request that crosses the closing
        comes again on a new connection, and new ones are still taken.
        """
        self.draining = True
        if self.is_socket_shared:
            # Whoever else has the socket accepts. A closing that crosses a request is to be avoided: each
            # connection ends with its next answer, and those that say nothing at the end.
            self.stop_listening()
            try:
                async with asyncio.timeout(SHARED_DRAIN_S):
                    while self.clients:
                        await self.wait_for_change()
            except TimeoutError:
                pass
        else:
            for client in list(self.clients):
                if not client.is_busy() and not client.never_answered():
                    client.close()
            await asyncio.sleep(accept_s)
        self.stop_listening()
        await asyncio.sleep(linger_s)
        for client in list(self.clients):
            if not client.is_busy():
                client.close()

    def stop_listening(self) -> None:
        """Takes what has connected so far, and listens no more."""
        if self.socket is not None:
            if not self.is_socket_shared:
                self._accept()
            self._stop_accepting()
            self.socket.close()
            self.socket = None

    def close(self) -> None:
        """Ends it all."""
        self.hangups.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self.socket is not None:
            self._stop_accepting()
            self.socket.close()
            self.socket = None
        for client in list(self.clients):
            client.close()
