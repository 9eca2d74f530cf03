"""All decisions of an admission gateway. A request meets its customer's quota (`quotas`), then goes out while
the bound on attempts (`bound`) has room, else waits for a below-goal turn (`turns`); only then a backend is
chosen (`fleet`). `Gateway` wires these together and keeps the rules of attempts and answers."""

from __future__ import annotations

import random

from pepperrun.core import gossip
from pepperrun.core.asking import Asker
from pepperrun.core.bound import PRESSURE_GOAL
from pepperrun.core.clock import SECOND, Bucket, Seldom
from pepperrun.core.escrow import short, spend, starved
from pepperrun.core.fleet import NEWS_FOR
from pepperrun.core.interface import (
    AttemptEnded,
    AttemptSuspected,
    BackendList,
    BackendState,
    Cancel,
    ClientLeft,
    Fail,
    Gate,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Refuse,
    Repeat,
    Request,
    RequestExpired,
    Send,
    Settings,
    StreamStarted,
    TellPeer,
    Watch,
)
from pepperrun.core.lanes import Lane
from pepperrun.core.quotas import TELL_EACH, Quotas
from pepperrun.core.state import Attempt, Server
from pepperrun.core.turns import Held

COPY_AT = 0.4  # of the aim: a second copy then still comes in time
CALM_COST = 0.3  # of a further attempt while the fleet is not pressed: no load comes of it that matters
PLENTY = 0.5  # of the depth of the retry budget: with less left it is for requests within their aim
LOOK_EVERY = SECOND // 50  # waiting work is looked at, by one timer at a time: slices fill and backends fade
WAIT_PART = 5  # of the aim: long against the time in which a slice fills, short against a client's return
ABANDONED_NS = 150 * SECOND // 1000  # an attempt whose client has left is given so long to end by itself
LOG_EVERY = 5 * SECOND  # one line of a kind in this time


