"""Watches discovery and hands on each list. When that fails the last list stands.

All gatekeepers of a tier may ask one service: whoever holds a list asks for its changes only, after pauses
that `backoff` draws. Whole lists are asked for where none is held, or one that no readable answer follows.
An agent of one's own, to which lists are pushed, is asked at once and without such pauses.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable

from pepperrun.config import Address, Listing, read_listing
from pepperrun.log import say
from pepperrun.net.backoff import Backoff
from pepperrun.net.buffer import Buffer
from pepperrun.net.http1 import MAX_HEAD, HttpError, Response, ResponseParser

LONG_POLL_MS = 2000  # a watch that waits no longer shows a silent agent soon
RESPONSE_GRACE_S = 1.0  # an answer that comes later than this after its wait does not come
MIN_LONG_POLL_MS = 1  # a call that shows whether the agent is there, whether or not it has news
MAX_PARALLEL_CALLS = (
    8  # calls at once to an agent that is silent: two graces of patience with each, and few descriptors
)
MIN_CALL_INTERVAL_S = 0.05  # between calls, should an agent answer watches at once with nothing
MAX_LIST_BYTES = 8 * 1024 * 1024


class _AgentConnection(asyncio.BufferedProtocol):
    """A connection to the agent with one call at a time."""

    def __init__(self) -> None:
        self.buffer = Buffer(MAX_LIST_BYTES + MAX_HEAD)
        self.parser = ResponseParser(self.buffer, MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.pending: asyncio.Future[Response] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.commit(nbytes, 0)
        try:
            response = self.parser.next() if self.pending is not None else None
        except HttpError as error:
            self._fail(ConnectionError(str(error)))
            return
        if response is not None:
            self._resolve(response)
        elif self.pending is None or self.buffer.is_full():
            self._fail(ConnectionError("more than was asked for"))

    def eof_received(self) -> bool:
        if (response := self.parser.on_eof()) is not None:
            self._resolve(response)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(exc or ConnectionError("the agent closed the connection"))

    def _resolve(self, response: Response) -> None:
        if self.pending is not None and not self.pending.done():
            self.pending.set_result(response)
        if response.closes_connection() and self.transport is not None:
            self.transport.close()

    def _fail(self, error: Exception) -> None:
        if self.pending is not None and not self.pending.done():
            self.pending.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    async def request(self, target: str, host: str) -> Response:
        if self.transport is None or self.transport.is_closing():
            raise ConnectionError("the agent closed the connection")
        self.pending = asyncio.get_running_loop().create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        try:
            return await self.pending
        finally:
            self.pending = None

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


FirstAnswer = tuple[_AgentConnection, int | None, Response]


def _abandon_call(call: asyncio.Task[FirstAnswer]) -> None:
    """Nobody waits for it any more."""

    def end(over: asyncio.Task[FirstAnswer]) -> None:
        if not over.cancelled() and over.exception() is None:
            over.result()[0].abort()

    call.add_done_callback(end)
    call.cancel()


class Discovery:
    """Calls `told` with each list; `full` ones replace all.

    `known`: the version of the list that is held, where this place has told it. `moved`: the list is another
    place's, and all callers come here at once: the first call waits its turn. Else it goes out at once, as
    what an agent holds counts as told from the start on; `first` is set once it is answered or has failed.
    """

    def __init__(
        self,
        address: Address,
        told: Callable[[Listing], None],
        backoff: Backoff | None = None,
        known: int | None = None,
        moved: bool = False,
    ):
        self.address, self.on_list = address, told
        self.backoff = backoff or Backoff(1, random.Random())
        self.version = known  # None: the whole list is asked for
        self.has_list, self.moved = moved or known is not None, moved
        self.first_call_done = asyncio.Event()

    async def run(self) -> None:
        """Watches until cancelled."""
        if self.moved:
            await asyncio.sleep(self.backoff.delay_after_move())
        while True:
            try:
                async for _ in self._watch():
                    self.first_call_done.set()
                    self.backoff.reset()
            except (OSError, HttpError, ValueError, RecursionError) as error:
                say("discovery", f"discovery: {error or type(error).__name__}; going on with the last list")
            self.first_call_done.set()
            await asyncio.sleep(self.backoff.delay_after_failure())

    async def _watch(self) -> AsyncIterator[Listing]:
        """One connection's calls, the whole list first where none is held; yields after each answer."""
        link, held, response = await (
            self._begin(LONG_POLL_MS) if self.backoff.retry_interval_s is None else self._begin_hedged()
        )
        try:
            while True:
                if response.status != 200:
                    raise ValueError(f"status {response.status}")
                listing = self._read(response.body, held)
                if listing.full or listing.lines:
                    self.on_list(listing)
                else:
                    await asyncio.sleep(MIN_CALL_INTERVAL_S)
                yield listing
                held = self.version
                response = await self._call(link, held, LONG_POLL_MS)
        finally:
            link.abort()

    async def _call(self, link: _AgentConnection, held: int | None, wait_ms: int) -> Response:
        """What came after `held`, for which the agent may wait; the whole list where none is held."""
        query, wait_s = "", 0.0
        if held is not None:
            query, wait_s = f"?index={held}&wait={wait_ms}", wait_ms / 1000
        async with asyncio.timeout(wait_s + RESPONSE_GRACE_S):
            return await link.request(f"/v1/endpoints{query}", f"{self.address[0]}:{self.address[1]}")

    async def _begin(self, wait_ms: int) -> FirstAnswer:
        """A connection and the answer to its first call, with the version that was held when it went out."""
        async with asyncio.timeout(RESPONSE_GRACE_S):
            _, link = await asyncio.get_running_loop().create_connection(_AgentConnection, *self.address)
        try:
            held = self.version
            return link, held, await self._call(link, held, wait_ms)
        except BaseException:
            link.abort()
            raise

    async def _begin_hedged(self) -> FirstAnswer:
        """The first of several connections to be answered, each with a call that hardly waits.

        An agent of one's own that does not answer at once is silent, and what it gets at its return counts as
        told in that moment: calls go out a part of the grace apart. Earlier ones wait on beside them: one
        that is slow has not failed.
        """
        calls: list[asyncio.Task[FirstAnswer]] = []
        near_s = self.backoff.retry_interval_s
        try:
            while True:
                if len(calls) == MAX_PARALLEL_CALLS:
                    _abandon_call(calls.pop(0))
                    say("discovery", "discovery: the agent is silent; going on with the last list")
                calls.append(asyncio.get_running_loop().create_task(self._begin(MIN_LONG_POLL_MS)))
                done, _ = await asyncio.wait(calls, timeout=near_s, return_when=asyncio.FIRST_COMPLETED)
                for call in done:
                    calls.remove(call)
                    return call.result()
        finally:
            for call in calls:
                _abandon_call(call)

    def _read(self, body: bytes, held: int | None) -> Listing:
        """The list in an answer; ValueError, and nothing changed, where it can't be one that follows."""
        self.version = None  # should it be no good: the same changes would be no good again
        table = json.loads(body)
        if not isinstance(table, dict):
            raise ValueError("not an object")
        listing = read_listing(table)
        if not listing.full and (held is None or listing.version < held):
            raise ValueError("changes to a list that is not held")
        if listing.full and not listing.lines and self.has_list:
            raise ValueError("a whole list of nothing")  # an agent starts so; a fleet does not end so
        self.version, self.has_list = listing.version, self.has_list or bool(listing.lines)
        return listing
