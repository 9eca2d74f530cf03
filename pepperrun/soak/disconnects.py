"""How clients of a soak run disconnect before they have their response."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)
MAX_DISCONNECT_DELAY_S = 0.8  # latest disconnect after the request was sent
PIPELINED_REQUESTS = 40  # pipelined behind a running request
PIPELINED_PADDING = b"x" * 700  # of each pipelined request; together more than a gateway reads ahead

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class DisconnectKind(enum.StrEnum):
    """How a client ends its connection."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    CLOSE_SENT_AHEAD = "close-sent-ahead"  # with further requests pipelined behind the running one
    RESET_SENT_AHEAD = "reset-sent-ahead"

    @property
    def pipelines(self) -> bool:
        """Whether further requests are pipelined behind the first."""
        return self in (DisconnectKind.CLOSE_SENT_AHEAD, DisconnectKind.RESET_SENT_AHEAD)


def draw_disconnect(rng: random.Random, share: float) -> tuple[DisconnectKind, float] | None:
    """Return how a client disconnects and after how many seconds; None for one that stays."""
    if rng.random() >= share:
        return None
    return DisconnectKind(rng.choice(list(DisconnectKind))), rng.uniform(0.0, MAX_DISCONNECT_DELAY_S)


async def disconnect(streams: Streams, kind: DisconnectKind, half_closed_limit_s: float) -> None:
    """Disconnect by `kind`.

    A half-closed connection is first read to its end or for `half_closed_limit_s` seconds.
    """
    reader, writer = streams
    if kind is DisconnectKind.HALF_CLOSE:
        writer.write_eof()
        try:
            async with asyncio.timeout(half_closed_limit_s):
                await reader.read()
        except (OSError, TimeoutError):
            pass
    if kind in (DisconnectKind.RESET, DisconnectKind.RESET_SENT_AHEAD):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.transport.abort()
    else:
        writer.close()
