"""How clients of a soak run leave before they have their answer."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
import struct

LINGER_NONE = struct.pack("ii", 1, 0)
LONGEST_WAIT_S = 0.8  # a client that will leave does so within this
BEHIND = 40  # requests that are sent behind one which is at work
BEHIND_PADDING = b"x" * 700  # of each: together more than a gatekeeper reads ahead

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Leave(enum.StrEnum):
    """A way of leaving."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    CLOSE_SENT_AHEAD = "close-sent-ahead"  # with further requests sent behind the one that is at work
    RESET_SENT_AHEAD = "reset-sent-ahead"

    @property
    def sends_ahead(self) -> bool:
        """Whether further requests are sent behind the first."""
        return self in (Leave.CLOSE_SENT_AHEAD, Leave.RESET_SENT_AHEAD)


def draw_leave(rng: random.Random, share: float) -> tuple[Leave, float] | None:
    """Return how a client leaves and after how many seconds; None for one that stays."""
    if rng.random() >= share:
        return None
    return Leave(rng.choice(list(Leave))), rng.uniform(0.0, LONGEST_WAIT_S)


async def leave(streams: Streams, how: Leave, half_closed_s: float) -> None:
    """Leave by `how`; a half-closed connection is read to its end, or for so many seconds."""
    reader, writer = streams
    if how is Leave.HALF_CLOSE:
        writer.write_eof()
        try:
            async with asyncio.timeout(half_closed_s):
                await reader.read()
        except (OSError, TimeoutError):
            pass
    if how in (Leave.RESET, Leave.RESET_SENT_AHEAD):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        writer.transport.abort()
    else:
        writer.close()
