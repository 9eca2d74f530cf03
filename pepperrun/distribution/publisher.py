"""The sending side: answers heartbeats, repairs, and pushes what is new to those who attach for that. No I/O.

Control nodes and relaying gatekeepers use the same one. Links come in as ports, time as steady nanoseconds,
and `tick` is called when due.
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
BATCH_NS = 15 * MS  # records that change together go together
SILENT_NS = 5 * SECOND  # gatekeepers send heartbeats each 400 ms: one that is silent for so long is gone
SWEEP_NS = SILENT_NS // 5
IN_FLIGHT_NS = 2 * SECOND  # what was sent so lately is not sent again: it is on its way
MAX_HISTORY = 64  # changes kept for those who are a little behind
MAX_HISTORY_BYTES = 256 * 1024
LONG_BYTES = 32 * 1024  # on the link: 0.13 s of 2 Mbit/s, the narrowest that there is
LONG_TIMEOUT_NS = 5 * SECOND  # a long one that is not acknowledged after this is not waited for any more
RELAY_AFTER_NS = (
    600 * MS
)  # what is too long to be relayed has come from a control node by then, or is relayed
CHECKSUM_BYTES = 8
UNKNOWN_VERSION = -1


class Connection(Protocol):
    """One link; `foundation.link.Link` is one."""

    name: str

    def write(self, frame: bytes) -> None:
        """Send a frame."""

    def unsent(self) -> int:
        """Return the bytes written and not yet gone out."""
        ...

    def close(self) -> None:
        """End the link."""


class Source(repair.RecordCopy, Protocol):
    """Whose state and records are sent: a control node's, or a relay's copy."""

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
        """Return how long ago `version` was known to be the newest acknowledged; None: not known."""
        ...

    def gateway_heartbeat(self, gateway: GatewayRecord, now: int) -> None:
        """Handle a gatekeeper's record on its own link (each heartbeat; it may be as before)."""
        ...

    def merge(self, workers: list[Worker], gateways: list[GatewayRecord], now: int) -> object:
        """Take over newer records of another process; the source then calls `records_changed`."""
        ...


def state_checksum(state: dict[str, Any]) -> str:
    """Return a short check that two copies of a version agree: what differs first if a change is misread.

    `taken` holds the digests of the configurations that led here, so the rest need not be hashed again.
    """
    counts = [len(state.get(name) or ()) for name in ("routes", "carrier_lines", "senders")]
    text = repr([state.get("edition"), counts, state.get("evacuated"), (state.get("taken") or [None])[-1]])
    return blake2b(text.encode(), digest_size=CHECKSUM_BYTES).hexdigest()


class _RecentChange(NamedTuple):
    """A change as it is sent, with the versions that it leads from and to."""

    base_version: int
    version: int
    frame: bytes


class _FullFrame(NamedTuple):
    """The full state of a version as it is sent."""

    version: int
    frame: bytes


@dataclass(slots=True)
class Peer:
    """What is known of the other side of a link.

    Attributes
    ----------
    version : int
        What it holds, or will once it has read what was sent; UNKNOWN_VERSION before its first message.
    acknowledged : int
        What it said that it holds.
    in_flight_since : int
        Since when more than that is on its way, and nothing of it has come.
    long_version, long_sent_at : int
        The last long state or change that was sent, and when.
    is_attached : bool
        It wants what is new to be pushed.
    control_nodes : list or None
        As last sent.
    relay_budget_bytes : int
        Relays send it no longer changes; 0 for no limit.
    """

    received_at: int
    version: int = UNKNOWN_VERSION
    acknowledged: int = UNKNOWN_VERSION
    in_flight_since: int = 0
    long_version: int = UNKNOWN_VERSION
    long_sent_at: int = 0
    is_attached: bool = False
    gateway: GatewayRecord | None = None
    control_nodes: list[list[str]] | None = None
    relay_budget_bytes: int = 0

    def acknowledge(self, version: int, now: int) -> None:
        """Note what it says that it holds."""
        if version != self.acknowledged:
            self.acknowledged = version
            self.in_flight_since = now


