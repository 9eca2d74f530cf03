"""Incremental parsers of HTTP/1.1 requests and responses, and the encoding of both.

A parser reads from a `Buffer` and returns a complete message, or None while more bytes are needed. Given a
buffer limit for bodies, it returns a longer message early and decodes the rest of the body as it arrives.
Input that is invalid, or ambiguous in its framing, raises `HttpError` with the status for the peer; the
connection then closes.
"""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

from pepperrun.net.buffer import Buffer
from pepperrun.net.stream import BodyStream

MAX_HEAD = 16 * 1024
MAX_FIELDS = 100
MAX_REQUEST_BODY = 64 * 1024  # bytes of a request body that is buffered
MAX_RESPONSE_BODY = 1024 * 1024  # bytes of a response body that is buffered
MAX_STREAMED_BODY = 36 * 1024 * 1024  # bytes of a streamed body: 32 MB occur
MAX_INTERIM_RESPONSES = 64  # 1xx responses before a final one
MAX_CHUNK_LINE = 256  # bytes of a chunk size with its extensions
REQUEST_BUFFER_SIZE = MAX_HEAD + MAX_REQUEST_BODY
RESPONSE_BUFFER_SIZE = MAX_HEAD + MAX_RESPONSE_BODY

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_FIELDS = re.compile(rb"(?:" + _TOKEN + rb":[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*")
_FIELD = re.compile(rb"(" + _TOKEN + rb"):[ \t]*([^\r\n]*?)[ \t]*\r\n")
_REQUEST = re.compile(rb"(" + _TOKEN + rb") ([\x21-\x7e]+) HTTP/1\.([01])\Z")
_RESPONSE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
_HEAD_METHOD = b"HEAD "
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\Z")

