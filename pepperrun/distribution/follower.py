"""The deciding half of a gatekeeper's part in distribution: whom it follows and what it asks for. No I/O.

It follows one control node (heartbeats, freshness, repair) and one parent in the relay tree (pushes), or
takes the pushes from the control node as the root of its zone. What answers prove: `distribution.freshness`;
in which order control nodes and parents are tried: `control_node_selection`, `parent_selection`.
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
from pepperrun.distribution.uplink import MS, REPAIR_DELAY_NS, SILENT_NS, Uplink
from pepperrun.foundation.errors import RemoteProtocolError
from pepperrun.foundation.logs import event, log_error
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Address

HEARTBEAT_NS = 400 * MS
FIRST_HEARTBEAT_NS = HEARTBEAT_NS // 4  # until an answer has proved anything: keyed requests wait for it
CONNECT_NS = 250 * MS  # not up for so long: another control node is tried beside it
QUIET_NS = 600 * MS  # nor an answer for so long
STALE_MS = 1200  # a control node that knows no better than this has lost the others
STALE_NS = 1000 * MS  # and for so long: one late message among control nodes is no reason to move
PARENT_LAG_NS = 600 * MS  # a parent has caught up by then, or is partitioned
SUSPENDED_NS = 600 * MS  # between two ticks: this process was suspended
SWEEP_NS = 120_000 * MS  # between two looks for records that may be forgotten

Apply = Callable[[dict[str, Any] | None, dict[str, Any]], Evaluation]


class Follower:
    """One gatekeeper's links upwards.

    Links that should be up are in `wanted`; the caller calls `opened`, `received`, `closed`, and `tick`
    when `next_tick_at` says, and looks at `wanted` after each.

    Parameters
    ----------
    name, zone : str
        Of this gatekeeper.
    internal_port : int
        The same on all machines.
    regions : mapping of str to str
        Region of each zone.
    contacts : list of Address
        Control nodes of the settings.
    own_record : callable
        Returns the own record as it is.
    apply : callable
        Evaluates an operation on the state.
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
        self.candidate: Uplink | None = None  # a control node that is tried while the present one is kept
        self.parent: Uplink | None = None
        self._next_heartbeat_at = now
        self._swept_at = now
        self._ticked_at = now

    # Whom to follow.

    def _links(self) -> list[Uplink]:
        return [link for link in (self.control_node, self.candidate, self.parent) if link is not None]

    def wanted(self) -> set[Address]:
        """Return the addresses to which links are to be kept."""
        return {link.address for link in self._links()}

    def _best_control_node(self, now: int, *, other_than: Address | None = None) -> Address:
        return self.control_node_selection.best(self.replicated.control_nodes, now, other_than=other_than)

    def _leave_control_node(self, now: int, reason: str) -> None:
        core = self.control_node
        silent_ms = (now - core.waiting_since()) // MS
        event("core-left", peer=core.address[0], why=reason, silent_ms=silent_ms)
        self.control_node_selection.avoid(core.address, now)
        core.close()
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

    def _quiet_at(self) -> int:
        """Return when the control node has been waited for long enough to try another one beside it."""
        core = self.control_node
        return core.chosen_at + CONNECT_NS if core.connection is None else core.received_at + QUIET_NS

    def _try_candidate(self, now: int) -> None:
        """Try a nearer one, or one that may answer sooner; the present one is left once that one answers."""
        nearness = self.control_node_selection.nearness(self.control_node.address)
        is_quiet = now >= self._quiet_at()
        if self.candidate is not None or not (nearness or is_quiet):
            return
        best = self._best_control_node(now, other_than=self.control_node.address)
        is_nearer = self.control_node_selection.nearness(
            best
        ) < nearness and self.control_node_selection.is_usable(best, now)
        if best != self.control_node.address and (is_nearer or is_quiet):
            self.candidate = Uplink(best, "", now)

    def _switch_to_candidate(self, now: int) -> None:
        """Follow the control node that was tried: it has answered well."""
        candidate = self.candidate
        core = self.control_node
        if candidate is None:
            return
        self.candidate = None
        nearness = self.control_node_selection.nearness
        is_as_near = nearness(core.address) <= nearness(candidate.address)
        if is_as_near and now < self._quiet_at():
            candidate.close()  # the present one has answered meanwhile
            return
        event("core-moved", peer=candidate.address[0], before=core.address[0])
        self.control_node = candidate
        core.close()
        self._request_if_empty(candidate, now)
        self._send_heartbeat(candidate, now)

    def _leave_parent(self, now: int, reason: str) -> None:
        """Attach to the next parent, or to the control node."""
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
        """Whether the pushes come from the control node: no parent has answered yet."""
        return self.parent is None or not self.parent.version

    # What happens on links.

    def opened(self, address: Address, connection: Connection, hello: Message, now: int) -> None:
        """Handle a link to a wanted address that is up."""
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
        """Ask at once where nothing is held yet, before anything is known to be missing."""
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
        """Note that part of a long message came, with the answers behind it: its sender is not silent."""
        link = self._link(connection)
        if link is not None:
            link.received_at = now

    def received(self, connection: Connection, message: Message, now: int) -> None:
        """Handle a message on one of the uplinks; kinds of a later version are passed over.

        Raises
        ------
        KeyError, TypeError, ValueError
            The message is not allowed.
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
        """Take over records that came from anyone."""
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
        if ack.age_ms is None or ack.age_ms > STALE_MS:
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
        if link is self.control_node or not self._control_node_is_well(now):
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
        elif now - parent.lagging_since > PARENT_LAG_NS:
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
            # Else it is on its way, or `tick` asks again.
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
        detail = f"number {change.version}"
        log_error(RemoteProtocolError("change-unlike", "taking a change", detail, peer))

    # What is due.

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
        """Choose the parent anew: who is thought to be there may have changed."""
        self._choose_parent(now)

    def send_own_record(self, now: int) -> None:
        """Send the own record, which has changed, to the control node now."""
        self._send_heartbeat(self.control_node, now)

    def _control_node_is_well(self, now: int) -> bool:
        core = self.control_node
        return core.connection is not None and now - core.received_at <= SILENT_NS and not core.stale_since

    def tick(self, now: int) -> None:
        """Do what is due."""
        if now - self._ticked_at > SUSPENDED_NS:
            for link in self._links():
                link.resumed(now)
        self._ticked_at = now
        self._leave_silent(now)
        for link in self._repairing(now):
            link.repair(self.replicated, now, HEARTBEAT_NS)
        self._try_candidate(now)
        if now >= self._next_heartbeat_at:
            self._send_all_heartbeats(now)

    def _leave_silent(self, now: int) -> None:
        """Leave whoever does not come up or answer."""
        core = self.control_node
        if core.connection is None:
            if now - core.chosen_at > SILENT_NS:
                self._leave_control_node(now, "not up")
        elif now - core.received_at > SILENT_NS:
            self._leave_control_node(now, "silent")
        elif core.stale_since and now - core.stale_since > STALE_NS:
            self._leave_control_node(now, "stale")
        if self.candidate is not None and now - self.candidate.chosen_at > SILENT_NS:
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

    def _repairing(self, now: int) -> list[Uplink]:
        """Return where to ask for what is missing: the control node, else the parent."""
        parent = None if self._control_node_is_well(now) else self.parent
        return [
            link for link in (self.control_node, parent) if link is not None and link.connection is not None
        ]

    def next_tick_at(self, now: int) -> int:
        """Return when `tick` has something to do."""
        times = [self._next_heartbeat_at]
        times += [link.waiting_since() + SILENT_NS + MS for link in self._links()]
        quiet_at = self._quiet_at()
        if self.candidate is None and quiet_at > now:
            times.append(quiet_at)
        for link in self._repairing(now):
            times += link.next_repair_at(HEARTBEAT_NS)
        return min(times)
