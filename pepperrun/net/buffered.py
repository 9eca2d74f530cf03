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
        self.opened()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.ended()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.filled(nbytes, 0)
        self.came()

    def opened(self) -> None:
        """It is up."""

    def came(self) -> None:
        """There are more bytes in the buffer."""

    def ended(self) -> None:
        """It is over."""
