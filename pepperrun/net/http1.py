"""Incremental parsers of HTTP/1.1 requests and responses, and how both are written.

A parser reads from a `Buffer` and gives a whole message or None for not yet. Where it is told how much of a
body to hold, it gives a longer message early, and the rest of its body in pieces. What can't be read, or
could be read in two ways, raises `HttpError` with the status that tells the peer; the connection ends.
"""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass

from pepperrun.net.buffer import Buffer
from pepperrun.net.stream import BodyStream

MAX_HEAD = 16 * 1024
MAX_FIELDS = 100
MAX_REQUEST_BODY = 64 * 1024  # of a request
MAX_RESPONSE_BODY = 1024 * 1024  # that is held whole
MAX_STREAMED_BODY = 36 * 1024 * 1024  # of a message whose body passes through: 32 MB occur
MAX_INTERIM_RESPONSES = 64  # 1xx responses ahead of a final one
MAX_CHUNK_LINE = 256  # of a chunk's size with its extensions
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
    """A message that can't be read; `status` tells the peer why."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """What requests and responses have in common. `names`: the fields by lower-case name, repeats joined."""

    fields: list[tuple[bytes, bytes]]
    headers: dict[bytes, bytes]
    http11: bool
    body: bytes = b""
    complete: bool = True  # else `body` is its beginning, and the rest comes in pieces
    length: int | None = None  # of the whole body, where the head tells
    stream: BodyStream | None = None  # brings the rest

    def closes_connection(self) -> bool:
        """Does the connection end after this message?"""
        options = self.headers.get(b"connection", b"").lower()
        if not options:
            return not self.http11
        listed = [option.strip() for option in options.split(b",")]
        return b"close" in listed or not self.http11 and b"keep-alive" not in listed


@dataclass(slots=True)
class Request(Message):
    """A request. `arrived`: when its first byte came."""

    method: bytes = b"GET"
    target: bytes = b"/"
    arrived_at: int = 0


@dataclass(slots=True)
class Response(Message):
    """A response."""

    status: int = 200


class Framing(enum.Enum):
    """How a body's end is found."""

    LENGTH = "length"
    CHUNKED = "chunks"
    UNTIL_CLOSE = "until the connection ends"


class BodyDecoder:
    """A body on its way: its framing is taken off piece by piece."""

    __slots__ = ("done", "framing", "max_length", "received", "remaining", "trailer_bytes")

    def __init__(self, framing: Framing, length: int, most: int) -> None:
        self.framing, self.max_length = framing, most
        self.remaining = length if framing is Framing.LENGTH else -1  # of the chunk; -1: its size comes next
        self.received = self.trailer_bytes = 0
        self.done = framing is Framing.LENGTH and length == 0

    def decode(self, buffer: Buffer) -> bytes:
        """What of it is there, taken off the buffer; b"" for nothing yet, or nothing more where `done`."""
        if self.done:
            return b""
        if self.framing is Framing.CHUNKED:
            return self._decode_chunks(buffer)
        if self.framing is Framing.UNTIL_CLOSE:
            some = buffer.take(len(buffer))
            self._count(len(some))
            return some
        some = buffer.take(self.remaining)
        self.remaining -= len(some)
        self.received += len(some)
        self.done = self.remaining == 0
        return some

    def _count(self, more: int) -> None:
        self.received += more
        if self.received > self.max_length:
            raise HttpError(413, "the body is too long")

    @staticmethod
    def _read_line(buffer: Buffer, most: int) -> bytes | None:
        at = buffer.find(b"\r\n")
        if (at if at >= 0 else len(buffer)) > most:
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
                some = buffer.take(self.remaining)
                if not some:
                    break
                parts.append(some)
                self.remaining -= len(some)
            else:
                if len(buffer) < 2:
                    break
                if buffer.take(2) != b"\r\n":
                    raise HttpError(400, "a chunk is longer than its size")
                self.remaining = -1
        return parts[0] if len(parts) == 1 else b"".join(parts)


NO_BODY = BodyDecoder(Framing.LENGTH, 0, 0)  # done, and never anything else


class _Parser:
    def __init__(self, buffer: Buffer, most_body: int = MAX_REQUEST_BODY, hold: int | None = None) -> None:
        self.buffer, self.max_body, self.max_head = buffer, most_body, MAX_HEAD
        self.buffer_limit = hold  # bytes of a body from which on the message is given early; None: never
        self.scanned = 0  # bytes in which the end of the head was looked for
        self.start_line = b""  # the start line of a message that is not yet given
        self.body: BodyDecoder | None = None  # of the message whose head has been read
        self.parts: list[bytes] = []  # of it, while it is held

    def _head(self) -> tuple[bytes, list[tuple[bytes, bytes]], dict[bytes, bytes]] | None:
        """The start line and the fields, once all are there."""
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
        names: dict[bytes, bytes] = {}
        for name, value in fields:
            name = name.lower()
            names[name] = names[name] + b", " + value if name in names else value
        return start, fields, names

    def _framing(self, names: dict[bytes, bytes], http11: bool) -> int | None:
        """How the body is framed, noted as `body`; its length where that is told, None where it is not."""
        coding, length = names.get(b"transfer-encoding"), names.get(b"content-length")
        if coding is not None:
            # Two lengths, or a coding that an HTTP/1.0 peer does not know, are how requests are smuggled.
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
        """More of the body of a message that was given early."""
        return self.body.decode(self.buffer) if self.body is not None else b""

    def body_complete(self) -> bool:
        """Is there no more of that body to come?"""
        return self.body is None or self.body.done

    def _buffer_body(self, body: BodyDecoder) -> bool:
        """Holds what has come of a body; False while there is more to wait for."""
        if body.done:
            return True
        some = body.decode(self.buffer)
        if some:
            self.parts.append(some)
        return body.done or self.buffer_limit is not None and body.received > self.buffer_limit

    def _take_buffered(self) -> bytes:
        if not self.parts:
            return b""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


