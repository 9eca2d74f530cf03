"""The parsers: valid messages in random chunks of input, random garbage, and ambiguous framing."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pepperrun.net.buffer import Buffer
from pepperrun.net.http1 import (
    MAX_HEAD,
    MAX_REQUEST_BODY,
    REQUEST_BUFFER_SIZE,
    HttpError,
    Request,
    RequestParser,
    Response,
    ResponseParser,
    encode_response,
)

TOKEN = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12).map(lambda t: b"x" + t.encode())
VALUE = st.text("abc XYZ019=;,/", max_size=30).map(lambda t: t.strip().encode())
FIELDS = st.lists(st.tuples(TOKEN, VALUE), max_size=6, unique_by=lambda pair: pair[0])
BODY = st.binary(max_size=3000)


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;a=b\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nx-t: 1\r\n\r\n"


def framed(body: bytes, chunk: int) -> bytes:
    if chunk:
        return b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, chunk)
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def feed(parser: RequestParser | ResponseParser, data: bytes, cuts: list[int]) -> list[Request | Response]:
    """Returns all messages parsed from the data, which is added in chunks that end at the cuts."""
    messages, at = [], 0
    for cut in [*sorted({cut % (len(data) + 1) for cut in cuts}), len(data)]:
        parser.buffer.add(data[at:cut])
        at = cut
        while (message := parser.next()) is not None:
            messages.append(message)
    return messages


CUTS = st.lists(st.integers(0, 100_000), max_size=12)


@given(st.lists(st.tuples(FIELDS, BODY, st.integers(0, 700)), min_size=1, max_size=3), CUTS)
def test_requests_parse_the_same_for_any_chunking_of_input(messages, cuts):
    data = b""
    for fields, body, chunk in messages:
        head = b"".join(b"%b:  %b \r\n" % pair for pair in fields)
        data += b"POST /a?b HTTP/1.1\r\nHost: h\r\n" + head + framed(body, chunk)
    got = feed(RequestParser(Buffer(REQUEST_BUFFER_SIZE)), data, cuts)
    assert [message.body for message in got] == [body for _, body, _ in messages]
    for message, (fields, _, _) in zip(got, messages, strict=True):
        assert [pair for pair in message.fields if pair[0] in dict(fields)] == fields
        assert (message.method, message.target, message.closes_connection()) == (b"POST", b"/a?b", False)


@given(st.lists(st.tuples(BODY, st.integers(0, 700)), min_size=1, max_size=3), CUTS)
def test_responses_parse_the_same_for_any_chunking_of_input(messages, cuts):
    data = b"".join(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + framed(body, chunk) for body, chunk in messages
    )
    got = feed(ResponseParser(Buffer(REQUEST_BUFFER_SIZE)), data, cuts)
    assert [message.body for message in got] == [body for body, _ in messages]


@given(BODY, CUTS)
def test_response_without_a_length_lasts_until_end_of_stream(body, cuts):
    parser = ResponseParser(Buffer(REQUEST_BUFFER_SIZE))
    assert feed(parser, b"HTTP/1.0 200 OK\r\n\r\n" + body, cuts) == []
    response = parser.on_eof()
    assert response is not None and response.body == body and response.closes_connection()


GARBAGE = st.one_of(
    st.binary(max_size=400),
    st.lists(
        st.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"HTTP/1.1 200 OK\r\n",
                b"Host: a\r\n",
                b"\r\n",
                b"\n",
                b"\r",
                b":",
                b" x: y\r\n",
            ]
            + [
                b"Content-Length: 3\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"5\r\nhello\r\n",
                b"0\r\n\r\n",
                b"\0",
            ]
        ),
        max_size=12,
    ).map(b"".join),
)


@given(GARBAGE, CUTS, st.sampled_from([RequestParser, ResponseParser]))
def test_garbage_raises_only_http_errors(data, cuts, kind):
    try:
        for message in feed(kind(Buffer(REQUEST_BUFFER_SIZE)), data, cuts):
            assert len(message.body) <= MAX_REQUEST_BODY
    except HttpError as error:
        assert error.status in (400, 413, 431, 501, 502)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400),
        (b"Content-Length: 3\r\nContent-Length: 4\r\n", 400),
        (b"Content-Length: 3, 3\r\n", 400),
        (b"Content-Length: +3\r\n", 400),
        (b"Content-Length : 3\r\n", 400),
        (b"Transfer-Encoding: gzip, chunked\r\n", 501),
        (b"Content-Length: 65537\r\n", 413),
        (b"Content-Length: 99999999999999999999\r\n", 413),
        (b"A: b\r\n folded\r\n", 400),
        (b"A: b\nC: d\r\n", 400),
        (b"Host: two\r\n", 400),
        (b"A: " + b"x" * MAX_HEAD + b"\r\n", 431),
        (b"A: b\r\n" * 101, 431),
    ],
)
def test_ambiguous_or_too_large_messages_are_rejected(head, status):
    # Two interpretations of where a body ends allow a second request to be smuggled past a proxy.
    with pytest.raises(HttpError) as caught:
        feed(
            RequestParser(Buffer(REQUEST_BUFFER_SIZE)),
            b"POST / HTTP/1.1\r\nHost: h\r\n" + head + b"\r\nabc",
            [],
        )
    assert caught.value.status == status


def test_endless_head_is_rejected_before_it_fills_memory():
    parser = RequestParser(Buffer(REQUEST_BUFFER_SIZE))
    with pytest.raises(HttpError) as caught:
        feed(parser, b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000, list(range(0, 60_000, 1000)))
    assert caught.value.status == 431


def test_chunks_beyond_the_maximum_body_are_rejected():
    data = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + b"8000\r\n" + bytes(0x8000)
    with pytest.raises(HttpError) as caught:
        feed(RequestParser(Buffer(REQUEST_BUFFER_SIZE)), data + b"\r\n8001\r\n", [])
    assert caught.value.status == 413


@given(st.lists(st.one_of(st.binary(min_size=1, max_size=5000), st.integers(1, 6000)), max_size=30))
def test_buffer_returns_the_bytes_that_were_added(steps):
    buffer, expected = Buffer(1 << 20), b""
    for step in steps:
        if isinstance(step, bytes):
            buffer.add(step)
            expected += step
        else:
            assert buffer.take(step) == expected[:step]
            expected = expected[step:]
        assert buffer.peek(len(expected) + 1) == expected
        assert len(buffer.data) <= max(4096, 4 * len(expected) + 16384)


def test_buffer_never_grows_beyond_its_maximum_size():
    buffer = Buffer(10_000)
    with pytest.raises(ValueError):
        buffer.add(bytes(10_001))
    assert buffer.is_full() and len(buffer.data) == 10_000


@given(FIELDS, BODY, CUTS)
def test_encoded_response_can_be_parsed(fields, body, cuts):
    (got,) = feed(
        ResponseParser(Buffer(REQUEST_BUFFER_SIZE)), encode_response(200, fields, body, close=True), cuts
    )
    assert (got.body, got.fields[: len(fields)], got.closes_connection()) == (body, fields, True)
