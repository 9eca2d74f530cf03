"""No datagram counts twice, nor one that was meant for an earlier life of this member. Does no I/O."""

from __future__ import annotations

from pepperrun.membership.outbox import Outbox
from pepperrun.membership.records import Book
from pepperrun.membership.states import Own, Window
from pepperrun.membership.wire import Datagram, Kind


class ReplayGuard:
    """Sequence numbers that were seen, by member and life."""

    def __init__(self, own: Own, book: Book, outbox: Outbox, counts: dict[str, int]) -> None:
        self.own, self.book, self.outbox, self.counts = own, book, outbox, counts
        self.windows: dict[tuple[int, int], Window] = {}

    def in_order(self, datagram: Datagram) -> bool:
        """No replay: a new number of its life, and for this life of the receiver where that matters."""
        known = self.book.get(datagram.sender)
        if known is not None and known.life == datagram.life:
            window = self.windows.setdefault((datagram.sender, datagram.life), Window())
            if not window.new(datagram.sequence):
                self.counts["replayed"] += 1
                return False
        if datagram.to_life != self.own.life and datagram.kind is not Kind.HELLO:
            if datagram.kind is Kind.PING:
                # The life that is asked for has ended: whoever answers here says which one this is.
                self.outbox.post(datagram.sender, Kind.ACK, probe=datagram.probe, to_life=datagram.life)
            else:
                self.counts["replayed"] += 1
            return False
        return True

    def forget(self, member: int) -> None:
        """It is taken from the roster."""
        self.windows = {key: window for key, window in self.windows.items() if key[0] != member}

    def forget_life(self, member: int, life: int) -> None:
        """A later life of it has come."""
        self.windows.pop((member, life), None)
