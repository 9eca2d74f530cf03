"""What is known of the other gatekeepers, as the decisions are told it. Nothing here decides anything.

Without membership the neutral one stands, and the decisions go by when they last heard of each peer.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Standing:
    """`lost`: gatekeepers that are not there, or are suspected; they keep no customer's store.

    `slices`: this one uses, and as a keeper grants, no more than the parts of those on its side; a store that
    begins meanwhile begins with its part. `grants`: it may grant as a keeper.
    """

    known: bool = False
    lost: frozenset[int] = frozenset()
    slices: bool = False
    grants: bool = True


NEUTRAL = Standing()
