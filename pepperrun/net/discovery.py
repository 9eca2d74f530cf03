"""Watches discovery by long polling and passes on each endpoint list. After failures the last one stays.

All gatekeepers of a tier may poll one service. A caller that has a list requests only changes, after delays
computed by `backoff`. It requests the complete list where it has none, or after a response it could not
apply. An agent on the gatekeeper's own machine, to which lists are pushed, is called at once, without delays.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable

from pepperrun.config import Address, EndpointList, read_endpoint_list
from pepperrun.log import log_message
from pepperrun.net.backoff import Backoff
from pepperrun.net.buffer import Buffer
from pepperrun.net.http1 import MAX_HEAD, HttpError, Response, ResponseParser

LONG_POLL_MS = 2000  # short, so that a service that has stopped answering is noticed soon
# For a local agent, in retry intervals: what it sends at its return counts as received, so that a long poll
# that was lost in an outage, and the call that follows it, must fit into the drain grace.
LOCAL_LONG_POLL_INTERVALS = 2
RESPONSE_GRACE_S = 1.0  # after the long-poll time; a response later than that is not expected any more
MIN_LONG_POLL_MS = 1  # for calls that show whether the agent answers, with or without changes
# Calls open at once to an agent that does not answer: each may wait for two drain graces, and the number of
# descriptors stays small.
MAX_PARALLEL_CALLS = 8
MIN_CALL_INTERVAL_S = 0.05  # if an agent answers long polls at once without changes
MAX_LIST_BYTES = 8 * 1024 * 1024


class _AgentConnection(asyncio.BufferedProtocol):
    """A connection to the agent, with one call at a time."""

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
            self._fail(ConnectionError("unexpected data from the agent"))

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


FirstResponse = tuple[_AgentConnection, int | None, Response]


def _abandon_call(call: asyncio.Task[FirstResponse]) -> None:
    """Cancels a call; closes the connection if the call completes all the same."""

    def close(completed: asyncio.Task[FirstResponse]) -> None:
        if not completed.cancelled() and completed.exception() is None:
            completed.result()[0].abort()

    call.add_done_callback(close)
    call.cancel()


async def _any_of(
    calls: list[asyncio.Task[FirstResponse]], timeout_s: float
) -> asyncio.Task[FirstResponse] | None:
    """Returns a call that has ended; None if none has within the time-out, or there are none."""
    if not calls:
        return None
    done, _ = await asyncio.wait(calls, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    return next(iter(done), None)


class Discovery:
    """Calls `on_list` with each list; one that is `full` replaces all.

    Parameters
    ----------
    known_version
        The version of the list that the caller already has, where it came from this address.
    moved
        The list came from another address and all callers move here at once: the first call is delayed. Else
        it is sent at once, as what an agent has counts as received from the start on.

    `first_call_done` is set once the first call has been answered or has failed.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointList], None],
        backoff: Backoff | None = None,
        known_version: int | None = None,
        moved: bool = False,
    ):
        self.address, self.on_list = address, on_list
        self.backoff = backoff or Backoff(1, random.Random())
        self.version = known_version  # None: request the complete list
        self.has_list, self.moved = moved or known_version is not None, moved
        self.first_call_done = asyncio.Event()

    async def run(self) -> None:
        """Polls until cancelled."""
        if self.moved:
            await asyncio.sleep(self.backoff.delay_after_move())
        while True:
            try:
                async for _ in self._watch():
                    self.first_call_done.set()
                    self.backoff.reset()
            except (OSError, HttpError, ValueError, RecursionError) as error:
                log_message("discovery", f"discovery: {error or type(error).__name__}; keeping the last list")
            self.first_call_done.set()
            await asyncio.sleep(self.backoff.delay_after_failure())

    async def _watch(self) -> AsyncIterator[EndpointList]:
        """Polls on one connection, for the complete list first where there is none; yields each list."""
        connection, held_version, response = await (
            self._begin(LONG_POLL_MS) if self.backoff.retry_interval_s is None else self._hedge()
        )
        try:
            while True:
                if response.status != 200:
                    raise ValueError(f"unexpected status {response.status}")
                endpoint_list = self._read(response.body, held_version)
                if endpoint_list.full or endpoint_list.endpoints:
                    self.on_list(endpoint_list)
                else:
                    await asyncio.sleep(MIN_CALL_INTERVAL_S)
                yield endpoint_list
                connection, held_version, response = await self._continue(connection)
        finally:
            connection.abort()

    async def _continue(self, connection: _AgentConnection) -> FirstResponse:
        """Makes the next call on the connection; a local agent that is late gets others beside it."""
        interval_s = self.backoff.retry_interval_s
        if interval_s is None:
            return await self._long_poll(connection, LONG_POLL_MS)
        wait_ms = min(LONG_POLL_MS, max(MIN_LONG_POLL_MS, int(1000 * interval_s * LOCAL_LONG_POLL_INTERVALS)))
        call = asyncio.get_running_loop().create_task(self._long_poll(connection, wait_ms))
        first = await self._hedge(call, wait_ms / 1000 + interval_s)
        if first[0] is not connection:
            connection.abort()
        return first

    async def _long_poll(self, connection: _AgentConnection, wait_ms: int) -> FirstResponse:
        """Makes a call; returns the connection, the version of the list at the call, and the response."""
        held_version = self.version
        return connection, held_version, await self._call(connection, held_version, wait_ms)

    async def _call(self, connection: _AgentConnection, held_version: int | None, wait_ms: int) -> Response:
        """Requests the changes after a version, for which the agent may wait `wait_ms`.

        Requests the complete list where `held_version` is None.
        """
        query, wait_s = "", 0.0
        if held_version is not None:
            query, wait_s = f"?index={held_version}&wait={wait_ms}", wait_ms / 1000
        async with asyncio.timeout(wait_s + RESPONSE_GRACE_S):
            return await connection.request(f"/v1/endpoints{query}", f"{self.address[0]}:{self.address[1]}")

    async def _begin(self, wait_ms: int) -> FirstResponse:
        """Connects and makes the first call."""
        async with asyncio.timeout(RESPONSE_GRACE_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                _AgentConnection, *self.address
            )
        try:
            return await self._long_poll(connection, wait_ms)
        except BaseException:
            connection.abort()
            raise

    async def _hedge(
        self, begun: asyncio.Task[FirstResponse] | None = None, late_after_s: float = 0.0
    ) -> FirstResponse:
        """Returns the first of several hedged calls to be answered, each on a connection of its own.

        A local agent that does not answer at once is down, and what it sends on its return counts as received
        at that moment. Calls are therefore a part of the drain grace apart, each with a minimal long poll.
        Earlier calls stay open beside later ones: a slow call has not failed. `begun` is a call in flight,
        which is late after `late_after_s`.
        """
        calls = [] if begun is None else [begun]
        timeout_s = late_after_s
        try:
            while True:
                done = await _any_of(calls, timeout_s)
                if done is not None:
                    calls.remove(done)
                    return done.result()
                if len(calls) == MAX_PARALLEL_CALLS:
                    _abandon_call(calls.pop(0))
                    log_message("discovery", "discovery: the agent does not answer; keeping the last list")
                calls.append(asyncio.get_running_loop().create_task(self._begin(MIN_LONG_POLL_MS)))
                timeout_s = self.backoff.retry_interval_s or 0.0
        finally:
            for call in calls:
                _abandon_call(call)

    def _read(self, body: bytes, held_version: int | None) -> EndpointList:
        """Returns the list in a response body.

        Raises ValueError where the list can't follow `held_version`; the current list then stays.
        """
        self.version = None  # if invalid: the same changes would be invalid again
        table = json.loads(body)
        if not isinstance(table, dict):
            raise ValueError("the response is not a JSON object")
        endpoint_list = read_endpoint_list(table)
        if not endpoint_list.full and (held_version is None or endpoint_list.version < held_version):
            raise ValueError("changes to a list that is not known")
        if endpoint_list.full and not endpoint_list.endpoints and self.has_list:
            # An agent that has just started sends such a list; a fleet does not disappear like that.
            raise ValueError("a complete list without workers")
        self.version, self.has_list = endpoint_list.version, self.has_list or bool(endpoint_list.endpoints)
        return endpoint_list
