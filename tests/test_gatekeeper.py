"""The driver alone, on a loop and a clock by hand: turns, its timer, attempts and final answers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from standins import MS, SETTINGS

from pepperrun.core.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    Outcome,
    PeerMessage,
    Refuse,
    Request,
    Send,
    SendPeerMessage,
    SetTimer,
    TimerFired,
)
from pepperrun.exchange import End, Exchange, Final
from pepperrun.gatekeeper import Gatekeeper


class Handle:
    def __init__(self, what: Callable[[], None]) -> None:
        self.what: Callable[[], None] | None = what

    def cancel(self) -> None:
        self.what = None


class Loop:
    """Time moves by hand. `early_ns`: how much too early it calls, as a loop's clock may differ."""

    def __init__(self, early_ns: int = 0) -> None:
        self.now, self.early_ns, self.count = 0, early_ns, 0
        self.queue: list[tuple[int, int, Handle]] = []

    def call_later(self, delay_s: float, what: Callable[..., None], *args: Any) -> Handle:
        self.count += 1
        handle = Handle(lambda: what(*args))
        delay = round(delay_s * 1e9)
        due = self.now + max(1, delay - min(self.early_ns, delay // 2))
        heapq.heappush(self.queue, (due, self.count, handle))
        return handle

    def call_soon(self, what: Callable[..., None], *args: Any) -> Handle:
        return self.call_later(0.0, what, *args)

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, handle = heapq.heappop(self.queue)
            if handle.what is not None:
                handle.what()
        self.now = until


class Decisions:
    """Stands in for the gateway: notes what it is told and when, and answers as the test says."""

    def __init__(self) -> None:
        self.turns: list[tuple[int, list[Event]]] = []
        self.say: Callable[[Event], list[Action]] = lambda event: []

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.turns.append((now, list(events)))
        return [action for event in events for action in self.say(event)]


class Backends:
    def __init__(self) -> None:
        self.sent: list[tuple[Any, int]] = []
        self.cancelled: list[int] = []

    def send(self, exchange: Any, attempt: int, backend: int, timeout_ns: int) -> None:
        self.sent.append((exchange, attempt))

    def cancel(self, exchange: Any, attempt: int) -> None:
        self.cancelled.append(attempt)

    def withdraw(self, exchange: Any) -> None:
        pass

    def close_idle(self, backend: int) -> None:
        pass


class Driven:
    def __init__(self, early_ns: int = 0) -> None:
        self.loop, self.finals, self.backends = Loop(early_ns), list[Final[Any]](), Backends()
        self.keeper = Gatekeeper(SETTINGS, 7, lambda: self.loop.now, self.loop)  # type: ignore[arg-type]
        self.keeper.gateway = self.decisions = Decisions()  # type: ignore[assignment]
        self.keeper.backends = self.backends

    def ask(self, left_ns: int = 100 * MS) -> Exchange[Any, Any]:
        now = self.loop.now
        exchange: Exchange[Any, Any] = Exchange(
            None, self.finals.append, cls=0, plan=0, customer=1, started=now, deadline=now + left_ns
        )
        self.keeper.submit(exchange)
        return exchange


@given(st.lists(st.integers(0, 3 * MS), min_size=1, max_size=30), st.sampled_from([0, 500, MS // 3]))
def test_there_is_at_most_one_turn_a_tick_the_first_at_once_and_no_event_is_lost(gaps, early_ns):
    driven, at = Driven(early_ns), 10 * MS
    for number, gap in enumerate(gaps):
        at += gap
        driven.loop.run(at)
        driven.keeper.peer_message_received(number, b"")
    driven.loop.run(at + 10 * MS)
    turns = driven.decisions.turns
    assert turns[0][0] == 10 * MS + gaps[0]
    times = [now for now, _ in turns]
    assert all(later - now >= SETTINGS.tick_ns for now, later in zip(times, times[1:], strict=False))
    assert [event.peer for _, events in turns for event in events] == list(range(len(gaps)))


@given(st.lists(st.integers(1, 50 * MS), min_size=1, max_size=10), st.sampled_from([0, 1, MS // 3]))
def test_the_timer_is_never_early_and_the_earliest_asked_for_counts(delays, early_ns):
    driven = Driven(early_ns)
    due = [10 * MS + delay for delay in delays]
    wanted = iter([[SetTimer(delay, 0) for delay in delays]])
    driven.decisions.say = lambda event: next(wanted, [])
    driven.loop.run(10 * MS)
    driven.keeper.peer_message_received(0, b"")
    driven.loop.run(200 * MS)
    fired = [now for now, events in driven.decisions.turns if TimerFired(0) in events]
    assert len(fired) == 1 and min(due) <= fired[0] <= min(due) + SETTINGS.tick_ns + 2 * early_ns + 10


def test_the_time_left_counts_on_while_a_request_waits_for_its_turn():
    driven = Driven()
    driven.loop.run(10 * MS)
    driven.keeper.peer_message_received(0, b"")
    driven.loop.run(10 * MS + MS // 4)
    driven.ask(left_ns=100 * MS)
    driven.loop.run(20 * MS)
    (request,) = (
        event for _, events in driven.decisions.turns for event in events if isinstance(event, Request)
    )
    assert request.left_ns == 100 * MS - 3 * MS // 4


ENDINGS = st.lists(
    st.sampled_from(["ok0", "ok1", "err0", "err1", "left", "refuse", "fail", "cancel0", "again"]), max_size=12
)


@given(ENDINGS)
def test_whatever_comes_in_whatever_order_there_is_one_answer_and_nothing_is_left(order):
    # Two copies that both answer, late outcomes, a client that left, a gateway that ends what has ended.
    driven = Driven()
    driven.decisions.say = lambda event: [Send(event.id, 1, MS)] * 2 if isinstance(event, Request) else []
    driven.loop.run(10 * MS)
    exchange = driven.ask()
    actions: dict[str, Action] = {
        "refuse": Refuse(exchange.id, 5),
        "fail": Fail(exchange.id),
        "cancel0": Cancel(exchange.id, 0),
        "again": Send(exchange.id, 2, MS),
    }
    for word in [*order, "fail", "ok0", "ok1"]:
        driven.loop.run(driven.loop.now + 5 * MS)
        if word in actions:
            driven.decisions.say = lambda event, word=word: (
                [actions[word]] if isinstance(event, PeerMessage) else []
            )
            driven.keeper.peer_message_received(0, b"")
        elif word == "left":
            driven.keeper.client_left(exchange)
        else:
            outcome = Outcome.OK if word[:2] == "ok" else Outcome.ERROR
            driven.keeper.attempt_ended(exchange, int(word[-1]), 1, outcome, word, 2.0)
    for number in list(exchange.open_attempts):
        driven.keeper.attempt_ended(exchange, number, 1, Outcome.RESET)
    driven.loop.run(driven.loop.now + 20 * MS)
    assert len(driven.finals) == (exchange.end is not End.CLIENT_LEFT)
    assert (
        sum(driven.keeper.counts.values()) == 1 and not driven.keeper.exchanges and not exchange.open_attempts
    )
    told = [
        event for _, events in driven.decisions.turns for event in events if isinstance(event, AttemptEnded)
    ]
    assert sorted(event.attempt for event in told) == list(range(len(exchange.attempt_times)))
    first_ok = next((event for event in told if event.outcome is Outcome.OK), None)
    if exchange.end is End.SERVED:
        assert (
            first_ok is not None
            and first_ok.complete
            and driven.finals[0].response == f"ok{first_ok.attempt}"
        )
    lefts = [
        event for _, events in driven.decisions.turns for event in events if isinstance(event, ClientLeft)
    ]
    assert len(lefts) == (exchange.end is End.CLIENT_LEFT)


def test_an_attempt_beyond_the_most_or_of_a_request_that_is_over_is_not_sent():
    driven = Driven()
    driven.decisions.say = lambda event: [Send(event.id, 1, MS)] * 5 if isinstance(event, Request) else []
    driven.loop.run(10 * MS)
    exchange = driven.ask()
    driven.loop.run(20 * MS)
    assert len(driven.backends.sent) == SETTINGS.max_attempts == 3
    driven.keeper.attempt_ended(exchange, 0, 1, Outcome.OK, "served")
    driven.decisions.say = lambda event: [Send(exchange.id, 1, MS)] if isinstance(event, PeerMessage) else []
    driven.keeper.peer_message_received(0, b"")
    driven.loop.run(30 * MS)
    assert len(driven.backends.sent) == 3
    told = [
        event for _, events in driven.decisions.turns for event in events if isinstance(event, AttemptEnded)
    ]
    assert [event.attempt for event in told if event.outcome is Outcome.MOOT] == [3, 4, 5]


def test_a_failure_at_the_end_of_its_time_is_told_as_that():
    for left_ns, end in ((100 * MS, End.FAILED), (2 * MS, End.TIMED_OUT)):
        driven = Driven()
        driven.decisions.say = lambda event: [Fail(event.id)] if isinstance(event, Request) else []
        driven.loop.run(10 * MS)
        assert driven.ask(left_ns).end is end


def test_an_action_that_fails_does_not_take_the_others_along(capsys):
    # One exception on the way out would otherwise leave the answers behind it, and the timer, undone.
    driven = Driven()

    def broken(peer: int, data: bytes) -> None:
        raise OSError("no buffers")

    driven.keeper.send_to_peer = broken
    driven.decisions.say = lambda event: (
        [SendPeerMessage(0, b""), Refuse(event.id)] if isinstance(event, Request) else []
    )
    driven.loop.run(10 * MS)
    assert driven.ask().end is End.REFUSED
    assert "no buffers" in capsys.readouterr().err


def test_an_attempt_sent_in_the_turn_that_tells_of_the_end_has_an_end_itself():
    # Its exchange was gone by then: the gateway never heard of the attempt again, and it, the request
    # and a place of the bound stayed taken for good.
    driven = Driven()
    driven.loop.run(10 * MS)
    driven.keeper.peer_message_received(0, b"")  # a turn now, so that the next one brings both
    exchange = driven.ask()
    driven.decisions.say = lambda event: [Send(exchange.id, 5, 50 * MS)] if isinstance(event, Request) else []
    driven.keeper.client_left(exchange)
    driven.loop.run(20 * MS)
    ended = [event for _, events in driven.decisions.turns for event in events if type(event) is AttemptEnded]
    assert [(event.attempt, event.outcome, event.complete) for event in ended] == [(0, Outcome.MOOT, True)]
    assert not driven.backends.sent and not driven.keeper.exchanges and driven.keeper.pending_count() == 0
