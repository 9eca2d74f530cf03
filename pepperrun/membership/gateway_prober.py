"""Failure detector among the gatekeepers that the control records name. No socket, no clock.

Runs a `Member` of a group that is learned from the records: a gatekeeper with a record may be a member, and
one whose record is GONE is removed. The ring on which each gatekeeper is watched by its predecessors is
ordered by region. A successor in another region is probed in one of eight periods only: traffic between
regions is expensive, and what one member detects reaches the others by gossip.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import event, log_error
from pepperrun.foundation.settings import Address, parse_address
from pepperrun.membership.gateway_probe_wire import GatewayProbeCodec, wire_id
from pepperrun.membership.keys import KeyRing
from pepperrun.membership.member import Member
from pepperrun.membership.roster import Roster
from pepperrun.membership.states import MemberConfig, MembershipEvent, OwnState
from pepperrun.membership.wire import State

PROBE_PERIOD_NS = 400_000_000  # between two probes; a failure is known to all in about two seconds
MIN_SUSPICION_NS = 400_000_000
GENERATION_UNIT_NS = 100_000_000  # generations count tenths of a second: 32 bits last for 13 years
LOGGED_EVENTS = {"dead", "left", "stood still", "hears nobody", "is answered", "refused a name"}
MAX_GATEWAYS = 1024  # gatekeepers that are watched; the core machines know of more


class GatewayProber:
    """The caller passes records, datagrams and the time in, and sends what `take_outgoing` returns.

    `on_change` is called when `is_present` may return something else than before.
    """

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
        keys = KeyRing({0: bytes(16)})  # not used: these datagrams have a checksum and no signature
        config = MemberConfig(0, 1, name, keys, PROBE_PERIOD_NS, MIN_SUSPICION_NS, self.roster, self.codec)
        self.member = Member(config, generation, seed, now)
        self.member.on_event = self._on_event

    def _add_to_roster(self, number: int, region: str) -> None:
        hashed_id = wire_id(self.name_by_number[number])
        self.codec.number_by_wire_id[hashed_id] = number
        self.roster.add(number, hashed_id, (region, hashed_id), remote=region != self.region)

    def update_gateways(self, gateways: Iterable[GatewayRecord]) -> None:
        """Applies records of gatekeepers that are new or have changed."""
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
            other_number = self.codec.number_by_wire_id.get(wire_id(gateway.name))
            if len(self.number_by_name) >= MAX_GATEWAYS or (
                other_number is not None and self.name_by_number[other_number] != gateway.name
            ):
                return
            number = self.number_by_name[gateway.name] = len(self.number_by_name)
            self.name_by_number[number] = gateway.name
        try:
            peer_address = parse_address(gateway.internal_address)
        except PepperrunError as error:
            log_error(error, station=gateway.name)
            return
        if self.address_by_number.get(number) != peer_address:
            self.number_by_address.pop(self.address_by_number.get(number, peer_address), None)
            self.address_by_number[number] = peer_address
            self.number_by_address[peer_address] = number
        self._add_to_roster(number, gateway.region)

    def _remove_gateway(self, name: str) -> None:
        number = self.number_by_name.get(name)
        if number is not None and number in self.roster.wire_ids:
            self.roster.remove(number)
            self.codec.number_by_wire_id.pop(wire_id(name), None)
            self.number_by_address.pop(self.address_by_number.pop(number, ("", 0)), None)
            self.member.forget(number)

    def receive(self, data: bytes, peer_address: Address, now: int) -> None:
        """Handles a datagram from an address; one from an unknown address is dropped."""
        number = self.number_by_address.get(peer_address)
        if number is not None:
            self.member.receive(number, data, now)

    def record_contact(self, name: str, at: int) -> None:
        """Notes an ordinary message of a gatekeeper: that saves a probe and is no proof that it is alive."""
        number = self.number_by_name.get(name)
        if number is not None:
            self.member.record_contact(number, at)

    def tick(self, now: int) -> None:
        """Runs all timers that are due."""
        self.member.tick(now)

    def due(self) -> int:
        """Latest time of the next call to `tick`, in ns of the monotonic clock."""
        return self.member.due()

    def take_outgoing(self) -> list[tuple[Address, bytes]]:
        """Returns the datagrams to send, with their addresses, and empties the queue."""
        outgoing = self.member.outbox.take_outgoing()
        return [
            (self.address_by_number[number], data)
            for number, data in outgoing
            if number in self.address_by_number
        ]

    def leave(self, now: int) -> None:
        """Announces a graceful leave of this gatekeeper."""
        self.member.leave(now)

    def is_present(self, name: str) -> bool:
        """Whether a gatekeeper counts as present: alive, unknown here, or this one suspects itself."""
        number = self.number_by_name.get(name)
        record = self.member.table.get(number) if number is not None else None
        return record is None or record.state is State.ALIVE or self.suspects_itself

    @property
    def suspects_itself(self) -> bool:
        """Whether this gatekeeper stalled or gets no replies, so that it may be the unreachable one."""
        return self.member.suspects_itself

    def absent_gateways(self) -> frozenset[str]:
        """Names of gatekeepers that are suspected, dead or left."""
        others = self.member.table.others_in(State.SUSPECT, State.DEAD, State.LEFT)
        return frozenset(self.name_by_number[number] for number in others)

    @property
    def joined(self) -> bool:
        """Whether this prober has joined the group."""
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
