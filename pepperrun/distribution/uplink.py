"""A link from a gateway to its control node or its parent in the relay tree. No I/O except `Connection`."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution import repair
from pepperrun.distribution.messages import CatchUpRequest, Heartbeat
from pepperrun.distribution.publisher import Connection
from pepperrun.distribution.replicated_state import ReplicatedState
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

MS = 1_000_000  # ns
RECEIVE_TIMEOUT_NS = 1000 * MS  # 2.5 heartbeats unanswered: the peer is gone, partitioned or stuck
REPAIR_DELAY_NS = 250 * MS  # what has not come down the tree within this time is requested
MAX_UNANSWERED = 16  # heartbeats that can still be answered


class Evidence(NamedTuple):
    """Proof that the state with `version` contains every write acknowledged before `confirmed_at`."""

    version: int
    confirmed_at: int


class DigestGoal(NamedTuple):
    """The digest of all records that the peer had at `known_at`."""

    digest: str
    known_at: int


NO_GOAL = DigestGoal("", 0)


@dataclass(slots=True)
class Uplink:
    """One link, up or not yet, and what its peer has reported. Times are monotonic ns, 0 for never.

    Attributes
    ----------
    parent_name : str
        Empty for a control node.
    chosen_at : int
        When the peer was chosen.
    received_at : int
        When data was received last.
    version : int
        State version of the peer, by its last answer.
    stale_since : int
        Since when the peer has not known what the newest version is.
    behind_since : int
        Since when this process has lacked the version of the peer.
    lagging_since : int
        Since when the peer has lacked the version of the control node.
    differs_since : int
        Since when the digests of the records on both sides have differed.
    sent_record : GatewayRecord or None
        The own record as it was last sent on this link.
    evidence : list of Evidence
        Proofs that count once this process has their version.
    """

    address: Address
    parent_name: str
    chosen_at: int
    connection: Connection | None = None
    received_at: int = 0
    version: int = 0
    stale_since: int = 0
    behind_since: int = 0
    lagging_since: int = 0
    differs_since: int = 0
    records_requested_at: int = 0
    state_requested_at: int = 0
    sent_record: GatewayRecord | None = None
    unanswered: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_UNANSWERED))
    evidence: list[Evidence] = field(default_factory=list)
    digest_goal: DigestGoal = NO_GOAL

    def waiting_since(self) -> int:
        """Return since when this process has waited for the peer."""
        return self.received_at or self.chosen_at

    def is_timed_out(self, now: int) -> bool:
        """Return whether nothing has been received for too long, whether the link is up or not."""
        return now - self.waiting_since() > RECEIVE_TIMEOUT_NS

    def resumed(self, now: int) -> None:
        """Restart the time-outs after a suspension of this process: what came meanwhile is still unread."""
        if self.received_at:
            self.received_at = now
        self.chosen_at = now
        self.stale_since = 0

    def close(self) -> None:
        """Close the link if it is up."""
        if self.connection is not None:
            self.connection.close()

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat; one answer to it is accepted, on this link."""
        self.unanswered.append(heartbeat.sent_at)
        self._send(heartbeat.to_wire())

    def accepts_ack(self, heartbeat_sent_at: int) -> bool:
        """Return whether an answer is to a heartbeat of this link, and forget it and earlier ones."""
        if heartbeat_sent_at not in self.unanswered:
            return False
        while self.unanswered.popleft() != heartbeat_sent_at:
            pass
        return True

    def request_state(self, replicated: ReplicatedState, now: int, *, full: bool = False) -> None:
        """Request the changes after the current version, or the full state."""
        if self.connection is not None:
            self.state_requested_at = now
            self._send(CatchUpRequest(replicated.version, full).to_wire())

    def request_records(self, replicated: ReplicatedState, now: int) -> None:
        """Request the records that differ."""
        if self.connection is not None:
            self.records_requested_at = now
            self._send(repair.request(replicated))

    def repair(self, replicated: ReplicatedState, now: int, interval_ns: int) -> None:
        """Request what has been missing for too long; records at most once in `interval_ns`."""
        is_late = bool(self.behind_since) and now - self.behind_since >= REPAIR_DELAY_NS
        if is_late and now - self.state_requested_at >= REPAIR_DELAY_NS:
            self.request_state(replicated, now)
        differs = bool(self.differs_since) and now - self.differs_since >= REPAIR_DELAY_NS
        if differs and now - self.records_requested_at >= interval_ns:
            self.request_records(replicated, now)

    def next_repair_at(self, interval_ns: int) -> list[int]:
        """Return the times at which `repair` has something to do."""
        times = []
        if self.behind_since:
            times.append(max(self.behind_since, self.state_requested_at) + REPAIR_DELAY_NS)
        if self.differs_since:
            next_request_at = self.records_requested_at + interval_ns
            times.append(max(self.differs_since + REPAIR_DELAY_NS, next_request_at))
        return times

    def _send(self, message: Message) -> None:
        if self.connection is not None:
            self.connection.write(encode(message))
