"""Request routing: a tree of matchers for methods, path segments and headers finds the handler of a call.

    tree = any_of(
        segment("crew", variable("id", segment("beat", method("POST", endpoint(beat))))),
        segment("timetable", segment("read", method("GET", endpoint(read)))),
    )

A matcher checks its part of the call and passes the rest to its inner matchers. If no handler matches, the
mismatch that got furthest gives the status: 404 for a path, 405 for a method, 400 for a header.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qsl, unquote


class Caller(Protocol):
    """The other end of the connection on which a call came."""

    async def is_waiting(self) -> bool:
        """Whether the caller still waits for its answer, by all that has arrived until now."""
        ...


class WaitingCaller:
    """A caller that waits until it is answered, for calls that come without a connection."""

    async def is_waiting(self) -> bool:
        """Return True."""
        return True


@dataclass(slots=True)
class Call:
    """A request: decoded path segments, header names in lower case; `values` of variables and headers."""

    method: str
    path: list[str]
    query: dict[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    values: dict[str, str] = field(default_factory=dict)
    caller: Caller = field(default_factory=WaitingCaller)


class Answer(NamedTuple):
    """A response: its body is JSON unless it is empty."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Cause(enum.IntEnum):
    """What did not match. Causes with a higher value are checked later, so they are nearer to a match."""

    PATH = 1
    METHOD = 2
    HEADER = 3


STATUS_OF = {Cause.PATH: 404, Cause.METHOD: 405, Cause.HEADER: 400}


class Mismatch(NamedTuple):
    """No handler: the number of segments that matched, what did not match then, and the allowed methods."""

    depth: int
    cause: Cause = Cause.PATH
    allow: tuple[str, ...] = ()

    @property
    def nearness(self) -> tuple[int, Cause]:
        """Sort key: the greatest mismatch came nearest to a handler."""
        return self.depth, self.cause

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return STATUS_OF[self.cause]


Handler = Callable[[Call], Any]  # returns an Answer, or an awaitable of one
Match = Handler | Mismatch
Matcher = Callable[[Call, int], Match]  # second argument: the number of segments matched so far


def endpoint(handler: Handler) -> Matcher:
    """Match the end of the path and return the handler."""
    return lambda call, depth: handler if depth == len(call.path) else Mismatch(depth)


def any_of(*inner: Matcher) -> Matcher:
    """Match with the first of these matchers that matches."""

    def match(call: Call, depth: int) -> Match:
        nearest = Mismatch(depth)
        for matcher in inner:
            found = matcher(call, depth)
            if not isinstance(found, Mismatch):
                return found
            if found.nearness > nearest.nearness:
                nearest = found
            elif found.nearness == nearest.nearness:
                nearest = nearest._replace(allow=nearest.allow + found.allow)
        return nearest

    return match


def segment(text: str, *inner: Matcher) -> Matcher:
    """Match a path segment with this text."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if depth < len(call.path) and call.path[depth] == text:
            return rest(call, depth + 1)
        return Mismatch(depth)

    return match


def variable(name: str, *inner: Matcher) -> Matcher:
    """Match any non-empty path segment and store its text in `values[name]`."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if depth >= len(call.path) or not call.path[depth]:
            return Mismatch(depth)
        call.values[name] = call.path[depth]
        return rest(call, depth + 1)

    return match


def method(name: str, *inner: Matcher) -> Matcher:
    """Match an HTTP method; other methods at the end of the path get a 405."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if call.method == name:
            return rest(call, depth)
        if depth == len(call.path):
            return Mismatch(depth, Cause.METHOD, (name,))
        return Mismatch(depth)

    return match


def header(name: str, *inner: Matcher) -> Matcher:
    """Match calls that have a header, and store its text in `values[name]`."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if name not in call.headers:
            is_at_end = depth == len(call.path)
            return Mismatch(depth, Cause.HEADER if is_at_end else Cause.PATH)
        call.values[name] = call.headers[name]
        return rest(call, depth)

    return match


def parse_target(target: bytes) -> tuple[list[str], dict[str, str]]:
    """Return the decoded path segments and the query parameters of a request target."""
    path, _, query = target.decode("latin-1").partition("?")
    segments = [unquote(text) for text in path.split("/")[1:]]
    return segments, dict(parse_qsl(query))


def dispatch(tree: Matcher, call: Call) -> Any:
    """Return the result of the matching handler, an Answer or an awaitable of one, or an error response."""
    found = tree(call, 0)
    if not isinstance(found, Mismatch):
        return found(call)
    if found.cause is Cause.METHOD:
        return Answer(found.status, headers=(("Allow", ", ".join(found.allow)),))
    return Answer(found.status)
