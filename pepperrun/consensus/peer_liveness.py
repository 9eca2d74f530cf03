"""Failure detector of one node: which control nodes are alive, and whether a quorum suspects the coordinator.

No I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from pepperrun.consensus.state import Incarnation, Value


class Suspicion(NamedTuple):
    """A voter's report, received `at`, that it has received nothing from `coordinator` for its time-out."""

    disk_id: str
    coordinator: str
    at: int


class PeerLiveness:
    """Connections to the other control nodes and the times of their last messages, each by ip.

    Attributes
    ----------
    observing_since : int
        Start of the observation: a node without any message counts as received from at this time.
    zones : dict of str to str
        Zone of this node and of every node that was ever connected.
    links : set of str
        Ips of the connected nodes.
    received_at : dict of str to int
        When the last message was received.
    answered_at : dict of str to int
        When the latest request was sent that the node has answered.
    disk_ids : dict of str to str
        The disk id that the node reported last.
    suspicions : dict of str to Suspicion
        The last suspicion that each voter reported.
    """

    def __init__(self, own_ip: str, own_disk_id: str, zone: str, now: int) -> None:
        self.own_ip = own_ip
        self.own_disk_id = own_disk_id
        self.observing_since = now
        self.zones = {own_ip: zone}
        self.links: set[str] = set()
        self.received_at: dict[str, int] = {}
        self.answered_at: dict[str, int] = {}
        self.disk_ids: dict[str, str] = {}
        self.suspicions: dict[str, Suspicion] = {}

    def connected(self, ip: str, zone: str, now: int) -> None:
        """Record that a link is up, and discard the disk id and the answers from the link before."""
        self.links.add(ip)
        self.zones[ip] = zone
        self.received_at[ip] = now
        # The peer may have sent its hello before any message of this node reached it.
        self.answered_at.pop(ip, None)
        # The peer may have another disk than on the link before.
        self.disk_ids.pop(ip, None)

    def disconnected(self, ip: str) -> None:
        """Record that the link is lost. The time of the last message is kept."""
        self.links.discard(ip)

    def record_message(self, ip: str, disk_id: str | None, now: int) -> None:
        """Record a message, and the disk id that it carried, if any."""
        self.received_at[ip] = now
        if disk_id is not None:
            self.disk_ids[ip] = disk_id

    def record_answer(self, ip: str, asked_at: int) -> None:
        """Record a reply to a request sent at `asked_at`: since then messages passed in both directions."""
        self.answered_at[ip] = max(asked_at, self.answered_at.get(ip, asked_at))

    def resumed(self, now: int) -> None:
        """Restart all time-outs after this process was suspended, when it could not receive messages."""
        self.observing_since = now
        self.suspicions.clear()
        for ip in self.links:
            self.received_at[ip] = now
            if ip in self.answered_at:
                self.answered_at[ip] = now

    def since_last_message(self, ip: str, now: int) -> int:
        """Nanoseconds since the last message from `ip`; 0 for this node itself."""
        if ip == self.own_ip:
            return 0
        return now - max(self.received_at.get(ip, self.observing_since), self.observing_since)

    def alive(self, now: int, within_ns: int) -> dict[str, str]:
        """Disk ids by ip, empty if unknown, of connected nodes with a message within the last `within_ns`."""
        alive = {
            ip: self.disk_ids.get(ip, "")
            for ip in self.links
            if self.since_last_message(ip, now) <= within_ns
        }
        alive[self.own_ip] = self.own_disk_id
        return alive

    def reachable(self, now: int, within_ns: int) -> dict[str, str]:
        """Return nodes of `alive` that answered a request sent within `within_ns`: both directions work."""
        return {
            ip: disk_id
            for ip, disk_id in self.alive(now, within_ns).items()
            if ip == self.own_ip or self._answered_within(ip, now, within_ns)
        }

    def _answered_within(self, ip: str, now: int, within_ns: int) -> bool:
        return ip in self.answered_at and now - self.answered_at[ip] <= within_ns

    def quorum_suspects_coordinator(self, value: Value, *, own_vote: bool, now: int, within_ns: int) -> bool:
        """Whether a quorum of the voters of `value` reported its coordinator as suspected within `within_ns`.

        `own_vote` says whether this node counts as a suspecting voter too.
        """
        suspecting = [
            Incarnation(ip, suspicion.disk_id)
            for ip, suspicion in self.suspicions.items()
            if suspicion.coordinator == value.coordinator and now - suspicion.at <= within_ns
        ]
        if own_vote:
            suspecting.append(Incarnation(self.own_ip, self.own_disk_id))
        return value.has_quorum(suspecting)
