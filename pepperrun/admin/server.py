"""The server at the admin address: one command per connection, few connections, each with a time-out.

Silent connections must neither take resources from clients nor keep other operators out.
"""

from __future__ import annotations

import asyncio
import socket

from pepperrun.admin.commands import MAX_LINE_BYTES, CommandHandler, parse_command
from pepperrun.config import Address, UnusableError
from pepperrun.log import log_message
from pepperrun.net.buffer import Buffer

MAX_CONNECTIONS = 16  # open at once; the oldest one is closed for a new one
TIMEOUT_S = 5.0  # from the connection until the answer has been received
# What the admin address may hold: its connections, those that are closing, and the listener.
MAX_DESCRIPTORS = MAX_CONNECTIONS + 4


class AdminConnection(asyncio.BufferedProtocol):
    """A connection, on which one command is read and answered."""

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
            self.buffer.release()  # bytes after the command are ignored
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
        if not self.responded:  # a line without its newline is not a command
            self.respond(b"error half a call\n")
        return False

    def respond(self, answer: bytes) -> None:
        """Sends the answer; the connection closes once the answer has been sent."""
        self.responded = True
        if self.transport is not None:
            self.transport.write(answer)
            if self.buffer.is_full():  # closing with unread bytes sends a reset, which may drop the answer
                self.transport.write_eof()
            else:
                self.transport.close()

    def abort(self) -> None:
        """Closes the connection at once; data not sent yet is dropped."""
        if self.transport is not None:
            self.transport.abort()


class AdminServer:
    """Accepts connections at the admin address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, commands: CommandHandler) -> None:
        self.loop, self.commands = loop, commands
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self.listener: asyncio.Server | None = None
        self.address: Address = ("", 0)

    async def open(self, address: Address) -> None:
        """Starts to listen; raises UnusableError, which names the key, if the address can't be used."""
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
        log_message("admin", f"accepting operator commands at {self.address[0]}:{self.address[1]}")

    def add(self, connection: AdminConnection) -> None:
        """Adds a connection; beyond the limit closes the oldest one."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.abort()

    def respond_to(self, line: bytes) -> bytes:
        """Returns the answer to a command; an exception gives an error answer and a log line."""
        try:
            return self.commands.answer(line)
        except Exception as error:
            log_message("admin", f"an operator command failed: {type(error).__name__}: {error}")
            return b"error it could not be answered\n"

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
