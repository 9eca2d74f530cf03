"""A request with its attempts and its one final answer: the only link between client side and backend side.

The client's request and the backend's response pass through uninterpreted, as the core knows no protocol. An
exchange ensures that its client gets exactly one final answer, and that each attempt ends exactly once.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pepperrun.core.interface import RequestLimits

RequestT = TypeVar("RequestT")
ResponseT = TypeVar("ResponseT")


class End(enum.Enum):
    """How an exchange ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "out of time"
    CLIENT_LEFT = "client left"


@dataclass(slots=True)
class Final(Generic[ResponseT]):
    """The final answer of an exchange.

    `response`: the backend's response if served. `wait_ns`: advised delay before a retry of a refused
    request, 0 for none. `deadline_passed`: the request's time was up when it was given up. `over_quota`: the
    quota of its customer is used up.
    """

    end: End
    response: ResponseT | None = None
    wait_ns: int = 0
    deadline_passed: bool = False
    over_quota: bool = False


class Exchange(Generic[RequestT, ResponseT]):
    """A request from its arrival until it has its final answer and no attempt is in flight.

    Times are in ns. The parameters are those of `core.interface.Request`, with `started` and `deadline` in
    place of the time left.
    """

    __slots__ = (
        *(
            "request",
            "attempt_times",
            "cls",
            "true_units",
            "customer",
            "deadline",
            "end",
            "first",
            "id",
            "on_final",
        ),
        *(
            "finished",
            "open_attempts",
            "streaming",
            "wait_after_body_ns",
            "plan",
            "body_consumed",
            "spread",
            "started",
            "trace",
            "units",
        ),
        *("error_response", "limits", "service", "gate_context", "may_have_run", "rank"),
    )

    def __init__(
        self,
        request: RequestT,
        on_final: Callable[[Final[ResponseT]], None],
        *,
        cls: int,
        plan: int,
        customer: int,
        started: int,
        deadline: int,
        units: float = 1.0,
        spread: int = 1,
        first: int = 0,
        wait_after_body_ns: int = 0,
        service: int = 0,
        gate_context: Any = None,
        rank: int = 0,
        limits: RequestLimits | None = None,
    ) -> None:
        self.request, self.on_final = request, on_final
        self.cls, self.plan, self.customer = cls, plan, customer
        self.started, self.deadline = started, deadline
        self.units, self.spread, self.first = units, spread, first
        self.limits = limits  # of its route; None uses those of its class
        self.service, self.gate_context, self.rank = service, gate_context, rank
        self.id = 0
        self.end: End | None = None
        self.attempt_times: list[int] = []  # when each attempt was sent, to the last byte of a streamed body
        self.open_attempts: set[int] = set()  # numbers of the attempts in flight
        self.true_units = 0.0  # as reported with the first successful response
        # How long the client waits after the last byte of a body that is longer than the buffer. Such a body
        # is forwarded as it arrives, so it can be sent only once. 0 for a buffered body.
        self.wait_after_body_ns = wait_after_body_ns
        self.body_consumed = False  # a part of a body that is not buffered has been sent
        self.may_have_run = False  # an attempt that has ended may have run
        self.error_response: ResponseT | None = None  # the last error response of a backend
        # The final answer's body was still arriving; `Gatekeeper.streaming_ended` reports how that ended.
        self.streaming = False
        self.finished = 0  # time of the final answer; 0 without `Gatekeeper.observer`
        # For a recorder, of each attempt: backend, sent, outcome (None while in flight), ended (0 till then).
        self.trace: list[list[Any]] | None = None

    def begin_attempt(self, now: int) -> int:
        """Adds an attempt and returns its number."""
        self.attempt_times.append(now)
        number = len(self.attempt_times) - 1
        self.open_attempts.add(number)
        return number

    def end_attempt(self, attempt: int) -> bool:
        """Records that an attempt has ended; False if that is recorded already."""
        if attempt not in self.open_attempts:
            return False
        self.open_attempts.remove(attempt)
        return True

    def finish(self, final: Final[ResponseT]) -> bool:
        """Gives the final answer to the client; False, without effect, if the exchange has one already.

        A client that has left is not notified.
        """
        if self.end is not None:
            return False
        self.end = final.end
        if final.end is not End.CLIENT_LEFT:
            self.on_final(final)
        return True
