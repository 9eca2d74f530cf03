"""From a suspicion to a burial: who looks for itself, and how long it takes. Does no I/O.

| what is known of the suspected one | buried after |
| --- | --- |
| AGREE of the live ones, or all if there are fewer, have looked and agree | the least time |
| fewer agree | longer, up to LONGER times the least; times one more than this member's own trouble |
| nobody is left to agree | half of the longest: this one may be wrong about all of them |
| others have buried it already | the least time: it may not have heard what was said of it |
| this one still hears it | not before the longest time: it may be slow, or not hear what is said of it |

To each the time is added that an answer from it may take.
"""

from __future__ import annotations

import math

from pepperrun.membership.probing import Prober
from pepperrun.membership.records import Book, Record
from pepperrun.membership.views import LOOK_NS
from pepperrun.membership.wire import State

WATCHERS = 4  # look for themselves whether a suspected member is there
AGREE = 3  # of them, this one's own probe included, bury it at once
LONGER = 6  # times as long where nobody agrees


class Suspicions:
    """Judges the suspected ones of a book."""

    def __init__(self, book: Book, prober: Prober, least_ns: int) -> None:
        self.book, self.prober, self.least_ns = book, prober, least_ns
        self.looked: dict[int, tuple[int, int]] = {}  # whom this one has looked for: life and incarnation

    def needed(self) -> int:
        """So many besides the first have to agree."""
        return max(0, min(AGREE, len(self.book.others(State.ALIVE)) + 1) - 1)

    def burial(self, known: Record) -> int:
        """When a suspicion becomes a death, if it is not heard."""
        least, agreed, needed = self.least_ns, len(known.witnesses) - 1, self.needed()
        answer = self.prober.usual(known.member)
        if known.sure:
            return known.since + least + answer
        part = math.log(agreed + 1) / math.log(needed + 1) if needed else 0.5
        span = max(least, LONGER * least - (LONGER - 1) * least * part)
        # Enough agree: who is patient because it fares badly itself does not hold them up.
        patience = 1 if agreed >= needed and needed else 1 + self.prober.health
        return known.since + int(span * patience) + answer

    def ripe(self, known: Record, now: int) -> bool:
        """Is it to be buried now?"""
        heard = self.prober.heard.get(known.member, 0) > known.since
        return now >= self.burial(known) and not (heard and now - known.since < LONGER * self.least_ns)

    def due(self, known: Record, now: int) -> int:
        """When to look at it again."""
        burial = self.burial(known)
        return burial if burial > now else now + LOOK_NS

    def watch(self, known: Record, now: int) -> None:
        """Looks for itself, once, whether it is there, if this one is among those to do so."""
        looked = self.looked.get(known.member) == (known.life, known.incarnation)
        if looked or self.book.me in known.witnesses or self.prober.asking(known.member):
            return
        if self.book.me in self.book.watchers(known.member, WATCHERS):
            self.looked[known.member] = known.life, known.incarnation
            self.prober.ask(known.member, now)
