"""The description of a fleet (TOML), validated by a schema, and random draws of speeds and work."""

from __future__ import annotations

import math
import tomllib
from typing import Annotated, Literal

import msgspec
import numpy
from msgspec import Meta

from pepperrun.model.node import NodeSpec

Positive = Annotated[float, Meta(gt=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
NonNegative = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=10_000)]


class NodeKind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[kind.NAME]`: a kind of node; see `NodeSpec`. Times in s, work in s of a core at speed 1."""

    cores: Positive = 4.0
    speed: Positive = 1.0
    speed_cv: Share = 0.0
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 16
    queue: Count = 64
    thrash: NonNegative = 0.0
    thrash_at: Positive = 4.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0
    cold_s: NonNegative = 0.0
    cancel: Literal["queued", "all"] = "queued"
    warm_by: Literal["time", "work"] = "time"
    cold_work_s: NonNegative = 0.0

    def to_spec(self, name: str) -> NodeSpec:
        """Converts the settings to the parameters of the model's nodes."""
        return NodeSpec(
            name,
            self.cores,
            self.speed,
            self.speed_cv,
            self.slots,
            self.queue,
            self.thrash,
            self.thrash_at,
            self.cold_from,
            int(self.cold_s * 1e9),
            self.cancel == "all",
            int(self.cold_work_s * 1e9) if self.warm_by == "work" else 0,
        )


class Group(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[nodes]]`: a number of nodes of one kind in one zone."""

    kind: str
    count: Count
    zone: str = "a"


class Work(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[work.CLASS]`: work of a request, in ms of a core at speed 1.

    A log-normal draw, multiplied by the request's units to the power of `by_units`.
    """

    mean_ms: Positive
    cv: Annotated[float, Meta(ge=0, le=10)] = 0.7
    by_units: Share = 0.0


class Gatekeepers(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[gatekeepers]`. `cpu_ms`: CPU time of one core for a request and its answer."""

    count: Annotated[int, Meta(ge=1, le=256)] = 2
    cpu_ms: NonNegative = 0.6
    cores: Positive = 1.0
    descriptors: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024


class Network(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[network]`: one-way delays in ms.

    `peer_loss`: probability that a message between gatekeepers is lost. `list_s`: delay in seconds until a
    changed backend list reaches the gatekeepers.
    """

    delay_ms: NonNegative = 0.2
    cross_zone_ms: NonNegative = 1.0
    peer_ms: NonNegative = 5.0
    peer_loss: Share = 0.0
    list_s: NonNegative = 2.0


class Clients(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[clients]`: retries after a refusal or failure; set 0 if the capture already contains them.

    `honour`: share of the retries that wait for the advised delay.
    """

    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff_ms: NonNegative = 200.0
    honour: Share = 0.6


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[limits]`, like those in the configuration of an application."""

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    second_copies: bool = True
    most_units: Positive = 6.0
    settled: bool = True
    tick_ms: Positive = 4.0


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The complete file."""

    kind: dict[str, NodeKind]
    nodes: list[Group]
    work: dict[str, Work] = {}
    gatekeepers: Gatekeepers = Gatekeepers()
    network: Network = Network()
    clients: Clients = Clients()
    limits: Limits = Limits()

    def zones(self) -> list[str]:
        """Returns the zones that have nodes, in the order of the file."""
        return list(dict.fromkeys(group.zone for group in self.nodes if group.count))

    def size(self) -> int:
        """Returns the number of nodes."""
        return sum(group.count for group in self.nodes)


def parse_fleet(text: str) -> Fleet:
    """Parses and validates a fleet's file. Raises ValueError that names the invalid key."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ValueError(f"not TOML: {error}") from None
    try:
        fleet = msgspec.convert(table, Fleet)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    if not fleet.size():
        raise ValueError("nodes: at least one node is required")
    for group in fleet.nodes:
        if group.kind not in fleet.kind:
            raise ValueError(f"nodes.kind: {group.kind!r} is not defined in the file")
    for name, kind in fleet.kind.items():
        if any(math.isnan(value) for value in (kind.cores, kind.speed, kind.thrash)):
            raise ValueError(f"kind.{name}: cores, speed and thrash must not be NaN")
        if kind.warm_by == "work" and not (kind.cold_work_s > 0 and kind.cold_s > 0):
            raise ValueError(
                f'kind.{name}.cold_work_s: warm_by = "work" requires cold_work_s and cold_s above 0'
            )
    return fleet


def resized(fleet: Fleet, count: int) -> Fleet:
    """Returns the fleet with `count` nodes, in the same proportions between its groups."""
    size = fleet.size()
    groups, remaining = [], count
    for index, group in enumerate(fleet.nodes):
        new_count = remaining if index == len(fleet.nodes) - 1 else round(group.count * count / size)
        new_count = max(0, min(remaining, new_count))
        remaining -= new_count
        groups.append(msgspec.structs.replace(group, count=new_count))
    return msgspec.structs.replace(fleet, nodes=groups)


def draw_speeds(spec: NodeSpec, count: int, random: numpy.random.Generator) -> list[float]:
    """Draws the speeds of `count` nodes: log-normal around the speed of the kind."""
    return [spec.speed * factor for factor in draw_lognormal(1.0, spec.speed_cv, count, random)]


def draw_lognormal(mean: float, cv: float, count: int, random: numpy.random.Generator) -> list[float]:
    """Returns log-normal draws with the mean and the coefficient of variation `cv`."""
    if cv <= 0:
        return [mean] * count
    sigma = math.sqrt(math.log(1 + cv * cv))
    drawn: list[float] = random.lognormal(math.log(mean) - sigma * sigma / 2, sigma, count).tolist()
    return drawn
