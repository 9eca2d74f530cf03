"""Lengths of time of the consensus, in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000  # ns


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How often a control node reads and how long it waits, ns.

    Attributes
    ----------
    read_interval_ns : int
        Between two quorum reads.
    phase_ns : int
        For each of the two phases of a round.
    backoff_ns : int
        After a rejected round, at least; at random up to twice as long, doubled with each further one.
    change_ns : int
        For an operator's change, unless the caller says otherwise.
    liveness_ns : int
        A peer that was received from within it is alive.
    coordinator_ns : int
        A coordinator without a message for so long gets a successor.
    voter_ns : int
        A voter without a message for so long gives its place to a machine that is alive.
    deferred_sync_ns : int
        Until it is synced that something was chosen: not right after it was acknowledged.
    """

    read_interval_ns: int = 400 * MS
    phase_ns: int = 300 * MS
    backoff_ns: int = 40 * MS
    change_ns: int = 1500 * MS
    liveness_ns: int = 1200 * MS
    coordinator_ns: int = 1500 * MS
    voter_ns: int = 2000 * MS
    deferred_sync_ns: int = 5000 * MS
