"""Request log: a line for each request not served at the first attempt within its latency target.

Off unless asked for: while it is off the request path has no more than a look at a name. What is left out for
the bound is counted and told once a second has begun anew. A reason that the decisions do not tell is read
from what holds when the request is over: whether the news is fresh, whether the service has workers, and
whether all of them are cold.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from pepperrun.core.interface import Outcome
from pepperrun.dataplane.numbering import MS
from pepperrun.exchange import End, Exchange, Final
from pepperrun.foundation.logs import event

if TYPE_CHECKING:
    from pepperrun.dataplane.front import Front
    from pepperrun.dataplane.routes import GateContext
    from pepperrun.net.http1 import Request

SECOND = 1_000_000_000
VERBOSE = 20.0  # lines a second where only `--verbose` was said
MOST_ID = 64  # characters of an attempt id


class LogRateLimit:
    """Lets so many through a second, and as many at once; counts the others. `now` in steady ns."""

    def __init__(self, rate: float, now: int) -> None:
        self.rate, self.most, self.level, self.at, self.suppressed = (
            rate,
            max(1.0, rate),
            max(1.0, rate),
            now,
            0,
        )

    def allow(self, now: int) -> bool:
        """May one more go through?"""
        self.level = min(self.most, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        if self.level < 1:
            self.suppressed += 1
            return False
        self.level -= 1
        return True


class RequestTrace:
    """Requests of one front, as its lines. `tell(name, **pairs)` writes one."""

    def __init__(self, front: Front, rate: float, tell: Callable[..., None] = event) -> None:
        self.front, self.tell = front, tell
        self.limit = LogRateLimit(rate, front.clock())
        self.final_answers: dict[
            int, tuple[int, Final[Any]]
        ] = {}  # status and end, until the last attempt has ended

    def answered(self, exchange: Exchange[Any, Any], status: int, final: Final[Any]) -> None:
        """A final answer. One that was served at the first try, in time, costs no more than this look."""
        late = self.front.clock() - exchange.started > exchange.gate_context.route.config.target_ms * MS
        if late or final.end is not End.SERVED or len(exchange.attempt_times) > 1:
            self.final_answers[exchange.id] = status, final

    def answered_directly(self, request: Request, status: int) -> None:
        """Answered without the decisions."""
        reasons = {400: "bad", 401: "key", 404: "route", 503: "stale"}
        now = self.front.clock()
        if self._let(now):
            table = self.front.table
            more = {"edition": table.edition if table is not None else 0, "tries": "-"}
            known = {"route": "-", "tenant": "-", "kind": "-", "aim": "-", "status": status}
            reason = "no-configuration" if table is None else reasons.get(status, "-")
            took = (now - request.arrived_at) / MS
            self.tell("request", id=_id(request), **known, reason=reason, ms=took, **more)

    def finished(self, exchange: Exchange[Any, Any]) -> None:
        """It has its answer and no attempt is out (`Gatekeeper.observer`)."""
        status, final = self.final_answers.pop(exchange.id, (0, None))
        if final is None and exchange.end is End.SERVED:
            return
        now = self.front.clock()
        if not self._let(now):
            return
        context: GateContext = exchange.gate_context
        ended = exchange.finished or now
        table = self.front.table
        self.tell(
            "request",
            id=_id(exchange.request),
            route=context.route.name,
            tenant=context.tenant.decode("latin-1") if context.tenant is not None else "-",
            kind="safe" if context.safe else "unsafe",
            aim=context.route.config.target_ms,
            status=status,
            reason=self._reason(exchange, final, now),
            ms=(ended - exchange.started) / MS,
            edition=table.edition if table is not None else 0,
            tries=self._tries(exchange) or "-",
        )

    def _let(self, now: int) -> bool:
        limit = self.limit
        if not limit.allow(now):
            return False
        if limit.suppressed:
            self.tell("requests-left-out", count=limit.suppressed)
            limit.suppressed = 0
        return True

    def _tries(self, exchange: Exchange[Any, Any]) -> str:
        """Of each attempt: worker, when it was sent, how it ended, how long that took (ms)."""
        names = self.front.gate.workers.id_by_number
        parts = []
        for backend, sent, outcome, ended in exchange.trace or ():
            how = outcome.value if outcome is not None else "out"
            took = f"{(ended - sent) / MS:.0f}" if ended else "-"
            at = (sent - exchange.started) / MS
            parts.append(f"{names.get(backend, backend)}/{at:.0f}/{how}/{took}")
        return ",".join(parts)

    def _reason(self, exchange: Exchange[Any, Any], final: Final[Any] | None, now: int) -> str:
        if exchange.end is End.SERVED:
            return "served-later" if len(exchange.attempt_times) > 1 else "served-late"
        if exchange.end is End.CLIENT_LEFT:
            return "left"
        if final is not None and final.over_quota:
            return "quota"
        if exchange.error_response is not None:
            return "worker-failed"
        if exchange.may_have_run:
            return "may-have-run" if exchange.end is not End.TIMED_OUT else "out-of-time"
        if self.front.gate.wait_ns(exchange.gate_context, now):
            return "fence"
        if exchange.end is End.TIMED_OUT or (final is not None and final.deadline_passed):
            return "out-of-time"
        there = self._there(exchange.gate_context)
        if not there:
            return "no-worker"
        if exchange.trace and any(one[2] in (Outcome.FULL, Outcome.CONNECT_FAILED) for one in exchange.trace):
            return (
                "budget"
                if len(exchange.attempt_times) < exchange.gate_context.route.limits.max_attempts
                else "tries"
            )
        workers = self.front.gate.workers
        return "cold" if all(workers.is_warming_up(known, now) for known in there) else "full"

    def _there(self, context: GateContext) -> list[Any]:
        workers = self.front.gate.workers
        return [
            known
            for known in workers.by_number.values()
            if known.service == context.service
            and workers.address(known.number) is not None
            and (context.home_regions is None or known.region in context.home_regions)
        ]


def _id(request: Request) -> str:
    return request.headers.get(b"attempt-id", b"-")[:MOST_ID].decode("latin-1")
