"""Links between control nodes: nodes learn addresses from each other, and each pair keeps one link.

A node dials every known node without a link. If both nodes of a pair dial at the same time, the link dialled
by the lower ip stays.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from pepperrun.foundation.link import Dialer, Link, LinkHandler
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

CONTROL_CLASS = "sorting"  # the machine class of control nodes in a hello message
FORGET_NS = 60 * 1_000_000_000  # an unneeded node that was not linked for so long is forgotten


class PeerListener(Protocol):
    """Gets notified when links to control nodes come and go; nodes are identified by ip."""

    def peer_up(self, ip: str, zone: str) -> None:
        """Handle the first link to a node."""

    def peer_down(self, ip: str) -> None:
        """Handle the loss of the last link to a node."""

    def link_lost(self, ip: str) -> None:
        """Handle the loss of one of several links, and of the messages in flight on it."""


class PeerLinks:
    """The links of one control node to all others.

    Parameters
    ----------
    port : int
        Internal port, the same on all machines.
    handler : LinkHandler
        Receives the messages of the links.
    listener : PeerListener
        Gets notified of nodes that come and go.

    Attributes
    ----------
    wanted : set of str
        Ips that are never forgotten: the first contacts of the settings, and the voters.
    """

    def __init__(
        self,
        own_ip: str,
        port: int,
        handler: LinkHandler,
        listener: PeerListener,
        hello: Callable[[], Message],
        dial: Callable[[Address, LinkHandler, Callable[[], Message]], Any] = Dialer,
    ) -> None:
        self.own_ip = own_ip
        self.port = port
        self.handler = handler
        self.listener = listener
        self.hello = hello
        self.dial = dial
        self.wanted: set[str] = set()
        self._dialers: dict[str, Any] = {}
        self._links: dict[str, list[Link]] = {}
        self._zones: dict[str, str] = {}  # zones of linked nodes, by ip
        self._known_since: dict[str, int] = {}  # when known nodes were last linked, or learned

    def set_wanted(self, ips: Iterable[str], now: int) -> None:
        """Keep links to these nodes until the next call."""
        self.wanted = {ip for ip in ips if ip != self.own_ip}
        for ip in self.wanted:
            self._known_since[ip] = now
        self.maintain(now)

    def add_known(self, ips: Iterable[str], now: int) -> None:
        """Add nodes that another node is linked with, and dial them."""
        for ip in ips:
            if ip != self.own_ip:
                self._known_since.setdefault(ip, now)
        self.maintain(now)

    def opened(self, link: Link, hello: Message, now: int) -> None:
        """Handle a new link after the hello message of a control node."""
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
        """Return the ip of the control node at the other end; None for a link of another class."""
        return next((ip for ip, links in self._links.items() if link in links), None)

    def maintain(self, now: int, *, prune: bool = False) -> None:
        """Dial the known nodes without a link.

        Parameters
        ----------
        prune : bool
            Also close redundant dialers, and forget unneeded nodes that were not linked for `FORGET_NS`.
        """
        for ip in list(self._known_since):
            if prune and self._should_forget(ip, now):
                self._forget(ip)
            elif ip not in self._dialers and not self._links.get(ip):
                self._dialers[ip] = self.dial((ip, self.port), self.handler, self.hello)
            elif prune and self._is_redundant_dialer(ip):
                self._dialers.pop(ip).close()

    def _should_forget(self, ip: str, now: int) -> bool:
        is_needed = ip in self.wanted or bool(self._links.get(ip))
        return not is_needed and now - self._known_since[ip] > FORGET_NS

    def _forget(self, ip: str) -> None:
        del self._known_since[ip]
        if ip in self._dialers:
            self._dialers.pop(ip).close()

    def _is_redundant_dialer(self, ip: str) -> bool:
        """Return whether the other node has the lower ip, and its link is up (on both sides by now)."""
        dialer = self._dialers.get(ip)
        if dialer is None or self.own_ip < ip:
            return False
        return any(link is not dialer.link for link in self._links.get(ip, []))

    def send(self, ip: str, message: Message) -> None:
        """Send a message to a linked node; drop it if there is no link."""
        self.write(ip, encode(message))

    def write(self, ip: str, frame: bytes) -> None:
        """Send an encoded message as `send` does."""
        links = self._links.get(ip)
        if links:
            links[0].write(frame)

    def linked_nodes(self) -> list[list[str]]:
        """Return [ip, zone] of the linked nodes."""
        return [[ip, zone] for ip, zone in self._zones.items()]

    def close(self) -> None:
        """Close all links."""
        for dialer in self._dialers.values():
            dialer.close()
        self._dialers = {}
        for links in list(self._links.values()):
            for link in list(links):
                link.close()
