"""Typed messages between control nodes, and their codec: only here are the wire's words for them.

| `k` | message | fields |
| --- | --- | --- |
| queen | `ConsensusMessage` | m: see `consensus.codec` |
| peers | `KnownPeers` | cores: rows of ip and zone |
| bye | `PeerStopping` | |
| vouch | `LivenessReport` | all, del: rows of record id and age in ms; add: record ids |
| held | `RecordsReplicated` | a: token |

The records themselves go as `cells`, `ask` and `digests` (`distribution.repair`), which the other links speak
as well. A request to acknowledge `cells` is its field `a`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from pepperrun.foundation.netstring import Message

CONSENSUS = "queen"
KNOWN_PEERS = "peers"
PEER_STOPPING = "bye"
LIVENESS_REPORT = "vouch"
RECORDS_REPLICATED = "held"


class ReportedEndpoint(NamedTuple):
    """An endpoint by its record id, and the ms since its last heartbeat."""

    record_id: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class ConsensusMessage:
    """A wire message of `consensus.codec`."""

    content: Any


@dataclass(frozen=True, slots=True)
class KnownPeers:
    """Ips of control nodes that the sender is linked with."""

    ips: list[str]


@dataclass(frozen=True, slots=True)
class PeerStopping:
    """The sender stops: no heartbeats should be forwarded to it any more."""


@dataclass(frozen=True, slots=True)
class LivenessReport:
    """Which endpoints send their heartbeats to the sender; None where nothing is said.

    Attributes
    ----------
    full : list of ReportedEndpoint
        All of them.
    added : list of str
        Record ids of those since the last report.
    removed : list of ReportedEndpoint
        Those that do so no longer.
    """

    full: list[ReportedEndpoint] | None = None
    added: list[str] | None = None
    removed: list[ReportedEndpoint] | None = None


@dataclass(frozen=True, slots=True)
class RecordsReplicated:
    """The sender holds the records that were sent with `token`."""

    token: int


PeerMessage = ConsensusMessage | KnownPeers | PeerStopping | LivenessReport | RecordsReplicated


def decode(data: Message) -> PeerMessage | None:
    """Return the typed message of wire data; None for a kind that is not of this module.

    Raises
    ------
    KeyError, TypeError, ValueError
        A field is missing or of the wrong type.
    """
    match data["k"]:
        case "queen":
            return ConsensusMessage(data["m"])
        case "peers":
            return KnownPeers([row[0] for row in data["cores"]])
        case "bye":
            return PeerStopping()
        case "vouch":
            return LivenessReport(
                full=_endpoints(data["all"]) if "all" in data else None,
                added=data.get("add"),
                removed=_endpoints(data["del"]) if "del" in data else None,
            )
        case "held":
            return RecordsReplicated(data["a"])
        case _:
            return None


def _endpoints(rows: Any) -> list[ReportedEndpoint]:
    return [ReportedEndpoint(record_id, int(age_ms)) for record_id, age_ms in rows]


def encode_consensus(content: Any) -> Message:
    """Return the wire data that carries a message of the consensus."""
    return {"k": CONSENSUS, "m": content}


def encode_known_peer(ip: str, zone: str) -> Message:
    """Return the wire data that tells of one more control node."""
    return {"k": KNOWN_PEERS, "cores": [[ip, zone]]}


def encode_stopping() -> Message:
    """Return the wire data of `PeerStopping`."""
    return {"k": PEER_STOPPING}


def encode_report(report: LivenessReport) -> Message:
    """Return the wire data of a liveness report."""
    data: Message = {"k": LIVENESS_REPORT}
    if report.full is not None:
        data["all"] = report.full
    if report.removed is not None:
        data["del"] = report.removed
    if report.added is not None:
        data["add"] = report.added
    return data


def encode_replicated(token: int) -> Message:
    """Return the wire data of `RecordsReplicated`."""
    return {"k": RECORDS_REPLICATED, "a": token}
