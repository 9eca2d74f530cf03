"""A seeded world of core machines that agree: links, disks, kills, power, cuts, pauses; and what must hold.

Time is virtual. What a machine's disk has synced is all that a loss of power leaves. A link keeps the order
of its messages; a cut holds them up and, where it lasts, the link breaks and they are lost. The checker knows
nothing of the agreement: it is fed by acknowledgements and by what machines say is the newest.
"""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from pepperrun.consensus.replica import Replica
from pepperrun.consensus.state import (
    FIRST_DISK_ID,
    NO_BALLOT,
    Apply,
    Ballot,
    Body,
    DurableState,
    Evaluation,
    Incarnation,
    Operation,
    Value,
    digest_of,
    initial_proposal,
)
from pepperrun.consensus.timeouts import MS, Timeouts
from pepperrun.simulation.copies import Copies, deciding

BREAKS = 2000 * MS  # unacknowledged for so long: a link is over
AGAIN = 100 * MS  # until a link that can be is up
ENDS = 500 * MS  # from being told to stop to the end, at least
ENDS_AT_ONCE = 100 * MS  # of a process that waits for nobody
HANDED_OVER = 3000 * MS  # at most, as in `control_node`
Pair = tuple[str, str]


def judge(body: Body, op: Operation) -> Evaluation:
    """Changes as operators make them: each names the edition that it builds on, and is taken once."""
    taken = body.get("taken", [])
    if op["mark"] in taken:
        return Evaluation(None, 200)
    if op["on"] != body.get("edition", 0):
        return Evaluation(None, 412)
    new = {
        "edition": op["edition"],
        "taken": [*taken, op["mark"]],
        "fill": op["fill"] or body.get("fill", ""),
    }
    return Evaluation(new, 200)


class Disk:
    """Keeps what was synced. `late`: a bug put in on purpose, it says so before it is."""

    def __init__(self, late: bool = False) -> None:
        self.synced: DurableState | None = None
        self.unsynced: DurableState | None = None
        self.late = late
        self.saves = 0

    def save(self, memory: DurableState) -> None:
        self.saves += 1
        if self.late:
            self.synced = self.unsynced or self.synced
            self.unsynced = replace(memory)
        else:
            self.synced = replace(memory)


def _wrong(disk: Disk) -> str:
    """What is wrong with what it keeps, or nothing."""
    return disk.wrong if isinstance(disk, CountedDisk) else ""


class CountedDisk(Disk):
    """Tells the ledger what it has synced."""

    def __init__(self, ip: str, copies: Copies, late: bool = False) -> None:
        super().__init__(late)
        self.ip, self.copies, self.wrong = ip, copies, ""

    def save(self, memory: DurableState) -> None:
        super().save(memory)
        if self.synced is not None:
            self.wrong = self.wrong or self.copies.saved(self.ip, self.synced)


@dataclass
class Machine:
    """One of the core. `consensus` None: it is down."""

    ip: str
    zone: str
    disk: Disk
    replica: Replica | None = None
    frozen: bool = False
    waiting: list[tuple[str, Any]] = field(default_factory=list)
    started: int = 0
    started_at: int = 0
    lives: int = 0
    tick_at: int = -1
    gone: bool = False  # for good
    seen: Any = None  # what was looked at last
    newest: Ballot = NO_BALLOT  # known as chosen when that was looked at


@dataclass
class Try:
    """An operator's change, sent to one machine after the other until it has a clear answer."""

    op: Operation
    to: list[str]
    answer: Any = None
    answered_at: int = 0
    token: tuple[str, int, int] | None = None  # machine, its start, token


