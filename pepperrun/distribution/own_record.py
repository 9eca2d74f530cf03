"""A gatekeeper's own record, placed before whatever else is told of its station."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.book import NewsBook


class OwnRecord:
    """`row` gives the record as it is, with the life and serial of this process."""

    def __init__(self, station: str, row: Callable[[], GatewayRecord]) -> None:
        self.station, self.row = station, row
        self.ahead = (0, 0)  # life and serial that go before what others hold of this station

    def current(self, book: NewsBook) -> GatewayRecord:
        """The record to tell, and to hold.

        Others may have concluded that it is lost, and the time of day from which a life is numbered may have
        jumped back since an earlier one.
        """
        row = self.row()
        held = book.gateways.get(self.station)
        life, serial = max(self.ahead, (row.incarnation, 0))
        said = replace(row, incarnation=life, serial=row.serial + serial)
        if held is not None and held != said and held.rank >= said.rank:
            if held.incarnation > life:
                life, serial = held.incarnation + 1, 0
            else:
                serial += held.serial - said.serial + 1
        self.ahead = (life, serial)
        row = replace(row, incarnation=life, serial=row.serial + serial)
        if held != row:
            book.take_cells([], [row])
        return row
