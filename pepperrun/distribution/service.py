"""A gatekeeper's part in distribution: its book kept up to date over links, and passed on."""

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

PASS_S = 0.1  # of the own link's time to pass a change on: answers wait behind it, with aims from 0.3 s on
UP_S = 0.4  # for a link to come up: the first try at a machine that is just coming back is lost
AGAIN_S = 0.2  # between two tries: who is tried was chosen, and is given up within a second


class Alarm:
    """One timer of the loop: calls `ring` at the earliest time that was set (steady ns)."""

    def __init__(self, ring: Callable[[], None], clock: Callable[[], int]) -> None:
        self.ring, self.clock, self.due = ring, clock, 0
        self.handle: asyncio.TimerHandle | None = None

    def set(self, due: int) -> None:
        """Rings then, or sooner if that was asked for."""
        if self.due and self.due <= due:
            return
        self.stop()
        self.due = due
        wait = max(0, due - self.clock()) / 1e9
        self.handle = asyncio.get_running_loop().call_later(wait, self._rang)

    def _rang(self) -> None:
        self.due, self.handle = 0, None
        self.ring()

    def stop(self) -> None:
        """Forgets what was set."""
        if self.handle is not None:
            self.handle.cancel()
        self.due, self.handle = 0, None


class _Up:
    """The user of one uplink."""

    def __init__(self, owner: Subscriber, address: Address) -> None:
        self.owner, self.address = owner, address

    def opened(self, link: Link, hello: Message) -> None:
        link.on_part = lambda: self.owner.follower.stirred(link, self.owner.clock())
        self.owner.follower.opened(self.address, link, hello, self.owner.clock())
        self.owner.settle()

    def heard(self, link: Link, message: Message) -> None:
        self.owner.follower.heard(link, message, self.owner.clock())
        self.owner.settle()

    def closed(self, link: Link) -> None:
        self.owner.follower.closed(self.address, link, self.owner.clock())
        self.owner.settle()


class _Down:
    """The user of links that others opened to here."""

    def __init__(self, owner: Subscriber, publisher: Publisher) -> None:
        self.owner, self.publisher = owner, publisher

    def opened(self, link: Link, hello: Message) -> None:
        if hello.get("class") != OPERATOR:
            self.publisher.joined(link, hello, self.owner.clock())

    def heard(self, link: Link, message: Message) -> None:
        if message["k"] == "show":
            link.send(self.owner.shown(self.owner.clock()))
            return
        self.publisher.heard(link, message, self.owner.clock())

    def closed(self, link: Link) -> None:
        self.publisher.left(link, self.owner.clock())


class Subscriber:
    """Runs on each gatekeeper. Readers use `book` (its callbacks run on the loop).

    `row` gives this gatekeeper's own record as it is now; its `serial` grows with each change of state.
    `shown(now)`: what an operator is told who asks what is held.
    """

    def __init__(
        self,
        settings: Settings,
        life: int,
        row: Callable[[], GatewayRecord],
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        me, self.clock = settings.me, clock
        self.internal_port = settings.internal_port
        self.hello_message: Message = {"station": me.station, "ip": me.ip, "zone": me.zone}
        room = int(me.limits.link_mbps * 125_000 * PASS_S / FAN_OUT)
        self.hello_message |= {"class": "counter", "life": life, "room": room}
        own = (me.station, me.zone, settings.internal_port)
        now, apply = self.clock(), changes.apply_at_gateway
        self.follower = Follower(own, settings.network.zones, settings.contacts(), row, apply, now)
        self.book = self.follower.book
        self.alarm = Alarm(self._turn, clock)
        self.push = Alarm(self._push, clock)
        self.publisher = relay(self.follower, self.push.set, clock, room)
        self.dialers: dict[Address, Dialer] = {}
        self.server: asyncio.Server | None = None
        self.closing = False
        self.shown: Callable[[int], Message] = lambda now: {"k": "shown", "number": self.book.number}

    def _hello(self) -> Message:
        return self.hello_message

    async def start(self) -> None:
        """Listens for other gatekeepers at the siding's TCP port and keeps links. OSError: it is taken."""
        self.server = await listen(self.internal_port, _Down(self, self.publisher), self._hello)
        self.settle()

    def settle(self) -> None:
        """Brings the links in line with what is wanted, and the timer."""
        if self.closing:
            return
        wanted = self.follower.wanted()
        if wanted != self.dialers.keys():
            for address in [one for one in self.dialers if one not in wanted]:
                self.dialers.pop(address).close()
            for address in wanted - self.dialers.keys():
                self.dialers[address] = Dialer(address, _Up(self, address), self._hello, UP_S, AGAIN_S)
        self.alarm.set(self.follower.due(self.clock()))

    def _turn(self) -> None:
        self.follower.turn(self.clock())
        self.settle()

    def _push(self) -> None:
        self.publisher.turn(self.clock())

    def moved(self) -> None:
        """Who of the other gatekeepers is thought to be there changed: see `follower.parents.standing`."""
        self.follower.moved(self.clock())
        self.settle()

    def contacts(self, contacts: list[Address]) -> None:
        """The settings name other core machines to ask first."""
        self.follower.cores.contacts = contacts

    def tell(self) -> None:
        """The own row has changed (ready, leaving): said to the core now, not at the next tick."""
        self.follower.tell(self.clock())

    async def close(self) -> None:
        """Ends all links."""
        self.closing = True
        self.alarm.stop()
        self.push.stop()
        for dialer in self.dialers.values():
            dialer.close()
        for port in list(self.publisher.peers):
            port.close()
        if self.server is not None:
            self.server.close()
