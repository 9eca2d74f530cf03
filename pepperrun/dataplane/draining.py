"""Readiness and the planned end: who asks is told no first, then what was read is answered, then it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pepperrun.exchange import Final
from pepperrun.fronts.client_connection import Submission
from pepperrun.fronts.http_connection import TEXT, Answer, HttpConnection
from pepperrun.net.http1 import Request
from pepperrun.net.listener import Listener

# New connections are taken for so long after the stop is told: clients keep what the directory answered for
# `control.handlers.DIRECTORY_TTL_S`, and it hears of the stop a moment later. Work that begins by then has
# more than half of the grace left.
DRAIN_ACCEPT_S = 2.2
DRAIN_ACCEPT_FRACTION = 0.37  # of the grace at the most, so that idle connections outlast it
DRAIN_IDLE_FRACTION = 0.4  # of the grace: by then a connection on which nothing is asked ends
EXPIRE_BEFORE_END_S = 0.4  # before the grace is over: what is still out gets the answer that there is


class ReadyClient(HttpConnection):
    """Whoever asks whether this gatekeeper takes clients."""

    def __init__(self, listener: Listener, clock: Callable[[], int], ready: Callable[[], bool]) -> None:
        super().__init__(listener, clock)
        self.is_ready = ready

    def handle_request(self, request: Request) -> Submission | Answer:
        """Answer `/ready`, and nothing else."""
        if request.target.partition(b"?")[0] != b"/ready":
            return 404, [TEXT], b"only /ready\n"
        return (200, [TEXT], b"ready\n") if self.is_ready() else (503, [TEXT], b"not ready\n")

    def handle_final(self, final: Final[object]) -> Submission | Answer:
        """Nothing asked here goes on to the decisions."""
        raise NotImplementedError


def ready_listener(clock: Callable[[], int], ready: Callable[[], bool]) -> Listener:
    """Answers `/ready`; the caller opens it."""
    loop = asyncio.get_running_loop()
    return Listener(loop, clock, 32, lambda listener: ReadyClient(listener, clock, ready))


async def drain(
    listener: Listener,
    grace_s: float,
    has_pending_requests: Callable[[], bool],
    expire_all: Callable[[], None],
) -> None:
    """Answers all that has been read, each answer the last on its connection, and ends within the grace.

    Idle connections stay open for a while, because a request that is sent while its connection closes is
    lost. Attempts that go on without their clients (`has_pending_requests`) keep the process alive too: its
    end would cut them off. `expire_all` gives the requests that are then still pending their final answer.
    Whoever ends an attempt wakes the listener.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    listener.draining = True
    await asyncio.sleep(min(DRAIN_ACCEPT_S, grace_s * DRAIN_ACCEPT_FRACTION))
    listener.stop_listening()
    await _until_over(listener, has_pending_requests, begun + grace_s * DRAIN_IDLE_FRACTION)
    for client in list(listener.clients):
        if not client.is_busy():
            client.close()
    await _until_over(listener, has_pending_requests, begun + grace_s - EXPIRE_BEFORE_END_S)
    if listener.clients:
        expire_all()
        await _until_over(listener, lambda: False, begun + grace_s - EXPIRE_BEFORE_END_S / 2)


async def _until_over(listener: Listener, has_pending_requests: Callable[[], bool], at: float) -> None:
    try:
        async with asyncio.timeout_at(at):
            while listener.clients or has_pending_requests():
                await listener.wait_for_change()
    except TimeoutError:
        pass
