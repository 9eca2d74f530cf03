"""A register that a majority of the voters agrees on (Rystsov's CASPaxos): no log, no leader, no I/O.

Each change is a round of Lamport's Synod protocol: the prepare phase learns from a majority what was
accepted, the proposer applies the change to it, and the accept phase proposes the result to a majority.
Ballots order the rounds: an acceptor that has promised a ballot rejects all lower ones. Promises and
acceptances are synced to disk before they are sent.

| phase of a round | event | next phase |
| --- | --- | --- |
| IDLE | a change is pending | PREPARING |
| PREPARING | a quorum of the latest value has promised; it is chosen and does not change | IDLE |
| PREPARING | the same, but it changes, or it is not known whether it was chosen | ACCEPTING |
| ACCEPTING | a quorum of the new value has accepted: it is chosen, all nodes are notified | IDLE |
| PREPARING, ACCEPTING | rejected, or no quorum within `timeouts.phase_ns` | BACKING_OFF |
| BACKING_OFF | the delay is over | IDLE |

Voters are incarnations of machines: a machine with an empty disk is another voter. The voters are changed in
two steps, as in the joint consensus of Raft. A round may start from a value that some voters accepted and
that was never chosen, and two such values may name voters whose majorities do not intersect. So a value first
names both the voters and the outgoing voters, and a majority of each group has to accept it. The next value
drops the outgoing voters only when the joint value is known as chosen. So the quorums of consecutive values
always intersect, however old the knowledge of the proposer is. A proposer also sends `Prepare` to voters that
it learns of during the round.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from pepperrun.consensus.acceptor import Acceptor
from pepperrun.consensus.messages import (
    Accept,
    Accepted,
    BodyDelta,
    BodyNeeded,
    BodyReply,
    BodyRequest,
    Chosen,
    Message,
    Prepare,
    Promise,
    Rejected,
)
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
    Value,
    digest_of,
)
from pepperrun.consensus.timeouts import Timeouts

MAX_BACKOFF_DOUBLINGS = 4
MAX_OPERATIONS_PER_ROUND = 4  # each may be a whole configuration

# Returns the value with its voters and coordinator updated, or the same value if they are right. The second
# argument says whether the value is known as chosen.
VoterPlan = Callable[[Value, bool], Value]


class FailureReason(enum.Enum):
    """Why the outcome of a change is not known."""

    NO_QUORUM = "no-quorum"
    TIMED_OUT = "timed-out"


class ChangeResult(NamedTuple):
    """The outcome of a change.

    Attributes
    ----------
    token : int
        The token that `Register.submit` returned.
    verdict : any JSON, or None
        Verdict of the operation. None if the outcome is not known: the operation may have been applied or
        not, for the reason `failure`.
    version : int
        Version of the body with the change, or of the body that refused it.
    failure : FailureReason or None
        Set if the outcome is not known.
    """

    token: int
    verdict: Any
    version: int
    failure: FailureReason | None = None


class Phase(enum.Enum):
    """Phase of the round that this node proposes; the module's table lists the transitions."""

    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"
    BACKING_OFF = "backing off"


@dataclass(slots=True)
class PendingChange:
    """An operator's change that waits for a round, at most until `deadline`."""

    token: int
    operation: Operation
    deadline: int


class ReceivedPromise(NamedTuple):
    """The promise of one node in the round; `value` is None if that node has accepted nothing."""

    disk_id: str
    accepted_ballot: Ballot
    value: Value | None


