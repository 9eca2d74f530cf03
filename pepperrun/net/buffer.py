"""A growing receive buffer for each connection, compacted in place."""

from __future__ import annotations

import asyncio
import select

INITIAL_SIZE = 4096
MIN_FREE = 1024
MAX_IDLE_SIZE = 16 * 1024  # memory that an empty buffer keeps: connections are many, large messages are few


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether its socket holds input that has not been read: bytes, an end of stream or an error."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Buffer:
    """A byte queue: written at the end, read from the front, never longer than `max_size`."""

    __slots__ = ("data", "end", "first_byte_at", "last_byte_at", "max_idle_size", "max_size", "start")

    def __init__(self, max_size: int) -> None:
        self.max_size, self.max_idle_size = max_size, MAX_IDLE_SIZE
        self.data = bytearray(min(INITIAL_SIZE, max_size))
        self.start = self.end = 0
        self.first_byte_at = self.last_byte_at = 0  # when the first and the last buffered bytes arrived, ns

    def __len__(self) -> int:
        return self.end - self.start

    def is_full(self) -> bool:
        """Whether the buffer has reached its maximum size."""
        return len(self) >= self.max_size

    def free_space(self) -> memoryview:
        """Returns where the next bytes go. Moves the content to the front before the buffer grows."""
        if self.start and len(self.data) - self.end < MIN_FREE:
            length = self.end - self.start
            self.data[:length] = self.data[self.start : self.end]
            self.start, self.end = 0, length
        if len(self.data) - self.end < MIN_FREE and len(self.data) < self.max_size:
            # A new array: the old one can't be resized while a view of it is in use.
            self.data = self.data + bytes(min(len(self.data), self.max_size - len(self.data)))
        return memoryview(self.data)[self.end :]

    def set_read_size(self, size: int) -> None:
        """Sets the bytes taken in one read, for a long body that is streamed; 0 restores the default."""
        self.max_idle_size = max(MAX_IDLE_SIZE, size)
        if self.start == self.end and (len(self.data) < size or not size and len(self.data) > MAX_IDLE_SIZE):
            self.data = bytearray(max(INITIAL_SIZE, min(size, self.max_size)))
            self.start = self.end = 0

    def commit(self, count: int, now: int) -> None:
        """Appends `count` bytes that were written to `free_space`."""
        if self.start == self.end:
            self.first_byte_at = now
        self.last_byte_at = now
        self.end += count

    def add(self, data: bytes, now: int = 0) -> None:
        """Appends bytes; raises ValueError where they do not fit."""
        view = memoryview(data)
        while len(view):
            space = self.free_space()
            if not len(space):
                raise ValueError("the buffer is full")
            count = min(len(space), len(view))
            space[:count] = view[:count]
            self.commit(count, now)
            view = view[count:]

    def find(self, pattern: bytes, skip: int = 0) -> int:
        """Returns the offset of `pattern` from the front, after `skip` bytes; -1 where it is not buffered."""
        at = self.data.find(pattern, self.start + skip, self.end)
        return at - self.start if at >= 0 else -1

    def peek(self, count: int) -> bytes:
        """Returns up to `count` first bytes and leaves them in the buffer."""
        return bytes(self.data[self.start : min(self.end, self.start + count)])

    def take(self, count: int) -> bytes:
        """Removes and returns up to `count` first bytes."""
        taken = self.peek(count)
        self.drop(len(taken))
        return taken

    def release(self) -> None:
        """Drops the content and frees the memory: nothing is added afterwards."""
        self.data = bytearray()
        self.start = self.end = 0

    def drop(self, count: int) -> None:
        """Drops up to `count` first bytes."""
        self.start += min(count, len(self))
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self.max_idle_size:
                self.data = bytearray(INITIAL_SIZE)
        else:
            self.first_byte_at = self.last_byte_at  # the remaining bytes arrived with the last ones
