"""Relaying: a gateway passes the changes that it applies on to the gateways below it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution.digests import RangeDigests
from pepperrun.distribution.follower import Follower
from pepperrun.distribution.publisher import Publisher, Source
from pepperrun.distribution.replicated_state import ReplicatedState

Clock = Callable[[], int]


class ReplicatedSource:
    """The members of a `Source` that come from a replicated state."""

    replicated: ReplicatedState

    @property
    def version(self) -> int:
        """Version of the state, 0 before the first."""
        return self.replicated.version

    @property
    def state(self) -> dict[str, Any] | None:
        """The agreed state."""
        return self.replicated.state

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Workers by id."""
        return self.replicated.workers

    @property
    def gateways(self) -> Mapping[str, GatewayRecord]:
        """Gateways by name."""
        return self.replicated.gateways

    @property
    def digests(self) -> RangeDigests:
        """Digests of all ranges."""
        return self.replicated.digests


class Relay(ReplicatedSource):
    """The state of a follower as the source for the gateways below it."""

    def __init__(self, follower: Follower) -> None:
        self.follower = follower
        self.replicated = follower.replicated

    @property
    def control_nodes(self) -> list[list[str]]:
        """[ip, zone] of each control node."""
        return self.replicated.control_nodes

    def age_ms(self, now: int) -> float | None:
        """Return how long ago the state was known to be the newest; None if never."""
        return self.replicated.age_ms(now)

    def gateway_heartbeat(self, gateway: GatewayRecord, now: int) -> None:
        """Do nothing: control nodes get the records of gateways from the gateways."""

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> None:
        """Merge records of a gateway below."""
        self.follower.merge(workers, gateways, now)


def create_publisher(
    source: Source,
    replicated: ReplicatedState,
    schedule: Callable[[int], None],
    clock: Clock,
    relay_budget_bytes: int = 0,
) -> Publisher:
    """Return a publisher of the changes of a replicated state. It comes before all other listeners."""
    publisher = Publisher(source, schedule, relay_budget_bytes)
    replicated.on_state.insert(0, lambda version, state, change: publisher.state_changed(change, clock()))
    replicated.on_workers.insert(0, lambda changed: publisher.records_changed(changed, clock()))
    replicated.on_gateways.insert(0, lambda changed: publisher.records_changed(changed, clock()))
    return publisher


def create_relay(
    follower: Follower, schedule: Callable[[int], None], clock: Clock, relay_budget_bytes: int = 0
) -> Publisher:
    """Return a publisher that relays the changes of a follower as soon as they are applied."""
    return create_publisher(Relay(follower), follower.replicated, schedule, clock, relay_budget_bytes)
