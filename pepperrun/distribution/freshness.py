"""Freshness of the replicated state of a gateway, proved by the answers to its heartbeats.

Why this is safe: a heartbeat carries the sender's monotonic clock. The answer is made later, by a node whose
version contains every write acknowledged more than `age_ms` ago. So that version contains every write that
was acknowledged before the time of the heartbeat minus that age, and this process has them once its own
version is that one or a later one. Message delays, and a suspension of this process in between, only make
the proved time older. An answer counts once, and only on the link on which its heartbeat was sent:
duplicates and answers from an earlier link are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable

from pepperrun.distribution.messages import HeartbeatAck
from pepperrun.distribution.replicated_state import ReplicatedState
from pepperrun.distribution.uplink import MAX_UNANSWERED, MS, NO_GOAL, DigestGoal, Evidence, Uplink


def record_evidence(link: Uplink, ack: HeartbeatAck) -> None:
    """Store what an answer proves, for when this process has its version."""
    if ack.age_ms is not None:
        link.evidence.append(Evidence(ack.version, ack.heartbeat_sent_at - ack.age_ms * MS))


def apply_evidence(replicated: ReplicatedState, link: Uplink) -> None:
    """Advance `confirmed_at` by all evidence for the current version and earlier ones."""
    for evidence in link.evidence:
        if evidence.version <= replicated.version:
            replicated.confirmed_at = max(replicated.confirmed_at, evidence.confirmed_at)
    later = [evidence for evidence in link.evidence if evidence.version > replicated.version]
    link.evidence = later[-MAX_UNANSWERED:]
    if link.version <= replicated.version:
        link.behind_since = 0


def record_digest(replicated: ReplicatedState, link: Uplink, ack: HeartbeatAck, now: int) -> None:
    """Store the digest of all records at the other side, which this process has to reach."""
    link.digest_goal = DigestGoal(ack.digest, ack.heartbeat_sent_at)
    if replicated.digests.total_digest() != ack.digest:
        link.differs_since = link.differs_since or now


def check_digests(replicated: ReplicatedState, links: Iterable[Uplink], control_node: Uplink) -> None:
    """Clear the digest goals that are reached. The control node's goal also proves freshness."""
    for link in links:
        goal = link.digest_goal
        if not goal.known_at or replicated.digests.total_digest() != goal.digest:
            continue
        if link is control_node:
            replicated.records_confirmed_at = max(replicated.records_confirmed_at, goal.known_at)
        link.digest_goal = NO_GOAL
        link.differs_since = 0
