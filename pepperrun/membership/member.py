"""One member of the group: joins, probes the others, refutes suspicions, leaves. No socket, no clock.

Its own state and the transitions are in `states`. Another member is ALIVE, SUSPECT, DEAD or LEFT, see
`records`. When a member is suspected, its watchers probe it too. It is declared dead once enough of them
confirm the suspicion, or once the suspicion has stood for a long time without a refutation. A live member
that receives the suspicion refutes it with a higher incarnation, also after it was declared dead.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from pepperrun.core.clock import SECOND, Bucket
from pepperrun.membership.keys import KeyRing
from pepperrun.membership.links import Links
from pepperrun.membership.names import NameRegistry
from pepperrun.membership.outbox import Outbox
from pepperrun.membership.probing import Probe, Prober
from pepperrun.membership.records import MemberTable, Record
from pepperrun.membership.replay_guard import ReplayGuard
from pepperrun.membership.roster import static_roster
from pepperrun.membership.self_suspicion import SelfSuspicion
from pepperrun.membership.side_tracker import SideTracker
from pepperrun.membership.states import (
    TRANSITIONS,
    MemberConfig,
    MembershipEvent,
    OwnEvent,
    OwnRecord,
    OwnState,
)
from pepperrun.membership.suspicion import WATCHERS, SuspicionTimers
from pepperrun.membership.views import Side, Views
from pepperrun.membership.wire import (
    GENERATION_LIMIT,
    INCARNATION_LIMIT,
    NO_MEMBER,
    STATE_NAMES,
    Datagram,
    Kind,
    SignedCodec,
    State,
    Update,
    name_hash,
)

JOIN_RETRY_NS = SECOND // 10  # mean interval of SYNC_REQUESTs until the first reply
JOIN_TIMEOUT_NS = 2 * SECOND  # without any reply by then, this member is the first of its group
REJECTED_RETRY_NS = 2 * SECOND
# How often one absent member is sent a SYNC_REQUEST: a partition may heal, a machine may come back.
RECONNECT_INTERVAL_NS = SECOND // 2
GOSSIP_DELAY_NS = 40_000_000  # new updates are collected for this long and sent in one datagram
GOSSIP_FANOUT = 2  # members that receive that datagram
# Datagrams of GOSSIP a second, at most: many updates at once must not fill the receivers' intake.
GOSSIP_RATE, GOSSIP_BURST = 20.0, 20.0
STALL_NS = SECOND // 2  # a longer pause of this process makes it suspect itself, not the others
MAX_EVENTS = 512  # kept for the admin call `members since`
COUNTER_NAMES = (
    "sent",
    "sent_bytes",
    "heard",
    "forged",
    "replayed",
    "foreign",
    "suspected",
    "buried",
    "denied",
)


class Member:
    """The protocol of one member. The caller passes datagrams and the time in, and sends what `outbox` holds.

    `events` keeps the latest events; `on_event` is called with each new one.
    """

    def __init__(self, config: MemberConfig, generation: int, seed: int, now: int) -> None:
        self.me, self.config = config.me, config
        self.roster = config.roster or static_roster(config.me, config.count)
        self.rng = random.Random(seed)
        self.own = OwnRecord(self.me, name_hash(config.name), generation % GENERATION_LIMIT or 1)
        self.counters = dict.fromkeys(COUNTER_NAMES, 0)
        self.table, self.links = MemberTable(self.roster), Links(self.roster)
        self.views = Views(now, self.roster.wire_ids if config.roster is not None else None)
        self.outbox = Outbox(
            *(config, self.own, self.table, self.links, self.views, self.rng, self.counters),
            lambda: self.prober.local_health,
        )
        self.prober = Prober(self.table, self.links, self.rng, config.probe_period_ns, self.outbox.post)
        self.suspicions = SuspicionTimers(self.table, self.prober, config.min_suspicion_ns)
        self.replay_guard = ReplayGuard(self.own, self.table, self.outbox, self.counters)
        self.self_suspicion = SelfSuspicion(
            self.table, self.links, self.prober, self.rng, config.probe_period_ns
        )
        self.side_tracker = SideTracker(self.me, self.roster, self.table, self.views, self.prober, now)
        self.name_registry = NameRegistry(
            self.own, self.table, self.prober, self.outbox, self._apply_update, self._emit
        )
        self.handlers: dict[Kind, Callable[[Datagram, int], None]] = {
            Kind.PING: self._on_ping,
            Kind.ACK: self._on_ack,
            Kind.PING_REQ: self._on_ping_request,
            Kind.NACK: lambda one, now: self.prober.on_nack(one.probe_id, one.sender),
            Kind.SYNC_REQUEST: self.name_registry.on_sync_request,
            Kind.SYNC_REPLY: self._on_sync_reply,
            Kind.GOSSIP: lambda one, now: None,
            Kind.NAME_CONFLICT: self._on_name_conflict,
        }
        self.events: deque[MembershipEvent] = deque(maxlen=MAX_EVENTS)
        self.gossip_bucket = Bucket(GOSSIP_RATE, GOSSIP_BURST, GOSSIP_BURST, now)
        self.started = self.last_run_at = self.state_changed_at = now
        self.join_retry_at = self.reconnect_at = now
        self.gossip_at = 0  # when new updates are sent; 0: there are none
        self.on_event: Callable[[MembershipEvent], None] | None = None

    @property
    def member_count(self) -> int:
        """Number of members on the roster, present or not."""
        return len(self.roster)

    @property
    def suspects_itself(self) -> bool:
        """Whether this member may be the one that is unreachable."""
        return self.self_suspicion.active

    @property
    def rejoined_at(self) -> int:
        """When this member last returned from a minority side or recovered from a stall, in ns."""
        return self.side_tracker.rejoined_at

    @property
    def previously_missing(self) -> frozenset[int]:
        """Members that were missing when this member was last on a minority side."""
        return self.side_tracker.previously_missing

    def expected_members(self) -> frozenset[int]:
        """All members except those that left gracefully."""
        return self.side_tracker.expected_members()

    def side(self) -> Side:
        """The partition side of this member, by its view."""
        return self.side_tracker.side()

    def set_keys(self, keys: KeyRing) -> None:
        """Replaces the keys, with immediate effect on datagrams sent and received."""
        self.config = replace(self.config, keys=keys)
        self.outbox.codec = self.config.codec or SignedCodec(self.config.count, keys)

    def forget(self, member: int) -> None:
        """Drops all state of a member that was removed from the roster."""
        self.table.forget(member)
        self.links.forget(member)
        self.name_registry.name_hashes.pop(member, None)
        self.prober.last_contact.pop(member, None)
        self.views.reported.pop(member, None)
        self.replay_guard.forget(member)

    # Own state.

    def _transition(self, event: OwnEvent, now: int, detail: str = "", by: int = NO_MEMBER) -> bool:
        new_state = TRANSITIONS.get((self.own.state, event))
        if new_state is None:
            return False
        self.own.state, self.state_changed_at = new_state, now
        self._emit(now, new_state.value, self.me, by, detail)
        if new_state is OwnState.MEMBER:
            self._announce(State.ALIVE, now)
        elif new_state is OwnState.JOINING:
            self.join_retry_at = now
        elif new_state is OwnState.REJECTED:
            self.prober.cancel_all()
        return True

    def _announce(self, state: State, now: int) -> None:
        """Queues an update about this member itself."""
        self.table.apply(Update(self.me, self.own.generation, self.own.incarnation, state, self.me), now)
        self._schedule_gossip(now)

    def leave(self, now: int) -> None:
        """Announces a graceful leave, so that the others need not detect a failure."""
        if self._transition(OwnEvent.LEAVE, now):
            self._announce(State.LEFT, now)
            for member in self.table.sample_alive(self.rng, 2 * GOSSIP_FANOUT):
                self.outbox.post(member, Kind.GOSSIP)

    # Time.

    def _detect_stall(self, now: int) -> None:
        """Handles a stall of this process.

        Missing replies during a stall say nothing about the others: probes in flight are cancelled and
        suspicion timers start again.
        """
        stalled_ns, self.last_run_at = now - self.last_run_at, max(now, self.last_run_at)
        if stalled_ns < STALL_NS or self.own.state is not OwnState.MEMBER:
            return
        self.self_suspicion.on_stall()
        self.prober.cancel_all()
        self.name_registry.claims.clear()
        self.prober.degrade_health()
        for record in self.table.records.values():
            if record.state is State.SUSPECT:
                record.since = now
        self._emit(now, "stood still", self.me, self.me, f"{stalled_ns / SECOND:.2f} s")
        for member in self.table.sample_alive(self.rng, WATCHERS):
            self.prober.start_probe(member, now)

    def tick(self, now: int) -> None:
        """Runs all timers that are due."""
        self._detect_stall(now)
        if self.own.state is OwnState.LEFT:
            return
        if self.own.state is OwnState.REJECTED:
            if now - self.state_changed_at >= REJECTED_RETRY_NS:
                self._transition(OwnEvent.RETRY, now)
            return
        if self.own.state is OwnState.JOINING:
            self._try_to_join(now)
            return
        for probe in self.prober.tick(now):
            self._on_probe_failed(probe, now)
        for member in self.table.others_in(State.SUSPECT):
            record = self.table.records[member]
            if self.suspicions.is_expired(record, now):
                self._declare_dead(record, now)
            else:  # this member may have become a watcher because another watcher was found dead
                self.suspicions.verify(record, now)
        if now >= self.reconnect_at:
            self.reconnect_at = now + RECONNECT_INTERVAL_NS
            absent = [m for m in self.roster.others if not self._known_present(m)]
            if absent:
                self.outbox.post(self.rng.choice(absent), Kind.SYNC_REQUEST)
        if self.gossip_at and now >= self.gossip_at:
            self.gossip_at = 0
            for member in self.table.sample_alive(self.rng, GOSSIP_FANOUT):
                if self.gossip_bucket.fill(now) >= 1:
                    self.gossip_bucket.level -= 1
                    self.outbox.post(member, Kind.GOSSIP)
            if self.table.pending_gossip and any(key[1] != NO_MEMBER for key in self.table.pending_gossip):
                self._schedule_gossip(now)
        self._update_view(now)

    def due(self) -> int:
        """Latest time of the next call to `tick`, in ns, also if datagrams arrive before."""
        if self.own.state is OwnState.LEFT:
            return self.last_run_at + SECOND
        if self.own.state is OwnState.REJECTED:
            return self.state_changed_at + REJECTED_RETRY_NS
        if self.own.state is OwnState.JOINING:
            return self.join_retry_at
        dues = [self.prober.due(), self.reconnect_at, self.last_run_at + STALL_NS // 4]
        suspects = [self.table.records[member] for member in self.table.others_in(State.SUSPECT)]
        dues += [self.suspicions.next_check_at(record, self.last_run_at) for record in suspects]
        if self.gossip_at:
            dues.append(self.gossip_at)
        if (view := self.views.next_check_at(self.last_run_at)) is not None:
            dues.append(view)
        return min(dues)

    def _known_present(self, member: int) -> bool:
        record = self.table.get(member)
        return record is not None and (record.present or record.state is State.LEFT)

    def _schedule_gossip(self, now: int) -> None:
        self.gossip_at = self.gossip_at or now + GOSSIP_DELAY_NS

    def _try_to_join(self, now: int) -> None:
        """While joining: asks random members of the roster for the group's state until one replies."""
        if now < self.join_retry_at:
            return
        if now - self.state_changed_at >= JOIN_TIMEOUT_NS or self.member_count == 1:
            self._transition(OwnEvent.UNANSWERED, now)
            return
        self.join_retry_at = now + int(JOIN_RETRY_NS * self.rng.uniform(0.7, 1.3))
        self.outbox.post(self.rng.choice(self.roster.others), Kind.SYNC_REQUEST)

    # Suspicion.

    def _on_probe_failed(self, probe: Probe, now: int) -> None:
        if probe.on_behalf_of is not None:
            self.outbox.post(
                probe.on_behalf_of[0], Kind.NACK, probe_id=probe.on_behalf_of[1], subject=probe.target
            )
            return
        if probe.checks_claim:
            self.name_registry.accept_claim(probe.target, now)
            return
        if self.self_suspicion.on_probe_failed(now):
            failed = self.prober.consecutive_failures
            self._emit(now, "hears nobody", self.me, self.me, f"{failed} probes")
        if probe.silent_helpers and len(probe.silent_helpers) == len(probe.helpers):
            self.prober.degrade_health()  # no helper replied: this member may receive nothing itself
        record = self.table.get(probe.target)
        if record is None or record.generation != probe.generation or not record.present:
            return
        if record.state is State.ALIVE:
            self.counters["suspected"] += 1
        self._apply_update(
            Update(record.member, record.generation, record.incarnation, State.SUSPECT, self.me), now
        )

    def _declare_dead(self, record: Record, now: int) -> None:
        self.counters["buried"] += 1
        self._apply_update(
            Update(record.member, record.generation, record.incarnation, State.DEAD, self.me), now
        )

    def _apply_update(self, update: Update, now: int) -> None:
        """Applies an update about another member, or refutes one about this member."""
        if update.member == self.me:
            self._refute(update, now)
            return
        previous = self.table.get(update.member)
        old_state, generation = (previous.state, previous.generation) if previous is not None else (None, 0)
        reported_death = (
            update.state is State.DEAD and update.reporter != self.me and old_state is State.ALIVE
        )
        if (
            reported_death
            and previous is not None
            and update.generation == generation
            and update.incarnation == previous.incarnation
        ):
            # A member that was not suspected here is not declared dead on another member's report:
            # it first gets the time to refute the report.
            update = replace(update, state=State.SUSPECT)
        if not self.table.apply(update, now):
            return
        if reported_death and update.state is State.SUSPECT:
            self.table.records[update.member].reported_dead = True
        self._schedule_gossip(now)
        if generation != update.generation:
            self.links.forget(update.member)
            self.replay_guard.forget_generation(update.member, generation)
            self.prober.last_contact.pop(update.member, None)
        if old_state is not update.state or generation != update.generation:
            self._emit(
                now, STATE_NAMES[update.state], update.member, update.reporter, f"life {update.generation}"
            )
        if update.state is State.SUSPECT and old_state is not State.SUSPECT:
            self.suspicions.verify(self.table.records[update.member], now)

    def _refute(self, update: Update, now: int) -> None:
        """Refutes a false update about this member with a higher incarnation."""
        if update.generation > self.own.generation:
            if self.own.state is OwnState.JOINING:  # the previous process had a clock ahead of this one's
                self.own.generation = update.generation + 1
                self.join_retry_at = now
            else:
                self._transition(
                    OwnEvent.NAME_CONFLICT, now, f"life {update.generation} has the name", update.reporter
                )
            return
        if update.generation < self.own.generation or self.own.state is not OwnState.MEMBER:
            return
        if update.state is not State.ALIVE and update.incarnation >= self.own.incarnation:
            self.own.incarnation = update.incarnation + 1
            if self.own.incarnation >= INCARNATION_LIMIT:  # this generation has no incarnation left
                self.own.generation, self.own.incarnation = self.own.generation + 1, 0
            self.counters["denied"] += 1
            self.prober.degrade_health()
            self._emit(now, "denied", self.me, update.reporter, update.state.name.lower())
            self._announce(State.ALIVE, now)

    # Datagrams.

    def record_contact(self, member: int, at: int) -> None:
        """Notes an ordinary message from a member.

        That saves a probe but is no proof that the member is alive, because ordinary messages are not signed.
        """
        if at > self.prober.last_contact.get(member, 0):
            self.prober.last_contact[member] = at

    def receive(self, sender: int, data: bytes, now: int) -> None:
        """Handles a datagram that came from the address of the member `sender`."""
        self._detect_stall(now)
        if self.own.state in (OwnState.LEFT, OwnState.REJECTED):
            return
        datagram = self.outbox.codec.unpack(data)
        if datagram is None or sender == self.me:
            self.counters["forged"] += 1
            return
        if datagram.sender != sender:
            self.counters["foreign"] += 1
            return
        if not self.replay_guard.accepts(datagram):
            return
        self.counters["heard"] += 1
        if datagram.kind not in (Kind.SYNC_REQUEST, Kind.NAME_CONFLICT) and not self._from_current_generation(
            datagram, now
        ):
            return
        refuted = self.counters["denied"]
        if (
            datagram.kind not in (Kind.SYNC_REQUEST, Kind.NAME_CONFLICT)
            and self.name_registry.name_hashes.get(sender) != datagram.name_hash
        ):
            self.name_registry.record_name(sender, datagram, now)
        self.handlers[datagram.kind](datagram, now)
        if datagram.kind is not Kind.NAME_CONFLICT:
            self._apply_gossip(datagram, now)
        # The member that sent the false update gets the refutation first.
        if self.counters["denied"] > refuted:
            self.outbox.post(sender, Kind.GOSSIP)
        self._update_view(now)

    def _from_current_generation(self, datagram: Datagram, now: int) -> bool:
        """Whether a datagram is of its sender's current generation.

        A later generation is applied, or checked first if the current one may be alive. The sender of an
        earlier one is notified.
        """
        sender, record = datagram.sender, self.table.get(datagram.sender)
        if record is not None and datagram.generation < record.generation:
            self.outbox.post_limited(
                sender, Kind.NAME_CONFLICT, now, subject=sender, receiver_generation=datagram.generation
            )
            return False
        if (
            record is not None
            and datagram.generation == record.generation
            and datagram.incarnation <= record.incarnation
        ):
            if record.present:
                return True
            # The sender is alive and does not know that it counts as dead or left: it is notified and can
            # refute that. It may hold the same of this member, which is refuted in the reply.
            for update in datagram.updates:
                if update.member == self.me:
                    self._refute(update, now)
            self.outbox.post_limited(sender, Kind.GOSSIP, now, updates=[record.as_update()])
            return False
        was_there = record is not None and record.present
        if record is not None and was_there and datagram.generation > record.generation:
            # The current generation may be alive: until it was probed, nothing of the new one is applied.
            self.name_registry.check_claim(sender, datagram.generation, now)
            return False
        self._apply_update(
            Update(sender, datagram.generation, datagram.incarnation, State.ALIVE, self.me), now
        )
        if record is not None and not was_there:
            self.outbox.post(sender, Kind.SYNC_REQUEST)  # back after a partition: its state is needed here
        return True

    def _apply_gossip(self, datagram: Datagram, now: int) -> None:
        record = self.table.get(datagram.sender)
        if record is None or record.generation != datagram.generation or not record.present:
            return  # updates from a member that counts as dead here are ignored until it has refuted that
        self.prober.last_contact[datagram.sender] = now
        for update in datagram.updates:
            self._apply_update(update, now)
        for row in datagram.rows:
            self.links.apply_row(row)
        self.views.record_reported(datagram.sender, datagram.view_number, datagram.view_digest)

    def _on_ping(self, datagram: Datagram, now: int) -> None:
        self.outbox.post(datagram.sender, Kind.ACK, probe_id=datagram.probe_id)

    def _on_ack(self, datagram: Datagram, now: int) -> None:
        probe = self.prober.on_ack(datagram.probe_id, datagram.sender, datagram.subject, now)
        if probe is None:
            return
        if self.suspects_itself:
            self.self_suspicion.active = False
            self.side_tracker.on_self_suspicion_cleared(now)
            self._emit(now, "is answered", self.me, datagram.sender)
        if probe.on_behalf_of is not None:
            self.outbox.post(
                probe.on_behalf_of[0], Kind.ACK, probe_id=probe.on_behalf_of[1], subject=probe.target
            )
        elif probe.checks_claim:
            self.name_registry.reject(probe.target, probe.target, now)

    def _on_ping_request(self, datagram: Datagram, now: int) -> None:
        if datagram.subject in self.roster.members and datagram.subject != self.me:
            self.prober.start_probe(datagram.subject, now, on_behalf_of=(datagram.sender, datagram.probe_id))

    # Joining.

    def _on_name_conflict(self, datagram: Datagram, now: int) -> None:
        self._transition(
            OwnEvent.NAME_CONFLICT, now, f"member {datagram.subject} has the name", datagram.sender
        )

    def _on_sync_reply(self, datagram: Datagram, now: int) -> None:
        if self.own.state is OwnState.JOINING and not any(
            one.member == self.me and one.generation > self.own.generation for one in datagram.updates
        ):
            self._transition(OwnEvent.WELCOMED, now, by=datagram.sender)

    # Views.

    def _update_view(self, now: int) -> None:
        if self.own.state is not OwnState.MEMBER:
            return
        view = self.side_tracker.update_view(now)
        if view is not None:
            what = f"{view.number} {view.digest:08x} {len(view.members)}"
            self._emit(now, "view", self.me, self.me, what)

    # Events.

    def record_step(self, step: str, now: int) -> None:
        """Adds an event for a new quota step (see `steps`)."""
        self._emit(now, "step", self.me, self.me, step)

    def _emit(self, now: int, what: str, member: int, by: int, detail: str = "") -> None:
        happened = MembershipEvent(now, what, member, by, detail)
        self.events.append(happened)
        if self.on_event is not None:
            self.on_event(happened)
