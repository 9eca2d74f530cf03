"""The gatekeeper alone, with a simulated loop and clock: batches, its timer, attempts and final answers."""

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
    """An event loop whose time `run` sets. `early_ns`: how early it calls, as a loop's clock may differ."""

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


class FakeGateway:
    """Replaces the gateway: records its events with their times, and returns the actions that a test sets."""

    def __init__(self) -> None:
        self.calls: list[tuple[int, list[Event]]] = []
        self.actions_for: Callable[[Event], list[Action]] = lambda event: []

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.calls.append((now, list(events)))
        return [action for event in events for action in self.actions_for(event)]


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


class Driver:
    def __init__(self, early_ns: int = 0) -> None:
        self.loop, self.finals, self.backends = Loop(early_ns), list[Final[Any]](), Backends()
        self.gatekeeper = Gatekeeper(SETTINGS, 7, lambda: self.loop.now, self.loop)  # type: ignore[arg-type]
        self.gatekeeper.gateway = self.fake_gateway = FakeGateway()  # type: ignore[assignment]
        self.gatekeeper.backends = self.backends

    def submit(self, left_ns: int = 100 * MS) -> Exchange[Any, Any]:
        now = self.loop.now
        exchange: Exchange[Any, Any] = Exchange(
            None, self.finals.append, cls=0, plan=0, customer=1, started=now, deadline=now + left_ns
        )
        self.gatekeeper.submit(exchange)
        return exchange


