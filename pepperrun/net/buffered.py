"""A connection whose bytes come into one buffer: what all small protocols on one share."""

from __future__ import annotations

import asyncio

from pepperrun.net.buffer import Buffer


class BufferedConnection(asyncio.BufferedProtocol):
    """Keeps the transport while it is up and fills the buffer; `came` and `ended` are the protocol's."""

    def __init__(self, most: int) -> None:
        self.buffer = Buffer(most)
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
        """It is up."""

    def on_data(self) -> None:
        """There are more bytes in the buffer."""

    def on_close(self) -> None:
        """It is over."""
