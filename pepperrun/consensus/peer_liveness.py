"""Which control nodes are alive as one node sees it, and which coordinator a quorum suspects. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from pepperrun.consensus.state import Incarnation, Value


class Suspicion(NamedTuple):
    """A voter's report, received `at`, that nothing came from `coordinator` for long."""

    disk_id: str
    coordinator: str
    at: int


class PeerLiveness:
    """Connections to the other control nodes and the times of their last messages.

    Attributes
    ----------
    zones : dict of str to str
        Zone by ip, of this node and of all that were ever connected.
    links : set of str
        Ips of the nodes that are connected.
    received_at : dict of str to int
        When something was received last.
    answered_at : dict of str to int
        When the last question was sent that the node has answered.
    disk_ids : dict of str to str
        As the nodes themselves gave them last.
    suspicions : dict of str to Suspicion
        The last report of each voter, by its ip.
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
        """Record that a link is up. What was known of the disk and of answers is void."""
        self.links.add(ip)
        self.zones[ip] = zone
        self.received_at[ip] = now
        # Its hello may have been sent before anything of this node got there.
        self.answered_at.pop(ip, None)
        # Its disk may be another than on the link before.
        self.disk_ids.pop(ip, None)

    def disconnected(self, ip: str) -> None:
        """Record that the link is gone; the time of the last message still counts."""
        self.links.discard(ip)

    def record_message(self, ip: str, disk_id: str | None, now: int) -> None:
        """Record a message, and the disk id that it carried, if any."""
        self.received_at[ip] = now
        if disk_id is not None:
            self.disk_ids[ip] = disk_id

    def record_answer(self, ip: str, asked_at: int) -> None:
        """Record an answer to a question sent at `asked_at`: messages passed both ways since."""
        self.answered_at[ip] = max(asked_at, self.answered_at.get(ip, asked_at))

    def resumed(self, now: int) -> None:
        """Forgive all peers a time in which this process itself was suspended."""
        self.observing_since = now
        self.suspicions.clear()
        for ip in self.links:
            self.received_at[ip] = now
            if ip in self.answered_at:
                self.answered_at[ip] = now

    def since_last_message(self, ip: str, now: int) -> int:
        """Nanoseconds without a message from `ip`; 0 for this node itself."""
        if ip == self.own_ip:
            return 0
        return now - max(self.received_at.get(ip, self.observing_since), self.observing_since)

    def alive(self, now: int, within_ns: int) -> dict[str, str]:
        """Disk ids (empty while not known) by ip of the connected nodes with a message within `within_ns`."""
        alive = {
            ip: self.disk_ids.get(ip, "")
            for ip in self.links
            if self.since_last_message(ip, now) <= within_ns
        }
        alive[self.own_ip] = self.own_disk_id
        return alive

    def reachable(self, now: int, within_ns: int) -> dict[str, str]:
        """Those of `alive` that answered a question within `within_ns`: messages pass both ways."""
        return {
            ip: disk_id
            for ip, disk_id in self.alive(now, within_ns).items()
            if ip == self.own_ip or self._answered_within(ip, now, within_ns)
        }

    def _answered_within(self, ip: str, now: int, within_ns: int) -> bool:
        return ip in self.answered_at and now - self.answered_at[ip] <= within_ns

    def quorum_suspects_coordinator(self, value: Value, *, own_vote: bool, now: int, within_ns: int) -> bool:
        """Whether a quorum of `value` reported its coordinator silent within `within_ns`.

        `own_vote` says whether this node suspects it too, as a voter.
        """
        suspecting = [
            Incarnation(ip, suspicion.disk_id)
            for ip, suspicion in self.suspicions.items()
            if suspicion.coordinator == value.coordinator and now - suspicion.at <= within_ns
        ]
        if own_vote:
            suspecting.append(Incarnation(self.own_ip, self.own_disk_id))
        return value.has_quorum(suspecting)
