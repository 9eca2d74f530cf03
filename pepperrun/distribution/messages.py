"""Typed messages of the relay tree, and their codec. Only this module uses their names on the wire.

| `k` | message | fields |
| --- | --- | --- |
| tick | `Heartbeat` | t sent at, n version, root attaches, g own record |
| tock | `HeartbeatAck` | t, age ms, n version, d digest, cores control nodes |
| want | `CatchUpRequest` | n version, whole for the full state |
| change | `StateChange` | base, n versions, op operation, seal checksum |
| agreed | `FullState` | n version, state |

`from_wire` raises KeyError, TypeError or ValueError for an invalid message. Records are sent as `ask`,
`cells` and `digests` (`distribution.repair`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pepperrun.control.records import GatewayRecord
from pepperrun.foundation.netstring import Message

HEARTBEAT = "tick"
HEARTBEAT_ACK = "tock"
CATCH_UP_REQUEST = "want"
STATE_CHANGE = "change"
FULL_STATE = "agreed"


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Heartbeat of a gateway to its control node or its parent.

    Attributes
    ----------
    sent_at : int
        Monotonic clock of the sender, ns.
    version : int
        State version of the sender.
    attaches : bool
        Whether the receiver is to push changes on this link.
    gateway : GatewayRecord or None
        Record of the sender, if it changed since the last heartbeat.
    """

    sent_at: int
    version: int
    attaches: bool
    gateway: GatewayRecord | None = None

    def to_wire(self) -> Message:
        """Return the message as it is sent."""
        message: Message = {"k": HEARTBEAT, "t": self.sent_at, "n": self.version}
        if self.gateway is not None:
            message["g"] = self.gateway.to_row()
        message["root"] = self.attaches
        return message

    @classmethod
    def from_wire(cls, message: Message) -> Heartbeat:
        """Return the typed form of a received message."""
        gateway = GatewayRecord.from_row(message["g"]) if "g" in message else None
        return cls(message["t"], int(message["n"]), bool(message.get("root")), gateway)


@dataclass(slots=True, frozen=True)
class HeartbeatAck:
    """Answer to a heartbeat: `version` contains every write acknowledged `age_ms` before it was made.

    Attributes
    ----------
    heartbeat_sent_at : int
        `sent_at` of the heartbeat.
    age_ms : int or None
        None if unknown.
    version : int
        State version of the sender of the answer.
    digest : str
        Digest of all its records.
    control_nodes : list of [ip, zone] or None
        All control nodes, if the list changed since the last answer.
    """

    heartbeat_sent_at: int
    age_ms: int | None
    version: int
    digest: str
    control_nodes: list[list[str]] | None = None

    def to_wire(self) -> Message:
        """Return the message as it is sent."""
        message: Message = {
            "k": HEARTBEAT_ACK,
            "t": self.heartbeat_sent_at,
            "age": self.age_ms,
            "n": self.version,
            "d": self.digest,
        }
        if self.control_nodes is not None:
            message["cores"] = self.control_nodes
        return message

    @classmethod
    def from_wire(cls, message: Message) -> HeartbeatAck:
        """Return the typed form of a received message."""
        nodes = message.get("cores")
        age_ms = message["age"]
        return cls(
            heartbeat_sent_at=int(message["t"]),
            age_ms=None if age_ms is None else int(age_ms),
            version=int(message["n"]),
            digest=str(message["d"]),
            control_nodes=None if nodes is None else [[str(ip), str(zone)] for ip, zone in nodes],
        )


@dataclass(slots=True, frozen=True)
class CatchUpRequest:
    """Request for the changes after `version`, or for the full state."""

    version: int
    full: bool = False

    def to_wire(self) -> Message:
        """Return the message as it is sent."""
        message: Message = {"k": CATCH_UP_REQUEST, "n": self.version}
        if self.full:
            message["whole"] = True
        return message

    @classmethod
    def from_wire(cls, message: Message) -> CatchUpRequest:
        """Return the typed form of a received message."""
        return cls(int(message["n"]), bool(message.get("whole")))


@dataclass(slots=True, frozen=True)
class StateChange:
    """One operation on the state with `base_version`; `checksum` is that of the resulting state."""

    base_version: int
    version: int
    operation: dict[str, Any]
    checksum: str | None

    def to_wire(self) -> Message:
        """Return the message as it is sent."""
        return {
            "k": STATE_CHANGE,
            "base": self.base_version,
            "n": self.version,
            "op": self.operation,
            "seal": self.checksum,
        }

    @classmethod
    def from_wire(cls, message: Message) -> StateChange:
        """Return the typed form of a received message."""
        return cls(int(message["base"]), int(message["n"]), message["op"], message.get("seal"))


@dataclass(slots=True, frozen=True)
class FullState:
    """The full state with this version."""

    version: int
    state: dict[str, Any]

    def to_wire(self) -> Message:
        """Return the message as it is sent."""
        return {"k": FULL_STATE, "n": self.version, "state": self.state}

    @classmethod
    def from_wire(cls, message: Message) -> FullState:
        """Return the typed form of a received message."""
        return cls(int(message["n"]), message["state"])
