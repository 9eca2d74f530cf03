"""Time-outs and intervals of the consensus, in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000  # ns


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Intervals and time-outs of a control node, ns.

    Attributes
    ----------
    read_interval_ns : int
        Interval between two quorum reads.
    phase_ns : int
        Time-out of each of the two phases of a round.
    backoff_ns : int
        Minimum delay after a rejected or timed-out round. A random part of up to the same length is added.
        The delay doubles with each further one, at most `register.MAX_BACKOFF_DOUBLINGS` times.
    change_ns : int
        Default time-out of an operator's change.
    liveness_ns : int
        A peer is alive if a message from it was received within this time.
    coordinator_ns : int
        A coordinator without a message for this long is replaced by its successor.
    voter_ns : int
        A voter without a message for this long is replaced by a machine that is alive.
    deferred_sync_ns : int
        How long the sync of a newly chosen value may be deferred: it need not precede the acknowledgement.
    """

    read_interval_ns: int = 400 * MS
    phase_ns: int = 300 * MS
    backoff_ns: int = 40 * MS
    change_ns: int = 1500 * MS
    liveness_ns: int = 1200 * MS
    coordinator_ns: int = 1500 * MS
    voter_ns: int = 2000 * MS
    deferred_sync_ns: int = 5000 * MS
