"""Which core machine a gatekeeper follows: the nearest that has not failed lately."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pepperrun.distribution.tree import spread
from pepperrun.foundation.settings import Address

MS = 1_000_000
AVOID_NS = 2000 * MS  # a core machine that failed is passed over for so long, and longer each time
AVOID_MOST_NS = 16000 * MS

SAME_ZONE, SAME_REGION, FAR = 0, 1, 2


class CoreSelection:
    """What is known of core machines by their addresses: where they are, which have failed lately.

    `zones`: region of each zone. `contacts`: those of the settings, tried where no listed one will do.
    """

    def __init__(
        self, station: str, zone: str, internal_port: int, zones: Mapping[str, str], contacts: list[Address]
    ) -> None:
        self.station, self.zone, self.internal_port = station, zone, internal_port
        self.zones, self.contacts = zones, contacts
        self.avoided: dict[Address, tuple[int, int]] = {}  # until when, and for how long
        self.zone_of: dict[str, str] = {}  # of core machines by ip, as learnt from their hello and lists

    def learn(self, cores: Iterable[list[str]]) -> None:
        """A core machine has told of all."""
        self.zone_of |= {ip: zone for ip, zone in cores}

    def nearness(self, address: Address) -> int:
        """SAME_ZONE, SAME_REGION or FAR; FAR too where its zone is not known."""
        zone = self.zone_of.get(address[0])
        if zone == self.zone:
            return SAME_ZONE
        known = zone is not None and self.zones.get(zone) == self.zones.get(self.zone)
        return SAME_REGION if known else FAR

    def best(self, cores: Iterable[list[str]], now: int, but: Address | None = None) -> Address:
        """The nearest that has not failed lately; first contacts only where none of the core will do.

        A core machine that is cut off lists itself alone, so those that were listed before count as well.
        """
        listed = {(str(row[0]), self.internal_port) for row in cores}
        known = listed.union(self.contacts, ((ip, self.internal_port) for ip in self.zone_of))

        def order(address: Address) -> tuple[int, bool, int, bytes]:
            until = self.avoided.get(address, (0, 0))[0]
            near = self.nearness(address)
            drawn = spread(self.station, address[0])
            return (until if until > now else 0), address not in listed, near, drawn

        return min(known - {but} or known, key=order)

    def avoid(self, address: Address, now: int) -> None:
        """It has failed."""
        span = min(AVOID_MOST_NS, 2 * self.avoided.get(address, (0, AVOID_NS // 2))[1])
        self.avoided[address] = now + span, span

    def forgive(self, address: Address) -> None:
        """It has answered well."""
        self.avoided.pop(address, None)

    def usable(self, address: Address, now: int) -> bool:
        """Has it not failed lately?"""
        return self.avoided.get(address, (0, 0))[0] <= now
