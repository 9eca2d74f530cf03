"""Links among core machines: one address is learnt from another, each pair keeps one link.

Whoever knows another dials it where no link is up. Both may at once; the link that the lower ip dialled
stays.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from pepperrun.foundation.link import Dialer, Link, User
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

CORE = "sorting"
FORGET = 60 * 1_000_000_000  # who was only learnt from others and has not been linked for so long


class Told(Protocol):
    """Who is told of core machines that come and go, by ip."""

    def peer_up(self, ip: str, zone: str) -> None: ...

    def peer_down(self, ip: str) -> None: ...


class Mesh:
    """The links of one machine to all other core machines."""

    def __init__(
        self,
        me: str,
        port: int,
        user: User,
        told: Told,
        hello: Callable[[], Message],
        dial: Callable[[Address, User, Callable[[], Message]], Any] = Dialer,
    ) -> None:
        self.me, self.port, self.user, self.told, self.hello, self.dial = me, port, user, told, hello, dial
        self.dialers: dict[str, Any] = {}
        self.links: dict[str, list[Link]] = {}
        self.zones: dict[str, str] = {}  # of linked ones
        self.met: dict[str, int] = {}  # known ones, and when they were last linked or learnt
        self.wanted: set[str] = set()  # these are never forgotten: first contacts and voters

    def want(self, ips: Iterable[str], now: int) -> None:
        """These are to be linked for as long as they are named so."""
        self.wanted = {ip for ip in ips if ip != self.me}
        for ip in self.wanted:
            self.met[ip] = now
        self.turn(now)

    def learn(self, ips: Iterable[str], now: int) -> None:
        """Others told of these."""
        for ip in ips:
            if ip != self.me:
                self.met.setdefault(ip, now)
        self.turn(now)

    def opened(self, link: Link, hello: Message, now: int) -> None:
        """A core machine has said hello."""
        ip, zone = str(hello["ip"]), str(hello["zone"])
        if ip == self.me:
            link.close()
            return
        links = self.links.setdefault(ip, [])
        links.append(link)
        self.met[ip] = now
        if len(links) == 1:
            self.zones[ip] = zone
            self.told.peer_up(ip, zone)
        self.learn([one[0] for one in hello.get("cores", ())], now)

    def closed(self, link: Link, now: int) -> None:
        """A link has ended."""
        ip = self.ip_of(link)
        if ip is None:
            return
        links = self.links[ip]
        links.remove(link)
        if not links:
            del self.links[ip], self.zones[ip]
            self.met[ip] = now
            self.told.peer_down(ip)
        self.turn(now)

    def ip_of(self, link: Link) -> str | None:
        """Whose link that is."""
        return next((ip for ip, links in self.links.items() if link in links), None)

    def turn(self, now: int, tidy: bool = False) -> None:
        """Dials who is known and not linked. To `tidy`: gives up second links, and who has long been away."""
        for ip in list(self.met):
            dialer, links = self.dialers.get(ip), self.links.get(ip, [])
            if tidy and ip not in self.wanted and not links and now - self.met[ip] > FORGET:
                del self.met[ip]
                if dialer is not None:
                    self.dialers.pop(ip).close()
            elif dialer is None and not links:
                self.dialers[ip] = self.dial((ip, self.port), self.user, self.hello)
            elif (
                tidy and dialer is not None and self.me > ip and any(one is not dialer.link for one in links)
            ):
                self.dialers.pop(ip).close()  # the lower one's link is up, on both sides by now

    def send(self, ip: str, message: Message) -> None:
        """To one that is linked; else it is lost."""
        self.write(ip, encode(message))

    def write(self, ip: str, frame: bytes) -> None:
        """As `send`, encoded already."""
        links = self.links.get(ip)
        if links:
            links[0].write(frame)

    def cores(self) -> list[list[str]]:
        """[ip, zone] of those that are linked."""
        return [[ip, zone] for ip, zone in self.zones.items()]

    def close(self) -> None:
        """Ends all links."""
        for dialer in self.dialers.values():
            dialer.close()
        self.dialers = {}
        for links in list(self.links.values()):
            for link in list(links):
                link.close()