class World:
    """Machines `10.0.Z.N`, one zone each `zZ`; two zones a region. The first `contacts` of them begin."""

    apply: Apply = staticmethod(judge)  # what judges changes at a machine that starts

    def __init__(
        self,
        count: int,
        seed: int,
        most: int = 5,
        late_disks: bool = False,
        pace: Timeouts | None = None,
        contacts: int = 3,
    ) -> None:
        self.rng, self.seed, self.most, self.late_disks = random.Random(seed), seed, most, late_disks
        self.now, self.pace, self.copies = 0, pace, Copies()
        self.counts_copies = not late_disks  # else such a disk is found at once, not by what is lost
        self.waits_released = True  # False: a bug put in on purpose, who is told to stop just ends
        self.events: list[tuple[int, int, tuple[Any, ...]]] = []
        self.turn = 0
        self.machines: dict[str, Machine] = {}
        self.regions = {f"z{at}": f"r{at % 3}" for at in range(12)}
        self.links: dict[Pair, int] = {}  # up, and since when nothing goes through (0: it does)
        self.fifo: dict[Pair, int] = {}
        self.cuts: set[frozenset[str]] = set()
        self.tries: list[Try] = []
        self.bodies: dict[int, str] = {}
        self.bytes = 0
        self.rate = 0.0  # bytes a ms that go over a link; 0: as many as come
        self.wrong = ""
        self.answers = 0
        for _ in range(count):
            self.add()
        self.contacts = sorted(self.machines)[:contacts]
        self.copies.began(initial_proposal(self.contacts))
        for ip in list(self.machines):
            self.start(ip, first=True)

    def add(self, zone: str = "") -> str:
        """One more machine, with an empty disk, not started."""
        at = len(self.machines)
        ip = f"10.0.{at}.1"
        self.machines[ip] = Machine(ip, zone or f"z{at % 12}", self.disk(ip))
        return ip

    def disk(self, ip: str) -> CountedDisk:
        """An empty one, which is counted."""
        return CountedDisk(ip, self.copies, self.late_disks)

    # Faults.

    def start(self, ip: str, first: bool = False) -> None:
        """A process starts on what its disk keeps."""
        machine = self.machines[ip]
        for pair in [pair for pair in self.links if ip in pair]:
            self._break(pair)
        memory = replace(machine.disk.synced) if machine.disk.synced else None
        if memory is None:
            machine.lives += 1
            begins = first and ip in self.contacts
            memory = DurableState(FIRST_DISK_ID if begins else f"{ip}#{machine.lives}", 0)
            if begins:
                memory.accepted = memory.chosen = initial_proposal(self.contacts)
        memory.starts += 1
        machine.disk.save(memory)
        machine.started, machine.started_at = machine.started + 1, self.now
        machine.frozen, machine.waiting, machine.newest = False, [], NO_BALLOT
        seed = self.rng.randrange(1 << 30)
        machine.replica = Replica(
            ip,
            memory,
            machine.disk,
            self.apply,
            zone=machine.zone,
            regions=self.regions,
            max_voters=self.most,
            seed=seed,
            now=self.now,
            timeouts=self.pace,
        )
        self._pump(machine)
        self._later(AGAIN, ("connect", ip))

    def kill(self, ip: str, power: bool = False) -> None:
        """The process ends. `power`: with what was not synced, and nobody is told."""
        machine = self.machines[ip]
        machine.replica = None
        if power:
            machine.disk.unsynced = None
        elif machine.disk.late and machine.disk.unsynced:
            machine.disk.synced, machine.disk.unsynced = machine.disk.unsynced, None
        for pair in [pair for pair in self.links if ip in pair]:
            if power:
                self.links[pair] = self.links[pair] or self.now
            else:
                self._break(pair)

    def wipe(self, ip: str) -> None:
        """Its disk is lost, with the power."""
        self.kill(ip, power=True)
        self.machines[ip].disk = self.disk(ip)
        if self.counts_copies:
            self.wrong = self.wrong or self.copies.lacking(self.present())

    def remove(self, ip: str) -> None:
        """It is gone for good, with its disk."""
        self.machines[ip].gone = True
        self.wipe(ip)

    def present(self, running: bool = False) -> set[Incarnation]:
        """Lives whose disk is there. `running`: and whose process runs and is not frozen."""
        return {
            Incarnation(ip, one.disk.synced.disk_id)
            for ip, one in self.machines.items()
            if one.disk.synced is not None
            and not one.gone
            and (not running or (one.replica is not None and not one.frozen))
        }

    @property
    def newest(self) -> Value:
        """The value that was chosen last, as far as any machine knows."""
        assert self.copies.newest is not None
        return self.copies.newest[1]

    def unbearable(self, losses: Iterable[frozenset[str]]) -> list[frozenset[str]]:
        """Those further losses that would leave no majority of the voters, running, in the lives named."""
        return deciding(self.newest, self.present(running=True), losses)

    def freeze(self, ip: str) -> None:
        """The process stands still; its links hold."""
        self.machines[ip].frozen = True

    def thaw(self, ip: str) -> None:
        """It goes on, with all that has come meanwhile."""
        machine = self.machines[ip]
        machine.frozen = False
        waiting, machine.waiting = machine.waiting, []
        for sender, message in waiting:
            self._hand(machine, sender, message)
        self._tick(machine)

    def retire(self, ip: str) -> None:
        """It is told to stop, and ends when it is released, half a second later at the earliest."""
        machine = self.machines[ip]
        if machine.replica is not None:
            machine.replica.request_stop(self.now)
            self._pump(machine)
            ends = ENDS if self.waits_released else ENDS_AT_ONCE
            self._later(ends, ("end", ip, machine.started, self.now + HANDED_OVER))

    def cut(self, side: Iterable[str], other: Iterable[str] | None = None) -> None:
        """Nothing goes between these and the others (all others) any more."""
        side = set(side)
        for one in side:
            for two in set(self.machines) - side if other is None else other:
                self.cuts.add(frozenset((one, two)))
                pair = self._pair(one, two)
                if pair in self.links:
                    self.links[pair] = self.links[pair] or self.now

    def heal(self) -> None:
        """All cuts end."""
        self.cuts.clear()
        for pair, since in list(self.links.items()):
            if since and all(self.machines[ip].replica for ip in pair):
                if self.now - since >= BREAKS:
                    self._break(pair)
                else:
                    self.links[pair] = 0
        for ip in self.machines:
            self._later(AGAIN, ("connect", ip))

    # Operators.

    def change(self, on: int, edition: int, to: list[str], mark: str = "", fill: str = "") -> Try:
        """An operator sends a change, to the first of `to`, then to the next."""
        mark = mark or f"m{len(self.tries)}"
        one = Try({"mark": mark, "on": on, "edition": edition, "fill": fill}, list(to))
        self.tries.append(one)
        self._send(one)
        return one

    def _send(self, one: Try) -> None:
        ip = one.to[0]
        one.to = [*one.to[1:], ip]
        machine = self.machines[ip]
        if machine.replica is None or machine.frozen:
            one.token = None
            self._later(1000 * MS, ("send", one))
            return
        token = machine.replica.propose(one.op, self.now)
        one.token = (ip, machine.started, token)
        self._later(2000 * MS, ("send", one, one.token))
        self._pump(machine)

    # Time.

    def run(self, for_ms: float) -> None:
        """Goes on; stops at what is wrong."""
        end = self.now + int(for_ms * MS)
        while self.events and self.events[0][0] <= end and not self.wrong:
            self.now, _, event = heapq.heappop(self.events)
            self._happens(event)
        self.now = max(self.now, end)

    def _later(self, ns: int, event: tuple[Any, ...]) -> None:
        self.turn += 1
        heapq.heappush(self.events, (self.now + ns, self.turn, event))

    def _happens(self, event: tuple[Any, ...]) -> None:
        kind = event[0]
        if kind == "message":
            self._arrives(*event[1:])
        elif kind == "tick":
            machine = self.machines[event[1]]
            if machine.tick_at == self.now:
                self._tick(machine)
        elif kind == "end":
            self._ends(*event[1:])
        elif kind == "connect":
            self._connect(event[1])
        elif kind == "broken":
            pair, since = event[1:]
            if self.links.get(pair) == since:
                self._break(pair)
        elif kind == "send":
            one = event[1]
            if one.answer is None and (len(event) == 2 or one.token == event[2]):
                self._send(one)

    def _ends(self, ip: str, started: int, latest: int) -> None:
        """A process that was told to stop does so when it is released, or when its time is over."""
        machine = self.machines[ip]
        if machine.started != started or machine.replica is None:
            return
        if machine.replica.safe_to_stop or self.now >= latest or not self.waits_released:
            self.kill(ip)
        else:
            self._later(50 * MS, ("end", ip, started, latest))

    @staticmethod
    def _pair(one: str, two: str) -> Pair:
        return (one, two) if one < two else (two, one)

    def _connect(self, ip: str) -> None:
        for other in self.machines:
            pair = self._pair(ip, other)
            ends = [self.machines[end] for end in pair]
            if ip == other or pair in self.links or frozenset(pair) in self.cuts:
                continue
            if any(end.replica is None or end.frozen for end in ends):
                continue
            self.links[pair] = 0
            for end, peer in zip(ends, reversed(ends), strict=True):
                assert end.replica is not None
                end.replica.connected(peer.ip, peer.zone, self.now)
                self._pump(end)

    def _break(self, pair: Pair) -> None:
        del self.links[pair]
        for ip, other in (pair, pair[::-1]):
            self.fifo.pop((ip, other), None)
            machine = self.machines[ip]
            if machine.replica is not None:
                machine.replica.disconnected(other, self.now)
                self._pump(machine)
                self._later(AGAIN, ("connect", ip))

    def _arrives(self, sender: str, receiver: str, message: Any, starts: tuple[int, int]) -> None:
        pair = self._pair(sender, receiver)
        since = self.links.get(pair)
        one, two = self.machines[sender], self.machines[receiver]
        if since is None or starts != (one.started, two.started) or two.replica is None:
            return
        if since:  # held up, and lost if that lasts
            self._later(BREAKS + since - self.now, ("broken", pair, since))
            self._later(50 * MS, ("message", sender, receiver, message, starts))
        elif two.frozen:
            two.waiting.append((sender, message))
        else:
            self._hand(two, sender, message)

    def _hand(self, machine: Machine, sender: str, message: Any) -> None:
        if machine.replica is not None:
            machine.replica.receive(sender, message, self.now)
            self._pump(machine)

    def _tick(self, machine: Machine) -> None:
        if machine.replica is not None and not machine.frozen:
            machine.replica.tick(self.now)
            self._pump(machine)

    def _pump(self, machine: Machine) -> None:
        """Takes out what there is; looks whether it may be."""
        replica = machine.replica
        assert replica is not None
        for ip, message in replica.take_messages():
            text = json.dumps(message)
            self.bytes += len(text) + 20
            pair = self._pair(machine.ip, ip)
            if pair not in self.links:
                continue
            at = self.now + int(self.rng.uniform(0.5, 25) * MS)
            at += int(len(text) / self.rate * MS) if self.rate else 0
            at = self.fifo[machine.ip, ip] = max(at, self.fifo.get((machine.ip, ip), 0))
            starts = (machine.started, self.machines[ip].started)
            self._later(at - self.now, ("message", machine.ip, ip, json.loads(text), starts))
        for result in replica.take_results():
            for one in self.tries:
                if one.token == (machine.ip, machine.started, result.token) and one.answer is None:
                    self._told(one, result.verdict)
        replica.take_changes()
        self._look(machine)
        due = max(replica.next_tick_at(), self.now + MS)
        if machine.tick_at != due and not machine.frozen:
            machine.tick_at = due
            self._later(due - self.now, ("tick", machine.ip))

    # What must hold.

    def _told(self, one: Try, verdict: Any) -> None:
        if verdict is None:
            self._later(300 * MS, ("send", one))
            one.token = None
            return
        one.answer, one.answered_at = verdict, self.now
        self.answers += 1
        rivals = [two for two in self.tries if two.answer == 200 and two.op["on"] == one.op["on"]]
        if len({two.op["mark"] for two in rivals}) > 1:
            self.wrong = f"two were acknowledged on top of {one.op['on']}: {[two.op for two in rivals]}"

    def _look(self, machine: Machine) -> None:
        replica = machine.replica
        assert replica is not None
        held = replica.register.state.chosen
        if held is not None:
            wrong = _wrong(machine.disk) or self.copies.chose(held)
            self.wrong = self.wrong or (wrong if self.counts_copies else "")
        seen = (replica.value, replica.confirmed_at, self.answers)
        if seen == machine.seen:
            return
        if replica.value is not None and (machine.seen is None or replica.value != machine.seen[0]):
            digest = digest_of(replica.body)
            if self.bodies.setdefault(replica.version, digest) != digest:
                self.wrong = f"two bodies of number {replica.version}, the second at {machine.ip}"
            if replica.register.chosen_ballot < machine.newest:
                self.wrong = (
                    f"{machine.ip} went back from {machine.newest} to {replica.register.chosen_ballot}"
                )
            machine.newest = replica.register.chosen_ballot
        machine.seen = seen
        if replica.confirmed_at is not None:
            taken = replica.body.get("taken", [])
            for one in self.tries:
                if (
                    one.answer == 200
                    and one.answered_at < replica.confirmed_at
                    and one.op["mark"] not in taken
                ):
                    self.wrong = f"{machine.ip} says that {replica.body} was the newest, without {one.op}"
                if one.answer == 412 and one.op["mark"] in taken:
                    self.wrong = f"{one.op} was refused and is in force"

    def settled(self) -> str:
        """Do all that run hold the same, fresh, with all that was acknowledged? What is wrong, or nothing."""
        if self.wrong:
            return self.wrong
        replicas = [one.replica for one in self.machines.values() if one.replica is not None]
        if len({replica.version for replica in replicas}) != 1:
            return f"numbers differ: {[(replica.own_ip, replica.version) for replica in replicas]}"
        for replica in replicas:
            if replica.confirmed_at is None or self.now - replica.confirmed_at > 1000 * MS:
                return f"{replica.own_ip} is not fresh: {replica.confirmed_at} at {self.now}"
        taken = replicas[0].body.get("taken", [])
        lost = [one.op for one in self.tries if one.answer == 200 and one.op["mark"] not in taken]
        return f"lost: {lost}" if lost else ""