class RequestParser(_Parser):
    """Reads requests off a buffer, one after another."""

    def __init__(self, buffer: Buffer, most_body: int = MAX_REQUEST_BODY, hold: int | None = None) -> None:
        super().__init__(buffer, most_body, hold)
        self.request: Request | None = None  # its head has been read

    def is_head_request(self) -> bool:
        """Does the request that is being read, or that could not be read, want an answer without a body?"""
        return (self.start_line or self.buffer.peek(len(_HEAD_METHOD))).startswith(_HEAD_METHOD)

    def next(self) -> Request | None:
        """The next request, whole or longer than is held, or None until more has come."""
        if self.request is None:
            while self.buffer.peek(2) == b"\r\n":  # some clients end a body with an empty line
                self.buffer.drop(2)
            arrived = self.buffer.first_byte_at
            parts = self._head()
            if parts is None:
                return None
            self.request = self._parse_start(*parts)
            self.request.arrived_at = arrived
        if self.buffer.last_byte_at:
            self.request.arrived_at = self.buffer.last_byte_at  # a request counts from its last byte
        assert self.body is not None
        if not self._buffer_body(self.body):
            return None
        request, self.request = self.request, None
        self.start_line = b""
        request.body, request.complete = self._take_buffered(), self.body.done
        return request

    def _parse_start(
        self, start: bytes, fields: list[tuple[bytes, bytes]], names: dict[bytes, bytes]
    ) -> Request:
        match = _REQUEST.match(start)
        if match is None:
            raise HttpError(400, "bad request line")
        http11 = match[3] == b"1"
        hosts = names.get(b"host")
        if http11 and hosts is None or hosts is not None and b"," in hosts:
            raise HttpError(400, "one Host is needed")
        length = self._framing(names, http11)
        return Request(fields, names, http11, length=length, method=match[1], target=match[2])

    def expects_continue(self) -> bool:
        """Does the client wait to be told to send the body?"""
        request = self.request
        return (
            request is not None
            and request.headers.get(b"expect", b"").lower() == b"100-continue"
            and not len(self.buffer)
        )


class ResponseParser(_Parser):
    """Reads responses off a buffer."""

    def __init__(self, buffer: Buffer, most_body: int = MAX_RESPONSE_BODY, hold: int | None = None) -> None:
        super().__init__(buffer, most_body, hold)
        self.response: Response | None = None
        self.interim = 0
        self.bodiless = False  # it answers a HEAD: its length is that of a body which does not come

    def next(self) -> Response | None:
        """The next response, whole or longer than is held, or None until more has come.

        Interim ones are passed over.
        """
        while self.response is None:
            parts = self._head()
            if parts is None:
                return None
            start, fields, names = parts
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
            response = Response(fields, names, http11, status=status)
            if status in (204, 304):
                self.body = NO_BODY
            elif self.bodiless:
                length = names.get(b"content-length", b"")
                self.body, response.length = NO_BODY, int(length) if length.isdigit() else None
            else:
                response.length = self._framing(names, http11)
                if response.length is None and b"transfer-encoding" not in names:
                    self.body = BodyDecoder(Framing.UNTIL_CLOSE, 0, self.max_body)
            self.response = response
        assert self.body is not None
        return self.take_response() if self._buffer_body(self.body) else None

    def take_response(self) -> Response | None:
        """The response whose head has been read, with what has come of its body."""
        response, self.response = self.response, None
        if response is not None and self.body is not None:
            response.body, response.complete = self._take_buffered(), self.body.done
        return response

    def on_eof(self) -> Response | None:
        """The connection has ended: the response whose body lasts until then, if there is one."""
        if self.body is None or self.body.framing is not Framing.UNTIL_CLOSE:
            return None
        self.body.done = True
        return self.take_response()


def encode_fields(fields: list[tuple[bytes, bytes]]) -> bytes:
    """Header lines."""
    return b"".join([b"%b: %b\r\n" % pair for pair in fields])


def encode_head(
    status: int, fields: list[tuple[bytes, bytes]], length: int | None, close: bool, chunked: bool = False
) -> bytes:
    """A response's head; without a length and not chunked, its body lasts until the connection ends."""
    reason = REASONS.get(status, "Unknown").encode()
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if length is not None and status not in (204, 304):
        framing = b"Content-Length: %d\r\n" % length
    return b"HTTP/1.1 %d %b\r\n%b%b%b" % (status, reason, encode_fields(fields), framing, ending)


def encode_chunk(data: bytes) -> bytes:
    """A chunk; b"" gives none, as that would be the last one."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"


def encode_response(
    status: int, fields: list[tuple[bytes, bytes]], body: bytes, close: bool, bodiless: bool = False
) -> bytes:
    """A response with its length; `bodiless` (to HEAD) leaves the body itself out."""
    head = encode_head(status, fields, len(body), close)
    return head if bodiless or status in (204, 304) else head + body
