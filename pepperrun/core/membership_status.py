"""What the membership protocol knows of the other gatekeepers, as input to the quota decisions. Has no logic.

Without a membership protocol `NO_MEMBERSHIP` applies, and the quota decisions use the time of each peer's
last message.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipStatus:
    """Which gatekeepers are absent or unreachable, and what this one may do with quotas meanwhile.

    `absent`: gatekeepers that are not there or are suspected; they own no customer's quota. `unreachable`:
    gatekeepers whose shares of a quota this side of a partition does not use. `tracks_unreachable`: whether
    `unreachable` is known; otherwise peers without recent messages count as unreachable. `local_share_only`:
    this gatekeeper uses only its own share, and a bucket created meanwhile starts with that share.
    `may_grant`: it may grant units as an owner.
    """

    tracks_unreachable: bool = False
    absent: frozenset[int] = frozenset()
    unreachable: frozenset[int] = frozenset()
    local_share_only: bool = False
    may_grant: bool = True


NO_MEMBERSHIP = MembershipStatus()
