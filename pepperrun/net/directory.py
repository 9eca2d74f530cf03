"""The workers of the current endpoint list: the integers that stand for their names, addresses and states."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

from pepperrun.config import STATE_NAMES, Address, Endpoint, EndpointList
from pepperrun.core.interface import Backend, BackendList, BackendState, ListKind


class Directory:
    """Translates endpoint lists with names into lists with integers, and keeps each worker's address."""

    def __init__(self, zones: tuple[str, ...], from_unix_ms: Callable[[int], int]) -> None:
        self.zones = {zone: number for number, zone in enumerate(zones)}
        self.from_unix_ms = from_unix_ms
        self.ids: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.endpoints: dict[int, Endpoint] = {}

    def id_of(self, name: str) -> int:
        """Returns the worker's integer.

        All gatekeepers derive the same one, also after a restart: their messages identify workers by it.
        """
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

    def apply(self, endpoint_list: EndpointList, kind: ListKind) -> BackendList:
        """Applies a complete list or a delta and returns its translation."""
        backends = []
        unlisted = set(self.endpoints) if kind is not ListKind.DELTA else set()
        gone = set()
        for endpoint in endpoint_list.endpoints:
            number = self.id_of(endpoint.name)
            if endpoint.state is BackendState.GONE:
                gone.add(number)
            else:
                self.endpoints[number] = endpoint
                gone.discard(number)
                unlisted.discard(number)
            started_ns = self.from_unix_ms(endpoint.started_ms) if endpoint.started_ms > 0 else 0
            zone = self.zones.get(endpoint.zone, len(self.zones))
            backends.append(Backend(number, zone, endpoint.cell, endpoint.state, started_ns))
        for number in unlisted | gone:
            self._remove(number)
        return BackendList(kind, tuple(backends))

    def _remove(self, number: int) -> None:
        """Removes all data of a worker: workers with new names replace the old ones daily."""
        self.endpoints.pop(number, None)
        if (name := self.names.pop(number, None)) is not None:
            del self.ids[name]

    def discovery_rows(self) -> list[dict[str, Any]]:
        """Returns the list in the format of discovery's JSON."""
        return [
            {
                "id": endpoint.name,
                "addr": f"{endpoint.addr[0]}:{endpoint.addr[1]}" if endpoint.addr is not None else "",
                "zone": endpoint.zone,
                "cell": endpoint.cell,
                "state": STATE_NAMES[endpoint.state],
                "started_ms": endpoint.started_ms,
            }
            for endpoint in self.endpoints.values()
        ]

    def address(self, backend: int) -> Address | None:
        """Returns the address of a ready worker; None for one that is draining, gone or unknown."""
        endpoint = self.endpoints.get(backend)
        return endpoint.addr if endpoint is not None and endpoint.state is BackendState.READY else None

    def is_listed(self, backend: int) -> bool:
        """Whether the worker is in the list, in any state."""
        return backend in self.endpoints
