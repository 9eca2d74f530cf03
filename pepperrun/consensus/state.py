"""State of the register: ballots, incarnations of voters, values, and the durable state of a node."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from pepperrun.consensus.canonical_json import CachedJsonEncoder

# The replicated state and an operation on it: JSON objects whose content the consensus does not interpret.
Body = dict[str, Any]
Operation = dict[str, Any]

DIGEST_BYTES = 12


class Evaluation(NamedTuple):
    """Result of an operation on a body.

    `body` is the new body, None if the operation changes nothing. `verdict` (any JSON) goes to the operator.
    """

    body: Body | None
    verdict: Any


# Evaluates an operation. It must be pure, give the same result on all nodes, and not modify the given body.
# For an operation that the body already contains, it returns no body and the original verdict.
Apply = Callable[[Body, Operation], Evaluation]


class Ballot(NamedTuple):
    """Proposal number: the higher round wins, then the higher proposer id.

    `proposer` is unique to one start of one process.
    """

    round: int
    proposer: str


NO_BALLOT = Ballot(-1, "")  # lower than all ballots
INITIAL_BALLOT = Ballot(0, "")  # of the initial value, which is chosen without a round
FIRST_DISK_ID = "first"  # disk id of the first contacts (bootstrap nodes) at the first start of the system


class Incarnation(NamedTuple):
    """A voter: a machine together with its current disk. After the loss of its disk it is another voter."""

    ip: str
    disk_id: str


@dataclass(frozen=True, slots=True)
class Value:
    """The value of the register, with the digest of its body in place of the body.

    While the voters are being changed the value is a joint configuration (as in Raft): a majority of `voters`
    and a majority of `outgoing_voters` both have to accept.

    Attributes
    ----------
    version : int
        Increases by one with each operation on the body.
    voters : tuple of Incarnation
        The current voters; a majority of them has to accept.
    outgoing_voters : tuple of Incarnation
        The previous voters; empty unless the voters are being changed.
    coordinator : str
        Ip of the only machine that changes the voters.
    digest : str
        Digest of the body.
    """

    version: int
    voters: tuple[Incarnation, ...]
    outgoing_voters: tuple[Incarnation, ...]
    coordinator: str
    digest: str

    @property
    def voter_groups(self) -> tuple[tuple[Incarnation, ...], ...]:
        """The groups of voters; a majority of each group has to accept."""
        if self.outgoing_voters:
            return (self.voters, self.outgoing_voters)
        return (self.voters,)

    @property
    def voter_ips(self) -> set[str]:
        """Ips of the machines that vote in any group."""
        return {voter.ip for group in self.voter_groups for voter in group}

    def has_quorum(self, incarnations: Iterable[Incarnation]) -> bool:
        """Whether these incarnations are a majority of each group of voters."""
        present = set(incarnations)
        return all(2 * len(present.intersection(group)) > len(group) for group in self.voter_groups)


class Proposal(NamedTuple):
    """A value with its body and the ballot at which it was proposed."""

    ballot: Ballot
    value: Value
    body: Body


@dataclass(slots=True)
class DurableState:
    """The state that a node keeps on its disk.

    Attributes
    ----------
    disk_id : str
        Identifies this state; a disk that was erased gets another id.
    starts : int
        Number of starts of the process on this disk, including the current one.
    promised : Ballot
        Lower ballots are no longer promised or accepted.
    accepted : Proposal or None
        The proposal accepted last.
    chosen : Proposal or None
        The newest proposal known as chosen.
    """

    disk_id: str
    starts: int = 1
    promised: Ballot = NO_BALLOT
    accepted: Proposal | None = None
    chosen: Proposal | None = None


class StateStore(Protocol):
    """Stores the durable state of one node."""

    def save(self, state: DurableState) -> None:
        """Store `state`, and return once all of it is synced.

        Raises
        ------
        StorageError
            The save failed; the state may or may not have been stored.
        """


@dataclass(slots=True)
class InMemoryStore:
    """Store without persistence, for simulations, tests and nodes without a disk. Only counts the saves."""

    saves: int = field(default=0)

    def save(self, state: DurableState) -> None:
        """Count the save, and store nothing."""
        self.saves += 1


_sorted_encoder = CachedJsonEncoder(sort_keys=True)


def digest_of(body: Body) -> str:
    """Return the hex digest of a body, which does not depend on the order of its keys."""
    return hashlib.blake2b(_sorted_encoder.encode(body).encode(), digest_size=DIGEST_BYTES).hexdigest()


def initial_proposal(contacts: Iterable[str]) -> Proposal:
    """Return the proposal that precedes all rounds: an empty body, the first contacts (ips) as voters."""
    voters = tuple(Incarnation(ip, FIRST_DISK_ID) for ip in sorted(set(contacts)))
    value = Value(
        version=0, voters=voters, outgoing_voters=(), coordinator=voters[0].ip, digest=digest_of({})
    )
    return Proposal(INITIAL_BALLOT, value, {})
