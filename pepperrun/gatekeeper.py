"""Drives a `Gateway` in real time: batches events, owns its timer and executes its actions.

Makes no decisions and knows no protocol. `Gateway.handle` is called at most once per tick. The first event
after a pause is handled at once, as in the simulator.
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
    """A monotonic clock in ns whose readings continue the Unix time at the start of the program.

    A worker reports its start in Unix time, which only needs a conversion of the unit. The readings also grow
    from one start of the program to the next, and messages between gateways rely on that.
    """

    def __init__(self) -> None:
        self.offset = time.time_ns() - time.monotonic_ns()
        self.jump_at = self.jump_by_ns = 0

    def __call__(self) -> int:
        if self.jump_at and time.monotonic_ns() >= self.jump_at:
            self.offset, self.jump_at = self.offset + self.jump_by_ns, 0
        return time.monotonic_ns() + self.offset

    def schedule_jump(self, seconds: float, after_s: float) -> None:
        """Makes the clock jump by `seconds` in `after_s`: a clock fault for tests."""
        self.jump_by_ns = int(seconds * SECOND)
        self.jump_at = time.monotonic_ns() + int(after_s * SECOND)

    def from_unix_ms(self, unix_ms: int) -> int:
        """Returns the reading at a Unix time in ms; 0 stays 0 and means long ago."""
        return unix_ms * 1_000_000


class Backends(Protocol):
    """Sends attempts to backends. It calls `Gatekeeper.attempt_ended` once for each, but not within `send`.

    `Gatekeeper.attempt_ended` may call `send` before it returns.
    """

    def send(self, exchange: AnyExchange, attempt: int, backend: int, timeout_ns: int) -> None:
        """Sends an attempt, with `timeout_ns` until its response."""
        ...

    def cancel(self, exchange: AnyExchange, attempt: int) -> None:
        """Cancels an attempt in flight; it ends as `Outcome.CANCELLED`."""
        ...

    def withdraw(self, exchange: AnyExchange) -> None:
        """Ends those of its attempts that have not been written to a backend, as `Outcome.MOOT`."""

    def close_idle(self, backend: int) -> None:
        """Closes the idle connections to a backend."""
        ...


class Gatekeeper:
    """Owns a `Gateway` and the exchanges it decides about."""

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
        self._next_id = seed % 2**32
        self._events: list[Event | AnyExchange] = []
        self._finished: list[AnyExchange] = []  # the gateway is not yet notified of their end
        self._last_handled_at = -settings.tick_ns
        self._batch_timer: asyncio.TimerHandle | None = None
        self._handling = False
        self._timer_due: int | None = None  # the gateway's timer
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_margin = 4 * settings.tick_ns  # a failure this close to the deadline is a time-out
        self.streaming_count = 0  # final answers whose body is still being streamed
        self.sends_to_peers = True  # False while another process sends in its place
        self.observer: Callable[[AnyExchange], None] | None = None  # called with each exchange that is closed
        # Called when this gatekeeper gives a final answer of its own while an attempt is in flight.
        self.on_answered_with_open_attempts: Callable[[AnyExchange, End], None] = lambda exchange, end: None
        # Called when a client leaves while an attempt of its request is in flight.
        self.on_client_left: Callable[[AnyExchange], None] = lambda exchange: None
        # Called when an exchange has its final answer and no attempt of it is in flight.
        self.on_exchange_closed: Callable[[], None] = lambda: None
        self.by_class = [dict.fromkeys(End, 0) for _ in settings.classes]
        self.outcomes = {outcome: 0 for outcome in Outcome}

    def update_settings(self, settings: Settings) -> None:
        """Applies settings at once: additional classes, plans or services, or another number of gateways."""
        self.flush_events()
        self.settings, self._deadline_margin = settings, 4 * settings.tick_ns
        self.by_class += [dict.fromkeys(End, 0) for _ in settings.classes[len(self.by_class) :]]
        self.gateway.update_settings(settings)

    # Events.

    def submit(self, exchange: AnyExchange) -> None:
        """Accepts a request that has arrived: gives its exchange an id and passes it to the gateway."""
        while self._next_id in self.exchanges:
            self._next_id = (self._next_id + 1) % 2**32
        exchange.id = self._next_id
        self._next_id = (self._next_id + 1) % 2**32
        self.exchanges[exchange.id] = exchange
        self._add_event(exchange)

    def client_left(self, exchange: AnyExchange) -> None:
        """Records that the client of an exchange has disconnected."""
        if self._finish(exchange, Final(End.CLIENT_LEFT)):
            self._finished.append(exchange)
            self._add_event(ClientLeft(exchange.id))

    def attempt_ended(
        self,
        exchange: AnyExchange,
        attempt: int,
        backend: int,
        outcome: Outcome,
        response: object = None,
        units: float = 0.0,
    ) -> None:
        """Records the end of an attempt. The first successful response goes to the client at once."""
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
        complete = exchange.end is not None
        if complete:
            self._finished.append(exchange)
        consumed = exchange.body_consumed
        self._add_event(
            AttemptEnded(
                exchange.id, attempt, backend, outcome, elapsed, complete, units, body_consumed=consumed
            )
        )

    def is_safe_to_repeat(self, exchange: AnyExchange) -> bool:
        """Returns whether the request may run more than once."""
        return self.settings.classes[exchange.cls].repeat is Repeat.SAFE

    def attempt_suspected(self, exchange: AnyExchange, attempt: int) -> None:
        """Reports that the backend of an attempt may hang.

        The attempt stays in flight; the gateway may send a hedged request. Ignored if the exchange has its
        final answer or another attempt in flight.
        """
        if exchange.end is None and exchange.open_attempts == {attempt}:
            self._add_event(AttemptSuspected(exchange.id, attempt))

    def streaming_ended(self, exchange: AnyExchange, end: End) -> None:
        """Counts the end of a final answer whose body was streamed: complete or broken off."""
        self.streaming_count -= 1
        self.by_class[exchange.cls][end] += 1

    def expire(self, exchange: AnyExchange) -> None:
        """Gives up a request from outside the gateway: its client's time is up, or this process stops.

        The time of a client that sent a streamed body is known to the client's connection only.
        """
        if self._finish(exchange, Final(End.TIMED_OUT, deadline_passed=True)):
            self._finished.append(exchange)
            self._add_event(RequestExpired(exchange.id))

    def backend_list_received(self, backends: BackendList) -> None:
        """Passes a change of the backend list to the gateway."""
        self._add_event(backends)

    def peer_message_received(self, peer: int, data: bytes) -> None:
        """Passes a message of another gateway to the gateway."""
        self._add_event(PeerMessage(peer, data))

    @property
    def counts(self) -> dict[End, int]:
        """Numbers of final answers by kind, over all classes."""
        return {end: sum(counts[end] for counts in self.by_class) for end in End}

    def pending_count(self) -> int:
        """Returns how many requests have no final answer yet, or one that is still being streamed."""
        return sum(exchange.end is None for exchange in self.exchanges.values()) + self.streaming_count

    def flush_events(self) -> None:
        """Passes all waiting events to the gateway now; no effect during a call of `Gateway.handle`."""
        if self._events and not self._handling:
            if self._batch_timer is not None:
                self._batch_timer.cancel()
            self._last_handled_at = -self.settings.tick_ns
            self._handle_or_wait()

    # Time.

    def _add_event(self, event: Event | AnyExchange) -> None:
        self._events.append(event)
        if self._batch_timer is None and not self._handling:
            self._handle_or_wait()

    def _handle_or_wait(self) -> None:
        """Handles events now, or waits until a tick has passed since the last time.

        A timer of the loop may fire a little early; then the wait starts again.
        """
        now = self.clock()
        wait = self._last_handled_at + self.settings.tick_ns - now
        if wait > 0:
            self._batch_timer = self.loop.call_later(wait / SECOND, self._handle_or_wait)
            return
        self._batch_timer, self._handling = None, True
        try:
            self._handle_events(now)
        finally:
            self._handling = False
        if self._events:  # events caused by the actions just executed
            self._handle_or_wait()

    def _handle_events(self, now: int) -> None:
        self._last_handled_at = now
        events = [
            self._to_request(event, now) if isinstance(event, Exchange) else event for event in self._events
        ]
        self._events.clear()
        finished, self._finished = self._finished, []
        try:
            actions = self.gateway.handle(now, events)
        except Exception as error:  # a fault in one batch must not leave all its requests without an answer
            log_message(
                "turn",
                f"the gateway failed, and with it new requests: {type(error).__name__}: {error}",
            )
            for event in events:
                if isinstance(event, Request):
                    self._finish_and_remove(event.id, Final(End.FAILED))
            self._set_timer(now + self.settings.tick_ns)  # the failed call may have lost the gateway's timer
            actions = []
        for action in actions:
            try:
                self._execute(action, now)
            except Exception as error:  # nor may one failed action stop those after it
                log_message(
                    type(action).__name__, f"{type(action).__name__} failed: {type(error).__name__}: {error}"
                )
        # Finished exchanges are removed only after the actions: in the call that reports the end of an
        # exchange to the gateway, the gateway may still begin an attempt for it. The end of that attempt must
        # be reported too, or the gateway counts the attempt as in flight forever.
        for exchange in finished:
            self._remove_if_closed(exchange)

    @staticmethod
    def _to_request(exchange: AnyExchange, now: int) -> Request:
        """Returns the gateway's request. Its time left counts from the arrival, not from this call."""
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

    def _set_timer(self, due: int) -> None:
        """Sets the one timer to the earliest time requested: when it fires, the gateway sets the next one."""
        if self._timer_due is not None and self._timer_due <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = due
        self._timer = self.loop.call_later((due - self.clock()) / SECOND, self._on_timer)

    def _on_timer(self) -> None:
        due, self._timer_due, self._timer = self._timer_due, None, None
        if due is None:
            return
        if self.clock() < due:  # the loop's timer fired early
            self._set_timer(due)
            return
        self._add_event(TimerFired(0))

    # Actions.

    def _execute(self, action: Action, now: int) -> None:
        match action:
            case Send():
                self._send(action, now)
            case Refuse():
                late = self._deadline_passed(action.request, now)
                final = Final[Any](End.REFUSED, None, action.wait_ns, late, action.over_quota)
                self._finish_and_remove(action.request, final)
            case Fail():
                late = self._deadline_passed(action.request, now)
                self._finish_and_remove(
                    action.request, Final(End.TIMED_OUT if late else End.FAILED, deadline_passed=late)
                )
            case SetTimer():
                self._set_timer(now + action.delay_ns)
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
                log_message(
                    "action", f"the gateway returned an action that its settings do not allow: {action}"
                )

    def _send(self, action: Send, now: int) -> None:
        exchange = self.exchanges.get(action.request)
        if exchange is None:
            log_message("action", "an attempt was not sent: its request is finished")
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

    def _deadline_passed(self, request: int, now: int) -> bool:
        exchange = self.exchanges.get(request)
        return exchange is not None and now >= exchange.deadline - self._deadline_margin

    def _finish_and_remove(self, request: int, final: Final[Any]) -> None:
        exchange = self.exchanges.get(request)
        if exchange is not None:
            self._finish(exchange, final)
            self._remove_if_closed(exchange)

    def _finish(self, exchange: AnyExchange, final: Final[Any]) -> bool:
        first = exchange.finish(final)
        if first and exchange.open_attempts:
            self._on_finished_early(exchange, final.end)
        if first and exchange.streaming and final.end is End.SERVED:
            self.streaming_count += 1
        else:
            self.by_class[exchange.cls][final.end] += first
        if first and self.observer is not None:
            exchange.finished = self.clock()
        return first

    def _on_finished_early(self, exchange: AnyExchange, end: End) -> None:
        """Withdraws attempts of a finished exchange that still wait for a connection: nobody needs them."""
        if end is End.CLIENT_LEFT:
            self.on_client_left(exchange)
        elif end is not End.SERVED:
            self.on_answered_with_open_attempts(exchange, end)
        if self.backends is not None:
            self.backends.withdraw(exchange)

    def _remove_if_closed(self, exchange: AnyExchange) -> None:
        if exchange.end is not None and not exchange.open_attempts:
            removed = self.exchanges.pop(exchange.id, None)
            if removed is not None and self.observer is not None:
                self.observer(removed)
            self.on_exchange_closed()
