"""Which control node a gatekeeper follows: the nearest that has not failed lately."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pepperrun.distribution.tree import spread_key
from pepperrun.foundation.settings import Address

MS = 1_000_000  # ns
AVOID_NS = 2000 * MS  # a control node that failed is passed over for so long, doubled each time
MAX_AVOID_NS = 16000 * MS


class Nearness(enum.IntEnum):
    """How near a control node is, the least the nearest."""

    SAME_ZONE = 0
    SAME_REGION = 1
    FAR = 2


class _Avoidance(NamedTuple):
    """Until when a control node is passed over, and for how long that is."""

    until: int
    length_ns: int


class ControlNodeSelection:
    """What is known of control nodes by their addresses: where they are, which have failed lately.

    Parameters
    ----------
    internal_port : int
        The same on all machines.
    regions : mapping of str to str
        Region of each zone.
    contacts : list of Address
        Of the settings, tried where no listed node will do.

    Attributes
    ----------
    zones : dict of str to str
        Zone by ip, as learnt from their hellos and lists.
    """

    def __init__(
        self, name: str, zone: str, internal_port: int, regions: Mapping[str, str], contacts: list[Address]
    ) -> None:
        self.name = name
        self.zone = zone
        self.internal_port = internal_port
        self.regions = regions
        self.contacts = contacts
        self.zones: dict[str, str] = {}
        self._avoided: dict[Address, _Avoidance] = {}

    def learn(self, control_nodes: Iterable[list[str]]) -> None:
        """Take over the list, rows of ip and zone, that a control node gave."""
        self.zones.update((ip, zone) for ip, zone in control_nodes)

    def nearness(self, address: Address) -> Nearness:
        """Return how near a control node is; far too where its zone is not known."""
        zone = self.zones.get(address[0])
        if zone == self.zone:
            return Nearness.SAME_ZONE
        in_region = zone is not None and self.regions.get(zone) == self.regions.get(self.zone)
        return Nearness.SAME_REGION if in_region else Nearness.FAR

    def best(
        self, control_nodes: Iterable[list[str]], now: int, *, other_than: Address | None = None
    ) -> Address:
        """Return the nearest that has not failed lately; first contacts only where no listed one will do.

        A control node that is partitioned lists itself alone, so those that were listed before count as well.
        """
        listed = {(str(row[0]), self.internal_port) for row in control_nodes}
        learnt = {(ip, self.internal_port) for ip in self.zones}
        known = listed.union(self.contacts, learnt)

        def preference(address: Address) -> tuple[int, bool, int, bytes]:
            avoidance = self._avoided.get(address)
            avoided_until = avoidance.until if avoidance is not None and avoidance.until > now else 0
            drawn = spread_key(self.name, address[0])
            return avoided_until, address not in listed, self.nearness(address), drawn

        return min(known - {other_than} or known, key=preference)

    def avoid(self, address: Address, now: int) -> None:
        """Pass over a control node that failed, each time for longer."""
        last_ns = self._avoided[address].length_ns if address in self._avoided else AVOID_NS // 2
        length_ns = min(MAX_AVOID_NS, 2 * last_ns)
        self._avoided[address] = _Avoidance(now + length_ns, length_ns)

    def clear_failures(self, address: Address) -> None:
        """Forget the failures of a control node that answers well."""
        self._avoided.pop(address, None)

    def is_usable(self, address: Address, now: int) -> bool:
        """Return whether a control node has not failed lately."""
        return address not in self._avoided or self._avoided[address].until <= now
