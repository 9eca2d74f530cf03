"""What `pepperrun plan nodes --json` writes, as types: `pepperrun plan schema` prints their JSON Schema."""

from __future__ import annotations

import msgspec


class Interval(msgspec.Struct, forbid_unknown_fields=True):
    """Mean over seeds and its 95% interval."""

    mean: float
    low: float
    high: float


class Times(msgspec.Struct, forbid_unknown_fields=True):
    """Of served requests, in ms from the client's first try; means over seeds."""

    p50: float
    p99: float


class Digest(msgspec.Struct, forbid_unknown_fields=True):
    """One variant over all seeds. `busiest`: of each resource the share in use."""

    service: Interval
    whole: Interval
    worst_10_s: Interval
    worst_plan: Interval
    busiest: dict[str, float]
    by_plan: dict[str, float]
    by_class: dict[str, float]
    times_ms: dict[str, Times]


class Step(Digest, forbid_unknown_fields=True, kw_only=True):
    """The fleet as it is under a multiple of the load."""

    load: float
    exhausted: list[str]


class First(msgspec.Struct, forbid_unknown_fields=True):
    """What is exhausted first, and at how many times the load."""

    load: float
    what: str
    text: str


class Breaks(msgspec.Struct, forbid_unknown_fields=True):
    """What breaks first."""

    steps: list[Step]
    first: First | None
    misses_goal_at: float | None


class Fewest(msgspec.Struct, forbid_unknown_fields=True):
    """The fewest nodes that meet the goal; None where not even `most` do."""

    goal: float
    nodes: int | None
    most: int
    tried: dict[str, Digest]
    interval: list[int] = []


class Losses(msgspec.Struct, forbid_unknown_fields=True):
    """What befalls the fleet at its busiest moment, in seconds from the capture's start."""

    at_s: float
    losses: dict[str, Digest]


class PlanResult(msgspec.Struct, forbid_unknown_fields=True):
    """The whole answer. With `--only` the parts not asked for are missing."""

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
