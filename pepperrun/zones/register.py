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

ROUND_NS = SECOND // 4  # for each half of a round: twice the longest way between regions, and more
WAIT_NS = SECOND // 10  # at least, after a refusal; at random up to twice as long, doubled each time
MOST_DOUBLED = 4
KNOCK_NS = SECOND // 2  # between two requests to be let in
FIRST = 1  # the number of a beginning of which nobody remembers anything before
BEGIN_NS = 2 * SECOND  # a majority has forgotten everything for so long: there is nobody else to ask


class Ballot(NamedTuple):
    """The order of rounds: a later epoch, then a later round, then the voter that began it."""

    epoch: int
    round: int
    by: int


NONE = Ballot(0, 0, -1)


class Value(NamedTuple):
    """What is agreed on: `number` grows by one with each change, `lives` are those that vote (0: none).

    `begins`: a majority had forgotten what was held before it.
    """

    number: int
    lives: tuple[int, ...]
    body: Any = None
    begins: bool = False


class Kind(enum.IntEnum):
    """What a message is."""

    ASK = 0
    PROMISE = 1  # with what is held
    BLANK = 2  # nothing is remembered here
    PUT = 3
    TAKEN = 4
    REFUSE = 5  # with the ballot that was promised to another
    CHOSEN = 6
    KNOCK = 7  # let this life in


class Message(NamedTuple):
    """`ballot`: of its round; `at`: the ballot under which `value` was taken, or what was promised."""

    kind: Kind
    ballot: Ballot
    life: int
    at: Ballot = NONE
    value: Value | None = None


class Phase(enum.Enum):
    """Of a round of its own."""

    IDLE = "idle"
    ASKING = "asking"
    PUTTING = "putting"
    WAITING = "waiting"


@dataclass(slots=True)
class Round:
    """One that this voter has begun."""

    ballot: Ballot
    promises: dict[int, Message] = field(default_factory=dict)
    blank: dict[int, Message] = field(default_factory=dict)
    put: Value | None = None
    taken: dict[int, int] = field(default_factory=dict)


Change = Callable[[Any], Any]


