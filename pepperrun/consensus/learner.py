"""The learner: which value is chosen, how its body changed, and how a node catches up with its peers. No I/O.

Messages go to `outbox`, those of a node to itself to `loopback`. Both may be used only after `flush` has
synced the state that they depend on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from pepperrun.consensus.messages import (
    Accept,
    BodyDelta,
    BodyReply,
    BodyRequest,
    CatchUpRequest,
    Chosen,
    Message,
)
from pepperrun.consensus.recent_changes import RecentChanges
from pepperrun.consensus.state import (
    NO_BALLOT,
    Apply,
    Ballot,
    Body,
    DurableState,
    Incarnation,
    Operation,
    Proposal,
    StateStore,
    digest_of,
)
from pepperrun.consensus.timeouts import Timeouts
from pepperrun.foundation.errors import RemoteProtocolError

MAX_CATCH_UP_DOUBLINGS = 3  # of the time-out of a `CatchUpRequest`


class OutgoingMessage(NamedTuple):
    """A message and the ip of its destination node."""

    ip: str
    message: Message


class BodyChange(NamedTuple):
    """The chosen body changed from `base_version` to `version`.

    `operation` is None unless exactly one known operation made the change. Without it, take the body itself.
    """

    base_version: int
    version: int
    operation: Operation | None


class UnsavedProposal(NamedTuple):
    """A proposal that could not be saved, and the delta from which its body was made, if any."""

    proposal: Proposal
    delta: BodyDelta | None


@dataclass(slots=True)
class CatchUpProgress:
    """State of catching up: the last request's chosen ballot and time, and the attempts from that ballot."""

    chosen_ballot: Ballot
    requested_at: int
    attempts: int = 0


