"""Links: TCP connections between own processes that carry netstrings of JSON both ways.

A link that breaks loses what was under way; whoever uses links repeats what must arrive. Each side's first
message is its hello (`{"k": "hello", "v": 1, ...}`), which the other is told with `opened`.
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
OPERATOR_CLASS = "operator"  # the class, in a hello, of one who only looks: it is shown what is held
TCP_TIMEOUT_MS = 2000  # unacknowledged bytes for so long: the other machine is gone or behind a cut
CONNECT_TIMEOUT_S = 1.0  # a connection takes no longer to come up, or will not
RETRY_DELAY_S = (0.05, 1.0)  # between two tries: at first, and at most
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # bytes: a link whose other side takes nothing ends


class LinkHandler(Protocol):
    """Whom a link tells of what happens on it."""

    def opened(self, link: Link, hello: Message) -> None: ...

    def received(self, link: Link, message: Message) -> None: ...

    def closed(self, link: Link) -> None: ...


class Link(asyncio.Protocol):
    """One connection. `name` is the other side's station once it has said hello."""

    def __init__(self, handler: LinkHandler, hello: Callable[[], Message]) -> None:
        self.handler, self.hello = handler, hello
        self.transport: asyncio.Transport | None = None
        self.decoder = Decoder()
        self.name, self.hello_received, self.accepts_deflate = "", False, False
        self.done: asyncio.Future[None] | None = None
        self.on_partial_message: Callable[[], None] | None = None  # part of a message came

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
                    raise PepperrunError("bad-hello", "greeting", "no hello at first")
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
        """Sends, or drops where the link is down."""
        self.write(encode(message))

    def write(self, frame: bytes) -> None:
        """Sends a frame that is encoded already: one encoding for many links."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log_error(PepperrunError("link-stuck", "sending", "the other side takes nothing", self.name))
            transport.abort()
            return
        transport.write(
            compress(frame) if self.accepts_deflate and len(frame) > COMPRESS_ABOVE_BYTES else frame
        )

    def unsent(self) -> int:
        """Bytes written and not yet gone out, as far as is known here."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        """Ends it at once."""
        if self.transport is not None:
            self.transport.abort()


async def listen(address: Address, handler: LinkHandler, hello: Callable[[], Message]) -> asyncio.Server:
    """Takes links at an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Link(handler, hello), *address, reuse_address=True)


class Dialer:
    """Keeps one link up to an address until it is closed.

    `connect_timeout_s` bounds one attempt. The delay between attempts starts at RETRY_DELAY_S[0] and grows
    up to `max_retry_s`.
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
        loop, wait = asyncio.get_running_loop(), RETRY_DELAY_S[0]
        while True:
            try:
                async with asyncio.timeout(self.connect_timeout_s):
                    _, link = await loop.create_connection(
                        lambda: Link(self.handler, self.hello), *self.address
                    )
            except OSError:
                wait = min(self.max_retry_s, 2 * wait)
            else:
                self.link, link.done = link, loop.create_future()
                if link.transport is not None:
                    await link.done
                wait = RETRY_DELAY_S[0] if link.hello_received else min(self.max_retry_s, 2 * wait)
                self.link = None
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))

    def close(self) -> None:
        """Ends the link and tries no more."""
        self.task.cancel()
        if self.link is not None:
            self.link.close()
