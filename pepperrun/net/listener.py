"""Accepts client connections up to a limit, enforces their timeouts, and drains them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pepperrun.config import Address
from pepperrun.core.clock import SECOND
from pepperrun.log import log_message
from pepperrun.net.hangup import HangupWatch

SWEEP_S = 0.25
CAPACITY_RETRY_S = 0.05  # between checks for capacity while there is none
ACCEPT_RETRY_S = 1.0  # after the system had no descriptor or memory for a connection
CROWDED_DIVISOR = 3  # with more than this fraction of all connections open, idle ones end sooner
EVICTION_DIVISOR = 4  # fraction evicted at a time: ranking all connections for each new one takes long
BACKLOG = 512
DRAIN_ACCEPT_S = 0.5  # after SIGTERM new connections keep coming for up to 0.4 s
SHARED_DRAIN_S = 2.5  # of the 3.7 s that a planned restart has at least
DRAIN_LINGER_S = 0.15  # the last accepted connections may still send their request this much later


FIRST_BYTE_TIMEOUT_NS = 2 * SECOND  # for a connection without any request
REQUEST_TIMEOUT_NS = 5 * SECOND // 2  # first request: from the connect; later ones: from their first byte
IDLE_TIMEOUT_NS = 2 * SECOND  # clients keep no more than a part of the descriptors open, some unused
CROWDED_IDLE_TIMEOUT_NS = SECOND // 5  # the same while many are open


@dataclass(slots=True, frozen=True)
class ClientTimeouts:
    """Timeouts of client connections in ns. The defaults are the platform's, for use without a file."""

    first_byte_ns: int = FIRST_BYTE_TIMEOUT_NS
    request_ns: int = REQUEST_TIMEOUT_NS
    idle_ns: int = IDLE_TIMEOUT_NS
    crowded_idle_ns: int = CROWDED_IDLE_TIMEOUT_NS
    request_from_connect: bool = True  # the first request's timeout starts at the connect


PLATFORM_TIMEOUTS = ClientTimeouts()


# What outlives a connection object: its counts of responses and of exchanges, the time of its last use, a
# partial request and when that began, in ns.
ConnectionSnapshot = tuple[int, int, int, bytes, int]


class Client(Protocol):
    """A client's connection, as the listener sees it."""

    def is_busy(self) -> bool:
        """Whether a request or an unwritten response is on the connection."""
        ...

    def never_answered(self) -> bool:
        """Whether the connection has had no response yet."""
        ...

    def expires_at(self, crowded: bool) -> int | None:
        """Returns when the connection ends if nothing more happens on it, ns; None: it does not."""
        ...

    def eviction_rank(self, now: int) -> tuple[int, int] | None:
        """Returns the rank for eviction, smallest first; None: not at all.

        The first number is below 1 for a connection whose client would not notice its end.
        """
        ...

    def expire(self) -> None:
        """Ends a connection whose timeout has passed."""
        ...

    def pause_requests(self, on: bool) -> None:
        """Stops reading further requests (`on`) or starts again."""
        ...

    def hand_over(self, max_buffered: int) -> tuple[ConnectionSnapshot, int] | None:
        """Gives the connection up: its state and a copy of its descriptor; None while a response is owed."""
        ...

    def close(self) -> None:
        """Closes the connection once what was written has been sent."""
        ...


