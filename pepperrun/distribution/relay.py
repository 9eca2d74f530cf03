"""Relaying: what a gatekeeper takes from above goes on to those under it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution.book import NewsBook
from pepperrun.distribution.digests import Sums
from pepperrun.distribution.follower import Follower
from pepperrun.distribution.publisher import Publisher, Source

Clock = Callable[[], int]


class Held:
    """What a book holds, as a source."""

    book: NewsBook

    @property
    def number(self) -> int:
        return self.book.number

    @property
    def state(self) -> dict[str, Any] | None:
        return self.book.state

    @property
    def workers(self) -> Mapping[str, Worker]:
        return self.book.workers

    @property
    def gateways(self) -> Mapping[str, GatewayRecord]:
        return self.book.gateways

    @property
    def sums(self) -> Sums:
        return self.book.sums


def publish(
    source: Source, book: NewsBook, alarm: Callable[[int], None], clock: Clock, room: int = 0
) -> Publisher:
    """A publisher that passes on what the book takes, before others hear of it. `room` as the publisher's."""
    publisher = Publisher(source, alarm, room)
    book.on_agreed.insert(0, lambda number, state, change: publisher.agreed(change, clock()))
    book.on_workers.insert(0, lambda changed: publisher.changed(changed, clock()))
    book.on_gateways.insert(0, lambda changed: publisher.changed(changed, clock()))
    return publisher


class Relay(Held):
    """A follower's book as a source for the gatekeepers under it."""

    def __init__(self, follower: Follower) -> None:
        self.follower, self.book = follower, follower.book

    @property
    def cores(self) -> list[list[str]]:
        return self.book.cores

    def age_ms(self, now: int) -> float | None:
        return self.book.age_ms(now)

    def beat(self, gateway: GatewayRecord, now: int) -> None:
        """The core hears of gatekeepers from themselves."""

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> None:
        self.follower.merge(workers, gateways, now)


def relay(follower: Follower, alarm: Callable[[int], None], clock: Clock, room: int = 0) -> Publisher:
    """A publisher that passes on what the follower takes, as soon as it has it. `room` as the publisher's."""
    return publish(Relay(follower), follower.book, alarm, clock, room)
