"""Voter maintenance by the coordinator, coordinator succession, and when a node may stop. No I/O.

Only one node at a time, the coordinator, changes the voters, so that no two nodes do it at once. The
coordinator is part of the agreed value. When it shuts down, it names its successor. When a quorum suspects
that it is down, the next voter in order takes over by proposing itself in a round.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from pepperrun.consensus.peer_liveness import PeerLiveness
from pepperrun.consensus.state import Incarnation, Value
from pepperrun.consensus.timeouts import Timeouts
from pepperrun.consensus.voter_selection import FailureDomain, select_voters, successors


class VoterMaintenance:
    """One node's view of which nodes should vote and which one should be the coordinator.

    Parameters
    ----------
    regions : mapping of str to str
        Region of each zone.
    max_voters : int
        Largest number of voters; odd.

    Attributes
    ----------
    stopping : bool
        This process was asked to stop, at `stop_requested_at`.
    stopping_peers : dict of str to int
        When each node that is shutting down last sent its notice, by ip.
    next_coordinator : str
        Ip of the node that should replace the current coordinator; empty for no change.
    """

    def __init__(
        self,
        own_ip: str,
        liveness: PeerLiveness,
        timeouts: Timeouts,
        regions: Mapping[str, str],
        max_voters: int,
        now: int,
    ) -> None:
        self.own_ip = own_ip
        self.liveness = liveness
        self.timeouts = timeouts
        self.regions = regions
        self.max_voters = max_voters
        self.stopping = False
        self.stop_requested_at = now
        self.stopping_peers: dict[str, int] = {}
        self.next_coordinator = ""

    # Nodes that shut down.

    def request_stop(self, now: int) -> None:
        """Record that this process was asked to stop: its vote and its role should move to other nodes."""
        self.stopping = True
        self.stop_requested_at = now  # voters that answer a read sent later have received the notice

    def record_peer_stopping(self, ip: str, now: int) -> None:
        """Record the notice of a peer that shuts down."""
        self.stopping_peers[ip] = now

    def record_peer_read(self, ip: str, now: int) -> None:
        """Clear the stopping mark of a peer that sent reads but no notice for `Timeouts.liveness_ns`."""
        if now - self.stopping_peers.get(ip, now) > self.timeouts.liveness_ns:
            del self.stopping_peers[ip]

    def record_peer_restart(self, ip: str) -> None:
        """Clear the stopping mark of a peer whose link is new, because its process may have restarted."""
        self.stopping_peers.pop(ip, None)

    def safe_to_stop(
        self, value: Value, *, change_in_flight: bool, confirmed_at: int | None, now: int
    ) -> bool:
        """Whether this node, asked to stop, may exit without leaving a vote or the coordinator role behind.

        Also true if no other node can take over: then this node stays a voter, like a node that is down.

        Parameters
        ----------
        change_in_flight : bool
            This node has accepted a value later than `value`.
        confirmed_at : int or None
            When `value` was last confirmed as the newest.
        """
        candidates = set(self._alive(now)) - set(self.stopping_peers) - {self.own_ip}
        if value.coordinator == self.own_ip and candidates & value.voter_ips:
            return False
        if value.outgoing_voters or change_in_flight:
            return False  # the change may concern the vote of this node
        if self.own_ip in value.voter_ips:
            return not candidates - value.voter_ips
        # A newer value that this node has not received yet may name it as a voter again.
        return not candidates or (confirmed_at is not None and confirmed_at >= self.stop_requested_at)

    # Selection of the voters.

    def plan(self, value: Value, *, is_chosen: bool, known: Value | None, now: int) -> Value:
        """Return `value` with the voters and the coordinator that it should have.

        Parameters
        ----------
        is_chosen : bool
            `value` is known as chosen, so its outgoing voters may be dropped.
        known : Value or None
            The newest value that this node knows as chosen.
        """
        if value.outgoing_voters and is_chosen:
            value = replace(value, outgoing_voters=())
        if self.next_coordinator and known is not None and known.coordinator == value.coordinator:
            value = replace(value, coordinator=self.next_coordinator)
        if value.coordinator != self.own_ip or value.outgoing_voters or self.stopping:
            return value
        voters = self._select(value, now)
        if voters == value.voters:
            return value
        return replace(value, voters=voters, outgoing_voters=value.voters)

    def _select(self, value: Value, now: int) -> tuple[Incarnation, ...]:
        stopping = set(self.stopping_peers)
        alive = {ip: disk_id for ip, disk_id in self._alive(now).items() if ip not in stopping}
        timed_out = {
            voter.ip
            for voter in value.voters
            if self._since_last_message(voter.ip, now) > self.timeouts.voter_ns
        }
        domains = {
            ip: FailureDomain(self.regions.get(zone, ""), zone) for ip, zone in self.liveness.zones.items()
        }
        return select_voters(value, alive, timed_out | stopping, domains, self.max_voters)

    # Succession of the coordinator.

    def review_coordinator(self, value: Value, *, is_voter: bool, now: int) -> None:
        """Set `next_coordinator`, if this node should propose a new coordinator.

        The current coordinator names its successor when it shuts down. Any other candidate names itself once
        the coordinator has timed out and a quorum suspects it.
        """
        self.next_coordinator = ""
        candidates = set(self._alive(now)) - set(self.stopping_peers)
        order = [ip for ip in successors(value, candidates) if ip != value.coordinator]
        if value.coordinator == self.own_ip:
            if self.stopping and order:
                self.next_coordinator = order[0]
            return
        if self.own_ip not in order or self.stopping:
            return
        since_last_message_ns = self._since_last_message(value.coordinator, now)
        # Each further candidate waits two phases longer, so that the first one can finish without rivals.
        wait_ns = self.timeouts.coordinator_ns + order.index(self.own_ip) * self.timeouts.phase_ns * 2
        if since_last_message_ns >= wait_ns and self._quorum_suspects(value, is_voter, now):
            self.next_coordinator = self.own_ip

    def _quorum_suspects(self, value: Value, is_voter: bool, now: int) -> bool:
        within_ns = self.timeouts.liveness_ns
        return self.liveness.quorum_suspects_coordinator(
            value, own_vote=is_voter, now=now, within_ns=within_ns
        )

    def clear_completed_succession(self, value: Value) -> None:
        """Reset `next_coordinator` once it is the coordinator of `value`."""
        if value.coordinator == self.next_coordinator:
            self.next_coordinator = ""

    def has_timed_out(self, ip: str, now: int) -> bool:
        """Whether no message came from `ip` for the time-out of a coordinator."""
        return self._since_last_message(ip, now) >= self.timeouts.coordinator_ns

    def _since_last_message(self, ip: str, now: int) -> int:
        return self.liveness.since_last_message(ip, now)

    def _alive(self, now: int) -> dict[str, str]:
        return self.liveness.alive(now, self.timeouts.liveness_ns)