@dataclass(slots=True)
class Round:
    """A round that this node proposes.

    Attributes
    ----------
    ballot : Ballot
        Ballot of all messages of the round.
    last_token : int
        Last token issued when the round started. The promises of the round say nothing about later changes.
    prepare_sent : set of str
        Ips to which `Prepare` was sent.
    promises : dict of str to ReceivedPromise
        Received promises by ip.
    fetching_digest, fetched_body
        Digest of a body that was requested from a peer, and the body once it has arrived.
    proposal, base_digest, operations
        The value proposed, the digest of the body that it is based on, and the operations applied to that.
    evaluated : list of ChangeResult
        Results that become final when the round succeeds.
    accept_sent : set of str
        Ips to which `Accept` was sent.
    accepted_by : set of Incarnation
        Incarnations that have the proposal on their disks.
    """

    ballot: Ballot
    last_token: int = 0
    prepare_sent: set[str] = field(default_factory=set)
    promises: dict[str, ReceivedPromise] = field(default_factory=dict)
    fetching_digest: str = ""
    fetched_body: Body | None = None
    proposal: Proposal | None = None
    base_digest: str = ""
    operations: list[Operation] = field(default_factory=list)
    evaluated: list[ChangeResult] = field(default_factory=list)
    accept_sent: set[str] = field(default_factory=set)
    accepted_by: set[Incarnation] = field(default_factory=set)

    def promised_by(self) -> list[Incarnation]:
        """Incarnations that have promised the ballot of the round."""
        return [Incarnation(ip, promise.disk_id) for ip, promise in self.promises.items()]

    def accepted_at(self, ballot: Ballot) -> list[Incarnation]:
        """Incarnations whose promise names `ballot` as the last ballot that they accepted."""
        return [
            Incarnation(ip, promise.disk_id)
            for ip, promise in self.promises.items()
            if promise.accepted_ballot == ballot
        ]

    def delta(self) -> BodyDelta:
        """Return the delta from the base body to the body of the proposal."""
        return BodyDelta(self.base_digest, self.operations)


class _Latest(NamedTuple):
    """The latest value known in the round, and the ballot at which it was accepted."""

    ballot: Ballot
    value: Value


def _keep_voters(value: Value, is_chosen: bool) -> Value:
    return value


