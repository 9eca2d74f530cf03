"""Waits until enough other control nodes hold a record, before a worker gets its acknowledgement. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ReplicationWait:
    """How many other control nodes have to hold a record, and which ones do."""

    needed: int
    replicated_at: set[str] = field(default_factory=set)


class ReplicationWaits:
    """Waits by token. Tokens of those that are over are in `completed` until they are taken."""

    def __init__(self) -> None:
        self.last_token = 0
        self.completed: list[int] = []
        self._waits: dict[int, ReplicationWait] = {}

    def __contains__(self, token: int) -> bool:
        """Return whether a wait is not over."""
        return token in self._waits

    def start(self, needed: int) -> int:
        """Begin a wait for `needed` other nodes; return its token."""
        self.last_token += 1
        self._waits[self.last_token] = ReplicationWait(needed)
        return self.last_token

    def confirm(self, ip: str, token: int) -> None:
        """Note that a node holds what the token stands for."""
        wait = self._waits.get(token)
        if wait is None:
            return
        wait.replicated_at.add(ip)
        if len(wait.replicated_at) >= wait.needed:
            del self._waits[token]
            self.completed.append(token)

    def give_up(self, token: int) -> None:
        """Drop a wait that nobody needs any more."""
        self._waits.pop(token, None)

    def take_completed(self) -> list[int]:
        """Return the tokens of waits that are over."""
        completed = self.completed
        self.completed = []
        return completed