@given(st.lists(st.integers(0, 3 * MS), min_size=1, max_size=30), st.sampled_from([0, 500, MS // 3]))
def test_gateway_is_called_at_most_once_per_tick_at_once_after_a_pause_without_lost_events(gaps, early_ns):
    driver, at = Driver(early_ns), 10 * MS
    for number, gap in enumerate(gaps):
        at += gap
        driver.loop.run(at)
        driver.gatekeeper.peer_message_received(number, b"")
    driver.loop.run(at + 10 * MS)
    calls = driver.fake_gateway.calls
    assert calls[0][0] == 10 * MS + gaps[0]
    times = [now for now, _ in calls]
    assert all(later - now >= SETTINGS.tick_ns for now, later in zip(times, times[1:], strict=False))
    assert [event.peer for _, events in calls for event in events] == list(range(len(gaps)))


@given(st.lists(st.integers(1, 50 * MS), min_size=1, max_size=10), st.sampled_from([0, 1, MS // 3]))
def test_timer_is_never_early_and_fires_at_the_earliest_time_requested(delays, early_ns):
    driver = Driver(early_ns)
    due = [10 * MS + delay for delay in delays]
    requested = iter([[SetTimer(delay, 0) for delay in delays]])
    driver.fake_gateway.actions_for = lambda event: next(requested, [])
    driver.loop.run(10 * MS)
    driver.gatekeeper.peer_message_received(0, b"")
    driver.loop.run(200 * MS)
    fired = [now for now, events in driver.fake_gateway.calls if TimerFired(0) in events]
    assert len(fired) == 1 and min(due) <= fired[0] <= min(due) + SETTINGS.tick_ns + 2 * early_ns + 10


def test_time_left_decreases_while_a_request_waits_for_the_next_batch():
    driver = Driver()
    driver.loop.run(10 * MS)
    driver.gatekeeper.peer_message_received(0, b"")
    driver.loop.run(10 * MS + MS // 4)
    driver.submit(left_ns=100 * MS)
    driver.loop.run(20 * MS)
    (request,) = (
        event for _, events in driver.fake_gateway.calls for event in events if isinstance(event, Request)
    )
    assert request.left_ns == 100 * MS - 3 * MS // 4


EVENT_ORDERS = st.lists(
    st.sampled_from(["ok0", "ok1", "err0", "err1", "left", "refuse", "fail", "cancel0", "again"]), max_size=12
)


@given(EVENT_ORDERS)
def test_any_order_of_events_gives_one_final_answer_and_leaks_nothing(order):
    # Two attempts that both succeed, late outcomes, a client that left, and a gateway that finishes a
    # finished request again.
    driver = Driver()
    driver.fake_gateway.actions_for = lambda event: (
        [Send(event.id, 1, MS)] * 2 if isinstance(event, Request) else []
    )
    driver.loop.run(10 * MS)
    exchange = driver.submit()
    actions: dict[str, Action] = {
        "refuse": Refuse(exchange.id, 5),
        "fail": Fail(exchange.id),
        "cancel0": Cancel(exchange.id, 0),
        "again": Send(exchange.id, 2, MS),
    }
    for name in [*order, "fail", "ok0", "ok1"]:
        driver.loop.run(driver.loop.now + 5 * MS)
        if name in actions:
            driver.fake_gateway.actions_for = lambda event, name=name: (
                [actions[name]] if isinstance(event, PeerMessage) else []
            )
            driver.gatekeeper.peer_message_received(0, b"")
        elif name == "left":
            driver.gatekeeper.client_left(exchange)
        else:
            outcome = Outcome.OK if name[:2] == "ok" else Outcome.ERROR
            driver.gatekeeper.attempt_ended(exchange, int(name[-1]), 1, outcome, name, 2.0)
    for number in list(exchange.open_attempts):
        driver.gatekeeper.attempt_ended(exchange, number, 1, Outcome.RESET)
    driver.loop.run(driver.loop.now + 20 * MS)
    assert len(driver.finals) == (exchange.end is not End.CLIENT_LEFT)
    assert (
        sum(driver.gatekeeper.counts.values()) == 1
        and not driver.gatekeeper.exchanges
        and not exchange.open_attempts
    )
    ended_events = [
        event
        for _, events in driver.fake_gateway.calls
        for event in events
        if isinstance(event, AttemptEnded)
    ]
    assert sorted(event.attempt for event in ended_events) == list(range(len(exchange.attempt_times)))
    first_ok = next((event for event in ended_events if event.outcome is Outcome.OK), None)
    if exchange.end is End.SERVED:
        assert (
            first_ok is not None
            and first_ok.complete
            and driver.finals[0].response == f"ok{first_ok.attempt}"
        )
    lefts = [
        event for _, events in driver.fake_gateway.calls for event in events if isinstance(event, ClientLeft)
    ]
    assert len(lefts) == (exchange.end is End.CLIENT_LEFT)


def test_attempt_beyond_the_limit_or_of_a_finished_request_is_not_sent():
    driver = Driver()
    driver.fake_gateway.actions_for = lambda event: (
        [Send(event.id, 1, MS)] * 5 if isinstance(event, Request) else []
    )
    driver.loop.run(10 * MS)
    exchange = driver.submit()
    driver.loop.run(20 * MS)
    assert len(driver.backends.sent) == SETTINGS.max_attempts == 3
    driver.gatekeeper.attempt_ended(exchange, 0, 1, Outcome.OK, "served")
    driver.fake_gateway.actions_for = lambda event: (
        [Send(exchange.id, 1, MS)] if isinstance(event, PeerMessage) else []
    )
    driver.gatekeeper.peer_message_received(0, b"")
    driver.loop.run(30 * MS)
    assert len(driver.backends.sent) == 3
    ended_events = [
        event
        for _, events in driver.fake_gateway.calls
        for event in events
        if isinstance(event, AttemptEnded)
    ]
    assert [event.attempt for event in ended_events if event.outcome is Outcome.MOOT] == [3, 4, 5]


def test_failure_close_to_the_deadline_is_reported_as_timed_out():
    for left_ns, end in ((100 * MS, End.FAILED), (2 * MS, End.TIMED_OUT)):
        driver = Driver()
        driver.fake_gateway.actions_for = lambda event: [Fail(event.id)] if isinstance(event, Request) else []
        driver.loop.run(10 * MS)
        assert driver.submit(left_ns).end is end


def test_failed_action_does_not_stop_the_others(capsys):
    # Otherwise an exception in one action would lose the final answers after it and the timer.
    driver = Driver()

    def broken(peer: int, data: bytes) -> None:
        raise OSError("no buffers")

    driver.gatekeeper.send_to_peer = broken
    driver.fake_gateway.actions_for = lambda event: (
        [SendPeerMessage(0, b""), Refuse(event.id)] if isinstance(event, Request) else []
    )
    driver.loop.run(10 * MS)
    assert driver.submit().end is End.REFUSED
    assert "no buffers" in capsys.readouterr().err


def test_attempt_sent_in_the_call_that_notifies_of_the_end_is_ended_too():
    # Its exchange had been removed by then: the gateway was never notified of the attempt's end, so the
    # attempt, the request and a unit of the concurrency limit stayed in use forever.
    driver = Driver()
    driver.loop.run(10 * MS)
    driver.gatekeeper.peer_message_received(0, b"")  # a call now, so that the next call has both events
    exchange = driver.submit()
    driver.fake_gateway.actions_for = lambda event: (
        [Send(exchange.id, 5, 50 * MS)] if isinstance(event, Request) else []
    )
    driver.gatekeeper.client_left(exchange)
    driver.loop.run(20 * MS)
    ended = [
        event for _, events in driver.fake_gateway.calls for event in events if type(event) is AttemptEnded
    ]
    assert [(event.attempt, event.outcome, event.complete) for event in ended] == [(0, Outcome.MOOT, True)]
    assert (
        not driver.backends.sent
        and not driver.gatekeeper.exchanges
        and driver.gatekeeper.pending_count() == 0
    )
