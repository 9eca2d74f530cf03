"""One value that a majority of the voters agrees on, changed in numbered steps. No leader, no disk, no I/O.

Each change is a round of its own (Lamport's Synod, as a register: Rystsov's CASPaxos): ask a
majority for what it holds, change that, put it to a majority. Rounds are ordered by ballots; who
has promised a later one refuses an earlier. What this table says is what the code goes by:

| phase of a round | event | next |
| --- | --- | --- |
| IDLE | something is wanted, or a voter asks to be let in | ASKING |
| ASKING | a majority has promised, nothing is to be changed | IDLE |
| ASKING | a majority has promised | PUTTING |
| ASKING | a majority remembers nothing, for BEGIN_NS | PUTTING, in a new epoch |
| PUTTING | a majority has taken it: it is chosen, all are told | IDLE |
| ASKING, PUTTING | refused, or nothing for ROUND_NS | WAITING |
| WAITING | its time is over | IDLE |

A voter remembers nothing after a restart, so each life of it is another voter: the value names the
lives that vote, and the next round lets in at most one that has come back. A promise, or its taking
of a value, counts only where the value names that life, and who is let in has no say in that. So an
answer of the life before, still on its way, counts with no value chosen after it. Lives grow. Only
where a majority has forgotten everything is there a new beginning, in a later epoch; what some still
remember goes on in it, what they can not be asked for is void.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from pepperrun.core.clock import SECOND

PHASE_TIMEOUT_NS = SECOND // 4  # for each half of a round: twice the longest way between regions, and more
MIN_BACKOFF_NS = SECOND // 10  # at least, after a refusal; at random up to twice as long, doubled each time
MAX_BACKOFF_DOUBLINGS = 4
JOIN_INTERVAL_NS = SECOND // 2  # between two requests to be let in
FIRST_VERSION = 1  # the number of a beginning of which nobody remembers anything before
BOOTSTRAP_AFTER_NS = (
    2 * SECOND
)  # a majority has forgotten everything for so long: there is nobody else to ask


class Ballot(NamedTuple):
    """The order of rounds: a later epoch, then a later round, then the voter that began it."""

    epoch: int
    round: int
    proposer: int


NO_BALLOT = Ballot(0, 0, -1)


class Value(NamedTuple):
    """What is agreed on: `number` grows by one with each change, `lives` are those that vote (0: none).

    `begins`: a majority had forgotten what was held before it.
    """

    version: int
    incarnations: tuple[int, ...]
    body: Any = None
    is_bootstrap: bool = False


class Kind(enum.IntEnum):
    """What a message is."""

    ASK_PROMISE = 0
    PROMISE = 1  # with what is held
    BLANK_PROMISE = 2  # nothing is remembered here
    PROPOSE = 3
    VALUE_ACCEPTED = 4
    REJECTED = 5  # with the ballot that was promised to another
    CHOSEN = 6
    JOIN = 7  # let this life in


class Message(NamedTuple):
    """`ballot`: of its round; `at`: the ballot under which `value` was taken, or what was promised."""

    kind: Kind
    ballot: Ballot
    incarnation: int
    reported_ballot: Ballot = NO_BALLOT
    value: Value | None = None


class Phase(enum.Enum):
    """Of a round of its own."""

    IDLE = "idle"
    PREPARING = "asking"
    ACCEPTING = "putting"
    BACKING_OFF = "waiting"


@dataclass(slots=True)
class Round:
    """One that this voter has begun."""

    ballot: Ballot
    promises: dict[int, Message] = field(default_factory=dict)
    without_state: dict[int, Message] = field(default_factory=dict)
    proposed: Value | None = None
    accepted: dict[int, int] = field(default_factory=dict)


Change = Callable[[Any], Any]


class Register:
    """One voter of `count`, in a life of 1 or more. Give it messages and the time; send `out`; read `held`.

    `change` is given the body that is held and returns the one that is wanted, the same one for no change. It
    must not depend on anything but what this voter knows: it is called once for each round.
    """

    def __init__(self, own_number: int, voter_count: int, incarnation: int, seed: int, now: int) -> None:
        self.own_number, self.voter_count, self.incarnation = own_number, voter_count, incarnation
        self.rng = random.Random(seed)
        self.promised, self.accepted_ballot = NO_BALLOT, NO_BALLOT
        self.accepted_value: Value | None = None  # taken, maybe not chosen
        self.chosen_ballot, self.chosen_value = NO_BALLOT, Value(0, (0,) * voter_count)  # chosen
        self.phase, self.round, self.phase_ends_at, self.rejections = Phase.IDLE, Round(NO_BALLOT), now, 0
        self.joining: dict[int, int] = {}  # who wants to be let in: its life
        self.next_join_at, self.stateless_since = now, now
        self.highest_ballot = NO_BALLOT  # the latest ballot that was heard of
        self.change: Change | None = None
        self.outgoing: list[tuple[int, Message]] = []

    # What others see.

    @property
    def is_voter(self) -> bool:
        """Does what is chosen name this life?"""
        return self.chosen_value.incarnations[self.own_number] == self.incarnation

    def is_majority(self, number: int) -> bool:
        """Are so many a majority of all voters, those that have not been let in included?"""
        return 2 * number > self.voter_count

    def submit(self, change: Change, now: int) -> None:
        """Something is to be changed: as soon as there is no other round of its own."""
        self.change = change
        self._start_round(now)

    def next_tick_at(self) -> int | None:
        """When `tick` is to be called at the latest; None while nothing is to be done."""
        tick_times = [self.next_join_at] if not self.is_voter else []
        if self.phase is not Phase.IDLE:
            tick_times.append(self.phase_ends_at)
        return min(tick_times, default=None)

    def tick(self, now: int) -> None:
        """Does what is due."""
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
        """Takes in a message of another voter; what can't be meant is dropped."""
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
            return  # the answer to a round that is over
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
            if was_voter:  # a new beginning that did not know of this one
                self.stateless_since = self.next_join_at = now
        elif ballot >= self.promised or not was_voter:
            self.promised = max(self.promised, ballot)
            self.accepted_ballot, self.accepted_value = ballot, value
        for voter, incarnation in enumerate(value.incarnations):
            if self.joining.get(voter) == incarnation:
                del self.joining[voter]

    def _on_join(self, sender: int, incarnation: int, now: int) -> None:
        if self.chosen_value.incarnations[sender] == incarnation:  # it was let in and has not heard of that
            self._send(
                sender,
                Message(Kind.CHOSEN, self.chosen_ballot, self.incarnation, NO_BALLOT, self.chosen_value),
                now,
            )
            return
        # Not a late one of a life before.
        if incarnation > max(self.chosen_value.incarnations[sender], self.joining.get(sender, 0)):
            self.joining[sender] = incarnation
        if self.is_voter:
            self._start_round(now)

    # A round of its own.

    def _start_round(self, now: int, bootstrap: bool = False) -> None:
        if self.phase is not Phase.IDLE or not (self.is_voter or bootstrap):
            return
        if self.change is None and not self.joining and not bootstrap:
            return
        latest = max(self.highest_ballot, self.promised)
        ballot = Ballot(latest.epoch, latest.round + 1, self.own_number)
        if bootstrap:  # after all that was heard of, and after all that has been forgotten
            ballot = Ballot(max(latest.epoch + 1, self.incarnation), 1, self.own_number)
        self.round = Round(ballot)
        self.phase, self.phase_ends_at = Phase.PREPARING, now + PHASE_TIMEOUT_NS
        self._broadcast(Message(Kind.ASK_PROMISE, self.round.ballot, self.incarnation))
        self._on_prepare(self.own_number, self.round.ballot, now)

    def _try_propose(self, now: int) -> None:
        """Does a majority of those that vote by the latest value promise? Then that value is changed."""
        promises = self.round.promises
        latest = self._latest_promise(promises)
        base = latest.value
        if base is None:
            return
        promised_by = [
            voter for voter, one in promises.items() if base.incarnations[voter] == one.incarnation
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
        if joiners:  # one at a time, so that majorities before and after have a voter in common
            incarnations[joiners[0]] = self.joining[joiners[0]]
        value = Value(base.version + 1, tuple(incarnations), body)
        if body == base.body and not joiners:
            if latest.reported_ballot == self.chosen_ballot:
                self.change = None
                self._end_round()
                return
            value = base  # taken by some, not known as chosen
        self._propose(value, now)

    def _latest_promise(self, promises: dict[int, Message]) -> Message:
        return max(promises.values(), key=lambda one: one.reported_ballot)

    def _may_accept(self, value: Value) -> bool:
        """A life that is not named has no say; one that has forgotten has it at a beginning only."""
        return value.incarnations[self.own_number] == self.incarnation and (
            self.is_voter or value.is_bootstrap
        )

    def _try_bootstrap(self, now: int, deadline_passed: bool = False) -> None:
        """A majority remembers nothing: a new beginning, of all that have answered when it is late."""
        without_state = self.round.without_state
        all_replied = len(without_state) + len(self.round.promises) == self.voter_count
        if not self.is_majority(len(without_state)) or self.is_voter or not (all_replied or deadline_passed):
            return
        replies = without_state | self.round.promises
        incarnations = tuple(
            replies[voter].incarnation if voter in replies else 0 for voter in range(self.voter_count)
        )
        # What some remember is not lost.
        known = max(replies.values(), key=lambda one: one.reported_ballot).value
        value = Value(
            known.version + 1 if known else FIRST_VERSION, incarnations, known.body if known else None, True
        )
        if known is not None and known.is_bootstrap:  # another has begun: it may have been chosen
            same_incarnations = sum(
                one.incarnation == known.incarnations[voter] for voter, one in replies.items()
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
            self._start_round(now)  # who still waits to be let in

    def _end_round(self) -> None:
        self.phase, self.rejections = Phase.IDLE, 0

    def _back_off(self, now: int) -> None:
        self.phase = Phase.BACKING_OFF
        min_delay = MIN_BACKOFF_NS << min(MAX_BACKOFF_DOUBLINGS, self.rejections)
        self.rejections += 1
        self.phase_ends_at = now + min_delay + int(min_delay * self.rng.random())

    # Sending.

    def _send(self, receiver: int, message: Message, now: int) -> None:
        if receiver == self.own_number:
            self._handle(self.own_number, message, now)
        else:
            self.outgoing.append((receiver, message))

    def _broadcast(self, message: Message) -> None:
        self.outgoing += [(voter, message) for voter in range(self.voter_count) if voter != self.own_number]

    def take_outgoing(self) -> list[tuple[int, Message]]:
        """What is to be sent, with the receivers."""
        out, self.outgoing = self.outgoing, []
        return out
