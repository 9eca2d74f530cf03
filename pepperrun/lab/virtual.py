"""Members in virtual time: the protocol's own code over a network that is broken on purpose. Does no I/O.

One event queue, one seed: the same seed gives the same run to the byte. What is measured here at 256 members
is measured with real processes by `pepperrun.lab.measure` where a machine holds them.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pepperrun.core.clock import SECOND
from pepperrun.membership.keys import KeyRing
from pepperrun.membership.member import Member
from pepperrun.membership.states import MemberConfig, MembershipEvent, OwnState
from pepperrun.membership.wire import State

MS = 1_000_000
KEYS = KeyRing({1: bytes(range(32))})


@dataclass(slots=True)
class Path:
    """One way from one member to another. Times in ns, `loss` and `twice` as parts of 1."""

    loss: float = 0.0
    twice: float = 0.0
    delay: int = 2 * MS
    jitter: int = 2 * MS
    cut: bool = False


@dataclass(slots=True)
class Host:
    """A machine with a member, or without one while it is down."""

    member: Member | None = None
    paused: bool = False
    waiting: list[tuple[int, bytes]] = field(default_factory=list)  # what came while it was paused
    wakes_at: int = -1
    starts: int = 0


class Members:
    """Some members, their network and its faults."""

    def __init__(
        self,
        count: int,
        seed: int,
        path: Path | None = None,
        turn_ns: int = 0,
        config: Callable[..., MemberConfig] = MemberConfig,
    ) -> None:
        self.count, self.random, self.path = count, random.Random(seed), path or Path()
        self.paths: dict[tuple[int, int], Path] = {}
        self.hosts = [Host() for _ in range(count)]
        self.now, self.order = SECOND, 0
        self.queue: list[tuple[int, int, Callable[[], object]]] = []
        self.config, self.turn_ns = config, turn_ns
        self.happened: list[tuple[int, MembershipEvent]] = []  # at whom
        self.datagrams = self.bytes = 0
        self.wanted: list[Callable[[int, MembershipEvent], None]] = []

    # Time.

    def at(self, when: int, what: Callable[[], object]) -> None:
        """Does something then."""
        self.order += 1
        heapq.heappush(self.queue, (max(when, self.now), self.order, what))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Goes on for so long, or until something holds; did it?"""
        end = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    # Hosts.

    def start(self, number: int, name: str = "", life: int = 0) -> Member:
        """A process starts; `life` where its clock says something else than the time."""
        host = self.hosts[number]
        host.starts += 1
        config = self.config(number, self.count, name or f"n{number}", KEYS)
        seed = self.random.randrange(2**32)
        member = Member(config, life or self.now // (SECOND // 10), seed, self.now)
        member.on_event = partial(self._told, number)
        host.member, host.paused, host.waiting = member, False, []
        self._wake(number)
        return member

    def start_all(self, spread_s: float = 0.5) -> None:
        """All start within a time."""
        for number in range(self.count):
            self.at(self.now + int(self.random.random() * spread_s * SECOND), partial(self.start, number))

    def kill(self, number: int) -> None:
        """The process ends with no word."""
        self.hosts[number].member = None

    def pause(self, number: int, seconds: float) -> None:
        """It stands still; what comes meanwhile waits for it."""
        host = self.hosts[number]
        host.paused = True
        starts = host.starts
        self.at(self.now + int(seconds * SECOND), lambda: self._resume(number, starts))

    def resume(self, number: int) -> None:
        """It goes on now."""
        self._resume(number, self.hosts[number].starts)

    def _resume(self, number: int, starts: int) -> None:
        host = self.hosts[number]
        if host.paused and host.starts == starts:
            host.paused = False
            waiting, host.waiting = host.waiting, []
            for sender, data in waiting[-200:]:  # a socket's buffer is not endless
                self._arrive(sender, number, data)
            self._turn(number)

    def member(self, number: int) -> Member:
        """The member there; it must be up."""
        member = self.hosts[number].member
        assert member is not None
        return member

    def up(self) -> list[int]:
        """Hosts whose process runs and is not paused."""
        return [n for n, host in enumerate(self.hosts) if host.member is not None and not host.paused]

    # Network.

    def cut(self, some: list[int], others: list[int], on: bool = True, both: bool = True) -> None:
        """Nothing goes from the one to the others, nor back if `both`."""
        for one in some:
            for other in others:
                for pair in [(one, other), (other, one)] if both else [(one, other)]:
                    self.way(*pair).cut = on

    def way(self, sender: int, receiver: int) -> Path:
        """The path of a pair, its own from now on."""
        base = self.path
        return self.paths.setdefault(
            (sender, receiver), Path(base.loss, base.twice, base.delay, base.jitter, base.cut)
        )

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        path = self.paths.get((sender, receiver), self.path)
        times = 1 + (path.twice > 0 and self.random.random() < path.twice)
        for _ in range(times):
            if path.cut or path.loss > 0 and self.random.random() < path.loss:
                continue
            late = path.delay + int(self.random.random() * path.jitter)
            if self.turn_ns:
                late += int(self.random.expovariate(1 / self.turn_ns))
            self.at(self.now + late, lambda: self._arrive(sender, receiver, data))

    def _arrive(self, sender: int, receiver: int, data: bytes) -> None:
        host = self.hosts[receiver]
        if host.member is None:
            return
        if host.paused:
            host.waiting.append((sender, data))
            return
        host.member.receive(sender, data, self.now)
        self._after(receiver)

    def _wake(self, number: int) -> None:
        host = self.hosts[number]
        if host.member is None or host.paused:
            return
        due = max(self.now + MS, host.member.due())
        if host.wakes_at < self.now or due < host.wakes_at:
            host.wakes_at = due
            self.at(due, lambda: self._turn_if(number, due))

    def _turn_if(self, number: int, due: int) -> None:
        host = self.hosts[number]
        if host.wakes_at == due:
            host.wakes_at = -1
            self._turn(number)

    def _turn(self, number: int) -> None:
        host = self.hosts[number]
        if host.member is None or host.paused:
            return
        if self.now >= host.member.due():
            host.member.tick(self.now)
        self._after(number)

    def _after(self, number: int) -> None:
        host = self.hosts[number]
        if host.member is not None:
            for receiver, data in host.member.outbox.take_outgoing():
                self._send(number, receiver, data)
            self._wake(number)

    def _told(self, number: int, what: MembershipEvent) -> None:
        self.happened.append((number, what))
        for wanted in self.wanted:
            wanted(number, what)

    # What is asked of a run.

    def agreed(self, numbers: list[int] | None = None) -> bool:
        """Do all of these (all that are up) hold one view, of just them?"""
        numbers = self.up() if numbers is None else numbers
        views = {self.member(n).views.view.digest for n in numbers}
        sets = {self.member(n).views.view.member_numbers() for n in numbers}
        return len(views) == 1 and sets == {frozenset(numbers)}

    def settled(self) -> bool:
        """All are members and hold one view."""
        return all(self.member(n).own.state is OwnState.MEMBER for n in self.up()) and self.agreed()

    def holds_dead(self, number: int, dead: int) -> bool:
        """Does that one hold the other dead?"""
        known = self.member(number).table.get(dead)
        return known is not None and known.state is State.DEAD

    def all_know(self, dead: int) -> bool:
        """Do all that are up hold it dead?"""
        return all(self.holds_dead(number, dead) for number in self.up())
