"""The front for clients: route, key and time of each request, and how each final answer reads."""

from __future__ import annotations

import random
import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from pepperrun.dataplane.gate import AGAIN_NS, Gate
from pepperrun.dataplane.numbering import MOST_WAIT_NS, MS, name_hash
from pepperrun.dataplane.routes import GateContext, RoutingTable, Way
from pepperrun.exchange import End, Exchange, Final
from pepperrun.foundation.hosts import host_of
from pepperrun.fronts.client_connection import Submission
from pepperrun.fronts.http_connection import NOT_FORWARDED, TEXT, Answer, Fields, HttpConnection
from pepperrun.fronts.platform import retry_after
from pepperrun.gatekeeper import Gatekeeper
from pepperrun.net.http1 import MAX_HEAD, Request, Response
from pepperrun.net.listener import ClientTimeouts, Listener
from pepperrun.net.stream import MemoryBudget

if TYPE_CHECKING:
    from pepperrun.dataplane.numbering import Numbering

SECOND = 1_000_000_000
UPLOAD_NS = 600 * SECOND  # a body that stands still ends within seconds; one that comes has this long
MOST_HEAD = 64 * 1024  # bytes, whatever the limits say: a connection's buffer holds no more
BACK_NS = (100 * MS, 300 * MS)  # when to come back, where the decisions give no advice
KEPT_OVER_NS = SECOND  # a connection is kept for so much longer than its client is told
_ID = re.compile(rb"[\x21-\x2b\x2d-\x7e]{1,256}\Z")
_TOKEN = re.compile(rb"(?i:token)[ \t]+([\x21-\x7e]{1,512})[ \t]*\Z")
_SCHEME = re.compile(rb"(?i)(?:\A|[\s,])token(?:[\s,]|\Z)")  # also in fields that came twice and stand joined
_MS = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,6})?\Z")
# Ours to say to a worker, whatever the client sent.
OURS = frozenset((b"deadline-ms", b"expect-worker", b"sender"))
NOT_TO_WORKER = frozenset(NOT_FORWARDED - {b"x-budget", b"x-plan", b"x-quota", b"x-again"}) | OURS
NOT_TO_CLIENT = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade content-length".split()
)

END_TO_END = frozenset((b"host", b"attempt-id", b"postmark"))  # not a connection's own, whatever it names


def fields_less(fields: Fields, names: dict[bytes, bytes], dropped: frozenset[bytes]) -> Fields:
    """The fields that go on to the next hop."""
    if b"connection" in names:
        named = {name.strip() for name in names[b"connection"].lower().split(b",")}
        dropped = dropped | named - END_TO_END
    return [pair for pair in fields if pair[0].lower() not in dropped]


class FrontListener(Listener):
    """Clients' connections, within the limits of the configuration."""

    limits_of: Callable[[], ClientTimeouts] | None = None

    @property
    def timeouts(self) -> ClientTimeouts:
        return self.limits_of() if self.limits_of is not None else super().timeouts


class RequestLog(Protocol):
    """Where requests are logged that were not simply served; `dataplane.trace.RequestTrace` is one."""

    def answered(self, exchange: Exchange[Any, Any], status: int, final: Final[Any]) -> None:
        """A final answer."""

    def answered_directly(self, request: Request, status: int) -> None:
        """Answered without the decisions."""


