"""Who has a name: a second process under one is found, and refused while the first answers. Does no I/O.

A later life of a member claims its number. The life before is asked whether it is there: if it answers the
claim is refused, if it does not the new one has the number. Of two that joined at the same time the later
gives way.
"""

from __future__ import annotations

from collections.abc import Callable

from pepperrun.membership.outbox import Outbox
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import Book
from pepperrun.membership.states import Me, Own
from pepperrun.membership.wire import Datagram, Kind, Rumour, State


class Names:
    """The names of all that are known, and the claims to them."""

    def __init__(
        self,
        own: Own,
        book: Book,
        prober: Prober,
        outbox: Outbox,
        note: Callable[[Rumour, int], None],
        happened: Callable[[int, str, int, int, str], None],
    ) -> None:
        self.own, self.book, self.prober, self.outbox = own, book, prober, outbox
        self.note, self.happened = note, happened
        self.held: dict[int, int] = {}  # hash of the name of each of the others
        self.claims: dict[int, int] = {}  # member: the life that claims it while the one before is asked

    def hello(self, datagram: Datagram, now: int) -> None:
        """Someone asks for all that is known here. A name that another holds is refused."""
        sender = datagram.sender
        for other, name in self.held.items():
            held = self.book.get(other)
            if name == datagram.name and other != sender and held is not None and held.there:
                self.refuse(sender, other, now, datagram.life)
                return
        if datagram.name == self.own.name and self.own.state is Me.MEMBER:
            self.refuse(sender, self.own.member, now, datagram.life)
            return
        known = self.book.get(sender)
        self.held[sender] = datagram.name
        if known is not None and known.there and datagram.life > known.life:
            self.claim(sender, datagram.life, now)
            return
        if known is not None and datagram.life < known.life:
            self.outbox.remark(sender, Kind.WELCOME, now, rumours=[known.rumour()], to_life=datagram.life)
            return
        if known is None or datagram.life > known.life:
            self.note(Rumour(sender, datagram.life, datagram.incarnation, State.ALIVE, self.own.member), now)
        self.outbox.tell_all(sender, datagram.life)

    def claim(self, member: int, life: int, now: int) -> None:
        """The old life is asked whether it is there, unless it has said so a moment ago."""
        if member not in self.claims and not self.outbox.lately(member, Kind.TAKEN, now):
            self.claims[member] = life
            self.prober.ask(member, now, claim=True)

    def claim_holds(self, member: int, now: int) -> None:
        """The old life does not answer: the new one has the name."""
        life = self.claims.pop(member, 0)
        known = self.book.get(member)
        if life and (known is None or life > known.life):
            self.note(Rumour(member, life, 0, State.ALIVE, self.own.member), now)
            self.outbox.tell_all(member, life)

    def refuse(self, member: int, holder: int, now: int, life: int = 0) -> None:
        life = life or self.claims.pop(member, 0)
        self.happened(now, "refused a name", member, self.own.member, f"held by member {holder}")
        self.outbox.remark(member, Kind.TAKEN, now, subject=holder, to_life=life)

    def named(self, sender: int, datagram: Datagram, now: int) -> None:
        """Two that joined at the same time may have one name: the later one gives way."""
        self.held[sender] = datagram.name
        for other, name in self.held.items():
            held = self.book.get(other)
            if name != datagram.name or other == sender or held is None or not held.there:
                continue
            later = max((datagram.life, sender), (held.life, other))[1]
            holder, life = (other, datagram.life) if later == sender else (sender, held.life)
            self.refuse(later, holder, now, life)
