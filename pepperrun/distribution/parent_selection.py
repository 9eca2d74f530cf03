"""Selection of the parent of a gateway in the relay tree of its zone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.tree import parents
from pepperrun.foundation.settings import Address

MS = 1_000_000  # ns
AVOID_NS = 4000 * MS  # a failed parent is avoided for this long; the tree is less urgent than freshness


class Parent(NamedTuple):
    """A possible parent and its internal address."""

    name: str
    address: Address


class ParentSelection:
    """The possible parents in order, without those that failed recently or that membership reports absent.

    Attributes
    ----------
    is_present : callable
        Returns whether membership reports the gateway with a name as present.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.is_present: Callable[[str], bool] = lambda name: True
        self._avoided_until: dict[str, int] = {}

    def avoid(self, name: str, now: int) -> None:
        """Avoid a gateway that failed as a parent for `AVOID_NS`."""
        self._avoided_until[name] = now + AVOID_NS

    def best(self, gateways: Iterable[GatewayRecord], now: int) -> Parent | None:
        """Return the best parent; None if the control node is to push changes directly."""
        for gateway in parents(self.name, self.zone, gateways):
            if self._avoided_until.get(gateway.name, 0) > now or not self.is_present(gateway.name):
                continue
            host, _, port = gateway.internal_address.rpartition(":")
            return Parent(gateway.name, (host, int(port)))
        return None
