"""What is known of the other gatekeepers, as the decisions are told it. Nothing here decides anything.

Without membership the neutral one stands, and the decisions go by when they last heard of each peer.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipStatus:
    """`lost`: gatekeepers that are not there, or are suspected; they keep no customer's store.

    `missing`: gatekeepers whose parts of a quota those on this side leave alone. `slices`: this one uses its
    own part alone, and a store that begins meanwhile begins with that. `grants`: it may grant as a keeper.
    """

    tracks_unreachable: bool = False
    absent: frozenset[int] = frozenset()
    unreachable: frozenset[int] = frozenset()
    local_share_only: bool = False
    may_grant: bool = True


NO_MEMBERSHIP = MembershipStatus()
