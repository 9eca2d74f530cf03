"""A running control node: passes each event to the component concerned, and processes the output of all.

It does the I/O for components without I/O: consensus (`consensus.replica`), endpoints
(`control.endpoint_registry`), links to the other control nodes (`control.peer_links`) and distribution to
gatekeepers (`distribution.publisher`). After each event `process_pending` collects their output.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import Any

from pepperrun.consensus.learner import BodyChange
from pepperrun.consensus.replica import Replica
from pepperrun.consensus.state import DurableState, Operation, StateStore
from pepperrun.control import peer_messages
from pepperrun.control.changes import apply, compact
from pepperrun.control.coordinator_tasks import CoordinatorTasks
from pepperrun.control.endpoint_registry import EndpointRegistry
from pepperrun.control.evacuations import Evacuations
from pepperrun.control.inspection import inspect_node
from pepperrun.control.peer_links import CONTROL_CLASS, PeerLinks
from pepperrun.control.pending_calls import PendingCalls
from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.control.replication_waits import VoterQuorum
from pepperrun.control.verdict import Verdict
from pepperrun.distribution.digests import RangeDigests
from pepperrun.distribution.publisher import Publisher
from pepperrun.foundation.link import OPERATOR_CLASS, Link
from pepperrun.foundation.logs import event
from pepperrun.foundation.netstring import Message, encode
from pepperrun.foundation.settings import Settings
from pepperrun.foundation.timer import Timer

MS = 1_000_000  # ns
QUORUM_CHECK_NS = 100 * MS  # between two checks; a peer counts as silent only after `Timeouts.liveness_ns`
TASK_TIMEOUT_NS = 1500 * MS  # for an operation of the coordinator; after that it is proposed again


class ControlNode:
    """A control node: `NodeInterface` of the handlers, `Source` of the publisher, `LinkHandler` of all links.

    Parameters
    ----------
    state : DurableState
        State loaded from the disk; changes are saved to `store`.
    incarnation : int
        Increases with each start of this process.
    clock : callable
        Monotonic clock, ns.
    """

    def __init__(
        self,
        settings: Settings,
        state: DurableState,
        store: StateStore,
        incarnation: int,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.now = clock
        self.loop = asyncio.get_running_loop()
        me = settings.me
        now = clock()
        self.registry = EndpointRegistry(me.ip, settings.carrier.beat_ms, now)
        self.replica = Replica(
            me.ip,
            state,
            store,
            apply,
            zone=me.zone,
            regions=settings.network.zones,
            max_voters=2 * tolerated_losses(settings) + 1,
            seed=incarnation,
            now=now,
        )
        self.publisher = Publisher(self, self.schedule_publishing)
        self.peer_links = PeerLinks(me.ip, settings.network.sidings[0], self, self, self.hello)
        self.pending_calls = PendingCalls(self.loop)
        self.evacuations = Evacuations(self.replica.body, now)
        self.tasks = CoordinatorTasks(self.registry, self.evacuations, self.next_call_id)
        self.is_stopping = False
        self._evacuated_zones: set[str] = set(self.replica.body.get("evacuated", ()))
        self._call_count = 0
        self._first_contacts = {ip for ip, _ in settings.contacts()}
        self._lacked_quorum = True
        self._quorum_check_at = 0
        self._publish_at = 0  # 0: nothing to publish
        self._timer = Timer(self._tick, clock)
        self._processing = False

    def start(self) -> None:
        """Connect to the other control nodes."""
        self._connect_to_wanted_peers()
        self.process_pending()

    def reload(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self._first_contacts = {ip for ip, _ in settings.contacts()}
        self._connect_to_wanted_peers()

    def _connect_to_wanted_peers(self) -> None:
        self.peer_links.set_wanted(self._first_contacts | self.replica.voter_ips, self.now())

    def hello(self) -> Message:
        """Return the first message of this node on a new link."""
        me = self.settings.me
        return {
            "station": me.station,
            "ip": me.ip,
            "zone": me.zone,
            "class": CONTROL_CLASS,
            "life": self.incarnation,
            "cores": self.control_nodes,
        }

    # Links (`foundation.link.LinkHandler`).

    def opened(self, link: Link, hello: Message) -> None:
        """Handle a new link according to the class of the process at its other end."""
        now = self.now()
        if hello["class"] == CONTROL_CLASS:
            self.peer_links.opened(link, hello, now)
        elif hello["class"] != OPERATOR_CLASS:
            self.publisher.opened(link, hello, now)
        self.process_pending()

    def received(self, link: Link, message: Message) -> None:
        """Handle a message of a control node, a gatekeeper or an operator's tool."""
        now = self.now()
        ip = self.peer_links.ip_of(link)
        if message["k"] == "show":
            link.send(inspect_node(self, now))
        elif ip is None:
            self.publisher.received(link, message, now)
        else:
            self._on_peer_message(ip, message, now)
        self.process_pending()

    def _on_peer_message(self, ip: str, data: Message, now: int) -> None:
        """Handle a message of another control node; ignore kinds of later versions."""
        if self.registry.receive(ip, data, now):
            return
        match data["k"]:
            case peer_messages.CONSENSUS:
                self.replica.receive(ip, peer_messages.decode_consensus(data), now)
            case peer_messages.KNOWN_PEERS:
                self.peer_links.add_known(peer_messages.decode_known_peers(data), now)
            case peer_messages.PEER_STOPPING:
                self.registry.stop_assigning_workers_to(ip)

    def closed(self, link: Link) -> None:
        """Handle the end of a link."""
        now = self.now()
        if self.peer_links.ip_of(link) is not None:
            self.peer_links.closed(link, now)
        else:
            self.publisher.closed(link, now)
        self.process_pending()

    def peer_up(self, ip: str, zone: str) -> None:
        """Handle the first link to a control node, and notify the other nodes of it."""
        now = self.now()
        event("peer-up", ip=ip, zone=zone)
        self._quorum_check_at = 0
        self.replica.connected(ip, zone, now)
        self.registry.connected(ip, zone, now)
        frame = encode(peer_messages.encode_known_peer(ip, zone))
        for other, _ in self.peer_links.linked_nodes():
            if other != ip:
                self.peer_links.write(other, frame)

    def peer_down(self, ip: str) -> None:
        """Handle the loss of the last link to a control node."""
        now = self.now()
        event("peer-down", ip=ip)
        self._quorum_check_at = 0
        self.replica.disconnected(ip, now)
        self.registry.disconnected(ip, now)

    def link_lost(self, ip: str) -> None:
        """Handle the loss of one of several links to a control node."""
        self.registry.link_lost(ip, self.now())

    # Source of the publisher (`distribution.publisher`).

    @property
    def version(self) -> int:
        """Version of the agreed state; 0 while it is unknown."""
        return max(0, self.replica.version)

    @property
    def state(self) -> dict[str, Any] | None:
        """The agreed state; None while it is unknown."""
        return self.replica.body or None

    @property
    def workers(self) -> Mapping[str, Worker]:
        """All workers in this node's copy of the records, by id; ended ones stay for a while."""
        return self.registry.workers

    @property
    def gateways(self) -> Mapping[str, GatewayRecord]:
        """All gatekeepers in this node's copy of the records, by name; gone ones stay for a while."""
        return self.registry.gateways

    @property
    def digests(self) -> RangeDigests:
        """Digests over ranges of this node's records, by which other nodes find the records that differ."""
        return self.registry.digests

    @property
    def control_nodes(self) -> list[list[str]]:
        """[ip, zone] of this node and of the control nodes linked with it."""
        return [[self.settings.me.ip, self.settings.me.zone], *self.peer_links.linked_nodes()]

    def age_ms(self, now: int) -> float | None:
        """Return the maximum age of the known state, ms; None if no state is confirmed."""
        confirmed_at = self.replica.confirmed_at
        return None if confirmed_at is None else max(0.0, (now - confirmed_at) / MS)

    def gateway_heartbeat(self, gateway: GatewayRecord, now: int) -> None:
        """Handle a gatekeeper's heartbeat on its own link."""
        self.registry.gateway_heartbeat(gateway, now)

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> None:
        """Merge newer records of a gatekeeper's copy."""
        self.registry.merge(workers, gateways, now)

    # Interface of the handlers (`control.handlers.NodeInterface`).

    @property
    def lacks_quorum(self) -> bool:
        """Whether fewer voters than a quorum are reachable."""
        return self.replica.lacks_quorum

    @property
    def voter_quorum(self) -> VoterQuorum:
        """The majority of the machines that vote."""
        return VoterQuorum(self.replica.voter_groups)

    def replicated(self, token: int) -> asyncio.Future[None]:
        """Return a future that is done once a quorum stores the record that the token stands for."""
        if token in self.registry.waits:
            return self.pending_calls.wait_for_replication(token)
        future: asyncio.Future[None] = self.loop.create_future()
        future.set_result(None)
        return future

    def order(self, op: Operation, timeout_ns: int) -> asyncio.Future[Verdict | None]:
        """Propose an operator's change; the future's verdict is None if its result is unknown."""
        now = self.now()
        op = compact(self.replica.body, op)
        if op["do"] == "evacuate":
            op = self._evacuation(op, now)
        token = self.replica.propose(op, now, timeout_ns)
        future = self.pending_calls.wait_for_verdict(token)
        self.process_pending()
        return future

    def _evacuation(self, op: Operation, now: int) -> Operation:
        """Return the operation for a call to evacuate, which says whether the call may be a repeat."""
        receipt_ms = self.settings.tariffs.bounds.receipt_ms
        body = self.replica.body
        return self.evacuations.operation_for_call(
            op["zone"], op["begin"], body, self.next_call_id, receipt_ms, now
        )

    def next_call_id(self) -> str:
        """Return a unique id for a proposal, from the proposer id of this process start and a counter."""
        self._call_count += 1
        return f"{self.replica.register.proposer_id}/{self._call_count}"

    def confirmed(self) -> asyncio.Future[None]:
        """Return a future that is done once the known state is confirmed to be as new as this call."""
        future = self.pending_calls.wait_for_confirmation(self.now())
        self.process_pending()
        return future

    def linked_node(self) -> str | None:
        """Return the control address of a linked control node."""
        ip = next(iter(self.registry.peers), None)
        return self.control_address(ip) if ip is not None else None

    def control_address(self, ip: str) -> str:
        """Return the control address of a control node: all machines use the same ports."""
        own = self.settings.listen_address("control_port")
        return f"{ip}:{own[1]}" if own is not None else ip

    # Output of the components.

    def process_pending(self) -> None:
        """Collect and process the output of the components. Reentrant calls are ignored."""
        if self._processing:
            return
        self._processing = True
        try:
            now = self.now()
            self._check_quorum(now)
            self._process_consensus(now)
            self._process_registry(now)
            if self.pending_calls.has_pending_reads:
                self.pending_calls.complete_reads(self.replica.confirmed_at)
        finally:
            self._processing = False
        self._set_timer()

    def _check_quorum(self, now: int) -> None:
        """Check for a quorum: at once after a link came or went, else every `QUORUM_CHECK_NS`."""
        if now < self._quorum_check_at:
            return
        self._quorum_check_at = now + QUORUM_CHECK_NS
        lacks_quorum = self.replica.lacks_quorum
        if lacks_quorum != self._lacked_quorum:
            self._lacked_quorum = lacks_quorum
            event("quorum", reachable=int(not lacks_quorum))
        self.registry.quorum_changed(has_quorum=not lacks_quorum, now=now)

    def _process_consensus(self, now: int) -> None:
        content: Any = None
        frame = b""
        for ip, wire_message in self.replica.take_messages():
            if wire_message is not content:  # encode a message to several nodes only once
                content = wire_message
                frame = encode(peer_messages.encode_consensus(content))
            self.peer_links.write(ip, frame)
        for change in self.replica.take_changes():
            self._on_change(change, now)
        for result in self.replica.take_results():
            self.pending_calls.complete_order(result)

    def _process_registry(self, now: int) -> None:
        records = self.registry.take_changed()
        if records:
            self.publisher.records_changed(records, now)
        encoded: Message | None = None
        frame = b""
        for ip, message in self.registry.take_messages(now):
            if message is not encoded:
                encoded = message
                frame = encode(message)
            self.peer_links.write(ip, frame)
        for token in self.registry.waits.take_completed():
            self.pending_calls.complete_replication(token)

    def _on_change(self, change: BodyChange, now: int) -> None:
        """Handle a change of the agreed state."""
        body = self.replica.body
        evacuated_zones = set(body.get("evacuated", ()))
        for zone in self._evacuated_zones - evacuated_zones:
            self.registry.mark_zone_maybe_cold(zone, now)
        self._evacuated_zones = evacuated_zones
        self.evacuations.on_state(body, now)
        self._log_change(change)
        known = (change.base_version, change.operation) if change.operation is not None else None
        self.publisher.state_changed(known, now)
        wanted = self._first_contacts | self.replica.voter_ips
        if wanted - {self.settings.me.ip} != self.peer_links.wanted:
            self.peer_links.set_wanted(wanted, now)

    def _log_change(self, change: BodyChange) -> None:
        fields: dict[str, Any] = {}
        if change.operation is not None:
            fields = {
                name: change.operation[name] for name in ("do", "zone", "begin") if name in change.operation
            }
        edition = self.replica.body.get("edition", 0)
        event("agreed", number=change.version, edition=edition, **fields)

    # Time.

    def schedule_publishing(self, at: int) -> None:
        """Call the publisher's `tick` at this time at the latest."""
        self._publish_at = min(self._publish_at, at) if self._publish_at else at
        if not self._processing:
            self._set_timer()

    def _set_timer(self) -> None:
        """Set the timer to the earliest due time of the components."""
        due = min(self.replica.next_tick_at(), self.registry.next_tick_at())
        self._timer.set(min(due, self._publish_at) if self._publish_at else due)

    def _tick(self) -> None:
        now = self.now()
        if now >= self.replica.next_tick_at():
            self.replica.tick(now)
        if now >= self.registry.next_tick_at():
            self.registry.tick(now)
            self.peer_links.maintain(now, prune=True)
            self._coordinate(now)
        if self._publish_at and now >= self._publish_at:
            self._publish_at = 0
            self.publisher.tick(now)
        self.process_pending()

    def _coordinate(self, now: int) -> None:
        """Propose a due operation if this node is the coordinator and a quorum is reachable."""
        if self.replica.coordinator != self.settings.me.ip or self.replica.lacks_quorum:
            return
        op = self.tasks.next_operation(self.replica.body, self.settings.tariffs.bounds, now)
        if op is not None:
            self.replica.propose(op, now, TASK_TIMEOUT_NS)

    # Shutdown.

    def request_stop(self) -> None:
        """Begin a graceful shutdown: hand the vote and the coordinator role over, and notify the others."""
        self.is_stopping = True
        self.replica.request_stop(self.now())
        for ip, _ in self.peer_links.linked_nodes():
            self.peer_links.send(ip, peer_messages.encode_stopping())
        self.process_pending()

    def close(self) -> None:
        """Close all links."""
        self._timer.stop()
        self._processing = True
        self.peer_links.close()


def tolerated_losses(settings: Settings) -> int:
    """Return how many control machines may be lost at once; the loss of a region is that of all its zones."""
    losses, zones = settings.tariffs.withstand, settings.network.zones
    zone_counts: dict[str, int] = {}
    for region in zones.values():
        zone_counts[region] = zone_counts.get(region, 0) + 1
    largest = sorted(zone_counts.values(), reverse=True)[: losses.regions]
    return max(1, losses.vehicles, losses.zones, sum(largest))
