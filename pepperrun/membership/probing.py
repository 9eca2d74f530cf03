"""The failure detector's probes: a direct ping, then indirect pings through helpers. Does no I/O.

| stage | what happens | next |
| --- | --- | --- |
| DIRECT | the target replies | done: the target is alive and reachable |
| DIRECT | no reply within its learned time-out | INDIRECT: three helpers ping it, and two more direct pings |
| INDIRECT | a reply through a helper | done: the target is alive, and not reachable from here |
| INDIRECT | no reply in time | done: it is suspected; if no helper replied, local health degrades too |

Every second probe goes to the next alive member on the ring, so that each member is probed about twice in
four periods, whatever the size of the group. The other probes go to all members in rotation, in an order that
is shuffled for each round. A probe is skipped if the member was heard from within the period anyway and a
direct probe of it succeeded recently.
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

# Helpers of an indirect probe: with one datagram in five lost, about one path in three through them works.
HELPERS = 3
# A link with a successful probe this recently is not probed if its member is heard from anyway.
LINK_CHECK_INTERVAL_NS = 30 * SECOND
MAX_LOCAL_HEALTH = 8  # a degraded member waits at most nine times as long
# The probe rate is multiplied by this while several members are suspected, to find a mass failure sooner.
MASS_FAILURE_SPEEDUP = 3
# Remote members take part in the rotation this often: members near them probe them too.
REMOTE_ROUND_INTERVAL_NS = 30 * SECOND
# A successor on the ring that is remote is probed in one of this many periods.
REMOTE_SUCCESSOR_PERIODS = 8
PROBE_ID_LIMIT = 2**16
MAX_TIMEOUT_PERIODS = 5  # a link may be slower than the probe period
MAX_REMEMBERED_PINGS, PING_MEMORY_NS = 256, 5 * SECOND  # pings kept to measure late replies


class Stage(enum.Enum):
    """Stage of a probe."""

    DIRECT = "direct"
    INDIRECT = "indirect"


@dataclass(slots=True)
class Probe:
    """A probe in flight. `on_behalf_of`: member that requested it as a helper's probe, and its probe ID."""

    target: int
    generation: int
    started_at: int
    deadline: int
    stage: Stage = Stage.DIRECT
    probe_id: int = 0  # sent to the helpers
    helpers: set[int] = field(default_factory=set)
    silent_helpers: set[int] = field(default_factory=set)  # helpers without a reply so far
    repeat_at: int = 0  # when the target is pinged once more in stage INDIRECT; 0: no more
    on_behalf_of: tuple[int, int] | None = None
    checks_claim: bool = False  # checks whether a claimed number's current generation is alive


Post = Callable[..., None]


