"""The store that refuses use beyond a customer's quota, fed by peers, and its parts of hard ceilings."""

from __future__ import annotations

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, Decayed
from pepperrun.core.interface import Request, Settings
from pepperrun.core.standing import NEUTRAL

SHARE_HALF_LIFE = 2 * SECOND  # U_i: long against a request, short against a spell of load
HEARD_FOR = 5 * SECOND  # what a peer told of a customer stands this long; a restart takes a few seconds
TELL_EACH = SECOND  # heartbeats, answers to peers that ask, and how long use that grew counts as active
OUT_FRESH = SECOND // 4  # told attempts out are old after about the time that an attempt takes
NEAR = 0.75  # a customer is near its slice once less than this part of the slice is left
NEWS = 1 / 8  # of the room left: use below it is told within TELL_EACH, not at once
INTAKE_USED = 0.6  # part of a receiver's intake that all its peers together fill: room for bursts
DIRECT_WITHIN = SECOND // 2  # peers tell each other directly if their messages fit the intake this often
KEEPER_PARTS = (0.75, 0.25)  # of a hard ceiling: a customer's first keeper grants, the next while it is away
HASH = 2654435761  # spreads customers over their sets; golden ratio of 32 bits
RUSH = 4.0  # fewer asks than this in about a second say nothing of how much is asked


