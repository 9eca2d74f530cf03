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
from pepperrun.dataplane.numbering import number_of
from pepperrun.foundation.errors import PepperrunError
from pepperrun.foundation.logs import trouble
from pepperrun.foundation.settings import Address, address

TAG = 0xB2
HEAD = struct.Struct("<BIQ")
MOST = 256 + HEAD.size


class Peers:
    """Which gatekeepers there are, by number. `membership`: the numbers of the others that are there."""

    def __init__(self, station: str) -> None:
        self.station = station
        self.number_at: dict[tuple[int, int], int] = {}  # hash of a station and life: number
        self.where: dict[int, Address] = {}
        self.lives: dict[str, tuple[int, int]] = {}  # station: life and number
        self.given = 0

    @property
    def members(self) -> tuple[int, ...]:
        """Numbers of the others that are there."""
        return tuple(sorted(number for _, number in self.lives.values()))

    def take(self, gateways: Iterable[GatewayRecord]) -> bool:
        """Takes in records; True where that changes who is there."""
        before = self.members
        for gateway in gateways:
            if gateway.name == self.station:
                continue
            life, number = self.lives.get(gateway.name, (-1, 0))
            if gateway.incarnation < life:
                continue
            there = gateway.state not in (GatewayState.LOST, GatewayState.GONE)
            if number and (gateway.incarnation > life or not there):
                self._forget(gateway.name, life, number)
            if there and gateway.name not in self.lives:
                self._meet(gateway)
        return self.members != before

    def _meet(self, gateway: GatewayRecord) -> None:
        try:
            where = address(gateway.internal_address)
        except PepperrunError as error:
            trouble(error, station=gateway.name)
            return
        key = number_of(gateway.name), gateway.incarnation
        number = self.number_at.get(key)
        if number is None:
            self.given += 1
            number = self.number_at[key] = self.given
        self.where[number], self.lives[gateway.name] = where, (gateway.incarnation, number)

    def _forget(self, station: str, life: int, number: int) -> None:
        """A life that is lost may be heard of again: it keeps its number until a later one comes."""
        del self.lives[station]
        self.where.pop(number, None)
        for key in [key for key in self.number_at if key[0] == number_of(station) and key[1] < life]:
            del self.number_at[key]

    def of(self, station: int, life: int) -> int | None:
        """The number of a sender that is there."""
        number = self.number_at.get((station, life))
        return number if number in self.where else None


class PeerMessages(asyncio.DatagramProtocol):
    """The socket. `hear(number, data)` is told of each message of a peer that is there."""

    def __init__(self, peers: Peers, life: Callable[[], int], hear: Callable[[int, bytes], None]) -> None:
        self.peers, self.life, self.hear = peers, life, hear
        self.transport: asyncio.DatagramTransport | None = None
        self.own = number_of(peers.station)
        self.others: dict[int, Callable[[bytes, Address], None]] = {}  # takers of datagrams with other tags

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if data and data[0] != TAG:
            other = self.others.get(data[0])
            if other is not None:
                other(data, addr)
            return
        if not HEAD.size < len(data) <= MOST:
            return
        _, station, life = HEAD.unpack_from(data)
        number = self.peers.of(station, life)
        if number is not None:
            self.hear(number, data[HEAD.size :])

    def error_received(self, exc: Exception) -> None:
        pass  # one that is down refuses; what is told is told again

    def tell(self, number: int, data: bytes) -> None:
        """Sends a message to a peer; dropped where it is not there."""
        where = self.peers.where.get(number)
        if self.transport is not None and where is not None:
            self.transport.sendto(HEAD.pack(TAG, self.own, self.life()) + data, where)

    def send(self, data: bytes, where: Address) -> None:
        """Sends a datagram with another tag."""
        if self.transport is not None:
            self.transport.sendto(data, where)

    def close(self) -> None:
        """Ends it."""
        if self.transport is not None:
            self.transport.close()
