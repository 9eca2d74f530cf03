"""Gatekeepers that were absent or have a slow link: a state that is in flight to them is not sent again."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from pepperrun.consensus.codec import WireMessage
from pepperrun.consensus.timeouts import MS
from pepperrun.distribution.digests import RangeDigests
from pepperrun.distribution.publisher import MAX_HISTORY, Publisher
from pepperrun.foundation.netstring import Decoder


class RecordingPort:
    """Stands in for the sending end of a link, and records the frames written to it."""

    name = "gate"

    def __init__(self) -> None:
        self.frames: list[WireMessage] = []

    def write(self, frame: bytes) -> None:
        self.frames += [one for one in Decoder().feed(frame) if one["k"] != "tock"]

    def unsent(self) -> int:
        return 0

    def close(self) -> None: ...

    def numbers(self) -> list[tuple[str, int]]:
        """Return kind and number of the frames written since the last call."""
        frames, self.frames = self.frames, []
        return [(one["k"], one["n"]) for one in frames]


class PublisherWithGatekeeper:
    """A publisher with one connected gatekeeper, and a state of `items` rows."""

    def __init__(self, items: int) -> None:
        self.rng = random.Random(1)
        self.rows = {f"r{at}": self.rng.random() for at in range(items)}
        self.source: Any = SimpleNamespace(
            version=0, state=None, digests=RangeDigests(), control_nodes=[], age_ms=lambda now: 1.0
        )
        self.publisher, self.port = Publisher(self.source, lambda due: None), RecordingPort()
        self.publisher.opened(self.port, {}, 0)

    def change(self, now: int, long: bool = False) -> None:
        """Publish one more version; `long` changes every row."""
        base = self.source.version
        if long:
            self.rows = {name: self.rng.random() for name in self.rows}
        op = {"rows": self.rows} if long else {"row": base}
        self.source.version, self.source.state = base + 1, {"edition": base + 1, "rows": self.rows}
        self.publisher.state_changed((base, op), now)

    def tick(self, version: int, now: int) -> None:
        """Receive the gatekeeper's tick, which reports the version that it has."""
        self.publisher.received(self.port, {"k": "tick", "t": now, "n": version, "root": True}, now)


def test_only_one_long_change_is_in_flight_to_a_gatekeeper_followed_by_the_newest() -> None:
    setup = PublisherWithGatekeeper(5000)
    setup.change(1)
    setup.tick(0, 2)
    assert setup.port.numbers() == [("agreed", 1)]
    for at in range(5):  # sending each takes longer than the time until the next one
        setup.change(3 + at, long=True)
        setup.tick(0, 3 + at)
    assert setup.port.numbers() == []
    setup.tick(1, 100 * MS)
    assert setup.port.numbers() == [("agreed", 6)]
    setup.change(101 * MS)  # a short change based on the state in flight is sent at once
    assert setup.port.numbers() == [("change", 7)]
    setup.change(6000 * MS, long=True)  # the gatekeeper has not reported the long change for seconds
    assert setup.port.numbers()


def test_a_request_while_the_full_state_is_in_flight_gets_only_the_later_changes() -> None:
    setup = PublisherWithGatekeeper(5000)
    setup.change(1)
    setup.publisher.received(setup.port, {"k": "want", "n": 0}, 2)
    assert setup.port.numbers() == [("agreed", 1)]
    for at in range(4):
        setup.change(3 + at)
        setup.publisher.received(setup.port, {"k": "want", "n": 0}, 300 * MS * (at + 1))
    assert setup.port.numbers() == [("change", number) for number in range(2, 6)]
    # The gatekeeper has still received nothing.
    setup.publisher.received(setup.port, {"k": "want", "n": 0}, 4000 * MS)
    assert setup.port.numbers() == [("agreed", 5)]


def test_an_absent_gatekeeper_gets_up_to_some_dozen_changes_else_the_full_state() -> None:
    for missed, kind in ((40, "change"), (500, "agreed")):
        setup = PublisherWithGatekeeper(5)
        for at in range(missed + 1):
            setup.change(at + 1)
        setup.tick(1, missed + 2)
        kinds = [one for one, _ in setup.port.numbers()]
        assert set(kinds) == {kind} and len(kinds) == (missed if kind == "change" else 1)
        assert len(setup.publisher._history) <= MAX_HISTORY
