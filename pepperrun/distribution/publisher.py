"""The sending side of distribution: answers heartbeats, repairs, pushes changes to attached peers. No I/O.

Control nodes and relaying gateways use the same class. Links are passed in as `Connection` and times as
nanoseconds of the monotonic clock; the caller runs `tick` when it is due.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple, Protocol

from pepperrun.control.order_deduplication import without_older
from pepperrun.control.records import GatewayRecord, Worker
from pepperrun.distribution import repair
from pepperrun.distribution.digests import Record, record_id
from pepperrun.distribution.messages import (
    CATCH_UP_REQUEST,
    HEARTBEAT,
    CatchUpRequest,
    FullState,
    Heartbeat,
    HeartbeatAck,
    StateChange,
)
from pepperrun.foundation.netstring import Message, encode, wire_length

MS = 1_000_000  # ns
SECOND = 1000 * MS
BATCH_NS = 15 * MS  # records that change within this time are sent in one message
RECEIVE_TIMEOUT_NS = 5 * SECOND  # gateways send heartbeats every 400 ms; one silent for this long is gone
SWEEP_NS = RECEIVE_TIMEOUT_NS // 5
IN_FLIGHT_NS = 2 * SECOND  # what was sent within this time counts as in flight and is not sent again
MAX_HISTORY = 64  # changes kept for peers that lack only a few
MAX_HISTORY_BYTES = 256 * 1024
LARGE_BYTES = 32 * 1024  # on the link; takes 0.13 s at 2 Mbit/s, the slowest link
LARGE_TIMEOUT_NS = 5 * SECOND  # after this an unacknowledged large message no longer delays newer ones
# A relay sends a change longer than its budget only this long after it received the change, in case no
# control node has sent the change directly.
RELAY_AFTER_NS = 600 * MS
CHECKSUM_BYTES = 8
UNKNOWN_VERSION = -1


class Connection(Protocol):
    """One link to a peer; implemented by `foundation.link.Link`."""

    name: str

    def write(self, frame: bytes) -> None:
        """Send a frame."""

    def unsent(self) -> int:
        """Return the number of bytes written but not sent yet."""
        ...

    def close(self) -> None:
        """End the link."""


class Source(repair.RecordCopy, Protocol):
    """Source of the state and records that are sent: a control node, or the replica of a relay."""

    @property
    def version(self) -> int:
        """Version of the state, 0 before the first."""
        ...

    @property
    def state(self) -> dict[str, Any] | None:
        """The agreed state."""
        ...

    @property
    def control_nodes(self) -> list[list[str]]:
        """[ip, zone] of each control node."""
        ...

    def age_ms(self, now: int) -> float | None:
        """Return how long ago `version` was known to be the newest acknowledged one; None if unknown."""
        ...

    def gateway_heartbeat(self, gateway: GatewayRecord, now: int) -> None:
        """Handle the record of a gateway on its own link: on each heartbeat, changed or not."""
        ...

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> object:
        """Merge records of another process; the source then calls `records_changed` with the newer ones."""
        ...


def state_checksum(state: dict[str, Any]) -> str:
    """Return a short checksum over the fields that differ first if a change was applied wrongly.

    Replicas compare it after each change. `taken` holds the digests of the configurations that led to this
    state, so the rest is not hashed again.
    """
    counts = [len(state.get(name) or ()) for name in ("routes", "carrier_lines", "senders")]
    text = repr([state.get("edition"), counts, state.get("evacuated"), (state.get("taken") or [None])[-1]])
    return blake2b(text.encode(), digest_size=CHECKSUM_BYTES).hexdigest()


class _RecentChange(NamedTuple):
    """The frame of a change, and the versions before and after the change."""

    base_version: int
    version: int
    frame: bytes


class _FullFrame(NamedTuple):
    """The frame of the full state of a version."""

    version: int
    frame: bytes


@dataclass(slots=True)
class Peer:
    """State of the peer at the other end of a link.

    Attributes
    ----------
    version : int
        Version of the peer once it has read everything sent; UNKNOWN_VERSION before its first message.
    acknowledged : int
        Version that the peer reported last.
    in_flight_since : int
        Since when newer versions are in flight without an acknowledgement of any of them.
    large_version, large_sent_at : int
        Version of the last large message, and when it was sent.
    is_attached : bool
        Whether the peer asked for changes to be pushed.
    control_nodes : list or None
        List that was last sent to the peer.
    relay_budget_bytes : int
        Relays do not send longer changes to the peer, control nodes do; 0 for no limit.
    """

    received_at: int
    version: int = UNKNOWN_VERSION
    acknowledged: int = UNKNOWN_VERSION
    in_flight_since: int = 0
    large_version: int = UNKNOWN_VERSION
    large_sent_at: int = 0
    is_attached: bool = False
    gateway: GatewayRecord | None = None
    control_nodes: list[list[str]] | None = None
    relay_budget_bytes: int = 0

    def acknowledge(self, version: int, now: int) -> None:
        """Record the version that the peer reports."""
        if version != self.acknowledged:
            self.acknowledged = version
            self.in_flight_since = now


class Publisher:
    """Sends the state and records of `source` on links.

    Parameters
    ----------
    schedule : callable
        Requests a `tick` at a time of the monotonic clock, ns.
    relay_budget_bytes : int
        Longest change that this process relays to its peers; longer ones would delay answers to clients on
        its own link. A control node, whose links are faster, sends a longer change to each gateway that sends
        heartbeats to it and stated its own budget. 0: changes of any length are relayed.
    """

    def __init__(self, source: Source, schedule: Callable[[int], None], relay_budget_bytes: int = 0) -> None:
        self.source = source
        self.schedule = schedule
        self.relay_budget_bytes = relay_budget_bytes
        self.peers: dict[Connection, Peer] = {}
        self._state_changed_at = 0
        self._batch: dict[str, Record] = {}
        self._batch_at = 0  # when the batch is sent; 0 for no batch
        self._history: list[_RecentChange] = []  # each change starts at the version after the previous one
        self._full = _FullFrame(0, b"")
        self._swept_at = 0

    def opened(self, connection: Connection, hello: Message, now: int) -> None:
        """Handle a new link from a gateway."""
        self.peers[connection] = Peer(now, relay_budget_bytes=int(hello.get("room") or 0))

    def closed(self, connection: Connection, now: int) -> None:
        """Forget the peer of a link that has ended, and what was sent to it."""
        self.peers.pop(connection, None)

    def received(self, connection: Connection, message: Message, now: int) -> bool:
        """Handle a message of a gateway; return False if its kind is unknown.

        Raises
        ------
        KeyError, TypeError, ValueError
            The message is invalid; the caller ends the link.
        """
        peer = self.peers.get(connection)
        if peer is None:
            return False
        peer.received_at = now
        if repair.is_repair_message(message):
            for reply in repair.handle(self.source, self.source.merge, message, now):
                connection.write(encode(reply))
        elif message["k"] == HEARTBEAT:
            self._on_heartbeat(connection, peer, Heartbeat.from_wire(message), now)
        elif message["k"] == CATCH_UP_REQUEST:
            self._on_catch_up_request(connection, peer, CatchUpRequest.from_wire(message), now)
        else:
            return False
        return True

    def _on_catch_up_request(
        self, connection: Connection, peer: Peer, request: CatchUpRequest, now: int
    ) -> None:
        """Send the changes after the version of a peer.

        A link delivers everything written to it, in order. So what was sent is in flight, however long that
        takes, and only later changes are sent. Everything is sent again if none of it is acknowledged for too
        long.
        """
        peer.acknowledge(request.version, now)
        is_overdue = now - peer.in_flight_since > IN_FLIGHT_NS
        if is_overdue and connection.unsent():
            is_overdue = False
            peer.in_flight_since = now
        if request.full or is_overdue:
            peer.version = request.version
            peer.large_version = UNKNOWN_VERSION
            peer.in_flight_since = now
        peer.version = max(peer.version, request.version)
        self._catch_up(connection, peer, now, full=request.full, requested=True)

    def _on_heartbeat(self, connection: Connection, peer: Peer, heartbeat: Heartbeat, now: int) -> None:
        if heartbeat.gateway is not None:
            peer.gateway = heartbeat.gateway
        if peer.gateway is not None:
            self.source.gateway_heartbeat(peer.gateway, now)
        connection.write(encode(self._ack(peer, heartbeat, now).to_wire()))
        peer.version = max(peer.version, heartbeat.version)  # not lower: newer versions may be in flight
        peer.acknowledge(heartbeat.version, now)
        peer.is_attached = heartbeat.attaches
        if heartbeat.attaches and peer.version < self.source.version:
            self._catch_up(connection, peer, now)
        if now - self._swept_at > SWEEP_NS:
            self._sweep(now)

    def _ack(self, peer: Peer, heartbeat: Heartbeat, now: int) -> HeartbeatAck:
        age_ms = self.source.age_ms(now)
        control_nodes = None
        if self.source.control_nodes != peer.control_nodes:
            control_nodes = peer.control_nodes = [list(row) for row in self.source.control_nodes]
        return HeartbeatAck(
            heartbeat_sent_at=heartbeat.sent_at,
            age_ms=None if age_ms is None else math.ceil(age_ms),
            version=self.source.version,
            digest=self.source.digests.total_digest(),
            control_nodes=control_nodes,
        )

    def _sweep(self, now: int) -> None:
        """End the links of peers that have sent nothing for too long."""
        self._swept_at = now
        unresponsive = [
            connection
            for connection, peer in self.peers.items()
            if now - peer.received_at > RECEIVE_TIMEOUT_NS
        ]
        for connection in unresponsive:
            del self.peers[connection]
            connection.close()

    # The state.

    def state_changed(self, change: tuple[int, dict[str, Any]] | None, now: int) -> None:
        """Push the newer state of the source, as `change` (base version, operation) if it came by one."""
        self._state_changed_at = now
        self._record_change(change)
        for connection, peer in list(self.peers.items()):
            if peer.is_attached or (peer.relay_budget_bytes and peer.gateway is not None):
                self._catch_up(connection, peer, now)

    def _record_change(self, change: tuple[int, dict[str, Any]] | None) -> None:
        state = self.source.state
        if change is None or state is None:
            self._history.clear()
            return
        base_version, operation = change
        if self._history and self._history[-1].version != base_version:
            self._history.clear()
        version = self.source.version
        message = StateChange(base_version, version, operation, state_checksum(state))
        self._history.append(_RecentChange(base_version, version, encode(message.to_wire())))
        while len(self._history) > MAX_HISTORY or self._history_bytes() > MAX_HISTORY_BYTES:
            del self._history[0]

    def _history_bytes(self) -> int:
        return sum(len(change.frame) for change in self._history)

    def _catch_up(
        self, connection: Connection, peer: Peer, now: int, *, full: bool = False, requested: bool = False
    ) -> None:
        """Send what a peer lacks: the changes after its version if they are kept, else the full state."""
        state = self.source.state
        if state is None or peer.version >= self.source.version:
            return
        frames = self._missing_frames(peer, state, full=full)
        size = sum(wire_length(frame) for frame in frames)
        if not requested and not self._should_push(peer, size, now):
            return
        if size > LARGE_BYTES:
            is_in_flight = peer.acknowledged < peer.large_version
            if is_in_flight and not full and now - peer.large_sent_at < LARGE_TIMEOUT_NS:
                return  # once the peer has it, the newest version is sent without those in between
            peer.large_version = self.source.version
            peer.large_sent_at = now
        if peer.version <= peer.acknowledged:
            peer.in_flight_since = now
        peer.version = self.source.version
        for frame in frames:
            connection.write(frame)

    def _missing_frames(self, peer: Peer, state: dict[str, Any], *, full: bool) -> list[bytes]:
        frames: list[bytes] = []
        version = peer.version
        for change in self._history:
            if change.base_version == version:
                frames.append(change.frame)
                version = change.version
        reaches_newest = version == self.source.version and peer.version > 0
        return frames if reaches_newest and not full else [self._full_frame(state)]

    def _full_frame(self, state: dict[str, Any]) -> bytes:
        """Return the frame of the full state, which is encoded once for each version."""
        version = self.source.version
        if self._full.version != version:
            message = FullState(version, without_older(state))
            self._full = _FullFrame(version, encode(message.to_wire()))
        return self._full.frame

    def _should_push(self, peer: Peer, size: int, now: int) -> bool:
        """Return whether to push this many bytes to a peer that did not request them."""
        is_any_size_due = not self.relay_budget_bytes or now - self._state_changed_at >= RELAY_AFTER_NS
        if peer.is_attached and is_any_size_due:
            return True
        return size <= self.relay_budget_bytes if peer.is_attached else size > peer.relay_budget_bytes

    # Records.

    def records_changed(self, records: Iterable[Record], now: int) -> None:
        """Push these records to the attached peers within `BATCH_NS`."""
        if not any(peer.is_attached for peer in self.peers.values()):
            return  # peers that attach later compare digests
        self._batch |= {record_id(record): record for record in records}
        if self._batch and not self._batch_at:
            self._batch_at = now + BATCH_NS
            self.schedule(self._batch_at)

    def tick(self, now: int) -> None:
        """Send the batch of records if it is due."""
        if not self._batch_at or now < self._batch_at:
            return
        self._batch_at = 0
        frame = encode(repair.encode_records(self._batch.values(), now))
        self._batch.clear()
        for connection, peer in list(self.peers.items()):
            if peer.is_attached:
                connection.write(frame)
        self._sweep(now)
