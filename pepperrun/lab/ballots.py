"""Searches what can befall the register: every order of its messages, late rounds, restarts.

A message that is lost is one that has not come yet, as is one that comes after its sender's
restart, and a cut or a pause is a set of such messages: so each state is looked at with any of them
still on its way. What is bounded is how many rounds are begun and how many voters restart.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from pepperrun.simulation.explorer import Action, Found, Game
from pepperrun.zones.register import FIRST_VERSION, Ballot, Kind, Message, Phase, Register, Round, Value

Make = Callable[[int, int, int, int, int], Register]
Sent = tuple[int, int, Message]  # by whom, to whom, what
SETTLES_IN = 400  # steps of a fair run, from any state that was reached


def clone(one: Register) -> Register:
    """The same voter, going its own way from here on."""
    new = object.__new__(type(one))
    new.__dict__.update(one.__dict__)
    new.joining, new.outgoing = dict(one.joining), list(one.outgoing)
    was = one.round
    new.round = Round(
        was.ballot, dict(was.promises), dict(was.without_state), was.proposed, dict(was.accepted)
    )
    return new


def mark(voter: int, turn: int) -> Callable[[Any], Any]:
    """A change that can be told from all others, and is made once."""

    def change(body: Any) -> Any:
        made = body or ()
        return made if (voter, turn) in made else (*made, (voter, turn))

    return change


@dataclass(slots=True)
class World:
    """The voters, what is on its way between them, and what was chosen."""

    voters: list[Register]
    sent: set[Sent] = field(default_factory=set)
    chosen: dict[Ballot, Value] = field(default_factory=dict)
    rounds: int = 0
    restarts: int = 0
    now: int = 0

    def fork(self) -> World:
        """One more like it."""
        voters = [clone(one) for one in self.voters]
        return World(voters, set(self.sent), dict(self.chosen), self.rounds, self.restarts, self.now)

    def key(self) -> Any:
        """What makes a difference to what may still happen, or to what would be wrong then."""
        voters = tuple(
            (
                *(
                    one.incarnation,
                    one.promised,
                    one.accepted_ballot,
                    one.accepted_value,
                    one.chosen_ballot,
                    one.chosen_value,
                    one.phase,
                    one.highest_ballot,
                ),
                *(one.round.ballot, tuple(sorted(one.round.promises.items(), key=lambda item: item[0]))),
                *(
                    tuple(sorted(one.round.without_state.items(), key=lambda item: item[0])),
                    one.round.proposed,
                ),
                tuple(sorted(one.round.accepted.items())),
                *(tuple(sorted(one.joining.items())), one.change is None),
            )
            for one in self.voters
        )
        chosen = frozenset(self.chosen.items())
        return hash((voters, frozenset(self.sent), chosen, self.rounds, self.restarts))

    def collect(self) -> str:
        """Takes over what was sent; what is wrong with what was chosen, or nothing."""
        for number, one in enumerate(self.voters):
            for receiver, message in one.take_outgoing():
                # Once is enough: a second one that is the same changes nothing that the first has not.
                self.sent.add((number, receiver, message))
                if message.kind is Kind.CHOSEN and message.value is not None:
                    held = self.chosen.setdefault(message.ballot, message.value)
                    if held != message.value:
                        return f"{message.ballot} chose both {held} and {message.value}"
        self.sent = {one for one in self.sent if not self._void(*one)}
        last = None
        for ballot in sorted(self.chosen):
            value = self.chosen[ballot]
            if last is not None:
                before = last.body or ()
                if value.version < last.version or (value.body or ())[: len(before)] != before:
                    return f"{value} was chosen after {last}, and has not all of it"
                if value.version == last.version and value != last:
                    return f"two with number {value.version}: {last} and {value}"
            last = value
        return ""

    def _void(self, sender: int, receiver: int, message: Message) -> bool:
        """Can it change nothing any more, whenever it arrives? Then it need not be on its way."""
        one, kind = self.voters[receiver], message.kind
        if kind is Kind.CHOSEN:
            return message.ballot <= one.chosen_ballot
        if kind in (Kind.ASK_PROMISE, Kind.PROPOSE):
            asker = self.voters[sender]
            over = asker.round.ballot != message.ballot or asker.phase in (Phase.IDLE, Phase.BACKING_OFF)
            return over and message.ballot < one.promised
        if kind is Kind.JOIN:
            return (
                message.incarnation < self.voters[sender].incarnation
                and message.incarnation <= one.chosen_value.incarnations[sender]
            )
        wanted = {Kind.VALUE_ACCEPTED: (Phase.ACCEPTING,), Kind.REJECTED: (Phase.PREPARING, Phase.ACCEPTING)}
        return one.round.ballot != message.ballot or one.phase not in wanted.get(kind, (Phase.PREPARING,))


def begun(count: int, make: Make = Register) -> World:
    """All hold a first value, and nothing is on its way."""
    voters = [make(number, count, 1, number, 0) for number in range(count)]
    ballot, value = Ballot(1, 1, 0), Value(FIRST_VERSION, (1,) * count, ())
    for one in voters:
        one.promised = one.accepted_ballot = one.chosen_ballot = one.highest_ballot = ballot
        one.accepted_value = one.chosen_value = value
    return World(voters)


def actions(world: World, rounds: int, restarts: int) -> Iterator[Action]:
    """What may happen next."""
    for sent in world.sent:
        yield ("deliver", sent)
    for number, one in enumerate(world.voters):
        if world.rounds < rounds and one.is_voter and one.phase is Phase.IDLE:
            yield ("begin", number)
        elif world.rounds < rounds and one.phase is not Phase.IDLE:
            yield ("late", number)
    if world.restarts < restarts:
        for number in range(len(world.voters)):
            yield ("restart", number)


def act(world: World, action: Action, make: Make) -> str:
    """Does it; what is wrong after it."""
    what, arg = action
    if what == "deliver":
        sender, receiver, message = arg
        world.sent.discard(arg)
        world.voters[receiver].receive(sender, message, world.now)
    elif what == "begin":
        world.rounds += 1
        world.voters[arg].submit(mark(arg, world.rounds), world.now)
    elif what == "late":
        world.rounds += 1
        one = world.voters[arg]
        if one.phase is not Phase.BACKING_OFF:
            one.tick(one.phase_ends_at)
        one.tick(one.phase_ends_at)
    else:
        world.restarts += 1
        incarnation = world.voters[arg].incarnation + 1
        world.voters[arg] = make(arg, len(world.voters), incarnation, arg, world.now)
        world.voters[arg].tick(world.now)
    return world.collect()


def worded(action: Action) -> str:
    """For people."""
    what, arg = action
    if what != "deliver":
        return f"{what} {arg}"
    sender, receiver, message = arg
    text = (
        f"{sender} to {receiver}: {message.kind.name}, life {message.incarnation}, "
        f"ballot {tuple(message.ballot)}"
    )
    return text + (f", {message.value}" if message.value is not None else "")


def search(
    count: int,
    rounds: int,
    restarts: int,
    depth: int,
    make: Make = Register,
    most: int = 200_000,
    settle_each: int = 0,
    seed: int = 1,
) -> Found:
    """Depth first over all that may happen, each state once. `most`: states to look at; then it is not whole.

    With a `seed` the order is drawn: searches that are not whole look at other parts. From every
    `settle_each`-th state a run without faults has to end with all in agreement.
    """
    game = Game(
        lambda: begun(count, make),
        lambda world: actions(world, rounds, restarts),
        lambda world, action: act(world, action, make),
        lambda world, rng: settle(world, make, rng),
    )
    return game.search(depth, most, settle_each, seed)


def settle(world: World, make: Make, rng: random.Random) -> str:
    """All that is on its way arrives, and time goes on: do they all vote and hold the same in the end?"""
    for _ in range(SETTLES_IN):
        if world.sent:
            wrong = act(world, ("deliver", rng.choice(sorted(world.sent, key=repr))), make)
        else:
            if len({one.chosen_value for one in world.voters}) == 1 and all(
                one.is_voter for one in world.voters
            ):
                return ""
            world.now = max(
                [world.now, *(due for one in world.voters if (due := one.next_tick_at()) is not None)]
            )
            for one in world.voters:
                one.tick(world.now)
            wrong = world.collect()
        if wrong:
            return wrong
    held = [(one.chosen_value.version, one.is_voter) for one in world.voters]
    return f"no agreement after {SETTLES_IN} steps without a fault: {held}"


class Hasty(Register):
    """A bug put in on purpose: who is let in has a say in that at once."""

    def _may_accept(self, value: Value) -> bool:
        return value.incarnations[self.own_number] == self.incarnation


class Deaf(Register):
    """A bug put in on purpose: it changes what it holds, whatever others have taken meanwhile."""

    def _latest_promise(self, promises: dict[int, Message]) -> Message:
        return promises[self.own_number]


MUTANTS: dict[str, Make] = {"": Register, "hasty": Hasty, "deaf": Deaf}
