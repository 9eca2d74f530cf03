"""Waits until enough other control nodes store a record, before a worker gets its acknowledgement. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ReplicationWait:
    """The number of other control nodes that must store a record, and those that have stored it."""

    needed: int
    replicated_at: set[str] = field(default_factory=set)


class ReplicationWaits:
    """Pending waits by token. Tokens of completed waits stay in `completed` until they are taken."""

    def __init__(self) -> None:
        self.last_token = 0
        self.completed: list[int] = []
        self._waits: dict[int, ReplicationWait] = {}

    def __contains__(self, token: int) -> bool:
        """Return whether a wait is pending."""
        return token in self._waits

    def start(self, needed: int) -> int:
        """Start a wait for `needed` other nodes; return its token."""
        self.last_token += 1
        self._waits[self.last_token] = ReplicationWait(needed)
        return self.last_token

    def confirm(self, ip: str, token: int) -> None:
        """Record that a node has stored the record of a token."""
        wait = self._waits.get(token)
        if wait is None:
            return
        wait.replicated_at.add(ip)
        if len(wait.replicated_at) >= wait.needed:
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
