"""Messages between control nodes, and their codec. Only this module knows their keys on the wire.

| `k` | meaning | fields |
| --- | --- | --- |
| queen | a message of the consensus | m: see `consensus.codec` |
| peers | control nodes linked with the sender | cores: rows of ip and zone |
| bye | the sender shuts down | |
| vouch | `LivenessReport` | all, del: rows of record id and age in ms; add: record ids |
| held | the sender has stored the records of a token | a: token |

The records themselves are sent as `cells`, `ask` and `digests` (`distribution.repair`), which are used on the
links to gatekeepers as well. The field `a` of `cells` requests an acknowledgement.
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
    """The record id of an endpoint, and the milliseconds since its last heartbeat."""

    record_id: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class LivenessReport:
    """The endpoints whose heartbeats the sender receives; a field of None is absent from the message.

    Attributes
    ----------
    full : list of ReportedEndpoint
        All these endpoints.
    added : list of str
        Record ids of the endpoints newly received since the last report.
    removed : list of ReportedEndpoint
        Endpoints that are no longer received.
    """

    full: list[ReportedEndpoint] | None = None
    added: list[str] | None = None
    removed: list[ReportedEndpoint] | None = None


# Decoders raise KeyError, TypeError or ValueError for a malformed message.


def decode_consensus(data: Message) -> Any:
    """Return the wire message of the consensus inside a message."""
    return data["m"]


def decode_known_peers(data: Message) -> list[str]:
    """Return the ips of the control nodes linked with the sender."""
    return [row[0] for row in data["cores"]]


def decode_report(data: Message) -> LivenessReport:
    """Return the liveness report of a message."""
    return LivenessReport(
        full=_endpoints(data["all"]) if "all" in data else None,
        added=data.get("add"),
        removed=_endpoints(data["del"]) if "del" in data else None,
    )


def decode_replicated(data: Message) -> int:
    """Return the token of the records that the sender has stored."""
    return int(data["a"])


def _endpoints(rows: Any) -> list[ReportedEndpoint]:
    return [ReportedEndpoint(record_id, int(age_ms)) for record_id, age_ms in rows]


def encode_consensus(content: Any) -> Message:
    """Return the message that carries a wire message of the consensus."""
    return {"k": CONSENSUS, "m": content}


def encode_known_peer(ip: str, zone: str) -> Message:
    """Return the message that announces a newly linked control node."""
    return {"k": KNOWN_PEERS, "cores": [[ip, zone]]}


def encode_stopping() -> Message:
    """Return the message of a node that shuts down: others then name it to no worker."""
    return {"k": PEER_STOPPING}


def encode_report(report: LivenessReport) -> Message:
    """Return the message of a liveness report."""
    data: Message = {"k": LIVENESS_REPORT}
    if report.full is not None:
        data["all"] = report.full
    if report.removed is not None:
        data["del"] = report.removed
    if report.added is not None:
        data["add"] = report.added
    return data


def encode_replicated(token: int) -> Message:
    """Return the message that acknowledges the records sent with `token`."""
    return {"k": RECORDS_REPLICATED, "a": token}
