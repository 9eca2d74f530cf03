"""Connections at the second address: one line each, a few at a time, none for long.

Callers that say nothing must cost clients nothing and keep no other caller out.
"""

from __future__ import annotations

import asyncio
import socket

from pepperrun.admin.calls import MOST_LINE, Calls, line_of
from pepperrun.config import Address, UnusableError
from pepperrun.log import log_message
from pepperrun.net.buffer import Buffer

MOST = 16  # connections at a time; the oldest one that waits gives way
SILENT_S = 5.0  # for a whole call, and for taking the answer
DESCRIPTORS = MOST + 4  # that this address may hold: its connections, those on their way out, the listener


class Caller(asyncio.BufferedProtocol):
    """A connection that brings one call."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer(MOST_LINE + 2)
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.timer = self.server.loop.call_later(SILENT_S, self.end)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.callers.pop(self, None)

    def get_buffer(self, sizehint: int) -> memoryview:
        if self.answered or self.buffer.is_full():
            self.buffer.release()  # what comes behind the call is not read
            self.buffer = Buffer(MOST_LINE + 2)
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.commit(nbytes, 0)
        if self.answered:
            return
        try:
            line = line_of(self.buffer.peek(len(self.buffer)))
        except ValueError as error:
            self.say(f"error {error}\n".encode())
            return
        if line is None and self.buffer.is_full():
            self.say(b"error the line is too long\n")
        elif line is not None:
            self.say(self.server.answer(line))

    def eof_received(self) -> bool:
        if not self.answered:  # a call whose line did not end is none
            self.say(b"error half a call\n")
        return False

    def say(self, answer: bytes) -> None:
        """The one answer; the connection ends once it is taken."""
        self.answered = True
        if self.transport is not None:
            self.transport.write(answer)
            if self.buffer.is_full():  # closing on unread bytes resets it: the answer might be lost
                self.transport.write_eof()
            else:
                self.transport.close()

    def end(self) -> None:
        """Ends it, whatever is unsaid."""
        if self.transport is not None:
            self.transport.abort()


class Server:
    """Listens at the second address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: Calls) -> None:
        self.loop, self.calls = loop, calls
        self.callers: dict[Caller, None] = {}  # the oldest first
        self.listener: asyncio.Server | None = None
        self.address: Address = ("", 0)

    async def open(self, address: Address) -> None:
        """Listens there; UnusableError names the key where that can't be."""
        try:
            self.listener = await self.loop.create_server(
                lambda: Caller(self), *address, family=_family(address), reuse_address=True, backlog=MOST * 4
            )
        except OSError as error:
            raise UnusableError(f"admin: {address[0]}:{address[1]}: {error.strerror}") from None
        self.address = self.listener.sockets[0].getsockname()[:2]
        log_message("admin", f"operators may call at {self.address[0]}:{self.address[1]}")

    def add(self, caller: Caller) -> None:
        """A connection is up; at the limit the oldest one gives way."""
        self.callers[caller] = None
        if len(self.callers) > MOST:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.end()

    def answer(self, line: bytes) -> bytes:
        """The answer to a call; a fault in a figure is the caller's to see and nobody else's."""
        try:
            return self.calls.answer(line)
        except Exception as error:
            log_message("admin", f"a call was not answered: {type(error).__name__}: {error}")
            return b"error it could not be answered\n"

    def close(self) -> None:
        """Listens no more and ends what is open."""
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            caller.end()


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
