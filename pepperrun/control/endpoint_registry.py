"""Endpoint registry: the workers and gatekeepers of each zone, replicated on every control node. No I/O.

Any control node accepts heartbeats. It pushes the changed records to the others, and the copies are compared
by digests over ranges each second (`distribution.repair`). Heartbeats that change nothing are reported in a
compact form (`control.liveness_reports`). Each control node that is linked with a quorum decides by itself
that a worker is lost once no node has reported it for `LOST_HEARTBEATS` heartbeats and a second; a later
heartbeat reverts that.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import NamedTuple

from bidict import bidict

from pepperrun.control import peer_messages
from pepperrun.control.heartbeat_routing import preferred_node
from pepperrun.control.liveness_reports import LivenessReports
from pepperrun.control.records import GatewayRecord, GatewayState, Worker, WorkerState
from pepperrun.control.replication_waits import ReplicationWaits, VoterQuorum
from pepperrun.distribution import repair
from pepperrun.distribution.digests import (
    RangeDigests,
    Record,
    gateway_record_id,
    newer,
    record_id,
    worker_record_id,
)
from pepperrun.foundation.netstring import Message

MS = 1_000_000  # ns
SECOND = 1000 * MS
BATCH_NS = 50 * MS  # non-urgent changes within this time are sent together
ROUND_NS = SECOND  # interval of liveness reports and of digest comparisons
LOST_HEARTBEATS = 3  # missed heartbeats after which, and a second, a worker is lost
REPORT_HEARTBEATS = 1.5  # heartbeat intervals of silence after which a worker is reported as not received
GATEWAY_SILENT_NS = 2 * SECOND  # a gatekeeper silent for this time is not returned to clients
GATEWAY_GONE_NS = 60 * SECOND  # a gatekeeper silent for this time is gone
KEEP_GONE_NS = 60 * SECOND  # how long records of gone endpoints are kept
LOST_TO_GONE_NS = 600 * SECOND  # a worker that is lost for this time is gone
WARMING_TOLERANCE_NS = 250 * MS  # a smaller shift of the end of a warm-up is no change


class WorkerHeartbeat(NamedTuple):
    """State that a worker reports of itself; `warming_ns` is the remaining time of its warm-up."""

    id: str
    service: str
    address: str
    zone: str
    edition: str
    slots: int
    state: WorkerState
    warming_ns: int
    serial: int


class EndpointRegistry:
    """One control node's copy of the records. Times are monotonic ns; peers are other control nodes, by ip.

    After each call, take out the messages with their destination ips (`take_messages`), the records that
    changed (`take_changed`), and the tokens of `heartbeat` and `worker_ended` whose records are on enough
    nodes (`waits.take_completed`).

    Attributes
    ----------
    peers : dict of str to str
        Zone by ip of the linked control nodes.
    quorum_since : int or None
        When this node got its links to a quorum; None without a quorum.
    address_owners : bidict of str to str
        Id of the worker that uses an address, by address.
    last_serials : dict of str to int
        Serial of the last heartbeat received here, by worker.
    ended_at : dict of str to int
        When a worker's record became lost or gone, by worker.
    """

    def __init__(self, own_ip: str, heartbeat_ms: float, now: int) -> None:
        self.own_ip = own_ip
        self.worker_lost_ns = int(LOST_HEARTBEATS * heartbeat_ms * MS) + SECOND
        self.workers: dict[str, Worker] = {}
        self.gateways: dict[str, GatewayRecord] = {}
        self.digests = RangeDigests()
        self.peers: dict[str, str] = {}
        self.quorum_since: int | None = None
        self.address_owners: bidict[str, str] = bidict()
        self.last_serials: dict[str, int] = {}
        self.ended_at: dict[str, int] = {}
        self.liveness = LivenessReports(int(REPORT_HEARTBEATS * heartbeat_ms * MS), now)
        self.waits = ReplicationWaits(own_ip)
        self.next_round_at = now + ROUND_NS
        self.rounds = 0
        self._urgent: dict[str, Record] = {}  # pushed at once
        self._batch: dict[str, Record] = {}  # pushed within BATCH_NS
        self._flush_at = 0  # when the batch is pushed; 0: it is empty
        self._changed: dict[str, Record] = {}
        self._outbox: list[tuple[str, Message]] = []

    # Control nodes.

    def connected(self, ip: str, zone: str, now: int) -> None:
        """Handle a new link: report the endpoints received here, and request the records that differ."""
        self.peers[ip] = zone
        self._send_full_report(ip, now)
        self._outbox.append((ip, repair.request(self)))

    def link_lost(self, ip: str, now: int) -> None:
        """Handle the loss of one of several links: a report may be lost with it, so send a full one."""
        self._send_full_report(ip, now)

    def _send_full_report(self, ip: str, now: int) -> None:
        report = self.liveness.full_report(now)
        self._outbox.append((ip, peer_messages.encode_report(report)))

    def disconnected(self, ip: str, now: int) -> None:
        """Handle the loss of the last link to a node."""
        self.peers.pop(ip, None)
        self.liveness.disconnected(ip)

    def stop_assigning_workers_to(self, ip: str) -> None:
        """Stop naming a node that is shutting down to workers as the node for their heartbeats."""
        self.peers.pop(ip, None)

    def quorum_changed(self, *, has_quorum: bool, now: int) -> None:
        """Record whether this node is linked with a quorum of the voters."""
        if not has_quorum:
            self.quorum_since = None
        elif self.quorum_since is None:
            self.quorum_since = now

    def receive(self, ip: str, data: Message, now: int) -> bool:
        """Handle a wire message of another node; return False if its kind does not belong to the registry."""
        if repair.is_repair_message(data):
            self._on_repair_message(ip, data, now)
        elif data["k"] == peer_messages.LIVENESS_REPORT:
            self.liveness.on_report(ip, peer_messages.decode_report(data), now)
        elif data["k"] == peer_messages.RECORDS_REPLICATED:
            self.waits.confirm(ip, peer_messages.decode_replicated(data))
        else:
            return False
        return True

    def _on_repair_message(self, ip: str, data: Message, now: int) -> None:
        token = repair.replication_token(data)
        merge = self.merge if token is None else self._merge_replicated
        self._outbox += [(ip, reply) for reply in repair.handle(self, merge, data, now)]
        if token is not None:
            self._outbox.append((ip, peer_messages.encode_replicated(token)))

    # Workers.

    def heartbeat(self, heartbeat: WorkerHeartbeat, quorum: VoterQuorum | None, now: int) -> int | None:
        """Handle a heartbeat.

        Parameters
        ----------
        quorum : VoterQuorum or None
            Nodes that must store the record of a draining worker before the acknowledgement.

        Returns
        -------
        int or None
            Token of the wait for these nodes; None if the heartbeat may be acknowledged at once.
        """
        known = self.workers.get(heartbeat.id)
        if known is None:
            self._take_over_address(heartbeat, now)
        elif known.is_gone:
            return None
        self._record_heartbeat(known, heartbeat, now)
        if heartbeat.state is WorkerState.DRAINING and quorum is not None:
            return self._replicate(heartbeat.id, quorum, now)
        return None

    def _record_heartbeat(self, known: Worker | None, heartbeat: WorkerHeartbeat, now: int) -> None:
        """Update the record, unless the heartbeat is older than one received before."""
        is_draining = heartbeat.state is WorkerState.DRAINING
        known_serial = known.serial if known is not None else -1
        last_serial = max(self.last_serials.get(heartbeat.id, -1), known_serial)
        begins_draining = is_draining and (known is None or known.state is not WorkerState.DRAINING)
        if known is not None and heartbeat.serial <= last_serial and not begins_draining:
            return
        self.last_serials[heartbeat.id] = max(last_serial, heartbeat.serial)
        self._record_alive(worker_record_id(heartbeat.id), now)
        is_urgent = is_draining or known is None or known.state is WorkerState.LOST
        self._update(self._updated_record(known, heartbeat, now), now, urgent=is_urgent)

    def _record_alive(self, id_: str, now: int) -> None:
        self.liveness.record_heartbeat(id_, now)
        if self.liveness.unreported:
            self._flush_at = self._flush_at or now + BATCH_NS

    def _updated_record(self, known: Worker | None, heartbeat: WorkerHeartbeat, now: int) -> Worker:
        """Return the record after a heartbeat; the known record with its serial if nothing has changed."""
        was_draining = known is not None and known.state is WorkerState.DRAINING
        merged = Worker(
            id=heartbeat.id,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            edition=heartbeat.edition,
            slots=heartbeat.slots,
            serial=max(heartbeat.serial, known.serial if known is not None else 0),
            state=WorkerState.DRAINING if was_draining else heartbeat.state,
            warming_until=now + heartbeat.warming_ns if heartbeat.warming_ns > 0 else 0,
        )
        if known is None:
            return merged
        warming_shift_ns = abs(max(known.warming_until, now) - max(merged.warming_until, now))
        if warming_shift_ns > WARMING_TOLERANCE_NS:
            return merged
        unchanged = replace(merged, serial=known.serial, warming_until=known.warming_until) == known
        return known if unchanged else merged

    def _take_over_address(self, heartbeat: WorkerHeartbeat, now: int) -> None:
        """Assign an address to its newest worker: the previous one has ended without notice."""
        other = self.workers.get(self.address_owners.get(heartbeat.address, ""))
        if other is not None and other.id != heartbeat.id and _is_live(other):
            self._update(self._ended_record(other), now, urgent=True)
        self.address_owners.forceput(heartbeat.address, heartbeat.id)

    def _ended_record(self, worker: Worker) -> Worker:
        """Return the record of a worker that ended without notice: lost, or gone if it was draining."""
        state = WorkerState.LOST if worker.state is WorkerState.SERVING else WorkerState.GONE
        return replace(worker, state=state, serial=self._last_serial(worker))

    def _gone_record(self, worker: Worker) -> Worker:
        return replace(worker, state=WorkerState.GONE, serial=self._last_serial(worker))

    def _last_serial(self, worker: Worker) -> int:
        return max(worker.serial, self.last_serials.get(worker.id, 0))

    def worker_ended(self, worker_id: str, quorum: VoterQuorum, now: int) -> int | None:
        """Handle a worker's notice that it ends; return the token of a wait as `heartbeat` does.

        A node that has just started does not know the worker yet, but gatekeepers may. It stores a tombstone,
        which the first copy of the record that arrives completes.
        """
        known = self.workers.get(worker_id)
        if known is None:
            self._store(Worker.tombstone(worker_id), now)
        elif not known.is_gone:
            self._update(self._gone_record(known), now, urgent=True)
        return self._replicate(worker_id, quorum, now)

    def _replicate(self, worker_id: str, quorum: VoterQuorum, now: int) -> int:
        """Push a record to all nodes and request acknowledgements that they store it; return the token."""
        token = self.waits.start(quorum)
        message = repair.encode_records([self.workers[worker_id]], now)
        self._broadcast(repair.with_replication_token(message, token))
        self._urgent.pop(worker_record_id(worker_id), None)
        return token

    def mark_zone_maybe_cold(self, zone: str, now: int) -> None:
        """Treat a zone's serving workers as cold until their next heartbeats: they may have become cold."""
        for worker in list(self.workers.values()):
            if worker.zone != zone or worker.state is not WorkerState.SERVING or worker.maybe_cold:
                continue
            possibly_cold = replace(worker, maybe_cold=True, serial=self._last_serial(worker))
            self._update(possibly_cold, now, urgent=True)

    def other_preferred_node(
        self, worker_id: str, zone: str, own_zone: str, regions: Mapping[str, str]
    ) -> str | None:
        """Return the ip of the node to which a worker should send its heartbeats; None for this node.

        Nothing is forwarded: the response to a heartbeat names that node, and the worker then calls it.
        """
        nodes = {self.own_ip: own_zone} | self.peers
        best = preferred_node(worker_id, zone, nodes, regions)
        return None if best == self.own_ip else best

    # Gatekeepers.

    def gateway_heartbeat(self, record: GatewayRecord, now: int) -> None:
        """Handle a gatekeeper's record from its link; a higher serial revives one that was taken for gone."""
        self._record_alive(gateway_record_id(record.name), now)
        known = self.gateways.get(record.name)
        if known is not None and known.is_gone and _same_version(known, record):
            record = replace(record, serial=record.serial + 1)
        if newer(known, record):
            self._update(record, now, urgent=True)

    def ready_gateways(self, now: int) -> list[GatewayRecord]:
        """Return the gatekeepers that the directory may return to clients."""
        return [
            gateway
            for name, gateway in self.gateways.items()
            if gateway.state is GatewayState.READY and self.gateway_silent_ns(name, now) < GATEWAY_SILENT_NS
        ]

    def restarting_gateways(self, within_ns: int, now: int) -> list[GatewayRecord]:
        """Return the gatekeepers that began to shut down or to start and were seen within this time."""
        return [
            gateway
            for name, gateway in self.gateways.items()
            if gateway.state in (GatewayState.DRAINING, GatewayState.STARTING)
            and self.gateway_silent_ns(name, now) < within_ns
        ]

    def gateway_silent_ns(self, name: str, now: int) -> int:
        """Nanoseconds since any node last received a message of a gatekeeper."""
        return now - self.liveness.last_seen(gateway_record_id(name), now)

    # Records.

    def merge(self, workers: Iterable[Worker], gateways: Iterable[GatewayRecord], now: int) -> None:
        """Merge the newer records of another copy."""
        for worker in workers:
            self._merge_worker(worker, now)
        for gateway in gateways:
            known = self.gateways.get(gateway.name)
            is_new_and_gone = known is None and gateway.is_gone
            if newer(known, gateway) and not is_new_and_gone:
                self._store(gateway, now)

    def _merge_replicated(
        self, workers: Iterable[Worker], gateways: Iterable[GatewayRecord], now: int
    ) -> None:
        """Merge records that another node acknowledges once they are stored here, gone ones too."""
        workers = list(workers)
        for worker in workers:
            if worker.id not in self.workers and worker.is_gone:
                self._store(worker, now)
        self.merge(workers, gateways, now)

    def _merge_worker(self, worker: Worker, now: int) -> None:
        known = self.workers.get(worker.id)
        if known is not None and known.is_tombstone != worker.is_tombstone:
            self._complete_tombstone(known, worker, now)
            return
        is_new_and_gone = known is None and worker.is_gone
        if not newer(known, worker) or is_new_and_gone:
            return
        self._store(worker, now)
        self._reassert(worker, now)
        if known is None and worker.state is not WorkerState.LOST:
            self.address_owners.forceput(worker.address, worker.id)

    def _complete_tombstone(self, known: Worker, worker: Worker, now: int) -> None:
        """Mark a worker as gone of which one copy is a tombstone, and the other has the fields."""
        complete = worker if known.is_tombstone else known
        if not known.is_gone or known.is_tombstone:
            self._update(self._gone_record(complete), now, urgent=True)

    def _reassert(self, worker: Worker, now: int) -> None:
        """Mark a worker as serving if another node took it for lost though its heartbeats arrive here."""
        serial = self.last_serials.get(worker.id, -1)
        is_received = self.liveness.receives(worker_record_id(worker.id), now)
        if worker.state is WorkerState.LOST and serial > worker.serial and is_received:
            serving = replace(worker, state=WorkerState.SERVING, serial=serial)
            self._update(serving, now, urgent=True)

    def _known(self, record: Record) -> Record | None:
        if isinstance(record, Worker):
            return self.workers.get(record.id)
        return self.gateways.get(record.name)

    def _store(self, record: Record, now: int) -> None:
        """Store a record in this copy without pushing it to the others."""
        if isinstance(record, Worker):
            self._store_worker(record, now)
            is_present = _is_live(record)
        else:
            self.digests.replace(self.gateways.get(record.name), record)
            self.gateways[record.name] = record
            is_present = record.state not in (GatewayState.LOST, GatewayState.GONE)
        id_ = record_id(record)
        if not (isinstance(record, Worker) and record.is_tombstone):  # gatekeepers need its fields
            self._changed[id_] = record
        self.liveness.record_update(id_, is_present=is_present, now=now)

    def _store_worker(self, worker: Worker, now: int) -> None:
        self.digests.replace(self.workers.get(worker.id), worker)
        self.workers[worker.id] = worker
        if _is_live(worker):
            self.ended_at.pop(worker.id, None)
            return
        self.ended_at[worker.id] = now
        if self.address_owners.inv.get(worker.id) is not None:
            del self.address_owners.inv[worker.id]

    def _update(self, record: Record, now: int, *, urgent: bool) -> None:
        """Store a change that this node made, and push it to the others."""
        id_ = record_id(record)
        if self._known(record) is record:
            return
        self._store(record, now)
        if urgent:
            self._batch.pop(id_, None)
            self._urgent[id_] = record
        elif id_ not in self._urgent:
            self._batch[id_] = record
            self._flush_at = self._flush_at or now + BATCH_NS

    # Time.

    def next_tick_at(self) -> int:
        """When `tick` must be called at the latest (monotonic ns)."""
        return min(self.next_round_at, self._flush_at) if self._flush_at else self.next_round_at

    def tick(self, now: int) -> None:
        """Push the batch and start a round of reports if they are due."""
        if self._flush_at and now >= self._flush_at:
            self._push(self._batch, now)
            if self.liveness.unreported:
                self._broadcast(peer_messages.encode_report(self.liveness.added_report()))
            self._flush_at = 0
        if now >= self.next_round_at:
            self._start_round(now)

    def _start_round(self, now: int) -> None:
        if now - self.next_round_at > SECOND and self.quorum_since is not None:
            self.quorum_since = now  # this process was suspended: it may not have read reports of others yet
        self.next_round_at = now + ROUND_NS
        self.rounds += 1
        self._broadcast(peer_messages.encode_report(self.liveness.periodic_report(now)))
        self._expire_gateways(now)
        self._expire_workers(now)
        if self.peers:
            peers = sorted(self.peers)
            self._outbox.append((peers[self.rounds % len(peers)], repair.request(self)))

    def _expire_gateways(self, now: int) -> None:
        """Mark silent gatekeepers as gone; drop those that have been gone for `KEEP_GONE_NS`."""
        for name, gateway in list(self.gateways.items()):
            silent_ns = self.gateway_silent_ns(name, now)
            if gateway.is_gone:
                if silent_ns > GATEWAY_GONE_NS + KEEP_GONE_NS:
                    del self.gateways[name]
                    self.liveness.forget(gateway_record_id(name))
            elif silent_ns > GATEWAY_GONE_NS and self._has_quorum_for(GATEWAY_GONE_NS, now):
                self._store(replace(gateway, state=GatewayState.GONE), now)

    def _has_quorum_for(self, duration_ns: int, now: int) -> bool:
        return self.quorum_since is not None and now - self.quorum_since > duration_ns

    def _expire_workers(self, now: int) -> None:
        """Mark silent workers as lost, then gone; drop those that have been gone for `KEEP_GONE_NS`."""
        for worker in list(self.workers.values()):
            ended_ns = now - self.ended_at.get(worker.id, now)
            if _is_live(worker):
                self._expire_live_worker(worker, now)
            elif worker.state is WorkerState.LOST and ended_ns > LOST_TO_GONE_NS:
                self._store(replace(worker, state=WorkerState.GONE), now)
            elif worker.is_gone and ended_ns > KEEP_GONE_NS:
                self._forget_worker(worker.id)

    def _expire_live_worker(self, worker: Worker, now: int) -> None:
        if self.quorum_since is None:
            return
        last_seen = self.liveness.last_seen(worker_record_id(worker.id), now)
        if now - max(last_seen, self.quorum_since) > self.worker_lost_ns:
            state = WorkerState.LOST if worker.state is WorkerState.SERVING else WorkerState.GONE
            self._store(replace(worker, state=state), now)

    def _forget_worker(self, worker_id: str) -> None:
        del self.workers[worker_id]
        self.ended_at.pop(worker_id, None)
        self.last_serials.pop(worker_id, None)
        self.liveness.forget(worker_record_id(worker_id))

    # Output.

    def _broadcast(self, message: Message) -> None:
        self._outbox.extend((ip, message) for ip in self.peers)

    def _push(self, records: dict[str, Record], now: int) -> None:
        if records:
            self._broadcast(repair.encode_records(records.values(), now))
            records.clear()

    def take_messages(self, now: int) -> list[tuple[str, Message]]:
        """Return and remove the outgoing messages, each with its destination ip."""
        self._push(self._urgent, now)
        outbox = self._outbox
        self._outbox = []
        return outbox

    def take_changed(self) -> list[Record]:
        """Return the records that changed since the last call."""
        changed = list(self._changed.values())
        self._changed = {}
        return changed


def _is_live(worker: Worker) -> bool:
    """Whether a worker sends heartbeats, as far as this node knows."""
    return worker.state in (WorkerState.SERVING, WorkerState.DRAINING)


def _same_version(one: GatewayRecord, other: GatewayRecord) -> bool:
    return (one.incarnation, one.serial) == (other.incarnation, other.serial)