REASONS = {
    200: "OK",
    204: "No Content",
    301: "Moved Permanently",
    302: "Found",
    303: "See Other",
    307: "Temporary Redirect",
    308: "Permanent Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class HttpError(Exception):
    """An invalid message; `status` is the HTTP status that reports the reason to the peer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or response. `headers`: the fields by lower-case name, repeated ones joined by commas."""

    fields: list[tuple[bytes, bytes]]
    headers: dict[bytes, bytes]
    http11: bool
    body: bytes = b""
    complete: bool = True  # else `body` is the beginning, and `stream` brings the rest
    length: int | None = None  # of the complete body, where the head announces it
    stream: BodyStream | None = None  # the rest of the body

    def closes_connection(self) -> bool:
        """Whether the connection closes after this message."""
        options = self.headers.get(b"connection", b"").lower()
        if not options:
            return not self.http11
        listed = [option.strip() for option in options.split(b",")]
        return b"close" in listed or not self.http11 and b"keep-alive" not in listed


@dataclass(slots=True)
class Request(Message):
    """A request. `arrived_at`: when its last byte so far arrived, ns."""

    method: bytes = b"GET"
    target: bytes = b"/"
    arrived_at: int = 0


@dataclass(slots=True)
class Response(Message):
    """A response with its status; its reason phrase is dropped."""

    status: int = 200


class Framing(enum.Enum):
    """How the end of a body is determined (RFC 9112, section 6)."""

    LENGTH = "length"
    CHUNKED = "chunks"
    UNTIL_CLOSE = "until the connection ends"


class BodyDecoder:
    """Decodes the framing of one body as its bytes arrive."""

    __slots__ = ("done", "framing", "max_length", "received", "remaining", "trailer_bytes")

    def __init__(self, framing: Framing, length: int, max_length: int) -> None:
        self.framing, self.max_length = framing, max_length
        # Bytes left of the body or of the current chunk; -1: a chunk size comes next.
        self.remaining = length if framing is Framing.LENGTH else -1
        self.received = self.trailer_bytes = 0
        self.done = framing is Framing.LENGTH and length == 0

    def decode(self, buffer: Buffer) -> bytes:
        """Takes available bytes off the buffer and returns them decoded; b"" for none."""
        if self.done:
            return b""
        if self.framing is Framing.CHUNKED:
            return self._decode_chunks(buffer)
        if self.framing is Framing.UNTIL_CLOSE:
            data = buffer.take(len(buffer))
            self._count(len(data))
            return data
        data = buffer.take(self.remaining)
        self.remaining -= len(data)
        self.received += len(data)
        self.done = self.remaining == 0
        return data

    def _count(self, more: int) -> None:
        self.received += more
        if self.received > self.max_length:
            raise HttpError(413, "the body is too long")

    @staticmethod
    def _read_line(buffer: Buffer, max_length: int) -> bytes | None:
        at = buffer.find(b"\r\n")
        if (at if at >= 0 else len(buffer)) > max_length:
            raise HttpError(400, "a line of the chunked body is too long")
        if at < 0:
            return None
        line = buffer.take(at)
        buffer.drop(2)
        return line

    def _decode_chunks(self, buffer: Buffer) -> bytes:
        parts: list[bytes] = []
        while not self.done:
            if self.trailer_bytes:
                line = self._read_line(buffer, MAX_HEAD)
                if line is None:
                    break
                self.trailer_bytes += len(line)
                if self.trailer_bytes > MAX_HEAD:
                    raise HttpError(431, "the trailers are too long")
                if line and _FIELDS.fullmatch(line + b"\r\n") is None:
                    raise HttpError(400, "a trailer can't be read")
                self.done = not line
            elif self.remaining < 0:
                line = self._read_line(buffer, MAX_CHUNK_LINE)
                if line is None:
                    break
                match = _CHUNK_SIZE.match(line)
                if match is None:
                    raise HttpError(400, "bad chunk size")
                self.remaining = int(match[1], 16)
                self.trailer_bytes = self.remaining == 0
                self._count(self.remaining)
            elif self.remaining > 0:
                data = buffer.take(self.remaining)
                if not data:
                    break
                parts.append(data)
                self.remaining -= len(data)
            else:
                if len(buffer) < 2:
                    break
                if buffer.take(2) != b"\r\n":
                    raise HttpError(400, "a chunk is longer than its size")
                self.remaining = -1
        return parts[0] if len(parts) == 1 else b"".join(parts)


NO_BODY = BodyDecoder(Framing.LENGTH, 0, 0)  # the body of a message without one


class _Parser:
    """What the request and the response parser share: head, framing, and a body that is buffered."""

    def __init__(
        self, buffer: Buffer, max_body: int = MAX_REQUEST_BODY, buffer_limit: int | None = None
    ) -> None:
        self.buffer, self.max_body, self.max_head = buffer, max_body, MAX_HEAD
        self.buffer_limit = buffer_limit  # bytes of a body above which the message is returned early
        self.scanned = 0  # bytes that were searched for the end of the head
        self.start_line = b""  # of the message that is being parsed
        self.body: BodyDecoder | None = None  # of the message whose head has been parsed
        self.parts: list[bytes] = []  # the body as far as it has been decoded

    def _head(self) -> tuple[bytes, list[tuple[bytes, bytes]], dict[bytes, bytes]] | None:
        """Returns start line, fields and headers; None while the head is incomplete."""
        buffer = self.buffer
        at = buffer.find(b"\r\n\r\n", max(0, self.scanned - 3))
        if at < 0:
            self.scanned = len(buffer)
            if self.scanned > self.max_head:
                raise HttpError(431, "the head is too long")
            return None
        self.scanned = 0
        if at > self.max_head:
            raise HttpError(431, "the head is too long")
        head = buffer.take(at + 4)
        start, _, rest = head[:-2].partition(b"\r\n")
        self.start_line = start
        if _FIELDS.fullmatch(rest) is None:
            raise HttpError(400, "a header field can't be read")
        fields: list[tuple[bytes, bytes]] = _FIELD.findall(rest)
        if len(fields) > MAX_FIELDS:
            raise HttpError(431, "too many header fields")
        headers: dict[bytes, bytes] = {}
        for name, value in fields:
            name = name.lower()
            headers[name] = headers[name] + b", " + value if name in headers else value
        return start, fields, headers

    def _framing(self, headers: dict[bytes, bytes], http11: bool) -> int | None:
        """Sets `body` to the decoder of the framing; returns the announced length, None if there is none."""
        coding, length = headers.get(b"transfer-encoding"), headers.get(b"content-length")
        if coding is not None:
            # Two lengths, or a coding that an HTTP/1.0 peer does not know, allow request smuggling.
            if length is not None or not http11:
                raise HttpError(400, "ambiguous framing")
            if coding.lower() != b"chunked":
                raise HttpError(501, "unknown transfer coding")
            self.body = BodyDecoder(Framing.CHUNKED, 0, self.max_body)
            return None
        if length is None:
            self.body = NO_BODY
            return None
        if not length.isdigit():
            raise HttpError(400, "bad Content-Length")
        if len(length) > 12 or int(length) > self.max_body:
            raise HttpError(413, "the body is too long")
        self.body = BodyDecoder(Framing.LENGTH, int(length), self.max_body)
        return int(length)

    def read_body(self) -> bytes:
        """Returns more of the body of a message that was returned early; b"" for nothing yet."""
        return self.body.decode(self.buffer) if self.body is not None else b""

    def body_complete(self) -> bool:
        """Whether the end of that body has been read."""
        return self.body is None or self.body.done

    def _buffer_body(self, body: BodyDecoder) -> bool:
        """Buffers the decoded body; returns False while more has to arrive."""
        if body.done:
            return True
        data = body.decode(self.buffer)
        if data:
            self.parts.append(data)
        return body.done or self.buffer_limit is not None and body.received > self.buffer_limit

    def _take_buffered(self) -> bytes:
        if not self.parts:
            return b""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


class RequestParser(_Parser):
    """Parses the requests in a buffer one after another."""

    def __init__(
        self, buffer: Buffer, max_body: int = MAX_REQUEST_BODY, buffer_limit: int | None = None
    ) -> None:
        super().__init__(buffer, max_body, buffer_limit)
        self.request: Request | None = None  # the head has been parsed, and the body has not

    def is_head_request(self) -> bool:
        """Whether the request being parsed, valid or not, is a HEAD: its response has no body."""
        return (self.start_line or self.buffer.peek(len(_HEAD_METHOD))).startswith(_HEAD_METHOD)

    def next(self) -> Request | None:
        """Returns the next request, complete or over the buffer limit; None while more bytes are needed."""
        if self.request is None:
            while self.buffer.peek(2) == b"\r\n":  # some clients send an empty line after a body
                self.buffer.drop(2)
            arrived = self.buffer.first_byte_at
            parts = self._head()
            if parts is None:
                return None
            self.request = self._parse_start(*parts)
            self.request.arrived_at = arrived
        if self.buffer.last_byte_at:
            self.request.arrived_at = self.buffer.last_byte_at  # a request's time counts from its last byte
        assert self.body is not None
        if not self._buffer_body(self.body):
            return None
        request, self.request = self.request, None
        self.start_line = b""
        request.body, request.complete = self._take_buffered(), self.body.done
        return request

    def _parse_start(
        self, start: bytes, fields: list[tuple[bytes, bytes]], headers: dict[bytes, bytes]
    ) -> Request:
        match = _REQUEST.match(start)
        if match is None:
            raise HttpError(400, "bad request line")
        http11 = match[3] == b"1"
        hosts = headers.get(b"host")
        if http11 and hosts is None or hosts is not None and b"," in hosts:
            raise HttpError(400, "one Host is needed")
        length = self._framing(headers, http11)
        return Request(fields, headers, http11, length=length, method=match[1], target=match[2])

    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before it sends the body."""
        request = self.request
        return (
            request is not None
            and request.headers.get(b"expect", b"").lower() == b"100-continue"
            and not len(self.buffer)
        )


class ResponseParser(_Parser):
    """Parses the responses in a buffer, each after its request."""

    def __init__(
        self, buffer: Buffer, max_body: int = MAX_RESPONSE_BODY, buffer_limit: int | None = None
    ) -> None:
        super().__init__(buffer, max_body, buffer_limit)
        self.response: Response | None = None
        self.interim = 0
        self.bodiless = False  # response to a HEAD: its length is that of a body that is not sent

    def next(self) -> Response | None:
        """Returns the next response, complete or over the buffer limit; None while more bytes are needed.

        Skips interim (1xx) responses.
        """
        while self.response is None:
            parts = self._head()
            if parts is None:
                return None
            start, fields, headers = parts
            match = _RESPONSE.match(start)
            if match is None or match[2] == b"101":
                raise HttpError(502, "bad status line")
            status, http11 = int(match[2]), match[1] == b"1"
            if status < 200:
                self.interim += 1
                if self.interim > MAX_INTERIM_RESPONSES:
                    raise HttpError(502, "no end of interim responses")
                continue
            self.interim = 0
            response = Response(fields, headers, http11, status=status)
            if status in (204, 304):
                self.body = NO_BODY
            elif self.bodiless:
                length = headers.get(b"content-length", b"")
                self.body, response.length = NO_BODY, int(length) if length.isdigit() else None
            else:
                response.length = self._framing(headers, http11)
                if response.length is None and b"transfer-encoding" not in headers:
                    self.body = BodyDecoder(Framing.UNTIL_CLOSE, 0, self.max_body)
            self.response = response
        assert self.body is not None
        return self.take_response() if self._buffer_body(self.body) else None

    def take_response(self) -> Response | None:
        """Returns the response whose head has been parsed, with the body decoded so far."""
        response, self.response = self.response, None
        if response is not None and self.body is not None:
            response.body, response.complete = self._take_buffered(), self.body.done
        return response

    def on_eof(self) -> Response | None:
        """Returns the response whose body lasts until the connection ends, if there is one."""
        if self.body is None or self.body.framing is not Framing.UNTIL_CLOSE:
            return None
        self.body.done = True
        return self.take_response()


def encode_fields(fields: list[tuple[bytes, bytes]]) -> bytes:
    """Returns the fields as header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % pair for pair in fields])


def encode_head(
    status: int, fields: list[tuple[bytes, bytes]], length: int | None, close: bool, chunked: bool = False
) -> bytes:
    """Returns a response head. Without a length and not chunked, the body lasts until the connection ends."""
    reason = REASONS.get(status, "Unknown").encode()
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if length is not None and status not in (204, 304):
        framing = b"Content-Length: %d\r\n" % length
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (status, reason, encode_fields(fields), framing, ending)


def encode_chunk(data: bytes) -> bytes:
    """Returns a chunk; b"" for no data, as an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"


def encode_response(
    status: int, fields: list[tuple[bytes, bytes]], body: bytes, close: bool, bodiless: bool = False
) -> bytes:
    """Returns a response with its Content-Length; `bodiless` (for HEAD) omits the body itself."""
    head = encode_head(status, fields, len(body), close)
    return head if bodiless or status in (204, 304) else head + body
