"""One growing buffer for each connection, compacted in place."""

from __future__ import annotations

import asyncio
import select

INITIAL_SIZE = 4096
MIN_FREE = 1024
MAX_IDLE_SIZE = 16 * 1024  # what an empty buffer keeps at most: connections are many and large messages few


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Does its socket hold what has not been read from it: bytes, an end or an error?"""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Buffer:
    """Bytes come in at the end and are taken off the front. Never holds more than `most`."""

    __slots__ = ("data", "end", "first_byte_at", "last_byte_at", "max_idle_size", "max_size", "start")

    def __init__(self, most: int) -> None:
        self.max_size, self.max_idle_size = most, MAX_IDLE_SIZE
        self.data = bytearray(min(INITIAL_SIZE, most))
        self.start = self.end = 0
        self.first_byte_at = self.last_byte_at = 0  # when the first byte held and the last ones came

    def __len__(self) -> int:
        return self.end - self.start

    def is_full(self) -> bool:
        """Is there no room for another byte?"""
        return len(self) >= self.max_size

    def free_space(self) -> memoryview:
        """Where the next bytes go. What is held moves to the front before the buffer grows."""
        if self.start and len(self.data) - self.end < MIN_FREE:
            held = self.end - self.start
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        if len(self.data) - self.end < MIN_FREE and len(self.data) < self.max_size:
            # A new array: the old one can't be resized while a view of it is in use.
            self.data = self.data + bytes(min(len(self.data), self.max_size - len(self.data)))
        return memoryview(self.data)[self.end :]

    def set_read_size(self, size: int) -> None:
        """Takes up to so much at a time from now on, while a long body passes; 0: as before."""
        self.max_idle_size = max(MAX_IDLE_SIZE, size)
        if self.start == self.end and (len(self.data) < size or not size and len(self.data) > MAX_IDLE_SIZE):
            self.data = bytearray(max(INITIAL_SIZE, min(size, self.max_size)))
            self.start = self.end = 0

    def commit(self, count: int, now: int) -> None:
        """So many bytes were put in at `room`."""
        if self.start == self.end:
            self.first_byte_at = now
        self.last_byte_at = now
        self.end += count

    def add(self, data: bytes, now: int = 0) -> None:
        """Puts bytes in; ValueError where they are more than fit."""
        view = memoryview(data)
        while len(view):
            room = self.free_space()
            if not len(room):
                raise ValueError("the buffer is full")
            count = min(len(room), len(view))
            room[:count] = view[:count]
            self.commit(count, now)
            view = view[count:]

    def find(self, what: bytes, skip: int = 0) -> int:
        """Where `what` begins, counted from the front and after `skip` bytes; -1 where it is not held."""
        at = self.data.find(what, self.start + skip, self.end)
        return at - self.start if at >= 0 else -1

    def peek(self, count: int) -> bytes:
        """The first bytes, left in."""
        return bytes(self.data[self.start : min(self.end, self.start + count)])

    def take(self, count: int) -> bytes:
        """The first bytes, taken off."""
        taken = self.peek(count)
        self.drop(len(taken))
        return taken

    def release(self) -> None:
        """Drops everything, and the room for more: nothing will be put in again."""
        self.data = bytearray()
        self.start = self.end = 0

    def drop(self, count: int) -> None:
        """Takes bytes off the front."""
        self.start += min(count, len(self))
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self.max_idle_size:
                self.data = bytearray(INITIAL_SIZE)
        else:
            self.first_byte_at = self.last_byte_at  # what is left came with the last ones
