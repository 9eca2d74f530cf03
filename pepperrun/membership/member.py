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
from pepperrun.membership.keys import Keys
from pepperrun.membership.links import Links
from pepperrun.membership.names import Names
from pepperrun.membership.outbox import Outbox
from pepperrun.membership.own_side import OwnSide
from pepperrun.membership.probing import Probe, Prober
from pepperrun.membership.records import Book, Record
from pepperrun.membership.replay_guard import ReplayGuard
from pepperrun.membership.roster import listed
from pepperrun.membership.self_doubt import SelfDoubt
from pepperrun.membership.states import MOVES, Config, Happened, Me, On, Own
from pepperrun.membership.suspicion import WATCHERS, Suspicions
from pepperrun.membership.views import Side, Views
from pepperrun.membership.wire import (
    INCARNATIONS,
    LIVES,
    NOBODY,
    WORDS,
    Datagram,
    Kind,
    Listed,
    Rumour,
    State,
    name_hash,
)

HELLO_EACH = SECOND // 10  # while nobody has answered
JOIN_ALONE_NS = 2 * SECOND  # then this one is the first
TRY_AGAIN_NS = 2 * SECOND
KNOCK_EACH = SECOND // 2  # one of the buried is greeted so often: a cut heals, a machine comes back
NEWS_EACH = 40_000_000  # what is new goes on at once, in one datagram for so long
NEWS_TO = 2  # members that hear it then
NEWS_RATE, NEWS_BURST = 20.0, 20.0  # datagrams of news a second at most: a storm must not fill the intakes
STALL_NS = SECOND // 2  # a standstill of this process: it doubts itself, not the others
EVENTS = 512  # kept for whoever asks
COUNTS = ("sent", "sent_bytes", "heard", "forged", "replayed", "foreign", "suspected", "buried", "denied")


