"""Request routing: a tree of matchers for methods, path segments and headers finds the handler of a call.

    tree = any_of(
        segment("crew", variable("id", segment("beat", method("POST", endpoint(beat))))),
        segment("timetable", segment("read", method("GET", endpoint(read)))),
    )

A matcher takes what it stands for off the call and hands the rest to those inside it. A call that matches
nowhere is refused by the matcher that came furthest: 404 for a path, 405 for a method, 400 for a header.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote


@dataclass(slots=True)
class Call:
    """A request: its path in decoded segments, header names in lower case. `values`: of variable segments."""

    method: str
    path: list[str]
    query: dict[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    values: dict[str, str] = field(default_factory=dict)


class Answer(NamedTuple):
    """A response: its body is JSON unless it is empty."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Cause(enum.IntEnum):
    """What did not match. A greater one is nearer to a match: it was checked after those below it."""

    PATH = 1
    METHOD = 2
    HEADER = 3


STATUS_OF = {Cause.PATH: 404, Cause.METHOD: 405, Cause.HEADER: 400}


class Mismatch(NamedTuple):
    """No handler: how many segments matched, what did not then, and methods that would have."""

    depth: int
    cause: Cause = Cause.PATH
    allow: tuple[str, ...] = ()

    @property
    def nearness(self) -> tuple[int, Cause]:
        """The greater, the nearer the call came to a handler."""
        return self.depth, self.cause

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return STATUS_OF[self.cause]


Handler = Callable[[Call], Any]  # returns an Answer, or an awaitable of one
Match = Handler | Mismatch
Matcher = Callable[[Call, int], Match]  # with the number of segments that have matched


def endpoint(handler: Handler) -> Matcher:
    """Match the end of the path."""
    return lambda call, depth: handler if depth == len(call.path) else Mismatch(depth)


def any_of(*inner: Matcher) -> Matcher:
    """Match what the first of these matches."""

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
    """Match a segment of the path."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if depth < len(call.path) and call.path[depth] == text:
            return rest(call, depth + 1)
        return Mismatch(depth)

    return match


def variable(name: str, *inner: Matcher) -> Matcher:
    """Match any segment; its text becomes `values[name]`."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if depth >= len(call.path) or not call.path[depth]:
            return Mismatch(depth)
        call.values[name] = call.path[depth]
        return rest(call, depth + 1)

    return match


def method(name: str, *inner: Matcher) -> Matcher:
    """Match a method; the answer to others on a path that is known is 405."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if call.method == name:
            return rest(call, depth)
        if depth == len(call.path):
            return Mismatch(depth, Cause.METHOD, (name,))
        return Mismatch(depth)

    return match


def header(name: str, *inner: Matcher) -> Matcher:
    """Match calls that have a header; its text becomes `values[name]`."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Match:
        if name not in call.headers:
            is_at_end = depth == len(call.path)
            return Mismatch(depth, Cause.HEADER if is_at_end else Cause.PATH)
        call.values[name] = call.headers[name]
        return rest(call, depth)

    return match


def parse_target(target: bytes) -> tuple[list[str], dict[str, str]]:
    """Return a request's target as path segments and query."""
    path, _, query = target.decode("latin-1").partition("?")
    segments = [unquote(text) for text in path.split("/")[1:]]
    return segments, dict(parse_qsl(query))


def dispatch(tree: Matcher, call: Call) -> Any:
    """Return what the tree's handler returns, an Answer or an awaitable of one; else the refusal."""
    found = tree(call, 0)
    if not isinstance(found, Mismatch):
        return found(call)
    if found.cause is Cause.METHOD:
        return Answer(found.status, headers=(("Allow", ", ".join(found.allow)),))
    return Answer(found.status)
