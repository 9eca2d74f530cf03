"""The workers as the last list has them: their names' integers, addresses and states."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

from pepperrun.config import STATE_NAMES, Address, Line, Listing
from pepperrun.core.interface import Backend, BackendList, BackendState, ListKind


class Directory:
    """Turns lists with names into lists with integers, and remembers where each worker is."""

    def __init__(self, zones: tuple[str, ...], of_unix_ms: Callable[[int], int]) -> None:
        self.zones = {zone: number for number, zone in enumerate(zones)}
        self.from_unix_ms = of_unix_ms
        self.ids: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.endpoints: dict[int, Line] = {}

    def id_of(self, name: str) -> int:
        """The same at all gatekeepers and after each start: they tell each other of workers by it."""
        if name not in self.ids:
            salt = 0
            while True:
                digest = hashlib.blake2s(name.encode(), digest_size=4, salt=salt.to_bytes(8, "little"))
                number = int.from_bytes(digest.digest(), "little")
                if number not in self.names:
                    break
                salt += 1
            self.ids[name], self.names[number] = number, name
        return self.ids[name]

    def apply(self, listing: Listing, kind: ListKind) -> BackendList:
        """Takes in a list."""
        backends = []
        before = set(self.endpoints) if kind is not ListKind.DELTA else set()
        gone = set()
        for line in listing.lines:
            number = self.id_of(line.name)
            if line.state is BackendState.GONE:
                gone.add(number)
            else:
                self.endpoints[number] = line
                gone.discard(number)
                before.discard(number)
            born = self.from_unix_ms(line.started_ms) if line.started_ms > 0 else 0
            zone = self.zones.get(line.zone, len(self.zones))
            backends.append(Backend(number, zone, line.cell, line.state, born))
        for number in before | gone:
            self._forget(number)
        return BackendList(kind, tuple(backends))

    def _forget(self, number: int) -> None:
        """Workers under new names replace the old ones day by day: those gone leave nothing behind."""
        self.endpoints.pop(number, None)
        if (name := self.names.pop(number, None)) is not None:
            del self.ids[name]

    def discovery_rows(self) -> list[dict[str, Any]]:
        """The list in discovery's form."""
        return [
            {
                "id": line.name,
                "addr": f"{line.addr[0]}:{line.addr[1]}" if line.addr is not None else "",
                "zone": line.zone,
                "cell": line.cell,
                "state": STATE_NAMES[line.state],
                "started_ms": line.started_ms,
            }
            for line in self.endpoints.values()
        ]

    def address(self, backend: int) -> Address | None:
        """Where a worker that is ready listens; None for one that is draining, gone or unknown."""
        line = self.endpoints.get(backend)
        return line.addr if line is not None and line.state is BackendState.READY else None

    def is_listed(self, backend: int) -> bool:
        """Is it in the list, whatever its state?"""
        return backend in self.endpoints
