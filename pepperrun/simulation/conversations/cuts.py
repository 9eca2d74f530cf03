"""Conversations in which one side breaks off after each single byte of a request or an answer."""

from __future__ import annotations

from collections.abc import Iterator

from pepperrun.simulation.conversations.scripts import (
    HOST_NAME,
    LONG,
    Asked,
    Happening,
    Reply,
    Script,
    Turn,
)

KEY = b"stamp-ann-1"
BREAKS = ("reset", "close")
MOST_REQUEST = 320  # bytes: more than the data plane sends a worker for the request below
SENT_AHEAD = (
    3  # requests behind one that is at work, each with a body of BEHIND bytes: more than is read ahead
)
BEHIND = 9000
MOST_ANSWER = 240  # bytes: more than any answer below has


def request(id: bytes, route: bytes, body: bytes = b"hello", chunked: bool = False) -> Asked:
    """A plain request."""
    name = route.strip(b"/").decode()
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)
    lines = b"Host: %b\r\nAttempt-Id: %b\r\nAuthorization: Token %b\r\n%b" % (HOST_NAME, id, KEY, framing)
    head = b"POST %bx HTTP/1.1\r\n%b\r\n\r\n" % (route, lines)
    sent = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if chunked else body
    return Asked(id, b"POST", route + b"x", name, KEY, body, head, sent)


def _three(route: bytes, chunked: bool = False) -> list[Turn]:
    """One before, so that connections are kept ones, the one that breaks, and one after."""
    return [Turn(request(b"c%d" % number, route, chunked=chunked)) for number in range(3)]


def cut_by_clients(route: bytes) -> Iterator[Script]:
    """The client breaks off."""
    for chunked in (False, True):
        length = len(_three(route, chunked)[1].asked.raw)
        for at in range(length + 1):
            for how in BREAKS:
                turns = _three(route, chunked)
                turns[1].break_at, turns[1].break_how, turns[2].fresh = at, how, True
                yield Script(1, [turns], replies=[])


def cut_requests(route: bytes) -> Iterator[Script]:
    """The worker breaks off while it reads."""
    for at in range(MOST_REQUEST):
        yield Script(1, [_three(route)], replies=[Reply(), Reply(cut_request_at=at)])


def cut_answers(route: bytes) -> Iterator[Script]:
    """The worker breaks off while it answers."""
    for framing in ("length", "chunks", "end"):
        for at in range(MOST_ANSWER):
            for how in BREAKS:
                reply = Reply(framing=framing, cut_at=at, cut_how=how)
                yield Script(1, [_three(route)], replies=[Reply(), reply])


def leaves(route: bytes) -> Iterator[Script]:
    """The client leaves while its request is at work, alone or with others sent behind it."""
    for how in (*BREAKS, "half"):
        for reply in (Reply(delay_s=3.0), Reply(kind="silence"), Reply(delay_s=0.6, size=LONG)):
            for behind in (0, 1, SENT_AHEAD):
                for drains in (False, True):
                    body = b"b" * BEHIND if behind == SENT_AHEAD else b"hello"
                    turns = [Turn(request(b"c%d" % number, route, body)) for number in range(behind + 1)]
                    for turn in turns[1:]:
                        turn.pipelined = True
                    last = turns[-1]
                    last.break_at, last.break_how, last.stay_s = len(last.asked.raw), how, 0.2
                    happenings = [Happening(0.1, "drain")] if drains else []
                    yield Script(1, [turns], happenings, [reply])


def cuts() -> Iterator[Script]:
    """All of them."""
    for route in (b"/once/", b"/safe/"):
        yield from leaves(route)
        yield from cut_by_clients(route)
        yield from cut_requests(route)
        yield from cut_answers(route)
