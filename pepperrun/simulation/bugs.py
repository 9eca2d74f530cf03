"""Bugs put in on purpose, to see that a day finds them."""

from __future__ import annotations

from typing import Any

from pepperrun.dataplane.plane import DataPlane
from pepperrun.distribution.publisher import Connection
from pepperrun.distribution.service import DistributionService
from pepperrun.foundation.netstring import Message

EMPTY_VOTES = "empty-votes"  # a voter with an empty disk goes on in its old life
COLD_FOREVER = "cold-forever"  # a cold worker's share is not used up by what is sent
BACKWARDS = "backwards"  # older news is gone back to: what came late, or what another machine still holds
GIVES_UP = "gives-up"  # a late attempt at an ejected worker is ended before another takes its place
BUGS = (EMPTY_VOTES, COLD_FOREVER, BACKWARDS, GIVES_UP)


def put_in(bug: str, news: DistributionService, plane: DataPlane) -> None:
    """Makes one gatekeeper behave so."""
    if bug == COLD_FOREVER:
        plane.slow_start.on_sent = lambda number, rate, now: None  # type: ignore[method-assign,assignment]
    elif bug == GIVES_UP:
        backends = plane.gatekeeper.backends
        assert backends is not None
        plane.outcome_sharing.on_suspected = backends.cancel
    elif bug == BACKWARDS:
        follower, received, states = news.follower, news.follower.received, dict[int, Any]()
        news.replicated.on_state.append(lambda number, state, change: states.setdefault(number, state))

        def backwards(connection: Connection, message: Message, now: int) -> None:
            received(connection, message, now)
            old = states.get(message.get("n", 0)) if message["k"] in ("change", "agreed", "tock") else None
            if old is not None and plane.table is not None and message["n"] < plane.table.version:
                plane.table = None
                plane.on_agreed_state(message["n"], old)

        follower.received = backwards  # type: ignore[method-assign]
