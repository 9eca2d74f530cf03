"""Readiness and the planned end: who asks is told no first, then what was read is answered, then it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pepperrun.exchange import Final
from pepperrun.fronts.http_client import TEXT, Answer, HttpClient
from pepperrun.fronts.kept import Step
from pepperrun.net.http1 import Request
from pepperrun.net.listener import Listener

# New connections are taken for so long after the stop is told: clients keep what the directory answered for
# `control.handlers.DIRECTORY_TTL_S`, and it hears of the stop a moment later. Work that begins by then has
# more than half of the grace left.
ACCEPT_S = 2.2
ACCEPT_PART = 0.37  # of the grace at the most, so that idle connections outlast it
IDLE_PART = 0.4  # of the grace: by then a connection on which nothing is asked ends
LAST_S = 0.4  # before the grace is over: what is still out gets the answer that there is


class ReadyClient(HttpClient):
    """Whoever asks whether this gatekeeper takes clients."""

    def __init__(self, listener: Listener, clock: Callable[[], int], ready: Callable[[], bool]) -> None:
        super().__init__(listener, clock)
        self.is_ready = ready

    def begin(self, request: Request) -> Step | Answer:
        """Answer `/ready`, and nothing else."""
        if request.target.partition(b"?")[0] != b"/ready":
            return 404, [TEXT], b"only /ready\n"
        return (200, [TEXT], b"ready\n") if self.is_ready() else (503, [TEXT], b"not ready\n")

    def follow(self, final: Final[object]) -> Step | Answer:
        """Nothing asked here goes on to the decisions."""
        raise NotImplementedError


def ready_listener(clock: Callable[[], int], ready: Callable[[], bool]) -> Listener:
    """Answers `/ready`; the caller opens it."""
    loop = asyncio.get_running_loop()
    return Listener(loop, clock, 32, lambda listener: ReadyClient(listener, clock, ready))


async def drain(
    listener: Listener, grace_s: float, is_at_work: Callable[[], bool], out_of_time: Callable[[], None]
) -> None:
    """Answers all that has been read, each answer the last on its connection, and ends within the grace.

    Connections on which nothing is asked stay for a while: a request that crosses a closing is a lost one.
    Attempts that go on without their clients (`is_at_work`) keep the process too: its end would cut them off.
    `out_of_time` is to give what is then still out its final answer. Whoever ends an attempt wakes the
    listener.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    listener.draining = True
    await asyncio.sleep(min(ACCEPT_S, grace_s * ACCEPT_PART))
    listener.stop_listening()
    await _until_over(listener, is_at_work, begun + grace_s * IDLE_PART)
    for client in list(listener.clients):
        if not client.is_busy():
            client.close()
    await _until_over(listener, is_at_work, begun + grace_s - LAST_S)
    if listener.clients:
        out_of_time()
        await _until_over(listener, lambda: False, begun + grace_s - LAST_S / 2)


async def _until_over(listener: Listener, is_at_work: Callable[[], bool], at: float) -> None:
    try:
        async with asyncio.timeout_at(at):
            while listener.clients or is_at_work():
                await listener.wait_for_change()
    except TimeoutError:
        pass
