"""Quorum reads: since when the chosen value that this node knows was surely the newest. No I/O.

A node asks the voters whether they have accepted anything later than what it knows as chosen. If a quorum has
not, then what it knew was the newest when it asked: whatever is chosen, a quorum has accepted. That needs no
leases and no clocks of others.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pepperrun.consensus.state import Ballot, Incarnation, Value

MAX_OPEN_READS = 4  # whose replies still count


@dataclass(slots=True)
class QuorumReadRound:
    """A read that was sent: when, and the ballots that voters had accepted by then or later."""

    sent_at: int
    accepted: dict[Incarnation, Ballot] = field(default_factory=dict)

    def accepted_exactly(self, ballot: Ballot) -> list[Incarnation]:
        """Incarnations that accepted `ballot` last."""
        return [incarnation for incarnation, accepted in self.accepted.items() if accepted == ballot]

    def accepted_at_most(self, ballot: Ballot) -> list[Incarnation]:
        """Incarnations that accepted nothing later than `ballot`."""
        return [incarnation for incarnation, accepted in self.accepted.items() if accepted <= ballot]


class QuorumReads:
    """The last reads of one node, by their ids.

    Attributes
    ----------
    confirmed_at : int or None
        Steady clock, ns, of the last read that was confirmed: what was known then was the newest. None until
        one is confirmed in this life of the process.
    """

    def __init__(self) -> None:
        self.last_id = 0
        self.confirmed_at: int | None = None
        self._open: dict[int, QuorumReadRound] = {}

    def start(self, now: int) -> int:
        """Begin a read; return its id. One that is too old is given up."""
        self.last_id += 1
        self._open[self.last_id] = QuorumReadRound(now)
        self._open.pop(self.last_id - MAX_OPEN_READS, None)
        return self.last_id

    def get(self, read_id: int) -> QuorumReadRound | None:
        """Return a read whose replies still count."""
        return self._open.get(read_id)

    def confirm(self, read: QuorumReadRound, value: Value, unchanged_at: list[Incarnation]) -> None:
        """Count who has accepted nothing later; with a quorum `value` was the newest when it was sent."""
        is_later = self.confirmed_at is None or read.sent_at > self.confirmed_at
        if is_later and value.has_quorum(unchanged_at):
            self.confirmed_at = read.sent_at