class Publisher:
    """Sends the state and records of `source` to links.

    Parameters
    ----------
    schedule : callable
        Asks for a `tick` at a time, steady ns.
    relay_budget_bytes : int
        What the own link carries to all that attach here before answers to clients wait for long. A longer
        change is not relayed: the control node, whose links are wide, sends it to each gatekeeper that sends
        heartbeats there and gave its own budget. 0: all is relayed.
    """

    def __init__(self, source: Source, schedule: Callable[[int], None], relay_budget_bytes: int = 0) -> None:
        self.source = source
        self.schedule = schedule
        self.relay_budget_bytes = relay_budget_bytes
        self.peers: dict[Connection, Peer] = {}
        self._state_changed_at = 0
        self._batch: dict[str, Record] = {}
        self._batch_at = 0  # when the batch goes; 0 for no batch
        self._history: list[_RecentChange] = []  # each leads on from the one before
        self._full = _FullFrame(0, b"")
        self._swept_at = 0

    def opened(self, connection: Connection, hello: Message, now: int) -> None:
        """Handle a new link to a gatekeeper."""
        self.peers[connection] = Peer(now, relay_budget_bytes=int(hello.get("room") or 0))

    def closed(self, connection: Connection, now: int) -> None:
        """Handle the end of a link."""
        self.peers.pop(connection, None)

    def received(self, connection: Connection, message: Message, now: int) -> bool:
        """Handle a message of a gatekeeper; return False for kinds that are not known.

        Raises
        ------
        KeyError, TypeError, ValueError
            The message is not allowed: the link then ends.
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
        """Send what came after the version that a peer holds.

        A link carries all that is written to it, in order. So what was sent is on its way, however long that
        takes, and only what came after it goes out; all of it again if nothing of it comes for too long.
        """
        peer.acknowledge(request.version, now)
        is_overdue = now - peer.in_flight_since > IN_FLIGHT_NS
        if is_overdue and connection.unsent():
            is_overdue = False
            peer.in_flight_since = now
        if request.full or is_overdue:
            peer.version = request.version
            peer.long_version = UNKNOWN_VERSION
            peer.in_flight_since = now
        peer.version = max(peer.version, request.version)
        self._catch_up(connection, peer, now, full=request.full, requested=True)

    def _on_heartbeat(self, connection: Connection, peer: Peer, heartbeat: Heartbeat, now: int) -> None:
        if heartbeat.gateway is not None:
            peer.gateway = heartbeat.gateway
        if peer.gateway is not None:
            self.source.gateway_heartbeat(peer.gateway, now)
        connection.write(encode(self._ack(peer, heartbeat, now).to_wire()))
        peer.version = max(peer.version, heartbeat.version)  # not less where more is on its way
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
        """End links whose other side has been silent for too long."""
        self._swept_at = now
        silent = [connection for connection, peer in self.peers.items() if now - peer.received_at > SILENT_NS]
        for connection in silent:
            del self.peers[connection]
            connection.close()

    # The state.

    def state_changed(self, change: tuple[int, dict[str, Any]] | None, now: int) -> None:
        """Push the newer state of the source, by `change` (base version, operation) where it was one."""
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
        """Send what a peer lacks: the changes on top of what it holds, else the full state."""
        state = self.source.state
        if state is None or peer.version >= self.source.version:
            return
        frames = self._missing_frames(peer, state, full=full)
        size = sum(wire_length(frame) for frame in frames)
        if not requested and not self._should_push(peer, size, now):
            return
        if size > LONG_BYTES:
            is_in_flight = peer.acknowledged < peer.long_version
            if is_in_flight and not full and now - peer.long_sent_at < LONG_TIMEOUT_NS:
                return  # once that is held the newest goes at once, instead of each in between
            peer.long_version = self.source.version
            peer.long_sent_at = now
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
        leads_there = version == self.source.version and peer.version > 0
        return frames if leads_there and not full else [self._full_frame(state)]

    def _full_frame(self, state: dict[str, Any]) -> bytes:
        """Return the full state, encoded once for each version."""
        version = self.source.version
        if self._full.version != version:
            message = FullState(version, without_older(state))
            self._full = _FullFrame(version, encode(message.to_wire()))
        return self._full.frame

    def _should_push(self, peer: Peer, size: int, now: int) -> bool:
        """Return whether this process is to send so many bytes to a peer that has not asked."""
        is_waited_for = not self.relay_budget_bytes or now - self._state_changed_at >= RELAY_AFTER_NS
        if peer.is_attached and is_waited_for:
            return True
        return size <= self.relay_budget_bytes if peer.is_attached else size > peer.relay_budget_bytes

    # Records.

    def records_changed(self, records: Iterable[Record], now: int) -> None:
        """Push these records within `BATCH_NS`."""
        if not any(peer.is_attached for peer in self.peers.values()):
            return  # whoever attaches later compares digests
        self._batch |= {record_id(record): record for record in records}
        if self._batch and not self._batch_at:
            self._batch_at = now + BATCH_NS
            self.schedule(self._batch_at)

    def tick(self, now: int) -> None:
        """Send what is due."""
        if not self._batch_at or now < self._batch_at:
            return
        self._batch_at = 0
        frame = encode(repair.encode_records(self._batch.values(), now))
        self._batch.clear()
        for connection, peer in list(self.peers.items()):
            if peer.is_attached:
                connection.write(frame)
        self._sweep(now)
