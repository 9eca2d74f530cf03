"""A gatekeeper's part in distribution on real links: its state kept up to date, and passed on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pepperrun.control import changes
from pepperrun.control.records import GatewayRecord
from pepperrun.distribution.follower import Follower
from pepperrun.distribution.publisher import Publisher
from pepperrun.distribution.relay import relay
from pepperrun.distribution.tree import FAN_OUT
from pepperrun.foundation.link import OPERATOR, Dialer, Link, listen
from pepperrun.foundation.netstring import Message
from pepperrun.foundation.settings import Address, Settings
from pepperrun.foundation.timer import Timer

BYTES_PER_MBIT = 125_000
RELAY_S = 0.1  # of the own link's time for relaying a change: answers wait behind it, with aims from 0.3 s on
CONNECT_TIMEOUT_S = 0.4  # the first try at a machine that is just coming back is lost
MAX_RETRY_S = 0.2  # between two tries: who is tried was chosen, and is given up within a second


class UplinkUser:
    """Passes on what happens on one link upwards (`foundation.link.User`)."""

    def __init__(self, service: DistributionService, address: Address) -> None:
        self.service = service
        self.address = address

    def opened(self, link: Link, hello: Message) -> None:
        """Handle a link that is up."""
        service = self.service
        link.on_part = lambda: service.follower.partial_message(link, service.clock())
        service.follower.opened(self.address, link, hello, service.clock())
        service.update_links()

    def heard(self, link: Link, message: Message) -> None:
        """Handle a message."""
        self.service.follower.heard(link, message, self.service.clock())
        self.service.update_links()

    def closed(self, link: Link) -> None:
        """Handle the end of the link."""
        self.service.follower.closed(self.address, link, self.service.clock())
        self.service.update_links()


class DownlinkUser:
    """Passes on what happens on links that others opened to this gatekeeper (`foundation.link.User`)."""

    def __init__(self, service: DistributionService, publisher: Publisher) -> None:
        self.service = service
        self.publisher = publisher

    def opened(self, link: Link, hello: Message) -> None:
        """Handle a link that is up."""
        if hello.get("class") != OPERATOR:
            self.publisher.joined(link, hello, self.service.clock())

    def heard(self, link: Link, message: Message) -> None:
        """Handle a message of a gatekeeper below or of an operator's tool."""
        if message["k"] == "show":
            link.send(self.service.shown(self.service.clock()))
            return
        self.publisher.heard(link, message, self.service.clock())

    def closed(self, link: Link) -> None:
        """Handle the end of the link."""
        self.publisher.left(link, self.service.clock())


class DistributionService:
    """Runs on each gatekeeper. Readers use `replicated`; its listeners run on the loop.

    Parameters
    ----------
    incarnation : int
        Of this process.
    row : callable
        Returns this gatekeeper's own record; its `serial` grows with each change of state.

    Attributes
    ----------
    shown : callable
        Returns what an operator is told who asks what is held.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        row: Callable[[], GatewayRecord],
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        me = settings.me
        self.clock = clock
        self.internal_port = settings.internal_port
        relay_budget_bytes = int(me.limits.link_mbps * BYTES_PER_MBIT * RELAY_S / FAN_OUT)
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
            settings.internal_port[1],
            settings.network.zones,
            settings.contacts(),
            row=row,
            apply=changes.apply_at_gateway,
            now=clock(),
        )
        self.replicated = self.follower.replicated
        self.shown: Callable[[int], Message] = lambda now: {"k": "shown", "number": self.replicated.version}
        self._follow_timer = Timer(self._follow, clock)
        self._publish_timer = Timer(self._publish, clock)
        self.publisher = relay(self.follower, self._publish_timer.set, clock, relay_budget_bytes)
        self._dialers: dict[Address, Dialer] = {}
        self._server: asyncio.Server | None = None
        self._closing = False

    def _hello(self) -> Message:
        return self._hello_message

    async def start(self) -> None:
        """Listen for other gatekeepers and keep links.

        Raises
        ------
        OSError
            The internal port is taken.
        """
        user = DownlinkUser(self, self.publisher)
        self._server = await listen(self.internal_port, user, self._hello)
        self.update_links()

    def update_links(self) -> None:
        """Bring the links in line with what is wanted, and the timer."""
        if self._closing:
            return
        wanted = self.follower.wanted()
        if wanted != self._dialers.keys():
            for address in [address for address in self._dialers if address not in wanted]:
                self._dialers.pop(address).close()
            for address in wanted - self._dialers.keys():
                user = UplinkUser(self, address)
                self._dialers[address] = Dialer(address, user, self._hello, CONNECT_TIMEOUT_S, MAX_RETRY_S)
        self._follow_timer.set(self.follower.next_tick_at(self.clock()))

    def _follow(self) -> None:
        self.follower.tick(self.clock())
        self.update_links()

    def _publish(self) -> None:
        self.publisher.tick(self.clock())

    def membership_changed(self) -> None:
        """Choose the parent anew: see `follower.parents.is_present`."""
        self.follower.membership_changed(self.clock())
        self.update_links()

    def set_contacts(self, contacts: list[Address]) -> None:
        """Take over the control nodes of changed settings."""
        self.follower.control_nodes.contacts = contacts

    def send_own_record(self) -> None:
        """Send the own record, which has changed (ready, draining), now and not with the next heartbeat."""
        self.follower.send_own_record(self.clock())

    async def close(self) -> None:
        """End all links."""
        self._closing = True
        self._follow_timer.stop()
        self._publish_timer.stop()
        for dialer in self._dialers.values():
            dialer.close()
        for port in list(self.publisher.peers):
            port.close()
        if self._server is not None:
            self._server.close()
