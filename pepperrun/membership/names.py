"""Who has a name: a second process under one is found, and refused while the first answers. Does no I/O.

A later life of a member claims its number. The life before is asked whether it is there: if it answers the
claim is refused, if it does not the new one has the number. Of two that joined at the same time the later
gives way.
"""

from __future__ import annotations

from collections.abc import Callable

from pepperrun.membership.outbox import Outbox
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable
from pepperrun.membership.states import OwnRecord, OwnState
from pepperrun.membership.wire import Datagram, Kind, State, Update


class NameRegistry:
    """The names of all that are known, and the claims to them."""

    def __init__(
        self,
        own: OwnRecord,
        table: MemberTable,
        prober: Prober,
        outbox: Outbox,
        apply_update: Callable[[Update, int], None],
        emit: Callable[[int, str, int, int, str], None],
    ) -> None:
        self.own, self.table, self.prober, self.outbox = own, table, prober, outbox
        self.apply_update, self.emit = apply_update, emit
        self.name_hashes: dict[int, int] = {}  # hash of the name of each of the others
        self.claims: dict[int, int] = {}  # member: the life that claims it while the one before is asked

    def on_sync_request(self, datagram: Datagram, now: int) -> None:
        """Someone asks for all that is known here. A name that another holds is refused."""
        sender = datagram.sender
        for other, name in self.name_hashes.items():
            other_record = self.table.get(other)
            if (
                name == datagram.name_hash
                and other != sender
                and other_record is not None
                and other_record.present
            ):
                self.reject(sender, other, now, datagram.generation)
                return
        if datagram.name_hash == self.own.name_hash and self.own.state is OwnState.MEMBER:
            self.reject(sender, self.own.member, now, datagram.generation)
            return
        record = self.table.get(sender)
        self.name_hashes[sender] = datagram.name_hash
        if record is not None and record.present and datagram.generation > record.generation:
            self.check_claim(sender, datagram.generation, now)
            return
        if record is not None and datagram.generation < record.generation:
            self.outbox.post_limited(
                sender,
                Kind.SYNC_REPLY,
                now,
                updates=[record.as_update()],
                receiver_generation=datagram.generation,
            )
            return
        if record is None or datagram.generation > record.generation:
            self.apply_update(
                Update(sender, datagram.generation, datagram.incarnation, State.ALIVE, self.own.member), now
            )
        self.outbox.send_full_state(sender, datagram.generation)

    def check_claim(self, member: int, generation: int, now: int) -> None:
        """The old life is asked whether it is there, unless it has said so a moment ago."""
        if member not in self.claims and not self.outbox.posted_recently(member, Kind.NAME_CONFLICT, now):
            self.claims[member] = generation
            self.prober.start_probe(member, now, checks_claim=True)

    def accept_claim(self, member: int, now: int) -> None:
        """The old life does not answer: the new one has the name."""
        generation = self.claims.pop(member, 0)
        record = self.table.get(member)
        if generation and (record is None or generation > record.generation):
            self.apply_update(Update(member, generation, 0, State.ALIVE, self.own.member), now)
            self.outbox.send_full_state(member, generation)

    def reject(self, member: int, holder: int, now: int, generation: int = 0) -> None:
        generation = generation or self.claims.pop(member, 0)
        self.emit(now, "refused a name", member, self.own.member, f"held by member {holder}")
        self.outbox.post_limited(
            member, Kind.NAME_CONFLICT, now, subject=holder, receiver_generation=generation
        )

    def record_name(self, sender: int, datagram: Datagram, now: int) -> None:
        """Two that joined at the same time may have one name: the later one gives way."""
        self.name_hashes[sender] = datagram.name_hash
        for other, name in self.name_hashes.items():
            other_record = self.table.get(other)
            if (
                name != datagram.name_hash
                or other == sender
                or other_record is None
                or not other_record.present
            ):
                continue
            later = max((datagram.generation, sender), (other_record.generation, other))[1]
            holder, generation = (
                (other, datagram.generation) if later == sender else (sender, other_record.generation)
            )
            self.reject(later, holder, now, generation)
