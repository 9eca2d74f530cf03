"""Input and output of a gateway: settings, events and actions.

A gateway gets its `Settings` at the start, then receives events and returns actions. All times are integer
nanoseconds. This module holds data types only: the decisions are in `gateway` and `quotas`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


class Repeat(enum.Enum):
    """Whether running a request of a class twice is safe, safe with an idempotency key, or unsafe."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """Which backends deduplicate keyed requests together: a repeat at any of them doesn't run it again.

    The backends recognize the repeats, not the gateway. The gateway retries an attempt that may have run only
    at a backend of the same group.
    """

    ALL = "all"  # all backends of the service: also the client may repeat the request safely
    ZONE = "zone"  # the backends in the same zone
    CELL = "cell"  # the backends of the same cell


class Outcome(enum.Enum):
    """Result of an attempt."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # a reused connection was reset at once: no sign of a faulty backend
    CANCELLED = "cancelled"
    # The attempt ended before any of it was sent, for example as its request was finished or no connection
    # could take it. It is no failure of the backend, and a retry costs no retry budget.
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True when this outcome proves that the backend did not run the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class BackendState(enum.Enum):
    """State of a backend in the backend list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """Content of a list event: changes, the complete list, the last list cached here, or none (it failed)."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


MAX_PLANS = 128  # a plan number has seven bits in messages between gateways