class Register:
    """One voter of `count`, in a life of 1 or more. Give it messages and the time; send `out`; read `held`.

    `change` is given the body that is held and returns the one that is wanted, the same one for no change. It
    must not depend on anything but what this voter knows: it is called once for each round.
    """

    def __init__(self, me: int, count: int, life: int, seed: int, now: int) -> None:
        self.me, self.count, self.life = me, count, life
        self.rng = random.Random(seed)
        self.promised, self.at = NONE, NONE
        self.value: Value | None = None  # taken, maybe not chosen
        self.held_at, self.held = NONE, Value(0, (0,) * count)  # chosen
        self.phase, self.round, self.until, self.refusals = Phase.IDLE, Round(NONE), now, 0
        self.knocks: dict[int, int] = {}  # who wants to be let in: its life
        self.knock_at, self.blank_since = now, now
        self.latest = NONE  # the latest ballot that was heard of
        self.change: Change | None = None
        self.out: list[tuple[int, Message]] = []

    # What others see.

    @property
    def votes(self) -> bool:
        """Does what is chosen name this life?"""
        return self.held.lives[self.me] == self.life

    def majority(self, number: int) -> bool:
        """Are so many a majority of all voters, those that have not been let in included?"""
        return 2 * number > self.count

    def want(self, change: Change, now: int) -> None:
        """Something is to be changed: as soon as there is no other round of its own."""
        self.change = change
        self._begin(now)

    def due(self) -> int | None:
        """When `tick` is to be called at the latest; None while nothing is to be done."""
        dues = [self.knock_at] if not self.votes else []
        if self.phase is not Phase.IDLE:
            dues.append(self.until)
        return min(dues, default=None)

    def tick(self, now: int) -> None:
        """Does what is due."""
        if not self.votes and now >= self.knock_at:
            self.knock_at = now + KNOCK_NS
            self._all(Message(Kind.KNOCK, NONE, self.life))
            if now - self.blank_since >= BEGIN_NS and self.phase is Phase.IDLE:
                self._begin(now, alone=True)
        if self.phase is Phase.IDLE or now < self.until:
            return
        if self.phase is Phase.WAITING:
            self.phase = Phase.IDLE
            self._begin(now)
        elif self.phase is Phase.ASKING and not self.votes:
            self._forgotten(now, late=True)
            if self.phase is Phase.ASKING:
                self._wait(now)
        else:
            self._wait(now)

    # Messages.

    def receive(self, sender: int, message: Message, now: int) -> None:
        """Takes in a message of another voter; what can't be meant is dropped."""
        if not 0 <= sender < self.count or sender == self.me:
            return
        if message.value is not None and len(message.value.lives) != self.count:
            return
        self._take(sender, message, now)

    def _take(self, sender: int, message: Message, now: int) -> None:
        kind, ballot = message.kind, message.ballot
        self.latest = max(self.latest, ballot, message.at)
        if kind is Kind.ASK:
            self._asked(sender, ballot, now)
        elif kind is Kind.PUT and message.value is not None:
            self._put(sender, ballot, message.value, now)
        elif kind is Kind.CHOSEN and message.value is not None:
            self._chosen(ballot, message.value, now)
        elif kind is Kind.KNOCK:
            self._knocked(sender, message.life, now)
        elif ballot != self.round.ballot:
            return  # the answer to a round that is over
        elif kind is Kind.REFUSE and self.phase in (Phase.ASKING, Phase.PUTTING) and message.at > ballot:
            self._wait(now)
        elif kind is Kind.PROMISE and self.phase is Phase.ASKING:
            self.round.promises[sender] = message
            if self.votes:
                self._promised(now)
            else:
                self._forgotten(now)
        elif kind is Kind.BLANK and self.phase is Phase.ASKING:
            self.round.blank[sender] = message
            self._forgotten(now)
        elif kind is Kind.TAKEN and self.phase is Phase.PUTTING:
            self.round.taken[sender] = message.life
            self._counted(now)

    def _asked(self, sender: int, ballot: Ballot, now: int) -> None:
        if ballot < self.promised:
            self._answer(sender, Message(Kind.REFUSE, ballot, self.life, self.promised), now)
            return
        self.promised = ballot
        kind = Kind.PROMISE if self.votes else Kind.BLANK
        self._answer(sender, Message(kind, ballot, self.life, self.at, self.value), now)

    def _put(self, sender: int, ballot: Ballot, value: Value, now: int) -> None:
        if not self._may_take(value):
            return
        if ballot < self.promised:
            self._answer(sender, Message(Kind.REFUSE, ballot, self.life, self.promised), now)
            return
        self.promised = self.at = ballot
        self.value = value
        self._answer(sender, Message(Kind.TAKEN, ballot, self.life), now)

    def _chosen(self, ballot: Ballot, value: Value, now: int) -> None:
        if ballot <= self.held_at:
            return
        voted = self.votes
        self.held_at, self.held = ballot, value
        if not self.votes:
            if voted:
                self.blank_since = self.knock_at = now  # a new beginning that did not know of this one
        elif ballot >= self.promised or not voted:
            self.promised = max(self.promised, ballot)
            self.at, self.value = ballot, value
        for voter, life in enumerate(value.lives):
            if self.knocks.get(voter) == life:
                del self.knocks[voter]

    def _knocked(self, sender: int, life: int, now: int) -> None:
        if self.held.lives[sender] == life:  # it was let in and has not heard of that
            self._answer(sender, Message(Kind.CHOSEN, self.held_at, self.life, NONE, self.held), now)
            return
        if life > max(self.held.lives[sender], self.knocks.get(sender, 0)):  # not a late one of a life before
            self.knocks[sender] = life
        if self.votes:
            self._begin(now)

    # A round of its own.

    def _begin(self, now: int, alone: bool = False) -> None:
        if self.phase is not Phase.IDLE or not (self.votes or alone):
            return
        if self.change is None and not self.knocks and not alone:
            return
        latest = max(self.latest, self.promised)
        ballot = Ballot(latest.epoch, latest.round + 1, self.me)
        if alone:  # after all that was heard of, and after all that has been forgotten
            ballot = Ballot(max(latest.epoch + 1, self.life), 1, self.me)
        self.round = Round(ballot)
        self.phase, self.until = Phase.ASKING, now + ROUND_NS
        self._all(Message(Kind.ASK, self.round.ballot, self.life))
        self._asked(self.me, self.round.ballot, now)

    def _promised(self, now: int) -> None:
        """Does a majority of those that vote by the latest value promise? Then that value is changed."""
        promises = self.round.promises
        best = self._latest(promises)
        base = best.value
        if base is None:
            return
        counted = [voter for voter, one in promises.items() if base.lives[voter] == one.life]
        if not self.majority(len(counted)):
            return
        body = self.change(base.body) if self.change is not None else base.body
        joins = [voter for voter, life in sorted(self.knocks.items()) if base.lives[voter] < life]
        lives = list(base.lives)
        if joins:  # one at a time, so that majorities before and after have a voter in common
            lives[joins[0]] = self.knocks[joins[0]]
        value = Value(base.number + 1, tuple(lives), body)
        if body == base.body and not joins:
            if best.at == self.held_at:
                self.change = None
                self._rest()
                return
            value = base  # taken by some, not known as chosen
        self._propose(value, now)

    def _latest(self, promises: dict[int, Message]) -> Message:
        return max(promises.values(), key=lambda one: one.at)

    def _may_take(self, value: Value) -> bool:
        """A life that is not named has no say; one that has forgotten has it at a beginning only."""
        return value.lives[self.me] == self.life and (self.votes or value.begins)

    def _forgotten(self, now: int, late: bool = False) -> None:
        """A majority remembers nothing: a new beginning, of all that have answered when it is late."""
        blank = self.round.blank
        all_have = len(blank) + len(self.round.promises) == self.count
        if not self.majority(len(blank)) or self.votes or not (all_have or late):
            return
        every = blank | self.round.promises
        lives = tuple(every[voter].life if voter in every else 0 for voter in range(self.count))
        known = max(every.values(), key=lambda one: one.at).value  # what some remember is not lost
        value = Value(known.number + 1 if known else FIRST, lives, known.body if known else None, True)
        if known is not None and known.begins:  # another has begun: it may have been chosen
            same = sum(one.life == known.lives[voter] for voter, one in every.items())
            value = known if self.majority(same) else value
        self._propose(value, now)

    def _propose(self, value: Value, now: int) -> None:
        self.round.put = value
        self.phase, self.until = Phase.PUTTING, now + ROUND_NS
        self._all(Message(Kind.PUT, self.round.ballot, self.life, NONE, value))
        self._put(self.me, self.round.ballot, value, now)

    def _counted(self, now: int) -> None:
        value = self.round.put
        if value is None:
            return
        counted = [voter for voter, life in self.round.taken.items() if value.lives[voter] == life]
        if self.majority(len(counted)):
            self._rest()
            if self.change is not None and self.change(value.body) == value.body:
                self.change = None
            self._all(Message(Kind.CHOSEN, self.round.ballot, self.life, NONE, value))
            self._chosen(self.round.ballot, value, now)
            self._begin(now)  # who still waits to be let in

    def _rest(self) -> None:
        self.phase, self.refusals = Phase.IDLE, 0

    def _wait(self, now: int) -> None:
        self.phase = Phase.WAITING
        longest = WAIT_NS << min(MOST_DOUBLED, self.refusals)
        self.refusals += 1
        self.until = now + longest + int(longest * self.rng.random())

    # Sending.

    def _answer(self, receiver: int, message: Message, now: int) -> None:
        if receiver == self.me:
            self._take(self.me, message, now)
        else:
            self.out.append((receiver, message))

    def _all(self, message: Message) -> None:
        self.out += [(voter, message) for voter in range(self.count) if voter != self.me]

    def take_out(self) -> list[tuple[int, Message]]:
        """What is to be sent, with the receivers."""
        out, self.out = self.out, []
        return out
