"""Which gatekeeper of its zone a gatekeeper attaches to in the relay tree."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.tree import parents
from pepperrun.foundation.settings import Address

MS = 1_000_000  # ns
AVOID_NS = (
    4000 * MS
)  # a parent that failed is passed over for so long; the tree is less urgent than freshness


class Parent(NamedTuple):
    """A gatekeeper to attach to, and its internal address."""

    name: str
    address: Address


class ParentSelection:
    """Order of the possible parents, less those that failed lately and those that membership misses.

    Attributes
    ----------
    is_present : callable
        Returns whether membership finds a gatekeeper, by its name.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.is_present: Callable[[str], bool] = lambda name: True
        self._avoided_until: dict[str, int] = {}

    def avoid(self, name: str, now: int) -> None:
        """Pass over a gatekeeper that failed as parent."""
        self._avoided_until[name] = now + AVOID_NS

    def best(self, gateways: Iterable[GatewayRecord], now: int) -> Parent | None:
        """Return the best parent; None where the pushes are to come from the control node."""
        for gateway in parents(self.name, self.zone, gateways):
            if self._avoided_until.get(gateway.name, 0) > now or not self.is_present(gateway.name):
                continue
            host, _, port = gateway.internal_address.rpartition(":")
            return Parent(gateway.name, (host, int(port)))
        return None
