"""Searches what can befall the agreement: orders of messages, late rounds, restarts, lost disks, new voters.

A message that is lost is one that has not come yet; so is one that comes after its sender has lost its disk,
and a cut or a pause is a set of such messages. So each state is looked at with any of them on its way. What
is bounded is how many rounds are begun, how many machines restart and how many disks are lost.

`python3 -m pepperrun.simulation.orders --help` runs it.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from pepperrun.consensus import messages
from pepperrun.consensus.register import Phase, Register
from pepperrun.consensus.values import (
    FIRST_LIFE,
    NONE,
    Ballot,
    Body,
    Held,
    Life,
    Memory,
    Op,
    Value,
    beginning,
)
from pepperrun.consensus.voter import MS, Steps
from pepperrun.simulation.explorer import Action, Found, Game

SETTLES_IN = 600  # steps of a fair run, from any state that was reached
DELIVERED = 0.8  # of the steps of a walk
Sent = tuple[str, str, str]  # by whom, to whom, what (JSON)


def mark(body: Body, op: Op) -> tuple[Body | None, Any]:
    """Changes that can be told from all others, and are made once."""
    marks = body.get("m", [])
    return (None, 200) if op["m"] in marks else ({"m": [*marks, op["m"]]}, 200)


def finish(value: Value, known: bool) -> Value:
    """Voters before that are on their way out leave when that is known as chosen."""
    return replace(value, was=()) if value.was and known else value


def change(goal: tuple[Life, ...], value: Value, known: bool) -> Value:
    """These should vote."""
    value = finish(value, known)
    if value.was or set(value.voters) == set(goal):
        return value
    return replace(value, voters=goal, was=value.voters)


def change_hasty(goal: tuple[Life, ...], value: Value, known: bool) -> Value:
    """A bug put in on purpose: those that come decide on their coming, without those before."""
    return value if set(value.voters) == set(goal) else replace(value, voters=goal)


def finish_early(value: Value, known: bool) -> Value:
    """A bug put in on purpose: those before leave though nobody knows whether that was chosen."""
    return finish(value, True)


def change_early(goal: tuple[Life, ...], value: Value, known: bool) -> Value:
    """The same bug."""
    return change(goal, value, True)


class OneStep(Register):
    """A bug put in on purpose: a majority of those before and one of those that come, without `was`."""

    before: Value | None = None

    def _judge(self, base: Held, known: bool) -> None:
        self.before = base.value
        super()._judge(base, known)

    def _counted(self) -> None:
        if self.before is not None and self.before.quorum(self.round.taken):
            super()._counted()


class OlderChosen(Register):
    """A bug put in on purpose: answers that come late bring back what an older ballot chose."""

    def _choose(self, held: Held, steps: Steps | None) -> None:
        if held.ballot <= self.chosen_at:
            self.memory.chosen = held
        super()._choose(held, steps)


class Disk:
    """What a loss of power leaves. `late`: a bug put in on purpose, answers go out before the sync."""

    def __init__(self, late: bool = False) -> None:
        self.synced, self.unsynced, self.late = Memory(""), Memory(""), late

    def save(self, memory: Memory) -> None:
        self.synced = self.unsynced if self.late else replace(memory)
        self.unsynced = replace(memory)

    def clone(self) -> Disk:
        new = Disk(self.late)
        new.synced, new.unsynced = self.synced, self.unsynced
        return new


def clone(one: Register) -> Register:
    """The same machine, going its own way from here on."""
    new = object.__new__(type(one))
    new.__dict__.update(one.__dict__)
    new.memory, new.steps, new.wishes = replace(one.memory), dict(one.steps), list(one.wishes)
    new.own, new.out, new.results, new.changes = list(one.own), list(one.out), list(one.results), []
    new.recent, new.bridged = one.recent.copy(), dict(one.bridged)
    was = one.round
    new.round = replace(was, asked=set(was.asked), promises=dict(was.promises), taken=set(was.taken))
    new.round.ops, new.round.judged = list(was.ops), list(was.judged)
    assert isinstance(one.store, Disk)
    new.store = one.store.clone()
    return new


@dataclass(frozen=True)
class Rules:
    """Of a search. `bug`: one of BUGS, put in on purpose."""

    voters: int = 3
    spares: int = 0
    rounds: int = 2
    restarts: int = 0
    wipes: int = 1
    bug: str = ""


BUGS = ("", "hasty", "one-step", "early", "empty-votes", "late-sync", "older-chosen")
MAKES: dict[str, type[Register]] = {"one-step": OneStep, "older-chosen": OlderChosen}
CHANGES: dict[str, Callable[[tuple[Life, ...], Value, bool], Value]] = {
    "hasty": change_hasty,
    "one-step": change_hasty,
    "early": change_early,
}


@dataclass(slots=True)
class World:
    """The machines, what is on its way between them, and what was chosen."""

    rules: Rules
    machines: dict[str, Register]
    sent: set[Sent] = field(default_factory=set)
    chosen: dict[Ballot, Held] = field(default_factory=dict)
    told: frozenset[str] = frozenset()  # marks that were acknowledged
    rounds: int = 0
    restarts: int = 0
    wipes: int = 0
    now: int = 0
    known: dict[str, Ballot] = field(default_factory=dict)  # by ip, what its process knew as chosen

    def fork(self) -> World:
        """One more like it."""
        machines = {ip: clone(one) for ip, one in self.machines.items()}
        counts = (self.rounds, self.restarts, self.wipes, self.now)
        sent, chosen, known = set(self.sent), dict(self.chosen), dict(self.known)
        return World(self.rules, machines, sent, chosen, self.told, *counts, known)

    def key(self) -> int:
        """What makes a difference to what may still happen, or to what would be wrong then."""
        parts = []
        for one in self.machines.values():
            memory, turn = one.memory, one.round
            assert isinstance(one.store, Disk)
            held = [memory.accepted, memory.chosen, one.store.synced.accepted, turn.put]
            parts += [
                *(
                    memory.life,
                    memory.starts,
                    memory.promised,
                    one.store.synced.promised,
                    one.phase,
                    one.latest,
                ),
                *(None if part is None else (part.ballot, part.value) for part in held),
                *(turn.ballot, tuple(sorted(turn.promises.items())), turn.fetching, turn.fetched is None),
                *(frozenset(turn.taken), tuple(wish.op["m"] for wish in one.wishes)),
                repr(one.plan.args if isinstance(one.plan, partial) else ""),
            ]
        chosen = frozenset((ballot, held.value) for ballot, held in self.chosen.items())
        counts = (self.rounds, self.restarts, self.wipes)
        return hash((tuple(parts), frozenset(self.sent), chosen, self.told, counts))

    def collect(self) -> str:
        """Takes over what was sent, chosen and told; what is wrong with that, or nothing."""
        for ip, one in self.machines.items():
            one.flush()
            decided = one.round.put
            for receiver, message in one.out:
                # A round that ends after a later one is known here is told of, and not kept as the newest.
                if (
                    message["t"] == "chosen"
                    and decided is not None
                    and message["b"] == decided.ballot
                    and self.chosen.setdefault(decided.ballot, decided) != decided
                ):
                    return f"{decided.ballot} chose both {self.chosen[decided.ballot]} and {decided}"
                # Once is enough: a second one that is the same changes nothing that the first has not.
                self.sent.add((ip, receiver, json.dumps(message)))
            one.out.clear()
            if one.chosen_at < self.known.get(ip, NONE):
                return f"{ip} went back from {self.known[ip]} to {one.chosen_at}"
            self.known[ip] = one.chosen_at
            held = one.memory.chosen
            if held is not None and self.chosen.setdefault(held.ballot, held) != held:
                return f"{held.ballot} chose both {self.chosen[held.ballot]} and {held}"
            for result in one.results:
                # Its mark is the newest of those judged then; what was told is in what was chosen.
                self.told |= frozenset(held.body["m"][: result.number] if held else [])
            one.results.clear()
        self.sent = {one for one in self.sent if not self._void(*one)}
        return self._history()

    def _history(self) -> str:
        last: Held | None = None
        for ballot in sorted(self.chosen):
            held = self.chosen[ballot]
            if last is not None:
                before = last.body.get("m", [])
                if held.body.get("m", [])[: len(before)] != before or held.value.number < last.value.number:
                    return f"{held} was chosen after {last}, and has not all of it"
                if held.value.number == last.value.number and held.body != last.body:
                    return f"two with number {held.value.number}: {last} and {held}"
            last = held
        return ""

    def _void(self, sender: str, receiver: str, text: str) -> bool:
        """Can it change nothing any more, whenever it arrives? Then it need not be on its way."""
        one, message = self.machines[receiver], json.loads(text)
        kind, ballot = message["t"], Ballot(*message.get("b", NONE))
        if kind == "chosen":
            return ballot <= one.chosen_at
        if kind in ("ask", "put"):
            asker = self.machines[sender]
            over = asker.round.ballot != ballot or asker.phase in (Phase.IDLE, Phase.WAITING)
            return over and ballot < one.memory.promised
        if kind in ("news", "want", "body"):
            return False
        wanted = {"promise": (Phase.ASKING,), "refuse": (Phase.ASKING, Phase.PUTTING)}
        return one.round.ballot != ballot or one.phase not in wanted.get(kind, (Phase.PUTTING,))

    def newest(self) -> Held:
        """What was chosen last."""
        return self.chosen[max(self.chosen)]

    def calm(self) -> bool:
        """Does the newest value name just lives that are there? Then another disk may be lost."""
        value = self.newest().value
        return not value.was and all(self.machines[one.ip].memory.life == one.life for one in value.voters)


def begun(rules: Rules) -> World:
    """All voters hold the first value, spares hold nothing, and nothing is on its way."""
    ips = [chr(ord("a") + at) for at in range(rules.voters + rules.spares)]
    first = beginning(ips[: rules.voters])
    world = World(rules, {}, chosen={first.ballot: first})
    for ip in ips:
        votes = ip in first.value.ips
        memory = Memory(FIRST_LIFE if votes else f"{ip}1", 1)
        memory.accepted = memory.chosen = first if votes else None
        _start(world, ip, memory)
    return world


def _start(world: World, ip: str, memory: Memory) -> None:
    disk = Disk(world.rules.bug == "late-sync")
    disk.save(memory)
    disk.save(memory)
    make = MAKES.get(world.rules.bug, Register)
    world.known.pop(ip, None)
    one = make(ip, memory, disk, mark, ord(ip), world.now)
    one.plan = finish_early if world.rules.bug == "early" else finish
    world.machines[ip] = one


def actions(world: World) -> Iterator[Action]:
    """What may happen next."""
    rules = world.rules
    for sent in world.sent:
        yield ("deliver", sent)
    for ip, one in world.machines.items():
        if one.memory.chosen is None:
            continue
        if world.rounds < rules.rounds:
            if one.phase is not Phase.IDLE:
                yield ("late", ip)
                continue
            yield ("begin", ip)
            for goal in _goals(world, one.memory.chosen.value):
                yield ("voters", ip, goal)
    for ip in world.machines:
        if world.restarts < rules.restarts:
            yield ("restart", ip)
        if world.wipes < rules.wipes and world.calm():
            yield ("wipe", ip)


def _goals(world: World, value: Value) -> Iterator[tuple[Life, ...]]:
    """Voters that might be wanted: new lives for those before, a spare in the place of any other."""
    now = tuple(Life(one.ip, world.machines[one.ip].memory.life) for one in value.voters)
    if now != value.voters or value.was:
        yield now
    for ip, machine in world.machines.items():
        if ip not in value.ips:
            for out in value.voters:
                yield (*(one for one in now if one.ip != out.ip), Life(ip, machine.memory.life))


def act(world: World, action: Action) -> str:
    """Does it; what is wrong after it."""
    what, arg = action[:2]
    one = world.machines[arg] if what != "deliver" else world.machines[arg[1]]
    if what == "deliver":
        world.sent.discard(arg)
        one.take(arg[0], messages.read(json.loads(arg[2])), world.now)
    elif what in ("begin", "voters"):
        world.rounds += 1
        if what == "voters":
            one.plan = partial(CHANGES.get(world.rules.bug, change), action[2])
        else:
            one.wish({"m": f"{arg}{world.rounds}"}, 1 << 62)
        one.begin(world.now)
    elif what == "late":
        world.rounds += 1
        _late(one)
    elif what == "restart":
        world.restarts += 1
        assert isinstance(one.store, Disk)
        memory = one.store.synced
        _start(world, arg, replace(memory, starts=memory.starts + 1))
    else:
        world.wipes += 1
        life = f"{arg}{world.wipes + 1}" if world.rules.bug != "empty-votes" else one.memory.life
        _start(world, arg, Memory(life, one.memory.starts + 1))
    return world.collect()


def _late(one: Register) -> None:
    """Its round takes too long: it is given up, and begins again."""
    for _ in range(2):
        if one.phase is not Phase.IDLE:
            one.tick(one.until)
    one.begin(one.now)


def search(rules: Rules, depth: int = 60, most: int = 50_000, settle_each: int = 0, seed: int = 1) -> Found:
    """Over all that may happen, in an order that the seed draws; `Game.search` tells of the figures.

    A run without faults has to end with all in agreement and with all that was acknowledged.
    """
    return Game(lambda: begun(rules), actions, act, settle).search(depth, most, settle_each, seed)


def walk(rules: Rules, walks: int, depth: int = 60, seed: int = 1) -> Found:
    """As many walks by chance, each to the end of what may happen, and from there a run without faults.

    Where the whole can't be searched these reach other parts of it than depth first does.
    """
    found, seen, rng = Found(whole=False), set[int](), random.Random(seed)
    for _ in range(walks):
        world, trace = begun(rules), list[Action]()
        while len(trace) < depth and (possible := sorted(actions(world), key=repr)):
            # Else the rounds and faults would all come at the beginning, or hardly ever.
            kinds = sorted({action[0] for action in possible})
            kind = "deliver" if "deliver" in kinds and rng.random() < DELIVERED else rng.choice(kinds)
            action = rng.choice([one for one in possible if one[0] == kind])
            trace.append(action)
            found.broken = act(world, action)
            if found.broken:
                found.trace = trace
                return found
            key = world.key()
            found.again += key in seen
            seen.add(key)
        found.states, found.deepest = len(seen), max(found.deepest, len(trace))
        found.settled += 1
        found.broken = settle(world, rng)
        if found.broken:
            found.trace = trace
            return found
    return found


def settle(world: World, rng: random.Random) -> str:
    """All that is on its way arrives, lost disks are let in: do all agree in the end on all that was told?"""
    keeper = next(iter(sorted(world.newest().value.ips)))
    for _ in range(SETTLES_IN):
        if world.sent:
            wrong = act(world, ("deliver", rng.choice(sorted(world.sent))))
        else:
            wrong = _go_on(world, keeper)
            if wrong == "settled":
                marks = world.newest().body.get("m", [])
                lost = [one for one in world.told if one not in marks]
                return f"acknowledged and lost: {lost}" if lost else ""
        if wrong:
            return wrong
    held = [(ip, one.chosen_at, one.phase) for ip, one in world.machines.items()]
    return f"no agreement after {SETTLES_IN} steps without a fault: {held}"


def _go_on(world: World, keeper: str) -> str:
    """Nothing is on its way: rounds try again, who lacks what is chosen asks, the keeper lets in who came."""
    one = world.machines[keeper]
    for other in world.machines.values():
        if other.phase is not Phase.IDLE:
            world.now = max(world.now, other.until)
            other.tick(world.now)
            if other.wishes:
                other.begin(world.now)
            return world.collect()
    world.now += 1000 * MS
    ahead = max(world.machines.values(), key=lambda two: two.chosen_at)
    for other in world.machines.values():
        if other.chosen_at < ahead.chosen_at:
            other.now = world.now
            other.ask_news(ahead.me)
            return world.collect()
    assert one.memory.chosen is not None
    value = one.memory.chosen.value
    lives = tuple(Life(two.ip, world.machines[two.ip].memory.life) for two in value.voters)
    if lives != value.voters or value.was:
        one.plan = partial(change, lives)
        one.begin(world.now)
        return world.collect()
    behind = [two for two in world.machines.values() if two.accepted_at > one.chosen_at and two.life in lives]
    if behind:
        behind[0].begin(world.now)
        return world.collect()
    return "settled"


def worded(action: Action) -> str:
    """For people."""
    return " ".join(str(part) for part in action)


def arguments(parser: argparse.ArgumentParser) -> None:
    """What may be said of a search."""
    for name, default in (("voters", 3), ("spares", 0), ("rounds", 2), ("restarts", 0), ("wipes", 1)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--bug", choices=BUGS, default="")
    parser.add_argument("--depth", type=int, default=60)
    parser.add_argument("--most", type=int, default=50_000, help="states of one search")
    parser.add_argument("--settle-each", type=int, default=500)
    parser.add_argument("--walks", type=int, default=0, help="walks by chance instead, so many")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])


def explore(given: argparse.Namespace) -> int:
    """The search of the agreement; a line for each seed, and how it broke."""
    broken = 0
    rules = Rules(given.voters, given.spares, given.rounds, given.restarts, given.wipes, given.bug)
    for seed in given.seeds:
        if given.walks:
            found = walk(rules, given.walks, given.depth, seed)
        else:
            found = search(rules, given.depth, given.most, given.settle_each, seed)
        print(
            f"seed={seed} states={found.states} again={found.again} deepest={found.deepest}"
            f" whole={found.whole} settled={found.settled} broken={json.dumps(found.broken)}"
        )
        for action in found.trace:
            print("   ", worded(action))
        broken += bool(found.broken)
    return 1 if broken else 0


def main() -> int:
    """The search from the command line."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments(parser)
    return explore(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
