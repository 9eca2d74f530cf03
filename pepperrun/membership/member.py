"""One member: it joins, probes the others, denies what is untrue of it, and leaves. No socket, no clock.

Its own state and what moves it are in `states`. Another member's is ALIVE, SUSPECT, DEAD or LEFT, by
`records`. A suspicion is looked into by those that watch the suspected one, and becomes a death once
enough of them agree or none has spoken against it for long; a live member hears of it and denies it with a
higher incarnation, after its burial too.
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

JOIN_RETRY_NS = SECOND // 10  # while nobody has answered
JOIN_TIMEOUT_NS = 2 * SECOND  # then this one is the first
REJECTED_RETRY_NS = 2 * SECOND
RECONNECT_INTERVAL_NS = (
    SECOND // 2
)  # one of the buried is greeted so often: a cut heals, a machine comes back
GOSSIP_DELAY_NS = 40_000_000  # what is new goes on at once, in one datagram for so long
GOSSIP_FANOUT = 2  # members that hear it then
GOSSIP_RATE, GOSSIP_BURST = (
    20.0,
    20.0,
)  # datagrams of news a second at most: a storm must not fill the intakes
STALL_NS = SECOND // 2  # a standstill of this process: it doubts itself, not the others
MAX_EVENTS = 512  # kept for whoever asks
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
    """Give it datagrams and the time; take what it wants sent (`outbox`) and what has happened (`events`)."""

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
        self.gossip_at = 0  # when what is new goes on; 0: there is nothing
        self.on_event: Callable[[MembershipEvent], None] | None = None

    @property
    def member_count(self) -> int:
        """How many there may be."""
        return len(self.roster)

    @property
    def suspects_itself(self) -> bool:
        """It may be this one that is not heard."""
        return self.self_suspicion.active

    @property
    def rejoined_at(self) -> int:
        """When it last came back, from a smaller side or a standstill."""
        return self.side_tracker.rejoined_at

    @property
    def previously_missing(self) -> frozenset[int]:
        """Who was missing when it last stood on a smaller side."""
        return self.side_tracker.previously_missing

    def expected_members(self) -> frozenset[int]:
        """All members but those that left in order."""
        return self.side_tracker.expected_members()

    def side(self) -> Side:
        """Where this one stands, by its view."""
        return self.side_tracker.side()

    def set_keys(self, keys: KeyRing) -> None:
        """Other keys hold at once, for what is sent and what is taken in."""
        self.config = replace(self.config, keys=keys)
        self.outbox.codec = self.config.codec or SignedCodec(self.config.count, keys)

    def forget(self, member: int) -> None:
        """It is taken from the roster: nothing is known of it any more."""
        self.table.forget(member)
        self.links.forget(member)
        self.name_registry.name_hashes.pop(member, None)
        self.prober.last_contact.pop(member, None)
        self.views.reported.pop(member, None)
        self.replay_guard.forget(member)

    # OwnRecord state.

    def _transition(self, event: OwnEvent, now: int, detail: str = "", by: int = NO_MEMBER) -> bool:
        after = TRANSITIONS.get((self.own.state, event))
        if after is None:
            return False
        self.own.state, self.state_changed_at = after, now
        self._emit(now, after.value, self.me, by, detail)
        if after is OwnState.MEMBER:
            self._announce(State.ALIVE, now)
        elif after is OwnState.JOINING:
            self.join_retry_at = now
        elif after is OwnState.REJECTED:
            self.prober.cancel_all()
        return True

    def _announce(self, state: State, now: int) -> None:
        """A word on itself."""
        self.table.apply(Update(self.me, self.own.generation, self.own.incarnation, state, self.me), now)
        self._schedule_gossip(now)

    def leave(self, now: int) -> None:
        """Says that it goes: nobody has to find out."""
        if self._transition(OwnEvent.LEAVE, now):
            self._announce(State.LEFT, now)
            for member in self.table.sample_alive(self.rng, 2 * GOSSIP_FANOUT):
                self.outbox.post(member, Kind.GOSSIP)

    # Time.

    def _detect_stall(self, now: int) -> None:
        """A standstill says nothing of others: what was out is void, suspicions begin anew."""
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
        """Does what is due."""
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
            else:  # of its watchers some may have been found dead themselves
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
        """When `tick` is to be called at the latest, whatever is heard till then."""
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
        """Joining: greets one configured member after the other until one answers."""
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
            self.prober.degrade_health()  # all helpers keep silent: it may be this one that does not hear
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
        """Takes in a word on another member or on this one."""
        if update.member == self.me:
            self._refute(update, now)
            return
        before = self.table.get(update.member)
        old_state, generation = (before.state, before.generation) if before is not None else (None, 0)
        reported_death = (
            update.state is State.DEAD and update.reporter != self.me and old_state is State.ALIVE
        )
        if (
            reported_death
            and before is not None
            and update.generation == generation
            and update.incarnation == before.incarnation
        ):
            # Nobody is buried on hearsay whom nothing was said against: it has the time to deny that.
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
        """What others say of this one: what is untrue is denied, with a higher incarnation."""
        if update.generation > self.own.generation:
            if self.own.state is OwnState.JOINING:  # the life before had a clock that was ahead of this one's
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
            if self.own.incarnation >= INCARNATION_LIMIT:  # none is left of this life
                self.own.generation, self.own.incarnation = self.own.generation + 1, 0
            self.counters["denied"] += 1
            self.prober.degrade_health()
            self._emit(now, "denied", self.me, update.reporter, update.state.name.lower())
            self._announce(State.ALIVE, now)

    # Datagrams.

    def record_contact(self, member: int, at: int) -> None:
        """A sign of life on the ordinary path. It saves a probe and proves nothing: it is not signed."""
        if at > self.prober.last_contact.get(member, 0):
            self.prober.last_contact[member] = at

    def receive(self, sender: int, data: bytes, now: int) -> None:
        """Takes in a datagram from the address of a configured member."""
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
        denied = self.counters["denied"]
        if (
            datagram.kind not in (Kind.SYNC_REQUEST, Kind.NAME_CONFLICT)
            and self.name_registry.name_hashes.get(sender) != datagram.name_hash
        ):
            self.name_registry.record_name(sender, datagram, now)
        self.handlers[datagram.kind](datagram, now)
        if datagram.kind is not Kind.NAME_CONFLICT:
            self._apply_gossip(datagram, now)
        if self.counters["denied"] > denied:  # whoever said it is the first to hear that it is untrue
            self.outbox.post(sender, Kind.GOSSIP)
        self._update_view(now)

    def _from_current_generation(self, datagram: Datagram, now: int) -> bool:
        """Is it from the life that is known here? A later one is taken in, an earlier one told of that."""
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
            # It lives, and does not know what is said of it: told, it denies that. It may say the same of
            # this one, which is denied in the answer.
            for update in datagram.updates:
                if update.member == self.me:
                    self._refute(update, now)
            self.outbox.post_limited(sender, Kind.GOSSIP, now, updates=[record.as_update()])
            return False
        was_there = record is not None and record.present
        if record is not None and was_there and datagram.generation > record.generation:
            # The life before may still be there: until it has been asked, nothing of the new one counts.
            self.name_registry.check_claim(sender, datagram.generation, now)
            return False
        self._apply_update(
            Update(sender, datagram.generation, datagram.incarnation, State.ALIVE, self.me), now
        )
        if record is not None and not was_there:
            self.outbox.post(sender, Kind.SYNC_REQUEST)  # back from behind a cut: what it knows is wanted
        return True

    def _apply_gossip(self, datagram: Datagram, now: int) -> None:
        record = self.table.get(datagram.sender)
        if record is None or record.generation != datagram.generation or not record.present:
            return  # who is buried here says nothing of others until it has denied that
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

    # For others to see.

    def record_step(self, step: str, now: int) -> None:
        """For the record: what is done with quotas from now on."""
        self._emit(now, "step", self.me, self.me, step)

    def _emit(self, now: int, what: str, member: int, by: int, detail: str = "") -> None:
        happened = MembershipEvent(now, what, member, by, detail)
        self.events.append(happened)
        if self.on_event is not None:
            self.on_event(happened)
