"""Links among control nodes: one address is learnt from another, each pair keeps one link.

Whoever knows another dials it where no link is up. Both may at once; the link that the lower ip dialled
stays.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from pepperrun.foundation.link import Dialer, Link, LinkHandler
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

CONTROL_CLASS = "sorting"  # the machine class of a hello, in the words of the wire
FORGET_NS = 60 * 1_000_000_000  # who was only learnt from others and has not been linked for so long


class PeerListener(Protocol):
    """Who handles control nodes that come and go, by ip."""

    def peer_up(self, ip: str, zone: str) -> None:
        """Handle the first link to a node."""

    def peer_down(self, ip: str) -> None:
        """Handle the loss of the last one."""

    def link_lost(self, ip: str) -> None:
        """Handle the loss of one of several links, with what was under way on it."""


class PeerLinks:
    """The links of one control node to all others.

    Parameters
    ----------
    port : int
        Internal port, the same on all machines.
    user : LinkHandler
        Gets the messages of the links.
    listener : PeerListener
        Gets the nodes that come and go.

    Attributes
    ----------
    wanted : set of str
        Ips that are never forgotten: first contacts and voters.
    """

    def __init__(
        self,
        own_ip: str,
        port: int,
        user: LinkHandler,
        listener: PeerListener,
        hello: Callable[[], Message],
        dial: Callable[[Address, LinkHandler, Callable[[], Message]], Any] = Dialer,
    ) -> None:
        self.own_ip = own_ip
        self.port = port
        self.user = user
        self.listener = listener
        self.hello = hello
        self.dial = dial
        self.wanted: set[str] = set()
        self._dialers: dict[str, Any] = {}
        self._links: dict[str, list[Link]] = {}
        self._zones: dict[str, str] = {}  # of linked nodes
        self._known_since: dict[str, int] = {}  # when known nodes were last linked or learnt

    def set_wanted(self, ips: Iterable[str], now: int) -> None:
        """Keep links to these for as long as they are named so."""
        self.wanted = {ip for ip in ips if ip != self.own_ip}
        for ip in self.wanted:
            self._known_since[ip] = now
        self.maintain(now)

    def add_known(self, ips: Iterable[str], now: int) -> None:
        """Link to nodes of which another told."""
        for ip in ips:
            if ip != self.own_ip:
                self._known_since.setdefault(ip, now)
        self.maintain(now)

    def opened(self, link: Link, hello: Message, now: int) -> None:
        """Handle a link on which a control node has said hello."""
        ip = str(hello["ip"])
        if ip == self.own_ip:
            link.close()
            return
        links = self._links.setdefault(ip, [])
        links.append(link)
        self._known_since[ip] = now
        if len(links) == 1:
            self._zones[ip] = str(hello["zone"])
            self.listener.peer_up(ip, self._zones[ip])
        self.add_known([row[0] for row in hello.get("cores", ())], now)

    def closed(self, link: Link, now: int) -> None:
        """Handle the end of a link."""
        ip = self.ip_of(link)
        if ip is None:
            return
        links = self._links[ip]
        links.remove(link)
        if links:
            self.listener.link_lost(ip)
        else:
            del self._links[ip]
            del self._zones[ip]
            self._known_since[ip] = now
            self.listener.peer_down(ip)
        self.maintain(now)

    def ip_of(self, link: Link) -> str | None:
        """Return the ip of the node at the other end; None for a link of somebody else."""
        return next((ip for ip, links in self._links.items() if link in links), None)

    def maintain(self, now: int, *, prune: bool = False) -> None:
        """Dial who is known and not linked.

        Parameters
        ----------
        prune : bool
            Also give up second links, and nodes that have long been away.
        """
        for ip in list(self._known_since):
            if prune and self._should_forget(ip, now):
                self._forget(ip)
            elif ip not in self._dialers and not self._links.get(ip):
                self._dialers[ip] = self.dial((ip, self.port), self.user, self.hello)
            elif prune and self._dialled_in_vain(ip):
                self._dialers.pop(ip).close()

    def _should_forget(self, ip: str, now: int) -> bool:
        is_needed = ip in self.wanted or bool(self._links.get(ip))
        return not is_needed and now - self._known_since[ip] > FORGET_NS

    def _forget(self, ip: str) -> None:
        del self._known_since[ip]
        if ip in self._dialers:
            self._dialers.pop(ip).close()

    def _dialled_in_vain(self, ip: str) -> bool:
        """Whether the link that the other, lower ip dialled is up: on both sides by now."""
        dialer = self._dialers.get(ip)
        if dialer is None or self.own_ip < ip:
            return False
        return any(link is not dialer.link for link in self._links.get(ip, []))

    def send(self, ip: str, message: Message) -> None:
        """Send to a node that is linked; else the message is lost."""
        self.write(ip, encode(message))

    def write(self, ip: str, frame: bytes) -> None:
        """As `send`, of a message that is encoded already."""
        links = self._links.get(ip)
        if links:
            links[0].write(frame)

    def linked_nodes(self) -> list[list[str]]:
        """Return [ip, zone] of the nodes that are linked."""
        return [[ip, zone] for ip, zone in self._zones.items()]

    def close(self) -> None:
        """End all links."""
        for dialer in self._dialers.values():
            dialer.close()
        self._dialers = {}
        for links in list(self._links.values()):
            for link in list(links):
                link.close()
