"""State of a gateway (backends, requests, queues) and the dispatch of its events; no decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from pepperrun.core.clock import TimerQueue
from pepperrun.core.interface import (
    Action,
    Backend,
    BackendList,
    BackendState,
    Event,
    ListKind,
    Request,
    RequestClass,
    SetTimer,
    TimerFired,
)


class Server:
    """A backend: its entry in the backend list, and the attempts in flight to it."""

    def __init__(self, entry: Backend, now: int) -> None:
        self.id, self.zone, self.cell = entry.id, entry.zone, entry.cell
        self.state, self.started_at = entry.state, entry.started_ns
        # By request and attempt: when it was sent, and its expected duration in ns.
        self.in_flight: dict[tuple[int, int], tuple[int, float]] = {}
        self.unreachable_at = 0  # when a connection to it last failed
        self.slowdown, self.sampled_at = 1.0, now  # latency over expected, and time of the last sample
        self.distance_factor = entry.distance_factor


class BackendTable:
    """The known backends by id."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}

    def update(self, event: BackendList, now: int) -> list[Server]:
        """Apply a list or its changes; return the known backends that have restarted since."""
        started = []
        for entry in event.backends:
            server = self.servers.setdefault(entry.id, Server(entry, now))
            if entry.started_ns > server.started_at:
                server.started_at = entry.started_ns
                started.append(server)
            server.zone, server.cell, server.state, server.distance_factor = (
                entry.zone,
                entry.cell,
                entry.state,
                entry.distance_factor,
            )
        if event.kind is not ListKind.DELTA:
            listed = {entry.id for entry in event.backends}
            for server in self.servers.values():
                if server.id not in listed:
                    server.state = BackendState.GONE
        for server in [server for server in self.servers.values() if server.state is BackendState.GONE]:
            del self.servers[server.id]  # attempts in flight to it still end as usual
        return started

    def ready(self) -> list[Server]:
        """Return the backends whose state is ready."""
        return [server for server in self.servers.values() if server.state is BackendState.READY]


class Attempt:
    """One attempt of a request at one backend."""

    def __init__(self, backend: Server, sent_at: int) -> None:
        self.backend, self.sent_at, self.in_flight, self.may_have_run = backend, sent_at, True, True
        self.counted = True  # against the concurrency limit
        self.abandoned = False  # its client has disconnected: it is cancelled after a grace period


class RequestState:
    """A request that has no final answer yet, or one that has but still has attempts in flight."""

    def __init__(
        self, event: Request, account: Any, request_class: RequestClass, service: Any, now: int
    ) -> None:
        self.account, self.service, self.gate_context, self.rank = (
            account,
            service,
            event.gate_context,
            event.rank,
        )
        self.id, self.cls, self.units, self.request_class = event.id, event.cls, event.units, request_class
        limits = event.limits
        self.target_ns = request_class.target_ns if limits is None else limits.target_ns
        self.max_attempts = request_class.max_attempts if limits is None else limits.max_attempts
        self.deadline, self.target_at = now + event.left_ns, now + min(self.target_ns, event.left_ns)
        self.attempts: list[Attempt] = []
        # `unbuffered`: the body is longer than the buffer and still arriving. `body_consumed`: part of such a
        # body has been sent.
        self.unbuffered, self.body_consumed = event.unbuffered, False
        self.asking = self.waiting = self.done = self.stream = False
        # Requests for units since the last answer, and the time of the last one.
        self.asks = self.asked_at = 0

    def in_flight(self) -> int:
        """Return how many attempts are in flight."""
        return sum(attempt.in_flight for attempt in self.attempts)


class Queues:
    """One queue per customer, by rank and then first in, first out; skips requests that have ended."""

    def __init__(self) -> None:
        self.waiting: dict[int, deque[Any]] = {}

    def add(self, customer: int, request: RequestState) -> None:
        """Append to a customer's queue, but before requests with a higher `rank` number."""
        request.waiting = True
        queue = self.waiting.setdefault(customer, deque())
        position = len(queue)
        while position and queue[position - 1].rank > request.rank:
            position -= 1
        queue.insert(position, request)

    def head(self, customer: int) -> Any:
        """Return the first request that is still waiting, or None."""
        queue = self.waiting.get(customer, ())
        while queue and not queue[0].waiting:
            queue.popleft()
        if not queue:
            self.waiting.pop(customer, None)
        return queue[0] if queue else None

    def pop(self, customer: int) -> Any:
        """Remove and return the first request; `push_front` undoes this."""
        request = self.waiting[customer].popleft()
        request.waiting = False
        return request

    def push_front(self, customer: int, request: RequestState) -> None:
        """Put a request at the front of a customer's queue."""
        request.waiting = True
        self.waiting.setdefault(customer, deque()).appendleft(request)


class EventDispatcher:
    """Calls the handler of each event, runs the timer queue and collects the actions."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[Any], None]] = {}
        self.timers = TimerQueue()
        self.now, self.armed_at = -1, 0
        self.actions: list[Action] = []

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Process the events up to `now` and return the actions to carry out, in order."""
        self.actions = []
        started, self.now = self.now < 0, max(now, self.now)
        if started:
            self.start()
        for event in events:
            if isinstance(event, TimerFired):
                self.armed_at = 0
            elif (handler := self.handlers.get(type(event))) is not None:
                handler(event)
        self.timers.run(self.now)
        self.finish()
        if (wake_up := self.timers.next_wake_up(self.now, self.armed_at)) is not None:
            self.armed_at = wake_up
            self.actions.append(SetTimer(max(1, wake_up - self.now), 0))
        return self.actions

    def every(self, interval_ns: int, callback: Callable[[], None]) -> None:
        """Call `callback` every `interval_ns`."""

        def again() -> None:
            callback()
            self.timers.add(self.now + interval_ns, again)

        self.timers.add(self.now + interval_ns, again)

    def start(self) -> None:
        """Called before the first event."""

    def finish(self) -> None:
        """Called after the events and the callbacks that were due."""
