"""Types of the output of `pepperrun plan nodes --json`; `pepperrun plan schema` prints their JSON Schema."""

from __future__ import annotations

import msgspec


class Interval(msgspec.Struct, forbid_unknown_fields=True):
    """Mean over seeds and its 95% interval."""

    mean: float
    low: float
    high: float


class Times(msgspec.Struct, forbid_unknown_fields=True):
    """Latency percentiles of served requests, in ms from the client's first attempt; means over seeds."""

    p50: float
    p99: float


class Digest(msgspec.Struct, forbid_unknown_fields=True):
    """Results of one variant over all seeds. `busiest`: share of each resource in use."""

    service: Interval
    whole: Interval
    worst_10_s: Interval
    worst_plan: Interval
    busiest: dict[str, float]
    by_plan: dict[str, float]
    by_class: dict[str, float]
    times_ms: dict[str, Times]


class Step(Digest, forbid_unknown_fields=True, kw_only=True):
    """The current fleet under a multiple of the load."""

    load: float
    exhausted: list[str]


class First(msgspec.Struct, forbid_unknown_fields=True):
    """The resource exhausted first, and the multiple of the load at which it is."""

    load: float
    what: str
    text: str


class Breaks(msgspec.Struct, forbid_unknown_fields=True):
    """Results by multiple of the load, and the first bottleneck."""

    steps: list[Step]
    first: First | None
    misses_goal_at: float | None


class Fewest(msgspec.Struct, forbid_unknown_fields=True):
    """The fewest nodes that meet the goal; None if `most` nodes miss the goal."""

    goal: float
    nodes: int | None
    most: int
    tried: dict[str, Digest]
    interval: list[int] = []


class Losses(msgspec.Struct, forbid_unknown_fields=True):
    """Results of faults at the busiest moment, `at_s` seconds after the capture's start."""

    at_s: float
    losses: dict[str, Digest]


class PlanResult(msgspec.Struct, forbid_unknown_fields=True):
    """The complete result. With `--only`, the parts that were not requested are missing."""

    nodes: int
    goal: float
    work_share: float
    today: Digest
    days: int
    seconds: float
    fewest: Fewest | None = None
    breaks: Breaks | None = None
    losses: Losses | None = None
    sensitivity: dict[str, Interval] | None = None
