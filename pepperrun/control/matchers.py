"""A tree of matchers finds who answers a call: methods, path segments, variable segments and headers compose.

    tree = any_of(
        at("crew", each("id", at("beat", method("POST", does(beat))))),
        at("timetable", at("replace", method("POST", header("based-on", does(replace))))),
    )

A matcher takes what it stands for off the call and hands the rest to those inside it. What matches nowhere is
refused by the matcher that came furthest: 404 for a path, 405 for a method, 400 for a header.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote


@dataclass(slots=True)
class Call:
    """A call: its path in decoded segments, header names in lower case. `values`: by variable segments."""

    method: str
    path: list[str]
    query: dict[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    values: dict[str, str] = field(default_factory=dict)


class Answer(NamedTuple):
    """What a caller gets: JSON unless `body` is empty."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Miss(NamedTuple):
    """Nobody answers; the greater the status within a tree, the nearer the call came. `allow`: methods."""

    depth: int
    status: int
    allow: tuple[str, ...] = ()


Handler = Callable[[Call], Any]  # an Answer, or an awaitable of one
Found = Handler | Miss
Matcher = Callable[[Call, int], Found]  # with the number of segments that are taken off


def does(handler: Handler) -> Matcher:
    """Match the end of the path; the handler answers."""
    return lambda call, depth: handler if depth == len(call.path) else Miss(depth, 404)


def any_of(*inner: Matcher) -> Matcher:
    """Match what the first of these matches."""

    def match(call: Call, depth: int) -> Found:
        best = Miss(depth, 404)
        for one in inner:
            found = one(call, depth)
            if not isinstance(found, Miss):
                return found
            if found[:2] > best[:2]:
                best = found
            elif found[:2] == best[:2]:
                best = best._replace(allow=best.allow + found.allow)
        return best

    return match


def at(segment: str, *inner: Matcher) -> Matcher:
    """Match a segment of the path."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Found:
        if depth < len(call.path) and call.path[depth] == segment:
            return rest(call, depth + 1)
        return Miss(depth, 404)

    return match


def each(name: str, *inner: Matcher) -> Matcher:
    """Match any segment; its text becomes `values[name]`."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Found:
        if depth >= len(call.path) or not call.path[depth]:
            return Miss(depth, 404)
        call.values[name] = call.path[depth]
        return rest(call, depth + 1)

    return match


def method(name: str, *inner: Matcher) -> Matcher:
    """Match a method; the answer to others on a path that is known is 405."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Found:
        if call.method == name:
            return rest(call, depth)
        return Miss(depth, 405, (name,)) if depth == len(call.path) else Miss(depth, 404)

    return match


def header(name: str, *inner: Matcher) -> Matcher:
    """Match calls that have a header; its text becomes `values[name]`."""
    rest = any_of(*inner)

    def match(call: Call, depth: int) -> Found:
        if name not in call.headers:
            return Miss(depth, 406 if depth == len(call.path) else 404)  # 406 inside: after 405, told as 400
        call.values[name] = call.headers[name]
        return rest(call, depth)

    return match


def parse_target(target: bytes) -> tuple[list[str], dict[str, str]]:
    """Return a request's target as path segments and query."""
    path, _, query = target.decode("latin-1").partition("?")
    return [unquote(one) for one in path.split("/")[1:]], dict(parse_qsl(query))


def answer_to(tree: Matcher, call: Call) -> Any:
    """Return what the tree answers: an Answer, or an awaitable of one."""
    found = tree(call, 0)
    if not isinstance(found, Miss):
        return found(call)
    if found.status == 405:
        return Answer(405, headers=(("Allow", ", ".join(found.allow)),))
    return Answer(400 if found.status == 406 else found.status)
