"""Connections at the second address: one line each, a few at a time, none for long.

Callers that say nothing must cost clients nothing and keep no other caller out.
"""

from __future__ import annotations

import asyncio
import socket

from pepperrun.admin.commands import MAX_LINE_BYTES, CommandHandler, parse_command
from pepperrun.config import Address, UnusableError
from pepperrun.log import log_message
from pepperrun.net.buffer import Buffer

MAX_CONNECTIONS = 16  # connections at a time; the oldest one that waits gives way
TIMEOUT_S = 5.0  # for a whole call, and for taking the answer
# What the admin address may hold: its connections, those that are closing, and the listener.
MAX_DESCRIPTORS = MAX_CONNECTIONS + 4


class AdminConnection(asyncio.BufferedProtocol):
    """A connection that brings one call."""

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = Buffer(MAX_LINE_BYTES + 2)
        self.responded = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.timer = self.server.loop.call_later(TIMEOUT_S, self.abort)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.connections.pop(self, None)

    def get_buffer(self, sizehint: int) -> memoryview:
        if self.responded or self.buffer.is_full():
            self.buffer.release()  # what comes behind the call is not read
            self.buffer = Buffer(MAX_LINE_BYTES + 2)
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.commit(nbytes, 0)
        if self.responded:
            return
        try:
            line = parse_command(self.buffer.peek(len(self.buffer)))
        except ValueError as error:
            self.respond(f"error {error}\n".encode())
            return
        if line is None and self.buffer.is_full():
            self.respond(b"error the line is too long\n")
        elif line is not None:
            self.respond(self.server.respond_to(line))

    def eof_received(self) -> bool:
        if not self.responded:  # a call whose line did not end is none
            self.respond(b"error half a call\n")
        return False

    def respond(self, answer: bytes) -> None:
        """The one answer; the connection ends once it is taken."""
        self.responded = True
        if self.transport is not None:
            self.transport.write(answer)
            if self.buffer.is_full():  # closing on unread bytes resets it: the answer might be lost
                self.transport.write_eof()
            else:
                self.transport.close()

    def abort(self) -> None:
        """Ends it, whatever is unsaid."""
        if self.transport is not None:
            self.transport.abort()


class AdminServer:
    """Listens at the second address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, commands: CommandHandler) -> None:
        self.loop, self.commands = loop, commands
        self.connections: dict[AdminConnection, None] = {}  # the oldest first
        self.listener: asyncio.Server | None = None
        self.address: Address = ("", 0)

    async def open(self, address: Address) -> None:
        """Listens there; UnusableError names the key where that can't be."""
        try:
            self.listener = await self.loop.create_server(
                lambda: AdminConnection(self),
                *address,
                family=_family(address),
                reuse_address=True,
                backlog=MAX_CONNECTIONS * 4,
            )
        except OSError as error:
            raise UnusableError(f"admin: {address[0]}:{address[1]}: {error.strerror}") from None
        self.address = self.listener.sockets[0].getsockname()[:2]
        log_message("admin", f"operators may call at {self.address[0]}:{self.address[1]}")

    def add(self, connection: AdminConnection) -> None:
        """A connection is up; at the limit the oldest one gives way."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.abort()

    def respond_to(self, line: bytes) -> bytes:
        """The answer to a call; a fault in a figure is the caller's to see and nobody else's."""
        try:
            return self.commands.answer(line)
        except Exception as error:
            log_message("admin", f"a call was not answered: {type(error).__name__}: {error}")
            return b"error it could not be answered\n"

    def close(self) -> None:
        """Listens no more and ends what is open."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
