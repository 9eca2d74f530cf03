"""Readiness check and graceful shutdown.

A gatekeeper that drains first answers the readiness check with a failure, then completes the requests that it
has read, and then exits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pepperrun.exchange import Final
from pepperrun.fronts.client_connection import Submission
from pepperrun.fronts.http_connection import TEXT, Answer, HttpConnection
from pepperrun.net.http1 import Request
from pepperrun.net.listener import Listener

# How long new connections are accepted after the stop: clients keep an answer of the directory for
# `control.handlers.DIRECTORY_TTL_S`, and the directory learns of the stop a moment later. Work that begins by
# then has more than half of the grace left.
DRAIN_ACCEPT_S = 2.2
DRAIN_ACCEPT_FRACTION = 0.37  # of the grace at most, so that idle connections outlast it
DRAIN_IDLE_FRACTION = 0.4  # of the grace, after which idle connections are closed
EXPIRE_BEFORE_END_S = 0.4  # before the end of the grace pending requests get a final answer


class ReadinessClient(HttpConnection):
    """A client that asks whether this gatekeeper accepts requests."""

    def __init__(self, listener: Listener, clock: Callable[[], int], ready: Callable[[], bool]) -> None:
        super().__init__(listener, clock)
        self.is_ready = ready

    def handle_request(self, request: Request) -> Submission | Answer:
        """Answers `/ready`, and 404 to anything else."""
        if request.target.partition(b"?")[0] != b"/ready":
            return 404, [TEXT], b"only /ready\n"
        return (200, [TEXT], b"ready\n") if self.is_ready() else (503, [TEXT], b"not ready\n")

    def handle_final(self, final: Final[object]) -> Submission | Answer:
        """Never called: no request on this port reaches the core."""
        raise NotImplementedError


def readiness_listener(clock: Callable[[], int], ready: Callable[[], bool]) -> Listener:
    """Returns a listener that answers `/ready`; the caller opens it."""
    loop = asyncio.get_running_loop()
    return Listener(loop, clock, 32, lambda listener: ReadinessClient(listener, clock, ready))


async def drain(
    listener: Listener,
    grace_s: float,
    has_pending_requests: Callable[[], bool],
    expire_all: Callable[[], None],
) -> None:
    """Completes all requests that have been read, and returns within the grace.

    Each answer is the last one on its connection. Idle connections stay open for a while, because a request
    that is sent while its connection closes is lost. Attempts that go on without their clients
    (`has_pending_requests`) keep the process alive too: its end would cut them off. `expire_all` gives the
    requests that are then still pending their final answer. Whoever ends an attempt wakes the listener.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    listener.draining = True
    await asyncio.sleep(min(DRAIN_ACCEPT_S, grace_s * DRAIN_ACCEPT_FRACTION))
    listener.stop_listening()
    await _wait_until_idle(listener, has_pending_requests, started_at + grace_s * DRAIN_IDLE_FRACTION)
    for client in list(listener.clients):
        if not client.is_busy():
            client.close()
    await _wait_until_idle(listener, has_pending_requests, started_at + grace_s - EXPIRE_BEFORE_END_S)
    if listener.clients:
        expire_all()
        await _wait_until_idle(listener, lambda: False, started_at + grace_s - EXPIRE_BEFORE_END_S / 2)


async def _wait_until_idle(listener: Listener, has_pending_requests: Callable[[], bool], at: float) -> None:
    try:
        async with asyncio.timeout_at(at):
            while listener.clients or has_pending_requests():
                await listener.wait_for_change()
    except TimeoutError:
        pass
