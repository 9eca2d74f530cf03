"""Quorum reads: the last time at which this node's chosen value was confirmed as the newest. No I/O.

A node asks the voters whether they have accepted anything later than the value that it knows as chosen. If a
quorum has not, that value was the newest when the request was sent, because a quorum accepts every value
before it is chosen. This needs no leases and does not depend on the clocks of other nodes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pepperrun.consensus.state import Ballot, Incarnation, Value

MAX_OPEN_READS = 4  # replies to older reads are ignored


@dataclass(slots=True)
class QuorumReadRound:
    """One read: when it was sent, and the ballot that each replying incarnation has accepted last."""

    sent_at: int
    accepted: dict[Incarnation, Ballot] = field(default_factory=dict)

    def accepted_exactly(self, ballot: Ballot) -> list[Incarnation]:
        """Incarnations whose last accepted ballot is `ballot`."""
        return [incarnation for incarnation, accepted in self.accepted.items() if accepted == ballot]

    def accepted_at_most(self, ballot: Ballot) -> list[Incarnation]:
        """Incarnations that have accepted nothing later than `ballot`."""
        return [incarnation for incarnation, accepted in self.accepted.items() if accepted <= ballot]


class QuorumReads:
    """The last quorum reads of one node, by their ids.

    Attributes
    ----------
    confirmed_at : int or None
        When the latest confirmed read was sent (monotonic ns): the value known then was the newest. None
        until a read of this process is confirmed.
    """

    def __init__(self) -> None:
        self.last_id = 0
        self.confirmed_at: int | None = None
        self._open: dict[int, QuorumReadRound] = {}

    def start(self, now: int) -> int:
        """Start a read, discard the oldest beyond `MAX_OPEN_READS`, and return the id of the new one."""
        self.last_id += 1
        self._open[self.last_id] = QuorumReadRound(now)
        self._open.pop(self.last_id - MAX_OPEN_READS, None)
        return self.last_id

    def get(self, read_id: int) -> QuorumReadRound | None:
        """Return the read with this id, None if it was discarded."""
        return self._open.get(read_id)

    def confirm(self, read: QuorumReadRound, value: Value, unchanged_at: list[Incarnation]) -> None:
        """Confirm `read` if `unchanged_at`, who accepted nothing later than `value`, are a quorum of it."""
        is_later = self.confirmed_at is None or read.sent_at > self.confirmed_at
        if is_later and value.has_quorum(unchanged_at):
            self.confirmed_at = read.sent_at
