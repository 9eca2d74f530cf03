"""Messages between control nodes, and their codec: only here are the wire's words for them.

| `k` | says | fields |
| --- | --- | --- |
| queen | a message of the consensus | m: see `consensus.codec` |
| peers | control nodes that the sender is linked with | cores: rows of ip and zone |
| bye | the sender stops | |
| vouch | `LivenessReport` | all, del: rows of record id and age in ms; add: record ids |
| held | the sender holds the records of a token | a: token |

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


# Decoders raise KeyError, TypeError or ValueError for a message that is not allowed.


def decode_consensus(data: Message) -> Any:
    """Return the wire message of the consensus that is carried."""
    return data["m"]


def decode_known_peers(data: Message) -> list[str]:
    """Return the ips of control nodes that the sender is linked with."""
    return [row[0] for row in data["cores"]]


def decode_report(data: Message) -> LivenessReport:
    """Return a liveness report."""
    return LivenessReport(
        full=_endpoints(data["all"]) if "all" in data else None,
        added=data.get("add"),
        removed=_endpoints(data["del"]) if "del" in data else None,
    )


def decode_replicated(data: Message) -> int:
    """Return the token of the records that the sender holds."""
    return int(data["a"])


def _endpoints(rows: Any) -> list[ReportedEndpoint]:
    return [ReportedEndpoint(record_id, int(age_ms)) for record_id, age_ms in rows]


def encode_consensus(content: Any) -> Message:
    """Return the wire data that carries a message of the consensus."""
    return {"k": CONSENSUS, "m": content}


def encode_known_peer(ip: str, zone: str) -> Message:
    """Return the wire data that tells of one more control node."""
    return {"k": KNOWN_PEERS, "cores": [[ip, zone]]}


def encode_stopping() -> Message:
    """Return the wire data of a node that stops: no heartbeats should be forwarded to it any more."""
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
    """Return the wire data of a node that holds the records sent with `token`."""
    return {"k": RECORDS_REPLICATED, "a": token}
