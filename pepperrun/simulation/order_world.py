"""The world of the search: machines, what is on its way between them, and what may befall them.

A message that is lost is one that has not come yet; so is one that comes after its sender has lost its disk,
and a cut or a pause is a set of such messages. So each state is looked at with any of them on its way. What
is bounded is how many rounds are begun, how many machines restart, are told to stop, and lose their disks.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from pepperrun.consensus import codec
from pepperrun.consensus.messages import Accept, Accepted, BodyNeeded, Chosen, Prepare, Promise, Rejected
from pepperrun.consensus.register import Phase, Register
from pepperrun.consensus.state import (
    FIRST_DISK_ID,
    NO_BALLOT,
    Ballot,
    DurableState,
    Incarnation,
    Proposal,
    Value,
    digest_of,
    initial_proposal,
)
from pepperrun.simulation.explorer import Action
from pepperrun.simulation.order_plans import (
    CHANGES,
    REGISTERS,
    change,
    change_but,
    finish,
    finish_early,
    hand_over,
    mark,
)

Sent = tuple[str, str, str]  # by whom, to whom, what (JSON)


class Disk:
    """What a loss of power leaves. `late`: a bug put in on purpose, answers go out before the sync."""

    def __init__(self, late: bool = False) -> None:
        self.synced, self.unsynced, self.late = DurableState(""), DurableState(""), late

    def save(self, memory: DurableState) -> None:
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
    new.state, new.deltas, new.pending = replace(one.state), dict(one.deltas), list(one.pending)
    new.loopback, new.outbox, new.results, new.changes = (
        list(one.loopback),
        list(one.outbox),
        list(one.results),
        [],
    )
    new.recent_changes, new.delta_sent_for = one.recent_changes.copy(), dict(one.delta_sent_for)
    was = one.round
    new.round = replace(
        was, prepare_sent=set(was.prepare_sent), promises=dict(was.promises), accepted_by=set(was.accepted_by)
    )
    new.round.operations, new.round.evaluated = list(was.operations), list(was.evaluated)
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
    leaves: int = 0  # machines that are told to stop
    at_once: int = 1  # voters of one value that may be lost at a time
    counts: bool = True  # copies, at each step; else only what comes out is judged


@dataclass(slots=True)
class World:
    """The machines, what is on its way between them, and what was chosen."""

    rules: Rules
    machines: dict[str, Register]
    sent: set[Sent] = field(default_factory=set)
    chosen: dict[Ballot, Proposal] = field(default_factory=dict)
    told: frozenset[str] = frozenset()  # marks that were acknowledged
    rounds: int = 0
    restarts: int = 0
    wipes: int = 0
    now: int = 0
    leaving: frozenset[str] = frozenset()  # told to stop; the others have heard of it
    ended: frozenset[str] = frozenset()  # gone for good
    synced: dict[Incarnation, Ballot] = field(default_factory=dict)  # by lives that may be lost since
    void: frozenset[Incarnation] = frozenset()  # lost or told to stop: nobody is to name them anew
    known: dict[str, Ballot] = field(default_factory=dict)  # by ip, what its process knew as chosen

    def fork(self) -> World:
        """One more like it."""
        machines = {ip: clone(one) for ip, one in self.machines.items()}
        counts = (self.rounds, self.restarts, self.wipes, self.now)
        gone = (self.leaving, self.ended, dict(self.synced), self.void)
        sent, chosen, known = set(self.sent), dict(self.chosen), dict(self.known)
        return World(self.rules, machines, sent, chosen, self.told, *counts, *gone, known=known)

    def key(self) -> int:
        """What makes a difference to what may still happen, or to what would be wrong then."""
        parts = []
        for one in self.machines.values():
            memory, turn = one.state, one.round
            assert isinstance(one.store, Disk)
            held = [memory.accepted, memory.chosen, one.store.synced.accepted, turn.proposal]
            parts += [
                *(
                    memory.disk_id,
                    memory.starts,
                    memory.promised,
                    one.store.synced.promised,
                    one.phase,
                    one.highest_ballot,
                ),
                *(None if part is None else (part.ballot, part.value) for part in held),
                *(
                    turn.ballot,
                    tuple(sorted(turn.promises.items())),
                    turn.fetching_digest,
                    turn.fetched_body is None,
                ),
                *(frozenset(turn.accepted_by), tuple(wish.operation["m"] for wish in one.pending)),
                repr(one.plan_voters.args if isinstance(one.plan_voters, partial) else ""),
            ]
        chosen = frozenset((ballot, held.value) for ballot, held in self.chosen.items())
        counts = (self.rounds, self.restarts, self.wipes, self.leaving, self.ended)
        return hash((tuple(parts), frozenset(self.sent), chosen, self.told, counts))

    def collect(self) -> str:
        """Takes over what was sent, chosen and told; what is wrong with that, or nothing."""
        wrong, known = "", set(self.chosen)
        for ip, one in self.machines.items():
            one.flush()
            wrong = wrong or self._count(one)
            decided = one.round.proposal
            for receiver, message in one.outbox:
                # A round that ends after a later one is known here is told of, and not kept as the newest.
                if (
                    isinstance(message, Chosen)
                    and decided is not None
                    and message.ballot == decided.ballot
                    and self.chosen.setdefault(decided.ballot, decided) != decided
                ):
                    return f"{decided.ballot} chose both {self.chosen[decided.ballot]} and {decided}"
                # Once is enough: a second one that is the same changes nothing that the first has not.
                self.sent.add((ip, receiver, json.dumps(codec.encode(message))))
            one.outbox.clear()
            if one.chosen_ballot < self.known.get(ip, NO_BALLOT):
                return f"{ip} went back from {self.known[ip]} to {one.chosen_ballot}"
            self.known[ip] = one.chosen_ballot
            held = one.state.chosen
            if held is not None and self.chosen.setdefault(held.ballot, held) != held:
                return f"{held.ballot} chose both {self.chosen[held.ballot]} and {held}"
            for result in one.results:
                # Its mark is the newest of those judged then; what was told is in what was chosen.
                self.told |= frozenset(held.body["m"][: result.version] if held else [])
            one.results.clear()
        self.sent = {one for one in self.sent if not self._void(*one)}
        if self.rules.counts:
            wrong = wrong or self._copies(set(self.chosen) - known)
        return self._history() or (wrong if self.rules.counts else "")

    # Copies.

    def _count(self, one: Register) -> str:
        """Notes what its disk has synced; what is wrong with that, or nothing."""
        assert isinstance(one.store, Disk)
        memory = one.store.synced
        held, life = memory.accepted, Incarnation(one.own_ip, memory.disk_id)
        if held is None:
            self.synced.pop(life, None)  # an empty disk, of a life that had one before: that is the bug
            return ""
        if self.synced.get(life) == held.ballot:
            return ""
        self.synced[life] = held.ballot
        if digest_of(held.body) != held.value.digest:
            return f"{one.own_ip} has {held.ballot} on its disk without its body"
        return ""

    def _copies(self, new: set[Ballot]) -> str:
        """Is what is known as chosen on enough disks, and does who is left decide, and not without a copy?"""
        for ballot in new:
            for group in self.chosen[ballot].value.voter_groups:
                count = sum(self.synced.get(life, NO_BALLOT) >= ballot for life in group)
                if 2 * count <= len(group):
                    return f"{ballot} is known as chosen with {count} copies among {len(group)} voters"
        newest, present = self.newest(), self.present()
        for group in newest.value.voter_groups:
            there = [life for life in group if life in present]
            if 2 * len(there) <= len(group):
                return f"of the {len(group)} voters of {newest.ballot} only {len(there)} are left"
            without = sum(self.synced.get(life, NO_BALLOT) < newest.ballot for life in there)
            if 2 * without > len(group):
                return f"{without} of {len(group)} voters of {newest.ballot} are there without a copy of it"
        return ""

    def present(self) -> set[Incarnation]:
        """Lives whose disks are there."""
        return {one.incarnation for one in self.machines.values()}

    def _history(self) -> str:
        last: Proposal | None = None
        for ballot in sorted(self.chosen):
            held = self.chosen[ballot]
            if last is not None:
                before = last.body.get("m", [])
                if held.body.get("m", [])[: len(before)] != before or held.value.version < last.value.version:
                    return f"{held} was chosen after {last}, and has not all of it"
                if held.value.version == last.value.version and held.body != last.body:
                    return f"two with number {held.value.version}: {last} and {held}"
            last = held
        return ""

    def _void(self, sender: str, receiver: str, text: str) -> bool:
        """Can it change nothing any more, whenever it arrives? Then it need not be on its way."""
        if receiver not in self.machines:
            return True
        one = self.machines[receiver]
        message = codec.decode(json.loads(text))
        match message:
            case Chosen():
                return message.ballot <= one.chosen_ballot
            case Prepare() | Accept():
                return self._is_over(sender, message.ballot) and message.ballot < one.state.promised
            case Promise():
                phases: tuple[Phase, ...] = (Phase.PREPARING,)
            case Rejected():
                phases = (Phase.PREPARING, Phase.ACCEPTING)
            case Accepted() | BodyNeeded():
                phases = (Phase.ACCEPTING,)
            case _:
                return False
        return one.round.ballot != message.ballot or one.phase not in phases

    def _is_over(self, proposer: str, ballot: Ballot) -> bool:
        """Whether the round of a ballot is over at its proposer."""
        machine = self.machines.get(proposer)
        if machine is None or machine.round.ballot != ballot:
            return True
        return machine.phase in (Phase.IDLE, Phase.BACKING_OFF)

    def newest(self) -> Proposal:
        """What was chosen last."""
        return self.chosen[max(self.chosen)]

    def bears(self) -> bool:
        """May another disk be lost? Fewer than `at_once` voters are missing of what is or may be chosen."""
        last, present = self.newest(), self.present()
        held = [one.state.accepted for one in self.machines.values()]
        later = [one.value for one in held if one is not None and one.ballot > last.ballot]
        return all(
            sum(life not in present for life in group) < self.rules.at_once
            for value in (last.value, *later)
            for group in value.voter_groups
        )

    def released(self, ip: str) -> bool:
        """May this one, which was told to stop, end? As `Replica.released`, by what it knows itself."""
        one, bug = self.machines[ip], self.rules.bug
        chosen, accepted = one.state.chosen, one.state.accepted
        if chosen is None or one.phase is not Phase.IDLE or bug == "leaves-named":
            return chosen is not None and bug == "leaves-named"
        if chosen.value.coordinator == ip:
            return False
        if bug == "leaves-early":
            return ip not in {life.ip for life in chosen.value.voters}
        later = accepted is not None and accepted.ballot > chosen.ballot
        out = not later and not chosen.value.outgoing_voters and ip not in chosen.value.voter_ips
        return out and (bug == "leaves-stale" or self._fresh(chosen))

    def _fresh(self, chosen: Proposal) -> bool:
        """Have those that decide on this taken nothing later?"""
        held = {one.incarnation: one.accepted_ballot for one in self.machines.values()}
        return chosen.value.has_quorum(life for life, at in held.items() if at <= chosen.ballot)


def begun(rules: Rules) -> World:
    """All voters hold the first value, spares hold nothing, and nothing is on its way."""
    ips = [chr(ord("a") + at) for at in range(rules.voters + rules.spares)]
    first = initial_proposal(ips[: rules.voters])
    world = World(rules, {}, chosen={first.ballot: first})
    for ip in ips:
        votes = ip in first.value.voter_ips
        memory = DurableState(FIRST_DISK_ID if votes else f"{ip}1", 1)
        memory.accepted = memory.chosen = first if votes else None
        _start(world, ip, memory)
    return world


def _start(world: World, ip: str, memory: DurableState) -> None:
    disk = Disk(world.rules.bug == "late-sync")
    disk.save(memory)
    disk.save(memory)
    make = REGISTERS.get(world.rules.bug, Register)
    world.known.pop(ip, None)
    one = make(ip, memory, disk, mark, seed=ord(ip), now=world.now)
    one.plan_voters = finish_early if world.rules.bug == "early" else finish
    world.machines[ip] = one


def actions(world: World) -> Iterator[Action]:
    """What may happen next."""
    rules = world.rules
    for sent in world.sent:
        yield ("deliver", sent)
    for ip, one in world.machines.items():
        if one.state.chosen is None:
            continue
        if world.rounds < rules.rounds:
            if one.phase is not Phase.IDLE:
                yield ("late", ip)
                continue
            yield ("begin", ip)
            for goal in _goals(world, one.state.chosen.value):
                yield ("voters", ip, goal)
    for ip in world.machines:
        if world.restarts < rules.restarts:
            yield ("restart", ip)
        if world.wipes < rules.wipes and world.bears():
            yield ("wipe", ip)
            if ip in world.leaving:
                yield ("killed", ip)
    yield from _endings(world)


def _endings(world: World) -> Iterator[Action]:
    """Who may be told to stop, hand over the keeper's duty, end."""
    named = world.newest().value.voter_ips
    for ip, one in world.machines.items():
        if ip not in world.leaving:
            if len(world.leaving) < world.rules.leaves and ip in named:
                yield ("leave", ip)
            continue
        value = one.state.chosen.value if one.state.chosen else None
        begins = one.phase is Phase.IDLE and world.rounds < world.rules.rounds
        if begins and value is not None and value.coordinator == ip:
            for other in sorted(value.voter_ips & set(world.machines) - world.leaving):
                yield ("hand", ip, other)
        if world.released(ip):
            yield ("end", ip)


