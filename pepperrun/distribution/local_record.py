"""The own record of a gateway, which supersedes all others under its name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.replicated_state import ReplicatedState


class LocalRecord:
    """Makes the own record supersede what other nodes concluded about this gateway.

    Parameters
    ----------
    own_record : callable
        Returns the current record, with the incarnation and serial of this process.
    """

    def __init__(self, name: str, own_record: Callable[[], GatewayRecord]) -> None:
        self.name = name
        self.own_record = own_record
        # Incarnation, and amount added to the serial, that supersede the records of other nodes.
        self._latest = (0, 0)

    def current(self, replicated: ReplicatedState) -> GatewayRecord:
        """Return the record to send, and store it in `replicated`.

        Other nodes may have marked this gateway as lost. The wall clock, which numbers incarnations, may have
        been set back since an earlier incarnation.
        """
        record = self.own_record()
        known = replicated.gateways.get(self.name)
        incarnation, added_serial = max(self._latest, (record.incarnation, 0))
        own = replace(record, incarnation=incarnation, serial=record.serial + added_serial)
        if known is not None and known != own and known.rank >= own.rank:
            if known.incarnation > incarnation:
                incarnation = known.incarnation + 1
                added_serial = 0
            else:
                added_serial += known.serial - own.serial + 1
        self._latest = (incarnation, added_serial)
        own = replace(record, incarnation=incarnation, serial=record.serial + added_serial)
        if known != own:
            replicated.update_records([], [own])
        return own
