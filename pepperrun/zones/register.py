"""One value that a majority of the voters agrees on, changed in numbered steps. No leader, no disk, no I/O.

Each change is a round of its own (Lamport's Synod protocol used as a register: Rystsov's CASPaxos). The
prepare phase learns from a majority what it has accepted, the proposer changes that, and the accept phase
proposes the result to a majority. Ballots order the rounds: a voter that has promised a ballot rejects all
lower ones. The code follows this table:

| phase of a round | event | next phase |
| --- | --- | --- |
| IDLE | a change is submitted, or a voter asks to join | PREPARING |
| PREPARING | a majority has promised, and nothing is to be changed | IDLE |
| PREPARING | a majority has promised | ACCEPTING |
| PREPARING | a majority has no state, for `BOOTSTRAP_AFTER_NS` | ACCEPTING, in a new epoch |
| ACCEPTING | a majority has accepted the value: it is chosen, all are notified | IDLE |
| PREPARING, ACCEPTING | rejected, or no majority within `PHASE_TIMEOUT_NS` | BACKING_OFF |
| BACKING_OFF | the delay is over | IDLE |

A voter has no state after a restart, so each of its incarnations is another voter. The value names the
incarnations that vote, and each round lets at most one restarted voter join. A promise or an acceptance
counts only if the value names the incarnation that sent it, and the incarnation that joins does not count in
the round that lets it join. So a late answer of a previous incarnation counts for no value chosen after that
round. Incarnation numbers increase. Only if a majority has lost its state is there a bootstrap, in a higher
epoch. State that some voters still have is kept in it; state of voters that do not answer is void.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from pepperrun.core.clock import SECOND

PHASE_TIMEOUT_NS = SECOND // 4  # for each phase of a round: more than twice the longest delay between regions
MIN_BACKOFF_NS = SECOND // 10  # after a rejection; random up to twice this, doubled with each rejection
MAX_BACKOFF_DOUBLINGS = 4
JOIN_INTERVAL_NS = SECOND // 2  # between two requests to join
FIRST_VERSION = 1  # version of a bootstrap for which no voter has earlier state
BOOTSTRAP_AFTER_NS = 2 * SECOND  # a majority has had no state for so long: no other voter can be asked


class Ballot(NamedTuple):
    """Proposal number: ordered by epoch, then by round, then by the number of the proposer."""

    epoch: int
    round: int
    proposer: int


NO_BALLOT = Ballot(0, 0, -1)


class Value(NamedTuple):
    """The agreed value.

    `version` increases by one with each change. `incarnations` are those of the voters that vote (0: none).
    `is_bootstrap`: a majority had lost the state before this value.
    """

    version: int
    incarnations: tuple[int, ...]
    body: Any = None
    is_bootstrap: bool = False


class Kind(enum.IntEnum):
    """Kind of a message.

    The seeded searches of the lab sort messages by these names, so a new name changes what a seed finds.
    """

    ASK_PROMISE = 0  # prepare
    PROMISE = 1  # with the value that was accepted last
    BLANK_PROMISE = 2  # a promise of a voter without state, which does not count as a vote
    PROPOSE = 3  # accept
    VALUE_ACCEPTED = 4  # accepted
    REJECTED = 5  # with the higher ballot that was promised
    CHOSEN = 6  # notifies of a chosen value
    JOIN = 7  # asks to let this incarnation join


class Message(NamedTuple):
    """A message between two voters.

    `ballot` is that of the round, `incarnation` the sender's. `reported_ballot` is the ballot at which
    `value` was accepted or, in a rejection, the one that was promised.
    """

    kind: Kind
    ballot: Ballot
    incarnation: int
    reported_ballot: Ballot = NO_BALLOT
    value: Value | None = None


class Phase(enum.Enum):
    """Phase of the round that this voter proposes; the module's table lists the transitions."""

    IDLE = "idle"  # proposes nothing
    PREPARING = "asking"  # waits for promises of a majority
    ACCEPTING = "putting"  # waits for acceptances of a majority
    BACKING_OFF = "waiting"  # waits before the next round


@dataclass(slots=True)
class Round:
    """A round that this voter proposes."""

    ballot: Ballot
    promises: dict[int, Message] = field(default_factory=dict)  # of voters with state, by voter
    without_state: dict[int, Message] = field(default_factory=dict)  # promises of voters without state
    proposed: Value | None = None  # sent for acceptance; None before that
    accepted: dict[int, int] = field(default_factory=dict)  # incarnations that accepted, by voter


