"""Conversations in which one side breaks off after each single byte of a request or a response."""

from __future__ import annotations

from collections.abc import Iterator

from pepperrun.simulation.conversations.scripts import (
    HOST_NAME,
    LONG_BODY_BYTES,
    ClientStep,
    ReplySpec,
    RequestSpec,
    Script,
    ScriptedEvent,
)

KEY = b"stamp-ann-1"
INTERRUPT_KINDS = ("reset", "close")
MAX_REQUEST_BYTES = 320  # more than the data plane sends to a worker for the request below
# Requests behind a running one; with these bodies they are more than the data plane reads ahead.
PIPELINED_REQUESTS = 3
PIPELINED_BODY_BYTES = 9000
MAX_RESPONSE_BYTES = 240  # more than any response below has


def request(id: bytes, route: bytes, body: bytes = b"hello", chunked: bool = False) -> RequestSpec:
    """Returns a well-formed POST request with this Attempt-Id and route prefix."""
    name = route.strip(b"/").decode()
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
    lines = b"Host: %b\r\nAttempt-Id: %b\r\nAuthorization: Token %b\r\n%b" % (HOST_NAME, id, KEY, framing)
    head = b"POST %bx HTTP/1.1\r\n%b\r\n\r\n" % (route, lines)
    framed_body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if chunked else body
    return RequestSpec(id, b"POST", route + b"x", name, KEY, body, head, framed_body)


def _three_steps(route: bytes, chunked: bool = False) -> list[ClientStep]:
    """Returns three steps: one so that connections are reused ones, the interrupted one and one after it."""
    return [ClientStep(request(b"c%d" % number, route, chunked=chunked)) for number in range(3)]


def client_interruptions(route: bytes) -> Iterator[Script]:
    """Yields scripts whose client breaks off after each byte of its request."""
    for chunked in (False, True):
        length = len(_three_steps(route, chunked)[1].spec.raw)
        for at in range(length + 1):
            for kind in INTERRUPT_KINDS:
                steps = _three_steps(route, chunked)
                steps[1].interrupt_at, steps[1].interrupt_kind, steps[2].new_connection = at, kind, True
                yield Script(1, [steps], replies=[])


def request_interruptions(route: bytes) -> Iterator[Script]:
    """Yields scripts whose worker resets after each byte of the request it reads."""
    for at in range(MAX_REQUEST_BYTES):
        yield Script(1, [_three_steps(route)], replies=[ReplySpec(), ReplySpec(interrupt_request_at=at)])


def response_interruptions(route: bytes) -> Iterator[Script]:
    """Yields scripts whose worker breaks off after each byte of its response."""
    for framing in ("length", "chunks", "end"):
        for at in range(MAX_RESPONSE_BYTES):
            for kind in INTERRUPT_KINDS:
                reply = ReplySpec(framing=framing, interrupt_at=at, interrupt_kind=kind)
                yield Script(1, [_three_steps(route)], replies=[ReplySpec(), reply])


def client_disconnects(route: bytes) -> Iterator[Script]:
    """Yields scripts whose client disconnects while its request runs, with or without pipelined requests."""
    for kind in (*INTERRUPT_KINDS, "half"):
        for reply in (
            ReplySpec(delay_s=3.0),
            ReplySpec(kind="silence"),
            ReplySpec(delay_s=0.6, size=LONG_BODY_BYTES),
        ):
            for pipelined_count in (0, 1, PIPELINED_REQUESTS):
                for drains in (False, True):
                    body = b"b" * PIPELINED_BODY_BYTES if pipelined_count == PIPELINED_REQUESTS else b"hello"
                    steps = [
                        ClientStep(request(b"c%d" % number, route, body))
                        for number in range(pipelined_count + 1)
                    ]
                    for step in steps[1:]:
                        step.pipelined = True
                    last = steps[-1]
                    last.interrupt_at, last.interrupt_kind, last.interrupt_delay_s = (
                        len(last.spec.raw),
                        kind,
                        0.2,
                    )
                    events = [ScriptedEvent(0.1, "drain")] if drains else []
                    yield Script(1, [steps], events, [reply])


def all_interruptions() -> Iterator[Script]:
    """Yields all these scripts, for the unsafe and the safe route."""
    for route in (b"/once/", b"/safe/"):
        yield from client_disconnects(route)
        yield from client_interruptions(route)
        yield from request_interruptions(route)
        yield from response_interruptions(route)
