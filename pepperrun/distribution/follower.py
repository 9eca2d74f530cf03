"""The receiving side of distribution on a gateway: which nodes it follows and what it requests. No I/O.

A gateway follows one control node (heartbeats, freshness, repair) and one parent in the relay tree (pushes).
The root of a zone gets the pushes from the control node. `distribution.freshness` has what answers prove;
`control_node_selection` and `parent_selection` have the order in which nodes are tried.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.consensus.state import Evaluation
from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution import repair
from pepperrun.distribution.control_node_selection import ControlNodeSelection
from pepperrun.distribution.freshness import apply_evidence, check_digests, record_digest, record_evidence
from pepperrun.distribution.local_record import LocalRecord
from pepperrun.distribution.messages import (
    FULL_STATE,
    HEARTBEAT_ACK,
    STATE_CHANGE,
    FullState,
    Heartbeat,
    HeartbeatAck,
    StateChange,
)
from pepperrun.distribution.parent_selection import ParentSelection
from pepperrun.distribution.publisher import Connection, state_checksum
from pepperrun.distribution.replicated_state import AppliedChange, ReplicatedState
from pepperrun.distribution.uplink import MS, RECEIVE_TIMEOUT_NS, REPAIR_DELAY_NS, Uplink
from pepperrun.foundation.errors import RemoteProtocolError
from pepperrun.foundation.logs import event, log_error
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

HEARTBEAT_NS = 400 * MS
FIRST_HEARTBEAT_NS = HEARTBEAT_NS // 4  # until an answer has proved freshness: keyed requests wait for it
SLOW_CONNECT_NS = 250 * MS  # if the link is not up by then, another control node is tried in parallel
SLOW_ANSWER_NS = 600 * MS  # the same after this long without an answer
STALE_AGE_MS = 1200  # a control node whose state may be older has lost contact with the others
# A stale control node is left only after this: one late message between control nodes is no reason to leave.
STALE_TIMEOUT_NS = 1000 * MS
PARENT_LAG_TIMEOUT_NS = 600 * MS  # a parent that has not caught up by then is partitioned
SUSPENSION_NS = 600 * MS  # a longer gap between two ticks means that this process was suspended
SWEEP_NS = 120_000 * MS  # between two sweeps of records that are gone

Apply = Callable[[dict[str, Any] | None, dict[str, Any]], Evaluation]


class Follower:
    """The uplinks of one gateway.

    The caller keeps links to the addresses in `wanted`. It calls `opened`, `received` and `closed` for their
    events, and `tick` at the time of `next_tick_at`, and updates the links after each call.

    Parameters
    ----------
    name, zone : str
        Name and zone of this gateway.
    internal_port : int
        Same on all machines.
    regions : mapping of str to str
        Region of each zone.
    contacts : list of Address
        First contacts of the settings.
    own_record : callable
        Returns the current record of this gateway.
    apply : callable
        Applies an operation to a state.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        internal_port: int,
        regions: Mapping[str, str],
        contacts: list[Address],
        *,
        own_record: Callable[[], GatewayRecord],
        apply: Apply,
        now: int,
    ) -> None:
        self.name = name
        self.zone = zone
        self.apply = apply
        self.replicated = ReplicatedState()
        self.replicated.on_state.append(lambda version, state, change: self._apply_all_evidence())
        self.local_record = LocalRecord(name, own_record)
        self.control_node_selection = ControlNodeSelection(name, zone, internal_port, regions, contacts)
        self.parent_selection = ParentSelection(name, zone)
        self.control_node = Uplink(self._best_control_node(now), "", now)
        self.candidate: Uplink | None = None  # a control node tried while the current one is kept
        self.parent: Uplink | None = None
        self._next_heartbeat_at = now
        self._swept_at = now
        self._ticked_at = now

    # Choice of the nodes to follow.

    def _links(self) -> list[Uplink]:
        return [link for link in (self.control_node, self.candidate, self.parent) if link is not None]

    def wanted(self) -> set[Address]:
        """Return the addresses to which links are needed."""
        return {link.address for link in self._links()}

    def _best_control_node(self, now: int, *, other_than: Address | None = None) -> Address:
        return self.control_node_selection.best(self.replicated.control_nodes, now, other_than=other_than)

    def _leave_control_node(self, now: int, reason: str) -> None:
        control_node = self.control_node
        silent_ms = (now - control_node.waiting_since()) // MS
        event("core-left", peer=control_node.address[0], why=reason, silent_ms=silent_ms)
        self.control_node_selection.avoid(control_node.address, now)
        control_node.close()
        if self.candidate is not None:
            self.control_node = self.candidate
            self.candidate = None
        else:
            self.control_node = Uplink(self._best_control_node(now), "", now)

    def _drop_candidate(self, now: int) -> None:
        if self.candidate is not None:
            self.control_node_selection.avoid(self.candidate.address, now)
            self.candidate.close()
            self.candidate = None

    def _overdue_at(self) -> int:
        """Return when the control node counts as slow, so that another one is tried in parallel."""
        control_node = self.control_node
        return (
            control_node.chosen_at + SLOW_CONNECT_NS
            if control_node.connection is None
            else control_node.received_at + SLOW_ANSWER_NS
        )

    def _try_candidate(self, now: int) -> None:
        """Try a nearer control node, or another one if the current one is slow.

        The current one is left once the other has answered.
        """
        nearness = self.control_node_selection.nearness(self.control_node.address)
        is_overdue = now >= self._overdue_at()
        if self.candidate is not None or not (nearness or is_overdue):
            return
        best = self._best_control_node(now, other_than=self.control_node.address)
        is_nearer = self.control_node_selection.nearness(
            best
        ) < nearness and self.control_node_selection.is_usable(best, now)
        if best != self.control_node.address and (is_nearer or is_overdue):
            self.candidate = Uplink(best, "", now)

    def _switch_to_candidate(self, now: int) -> None:
        """Follow the candidate, which has answered with fresh state."""
        candidate = self.candidate
        control_node = self.control_node
        if candidate is None:
            return
        self.candidate = None
        nearness = self.control_node_selection.nearness
        is_as_near = nearness(control_node.address) <= nearness(candidate.address)
        if is_as_near and now < self._overdue_at():
            candidate.close()  # the current one has answered meanwhile
            return
        event("core-moved", peer=candidate.address[0], before=control_node.address[0])
        self.control_node = candidate
        control_node.close()
        self._request_if_empty(candidate, now)
        self._send_heartbeat(candidate, now)

    def _leave_parent(self, now: int, reason: str) -> None:
        """Leave the parent, and attach to the next one or to the control node."""
        parent = self.parent
        if parent is not None:
            event("parent-left", peer=parent.parent_name, why=reason)
            self.parent_selection.avoid(parent.parent_name, now)
            parent.close()
            self.parent = None
        self._choose_parent(now)

    def _choose_parent(self, now: int) -> None:
        best = self.parent_selection.best(self.replicated.gateways.values(), now)
        parent = self.parent
        if parent is not None:
            if best is not None and best == (parent.parent_name, parent.address):
                return
            parent.close()
        self.parent = Uplink(best.address, best.name, now) if best is not None else None

    @property
    def is_root(self) -> bool:
        """Whether the control node pushes the changes: there is no parent that has answered."""
        return self.parent is None or not self.parent.version

    # Events of links.

    def opened(self, address: Address, connection: Connection, hello: Message, now: int) -> None:
        """Handle a new link to a wanted address."""
        for link in self._links():
            if link.address != address:
                continue
            new = Uplink(address, link.parent_name, now, connection, received_at=now)
            if link is self.parent:
                self.parent = new
            elif link is self.candidate:
                self.candidate = new
            else:
                self.control_node = new
                self.control_node_selection.zones.setdefault(address[0], str(hello.get("zone", "")))
                self._request_if_empty(new, now)
            self._send_heartbeat(new, now)

    def _request_if_empty(self, link: Uplink, now: int) -> None:
        """Request state and records at once if there are none yet, before any are known to be missing."""
        if not self.replicated.version:
            link.request_state(self.replicated, now)
        if not self.replicated.digests.sums:
            link.request_records(self.replicated, now)

    def closed(self, address: Address, connection: Connection, now: int) -> None:
        """Handle the end of a link."""
        if self.control_node.connection is connection:
            self.control_node.connection = None
            self._leave_control_node(now, "closed")
        elif self.candidate is not None and self.candidate.connection is connection:
            self._drop_candidate(now)
        elif self.parent is not None and self.parent.connection is connection:
            self.parent.connection = None
            self._leave_parent(now, "closed")

    def _link(self, connection: Connection) -> Uplink | None:
        return next((link for link in self._links() if link.connection is connection), None)

    def partial_message(self, connection: Connection, now: int) -> None:
        """Handle a part of a long message. Answers wait behind it, so its sender has not timed out."""
        link = self._link(connection)
        if link is not None:
            link.received_at = now

    def received(self, connection: Connection, message: Message, now: int) -> None:
        """Handle a message on one of the uplinks; kinds of later versions are ignored.

        Raises
        ------
        KeyError, TypeError, ValueError
            The message is invalid.
        """
        link = self._link(connection)
        if link is None:
            return
        link.received_at = now
        if repair.is_repair_message(message):
            for reply in repair.handle(self.replicated, self.merge, message, now):
                connection.write(encode(reply))
            self._check_digests()
        elif message["k"] == HEARTBEAT_ACK:
            self._on_ack(link, HeartbeatAck.from_wire(message), now)
        elif message["k"] == FULL_STATE:
            full_state = FullState.from_wire(message)
            self.replicated.update_state(full_state.version, full_state.state)
        elif message["k"] == STATE_CHANGE:
            self._on_change(link, StateChange.from_wire(message), now)

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> None:
        """Merge records that came from any node."""
        changed = self.replicated.update_records(workers, gateways).gateways
        if any(gateway.zone == self.zone for gateway in changed):
            if any(gateway.name == self.name for gateway in changed):
                self.send_own_record(now)
            self._choose_parent(now)

    def _on_ack(self, link: Uplink, ack: HeartbeatAck, now: int) -> None:
        if not link.accepts_ack(ack.heartbeat_sent_at):
            return
        link.version = ack.version
        if ack.control_nodes is not None and link is self.control_node:
            self.replicated.control_nodes = ack.control_nodes
            self.control_node_selection.learn(ack.control_nodes)
        if ack.age_ms is None or ack.age_ms > STALE_AGE_MS:
            link.stale_since = link.stale_since or now
        else:
            link.stale_since = 0
            self.control_node_selection.clear_failures(link.address)
            if link is self.candidate:
                self._switch_to_candidate(now)
        record_evidence(link, ack)
        if ack.version > self.replicated.version:
            link.behind_since = link.behind_since or now
        apply_evidence(self.replicated, link)
        self._check_parent_lag(now)
        if link is self.control_node or not self._is_control_node_healthy(now):
            record_digest(self.replicated, link, ack, now)
            self._check_digests()

    def _check_parent_lag(self, now: int) -> None:
        parent = self.parent
        if parent is None:
            return
        if not parent.version or parent.version >= self.control_node.version:
            parent.lagging_since = 0
        elif not parent.lagging_since:
            parent.lagging_since = now
        elif now - parent.lagging_since > PARENT_LAG_TIMEOUT_NS:
            self._leave_parent(now, "behind")

    def _apply_all_evidence(self) -> None:
        for link in self._links():
            apply_evidence(self.replicated, link)

    def _check_digests(self) -> None:
        check_digests(self.replicated, self._links(), self.control_node)

    def _on_change(self, link: Uplink, change: StateChange, now: int) -> None:
        if change.version <= self.replicated.version:
            return
        if change.base_version != self.replicated.version:
            # Otherwise the answer to a recent request is in flight; `tick` asks again if it does not come.
            if now - link.state_requested_at >= REPAIR_DELAY_NS:
                link.request_state(self.replicated, now)
            return
        state = self.apply(self.replicated.state, change.operation).body
        if state is None or state_checksum(state) != change.checksum:
            self._report_mismatch(link, change)
            link.request_state(self.replicated, now, full=True)
            return
        applied = AppliedChange(change.base_version, change.operation)
        self.replicated.update_state(change.version, state, applied)

    def _report_mismatch(self, link: Uplink, change: StateChange) -> None:
        peer = link.parent_name or "core"
        detail = f"change cannot be applied or its result has another checksum: version {change.version}"
        log_error(RemoteProtocolError("change-unlike", "applying a change", detail, peer))

    # Timed work.

    def _send_heartbeat(self, link: Uplink, now: int) -> None:
        if link.connection is None:
            return
        if link is self.parent:
            link.send_heartbeat(Heartbeat(now, self.replicated.version, attaches=True))
            return
        record = self.local_record.current(self.replicated)
        changed = record if record != link.sent_record else None
        link.sent_record = record
        attaches = self.is_root and link is self.control_node
        link.send_heartbeat(Heartbeat(now, self.replicated.version, attaches, changed))

    def membership_changed(self, now: int) -> None:
        """Choose the parent again: other gateways may be present now."""
        self._choose_parent(now)

    def send_own_record(self, now: int) -> None:
        """Send the changed own record to the control node at once."""
        self._send_heartbeat(self.control_node, now)

    def _is_control_node_healthy(self, now: int) -> bool:
        control_node = self.control_node
        return (
            control_node.connection is not None
            and now - control_node.received_at <= RECEIVE_TIMEOUT_NS
            and not control_node.stale_since
        )

    def tick(self, now: int) -> None:
        """Leave unresponsive peers, repair, try candidates and send heartbeats, each if due."""
        if now - self._ticked_at > SUSPENSION_NS:
            for link in self._links():
                link.resumed(now)
        self._ticked_at = now
        self._leave_unresponsive(now)
        for link in self._repair_sources(now):
            link.repair(self.replicated, now, HEARTBEAT_NS)
        self._try_candidate(now)
        if now >= self._next_heartbeat_at:
            self._send_all_heartbeats(now)

    def _leave_unresponsive(self, now: int) -> None:
        """Leave the peers that are not connected or do not answer in time, and a stale control node."""
        control_node = self.control_node
        if control_node.connection is None:
            if now - control_node.chosen_at > RECEIVE_TIMEOUT_NS:
                self._leave_control_node(now, "not up")
        elif now - control_node.received_at > RECEIVE_TIMEOUT_NS:
            self._leave_control_node(now, "silent")
        elif control_node.stale_since and now - control_node.stale_since > STALE_TIMEOUT_NS:
            self._leave_control_node(now, "stale")
        if self.candidate is not None and now - self.candidate.chosen_at > RECEIVE_TIMEOUT_NS:
            self._drop_candidate(now)
        if self.parent is not None and self.parent.is_timed_out(now):
            self._leave_parent(now, "silent" if self.parent.connection else "not up")

    def _send_all_heartbeats(self, now: int) -> None:
        is_confirmed = bool(self.replicated.confirmed_at)
        self._next_heartbeat_at = now + (HEARTBEAT_NS if is_confirmed else FIRST_HEARTBEAT_NS)
        if now - self._swept_at > SWEEP_NS:
            self._swept_at = now
            self.replicated.sweep()
        self._choose_parent(now)
        for link in self._links():
            self._send_heartbeat(link, now)

    def _repair_sources(self, now: int) -> list[Uplink]:
        """Return the links on which to request what is missing.

        These are the control node and, if that is unhealthy, also the parent, each if its link is up.
        """
        parent = None if self._is_control_node_healthy(now) else self.parent
        return [
            link for link in (self.control_node, parent) if link is not None and link.connection is not None
        ]

    def next_tick_at(self, now: int) -> int:
        """Return the next time at which `tick` has something to do."""
        times = [self._next_heartbeat_at]
        times += [link.waiting_since() + RECEIVE_TIMEOUT_NS + MS for link in self._links()]
        overdue_at = self._overdue_at()
        if self.candidate is None and overdue_at > now:
            times.append(overdue_at)
        for link in self._repair_sources(now):
            times += link.next_repair_at(HEARTBEAT_NS)
        return min(times)