def _require(ok: bool, name: str, expected: str) -> None:
    if not ok:
        raise ValueError(f"{name}: must be {expected}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its latency target, its deadline and whether a request may run again.

    `window_ns`: how long backends of `group` drop repeats of a keyed request. `value` and `late_value`: the
    value of an answer within `target_ns` and after it. `max_attempts`: 0 uses the limit in `Settings`.
    """

    name: str
    target_ns: int
    deadline_ns: int
    repeat: Repeat
    group: Group = Group.ALL
    window_ns: int = 0
    value: float = 1.0
    late_value: float = 0.0
    max_attempts: int = 0

    def __post_init__(self) -> None:
        _require(self.target_ns > 0, "classes.target_ns", "above 0")
        _require(self.deadline_ns > 0, "classes.deadline_ns", "above 0")
        _require(isinstance(self.repeat, Repeat), "classes.repeat", "a Repeat")
        _require(isinstance(self.group, Group), "classes.group", "a Group")
        _require(self.window_ns >= 0, "classes.window_ns", "0 or more")


@dataclass(slots=True, frozen=True)
class Plan:
    """Quotas of each customer of a plan, summed over all gateways. 0 means that the quota does not exist.

    `rate` (units/s) and `burst` (units) form the quota, `ceiling_*` the hard rate limit with its rate, bucket
    depth and permitted overshoot in units. `open_limit`: concurrent requests. `price`: factor on a request's
    value. `over_quota_value` and `over_quota_cost`: factor on the value, and cost, of a request beyond
    the quota.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    ceiling_slack: float = 0.0
    price: float = 1.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0

    def __post_init__(self) -> None:
        for name in (
            "rate",
            "burst",
            "open_limit",
            "ceiling_rate",
            "ceiling_depth",
            "ceiling_slack",
            "price",
        ):
            value = getattr(self, name)
            _require(value >= 0 and value < float("inf"), f"plans.{name}", "0 or more")


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of a gateway. Fields with a default are optional.

    `gateways` is the number of gateways, `me` this gateway's 0-based number and `zone` the number of its
    zone. `tick_ns` is the shortest time between two calls of `Gateway.handle`. A backend that has just
    started has at least `slow_start_min_capacity` of its capacity, and all of it after `slow_start_ns`. A
    backend that gets more than `overload_multiple` times its capacity for `overload_for_ns` fails.
    `peer_message_rate` is how many messages from peers a gateway accepts per second; gateways exchange
    messages only with `peer_messages`. A request takes at most `max_units` units.

    `max_attempts`: limit on the attempts of a request whose class or route has none. `hedging`: a second
    attempt may be sent in parallel to an overdue one. `may_cancel`: without `hedging`, an overdue attempt at
    a slow backend is cancelled if another backend would take the request. `retry_after`: refusals advise a
    delay, of at most `max_retry_after_ns`. `must_ask_for_list`: the gateway subscribes to the backend list at
    its start (`Watch`); otherwise the list is pushed.

    This package only carries the following fields for others. `may_probe`: health checks (`Probe`) are
    permitted; a gateway makes none. `answer_grace_ns`: how long after its deadline a request may still get
    its answer. `drain_grace_ns`: how long after the notification of a drain the backend may still get
    requests; the polling of discovery depends on it. `report_columns`: names of the figures in the `report`
    of an event. `cross_zone_price`: fee for traffic that crosses zones.

    `cancel_when_client_left`: cancel the attempts of a client that has disconnected if its class is safe to
    repeat. Leave it off where only answers report what a request has cost.

    `min_quota_shares`: hard rate limits are split among at least this many gateways, even if fewer exist.
    `services` is the number of services; each has its own backends, queues and concurrency limit. Each first
    attempt adds `retry_budget_ratio` to the retry budget, which holds at most `retry_budget_burst`. With
    `strict_retry_budget` each retry that may reach a backend costs a full unit of the budget.
    `adaptive_latency_goal`: the limiter's latency goal rises above its fixed share of the latency target if
    the lowest latencies seen are close to that share, as the work alone then takes that long.
    `share_backend_reports`: all gateways number the classes alike and report backend failures to each other.
    `local_plan_numbers`: each gateway numbers the plans on its own, without an upper bound, and ignores the
    plan numbers that peers send. `reconciles_units`: an answer reports the true units, which replace the
    estimate.
    """

    me: int
    gateways: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    tick_ns: int = 1_000_000
    max_attempts: int = 1
    hedging: bool = False
    may_cancel: bool = False
    cancel_when_client_left: bool = False
    may_probe: bool = False
    peer_messages: bool = False
    peer_message_rate: float = 0.0
    retry_after: bool = False
    max_retry_after_ns: int = 0
    must_ask_for_list: bool = False
    answer_grace_ns: int = 0
    drain_grace_ns: int = 0
    slow_start_min_capacity: float = 1.0
    slow_start_ns: int = 0
    overload_multiple: float = 1.0
    overload_for_ns: int = 1_000_000_000
    reconciles_units: bool = False
    max_units: float = 1.0
    report_columns: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    services: int = 1
    min_quota_shares: int = 0
    retry_budget_ratio: float = 0.1
    retry_budget_burst: float = 10.0
    strict_retry_budget: bool = False
    adaptive_latency_goal: bool = False
    share_backend_reports: bool = True
    local_plan_numbers: bool = False

    def __post_init__(self) -> None:
        # The names in the messages are fixed texts, as tests and operators match them. Some are not the field
        # names, and the settings files spell their keys in other ways (`ColdFrom` for `cold_from`).
        _require(self.gateways >= 1, "gateways", "1 or more")
        _require(0 <= self.me < self.gateways, "me", "from 0 up to, not including, gateways")
        _require(self.zone >= 0, "zone", "0 or more")
        _require(len(self.classes) > 0, "classes", "at least one class")
        most = len(self.plans) if self.local_plan_numbers else MAX_PLANS
        _require(0 < len(self.plans) <= most, "plans", f"one to {MAX_PLANS} plans")
        _require(self.tick_ns > 0, "tick_ns", "above 0")
        _require(self.max_attempts >= 1, "max_attempts", "1 or more")
        _require(self.peer_message_rate >= 0, "peer_intake", "0 or more")
        _require(0 < self.slow_start_min_capacity <= 1, "cold_from", "above 0 and at most 1")
        _require(self.slow_start_ns >= 0, "cold_ns", "0 or more")
        _require(self.overload_multiple > 0, "tip_multiple", "above 0")
        _require(self.overload_for_ns > 0, "tip_for_ns", "above 0")
        _require(self.max_units > 0, "max_units", "above 0")
        _require(self.services >= 1, "lines", "1 or more")
        _require(self.retry_budget_ratio >= 0, "further_share", "0 or more")
        _require(self.retry_budget_burst >= 0, "further_burst", "0 or more")


class Gate(Protocol):
    """An additional check on where a request may go, called when an attempt is sent.

    `context` is the request's `gate_context`. `wait_ns` decides whether the request may be sent at all;
    if not, it is refused with that wait. `may_send` decides whether a backend may get it, and `on_sent` is
    called once a backend has been chosen. All calls for an attempt happen in the `Gateway.handle` call that
    sends it.
    """

    def wait_ns(self, context: object, now: int) -> int:
        """Return 0 if the request may be sent now, else the ns after which it may be retried."""
        ...

    def may_send(self, context: object, backend: int, now: int) -> bool:
        """Return whether this backend may get the request now."""
        ...

    def on_sent(self, context: object, backend: int, now: int) -> None:
        """Record that an attempt is sent to this backend."""
        ...


@dataclass(slots=True, frozen=True)
class Backend:
    """An entry of the backend list. `started_ns` is when it last started, 0 for long ago.

    `service`: number of its service. `distance_factor`: factor on its expected latency for its network
    distance; 0 lets the gateway derive the factor from the zones.
    """

    id: int
    zone: int
    cell: int = 0
    state: BackendState = BackendState.READY
    started_ns: int = 0
    service: int = 0
    distance_factor: float = 0.0


@dataclass(slots=True)
class BackendList:
    """The complete backend list, or the entries that changed."""

    kind: ListKind
    backends: tuple[Backend, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """Limits of a request's route, which may change while its class (the kind of work) stays the same.

    `target_ns`: the latency target. `max_attempts`: the limit on attempts. `initial_ns`: the time budget that
    clients of this route start with; a request with less time left has already waited.
    """

    target_ns: int
    max_attempts: int
    initial_ns: int = 0


@dataclass(slots=True)
class Request:
    """A client's request. Its customer uses `spread` gateways, from number `first` on, modulo their number.

    `left_ns` is the time until the client gives up. `units` is what the request takes from the quota (an
    estimate if `Settings.reconciles_units`). `unbuffered`: the body is longer than the buffer and still
    arriving, so the request can be sent only once, and the client's time counts from its last byte.
    `service`: number of the service; `gate_context`: input of the `Gate`; `rank`: the lower, the earlier it
    is sent. `limits`: limits of its route; None uses those of its class.
    """

    id: int
    customer: int
    plan: int
    cls: int
    left_ns: int
    units: float = 1.0
    spread: int = 1
    first: int = 0
    unbuffered: bool = False
    service: int = 0
    gate_context: object = None
    rank: int = 0
    limits: RequestLimits | None = None


@dataclass(slots=True)
class StreamStarted:
    """A streamed answer has begun: the gateway makes no further attempts for this request."""

    request: int
    attempt: int
    backend: int


@dataclass(slots=True)
class AttemptEnded:
    """Result of an attempt. `complete`: the client has its final answer. `units`: the true units, or 0.

    `body_consumed`: part of the request's body, which is not buffered, has been sent, so the request can't be
    sent again.
    """

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    elapsed_ns: int
    complete: bool = False
    units: float = 0.0
    report: tuple[float, ...] = ()
    body_consumed: bool = False


@dataclass(slots=True)
class AttemptSuspected:
    """The backend of an attempt may hang. The attempt stays in flight; a second may be sent in parallel."""

    request: int
    attempt: int


@dataclass(slots=True)
class ClientLeft:
    """The client has disconnected: the request needs no answer."""

    request: int


@dataclass(slots=True)
class RequestExpired:
    """The request got its final answer outside the gateway, as its time is over or its process stops.

    Its attempts end with their own deadlines, or with the process.
    """

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set with `SetTimer` is due."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """Result of a health check requested with `Probe`."""

    backend: int
    outcome: Outcome
    elapsed_ns: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message received from another gateway."""

    peer: int
    data: bytes


Event = (
    BackendList
    | Request
    | StreamStarted
    | AttemptEnded
    | AttemptSuspected
    | ClientLeft
    | RequestExpired
    | TimerFired
    | ProbeEnded
    | PeerMessage
)


@dataclass(slots=True)
class Send:
    """Send an attempt to a backend. The attempts of a request are numbered 0, 1, 2 ... in this order."""

    request: int
    backend: int
    timeout_ns: int


@dataclass(slots=True)
class Refuse:
    """Final answer: rejected, and a retry is safe. `wait_ns`: advised delay before a retry, 0 for none.

    `over_quota`: the quota of its customer is used up.
    """

    request: int
    wait_ns: int = 0
    over_quota: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run or not."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel one attempt of a request."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` event after a delay."""

    delay_ns: int
    token: int


@dataclass(slots=True)
class Probe:
    """Send a health check to a backend; its result comes as `ProbeEnded`."""

    backend: int


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to a backend."""

    backend: int


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message of at most 256 bytes to another gateway."""

    peer: int
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the backend list, or unsubscribe."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    """Request the complete backend list once."""


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | SendPeerMessage | Log | Watch | FetchList
)
