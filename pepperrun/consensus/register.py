"""One value that a majority of the voters agrees on, changed in rounds. No leader, no I/O, no wall clock.

Each change is a round of its own (Lamport's Synod, as a register: Rystsov's CASPaxos): ask a majority what it
has taken, change that, put it to a majority. Rounds are ordered by ballots; who has promised a later one
refuses an earlier. What was promised and taken is synced before it is said.

| phase of a round | event | next |
| --- | --- | --- |
| IDLE | something is wanted | ASKING |
| ASKING | those that decide on the latest value have promised; it was chosen and stays as it is | IDLE |
| ASKING | the same, and it is to be changed, or nobody knows whether it was chosen | PUTTING |
| PUTTING | those that decide on the new value have taken it: it is chosen, all are told | IDLE |
| ASKING, PUTTING | refused, or nothing for `pace.round` | WAITING |
| WAITING | its time is over | IDLE |

Voters are lives of machines: who comes with an empty disk is another. They are changed in two steps. A value
that was taken by some and never chosen may be what a next round starts from, and two such values may name
voters whose majorities have nobody in common. So first comes a value that names both the voters and those
before (`was`); while it holds, a majority of each decides. Only when it is known as chosen does the next
drop those before. So the majorities that decide on neighbouring values always have a life in common, however
old the knowledge of who begins a round; whoever it hears of meanwhile it asks, too.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from pepperrun.consensus.messages import Message, wire
from pepperrun.consensus.values import NONE, Ballot, Body, Held, Life, Memory, Op, Store, Value, digest_of
from pepperrun.consensus.voter import Apply, Pace, Steps, Voter

MOST_DOUBLED = 4
MOST_OPS = 4  # in one round: each may be a whole configuration

# The same value with other voters or another keeper, or itself. Told whether it is known as chosen.
Plan = Callable[[Value, bool], Value]


class Result(NamedTuple):
    """What became of a change. `verdict` None: nothing is certain (`why`: "minority" or "patience")."""

    token: int
    verdict: Any
    number: int
    why: str = ""


class Phase(enum.Enum):
    """Of a round of its own."""

    IDLE = "idle"
    ASKING = "asking"
    PUTTING = "putting"
    WAITING = "waiting"


class Promise(NamedTuple):
    """Of one machine in this round."""

    life: str
    at: Ballot
    value: Value | None


@dataclass(slots=True)
class Wish:
    """An operator's change that waits for its round, until `until`."""

    token: int
    op: Op
    until: int


@dataclass(slots=True)
class Round:
    """One that this machine has begun."""

    ballot: Ballot
    wished: int = 0  # the last token given before it began
    asked: set[str] = field(default_factory=set)
    promises: dict[str, Promise] = field(default_factory=dict)
    fetching: str = ""  # the digest of a body that is on its way
    fetched: Body | None = None
    put: Held | None = None
    base: str = ""  # the digest of the body before
    ops: list[Op] = field(default_factory=list)
    judged: list[Result] = field(default_factory=list)
    sent_to: set[str] = field(default_factory=set)
    taken: set[Life] = field(default_factory=set)


def _unchanged(value: Value, known: bool) -> Value:
    return value