class Prober:
    """Probes one member each period, and on request suspected members that this one watches."""

    def __init__(
        self, table: MemberTable, links: Links, rng: random.Random, period_ns: int, post: Post
    ) -> None:
        self.table, self.links, self.rng, self.period_ns, self.post = table, links, rng, period_ns, post
        self.probes: dict[int, Probe] = {}
        self.pings: dict[int, tuple[int, int]] = {}  # probe ID: target and time of each ping
        self.last_contact: dict[int, int] = {}  # when a member was last heard from, by any path
        self.last_late_at: dict[int, int] = {}  # when a member last replied late
        self.next_probe_at = 0
        self.rotation: list[int] = []
        self.period_count = self.remote_round_at = 0
        self.last_probe_id = rng.randrange(PROBE_ID_LIMIT)
        self.last_ack_at = 0  # when any probe last got a reply
        self.consecutive_failures = 0  # own failed probes since the last reply
        # Lifeguard's local health score: 0 is healthy. A higher score lengthens this member's time-outs.
        self.local_health = 0

    def base_timeout(self, member: int) -> int:
        """How long a reply of a member may take, in ns, if this member is healthy."""
        return self.links.round_trip(member).timeout(MAX_TIMEOUT_PERIODS * self.period_ns)

    def timeout(self, member: int) -> int:
        """How long this member waits for a reply, in ns, with its present local health."""
        return self.base_timeout(member) * (1 + self.local_health)

    def start_probe(self, member: int, now: int, **more: object) -> None:
        """Starts a direct probe. `more` sets further fields of the `Probe`."""
        record = self.table.get(member)
        probe = Probe(member, record.generation if record is not None else 0, now, now + self.timeout(member))
        for key, value in more.items():
            setattr(probe, key, value)
        if probe.on_behalf_of is not None:
            # Local health does not lengthen this time-out: the requester would take a late reply for none,
            # and for a fault of its own.
            probe.deadline = now + self.base_timeout(member)
        probe.probe_id = self._send_ping(member, now)
        self.probes[probe.probe_id] = probe

    def _send_ping(self, member: int, now: int) -> int:
        """Sends a ping and returns its probe ID. IDs are unique, so that a reply gives a round-trip time."""
        if len(self.pings) > MAX_REMEMBERED_PINGS:
            self.pings = {n: one for n, one in self.pings.items() if now - one[1] < PING_MEMORY_NS}
        self.last_probe_id = (self.last_probe_id + 1) % PROBE_ID_LIMIT
        while self.last_probe_id in self.probes or self.last_probe_id in self.pings:
            self.last_probe_id = (self.last_probe_id + 1) % PROBE_ID_LIMIT
        self.pings[self.last_probe_id] = member, now
        self.post(member, Kind.PING, probe_id=self.last_probe_id)
        return self.last_probe_id

    def is_probing(self, member: int) -> bool:
        """Whether a probe of the member on this one's own behalf is in flight."""
        return any(probe.target == member and probe.on_behalf_of is None for probe in self.probes.values())

    def tick(self, now: int) -> list[Probe]:
        """Runs the timers that are due and returns the probes that have failed."""
        if now >= self.next_probe_at:
            suspects = len(self.table.others_in(State.SUSPECT))
            interval = self.period_ns // MASS_FAILURE_SPEEDUP if suspects > 1 else self.period_ns
            self.next_probe_at = now + int(interval * self.rng.uniform(0.9, 1.1))
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
        self.probes = {probe_id: one for probe_id, one in self.probes.items() if one is not probe}

    def _start_indirect(self, probe: Probe, now: int) -> None:
        self.links.record_no_reply(probe.target)
        probe.stage = Stage.INDIRECT
        own_timeout = self.timeout(probe.target)
        # A member that reports that it does not reach the target is no helper.
        excluded = [m for m in self.links.rows if not self.links.reports_reachable(m, probe.target)]
        helpers = self.table.sample_alive(self.rng, HELPERS, probe.target, *excluded)
        probe.helpers, probe.silent_helpers = set(helpers), set(helpers)
        for helper in helpers:
            self.post(helper, Kind.PING_REQ, probe_id=probe.probe_id, subject=probe.target)
        self.probes[self._send_ping(probe.target, now)] = probe
        slowest_helper = max((self.timeout(helper) for helper in helpers), default=0)
        # A helper waits as long as this member does, and its reply must arrive here.
        probe.deadline = now + own_timeout + slowest_helper
        probe.repeat_at = now + slowest_helper // 2 if helpers else 0

    def _probe_next(self, now: int) -> None:
        self.period_count += 1
        target = next(iter(self.table.successors(self.table.me)), None)
        remote = target in self.table.roster.remote
        if self.period_count % 2 == 0 or (remote and self.period_count % REMOTE_SUCCESSOR_PERIODS != 1):
            target = self._next_in_rotation(now) or target
        if target is None or self.is_probing(target):
            return
        recently_heard = now - self.last_contact.get(target, -self.period_ns) < self.period_ns
        # A member with degraded local health keeps probing: only replies can restore its health.
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
            remote = self.table.roster.remote
            near = [member for member in self.rotation if member not in remote]
            # If one remote member is suspected or dead, more may be, and all are probed.
            remote_healthy = remote.isdisjoint(self.table.others_in(State.SUSPECT, State.DEAD))
            if near and remote_healthy and now - self.remote_round_at < REMOTE_ROUND_INTERVAL_NS:
                self.rotation = near
            else:
                self.remote_round_at = now
            self.rng.shuffle(self.rotation)
        return None

    def on_ack(self, probe_id: int, sender: int, subject: int, now: int) -> Probe | None:
        """Handles a reply; returns the probe that it completes, or None."""
        ping = self.pings.pop(probe_id, None)
        if ping is not None and ping[0] == sender and subject in (sender, NO_MEMBER):
            # Late replies are measured too, so that a slow member is not suspected the next time. A member
            # that stalled replies to all pings at once, as late as its stall was long: one late reply a
            # period counts, and it at most doubles the time-out.
            timeout = self.base_timeout(sender)
            round_trip_ns, is_late = now - ping[1], now - ping[1] > timeout
            if not is_late or now - self.last_late_at.get(sender, -self.period_ns) >= self.period_ns:
                self.links.record_reply(sender, min(round_trip_ns, 2 * timeout), now)
            if is_late:
                self.last_late_at[sender] = now
        probe = self.probes.get(probe_id)
        if probe is None:
            return None
        indirect = subject == probe.target and sender in probe.helpers
        if sender != probe.target and not indirect:
            return None
        self._finish(probe)
        self.consecutive_failures, self.last_ack_at = 0, now
        if probe.on_behalf_of is None:
            self.local_health //= 2  # a reply shows that this member can send and receive
        return probe

    def on_nack(self, probe_id: int, sender: int) -> None:
        """Handles a helper's NACK: the target did not reply to it, but the link to the helper works."""
        probe = self.probes.get(probe_id)
        if probe is not None:
            probe.silent_helpers.discard(sender)

    def degrade_health(self, by: int = 1) -> None:
        """Raises the local health score: there is a sign of a fault of this member itself."""
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + by)

    def cancel_all(self) -> None:
        """Cancels all probes in flight, after a stall of this member or when its name was rejected."""
        self.probes.clear()
        self.pings.clear()
        self.next_probe_at = 0

    def due(self) -> int:
        """Time of the next timer, in ns."""
        return min(
            [self.next_probe_at, *(probe.repeat_at or probe.deadline for probe in self.probes.values())]
        )
