"""The client side of HTTP/1.1: one request at a time on a connection, each with one answer.

What the fronts share. A front says what a request means (`begin`) and what follows from a final answer
(`follow`): the answer as the client reads it, or a further exchange for the same request.
"""

from __future__ import annotations

import asyncio
from typing import Any

from pepperrun.core.clock import SECOND
from pepperrun.exchange import End, Final
from pepperrun.fronts.client_connection import ClientConnection, Submission
from pepperrun.net.buffer import has_unread_input
from pepperrun.net.http1 import (
    LAST_CHUNK,
    HttpError,
    Message,
    Request,
    encode_chunk,
    encode_head,
    encode_response,
)
from pepperrun.net.stream import BodyStream

Fields = list[tuple[bytes, bytes]]
Answer = (
    tuple[int, Fields, bytes] | tuple[int, Fields, bytes, Message]
)  # the last one brings the rest of the body
CLOSING_STATUSES = (
    400,
    404,
    405,
)  # a client that is answered so at once knows the protocol badly: the connection ends
MAX_PIPELINED_BYTES = 16 * 1024  # of what is sent ahead of an answer, so much is held
LINGER_BYTES = 96 * 1024 * 1024  # so much more is dropped
SCRATCH = memoryview(bytearray(256 * 1024))  # takes what is dropped; never read
TEXT = (b"Content-Type", b"text/plain; charset=utf-8")

# Between one connection and the next, or between client and gatekeeper: not the worker's.
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade content-length expect x-budget x-plan x-quota x-again".split()
)


def forwarded_fields(request: Message, untrusted: frozenset[bytes] = frozenset()) -> Fields:
    """The fields that go on to the next hop, less those that a client has no right to set."""
    dropped = NOT_FORWARDED | untrusted if untrusted else NOT_FORWARDED
    if b"connection" in request.headers:
        named = request.headers[b"connection"].lower().split(b",")
        dropped = dropped | {name.strip() for name in named}
    return [pair for pair in request.fields if pair[0].lower() not in dropped]


def _descriptor(transport: asyncio.Transport) -> int:
    number: int = transport.get_extra_info("socket").fileno()
    return number


