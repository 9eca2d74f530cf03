"""One gatekeeper's prober: which of the gatekeepers that the records name are there. No socket, no clock.

It is a member (`pepperrun.membership`) of a group that is learnt from the records: who is named there may
be a member, who is gone is none. The ring on which each is watched by those before it goes region by
region, and who is in another region is asked in one round of eight: bytes between regions are dear, and
what is found out anywhere goes round by rumour.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event, trouble
from pepperrun.foundation.settings import Address, address
from pepperrun.membership.gateway_probe_wire import Learnt, id_of
from pepperrun.membership.keys import Keys
from pepperrun.membership.member import Member
from pepperrun.membership.roster import Roster
from pepperrun.membership.states import Config, Happened, Me
from pepperrun.membership.wire import State

PERIOD_NS = 400_000_000  # between two probes: a death is known to all in about two seconds
SUSPECT_NS = 400_000_000  # a suspicion stands at least
LIFE_NS = 100_000_000  # lives count tenths of a second: 32 bits of them last for 13 years
TOLD = {"dead", "left", "stood still", "hears nobody", "is answered", "refused a name"}  # in the log
MOST = 1024  # gatekeepers that are watched; the core knows of more


class GatewayProber:
    """Give it records, datagrams and the time; take datagrams out. `changed`: `there` may differ."""

    def __init__(self, station: str, region: str, life_ms: int, seed: int, now: int) -> None:
        self.station, self.region = station, region
        self.roster = Roster(0)
        self.wire = Learnt(self.roster)
        self.stations = {0: station}
        self.numbers = {station: 0}
        self.where: dict[int, Address] = {}
        self.from_ip: dict[Address, int] = {}
        self.changed: Callable[[], None] = lambda: None
        self._add(0, region)
        life = life_ms * 1_000_000 // LIFE_NS % (2**32 - 1) + 1
        keys = Keys({0: bytes(16)})  # not used: nothing is shared that could be one
        config = Config(0, 1, station, keys, PERIOD_NS, SUSPECT_NS, self.roster, self.wire)
        self.member = Member(config, life, seed, now)
        self.member.told_of = self._happened

    def _add(self, number: int, region: str) -> None:
        id = id_of(self.stations[number])
        self.wire.number_of[id] = number
        self.roster.add(number, id, (region, id), far=region != self.region)

    def take(self, gateways: Iterable[GatewayRecord]) -> None:
        """Records of gatekeepers that are new or have changed."""
        for gateway in gateways:
            if gateway.name == self.station:
                continue
            if gateway.state == GatewayState.GONE:
                self._drop(gateway.name)
            else:
                self._meet(gateway)

    def _meet(self, gateway: GatewayRecord) -> None:
        number = self.numbers.get(gateway.name)
        if number is None:
            taken = self.wire.number_of.get(id_of(gateway.name))
            if len(self.numbers) >= MOST or (taken is not None and self.stations[taken] != gateway.name):
                return
            number = self.numbers[gateway.name] = len(self.numbers)
            self.stations[number] = gateway.name
        try:
            where = address(gateway.internal_address)
        except PepperrunError as error:
            trouble(error, station=gateway.name)
            return
        if self.where.get(number) != where:
            self.from_ip.pop(self.where.get(number, where), None)
            self.where[number] = where
            self.from_ip[where] = number
        self._add(number, gateway.region)

    def _drop(self, station: str) -> None:
        number = self.numbers.get(station)
        if number is not None and number in self.roster.ids:
            self.roster.remove(number)
            self.wire.number_of.pop(id_of(station), None)
            self.from_ip.pop(self.where.pop(number, ("", 0)), None)
            self.member.forget(number)

    def receive(self, data: bytes, where: Address, now: int) -> None:
        """A datagram of probes has come from there."""
        number = self.from_ip.get(where)
        if number is not None:
            self.member.receive(number, data, now)

    def heard(self, station: str, at: int) -> None:
        """Another message of it has come: that saves a probe, and proves nothing."""
        number = self.numbers.get(station)
        if number is not None:
            self.member.heard(number, at)

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.member.tick(now)

    def due(self) -> int:
        """When `tick` is to be called at the latest (steady ns)."""
        return self.member.due()

    def take_out(self) -> list[tuple[Address, bytes]]:
        """What is to be sent."""
        out = self.member.outbox.take_out()
        return [(self.where[number], data) for number, data in out if number in self.where]

    def leave(self, now: int) -> None:
        """Says that this gatekeeper goes."""
        self.member.leave(now)

    def there(self, station: str) -> bool:
        """Is it there? So is who is not known here, and everybody while this one doubts itself."""
        number = self.numbers.get(station)
        known = self.member.book.get(number) if number is not None else None
        return known is None or known.state is State.ALIVE or self.doubt

    @property
    def doubt(self) -> bool:
        """It may be this one that is not heard: it stood still, or nobody answers it."""
        return self.member.doubt

    def absent(self) -> frozenset[str]:
        """Stations that are suspected, dead or have left."""
        others = self.member.book.others(State.SUSPECT, State.DEAD, State.LEFT)
        return frozenset(self.stations[number] for number in others)

    @property
    def settled(self) -> bool:
        """Has it joined?"""
        return self.member.own.state is Me.MEMBER

    def _happened(self, what: Happened) -> None:
        if what.what in TOLD:
            event(
                "prober",
                what=what.what,
                station=self.stations.get(what.member, "?"),
                by=self.stations.get(what.by, "-"),
                detail=what.detail,
            )
        self.changed()
