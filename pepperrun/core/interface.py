"""What goes into and comes out of a gateway: settings, events and actions.

A gateway is told its `Settings` once and is then given events; it answers with actions. All times are
integer nanoseconds. Nothing here decides anything: the decisions are in `gateway` and `quotas`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


class Repeat(enum.Enum):
    """What it means to run a request of a class twice."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """The backends that drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(enum.Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # a kept connection broke at once under the request: a reset that shows no bad backend
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True when this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class BackendState(enum.Enum):
    """A backend's state in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(enum.Enum):
    """What a list event holds: changes, all, all as last held by this gateway, or nothing (it failed)."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


MAX_PLANS = 128  # gateways tell each other of plans in seven bits


def _require(ok: bool, name: str, wanted: str) -> None:
    if not ok:
        raise ValueError(f"{name}: must be {wanted}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: how soon it is wanted and whether it may run again."""

    name: str
    target_ns: int
    deadline_ns: int
    repeat: Repeat
    group: Group = Group.ALL
    window_ns: int = 0
    value: float = 1.0
    late_value: float = 0.0
    max_attempts: int = 0  # attempts of a request at most; 0: as the settings say

    def __post_init__(self) -> None:
        _require(self.target_ns > 0, "classes.target_ns", "above 0")
        _require(self.deadline_ns > 0, "classes.deadline_ns", "above 0")
        _require(isinstance(self.repeat, Repeat), "classes.repeat", "a Repeat")
        _require(isinstance(self.group, Group), "classes.group", "a Group")
        _require(self.window_ns >= 0, "classes.window_ns", "0 or more")


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan: the quotas of each of its customers, over all gateways together. 0 means no such quota."""

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
    """Everything a gateway is told at its start. Fields with a default may be left out.

    `gateways` is how many there are, `me` this one's number among them (0-based), `zone` its zone's number.
    `tick_ns` is the shortest time between two calls of `Gateway.handle`. A backend that has just started can
    do at least `cold_from` of its work and all of it after `cold_ns`; sent more than `tip_multiple` times its
    capacity for `tip_for_ns` it falls over. `peer_intake` is how many messages a second a gateway takes in.

    `cancel_when_client_left`: the attempts of a client who has left are cancelled where its class may be
    repeated; not where only answers tell what a request has cost.

    `seats`: among so many gateways hard ceilings are split where that is more than there are now. `lines` is
    how many services there are, each with its own backends, queues and bound. A further attempt is paid for
    by `further_share` of each first one and by `further_burst` saved up; with `strict_further` each that may
    reach a backend costs a whole one. `follows_best`: the bound's goal rises above a part of the aim
    where the best latencies seen are near it (work alone takes that long). `marks`: gateways number classes
    alike, and tell each other of backends' failures. `own_plans`: each numbers plans for itself, as many as
    there are; nobody goes by the number that another one tells.
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
    """What else has a say in where a request goes; `lot` is what came with the request for it.

    `open`: 0 where it may go out now, else it is refused, with this wait in nanoseconds. `may`: may it go to
    this backend now? `sent`: it does. All are asked in the turn in which the attempt goes out.
    """

    def wait_ns(self, context: object, now: int) -> int:
        """Return 0 where it may go out now, else the ns after which it may be tried again."""
        ...

    def may_send(self, context: object, backend: int, now: int) -> bool:
        """Whether it may go to this backend now."""
        ...

    def on_sent(self, context: object, backend: int, now: int) -> None:
        """It goes there."""
        ...


@dataclass(slots=True, frozen=True)
class Backend:
    """A line of the list of backends. `born_ns` is when it last started, 0 for long ago.

    `line`: its service. `far`: it counts as this much slower for its distance; 0: as the decisions have it.
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
    """The list of backends, or what changed in it."""

    kind: ListKind
    backends: tuple[Backend, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """What a request's route allows it, where that changes while its class (the kind of work) stays.

    `aim_ns`: within which it is wanted. `tries`: attempts at the most. `initial_ns`: the time that clients of
    this route start with; one that has less left has waited before.
    """

    target_ns: int
    max_attempts: int
    initial_ns: int = 0


@dataclass(slots=True)
class Request:
    """A client's request. Its customer comes through `spread` gateways from number `first` on, counted round.

    `left_ns` is the time until the client gives up, `units` what it draws from the quota (a guess where the
    settings say that units are settled by the answer). `once`: its body is longer than is held and still
    coming; it can be sent one time, and the client's time counts from its last byte. `line`: the service that
    it is for; `lot`: what the gate goes by; `rank`: the lower, the sooner its turn. `limits`: of its route;
    those of its class if left out.
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
    """A streamed answer has begun: the attempt now belongs to the client."""

    request: int
    attempt: int
    backend: int


@dataclass(slots=True)
class AttemptEnded:
    """How an attempt ended. `complete`: the client has its final answer. `units`: the true ones, or 0.

    `spent`: some of the request's body, which is not held whole, has gone out: it can't be sent again.
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
    """An attempt's backend may hang. That is not known: the attempt stays out, another may go out beside."""

    request: int
    attempt: int


@dataclass(slots=True)
class ClientLeft:
    """The client has gone: nothing more is owed for this request."""

    request: int


@dataclass(slots=True)
class RequestExpired:
    """The request has got its final answer without the decisions: its time, or its process's, is over.

    Its attempts end with their own deadlines, or with the process.
    """

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer asked for with `SetTimer` is due."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """The result of a `Probe`."""

    backend: int
    outcome: Outcome
    elapsed_ns: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

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
    """Start an attempt of a request at a backend. Attempts of a request count 0, 1, 2 ... in this order."""

    request: int
    backend: int
    timeout_ns: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, and trying again is harmless. `wait_ns`: advice to stay away, 0 for none.

    `beyond`: its customer's quota is used up.
    """

    request: int
    wait_ns: int = 0
    over_quota: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: not served; nothing is promised of its effect."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` after a delay."""

    delay_ns: int
    token: int


@dataclass(slots=True)
class Probe:
    """Probe a backend."""

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
    """A line for the people on call."""

    text: str


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the list of backends."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask for the whole list once."""


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | SendPeerMessage | Log | Watch | FetchList
)
