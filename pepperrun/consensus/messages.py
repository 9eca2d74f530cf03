"""Typed messages of the consensus; `codec` has their words on the wire.

| phase or purpose | request | replies |
| --- | --- | --- |
| prepare, the first phase | `Prepare` | `Promise`, `Rejected` |
| accept, the second phase | `Accept` | `Accepted`, `BodyNeeded`, `Rejected` |
| what is chosen | `Chosen`, `CatchUpRequest` | `Chosen` |
| a body by its digest | `BodyRequest` | `BodyReply` |
| quorum read | `QuorumRead` | `QuorumReadReply` |
| graceful shutdown | `StoppingNotice` | |

Bodies are long, so `Accept` and `Chosen` carry a `BodyDelta` wherever the receiver may hold the base.
"""

from __future__ import annotations

from dataclasses import dataclass

from pepperrun.consensus.state import Ballot, Body, Operation, Value


@dataclass(frozen=True, slots=True)
class BodyDelta:
    """Operations that lead from the body with digest `base_digest` to another."""

    base_digest: str
    operations: list[Operation]


@dataclass(frozen=True, slots=True)
class Prepare:
    """A round begins: promise `ballot` and tell what was accepted."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    """The sender's incarnation promises `ballot`; it accepted `accepted_value` under `accepted_ballot`."""

    ballot: Ballot
    disk_id: str
    accepted_ballot: Ballot | None = None
    accepted_value: Value | None = None


@dataclass(frozen=True, slots=True)
class Accept:
    """Accept `value`; its body comes as `delta` or as `full_body`."""

    ballot: Ballot
    value: Value
    delta: BodyDelta | None = None
    full_body: Body | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The sender's incarnation has the proposal of `ballot` on its disk."""

    ballot: Ballot
    disk_id: str


@dataclass(frozen=True, slots=True)
class BodyNeeded:
    """The sender has no body for the `Accept` of `ballot`: send it with the full one."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Rejected:
    """The round of `ballot` is over: `promised` is higher."""

    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Chosen:
    """The proposal of `ballot` is chosen. `value` is left out where the receiver has accepted it."""

    ballot: Ballot
    value: Value | None = None
    delta: BodyDelta | None = None
    full_body: Body | None = None


@dataclass(frozen=True, slots=True)
class CatchUpRequest:
    """Ask for what is chosen later than `chosen_ballot`; bodies with `held_digests` are here."""

    chosen_ballot: Ballot
    held_digests: list[str]


@dataclass(frozen=True, slots=True)
class BodyRequest:
    """Ask for the body with `digest`."""

    digest: str


@dataclass(frozen=True, slots=True)
class BodyReply:
    """The body with `digest`."""

    digest: str
    body: Body


@dataclass(frozen=True, slots=True)
class QuorumRead:
    """Ask whether anything later than `chosen_ballot` was accepted."""

    read_id: int
    chosen_ballot: Ballot
    disk_id: str


@dataclass(frozen=True, slots=True)
class QuorumReadReply:
    """Answer to a `QuorumRead`. A ballot that is left out is the one that was asked about.

    `disk_id` is empty where the disk fails, so the reply does not count as a vote. `silent_coordinator` is
    the coordinator that the sender has not received from for long.
    """

    read_id: int
    disk_id: str
    accepted_ballot: Ballot | None = None
    chosen_ballot: Ballot | None = None
    silent_coordinator: str | None = None


@dataclass(frozen=True, slots=True)
class StoppingNotice:
    """The sender was told to stop: its vote should go to another. Repeated with each `QuorumRead`."""

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
