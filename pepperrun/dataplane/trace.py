"""Request log: a line for each request not served at the first attempt within its latency target.

The log is off by default; then the request path only checks whether it is on. Lines are limited per second.
Those left out are counted, and the count is logged with the next line. Where the core gives no reason, the
reason is derived from the state at the end of the request: whether the agreed state is fresh, whether the
service has workers, and whether all of them are warming up.
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
VERBOSE_LINES_PER_S = 20.0  # with `--verbose` and no `--trace`
MAX_ID_LENGTH = 64  # characters of a logged Attempt-Id


class LogRateLimit:
    """Lets `rate` lines a second through, in bursts of as many, counts the others. Times: monotonic ns."""

    def __init__(self, rate: float, now: int) -> None:
        self.rate, self.burst, self.level, self.at, self.suppressed = (
            rate,
            max(1.0, rate),
            max(1.0, rate),
            now,
            0,
        )

    def allow(self, now: int) -> bool:
        """Returns whether one more line may be written now."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        if self.level < 1:
            self.suppressed += 1
            return False
        self.level -= 1
        return True


class RequestTrace:
    """Writes the log lines for the requests of one front. `log(name, **pairs)` writes one event."""

    def __init__(self, front: Front, rate: float, log: Callable[..., None] = event) -> None:
        self.front, self.log = front, log
        self.limit = LogRateLimit(rate, front.clock())
        # By request: status and final answer, until the last attempt has ended.
        self.final_answers: dict[int, tuple[int, Final[Any]]] = {}

    def answered(self, exchange: Exchange[Any, Any], status: int, final: Final[Any]) -> None:
        """Notes a final answer. One served in time by the first attempt costs only this check."""
        late = self.front.clock() - exchange.started > exchange.gate_context.route.config.target_ms * MS
        if late or final.end is not End.SERVED or len(exchange.attempt_times) > 1:
            self.final_answers[exchange.id] = status, final

    def answered_directly(self, request: Request, status: int) -> None:
        """Logs a request that was answered without the core."""
        reasons = {400: "bad", 401: "key", 404: "route", 503: "stale"}
        now = self.front.clock()
        if self._allow(now):
            table = self.front.table
            more = {"edition": table.edition if table is not None else 0, "tries": "-"}
            known = {"route": "-", "tenant": "-", "kind": "-", "aim": "-", "status": status}
            reason = "no-configuration" if table is None else reasons.get(status, "-")
            elapsed_ms = (now - request.arrived_at) / MS
            self.log("request", id=_id(request), **known, reason=reason, ms=elapsed_ms, **more)

    def finished(self, exchange: Exchange[Any, Any]) -> None:
        """Logs a request that has its answer and no attempt in flight (`Gatekeeper.observer`)."""
        status, final = self.final_answers.pop(exchange.id, (0, None))
        if final is None and exchange.end is End.SERVED:
            return
        now = self.front.clock()
        if not self._allow(now):
            return
        context: GateContext = exchange.gate_context
        ended = exchange.finished or now
        table = self.front.table
        self.log(
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
            tries=self._attempts(exchange) or "-",
        )

    def _allow(self, now: int) -> bool:
        limit = self.limit
        if not limit.allow(now):
            return False
        if limit.suppressed:
            self.log("requests-left-out", count=limit.suppressed)
            limit.suppressed = 0
        return True

    def _attempts(self, exchange: Exchange[Any, Any]) -> str:
        """Returns worker, time of sending, outcome and duration (ms) of each attempt, as one text."""
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
        available = self._available_workers(exchange.gate_context)
        if not available:
            return "no-worker"
        if exchange.trace and any(one[2] in (Outcome.FULL, Outcome.CONNECT_FAILED) for one in exchange.trace):
            return (
                "budget"
                if len(exchange.attempt_times) < exchange.gate_context.route.limits.max_attempts
                else "tries"
            )
        workers = self.front.gate.workers
        return "cold" if all(workers.is_warming_up(known, now) for known in available) else "full"

    def _available_workers(self, context: GateContext) -> list[Any]:
        workers = self.front.gate.workers
        return [
            known
            for known in workers.by_number.values()
            if known.service == context.service
            and workers.address(known.number) is not None
            and (context.home_regions is None or known.region in context.home_regions)
        ]


def _id(request: Request) -> str:
    return request.headers.get(b"attempt-id", b"-")[:MAX_ID_LENGTH].decode("latin-1")
