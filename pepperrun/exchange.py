"""One request, its attempts and its one final answer. Client side and server side meet here only.

What a client asked and what a backend gave pass through unread: the core knows no wire. An exchange enforces
that its client is told exactly one final answer, and that each attempt ends exactly once.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pepperrun.core.interface import RequestLimits

Asked = TypeVar("Asked")
Given = TypeVar("Given")


class End(enum.Enum):
    """How an exchange ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    OUT_OF_TIME = "out of time"
    LEFT = "client left"


@dataclass(slots=True)
class Final(Generic[Given]):
    """The final answer: `given` if served, `wait_ns` the advice that comes with a refusal (0: none).

    `late`: the time was up when the request was given up. `beyond`: the customer's quota is used up.
    """

    end: End
    given: Given | None = None
    wait_ns: int = 0
    late: bool = False
    beyond: bool = False


class Exchange(Generic[Asked, Given]):
    """A request from its arrival until it has its answer and no attempt is out."""

    __slots__ = (
        *("asked", "attempts", "cls", "cost", "customer", "deadline", "end", "first", "id", "on_final"),
        *("finished", "open", "passing", "patience", "plan", "spent", "spread", "started", "trace", "units"),
        *("fault", "gate_context", "limits", "line", "ran", "rank"),
    )

    def __init__(
        self,
        asked: Asked,
        on_final: Callable[[Final[Given]], None],
        *,
        cls: int,
        plan: int,
        customer: int,
        started: int,
        deadline: int,
        units: float = 1.0,
        spread: int = 1,
        first: int = 0,
        patience: int = 0,
        line: int = 0,
        gate_context: Any = None,
        rank: int = 0,
        limits: RequestLimits | None = None,
    ) -> None:
        self.asked, self.on_final = asked, on_final
        self.cls, self.plan, self.customer = cls, plan, customer
        self.started, self.deadline = started, deadline
        self.units, self.spread, self.first = units, spread, first
        self.limits = limits  # of its route, where they are not those of its class
        # Its service, what the gate decides by, and its rank.
        self.line, self.gate_context, self.rank = line, gate_context, rank
        self.id = 0
        self.end: End | None = None
        self.attempts: list[int] = []  # when each was sent
        self.open: set[int] = set()  # the numbers of those not ended
        self.cost = 0.0  # true units, as told with the first good answer
        # A body that is longer than is held goes out as it comes: once. Its time counts from its last byte.
        self.patience = patience  # how long the client waits after that; 0 for one that is held whole
        self.spent = False  # some of it has gone out
        self.ran = False  # an attempt that has ended may have run
        self.fault: Given | None = None  # a backend's own word of its failure, the last one
        self.passing = False  # the answer is on its way to the client; `Gatekeeper.passed` tells of its end
        self.finished = 0  # when the final answer was; 0 where nobody records that
        # For a recorder, of each attempt: backend, sent, outcome (None while it is out), ended (0 till then).
        self.trace: list[list[Any]] | None = None

    def begin(self, now: int) -> int:
        """A further attempt; its number."""
        self.attempts.append(now)
        number = len(self.attempts) - 1
        self.open.add(number)
        return number

    def ended(self, attempt: int) -> bool:
        """Notes that an attempt has ended; False when that was known already."""
        if attempt not in self.open:
            return False
        self.open.remove(attempt)
        return True

    def finish(self, final: Final[Given]) -> bool:
        """The final answer, told to the client at once; False, and nothing told, where there was one."""
        if self.end is not None:
            return False
        self.end = final.end
        if final.end is not End.LEFT:
            self.on_final(final)
        return True
