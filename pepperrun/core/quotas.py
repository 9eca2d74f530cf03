"""The store that refuses use beyond a customer's quota, fed by peers, and its parts of hard ceilings."""

from __future__ import annotations

from pepperrun.core import gossip
from pepperrun.core.clock import SECOND, Bucket, DecayingSum
from pepperrun.core.escrow import LOW, hand_over, hungry
from pepperrun.core.interface import Request, Settings
from pepperrun.core.keepers import HEARD_FOR, NEAR, Keepers, keepers_of, period_of
from pepperrun.core.quota_keepers import QuotaKeepers
from pepperrun.core.standing import NEUTRAL

SHARE_HALF_LIFE = 2 * SECOND  # U_i: long against a request, short against a spell of load
TELL_EACH = SECOND  # heartbeats, answers to peers that ask, and how long use that grew counts as active
OUT_FRESH = SECOND // 4  # told attempts out are old after about the time that an attempt takes
NEWS = 1 / 8  # of the room left: use below it is told within TELL_EACH, not at once
DIRECT_WITHIN = SECOND // 2  # peers tell each other directly if their messages fit the intake this often


class Account:
    """A customer's quota as this gateway sees it, and its queue."""

    def __init__(self, event: Request | gossip.Ask, now: int, quotas: Quotas) -> None:
        self.customer, self.number, self.first, self.quotas = event.customer, event.plan, event.first, quotas
        self.spread, self.seats, self.begins = event.spread, event.spread, quotas.start
        # Full: most use a part of their quota. One that does not know the others yet has its part of that.
        self.whole, self.slice = Bucket(0.0, 0.0, 0.0, now), Bucket(0.0, 0.0, 0.0, now)
        self.ceiling = Bucket(0.0, 0.0, 0.0, now)
        self.divide(now)
        # The hard slice starts empty when this gateway starts: the one before it may have spent it (rule 5).
        self.ceiling.at = self.begins
        self.whole.level = self.whole.depth / (self.spread if quotas.standing.slices else 1)
        self.slice.level = self.slice.depth
        self.owed = 0.0  # units used without asking a keeper, less those given back
        self.near_told, self.closed_until = False, now  # what a keeper last told of it
        self.asked = DecayingSum(SECOND, now)  # asks, where this gateway is keeper
        self.granted: dict[tuple[int, int], int] = {}  # as keeper: peer and request, when granted
        # Not from 0: peers remember the count of an account that was dropped, and a lower one gives back.
        self.total, self.untold = quotas.counted, 0.0
        self.out, self.seen, self.period, self.fed_at = 0, now, quotas.period, now
        self.told_at = self.asked_at = quotas.start - HEARD_FOR
        self.told, self.begged = gossip.Heard(), set[int]()  # and peers that are short of units
        self.used = DecayingSum(SHARE_HALF_LIFE, now)

    def divide(self, now: int) -> None:
        """Its parts among the gateways that it comes through, anew where their number has changed."""
        quotas, plan = self.quotas, self.quotas.settings.plans[self.number]
        count, me = quotas.settings.gateways, quotas.settings.me
        self.plan, self.spread = plan, min(self.seats, count) if quotas.members is None else count
        self.weight = plan.rate or plan.open_limit or 1.0  # no rate: the open limit stands in, else one
        self.peers, self.keepers, hard = (
            list[int](),
            list[int](),
            1 / max(self.spread, quotas.settings.min_quota_shares),
        )
        if quotas.members is not None:
            self.peers = list(quotas.members)
            hard = quotas.quota_keepers.seat(self, now) if quotas.quota_keepers else hard
        elif quotas.direct:
            members = [(self.first + step) % count for step in range(self.spread)]
            self.peers = [peer for peer in members if peer != me]
        elif self.spread > 1:
            self.keepers, hard = keepers_of(self.customer, self.first, self.spread, count, me)
        # The second keeper's store stays small: no change of keepers grants another burst.
        small = max(plan.rate, quotas.settings.max_units) if me in self.keepers[1:] else plan.burst
        part = 1 / self.spread
        for bucket, rate, depth in (
            (self.whole, plan.rate, min(plan.burst, small)),
            (self.slice, plan.rate * part, plan.burst * part),
            (self.ceiling, plan.ceiling_rate * hard, plan.ceiling_depth * hard),
        ):
            bucket.fill(now)
            bucket.rate, bucket.depth, bucket.level = rate, depth, min(depth, bucket.level)

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
        if self.plan.over_quota_cost <= 0:
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
        self.members: tuple[int, ...] | None = None  # the peers that are there, where they come and go
        self.counted = 0.0  # no account dropped so far had counted more
        self.handed = False  # another process of this gatekeeper decides: no store fills, no peer is told
        self.period = period_of(settings)
        self.direct = self.period <= DIRECT_WITHIN or not settings.peer_messages
        self.unit_ns = 0.0  # how long an attempt takes for each unit, as seen by the fleet
        self.inbox, self.outbox = gossip.Inbox(), gossip.Outbox()
        self.standing = NEUTRAL  # what membership, where it is on, knows of the others
        self.keepers = Keepers(self)
        self.quota_keepers: QuotaKeepers | None = None  # who keeps a tenant's part in each place

    def resettle(self, settings: Settings, now: int) -> None:
        """Plans that came to those known, another number of gateways: each account's parts follow."""
        self.settings, self.period = settings, period_of(settings)
        for account in self.accounts.values():
            account.divide(now)

    def account(self, event: Request | gossip.Ask, now: int) -> Account:
        """A new one for the customer of a request, or of a peer's ask."""
        return Account(event, now, self)

    def settle(self, account: Account, units: float, now: int) -> None:
        """Units found used, or with a minus not used, after the grant: to the store here or to the keeper."""
        if not account.keepers:
            account.charge(units, now)
            self.dirty[account.customer] = None
        elif (keeper := self.keepers.of(account, now)) == self.settings.me:
            account.whole.level = min(account.whole.depth, account.whole.fill(now) - units)
        else:
            account.owed += units
            if account.near_told:
                self.keepers.ask(account, keeper, 0, 0.0)

    def hear(self, peer: int, data: bytes, now: int) -> gossip.Message | None:
        """Takes in a peer's message and gives it back, or None where it is not to be taken in."""
        there = range(self.settings.gateways) if self.members is None else self.members
        message = self.inbox.accept(peer, data, now) if peer in there and peer != self.settings.me else None
        if message is None:
            return None
        self.keepers.missed.pop(peer, None)
        self.keepers.hear(peer, message, now)
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
            if entry.ceiling < LOW <= ceiling.level and self.members is not None:
                account.begged.add(peer)
            if now - account.told_at > TELL_EACH or account.begged:
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
            # Where members come and go a hard bound stands behind the store: use need not be told at once.
            news = self.members is None and abs(account.untold) > NEWS * max(0.0, account.whole.fill(now))
            want = self.members is not None and hungry(account, now)
            wide = news or now - account.told_at >= (TELL_EACH // 4 if want else TELL_EACH)
            if not wide and not account.begged:
                if account.untold:
                    self.dirty[customer] = None
                continue
            peers = account.peers if wide else sorted(account.begged)  # who asks for units has them at once
            account.begged.clear()
            if wide:
                account.asked_at = now if now - account.told_at >= HEARD_FOR else account.asked_at
                account.untold, account.told_at = 0.0, now
            debt = max(0.0, account.slice.depth - account.slice.fill(now))
            for peer in peers:
                handed, level = hand_over(account, peer, now), max(0.0, account.ceiling.level)
                if handed <= 0 and level >= NEAR * account.ceiling.depth:
                    level = gossip.FAR
                entry = gossip.Entry(customer, account.total, debt, level, handed, account.out)
                self.outbox.to(peer).entries.append(entry)
        if now - self.beat >= (TELL_EACH if self.members is None else HEARD_FOR // 2):
            self.beat = now
            everybody = range(self.settings.gateways) if self.members is None else self.members
            for peer in everybody if self.quota_keepers is None else ():
                if peer != self.settings.me:
                    self.outbox.to(peer)

    def refresh(self, now: int) -> None:
        """Peers gone quiet count as their slice; accounts that forgetting does not change are dropped."""
        if self.handed:
            return
        late = {p for p, known in self.inbox.peers.items() if self.direct and now - known[2] > HEARD_FOR}
        late &= late if self.members is None else set(self.members)
        # The larger side has the whole, the smaller one its members' slices.
        quiet = self.standing.missing if self.standing.known else late
        for account in list(self.accounts.values()):
            if self.quota_keepers is None and (quiet or account.whole.rate != account.plan.rate):
                account.whole.fill(now)
                lost = sum((p - account.first) % self.settings.gateways < account.spread for p in quiet)
                account.whole.rate = account.plan.rate * (1 - lost / account.spread)
            buckets = [account.whole, account.slice] + [account.ceiling] * (account.plan.ceiling_rate > 0)
            full = all(bucket.fill(now) >= bucket.depth for bucket in buckets)
            if full and not account.out and now - account.seen > HEARD_FOR:
                self.counted = max(self.counted, account.total)
                del self.accounts[account.customer]
