"""Gatekeepers that were away, or whose link is narrow: what is on its way to them is not sent again."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from pepperrun.consensus.codec import WireMessage
from pepperrun.consensus.timeouts import MS
from pepperrun.distribution.digests import RangeDigests
from pepperrun.distribution.publisher import MAX_HISTORY, Publisher
from pepperrun.foundation.netstring import Decoder


class Receiver:
    """A link's sending end; what was written to it."""

    name = "gate"

    def __init__(self) -> None:
        self.frames: list[WireMessage] = []

    def write(self, frame: bytes) -> None:
        self.frames += [one for one in Decoder().feed(frame) if one["k"] != "tock"]

    def unsent(self) -> int:
        return 0

    def close(self) -> None: ...

    def numbers(self) -> list[tuple[str, int]]:
        """What was written since it was looked at last."""
        frames, self.frames = self.frames, []
        return [(one["k"], one["n"]) for one in frames]


class Told:
    """A publisher with one gatekeeper under it, and a state of some length."""

    def __init__(self, items: int) -> None:
        self.dice = random.Random(1)
        self.rows = {f"r{at}": self.dice.random() for at in range(items)}
        self.source: Any = SimpleNamespace(
            version=0, state=None, digests=RangeDigests(), control_nodes=[], age_ms=lambda now: 1.0
        )
        self.publisher, self.port = Publisher(self.source, lambda due: None), Receiver()
        self.publisher.joined(self.port, {}, 0)

    def change(self, now: int, long: bool = False) -> None:
        """Another number."""
        base = self.source.version
        if long:
            self.rows = {name: self.dice.random() for name in self.rows}
        op = {"rows": self.rows} if long else {"row": base}
        self.source.version, self.source.state = base + 1, {"edition": base + 1, "rows": self.rows}
        self.publisher.state_changed((base, op), now)

    def tick(self, held: int, now: int) -> None:
        """The gatekeeper says what it holds."""
        self.publisher.heard(self.port, {"k": "tick", "t": now, "n": held, "root": True}, now)


def test_one_long_change_at_a_time_goes_to_a_gatekeeper_and_then_the_newest() -> None:
    told = Told(5000)
    told.change(1)
    told.tick(0, 2)
    assert told.port.numbers() == [("agreed", 1)]
    for at in range(5):  # each takes longer to send than the time until the next
        told.change(3 + at, long=True)
        told.tick(0, 3 + at)
    assert told.port.numbers() == []
    told.tick(1, 100 * MS)
    assert told.port.numbers() == [("agreed", 6)]
    told.change(101 * MS)  # a short one on top of what is on its way goes at once
    assert told.port.numbers() == [("change", 7)]
    told.change(6000 * MS, long=True)  # nothing was heard of the long one for seconds
    assert told.port.numbers()


def test_who_asks_while_the_whole_is_on_its_way_is_sent_what_came_after_it_only() -> None:
    told = Told(5000)
    told.change(1)
    told.publisher.heard(told.port, {"k": "want", "n": 0}, 2)
    assert told.port.numbers() == [("agreed", 1)]
    for at in range(4):
        told.change(3 + at)
        told.publisher.heard(told.port, {"k": "want", "n": 0}, 300 * MS * (at + 1))
    assert told.port.numbers() == [("change", number) for number in range(2, 6)]
    told.publisher.heard(told.port, {"k": "want", "n": 0}, 4000 * MS)  # nothing of it came
    assert told.port.numbers() == [("agreed", 5)]


def test_a_gatekeeper_that_was_away_for_some_dozen_changes_gets_these_and_else_the_whole() -> None:
    for missed, kind in ((40, "change"), (500, "agreed")):
        told = Told(5)
        for at in range(missed + 1):
            told.change(at + 1)
        told.tick(1, missed + 2)
        kinds = [one for one, _ in told.port.numbers()]
        assert set(kinds) == {kind} and len(kinds) == (missed if kind == "change" else 1)
        assert len(told.publisher._history) <= MAX_HISTORY
