"""The client side of HTTP/1.1, shared by the fronts: one request at a time, each with one response.

A front interprets a request in `handle_request` and a final answer in `handle_final`, which returns the
response for the client or the next exchange for the same request.
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
# Status, fields and body of a response; the stream of the message, if any, is the rest of the body.
Answer = tuple[int, Fields, bytes] | tuple[int, Fields, bytes, Message]
# An immediate response with one of these statuses closes the connection: the client misuses the protocol.
CLOSING_STATUSES = (400, 404, 405)
MAX_PIPELINED_BYTES = 16 * 1024  # buffered ahead of a response; then reading stops
MAX_LINGER_BYTES = 96 * 1024 * 1024  # discarded after a rejection; then reading stops
DISCARD_BUFFER = memoryview(bytearray(256 * 1024))  # receives discarded input; never read
TEXT = (b"Content-Type", b"text/plain; charset=utf-8")

# Fields of one connection, or of the protocol between client and gatekeeper: not forwarded to workers.
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade content-length expect x-budget x-plan x-quota x-again".split()
)


def forwarded_fields(request: Message, untrusted: frozenset[bytes] = frozenset()) -> Fields:
    """Returns the fields to forward to the next hop.

    `untrusted`: lower-case names of further fields to drop, which a client may not set.
    """
    dropped = NOT_FORWARDED | untrusted if untrusted else NOT_FORWARDED
    if b"connection" in request.headers:
        connection_options = request.headers[b"connection"].lower().split(b",")
        dropped = dropped | {name.strip() for name in connection_options}
    return [pair for pair in request.fields if pair[0].lower() not in dropped]


def _descriptor(transport: asyncio.Transport) -> int:
    number: int = transport.get_extra_info("socket").fileno()
    return number


class HttpConnection(ClientConnection):
    """A client's HTTP/1.1 connection; each front has a subclass."""

    closing_statuses: tuple[int, ...] = CLOSING_STATUSES

    # For fronts.

    def handle_request(self, request: Request) -> Submission | Answer:
        """Returns the exchange for a request, or its response at once."""
        raise NotImplementedError

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        """Returns the response for a final answer, or the request's next exchange."""
        raise NotImplementedError

    def expire(self) -> None:
        """Ends a connection whose time-out has passed, with status 408 after a partial request.

        Input that the loop has not read yet keeps the connection open.
        """
        if (
            self.transport is not None
            and not self.is_busy()
            and not self.lingering
            and has_unread_input(self.transport)
        ):
            return  # a request has arrived, and the loop is late
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
            and not self.has_unwritten_output()
            and self.transport is not None
        ):
            text = b"the request did not come whole in time\n"
            bodiless = self.parser.is_head_request()
            self.transport.write(encode_response(408, [TEXT], text, close=True, bodiless=bodiless))
        self.close()

    def close(self) -> None:
        """Closes the connection. Written output is still sent, unless the client does not take it."""
        self.closing = True
        if self.transport is not None:
            if self.write_blocked_at is not None or self.lingering and self.has_unwritten_output():
                self.transport.abort()
            else:
                self.transport.close()

    def resume(self) -> None:
        """Handles input that another process buffered."""
        if len(self.buffer) and self.pending is None:
            self._read_requests()

    # For asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.connected_at:
            self.connected_at = self.last_used_at = self.clock()
        self.listener.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.parked:
            return
        if self.reading_paused and self.transport is not None:
            self.listener.hangups.unwatch(_descriptor(self.transport))
        self.transport = None
        self.listener.remove(self)
        self._on_client_left()

    def pause_writing(self) -> None:
        self.write_blocked_at = self.clock()
        if self.download is not None:
            self.download.pause(True)

    def resume_writing(self) -> None:
        self.write_blocked_at = None
        if self.download is not None:
            self.download.pause(False)

    def get_buffer(self, sizehint: int) -> memoryview:
        return DISCARD_BUFFER if self.lingering else self.buffer.free_space()

    def buffer_updated(self, nbytes: int) -> None:
        if not self.lingering:
            first = not len(self.buffer)
            self.buffer.commit(nbytes, self.clock())
            if self.readable_at:
                if first:  # its time counts from its arrival while the connection was parked
                    self.buffer.first_byte_at = self.buffer.last_byte_at = self.readable_at
                self.readable_at = 0
            if self.upload is not None:
                self._feed_upload(self.upload)
            else:
                self._read_requests()
            return
        self.discarded_bytes += nbytes
        if self.discarded_bytes > MAX_LINGER_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        self._on_client_left()
        return False

    def _on_client_left(self) -> None:
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.upload is not None:
            self.upload.fail()
            self.upload = None
        if self.download is not None:
            self.download.abandon()
            self._end_streaming(End.CLIENT_LEFT)
        self._abandon_untaken_body()
        submission, self.pending = self.pending, None
        if submission is not None:
            submission[0].client_left(submission[1])

    def _has_pending_answer(self) -> bool:
        """Whether a response is owed or being streamed. The next request has to wait for its end."""
        return self.pending is not None or self.download is not None

    def _read_requests(self) -> None:
        """Starts the next requests, up to one without a complete response."""
        while not self._has_pending_answer() and not self.closing and self.transport is not None:
            try:
                request = self.parser.next()
            except HttpError as error:
                self._reject((error.status, [TEXT], f"{error}\n".encode()))
                return
            if request is None:
                if self.parser.request is not None:
                    self.head_read_at = self.head_read_at or self.clock()
                if self.parser.expects_continue() and self.parser.request is not None:
                    self.parser.request.headers.pop(b"expect")
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                return
            self.request = request
            if request.complete:
                self.head_read_at = 0
            elif self.budget is not None:
                self.head_read_at = self.head_read_at or self.clock()
                request.stream = self.upload = BodyStream(
                    self.budget, self._pause_upload, self._on_upload_abandoned
                )
                self.buffer.set_read_size(self.budget.buffer_limit())
            result = self.handle_request(request)
            if len(result) == 3 and (result[0] in self.closing_statuses or not request.complete):
                self._reject(result)  # the rest of its body must not be read as the next request
            else:
                self._submit_or_write(result)
        if self.upload is not None:
            self._feed_upload(self.upload)
            return
        too_far_ahead = self._has_pending_answer() and len(self.buffer) >= MAX_PIPELINED_BYTES
        if too_far_ahead and self.transport is not None and not self.reading_paused:
            self._stop_reading(self.transport)  # the client sends too much ahead

    # A request body that is longer than the buffer, streamed to a backend.

    def _feed_upload(self, upload: BodyStream) -> None:
        try:
            while self.upload is upload and (data := self.parser.read_body()):
                upload.feed(data)
        except HttpError as error:
            self._abort_upload(error.status, f"{error}\n".encode())
            return
        if self.upload is not upload or not self.parser.body_complete():
            return
        self.upload, self.head_read_at = None, 0
        self.buffer.set_read_size(0)
        self._pause_upload(False)
        submission = self.pending
        if submission is not None:
            left_s = submission[1].wait_after_body_ns / SECOND
            self.deadline_timer = self.listener.loop.call_later(left_s, self._on_deadline, submission)
        upload.finish()
        if submission is None:
            self._continue()

    def _on_deadline(self, submission: Submission) -> None:
        self.deadline_timer = None
        if self.pending is submission:
            submission[0].expire(submission[1])

    def _pause_upload(self, on: bool) -> None:
        """Stops reading the body while the backend can't take more (`on`), or reads on."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.lingering or on == self.reading_paused:
            return
        now = self.clock()
        if on:
            self.paused_at = now
            self._stop_reading(transport)
            return
        self.buffer.last_byte_at = now  # the client is not slow while nothing is read
        self.head_read_at += now - self.paused_at if self.head_read_at else 0
        self._resume_reading(transport)

    def _stop_reading(self, transport: asyncio.Transport) -> None:
        """Stops reading, and watches for the client's disconnect, which no read would detect."""
        self.reading_paused = True
        transport.pause_reading()
        self.listener.hangups.watch(_descriptor(transport), self._on_hangup)

    def _resume_reading(self, transport: asyncio.Transport) -> None:
        """Reads on, unless requests are paused."""
        self.reading_paused = False
        self.listener.hangups.unwatch(_descriptor(transport))
        if not self.requests_paused:
            transport.resume_reading()

    def _on_hangup(self, broken: bool) -> None:
        """Aborts the connection of a client that left while reading was paused.

        After a half-close, an upload of a request that is not safe to repeat goes on: all of it may have
        arrived.
        """
        transport, submission = self.transport, self.pending
        if transport is None or transport.is_closing():
            return
        if (
            not broken
            and self.upload is not None
            and submission is not None
            and not submission[0].is_safe_to_repeat(submission[1])
        ):
            return
        transport.abort()

    def _on_upload_abandoned(self) -> None:
        """Reads on after the backend has given up the body; the rest of it is discarded.

        The gateway decides what follows for the request.
        """
        if self.upload is not None:
            self._pause_upload(False)

    def _abandon_untaken_body(self) -> None:
        """Closes a request body that has arrived completely and that no attempt has taken."""
        if self.upload is None and self.request is not None and self.request.stream is not None:
            self.request.stream.abandon()

    def _abort_upload(self, status: int, text: bytes) -> None:
        """Ends the exchange of a body that won't be complete, and rejects the request with the reason."""
        upload, self.upload = self.upload, None
        submission, self.pending = self.pending, None
        if submission is None:  # the response has been written already
            self.close()
            return
        if upload is not None:
            upload.fail()
        submission[0].client_left(submission[1])
        if self.transport is not None and not self.transport.is_closing():
            self._reject((status, [TEXT], text))

    def _reject(self, answer: Answer) -> None:
        """Writes a response and closes the connection.

        The start of the next request in the input is unknown, or the next request would be as invalid as this
        one, or the connection was to end after this response anyway.

        Input is discarded for a while: a close with unread bytes would reset the connection, and the client
        might never read the response. It may be sending 60 MB.
        """
        transport, request = self.transport, self.request
        assert transport is not None
        self.request = None
        bodiless = request.method == b"HEAD" if request is not None else self.parser.is_head_request()
        self.response_count, self.last_used_at = self.response_count + 1, self.clock()
        transport.write(encode_response(*answer[:3], close=True, bodiless=bodiless))
        self._linger(transport)

    def _linger(self, transport: asyncio.Transport) -> None:
        """Closes the sending side, and discards input until the client has closed too."""
        self.closing = self.lingering = True
        self.buffer.release()
        if not transport.is_closing():
            transport.write_eof()
            if self.reading_paused:
                self._resume_reading(transport)

    def health(self, request: Request) -> Answer:
        """Returns the response to `/health` (the process runs) or `/ready` (it accepts new clients too)."""
        if self.listener.draining and request.target == b"/ready":
            return 503, [TEXT], b"draining\n"
        return 200, [TEXT], b"ready\n"

    def peer_address(self) -> bytes:
        """Returns the address of the client's machine, empty if the connection is closed."""
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return name[0].encode() if name else b""

    def on_final(self, final: Final[Any]) -> None:
        """Handles the final answer of the pending exchange."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None
        self.answering, self.pending = self.pending, None
        result = self.handle_final(final)
        if len(result) != 2:
            self._abandon_untaken_body()
        upload = self.upload
        if upload is not None and len(result) != 2:
            # The response precedes the end of the request. The rest of the request is read and discarded, as
            # some clients read the response only after sending all of it.
            upload.abandon()
            if len(result) == 4 and result[3].stream is not None:
                # The client may not read yet, so it has no capacity for a long response either.
                result[3].stream.abandon()
                self._end_streaming(End.FAILED)
                result = 502, [TEXT], b"answered before the request was whole\n"
            request = self.request
            if self.listener.draining or request is not None and request.closes_connection():
                self.upload = None
                self._reject(result)
            else:
                self._submit_or_write(result)
            return
        self._submit_or_write(result)
        if self.download is not None:
            return
        self._continue()

    def _continue(self) -> None:
        """Reads on after a response."""
        if self.pending is None and len(self.buffer) and not self.requests_paused:
            if self.reading_paused and self.transport is not None and not self.closing:
                self._resume_reading(self.transport)
            self._read_requests()

    def _submit_or_write(self, result: Submission | Answer) -> None:
        if len(result) == 2:
            self.pending = result
            self.exchange_count += 1
            result[0].submit(result[1])
        else:
            self._write_response(result)

    def _write_response(self, answer: Answer) -> None:
        if self.transport is None:
            return
        request, self.request = self.request, None
        close = self.closing or self.listener.draining or request is not None and request.closes_connection()
        self.closing = close
        self.response_count += 1
        self.last_used_at = self.clock()
        bodiless = request is not None and request.method == b"HEAD"
        if len(answer) == 4:
            self._start_streaming(answer[:3], answer[3], close, request is None or request.http11)
            return
        self.transport.write(encode_response(*answer, close, bodiless))
        self._on_response_written(close)

    def _on_response_written(self, close: bool) -> None:
        transport = self.transport
        if transport is None:
            return
        if not close:
            self.listener.client_answered(self)
        elif (
            self.reading_paused
            or len(self.buffer)
            or not transport.is_closing()
            and has_unread_input(transport)
        ):
            self._linger(transport)  # a close with unread bytes would reset it and might lose the response
        else:
            transport.close()

    # A response body that is longer than the buffer, streamed from a backend.

    def _start_streaming(
        self, answer: tuple[int, Fields, bytes], message: Message, close: bool, http11: bool
    ) -> None:
        transport, stream = self.transport, message.stream
        assert transport is not None and stream is not None
        status, fields, body = answer
        self.chunked = message.length is None and http11
        self.close_after_body = self.closing = close or message.length is None and not http11
        transport.set_write_buffer_limits(high=stream.budget.buffer_limit())
        head = encode_head(status, fields, message.length, self.close_after_body, self.chunked)
        self.download = stream
        transport.write(head + (encode_chunk(body) if self.chunked else body))
        stream.attach(self)
        if self.write_blocked_at is not None and self.download is not None:
            stream.pause(True)

    def write_body(self, data: bytes) -> None:
        """Writes a part of a streamed response body, as a chunk if its length is not known."""
        if self.transport is not None:
            self.last_used_at = self.clock()
            self.transport.write(encode_chunk(data) if self.chunked else data)

    def finish_body(self) -> None:
        """Ends a streamed response body; closes the connection or reads the next request."""
        if self.chunked and self.transport is not None:
            self.transport.write(LAST_CHUNK)
        self._end_streaming(End.SERVED)
        self._on_response_written(self.close_after_body)
        if not self.close_after_body:
            self._continue()

    def abort_body(self) -> None:
        """Aborts the connection: the client has to see that the body is incomplete."""
        self._end_streaming(End.FAILED)
        if self.transport is not None:
            self.transport.abort()

    def _end_streaming(self, end: End) -> None:
        answering, self.answering, self.download = self.answering, None, None
        self.last_used_at = self.clock()
        if answering is not None:
            answering[0].streaming_ended(answering[1], end)