class Member:
    """Give it datagrams and the time; take what it wants sent (`outbox`) and what has happened (`events`)."""

    def __init__(self, config: Config, life: int, seed: int, now: int) -> None:
        self.me, self.config = config.me, config
        self.roster = config.roster or listed(config.me, config.count)
        self.rng = random.Random(seed)
        self.own = Own(self.me, name_hash(config.name), life % LIVES or 1)
        self.counts = dict.fromkeys(COUNTS, 0)
        self.book, self.links = Book(self.roster), Links(self.roster)
        self.views = Views(now, self.roster.ids if config.roster is not None else None)
        self.outbox = Outbox(
            *(config, self.own, self.book, self.links, self.views, self.rng, self.counts),
            lambda: self.prober.health,
        )
        self.prober = Prober(self.book, self.links, self.rng, config.period_ns, self.outbox.post)
        self.suspicions = Suspicions(self.book, self.prober, config.suspect_ns)
        self.replays = ReplayGuard(self.own, self.book, self.outbox, self.counts)
        self.self_doubt = SelfDoubt(self.book, self.links, self.prober, self.rng, config.period_ns)
        self.own_side = OwnSide(self.me, self.roster, self.book, self.views, self.prober, now)
        self.names = Names(self.own, self.book, self.prober, self.outbox, self._note, self._happened)
        self.handlers: dict[Kind, Callable[[Datagram, int], None]] = {
            Kind.PING: self._ping,
            Kind.ACK: self._ack,
            Kind.ASK: self._asked,
            Kind.NACK: lambda one, now: self.prober.nack(one.probe, one.sender),
            Kind.HELLO: self.names.hello,
            Kind.WELCOME: self._welcome,
            Kind.NEWS: lambda one, now: None,
            Kind.TAKEN: self._taken,
        }
        self.events: deque[Happened] = deque(maxlen=EVENTS)
        self.news = Bucket(NEWS_RATE, NEWS_BURST, NEWS_BURST, now)
        self.started = self.seen_at = self.moved_at = now
        self.hello_at = self.knock_at = now
        self.news_at = 0  # when what is new goes on; 0: there is nothing
        self.told_of: Callable[[Happened], None] | None = None

    @property
    def count(self) -> int:
        """How many there may be."""
        return len(self.roster)

    @property
    def doubt(self) -> bool:
        """It may be this one that is not heard."""
        return self.self_doubt.doubts

    @property
    def returned_at(self) -> int:
        """When it last came back, from a smaller side or a standstill."""
        return self.own_side.returned_at

    @property
    def apart(self) -> frozenset[int]:
        """Who was missing when it last stood on a smaller side."""
        return self.own_side.apart

    def configured(self) -> frozenset[int]:
        """All members but those that left in order."""
        return self.own_side.configured()

    def side(self) -> Side:
        """Where this one stands, by its view."""
        return self.own_side.side()

    def rekey(self, keys: Keys) -> None:
        """Other keys hold at once, for what is sent and what is taken in."""
        self.config = replace(self.config, keys=keys)
        self.outbox.wire = self.config.wire or Listed(self.config.count, keys)

    def forget(self, member: int) -> None:
        """It is taken from the roster: nothing is known of it any more."""
        self.book.forget(member)
        self.links.forget(member)
        self.names.held.pop(member, None)
        self.prober.heard.pop(member, None)
        self.views.told.pop(member, None)
        self.replays.forget(member)

    # Own state.

    def _move(self, event: On, now: int, detail: str = "", by: int = NOBODY) -> bool:
        after = MOVES.get((self.own.state, event))
        if after is None:
            return False
        self.own.state, self.moved_at = after, now
        self._happened(now, after.value, self.me, by, detail)
        if after is Me.MEMBER:
            self._say(State.ALIVE, now)
        elif after is Me.JOINING:
            self.hello_at = now
        elif after is Me.REFUSED:
            self.prober.void()
        return True

    def _say(self, state: State, now: int) -> None:
        """A word on itself."""
        self.book.note(Rumour(self.me, self.own.life, self.own.incarnation, state, self.me), now)
        self._soon(now)

    def leave(self, now: int) -> None:
        """Says that it goes: nobody has to find out."""
        if self._move(On.LEAVE, now):
            self._say(State.LEFT, now)
            for member in self.book.pick(self.rng, 2 * NEWS_TO):
                self.outbox.post(member, Kind.NEWS)

    # Time.

    def _look(self, now: int) -> None:
        """A standstill says nothing of others: what was out is void, suspicions begin anew."""
        stood, self.seen_at = now - self.seen_at, max(now, self.seen_at)
        if stood < STALL_NS or self.own.state is not Me.MEMBER:
            return
        self.self_doubt.stood_still()
        self.prober.void()
        self.names.claims.clear()
        self.prober.worse()
        for known in self.book.records.values():
            if known.state is State.SUSPECT:
                known.since = now
        self._happened(now, "stood still", self.me, self.me, f"{stood / SECOND:.2f} s")
        for member in self.book.pick(self.rng, WATCHERS):
            self.prober.ask(member, now)

    def tick(self, now: int) -> None:
        """Does what is due."""
        self._look(now)
        if self.own.state is Me.LEFT:
            return
        if self.own.state is Me.REFUSED:
            if now - self.moved_at >= TRY_AGAIN_NS:
                self._move(On.AGAIN, now)
            return
        if self.own.state is Me.JOINING:
            self._knock_at_doors(now)
            return
        for probe in self.prober.tick(now):
            self._no_answer(probe, now)
        for member in self.book.others(State.SUSPECT):
            known = self.book.records[member]
            if self.suspicions.ripe(known, now):
                self._bury(known, now)
            else:  # of its watchers some may have been found dead themselves
                self.suspicions.watch(known, now)
        if now >= self.knock_at:
            self.knock_at = now + KNOCK_EACH
            absent = [m for m in self.roster.others if not self._there(m)]
            if absent:
                self.outbox.post(self.rng.choice(absent), Kind.HELLO)
        if self.news_at and now >= self.news_at:
            self.news_at = 0
            for member in self.book.pick(self.rng, NEWS_TO):
                if self.news.fill(now) >= 1:
                    self.news.level -= 1
                    self.outbox.post(member, Kind.NEWS)
            if self.book.fresh and any(key[1] != NOBODY for key in self.book.fresh):
                self._soon(now)
        self._consider(now)

    def due(self) -> int:
        """When `tick` is to be called at the latest, whatever is heard till then."""
        if self.own.state is Me.LEFT:
            return self.seen_at + SECOND
        if self.own.state is Me.REFUSED:
            return self.moved_at + TRY_AGAIN_NS
        if self.own.state is Me.JOINING:
            return self.hello_at
        dues = [self.prober.due(), self.knock_at, self.seen_at + STALL_NS // 4]
        suspects = [self.book.records[member] for member in self.book.others(State.SUSPECT)]
        dues += [self.suspicions.due(known, self.seen_at) for known in suspects]
        if self.news_at:
            dues.append(self.news_at)
        if (view := self.views.due(self.seen_at)) is not None:
            dues.append(view)
        return min(dues)

    def _there(self, member: int) -> bool:
        known = self.book.get(member)
        return known is not None and (known.there or known.state is State.LEFT)

    def _soon(self, now: int) -> None:
        self.news_at = self.news_at or now + NEWS_EACH

    def _knock_at_doors(self, now: int) -> None:
        """Joining: greets one configured member after the other until one answers."""
        if now < self.hello_at:
            return
        if now - self.moved_at >= JOIN_ALONE_NS or self.count == 1:
            self._move(On.UNANSWERED, now)
            return
        self.hello_at = now + int(HELLO_EACH * self.rng.uniform(0.7, 1.3))
        self.outbox.post(self.rng.choice(self.roster.others), Kind.HELLO)

    # Suspicion.

    def _no_answer(self, probe: Probe, now: int) -> None:
        if probe.for_whom is not None:
            self.outbox.post(probe.for_whom[0], Kind.NACK, probe=probe.for_whom[1], subject=probe.target)
            return
        if probe.claim:
            self.names.claim_holds(probe.target, now)
            return
        if self.self_doubt.probe_failed(now):
            failed = self.prober.failed_in_row
            self._happened(now, "hears nobody", self.me, self.me, f"{failed} probes")
        if probe.silent and len(probe.silent) == len(probe.helpers):
            self.prober.worse()  # all helpers keep silent: it may be this one that does not hear
        known = self.book.get(probe.target)
        if known is None or known.life != probe.life or not known.there:
            return
        if known.state is State.ALIVE:
            self.counts["suspected"] += 1
        self._note(Rumour(known.member, known.life, known.incarnation, State.SUSPECT, self.me), now)

    def _bury(self, known: Record, now: int) -> None:
        self.counts["buried"] += 1
        self._note(Rumour(known.member, known.life, known.incarnation, State.DEAD, self.me), now)

    def _note(self, rumour: Rumour, now: int) -> None:
        """Takes in a word on another member or on this one."""
        if rumour.member == self.me:
            self._of_me(rumour, now)
            return
        before = self.book.get(rumour.member)
        was, life = (before.state, before.life) if before is not None else (None, 0)
        hearsay = rumour.state is State.DEAD and rumour.witness != self.me and was is State.ALIVE
        if (
            hearsay
            and before is not None
            and rumour.life == life
            and rumour.incarnation == before.incarnation
        ):
            # Nobody is buried on hearsay whom nothing was said against: it has the time to deny that.
            rumour = replace(rumour, state=State.SUSPECT)
        if not self.book.note(rumour, now):
            return
        if hearsay and rumour.state is State.SUSPECT:
            self.book.records[rumour.member].sure = True
        self._soon(now)
        if life != rumour.life:
            self.links.forget(rumour.member)
            self.replays.forget_life(rumour.member, life)
            self.prober.heard.pop(rumour.member, None)
        if was is not rumour.state or life != rumour.life:
            self._happened(now, WORDS[rumour.state], rumour.member, rumour.witness, f"life {rumour.life}")
        if rumour.state is State.SUSPECT and was is not State.SUSPECT:
            self.suspicions.watch(self.book.records[rumour.member], now)

    def _of_me(self, rumour: Rumour, now: int) -> None:
        """What others say of this one: what is untrue is denied, with a higher incarnation."""
        if rumour.life > self.own.life:
            if self.own.state is Me.JOINING:  # the life before had a clock that was ahead of this one's
                self.own.life = rumour.life + 1
                self.hello_at = now
            else:
                self._move(On.TAKEN, now, f"life {rumour.life} has the name", rumour.witness)
            return
        if rumour.life < self.own.life or self.own.state is not Me.MEMBER:
            return
        if rumour.state is not State.ALIVE and rumour.incarnation >= self.own.incarnation:
            self.own.incarnation = rumour.incarnation + 1
            if self.own.incarnation >= INCARNATIONS:  # none is left of this life
                self.own.life, self.own.incarnation = self.own.life + 1, 0
            self.counts["denied"] += 1
            self.prober.worse()
            self._happened(now, "denied", self.me, rumour.witness, rumour.state.name.lower())
            self._say(State.ALIVE, now)

    # Datagrams.

    def heard(self, member: int, at: int) -> None:
        """A sign of life on the ordinary path. It saves a probe and proves nothing: it is not signed."""
        if at > self.prober.heard.get(member, 0):
            self.prober.heard[member] = at

    def receive(self, sender: int, data: bytes, now: int) -> None:
        """Takes in a datagram from the address of a configured member."""
        self._look(now)
        if self.own.state in (Me.LEFT, Me.REFUSED):
            return
        datagram = self.outbox.wire.unpack(data)
        if datagram is None or sender == self.me:
            self.counts["forged"] += 1
            return
        if datagram.sender != sender:
            self.counts["foreign"] += 1
            return
        if not self.replays.in_order(datagram):
            return
        self.counts["heard"] += 1
        if datagram.kind not in (Kind.HELLO, Kind.TAKEN) and not self._current(datagram, now):
            return
        denied = self.counts["denied"]
        if datagram.kind not in (Kind.HELLO, Kind.TAKEN) and self.names.held.get(sender) != datagram.name:
            self.names.named(sender, datagram, now)
        self.handlers[datagram.kind](datagram, now)
        if datagram.kind is not Kind.TAKEN:
            self._take_in(datagram, now)
        if self.counts["denied"] > denied:  # whoever said it is the first to hear that it is untrue
            self.outbox.post(sender, Kind.NEWS)
        self._consider(now)

    def _current(self, datagram: Datagram, now: int) -> bool:
        """Is it from the life that is known here? A later one is taken in, an earlier one told of that."""
        sender, known = datagram.sender, self.book.get(datagram.sender)
        if known is not None and datagram.life < known.life:
            self.outbox.remark(sender, Kind.TAKEN, now, subject=sender, to_life=datagram.life)
            return False
        if known is not None and datagram.life == known.life and datagram.incarnation <= known.incarnation:
            if known.there:
                return True
            # It lives, and does not know what is said of it: told, it denies that. It may say the same of
            # this one, which is denied in the answer.
            for rumour in datagram.rumours:
                if rumour.member == self.me:
                    self._of_me(rumour, now)
            self.outbox.remark(sender, Kind.NEWS, now, rumours=[known.rumour()])
            return False
        was_there = known is not None and known.there
        if known is not None and was_there and datagram.life > known.life:
            # The life before may still be there: until it has been asked, nothing of the new one counts.
            self.names.claim(sender, datagram.life, now)
            return False
        self._note(Rumour(sender, datagram.life, datagram.incarnation, State.ALIVE, self.me), now)
        if known is not None and not was_there:
            self.outbox.post(sender, Kind.HELLO)  # back from behind a cut: what it knows is wanted
        return True

    def _take_in(self, datagram: Datagram, now: int) -> None:
        known = self.book.get(datagram.sender)
        if known is None or known.life != datagram.life or not known.there:
            return  # who is buried here says nothing of others until it has denied that
        self.prober.heard[datagram.sender] = now
        for rumour in datagram.rumours:
            self._note(rumour, now)
        for row in datagram.rows:
            self.links.note(row)
        self.views.hear(datagram.sender, datagram.view, datagram.digest)

    def _ping(self, datagram: Datagram, now: int) -> None:
        self.outbox.post(datagram.sender, Kind.ACK, probe=datagram.probe)

    def _ack(self, datagram: Datagram, now: int) -> None:
        probe = self.prober.answered(datagram.probe, datagram.sender, datagram.subject, now)
        if probe is None:
            return
        if self.doubt:
            self.self_doubt.doubts = False
            self.own_side.answered(now)
            self._happened(now, "is answered", self.me, datagram.sender)
        if probe.for_whom is not None:
            self.outbox.post(probe.for_whom[0], Kind.ACK, probe=probe.for_whom[1], subject=probe.target)
        elif probe.claim:
            self.names.refuse(probe.target, probe.target, now)

    def _asked(self, datagram: Datagram, now: int) -> None:
        if datagram.subject in self.roster.every and datagram.subject != self.me:
            self.prober.ask(datagram.subject, now, for_whom=(datagram.sender, datagram.probe))

    # Joining.

    def _taken(self, datagram: Datagram, now: int) -> None:
        self._move(On.TAKEN, now, f"member {datagram.subject} has the name", datagram.sender)

    def _welcome(self, datagram: Datagram, now: int) -> None:
        if self.own.state is Me.JOINING and not any(
            one.member == self.me and one.life > self.own.life for one in datagram.rumours
        ):
            self._move(On.WELCOMED, now, by=datagram.sender)

    # Views.

    def _consider(self, now: int) -> None:
        if self.own.state is not Me.MEMBER:
            return
        view = self.own_side.consider(now)
        if view is not None:
            what = f"{view.number} {view.digest:08x} {len(view.members)}"
            self._happened(now, "view", self.me, self.me, what)

    # For others to see.

    def note_step(self, step: str, now: int) -> None:
        """For the record: what is done with quotas from now on."""
        self._happened(now, "step", self.me, self.me, step)

    def _happened(self, now: int, what: str, member: int, by: int, detail: str = "") -> None:
        happened = Happened(now, what, member, by, detail)
        self.events.append(happened)
        if self.told_of is not None:
            self.told_of(happened)
