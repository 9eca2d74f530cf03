"""What rule 2 allows a request, and whose turn it is: below-goal turns among the customers that wait."""

from __future__ import annotations

import random
from collections import deque

from pepperrun.core.interface import Group, Repeat, Settings
from pepperrun.core.state import Queues, RequestState, Server


class PendingRequest(RequestState):
    """A request, with what rule 2 allows for it."""

    def may_refuse(self) -> bool:
        """Rule 2: a refusal says that trying again is harmless."""
        if self.request_class.repeat is Repeat.SAFE or not any(
            attempt.may_have_run for attempt in self.attempts
        ):
            return True
        return self.request_class.repeat is Repeat.KEYED and self.request_class.group is Group.ALL

    def may_send(self, server: Server, now: int, settings: Settings, beside: bool = False) -> bool:
        """Rule 2 and the site's limits: may a further attempt go to this backend now?

        `beside`: also beside one that is out, as its backend may hang.
        """
        max_attempts = self.max_attempts or settings.max_attempts
        if self.done or self.stream or self.body_consumed or len(self.attempts) >= max_attempts:
            return False
        if self.in_flight() and (self.unbuffered or self.in_flight() > 1 or not (settings.hedging or beside)):
            return False
        ran = [attempt for attempt in self.attempts if attempt.may_have_run]
        if not ran or self.request_class.repeat is Repeat.SAFE:
            return True
        if (
            self.request_class.repeat is Repeat.UNSAFE
            or now >= ran[0].sent_at + self.request_class.window_ns - settings.tick_ns
        ):
            return False
        if self.request_class.group is Group.ZONE:
            return all(attempt.backend.zone == server.zone for attempt in ran)
        return self.request_class.group is Group.ALL or all(
            attempt.backend.cell == server.cell for attempt in ran
        )


class FairScheduler(Queues):
    """Below-goal turns: each round gives one turn to every waiting customer at or below its share."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.round: deque[int] = deque()
        self.blocked = set[int]()  # no backend would take their heads in this turn

    def pop_next(self, now: int) -> PendingRequest | None:
        """The request whose turn it is, off its queue."""
        for _ in range(2):
            while self.round:
                head: PendingRequest | None = self.head(customer := self.round.popleft())
                if (
                    head is not None
                    and customer not in self.blocked
                    and head.account.within_limits(head.units, now)
                ):
                    self.pop(customer)
                    return head
            self._start_round(now)
        return None

    def _start_round(self, now: int) -> None:
        keys = [key for key in self.waiting if key not in self.blocked]
        heads: list[PendingRequest] = [head for key in keys if (head := self.head(key)) is not None]
        used = sum(head.account.recent_use.read(now) for head in heads)
        weight = sum(head.account.weight for head in heads)
        ready = [head for head in heads if head.account.within_limits(head.units, now)]
        best = min((head.rank for head in ready), default=0)
        able = [head.account for head in ready if head.rank == best]
        below = [account for account in able if account.recent_use.value * weight <= account.weight * used]
        turns = below if below or not able else [self.rng.choice(able)]
        self.round.extend(account.customer for account in turns)
