"""Which retries a request's class allows, and the fair scheduler that picks the next customer's request.

A request may run twice only as its class allows (`RequestClass.repeat`, `group` and `window_ns`).
"""

from __future__ import annotations

import random
from collections import deque

from pepperrun.core.interface import Group, Repeat, Settings
from pepperrun.core.state import Queues, RequestState, Server


class PendingRequest(RequestState):
    """A request with the checks that it runs twice only as its class allows."""

    def may_refuse(self) -> bool:
        """Return whether the request may be refused: a refusal tells the client that a retry is safe."""
        if self.request_class.repeat is Repeat.SAFE or not any(
            attempt.may_have_run for attempt in self.attempts
        ):
            return True
        return self.request_class.repeat is Repeat.KEYED and self.request_class.group is Group.ALL

    def may_send(self, server: Server, now: int, settings: Settings, parallel: bool = False) -> bool:
        """Return whether its class and the configured limits allow another attempt at this backend now.

        `parallel`: also in parallel to an attempt that is in flight, as its backend may hang.
        """
        max_attempts = self.max_attempts or settings.max_attempts
        if self.done or self.stream or self.body_consumed or len(self.attempts) >= max_attempts:
            return False
        if self.in_flight() and (
            self.unbuffered or self.in_flight() > 1 or not (settings.hedging or parallel)
        ):
            return False
        possibly_run = [attempt for attempt in self.attempts if attempt.may_have_run]
        if not possibly_run or self.request_class.repeat is Repeat.SAFE:
            return True
        if (
            self.request_class.repeat is Repeat.UNSAFE
            or now >= possibly_run[0].sent_at + self.request_class.window_ns - settings.tick_ns
        ):
            return False
        if self.request_class.group is Group.ZONE:
            return all(attempt.backend.zone == server.zone for attempt in possibly_run)
        return self.request_class.group is Group.ALL or all(
            attempt.backend.cell == server.cell for attempt in possibly_run
        )


class FairScheduler(Queues):
    """Fair scheduler: each round serves one request of every waiting customer at or below its fair share.

    If no customer with the best rank is below its share, a random one of them is served.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.round: deque[int] = deque()
        self.blocked = set[int]()  # customers whose first request no backend takes in this call

    def pop_next(self, now: int) -> PendingRequest | None:
        """Remove and return the next request to send, or None if no customer can be served."""
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
        best_rank = min((head.rank for head in ready), default=0)
        eligible = [head.account for head in ready if head.rank == best_rank]
        below_share = [
            account for account in eligible if account.recent_use.value * weight <= account.weight * used
        ]
        chosen = below_share if below_share or not eligible else [self.rng.choice(eligible)]
        self.round.extend(account.customer for account in chosen)