class Gateway(Asker):
    """An admission gateway. Give `handle` what happened; carry out the actions that it returns, in order."""

    def __init__(self, settings: Settings, seed: int, gate: Gate | None = None) -> None:
        super().__init__()
        self.settings, self.rng, self.gate = settings, random.Random(seed), gate
        self.quotas = Quotas(settings)
        self.lanes = [Lane(settings, self.rng, self._log, gate) for _ in range(settings.lines)]
        self.turns, self.bound, self.fleet = self.lanes[0].turns, self.lanes[0].bound, self.lanes[0].fleet
        self.held: dict[int, Held] = {}
        self.further = Bucket(0.0, settings.further_burst, settings.further_burst, 0)
        self.look_at, self.most_left, self.garbled = 0, [0] * len(settings.classes), 0
        self.logged, self.telling = Seldom(LOG_EVERY), True
        self.handlers = {Request: self._arrive, AttemptEnded: self._ended, BackendList: self._list}
        self.handlers |= {AttemptSuspected: self._suspected, RequestExpired: self._expired}
        self.handlers |= {ClientLeft: self._gone, StreamStarted: self._gone, PeerMessage: self._hear}

    def resettle(self, settings: Settings) -> None:
        """Classes, plans and lines that came to those known; another number of gateways."""
        self.settings = settings
        self.quotas.resettle(settings, self.now)
        self.further.depth = settings.further_burst
        self.further.level = min(self.further.level, self.further.depth)
        self.most_left += [0] * (len(settings.classes) - len(self.most_left))
        for _ in range(settings.lines - len(self.lanes)):
            self.lanes.append(Lane(settings, self.rng, self._log, self.gate))
        for lane in self.lanes:
            lane.fleet.resettle(settings)

    def start(self) -> None:
        self.quotas.start = self.now
        self.quotas.outbox.incarnation = self.now // gossip.TENTH % (2**32 - 1) + 1  # grows, never 0
        if self.settings.must_ask_for_list:
            self.actions.append(Watch())
        if self.quotas.direct and self.settings.peer_messages and self.settings.gateways > 1:
            self.every(TELL_EACH, lambda: self.quotas.tell(self.now))
            self.telling = False
        self.every(SECOND, lambda: self.quotas.refresh(self.now))

    def finish(self) -> None:
        self._pump()
        if self.quotas.dirty and not self.telling:  # in one message what a period brings
            self.telling = True
            self.agenda.add(self.now + self.quotas.period, self._tell)
        for peer, message in self.quotas.outbox.empty():
            message.receiver = self.quotas.inbox.incarnation(peer)
            message.latency = self.bound.latency
            message.marks = self.fleet.news.some(self.rng, self.now) if self.settings.marks else []
            self.actions.append(TellPeer(peer, gossip.pack(message)))

    def _tell(self) -> None:
        self.telling = False
        self.quotas.tell(self.now)

    def _gone(self, event: ClientLeft | StreamStarted) -> None:
        """The client has left, or the attempt is now its own."""
        if (held := self.held.get(event.request)) is not None:
            held.stream = isinstance(event, StreamStarted)
            if not held.stream:
                self._cancel_abandoned(held)
                self._close(held)

    def _expired(self, event: RequestExpired) -> None:
        if (held := self.held.get(event.request)) is not None:
            self._close(held)

    def _cancel_abandoned(self, held: Held) -> None:
        """Nobody waits for its attempts any more, and closing the request alone would not end their work.

        What may not be repeated goes on: that it was cut off would not tell whether it ran. Each cancel costs
        a connection, so what is about to be answered may be: many clients may leave at once.
        """
        if not self.settings.cancel_when_client_left or held.kind.repeat is not Repeat.SAFE:
            return
        for attempt in held.attempts:
            attempt.abandoned = attempt.out

        def cancel() -> None:
            self.actions += [Cancel(held.id, at) for at, attempt in enumerate(held.attempts) if attempt.out]

        self.agenda.add(self.now + ABANDONED_NS, cancel, lambda: not held.out())

    def avoided(self) -> set[int]:
        """Backends of the list that are left out for their failures, whatever the class."""
        return {id for lane in self.lanes for id in lane.fleet.avoided(self.now)}

    def _hear(self, event: PeerMessage) -> None:
        if (message := self.quotas.hear(event.peer, event.data, self.now)) is None:
            if (count := self.quotas.inbox.garbled) > self.garbled:
                self.garbled, of = count, f"{count} so far, the last of gatekeeper {event.peer}"
                self._log("garbled", f"dropped messages that can't be read, {of}")
            return
        if len(self.lanes) == 1:
            self.bound.hear(message.latency)
        for mark in message.marks:
            if mark.backend in self.fleet.servers and mark.cls < len(self.settings.classes):
                fresh = mark.age_ns < NEWS_FOR
                self.fleet.news.see(mark.backend, mark.cls, mark.bad, self.now - mark.age_ns, fresh)
        for answer in message.answers:
            account = self.quotas.accounts.get(answer.customer)
            if account is not None and event.peer in account.keepers:  # nobody else may grant
                self._answered(answer, event.peer)

    def _log(self, kind: str, text: str) -> None:
        if self.logged.now(kind, self.now):
            self.actions.append(Log(text))

    def _list(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            self.agenda.add(self.now + SECOND, lambda: self.actions.append(Watch()))
            self._log("list", "the list of backends failed; going on with the last one")
            return
        for number, lane in enumerate(self.lanes):
            own = tuple(backend for backend in event.backends if backend.line == number)
            lane.fleet.listed(BackendList(event.kind, own), self.now)
            if all(line.state is not BackendState.READY for line in lane.fleet.servers.values()):
                self._log("empty", "no backend is ready")

    def _arrive(self, event: Request) -> None:
        if event.id in self.held:
            return
        plan, kind = self.settings.plans[event.plan], self.settings.classes[event.cls]
        account = self.quotas.accounts.get(event.customer) or self.quotas.account(event, self.now)
        self.quotas.accounts[event.customer], account.seen = account, self.now
        if self.quotas.direct:
            self.quotas.dirty[event.customer] = None
        lane = self.lanes[event.line]
        held = Held(event, account, kind, lane, self.now)
        self.held[event.id] = held
        # The time of one whose body is still coming has not begun.
        held.aim -= (age := 0 if held.once else self._waited_ns(event))
        pressed = lane.bound.latency > lane.bound.goal / 2
        if self.settings.follows_best:  # there latency alone says little: others must be waiting too
            pressed = lane.bound.latency > lane.bound.goal and bool(lane.turns.waiting)
        # Answer a tick or two before the client gives up, so that the answer is no later than it.
        last = max(self.now, held.deadline - 2 * self.settings.tick_ns)

        def over() -> bool:
            return held.done or held.stream

        self.agenda.add(last, lambda: None if over() else self._fail_or_refuse(held), over)
        if age > self.settings.tick_ns and self.now + held.lane.fleet.expected(held) > held.aim and pressed:
            self._fail_or_refuse(held)
        elif account.keepers and self.now < account.closed_until:
            self._refuse(held, (account.closed_until - self.now) / SECOND, True)
        elif not account.keepers and not account.inside(event.units, self.now):
            self._refuse(held, (event.units - account.room(self.now)) / max(plan.rate, 1e-9), True)
        elif account.keepers:
            self._ask(held)
        elif self.quotas.members is not None and starved(account, self.now):
            self._refuse(held, short(account, event.units, self.now), True)
        else:
            self._admit(held)

    def _waited_ns(self, event: Request) -> int:
        """How long it has waited, at its client or while this stood still: others had more time left."""
        if event.limits is not None:
            return max(0, event.limits.initial_ns - event.left_ns)
        longest = self.most_left[event.cls] = max(self.most_left[event.cls], event.left_ns)
        return longest - event.left_ns

    def _admit(self, held: Held) -> None:
        held.asking = False
        fleet = held.lane.fleet
        held.lane.turns.add(held.account.customer, held)
        # What needs no waiting is not shed: else a slow spell would lock large requests out for good.
        # Where work takes much of the aim that would be at once: a part of the aim is there to wait in.
        least = held.aim_ns // WAIT_PART if self.settings.follows_best else 1
        shed = max(self.now + least, int(held.aim - fleet.tail * fleet.expected(held)))

        def gone() -> bool:
            return not held.waiting

        self.agenda.add(shed, lambda: None if gone() else self._shed(held), gone)

    def _shed(self, held: Held) -> None:
        wait = short(held.account, held.units, self.now) if self.quotas.members is not None else 0.0
        self._refuse(held, wait, wait > 0)

    def _pump(self) -> None:
        """Sends what waits while the bound has room."""
        for lane in self.lanes:
            self._pump_lane(lane)
        if any(lane.turns.waiting for lane in self.lanes) and self.look_at <= self.now:
            self.look_at = self.now + LOOK_EVERY
            self.agenda.add(self.look_at, lambda: None)

    def _pump_lane(self, lane: Lane) -> None:
        turns, fleet = lane.turns, lane.fleet
        fleet.survey(self.now)
        lane.bound.capacity = fleet.capacity
        turns.stuck.clear()
        while turns.waiting and fleet.out + 1 <= lane.bound.limit():
            held = turns.take(self.now)
            if held is None:
                break
            if self.gate is not None and (wait := self.gate.open(held.lot, self.now)):
                self._refuse(held, wait / SECOND)
            elif not held.account.keepers and not held.account.inside(held.units, self.now):
                self._refuse(held, 0.0, True)
            elif self._void(held):
                self.quotas.settle(held.account, -held.units, self.now)
                self._ask(held)
            elif (server := fleet.choose(held, self.now)) is None:
                turns.back(held.account.customer, held)
                if self.gate is None:
                    break
                turns.stuck.add(held.account.customer)  # others may be let go elsewhere
            else:
                self._send(held, server)

    def _send(self, held: Held, server: Server) -> None:
        if not held.attempts:
            if not held.account.keepers:
                self.quotas.settle(held.account, held.units, self.now)
                spend(held.account, held.units, self.now)
            held.account.used.add(held.units, self.now)
            self.further.level = min(self.further.depth, self.further.level + self.settings.further_share)
        held.attempts.append(Attempt(server, self.now))
        held.account.out += 1
        # A body that is still coming costs the backend nothing yet, and its client may be slow.
        held.attempts[-1].counts = not held.once
        held.lane.fleet.out += not held.once
        takes = held.deadline - self.now if held.once else held.lane.fleet.expected(held)
        server.pending[held.id, len(held.attempts) - 1] = (self.now, max(1.0, takes))
        if self.gate is not None:
            self.gate.sent(held.lot, server.id, self.now)
        self.actions.append(Send(held.id, server.id, max(1, held.deadline - self.now)))
        number = len(held.attempts) - 1
        after = int(held.lane.fleet.tail * held.lane.fleet.expected(held))
        attempt = held.attempts[number]
        self.agenda.add(self.now + after, lambda: self._overdue(held, number), lambda: not attempt.out)

    def _overdue(self, held: Held, number: int) -> None:
        """An attempt past nearly all latencies seen: a second copy, or a new one where one may be out."""
        last = number == len(held.attempts) - 1
        if held.done or held.stream or held.once or not held.attempts[number].out or not last:
            return
        server = held.attempts[number].backend
        if held.lane.bound.latency < PRESSURE_GOAL and held.attempts[number].counts:
            # The fleet answers in time, so the trouble is this backend's: what hangs there holds no place.
            held.lane.fleet.see(server, held.cls, True, self.now)
            self._free_place(held, held.attempts[number])
        if self.now + held.lane.fleet.expected(held) > held.aim or self.further.level < 1:
            return
        if self.settings.second_copies:
            at = int(held.attempts[number].sent + COPY_AT * (held.aim - held.attempts[number].sent))
            self.agenda.add(
                max(at, self.now), lambda: self._copy(held, number), lambda: not held.attempts[number].out
            )
        elif self.settings.may_cancel and self._should_move(held, server):
            self.actions.append(Cancel(held.id, number))

    def _should_move(self, held: Held, server: Server) -> bool:
        """Is its backend slow, and would another take it now? It is not given up before that is so."""
        fleet = held.lane.fleet
        if fleet.speed(server, self.now) <= 2 * fleet.tail:
            return False
        if self.gate is not None and self.gate.open(held.lot, self.now):
            return False
        return fleet.choose(held, self.now, server, beside=True) is not None

    def _free_place(self, held: Held, attempt: Attempt) -> None:
        """What may hang counts no longer against the bound."""
        held.lane.fleet.out -= attempt.counts
        attempt.counts = False

    def _suspected(self, event: AttemptSuspected) -> None:
        """A second attempt beside one that may hang; the first stays out, as its backend may well be at work.

        Past the aim too, as a late answer is better than none, but not with the last of the retry budget.
        """
        held = self.held.get(event.request)
        if held is None or held.done or held.stream or held.once or event.attempt >= len(held.attempts):
            return
        attempt = held.attempts[event.attempt]
        if not attempt.out or held.out() > 1:
            return
        self._free_place(held, attempt)
        plenty = self.further.level > self.further.depth * PLENTY
        self._again(held, attempt.backend, latest=held.deadline if plenty else held.aim, beside=True)

    def _copy(self, held: Held, number: int) -> None:
        """Most that are overdue are answered in time all the same; a copy of each would be work wasted."""
        if not held.done and held.attempts[number].out and number == len(held.attempts) - 1:
            self._again(held, held.attempts[number].backend)

    def _again(
        self,
        held: Held,
        failed: Server,
        outcome: Outcome = Outcome.TIMEOUT,
        *,
        latest: int | None = None,
        beside: bool = False,
    ) -> bool:
        """A further attempt, under the budget. What never ran, or broke at once, cost the fleet nothing.

        It must be expected to end by `latest`, the aim if left out. `beside`: that which failed may be out.
        """
        latest = held.aim if latest is None else latest
        lane, strict = held.lane, self.settings.strict_further
        free = outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT) or outcome is Outcome.STALE and not strict
        whole = strict or lane.bound.latency > PRESSURE_GOAL or lane.fleet.shared
        cost = 0.0 if free else 1.0 if whole else CALM_COST
        if self.further.level < cost or self.now + held.lane.fleet.expected(held) > latest:
            return False
        if self.gate is not None and self.gate.open(held.lot, self.now):
            return False
        server = lane.fleet.choose(held, self.now, failed, beside)
        if server is None and outcome in (Outcome.STALE, Outcome.RESET, Outcome.ERROR):
            # It may go nowhere else: only the cell that has seen it knows a repeat.
            server = lane.fleet.choose(held, self.now)
        if server is not None:
            self.further.level -= cost
            self._send(held, server)
        return server is not None

    def _ended(self, event: AttemptEnded) -> None:
        held = self.held.get(event.request)
        if held is None or event.attempt >= len(held.attempts) or not held.attempts[event.attempt].out:
            return
        attempt = held.attempts[event.attempt]
        attempt.out, attempt.may_have_run = False, not event.outcome.never_ran
        if attempt.abandoned and event.outcome is Outcome.CANCELLED and not held.once:
            held.lane.fleet.cut_short(held, event.elapsed_ns)
        held.spent = held.spent or event.spent
        held.account.out -= 1
        out = held.lane.fleet.out
        held.lane.fleet.ended(attempt.backend, held, event, self.now)
        self.quotas.unit_ns = sum(held.lane.fleet.typical) / len(held.lane.fleet.typical)
        # One bad backend says nothing of the fleet: only when most are bad does its failure cut the bound.
        shared = held.lane.fleet.shared and event.outcome in (Outcome.TIMEOUT, Outcome.FULL)
        if shared or event.outcome is Outcome.OK and held.lane.fleet.speed(attempt.backend, self.now) <= 2.0:
            held.lane.bound.sample(2.0 if shared else event.elapsed_ns / held.aim_ns, out)
        if event.outcome is Outcome.OK and event.units > 0 and self.settings.settles:
            self.quotas.settle(held.account, event.units - held.units, self.now)
        held.done = held.done or event.complete
        over = held.done or held.stream or held.out() > 0
        if not over and not self._again(held, attempt.backend, event.outcome):
            self._fail_or_refuse(held)
        self._drop(held)

    def _fail_or_refuse(self, held: Held) -> None:
        """A client retries after a refusal at once: of use while the aim stands, a burden after it."""
        if held.may_refuse() and self.now < held.aim:
            self._refuse(held, 0.0)
        else:
            self.actions.append(Fail(held.id))
            self._close(held)

    def _refuse(self, held: Held, wait_s: float, beyond: bool = False) -> None:
        wait = int(min(wait_s * SECOND, self.settings.max_retry_after_ns)) if self.settings.retry_after else 0
        self.actions.append(Refuse(held.id, wait, beyond))
        self._close(held)

    def _close(self, held: Held) -> None:
        if held.waiting and held.account.keepers and not held.attempts:
            self.quotas.settle(held.account, -held.units, self.now)  # granted and not sent: it goes back
        held.done, held.waiting, held.asking = True, False, False
        held.lane.turns.head(held.account.customer)
        self._drop(held)

    def _drop(self, held: Held) -> None:
        if held.done and not held.out():
            self.held.pop(held.id, None)