Change = Callable[[Any], Any]  # returns the changed body


class Register:
    """One of `voter_count` voters, in an incarnation of 1 or more; its state is in memory only.

    `voter_count` is the fixed number of seats; `is_voter` tells whether this incarnation of a seat may vote.

    The caller passes in messages and the time, sends what `take_outgoing` returns, and reads `chosen_value`.
    `change` gets the current body and returns the wanted one, the same body for no change. One change
    may be called several times, with different bodies: in each round that proposes it, and again on the value
    chosen. So it must have no side effects, must leave its argument as it is, and must return its argument
    once its effect is part of the body, which ends the repetition. It may read the state of this voter only.
    """

    def __init__(self, own_number: int, voter_count: int, incarnation: int, seed: int, now: int) -> None:
        self.own_number, self.voter_count, self.incarnation = own_number, voter_count, incarnation
        self.rng = random.Random(seed)
        self.promised, self.accepted_ballot = NO_BALLOT, NO_BALLOT
        self.accepted_value: Value | None = None  # perhaps not chosen
        self.chosen_ballot, self.chosen_value = NO_BALLOT, Value(0, (0,) * voter_count)
        self.phase, self.round, self.phase_ends_at, self.rejections = Phase.IDLE, Round(NO_BALLOT), now, 0
        self.joining: dict[int, int] = {}  # incarnations that ask to join, by voter
        self.next_join_at, self.stateless_since = now, now
        self.highest_ballot = NO_BALLOT  # in any message received
        self.change: Change | None = None
        self.outgoing: list[tuple[int, Message]] = []

    # Interface to the caller.

    @property
    def is_voter(self) -> bool:
        """Whether the chosen value names this incarnation, which therefore has state and votes."""
        return self.chosen_value.incarnations[self.own_number] == self.incarnation

    def is_majority(self, number: int) -> bool:
        """Whether `number` is a majority of all voters, including those that have not joined."""
        return 2 * number > self.voter_count

    def submit(self, change: Change, now: int) -> None:
        """Submits a change. A round for it starts as soon as this voter proposes no other."""
        self.change = change
        self._start_round(now)

    def next_tick_at(self) -> int | None:
        """Returns when `tick` has to be called, in ns; None while nothing is to be done."""
        tick_times = [self.next_join_at] if not self.is_voter else []
        if self.phase is not Phase.IDLE:
            tick_times.append(self.phase_ends_at)
        return min(tick_times, default=None)

    def tick(self, now: int) -> None:
        """Asks to join, ends the current phase at its time-out, and starts rounds, as far as due."""
        if not self.is_voter and now >= self.next_join_at:
            self.next_join_at = now + JOIN_INTERVAL_NS
            self._broadcast(Message(Kind.JOIN, NO_BALLOT, self.incarnation))
            if now - self.stateless_since >= BOOTSTRAP_AFTER_NS and self.phase is Phase.IDLE:
                self._start_round(now, bootstrap=True)
        if self.phase is Phase.IDLE or now < self.phase_ends_at:
            return
        if self.phase is Phase.BACKING_OFF:
            self.phase = Phase.IDLE
            self._start_round(now)
        elif self.phase is Phase.PREPARING and not self.is_voter:
            self._try_bootstrap(now, deadline_passed=True)
            if self.phase is Phase.PREPARING:
                self._back_off(now)
        else:
            self._back_off(now)

    # Messages.

    def receive(self, sender: int, message: Message, now: int) -> None:
        """Handles a message of another voter; drops an invalid one."""
        if not 0 <= sender < self.voter_count or sender == self.own_number:
            return
        if message.value is not None and len(message.value.incarnations) != self.voter_count:
            return
        self._handle(sender, message, now)

    def _handle(self, sender: int, message: Message, now: int) -> None:
        kind, ballot = message.kind, message.ballot
        self.highest_ballot = max(self.highest_ballot, ballot, message.reported_ballot)
        if kind is Kind.ASK_PROMISE:
            self._on_prepare(sender, ballot, now)
        elif kind is Kind.PROPOSE and message.value is not None:
            self._on_accept(sender, ballot, message.value, now)
        elif kind is Kind.CHOSEN and message.value is not None:
            self._on_chosen(ballot, message.value, now)
        elif kind is Kind.JOIN:
            self._on_join(sender, message.incarnation, now)
        elif ballot != self.round.ballot:
            return  # an answer in a round that is over
        elif (
            kind is Kind.REJECTED
            and self.phase in (Phase.PREPARING, Phase.ACCEPTING)
            and message.reported_ballot > ballot
        ):
            self._back_off(now)
        elif kind is Kind.PROMISE and self.phase is Phase.PREPARING:
            self.round.promises[sender] = message
            if self.is_voter:
                self._try_propose(now)
            else:
                self._try_bootstrap(now)
        elif kind is Kind.BLANK_PROMISE and self.phase is Phase.PREPARING:
            self.round.without_state[sender] = message
            self._try_bootstrap(now)
        elif kind is Kind.VALUE_ACCEPTED and self.phase is Phase.ACCEPTING:
            self.round.accepted[sender] = message.incarnation
            self._check_accepted(now)

    def _on_prepare(self, sender: int, ballot: Ballot, now: int) -> None:
        if ballot < self.promised:
            self._send(sender, Message(Kind.REJECTED, ballot, self.incarnation, self.promised), now)
            return
        self.promised = ballot
        kind = Kind.PROMISE if self.is_voter else Kind.BLANK_PROMISE
        self._send(
            sender, Message(kind, ballot, self.incarnation, self.accepted_ballot, self.accepted_value), now
        )

    def _on_accept(self, sender: int, ballot: Ballot, value: Value, now: int) -> None:
        if not self._may_accept(value):
            return
        if ballot < self.promised:
            self._send(sender, Message(Kind.REJECTED, ballot, self.incarnation, self.promised), now)
            return
        self.promised = self.accepted_ballot = ballot
        self.accepted_value = value
        self._send(sender, Message(Kind.VALUE_ACCEPTED, ballot, self.incarnation), now)

    def _on_chosen(self, ballot: Ballot, value: Value, now: int) -> None:
        if ballot <= self.chosen_ballot:
            return
        was_voter = self.is_voter
        self.chosen_ballot, self.chosen_value = ballot, value
        if not self.is_voter:
            if was_voter:  # a bootstrap of voters that did not know this incarnation
                self.stateless_since = self.next_join_at = now
        elif ballot >= self.promised or not was_voter:
            self.promised = max(self.promised, ballot)
            self.accepted_ballot, self.accepted_value = ballot, value
        for voter, incarnation in enumerate(value.incarnations):
            if self.joining.get(voter) == incarnation:
                del self.joining[voter]

    def _on_join(self, sender: int, incarnation: int, now: int) -> None:
        if (
            self.chosen_value.incarnations[sender] == incarnation
        ):  # it has joined and was not notified of that
            self._send(
                sender,
                Message(Kind.CHOSEN, self.chosen_ballot, self.incarnation, NO_BALLOT, self.chosen_value),
                now,
            )
            return
        # A late request of a previous incarnation is ignored.
        if incarnation > max(self.chosen_value.incarnations[sender], self.joining.get(sender, 0)):
            self.joining[sender] = incarnation
        if self.is_voter:
            self._start_round(now)

    # The round that this voter proposes.

    def _start_round(self, now: int, bootstrap: bool = False) -> None:
        if self.phase is not Phase.IDLE or not (self.is_voter or bootstrap):
            return
        if self.change is None and not self.joining and not bootstrap:
            return
        latest = max(self.highest_ballot, self.promised)
        ballot = Ballot(latest.epoch, latest.round + 1, self.own_number)
        if bootstrap:  # higher than all ballots seen, and than those of previous incarnations
            ballot = Ballot(max(latest.epoch + 1, self.incarnation), 1, self.own_number)
        self.round = Round(ballot)
        self.phase, self.phase_ends_at = Phase.PREPARING, now + PHASE_TIMEOUT_NS
        self._broadcast(Message(Kind.ASK_PROMISE, self.round.ballot, self.incarnation))
        self._on_prepare(self.own_number, self.round.ballot, now)

    def _try_propose(self, now: int) -> None:
        """Proposes the changed latest value, once a majority of the voters that it names has promised."""
        promises = self.round.promises
        latest = self._latest_promise(promises)
        base = latest.value
        if base is None:
            return
        promised_by = [
            voter for voter, promise in promises.items() if base.incarnations[voter] == promise.incarnation
        ]
        if not self.is_majority(len(promised_by)):
            return
        body = self.change(base.body) if self.change is not None else base.body
        joiners = [
            voter
            for voter, incarnation in sorted(self.joining.items())
            if base.incarnations[voter] < incarnation
        ]
        incarnations = list(base.incarnations)
        if joiners:  # one at a time, so that a majority before and one after have a voter in common
            incarnations[joiners[0]] = self.joining[joiners[0]]
        value = Value(base.version + 1, tuple(incarnations), body)
        if body == base.body and not joiners:
            if latest.reported_ballot == self.chosen_ballot:
                self.change = None
                self._end_round()
                return
            value = base  # accepted by some, not known as chosen
        self._propose(value, now)

    def _latest_promise(self, promises: dict[int, Message]) -> Message:
        return max(promises.values(), key=lambda message: message.reported_ballot)

    def _may_accept(self, value: Value) -> bool:
        """Whether this voter may accept: the value names its incarnation, which has state or bootstraps."""
        return value.incarnations[self.own_number] == self.incarnation and (
            self.is_voter or value.is_bootstrap
        )

    def _try_bootstrap(self, now: int, deadline_passed: bool = False) -> None:
        """Proposes a bootstrap if a majority has no state, once all voters replied or the time-out passed."""
        without_state = self.round.without_state
        all_replied = len(without_state) + len(self.round.promises) == self.voter_count
        if not self.is_majority(len(without_state)) or self.is_voter or not (all_replied or deadline_passed):
            return
        replies = without_state | self.round.promises
        incarnations = tuple(
            replies[voter].incarnation if voter in replies else 0 for voter in range(self.voter_count)
        )
        # State that some voters still have is kept.
        known = max(replies.values(), key=lambda message: message.reported_ballot).value
        value = Value(
            known.version + 1 if known else FIRST_VERSION, incarnations, known.body if known else None, True
        )
        if (
            known is not None and known.is_bootstrap
        ):  # a bootstrap by another voter, which may have been chosen
            same_incarnations = sum(
                reply.incarnation == known.incarnations[voter] for voter, reply in replies.items()
            )
            value = known if self.is_majority(same_incarnations) else value
        self._propose(value, now)

    def _propose(self, value: Value, now: int) -> None:
        self.round.proposed = value
        self.phase, self.phase_ends_at = Phase.ACCEPTING, now + PHASE_TIMEOUT_NS
        self._broadcast(Message(Kind.PROPOSE, self.round.ballot, self.incarnation, NO_BALLOT, value))
        self._on_accept(self.own_number, self.round.ballot, value, now)

    def _check_accepted(self, now: int) -> None:
        value = self.round.proposed
        if value is None:
            return
        accepted_by = [
            voter
            for voter, incarnation in self.round.accepted.items()
            if value.incarnations[voter] == incarnation
        ]
        if self.is_majority(len(accepted_by)):
            self._end_round()
            if self.change is not None and self.change(value.body) == value.body:
                self.change = None
            self._broadcast(Message(Kind.CHOSEN, self.round.ballot, self.incarnation, NO_BALLOT, value))
            self._on_chosen(self.round.ballot, value, now)
            self._start_round(now)  # for those that still wait to join

    def _end_round(self) -> None:
        self.phase, self.rejections = Phase.IDLE, 0

    def _back_off(self, now: int) -> None:
        self.phase = Phase.BACKING_OFF
        min_delay_ns = MIN_BACKOFF_NS << min(MAX_BACKOFF_DOUBLINGS, self.rejections)
        self.rejections += 1
        self.phase_ends_at = now + min_delay_ns + int(min_delay_ns * self.rng.random())

    # Sending.

    def _send(self, receiver: int, message: Message, now: int) -> None:
        if receiver == self.own_number:
            self._handle(self.own_number, message, now)
        else:
            self.outgoing.append((receiver, message))

    def _broadcast(self, message: Message) -> None:
        self.outgoing += [(voter, message) for voter in range(self.voter_count) if voter != self.own_number]

    def take_outgoing(self) -> list[tuple[int, Message]]:
        """Returns the messages to be sent, each with its receiver, and clears them."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing
