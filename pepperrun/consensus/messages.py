"""Messages of the agreement: plain JSON objects, checked on reading. Field names are short: regions are dear.

| `t` | fields | says |
| --- | --- | --- |
| ask | b | a round begins: promise, and tell what you have taken |
| promise | b, l, a, v | life `l` promises; it took value `v` under ballot `a` (left out: nothing) |
| put | b, v, f, o or w | take `v`: ops `o` on the body with digest `f`, or the whole body `w` |
| need | b | that body is not here: send it whole |
| taken | b, l | life `l` has it on its disk |
| refuse | b, a | `a` was promised to another round |
| chosen | b, v, f, o or w | it is agreed on; `b` alone where the receiver has taken it |
| news | c, h | what is newer than the chosen ballot `c`? bodies `h` are here |
| want, body | d, w | a body by its digest, and the answer |
| read | s, c, l | stamp `s`: have you taken anything later than my `c`? |
| seen | s, l, a, c, q | what was taken and chosen, where it is not `c`; `q`: the keeper, where it is silent |
| leave | l | life `l` was told to stop: its vote should go to another. Said again with each `read` |
"""

from __future__ import annotations

from typing import Any

from pepperrun.foundation.errors import PepperrunError
from pepperrun.consensus.values import Ballot, Life, Value

Message = dict[str, Any]
MOST_TEXT = 200  # characters of a life, an ip, a digest
MOST_LIVES = 64
MOST_OPS = 64

_NEEDED = {
    "ask": "b",
    "promise": "bl",
    "put": "bv",
    "need": "b",
    "taken": "bl",
    "refuse": "ba",
    "chosen": "b",
    "news": "ch",
    "want": "d",
    "body": "dw",
    "read": "scl",
    "seen": "sl",
    "leave": "l",
}


def _bad(what: str) -> PepperrunError:
    return PepperrunError("bad-message", "agreement", what)


def _text(data: Any) -> str:
    if not isinstance(data, str) or len(data) > MOST_TEXT:
        raise _bad("no name")
    return data


def _whole(data: Any) -> int:
    if type(data) is not int or not -1 <= data < 1 << 53:
        raise _bad("no whole number")
    return data


def ballot(data: Any) -> Ballot:
    """A ballot from JSON."""
    if not isinstance(data, list | tuple) or len(data) != 2:
        raise _bad("no ballot")
    return Ballot(_whole(data[0]), _text(data[1]))


def _lives(data: Any) -> tuple[Life, ...]:
    if not isinstance(data, list) or len(data) > MOST_LIVES:
        raise _bad("no lives")
    lives = []
    for one in data:
        if not isinstance(one, list) or len(one) != 2:
            raise _bad("no life")
        lives.append(Life(_text(one[0]), _text(one[1])))
    return tuple(lives)


def value(data: Any) -> Value:
    """A value, without its body, from JSON."""
    if not isinstance(data, list) or len(data) != 5:
        raise _bad("no value")
    made = Value(_whole(data[0]), _lives(data[1]), _lives(data[2]), _text(data[3]), _text(data[4]))
    if not made.voters:
        raise _bad("nobody votes")
    return made


def wire(one: Value) -> list[Any]:
    """A value, without its body, for JSON."""
    voters, was = ([list(life) for life in group] for group in (one.voters, one.was))
    return [one.number, voters, was, one.keeper, one.digest]


def known(data: Any) -> bool:
    """Is it of a kind that this version speaks? What has no kind at all is for `read` to refuse."""
    return not (isinstance(data, dict) and isinstance(data.get("t"), str)) or data["t"] in _NEEDED


def read(data: Any) -> Message:
    """A message with its fields checked, ballots and values made; PepperrunError where it can't be meant."""
    if not isinstance(data, dict) or data.get("t") not in _NEEDED:
        raise _bad("unknown kind")
    kind: str = data["t"]
    made: Message = {"t": kind}
    for name, part in data.items():
        if name in ("b", "a", "c"):
            made[name] = ballot(part)
        elif name == "v":
            made[name] = value(part)
        elif name in ("l", "d", "f", "q"):
            made[name] = _text(part)
        elif name == "s":
            made[name] = _whole(part)
        elif name == "h":
            if not isinstance(part, list) or len(part) > MOST_LIVES:
                raise _bad("no digests")
            made[name] = [_text(one) for one in part]
        elif name == "o":
            if (
                not isinstance(part, list)
                or len(part) > MOST_OPS
                or not all(isinstance(op, dict) for op in part)
            ):
                raise _bad("no ops")
            made[name] = part
        elif name == "w":
            if not isinstance(part, dict):
                raise _bad("no body")
            made[name] = part
    if not all(name in made for name in _NEEDED[kind]) or (
        "a" in made and kind == "promise" and "v" not in made
    ):
        raise _bad(f"a field of {kind} is missing")
    return made
