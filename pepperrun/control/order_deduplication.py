"""Order deduplication: which configurations were applied, so that a repeated order is idempotent. Pure.

An order is identified by its edition and the digest of the request, including `Based-On`
(`order_codec.digest`). Applied orders form a chain: each was based on the edition of the one before. So if
the chain is known from some edition on, an order based on that edition or a later one was applied if and only
if it is in the chain. For an order with an older base the answer is unknown.

The newest `RECENT_ORDERS` are in the state's `taken` with their full digests, as every version of the program
keeps them. Older ones move to `older`: pages by their first edition. A full page never changes, so a change
writes the text of one page only (`consensus.canonical_json`). A node of a version that does not know `older`
drops it, or leaves it as it is: `HEADER` tells whether `older` still ends where `taken` begins.
"""

from __future__ import annotations

import enum
from typing import Any

from pepperrun.consensus.state import Operation

State = dict[str, Any]
Page = dict[str, str]  # short digests by edition

RECENT_ORDERS = 64  # orders in `taken`
PAGE_ORDERS = 64  # orders on a page of `older`
MAX_PAGES = 64  # pages of `older`
# Minimum number of the last orders that are known, once so many were applied.
MIN_REMEMBERED_ORDERS = RECENT_ORDERS + (MAX_PAGES - 1) * PAGE_ORDERS + 1
SHORT_DIGEST_DIGITS = 12  # hex digits in `older`: 48 bits, compared under one edition only
HEADER = "head"  # of `older`: {"from": edition, "next": edition}


class SeenOrder(enum.Enum):
    """Whether an order was applied, as far as known."""

    APPLIED = "applied"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


def lookup(state: State, op: Operation) -> SeenOrder:
    """Return whether this configuration was applied."""
    if [op["edition"], op["digest"]] in state["taken"]:
        return SeenOrder.APPLIED
    edition = str(op["edition"])
    short = op["digest"][:SHORT_DIGEST_DIGITS]
    pages = (page for name, page in _continuous_pages(state).items() if name != HEADER)
    if any(page.get(edition) == short for page in pages):
        return SeenOrder.APPLIED
    return SeenOrder.NOT_APPLIED if op["on"] >= known_since(state) else SeenOrder.UNKNOWN


def known_since(state: State) -> int:
    """Return the oldest edition for which it is known whether orders based on it were applied."""
    older = _continuous_pages(state)
    if older:
        return int(older[HEADER]["from"])
    taken = state["taken"]
    return taken[0][0] if len(taken) >= RECENT_ORDERS else 0


def record_order(before: State, op: Operation) -> State:
    """Return `taken` and `older` of the state after this order was applied to `before`."""
    taken = [*before["taken"], [op["edition"], op["digest"]]]
    older = _continuous_pages(before)
    if not older and len(taken) == RECENT_ORDERS:
        older = {HEADER: {"from": 0, "next": taken[0][0]}}  # no order was dropped so far
    while len(taken) > RECENT_ORDERS:
        edition, digest = taken.pop(0)
        older = _append(older or {HEADER: {"from": edition}}, edition, digest[:SHORT_DIGEST_DIGITS])
        older[HEADER] = {"from": older[HEADER]["from"], "next": taken[0][0]}
    return {"taken": taken, "older": older} if older else {"taken": taken}


def without_older(state: State) -> State:
    """Return the part of a state that gatekeepers keep: operators send them no orders."""
    if "older" not in state:
        return state
    return {name: part for name, part in state.items() if name != "older"}


def _continuous_pages(state: State) -> dict[str, Any]:
    """Return `older` if it ends where `taken` begins; else {}, as an older version changed `taken`."""
    older: dict[str, Any] = state.get("older") or {}
    return older if older and older[HEADER]["next"] == state["taken"][0][0] else {}


def _append(older: dict[str, Any], edition: int, short: str) -> dict[str, Any]:
    """Return a copy of `older` with one more order; drop the oldest page if there are too many."""
    names = sorted((name for name in older if name != HEADER), key=int)
    if names and len(older[names[-1]]) < PAGE_ORDERS:
        return older | {names[-1]: older[names[-1]] | {str(edition): short}}
    older = older | {str(edition): {str(edition): short}}
    if len(names) >= MAX_PAGES:
        dropped: Page = older.pop(names[0])
        older[HEADER] = {"from": max(map(int, dropped))}
    return older
