"""State of the register: ballots, incarnations of voters, values, and what a disk keeps of them."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from pepperrun.consensus.canonical_json import CachedJsonEncoder

# The replicated state and an operation on it, JSON objects that the consensus does not look into.
Body = dict[str, Any]
Operation = dict[str, Any]

DIGEST_BYTES = 12


class Evaluation(NamedTuple):
    """Result of an operation on a body.

    `body` is the new one, None where the operation changes nothing; `verdict` (any JSON) is for the operator.
    """

    body: Body | None
    verdict: Any


# Evaluates an operation: pure, the same on all machines, leaving the body that it is given as it is. An
# operation that the body has applied already gives no body and the verdict of then.
Apply = Callable[[Body, Operation], Evaluation]


class Ballot(NamedTuple):
    """Proposal number: a later round wins, then the proposer's id.

    `proposer` names one start of one process and no other.
    """

    round: int
    proposer: str


NO_BALLOT = Ballot(-1, "")  # below all ballots
INITIAL_BALLOT = Ballot(0, "")  # of the initial value, which no round chose
FIRST_DISK_ID = "first"  # of the first contacts, at the very first start of the system


class Incarnation(NamedTuple):
    """A voter: a machine together with one disk of it. A machine with an empty disk is another voter."""

    ip: str
    disk_id: str


@dataclass(frozen=True, slots=True)
class Value:
    """The value of the register, without the body that it names.

    While the voters are being changed the value is a joint configuration (as in Raft): a majority of `voters`
    and a majority of `outgoing_voters` both have to accept.

    Attributes
    ----------
    version : int
        Grows by one with each operation on the body.
    voters : tuple of Incarnation
        A majority of them decides.
    outgoing_voters : tuple of Incarnation
        The voters before; empty unless the voters are being changed.
    coordinator : str
        Ip of the machine that alone changes the voters.
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
        """Groups of each of which a majority has to accept."""
        if self.outgoing_voters:
            return (self.voters, self.outgoing_voters)
        return (self.voters,)

    @property
    def voter_ips(self) -> set[str]:
        """Machines that have a vote in any group."""
        return {voter.ip for group in self.voter_groups for voter in group}

    def has_quorum(self, incarnations: Iterable[Incarnation]) -> bool:
        """Whether these incarnations are a majority of each group of voters."""
        present = set(incarnations)
        return all(2 * len(present.intersection(group)) > len(group) for group in self.voter_groups)


class Proposal(NamedTuple):
    """A value with its body, under the ballot that proposed it."""

    ballot: Ballot
    value: Value
    body: Body


@dataclass(slots=True)
class DurableState:
    """What the disk of a voter keeps.

    Attributes
    ----------
    disk_id : str
        Names this state; a disk that was emptied gets another.
    starts : int
        Starts of the process on this disk, the present one included.
    promised : Ballot
        No lower ballot is promised or accepted any more.
    accepted : Proposal or None
        Accepted last.
    chosen : Proposal or None
        The newest one known as chosen.
    """

    disk_id: str
    starts: int = 1
    promised: Ballot = NO_BALLOT
    accepted: Proposal | None = None
    chosen: Proposal | None = None


class StateStore(Protocol):
    """Keeps the durable state of one voter."""

    def save(self, state: DurableState) -> None:
        """Return once all of it is synced.

        Raises
        ------
        StorageError
            The state may or may not have been kept.
        """


@dataclass(slots=True)
class InMemoryStore:
    """Store that loses its state with the process: for models and tests."""

    saves: int = field(default=0)

    def save(self, state: DurableState) -> None:
        """Count the call."""
        self.saves += 1


_sorted_encoder = CachedJsonEncoder(sort_keys=True)


def digest_of(body: Body) -> str:
    """Digest of a body, the same whatever the order of its keys."""
    return hashlib.blake2b(_sorted_encoder.encode(body).encode(), digest_size=DIGEST_BYTES).hexdigest()


def initial_proposal(contacts: Iterable[str]) -> Proposal:
    """Return the proposal before all others: the first contacts (ips) vote on an empty body."""
    voters = tuple(Incarnation(ip, FIRST_DISK_ID) for ip in sorted(set(contacts)))
    value = Value(
        version=0, voters=voters, outgoing_voters=(), coordinator=voters[0].ip, digest=digest_of({})
    )
    return Proposal(INITIAL_BALLOT, value, {})
