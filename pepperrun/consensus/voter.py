"""One machine as a voter and as one that learns what is chosen. No I/O.

What is promised and taken is synced before it is said: `flush` syncs, and what is to be sent goes out after
it. A machine's answers to itself are held back until then as well.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event, trouble
from pepperrun.consensus.messages import Message, read, wire
from pepperrun.consensus.recent_changes import RecentChanges
from pepperrun.consensus.values import NONE, Ballot, Body, Held, Life, Memory, Op, Store, digest_of

MS = 1_000_000
MOST_DOUBLED = 3  # times that the wait for a body that was asked for is doubled

# Judges an operator's change on a body: the new body, or None for no change, and what to tell the operator
# (any JSON). Pure, the same on all machines; leaves the body that it is given alone. An op that the body has
# taken already gives (None, the verdict of then).
Apply = Callable[[Body, Op], tuple[Body | None, Any]]


@dataclass(frozen=True)
class Pace:
    """Lengths of time, ns."""

    read: int = 400 * MS  # between two read rounds
    round: int = 300 * MS  # for each half of a round
    wait: int = 40 * MS  # at least, after a refusal; at random up to twice as long, doubled each time
    patience: int = 1500 * MS  # for a change, unless told otherwise
    up: int = 1200 * MS  # who was heard within it is up
    silent: int = 1500 * MS  # a keeper not heard for so long gets a successor
    lost: int = 2000 * MS  # a voter not heard for so long gives its place to a machine that is up
    lazy: int = 5000 * MS  # until it is kept that something was chosen: not right after it was acknowledged


class Change(NamedTuple):
    """The chosen body went on, from one number to a later. `op` None: not by one known op, take the body."""

    base: int
    number: int
    op: Op | None


class Steps(NamedTuple):
    """How a body came from another."""

    base: str
    ops: list[Op]


class Voter:
    """What a machine keeps, answers and learns. `latest`: the latest ballot that was heard of."""

    def __init__(self, me: str, memory: Memory, store: Store, apply: Apply, now: int, pace: Pace) -> None:
        self.me, self.memory, self.store, self.apply = me, memory, store, apply
        self.pace, self.now = pace, now
        self.unsynced = self.unsaved = False  # must be synced before more is said; may be saved later
        self.broken = False  # the disk fails
        self.offered: tuple[Held, Steps] | None = None  # what it was asked to take meanwhile
        self.chosen_when = now
        self.steps: dict[Ballot, Steps] = {}  # of what was taken and not yet chosen
        self.latest = max(memory.promised, memory.accepted.ballot if memory.accepted else NONE)
        self.recent = RecentChanges()
        self.news_from, self.news_at, self.news_asked = NONE, now, 0  # chosen then, when last, how often
        self.bridged: dict[str, Ballot] = {}  # by ip, what was held where operations were sent last
        self.own: list[Message] = []  # to itself: read when what it rests on is synced
        self.out: list[tuple[str, Message]] = []
        self.changes: list[Change] = []

    # What others see.

    @property
    def life(self) -> Life:
        """Of this machine."""
        return Life(self.me, self.memory.life)

    @property
    def chosen_at(self) -> Ballot:
        """The ballot of the newest value known as chosen."""
        return self.memory.chosen.ballot if self.memory.chosen else NONE

    @property
    def accepted_at(self) -> Ballot:
        """The ballot of what was taken last."""
        return self.memory.accepted.ballot if self.memory.accepted else NONE

    def take(self, ip: str, message: Message, now: int) -> None:
        """Takes in a message that was read by `messages.read`; `ip` may be this machine's own."""
        self.now = now
        for name in ("b", "a"):
            self.latest = max(self.latest, message.get(name, NONE))
        kind = message["t"]
        if kind == "ask":
            self._asked(ip, message["b"])
        elif kind == "put":
            self._put(ip, message)
        elif kind == "chosen":
            self._told(ip, message)
        elif kind == "news":
            self._news(ip, message)
        elif kind == "want":
            body = self.body_of(message["d"])
            if body is not None:
                self._send(ip, {"t": "body", "d": message["d"], "w": body})
        else:
            self._answered(ip, message)

    def _answered(self, ip: str, message: Message) -> None:
        """An answer to a round of its own."""

    # As a voter. Who is asked answers with its life; who counts the answers looks whether that one votes.

    def _asked(self, ip: str, ballot: Ballot) -> None:
        memory = self.memory
        if self.broken:
            return
        if ballot < memory.promised:
            self._send(ip, {"t": "refuse", "b": ballot, "a": memory.promised})
            return
        if ballot > memory.promised:
            memory.promised, self.unsynced = ballot, True
        answer: Message = {"t": "promise", "b": ballot, "l": memory.life}
        if memory.accepted is not None:
            answer |= {"a": memory.accepted.ballot, "v": wire(memory.accepted.value)}
        self._send(ip, answer)

    def _put(self, ip: str, message: Message) -> None:
        memory, ballot, value = self.memory, message["b"], message["v"]
        if not any(self.life in group for group in value.sets):
            return
        if self.broken:
            body = self._build(message)
            if body is not None:  # not taken; but if it is chosen, this machine is told so in a word
                steps = Steps(message.get("f", ""), message.get("o", []))
                self.offered = Held(ballot, value, body), steps
            return
        if ballot < memory.promised:
            self._send(ip, {"t": "refuse", "b": ballot, "a": memory.promised})
            return
        self.unsynced |= self.unsaved
        if self.accepted_at < ballot:
            body = self._build(message)
            if body is None:
                self._send(ip, {"t": "need", "b": ballot})
                return
            memory.promised, memory.accepted = ballot, Held(ballot, value, body)
            self.unsynced = True
            self.steps = {ballot: Steps(message.get("f", ""), message.get("o", []))}
        self._send(ip, {"t": "taken", "b": ballot, "l": memory.life})

    def body_of(self, digest: str) -> Body | None:
        """A body that is here."""
        for held in (self.memory.chosen, self.memory.accepted):
            if held is not None and held.value.digest == digest:
                return held.body
        return None

    def _build(self, message: Message) -> Body | None:
        """The body of a value that was sent: one that is here, or what its ops make of one, or the whole."""
        digest: str = message["v"].digest
        body = self.body_of(digest)
        if body is not None:
            return body
        if "w" in message:
            whole: Body = message["w"]
            if digest_of(whole) != digest:
                raise PepperrunError("wrong-body", "agreement", f"not of digest {digest}")
            return whole
        body = self.body_of(message.get("f", ""))
        for op in message.get("o", []):
            if body is not None:
                body, _ = self.apply(body, op)
        return body if body is not None and digest_of(body) == digest else None

    # As one that learns.

    def learn(self, taken: Iterable[Life]) -> None:
        """Lives that have all taken what was taken last here: do they decide? Then it was chosen."""
        accepted = self.memory.accepted
        if accepted is None or accepted.ballot <= self.chosen_at:
            return
        lives = list(taken) if self.unsynced or self.broken else [*taken, self.life]
        if accepted.value.quorum(lives):
            self._choose(accepted, self.steps.get(accepted.ballot))

    def _told(self, ip: str, message: Message) -> None:
        ballot, accepted = message["b"], self.memory.accepted
        if ballot <= self.chosen_at:
            return
        if accepted is not None and accepted.ballot == ballot:
            self._choose(accepted, self.steps.get(ballot))
            return
        if self.offered is not None and self.offered[0].ballot == ballot:
            self._choose(*self.offered)
            return
        body = self._build(message) if "v" in message else None
        if body is None:
            self.ask_news(ip)
            return
        steps = Steps(message["f"], message["o"]) if "f" in message and "o" in message else None
        self._choose(Held(ballot, message["v"], body), steps)

    def ask_news(self, ip: str) -> None:
        """Asks another machine for what it knows as chosen: one at a time, the next where that says nothing.

        Each answer may be a whole body, which takes its time on the way, and all others have the same.
        """
        if self.news_from != self.chosen_at:
            self.news_from, self.news_asked = self.chosen_at, 0
        if self.news_asked:
            wait = (self.pace.read // 2) << min(MOST_DOUBLED, self.news_asked - 1)
            if self.now - self.news_at < wait:
                return
        self.news_at, self.news_asked = self.now, self.news_asked + 1
        held = (self.memory.chosen, self.memory.accepted)
        digests = [one.value.digest for one in held if one is not None]
        self._send(ip, {"t": "news", "c": self.chosen_at, "h": digests})

    def _news(self, ip: str, message: Message) -> None:
        """Answers with the newest value, its body as short as it can be told to who holds these bodies."""
        chosen = self.memory.chosen
        if chosen is None or chosen.ballot <= message["c"]:
            return
        answer: Message = {"t": "chosen", "b": chosen.ballot, "v": wire(chosen.value)}
        if chosen.value.digest not in message["h"]:
            bridge = self.recent.bridge(message["h"], chosen.value.digest)
            if bridge is None or self.bridged.get(ip) == message["c"]:
                answer["w"] = chosen.body
            else:  # asked again with the same held, it could make nothing of them: then the whole
                answer |= {"f": bridge.base, "o": bridge.ops}
                self.bridged[ip] = message["c"]
        self._send(ip, answer)

    def _choose(self, held: Held, steps: Steps | None) -> None:
        """It is known as chosen. Whoever hears of it keeps it as taken: one more disk that has it.

        What is known never goes back: answers to a round of its own may come late, when a later ballot is
        known as chosen already.
        """
        if held.ballot <= self.chosen_at:
            return
        before = self.memory.chosen
        self.memory.chosen, self.unsaved, self.chosen_when = held, True, self.now
        if self.accepted_at < held.ballot:
            self.memory.accepted = held
            self.memory.promised = max(self.memory.promised, held.ballot)
        self.steps = {ballot: one for ballot, one in self.steps.items() if ballot > held.ballot}
        number = held.value.number
        if before is None:
            self.changes.append(Change(-1, number, None))
        elif number > before.value.number:
            start = before.value.number
            if steps is not None and steps.base == before.value.digest and start + len(steps.ops) == number:
                self.changes += [Change(start + at, start + at + 1, op) for at, op in enumerate(steps.ops)]
                self.recent.add(steps.base, steps.ops, held.value.digest)
            else:
                self.changes.append(Change(start, number, None))
                self.recent.clear()

    # Sending.

    def _send(self, ip: str, message: Message) -> None:
        if ip == self.me:
            self.own.append(message)
        else:
            self.out.append((ip, message))

    def flush(self, lazy: bool = False) -> None:
        """Syncs what answers rest on, then reads those to itself. `lazy`: also what may wait.

        Where the disk fails, what rests on it is not said, and nothing as a voter until a `lazy` flush finds
        it well again.
        """
        while True:
            if (self.unsynced and not self.broken) or (lazy and (self.unsaved or self.broken)):
                self._sync()
            if not self.own:
                return
            own, self.own = self.own, []
            for message in own:
                self.take(self.me, read(message), self.now)

    def _sync(self) -> None:
        try:
            self.store.save(self.memory)
        except PepperrunError as error:
            if not self.broken:
                trouble(error)
            self.broken, self.own = True, []
            self.out = [(ip, one) for ip, one in self.out if one["t"] not in ("promise", "taken")]
        else:
            if self.broken:
                event("disk-well", ip=self.me)  # all is written anew: it votes again
            self.unsynced = self.unsaved = self.broken = False
            self.offered = None
