"""Random legal events, checked against rules 1, 2, 3 and 5, which hold for each gateway alone."""

from __future__ import annotations

from dataclasses import dataclass, field

from helpers import CLASSES, MS, PLANS, SECOND, START, make_settings
from hypothesis import given
from hypothesis import strategies as st

from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import (
    AttemptEnded,
    Backend,
    BackendList,
    BackendState,
    Event,
    Fail,
    ListKind,
    Outcome,
    PeerMessage,
    Refuse,
    Repeat,
    Request,
    Send,
    SetTimer,
    TimerFired,
)

BACKENDS = 4
SPREAD = 3


@dataclass
class TrackedRequest:
    """State of one request in the simulated world."""

    event: Request
    due: int
    sends: list[tuple[int, int]] = field(default_factory=list)
    in_flight: dict[int, int] = field(default_factory=dict)
    ran: dict[int, int] = field(default_factory=dict)
    answers: int = 0


class World:
    """Feeds a gateway and checks the rules on each action."""

    def __init__(self, hedging: bool) -> None:
        self.settings = make_settings(hedging=hedging)
        self.gateway = Gateway(self.settings, 3)
        self.now = START
        self.requests: dict[int, TrackedRequest] = {}
        self.states = [BackendState.READY] * BACKENDS
        self.timers: list[int] = []
        self.ceiling = {customer: (0.0, START) for customer in range(6)}
        backends = tuple(Backend(number, number % 2) for number in range(BACKENDS))
        self.feed([BackendList(ListKind.CACHED, backends)])

    def feed(self, events: list[Event]) -> None:
        due = [time for time in self.timers if time <= self.now]
        self.timers = [time for time in self.timers if time > self.now]
        for action in self.gateway.handle(self.now, events + [TimerFired(0)] * len(due)):
            if isinstance(action, SetTimer):
                self.timers.append(self.now + action.delay_ns)
            elif isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse | Fail):
                self.check_answer(action)
        for one in self.requests.values():
            assert one.answers == 1 or self.now <= one.due + self.settings.answer_grace_ns  # rule 1

    def check_send(self, send: Send) -> None:
        one = self.requests[send.request]
        kind = CLASSES[one.event.cls]
        assert one.answers == 0  # rule 1
        assert self.states[send.backend] is BackendState.READY  # rule 3
        assert len(one.in_flight) < (2 if self.settings.hedging else 1)
        assert len(one.sends) < self.settings.max_attempts
        ran = one.ran | one.in_flight
        if kind.repeat is Repeat.UNSAFE:
            assert not ran  # rule 2
        elif kind.repeat is Repeat.KEYED and ran:
            assert self.now < min(one.sends[number][1] for number in ran) + kind.window_ns
            if kind.group.value == "zone":
                assert {backend % 2 for backend in ran.values()} == {send.backend % 2}
        if not one.sends:
            self.take_units(one)
        one.in_flight[len(one.sends)] = send.backend
        one.sends.append((send.backend, self.now))

    def take_units(self, one: TrackedRequest) -> None:
        """Rule 5: first attempts keep to the gateway's share of the hard rate limit, from an empty bucket."""
        plan = PLANS[one.event.plan]
        if not plan.ceiling_rate:
            return
        level, at = self.ceiling[one.event.customer]
        level += plan.ceiling_rate / SPREAD * (self.now - at) / SECOND
        level = min(level, plan.ceiling_depth / SPREAD) - one.event.units
        assert level >= -1e-6
        self.ceiling[one.event.customer] = (level, self.now)

    def check_answer(self, answer: Refuse | Fail) -> None:
        one = self.requests[answer.request]
        one.answers += 1
        assert one.answers == 1  # rule 1
        kind = CLASSES[one.event.cls]
        if isinstance(answer, Refuse) and (one.ran or one.in_flight):
            assert kind.repeat is Repeat.SAFE or (kind.repeat is Repeat.KEYED and kind.group.value == "all")

    def end(self, pick: int, outcome: Outcome) -> None:
        open_requests = [(number, one) for number, one in self.requests.items() if one.in_flight]
        if not open_requests:
            return
        number, one = open_requests[pick % len(open_requests)]
        attempt = min(one.in_flight)
        backend = one.in_flight.pop(attempt)
        if not outcome.never_ran:
            one.ran[attempt] = backend
        if outcome is Outcome.OK and one.answers == 0:
            one.answers = 1
        elapsed = self.now - one.sends[attempt][1]
        self.feed([AttemptEnded(number, attempt, backend, outcome, elapsed, one.answers > 0)])

    def expire(self) -> None:
        """End attempts at the deadline of their request, which limits their time-out."""
        for number, one in list(self.requests.items()):
            while one.in_flight and self.now >= one.due:
                attempt = min(one.in_flight)
                backend = one.in_flight.pop(attempt)
                one.ran[attempt] = backend
                event = AttemptEnded(number, attempt, backend, Outcome.TIMEOUT, SECOND, one.answers > 0)
                self.feed([event])

    def wait(self, span: int) -> None:
        end = self.now + span
        while self.timers and min(self.timers) <= end:
            tick = self.settings.tick_ns
            self.now = max(self.now + tick, min(self.timers))
            self.feed([])
            self.expire()
        self.now = max(self.now, end)
        self.feed([])
        self.expire()


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("ask"),
            st.integers(0, 5),
            st.integers(0, len(CLASSES) - 1),
            st.integers(20, 2500),
            st.integers(1, 8),
        ),
        st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
        st.tuples(st.just("wait"), st.integers(1, 1500)),
        st.tuples(st.just("list"), st.integers(0, BACKENDS - 1), st.sampled_from(list(BackendState))),
        st.tuples(st.just("message"), st.binary(max_size=60)),
    ),
    max_size=60,
)


@given(STEPS, st.booleans())
def test_random_legal_events_break_no_rule(steps: list, hedging: bool) -> None:  # type: ignore[type-arg]
    world = World(hedging)
    for number, (action, *args) in enumerate(steps):
        if action == "ask":
            customer, cls, left, units = args
            plan = customer % len(PLANS)
            event = Request(number, customer, plan, cls, left * MS, units / 2, SPREAD, 0)
            world.requests[number] = TrackedRequest(event, world.now + left * MS)
            world.feed([event])
        elif action == "end":
            world.end(*args)
        elif action == "wait":
            world.wait(args[0] * MS)
        elif action == "list":
            world.states[args[0]] = args[1]
            world.feed([BackendList(ListKind.DELTA, (Backend(args[0], args[0] % 2, state=args[1]),))])
        else:
            world.feed([PeerMessage(1, args[0])])
    world.wait(5 * SECOND)
    assert all(one.answers == 1 for one in world.requests.values())
    assert world.gateway.pending == {}