class Front:
    """What all connections of this front share."""

    def __init__(
        self,
        numbering: Numbering,
        gate: Gate,
        gatekeeper: Gatekeeper,
        clock: Callable[[], int],
        budget: MemoryBudget,
        seed: int,
        sure_ns: int,
    ) -> None:
        self.numbering, self.gate, self.gatekeeper, self.clock, self.budget = (
            numbering,
            gate,
            gatekeeper,
            clock,
            budget,
        )
        self.rng = random.Random(seed)
        self.sure_ns = sure_ns  # what is held may be so old for a word on what there is not
        self.table: RoutingTable | None = None
        self.trace: RequestLog | None = None  # where requests are logged
        self._times, self._keep = ClientTimeouts(), b""

    def update_table(self, table: RoutingTable) -> None:
        """A newer configuration."""
        self.table, limits = table, table.limits
        dwell_ns, whole_ns = int(limits.dwell_ms * MS), int(limits.envelope_ms * MS)
        told_s = dwell_ns // SECOND
        self._keep = b"timeout=%d" % told_s if told_s else b""
        self._times = ClientTimeouts(
            first_byte_ns=dwell_ns + KEPT_OVER_NS,
            request_ns=whole_ns + KEPT_OVER_NS,
            idle_ns=dwell_ns + KEPT_OVER_NS,
            crowded_idle_ns=min(dwell_ns, SECOND),
            request_from_connect=False,
        )

    def timeouts_of(self) -> ClientTimeouts:
        """How long connections last."""
        return self._times

    def make_client(self, listener: Listener) -> FrontClient:
        """A new connection."""
        return FrontClient(self, listener)

    def _unsure(self, answer: Answer, now: int) -> Answer:
        """No word on what there is not, while a newer configuration may be in force."""
        return answer if self.gate.is_fresh(now, self.sure_ns) else self.retry_later()

    def retry_later(self, wait_ns: int = 0) -> Answer:
        """It has not run and never will: when to come back."""
        wait_ns = wait_ns or int(self.rng.uniform(*BACK_NS))
        return 503, [TEXT, *retry_after(wait_ns)], b"not now\n"

    def route_request(self, request: Request) -> tuple[GateContext, dict[str, Any]] | Answer:
        """Where a request is to go and what its exchange is made of, or the answer at once."""
        names, table = request.headers, self.table
        if _ID.match(names.get(b"attempt-id", b"")) is None:
            return 400, [TEXT], b"Attempt-Id: one is needed\n"
        if table is None:
            return self.retry_later(AGAIN_NS)
        host, path = host_of(names.get(b"host", b"")), request.target.partition(b"?")[0]
        route = table.find(host, path)
        if route is None:
            return self._unsure((404, [TEXT], b"no such route\n"), request.arrived_at)
        remaining_ns = route.deadline_ns
        if b"deadline-ms" in names:
            if _MS.match(names[b"deadline-ms"]) is None:
                return 400, [TEXT], b"Deadline-Ms: a number is needed\n"
            remaining_ns = min(remaining_ns, int(float(names[b"deadline-ms"]) * MS))
        return self._keyed(request, table, route, host, path, remaining_ns)

    def _keyed(
        self,
        request: Request,
        table: RoutingTable,
        route: Way,
        host: bytes,
        path: bytes,
        remaining_ns: int,
    ) -> tuple[GateContext, dict[str, Any]] | Answer:
        told = request.headers.get(b"authorization")
        match = _TOKEN.match(told) if told is not None else None
        key, tenant = match[1] if match is not None else None, None
        plan, customer, dropped = 0, name_hash(host.decode("latin-1")), NOT_TO_WORKER
        if table.requires_key(route):
            tenant = table.keys.get(key) if key is not None else None
            if tenant is None:
                challenge = b"WWW-Authenticate", b"Token"
                return self._unsure((401, [challenge, TEXT], b"no such key\n"), request.arrived_at)
            plan, customer = tenant.plan, tenant.customer
        if told is not None and table.keys_required and _SCHEME.search(told) is not None:
            dropped = dropped | {b"authorization"}  # it may be a key, and no worker is to see one
        at = route.choose_service(self.rng)
        context = GateContext(
            table, route, host, path, key if tenant is not None else None, tenant, route.services[at]
        )
        if context.home_regions is not None and not context.home_regions:
            # Homes of its route and of its tenant have no region in common: no wait could bring it a worker.
            return self.retry_later(MOST_WAIT_NS)
        request.fields = fields_less(request.fields, request.headers, dropped)
        # One whose body is still coming has the time that it takes, and its client's from its last byte on.
        more_ns = 0 if request.complete else UPLOAD_NS
        parts = {
            "cls": route.classes[at],
            "plan": plan,
            "customer": customer,
            "started": request.arrived_at,
            "deadline": request.arrived_at + remaining_ns + more_ns,
            "wait_after_body_ns": max(1, remaining_ns) if more_ns else 0,
            "spread": self.numbering.gateways,
            "first": 0,
            "service": context.service,
            "rank": context.rank,
            "gate_context": context,
            "limits": route.limits_for(remaining_ns),
        }
        return context, parts

    def answer(self, exchange: Exchange[Request, Response], final: Final[Response]) -> Answer:
        """How a final answer reads. 429 and 503 promise that the request has not run and never will."""
        context: GateContext = exchange.gate_context
        risky = exchange.may_have_run or bool(exchange.open_attempts)
        if final.end is End.SERVED and final.response is not None:
            return self.given(final.response)
        if exchange.error_response is not None:
            return self.given(exchange.error_response)
        if final.end is End.REFUSED and (context.safe or not risky):
            if final.over_quota:
                return 429, [TEXT, *retry_after(final.wait_ns)], b"beyond the quota\n"
            return self.retry_later(final.wait_ns)
        if not risky:
            return self.retry_later(final.wait_ns)
        if final.end is End.TIMED_OUT:
            return 504, [TEXT], b"out of time\n"
        return 502, [TEXT], b"failed\n"

    def given(self, given: Response) -> Answer:
        """A worker's own answer, unchanged but for what concerns its connection."""
        fields = fields_less(given.fields, given.headers, NOT_TO_CLIENT)
        if self._keep:
            fields.append((b"Keep-Alive", self._keep))
        return (
            (given.status, fields, given.body)
            if given.complete
            else (given.status, fields, given.body, given)
        )


class FrontClient(HttpConnection):
    """A client's connection."""

    def __init__(self, front: Front, listener: Listener) -> None:
        super().__init__(listener, front.clock, front.budget)
        self.front = front
        self._limit()

    def _limit(self) -> None:
        table = self.front.table
        if table is not None:
            self.parser.max_body = table.limits.parcel_bytes
            self.parser.max_head = min(MOST_HEAD, max(MAX_HEAD // 16, table.limits.envelope_bytes))

    closing_statuses = (400,)  # what is asked at a wrong place may be asked rightly next

    def _body_stalled_at(self) -> int:
        # The limits tell how long a client may be silent, and nothing of how fast it sends.
        return self.buffer.last_byte_at + self.listener.timeouts.idle_ns

    def _abort_upload(self, status: int, text: bytes) -> None:
        # 408 would promise that the worker, which has a part of it, runs nothing.
        spent = self.pending is not None and self.pending[1].body_consumed
        super()._abort_upload(504 if status == 408 and spent else status, text)

    def handle_request(self, request: Request) -> Submission | Answer:
        what = self.front.route_request(request)
        self._limit()
        if isinstance(what[0], GateContext):
            _, parts = what
            return self.front.gatekeeper, Exchange(request, self.on_final, **parts)
        if self.front.trace is not None:
            self.front.trace.answered_directly(request, what[0])
        return what

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        assert self.answering is not None
        answer = self.front.answer(self.answering[1], final)
        if self.front.trace is not None:
            self.front.trace.answered(self.answering[1], answer[0], final)
        return answer
