"""All decisions of an admission gateway. A request meets its customer's quota (`quotas`), then goes out while
the bound on attempts (`Bound`) has room, else waits for a below-goal turn (`Turns`); only then a backend is
chosen (`Fleet`). `Gateway` wires these together and keeps the rules of attempts and answers."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, Seldom
from pepperrun.core.interface import AttemptEnded, BackendList, BackendState, Cancel, ClientLeft, Fail, Group
from pepperrun.core.interface import ListKind, Log, Outcome, PeerMessage, Refuse, Repeat, Request
from pepperrun.core.interface import Send, Settings, StreamStarted, TellPeer, Watch
from pepperrun.core.quotas import HASH, TELL_EACH, Account, Quotas
from pepperrun.core.state import Attempt, Desk, HeldState, Queues, Roster, Server

ASKS = 3  # two to a keeper, as one may be lost, and one to the next
ASK_PART = 6  # an ask is unanswered after this part of the aim: it leaves half of it to serve in
PRESSURE_GOAL = 0.25  # mean latency aimed at, in aims: leaves most of the aim to the wait and to spread
GAIN = 0.5  # a round trip at twice the goal takes about a fifth off the bound
START_DEPTH = 6.0  # attempts out a backend at the start, by all gateways: a few for each of a machine's cores
START_LEAST = 3.0  # attempts out a gateway at the start: with one, its own requests would wait for each other
FURTHER_SHARE = 0.1  # further attempts a first attempt pays for: a slow fleet gets at most this much on top
COPY_AT = 0.4  # of the aim: a second copy then still comes in time
CALM_COST = 0.3  # of a further attempt while the fleet is not pressed: no load comes of it that matters
FURTHER_BURST = 10.0  # further attempts saved up: one lost backend's worth
TAIL = 0.97  # an attempt is overdue past this quantile of the latencies seen
TRIAL_AT = 0.6  # from two failures in a row on, one safe request at a time tries a backend
OUT_AT = 0.8  # a backend is left out past this badness: three failures in a row, as two happen by chance
BAD_FOR = 8 * SECOND  # badness halves over this: a trial after 1 to 3 s
NEWS_FOR = 2 * SECOND  # what is seen of a bad backend is passed on this long: time to reach all by hearsay
FORGET = 4 * SECOND  # a speed estimate without samples drifts back to normal over this
SLOW_MOST = 20.0  # a backend counts as at most this much slower: one stray answer must not bury it
COLD_WHOLE = 0.7  # of a window's full capacity: one with less left is not loaded as if it had this
FAR = 1.1  # a backend in another zone counts as this much slower: crossing is cheap
LOOK_EVERY = SECOND // 50  # waiting work is looked at, by one timer at a time: slices fill and backends fade
SURVEY_EVERY = SECOND // 4  # the fleet is looked over: short against warming; changes are seen at once
CHOICES = 8  # backends in a gateway's window at least: in a few it sees much of each and keeps connections
SPARE = 4  # and so many more than attempts out: one that is busy or slow can be passed over
LOG_EVERY = 5 * SECOND  # one line of a kind in this time


class Held(HeldState):
    """A request, with what rule 2 allows for it."""

    def may_refuse(self) -> bool:
        """Rule 2: a refusal says that trying again is harmless."""
        if self.kind.repeat is Repeat.SAFE or not any(attempt.may_have_run for attempt in self.attempts):
            return True
        return self.kind.repeat is Repeat.KEYED and self.kind.group is Group.ALL

    def may_send(self, server: Server, now: int, settings: Settings) -> bool:
        """Rule 2 and the site's limits: may a further attempt go to this backend now?"""
        if self.done or self.stream or self.spent or len(self.attempts) >= settings.max_attempts:
            return False
        if self.out() and (not settings.second_copies or self.once or self.out() > 1):
            return False
        ran = [attempt for attempt in self.attempts if attempt.may_have_run]
        if not ran or self.kind.repeat is Repeat.SAFE:
            return True
        if self.kind.repeat is Repeat.UNSAFE or now >= ran[0].sent + self.kind.window_ns - settings.tick_ns:
            return False
        if self.kind.group is Group.ZONE:
            return all(attempt.backend.zone == server.zone for attempt in ran)
        return self.kind.group is Group.ALL or all(attempt.backend.cell == server.cell for attempt in ran)


