"""Probes: one member at a time is asked whether it is there, by itself and then through others. Does no I/O.

| stage | what happens | next |
| --- | --- | --- |
| DIRECT | its answer comes | over: it is there and reached |
| DIRECT | none in the patience learnt for it | INDIRECT: three others ask it, and it is asked twice more |
| INDIRECT | an answer through another | over: it is there, and not reached from here |
| INDIRECT | none to the end | over: suspected; if no helper spoke, this member doubts itself too |

Every second probe goes to the next live member on the ring, so that each member is asked about twice in four
periods whatever their number; the others go to all in turn, the order shuffled each time round. A probe is
saved where the member was heard within the period anyway and its way here was tried not long ago.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pepperrun.core.clock import SECOND
from pepperrun.membership.links import Links
from pepperrun.membership.records import MemberTable
from pepperrun.membership.wire import NO_MEMBER, Kind, State

HELPERS = 3  # that ask for this member: with one word in five lost, one way in three through them holds
LINK_CHECK_INTERVAL_NS = (
    30 * SECOND
)  # a way that came back so lately need not be tried where its member is heard
MAX_LOCAL_HEALTH = 8  # a member in trouble is at most nine times as patient
MASS_FAILURE_SPEEDUP = (
    3  # so many times the pace while several are suspected: many have failed, and are found sooner
)
REMOTE_ROUND_INTERVAL_NS = (
    30 * SECOND
)  # those that are far are asked in turn so often: those near them ask them too
REMOTE_SUCCESSOR_PERIODS = 8  # and where the next one on the ring is far, it is asked in one of so many turns
PROBE_ID_LIMIT = 2**16
MAX_TIMEOUT_PERIODS = 5  # periods: a link may be slower than the pace of the probes
MAX_REMEMBERED_PINGS, PING_MEMORY_NS = 256, 5 * SECOND  # questions remembered for their late answers


class Stage(enum.Enum):
    """How far a probe has come."""

    DIRECT = "direct"
    INDIRECT = "indirect"


@dataclass(slots=True)
class Probe:
    """A question that is out. `for_whom`: another member's, and its number there."""

    target: int
    generation: int
    started_at: int
    deadline: int
    stage: Stage = Stage.DIRECT
    probe_id: int = 0  # as helpers and this member know it
    helpers: set[int] = field(default_factory=set)
    silent_helpers: set[int] = field(default_factory=set)  # helpers that have said nothing yet
    repeat_at: int = 0  # when it is asked once more, in the second stage
    on_behalf_of: tuple[int, int] | None = None
    checks_claim: bool = False  # is the old life of a name still there?


Post = Callable[..., None]


