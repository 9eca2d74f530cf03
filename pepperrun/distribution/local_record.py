"""A gatekeeper's own record, placed before whatever else is held under its name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.replicated_state import ReplicatedState


class LocalRecord:
    """Keeps the own record ahead of what others conclude.

    Parameters
    ----------
    own_record : callable
        Returns the record as it is, with the incarnation and serial of this process.
    """

    def __init__(self, name: str, own_record: Callable[[], GatewayRecord]) -> None:
        self.name = name
        self.own_record = own_record
        # Incarnation and added serial that supersede what others hold under this name.
        self._ahead = (0, 0)

    def current(self, replicated: ReplicatedState) -> GatewayRecord:
        """Return the record to send, and keep it.

        Others may have concluded that it is lost, and the time of day from which an incarnation is numbered
        may have jumped back since an earlier one.
        """
        row = self.own_record()
        held = replicated.gateways.get(self.name)
        incarnation, added_serial = max(self._ahead, (row.incarnation, 0))
        own = replace(row, incarnation=incarnation, serial=row.serial + added_serial)
        if held is not None and held != own and held.rank >= own.rank:
            if held.incarnation > incarnation:
                incarnation = held.incarnation + 1
                added_serial = 0
            else:
                added_serial += held.serial - own.serial + 1
        self._ahead = (incarnation, added_serial)
        own = replace(row, incarnation=incarnation, serial=row.serial + added_serial)
        if held != own:
            replicated.update_records([], [own])
        return own