class Listener:
    """Owns the listening socket and the connections accepted from it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        max_connections: int,
        client_factory: Callable[[Listener], asyncio.BufferedProtocol],
    ) -> None:
        self.loop, self.clock, self.max_connections, self.client_factory = (
            loop,
            clock,
            max_connections,
            client_factory,
        )
        self.clients: set[Client] = set()
        self.evicting: set[Client] = set()  # being closed to free capacity
        self.pending_accepts = 0
        self.draining = False
        self.on_client_answered: Callable[[Client], None] | None = None  # called after each response
        self.is_socket_shared = False  # inherited from the platform, which may also pass it to others
        self.is_suspended = False  # another process of this gatekeeper accepts connections
        self.socket: socket.socket | None = None
        self.backlog = BACKLOG
        self.is_accepting = False  # the loop watches the listening socket
        self.address: Address = ("", 0)
        self.hangups = HangupWatch(loop)  # of clients whose reading is paused
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._changed: asyncio.Future[None] | None = None

    @property
    def timeouts(self) -> ClientTimeouts:
        """The timeouts of client connections."""
        return PLATFORM_TIMEOUTS

    def count(self) -> int:
        """Returns the number of open connections."""
        return len(self.clients)

    def open(self, address: Address, inherited: socket.socket | None = None) -> None:
        """Listens at an address, or on an inherited socket that other processes may share."""
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
        """Stops accepting until `end_suspension`: new connections wait for the socket's other owner."""
        self.is_suspended = True
        self._stop_accepting()

    def end_suspension(self) -> None:
        """Accepts connections again."""
        self.is_suspended = False
        self._start_accepting()

    def accepts_clients(self) -> bool:
        """Whether new clients are accepted: listening, not draining and not suspended."""
        return self.socket is not None and not self.draining and not self.is_suspended

    async def adopt(self, sock: socket.socket, snapshot: ConnectionSnapshot) -> None:
        """Adopts a connection of another process of this gatekeeper, in the state of the snapshot."""
        try:
            _, client = await self.loop.connect_accepted_socket(lambda: self._adopted(snapshot), sock)
        except OSError:
            sock.close()
            return
        client.resume()  # type: ignore[attr-defined]

    def _adopted(self, snapshot: ConnectionSnapshot) -> asyncio.BufferedProtocol:
        client = self.client_factory(self)
        client.restore(snapshot, 0)  # type: ignore[attr-defined]
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
                log_message("accept", f"accept: {error}")
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
        """Whether one more connection fits. At the limit some are evicted, which frees capacity once closed.

        Clients that open hundreds of connections without requests, or stay after one, must not block others.
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
        unneeded = sum(rank[0] < 1 for rank, _ in ranked)
        for _, client in ranked[: max(1, min(unneeded, self.max_connections // EVICTION_DIVISOR))]:
            self.evicting.add(client)
            client.close()
        if not ranked:
            log_message("limit", f"all {self.max_connections} client connections are in use; accepting later")
        return False

    def add(self, client: Client) -> None:
        """Adds an open connection."""
        self.clients.add(client)

    def remove(self, client: Client) -> None:
        """Removes a connection that has ended and resumes accepting."""
        self.release(client)
        self.on_capacity_freed()

    def release(self, client: Client) -> None:
        """Removes a connection from this listener's care: it has ended or is owned elsewhere."""
        self.clients.discard(client)
        self.evicting.discard(client)
        self.notify_change()

    def notify_change(self) -> None:
        """Wakes the task that waits in `wait_for_change`."""
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    def client_answered(self, client: Client) -> None:
        """Called after a response: the connection may be idle now and could be evicted."""
        if self.on_client_answered is not None:  # runs before the next request is read
            self.loop.call_soon(self.on_client_answered, client)
        self.on_capacity_freed()

    def on_capacity_freed(self) -> None:
        """Resumes accepting where a connection has ended or become idle."""
        if not self.is_accepting and self.socket is not None and self._has_capacity():
            self._start_accepting()

    async def wait_for_change(self) -> None:
        """Waits until a connection ends or `notify_change` is called."""
        self._changed = self.loop.create_future()
        await self._changed

    def _sweep(self) -> None:
        now, crowded = self.clock(), len(self.clients) > self.max_connections // CROWDED_DIVISOR
        for client in list(self.clients):
            expires_at = client.expires_at(crowded)
            if expires_at is not None and now >= expires_at:
                client.expire()
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    async def drain(self, accept_s: float = DRAIN_ACCEPT_S, linger_s: float = DRAIN_LINGER_S) -> None:
        """Accepts for `accept_s` more; from now on each connection closes after its next response.

        Connections that have served and owe nothing close at once: a request that crosses the close is
        repeated on a new connection, and new connections are still accepted.
        """
        self.draining = True
        if self.is_socket_shared:
            # The socket's other owners accept. To avoid a close that crosses a request, each connection ends
            # with its next response, and silent ones end last.
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
        """Accepts what has connected so far and closes the listening socket."""
        if self.socket is not None:
            if not self.is_socket_shared:
                self._accept()
            self._stop_accepting()
            self.socket.close()
            self.socket = None

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self.hangups.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self.socket is not None:
            self._stop_accepting()
            self.socket.close()
            self.socket = None
        for client in list(self.clients):
            client.close()