class Turns(Queues):
    """Below-goal turns: each round gives one turn to every waiting customer at or below its share."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.round: deque[int] = deque()

    def take(self, now: int) -> Held | None:
        """The request whose turn it is, off its queue."""
        for _ in range(2):
            while self.round:
                head: Held | None = self.head(customer := self.round.popleft())
                if head is not None and head.account.ready(head.units, now):
                    self.pop(customer)
                    return head
            self._start_round(now)
        return None

    def _start_round(self, now: int) -> None:
        heads: list[Held] = [head for key in list(self.waiting) if (head := self.head(key)) is not None]
        used = sum(head.account.used.read(now) for head in heads)
        weight = sum(head.account.weight for head in heads)
        able = [head.account for head in heads if head.account.ready(head.units, now)]
        below = [account for account in able if account.used.value * weight <= account.weight * used]
        turns = below if below or not able else [self.rng.choice(able)]
        self.round.extend(account.customer for account in turns)


class Bound:
    """How many attempts may be out at once: a depth a backend, led by mean latency as a part of the aim."""

    def __init__(self, gateways: int) -> None:
        # By all gateways: else many would flood the backends at the first rush. It grows only in use.
        self.depth = self.start = START_DEPTH / gateways
        self.capacity = 1.0  # backends in full use, cold ones in part
        self.latency = PRESSURE_GOAL / 2  # mean latency, in aims

    def limit(self) -> float:
        if self.depth == self.start:
            self.depth = max(self.depth, START_LEAST / max(1.0, self.capacity))
        return max(1.0, self.depth * self.capacity)

    def hear(self, latency: float) -> None:
        """A mean latency, in aims: own answers and what peers tell of theirs."""
        self.latency += (min(2.0, latency) - self.latency) / 8

    def sample(self, latency: float, out: float) -> None:
        """An own answer. A bound that is not in use says nothing of how much larger it could be."""
        self.hear(latency)
        step = GAIN * (PRESSURE_GOAL - self.latency) / self.limit()
        if step < 0 or out > 0.7 * self.limit():
            self.depth = max(0.01, self.depth * (1 + step))


class Fleet(Roster):
    """Which backends there are, how each does, and which one takes an attempt."""

    def __init__(self, settings: Settings, rng: random.Random, log: Callable[[str, str], None]) -> None:
        super().__init__()
        self.settings, self.rng, self.log = settings, rng, log
        self.typical: list[float] = [cls.aim_ns / 4 / settings.max_units for cls in settings.classes]
        self.seen = [0] * len(settings.classes)
        self.tail = 3.0  # the TAIL quantile of latency over expected; until seen
        self.ring, self.hot = list[Server](), list[Server]()  # ready ones, from this gateway's place on
        self.out, self.capacity = 0, 0.0  # backends in full use, cold ones in part
        self.shared = False  # most look bad: the trouble is not theirs, nobody is ejected, load is cut
        self.surveyed = -SURVEY_EVERY
        # Badness by backend and class: near 1 after failures in a row.
        self.news = gossip.News(NEWS_FOR, settings.gateways)

    def survey(self, now: int) -> None:
        """Looks over the whole fleet, now and then: it may be large."""
        if now - self.surveyed < SURVEY_EVERY:
            return
        self.surveyed = now
        ready = self.ready()
        worst = {s: min(self.bad(s, cls, now) for cls in range(len(self.typical))) for s in ready}
        self.shared = 2 * sum(bad > OUT_AT for bad in worst.values()) > len(ready)
        # Each gateway's window begins elsewhere, so that all together cover the fleet evenly.
        ready.sort(key=lambda server: server.id * HASH % 2**32)
        first = self.settings.me * len(ready) // self.settings.gateways
        self.ring = ready[first:] + ready[:first]
        self.hot = [server for server in self.ring if self.warmth(server, now) >= 1]
        self.capacity = sum(self.warmth(s, now) for s in ready if self.shared or worst[s] <= OUT_AT)

    def bad(self, server: Server, cls: int, now: int) -> float:
        """It fades, so that the backend is tried again."""
        bad, at = self.news.known.get((server.id, cls), (0.0, 0))
        return float(bad and bad * 0.5 ** ((now - at) / BAD_FOR))

    def warmth(self, server: Server, now: int) -> float:
        """The part of its work that a backend can do at least, by its age."""
        cold_from, cold_ns = self.settings.cold_from, self.settings.cold_ns
        if server.born <= 0 or cold_ns <= 0 or now >= server.born + cold_ns:
            return 1.0
        return cold_from + (1 - cold_from) * max(0, now - server.born) / cold_ns

    def expected(self, held: Held) -> float:
        return self.typical[held.cls] * held.units

    def speed(self, server: Server, now: int) -> float:
        """Latency over expected: a mean that drifts back to 1, or the age of its oldest attempt if worse."""
        slow: float = 1 + (server.slow - 1) * 0.5 ** ((now - server.sampled) / FORGET)
        if server.pending:
            sent, expected = next(iter(server.pending.values()))
            slow = max(slow, (now - sent) / expected / self.tail)
        return slow

    def draw(self, now: int) -> list[Server]:
        """A window of the fleet as wide as this gateway's use. Of backends that all use, what one gateway has
        out is next to nothing of the load: each would throw at random.

        Rule 4: a cold backend is drawn for its part of the window's capacity: all gateways keep to it, in
        bursts too. Of a window that is cold nearly whole it is less: the rest goes to warm ones or waits.
        """
        width = max(CHOICES, self.out + SPARE)
        warm = [(server, self.warmth(server, now)) for server in self.ring[:width]]
        lot = self.rng.random() * max(sum(part for _, part in warm), COLD_WHOLE * len(warm))
        for server, part in warm:
            lot -= part * (part < 1)
            if lot < 0:
                return [server]
        return [server for server, part in warm if part >= 1] or self.hot[:width]

    def choose(self, held: Held, now: int, avoid: Server | None = None) -> Server | None:
        """The backend with the least expected wait; a failing one gets single trials, a cold one its part."""
        self.survey(now)

        def able(server: Server) -> bool:
            bad = 0.0 if self.shared else self.bad(server, held.cls, now)
            # A trial goes first; of hundreds of gateways about one makes it at a time.
            trier = self.rng.random() * self.settings.gateways < 1 and not server.pending
            fit = bad <= TRIAL_AT or bad <= OUT_AT and trier and held.kind.repeat is Repeat.SAFE
            return fit and server is not avoid and held.may_send(server, now, self.settings)

        def cost(server: Server) -> float:
            trial = not self.shared and self.bad(server, held.cls, now) > TRIAL_AT
            wait = 0.0 if trial else self.speed(server, now) * (len(server.pending) + 1)
            return wait * self.rng.uniform(1, 1.05) * (FAR if server.zone != self.settings.zone else 1.0)

        some = [server for server in self.draw(now) if able(server)]
        some = some or [server for server in self.hot if able(server)]  # where the cold one drawn is not able
        return min(some, key=cost) if some else None

    def see(self, server: Server, cls: int, failed: bool, now: int, sure: bool = False) -> None:
        """An attempt's end, or its being overdue, tells how a backend does with a class, or all if `sure`."""
        if server.id not in self.servers:
            return  # gone for good
        for index in range(len(self.typical)) if sure else [cls]:
            before = self.bad(server, index, now)
            after = (1 + before) / 2 if failed else before / 2
            # Of hundreds of gateways each sees a given backend twice a minute: what one sees, all hear.
            self.news.see(server.id, index, after, now, failed or before > 0.1)
            if (before > OUT_AT) != (after > OUT_AT):
                self.surveyed = -SURVEY_EVERY
                what = "left out: failures" if failed else "answers again"
                self.log(what, f"backend {server.id} {what}")

    def ended(self, server: Server, held: Held, event: AttemptEnded, now: int) -> None:
        server.pending.pop((held.id, event.attempt), None)
        outcome = event.outcome
        self.out -= held.attempts[event.attempt].counts
        ratio = event.elapsed_ns / max(1.0, self.expected(held))
        if outcome is Outcome.OK:
            server.born = max(server.born, server.down_at)  # it may have restarted: ramp it
            server.down_at = 0
            server.slow += 0.2 * (min(ratio, SLOW_MOST) - self.speed(server, now))
            server.slow, server.sampled = max(0.2, server.slow), now
            self.seen[held.cls] += 1
            step = max(0.01, 1 / self.seen[held.cls])
            self.typical[held.cls] += step * (event.elapsed_ns / held.units - self.typical[held.cls])
            self.tail = max(1.5, self.tail + 0.1 * (TAIL if ratio > self.tail else TAIL - 1))
        if outcome not in (Outcome.MOOT, Outcome.STALE):
            # A full backend fails fast too: without this it would look idle and draw ever more traffic.
            sure = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.FULL)
            server.down_at = now if outcome is Outcome.CONNECT_FAILED else server.down_at
            for _ in range(3 if outcome is Outcome.CONNECT_FAILED else 1):
                self.see(server, held.cls, outcome is not Outcome.OK, now, sure)