class Register(Voter):
    """One machine's part. Give it messages, the time and wishes; `flush`, then send `out`, read `results`.

    `plan` may be replaced; it must not depend on anything but what this machine knows.
    """

    def __init__(
        self,
        me: str,
        memory: Memory,
        store: Store,
        apply: Apply,
        seed: int,
        now: int,
        pace: Pace | None = None,
    ) -> None:
        super().__init__(me, memory, store, apply, now, pace or Pace())
        self.rng = random.Random(seed)
        self.by = f"{me}/{memory.life}/{memory.starts}"
        self.plan: Plan = _unchanged
        self.phase, self.round, self.until, self.refusals = Phase.IDLE, Round(NONE), now, 0
        self.wishes: list[Wish] = []
        self.tokens = 0
        self.others: set[str] = set()  # machines that are told what is chosen, beside the voters
        self.results: list[Result] = []

    def due(self) -> int | None:
        """When `tick` is to be called at the latest; None while nothing is to be done."""
        dues = [wish.until for wish in self.wishes]
        if self.phase is not Phase.IDLE:
            dues.append(self.until)
        return min(dues, default=None)

    # Wishes and time.

    def wish(self, op: Op, until: int) -> int:
        """A change that is to be judged in the next round; its token."""
        self.tokens += 1
        self.wishes.append(Wish(self.tokens, op, until))
        return self.tokens

    def give_up(self, why: str) -> None:
        """All that waits fails: what is under way may be chosen or not."""
        number = self.memory.chosen.value.number if self.memory.chosen else -1
        self.results += [Result(wish.token, None, number, why) for wish in self.wishes]
        self.wishes.clear()

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.now = now
        late = [wish for wish in self.wishes if wish.until <= now]
        if late:
            rest = [wish for wish in self.wishes if wish.until > now]
            self.wishes = late
            self.give_up("patience")
            self.wishes = rest
        if self.phase is Phase.IDLE or now < self.until:
            return
        if self.phase is Phase.WAITING:
            self.phase = Phase.IDLE
        else:
            self._wait()

    def begin(self, now: int) -> None:
        """Starts a round, where none is under way and a value is known to start from."""
        self.now = now
        chosen, accepted = self.memory.chosen, self.memory.accepted
        if self.phase is not Phase.IDLE or (chosen is None and accepted is None):
            return
        self.latest = Ballot(max(self.latest.round, self.memory.promised.round) + 1, self.by)
        self.round = Round(self.latest, self.tokens)
        self.phase, self.until = Phase.ASKING, now + self.pace.round
        for held in (chosen, accepted):
            if held is not None:
                self._ask(held.value)

    def _ask(self, value: Value) -> None:
        for ip in sorted(value.ips - self.round.asked):
            self.round.asked.add(ip)
            self._send(ip, {"t": "ask", "b": self.round.ballot})

    def _answered(self, ip: str, message: Message) -> None:
        kind = message["t"]
        if kind == "body":
            self._fetched(message["d"], message["w"])
        elif message["b"] != self.round.ballot:
            return  # the answer to a round that is over
        elif kind == "refuse" and self.phase in (Phase.ASKING, Phase.PUTTING) and message["a"] > message["b"]:
            self._wait()
        elif kind == "promise" and self.phase is Phase.ASKING:
            self._promised(ip, Promise(message["l"], message.get("a", NONE), message.get("v")))
        elif kind == "need" and self.phase is Phase.PUTTING and self.round.put is not None:
            whole = {"t": "put", "b": self.round.ballot, "v": wire(self.round.put.value)}
            self._send(ip, whole | {"w": self.round.put.body})
        elif kind == "taken" and self.phase is Phase.PUTTING:
            self.round.taken.add(Life(ip, message["l"]))
            self._counted()

    def body_of(self, digest: str) -> Body | None:
        """A body that is here, or that this round has fetched."""
        body = super().body_of(digest)
        return self.round.fetched if body is None and self.round.fetching == digest else body

    # A round of its own.

    def _promised(self, ip: str, promise: Promise) -> None:
        self.round.promises[ip] = promise
        if promise.value is not None:
            self._ask(promise.value)
        self._go_on()

    def _base(self) -> Held | Promise | None:
        """The latest value that any promise tells of, or that is known here."""
        best: Held | Promise | None = self.memory.chosen
        for promise in self.round.promises.values():
            if promise.value is not None and (best is None or promise.at > _at(best)):
                best = promise
        return best

    def _go_on(self) -> None:
        """Have those that decide on the latest value promised? Then it is changed."""
        best = self._base()
        if best is None or best.value is None:
            return
        at, value, promises = _at(best), best.value, self.round.promises
        if not value.quorum(Life(ip, one.life) for ip, one in promises.items()):
            return
        known = at <= self.chosen_at or value.quorum(
            Life(ip, one.life) for ip, one in promises.items() if one.at == at
        )
        body = self.body_of(value.digest)
        if body is not None:
            self._judge(Held(at, value, body), known)
        elif self.round.fetching != value.digest:
            self.round.fetching = value.digest
            self._send(
                next(ip for ip, one in promises.items() if one.at == at), {"t": "want", "d": value.digest}
            )

    def _fetched(self, digest: str, body: Body) -> None:
        if self.phase is not Phase.ASKING or self.round.fetching != digest or digest_of(body) != digest:
            return
        best = self._base()
        if best is not None and best.value is not None and best.value.digest == digest:
            self.round.fetched = body
            self._go_on()

    def _judge(self, base: Held, known: bool) -> None:
        """What becomes of the value before, by what waits and by the plan for its voters."""
        round, body, number = self.round, base.body, base.value.number
        for wish in self.wishes[:MOST_OPS]:
            new, verdict = self.apply(body, wish.op)
            if new is not None:
                body, number = new, number + 1
                round.ops.append(wish.op)
            round.judged.append(Result(wish.token, verdict, number))
        value = self.plan(base.value, known)
        if round.ops:
            value = replace(value, number=number, digest=digest_of(body))
        if known and value == base.value:
            if base.ballot > self.chosen_at:
                self._choose(base, self.steps.get(base.ballot))
                self._tell({"t": "chosen", "b": base.ballot}, self.round.asked)
            # Promises may be older than a wish that came meanwhile: it is judged by the next round.
            round.judged = [one for one in round.judged if one.token <= round.wished]
            self._settle()
            return
        round.put, round.base = Held(round.ballot, value, body), base.value.digest
        round.sent_to = value.ips
        self.phase, self.until = Phase.PUTTING, self.now + self.pace.round
        self._tell(self._step("put"), round.sent_to)

    def _step(self, kind: str) -> Message:
        put = self.round.put
        assert put is not None
        return {"t": kind, "b": put.ballot, "v": wire(put.value), "f": self.round.base, "o": self.round.ops}

    def _tell(self, message: Message, ips: set[str]) -> None:
        for ip in sorted(ips):
            self._send(ip, message)

    def _counted(self) -> None:
        put = self.round.put
        if put is None or not put.value.quorum(self.round.taken):
            return
        self._choose(put, Steps(self.round.base, self.round.ops))
        there = self.round.sent_to - {self.me}
        self._tell({"t": "chosen", "b": put.ballot}, there)
        rest = (self.others | self.round.asked) - there - {self.me}
        if rest:
            self._tell(self._step("chosen"), rest)
        self._settle()

    def _settle(self) -> None:
        """The round is over, what it judged is certain."""
        self.phase, self.refusals = Phase.IDLE, 0
        waits = {wish.token for wish in self.wishes}
        self.results += [one for one in self.round.judged if one.token in waits]
        done = {one.token for one in self.round.judged}
        self.wishes = [wish for wish in self.wishes if wish.token not in done]

    def _wait(self) -> None:
        self.phase = Phase.WAITING
        longest = self.pace.wait << min(MOST_DOUBLED, self.refusals)
        self.refusals += 1
        self.until = self.now + longest + int(longest * self.rng.random())


def _at(one: Held | Promise) -> Ballot:
    return one.ballot if isinstance(one, Held) else one.at
