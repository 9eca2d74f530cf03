"""Many gateways together: their messages, and the rules that hold for their sum."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from helpers import CEILED, FREE, MS, PLANS, RATE, SECOND, START, Driver, only

from pepperrun.core import gossip
from pepperrun.core.interface import (
    AttemptEnded,
    Backend,
    BackendList,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Refuse,
    Request,
    Send,
    SendPeerMessage,
    SetTimer,
    TimerFired,
)

TICK = 4 * MS
MESSAGE_RATE = 40.0


class Many:
    """Gateways whose messages take one tick, and backends that answer after 80 ms."""

    def __init__(self, gateways: int, backends: int = 20, loss: float = 0.0) -> None:
        self.rng = random.Random(7)
        self.count, self.loss, self.now, self.ids = gateways, loss, START, 0
        self.backends = tuple(Backend(number, number % 3) for number in range(backends))
        self.drivers = [self.make(me) for me in range(gateways)]
        self.inbox: dict[int, list[Event]] = {}
        self.later: list[tuple[int, int, Event]] = []
        self.received: Counter[tuple[int, int]] = Counter()
        self.sent: list[tuple[int, Send, Request]] = []
        self.requests: dict[int, Request] = {}
        self.attempts: Counter[int] = Counter()
        self.sizes: list[int] = []  # bytes of each message

    def make(self, me: int) -> Driver:
        driver = Driver(0, me, self.now, me=me, gateways=self.count, peer_message_rate=MESSAGE_RATE)
        driver.feed(BackendList(ListKind.FULL, self.backends))
        return driver

    def restart(self, me: int) -> None:
        """Replace a gateway by one without state; messages in flight to it are lost."""
        self.drivers[me] = self.make(me)
        self.later = [entry for entry in self.later if entry[1] != me]
        self.inbox.pop(me, None)

    def ask(self, me: int, plan: int, customer: int, units: float = 1.0, cls: int = 0) -> None:
        self.ids += 1
        request = Request(self.ids, customer, plan, cls, 3 * SECOND, units, self.count, 0)
        self.requests[self.ids] = request
        self.inbox.setdefault(me, []).append(request)

    def tick(self, stalled: frozenset[int] = frozenset()) -> None:
        self.now += TICK
        due = [entry for entry in self.later if entry[0] <= self.now and entry[1] not in stalled]
        self.later = [entry for entry in self.later if entry not in due]
        for _, me, event in due:
            self.inbox.setdefault(me, []).append(event)
        for me, driver in enumerate(self.drivers):
            timer = driver.timer is not None and driver.timer <= self.now
            if me in stalled or not (timer or me in self.inbox):
                continue
            if timer:
                driver.timer = None
                self.inbox.setdefault(me, []).append(TimerFired(0))
            driver.now = self.now
            self.carry_out(me, driver.feed(*self.inbox.pop(me)))

    def carry_out(self, me: int, actions: list) -> None:  # type: ignore[type-arg]
        for action in actions:
            if isinstance(action, Send):
                self.sent.append((self.now, action, self.requests[action.request]))
                number = self.attempts[action.request]
                self.attempts[action.request] += 1
                ended = AttemptEnded(action.request, number, action.backend, Outcome.OK, 80 * MS, True)
                self.later.append((self.now + 80 * MS, me, ended))
            elif isinstance(action, SendPeerMessage):
                self.received[action.peer, (self.now - START) // SECOND] += 1
                self.sizes.append(len(action.data))
                if self.rng.random() >= self.loss:
                    self.later.append((self.now + TICK, action.peer, PeerMessage(me, action.data)))
            else:
                assert isinstance(action, Refuse | Fail | SetTimer | Log)


def test_at_360_gateways_message_rates_and_quotas_hold() -> None:
    many = Many(360, loss=0.05)
    seconds = 3
    for step in range(seconds * SECOND // TICK):
        many.ask(many.rng.randrange(360), FREE, 1000 + step % 50)
        if step % 8 == 0:
            many.ask(many.rng.randrange(360), RATE, 1)  # 31 per second are requested, the quota is 10
        many.tick()
    assert max(many.received.values()) <= MESSAGE_RATE
    used = sum(request.units for _, _, request in many.sent if request.customer == 1)
    plan = PLANS[RATE]
    assert 0.6 * (plan.burst + seconds * plan.rate) <= used <= 1.3 * (plan.burst + seconds * plan.rate)
    free = sum(request.customer >= 1000 for _, _, request in many.sent)
    assert free >= 0.97 * (seconds * SECOND // TICK - 50)


def test_a_backend_in_slow_start_gets_its_share_from_300_gateways_even_after_a_stall() -> None:
    many = Many(300, backends=0)
    backends = [Backend(number, number % 3, started_ns=many.now * (number == 0)) for number in range(10)]
    for driver in many.drivers:
        driver.feed(BackendList(ListKind.FULL, tuple(backends)))
    stalled = frozenset(range(0, 300, 2))
    for step in range(2 * SECOND // TICK):
        many.ask(many.rng.randrange(300), FREE, step % 50)
        many.tick(stalled if step < SECOND // TICK else frozenset())
    hits = Counter(send.backend for _, send, _ in many.sent)
    warm = sum(hits[number] for number in range(1, 10)) / 9
    settings = many.drivers[0].settings
    most = (
        settings.slow_start_min_capacity
        + (1 - settings.slow_start_min_capacity) * 2 * SECOND / settings.slow_start_ns
    )
    assert 0 < hits[0] <= settings.overload_multiple * most * warm


@pytest.mark.parametrize("gateways", [3, 60])
def test_a_hard_rate_limit_holds_over_all_gateways_while_most_restart(gateways: int) -> None:
    many = Many(gateways, loss=0.05)
    plan = PLANS[CEILED]
    for step in range(6 * SECOND // TICK):
        for _ in range(3):
            many.ask(many.rng.randrange(gateways), CEILED, 1, units=2.0)
        if step % (1200 // gateways) == 0:
            many.restart(many.rng.randrange(gateways))
        many.tick()
    level, at = plan.ceiling_depth, START
    first: set[int] = set()
    for now, send, request in many.sent:
        if send.request in first:
            continue
        first.add(send.request)
        level = min(plan.ceiling_depth, level + plan.ceiling_rate * (now - at) / SECOND) - request.units
        at = now
        assert level >= -plan.ceiling_slack
    assert len(first) > 3


def messages(driver: Driver) -> list[gossip.Message]:
    found = [gossip.unpack(action.data) for action in only(driver.actions, SendPeerMessage)]
    return [message for message in found if message is not None]


def owner_of(customer: int, gateways: int = 60) -> int:
    """Return the gateway that the others ask first for units of a customer."""
    driver = Driver(me=gateways - 1, gateways=gateways, peer_message_rate=MESSAGE_RATE)
    driver.ask(RATE, customer=customer, spread=gateways)
    asked = [action.peer for action in only(driver.actions, SendPeerMessage)]
    return asked[0] if asked else gateways - 1


def ask(driver: Driver, peer: int, sequence: int, **changes: object) -> list[gossip.UnitResponse]:
    fields = {"customer": 5, "request": 9, "units": 2.0, "owed": 0.0, "plan": RATE, "first": 0, "spread": 60}
    unit_requests = [gossip.UnitRequest(**(fields | changes))]  # type: ignore[arg-type]
    data = gossip.pack(gossip.Message(5, sequence, 0, 0.1, unit_requests=unit_requests))
    before = len(messages(driver))
    driver.feed(PeerMessage(peer, data))
    return [answer for message in messages(driver)[before:] for answer in message.unit_responses]


def test_a_quota_owner_answers_only_its_gateways_and_charges_a_repeated_request_once() -> None:
    owner = owner_of(5)
    driver = Driver(me=owner, gateways=60, peer_message_rate=MESSAGE_RATE)
    other = (owner + 1) % 60
    assert ask(driver, other, 1)[0].units == 2.0
    assert ask(driver, other, 2)[0].units == 2.0  # the first answer was lost
    assert driver.gateway.quotas.accounts[5].global_bucket.fill(driver.now) == 10.0
    assert ask(driver, other, 2, request=10) == []  # a replayed message
    assert ask(driver, other, 3, plan=99) == []
    assert ask(driver, other, 4, spread=0) == []
    # This customer has other owners.
    assert ask(driver, other, 5, customer=6, first=(owner + 2) % 60, spread=3) == []
    assert ask(driver, 99, 6, request=11) == []
    assert driver.gateway.quotas.accounts[5].global_bucket.fill(driver.now) == 10.0
    assert ask(driver, other, 7, request=12, units=11.0)[0].over_quota


def test_an_unanswered_unit_request_falls_back_to_the_local_bucket() -> None:
    owner = owner_of(5)
    driver = Driver(me=(owner + 1) % 60, gateways=60, peer_message_rate=MESSAGE_RATE)
    assert only(driver.ask(RATE, customer=5, spread=60), Send) == []
    assert len(only(driver.run(SECOND), Send)) == 1
    asked = [action.peer for action in only(driver.actions, SendPeerMessage)]
    assert asked[:2] == [owner, owner] and asked[2] != owner


def test_a_granted_request_that_is_not_sent_returns_its_units() -> None:
    owner = owner_of(5)
    driver = Driver(backends=0, me=owner, gateways=60, peer_message_rate=MESSAGE_RATE)
    driver.run(3 * SECOND)
    driver.ask(RATE, customer=5, spread=60, units=4.0)
    account = driver.gateway.quotas.accounts[5]
    assert account.global_bucket.fill(driver.now) == 8.0
    assert len(only(driver.run(SECOND), Refuse)) == 1
    assert account.global_bucket.fill(driver.now) == 12.0


def test_a_report_on_a_backend_and_class_reaches_other_gateways_and_the_newer_one_wins() -> None:
    driver = Driver(backends=2, gateways=60, peer_message_rate=MESSAGE_RATE)
    fleet = driver.gateway.fleet
    report = gossip.BackendReport(0, 1, 0, 1.0)
    unknown = [gossip.BackendReport(77, 0, 0, 1.0), gossip.BackendReport(1, 200, 0, 1.0)]
    driver.now += SECOND
    driver.feed(PeerMessage(3, gossip.pack(gossip.Message(5, 1, 0, 0.1, backend_reports=[report, *unknown]))))
    server = fleet.servers[0]
    assert (
        fleet.failure_score(server, 1, driver.now) > 0.9 and fleet.failure_score(server, 0, driver.now) == 0.0
    )
    assert set(fleet.backend_reports.known) == {(0, 1)}
    old = gossip.BackendReport(0, 1, SECOND, 0.0)
    driver.feed(PeerMessage(3, gossip.pack(gossip.Message(5, 2, 0, 0.1, backend_reports=[old]))))
    assert fleet.failure_score(server, 1, driver.now) > 0.9
    hits = {0: set(), 1: set()}  # type: dict[int, set[int]]
    for number in range(12):
        for send in only(driver.ask(cls=number % 2, customer=number), Send):
            hits[number % 2].add(send.backend)
            driver.end(send, Outcome.OK)
    assert hits[1] == {1} and 0 in hits[0]


def test_a_gateway_rejects_late_requests_after_a_pause_and_sends_no_burst() -> None:
    driver = Driver(backends=4, gateways=60, peer_message_rate=MESSAGE_RATE)
    driver.now += 2 * SECOND
    late = [Request(number, number, FREE, 0, 6 * MS, 1.0, 1, 0) for number in range(1, 10)]
    fresh = [Request(number, number, FREE, 0, 3 * SECOND, 1.0, 1, 0) for number in range(10, 60)]
    actions = driver.feed(*late, *fresh)
    assert {action.request for action in only(actions, Refuse)} >= set(range(1, 10))
    assert 0 < len(only(actions, Send)) <= 4


def test_a_customer_is_served_at_once_and_a_change_of_the_quota_owner_grants_no_new_burst() -> None:
    first = owner_of(5)
    second = (first + 30) % 60
    for owner, whole in ((first, 12.0), (second, 10.0)):
        driver = Driver(me=owner, gateways=60, peer_message_rate=MESSAGE_RATE)
        assert ask(driver, (owner + 1) % 60, 1, units=4.0)[0].units == 4.0
        assert driver.gateway.quotas.accounts[5].global_bucket.fill(driver.now) == whole - 4.0


def test_a_request_that_waited_too_long_is_rejected_while_the_fleet_is_overloaded() -> None:
    for overloaded, sent in ((True, 0), (False, 1)):
        driver = Driver()
        driver.ask(customer=1)
        driver.gateway.limiter.latency = 0.2 if overloaded else 0.05
        late = driver.ask(customer=2, left_ns=3 * SECOND - 980 * MS)  # the latency target is 1 s
        assert len(only(late, Send)) == sent and len(only(late, Refuse | Fail)) == 1 - sent
        assert len(only(driver.ask(customer=3, left_ns=3 * SECOND - 100 * MS), Send)) == 1


@pytest.mark.parametrize("gateways", [2, 4, 16, 40, 64])
def test_each_gateway_uses_few_backends_and_all_together_use_them_evenly(gateways: int) -> None:
    many = Many(gateways, backends=60)
    out = 8  # attempts that each gateway keeps in flight: two at the same backend would queue there
    hits: Counter[int] = Counter()
    used = []
    for me, driver in enumerate(many.drivers):
        driver.gateway.limiter.depth = 1.0
        mine = set()
        for number in range(out):
            for send in only(driver.ask(customer=number, spread=1, first=me), Send):
                hits[send.backend] += 1
                mine.add(send.backend)
        assert len(mine) == out  # none queues behind another while other backends are idle
        for send in only(driver.actions, Send):
            driver.end(send, Outcome.OK)
        for number in range(50):  # one at a time
            for send in only(driver.ask(customer=100 + number, spread=1, first=me), Send):
                mine.add(send.backend)
                driver.end(send, Outcome.OK)
        used.append(len(mine))
    assert max(used) <= out + 4
    assert max(hits.values()) <= 2 + 2 * gateways * out / 60


def test_a_gateway_that_sends_more_uses_more_backends() -> None:
    driver = Driver(backends=60, gateways=40, peer_message_rate=MESSAGE_RATE)
    driver.gateway.limiter.depth = 1.0
    sent = [send for number in range(40) for send in only(driver.ask(customer=number), Send)]
    assert len(sent) == len({send.backend for send in sent}) == 40


def test_a_request_costs_a_unit_request_and_an_answer_of_a_few_bytes() -> None:
    many = Many(40)
    for step in range(400):
        many.ask(step % 40, FREE, 1000 + step, units=2.0)
        many.tick()
    assert len(many.sent) >= 390
    assert sum(many.sizes) <= 60 * len(many.sent)


def test_only_an_owner_of_the_customers_quota_grants_units() -> None:
    owner = owner_of(5)
    driver = Driver(me=(owner + 1) % 60, gateways=60, peer_message_rate=MESSAGE_RATE)
    driver.ask(CEILED, customer=5, spread=60, units=2.0)
    asked = messages(driver)[-1].unit_requests[0]
    answer = gossip.UnitResponse(5, asked.request, 2.0, 0, False, False)
    granted = gossip.pack(gossip.Message(5, 1, 0, unit_responses=[answer]))
    assert only(driver.feed(PeerMessage((owner + 2) % 60, granted)), Send) == []
    assert len(only(driver.feed(PeerMessage(owner, granted)), Send)) == 1


def test_a_backend_report_reaches_all_gateways_though_each_forwards_it_only_a_few_times() -> None:
    count, rng = 64, random.Random(3)
    all_reports = [gossip.BackendReports(2 * SECOND, count) for _ in range(count)]
    all_reports[0].record(7, 0, 1.0, START, True)
    sent, now = 0, START
    for _ in range(3 * count * 12):
        now += SECOND // 2000
        sender, receiver = rng.sample(range(count), 2)
        for report in all_reports[sender].sample(rng, now):
            sent += 1
            all_reports[receiver].record(
                report.backend, report.cls, report.failure_score, now - report.age_ns, True
            )
    informed = sum((7, 0) in reports.known for reports in all_reports)
    assert informed >= 0.95 * count
    assert sent <= count * (count.bit_length() + 2)


def test_a_debt_larger_than_one_unit_request_carries_goes_with_the_next() -> None:
    owner = owner_of(5)
    driver = Driver(me=(owner + 1) % 60, gateways=60, peer_message_rate=MESSAGE_RATE)
    driver.ask(RATE, customer=5, spread=60)
    driver.gateway.quotas.accounts[5].owed = 3000.0
    before = len(messages(driver))
    driver.ask(RATE, customer=5, spread=60)
    asked = [ask for message in messages(driver)[before:] for ask in message.unit_requests]
    rest = driver.gateway.quotas.accounts[5].owed
    assert asked[0].owed > 2000 and asked[0].owed + rest == 3000.0


def test_messages_decode_to_what_was_encoded_and_truncated_ones_are_rejected() -> None:
    unit_requests = [
        gossip.UnitRequest(2**33 - 1, 2**32 - 1, 6.0, -5.5, 127, 65535, 40),
        gossip.UnitRequest(0, 0, 0.0, 3.0, 0, 0, 1),
    ]
    answers = [
        gossip.UnitResponse(2**33 - 1, 2**32 - 1, 6.0, 0, True, False),
        gossip.UnitResponse(5, 9, 0.0, 1234, False, True),
    ]
    entries = [
        gossip.UsageEntry(5, 7.0, 1.0, 2.0, 0.5, 3),
        gossip.UsageEntry(6, 7.0, 1.0, gossip.NOT_LOW, 0.0, 0),
    ]
    message = gossip.Message(
        5, 6, 7, 0.25, entries, unit_requests, answers, [gossip.BackendReport(9, 1, 0, 1.0)]
    )
    data = gossip.pack(message)
    assert gossip.unpack(data) == message
    assert all(gossip.unpack(data[:end]) is None for end in range(len(data)))
    assert gossip.unpack(data + b"x") is None


def test_backends_in_slow_start_get_their_share_of_the_load_and_no_more_where_most_were_replaced() -> None:
    many = Many(40, backends=0)
    started = many.now - SECOND
    # Three in five have just started and have 28 % of their capacity.
    backends = tuple(Backend(n, n % 3, started_ns=started * (n % 5 < 3)) for n in range(60))
    hits: Counter[int] = Counter()
    pairs = set()
    for me, driver in enumerate(many.drivers):
        driver.feed(BackendList(ListKind.FULL, backends))
        for number in range(400):
            for send in only(driver.ask(customer=number, spread=1, first=me), Send):
                hits[send.backend] += 1
                pairs.add((me, send.backend))
                driver.end(send, Outcome.OK)
    capacity = 0.2 + 0.8 / 10
    warm = sum(hits[n] for n in range(60) if n % 5 >= 3) / 24
    cold = [hits[n] for n in range(60) if n % 5 < 3]
    assert 0.7 * capacity * warm <= sum(cold) / 36 <= 1.1 * capacity * warm
    assert max(cold) <= 2.5 * capacity * warm
    assert len(pairs) <= 40 * 12  # no gateway uses all 60


def test_a_fleet_completely_in_slow_start_is_not_loaded_as_if_it_were_warm() -> None:
    driver = Driver(backends=0, gateways=40, peer_message_rate=MESSAGE_RATE)
    driver.feed(BackendList(ListKind.FULL, tuple(Backend(n, 0, started_ns=driver.now) for n in range(60))))
    assert sum(bool(driver.gateway.fleet.draw_candidates(driver.now)) for _ in range(400)) <= 0.4 * 400


def test_malformed_messages_are_dropped_and_counted_in_one_log_line_per_interval() -> None:
    driver = Driver(gateways=60, peer_message_rate=MESSAGE_RATE)
    good = gossip.pack(gossip.Message(5, 1, 0))
    for data in (b"", b"x", good[:-1], good + bytes(250), bytes([99]) + good[1:], good, good):
        driver.feed(PeerMessage(3, data))
    log_lines = only(driver.actions, Log)
    assert len(log_lines) == 1 and driver.gateway.quotas.inbox.malformed == 5
    driver.now += 6 * SECOND
    driver.feed(PeerMessage(3, b"y"))
    assert "6 so far, the last from gatekeeper 3" in only(driver.actions, Log)[-1].text


def test_a_false_report_of_a_peer_locks_no_customer_out_for_long() -> None:
    owner = owner_of(5)
    driver = Driver(me=owner, gateways=60, peer_message_rate=MESSAGE_RATE)
    for number in range(1, 20):
        ask(driver, (owner + 1) % 60, number, request=number, units=0.0, owed=2000.0)
    assert driver.gateway.quotas.accounts[5].global_bucket.fill(driver.now) >= -PLANS[RATE].burst
    driver.run(3 * SECOND)
    assert ask(driver, (owner + 1) % 60, 30, request=30, units=2.0)[0].units == 2.0
    ask(driver, (owner + 1) % 60, 31, request=31, units=0.0, owed=-2000.0)  # a negative debt grants no units
    assert driver.gateway.quotas.accounts[5].global_bucket.fill(driver.now) <= PLANS[RATE].burst
