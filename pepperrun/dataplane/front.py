"""The front for clients: finds route, tenant and deadline of each request, and writes each final answer."""

from __future__ import annotations

import random
import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from pepperrun.dataplane.gate import RETRY_NS, Gate
from pepperrun.dataplane.numbering import MAX_RETRY_AFTER_NS, MS, name_hash
from pepperrun.dataplane.routes import GateContext, RouteEntry, RoutingTable
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
UPLOAD_NS = 600 * SECOND  # for a request body that keeps arriving; a stalled one ends within seconds
MAX_HEAD_BYTES = 64 * 1024  # whatever the limits say: the buffer of a connection holds no more
RETRY_AFTER_NS = (100 * MS, 300 * MS)  # range of the advice where the core gives none
KEEP_ALIVE_MARGIN_NS = SECOND  # a connection is kept for so much longer than its client is told
_ID = re.compile(rb"[\x21-\x2b\x2d-\x7e]{1,256}\Z")
_TOKEN = re.compile(rb"(?i:token)[ \t]+([\x21-\x7e]{1,512})[ \t]*\Z")
_SCHEME = re.compile(rb"(?i)(?:\A|[\s,])token(?:[\s,]|\Z)")  # also in repeated fields, which are joined
_MS = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,6})?\Z")
# Only this gatekeeper sends these to a worker, whatever the client sent.
OWN_FIELDS = frozenset((b"deadline-ms", b"expect-worker", b"sender"))
NOT_TO_WORKER = frozenset(NOT_FORWARDED - {b"x-budget", b"x-plan", b"x-quota", b"x-again"}) | OWN_FIELDS
NOT_TO_CLIENT = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade content-length".split()
)

END_TO_END = frozenset((b"host", b"attempt-id", b"postmark"))  # forwarded even where `Connection` names them


def forwarded_fields(fields: Fields, names: dict[bytes, bytes], dropped: frozenset[bytes]) -> Fields:
    """Returns the header fields that are forwarded to the next hop."""
    if b"connection" in names:
        named = {name.strip() for name in names[b"connection"].lower().split(b",")}
        dropped = dropped | named - END_TO_END
    return [pair for pair in fields if pair[0].lower() not in dropped]


class FrontListener(Listener):
    """Accepts clients' connections, with the time-outs of the configuration."""

    get_timeouts: Callable[[], ClientTimeouts] | None = None

    @property
    def timeouts(self) -> ClientTimeouts:
        return self.get_timeouts() if self.get_timeouts is not None else super().timeouts


class RequestLog(Protocol):
    """A log of the requests that were not simply served, such as `dataplane.trace.RequestTrace`."""

    def answered(self, exchange: Exchange[Any, Any], status: int, final: Final[Any]) -> None:
        """Notes the final answer of an exchange."""

    def answered_directly(self, request: Request, status: int) -> None:
        """Notes a request that was answered without the core."""


