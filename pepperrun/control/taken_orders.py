"""Which configurations have been taken: what a repeated order is known by, and how far back that goes.

An order is identified by its edition and the digest of what was sent, `Based-On` included
(`validation.digest`). Orders that were taken form a chain: each was based on the edition of the one before
it. So, as long as the chain is known from some edition on, an order based on that edition or a later one was
taken if and only if it is in the chain. Of an order with an older base nothing can be said.

The newest `RECENT` are kept in `taken` with their whole digests, as every version of the program keeps them.
What drops out there goes to `older`: pages by their first edition, never changed once they are full, so that
a change writes the text of one page only (`consensus.canonical_json`). A machine of a version that does not
know `older` drops it, or leaves it as it is: `HEAD` tells whether it still joins on to `taken`.
"""

from __future__ import annotations

import enum
from typing import Any

from pepperrun.control.validation import Op

State = dict[str, Any]
Page = dict[str, str]  # short digests by edition

RECENT = 64  # orders in `taken`
PAGE = 64  # orders on a page of `older`
MOST_PAGES = 64
REMEMBERED = RECENT + (MOST_PAGES - 1) * PAGE + 1  # orders at least, once there were so many
SHORT = 12  # hex digits of a digest in `older`: 48 bits, compared under one edition only
HEAD = "head"  # of `older`: {"from": edition, "next": edition}


class Known(enum.Enum):
    """What is known of an order."""

    TAKEN = "taken"
    NOT_TAKEN = "not taken"
    UNKNOWN = "unknown"


def known(state: State, op: Op) -> Known:
    """Has this configuration been taken?"""
    if [op["edition"], op["digest"]] in state["taken"]:
        return Known.TAKEN
    older = _joined(state)
    edition, short = str(op["edition"]), op["digest"][:SHORT]
    if any(page.get(edition) == short for name, page in older.items() if name != HEAD):
        return Known.TAKEN
    return Known.NOT_TAKEN if op["on"] >= known_from(state) else Known.UNKNOWN


def known_from(state: State) -> int:
    """Of orders based on this edition, or a later one, it is known whether they were taken."""
    older = _joined(state)
    if older:
        return int(older[HEAD]["from"])
    taken = state["taken"]
    return taken[0][0] if len(taken) >= RECENT else 0


def remember(before: State, op: Op) -> State:
    """`taken` and `older` of the state after this order was taken on top of `before`."""
    taken, older = [*before["taken"], [op["edition"], op["digest"]]], _joined(before)
    if not older and len(taken) == RECENT:
        older = {HEAD: {"from": 0, "next": taken[0][0]}}  # nothing has been forgotten so far
    while len(taken) > RECENT:
        edition, digest = taken.pop(0)
        older = _append(older or {HEAD: {"from": edition}}, edition, digest[:SHORT])
        older[HEAD] = {"from": older[HEAD]["from"], "next": taken[0][0]}
    return {"taken": taken} | ({"older": older} if older else {})


def without_older(state: State) -> State:
    """What gatekeepers hold: no operator asks them for an answer."""
    return {name: part for name, part in state.items() if name != "older"} if "older" in state else state


def _joined(state: State) -> dict[str, Any]:
    """`older`, if it ends where `taken` begins; else {}: a version that does not know it was at work."""
    older: dict[str, Any] = state.get("older") or {}
    return older if older and older[HEAD]["next"] == state["taken"][0][0] else {}


def _append(older: dict[str, Any], edition: int, short: str) -> dict[str, Any]:
    """A copy of `older` with one order more, and without the oldest page where there are too many."""
    names = sorted((name for name in older if name != HEAD), key=int)
    if names and len(older[names[-1]]) < PAGE:
        return older | {names[-1]: older[names[-1]] | {str(edition): short}}
    older = older | {str(edition): {str(edition): short}}
    if len(names) >= MOST_PAGES:
        dropped: Page = older.pop(names[0])
        older[HEAD] = {"from": max(map(int, dropped))}
    return older
