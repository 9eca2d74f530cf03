"""The sending side: answers ticks, repairs, and pushes what is new to those who attach for that.

Core machines and relaying gatekeepers use the same one. It has no I/O of its own: links come in as ports, time as
steady nanoseconds, and `turn` is called when due.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from pepperrun.comb.records import Guard, Worker
from pepperrun.foundation.netstring import Message
from pepperrun.waggle.digests import Record, Sums

BATCH_MS = 15  # records that change together go together


class Port(Protocol):
    """One link; `foundation.link.Link` is one."""

    name: str

    def write(self, frame: bytes) -> None: ...

    def close(self) -> None: ...


class Source(Protocol):
    """Whose news is sent: the core's cells and agreement, or a relay's book."""

    @property
    def number(self) -> int: ...

    @property
    def state(self) -> dict[str, Any] | None: ...

    @property
    def workers(self) -> Mapping[str, Worker]: ...

    @property
    def guards(self) -> Mapping[str, Guard]: ...

    @property
    def sums(self) -> Sums: ...

    @property
    def cores(self) -> list[list[str]]:
        """[ip, zone] of each core machine."""
        ...

    def age_ms(self, now: int) -> float | None:
        """How long ago `number` was known to be the newest acknowledged; None: not known."""
        ...

    def beat(self, guard: Guard, now: int) -> None:
        """A gatekeeper has told of itself on its own link (each tick; the row may be as before)."""
        ...

    def merge(self, workers: list[Worker], guards: list[Guard], now: int) -> None:
        """Rows came from another process; the newer ones count. The source then calls `changed`."""
        ...


class Publisher:
    """Sends `source`'s news to links. `alarm(due)` asks for a `turn` at that time (steady ns)."""

    def __init__(self, source: Source, alarm: Callable[[int], None]) -> None:
        raise NotImplementedError

    def joined(self, port: Port, hello: Message, now: int) -> None:
        """A link to a gatekeeper has come up."""

    def left(self, port: Port, now: int) -> None:
        """It has ended."""

    def heard(self, port: Port, message: Message, now: int) -> bool:
        """Takes `tick`, `want`, `ask`, `cells`, `digests`; False for other kinds. HiveError where it can't be meant."""
        raise NotImplementedError

    def agreed(self, change: tuple[int, dict[str, Any]] | None, now: int) -> None:
        """`source.number` has grown; by `change` (base, op) where it was a single operation. Pushed at once."""

    def changed(self, records: Iterable[Record], now: int) -> None:
        """These records have changed; they are pushed within BATCH_MS."""

    def turn(self, now: int) -> None:
        """Sends what is due."""
