"""Upkeep of the voters by their coordinator, its succession, and when a node may stop. No I/O.

One node at a time, the coordinator, changes the voters, so that no two do it at once. It is part of the value
that is agreed on. When it stops it names its successor; where a quorum suspects it of being down, the next
voter in order takes over by a round.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from pepperrun.consensus.peer_liveness import PeerLiveness
from pepperrun.consensus.state import Incarnation, Value
from pepperrun.consensus.timeouts import Timeouts
from pepperrun.consensus.voter_selection import FailureDomain, select_voters, successors


class VoterMaintenance:
    """What one node holds of who should vote and who should coordinate.

    Parameters
    ----------
    regions : mapping of str to str
        Region of each zone.
    max_voters : int
        Odd.

    Attributes
    ----------
    stopping : bool
        This process was told to stop, at `stop_requested_at`.
    stopping_peers : dict of str to int
        When nodes that stop said so last, by ip.
    next_coordinator : str
        Who should be the coordinator instead of the present one; empty for no change.
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

    # Who stops.

    def request_stop(self, now: int) -> None:
        """Note that this process was told to stop; its vote and its role should go to others."""
        self.stopping = True
        self.stop_requested_at = now  # voters that answer a later read know of it

    def peer_stops(self, ip: str, now: int) -> None:
        """Note that a peer was told to stop."""
        self.stopping_peers[ip] = now

    def peer_reads(self, ip: str, now: int) -> None:
        """Forget that a peer stops where its reads come, for some time, without the notice."""
        if now - self.stopping_peers.get(ip, now) > self.timeouts.liveness_ns:
            del self.stopping_peers[ip]

    def peer_restarted(self, ip: str) -> None:
        """Forget that a peer stops: its link is new."""
        self.stopping_peers.pop(ip, None)

    def safe_to_stop(
        self, value: Value, *, change_in_flight: bool, confirmed_at: int | None, now: int
    ) -> bool:
        """Whether this node, told to stop, may end with no vote and no role left behind.

        True as well where nobody is there to take its place: then it stays named, like one that is down.

        Parameters
        ----------
        change_in_flight : bool
            Something later than `value` was accepted here.
        confirmed_at : int or None
            When `value` was surely the newest.
        """
        candidates = set(self._alive(now)) - set(self.stopping_peers) - {self.own_ip}
        if value.coordinator == self.own_ip and candidates & value.voter_ips:
            return False
        if value.outgoing_voters or change_in_flight:
            return False  # the change may concern this node
        if self.own_ip in value.voter_ips:
            return not candidates - value.voter_ips
        # A newer value that this node has not received yet may name it again.
        return not candidates or (confirmed_at is not None and confirmed_at >= self.stop_requested_at)

    # Who votes.

    def plan(self, value: Value, *, is_chosen: bool, known: Value | None, now: int) -> Value:
        """Return `value` with voters and coordinator as they should be.

        Parameters
        ----------
        is_chosen : bool
            `value` is known as chosen: outgoing voters may go.
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
        silent = {
            voter.ip for voter in value.voters if self._silent_for(voter.ip, now) > self.timeouts.voter_ns
        }
        domains = {
            ip: FailureDomain(self.regions.get(zone, ""), zone) for ip, zone in self.liveness.zones.items()
        }
        return select_voters(value, alive, silent | stopping, domains, self.max_voters)

    # Who coordinates.

    def review_coordinator(self, value: Value, *, is_voter: bool, now: int) -> None:
        """Set `next_coordinator`: the present one names it when it stops, else a quorum finds it silent."""
        self.next_coordinator = ""
        candidates = set(self._alive(now)) - set(self.stopping_peers)
        order = [ip for ip in successors(value, candidates) if ip != value.coordinator]
        if value.coordinator == self.own_ip:
            if self.stopping and order:
                self.next_coordinator = order[0]
            return
        if self.own_ip not in order or self.stopping:
            return
        silent_ns = self._silent_for(value.coordinator, now)
        # Each further candidate waits two phases longer, so that the first one succeeds alone.
        wait_ns = self.timeouts.coordinator_ns + order.index(self.own_ip) * self.timeouts.phase_ns * 2
        if silent_ns >= wait_ns and self._quorum_suspects(value, is_voter, now):
            self.next_coordinator = self.own_ip

    def _quorum_suspects(self, value: Value, is_voter: bool, now: int) -> bool:
        within_ns = self.timeouts.liveness_ns
        return self.liveness.quorum_suspects_coordinator(
            value, own_vote=is_voter, now=now, within_ns=within_ns
        )

    def coordinator_changed(self, value: Value) -> None:
        """Drop the wish for another coordinator once it is the one that was wanted."""
        if value.coordinator == self.next_coordinator:
            self.next_coordinator = ""

    def is_silent(self, ip: str, now: int) -> bool:
        """Whether nothing came from `ip` for as long as a coordinator may be silent."""
        return self._silent_for(ip, now) >= self.timeouts.coordinator_ns

    def _silent_for(self, ip: str, now: int) -> int:
        return self.liveness.since_last_message(ip, now)

    def _alive(self, now: int) -> dict[str, str]:
        return self.liveness.alive(now, self.timeouts.liveness_ns)
