"""Drives a single gateway with explicit events and time."""

from __future__ import annotations

from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Event,
    Group,
    ListKind,
    Outcome,
    Plan,
    Repeat,
    Request,
    RequestClass,
    Send,
    Settings,
    TimerFired,
)

MS = 1_000_000
SECOND = 1_000_000_000
START = 100 * SECOND

SAFE = RequestClass("safe", SECOND, 4 * SECOND, Repeat.SAFE)
KEYED_ALL = RequestClass("keyed", SECOND, 4 * SECOND, Repeat.KEYED, Group.ALL, 2 * SECOND)
KEYED_ZONE = RequestClass("zoned", SECOND, 4 * SECOND, Repeat.KEYED, Group.ZONE, 2 * SECOND)
UNSAFE = RequestClass("unsafe", SECOND, 4 * SECOND, Repeat.UNSAFE)
CLASSES = (SAFE, KEYED_ALL, KEYED_ZONE, UNSAFE)
PLANS = (
    Plan("free", rate=1000.0, burst=1000.0),
    Plan("rate", rate=10.0, burst=12.0),
    Plan("ceiled", rate=100.0, burst=100.0, ceiling_rate=6.0, ceiling_depth=24.0, ceiling_slack=4.0),
    Plan("open", rate=100.0, burst=100.0, open_limit=3),
    Plan("none"),
)
FREE, RATE, CEILED, OPEN, NONE = range(5)


def make_settings(**changes: object) -> Settings:
    """Return settings of three gateways with all features allowed, with `changes` applied."""
    fields: dict[str, object] = {
        "me": 0,
        "gateways": 3,
        "zone": 0,
        "classes": CLASSES,
        "plans": PLANS,
        "tick_ns": 4 * MS,
        "max_attempts": 4,
        "may_cancel": True,
        "peer_messages": True,
        "peer_message_rate": 100.0,
        "slow_start_min_capacity": 0.2,
        "slow_start_ns": 10 * SECOND,
        "overload_multiple": 2.0,
        "max_units": 4.0,
        "answer_grace_ns": 16 * MS,
    }
    return Settings(**(fields | changes))  # type: ignore[arg-type]


class Driver:
    """Feeds a gateway, keeps its time and its timer, and records its actions."""

    def __init__(self, backends: int = 3, seed: int = 1, start: int = START, **changes: object) -> None:
        self.settings = make_settings(**changes)
        self.gateway = Gateway(self.settings, seed)
        self.now = start
        self.timer: int | None = None
        self.next_id = 0
        self.actions: list[Action] = []
        lines = tuple(Backend(number, number % 3) for number in range(backends))
        self.feed(BackendList(ListKind.CACHED, lines))

    def feed(self, *events: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, events)
        for action in actions:
            if type(action).__name__ == "SetTimer":
                due = self.now + action.delay_ns  # type: ignore[union-attr]
                self.timer = due if self.timer is None else min(self.timer, due)
        self.actions += actions
        return actions

    def run(self, span: int) -> list[Action]:
        """Advance the time and return the actions meanwhile."""
        end, done = self.now + span, []
        while self.timer is not None and self.timer <= end:
            self.now = max(self.now + 1, self.timer)
            self.timer = None
            done += self.feed(TimerFired(0))
        self.now = max(self.now, end)
        return done

    def ask(self, plan: int = FREE, cls: int = 0, customer: int = 1, **more: object) -> list[Action]:
        """Feed a request and return the actions."""
        self.next_id += 1
        fields: dict[str, object] = {"left_ns": 3 * SECOND, "units": 1.0, "spread": 1, "first": 0} | more
        return self.feed(Request(self.next_id, customer, plan, cls, **fields))  # type: ignore[arg-type]

    def end(self, send: Send, outcome: Outcome, attempt: int = 0, elapsed: int = 50 * MS) -> list[Action]:
        """Feed the end of an attempt and return the actions."""
        complete = outcome is Outcome.OK
        return self.feed(AttemptEnded(send.request, attempt, send.backend, outcome, elapsed, complete))


def only(actions: list[Action], kind: type) -> list:  # type: ignore[type-arg]
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]