class Register(Acceptor):
    """One node of the register: proposer, acceptor and learner.

    Submit changes, feed it messages and the time; `flush`, then send `outbox` and read `results`.
    `plan_voters` may be replaced; it may depend only on the local knowledge of this node.
    """

    def __init__(
        self,
        own_ip: str,
        state: DurableState,
        store: StateStore,
        apply: Apply,
        *,
        seed: int,
        now: int,
        timeouts: Timeouts | None = None,
    ) -> None:
        super().__init__(own_ip, state, store, apply, now, timeouts or Timeouts())
        self.rng = random.Random(seed)
        self.proposer_id = f"{own_ip}/{state.disk_id}/{state.starts}"
        self.plan_voters: VoterPlan = _keep_voters
        self.phase = Phase.IDLE
        self.phase_ends_at = now
        self.round = Round(NO_BALLOT)
        self.rejections = 0
        self.pending: list[PendingChange] = []
        self.last_token = 0
        self.observers: set[str] = set()  # ips notified of chosen values besides the voters
        self.results: list[ChangeResult] = []

    # Changes and time.

    def submit(self, operation: Operation, deadline: int) -> int:
        """Queue a change for the next round; return the token under which its result is reported."""
        self.last_token += 1
        self.pending.append(PendingChange(self.last_token, operation, deadline))
        return self.last_token

    def fail_pending(self, failure: FailureReason) -> None:
        """Fail all pending changes. A change whose round is in progress may still be chosen or not."""
        self._fail(self.pending, failure)
        self.pending = []

    def _fail(self, changes: Iterable[PendingChange], failure: FailureReason) -> None:
        version = self.state.chosen.value.version if self.state.chosen else -1
        self.results += [ChangeResult(change.token, None, version, failure) for change in changes]

    def next_tick_at(self) -> int | None:
        """When `tick` must be called at the latest; None while no deadline is pending."""
        times = [change.deadline for change in self.pending]
        if self.phase is not Phase.IDLE:
            times.append(self.phase_ends_at)
        return min(times, default=None)

    def tick(self, now: int) -> None:
        """Fail changes past their deadline, and end a phase that has exceeded its time."""
        self.now = now
        expired = [change for change in self.pending if change.deadline <= now]
        if expired:
            self.pending = [change for change in self.pending if change.deadline > now]
            self._fail(expired, FailureReason.TIMED_OUT)
        if self.phase is Phase.IDLE or now < self.phase_ends_at:
            return
        if self.phase is Phase.BACKING_OFF:
            self.phase = Phase.IDLE
        else:
            self._back_off()

    # The proposer's phases.

    def start_round(self, now: int) -> None:
        """Start a round. Does nothing while a round is in progress or no value is known to start from."""
        self.now = now
        known = [proposal for proposal in (self.state.chosen, self.state.accepted) if proposal is not None]
        if self.phase is not Phase.IDLE or not known:
            return
        round_number = max(self.highest_ballot.round, self.state.promised.round) + 1
        self.highest_ballot = Ballot(round_number, self.proposer_id)
        self.round = Round(self.highest_ballot, self.last_token)
        self.phase = Phase.PREPARING
        self.phase_ends_at = now + self.timeouts.phase_ns
        for proposal in known:
            self._send_prepare(proposal.value)

    def _send_prepare(self, value: Value) -> None:
        for ip in sorted(value.voter_ips - self.round.prepare_sent):
            self.round.prepare_sent.add(ip)
            self._send(ip, Prepare(self.round.ballot))

    def _on_reply(self, ip: str, message: Message) -> None:
        match message:
            case BodyReply():
                self._on_body_reply(message)
            case Promise() | Accepted() | BodyNeeded() | Rejected() if message.ballot == self.round.ballot:
                self._on_round_reply(ip, message)

    def _on_round_reply(self, ip: str, message: Promise | Accepted | BodyNeeded | Rejected) -> None:
        match message:
            case Rejected():
                in_progress = self.phase in (Phase.PREPARING, Phase.ACCEPTING)
                if in_progress and message.promised > message.ballot:
                    self._back_off()
            case Promise() if self.phase is Phase.PREPARING:
                self._on_promise(ip, message)
            case BodyNeeded() if self.phase is Phase.ACCEPTING and self.round.proposal is not None:
                proposal = self.round.proposal
                self._send(ip, Accept(proposal.ballot, proposal.value, full_body=proposal.body))
            case Accepted() if self.phase is Phase.ACCEPTING:
                self.round.accepted_by.add(Incarnation(ip, message.disk_id))
                self._choose_if_quorum_accepted()

    def body_of(self, digest: str) -> Body | None:
        """Return the body with this digest, if it is stored here or was fetched in this round, else None."""
        body = super().body_of(digest)
        if body is None and self.round.fetching_digest == digest:
            return self.round.fetched_body
        return body

    def _on_promise(self, ip: str, message: Promise) -> None:
        accepted_ballot = NO_BALLOT if message.accepted_ballot is None else message.accepted_ballot
        promise = ReceivedPromise(message.disk_id, accepted_ballot, message.accepted_value)
        self.round.promises[ip] = promise
        if promise.value is not None:
            self._send_prepare(promise.value)
        self._propose_if_quorum_promised()

    def _latest(self) -> _Latest | None:
        """Return the latest value among those in the promises and the one known as chosen here."""
        chosen = self.state.chosen
        latest = None if chosen is None else _Latest(chosen.ballot, chosen.value)
        for promise in self.round.promises.values():
            if promise.value is None:
                continue
            if latest is None or promise.accepted_ballot > latest.ballot:
                latest = _Latest(promise.accepted_ballot, promise.value)
        return latest

    def _propose_if_quorum_promised(self) -> None:
        """Enter the accept phase once a quorum of the latest value has promised and its body is here.

        If the body is missing, request it from a node that accepted the value.
        """
        latest = self._latest()
        if latest is None or not latest.value.has_quorum(self.round.promised_by()):
            return
        acceptors = self.round.accepted_at(latest.ballot)
        is_chosen = latest.ballot <= self.chosen_ballot or latest.value.has_quorum(acceptors)
        body = self.body_of(latest.value.digest)
        if body is not None:
            self._evaluate(Proposal(latest.ballot, latest.value, body), is_chosen)
        elif self.round.fetching_digest != latest.value.digest:
            self.round.fetching_digest = latest.value.digest
            self._send(acceptors[0].ip, BodyRequest(latest.value.digest))

    def _on_body_reply(self, message: BodyReply) -> None:
        if self.phase is not Phase.PREPARING or self.round.fetching_digest != message.digest:
            return
        if digest_of(message.body) != message.digest:
            return
        latest = self._latest()
        if latest is not None and latest.value.digest == message.digest:
            self.round.fetched_body = message.body
            self._propose_if_quorum_promised()

    def _evaluate(self, base: Proposal, is_chosen: bool) -> None:
        """Apply pending changes and `plan_voters` to the latest value, and propose the result if needed."""
        body = self._evaluate_pending(base)
        value = self.plan_voters(base.value, is_chosen)
        if self.round.operations:
            version = base.value.version + len(self.round.operations)
            value = replace(value, version=version, digest=digest_of(body))
        if is_chosen and value == base.value:
            self._finish_unchanged(base)
        else:
            self._propose(Proposal(self.round.ballot, value, body), base.value.digest)

    def _evaluate_pending(self, base: Proposal) -> Body:
        """Evaluate up to `MAX_OPERATIONS_PER_ROUND` pending changes in order; return the resulting body."""
        body = base.body
        for change in self.pending[:MAX_OPERATIONS_PER_ROUND]:
            evaluation = self.apply(body, change.operation)
            if evaluation.body is not None:
                body = evaluation.body
                self.round.operations.append(change.operation)
            version = base.value.version + len(self.round.operations)
            self.round.evaluated.append(ChangeResult(change.token, evaluation.verdict, version))
        return body

    def _finish_unchanged(self, base: Proposal) -> None:
        """End the round after the prepare phase: the latest value is chosen and does not change."""
        if base.ballot > self.chosen_ballot:
            self._learn_chosen(base, self.deltas.get(base.ballot))
            self._broadcast(Chosen(base.ballot), self.round.prepare_sent)
        # A change submitted during the round may be newer than the promises: the next round evaluates it.
        last_token = self.round.last_token
        self.round.evaluated = [result for result in self.round.evaluated if result.token <= last_token]
        self._finish_round()

    def _propose(self, proposal: Proposal, base_digest: str) -> None:
        self.round.proposal = proposal
        self.round.base_digest = base_digest
        self.round.accept_sent = proposal.value.voter_ips
        self.phase = Phase.ACCEPTING
        self.phase_ends_at = self.now + self.timeouts.phase_ns
        accept = Accept(proposal.ballot, proposal.value, self.round.delta())
        self._broadcast(accept, self.round.accept_sent)

    def _choose_if_quorum_accepted(self) -> None:
        proposal = self.round.proposal
        if proposal is None or not proposal.value.has_quorum(self.round.accepted_by):
            return
        delta = self.round.delta()
        self._learn_chosen(proposal, delta)
        accept_sent = self.round.accept_sent - {self.own_ip}
        self._broadcast(Chosen(proposal.ballot), accept_sent)
        others = (self.observers | self.round.prepare_sent) - accept_sent - {self.own_ip}
        self._broadcast(Chosen(proposal.ballot, proposal.value, delta), others)
        self._finish_round()

    def _finish_round(self) -> None:
        """End a successful round: the results of the changes that it evaluated are final."""
        self.phase = Phase.IDLE
        self.rejections = 0
        pending = {change.token for change in self.pending}
        self.results += [result for result in self.round.evaluated if result.token in pending]
        finished_tokens = {result.token for result in self.round.evaluated}
        self.pending = [change for change in self.pending if change.token not in finished_tokens]

    def _back_off(self) -> None:
        self.phase = Phase.BACKING_OFF
        min_delay_ns = self.timeouts.backoff_ns << min(MAX_BACKOFF_DOUBLINGS, self.rejections)
        self.rejections += 1
        self.phase_ends_at = self.now + min_delay_ns + int(min_delay_ns * self.rng.random())

    def _broadcast(self, message: Message, ips: Iterable[str]) -> None:
        for ip in sorted(ips):
            self._send(ip, message)