class Learner:
    """What one node knows as chosen. Feed it messages; read `outbox` and `changes` after a `flush`.

    Attributes
    ----------
    state : DurableState
        The state in memory, which may be newer than the state on disk.
    must_sync : bool
        `state` has a change that must be synced before any further message is sent.
    may_sync_later : bool
        `state` has a change whose sync may be deferred.
    disk_failed : bool
        The last save failed: nothing is promised or accepted until one succeeds.
    chosen_learned_at : int
        When the newest chosen value was learned; the start of this process before that.
    highest_ballot : Ballot
        The highest ballot received in any message.
    deltas : dict of Ballot to BodyDelta
        Delta of each proposal that was accepted and is not yet chosen.
    unsaved : UnsavedProposal or None
        The last proposal that this node was asked to accept while its disk failed.
    """

    def __init__(
        self, own_ip: str, state: DurableState, store: StateStore, apply: Apply, now: int, timeouts: Timeouts
    ) -> None:
        self.own_ip = own_ip
        self.state = state
        self.store = store
        self.apply = apply
        self.timeouts = timeouts
        self.now = now
        self.must_sync = False
        self.may_sync_later = False
        self.disk_failed = False
        self.chosen_learned_at = now
        self.highest_ballot = max(state.promised, self.accepted_ballot)
        self.deltas: dict[Ballot, BodyDelta] = {}
        self.unsaved: UnsavedProposal | None = None
        self.recent_changes = RecentChanges()
        self.catch_up = CatchUpProgress(NO_BALLOT, now)
        # By ip, the chosen ballot to which a delta was sent last.
        self.delta_sent_for: dict[str, Ballot] = {}
        self.loopback: list[Message] = []
        self.outbox: list[OutgoingMessage] = []
        self.changes: list[BodyChange] = []

    @property
    def incarnation(self) -> Incarnation:
        """Ip and disk id of this node: its identity as a voter."""
        return Incarnation(self.own_ip, self.state.disk_id)

    @property
    def chosen_ballot(self) -> Ballot:
        """Ballot of the newest proposal known as chosen; `NO_BALLOT` before the first."""
        return self.state.chosen.ballot if self.state.chosen else NO_BALLOT

    @property
    def accepted_ballot(self) -> Ballot:
        """Ballot of the proposal that was accepted last; `NO_BALLOT` before the first."""
        return self.state.accepted.ballot if self.state.accepted else NO_BALLOT

    # Bodies.

    def body_of(self, digest: str) -> Body | None:
        """Return the body with this digest; None if neither the chosen nor the accepted proposal has it."""
        for proposal in (self.state.chosen, self.state.accepted):
            if proposal is not None and proposal.value.digest == digest:
                return proposal.body
        return None

    def _resolve_body(self, message: Accept | Chosen) -> Body | None:
        """Return the body of a message's value: the local copy, the full body sent, or the delta's result.

        None if none of them gives the body with the value's digest.

        Raises
        ------
        RemoteProtocolError
            The digest of the full body sent differs from the one that the value names.
        """
        if message.value is None:
            return None
        digest = message.value.digest
        body = self.body_of(digest)
        if body is not None:
            return body
        if message.full_body is not None:
            if digest_of(message.full_body) != digest:
                raise RemoteProtocolError("wrong-body", "consensus", f"the body's digest is not {digest}")
            return message.full_body
        if message.delta is None:
            return None
        return self._apply_delta(message.delta, digest)

    def _apply_delta(self, delta: BodyDelta, digest: str) -> Body | None:
        body = self.body_of(delta.base_digest)
        for operation in delta.operations:
            if body is not None:
                body = self.apply(body, operation).body
        return body if body is not None and digest_of(body) == digest else None

    def _on_body_request(self, ip: str, message: BodyRequest) -> None:
        body = self.body_of(message.digest)
        if body is not None:
            self._send(ip, BodyReply(message.digest, body))

    # What is chosen.

    def learn_accepted_by(self, incarnations: Iterable[Incarnation]) -> None:
        """Learn that these incarnations accepted the same ballot as this node: with a quorum it is chosen."""
        accepted = self.state.accepted
        if accepted is None or accepted.ballot <= self.chosen_ballot:
            return
        accepted_by = list(incarnations)
        if not (self.must_sync or self.disk_failed):
            accepted_by.append(self.incarnation)
        if accepted.value.has_quorum(accepted_by):
            self._learn_chosen(accepted, self.deltas.get(accepted.ballot))

    def _on_chosen(self, ip: str, message: Chosen) -> None:
        accepted = self.state.accepted
        if message.ballot <= self.chosen_ballot:
            return
        if accepted is not None and accepted.ballot == message.ballot:
            self._learn_chosen(accepted, self.deltas.get(message.ballot))
            return
        if self.unsaved is not None and self.unsaved.proposal.ballot == message.ballot:
            self._learn_chosen(self.unsaved.proposal, self.unsaved.delta)
            return
        body = self._resolve_body(message)
        if message.value is None or body is None:
            self.request_catch_up(ip)
            return
        self._learn_chosen(Proposal(message.ballot, message.value, body), message.delta)

    def _learn_chosen(self, proposal: Proposal, delta: BodyDelta | None) -> None:
        """Record a proposal as chosen, and as accepted too, so that one more disk has it.

        An older proposal is ignored: replies to a round of this node may arrive after a later ballot became
        known as chosen.
        """
        if proposal.ballot <= self.chosen_ballot:
            return
        before = self.state.chosen
        self.state.chosen = proposal
        self.may_sync_later = True
        self.chosen_learned_at = self.now
        if self.accepted_ballot < proposal.ballot:
            self.state.accepted = proposal
            self.state.promised = max(self.state.promised, proposal.ballot)
        self.deltas = {ballot: other for ballot, other in self.deltas.items() if ballot > proposal.ballot}
        self._record_change(before, proposal, delta)

    def _record_change(self, before: Proposal | None, proposal: Proposal, delta: BodyDelta | None) -> None:
        """Append the change of the chosen body, one entry per operation where the delta continues it."""
        version = proposal.value.version
        if before is None:
            self.changes.append(BodyChange(-1, version, None))
            return
        base_version = before.value.version
        if version <= base_version:
            return
        continues = (
            delta is not None
            and delta.base_digest == before.value.digest
            and base_version + len(delta.operations) == version
        )
        if delta is None or not continues:
            self.changes.append(BodyChange(base_version, version, None))
            self.recent_changes.clear()
            return
        for offset, operation in enumerate(delta.operations):
            self.changes.append(BodyChange(base_version + offset, base_version + offset + 1, operation))
        self.recent_changes.add(delta.base_digest, delta.operations, proposal.value.digest)

    # Catching up.

    def request_catch_up(self, ip: str) -> None:
        """Ask a node for its newest chosen value, unless another request is still within its time-out.

        Only one peer is asked at a time: a reply may be a full body, which takes long to transfer, and the
        replies of the other peers would be the same. Once the time-out has passed, the next call may ask
        another node. The time-out doubles with each attempt, at most `MAX_CATCH_UP_DOUBLINGS` times.
        """
        if self.catch_up.chosen_ballot != self.chosen_ballot:
            self.catch_up = CatchUpProgress(self.chosen_ballot, self.now)
        if self.catch_up.attempts:
            doublings = min(MAX_CATCH_UP_DOUBLINGS, self.catch_up.attempts - 1)
            wait_ns = (self.timeouts.read_interval_ns // 2) << doublings
            if self.now - self.catch_up.requested_at < wait_ns:
                return
        self.catch_up.requested_at = self.now
        self.catch_up.attempts += 1
        proposals = (self.state.chosen, self.state.accepted)
        digests = [proposal.value.digest for proposal in proposals if proposal is not None]
        self._send(ip, CatchUpRequest(self.chosen_ballot, digests))

    def _on_catch_up_request(self, ip: str, message: CatchUpRequest) -> None:
        """Reply with the newest value: without its body, with a delta, or with the full body.

        The shortest form is used that the bodies known to the peer allow.
        """
        chosen = self.state.chosen
        if chosen is None or chosen.ballot <= message.chosen_ballot:
            return
        if chosen.value.digest in message.known_digests:
            self._send(ip, Chosen(chosen.ballot, chosen.value))
            return
        delta = self.recent_changes.delta(message.known_digests, chosen.value.digest)
        # The peer asked again from the same ballot, so it could not use the delta: send the full body.
        if delta is None or self.delta_sent_for.get(ip) == message.chosen_ballot:
            self._send(ip, Chosen(chosen.ballot, chosen.value, full_body=chosen.body))
            return
        self.delta_sent_for[ip] = message.chosen_ballot
        self._send(ip, Chosen(chosen.ballot, chosen.value, delta))

    # Sending.

    def _send(self, ip: str, message: Message) -> None:
        if ip == self.own_ip:
            self.loopback.append(message)
        else:
            self.outbox.append(OutgoingMessage(ip, message))
