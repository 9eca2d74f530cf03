"""Drops replayed datagrams and those meant for an earlier generation of this member. Does no I/O."""

from __future__ import annotations

from pepperrun.membership.outbox import Outbox
from pepperrun.membership.records import MemberTable
from pepperrun.membership.states import OwnRecord, ReplayWindow
from pepperrun.membership.wire import Datagram, Kind


class ReplayGuard:
    """A replay window of sequence numbers for each generation of each sender."""

    def __init__(self, own: OwnRecord, table: MemberTable, outbox: Outbox, counters: dict[str, int]) -> None:
        self.own, self.table, self.outbox, self.counters = own, table, outbox, counters
        self.windows: dict[tuple[int, int], ReplayWindow] = {}

    def accepts(self, datagram: Datagram) -> bool:
        """Whether a datagram is to be handled.

        Its sequence number must be new, and except for SYNC_REQUEST it must be meant for this generation of
        the receiver. A PING to another generation is answered, with this member's own generation.
        """
        record = self.table.get(datagram.sender)
        if record is not None and record.generation == datagram.generation:
            window = self.windows.setdefault((datagram.sender, datagram.generation), ReplayWindow())
            if not window.accept(datagram.sequence):
                self.counters["replayed"] += 1
                return False
        if datagram.receiver_generation != self.own.generation and datagram.kind is not Kind.SYNC_REQUEST:
            if datagram.kind is Kind.PING:
                # The probed generation has ended: the ACK carries the generation that runs here.
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
        """Drops the windows of a member that was removed from the roster."""
        self.windows = {key: window for key, window in self.windows.items() if key[0] != member}

    def forget_generation(self, member: int, generation: int) -> None:
        """Drops the window of a generation that was superseded."""
        self.windows.pop((member, generation), None)