class Front:
    """The state that all client connections share: routing, time-outs and how final answers are written."""

    def __init__(
        self,
        numbering: Numbering,
        gate: Gate,
        gatekeeper: Gatekeeper,
        clock: Callable[[], int],
        budget: MemoryBudget,
        seed: int,
        max_age_ns: int,
    ) -> None:
        self.numbering, self.gate, self.gatekeeper, self.clock, self.budget = (
            numbering,
            gate,
            gatekeeper,
            clock,
            budget,
        )
        self.rng = random.Random(seed)
        self.max_age_ns = max_age_ns  # age of the state up to which a missing route or key is certain
        self.table: RoutingTable | None = None
        self.trace: RequestLog | None = None  # where requests are logged
        self._timeouts, self._keep_alive = ClientTimeouts(), b""

    def update_table(self, table: RoutingTable) -> None:
        """Applies a newer configuration."""
        self.table, limits = table, table.limits
        idle_ns, request_ns = int(limits.dwell_ms * MS), int(limits.envelope_ms * MS)
        announced_s = idle_ns // SECOND
        self._keep_alive = b"timeout=%d" % announced_s if announced_s else b""
        self._timeouts = ClientTimeouts(
            first_byte_ns=idle_ns + KEEP_ALIVE_MARGIN_NS,
            request_ns=request_ns + KEEP_ALIVE_MARGIN_NS,
            idle_ns=idle_ns + KEEP_ALIVE_MARGIN_NS,
            crowded_idle_ns=min(idle_ns, SECOND),
            request_from_connect=False,
        )

    def client_timeouts(self) -> ClientTimeouts:
        """Returns the time-outs of the present configuration, or the defaults before there is one."""
        return self._timeouts

    def make_client(self, listener: Listener) -> FrontClient:
        """Returns the object that reads the requests of a newly accepted connection and answers them."""
        return FrontClient(self, listener)

    def _if_fresh(self, answer: Answer, arrived_at: int) -> Answer:
        """Returns the answer, or advice to retry while a newer configuration may be in force.

        The age of the state counts at the arrival of the request: the answer has to be right for the
        configuration that was in force then.
        """
        return answer if self.gate.is_fresh(arrived_at, self.max_age_ns) else self.retry_later()

    def retry_later(self, wait_ns: int = 0) -> Answer:
        """Returns a 503: the request has not run and never will, and may be retried after the wait."""
        wait_ns = wait_ns or int(self.rng.uniform(*RETRY_AFTER_NS))
        return 503, [TEXT, *retry_after(wait_ns)], b"not now\n"

    def route_request(self, request: Request) -> tuple[GateContext, dict[str, Any]] | Answer:
        """Returns where a request may go and the arguments of its exchange, or an immediate answer."""
        names, table = request.headers, self.table
        if _ID.match(names.get(b"attempt-id", b"")) is None:
            return 400, [TEXT], b"Attempt-Id: one is needed\n"
        if table is None:
            return self.retry_later(RETRY_NS)
        host, path = host_of(names.get(b"host", b"")), request.target.partition(b"?")[0]
        route = table.find(host, path)
        if route is None:
            return self._if_fresh((404, [TEXT], b"no such route\n"), request.arrived_at)
        remaining_ns = route.deadline_ns
        if b"deadline-ms" in names:
            if _MS.match(names[b"deadline-ms"]) is None:
                return 400, [TEXT], b"Deadline-Ms: a number is needed\n"
            remaining_ns = min(remaining_ns, int(float(names[b"deadline-ms"]) * MS))
        return self._authorise(request, table, route, host, path, remaining_ns)

    def _authorise(
        self,
        request: Request,
        table: RoutingTable,
        route: RouteEntry,
        host: bytes,
        path: bytes,
        remaining_ns: int,
    ) -> tuple[GateContext, dict[str, Any]] | Answer:
        authorization = request.headers.get(b"authorization")
        match = _TOKEN.match(authorization) if authorization is not None else None
        key, tenant = match[1] if match is not None else None, None
        plan, customer, dropped = 0, name_hash(host.decode("latin-1")), NOT_TO_WORKER
        if table.requires_key(route):
            tenant = table.keys.get(key) if key is not None else None
            if tenant is None:
                challenge = b"WWW-Authenticate", b"Token"
                return self._if_fresh((401, [challenge, TEXT], b"no such key\n"), request.arrived_at)
            plan, customer = tenant.plan, tenant.customer
        if authorization is not None and table.keys_required and _SCHEME.search(authorization) is not None:
            dropped = dropped | {b"authorization"}  # it may be a key, which no worker must see
        index = route.choose_service(self.rng)
        context = GateContext(
            table, route, host, path, key if tenant is not None else None, tenant, route.services[index]
        )
        if context.home_regions is not None and not context.home_regions:
            # The home regions of route and tenant have none in common: no worker could ever be used.
            return self.retry_later(MAX_RETRY_AFTER_NS)
        request.fields = forwarded_fields(request.fields, request.headers, dropped)
        # A body that is still arriving has time to do so; the client's time counts from its last byte.
        upload_ns = 0 if request.complete else UPLOAD_NS
        arguments = {
            "cls": route.classes[index],
            "plan": plan,
            "customer": customer,
            "started": request.arrived_at,
            "deadline": request.arrived_at + remaining_ns + upload_ns,
            "wait_after_body_ns": max(1, remaining_ns) if upload_ns else 0,
            "spread": self.numbering.gateways,
            "first": 0,
            "service": context.service,
            "rank": context.rank,
            "gate_context": context,
            "limits": route.limits_for(remaining_ns),
        }
        return context, arguments

    def answer(self, exchange: Exchange[Request, Response], final: Final[Response]) -> Answer:
        """Returns the response for a final answer.

        429 and 503 promise that the request has not run and never will.
        """
        context: GateContext = exchange.gate_context
        may_have_run = exchange.may_have_run or bool(exchange.open_attempts)
        if final.end is End.SERVED and final.response is not None:
            return self.worker_response(final.response)
        if exchange.error_response is not None:
            return self.worker_response(exchange.error_response)
        if final.end is End.REFUSED and (context.safe or not may_have_run):
            if final.over_quota:
                return 429, [TEXT, *retry_after(final.wait_ns)], b"beyond the quota\n"
            return self.retry_later(final.wait_ns)
        if not may_have_run:
            return self.retry_later(final.wait_ns)
        if final.end is End.TIMED_OUT:
            return 504, [TEXT], b"out of time\n"
        return 502, [TEXT], b"failed\n"

    def worker_response(self, response: Response) -> Answer:
        """Returns a worker's response, unchanged except for the fields of its connection."""
        fields = forwarded_fields(response.fields, response.headers, NOT_TO_CLIENT)
        if self._keep_alive:
            fields.append((b"Keep-Alive", self._keep_alive))
        return (
            (response.status, fields, response.body)
            if response.complete
            else (response.status, fields, response.body, response)
        )


class FrontClient(HttpConnection):
    """One connection of a client."""

    def __init__(self, front: Front, listener: Listener) -> None:
        super().__init__(listener, front.clock, front.budget)
        self.front = front
        self._apply_limits()

    def _apply_limits(self) -> None:
        table = self.front.table
        if table is not None:
            self.parser.max_body = table.limits.parcel_bytes
            self.parser.max_head = min(MAX_HEAD_BYTES, max(MAX_HEAD // 16, table.limits.envelope_bytes))

    # Only a 400 closes the connection: after a wrong route or key the next request may be right.
    closing_statuses = (400,)

    def _body_stalled_at(self) -> int:
        # The limits bound how long a client may be silent, not how slowly it sends.
        return self.buffer.last_byte_at + self.listener.timeouts.idle_ns

    def _abort_upload(self, status: int, text: bytes) -> None:
        # 408 would promise that the worker, which has part of the body, does not run the request.
        consumed = self.pending is not None and self.pending[1].body_consumed
        super()._abort_upload(504 if status == 408 and consumed else status, text)

    def handle_request(self, request: Request) -> Submission | Answer:
        routed = self.front.route_request(request)
        self._apply_limits()
        if isinstance(routed[0], GateContext):
            _, arguments = routed
            return self.front.gatekeeper, Exchange(request, self.on_final, **arguments)
        if self.front.trace is not None:
            self.front.trace.answered_directly(request, routed[0])
        return routed

    def handle_final(self, final: Final[Any]) -> Submission | Answer:
        assert self.answering is not None
        answer = self.front.answer(self.answering[1], final)
        if self.front.trace is not None:
            self.front.trace.answered(self.answering[1], answer[0], final)
        return answer