class Gateway(Desk):
    """An admission gateway. Give `handle` what happened; carry out the actions that it returns, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__()
        self.settings, self.rng = settings, random.Random(seed)
        self.quotas = Quotas(settings)
        self.turns = Turns(self.rng)
        self.bound = Bound(settings.gateways)
        self.fleet = Fleet(settings, self.rng, self._log)
        self.held: dict[int, Held] = {}
        self.further = Bucket(0.0, FURTHER_BURST, FURTHER_BURST, 0)
        self.look_at, self.most_left, self.garbled = 0, [0] * len(settings.classes), 0
        self.logged, self.telling = Seldom(LOG_EVERY), True
        self.handlers = {Request: self._arrive, AttemptEnded: self._ended, BackendList: self._list}
        self.handlers |= {ClientLeft: self._gone, StreamStarted: self._gone, PeerMessage: self._hear}

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
            message.latency, message.marks = self.bound.latency, self.fleet.news.some(self.rng, self.now)
            self.actions.append(TellPeer(peer, gossip.pack(message)))

    def _tell(self) -> None:
        self.telling = False
        self.quotas.tell(self.now)

    def _gone(self, event: ClientLeft | StreamStarted) -> None:
        """The client has left, or the attempt is now its own."""
        if (held := self.held.get(event.request)) is not None:
            held.stream = isinstance(event, StreamStarted)
            if not held.stream:
                self._close(held)

    def avoided(self) -> set[int]:
        """Backends of the list that are left out for their failures, whatever the class."""
        bad = self.fleet.bad
        classes = range(len(self.settings.classes))
        return {
            id for id, s in self.fleet.servers.items() if any(bad(s, c, self.now) > OUT_AT for c in classes)
        }

    def _hear(self, event: PeerMessage) -> None:
        if (message := self.quotas.hear(event.peer, event.data, self.now)) is None:
            if (count := self.quotas.inbox.garbled) > self.garbled:
                self.garbled, of = count, f"{count} so far, the last of gatekeeper {event.peer}"
                self._log("garbled", f"dropped messages that can't be read, {of}")
            return
        self.bound.hear(message.latency)
        for mark in message.marks:
            if mark.backend in self.fleet.servers and mark.cls < len(self.settings.classes):
                fresh = mark.age_ns < NEWS_FOR
                self.fleet.news.see(mark.backend, mark.cls, mark.bad, self.now - mark.age_ns, fresh)
        for answer in message.answers:
            account = self.quotas.accounts.get(answer.customer)
            if account is not None and event.peer in account.keepers:  # nobody else may grant
                self._answered(answer)

    def _log(self, kind: str, text: str) -> None:
        if self.logged.now(kind, self.now):
            self.actions.append(Log(text))

    def _list(self, event: BackendList) -> None:
        if event.kind is ListKind.FAILED:
            self.agenda.add(self.now + SECOND, lambda: self.actions.append(Watch()))
            self._log("list", "the list of backends failed; going on with the last one")
            return
        for server in self.fleet.update(event, self.now):
            for cls in range(len(self.settings.classes)):
                self.fleet.news.see(server.id, cls, 0.0, server.born, False)
        self.fleet.news.forget(self.fleet.servers)
        self.fleet.surveyed = -SURVEY_EVERY
        if all(line.state is not BackendState.READY for line in self.fleet.servers.values()):
            self._log("empty", "no backend is ready")

    def _arrive(self, event: Request) -> None:
        if event.id in self.held:
            return
        plan, kind = self.settings.plans[event.plan], self.settings.classes[event.cls]
        account = self.quotas.accounts.get(event.customer) or Account(event, self.now, self.quotas)
        self.quotas.accounts[event.customer], account.seen = account, self.now
        if self.quotas.direct:
            self.quotas.dirty[event.customer] = None
        held = Held(event, account, kind, self.now)
        self.held[event.id] = held
        # Less time left than others of its class had: it has waited, at the client or while this stood still.
        # The time of one whose body is still coming has not begun.
        most, left = self.most_left, 0 if held.once else event.left_ns
        most[event.cls] = max(most[event.cls], left)
        held.aim -= (age := 0 if held.once else most[event.cls] - left)
        pressed = self.bound.latency > PRESSURE_GOAL / 2
        # Answer a tick or two before the client gives up, so that the answer is no later than it.
        last = max(self.now, held.deadline - 2 * self.settings.tick_ns)

        def over() -> bool:
            return held.done or held.stream

        self.agenda.add(last, lambda: None if over() else self._fail_or_refuse(held), over)
        if age > self.settings.tick_ns and self.now + self.fleet.expected(held) > held.aim and pressed:
            self._fail_or_refuse(held)
        elif account.keepers and self.now < account.closed_until:
            self._refuse(held, (account.closed_until - self.now) / SECOND)
        elif not account.keepers and not account.inside(event.units, self.now):
            self._refuse(held, (event.units - account.room(self.now)) / max(plan.rate, 1e-9))
        elif account.keepers:
            self._ask(held)
        else:
            self._admit(held)

    def _ask(self, held: Held) -> None:
        """Asks the customer's keepers in turn; where none answers, the slice of this gateway decides."""
        account, me = held.account, self.settings.me
        if held.asked_at and self.now + self.fleet.expected(held) > held.aim:
            self._fail_or_refuse(held)
            return
        none = self.quotas.standing.lost.issuperset(account.keepers)  # no keeper is there to be asked
        if (none or held.asks >= ASKS) and account.plan.ceiling_rate <= 0:
            if account.near_told or account.slice.fill(self.now) < min(held.units, account.slice.depth):
                self._refuse(held, 0.0)
                return
            account.slice.level -= held.units
            account.owed += held.units
            self._admit(held)
            return
        keeper = self.quotas.keeper(account, self.now)
        held.asks, held.asked_at, held.asking = held.asks + 1, self.now, True
        if keeper == me:
            self._answered(self.quotas.grant(account, me, held.id, held.units, self.now))
            return
        self.quotas.ask(account, keeper, held.id, held.units)
        asks = held.asks

        def unanswered() -> None:
            if held.asking and held.asks == asks:
                self.quotas.missed[keeper] = (self.quotas.missed.get(keeper, (0, 0))[0] + 1, self.now)
                self._ask(held)

        due = self.now + held.kind.aim_ns // ASK_PART
        self.agenda.add(due, unanswered, lambda: not held.asking or held.asks != asks)

    def _answered(self, answer: gossip.Answer) -> None:
        """What a keeper says: units let the request go to its queue; units that come too late go back."""
        held, account = self.held.get(answer.request), self.quotas.accounts.get(answer.customer)
        if held is None or not held.asking or held.account is not account:
            if account is not None and answer.units > 0:
                account.owed -= answer.units
            return
        account.near_told = answer.near
        wait = max(answer.wait_ms * SECOND // 1000, self.settings.tick_ns)
        if answer.units >= gossip.to_wire(held.units):
            self._admit(held)
        elif answer.beyond:
            account.closed_until = self.now + int(wait * self.rng.random())
            self._refuse(held, wait / SECOND)
        else:
            held.asks, held.asked_at = 0, self.now  # answered: asked anew when it may be let go
            again = self.now + wait
            self.agenda.add(again, lambda: self._ask(held) if held.asking and not held.asks else None)

    def _admit(self, held: Held) -> None:
        held.asking = False
        self.turns.add(held.account.customer, held)
        # What needs no waiting is not shed: else a slow spell would lock large requests out for good.
        shed = max(self.now + 1, int(held.aim - self.fleet.tail * self.fleet.expected(held)))

        def gone() -> bool:
            return not held.waiting

        self.agenda.add(shed, lambda: None if gone() else self._refuse(held, 0.0), gone)

    def _pump(self) -> None:
        """Sends what waits while the bound has room."""
        self.fleet.survey(self.now)
        self.bound.capacity = self.fleet.capacity
        while self.turns.waiting and self.fleet.out + 1 <= self.bound.limit():
            held = self.turns.take(self.now)
            if held is None:
                break
            if not held.account.keepers and not held.account.inside(held.units, self.now):
                self._refuse(held, 0.0)
            elif self._void(held):
                self.quotas.settle(held.account, -held.units, self.now)
                self._ask(held)
            elif (server := self.fleet.choose(held, self.now)) is None:
                self.turns.back(held.account.customer, held)
                break
            else:
                self._send(held, server)
        if self.turns.waiting and self.look_at <= self.now:
            self.look_at = self.now + LOOK_EVERY
            self.agenda.add(self.look_at, lambda: None)

    def _void(self, held: Held) -> bool:
        """Rule 5: granted units under way while the true store is full are beyond it: slack bounds them."""
        plan, asked = held.account.plan, held.account.keepers and not held.attempts
        over = plan.ceiling_slack / plan.ceiling_rate if asked and plan.ceiling_rate > 0 else float("inf")
        return bool(self.now - held.asked_at > over * SECOND)

    def _send(self, held: Held, server: Server) -> None:
        if not held.attempts:
            if not held.account.keepers:
                self.quotas.settle(held.account, held.units, self.now)
                held.account.ceiling.level -= held.units
            held.account.used.add(held.units, self.now)
            self.further.level = min(self.further.depth, self.further.level + FURTHER_SHARE)
        held.attempts.append(Attempt(server, self.now))
        held.account.out += 1
        # A body that is still coming costs the backend nothing yet, and its client may be slow.
        held.attempts[-1].counts = not held.once
        self.fleet.out += not held.once
        takes = held.deadline - self.now if held.once else self.fleet.expected(held)
        server.pending[held.id, len(held.attempts) - 1] = (self.now, max(1.0, takes))
        self.actions.append(Send(held.id, server.id, max(1, held.deadline - self.now)))
        number = len(held.attempts) - 1
        after = int(self.fleet.tail * self.fleet.expected(held))
        attempt = held.attempts[number]
        self.agenda.add(self.now + after, lambda: self._overdue(held, number), lambda: not attempt.out)

    def _overdue(self, held: Held, number: int) -> None:
        """An attempt past nearly all latencies seen: a second copy, or a new one where one may be out."""
        last = number == len(held.attempts) - 1
        if held.done or held.stream or held.once or not held.attempts[number].out or not last:
            return
        server = held.attempts[number].backend
        if self.bound.latency < PRESSURE_GOAL and held.attempts[number].counts:
            # The fleet answers in time, so the trouble is this backend's: what hangs there holds no place.
            self.fleet.see(server, held.cls, True, self.now)
            held.attempts[number].counts = False
            self.fleet.out -= 1
        if self.now + self.fleet.expected(held) > held.aim or self.further.level < 1:
            return
        if self.settings.second_copies:
            at = int(held.attempts[number].sent + COPY_AT * (held.aim - held.attempts[number].sent))
            self.agenda.add(
                max(at, self.now), lambda: self._copy(held, number), lambda: not held.attempts[number].out
            )
        elif self.settings.may_cancel and self.fleet.speed(server, self.now) > 2 * self.fleet.tail:
            self.actions.append(Cancel(held.id, number))

    def _copy(self, held: Held, number: int) -> None:
        """Most that are overdue are answered in time all the same; a copy of each would be work wasted."""
        if not held.done and held.attempts[number].out and number == len(held.attempts) - 1:
            self._again(held, held.attempts[number].backend)

    def _again(self, held: Held, failed: Server, outcome: Outcome = Outcome.TIMEOUT) -> bool:
        """A further attempt, under the budget. What never ran, or broke at once, cost the fleet nothing."""
        free = outcome in (Outcome.STALE, Outcome.CONNECT_FAILED, Outcome.MOOT)
        cost = 0.0 if free else 1.0 if self.bound.latency > PRESSURE_GOAL or self.fleet.shared else CALM_COST
        if self.further.level < cost or self.now + self.fleet.expected(held) > held.aim:
            return False
        server = self.fleet.choose(held, self.now, failed)
        if server is None and outcome in (Outcome.STALE, Outcome.RESET, Outcome.ERROR):
            # It may go nowhere else: only the cell that has seen it knows a repeat.
            server = self.fleet.choose(held, self.now)
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
        held.spent = held.spent or event.spent
        held.account.out -= 1
        out = self.fleet.out
        self.fleet.ended(attempt.backend, held, event, self.now)
        self.quotas.unit_ns = sum(self.fleet.typical) / len(self.fleet.typical)
        # One bad backend says nothing of the fleet: only when most are bad does its failure cut the bound.
        shared = self.fleet.shared and event.outcome in (Outcome.TIMEOUT, Outcome.FULL)
        if shared or event.outcome is Outcome.OK and self.fleet.speed(attempt.backend, self.now) <= 2.0:
            self.bound.sample(2.0 if shared else event.elapsed_ns / held.kind.aim_ns, out)
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

    def _refuse(self, held: Held, wait_s: float) -> None:
        wait = int(min(wait_s * SECOND, self.settings.max_retry_after_ns)) if self.settings.retry_after else 0
        self.actions.append(Refuse(held.id, wait))
        self._close(held)

    def _close(self, held: Held) -> None:
        if held.waiting and held.account.keepers and not held.attempts:
            self.quotas.settle(held.account, -held.units, self.now)  # granted and not sent: it goes back
        held.done, held.waiting, held.asking = True, False, False
        self.turns.head(held.account.customer)
        self._drop(held)

    def _drop(self, held: Held) -> None:
        if held.done and not held.out():
            self.held.pop(held.id, None)
