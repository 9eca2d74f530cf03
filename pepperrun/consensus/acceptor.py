"""The acceptor: promises and accepts, and keeps both over power failures. No I/O but `StateStore.save`.

A promise or an acceptance is synced to disk before any node receives it: `flush` saves the state, and the
outgoing messages are sent after that. Messages of a node to itself are handled only after the sync as well.
"""

from __future__ import annotations

from pepperrun.consensus.learner import Learner, UnsavedProposal
from pepperrun.consensus.messages import (
    Accept,
    Accepted,
    BodyDelta,
    BodyNeeded,
    BodyRequest,
    CatchUpRequest,
    Chosen,
    Message,
    Prepare,
    Promise,
    Rejected,
)
from pepperrun.consensus.state import Ballot, Proposal
from pepperrun.foundation.errors import StorageError
from pepperrun.foundation.logs import event, log_error


class Acceptor(Learner):
    """One node as an acceptor and learner."""

    def receive(self, ip: str, message: Message, now: int) -> None:
        """Handle a message from the node `ip`, which may be this one.

        Raises
        ------
        RemoteProtocolError
            The digest of a body differs from the digest that its value names.
        """
        self.now = now
        self._observe_ballots(message)
        match message:
            case Prepare():
                self._on_prepare(ip, message)
            case Accept():
                self._on_accept(ip, message)
            case Chosen():
                self._on_chosen(ip, message)
            case CatchUpRequest():
                self._on_catch_up_request(ip, message)
            case BodyRequest():
                self._on_body_request(ip, message)
            case _:
                self._on_reply(ip, message)

    def _observe_ballots(self, message: Message) -> None:
        """Record the highest ballot received, so that the next round of this node uses a higher one."""
        match message:
            case Prepare() | Accept() | Accepted() | BodyNeeded() | Chosen():
                self.highest_ballot = max(self.highest_ballot, message.ballot)
            case Promise():
                accepted_ballot = message.accepted_ballot or message.ballot
                self.highest_ballot = max(self.highest_ballot, message.ballot, accepted_ballot)
            case Rejected():
                self.highest_ballot = max(self.highest_ballot, message.ballot, message.promised)

    def _on_reply(self, ip: str, message: Message) -> None:
        """Handle a reply to a round of this node. The proposer overrides this method."""

    # Any node answers, voter or not. A reply names the sender's incarnation, and whoever counts the replies
    # checks whether that incarnation votes.

    def _on_prepare(self, ip: str, message: Prepare) -> None:
        state = self.state
        if self.disk_failed:
            return
        if self._reject_if_below_promise(ip, message.ballot):
            return
        if message.ballot > state.promised:
            state.promised = message.ballot
            self.must_sync = True
        if state.accepted is None:
            self._send(ip, Promise(message.ballot, state.disk_id))
        else:
            accepted = state.accepted
            self._send(ip, Promise(message.ballot, state.disk_id, accepted.ballot, accepted.value))

    def _on_accept(self, ip: str, message: Accept) -> None:
        if not any(self.incarnation in group for group in message.value.voter_groups):
            return
        if self.disk_failed:
            self._remember_unsaved(message)
            return
        if self._reject_if_below_promise(ip, message.ballot):
            return
        self.must_sync |= self.may_sync_later
        if self.accepted_ballot < message.ballot:
            body = self._resolve_body(message)
            if body is None:
                self._send(ip, BodyNeeded(message.ballot))
                return
            self.state.promised = message.ballot
            self.state.accepted = Proposal(message.ballot, message.value, body)
            self.must_sync = True
            self.deltas = {message.ballot: message.delta or BodyDelta("", [])}
        self._send(ip, Accepted(message.ballot, self.state.disk_id))

    def _reject_if_below_promise(self, ip: str, ballot: Ballot) -> bool:
        if ballot >= self.state.promised:
            return False
        self._send(ip, Rejected(ballot, self.state.promised))
        return True

    def _remember_unsaved(self, message: Accept) -> None:
        """Keep a proposal that can't be saved: if it is chosen, a `Chosen` with only its ballot is enough."""
        body = self._resolve_body(message)
        if body is not None:
            proposal = Proposal(message.ballot, message.value, body)
            self.unsaved = UnsavedProposal(proposal, message.delta)

    # Syncing.

    def flush(self, *, include_deferred: bool = False) -> None:
        """Sync the state that outgoing messages depend on, then handle loopback messages, until none is left.

        If the save fails, promises and acceptances that depend on it are dropped. The node then promises and
        accepts nothing until a flush with `include_deferred` saves the state successfully.

        Parameters
        ----------
        include_deferred : bool
            Sync also changes whose sync may be deferred, and retry after a failed save.
        """
        while True:
            required = self.must_sync and not self.disk_failed
            deferred = include_deferred and (self.may_sync_later or self.disk_failed)
            if required or deferred:
                self._save()
            if not self.loopback:
                return
            loopback = self.loopback
            self.loopback = []
            for message in loopback:
                self.receive(self.own_ip, message, self.now)

    def _save(self) -> None:
        try:
            self.store.save(self.state)
        except StorageError as error:
            self._on_disk_failure(error)
            return
        if self.disk_failed:
            event("disk-recovered", ip=self.own_ip)  # the complete state was written: this node votes again
        self.must_sync = False
        self.may_sync_later = False
        self.disk_failed = False
        self.unsaved = None

    def _on_disk_failure(self, error: StorageError) -> None:
        if not self.disk_failed:
            log_error(error)
        self.disk_failed = True
        self.loopback = []
        self.outbox = [
            outgoing for outgoing in self.outbox if not isinstance(outgoing.message, Promise | Accepted)
        ]
