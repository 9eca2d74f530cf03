"""A listener whose accepted connections start parked."""

from __future__ import annotations

import asyncio
import os
import select
import socket
import time
from collections.abc import Callable

from pepperrun.config import Address
from pepperrun.log import log_message
from pepperrun.net.listener import (
    DRAIN_ACCEPT_S,
    DRAIN_LINGER_S,
    Client,
    ClientTimeouts,
    ConnectionSnapshot,
    Listener,
)
from pepperrun.parking.manager import SHORTAGE_RETRY_S, ParkingManager


def has_pending_connection(sock: socket.socket) -> bool:
    """Whether a connection waits to be accepted."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class ParkingListener(Listener):
    """Adds accepted connections to a parking manager.

    A resumed connection is like any other, but has the time-outs of the operators' file.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        parking: ParkingManager,
        client_factory: Callable[[Listener], asyncio.BufferedProtocol],
    ) -> None:
        super().__init__(loop, clock, parking.config.most, client_factory)
        self.parking = parking
        self.backlog = parking.config.backlog
        self.family = 0
        self.index = len(parking.listeners)
        parking.listeners.append(self)

    @property
    def timeouts(self) -> ClientTimeouts:
        """The current time-outs of the operators' file."""
        config = self.parking.config
        return ClientTimeouts(
            config.first_byte_ns,
            config.request_ns,
            config.idle_ns,
            config.idle_ns,
            request_from_connect=False,
        )

    def open(self, address: Address, inherited: socket.socket | None = None) -> None:
        super().open(address, inherited)
        assert self.socket is not None
        self.family = self.socket.family

    def count(self) -> int:
        return self.parking.total()

    def _accept(self) -> None:
        """Accepts as many as the turn's budget allows; the loop calls this again while others wait."""
        limit, count, start = self.parking.budget.allowed_items("accept"), 0, time.perf_counter_ns()
        now = self.clock()
        while count < limit and self._accept_one(now):
            count += 1
        self.parking.budget.record_cost("accept", count, time.perf_counter_ns() - start)
        self.parking.schedule_upkeep()

    def _accept_one(self, now: int) -> bool:
        assert self.socket is not None
        if not self.parking.has_capacity():
            if not has_pending_connection(self.socket):  # no eviction is needed while no connection waits
                return False
            if not self.parking.ensure_capacity():
                self._pause_accepting()
                return False
        try:
            sock, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:  # no descriptor or memory for the connection now
            log_message("accept", f"accept: {error}")
            self.parking.on_descriptor_shortage()
            self._pause_accepting()
            return False
        fd = sock.detach()
        os.set_blocking(fd, False)
        self.parking.add(fd, self.index, now)
        return True

    def _pause_accepting(self) -> None:
        """Stops accepting until capacity is free or `SHORTAGE_RETRY_S` has passed."""
        self._stop_accepting()
        self.parking.is_accept_paused = True
        self.loop.call_later(SHORTAGE_RETRY_S, self.parking.resume_accepting)

    def restore_client(self, snapshot: ConnectionSnapshot, readable_at: int) -> asyncio.BufferedProtocol:
        """Returns the protocol of a resumed connection, in the state of the snapshot."""
        client = self.client_factory(self)
        client.restore(snapshot, readable_at)  # type: ignore[attr-defined]
        return client

    def resume_accepting(self) -> None:
        """Accepts again: there may be capacity."""
        self._start_accepting()

    def add(self, client: Client) -> None:
        super().add(client)
        self.parking.on_connected(client)  # type: ignore[arg-type]

    def remove(self, client: Client) -> None:
        self.parking.on_disconnected(client)  # type: ignore[arg-type]
        super().remove(client)

    def client_answered(self, client: Client) -> None:
        self.parking.on_answered(client)  # type: ignore[arg-type]

    def on_capacity_freed(self) -> None:
        """Does nothing: the manager resumes accepting when a connection ends."""

    def _sweep(self) -> None:
        """Does nothing: the manager's timers end connections."""

    async def drain(self, accept_s: float = DRAIN_ACCEPT_S, linger_s: float = DRAIN_LINGER_S) -> None:
        self.draining = True
        for client in list(self.clients):
            if not client.is_busy() and not client.never_answered():
                client.close()
        if not self.parking.draining:
            await self.parking.drain()
        await asyncio.sleep(accept_s)
        self.stop_listening()
        await asyncio.sleep(linger_s)
        await self.parking.finish()
        for client in list(self.clients):
            if not client.is_busy():
                client.close()

    def stop_listening(self) -> None:
        if self.socket is None:
            return
        now = self.clock()
        while self._accept_one(now):
            pass
        self._stop_accepting()
        self.socket.close()
        self.socket = None
