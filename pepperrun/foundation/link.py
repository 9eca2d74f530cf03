"""Links: TCP connections between processes of the system that carry JSON netstrings in both directions.

A link that breaks loses the messages in flight; its users send again what must arrive. The first message of
each side is its hello (`{"k": "hello", "v": 1, ...}`), which the other side gets with `opened`.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import Protocol

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import log_error
from pepperrun.foundation.netstring import COMPRESS_ABOVE_BYTES, DEFLATE, Decoder, Message, compress, encode
from pepperrun.foundation.settings import Address

PROTOCOL_VERSION = 1
OPERATOR_CLASS = "operator"  # class in the hello of an operator's tool, which only reads the state
TCP_TIMEOUT_MS = 2000  # with bytes unacknowledged for longer the other machine is down or partitioned
CONNECT_TIMEOUT_S = 1.0  # a connection that takes longer to open is not expected to open
RETRY_DELAY_S = (0.05, 1.0)  # between two connection attempts: at first, and at most
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # a link with more bytes unsent ends: its peer does not read


class LinkHandler(Protocol):
    """Handler of the events of links."""

    def opened(self, link: Link, hello: Message) -> None:
        """Handle a link whose peer has sent its hello."""
        ...

    def received(self, link: Link, message: Message) -> None:
        """Handle a message after the hello."""
        ...

    def closed(self, link: Link) -> None:
        """Handle the end of a link that was opened."""
        ...


class Link(asyncio.Protocol):
    """One connection to a peer.

    Attributes
    ----------
    name : str
        Station name of the peer; empty until its hello.
    hello_received : bool
        Whether the peer has sent its hello.
    accepts_deflate : bool
        Whether the peer reads compressed frames.
    done : asyncio.Future or None
        Set by the dialer; resolved when the connection ends.
    on_partial_message : callable or None
        Called when received bytes complete no message: they are part of a longer one.
    """

    def __init__(self, handler: LinkHandler, hello: Callable[[], Message]) -> None:
        self.handler, self.hello = handler, hello
        self.transport: asyncio.Transport | None = None
        self.decoder = Decoder()
        self.name, self.hello_received, self.accepts_deflate = "", False, False
        self.done: asyncio.Future[None] | None = None
        self.on_partial_message: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_TIMEOUT_MS)
        self.send({"k": "hello", "v": PROTOCOL_VERSION, "packs": [DEFLATE]} | self.hello())

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.decoder.feed(data)
            if not messages and self.hello_received and self.on_partial_message is not None:
                self.on_partial_message()
            for message in messages:
                if self.transport is None:
                    return
                if self.hello_received:
                    self.handler.received(self, message)
                elif message["k"] == "hello" and isinstance(message.get("station"), str):
                    self.hello_received, self.name = True, message["station"]
                    self.accepts_deflate = DEFLATE in (message.get("packs") or ())
                    self.handler.opened(self, message)
                else:
                    raise PepperrunError("bad-hello", "greeting", "the first message is not a valid hello")
        except PepperrunError as error:
            error.peer = error.peer or self.name
            log_error(error)
            self.close()
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            log_error(PepperrunError("bad-message", "reading", f"{type(error).__name__}: {error}", self.name))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.hello_received:
            self.handler.closed(self)
        if self.done is not None and not self.done.done():
            self.done.set_result(None)

    def send(self, message: Message) -> None:
        """Send a message, or drop it if the link is down."""
        self.write(encode(message))

    def write(self, frame: bytes) -> None:
        """Send an encoded frame, or drop it if the link is down.

        A message to many links is encoded only once. Ends the link if too many bytes are unsent.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log_error(
                PepperrunError("link-stuck", "sending", "the peer does not read; the link ends", self.name)
            )
            transport.abort()
            return
        transport.write(
            compress(frame) if self.accepts_deflate and len(frame) > COMPRESS_ABOVE_BYTES else frame
        )

    def unsent(self) -> int:
        """Return the number of bytes in the write buffer; the kernel may hold more."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        """End the link at once, dropping what is unsent."""
        if self.transport is not None:
            self.transport.abort()


async def listen(address: Address, handler: LinkHandler, hello: Callable[[], Message]) -> asyncio.Server:
    """Accept links at an address.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Link(handler, hello), *address, reuse_address=True)


class Dialer:
    """Keeps one link to an address up, reconnecting until `close` is called.

    Parameters
    ----------
    connect_timeout_s : float
        Time limit of one connection attempt.
    max_retry_s : float
        Maximum delay between two attempts. The delay starts at ``RETRY_DELAY_S[0]``, doubles after each
        failed attempt and is jittered.
    """

    def __init__(
        self,
        address: Address,
        handler: LinkHandler,
        hello: Callable[[], Message],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_retry_s: float = RETRY_DELAY_S[1],
    ) -> None:
        self.address, self.handler, self.hello, self.connect_timeout_s, self.max_retry_s = (
            address,
            handler,
            hello,
            connect_timeout_s,
            max_retry_s,
        )
        self.link: Link | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        loop, delay = asyncio.get_running_loop(), RETRY_DELAY_S[0]
        while True:
            try:
                async with asyncio.timeout(self.connect_timeout_s):
                    _, link = await loop.create_connection(
                        lambda: Link(self.handler, self.hello), *self.address
                    )
            except OSError:
                delay = min(self.max_retry_s, 2 * delay)
            else:
                self.link, link.done = link, loop.create_future()
                if link.transport is not None:
                    await link.done
                delay = RETRY_DELAY_S[0] if link.hello_received else min(self.max_retry_s, 2 * delay)
                self.link = None
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    def close(self) -> None:
        """End the link and stop connecting."""
        self.task.cancel()
        if self.link is not None:
            self.link.close()
