"""Typed messages of the consensus; `codec` defines their representation on the wire.

| phase or purpose | request | replies |
| --- | --- | --- |
| prepare, the first phase | `Prepare` | `Promise`, `Rejected` |
| accept, the second phase | `Accept` | `Accepted`, `BodyNeeded`, `Rejected` |
| learn what is chosen | `Chosen`, `CatchUpRequest` | `Chosen` |
| fetch a body by its digest | `BodyRequest` | `BodyReply` |
| quorum read | `QuorumRead` | `QuorumReadReply` |
| graceful shutdown | `StoppingNotice` | |

Bodies are long, so `Accept` and `Chosen` carry a `BodyDelta` wherever the receiver may have its base.
"""

from __future__ import annotations

from dataclasses import dataclass

from pepperrun.consensus.state import Ballot, Body, Operation, Value


@dataclass(frozen=True, slots=True)
class BodyDelta:
    """Operations that turn the body with digest `base_digest` into another body, in order."""

    base_digest: str
    operations: list[Operation]


@dataclass(frozen=True, slots=True)
class Prepare:
    """Start of a round: asks for a promise of `ballot` and for the proposal that was accepted last."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    """The sender's incarnation promises `ballot`; it last accepted `accepted_value` at `accepted_ballot`."""

    ballot: Ballot
    disk_id: str
    accepted_ballot: Ballot | None = None
    accepted_value: Value | None = None


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks to accept `value` at `ballot`; its body comes as `delta` or as `full_body`."""

    ballot: Ballot
    value: Value
    delta: BodyDelta | None = None
    full_body: Body | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The sender's incarnation has the proposal of `ballot` synced on its disk."""

    ballot: Ballot
    disk_id: str


@dataclass(frozen=True, slots=True)
class BodyNeeded:
    """The sender lacks the body for the `Accept` of `ballot` and asks for it with the full body."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Rejected:
    """The sender rejects `ballot` because it has promised the higher ballot `promised`."""

    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Chosen:
    """The proposal of `ballot` is chosen. `value` is None if the receiver is known to have accepted it."""

    ballot: Ballot
    value: Value | None = None
    delta: BodyDelta | None = None
    full_body: Body | None = None


@dataclass(frozen=True, slots=True)
class CatchUpRequest:
    """Asks for the value chosen after `chosen_ballot`; the sender has the bodies with `known_digests`."""

    chosen_ballot: Ballot
    known_digests: list[str]


@dataclass(frozen=True, slots=True)
class BodyRequest:
    """Asks for the full body with `digest`."""

    digest: str


@dataclass(frozen=True, slots=True)
class BodyReply:
    """The full body with `digest`, in reply to a `BodyRequest`."""

    digest: str
    body: Body


@dataclass(frozen=True, slots=True)
class QuorumRead:
    """Asks whether the receiver accepted anything later than `chosen_ballot`."""

    read_id: int
    chosen_ballot: Ballot
    disk_id: str


@dataclass(frozen=True, slots=True)
class QuorumReadReply:
    """Reply to a `QuorumRead`. A ballot that is None equals the `chosen_ballot` of the request.

    `disk_id` is empty while the sender's disk fails, so that the reply does not count as a vote.
    `suspected_coordinator` is the coordinator from which the sender has received nothing for
    `Timeouts.coordinator_ns`.
    """

    read_id: int
    disk_id: str
    accepted_ballot: Ballot | None = None
    chosen_ballot: Ballot | None = None
    suspected_coordinator: str | None = None


@dataclass(frozen=True, slots=True)
class StoppingNotice:
    """The sender shuts down: its vote should move to another node. Repeated with each `QuorumRead`."""

    disk_id: str


Message = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | BodyNeeded
    | Rejected
    | Chosen
    | CatchUpRequest
    | BodyRequest
    | BodyReply
    | QuorumRead
    | QuorumReadReply
    | StoppingNotice
)
