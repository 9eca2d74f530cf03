"""Pending calls: they wait for the verdict on an order, the replication of a record or a confirmed read."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from pepperrun.consensus.register import ChangeResult
from pepperrun.control.verdict import Verdict


class _PendingRead(NamedTuple):
    """A read that waits until the known state is confirmed as the newest at `asked_at` or later."""

    asked_at: int
    future: asyncio.Future[None]


class PendingCalls:
    """Futures of the pending calls of one control node."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._orders: dict[int, asyncio.Future[Verdict | None]] = {}
        self._replications: dict[int, asyncio.Future[None]] = {}
        self._reads: list[_PendingRead] = []

    @property
    def has_pending_reads(self) -> bool:
        """Whether any reads are pending."""
        return bool(self._reads)

    def wait_for_verdict(self, token: int) -> asyncio.Future[Verdict | None]:
        """Return a future of the verdict on an order; the verdict is None if its result is unknown."""
        future: asyncio.Future[Verdict | None] = self._loop.create_future()
        self._orders[token] = future
        return future

    def complete_order(self, result: ChangeResult) -> None:
        """Complete the call of an order with its result."""
        future = self._orders.pop(result.token, None)
        if future is not None and not future.done():
            future.set_result(result.verdict)

    def wait_for_replication(self, token: int) -> asyncio.Future[None]:
        """Return a future that is done once enough nodes store the record that the token stands for."""
        future: asyncio.Future[None] = self._loop.create_future()
        self._replications[token] = future
        future.add_done_callback(lambda _: self._replications.pop(token, None))
        return future

    def complete_replication(self, token: int) -> None:
        """Complete the call that waits for a token."""
        future = self._replications.pop(token, None)
        if future is not None and not future.done():
            future.set_result(None)

    def wait_for_confirmation(self, now: int) -> asyncio.Future[None]:
        """Return a future that is done once the known state is confirmed as the newest at `now` or later."""
        future: asyncio.Future[None] = self._loop.create_future()
        self._reads.append(_PendingRead(now, future))
        return future

    def complete_reads(self, confirmed_at: int | None) -> None:
        """Complete the reads that began before the known state was last confirmed as the newest."""
        if confirmed_at is not None:
            for read in self._reads:
                if read.asked_at <= confirmed_at and not read.future.done():
                    read.future.set_result(None)
        self._reads = [read for read in self._reads if not read.future.done()]