class Account:
    """A customer's quota as this gateway sees it, and its queue."""

    def __init__(self, event: Request | gossip.Ask, now: int, quotas: Quotas) -> None:
        count, me = quotas.settings.gateways, quotas.settings.me
        self.customer, self.number, self.first = event.customer, event.plan, event.first
        self.plan = plan = quotas.settings.plans[event.plan]
        self.spread = spread = min(event.spread, count)
        self.peers, self.keepers = list[int](), list[int]()
        hard = 1 / spread
        if quotas.direct:
            members = [(event.first + step) % count for step in range(spread)]
            self.peers = [peer for peer in members if peer != me]
        elif spread > 1:
            at = event.customer * HASH % 2**32 * spread >> 32
            self.keepers = [(event.first + step % spread) % count for step in (at, at + (spread + 1) // 2)]
            hard = KEEPER_PARTS[self.keepers.index(me)] if me in self.keepers else 0.0
        # The second keeper's store stays small: no change of keepers grants another burst.
        small = max(plan.rate, quotas.settings.max_units) if me in self.keepers[1:] else plan.burst
        depth = min(plan.burst, small)
        # Full: most use a part of their quota. One that does not know the others yet has its part of that.
        self.whole = Bucket(plan.rate, depth, depth / (spread if quotas.standing.slices else 1), now)
        self.slice = Bucket(plan.rate / spread, plan.burst / spread, plan.burst / spread, now)
        # The hard slice starts empty when this gateway starts: the one before it may have spent it (rule 5).
        self.ceiling = Bucket(plan.ceiling_rate * hard, plan.ceiling_depth * hard, 0.0, quotas.start)
        self.owed = 0.0  # units used without asking a keeper, less those given back
        self.near_told, self.closed_until = False, now  # what a keeper last told of it
        self.asked = Decayed(SECOND, now)  # asks, where this gateway is keeper
        self.granted: dict[tuple[int, int], int] = {}  # as keeper: peer and request, when granted
        # Not from 0: peers remember the count of an account that was dropped, and a lower one gives back.
        self.total, self.untold = quotas.counted, 0.0
        self.out, self.seen, self.period, self.quotas = 0, now, quotas.period, quotas
        self.told_at = self.asked_at = quotas.start - HEARD_FOR
        self.told = gossip.Heard()
        self.used = Decayed(SHARE_HALF_LIFE, now)
        self.weight = plan.rate or plan.open_limit or 1.0  # no rate: the open limit stands in, else one

    def near(self, now: int) -> bool:
        if self.plan.ceiling_rate > 0 and self.ceiling.fill(now) < NEAR * self.ceiling.depth:
            return True
        return self.slice.fill(now) < NEAR * self.slice.depth or self.plan.open_limit > 0 and self.out > 0

    def room(self, now: int) -> float:
        """Units that this gateway may send on before it hears more."""
        answered = self.asked_at + 2 * self.period <= now and now - self.told_at < HEARD_FOR
        heard = self.told.since(now - HEARD_FOR)
        if self.spread > 1 and (self.quotas.standing.slices or not answered and not heard):
            # A full slice may be smaller than one request; it pays for one all the same and owes the rest.
            return self.slice.fill(now) if self.slice.level < self.slice.depth else self.plan.burst
        room = self.whole.fill(now)
        if self.plan.over_cost <= 0:
            return room  # what two let go at once costs nothing
        # The rest is split by use: each leaves the others what they will use before it hears of it.
        return room - sum(told.unseen(now, 2 * self.period) for told in heard)

    def inside(self, units: float, now: int) -> bool:
        return self.plan.rate <= 0 or self.room(now) >= units

    def ready(self, units: float, now: int) -> bool:
        """Do the ceiling and the limit on attempts out let it go? Own part unheard, else less the told."""
        if self.keepers:
            return True  # they let it go
        fresh = [told.entry.out for told in self.told.since(now - OUT_FRESH)]
        most = self.plan.open_limit - sum(fresh) if fresh else self.plan.open_limit // self.spread
        if self.plan.open_limit > 0 and self.out >= max(1, most):
            return False
        return self.plan.ceiling_rate <= 0 or self.ceiling.fill(now) >= units

    def charge(self, units: float, now: int) -> None:
        for bucket in (self.whole, self.slice):  # what is given back does not fill it beyond its depth
            bucket.level = min(bucket.depth, bucket.fill(now) - units)
        self.total += units
        self.untold += units


class Quotas:
    """The store that refuses use beyond the quota, fed by peers."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.accounts: dict[int, Account] = {}
        self.dirty: dict[int, None] = {}
        self.start = self.beat = 0
        self.counted = 0.0  # no account dropped so far had counted more
        self.handed = False  # another process of this gatekeeper decides: no store fills, no peer is told
        intake = max(settings.peer_intake, 0.1) * INTAKE_USED
        self.period = max(2 * settings.tick_ns, int(max(1, settings.gateways - 1) / intake * SECOND))
        self.direct = self.period <= DIRECT_WITHIN or not settings.peer_messages
        self.missed: dict[int, tuple[int, int]] = {}  # keeper: asks unanswered in a row, the last one at
        self.unit_ns = 0.0  # how long an attempt takes for each unit, as seen by the fleet
        self.inbox, self.outbox = gossip.Inbox(), gossip.Outbox()
        self.standing = NEUTRAL  # what membership, where it is on, knows of the others

    def keeper(self, account: Account, now: int) -> int:
        """The first keeper that is there and has not let two asks go unanswered within the last second."""
        missed, lost = [self.missed.get(keeper, (0, 0)) for keeper in account.keepers], self.standing.lost
        heard = [count < 2 or now - at > SECOND for count, at in missed]
        heard = [here and keeper not in lost for here, keeper in zip(heard, account.keepers, strict=True)]
        return account.keepers[heard.index(True) if True in heard else 0]

    def ask(self, account: Account, keeper: int, request: int, units: float) -> None:
        owed = gossip.owed_on_wire(account.owed)
        account.owed -= owed
        where = (account.number, account.first, account.spread)
        ask = gossip.Ask(account.customer, request, units, owed, *where)
        self.outbox.to(keeper).asks.append(ask)

    def grant(self, account: Account, peer: int, request: int, units: float, now: int) -> gossip.Answer:
        """As a keeper: units of the store and of this keeper's part of the ceiling, or how long to wait."""
        plan, ceiling = account.plan, account.ceiling
        most = min(self.settings.peer_intake * INTAKE_USED, 2 * plan.rate / max(units, 0.1))
        level, took = account.whole.fill(now), self.unit_ns * units
        account.asked.add(1.0, now)
        account.granted = {key: at for key, at in account.granted.items() if now - at < SECOND}
        wait_s, beyond = 0.0, False
        if plan.ceiling_rate <= 0 and (peer, request) in account.granted:
            pass  # the answer was lost; the units are charged already
        elif not self.standing.grants:
            wait_s = self.period / SECOND  # it stood still, or nobody hears it: another may keep the store
        elif plan.rate > 0 and level < units:
            beyond, wait_s = True, max(0.001, (1 - level) / plan.rate)
            if account.asked.value > max(RUSH, 1.4 * most):
                # Far more is asked than the store can give, or than the intake takes beside other customers.
                wait_s = max(wait_s, min(HEARD_FOR / SECOND, account.spread / most))
        elif plan.ceiling_rate > 0 and ceiling.fill(now) < units:
            wait_s = (units - ceiling.level) / max(ceiling.rate, 1e-9)
        elif 0 < plan.open_limit <= sum(now - at < took for at in account.granted.values()):
            wait_s = max(0.001, took / SECOND)
        else:
            account.whole.level -= units
            ceiling.level -= units
            account.granted[peer, request] = now
        near, given = level < NEAR * plan.burst, 0.0 if wait_s else units
        return gossip.Answer(account.customer, request, given, int(min(wait_s, 60.0) * 1000), near, beyond)

    def settle(self, account: Account, units: float, now: int) -> None:
        """Units found used, or with a minus not used, after the grant: to the store here or to the keeper."""
        if not account.keepers:
            account.charge(units, now)
            self.dirty[account.customer] = None
        elif (keeper := self.keeper(account, now)) == self.settings.me:
            account.whole.level = min(account.whole.depth, account.whole.fill(now) - units)
        else:
            account.owed += units
            if account.near_told:
                self.ask(account, keeper, 0, 0.0)

    def _hear_asks(self, peer: int, message: gossip.Message, now: int) -> None:
        count = self.settings.gateways
        for ask in message.asks:
            if ask.plan >= len(self.settings.plans) or not 0 < ask.spread <= count or ask.first >= count:
                continue
            account = self.accounts.get(ask.customer) or Account(ask, now, self)
            if self.settings.me in account.keepers and (peer - account.first) % count < account.spread:
                self.accounts[ask.customer] = account
                account.seen = now
                level = min(account.whole.depth, account.whole.fill(now) - ask.owed)
                # A figure out of all range must not shut a customer out for long.
                account.whole.level = max(level, min(account.whole.level, -account.whole.depth))
                if ask.units > 0:
                    answers = self.outbox.to(peer).answers
                    answers.append(self.grant(account, peer, ask.request, ask.units, now))

    def hear(self, peer: int, data: bytes, now: int) -> gossip.Message | None:
        """Takes in a peer's message and gives it back, or None where it is not to be taken in."""
        known = peer != self.settings.me and peer < self.settings.gateways
        if not known or (message := self.inbox.accept(peer, data, now)) is None:
            return None
        self.missed.pop(peer, None)
        self._hear_asks(peer, message, now)
        for entry in message.entries:
            account = self.accounts.get(entry.customer)
            if account is None or peer not in account.peers:
                continue
            used = account.told.take(peer, message.incarnation, entry, now)
            account.whole.fill(now)
            left = max(account.whole.level - used, min(0.0, account.whole.level))
            account.whole.level = min(account.whole.depth, left)
            ceiling = account.ceiling
            if message.receiver == self.outbox.incarnation and ceiling.fill(now) < ceiling.depth:
                ceiling.level = min(ceiling.depth, ceiling.level + entry.handed)
            if now - account.told_at > TELL_EACH:
                self.dirty[account.customer] = None
        return message

    def tell(self, now: int) -> None:
        """Each peer hears of the customers that it shares, when they are near and there is news."""
        if self.handed:
            return
        dirty, self.dirty = self.dirty, {}
        for customer in dirty:
            account = self.accounts.get(customer)
            if account is None or not account.peers:
                continue
            if not account.near(now) and not account.told.since(now - HEARD_FOR):
                continue
            news = abs(account.untold) > NEWS * max(0.0, account.whole.fill(now))
            if not news and now - account.told_at < TELL_EACH:
                if account.untold:
                    self.dirty[customer] = None
                continue
            if now - account.told_at >= HEARD_FOR:
                account.asked_at = now
            account.untold, account.told_at = 0.0, now
            debt = max(0.0, account.slice.depth - account.slice.fill(now))
            for peer in account.peers:
                handed, level = self._hand_over(account, peer, now), max(0.0, account.ceiling.level)
                if handed <= 0 and level >= NEAR * account.ceiling.depth:
                    level = gossip.FAR
                entry = gossip.Entry(customer, account.total, debt, level, handed, account.out)
                self.outbox.to(peer).entries.append(entry)
        if now - self.beat >= TELL_EACH:
            self.beat = now
            for peer in range(self.settings.gateways):
                if peer != self.settings.me:
                    self.outbox.to(peer)

    def _hand_over(self, account: Account, peer: int, now: int) -> float:
        """Ceiling units moved to a peer with fewer: debited here, credited there, lost with the message."""
        told = account.told.told.get(peer)
        account.ceiling.fill(now)
        if account.plan.ceiling_rate <= 0 or told is None or now - told.at > HEARD_FOR:
            return 0.0
        if told.entry.ceiling == gossip.FAR:
            return 0.0
        # What is on its way while the true store is full is beyond it: the slack over the spread bounds that.
        most = account.plan.ceiling_slack / account.spread / 2
        handed = gossip.to_wire(min(most, (account.ceiling.level - told.entry.ceiling) / 2))
        account.ceiling.level -= handed
        told.entry.ceiling += handed
        return handed

    def refresh(self, now: int) -> None:
        """Peers gone quiet count as their slice; accounts that forgetting does not change are dropped."""
        if self.handed:
            return
        late = {p for p, known in self.inbox.peers.items() if self.direct and now - known[2] > HEARD_FOR}
        # The larger side has the whole, the smaller one its members' slices.
        quiet = self.standing.missing if self.standing.known else late
        for account in list(self.accounts.values()):
            if quiet or account.whole.rate != account.plan.rate:
                account.whole.fill(now)
                lost = sum((p - account.first) % self.settings.gateways < account.spread for p in quiet)
                account.whole.rate = account.plan.rate * (1 - lost / account.spread)
            buckets = [account.whole, account.slice] + [account.ceiling] * (account.plan.ceiling_rate > 0)
            full = all(bucket.fill(now) >= bucket.depth for bucket in buckets)
            if full and not account.out and now - account.seen > HEARD_FOR:
                self.counted = max(self.counted, account.total)
                del self.accounts[account.customer]
