"""How fresh what a gatekeeper holds is, by the answers to its heartbeats.

Why that is safe: a heartbeat carries this process's own steady clock; the answer is made later, by a node
which knows that all that was acknowledged before `age_ms` ago is in its version. So what was acknowledged
before the heartbeat less that age is in that version, and it is held here once the version held is that or
more. How long both took, or how long this process was suspended between them, only makes the time of the
heartbeat older. An answer counts on the link that its heartbeat was sent on, and once: nothing that comes
twice or from an earlier link is believed.
"""

from __future__ import annotations

from collections.abc import Iterable

from pepperrun.distribution.messages import HeartbeatAck
from pepperrun.distribution.replicated_state import ReplicatedState
from pepperrun.distribution.uplink import MAX_UNANSWERED, MS, NO_GOAL, DigestGoal, Evidence, Uplink


def record_evidence(link: Uplink, ack: HeartbeatAck) -> None:
    """Remember what an answer proves as soon as its version is held."""
    if ack.age_ms is not None:
        link.evidence.append(Evidence(ack.version, ack.heartbeat_sent_at - ack.age_ms * MS))


def apply_evidence(replicated: ReplicatedState, link: Uplink) -> None:
    """Advance `confirmed_at` by the evidence whose version is held."""
    for evidence in link.evidence:
        if evidence.version <= replicated.version:
            replicated.confirmed_at = max(replicated.confirmed_at, evidence.confirmed_at)
    later = [evidence for evidence in link.evidence if evidence.version > replicated.version]
    link.evidence = later[-MAX_UNANSWERED:]
    if link.version <= replicated.version:
        link.behind_since = 0


def record_digest(replicated: ReplicatedState, link: Uplink, ack: HeartbeatAck, now: int) -> None:
    """Remember which digest of the records is to be reached."""
    link.digest_goal = DigestGoal(ack.digest, ack.heartbeat_sent_at)
    if replicated.digests.total_digest() != ack.digest:
        link.differs_since = link.differs_since or now


def check_digests(replicated: ReplicatedState, links: Iterable[Uplink], core: Uplink) -> None:
    """Note where the digest of a link is reached: its records are held, the control node's are the newest."""
    for link in links:
        goal = link.digest_goal
        if not goal.known_at or replicated.digests.total_digest() != goal.digest:
            continue
        if link is core:
            replicated.records_confirmed_at = max(replicated.records_confirmed_at, goal.known_at)
        link.digest_goal = NO_GOAL
        link.differs_since = 0
