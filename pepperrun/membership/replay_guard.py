"""No datagram counts twice, nor one that was meant for an earlier life of this member. Does no I/O."""

from __future__ import annotations

from pepperrun.membership.outbox import Outbox
from pepperrun.membership.records import MemberTable
from pepperrun.membership.states import OwnRecord, ReplayWindow
from pepperrun.membership.wire import Datagram, Kind


class ReplayGuard:
    """Sequence numbers that were seen, by member and life."""

    def __init__(self, own: OwnRecord, table: MemberTable, outbox: Outbox, counters: dict[str, int]) -> None:
        self.own, self.table, self.outbox, self.counters = own, table, outbox, counters
        self.windows: dict[tuple[int, int], ReplayWindow] = {}

    def accepts(self, datagram: Datagram) -> bool:
        """No replay: a new number of its life, and for this life of the receiver where that matters."""
        record = self.table.get(datagram.sender)
        if record is not None and record.generation == datagram.generation:
            window = self.windows.setdefault((datagram.sender, datagram.generation), ReplayWindow())
            if not window.accept(datagram.sequence):
                self.counters["replayed"] += 1
                return False
        if datagram.receiver_generation != self.own.generation and datagram.kind is not Kind.SYNC_REQUEST:
            if datagram.kind is Kind.PING:
                # The life that is asked for has ended: whoever answers here says which one this is.
                self.outbox.post(
                    datagram.sender,
                    Kind.ACK,
                    probe_id=datagram.probe_id,
                    receiver_generation=datagram.generation,
                )
            else:
                self.counters["replayed"] += 1
            return False
        return True

    def forget(self, member: int) -> None:
        """It is taken from the roster."""
        self.windows = {key: window for key, window in self.windows.items() if key[0] != member}

    def forget_generation(self, member: int, generation: int) -> None:
        """A later life of it has come."""
        self.windows.pop((member, generation), None)
