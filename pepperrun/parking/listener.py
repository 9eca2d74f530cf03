"""A front's listening socket whose connections start parked."""

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
from pepperrun.parking.lot import SHORT_S, Lot


def readable(sock: socket.socket) -> bool:
    """Does a connection wait to be accepted?"""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class ParkingListener(Listener):
    """Accepts into a lot. What is taken up is a connection like any other, with the operators' times."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], int],
        lot: Lot,
        make: Callable[[Listener], asyncio.BufferedProtocol],
    ) -> None:
        super().__init__(loop, clock, lot.config.most, make)
        self.lot = lot
        self.backlog = lot.config.backlog
        self.family = 0
        self.number = len(lot.fronts)
        lot.fronts.append(self)

    @property
    def timeouts(self) -> ClientTimeouts:
        """The operators' times, as they are now."""
        config = self.lot.config
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
        return self.lot.total()

    def _accept(self) -> None:
        """As many as the turn's budget allows; the loop calls again while more are there."""
        most, count, start = self.lot.budget.allow("accept"), 0, time.perf_counter_ns()
        now = self.clock()
        while count < most and self._accept_one(now):
            count += 1
        self.lot.budget.spent("accept", count, time.perf_counter_ns() - start)
        self.lot.settle()

    def _accept_one(self, now: int) -> bool:
        assert self.socket is not None
        if not self.lot.free():
            if not readable(self.socket):  # nobody has to give way for nobody
                return False
            if not self.lot.room():
                self._wait()
                return False
        try:
            sock, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:  # no descriptor or memory for it now
            log_message("accept", f"accept: {error}")
            self.lot.short()
            self._wait()
            return False
        fd = sock.detach()
        os.set_blocking(fd, False)
        self.lot.add(fd, self.number, now)
        return True

    def _wait(self) -> None:
        """Accepts no more until a connection ends, or for a moment."""
        self._stop_accepting()
        self.lot.paused = True
        self.loop.call_later(SHORT_S, self.lot.resume)

    def revive(self, snapshot: ConnectionSnapshot, woken: int) -> asyncio.BufferedProtocol:
        """The protocol of a connection that is taken up, as it was."""
        client = self.client_factory(self)
        client.restore(snapshot, woken)  # type: ignore[attr-defined]
        return client

    def resume(self) -> None:
        """There may be room again."""
        self._start_accepting()

    def add(self, client: Client) -> None:
        super().add(client)
        self.lot.up(client)  # type: ignore[arg-type]

    def remove(self, client: Client) -> None:
        self.lot.down(client)  # type: ignore[arg-type]
        super().remove(client)

    def client_answered(self, client: Client) -> None:
        self.lot.answered(client)  # type: ignore[arg-type]

    def on_capacity_freed(self) -> None:
        """A connection has ended: the lot sees to it."""

    def _sweep(self) -> None:
        """The wheel looks after times."""

    async def drain(self, accept_s: float = DRAIN_ACCEPT_S, linger_s: float = DRAIN_LINGER_S) -> None:
        self.draining = True
        for client in list(self.clients):
            if not client.is_busy() and not client.never_answered():
                client.close()
        if not self.lot.draining:
            await self.lot.drain()
        await asyncio.sleep(accept_s)
        self.stop_listening()
        await asyncio.sleep(linger_s)
        await self.lot.finish()
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
