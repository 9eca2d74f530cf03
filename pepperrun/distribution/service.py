"""Distribution on a gateway, on real links: keeps the replicated state up to date and relays it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pepperrun.control import changes
from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.follower import Follower
from pepperrun.distribution.publisher import Publisher
from pepperrun.distribution.relay import create_relay
from pepperrun.distribution.tree import FAN_OUT
from pepperrun.foundation.link import OPERATOR_CLASS, Dialer, Link, listen
from pepperrun.foundation.netstring import Message
from pepperrun.foundation.settings import Address, Settings
from pepperrun.foundation.timer import Timer

BYTES_PER_MBIT = 125_000
# Time on the own link for relaying one change to all children. Answers to clients wait behind it, with
# latency targets from 0.3 s on.
RELAY_BUDGET_S = 0.1
CONNECT_TIMEOUT_S = 0.4  # the first attempt at a machine that is just coming back is lost
MAX_RETRY_S = 0.2  # between two attempts: the follower abandons an unreachable peer within a second


class UplinkHandler:
    """Passes the events of one uplink to the follower (`foundation.link.LinkHandler`)."""

    def __init__(self, service: DistributionService, address: Address) -> None:
        self.service = service
        self.address = address

    def opened(self, link: Link, hello: Message) -> None:
        """Handle a link that is up."""
        service = self.service
        link.on_partial_message = lambda: service.follower.partial_message(link, service.clock())
        service.follower.opened(self.address, link, hello, service.clock())
        service.update_links()

    def received(self, link: Link, message: Message) -> None:
        """Handle a message."""
        self.service.follower.received(link, message, self.service.clock())
        self.service.update_links()

    def closed(self, link: Link) -> None:
        """Handle the end of the link."""
        self.service.follower.closed(self.address, link, self.service.clock())
        self.service.update_links()


class DownlinkHandler:
    """Passes the events of links from other gateways to the publisher (`foundation.link.LinkHandler`)."""

    def __init__(self, service: DistributionService, publisher: Publisher) -> None:
        self.service = service
        self.publisher = publisher

    def opened(self, link: Link, hello: Message) -> None:
        """Handle a link that is up."""
        if hello.get("class") != OPERATOR_CLASS:
            self.publisher.opened(link, hello, self.service.clock())

    def received(self, link: Link, message: Message) -> None:
        """Handle a message of a child gateway or of an operator's tool."""
        if message["k"] == "show":
            link.send(self.service.inspect(self.service.clock()))
            return
        self.publisher.received(link, message, self.service.clock())

    def closed(self, link: Link) -> None:
        """Handle the end of the link."""
        self.publisher.closed(link, self.service.clock())


class DistributionService:
    """Runs distribution on a gateway. Readers use `replicated`, whose listeners run on the event loop.

    Parameters
    ----------
    incarnation : int
        Incarnation of this process.
    own_record : callable
        Returns the record of this gateway; its `serial` grows with each change of state.

    Attributes
    ----------
    inspect : callable
        Returns the answer to an operator's tool that asks for the state of this process.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        own_record: Callable[[], GatewayRecord],
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        me = settings.me
        self.clock = clock
        self.internal_address = settings.internal_address
        relay_budget_bytes = int(me.limits.link_mbps * BYTES_PER_MBIT * RELAY_BUDGET_S / FAN_OUT)
        self._hello_message: Message = {
            "station": me.station,
            "ip": me.ip,
            "zone": me.zone,
            "class": "counter",
            "life": incarnation,
            "room": relay_budget_bytes,
        }
        self.follower = Follower(
            me.station,
            me.zone,
            settings.internal_address[1],
            settings.network.zones,
            settings.contacts(),
            own_record=own_record,
            apply=changes.apply_at_gateway,
            now=clock(),
        )
        self.replicated = self.follower.replicated
        self.inspect: Callable[[int], Message] = lambda now: {"k": "shown", "number": self.replicated.version}
        self._follower_timer = Timer(self._tick_follower, clock)
        self._publisher_timer = Timer(self._tick_publisher, clock)
        self.publisher = create_relay(self.follower, self._publisher_timer.set, clock, relay_budget_bytes)
        self._dialers: dict[Address, Dialer] = {}
        self._server: asyncio.Server | None = None
        self._closing = False

    def _hello(self) -> Message:
        return self._hello_message

    async def start(self) -> None:
        """Listen for other gateways and open the uplinks.

        Raises
        ------
        OSError
            The internal port is taken.
        """
        handler = DownlinkHandler(self, self.publisher)
        self._server = await listen(self.internal_address, handler, self._hello)
        self.update_links()

    def update_links(self) -> None:
        """Open and close links to match `Follower.wanted`, and set the timer."""
        if self._closing:
            return
        wanted = self.follower.wanted()
        if wanted != self._dialers.keys():
            for address in [address for address in self._dialers if address not in wanted]:
                self._dialers.pop(address).close()
            for address in wanted - self._dialers.keys():
                handler = UplinkHandler(self, address)
                self._dialers[address] = Dialer(address, handler, self._hello, CONNECT_TIMEOUT_S, MAX_RETRY_S)
        self._follower_timer.set(self.follower.next_tick_at(self.clock()))

    def _tick_follower(self) -> None:
        self.follower.tick(self.clock())
        self.update_links()

    def _tick_publisher(self) -> None:
        self.publisher.tick(self.clock())

    def membership_changed(self) -> None:
        """Choose the parent again after a change of membership (`ParentSelection.is_present`)."""
        self.follower.membership_changed(self.clock())
        self.update_links()

    def set_contacts(self, contacts: list[Address]) -> None:
        """Use the first contacts of changed settings."""
        self.follower.control_node_selection.contacts = contacts

    def send_own_record(self) -> None:
        """Send the own record, which has changed (ready, draining), before the next heartbeat is due."""
        self.follower.send_own_record(self.clock())

    async def close(self) -> None:
        """Close all links and stop listening."""
        self._closing = True
        self._follower_timer.stop()
        self._publisher_timer.stop()
        for dialer in self._dialers.values():
            dialer.close()
        for connection in list(self.publisher.peers):
            connection.close()
        if self._server is not None:
            self._server.close()