class HttpConnection(ClientConnection):
    """A client's connection. Fronts derive from it."""

    closing_statuses: tuple[int, ...] = CLOSING_STATUSES

    # For fronts.

    def handle_request(self, request: Request) -> Submission | Answer:
        """What to do with a request: an exchange, or an answer at once."""
        raise NotImplementedError

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        """How a final answer reads, or the request's next exchange."""
        raise NotImplementedError

    def expire(self) -> None:
        """Its time is up: who has sent a part of a request is told so."""
        if (
            self.transport is not None
            and not self.is_busy()
            and not self.lingering
            and has_unread_input(self.transport)
        ):
            return  # it has been used, and the loop is late
        if (
            self.has_partial_request()
            and self.transport is not None
            and not self.lingering
            and has_unread_input(self.transport)
        ):
            return
        if self.upload is not None:
            self._abort_upload(408, b"the request did not come whole in time\n")
            return
        if (
            self.has_partial_request()
            and not self.closing
            and not self.unwritten()
            and self.transport is not None
        ):
            text = b"the request did not come whole in time\n"
            bodiless = self.parser.is_head_request()
            self.transport.write(encode_response(408, [TEXT], text, close=True, bodiless=bodiless))
        self.close()

    def close(self) -> None:
        """Closes; what is written still goes out, unless the client does not take it."""
        self.closing = True
        if self.transport is not None:
            if self.write_blocked_at is not None or self.lingering and self.unwritten():
                self.transport.abort()
            else:
                self.transport.close()

    def resume(self) -> None:
        """Reads what came with it from another process."""
        if len(self.buffer) and self.pending is None:
            self._read()

    # For asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.made:
            self.made = self.since = self.clock()
        self.listener.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.parked:
            return
        if self.paused and self.transport is not None:
            self.listener.hangups.unwatch(_descriptor(self.transport))
        self.transport = None
        self.listener.remove(self)
        self._left()

    def pause_writing(self) -> None:
        self.write_blocked_at = self.clock()
        if self.download is not None:
            self.download.pause(True)

    def resume_writing(self) -> None:
        self.write_blocked_at = None
        if self.download is not None:
            self.download.pause(False)

    def get_buffer(self, sizehint: int) -> memoryview:
        return SCRATCH if self.lingering else self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        if not self.lingering:
            first = not len(self.buffer)
            self.buffer.commit(nbytes, self.clock())
            if self.woken:
                if first:  # its time runs from when it spoke, not from when it was taken up
                    self.buffer.first_byte_at = self.buffer.last_byte_at = self.woken
                self.woken = 0
            if self.upload is not None:
                self._pass_on(self.upload)
            else:
                self._read()
            return
        self.dropped += nbytes
        if self.dropped > LINGER_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        self._left()
        return False

    def _left(self) -> None:
        if self.patience is not None:
            self.patience.cancel()
        if self.upload is not None:
            self.upload.fail()
            self.upload = None
        if self.download is not None:
            self.download.abandon()
            self._taken(End.CLIENT_LEFT)
        step, self.pending = self.pending, None
        if step is not None:
            step[0].client_left(step[1])

    def _has_pending_answer(self) -> bool:
        """Is an answer awaited, or on its way? The next one would stand inside it: that request waits."""
        return self.pending is not None or self.download is not None

    def _read(self) -> None:
        """Begins the next request, unless one has not been answered whole."""
        while not self._has_pending_answer() and not self.closing and self.transport is not None:
            try:
                request = self.parser.next()
            except HttpError as error:
                self._reject((error.status, [TEXT], f"{error}\n".encode()))
                return
            if request is None:
                if self.parser.request is not None:
                    self.head_at = self.head_at or self.clock()
                if self.parser.expects_continue() and self.parser.request is not None:
                    self.parser.request.headers.pop(b"expect")
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self.request = request
            if request.complete:
                self.head_at = 0
            elif self.budget is not None:
                self.head_at = self.head_at or self.clock()
                request.stream = self.upload = BodyStream(self.budget, self._pause, self._nobody)
                self.buffer.set_read_size(self.budget.buffer_limit())
            what = self.handle_request(request)
            if len(what) == 3 and (what[0] in self.closing_statuses or not request.complete):
                self._reject(what)  # the rest of its body must not be read as the next request
            else:
                self._proceed(what)
        if self.upload is not None:
            self._pass_on(self.upload)
            return
        ahead = self._has_pending_answer() and len(self.buffer) >= MAX_PIPELINED_BYTES
        if ahead and self.transport is not None and not self.paused:
            self._stop_reading(self.transport)  # more was sent ahead than is held for a client

    # A body that is longer than is held, on its way to a backend.

    def _pass_on(self, upload: BodyStream) -> None:
        try:
            while self.upload is upload and (data := self.parser.read_body()):
                upload.feed(data)
        except HttpError as error:
            self._abort_upload(error.status, f"{error}\n".encode())
            return
        if self.upload is not upload or not self.parser.body_complete():
            return
        self.upload, self.head_at = None, 0
        self.buffer.set_read_size(0)
        self._pause(False)
        step = self.pending
        if step is not None:
            left_s = step[1].wait_after_body_ns / SECOND
            self.patience = self.listener.loop.call_later(left_s, self._out_of_time, step)
        upload.finish()
        if step is None:
            self._next()

    def _out_of_time(self, step: Submission) -> None:
        self.patience = None
        if self.pending is step:
            step[0].expire(step[1])

    def _pause(self, on: bool) -> None:
        """The backend can't take more now, or can again."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.lingering or on == self.paused:
            return
        now = self.clock()
        if on:
            self.paused_at = now
            self._stop_reading(transport)
            return
        self.buffer.last_byte_at = now  # time in which it was not read is not the client's
        self.head_at += now - self.paused_at if self.head_at else 0
        self._read_on(transport)

    def _stop_reading(self, transport: asyncio.Transport) -> None:
        """Reads no more for now. Its client may leave meanwhile, which no read would tell."""
        self.paused = True
        transport.pause_reading()
        self.listener.hangups.watch(_descriptor(transport), self._hung_up)

    def _read_on(self, transport: asyncio.Transport) -> None:
        """Reads again."""
        self.paused = False
        self.listener.hangups.unwatch(_descriptor(transport))
        if not self.held:
            transport.resume_reading()

    def _hung_up(self, broken: bool) -> None:
        """Its client has left, behind bytes that are not read.

        An upload that may not be repeated goes on: all of it may have arrived.
        """
        transport, step = self.transport, self.pending
        if transport is None or transport.is_closing():
            return
        if (
            not broken
            and self.upload is not None
            and step is not None
            and not step[0].is_safe_to_repeat(step[1])
        ):
            return
        transport.abort()

    def _nobody(self) -> None:
        """The backend takes no more of it; the module says what follows. What comes meanwhile is dropped."""
        if self.upload is not None:
            self._pause(False)

    def _abort_upload(self, status: int, text: bytes) -> None:
        """The rest of a body is not to be had: the backend gets no request, and the client hears why."""
        upload, self.upload = self.upload, None
        step, self.pending = self.pending, None
        if step is None:  # answered long ago
            self.close()
            return
        if upload is not None:
            upload.fail()
        step[0].client_left(step[1])
        if self.transport is not None and not self.transport.is_closing():
            self._reject((status, [TEXT], text))

    def _reject(self, answer: Answer) -> None:
        """Answers and closes: where the next request begins is not known, or the next is as bad.

        What still comes is dropped for a while: closing on unread bytes would reset the connection, and the
        client might never read why. It may be sending 60 MB.
        """
        transport, request = self.transport, self.request
        assert transport is not None
        self.request = None
        bodiless = request.method == b"HEAD" if request is not None else self.parser.is_head_request()
        self.answers, self.since = self.answers + 1, self.clock()
        transport.write(encode_response(*answer[:3], close=True, bodiless=bodiless))
        self._linger(transport)

    def _linger(self, transport: asyncio.Transport) -> None:
        """Nothing more goes out; what still comes is read and dropped, until the client has closed too."""
        self.closing = self.lingering = True
        self.buffer.release()
        if not transport.is_closing():
            transport.write_eof()
            if self.paused:
                self._read_on(transport)

    def health(self, request: Request) -> Answer:
        """`/health`: the process runs. `/ready`: it also takes new clients."""
        if self.listener.draining and request.target == b"/ready":
            return 503, [TEXT], b"draining\n"
        return 200, [TEXT], b"ready\n"

    def peer_address(self) -> bytes:
        """The address of the client's machine."""
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return name[0].encode() if name else b""

    def on_final(self, final: Final[Any]) -> None:
        """The exchange's final answer."""
        if self.patience is not None:
            self.patience.cancel()
            self.patience = None
        self.answering, self.pending = self.pending, None
        what = self.handle_final(final)
        upload = self.upload
        if upload is not None and len(what) != 2:
            # Answered before it was whole: the rest is read and dropped, as its client may read only then.
            upload.abandon()
            if len(what) == 4 and what[3].stream is not None:  # nor has the client room for a long answer yet
                what[3].stream.abandon()
                self._taken(End.FAILED)
                what = 502, [TEXT], b"answered before the request was whole\n"
            request = self.request
            if self.listener.draining or request is not None and request.closes_connection():
                self.upload = None
                self._reject(what)
            else:
                self._proceed(what)
            return
        self._proceed(what)
        if self.download is not None:
            return
        self._next()

    def _next(self) -> None:
        """Reads on after an answer."""
        if self.pending is None and len(self.buffer) and not self.held:
            if self.paused and self.transport is not None and not self.closing:
                self._read_on(self.transport)
            self._read()

    def _proceed(self, what: Submission | Answer) -> None:
        if len(what) == 2:
            self.pending = what
            self.asked += 1
            what[0].submit(what[1])
        else:
            self._write(what)

    def _write(self, answer: Answer) -> None:
        if self.transport is None:
            return
        request, self.request = self.request, None
        close = self.closing or self.listener.draining or request is not None and request.closes_connection()
        self.closing = close
        self.answers += 1
        self.since = self.clock()
        bodiless = request is not None and request.method == b"HEAD"
        if len(answer) == 4:
            self._begin_taking(answer[:3], answer[3], close, request is None or request.http11)
            return
        self.transport.write(encode_response(*answer, close, bodiless))
        self._answered(close)

    def _answered(self, close: bool) -> None:
        transport = self.transport
        if transport is None:
            return
        if not close:
            self.listener.client_answered(self)
        elif self.paused or len(self.buffer) or not transport.is_closing() and has_unread_input(transport):
            self._linger(transport)  # a close on unread bytes would reset it, and the answer might be lost
        else:
            transport.close()

    # An answer whose body is longer than is held, as it comes from a backend.

    def _begin_taking(
        self, answer: tuple[int, Fields, bytes], message: Message, close: bool, http11: bool
    ) -> None:
        transport, stream = self.transport, message.stream
        assert transport is not None and stream is not None
        status, fields, body = answer
        self.chunked = message.length is None and http11
        self.last_one = self.closing = close or message.length is None and not http11
        transport.set_write_buffer_limits(high=stream.budget.buffer_limit())
        head = encode_head(status, fields, message.length, self.last_one, self.chunked)
        self.download = stream
        transport.write(head + (encode_chunk(body) if self.chunked else body))
        stream.attach(self)
        if self.write_blocked_at is not None and self.download is not None:
            stream.pause(True)

    def write_body(self, data: bytes) -> None:
        if self.transport is not None:
            self.since = self.clock()
            self.transport.write(encode_chunk(data) if self.chunked else data)

    def finish_body(self) -> None:
        if self.chunked and self.transport is not None:
            self.transport.write(LAST_CHUNK)
        self._taken(End.SERVED)
        self._answered(self.last_one)
        if not self.last_one:
            self._next()

    def abort_body(self) -> None:
        """No end is forged: the client must see that it is not whole."""
        self._taken(End.FAILED)
        if self.transport is not None:
            self.transport.abort()

    def _taken(self, end: End) -> None:
        taking, self.answering, self.download = self.answering, None, None
        self.since = self.clock()
        if taking is not None:
            taking[0].streaming_ended(taking[1], end)
