"""A link to whom a gatekeeper follows: a core machine or its parent in the tree."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution import repair
from pepperrun.distribution.book import NewsBook
from pepperrun.distribution.messages import Tick, Want
from pepperrun.distribution.publisher import Port
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

MS = 1_000_000
SILENT_NS = 1000 * MS  # two ticks without an answer and a half: the other machine is gone, cut off or stuck
MEND_NS = 250 * MS  # what is known to be missing comes down the tree within this, or is asked for
STAMPS = 16  # ticks without an answer that are remembered


@dataclass(slots=True)
class Uplink:
    """One link, up or not yet, and what its other side has told."""

    address: Address
    station: str  # of the parent; "" for a core machine
    since: int  # when it was chosen
    port: Port | None = None
    heard_at: int = 0  # since when it is silent
    number: int = 0  # what it holds, by its last tock
    stale_since: int = 0
    behind_since: int = 0  # since when this process lacks its number
    lag_since: int = 0  # since when it lacks the number that the core told
    differ_since: int = 0  # since when the digests have not met
    asked_at: int = 0
    wanted_at: int = 0
    said: GatewayRecord | None = None  # own record as last told on this link
    stamps: deque[int] = field(default_factory=lambda: deque(maxlen=STAMPS))
    proofs: list[tuple[int, int]] = field(default_factory=list)  # number, fresh_at once that is held
    goal: tuple[str, int] = ("", 0)  # digest of its cells, and when

    def waited_since(self) -> int:
        """Since when it has been waited for."""
        return self.heard_at or self.since

    def silent(self, now: int) -> bool:
        """Has nothing come for too long, be it up or not?"""
        return now - self.waited_since() > SILENT_NS

    def pardon(self, now: int) -> None:
        """This process stood still: what was said meanwhile waits to be read, so nobody was silent."""
        self.heard_at, self.since = (now if self.heard_at else 0), now
        self.stale_since = 0

    def close(self) -> None:
        """Ends the link."""
        if self.port is not None:
            self.port.close()

    def tick(self, message: Tick) -> None:
        """Sends a heartbeat; its own tock may come back on this link, once."""
        self.stamps.append(message.sent_at)
        self._send(message.wire())

    def answers(self, sent_at: int) -> bool:
        """Whether a tock belongs to a tick of this link; that tick and those before it are then over."""
        if sent_at not in self.stamps:
            return False
        while self.stamps.popleft() != sent_at:
            pass
        return True

    def want(self, book: NewsBook, now: int, whole: bool = False) -> None:
        """Asks for changes after what is held, or for the whole state."""
        if self.port is not None:
            self.wanted_at = now
            self._send(Want(book.number, whole).wire())

    def ask(self, book: NewsBook, now: int) -> None:
        """Asks for records that differ."""
        if self.port is not None:
            self.asked_at = now
            self._send(repair.ask(book))

    def mend(self, book: NewsBook, now: int, again_ns: int) -> None:
        """Asks for what has been missing for too long; for records not within `again_ns` of the last time."""
        late = bool(self.behind_since) and now - self.behind_since >= MEND_NS
        if late and now - self.wanted_at >= MEND_NS:
            self.want(book, now)
        if self.differ_since and now - self.differ_since >= MEND_NS and now - self.asked_at >= again_ns:
            self.ask(book, now)

    def mend_due(self, again_ns: int) -> list[int]:
        """When `mend` has something to do."""
        due = []
        if self.behind_since:
            due.append(max(self.behind_since, self.wanted_at) + MEND_NS)
        if self.differ_since:
            due.append(max(self.differ_since + MEND_NS, self.asked_at + again_ns))
        return due

    def _send(self, message: Message) -> None:
        if self.port is not None:
            self.port.write(encode(message))
