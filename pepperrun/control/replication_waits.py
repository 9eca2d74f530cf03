"""Waits until enough control nodes store a record, before a worker gets its acknowledgement. No I/O."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class VoterQuorum:
    """A majority of the voters: other control nodes may all be on the smaller side of a partition.

    Attributes
    ----------
    groups : tuple of frozenset of str
        Ips of the voters; two groups while the voters are being changed, and a majority of each is needed.
    """

    groups: tuple[frozenset[str], ...]

    def is_reached_by(self, ips: Set[str]) -> bool:
        """Return whether these machines are a majority of each group; never if the voters are unknown."""
        return bool(self.groups) and all(2 * len(group & ips) > len(group) for group in self.groups)


@dataclass(slots=True)
class ReplicationWait:
    """The quorum that must store a record, and the control nodes that have stored it, by ip."""

    quorum: VoterQuorum
    replicated_at: set[str] = field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether the quorum stores the record."""
        return self.quorum.is_reached_by(self.replicated_at)


class ReplicationWaits:
    """Pending waits by token. Tokens of completed waits stay in `completed` until they are taken."""

    def __init__(self, own_ip: str) -> None:
        self.own_ip = own_ip
        self.last_token = 0
        self.completed: list[int] = []
        self._waits: dict[int, ReplicationWait] = {}

    def __contains__(self, token: int) -> bool:
        """Return whether a wait is pending."""
        return token in self._waits

    def start(self, quorum: VoterQuorum) -> int:
        """Start a wait for a record that this node stores; return its token."""
        self.last_token += 1
        self._waits[self.last_token] = ReplicationWait(quorum)
        self.confirm(self.own_ip, self.last_token)
        return self.last_token

    def confirm(self, ip: str, token: int) -> None:
        """Record that a node has stored the record of a token."""
        wait = self._waits.get(token)
        if wait is None:
            return
        wait.replicated_at.add(ip)
        if wait.is_complete:
            del self._waits[token]
            self.completed.append(token)

    def give_up(self, token: int) -> None:
        """Drop a wait whose caller has given up."""
        self._waits.pop(token, None)

    def take_completed(self) -> list[int]:
        """Return and remove the tokens of completed waits."""
        completed = self.completed
        self.completed = []
        return completed
