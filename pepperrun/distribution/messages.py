"""Typed messages of the relay tree, and their codec: only here are the wire's words for them.

| `k` | message | fields |
| --- | --- | --- |
| tick | `Heartbeat` | t sent at, n version, root attaches, g own record |
| tock | `HeartbeatAck` | t, age ms, n version, d digest, cores control nodes |
| want | `CatchUpRequest` | n version, whole |
| change | `StateChange` | base, n versions, op operation, seal checksum |
| agreed | `FullState` | n version, state |

`from_wire` raises KeyError, TypeError or ValueError for a message that is not allowed. Records go as `ask`,
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
    """Heartbeat of a gatekeeper to whom it follows.

    Attributes
    ----------
    sent_at : int
        Steady clock of the sender, ns.
    version : int
        Of the state that it holds.
    attaches : bool
        It wants what is new to be pushed on this link.
    gateway : GatewayRecord or None
        Its own record, where that changed since the last heartbeat.
    """

    sent_at: int
    version: int
    attaches: bool
    gateway: GatewayRecord | None = None

    def to_wire(self) -> Message:
        """Return the wire data."""
        message: Message = {"k": HEARTBEAT, "t": self.sent_at, "n": self.version}
        if self.gateway is not None:
            message["g"] = self.gateway.to_row()
        message["root"] = self.attaches
        return message

    @classmethod
    def from_wire(cls, message: Message) -> Heartbeat:
        """Return the message of wire data."""
        gateway = GatewayRecord.from_row(message["g"]) if "g" in message else None
        return cls(message["t"], int(message["n"]), bool(message.get("root")), gateway)


@dataclass(slots=True, frozen=True)
class HeartbeatAck:
    """Answer to a heartbeat: all that was acknowledged `age_ms` before it was made is in `version`.

    Attributes
    ----------
    heartbeat_sent_at : int
        `sent_at` of the heartbeat.
    age_ms : int or None
        None where it is not known.
    version : int
        Of the state that the sender of the answer holds.
    digest : str
        Of all records that it holds.
    control_nodes : list of [ip, zone] or None
        Of each control node, where that changed.
    """

    heartbeat_sent_at: int
    age_ms: int | None
    version: int
    digest: str
    control_nodes: list[list[str]] | None = None

    def to_wire(self) -> Message:
        """Return the wire data."""
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
        """Return the message of wire data."""
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
    """Ask for the changes after `version`, or for the full state."""

    version: int
    full: bool = False

    def to_wire(self) -> Message:
        """Return the wire data."""
        message: Message = {"k": CATCH_UP_REQUEST, "n": self.version}
        if self.full:
            message["whole"] = True
        return message

    @classmethod
    def from_wire(cls, message: Message) -> CatchUpRequest:
        """Return the message of wire data."""
        return cls(int(message["n"]), bool(message.get("whole")))


@dataclass(slots=True, frozen=True)
class StateChange:
    """One operation on the state with `base_version`; `checksum` checks what comes out of it."""

    base_version: int
    version: int
    operation: dict[str, Any]
    checksum: str | None

    def to_wire(self) -> Message:
        """Return the wire data."""
        return {
            "k": STATE_CHANGE,
            "base": self.base_version,
            "n": self.version,
            "op": self.operation,
            "seal": self.checksum,
        }

    @classmethod
    def from_wire(cls, message: Message) -> StateChange:
        """Return the message of wire data."""
        return cls(int(message["base"]), int(message["n"]), message["op"], message.get("seal"))


@dataclass(slots=True, frozen=True)
class FullState:
    """The full state with this version."""

    version: int
    state: dict[str, Any]

    def to_wire(self) -> Message:
        """Return the wire data."""
        return {"k": FULL_STATE, "n": self.version, "state": self.state}

    @classmethod
    def from_wire(cls, message: Message) -> FullState:
        """Return the message of wire data."""
        return cls(int(message["n"]), message["state"])
