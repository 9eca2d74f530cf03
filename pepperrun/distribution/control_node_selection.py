"""Selection of the control node that a gateway follows: the nearest one without a recent failure."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pepperrun.distribution.tree import spread_key
from pepperrun.foundation.settings import Address

MS = 1_000_000  # ns
AVOID_NS = 2000 * MS  # a failed control node is avoided for this long, doubled with each failure
MAX_AVOID_NS = 16000 * MS


class Nearness(enum.IntEnum):
    """Distance to a control node; the lowest value is the nearest."""

    SAME_ZONE = 0
    SAME_REGION = 1
    FAR = 2


class _Avoidance(NamedTuple):
    """Avoidance of a failed control node: its end (monotonic ns) and its length."""

    until: int
    duration_ns: int


class ControlNodeSelection:
    """Locations and recent failures of the control nodes, by address.

    Parameters
    ----------
    internal_port : int
        Same on all machines.
    regions : mapping of str to str
        Region of each zone.
    contacts : list of Address
        From the settings; used if no listed node is usable.

    Attributes
    ----------
    zones : dict of str to str
        Zone by ip, from the hellos and lists of control nodes.
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
        """Record the rows of ip and zone that a control node sent."""
        self.zones.update((ip, zone) for ip, zone in control_nodes)

    def nearness(self, address: Address) -> Nearness:
        """Return the distance to a control node; FAR if its zone is unknown."""
        zone = self.zones.get(address[0])
        if zone == self.zone:
            return Nearness.SAME_ZONE
        in_region = zone is not None and self.regions.get(zone) == self.regions.get(self.zone)
        return Nearness.SAME_REGION if in_region else Nearness.FAR

    def best(
        self, control_nodes: Iterable[list[str]], now: int, *, other_than: Address | None = None
    ) -> Address:
        """Return the nearest control node without a recent failure, and not `other_than` if there is another.

        Control nodes of the current list come first. A partitioned control node lists only itself, so nodes
        of earlier lists and the first contacts are candidates too. If all have failed, the result is the one
        whose avoidance ends first.
        """
        listed = {(str(row[0]), self.internal_port) for row in control_nodes}
        known_before = {(ip, self.internal_port) for ip in self.zones}
        candidates = listed.union(self.contacts, known_before)

        def preference(address: Address) -> tuple[int, bool, int, bytes]:
            avoidance = self._avoided.get(address)
            avoided_until = avoidance.until if avoidance is not None and avoidance.until > now else 0
            tie_break = spread_key(self.name, address[0])
            return avoided_until, address not in listed, self.nearness(address), tie_break

        return min(candidates - {other_than} or candidates, key=preference)

    def avoid(self, address: Address, now: int) -> None:
        """Avoid a control node that failed; the time doubles with each failure, up to `MAX_AVOID_NS`."""
        last_duration_ns = self._avoided[address].duration_ns if address in self._avoided else AVOID_NS // 2
        duration_ns = min(MAX_AVOID_NS, 2 * last_duration_ns)
        self._avoided[address] = _Avoidance(now + duration_ns, duration_ns)

    def clear_failures(self, address: Address) -> None:
        """Forget the failures of a control node that answered with fresh state."""
        self._avoided.pop(address, None)

    def is_usable(self, address: Address, now: int) -> bool:
        """Return whether a control node has no recent failure."""
        return address not in self._avoided or self._avoided[address].until <= now
