"""Incremental parsers of HTTP/1.1 requests and responses, and how both are written.

A parser reads from a `Buffer` and gives a whole message or None for not yet. What can't be read, or could be
read in two ways, raises `HttpError` with the status that tells the peer; the connection ends after it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from pepperrun.net.buffer import Buffer

MAX_HEAD = 16 * 1024
MAX_FIELDS = 100
MAX_BODY = 64 * 1024  # of a request
MAX_ANSWER = 1024 * 1024  # workers send more than they may, and their clients want it
MAX_INTERIM = 64  # 1xx responses ahead of a final one
MAX_LINE = 256  # of a chunk's size with its extensions
ROOM = MAX_HEAD + MAX_BODY
ANSWER_ROOM = MAX_HEAD + MAX_ANSWER

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_FIELDS = re.compile(rb"(?:" + _TOKEN + rb":[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*")
_FIELD = re.compile(rb"(" + _TOKEN + rb"):[ \t]*([^\r\n]*?)[ \t]*\r\n")
_REQUEST = re.compile(rb"(" + _TOKEN + rb") ([\x21-\x7e]+) HTTP/1\.([01])\Z")
_RESPONSE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\Z")

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
    names: dict[bytes, bytes]
    http11: bool
    body: bytes = b""

    def close(self) -> bool:
        """Does the connection end after this message?"""
        options = self.names.get(b"connection", b"").lower()
        if not options:
            return not self.http11
        listed = [option.strip() for option in options.split(b",")]
        return b"close" in listed or not self.http11 and b"keep-alive" not in listed


@dataclass(slots=True)
class Request(Message):
    """A request. `arrived`: when its first byte came."""

    method: bytes = b"GET"
    target: bytes = b"/"
    arrived: int = 0


@dataclass(slots=True)
class Response(Message):
    """A response."""

    status: int = 200


@dataclass(slots=True)
class _Chunks:
    """A chunked body on its way."""

    body: bytearray = field(default_factory=bytearray)
    left: int = -1  # of the chunk being read; -1: its size comes next
    last: bool = False
    trailer: int = 0


class _Parser:
    def __init__(self, buffer: Buffer, most_body: int = MAX_BODY) -> None:
        self.buffer, self.most_body = buffer, most_body
        self.seen = 0  # bytes in which the end of the head was looked for
        self.length = 0
        self.chunks: _Chunks | None = None

    def _head(self) -> tuple[bytes, list[tuple[bytes, bytes]], dict[bytes, bytes]] | None:
        """The start line and the fields, once all are there."""
        buffer = self.buffer
        at = buffer.find(b"\r\n\r\n", max(0, self.seen - 3))
        if at < 0:
            self.seen = len(buffer)
            if self.seen > MAX_HEAD:
                raise HttpError(431, "the head is too long")
            return None
        self.seen = 0
        if at > MAX_HEAD:
            raise HttpError(431, "the head is too long")
        head = buffer.take(at + 4)
        start, _, rest = head[:-2].partition(b"\r\n")
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

    def _framing(self, names: dict[bytes, bytes], http11: bool) -> bool:
        """How the body is framed; False: by nothing."""
        self.length, self.chunks = 0, None
        coding, length = names.get(b"transfer-encoding"), names.get(b"content-length")
        if coding is not None:
            # Two lengths, or a coding that an HTTP/1.0 peer does not know, are how requests are smuggled.
            if length is not None or not http11:
                raise HttpError(400, "ambiguous framing")
            if coding.lower() != b"chunked":
                raise HttpError(501, "unknown transfer coding")
            self.chunks = _Chunks()
            return True
        if length is None:
            return False
        if not length.isdigit():
            raise HttpError(400, "bad Content-Length")
        if len(length) > 12 or int(length) > self.most_body:
            raise HttpError(413, "the body is too long")
        self.length = int(length)
        return True

    def _body(self) -> bytes | None:
        if self.chunks is not None:
            return self._chunked(self.chunks)
        return self.buffer.take(self.length) if len(self.buffer) >= self.length else None

    def _line(self, most: int) -> bytes | None:
        at = self.buffer.find(b"\r\n")
        if (at if at >= 0 else len(self.buffer)) > most:
            raise HttpError(400, "a line of the chunked body is too long")
        if at < 0:
            return None
        line = self.buffer.take(at)
        self.buffer.drop(2)
        return line

    def _chunked(self, chunks: _Chunks) -> bytes | None:
        while True:
            if chunks.last:
                line = self._line(MAX_HEAD)
                if line is None:
                    return None
                chunks.trailer += len(line)
                if chunks.trailer > MAX_HEAD:
                    raise HttpError(431, "the trailers are too long")
                if not line:
                    return bytes(chunks.body)
                if _FIELDS.fullmatch(line + b"\r\n") is None:
                    raise HttpError(400, "a trailer can't be read")
            elif chunks.left < 0:
                line = self._line(MAX_LINE)
                if line is None:
                    return None
                match = _CHUNK.match(line)
                if match is None:
                    raise HttpError(400, "bad chunk size")
                chunks.left = int(match[1], 16)
                chunks.last = chunks.left == 0
                if len(chunks.body) + chunks.left > self.most_body:
                    raise HttpError(413, "the body is too long")
            elif chunks.left > 0:
                if not len(self.buffer):
                    return None
                some = self.buffer.take(chunks.left)
                chunks.body += some
                chunks.left -= len(some)
            else:
                if len(self.buffer) < 2:
                    return None
                if self.buffer.take(2) != b"\r\n":
                    raise HttpError(400, "a chunk is longer than its size")
                chunks.left = -1


class RequestParser(_Parser):
    """Reads requests off a buffer, one after another."""

    def __init__(self, buffer: Buffer, most_body: int = MAX_BODY) -> None:
        super().__init__(buffer, most_body)
        self.request: Request | None = None  # its head has been read

    def next(self) -> Request | None:
        """The next whole request, or None until more has come."""
        if self.request is None:
            while self.buffer.peek(2) == b"\r\n":  # some clients end a body with an empty line
                self.buffer.drop(2)
            arrived = self.buffer.first_at
            parts = self._head()
            if parts is None:
                return None
            self.request = self._start(*parts)
            self.request.arrived = arrived
        body = self._body()
        if body is None:
            return None
        request, self.request = self.request, None
        request.body = body
        return request

    def _start(self, start: bytes, fields: list[tuple[bytes, bytes]], names: dict[bytes, bytes]) -> Request:
        match = _REQUEST.match(start)
        if match is None:
            raise HttpError(400, "bad request line")
        http11 = match[3] == b"1"
        hosts = names.get(b"host")
        if http11 and hosts is None or hosts is not None and b"," in hosts:
            raise HttpError(400, "one Host is needed")
        self._framing(names, http11)
        return Request(fields, names, http11, method=match[1], target=match[2])

    def waits_for_continue(self) -> bool:
        """Does the client wait to be told to send the body?"""
        request = self.request
        return (
            request is not None
            and request.names.get(b"expect", b"").lower() == b"100-continue"
            and not len(self.buffer)
        )


class ResponseParser(_Parser):
    """Reads responses off a buffer."""

    def __init__(self, buffer: Buffer, most_body: int = MAX_ANSWER) -> None:
        super().__init__(buffer, most_body)
        self.response: Response | None = None
        self.until_end = False
        self.interim = 0

    def next(self) -> Response | None:
        """The next whole response, or None until more has come. Interim ones are passed over."""
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
                if self.interim > MAX_INTERIM:
                    raise HttpError(502, "no end of interim responses")
                continue
            self.interim = 0
            self.response = Response(fields, names, http11, status=status)
            if status in (204, 304):
                self.length, self.chunks = 0, None
            else:
                self.until_end = not self._framing(names, http11)
        if self.until_end:
            if len(self.buffer) > self.most_body:
                raise HttpError(413, "the body is too long")
            return None
        body = self._body()
        return None if body is None else self._whole(body)

    def end(self) -> Response | None:
        """The connection has ended: the response whose body lasts until then, if there is one."""
        if self.response is None or not self.until_end:
            return None
        return self._whole(self.buffer.take(len(self.buffer)))

    def _whole(self, body: bytes) -> Response | None:
        response, self.response, self.until_end = self.response, None, False
        if response is not None:
            response.body = body
        return response


def write_fields(fields: list[tuple[bytes, bytes]]) -> bytes:
    """Header lines."""
    return b"".join([b"%b: %b\r\n" % pair for pair in fields])


def write_response(
    status: int, fields: list[tuple[bytes, bytes]], body: bytes, close: bool, bodiless: bool = False
) -> bytes:
    """A response with its length; `bodiless` (to HEAD) leaves the body itself out."""
    reason = REASONS.get(status, "Unknown").encode()
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    framing = b"" if status in (204, 304) else b"Content-Length: %d\r\n" % len(body)
    head = b"HTTP/1.1 %d %b\r\n%b%b%b" % (status, reason, write_fields(fields), framing, ending)
    return head if bodiless or status in (204, 304) else head + body