class Prober:
    """Asks one member each period, and whoever is suspected where this one is among its watchers."""

    def __init__(
        self, table: MemberTable, links: Links, rng: random.Random, period_ns: int, post: Post
    ) -> None:
        self.table, self.links, self.rng, self.period_ns, self.post = table, links, rng, period_ns, post
        self.probes: dict[int, Probe] = {}
        self.pings: dict[int, tuple[int, int]] = {}  # each question by its number: whom, when
        self.last_contact: dict[int, int] = {}  # when anything was last heard of a member, by any path
        self.last_late_at: dict[int, int] = {}  # when a member last answered late
        self.next_probe_at = 0
        self.rotation: list[int] = []
        self.period_count = self.remote_round_at = 0
        self.last_probe_id = rng.randrange(PROBE_ID_LIMIT)
        self.last_ack_at = 0  # when any question was last answered
        self.consecutive_failures = 0  # own probes that came to nothing since the last answer
        self.local_health = 0  # the worse this member fares itself, the more patient it is with others

    def base_timeout(self, member: int) -> int:
        """How long an answer of it may take, ns."""
        return self.links.round_trip(member).timeout(MAX_TIMEOUT_PERIODS * self.period_ns)

    def timeout(self, member: int) -> int:
        """How long this one waits for it, as it fares now."""
        return self.base_timeout(member) * (1 + self.local_health)

    def start_probe(self, member: int, now: int, **more: object) -> None:
        """Asks a member itself."""
        record = self.table.get(member)
        probe = Probe(member, record.generation if record is not None else 0, now, now + self.timeout(member))
        for key, value in more.items():
            setattr(probe, key, value)
        if probe.on_behalf_of is not None:
            # Not longer because this one fares badly: the asker would take its silence for its own trouble.
            probe.deadline = now + self.base_timeout(member)
        probe.probe_id = self._send_ping(member, now)
        self.probes[probe.probe_id] = probe

    def _send_ping(self, member: int, now: int) -> int:
        """A question's number; it is its own, so that the answer tells the time that it took."""
        if len(self.pings) > MAX_REMEMBERED_PINGS:
            self.pings = {n: one for n, one in self.pings.items() if now - one[1] < PING_MEMORY_NS}
        self.last_probe_id = (self.last_probe_id + 1) % PROBE_ID_LIMIT
        while self.last_probe_id in self.probes or self.last_probe_id in self.pings:
            self.last_probe_id = (self.last_probe_id + 1) % PROBE_ID_LIMIT
        self.pings[self.last_probe_id] = member, now
        self.post(member, Kind.PING, probe_id=self.last_probe_id)
        return self.last_probe_id

    def is_probing(self, member: int) -> bool:
        """Is a question of this one's own to it out?"""
        return any(probe.target == member and probe.on_behalf_of is None for probe in self.probes.values())

    def tick(self, now: int) -> list[Probe]:
        """Does what is due; the probes that have come to nothing."""
        if now >= self.next_probe_at:
            suspects = len(self.table.others_in(State.SUSPECT))
            pace = self.period_ns // MASS_FAILURE_SPEEDUP if suspects > 1 else self.period_ns
            self.next_probe_at = now + int(pace * self.rng.uniform(0.9, 1.1))
            self._probe_next(now)
        failed = []
        for probe in list({id(probe): probe for probe in self.probes.values()}.values()):
            if probe.repeat_at and now >= probe.repeat_at:
                probe.repeat_at = 0
                self.probes[self._send_ping(probe.target, now)] = probe
            if now < probe.deadline:
                continue
            if probe.stage is Stage.INDIRECT or probe.on_behalf_of is not None or probe.checks_claim:
                self._finish(probe)
                failed.append(probe)
            else:
                self._start_indirect(probe, now)
        return failed

    def _finish(self, probe: Probe) -> None:
        self.probes = {number: one for number, one in self.probes.items() if one is not probe}

    def _start_indirect(self, probe: Probe, now: int) -> None:
        self.links.record_no_reply(probe.target)
        probe.stage = Stage.INDIRECT
        span = self.timeout(probe.target)
        # Who is known not to reach it is of no help.
        excluded = [m for m in self.links.rows if not self.links.reports_reachable(m, probe.target)]
        helpers = self.table.sample_alive(self.rng, HELPERS, probe.target, *excluded)
        probe.helpers, probe.silent_helpers = set(helpers), set(helpers)
        for helper in helpers:
            self.post(helper, Kind.PING_REQ, probe_id=probe.probe_id, subject=probe.target)
        self.probes[self._send_ping(probe.target, now)] = probe
        slowest = max((self.timeout(helper) for helper in helpers), default=0)
        probe.deadline = (
            now + span + slowest
        )  # a helper waits as long as this one does, and its word has to come
        probe.repeat_at = now + slowest // 2 if helpers else 0

    def _probe_next(self, now: int) -> None:
        self.period_count += 1
        target = next(iter(self.table.successors(self.table.me)), None)
        far = target in self.table.roster.remote
        if self.period_count % 2 == 0 or (far and self.period_count % REMOTE_SUCCESSOR_PERIODS != 1):
            target = self._next_in_rotation(now) or target
        if target is None or self.is_probing(target):
            return
        recently_heard = now - self.last_contact.get(target, -self.period_ns) < self.period_ns
        # One that fares badly itself asks on: only answers show that it is well again.
        if (
            recently_heard
            and not self.local_health
            and now - self.links.last_success_at.get(target, -LINK_CHECK_INTERVAL_NS) < LINK_CHECK_INTERVAL_NS
            and target not in self.links.unreachable
        ):
            return
        self.start_probe(target, now)

    def _next_in_rotation(self, now: int) -> int | None:
        for _ in range(2):
            while self.rotation:
                record = self.table.get(member := self.rotation.pop())
                if record is not None and record.present:
                    return member
            self.rotation = self.table.others_in(State.ALIVE, State.SUSPECT)
            far = self.table.roster.remote
            near = [member for member in self.rotation if member not in far]
            calm = far.isdisjoint(self.table.others_in(State.SUSPECT, State.DEAD))  # else more may be lost
            if near and calm and now - self.remote_round_at < REMOTE_ROUND_INTERVAL_NS:
                self.rotation = near
            else:
                self.remote_round_at = now
            self.rng.shuffle(self.rotation)
        return None

    def on_ack(self, number: int, sender: int, subject: int, now: int) -> Probe | None:
        """An answer to a question of this member; the probe where it is one."""
        asked = self.pings.pop(number, None)
        if asked is not None and asked[0] == sender and subject in (sender, NO_MEMBER):
            # Late or not: how long it takes is learnt, so that slow is not taken for dead the next time.
            # One that stood still answers all at once, as late as it stood: patience at most doubles by that.
            timeout = self.base_timeout(sender)
            took, late = now - asked[1], now - asked[1] > timeout
            if not late or now - self.last_late_at.get(sender, -self.period_ns) >= self.period_ns:
                self.links.record_reply(sender, min(took, 2 * timeout), now)
            if late:
                self.last_late_at[sender] = now
        probe = self.probes.get(number)
        if probe is None:
            return None
        through = subject == probe.target and sender in probe.helpers
        if sender != probe.target and not through:
            return None
        self._finish(probe)
        self.consecutive_failures, self.last_ack_at = 0, now
        if probe.on_behalf_of is None:
            self.local_health //= 2  # an answer shows that this member hears and is heard now
        return probe

    def on_nack(self, number: int, sender: int) -> None:
        """A helper says that it heard nothing either: the way between it and this one is fine."""
        probe = self.probes.get(number)
        if probe is not None:
            probe.silent_helpers.discard(sender)

    def degrade_health(self, by: int = 1) -> None:
        """Something says that this member itself fares badly."""
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + by)

    def cancel_all(self) -> None:
        """After a standstill of this member nothing that was out says anything."""
        self.probes.clear()
        self.pings.clear()
        self.next_probe_at = 0

    def due(self) -> int:
        """When `tick` has something to do."""
        return min(
            [self.next_probe_at, *(probe.repeat_at or probe.deadline for probe in self.probes.values())]
        )
