"""The description of a fleet (TOML), checked by schema, and what its nodes and requests are drawn from."""

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
AtLeast0 = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=10_000)]


class NodeKind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[kind.NAME]`. Times in seconds, work in seconds of a core at speed 1."""

    cores: Positive = 4.0
    speed: Positive = 1.0
    speed_cv: Share = 0.0
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 16
    queue: Count = 64
    thrash: AtLeast0 = 0.0
    thrash_at: Positive = 4.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 1.0
    cold_s: AtLeast0 = 0.0
    cancel: Literal["queued", "all"] = "queued"
    warm_by: Literal["time", "work"] = "time"
    cold_work_s: AtLeast0 = 0.0

    def to_spec(self, name: str) -> NodeSpec:
        """As the model takes it."""
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
    """`[[nodes]]`: some nodes of a kind in a zone."""

    kind: str
    count: Count
    zone: str = "a"


class Work(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[work.CLASS]`: ms of a core at speed 1 for a request, log-normal, times its units to a power."""

    mean_ms: Positive
    cv: Annotated[float, Meta(ge=0, le=10)] = 0.7
    by_units: Share = 0.0


class Gatekeepers(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[gatekeepers]`. `cpu_ms`: of a request with its answer, of one core."""

    count: Annotated[int, Meta(ge=1, le=256)] = 2
    cpu_ms: AtLeast0 = 0.6
    cores: Positive = 1.0
    descriptors: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024


class Network(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[network]`: one way, in ms; a message between gatekeepers is lost with `peer_loss`."""

    delay_ms: AtLeast0 = 0.2
    cross_zone_ms: AtLeast0 = 1.0
    peer_ms: AtLeast0 = 5.0
    peer_loss: Share = 0.0
    list_s: AtLeast0 = 2.0


class Clients(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[clients]`: further tries after a refusal or failure; none where the capture holds them already."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff_ms: AtLeast0 = 200.0
    honour: Share = 0.6


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[limits]`, as an application's file has them."""

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    second_copies: bool = True
    most_units: Positive = 6.0
    settled: bool = True
    tick_ms: Positive = 4.0


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    kind: dict[str, NodeKind]
    nodes: list[Group]
    work: dict[str, Work] = {}
    gatekeepers: Gatekeepers = Gatekeepers()
    network: Network = Network()
    clients: Clients = Clients()
    limits: Limits = Limits()

    def zones(self) -> list[str]:
        """Zones that have nodes, in the order of the file."""
        return list(dict.fromkeys(group.zone for group in self.nodes if group.count))

    def size(self) -> int:
        """Nodes in all."""
        return sum(group.count for group in self.nodes)


def parse_fleet(text: str) -> Fleet:
    """A fleet's file; ValueError names the key that is no good."""
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ValueError(f"not TOML: {error}") from None
    try:
        fleet = msgspec.convert(table, Fleet)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    if not fleet.size():
        raise ValueError("nodes: at least one is needed")
    for group in fleet.nodes:
        if group.kind not in fleet.kind:
            raise ValueError(f"nodes.kind: {group.kind!r} is no kind of the file")
    for name, kind in fleet.kind.items():
        if any(math.isnan(value) for value in (kind.cores, kind.speed, kind.thrash)):
            raise ValueError(f"kind.{name}: not a number")
        if kind.warm_by == "work" and not (kind.cold_work_s > 0 and kind.cold_s > 0):
            raise ValueError(f"kind.{name}.cold_work_s: warming by work needs it, and cold_s, above 0")
    return fleet


def resized(fleet: Fleet, count: int) -> Fleet:
    """The fleet with so many nodes, spread over its groups as they are now."""
    have = fleet.size()
    groups, left = [], count
    for position, group in enumerate(fleet.nodes):
        share = left if position == len(fleet.nodes) - 1 else round(group.count * count / have)
        share = max(0, min(left, share))
        left -= share
        groups.append(msgspec.structs.replace(group, count=share))
    return msgspec.structs.replace(fleet, nodes=groups)


def draw_speeds(kind: NodeSpec, count: int, random: numpy.random.Generator) -> list[float]:
    """Speeds of some nodes: log-normal around the kind's."""
    return [kind.speed * one for one in draw_lognormal(1.0, kind.speed_cv, count, random)]


def draw_lognormal(mean: float, cv: float, count: int, random: numpy.random.Generator) -> list[float]:
    """Draws with that mean and coefficient of variation."""
    if cv <= 0:
        return [mean] * count
    sigma = math.sqrt(math.log(1 + cv * cv))
    drawn: list[float] = random.lognormal(math.log(mean) - sigma * sigma / 2, sigma, count).tolist()
    return drawn
