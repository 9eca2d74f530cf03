"""Messages between gatekeepers: datagrams with counts, each from one incarnation of a gatekeeper.

A datagram is a tag, the hash of the sender's name, the sender's incarnation and the message of the core. The
core knows peers by number. Each incarnation of a gatekeeper gets a number of its own, which is never reused,
so that the counts of an earlier incarnation never mix with those of a later one.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterable
from typing import cast

from pepperrun.control.records import GatewayRecord, GatewayState
from pepperrun.dataplane.numbering import name_hash
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import log_error
from pepperrun.foundation.settings import Address, parse_address

TAG = 0xB2
HEADER = struct.Struct("<BIQ")
MAX_DATAGRAM = 256 + HEADER.size  # bytes


class Peers:
    """The gatekeepers that are present, and the number and address of each."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.number_at: dict[tuple[int, int], int] = {}  # by hash of the name and incarnation
        self.addresses: dict[int, Address] = {}  # by number
        self.present: dict[str, tuple[int, int]] = {}  # by name: incarnation and number
        self.last_number = 0

    @property
    def members(self) -> tuple[int, ...]:
        """The numbers of the other gatekeepers that are present."""
        return tuple(sorted(number for _, number in self.present.values()))

    def update(self, gateways: Iterable[GatewayRecord]) -> bool:
        """Applies records; returns whether the set of present gatekeepers changed."""
        before = self.members
        for gateway in gateways:
            if gateway.name == self.own_name:
                continue
            incarnation, number = self.present.get(gateway.name, (-1, 0))
            if gateway.incarnation < incarnation:
                continue
            is_present = gateway.state not in (GatewayState.LOST, GatewayState.GONE)
            if number and (gateway.incarnation > incarnation or not is_present):
                self._remove(gateway.name, incarnation, number)
            if is_present and gateway.name not in self.present:
                self._add(gateway)
        return self.members != before

    def _add(self, gateway: GatewayRecord) -> None:
        try:
            where = parse_address(gateway.internal_address)
        except PepperrunError as error:
            log_error(error, station=gateway.name)
            return
        key = name_hash(gateway.name), gateway.incarnation
        number = self.number_at.get(key)
        if number is None:
            self.last_number += 1
            number = self.number_at[key] = self.last_number
        self.addresses[number], self.present[gateway.name] = where, (gateway.incarnation, number)

    def _remove(self, name: str, incarnation: int, number: int) -> None:
        """Removes an incarnation. It may be reported again, and keeps its number until a later one comes."""
        del self.present[name]
        self.addresses.pop(number, None)
        for key in [key for key in self.number_at if key[0] == name_hash(name) and key[1] < incarnation]:
            del self.number_at[key]

    def find(self, sender_hash: int, incarnation: int) -> int | None:
        """Returns the number of a sender; None where it is not present."""
        number = self.number_at.get((sender_hash, incarnation))
        return number if number in self.addresses else None


class PeerMessages(asyncio.DatagramProtocol):
    """The datagram socket for messages between gatekeepers.

    Parameters
    ----------
    peers
        The gatekeepers that are present; datagrams of others are dropped.
    incarnation
        Returns the incarnation of this gatekeeper.
    on_message
        Called with the number of the peer and each message of the core.
    """

    def __init__(
        self, peers: Peers, incarnation: Callable[[], int], on_message: Callable[[int, bytes], None]
    ) -> None:
        self.peers, self.incarnation, self.on_message = peers, incarnation, on_message
        self.transport: asyncio.DatagramTransport | None = None
        self.own_hash = name_hash(peers.own_name)
        self.handlers: dict[int, Callable[[bytes, Address], None]] = {}  # by tag, for other datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if data and data[0] != TAG:
            handler = self.handlers.get(data[0])
            if handler is not None:
                handler(data, addr)
            return
        if not HEADER.size < len(data) <= MAX_DATAGRAM:
            return
        _, sender_hash, incarnation = HEADER.unpack_from(data)
        number = self.peers.find(sender_hash, incarnation)
        if number is not None:
            self.on_message(number, data[HEADER.size :])

    def error_received(self, exc: Exception) -> None:
        pass  # a peer that is down refuses datagrams; its messages are sent again later

    def send_to_peer(self, number: int, data: bytes) -> None:
        """Sends a message of the core to a peer; drops the message where the peer is not present."""
        where = self.peers.addresses.get(number)
        if self.transport is not None and where is not None:
            self.transport.sendto(HEADER.pack(TAG, self.own_hash, self.incarnation()) + data, where)

    def send_datagram(self, data: bytes, where: Address) -> None:
        """Sends a complete datagram with another tag."""
        if self.transport is not None:
            self.transport.sendto(data, where)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
