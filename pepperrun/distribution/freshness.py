"""How fresh what a gatekeeper holds is, as proved by the tocks to its ticks.

Why that is safe: a tick carries this process's own steady clock; the tock to it is made later, by someone who
knows that all that was acknowledged before `age_ms` ago is in its number. So what was acknowledged before the
tick less that age is in the number, and it is held here once the number held is that or more. How long tick
and tock took, or how long this process stood still between them, only makes the tick's time older. A tock
counts on the link that its tick was sent on and once: nothing that comes twice or from an earlier link is
believed.
"""

from __future__ import annotations

from collections.abc import Iterable

from pepperrun.distribution.book import NewsBook
from pepperrun.distribution.messages import Tock
from pepperrun.distribution.uplink import MS, STAMPS, Uplink


def note_proof(link: Uplink, tock: Tock) -> None:
    """Remembers what a tock proves as soon as its number is held."""
    if tock.age_ms is not None:
        link.proofs.append((tock.number, tock.tick_sent_at - tock.age_ms * MS))


def prove(book: NewsBook, link: Uplink) -> None:
    """Freshness moves where the number that it belongs to is held."""
    held = book.number
    for number, fresh_at in link.proofs:
        if number <= held:
            book.fresh_at = max(book.fresh_at, fresh_at)
    link.proofs = [proof for proof in link.proofs if proof[0] > held][-STAMPS:]
    if link.number <= held:
        link.behind_since = 0


def note_digest(book: NewsBook, link: Uplink, tock: Tock, now: int) -> None:
    """Remembers which digest of records is to be reached."""
    link.goal = (tock.digest, tock.tick_sent_at)
    if book.sums.whole() != tock.digest:
        link.differ_since = link.differ_since or now


def meet(book: NewsBook, links: Iterable[Uplink], core: Uplink) -> None:
    """Where the digest that a link told is reached its records are held; the core's count as the newest."""
    for link in links:
        if link.goal[1] and book.sums.whole() == link.goal[0]:
            if link is core:
                book.cells_at = max(book.cells_at, link.goal[1])
            link.goal, link.differ_since = ("", 0), 0
