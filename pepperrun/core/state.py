"""What a gateway holds, and the turn of its events. Nothing here decides anything."""

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
    """A backend: its line in the list, and what is out at it."""

    def __init__(self, line: Backend, now: int) -> None:
        self.id, self.zone, self.cell = line.id, line.zone, line.cell
        self.state, self.started_at = line.state, line.started_ns
        self.in_flight: dict[tuple[int, int], tuple[int, float]] = {}  # attempt: sent at, expected to take
        self.unreachable_at = 0  # when it last could not be reached
        self.slowdown, self.sampled_at = 1.0, now  # latency over expected, and when last seen
        self.distance_factor = line.distance_factor


class BackendTable:
    """The backends that the list has named."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}

    def update(self, event: BackendList, now: int) -> list[Server]:
        """Takes in a list or its changes; the backends known before that have started since."""
        started = []
        for line in event.backends:
            server = self.servers.setdefault(line.id, Server(line, now))
            if line.started_ns > server.started_at:
                server.started_at = line.started_ns
                started.append(server)
            server.zone, server.cell, server.state, server.distance_factor = (
                line.zone,
                line.cell,
                line.state,
                line.distance_factor,
            )
        if event.kind is not ListKind.DELTA:
            listed = {line.id for line in event.backends}
            for server in self.servers.values():
                if server.id not in listed:
                    server.state = BackendState.GONE
        for server in [server for server in self.servers.values() if server.state is BackendState.GONE]:
            del self.servers[server.id]  # attempts still out at it end all the same
        return started

    def ready(self) -> list[Server]:
        """The backends that the list calls ready."""
        return [server for server in self.servers.values() if server.state is BackendState.READY]


class Attempt:
    """One attempt of a request."""

    def __init__(self, backend: Server, sent: int) -> None:
        self.backend, self.sent_at, self.in_flight, self.may_have_run = backend, sent, True, True
        self.counted = True  # against the bound
        self.abandoned = False  # its client has left: it is to end


class RequestState:
    """A request taken and not yet ended, or ended with attempts still out."""

    def __init__(self, event: Request, account: Any, kind: RequestClass, lane: Any, now: int) -> None:
        self.account, self.service, self.gate_context, self.rank = (
            account,
            lane,
            event.gate_context,
            event.rank,
        )
        self.id, self.cls, self.units, self.request_class = event.id, event.cls, event.units, kind
        limits = event.limits
        self.target_ns = kind.target_ns if limits is None else limits.target_ns
        self.max_attempts = kind.max_attempts if limits is None else limits.max_attempts
        self.deadline, self.target_at = now + event.left_ns, now + min(self.target_ns, event.left_ns)
        self.attempts: list[Attempt] = []
        self.unbuffered, self.body_consumed = (
            event.unbuffered,
            False,
        )  # a body that is not held whole; some of it has gone out
        self.asking = self.waiting = self.done = self.stream = False
        self.asks = self.asked_at = 0  # asks sent to keepers since the last answer, and when the last one

    def in_flight(self) -> int:
        """How many attempts are out."""
        return sum(attempt.in_flight for attempt in self.attempts)


class Queues:
    """First in, first out for each customer; what has ended meanwhile is passed over."""

    def __init__(self) -> None:
        self.waiting: dict[int, deque[Any]] = {}

    def add(self, customer: int, held: RequestState) -> None:
        """To the end of a customer's queue, but before those of lower standing."""
        held.waiting = True
        queue = self.waiting.setdefault(customer, deque())
        place = len(queue)
        while place and queue[place - 1].rank > held.rank:
            place -= 1
        queue.insert(place, held)

    def head(self, customer: int) -> Any:
        """The first one still waiting, or None."""
        queue = self.waiting.get(customer, ())
        while queue and not queue[0].waiting:
            queue.popleft()
        if not queue:
            self.waiting.pop(customer, None)
        return queue[0] if queue else None

    def pop(self, customer: int) -> Any:
        """Takes the first one off; `push_front` undoes it."""
        held = self.waiting[customer].popleft()
        held.waiting = False
        return held

    def push_front(self, customer: int, held: RequestState) -> None:
        """To the front of a customer's queue."""
        held.waiting = True
        self.waiting.setdefault(customer, deque()).appendleft(held)


class EventDispatcher:
    """Gives each event to its handler, keeps the agenda and its timer, and collects the actions."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[Any], None]] = {}
        self.agenda = TimerQueue()
        self.now, self.armed = -1, 0
        self.actions: list[Action] = []

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Decides on what happened up to `now`."""
        self.actions = []
        started, self.now = self.now < 0, max(now, self.now)
        if started:
            self.start()
        for event in events:
            if isinstance(event, TimerFired):
                self.armed = 0
            elif (handler := self.handlers.get(type(event))) is not None:
                handler(event)
        self.agenda.run(self.now)
        self.finish()
        if (alarm := self.agenda.alarm(self.now, self.armed)) is not None:
            self.armed = alarm
            self.actions.append(SetTimer(max(1, alarm - self.now), 0))
        return self.actions

    def every(self, span: int, what: Callable[[], None]) -> None:
        """Does something again and again."""

        def again() -> None:
            what()
            self.agenda.add(self.now + span, again)

        self.agenda.add(self.now + span, again)

    def start(self) -> None:
        """Before the first event."""

    def finish(self) -> None:
        """After the events and what was due."""
