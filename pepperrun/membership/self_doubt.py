"""Does this member hear the others? After a standstill, or many probes in vain, it doubts itself. No I/O."""

from __future__ import annotations

import random

from pepperrun.membership.links import Links
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import Book
from pepperrun.membership.wire import State

DOUBT_AFTER = 4  # probes in a row to nothing, over as many periods: it may be this one that is not heard


class SelfDoubt:
    """`doubts`: it may be this one that is not heard, until another member answers."""

    def __init__(self, book: Book, links: Links, prober: Prober, rng: random.Random, period_ns: int) -> None:
        self.book, self.links, self.prober, self.rng = book, links, prober, rng
        self.period_ns = period_ns
        self.doubts = False

    def stood_still(self) -> None:
        """This process stood still: it doubts itself if there is anyone to ask."""
        self.doubts = len(self.book.others(State.ALIVE, State.SUSPECT, State.DEAD)) > 0

    def probe_failed(self, now: int) -> bool:
        """Many probes in a row came to nothing: those that seem well are asked before it doubts itself.

        True where the doubt begins.
        """
        failed = self.prober.failed_in_row = self.prober.failed_in_row + 1
        well = [member for member in self.book.others(State.ALIVE) if member not in self.links.failed]
        if failed == DOUBT_AFTER:
            for member in self.rng.sample(well, min(len(well), DOUBT_AFTER)):
                if not self.prober.asking(member):
                    self.prober.ask(member, now)
        if self.doubts or failed < DOUBT_AFTER or (well and failed < 2 * DOUBT_AFTER):
            return False
        self.doubts = now - self.prober.answered_at >= DOUBT_AFTER * self.period_ns
        return self.doubts
