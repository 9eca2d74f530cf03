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
from pepperrun.foundation.logs import trouble
from pepperrun.foundation.netstring import LONG, PACKS, Decoder, Message, encode, packed
from pepperrun.foundation.settings import Address

VERSION = 1
OPERATOR = "operator"  # the class, in a hello, of one who only looks: it is shown what is held
SILENT_MS = 2000  # unacknowledged bytes for so long: the other machine is gone or behind a cut
UP_S = 1.0  # a connection takes no longer to come up, or will not
AGAIN_S = (0.05, 1.0)  # between two tries: at first, and at most
MOST_UNSENT = 16 * 1024 * 1024  # bytes: a link whose other side takes nothing ends


class User(Protocol):
    """Whom a link tells of what happens on it."""

    def opened(self, link: Link, hello: Message) -> None: ...

    def heard(self, link: Link, message: Message) -> None: ...

    def closed(self, link: Link) -> None: ...


class Link(asyncio.Protocol):
    """One connection. `name` is the other side's station once it has said hello."""

    def __init__(self, user: User, hello: Callable[[], Message]) -> None:
        self.user, self.hello = user, hello
        self.transport: asyncio.Transport | None = None
        self.decoder = Decoder()
        self.name, self.greeted, self.packs = "", False, False
        self.done: asyncio.Future[None] | None = None
        self.on_part: Callable[[], None] | None = None  # bytes came, and the message that they begin has not

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
        self.send({"k": "hello", "v": VERSION, "packs": [PACKS]} | self.hello())

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.decoder.feed(data)
            if not messages and self.greeted and self.on_part is not None:
                self.on_part()
            for message in messages:
                if self.transport is None:
                    return
                if self.greeted:
                    self.user.heard(self, message)
                elif message["k"] == "hello" and isinstance(message.get("station"), str):
                    self.greeted, self.name = True, message["station"]
                    self.packs = PACKS in (message.get("packs") or ())
                    self.user.opened(self, message)
                else:
                    raise PepperrunError("bad-hello", "greeting", "no hello at first")
        except PepperrunError as error:
            error.peer = error.peer or self.name
            trouble(error)
            self.close()
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            trouble(PepperrunError("bad-message", "reading", f"{type(error).__name__}: {error}", self.name))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.greeted:
            self.user.closed(self)
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
        if transport.get_write_buffer_size() > MOST_UNSENT:
            trouble(PepperrunError("link-stuck", "sending", "the other side takes nothing", self.name))
            transport.abort()
            return
        transport.write(packed(frame) if self.packs and len(frame) > LONG else frame)

    def unsent(self) -> int:
        """Bytes written and not yet gone out, as far as is known here."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self) -> None:
        """Ends it at once."""
        if self.transport is not None:
            self.transport.abort()


async def listen(where: Address, user: User, hello: Callable[[], Message]) -> asyncio.Server:
    """Takes links at an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Link(user, hello), *where, reuse_address=True)


class Dialer:
    """Keeps one link up to an address until it is closed.

    `up_s`: for a try at most. `again_s`: between two tries at most; they begin with AGAIN_S[0].
    """

    def __init__(
        self,
        where: Address,
        user: User,
        hello: Callable[[], Message],
        up_s: float = UP_S,
        again_s: float = AGAIN_S[1],
    ) -> None:
        self.where, self.user, self.hello, self.up_s, self.again_s = where, user, hello, up_s, again_s
        self.link: Link | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        loop, wait = asyncio.get_running_loop(), AGAIN_S[0]
        while True:
            try:
                async with asyncio.timeout(self.up_s):
                    _, link = await loop.create_connection(lambda: Link(self.user, self.hello), *self.where)
            except OSError:
                wait = min(self.again_s, 2 * wait)
            else:
                self.link, link.done = link, loop.create_future()
                if link.transport is not None:
                    await link.done
                wait = AGAIN_S[0] if link.greeted else min(self.again_s, 2 * wait)
                self.link = None
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))

    def close(self) -> None:
        """Ends the link and tries no more."""
        self.task.cancel()
        if self.link is not None:
            self.link.close()
