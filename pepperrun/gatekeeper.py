"""Drives a `Gateway` in real time: batches events, owns its timer and carries out its actions.

Decides nothing and knows no wire. Events are handed over at most once per tick, the first after a pause at
once, as the simulator does it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, Protocol

from pepperrun.core.clock import SECOND
from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import (
    Action,
    AttemptEnded,
    AttemptSuspected,
    BackendList,
    Cancel,
    ClientLeft,
    CloseIdle,
    Event,
    Fail,
    FetchList,
    Gate,
    Log,
    Outcome,
    PeerMessage,
    Refuse,
    Repeat,
    Request,
    RequestExpired,
    Send,
    SendPeerMessage,
    SetTimer,
    Settings,
    TimerFired,
    Watch,
)
from pepperrun.exchange import End, Exchange, Final
from pepperrun.log import log_message

AnyExchange = Exchange[Any, Any]


class Clock:
    """One monotonic clock whose readings continue the Unix time at the program's start.

    A worker's start, told in Unix time, needs no conversion beside its unit, and the readings grow from one
    start of the program to the next, which the gateways' messages to each other rely on.
    """

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()
        self.steps_at = self.steps_by = 0

    def __call__(self) -> int:
        if self.steps_at and time.monotonic_ns() >= self.steps_at:
            self.offset, self.steps_at = self.offset + self.steps_by, 0
        return time.monotonic_ns() + self.offset

    def step(self, seconds: float, after_s: float) -> None:
        """Goes wrong by so much, from then on: for tests."""
        self.steps_by = int(seconds * SECOND)
        self.steps_at = time.monotonic_ns() + int(after_s * SECOND)

    def from_unix_ms(self, unix_ms: int) -> int:
        """The reading at a moment given in Unix milliseconds; 0 stays 0 (long ago)."""
        return unix_ms * 1_000_000


class Backends(Protocol):
    """Sends attempts to backends. It calls `Gatekeeper.attempt_ended` once for each, but not within `send`.

    `attempt_ended` may itself call `send` before it returns.
    """

    def send(self, exchange: AnyExchange, attempt: int, backend: int, timeout_ns: int) -> None: ...

    def cancel(self, exchange: AnyExchange, attempt: int) -> None: ...

    def withdraw(self, exchange: AnyExchange) -> None:
        """End those of its attempts that have not been written to a backend, as `Outcome.MOOT`."""

    def close_idle(self, backend: int) -> None: ...


class Gatekeeper:
    """The one owner of a `Gateway`."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        loop: asyncio.AbstractEventLoop,
        send_to_peer: Callable[[int, bytes], None] = lambda peer, data: None,
        watch: Callable[[bool], None] = lambda on: None,
        log: Callable[[str], None] = lambda text: log_message("gateway", text),
        gate: Gate | None = None,
    ) -> None:
        self.settings, self.clock, self.loop = settings, clock, loop
        self.gateway = Gateway(settings, seed, gate)
        self.backends: Backends | None = None
        self.send_to_peer, self.watch, self.log = send_to_peer, watch, log
        self.exchanges: dict[int, AnyExchange] = {}
        self._next = seed % 2**32
        self._events: list[Event | AnyExchange] = []
        self._over: list[AnyExchange] = []  # ended, and the gateway is not yet told
        self._last = -settings.tick_ns
        self._flush: asyncio.TimerHandle | None = None
        self._turning = False
        self._due: int | None = None  # the gateway's timer
        self._timer: asyncio.TimerHandle | None = None
        self._margin = 4 * settings.tick_ns
        self.streaming_count = 0  # answers that clients are taking
        self.sends_to_peers = True  # peers hear from this process
        self.observer: Callable[[AnyExchange], None] | None = None  # told of each exchange that is over
        # Told of a final answer of this side's own while an attempt is out.
        self.on_answered_with_open_attempts: Callable[[AnyExchange, End], None] = lambda exchange, end: None
        # Told of a client that has left while an attempt of its request is out.
        self.on_client_left: Callable[[AnyExchange], None] = lambda exchange: None
        # Told when a request has its end and no attempt of it is out.
        self.on_exchange_closed: Callable[[], None] = lambda: None
        self.by_class = [dict.fromkeys(End, 0) for _ in settings.classes]
        self.outcomes = {outcome: 0 for outcome in Outcome}

    def update_settings(self, settings: Settings) -> None:
        """Classes, plans and services that came to those known, another number of gateways: hold at once."""
        self.flush_events()
        self.settings, self._margin = settings, 4 * settings.tick_ns
        self.by_class += [dict.fromkeys(End, 0) for _ in settings.classes[len(self.by_class) :]]
        self.gateway.update_settings(settings)

    # Events.

    def submit(self, exchange: AnyExchange) -> None:
        """A request has arrived."""
        while self._next in self.exchanges:
            self._next = (self._next + 1) % 2**32
        exchange.id = self._next
        self._next = (self._next + 1) % 2**32
        self.exchanges[exchange.id] = exchange
        self._event(exchange)

    def client_left(self, exchange: AnyExchange) -> None:
        """The client has gone away."""
        if self._finish(exchange, Final(End.CLIENT_LEFT)):
            self._over.append(exchange)
            self._event(ClientLeft(exchange.id))

    def attempt_ended(
        self,
        exchange: AnyExchange,
        attempt: int,
        backend: int,
        outcome: Outcome,
        response: object = None,
        units: float = 0.0,
    ) -> None:
        """An attempt has ended. The first good answer goes to the client at once."""
        if not exchange.end_attempt(attempt):
            return
        self.outcomes[outcome] += 1
        exchange.may_have_run = exchange.may_have_run or not outcome.never_ran
        if exchange.trace is not None:
            exchange.trace[attempt][2:] = outcome, self.clock()
        if outcome is Outcome.OK:
            exchange.true_units = exchange.true_units or units
            self._finish(exchange, Final(End.SERVED, response))
        elapsed = self.clock() - exchange.attempt_times[attempt]
        done = exchange.end is not None
        if done:
            self._over.append(exchange)
        spent = exchange.body_consumed
        self._event(
            AttemptEnded(exchange.id, attempt, backend, outcome, elapsed, done, units, body_consumed=spent)
        )

    def is_safe_to_repeat(self, exchange: AnyExchange) -> bool:
        """May its request run more than once?"""
        return self.settings.classes[exchange.cls].repeat is Repeat.SAFE

    def attempt_suspected(self, exchange: AnyExchange, attempt: int) -> None:
        """An attempt's backend may hang. It stays out; the decisions may send another beside it."""
        if exchange.end is None and exchange.open_attempts == {attempt}:
            self._event(AttemptSuspected(exchange.id, attempt))

    def streaming_ended(self, exchange: AnyExchange, end: End) -> None:
        """An answer that was on its way when it became the final one has arrived whole, or has not."""
        self.streaming_count -= 1
        self.by_class[exchange.cls][end] += 1

    def expire(self, exchange: AnyExchange) -> None:
        """The client's time is up, which only its front knows, or this process's is."""
        if self._finish(exchange, Final(End.TIMED_OUT, deadline_passed=True)):
            self._over.append(exchange)
            self._event(RequestExpired(exchange.id))

    def backend_list_received(self, backends: BackendList) -> None:
        """Discovery has told something."""
        self._event(backends)

    def peer_message_received(self, peer: int, data: bytes) -> None:
        """A peer has sent a message."""
        self._event(PeerMessage(peer, data))

    @property
    def counts(self) -> dict[End, int]:
        """Final answers by their kind, over all classes."""
        return {end: sum(counts[end] for counts in self.by_class) for end in End}

    def pending_count(self) -> int:
        """How many requests have no answer yet."""
        return sum(exchange.end is None for exchange in self.exchanges.values()) + self.streaming_count

    def flush_events(self) -> None:
        """Tells the gateway now what it is not told yet; not from within a turn."""
        if self._events and not self._turning:
            if self._flush is not None:
                self._flush.cancel()
            self._last = -self.settings.tick_ns
            self._turn_or_wait()

    # Time.

    def _event(self, event: Event | AnyExchange) -> None:
        self._events.append(event)
        if self._flush is None and not self._turning:
            self._turn_or_wait()

    def _turn_or_wait(self) -> None:
        """A turn now, or a tick after the last one; a timer of the loop may fire a little early."""
        now = self.clock()
        wait = self._last + self.settings.tick_ns - now
        if wait > 0:
            self._flush = self.loop.call_later(wait / SECOND, self._turn_or_wait)
            return
        self._flush, self._turning = None, True
        try:
            self._turn(now)
        finally:
            self._turning = False
        if self._events:  # what the turn itself brought about
            self._turn_or_wait()

    def _turn(self, now: int) -> None:
        self._last = now
        events = [
            self._request(event, now) if isinstance(event, Exchange) else event for event in self._events
        ]
        self._events.clear()
        over, self._over = self._over, []
        try:
            actions = self.gateway.handle(now, events)
        except Exception as error:  # one bad turn must not leave everybody without an answer
            log_message("turn", f"the gateway failed: {type(error).__name__}: {error}")
            for event in events:
                if isinstance(event, Request):
                    self._give_up(event.id, Final(End.FAILED))
            self._arm(now + self.settings.tick_ns)  # its own timer may have been lost with the turn
            actions = []
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception as error:  # nor must one action take those behind it along
                log_message(
                    type(action).__name__, f"{type(action).__name__} failed: {type(error).__name__}: {error}"
                )
        # Not before: in the turn that told of the end the gateway may still have sent an attempt, of whose
        # end it must hear, or it takes it for one that is out for good.
        for exchange in over:
            self._drop(exchange)

    @staticmethod
    def _request(exchange: AnyExchange, now: int) -> Request:
        """The time left counts from the client's sending, not from this turn."""
        return Request(
            exchange.id,
            exchange.customer,
            exchange.plan,
            exchange.cls,
            max(1, exchange.deadline - now),
            exchange.units,
            exchange.spread,
            exchange.first,
            exchange.wait_after_body_ns > 0,
            exchange.service,
            exchange.gate_context,
            exchange.rank,
            exchange.limits,
        )

    def _arm(self, due: int) -> None:
        """One timer, the earliest asked for: when it fires, the gateway asks for the next one."""
        if self._due is not None and self._due <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = self.loop.call_later((due - self.clock()) / SECOND, self._fire)

    def _fire(self) -> None:
        due, self._due, self._timer = self._due, None, None
        if due is None:
            return
        if self.clock() < due:  # never early
            self._arm(due)
            return
        self._event(TimerFired(0))

    # Actions.

    def _carry_out(self, action: Action, now: int) -> None:
        match action:
            case Send():
                self._send(action, now)
            case Refuse():
                late = self._late(action.request, now)
                final = Final[Any](End.REFUSED, None, action.wait_ns, late, action.over_quota)
                self._give_up(action.request, final)
            case Fail():
                late = self._late(action.request, now)
                self._give_up(
                    action.request, Final(End.TIMED_OUT if late else End.FAILED, deadline_passed=late)
                )
            case SetTimer():
                self._arm(now + action.delay_ns)
            case SendPeerMessage():
                if self.sends_to_peers:
                    self.send_to_peer(action.peer, action.data)
            case Cancel():
                exchange = self.exchanges.get(action.request)
                if exchange is not None and action.attempt in exchange.open_attempts and self.backends:
                    self.backends.cancel(exchange, action.attempt)
            case CloseIdle():
                if self.backends:
                    self.backends.close_idle(action.backend)
            case Log():
                self.log(action.text)
            case Watch():
                self.watch(action.on)
            case FetchList():
                self.watch(True)
            case _:
                log_message("action", f"an action that the settings forbid: {action}")

    def _send(self, action: Send, now: int) -> None:
        exchange = self.exchanges.get(action.request)
        if exchange is None:
            log_message("action", "an attempt of a request that is over was not sent")
            return
        attempt = exchange.begin_attempt(now)
        if self.observer is not None:
            if exchange.trace is None:
                exchange.trace = []
            exchange.trace.append([action.backend, now, None, 0])
        moot = exchange.end is not None or attempt >= self.settings.max_attempts or self.backends is None
        if moot or self.backends is None:
            self.loop.call_soon(self.attempt_ended, exchange, attempt, action.backend, Outcome.MOOT)
        else:
            self.backends.send(exchange, attempt, action.backend, action.timeout_ns)

    def _late(self, request: int, now: int) -> bool:
        exchange = self.exchanges.get(request)
        return exchange is not None and now >= exchange.deadline - self._margin

    def _give_up(self, request: int, final: Final[Any]) -> None:
        exchange = self.exchanges.get(request)
        if exchange is not None:
            self._finish(exchange, final)
            self._drop(exchange)

    def _finish(self, exchange: AnyExchange, final: Final[Any]) -> bool:
        first = exchange.finish(final)
        if first and exchange.open_attempts:
            self._finished_over(exchange, final.end)
        if first and exchange.streaming and final.end is End.SERVED:
            self.streaming_count += 1
        else:
            self.by_class[exchange.cls][final.end] += first
        if first and self.observer is not None:
            exchange.finished = self.clock()
        return first

    def _finished_over(self, exchange: AnyExchange, end: End) -> None:
        """It has its end while attempts are out: those that wait for a connection would run for nobody."""
        if end is End.CLIENT_LEFT:
            self.on_client_left(exchange)
        elif end is not End.SERVED:
            self.on_answered_with_open_attempts(exchange, end)
        if self.backends is not None:
            self.backends.withdraw(exchange)

    def _drop(self, exchange: AnyExchange) -> None:
        if exchange.end is not None and not exchange.open_attempts:
            gone = self.exchanges.pop(exchange.id, None)
            if gone is not None and self.observer is not None:
                self.observer(gone)
            self.on_exchange_closed()