def _goals(world: World, value: Value) -> Iterator[tuple[Incarnation, ...]]:
    """Voters that might be wanted: new lives for those before, a spare in the place of any other."""
    now = tuple(
        world.machines[one.ip].incarnation if one.ip in world.machines else one for one in value.voters
    )
    if now != value.voters or value.outgoing_voters:
        yield now
    for ip, machine in world.machines.items():
        if ip not in value.voter_ips and ip not in world.leaving:
            for out in value.voters:
                yield (*(one for one in now if one.ip != out.ip), machine.incarnation)


def act(world: World, action: Action) -> str:
    """Does it; what is wrong after it."""
    what, arg = action[:2]
    one = world.machines[arg] if what != "deliver" else world.machines[arg[1]]
    if what == "deliver":
        world.sent.discard(arg)
        one.receive(arg[0], codec.decode(json.loads(arg[2])), world.now)
    elif what in ("begin", "voters"):
        world.rounds += 1
        if what == "voters":
            plan = CHANGES.get(world.rules.bug, change)
            one.plan_voters = partial(change_but, plan, world.void, action[2])
        else:
            one.submit({"m": f"{arg}{world.rounds}"}, 1 << 62)
        one.start_round(world.now)
    elif what == "late":
        world.rounds += 1
        _late(one)
    elif what == "restart":
        world.restarts += 1
        assert isinstance(one.store, Disk)
        memory = one.store.synced
        _start(world, arg, replace(memory, starts=memory.starts + 1))
    elif what == "leave":
        world.leaving |= {arg}
        _void(world, one.incarnation)
    elif what == "hand":
        world.rounds += 1
        one.plan_voters = partial(hand_over, action[2])
        one.start_round(world.now)
    elif what in ("end", "killed"):
        world.wipes += what == "killed"
        _lost(world, one.incarnation)
        world.ended |= {arg}
        del world.machines[arg]
    else:
        world.wipes += 1
        _lost(world, one.incarnation)
        life = f"{arg}{world.wipes + 1}" if world.rules.bug != "empty-votes" else one.state.disk_id
        _start(world, arg, DurableState(life, one.state.starts + 1))
        if arg in world.leaving:
            _void(world, Incarnation(arg, life))
    return world.collect()


def _lost(world: World, life: Incarnation) -> None:
    """That life has no disk any more; whoever keeps the voters sees that before it plans."""
    if world.rules.bug not in ("stale-lives", "empty-votes"):
        _void(world, life)


def _void(world: World, life: Incarnation) -> None:
    """All hear of it: plans that are under way don't name that life anew."""
    world.void |= {life}
    for one in world.machines.values():
        if isinstance(one.plan_voters, partial) and one.plan_voters.func is change_but:
            plan, _, goal = one.plan_voters.args
            one.plan_voters = partial(change_but, plan, world.void, goal)


def _late(one: Register) -> None:
    """Its round takes too long: it is given up, and begins again."""
    for _ in range(2):
        if one.phase is not Phase.IDLE:
            one.tick(one.phase_ends_at)
    one.start_round(one.now)
