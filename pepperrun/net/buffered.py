"""A connection whose input goes into one buffer: the base of all small protocols."""

from __future__ import annotations

import asyncio

from pepperrun.net.buffer import Buffer


class BufferedConnection(asyncio.BufferedProtocol):
    """Holds the transport while it is open and fills the buffer. Subclasses override the `on_` methods."""

    def __init__(self, max_size: int) -> None:
        self.buffer = Buffer(max_size)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.on_open()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.on_close()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.commit(nbytes, 0)
        self.on_data()

    def on_open(self) -> None:
        """Called once the connection is open."""

    def on_data(self) -> None:
        """Called when bytes have been added to the buffer."""

    def on_close(self) -> None:
        """Called once the connection has ended; the transport is already None."""
