"""Detects two processes under one member name or number and rejects one of them. Does no I/O.

A later generation of a member claims its number. The current generation is probed first: if it replies, the
claim is rejected; if not, the new generation gets the number. Of two members that joined with one name at
the same time, the one with the later generation is rejected.
"""

from __future__ import annotations

from collections.abc import Callable

from pepperrun.membership.outbox import Outbox
from pepperrun.membership.probing import Prober
from pepperrun.membership.records import MemberTable
from pepperrun.membership.states import OwnRecord, OwnState
from pepperrun.membership.wire import Datagram, Kind, State, Update


class NameRegistry:
    """The names of the known members, and claims by later generations that are being checked."""

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
        self.name_hashes: dict[int, int] = {}  # by member, without this one
        self.claims: dict[int, int] = {}  # member: claiming generation, while the current one is probed

    def on_sync_request(self, datagram: Datagram, now: int) -> None:
        """Replies with the complete state, or rejects a sender whose name another member has."""
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
        """Probes the current generation of a claimed number, unless a claim was rejected a moment ago."""
        if member not in self.claims and not self.outbox.posted_recently(member, Kind.NAME_CONFLICT, now):
            self.claims[member] = generation
            self.prober.start_probe(member, now, checks_claim=True)

    def accept_claim(self, member: int, now: int) -> None:
        """Accepts a claim after the current generation did not reply."""
        generation = self.claims.pop(member, 0)
        record = self.table.get(member)
        if generation and (record is None or generation > record.generation):
            self.apply_update(Update(member, generation, 0, State.ALIVE, self.own.member), now)
            self.outbox.send_full_state(member, generation)

    def reject(self, member: int, holder: int, now: int, generation: int = 0) -> None:
        """Rejects a member because `holder` has its name or number, and emits an event.

        The member is notified at most once in `MIN_REPEAT_NS`.
        """
        generation = generation or self.claims.pop(member, 0)
        self.emit(now, "refused a name", member, self.own.member, f"held by member {holder}")
        self.outbox.post_limited(
            member, Kind.NAME_CONFLICT, now, subject=holder, receiver_generation=generation
        )

    def record_name(self, sender: int, datagram: Datagram, now: int) -> None:
        """Stores a member's name. Of two present members with one name, the later generation is rejected."""
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
            rejected = max((datagram.generation, sender), (other_record.generation, other))[1]
            holder, generation = (
                (other, datagram.generation) if rejected == sender else (sender, other_record.generation)
            )
            self.reject(rejected, holder, now, generation)
