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
from pepperrun.membership.gateway_probe_wire import GatewayProbeCodec, wire_id
from pepperrun.membership.keys import KeyRing
from pepperrun.membership.member import Member
from pepperrun.membership.roster import Roster
from pepperrun.membership.states import MemberConfig, MembershipEvent, OwnState
from pepperrun.membership.wire import State

PROBE_PERIOD_NS = 400_000_000  # between two probes: a death is known to all in about two seconds
MIN_SUSPICION_NS = 400_000_000  # a suspicion stands at least
GENERATION_UNIT_NS = 100_000_000  # lives count tenths of a second: 32 bits of them last for 13 years
LOGGED_EVENTS = {"dead", "left", "stood still", "hears nobody", "is answered", "refused a name"}  # in the log
MAX_GATEWAYS = 1024  # gatekeepers that are watched; the core knows of more


class GatewayProber:
    """Give it records, datagrams and the time; take datagrams out. `changed`: `there` may differ."""

    def __init__(self, name: str, region: str, generation_ms: int, seed: int, now: int) -> None:
        self.own_name, self.region = name, region
        self.roster = Roster(0)
        self.codec = GatewayProbeCodec(self.roster)
        self.name_by_number = {0: name}
        self.number_by_name = {name: 0}
        self.address_by_number: dict[int, Address] = {}
        self.number_by_address: dict[Address, int] = {}
        self.on_change: Callable[[], None] = lambda: None
        self._add_to_roster(0, region)
        generation = generation_ms * 1_000_000 // GENERATION_UNIT_NS % (2**32 - 1) + 1
        keys = KeyRing({0: bytes(16)})  # not used: nothing is shared that could be one
        config = MemberConfig(0, 1, name, keys, PROBE_PERIOD_NS, MIN_SUSPICION_NS, self.roster, self.codec)
        self.member = Member(config, generation, seed, now)
        self.member.on_event = self._on_event

    def _add_to_roster(self, number: int, region: str) -> None:
        id = wire_id(self.name_by_number[number])
        self.codec.number_by_wire_id[id] = number
        self.roster.add(number, id, (region, id), far=region != self.region)

    def update_gateways(self, gateways: Iterable[GatewayRecord]) -> None:
        """Records of gatekeepers that are new or have changed."""
        for gateway in gateways:
            if gateway.name == self.own_name:
                continue
            if gateway.state == GatewayState.GONE:
                self._remove_gateway(gateway.name)
            else:
                self._add_gateway(gateway)

    def _add_gateway(self, gateway: GatewayRecord) -> None:
        number = self.number_by_name.get(gateway.name)
        if number is None:
            taken = self.codec.number_by_wire_id.get(wire_id(gateway.name))
            if len(self.number_by_name) >= MAX_GATEWAYS or (
                taken is not None and self.name_by_number[taken] != gateway.name
            ):
                return
            number = self.number_by_name[gateway.name] = len(self.number_by_name)
            self.name_by_number[number] = gateway.name
        try:
            where = address(gateway.internal_address)
        except PepperrunError as error:
            trouble(error, station=gateway.name)
            return
        if self.address_by_number.get(number) != where:
            self.number_by_address.pop(self.address_by_number.get(number, where), None)
            self.address_by_number[number] = where
            self.number_by_address[where] = number
        self._add_to_roster(number, gateway.region)

    def _remove_gateway(self, name: str) -> None:
        number = self.number_by_name.get(name)
        if number is not None and number in self.roster.wire_ids:
            self.roster.remove(number)
            self.codec.number_by_wire_id.pop(wire_id(name), None)
            self.number_by_address.pop(self.address_by_number.pop(number, ("", 0)), None)
            self.member.forget(number)

    def receive(self, data: bytes, where: Address, now: int) -> None:
        """A datagram of probes has come from there."""
        number = self.number_by_address.get(where)
        if number is not None:
            self.member.receive(number, data, now)

    def record_contact(self, name: str, at: int) -> None:
        """Another message of it has come: that saves a probe, and proves nothing."""
        number = self.number_by_name.get(name)
        if number is not None:
            self.member.record_contact(number, at)

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.member.tick(now)

    def due(self) -> int:
        """When `tick` is to be called at the latest (steady ns)."""
        return self.member.due()

    def take_outgoing(self) -> list[tuple[Address, bytes]]:
        """What is to be sent."""
        out = self.member.outbox.take_outgoing()
        return [
            (self.address_by_number[number], data) for number, data in out if number in self.address_by_number
        ]

    def leave(self, now: int) -> None:
        """Says that this gatekeeper goes."""
        self.member.leave(now)

    def is_present(self, name: str) -> bool:
        """Is it there? So is who is not known here, and everybody while this one doubts itself."""
        number = self.number_by_name.get(name)
        known = self.member.table.get(number) if number is not None else None
        return known is None or known.state is State.ALIVE or self.suspects_itself

    @property
    def suspects_itself(self) -> bool:
        """It may be this one that is not heard: it stood still, or nobody answers it."""
        return self.member.suspects_itself

    def absent_gateways(self) -> frozenset[str]:
        """Stations that are suspected, dead or have left."""
        others = self.member.table.others_in(State.SUSPECT, State.DEAD, State.LEFT)
        return frozenset(self.name_by_number[number] for number in others)

    @property
    def joined(self) -> bool:
        """Has it joined?"""
        return self.member.own.state is OwnState.MEMBER

    def _on_event(self, happened: MembershipEvent) -> None:
        if happened.what in LOGGED_EVENTS:
            event(
                "prober",
                what=happened.what,
                station=self.name_by_number.get(happened.member, "?"),
                by=self.name_by_number.get(happened.by, "-"),
                detail=happened.detail,
            )
        self.on_change()
