"""The peer_messages (messages between gatekeepers): datagrams with counts, each from one life of one station.

A datagram is a tag, the hash of the sender's station, its life and what the decisions say. The decisions
know peers by number: each life of a station gets one of its own, which is never given again, so that what an
earlier life has told never mixes with what a later one tells.
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
MOST = 256 + HEADER.size


class Peers:
    """Which gatekeepers there are, by number. `membership`: the numbers of the others that are there."""

    def __init__(self, station: str) -> None:
        self.station = station
        self.number_at: dict[tuple[int, int], int] = {}  # hash of a station and life: number
        self.addresses: dict[int, Address] = {}
        self.present: dict[str, tuple[int, int]] = {}  # station: life and number
        self.given = 0

    @property
    def members(self) -> tuple[int, ...]:
        """Numbers of the others that are there."""
        return tuple(sorted(number for _, number in self.present.values()))

    def update(self, gateways: Iterable[GatewayRecord]) -> bool:
        """Takes in records; True where that changes who is there."""
        before = self.members
        for gateway in gateways:
            if gateway.name == self.station:
                continue
            life, number = self.present.get(gateway.name, (-1, 0))
            if gateway.incarnation < life:
                continue
            there = gateway.state not in (GatewayState.LOST, GatewayState.GONE)
            if number and (gateway.incarnation > life or not there):
                self._forget(gateway.name, life, number)
            if there and gateway.name not in self.present:
                self._meet(gateway)
        return self.members != before

    def _meet(self, gateway: GatewayRecord) -> None:
        try:
            where = parse_address(gateway.internal_address)
        except PepperrunError as error:
            log_error(error, station=gateway.name)
            return
        key = name_hash(gateway.name), gateway.incarnation
        number = self.number_at.get(key)
        if number is None:
            self.given += 1
            number = self.number_at[key] = self.given
        self.addresses[number], self.present[gateway.name] = where, (gateway.incarnation, number)

    def _forget(self, station: str, life: int, number: int) -> None:
        """A life that is lost may be heard of again: it keeps its number until a later one comes."""
        del self.present[station]
        self.addresses.pop(number, None)
        for key in [key for key in self.number_at if key[0] == name_hash(station) and key[1] < life]:
            del self.number_at[key]

    def find(self, station: int, life: int) -> int | None:
        """The number of a sender that is there."""
        number = self.number_at.get((station, life))
        return number if number in self.addresses else None


class PeerMessages(asyncio.DatagramProtocol):
    """The socket. `hear(number, data)` is told of each message of a peer that is there."""

    def __init__(self, peers: Peers, life: Callable[[], int], hear: Callable[[int, bytes], None]) -> None:
        self.peers, self.life, self.hear = peers, life, hear
        self.transport: asyncio.DatagramTransport | None = None
        self.own = name_hash(peers.station)
        self.handlers: dict[int, Callable[[bytes, Address], None]] = {}  # takers of datagrams with other tags

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if data and data[0] != TAG:
            other = self.handlers.get(data[0])
            if other is not None:
                other(data, addr)
            return
        if not HEADER.size < len(data) <= MOST:
            return
        _, station, life = HEADER.unpack_from(data)
        number = self.peers.find(station, life)
        if number is not None:
            self.hear(number, data[HEADER.size :])

    def error_received(self, exc: Exception) -> None:
        pass  # one that is down refuses; what is told is told again

    def send_to_peer(self, number: int, data: bytes) -> None:
        """Sends a message to a peer; dropped where it is not there."""
        where = self.peers.addresses.get(number)
        if self.transport is not None and where is not None:
            self.transport.sendto(HEADER.pack(TAG, self.own, self.life()) + data, where)

    def send_datagram(self, data: bytes, where: Address) -> None:
        """Sends a datagram with another tag."""
        if self.transport is not None:
            self.transport.sendto(data, where)

    def close(self) -> None:
        """Ends it."""
        if self.transport is not None:
            self.transport.close()
