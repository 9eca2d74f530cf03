"""The learner: which value is chosen, how its body changed, and how a node catches up with others. No I/O.

Messages go to `outbox`, those of a node to itself to `loopback`: both may be used only after `flush` has
synced what they rest on.
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

MAX_CATCH_UP_DOUBLINGS = 3  # of the wait for an answer to a `CatchUpRequest`


class OutgoingMessage(NamedTuple):
    """A message and the ip of the node that it goes to."""

    ip: str
    message: Message


class BodyChange(NamedTuple):
    """The chosen body went from `base_version` to `version`.

    `operation` is None where it was not one known operation: the body itself has to be taken.
    """

    base_version: int
    version: int
    operation: Operation | None


class UnsavedProposal(NamedTuple):
    """A proposal that could not be saved, and how its body came about."""

    proposal: Proposal
    delta: BodyDelta | None


@dataclass(slots=True)
class CatchUp:
    """The last request to catch up: from which chosen ballot, when, and how often from there."""

    chosen_ballot: Ballot
    requested_at: int
    attempts: int = 0


class Learner:
    """What one node knows as chosen. Give it messages; read `outbox` and `changes` after a `flush`.

    Attributes
    ----------
    state : DurableState
        As it is in memory; what of it is synced is told by `must_sync` and `may_sync_later`.
    highest_ballot : Ballot
        Of all that were received.
    disk_failed : bool
        The last save failed: nothing is promised or accepted until one succeeds.
    deltas : dict of Ballot to BodyDelta
        How the bodies of proposals that were accepted and are not yet chosen came about.
    unsaved : UnsavedProposal or None
        What this node was asked to accept while its disk failed.
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
        self.chosen_since = now
        self.highest_ballot = max(state.promised, self.accepted_ballot)
        self.deltas: dict[Ballot, BodyDelta] = {}
        self.unsaved: UnsavedProposal | None = None
        self.recent_changes = RecentChanges()
        self.catch_up = CatchUp(NO_BALLOT, now)
        # By ip, the chosen ballot to which a delta was sent last.
        self.delta_sent_for: dict[str, Ballot] = {}
        self.loopback: list[Message] = []
        self.outbox: list[OutgoingMessage] = []
        self.changes: list[BodyChange] = []

    @property
    def incarnation(self) -> Incarnation:
        """The node itself as a voter."""
        return Incarnation(self.own_ip, self.state.disk_id)

    @property
    def chosen_ballot(self) -> Ballot:
        """Ballot of the newest proposal known as chosen."""
        return self.state.chosen.ballot if self.state.chosen else NO_BALLOT

    @property
    def accepted_ballot(self) -> Ballot:
        """Ballot of the proposal that was accepted last."""
        return self.state.accepted.ballot if self.state.accepted else NO_BALLOT

    # Bodies.

    def body_of(self, digest: str) -> Body | None:
        """Return the body with this digest, where it is here."""
        for proposal in (self.state.chosen, self.state.accepted):
            if proposal is not None and proposal.value.digest == digest:
                return proposal.body
        return None

    def _resolve_body(self, message: Accept | Chosen) -> Body | None:
        """Return the body of a message's value: one that is here, the full one sent, or made by the delta.

        Raises
        ------
        RemoteProtocolError
            The full body sent has another digest than the value names.
        """
        if message.value is None:
            return None
        digest = message.value.digest
        body = self.body_of(digest)
        if body is not None:
            return body
        if message.full_body is not None:
            if digest_of(message.full_body) != digest:
                raise RemoteProtocolError("wrong-body", "consensus", f"not of digest {digest}")
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
        """Learn that these have all accepted what was accepted last here: with a quorum it is chosen."""
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
        """Keep a proposal as chosen, and as accepted: one more disk that has it.

        What is known never goes back: replies to a round of this node may come late, when a later ballot is
        known as chosen already.
        """
        if proposal.ballot <= self.chosen_ballot:
            return
        before = self.state.chosen
        self.state.chosen = proposal
        self.may_sync_later = True
        self.chosen_since = self.now
        if self.accepted_ballot < proposal.ballot:
            self.state.accepted = proposal
            self.state.promised = max(self.state.promised, proposal.ballot)
        self.deltas = {ballot: kept for ballot, kept in self.deltas.items() if ballot > proposal.ballot}
        self._record_change(before, proposal, delta)

    def _record_change(self, before: Proposal | None, proposal: Proposal, delta: BodyDelta | None) -> None:
        """Note how the chosen body changed, operation by operation where the delta tells."""
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
        """Ask a node for what it knows as chosen: one node at a time, the next where that one is silent.

        Each answer may be a full body, which takes its time on the way, and all others have the same.
        """
        if self.catch_up.chosen_ballot != self.chosen_ballot:
            self.catch_up = CatchUp(self.chosen_ballot, self.now)
        if self.catch_up.attempts:
            doublings = min(MAX_CATCH_UP_DOUBLINGS, self.catch_up.attempts - 1)
            wait_ns = (self.timeouts.read_interval_ns // 2) << doublings
            if self.now - self.catch_up.requested_at < wait_ns:
                return
        self.catch_up.requested_at = self.now
        self.catch_up.attempts += 1
        held = (self.state.chosen, self.state.accepted)
        digests = [proposal.value.digest for proposal in held if proposal is not None]
        self._send(ip, CatchUpRequest(self.chosen_ballot, digests))

    def _on_catch_up_request(self, ip: str, message: CatchUpRequest) -> None:
        """Answer with the newest value, its body as short as the bodies that the other holds allow."""
        chosen = self.state.chosen
        if chosen is None or chosen.ballot <= message.chosen_ballot:
            return
        if chosen.value.digest in message.held_digests:
            self._send(ip, Chosen(chosen.ballot, chosen.value))
            return
        delta = self.recent_changes.delta(message.held_digests, chosen.value.digest)
        # Asked again from the same ballot, it could make nothing of the delta: then the full body.
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
