"""The protocol towards workers: how requests are written and how responses map to outcomes."""

from __future__ import annotations

import re
from collections.abc import Callable

from pepperrun.core.interface import Outcome
from pepperrun.dataplane.gate import Gate
from pepperrun.dataplane.numbering import MS
from pepperrun.dataplane.routes import GateContext
from pepperrun.dataplane.workers import WorkerTable
from pepperrun.net.connection import Attempt, Connection, Wire, encode_request
from pepperrun.net.http1 import Response

SECOND = 1_000_000_000
STALL_S = 3.0  # a response that has begun may pause for so long before it counts as stalled
UNRESPONSIVE_NS = 4 * SECOND  # long against the work of any request
MAX_RESPONSE_BODY = 1 << 40  # bytes; in effect unlimited
USER_TIMEOUT_MS = 2000  # a host that acknowledges nothing for so long has no power or is unreachable
KEEP_ALIVE_MARGIN_NS = SECOND // 2  # an idle connection is not reused so shortly before its worker closes it
_TIMEOUT = re.compile(rb"(?:\A|[\s,;])timeout\s*=\s*\"?([0-9]{1,6})")


def is_rejected(response: Response) -> bool:
    """Returns whether the worker says that it has not run the request and will not."""
    return response.status == 421 or b"not-run" in response.headers


def delimited(response: Response) -> bool:
    """Returns whether the response tells its own end. One that ends with its connection may be truncated."""
    framed = response.length is not None or b"transfer-encoding" in response.headers
    return framed or response.status in (204, 304)


class WorkerWire(Wire):
    """How the data plane talks to workers over HTTP/1.1."""

    stall_timeout_s = STALL_S
    unresponsive_ns = UNRESPONSIVE_NS
    max_response_body = MAX_RESPONSE_BODY
    user_timeout_ms = USER_TIMEOUT_MS

    def __init__(
        self,
        workers: WorkerTable,
        gate: Gate,
        clock: Callable[[], int],
        on_misdirected: Callable[[int], None],
    ) -> None:
        super().__init__(lambda response: (Outcome.ERROR, 0.0))
        self.workers, self.gate, self.clock, self.on_misdirected = workers, gate, clock, on_misdirected

    def encode(self, attempt: Attempt, left_ns: int) -> bytes | None:
        """Returns the bytes of the request; None where it may no longer be sent."""
        exchange = attempt.exchange
        context: GateContext = exchange.gate_context
        if exchange.end is not None or not self.gate.may_write(context, attempt.backend, self.clock()):
            return None
        id = self.workers.id_by_number[attempt.backend].encode()
        own_fields = b"Deadline-Ms: %d\r\nExpect-Worker: %b\r\n" % (max(1, left_ns // MS), id)
        if context.tenant is not None:
            own_fields += b"Sender: %b\r\n" % context.tenant
        return encode_request(exchange.request, own_fields)

    def is_idempotent(self, attempt: Attempt) -> bool:
        """Whether the attempt's route is safe, so that its requests may run again."""
        return bool(attempt.exchange.gate_context.safe)

    def request_id(self, attempt: Attempt) -> object:
        """Returns the client's `Attempt-Id`."""
        return attempt.exchange.request.headers[b"attempt-id"]

    def is_surplus(self, connection: Connection, response: Response) -> bool:
        """Whether the response answers the previous request on the connection instead of the current one."""
        given = response.headers.get(b"attempt-id")
        return (
            given is not None and given == connection.previous_request_id and given != connection.request_id
        )

    def is_foreign(self, attempt: Attempt, response: Response) -> bool:
        """Whether the response has another id than the request, or none where one is needed."""
        given = response.headers.get(b"attempt-id")
        if given is None:
            # A rejection without an id, after responses on the same connection, may be a surplus one.
            return not is_rejected(response) or attempt.connection is None or attempt.connection.responses > 0
        return given != attempt.exchange.request.headers[b"attempt-id"]

    def classify(self, attempt: Attempt, response: Response) -> tuple[Outcome, float]:
        """Returns the outcome by status and by the field that says whether the request ran; units are 0."""
        status = response.status
        if status == 421:
            self.on_misdirected(attempt.backend)
        if is_rejected(response):
            return Outcome.FULL, 0.0
        if b"content-encoding" in response.headers or not delimited(response):
            return Outcome.ERROR, 0.0
        if 200 <= status < 300:
            return (Outcome.OK if b"postmark" in response.headers else Outcome.ERROR), 0.0
        if status in (408, 429, 503):  # it may have run, but forwarded these would promise that it has not
            return Outcome.ERROR, 0.0
        if status >= 500:
            attempt.exchange.error_response = response if response.complete else None
            return Outcome.ERROR, 0.0
        return Outcome.OK, 0.0

    def keep_alive_ns(self, response: Response) -> int:
        """Returns how long the worker keeps the connection, by its `Keep-Alive` less a margin; 0: unknown."""
        announced = _TIMEOUT.search(response.headers.get(b"keep-alive", b"").lower())
        if announced is None:
            return 0
        announced_ns = int(announced[1]) * SECOND
        return max(1, announced_ns // 2, announced_ns - KEEP_ALIVE_MARGIN_NS)
